//! Bounds the bytes of request bodies that a leaf holds for all VMs, and the time for which a connection to a
//! leaf holds a body.
//!
//! Handles leaves that crash if the requests which they hold exceed their memory, and leaves that don't read
//! what they are sent.

mod bound;
mod calls;
mod in_flight;
mod sending;

pub use bound::BodyBound;
pub use calls::HeldLeafBody;
pub use in_flight::BodiesInFlight;
pub(super) use sending::{SendBy, Sending, StopSignal};
