//! Slots that a service has, counted for admission, and what admission learns from answers.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::RngExt;

use crate::admission::{Departure, Supply};
use crate::answer::{Answer, CallerRequest, Lack, Reason};
use crate::clock::boot_ms;
use crate::control::LeafView;
use crate::fact::LeafState;
use crate::fleet::Fleet;
use crate::root::{Root, State};

/// Time between two counts of the slots that a service has.
const SUPPLY_INTERVAL_MS: u64 = 500;

/// Share of the shards that have to wait too long before an answer counts as starved of slots, as
/// a divisor. Fewer are more likely lost or silent replicas than a lack of slots.
const STARVED_DIVISOR: usize = 4;

impl Root {
    /// Returns the slots that a service has, counted again from time to time.
    pub(crate) fn supply(&self, state: &mut State, service: &str) -> Supply {
        let now_ms = boot_ms();
        if let Some((supply, counted_ms)) = state.supplies.get(service)
            && now_ms < counted_ms + SUPPLY_INTERVAL_MS
        {
            return *supply;
        }
        let fleet = self.control.fleet();
        let supply = self
            .control
            .with_leaf_views(|views| count_supply(&fleet, service, views));
        state.supplies.insert(service.into(), (supply, now_ms));
        supply
    }

    /// Tells admission how a request went.
    pub(crate) fn learn(&self, request: &CallerRequest, answer: &Answer, elapsed_ms: u64) {
        let waited = |lack: &&Lack| matches!(lack.reason, Reason::Shed | Reason::Timeout);
        let starved =
            answer.lacking.iter().filter(waited).count() * STARVED_DIVISOR > answer.shards as usize;
        // A partial answer is late because its policy waits for lost replicas, not for slots.
        if !answer.lacking.is_empty() && !starved {
            return;
        }
        self.state().admission.learn(Departure {
            service: &request.service,
            deadline_ms: request.deadline_ms,
            elapsed_ms,
            starved,
            now_ms: boot_ms(),
        });
    }
}

/// Counts what a service's live leaves can take.
fn count_supply(fleet: &Fleet, service: &str, views: &HashMap<SocketAddr, LeafView>) -> Supply {
    let mut supply = Supply {
        slots: 0,
        shards: 1,
        vms: fleet.vms.iter().filter(|vm| vm.live).count(),
    };
    let Some(key) = fleet.find_service(service) else {
        return supply;
    };
    for layout in &fleet.service(key).layouts {
        supply.shards = supply.shards.max(layout.shards.len());
    }
    for leaf in &fleet.leaves {
        // A leaf without a view counts: at the start most views are missing, and too few places
        // would refuse requests that the leaves can serve.
        let live = views
            .get(&leaf.address)
            .is_none_or(|view| matches!(view.state, LeafState::Up | LeafState::Warming));
        if leaf.service == key && live && !leaf.leaving {
            supply.slots += leaf.slots as usize;
        }
    }
    supply
}

/// Spreads a wait over half to one and a half of itself, so that refused callers don't come back
/// all at once.
pub(crate) fn spread(wait_ms: u64) -> u64 {
    rand::rng().random_range(wait_ms / 2..=wait_ms + wait_ms / 2)
}
