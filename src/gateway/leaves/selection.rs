//! Selects the replica with the lowest expected latency for a call.
//!
//! Handles leaves that are slow, failing, paused, warming up, at their limits or unreachable.

use super::{Leaf, LeafCost, LeafVerdict, Leaves};
use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::leaf_capacity::WorkKind;
use crate::gateway::retry_after::{Admission, REMOTE_RETRY_AFTER_COST_US};
use crate::ids::{LeafKey, ServiceKey};

/// Latency cost of a call to another failure domain: network round trip and transfer.
const REMOTE_COST_US: u64 = 5_000;

/// Latency cost of setting up a new connection at the leaf.
const CONNECT_COST_US: u64 = 7_000;

/// Latency cost of a call to a leaf that has started recently.
const WARMUP_COST_US: u64 = 40_000;

/// Reason why no leaf of a service can take a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLeafError {
    /// The service has no eligible leaf.
    NoneAvailable,
    /// All connections to its leaves are in use.
    NoConnection,
    /// Its leaves take no further calls for now, by the limits that they have named.
    RateLimited,
    /// Its leaves want no calls for now.
    RetryAfter {
        /// Earliest time at which one may be called.
        at_us: u64,
    },
    /// The addresses of its leaves refuse connections.
    Unreachable {
        /// Time since which all of them do.
        since_us: u64,
    },
}

impl Leaves {
    /// Chooses the leaf of a service with the lowest expected latency, excluding those already
    /// tried.
    ///
    /// # Errors
    ///
    /// Fails if the service has no untried leaf, none with a free connection, or none that takes a
    /// call now.
    pub fn choose(
        &self,
        service: ServiceKey,
        tried: &[LeafKey],
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> Result<LeafKey, NoLeafError> {
        self.choose_for(WorkKind::default(), service, tried, limits, now_us)
    }

    /// Chooses the leaf with the lowest expected latency of a kind of work, as [`Self::choose`].
    ///
    /// # Errors
    ///
    /// Fails for the same reasons.
    pub fn choose_for(
        &self,
        kind: WorkKind,
        service: ServiceKey,
        tried: &[LeafKey],
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> Result<LeafKey, NoLeafError> {
        let mut best: Option<(u64, LeafKey)> = None;
        let mut has_no_connection = false;
        let mut is_rate_limited = false;
        let mut retry_at_us: Option<u64> = None;
        let mut unreachable_since_us: Option<u64> = None;
        for key in self.of_service(service) {
            match self.verdict(kind, *key, tried, limits, now_us) {
                LeafVerdict::Available(cost) => {
                    let cost_us = cost.total_us();
                    if best.is_none_or(|(lowest_us, _)| cost_us < lowest_us) {
                        best = Some((cost_us, *key));
                    }
                }
                LeafVerdict::Draining
                | LeafVerdict::Evacuated
                | LeafVerdict::Tried
                | LeafVerdict::Misdirected { .. } => {}
                LeafVerdict::Unreachable { since_us } => {
                    unreachable_since_us = unreachable_since_us.max(Some(since_us));
                }
                LeafVerdict::NoConnection | LeafVerdict::Recovering => has_no_connection = true,
                LeafVerdict::RateLimited => is_rate_limited = true,
                LeafVerdict::RetryAfter { at_us } => {
                    retry_at_us = Some(retry_at_us.map_or(at_us, |earlier| earlier.min(at_us)));
                }
            }
        }
        best.map(|(_, key)| key).ok_or({
            if has_no_connection {
                NoLeafError::NoConnection
            } else if is_rate_limited {
                NoLeafError::RateLimited
            } else if let Some(at_us) = retry_at_us {
                NoLeafError::RetryAfter { at_us }
            } else if let Some(since_us) = unreachable_since_us {
                NoLeafError::Unreachable { since_us }
            } else {
                NoLeafError::NoneAvailable
            }
        })
    }

    /// Returns whether a leaf can take a call now that has been sent to the `tried` leaves, and at what cost.
    ///
    /// Both [`Self::choose`] and the explanation of a choice use this verdict.
    pub fn verdict(
        &self,
        kind: WorkKind,
        key: LeafKey,
        tried: &[LeafKey],
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> LeafVerdict {
        let leaf = self.arena.get(&key);
        let Some(leaf) = leaf.filter(|leaf| !leaf.retired && !leaf.is_departing()) else {
            return LeafVerdict::Draining;
        };
        if leaf.is_evacuated {
            return LeafVerdict::Evacuated;
        }
        if tried.contains(&key) {
            return LeafVerdict::Tried;
        }
        if now_us / 1_000 < leaf.misdirected_until_ms {
            let until_ms = leaf.misdirected_until_ms;
            return LeafVerdict::Misdirected { until_ms };
        }
        if let Some(since_us) = leaf.unreachable_since_us {
            return LeafVerdict::Unreachable { since_us };
        }
        if leaf.idle.is_empty() && leaf.connections >= limits.per_leaf(leaf.service) {
            return LeafVerdict::NoConnection;
        }
        let Some(rate_wait_us) = self.rate_limit_wait_us(leaf, now_us) else {
            return LeafVerdict::RateLimited;
        };
        let retry_after = leaf.retry_after;
        let last_choice_us = match retry_after.admission(leaf.leaf_stats.open_calls(), now_us) {
            Admission::Allowed => 0,
            Admission::LastChoice => REMOTE_RETRY_AFTER_COST_US,
            Admission::Recovering => return LeafVerdict::Recovering,
            Admission::NotBefore(at_us) => return LeafVerdict::RetryAfter { at_us },
        };
        LeafVerdict::Available(LeafCost {
            rate_wait_us,
            last_choice_us,
            ..self.cost(kind, key, leaf, now_us)
        })
    }

    fn cost(&self, kind: WorkKind, key: LeafKey, leaf: &Leaf, now_us: u64) -> LeafCost {
        let mut cost = LeafCost {
            expected_us: self.expected_us(kind, key, leaf, now_us),
            ..LeafCost::default()
        };
        if leaf.record.failure_domain != self.own_domain {
            cost.distance_us = REMOTE_COST_US;
        }
        if leaf.idle.is_empty() {
            cost.connect_us = CONNECT_COST_US;
        }
        if now_us / 1_000 < leaf.warmup_until_ms {
            cost.warmup_us = WARMUP_COST_US;
        }
        let call_us = leaf.leaf_stats.average_us();
        let pause_left_us = leaf
            .pause_predictor
            .pause_left_us(now_us, call_us, &self.pause_period);
        cost.pause_us = pause_left_us.unwrap_or(0);
        cost
    }
}
