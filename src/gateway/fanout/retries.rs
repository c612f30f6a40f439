//! Decides on retries and hedges of a request, and on shards that can get no further call.

use super::Fanout;
use crate::gateway::connection::CallError;
use crate::gateway::shard::Shard;
use crate::ids::ServiceKey;

/// Delay before a failed call is retried in requests over several shards. Refusals arrive within
/// this time, so that the number of extra calls that the request needs is known by then.
const RETRY_DELAY_US: u64 = 4_000;

/// Share of the target latency for which a request waits for the retry budget, as a divisor. A call that is
/// sent later hardly ends in time.
const BUDGET_WAIT_DIVISOR: u64 = 2;

impl Fanout {
    /// Returns whether a hedge may be sent: while calls queue at the leaves, only those that an answer in
    /// time needs.
    pub(super) fn may_hedge(&self, elapsed_us: u64) -> bool {
        let group = self.plan.services.first();
        let is_loaded = group.is_some_and(|group| self.engine.is_under_pressure(*group));
        !is_loaded || self.shard_counts(elapsed_us).retries_needed() > 0
    }

    pub(super) fn is_hedge_due(&self, shard: &Shard, elapsed_us: u64) -> bool {
        let age_us = elapsed_us.saturating_sub(shard.last_sent_us);
        !shard.hedged
            && shard.sent < self.plan.max_attempts
            && age_us >= self.plan.schedule.early_hedge_us
    }

    /// Returns how many extra calls have to succeed for an answer in time, or 0 if the call to a shard is an
    /// early hedge: the open call is still expected in time.
    pub(super) fn extra_calls_needed(&self, index: usize, elapsed_us: u64) -> usize {
        let shard = &self.shards[index];
        let hedge_us = self.plan.schedule.hedge_us;
        if !shard.needs_call && shard.is_on_time(elapsed_us, hedge_us) {
            return 0;
        }
        self.shard_counts(elapsed_us).retries_needed()
    }

    /// Returns whether the retry budgets allow an extra call to a service. A call that is needed together
    /// with others is wasted unless the budgets of enough late shards allow one too.
    pub(super) fn allows_extra_call(
        &self,
        service: ServiceKey,
        needed: usize,
        elapsed_us: u64,
    ) -> bool {
        if !self.engine.allows_retry(service, needed > 0) {
            return false;
        }
        if needed <= 1 {
            return true;
        }
        let hedge_us = self.plan.schedule.hedge_us;
        let shards = self.shards.iter();
        let late = shards.filter(|s| s.is_pending() && !s.is_on_time(elapsed_us, hedge_us));
        self.engine.affordable_retries(late.map(|s| s.service)) >= needed
    }

    /// Handles a denied extra call.
    ///
    /// A shard with an error reply completes with it. A request that fails without this shard waits for
    /// the budget while an answer may still arrive in time. Later it fails, since the caller is
    /// better served by its own next attempt.
    pub(super) fn handle_budget_exhausted(
        &mut self,
        index: usize,
        is_required: bool,
        elapsed_us: u64,
    ) {
        let may_wait = elapsed_us < self.plan.target_us / BUDGET_WAIT_DIVISOR;
        let shard = &mut self.shards[index];
        let fails_request = shard.open_calls == 0 && is_required && !may_wait;
        if shard.fallback.is_some() || fails_request {
            shard.finish();
            self.denied_retries += 1;
        }
    }

    /// Handles a shard that has no leaf, or whose leaves were all tried.
    pub(super) fn handle_leaves_exhausted(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.open_calls > 0 {
            shard.hedged = true;
            return;
        }
        if shard.sent == 0 && !shard.tried.is_empty() {
            // Only connections failed and nothing was sent, so the same leaves may be tried again.
            shard.tried.clear();
            return;
        }
        shard.finish();
    }

    /// Handles a shard whose leaves take no further calls for now, or refuse connections. It is not
    /// worth waiting for them: other requests wait as well, and the caller may be told to come back.
    pub(super) fn handle_calls_unwanted(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.open_calls > 0 {
            shard.needs_call = false;
            shard.hedged = true;
            return;
        }
        shard.finish();
    }

    pub(super) fn handle_failure(&mut self, index: usize, error: CallError) {
        let shard = &mut self.shards[index];
        if !error.was_sent() {
            shard.sent -= 1;
        }
        if shard.reply.is_some() {
            return;
        }
        let may_retry = self.plan.idempotent || error.has_not_run();
        if may_retry && shard.sent < self.plan.max_attempts {
            self.schedule_retry(index);
        } else if shard.open_calls == 0 {
            shard.finish();
        }
    }

    pub(super) fn schedule_retry(&mut self, index: usize) {
        let is_single_shard = self.shards.len() == 1;
        let delay_us = if is_single_shard { 0 } else { RETRY_DELAY_US };
        let retry_at_us = self.elapsed_us() + delay_us;
        let shard = &mut self.shards[index];
        shard.needs_call = true;
        shard.next_call_us = retry_at_us;
    }
}
