//! Slots that a service has, counted for admission, and what admission learns from answers.

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

/// Time between two counts of the slots that a service has.
const CAPACITY_REFRESH_INTERVAL_MS: u64 = 500;

/// Share of the shards that have to wait too long before an answer counts as starved of slots, as
/// a divisor. Fewer are more likely lost or silent replicas than a lack of slots.
const STARVED_DIVISOR: usize = 4;

impl Root {
    /// Returns the slots that a service has, counted again from time to time.
    pub(crate) fn capacity(&self, state: &mut RootState, service: &str) -> ServiceCapacity {
        let now_ms = boot_ms();
        if let Some((capacity, counted_ms)) = state.capacities.get(service)
            && now_ms < counted_ms + CAPACITY_REFRESH_INTERVAL_MS
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

    /// Tells admission how a request went.
    pub(crate) fn record_completion(
        &self,
        request: &CallerRequest,
        answer: &Answer,
        elapsed_ms: u64,
    ) {
        let waited = |missing_shard: &&MissingShard| {
            matches!(missing_shard.reason, Reason::Shed | Reason::Timeout)
        };
        let starved =
            answer.missing.iter().filter(waited).count() * STARVED_DIVISOR > answer.shards as usize;
        // A partial answer is late because its policy waits for lost replicas, not for slots.
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

/// Counts what a service's live leaves can take.
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
        // A leaf without a view counts: at the start most views are missing, and too few places
        // would refuse requests that the leaves can serve.
        let live = views
            .get(&leaf.address)
            .is_none_or(|view| matches!(view.state, LeafState::Up | LeafState::Warming));
        if leaf.service == key && live && !leaf.leaving {
            capacity.slots += leaf.slots as usize;
        }
    }
    capacity
}

/// Spreads a wait over half to one and a half of itself, so that refused callers don't come back
/// all at once.
pub(crate) fn add_jitter(wait_ms: u64) -> u64 {
    rand::rng().random_range(wait_ms / 2..=wait_ms + wait_ms / 2)
}
