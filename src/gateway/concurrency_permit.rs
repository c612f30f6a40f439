//! Place of a gathering request among those that this VM runs at a time.

use std::sync::Arc;

use super::concurrency_limiter::CompletedRequest;
use super::engine::Engine;
use super::fanout::FanoutPlan;
use crate::clock::boot_ms;
use crate::ids::ServiceKey;

impl Engine {
    /// Takes in a request to a set of shards, named by the first, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with the limit and the pressure if the leaves' queues are too long.
    pub fn admit(
        self: &Arc<Self>,
        shards: &[ServiceKey],
        rank: u32,
    ) -> Result<ConcurrencyPermit, (f64, f64)> {
        let group = shards.first().copied().unwrap_or(ServiceKey::new(0));
        let concurrency_limiter = &mut self.state().concurrency_limiter;
        if !concurrency_limiter.admit(group, rank) {
            return Err(concurrency_limiter.limit(group));
        }
        Ok(ConcurrencyPermit {
            engine: Arc::clone(self),
            group,
        })
    }
}

/// Place of a request among those that run at a time; dropping it gives it back.
#[derive(Debug)]
pub struct ConcurrencyPermit {
    engine: Arc<Engine>,
    group: ServiceKey,
}

impl ConcurrencyPermit {
    /// Ends the request: its usual call time adjusts the limit.
    pub fn finish(self, plan: &FanoutPlan, median_call_us: u64) {
        let state = &mut *self.engine.state();
        let ended = CompletedRequest {
            route: &plan.route,
            target_us: plan.target_us,
            median_call_us,
            now_ms: boot_ms(),
        };
        let leaves = &state.leaves;
        let least = || leaves.min_slots(&plan.services) / state.vms.max(1);
        state.concurrency_limiter.observe(self.group, ended, least);
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.engine.state().concurrency_limiter.release(self.group);
    }
}
