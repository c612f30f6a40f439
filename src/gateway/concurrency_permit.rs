//! Acquires the permit of a scatter-gather request and releases it when the request ends.
//!
//! Connects the engine to the concurrency limiter, which handles overload of the leaves.

use std::sync::Arc;

use super::concurrency_limiter::CompletedRequest;
use super::engine::{Engine, State};
use super::fanout::FanoutPlan;
use crate::clock::boot_ms;
use crate::ids::ServiceKey;

impl Engine {
    /// Returns whether calls to a group of shards, identified by the first, queue at the leaves.
    pub fn is_under_pressure(&self, group: ServiceKey) -> bool {
        let state = &*self.state();
        state.admission.is_limited(group) || state.concurrency_limiter.is_saturated(group)
    }

    /// Admits a request to a set of shards, identified by the first, or rejects it.
    ///
    /// # Errors
    ///
    /// Fails with the limit and the pressure if the leaves' queues are too long.
    pub fn admit(
        self: &Arc<Self>,
        shards: &[ServiceKey],
        rank: u32,
    ) -> Result<ConcurrencyPermit, (f64, f64)> {
        let group = group_of(shards);
        let concurrency_limiter = &mut self.state().concurrency_limiter;
        if !concurrency_limiter.admit(group, rank) {
            return Err(concurrency_limiter.limit_and_pressure(group));
        }
        Ok(ConcurrencyPermit {
            engine: Arc::clone(self),
            group,
        })
    }
}

impl State {
    /// Checks whether a request to a set of shards would be admitted now, without admitting it. Fails with the
    /// limit and the pressure.
    pub(super) fn check_admission(
        &self,
        shards: &[ServiceKey],
        rank: u32,
    ) -> Result<(), (f64, f64)> {
        let group = group_of(shards);
        if self.concurrency_limiter.would_admit(group, rank) {
            return Ok(());
        }
        Err(self.concurrency_limiter.limit_and_pressure(group))
    }
}

/// Returns the group of a set of shards, which is identified by the first one.
fn group_of(shards: &[ServiceKey]) -> ServiceKey {
    shards.first().copied().unwrap_or(ServiceKey::new(0))
}

/// Permit of one running scatter-gather request, released on drop.
#[derive(Debug)]
pub struct ConcurrencyPermit {
    engine: Arc<Engine>,
    group: ServiceKey,
}

impl ConcurrencyPermit {
    /// Completes the request and adjusts the limit by its median call latency.
    pub fn finish(self, plan: &FanoutPlan, median_call_us: u64) {
        let state = &mut *self.engine.state();
        let completed = CompletedRequest {
            route: &plan.route,
            target_us: plan.target_us,
            median_call_us,
            now_ms: boot_ms(),
        };
        let leaves = &state.leaves;
        let min_limit = || leaves.min_slots(&plan.services) / state.vms.max(1);
        state
            .concurrency_limiter
            .observe(self.group, completed, min_limit);
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.engine.state().concurrency_limiter.release(self.group);
    }
}
