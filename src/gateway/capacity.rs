//! Decides on arrival whether a request can be served now, without I/O.
//!
//! Handles services whose leaves have all crashed, are overloaded and have named a time to come back,
//! or have used up the rates that they named: a request that needs them is refused at once instead
//! of using other leaves and failing at its deadline.

use thiserror::Error;

use super::connection_limits::ConnectionLimits;
use super::leaves::{Leaves, NoLeafError};
use crate::ids::ServiceKey;

/// Time for which a request waits for leaves that all refuse connections. A leaf that only starts again
/// accepts connections within this time.
const SHORT_OUTAGE_US: u64 = 60_000;

/// Reason why a request can't be served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CapacityError {
    /// Too many services have no leaves, or none whose address does not refuse connections.
    #[error("services have no reachable leaves")]
    Unreachable,
    /// This VM has lost its links to the leaves, and open connections to too few services are left.
    #[error("no leaf can be reached from this VM")]
    LinksLost,
    /// Too many services are at the limits that their leaves have named.
    #[error("leaves take no further requests by the rates that they have named")]
    RateLimited,
    /// The leaves of too many services want no calls.
    #[error("leaves want no requests for now")]
    RetryAfter {
        /// Earliest time at which enough services may be called.
        at_us: u64,
    },
}

impl Leaves {
    /// Checks that a leaf of at least `min_services` services takes a call now: its address does not
    /// refuse connections, and the limits and the times without calls that it has named allow it.
    ///
    /// # Errors
    ///
    /// Fails if a request to these services can't be served now.
    pub fn check_capacity(
        &self,
        services: &[ServiceKey],
        min_services: usize,
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> Result<(), CapacityError> {
        let is_empty = |service: &ServiceKey| self.of_service(*service).is_empty();
        if !self.has_rate_limits
            && self.cold_leaves() == 0
            && !self.has_retry_after(now_us)
            && !self.has_unreachable()
            && !services.iter().any(is_empty)
        {
            return Ok(());
        }
        let mut free = 0;
        let mut unreachable = 0;
        let mut retry_at_us = Vec::new();
        for service in services {
            match self.choose(*service, &[], limits, now_us) {
                Err(NoLeafError::RateLimited) => {}
                Err(NoLeafError::RetryAfter { at_us }) => retry_at_us.push(at_us),
                Err(NoLeafError::NoneAvailable) => unreachable += 1,
                Err(NoLeafError::Unreachable { since_us }) if is_lasting(since_us, now_us) => {
                    unreachable += 1;
                }
                Ok(_) | Err(_) => free += 1,
            }
        }
        let min_services = min_services.min(services.len());
        let missing = min_services.saturating_sub(free);
        if missing == 0 {
            return Ok(());
        }
        if services.len() - unreachable < min_services {
            return Err(CapacityError::Unreachable);
        }
        retry_at_us.sort_unstable();
        match retry_at_us.get(missing - 1) {
            Some(at_us) => Err(CapacityError::RetryAfter { at_us: *at_us }),
            None => Err(CapacityError::RateLimited),
        }
    }
}

impl Leaves {
    /// Checks that a leaf of at least `min_services` services has an open connection that can be used,
    /// since no new ones can be opened.
    ///
    /// # Errors
    ///
    /// Fails if a request to these services can't be served now.
    pub fn check_open_connections(
        &self,
        services: &[ServiceKey],
        min_services: usize,
        now_ms: u64,
    ) -> Result<(), CapacityError> {
        let has_connection = |service: &&ServiceKey| {
            let mut leaves = self.of_service(**service).iter();
            leaves.any(|key| self.get(*key).is_some_and(|leaf| leaf.has_idle(now_ms)))
        };
        let connected = services.iter().filter(has_connection).count();
        if connected < min_services.min(services.len()) {
            return Err(CapacityError::LinksLost);
        }
        Ok(())
    }
}

/// Returns whether the leaves of a service have refused connections for so long that a request
/// should not wait for them.
pub(super) fn is_lasting(since_us: u64, now_us: u64) -> bool {
    now_us.saturating_sub(since_us) >= SHORT_OUTAGE_US
}
