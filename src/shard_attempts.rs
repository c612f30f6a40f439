//! What a run has tried for one shard, and when it tries again (pure).

use crate::answer::Reason;
use crate::ids::LeafKey;

/// Wait before all replicas of a shard are tried again; doubles with each round.
const INITIAL_BACKOFF_US: u64 = 4_000;

/// Longest wait between two tries; bounds how late a replica that returns is noticed.
const MAX_BACKOFF_US: u64 = 50_000;

/// Rounds over all replicas that a service which prefers latency makes.
const MAX_LATENCY_POLICY_ROUNDS: u32 = 2;

/// A call that ended without an answer, or a try that found no replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What the answer reports if no later try succeeds.
    pub reason: Reason,
    /// Whether the next try may repeat an execution and draws on the budget.
    pub may_have_run: bool,
    /// Whether no replica could be chosen at all.
    pub no_replica: bool,
}

/// A try that is waiting for its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRetry {
    /// Time of the try.
    pub at_us: u64,
    /// Whether it draws on the budget.
    pub uses_budget: bool,
}

/// Tries of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardAttempts {
    /// Replicas tried in this round.
    pub tried: Vec<LeafKey>,
    /// Replicas that said they do not hold the snapshot.
    pub gone: Vec<LeafKey>,
    /// Calls without a reply.
    pub open: u32,
    /// Content of the first valid answer.
    pub body: Option<Box<str>>,
    /// Why the shard lacks an answer so far.
    pub missing_reason: Option<Reason>,
    /// Next try, if one is due while no call is open.
    pub pending: Option<PendingRetry>,
    hedge_at_us: u64,
    rounds: u32,
}

impl ShardAttempts {
    /// Records a call to a replica.
    pub fn record_sent(&mut self, leaf: LeafKey, now_us: u64, hedge_delay_us: u64) {
        self.tried.push(leaf);
        self.open += 1;
        self.pending = None;
        self.hedge_at_us = now_us.saturating_add(hedge_delay_us);
    }

    /// Returns replicas that the next call must not use.
    pub fn excluded(&self) -> Vec<LeafKey> {
        let mut excluded = self.tried.clone();
        excluded.extend(&self.gone);
        excluded
    }

    /// Returns whether nothing more will happen.
    pub fn is_finished(&self) -> bool {
        self.body.is_some() || (self.open == 0 && self.pending.is_none())
    }

    /// Returns the time at which the shard wants a hedge or a retry.
    pub fn wake_us(&self, may_hedge: bool) -> u64 {
        if self.body.is_some() {
            return u64::MAX;
        }
        match self.pending {
            Some(pending) => pending.at_us,
            None if self.open > 0 && may_hedge => self.hedge_at_us,
            None => u64::MAX,
        }
    }

    /// Returns whether a hedge is due.
    pub fn is_hedge_due(&self, now_us: u64) -> bool {
        self.body.is_none() && self.open > 0 && self.hedge_at_us <= now_us
    }

    /// Puts off a hedge that the budget denied or that found no replica.
    pub fn defer_hedge(&mut self, until_us: u64) {
        self.hedge_at_us = until_us;
    }

    /// Plans the next try of a shard without an open call.
    ///
    /// An untried replica is used at once. After a round over all replicas the shard waits, and
    /// `persistent` decides whether it goes on until the deadline.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        replicas: usize,
        persistent: bool,
        now_us: u64,
    ) {
        if self.body.is_some() || self.open > 0 {
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

    /// Ends the tries of a shard without an answer.
    pub fn give_up(&mut self, reason: Reason) {
        self.pending = None;
        self.missing_reason = Some(reason);
    }

    /// Puts off a retry that the budget denied; without `persistent` the shard is given up.
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
