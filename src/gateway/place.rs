//! Place of a gathering request among those that this VM runs at a time.

use std::sync::Arc;

use super::engine::Engine;
use super::fanout::Plan;
use super::overload::Ended;
use crate::clock::boot_ms;
use crate::ids::ServiceKey;

impl Engine {
    /// Takes in a request to a set of shards, named by the first, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with the limit and the pressure if the leaves' queues are too long.
    pub fn admit(self: &Arc<Self>, shards: &[ServiceKey], rank: u32) -> Result<Place, (f64, f64)> {
        let group = shards.first().copied().unwrap_or(ServiceKey::new(0));
        let overload = &mut self.state().overload;
        if !overload.admit(group, rank) {
            return Err(overload.limit(group));
        }
        Ok(Place {
            engine: Arc::clone(self),
            group,
        })
    }
}

/// Place of a request among those that run at a time; dropping it gives it back.
#[derive(Debug)]
pub struct Place {
    engine: Arc<Engine>,
    group: ServiceKey,
}

impl Place {
    /// Ends the request: its usual call time adjusts the limit.
    pub fn finish(self, plan: &Plan, usual_call_us: u64) {
        let state = &mut *self.engine.state();
        let ended = Ended {
            route: &plan.route,
            target_us: plan.target_us,
            usual_call_us,
            now_ms: boot_ms(),
        };
        let leaves = &state.leaves;
        let least = || leaves.least_slots(&plan.services) / state.vms.max(1);
        state.overload.learn(self.group, ended, least);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.engine.state().overload.release(self.group);
    }
}
