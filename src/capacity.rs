//! Supplies admission with the slots of a service and with the latency of completed requests.
//!
//! Admission derives its concurrency limit from the slots of the service's live leaves, and lowers
//! it when requests are late or when many of their shards are shed or time out.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::RngExt;

use crate::admission::{Departure, ServiceCapacity};
use crate::answer::{Answer, CallerRequest, MissingShard, Reason};
use crate::clock::boot_ms;
use crate::control::LeafView;
use crate::fact::LeafState;
use crate::fleet::Fleet;
use crate::root::{Root, RootState};

/// Time for which the slot count of a service is cached.
const CAPACITY_REFRESH_INTERVAL_MS: u64 = 500;

/// Divisor for the share of shards that must be shed or time out before a request counts as
/// starved of slots. A smaller share more likely means failed or unresponsive replicas than a lack
/// of slots.
const STARVED_DIVISOR: usize = 4;

impl Root {
    /// Returns the capacity of a service, recounted every `CAPACITY_REFRESH_INTERVAL_MS`.
    pub(crate) fn capacity(&self, state: &mut RootState, service: &str) -> ServiceCapacity {
        let now_ms = boot_ms();
        if let Some((capacity, cached_at_ms)) = state.capacities.get(service)
            && now_ms < cached_at_ms + CAPACITY_REFRESH_INTERVAL_MS
        {
            return *capacity;
        }
        let fleet = self.control.fleet();
        let capacity = self
            .control
            .with_leaf_views(|views| count_capacity(&fleet, service, views));
        state.capacities.insert(service.into(), (capacity, now_ms));
        capacity
    }

    /// Reports a completed request's latency and slot starvation to admission.
    pub(crate) fn record_completion(
        &self,
        request: &CallerRequest,
        answer: &Answer,
        elapsed_ms: u64,
    ) {
        let waited_for_slot = |missing_shard: &&MissingShard| {
            matches!(missing_shard.reason, Reason::Shed | Reason::Timeout)
        };
        let starved = answer.missing.iter().filter(waited_for_slot).count() * STARVED_DIVISOR
            > answer.shards as usize;
        // A partial answer that isn't starved is late because its policy waits for lost replicas,
        // so its latency is no sign of overload.
        if !answer.missing.is_empty() && !starved {
            return;
        }
        self.state().admission.record_completion(Departure {
            service: &request.service,
            deadline_ms: request.deadline_ms,
            elapsed_ms,
            starved,
            now_ms: boot_ms(),
        });
    }
}

/// Counts the slots of a service's live leaves, the calls that one request makes and the live VMs.
fn count_capacity(
    fleet: &Fleet,
    service: &str,
    views: &HashMap<SocketAddr, LeafView>,
) -> ServiceCapacity {
    let mut capacity = ServiceCapacity {
        slots: 0,
        shards: 1,
        vms: fleet.vms.iter().filter(|vm| vm.live).count(),
    };
    let Some(key) = fleet.find_service(service) else {
        return capacity;
    };
    for layout in &fleet.service(key).layouts {
        capacity.shards = capacity.shards.max(layout.shards.len());
    }
    for leaf in &fleet.leaves {
        // A leaf without a view counts as live: most views are missing at startup, and a limit that
        // is too low would refuse requests that the leaves can serve.
        let live = views
            .get(&leaf.address)
            .is_none_or(|view| matches!(view.state, LeafState::Up | LeafState::Warming));
        if leaf.service == key && live && !leaf.leaving {
            capacity.slots += leaf.slots as usize;
        }
    }
    capacity
}

/// Returns a random wait between 0.5 and 1.5 times `wait_ms`, so that refused callers don't all
/// retry at the same time.
pub(crate) fn add_jitter(wait_ms: u64) -> u64 {
    rand::rng().random_range(wait_ms / 2..=wait_ms + wait_ms / 2)
}
