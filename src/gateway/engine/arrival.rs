//! Checks on arrival whether a request can be served, for requests and for explanations.

use super::{Engine, State};
use crate::clock::boot_us;
use crate::gateway::capacity::CapacityError;
use crate::ids::ServiceKey;

impl Engine {
    /// Checks that a request which needs a leaf of at least `min_services` services can be served now.
    ///
    /// # Errors
    ///
    /// Fails if it can't.
    pub fn check_capacity(
        &self,
        services: &[ServiceKey],
        min_services: usize,
    ) -> Result<(), CapacityError> {
        self.state()
            .check_capacity(services, min_services, boot_us())
    }
}

impl State {
    /// Checks that a request which needs a leaf of at least `min_services` services can be served now.
    pub(in crate::gateway) fn check_capacity(
        &self,
        services: &[ServiceKey],
        min_services: usize,
        now_us: u64,
    ) -> Result<(), CapacityError> {
        let leaves = &self.leaves;
        if self.link_monitor.is_lost() {
            return leaves.check_open_connections(services, min_services, now_us / 1_000);
        }
        leaves.check_capacity(services, min_services, &self.limits, now_us)
    }
}
