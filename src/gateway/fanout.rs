//! Runs one request: calls one leaf, or one leaf of each shard, and collects the replies.
//!
//! Handles leaves that fail, refuse requests or are slow: failed calls are retried and slow calls
//! are hedged on other leaves, within the retry budget.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

use super::attempt::Attempt;
use super::call::{CallSpec, OpenCall};
use super::capacity::is_lasting;
use super::connection::{CallError, Reply};
use super::engine::Engine;
use super::fanout_schedule::{FanoutDecision, FanoutSchedule, ShardCounts};
use super::forwarded_request::PriorCalls;
use super::leaf_capacity::WorkKind;
use super::leaves::NoLeafError;
use super::merge::RECORD_BYTES;
use super::shard::Shard;
use super::stop_schedule::StopSchedule;
use crate::clock::boot_us;
use crate::ids::{LeafKey, ServiceKey};

/// Interval between attempts to get a free connection or an extra call from the retry budget.
const POLL_INTERVAL_US: u64 = 4_000;

/// Delay before a failed call is retried in requests over several shards. Refusals arrive within
/// this time, so that the number of extra calls that the request needs is known by then.
const RETRY_DELAY_US: u64 = 4_000;

/// Share of the target latency for which a request waits for the retry budget, as a divisor. A call that is
/// sent later hardly ends in time.
const BUDGET_WAIT_DIVISOR: u64 = 2;

/// Time for which calls in flight continue after the response is complete, so that their
/// connections stay open and a pause of a leaf is observed to its end.
const LINGER_US: u64 = 300_000;

/// Size of a body that such calls may hold beyond the deadline of the request.
const MAX_LINGERING_BODY_BYTES: usize = 16 * 1_024;

/// Plan of the calls that a request sends to leaves.
#[derive(Clone, Debug)]
pub struct FanoutPlan {
    /// Name of the route.
    pub route: Box<str>,
    /// Service of each shard; a request to a single leaf has one.
    pub services: Vec<ServiceKey>,
    /// Minimum number of shards in a response.
    pub min_parts: usize,
    /// Maximum number of leaves of a shard that the request is sent to.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an error response of a leaf may be relayed to the caller.
    pub relays_errors: bool,
    /// Target latency of the route.
    pub target_us: u64,
    /// Time within which a leaf is expected to answer.
    pub expected_us: u64,
    /// Deadlines of the request.
    pub schedule: FanoutSchedule,
    /// What other VMs have done with the request.
    pub prior_calls: PriorCalls,
}

/// Result of a request.
#[derive(Debug)]
pub struct FanoutResult {
    /// Reply of each shard, if it has one.
    pub parts: Vec<Option<Reply>>,
    /// Whether enough shards replied.
    pub complete: bool,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Number of calls that were sent.
    pub sent_calls: usize,
    /// Calls after which another VM may run the request, or `None` if it must not.
    pub movable: Option<PriorCalls>,
    /// Whether a shard has no reply because its leaves refuse connections.
    pub is_unreachable: bool,
    /// Number of shards for which an extra call was denied.
    pub denied_retries: usize,
    /// Whether a call was not sent because the leaves had named a limit on their rate.
    pub is_rate_limited: bool,
    /// Whether a call was not sent because this VM stops before a leaf would answer.
    pub is_stopping: bool,
    /// Time at which the shards without a reply whose leaves want no calls may be called again.
    pub retry_at_us: Option<u64>,
    /// Error of the call that failed last.
    pub last_error: Option<CallError>,
    /// Whether the deadline of the request had passed.
    pub timed_out: bool,
    /// Median over the shards of the latency of the reply, or of the age of the latest call if it
    /// is still in flight.
    pub median_call_us: Option<u64>,
    /// Times at which the shards replied, since the request arrived, in ascending order.
    pub replied_us: Vec<u64>,
}

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
    }

    /// Fails the shards that wait for a call if the content may be sent to no further leaf.
    fn stop_pending_shards(&mut self) {
        let is_stopped = self.calls.is_empty() && self.attempt.is_stopped();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let is_shard_stopped = shard.open_calls == 0 && self.attempt.is_shard_stopped(index);
            if shard.is_pending() && (is_stopped || is_shard_stopped) {
                shard.finish();
            }
        }
    }

    /// Returns whether a hedge may be sent: while calls queue at the leaves, only those that an answer in
    /// time needs.
    fn may_hedge(&self, elapsed_us: u64) -> bool {
        let group = self.plan.services.first();
        let is_loaded = group.is_some_and(|group| self.engine.is_under_pressure(*group));
        !is_loaded || self.shard_counts(elapsed_us).retries_needed() > 0
    }

    fn is_hedge_due(&self, shard: &Shard, elapsed_us: u64) -> bool {
        let age_us = elapsed_us.saturating_sub(shard.last_sent_us);
        !shard.hedged
            && shard.sent < self.plan.max_attempts
            && age_us >= self.plan.schedule.early_hedge_us
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

    /// Returns how many extra calls have to succeed for an answer in time, or 0 if the call to a shard is an
    /// early hedge: the open call is still expected in time.
    fn extra_calls_needed(&self, index: usize, elapsed_us: u64) -> usize {
        let shard = &self.shards[index];
        let hedge_us = self.plan.schedule.hedge_us;
        if !shard.needs_call && shard.is_on_time(elapsed_us, hedge_us) {
            return 0;
        }
        self.shard_counts(elapsed_us).retries_needed()
    }

    /// Returns whether the retry budgets allow an extra call to a service. A call that is needed together
    /// with others is wasted unless the budgets of enough late shards allow one too.
    fn allows_extra_call(&self, service: ServiceKey, needed: usize, elapsed_us: u64) -> bool {
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
    fn handle_budget_exhausted(&mut self, index: usize, is_required: bool, elapsed_us: u64) {
        let may_wait = elapsed_us < self.plan.target_us / BUDGET_WAIT_DIVISOR;
        let shard = &mut self.shards[index];
        let fails_request = shard.open_calls == 0 && is_required && !may_wait;
        if shard.fallback.is_some() || fails_request {
            shard.finish();
            self.denied_retries += 1;
        }
    }

    /// Handles a shard that has no leaf, or whose leaves were all tried.
    fn handle_leaves_exhausted(&mut self, index: usize) {
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
    fn handle_calls_unwanted(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.open_calls > 0 {
            shard.needs_call = false;
            shard.hedged = true;
            return;
        }
        shard.finish();
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

    fn handle_failure(&mut self, index: usize, error: CallError) {
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

    fn schedule_retry(&mut self, index: usize) {
        let is_single_shard = self.shards.len() == 1;
        let delay_us = if is_single_shard { 0 } else { RETRY_DELAY_US };
        let retry_at_us = self.elapsed_us() + delay_us;
        let shard = &mut self.shards[index];
        shard.needs_call = true;
        shard.next_call_us = retry_at_us;
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

    fn median_call_us(&self, elapsed_us: u64) -> Option<u64> {
        let mut times_us = Vec::with_capacity(self.shards.len());
        for shard in &self.shards {
            if shard.reply.is_some() {
                times_us.push(shard.latency_us);
            } else if shard.open_calls > 0 {
                times_us.push(elapsed_us.saturating_sub(shard.last_sent_us));
            }
        }
        times_us.sort_unstable();
        times_us.get(times_us.len() / 2).copied()
    }

    fn finish(mut self, complete: bool) -> FanoutResult {
        if self.shards.iter().all(|shard| shard.reply.is_some()) {
            self.attempt.record_complete();
        }
        let elapsed_us = self.elapsed_us();
        let timed_out = elapsed_us >= self.plan.schedule.timeout_us;
        let median_call_us = self.median_call_us(elapsed_us);
        let prior_calls = PriorCalls {
            sent: u32::try_from(self.sent()).unwrap_or(u32::MAX),
            is_credited: true,
        };
        let movable = (!complete && self.is_movable()).then_some(prior_calls);
        if complete && !self.calls.is_empty() {
            let remaining_calls = finish_calls(self.calls, self.attempt);
            let left_us = self.plan.schedule.timeout_us.saturating_sub(elapsed_us);
            let limit_us = match self.spec.body.len() {
                0..=MAX_LINGERING_BODY_BYTES => LINGER_US,
                _ => LINGER_US.min(left_us),
            };
            let limit = Duration::from_micros(limit_us);
            tokio::spawn(timeout(limit, remaining_calls));
        }
        let any_open = self.shards.iter().any(|shard| shard.open_calls > 0);
        FanoutResult {
            complete,
            may_have_run: self.may_have_run || any_open,
            sent_calls: self.sent_calls,
            movable,
            is_unreachable: self.is_unreachable,
            is_stopping: self.is_stopping,
            denied_retries: self.denied_retries,
            is_rate_limited: self.is_rate_limited,
            retry_at_us: self.retry_at_us,
            last_error: self.last_error,
            timed_out,
            median_call_us,
            replied_us: replied_us(&self.shards),
            parts: self.shards.into_iter().map(|shard| shard.reply).collect(),
        }
    }
}

/// Returns the times at which shards replied, in ascending order.
fn replied_us(shards: &[Shard]) -> Vec<u64> {
    let replied = shards.iter().filter(|shard| shard.reply.is_some());
    let mut replied_us: Vec<u64> = replied.map(|shard| shard.replied_us).collect();
    replied_us.sort_unstable();
    replied_us
}

/// Waits for the calls that remain after the response, under which leaves may still crash.
async fn finish_calls(mut calls: FuturesUnordered<CallFuture>, mut attempt: Attempt) {
    while let Some((index, leaf, _, result)) = calls.next().await {
        attempt.record_end(index, leaf, result.as_ref().map_err(|error| *error));
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
