//! Runs one request: calls one leaf, or one leaf of each shard, and collects the replies.
//!
//! Handles leaves that fail, refuse requests or are slow: failed calls are retried and slow calls
//! are hedged on other leaves, within the retry budget.

mod completion;
mod plan;
mod retries;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

pub use plan::{FanoutPlan, FanoutResult};

use super::attempt::Attempt;
use super::call::{CallSpec, OpenCall};
use super::capacity::is_lasting;
use super::connection::{CallError, Reply};
use super::engine::Engine;
use super::fanout_schedule::{FanoutDecision, FanoutSchedule, ShardCounts};
use super::leaf_capacity::WorkKind;
use super::leaves::NoLeafError;
use super::merge::RECORD_BYTES;
use super::shard::Shard;
use super::stop_schedule::StopSchedule;
use crate::clock::boot_us;
use crate::ids::LeafKey;

/// Interval between attempts to get a free connection or an extra call from the retry budget.
const POLL_INTERVAL_US: u64 = 4_000;

/// Shard index, leaf, start time on the boot clock and result of a call that has ended.
type CallEnd = (usize, LeafKey, u64, Result<Reply, CallError>);
type CallFuture = Pin<Box<dyn Future<Output = CallEnd> + Send>>;

/// A request in flight.
pub struct Fanout {
    engine: Arc<Engine>,
    plan: Arc<FanoutPlan>,
    spec: Arc<CallSpec>,
    attempt: Attempt,
    shards: Vec<Shard>,
    calls: FuturesUnordered<CallFuture>,
    started_us: u64,
    may_have_run: bool,
    sent_calls: usize,
    denied_retries: usize,
    is_rate_limited: bool,
    is_unreachable: bool,
    is_stopping: bool,
    retry_at_us: Option<u64>,
    last_error: Option<CallError>,
    stop: watch::Receiver<Option<StopSchedule>>,
    /// Whether requests are forwarded to other VMs, since this one reaches no leaf.
    forwards: watch::Receiver<bool>,
}

impl Fanout {
    /// Prepares a request that arrived at `started_us`.
    pub fn new(
        engine: Arc<Engine>,
        plan: Arc<FanoutPlan>,
        spec: Arc<CallSpec>,
        started_us: u64,
    ) -> Self {
        let sent = plan.prior_calls.sent as usize;
        let services = plan.services.iter().copied();
        let shards = services.map(|service| Shard::new(service, sent)).collect();
        let forwards = engine.forwards();
        let stop = engine.stop_schedule();
        let request_id = spec.request_id.as_bytes();
        let attempt = Attempt::new(Arc::clone(&engine), spec.content, request_id);
        Self {
            engine,
            attempt,
            plan,
            spec,
            shards,
            calls: FuturesUnordered::new(),
            started_us,
            may_have_run: false,
            sent_calls: 0,
            denied_retries: 0,
            is_rate_limited: false,
            is_unreachable: false,
            is_stopping: false,
            retry_at_us: None,
            last_error: None,
            stop,
            forwards,
        }
    }

    /// Runs the request to its end.
    ///
    /// Dropping the future cancels all its calls.
    pub async fn run(mut self) -> FanoutResult {
        if !self.plan.prior_calls.is_credited {
            self.engine.earn_retries(&self.plan.services);
        }
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        let mut timer_at_us = 0;
        loop {
            let elapsed_us = self.elapsed_us();
            if *self.forwards.borrow_and_update() && self.is_movable() {
                return self.finish(false);
            }
            let schedule = self.schedule();
            if self.has_time_for_calls(elapsed_us) {
                self.start_calls(elapsed_us);
            } else {
                self.fail_waiting_shards();
            }
            self.stop_pending_shards();
            match self.shard_counts(elapsed_us).step(&schedule, elapsed_us) {
                FanoutDecision::Answer => return self.finish(true),
                FanoutDecision::GiveUp => return self.finish(false),
                FanoutDecision::Wait => {}
            }
            let next_us = self.next_wake_us(&schedule, elapsed_us);
            if next_us != timer_at_us {
                timer_at_us = next_us;
                reset_timer(timer.as_mut(), next_us.saturating_sub(elapsed_us));
            }
            tokio::select! {
                biased;
                Some(ended) = self.calls.next(), if !self.calls.is_empty() =>
                    self.handle_call_end(ended),
                () = timer.as_mut() => timer_at_us = 0,
                Ok(()) = self.forwards.changed() => {}
                Ok(()) = self.stop.changed() => {}
            }
        }
    }

    /// Returns the deadlines of the request, which has to be answered before this VM stops.
    fn schedule(&mut self) -> FanoutSchedule {
        let schedule = self.plan.schedule;
        match *self.stop.borrow_and_update() {
            Some(stop) => schedule.ending_by(stop.answer_by_us.saturating_sub(self.started_us)),
            None => schedule,
        }
    }

    /// Returns whether leaves can answer further calls before this VM stops.
    fn has_time_for_calls(&self, elapsed_us: u64) -> bool {
        let Some(stop) = *self.stop.borrow() else {
            return true;
        };
        let now_us = self.started_us + elapsed_us;
        let deadline_us = self.started_us + self.plan.schedule.timeout_us;
        stop.allows_call(now_us, self.plan.expected_us, deadline_us)
    }

    /// Fails the shards that wait for a call, and leaves out hedges of the others.
    fn fail_waiting_shards(&mut self) {
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if !shard.is_pending() {
                continue;
            }
            if shard.needs_call {
                self.is_stopping = true;
                self.handle_calls_unwanted(index);
            } else {
                shard.hedged = true;
            }
        }
    }

    /// Returns the largest number of leaves of a shard to which the request was sent.
    fn sent(&self) -> usize {
        let sent = self.shards.iter().map(|shard| shard.sent);
        sent.max().unwrap_or(0)
    }

    /// Returns whether another VM may run the request: leaves of each shard are left, and it may run
    /// twice or has not run.
    fn is_movable(&self) -> bool {
        let any_open = self.shards.iter().any(|shard| shard.open_calls > 0);
        let may_run = self.plan.idempotent || !(self.may_have_run || any_open);
        may_run && self.sent() < self.plan.max_attempts
    }

    fn elapsed_us(&self) -> u64 {
        boot_us().saturating_sub(self.started_us)
    }

    fn shard_counts(&self, elapsed_us: u64) -> ShardCounts {
        let parts = self.shards.iter().filter(|s| s.reply.is_some()).count();
        let open = self.shards.iter().filter(|s| s.is_pending());
        let hedge_us = self.plan.schedule.hedge_us;
        let on_time = open.clone().filter(|s| s.is_on_time(elapsed_us, hedge_us));
        ShardCounts {
            parts,
            open: open.clone().count(),
            on_time: on_time.count(),
            min_parts: self.plan.min_parts,
        }
    }

    /// Starts first calls, retries of failed calls, and hedged calls to shards that are late.
    fn start_calls(&mut self, elapsed_us: u64) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            if !shard.is_pending() {
                continue;
            }
            if shard.needs_call {
                if elapsed_us >= shard.next_call_us && self.may_call(index) {
                    self.try_call(index, elapsed_us);
                }
                continue;
            }
            if self.plan.idempotent
                && self.is_hedge_due(shard, elapsed_us)
                && self.may_call(index)
                && self.may_hedge(elapsed_us)
            {
                let before = self.sent_calls;
                self.try_call(index, elapsed_us);
                self.shards[index].hedged = self.sent_calls > before;
            }
        }
    }

    /// Returns whether the content may be sent to another leaf of a shard now.
    fn may_call(&self, index: usize) -> bool {
        let allows_concurrent_calls = self.attempt.allows_concurrent_calls();
        if self.shards[index].sent == 0 && allows_concurrent_calls {
            return true;
        }
        (self.calls.is_empty() || allows_concurrent_calls)
            && !self.attempt.is_shard_stopped(index)
            && !self.attempt.is_stopped()
            && !self.attempt.awaits_answer()
    }

    /// Fails the shards that wait for a call if the content may be sent to no further leaf.
    fn stop_pending_shards(&mut self) {
        let is_stopped =
            self.calls.is_empty() && (self.attempt.is_stopped() || self.attempt.awaits_answer());
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let is_shard_stopped = shard.open_calls == 0 && self.attempt.is_shard_stopped(index);
            if shard.is_pending() && (is_stopped || is_shard_stopped) {
                shard.finish();
            }
        }
    }

    /// Starts a call to a shard, if a leaf, a connection and the budget allow it.
    fn try_call(&mut self, index: usize, elapsed_us: u64) {
        let shard = &self.shards[index];
        let service = shard.service;
        let is_extra_call = shard.sent > 0;
        if is_extra_call {
            let needed = self.extra_calls_needed(index, elapsed_us);
            // Checked before a leaf is chosen, since dropping an opened call closes its connection.
            if !self.allows_extra_call(service, needed, elapsed_us) {
                self.handle_budget_exhausted(index, needed > 0, elapsed_us);
                return;
            }
        }
        let kind = WorkKind::of_route(&self.plan.route);
        let (tried, body_bytes) = (&self.shards[index].tried, self.spec.body.len());
        let opened = self
            .engine
            .open_call_with_body(kind, service, tried, body_bytes);
        let call = match opened {
            Ok(call) => call,
            Err(NoLeafError::NoConnection) => return,
            Err(NoLeafError::NoneAvailable) => {
                self.handle_leaves_exhausted(index);
                return;
            }
            Err(NoLeafError::RateLimited) => {
                self.is_rate_limited = true;
                self.handle_calls_unwanted(index);
                return;
            }
            Err(NoLeafError::Unreachable { since_us }) => {
                if is_lasting(since_us, boot_us()) {
                    self.is_unreachable = true;
                    self.handle_calls_unwanted(index);
                }
                return;
            }
            Err(NoLeafError::RetryAfter { at_us }) => {
                self.retry_at_us = self.retry_at_us.max(Some(at_us));
                self.handle_calls_unwanted(index);
                return;
            }
        };
        if is_extra_call {
            self.engine.spend_retry(service);
        }
        let sent_us = call.started_us.saturating_sub(self.started_us);
        let shard = &mut self.shards[index];
        shard.tried.push(call.leaf);
        shard.sent += 1;
        shard.open_calls += 1;
        shard.last_sent_us = sent_us;
        shard.needs_call = false;
        self.sent_calls += 1;
        self.attempt.record_start(index, &call);
        self.calls
            .push(run_call(index, call, Arc::clone(&self.spec)));
    }

    fn handle_call_end(&mut self, (index, leaf, started_us, result): CallEnd) {
        let merges = !self.plan.relays_errors;
        let result = result.and_then(|reply| match reply {
            reply if merges && is_record_cut(&reply) => Err(CallError::RecordCut),
            reply => Ok(reply),
        });
        let latency_us = boot_us().saturating_sub(started_us);
        let shard = &mut self.shards[index];
        shard.open_calls -= 1;
        self.attempt
            .record_end(index, leaf, result.as_ref().map_err(|error| *error));
        match result {
            Ok(reply) => {
                let route = &self.plan.route;
                let target_us = self.plan.target_us;
                self.engine
                    .record_call_latency(route, target_us, latency_us);
                self.may_have_run = true;
                self.handle_reply(index, reply, latency_us);
            }
            Err(error) => {
                self.engine.metrics.count_failed_call(error);
                self.last_error = Some(error);
                self.may_have_run |= !error.has_not_run();
                tracing::debug!(event = "call_failed", ?leaf, %error);
                self.handle_failure(index, error);
            }
        }
    }

    fn handle_reply(&mut self, index: usize, reply: Reply, latency_us: u64) {
        let replied_us = self.elapsed_us();
        let shard = &mut self.shards[index];
        if shard.reply.is_some() {
            return;
        }
        if reply.status.is_success() {
            shard.reply = Some(reply);
            shard.latency_us = latency_us;
            shard.replied_us = replied_us;
            return;
        }
        if self.plan.relays_errors {
            shard.fallback = Some(reply);
        }
        if self.plan.idempotent && shard.sent < self.plan.max_attempts {
            self.schedule_retry(index);
        } else if shard.open_calls == 0 {
            shard.finish();
        }
    }

    /// Returns when the next action is due even if no call ends, as time since the request arrived.
    fn next_wake_us(&self, schedule: &FanoutSchedule, elapsed_us: u64) -> u64 {
        let mut next_us = schedule.timeout_us;
        if elapsed_us < schedule.partial_response_us {
            next_us = next_us.min(schedule.partial_response_us);
        }
        for shard in &self.shards {
            if !shard.is_pending() {
                continue;
            }
            if shard.needs_call {
                let next_poll_us = elapsed_us + POLL_INTERVAL_US;
                let is_due = elapsed_us >= shard.next_call_us;
                next_us = next_us.min(if is_due {
                    next_poll_us
                } else {
                    shard.next_call_us
                });
                continue;
            }
            if !self.plan.idempotent || shard.hedged || shard.sent >= self.plan.max_attempts {
                continue;
            }
            let hedge_at_us = shard.last_sent_us
                + schedule.next_hedge_us(elapsed_us - shard.last_sent_us.min(elapsed_us));
            next_us = next_us.min(hedge_at_us.max(elapsed_us + POLL_INTERVAL_US));
        }
        next_us.max(elapsed_us + 1)
    }
}

/// Returns whether the end of the connection has cut a record of a part that is to be merged.
fn is_record_cut(reply: &Reply) -> bool {
    let ends_with_connection = reply.status.is_success() && reply.ends_with_connection();
    ends_with_connection && !reply.body.len().is_multiple_of(RECORD_BYTES)
}

fn run_call(index: usize, call: OpenCall, spec: Arc<CallSpec>) -> CallFuture {
    Box::pin(async move {
        let (leaf, started_us) = (call.leaf, call.started_us);
        (index, leaf, started_us, call.run(&spec).await)
    })
}

fn reset_timer(timer: Pin<&mut Sleep>, delay_us: u64) {
    timer.reset(Instant::now() + Duration::from_micros(delay_us));
}
