//! Keeps requests away from the leaves of failure domains that operators evacuate.
//!
//! Each VM decides for itself from what it knows of the platform's store. VMs that read the store publish
//! which domains are evacuated as facts of gossip, and all VMs apply the newest fact of each domain.
//! [`evacuations`] contains the decision, without I/O.
//!
//! Leaves are cold after an evacuation and in other cases; [`cold_leaf`] limits the requests to them, without
//! I/O.

pub mod cold_leaf;
pub mod evacuations;
pub mod message;
pub mod source;
mod sync;
pub mod warmups;

pub use cold_leaf::ColdLeaf;
pub use evacuations::Evacuations;
pub use message::Evacuation;
pub use source::{DomainChange, SourceChanges, SourceImage};
pub use warmups::{Warmup, WarmupSettings};
