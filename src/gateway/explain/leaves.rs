//! Explains the choice of a leaf: what counts against each leaf of a service.

use super::report::{LeafExplanation, LeafReason, NoLeafReason};
use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::leaf_capacity::WorkKind;
use crate::gateway::leaves::{Leaf, LeafCost, LeafVerdict, Leaves, NoLeafError};
use crate::ids::ServiceKey;

/// Explanation of the choice among the leaves of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChoiceExplanation {
    /// ID of the leaf that would be chosen.
    pub chosen: Option<Box<str>>,
    /// Reason why none would be.
    pub no_leaf: Option<NoLeafReason>,
    /// Verdicts on all listed leaves, sorted by ID.
    pub leaves: Vec<LeafExplanation>,
}

impl Leaves {
    /// Explains which leaf of a service [`Self::choose`] returns for a first call.
    pub fn explain_choice(
        &self,
        kind: WorkKind,
        service: ServiceKey,
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> ChoiceExplanation {
        let choice = self.choose_for(kind, service, &[], limits, now_us);
        let of_service = self.iter().filter(|(_, leaf)| leaf.service == service);
        let mut judged: Vec<_> = of_service
            .map(|(key, leaf)| (key, leaf, self.verdict(kind, key, &[], limits, now_us)))
            .collect();
        judged.sort_by_key(|(_, leaf, _)| &leaf.record.id);
        let costs = judged.iter().filter_map(|(_, _, verdict)| cost(*verdict));
        let fastest_us = costs.map(|cost| cost.expected_us).min().unwrap_or(0);
        let explain = |(key, leaf, verdict): &(_, &Leaf, LeafVerdict)| LeafExplanation {
            id: leaf.record.id.clone(),
            address: leaf.address(),
            failure_domain: leaf.record.failure_domain.clone(),
            is_chosen: choice == Ok(*key),
            cost_us: cost(*verdict).map(|cost| cost.total_us()),
            open_calls: leaf.leaf_stats.open_calls(),
            reasons: reasons(leaf, *verdict, fastest_us, now_us),
        };
        ChoiceExplanation {
            chosen: choice
                .ok()
                .and_then(|key| Some(self.get(key)?.record.id.clone())),
            no_leaf: choice.err().map(|error| no_leaf_reason(error, now_us)),
            leaves: judged.iter().map(explain).collect(),
        }
    }
}

fn cost(verdict: LeafVerdict) -> Option<LeafCost> {
    match verdict {
        LeafVerdict::Available(cost) => Some(cost),
        _ => None,
    }
}

/// Returns the time until a time on the boot clock, in milliseconds.
fn until_ms(at_us: u64, now_us: u64) -> u64 {
    at_us.saturating_sub(now_us).div_ceil(1_000)
}

fn no_leaf_reason(error: NoLeafError, now_us: u64) -> NoLeafReason {
    match error {
        NoLeafError::NoneAvailable => NoLeafReason::NoneAvailable,
        NoLeafError::NoConnection => NoLeafReason::NoConnection,
        NoLeafError::RateLimited => NoLeafReason::RateLimited,
        NoLeafError::RetryAfter { at_us } => NoLeafReason::RetryAfter {
            for_ms: until_ms(at_us, now_us),
        },
        NoLeafError::Unreachable { since_us } => NoLeafReason::Unreachable {
            since_ms: now_us.saturating_sub(since_us) / 1_000,
        },
    }
}

/// Returns what counts against a leaf. The costs are those beyond the expected latency of the fastest leaf,
/// so that they add up to the difference.
fn reasons(leaf: &Leaf, verdict: LeafVerdict, fastest_us: u64, now_us: u64) -> Vec<LeafReason> {
    let excluded = match verdict {
        LeafVerdict::Available(cost) => return cost_reasons(leaf, cost, fastest_us, now_us),
        LeafVerdict::Draining => LeafReason::Draining,
        LeafVerdict::Evacuated => LeafReason::Evacuated,
        LeafVerdict::Tried => LeafReason::Tried,
        LeafVerdict::Misdirected { until_ms: end_ms } => LeafReason::Misdirected {
            for_ms: end_ms.saturating_sub(now_us / 1_000),
        },
        LeafVerdict::Unreachable { since_us } => LeafReason::Unreachable {
            since_ms: now_us.saturating_sub(since_us) / 1_000,
        },
        LeafVerdict::NoConnection => LeafReason::NoConnection,
        LeafVerdict::RateLimited => LeafReason::RateLimited,
        LeafVerdict::Recovering => LeafReason::Recovering,
        LeafVerdict::RetryAfter { at_us } => LeafReason::RetryAfter {
            for_ms: until_ms(at_us, now_us),
        },
    };
    vec![excluded]
}

fn cost_reasons(leaf: &Leaf, cost: LeafCost, fastest_us: u64, now_us: u64) -> Vec<LeafReason> {
    // All parts are named, so that a new one can't be left out here.
    let LeafCost {
        expected_us,
        distance_us,
        connect_us,
        warmup_us,
        pause_us,
        rate_wait_us,
        last_choice_us,
    } = cost;
    let slower_us = expected_us.saturating_sub(fastest_us);
    let parts = [
        (slower_us, slower(leaf, slower_us, now_us)),
        costed(distance_us, |cost_us| LeafReason::OtherDomain { cost_us }),
        costed(connect_us, |cost_us| LeafReason::NewConnection { cost_us }),
        costed(warmup_us, |cost_us| LeafReason::Cold { cost_us }),
        costed(pause_us, |cost_us| LeafReason::Paused { cost_us }),
        costed(rate_wait_us, |cost_us| LeafReason::RateWait { cost_us }),
        costed(last_choice_us, |cost_us| LeafReason::RefusesOtherVms {
            cost_us,
        }),
    ];
    let counted = parts.into_iter().filter(|(cost_us, _)| *cost_us > 0);
    counted.map(|(_, reason)| reason).collect()
}

fn costed(cost_us: u64, reason: impl FnOnce(u64) -> LeafReason) -> (u64, LeafReason) {
    (cost_us, reason(cost_us))
}

fn slower(leaf: &Leaf, cost_us: u64, now_us: u64) -> LeafReason {
    let leaf_stats = &leaf.leaf_stats;
    LeafReason::Slower {
        cost_us,
        average_us: leaf_stats.average_us(),
        failure_rate_ppm: leaf_stats.failure_rate_ppm(now_us / 1_000),
        is_stalled: leaf_stats.is_stalled_anywhere(now_us),
        has_failed: leaf_stats.is_failing(now_us),
    }
}
