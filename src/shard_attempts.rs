//! Tracks the calls of a run for one shard and schedules its retries and hedges.
//!
//! Failed replicas are retried on others at once, then in rounds with exponential backoff. The
//! module does no I/O and reads no clock.

use crate::answer::Reason;
use crate::ids::LeafKey;

/// Backoff before the second round over all replicas of a shard; doubles with each round.
const INITIAL_BACKOFF_US: u64 = 4_000;

/// Upper bound of the backoff; bounds the delay until a recovered replica is used again.
const MAX_BACKOFF_US: u64 = 50_000;

/// Rounds over all replicas under the latency policy.
const MAX_LATENCY_POLICY_ROUNDS: u32 = 2;

/// A call that ended without a valid answer, or an attempt for which no replica was available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Reason that the answer reports for the shard if no later attempt succeeds.
    pub reason: Reason,
    /// Whether the leaf may have run the call, so that the next attempt spends retry budget.
    pub may_have_run: bool,
    /// Whether no replica was available.
    pub no_replica: bool,
}

/// A scheduled retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRetry {
    /// Time of the retry.
    pub at_us: u64,
    /// Whether it spends retry budget.
    pub uses_budget: bool,
}

/// Attempts of one run for one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardAttempts {
    /// Replicas tried in this round.
    pub tried: Vec<LeafKey>,
    /// Replicas that refused a call because they do not serve the snapshot.
    pub without_snapshot: Vec<LeafKey>,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Content of the first valid answer.
    pub body: Option<Box<str>>,
    /// Reason of the last failure, while the shard has no answer.
    pub missing_reason: Option<Reason>,
    /// Scheduled retry, if any; set only while no call is in flight.
    pub pending: Option<PendingRetry>,
    hedge_at_us: u64,
    rounds: u32,
}

impl ShardAttempts {
    /// Records that a call was sent to a replica, and schedules its hedge.
    pub fn record_sent(&mut self, leaf: LeafKey, now_us: u64, hedge_delay_us: u64) {
        self.tried.push(leaf);
        self.in_flight += 1;
        self.pending = None;
        self.hedge_at_us = now_us.saturating_add(hedge_delay_us);
    }

    /// Returns the replicas that the next call must not use.
    pub fn excluded(&self) -> Vec<LeafKey> {
        let mut excluded = self.tried.clone();
        excluded.extend(&self.without_snapshot);
        excluded
    }

    /// Returns whether the shard has an answer, or neither a call in flight nor a scheduled retry.
    pub fn is_finished(&self) -> bool {
        self.body.is_some() || (self.in_flight == 0 && self.pending.is_none())
    }

    /// Returns the time of the next hedge or retry, or `u64::MAX` if none is scheduled.
    /// `max_concurrent_calls` limits the hedges.
    pub fn next_event_us(&self, max_concurrent_calls: u32) -> u64 {
        if self.body.is_some() {
            return u64::MAX;
        }
        match self.pending {
            Some(pending) => pending.at_us,
            None if self.can_be_hedged(max_concurrent_calls) => self.hedge_at_us,
            None => u64::MAX,
        }
    }

    /// Returns whether a hedge is due and would not exceed `max_concurrent_calls`.
    pub fn is_hedge_due(&self, now_us: u64, max_concurrent_calls: u32) -> bool {
        self.body.is_none()
            && self.can_be_hedged(max_concurrent_calls)
            && self.hedge_at_us <= now_us
    }

    fn can_be_hedged(&self, max_concurrent_calls: u32) -> bool {
        (1..max_concurrent_calls).contains(&self.in_flight)
    }

    /// Postpones a hedge that the budget denied or for which no replica was available.
    pub fn defer_hedge(&mut self, until_us: u64) {
        self.hedge_at_us = until_us;
    }

    /// Records a failed attempt, and schedules a retry if no other call is in flight.
    ///
    /// An untried replica is used at once. After a round over all replicas the shard backs off; if
    /// `persistent`, rounds continue until the deadline.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        replicas: usize,
        persistent: bool,
        now_us: u64,
    ) {
        if self.body.is_some() || self.in_flight > 0 {
            return;
        }
        self.missing_reason = Some(failure.reason);
        let uses_budget = failure.may_have_run;
        if !failure.no_replica && self.tried.len() < replicas {
            let at_us = now_us;
            self.pending = Some(PendingRetry { at_us, uses_budget });
            return;
        }
        self.rounds += 1;
        if !persistent && self.rounds >= MAX_LATENCY_POLICY_ROUNDS {
            self.pending = None;
            return;
        }
        self.tried.clear();
        let at_us = now_us + backoff_us(self.rounds - 1);
        self.pending = Some(PendingRetry { at_us, uses_budget });
    }

    /// Cancels the scheduled retry of a shard without an answer.
    pub fn cancel_retry(&mut self, reason: Reason) {
        self.pending = None;
        self.missing_reason = Some(reason);
    }

    /// Postpones a retry that the budget denied, or cancels it unless `persistent`.
    pub fn defer_retry(&mut self, persistent: bool, now_us: u64) {
        let at_us = now_us + INITIAL_BACKOFF_US;
        self.pending = persistent.then_some(PendingRetry {
            at_us,
            uses_budget: true,
        });
    }
}

fn backoff_us(round: u32) -> u64 {
    (INITIAL_BACKOFF_US << round.min(8)).min(MAX_BACKOFF_US)
}
