//! Admits the requests of a configuration that ranks its routes, most urgent first.
//!
//! Handles bursts that exceed what the leaves can serve: requests that the leaves can't serve in time are
//! refused on arrival, less urgent ones first, so that the queues of the leaves stay short for urgent ones.
//! [`pressure`], [`queue`], [`limiter`] and [`returning_callers`] decide without I/O; [`permit`] connects
//! them to the engine.

mod group;
mod level;
pub mod limiter;
pub mod permit;
pub mod pressure;
pub mod queue;
pub mod returning_callers;

pub use group::LimitChange;
pub use limiter::{AdmissionDecision, AdmissionLimiter, AdmissionRequest, EndedRequest, Place};
pub use permit::{Admission, AdmissionPermit};
pub use pressure::ReplyTimes;
pub use queue::WaitQueue;
pub use returning_callers::ReturningCallers;
