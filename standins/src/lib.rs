//! Stand-ins for the platform and the targets, and a load generator, for tests and demonstrations.
//!
//! Each stand-in runs inside a test process or as a separate process; none is part of the product.

pub mod leaf;
pub mod leaf_options;
pub mod load;
pub mod platform;
pub mod server;

pub use leaf::LeafStandin;
pub use leaf_options::{Execution, LeafCounts, LeafOptions, Misbehaviour};
pub use platform::{Backup, PlatformStandin};
