//! Runs one request: to one leaf, or to a leaf of each shard.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

use super::call::{CallSpec, OpenCall};
use super::connection::{CallError, Reply};
use super::engine::Engine;
use super::fanout_schedule::{FanoutDecision, FanoutSchedule, ShardCounts};
use super::leaves::NoLeafError;
use super::shard::Shard;
use crate::clock::boot_us;
use crate::ids::{LeafKey, ServiceKey};

/// Time between two looks for a free connection or an extra call.
const POLL_INTERVAL_US: u64 = 4_000;

/// Time after a failed call before its shard gets another, in requests over several shards: refusals come
/// within it, so it is known then how many extra calls the request needs.
const RETRY_DELAY_US: u64 = 4_000;

/// Time for which calls that an answer no longer waits for may end, so that their connections stay
/// open and a pause of a leaf is seen to its end.
const LINGER_MS: u64 = 300;

/// What a request asks of its leaves.
#[derive(Clone, Debug)]
pub struct FanoutPlan {
    /// Name of the route.
    pub route: Box<str>,
    /// Service of each shard; one for a request to a single leaf.
    pub services: Vec<ServiceKey>,
    /// Service whose budget pays for extra calls.
    pub budget: ServiceKey,
    /// Fewest shards in an answer.
    pub min_parts: usize,
    /// Most leaves of a shard that get the request.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a leaf's own failure is an answer.
    pub relays_errors: bool,
    /// Target latency of the route.
    pub target_us: u64,
    /// Times of the request.
    pub schedule: FanoutSchedule,
}

/// What became of a request.
#[derive(Debug)]
pub struct FanoutResult {
    /// Answer of each shard that has one.
    pub parts: Vec<Option<Reply>>,
    /// Whether enough shards answered.
    pub complete: bool,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Calls that were sent.
    pub sent_calls: usize,
    /// Shards for which an extra call was denied.
    pub denied_retries: usize,
    /// Last reason for which a call failed.
    pub last_error: Option<CallError>,
    /// Whether the time of the request was over.
    pub timed_out: bool,
    /// Median time of the shards' latest calls; those that have not ended count with their age.
    pub median_call_us: Option<u64>,
}

type CallEnd = (usize, LeafKey, u64, Result<Reply, CallError>);
type CallFuture = Pin<Box<dyn Future<Output = CallEnd> + Send>>;

/// A request under way.
pub struct Fanout {
    engine: Arc<Engine>,
    plan: Arc<FanoutPlan>,
    spec: Arc<CallSpec>,
    shards: Vec<Shard>,
    calls: FuturesUnordered<CallFuture>,
    started_us: u64,
    may_have_run: bool,
    sent_calls: usize,
    denied_retries: usize,
    last_error: Option<CallError>,
}

impl Fanout {
    /// Prepares a request that arrived at `started_us`.
    pub fn new(
        engine: Arc<Engine>,
        plan: Arc<FanoutPlan>,
        spec: CallSpec,
        started_us: u64,
    ) -> Self {
        let shards = plan.services.iter().copied().map(Shard::new).collect();
        Self {
            engine,
            plan,
            spec: Arc::new(spec),
            shards,
            calls: FuturesUnordered::new(),
            started_us,
            may_have_run: false,
            sent_calls: 0,
            denied_retries: 0,
            last_error: None,
        }
    }

    /// Runs the request to its end.
    ///
    /// Dropping the future ends all its calls.
    pub async fn run(mut self) -> FanoutResult {
        self.engine.earn_retry(self.plan.budget);
        let wake = sleep_until(Instant::now());
        tokio::pin!(wake);
        let mut wake_at_us = 0;
        loop {
            let elapsed_us = self.elapsed_us();
            self.start_calls(elapsed_us);
            match self
                .shard_counts(elapsed_us)
                .step(&self.plan.schedule, elapsed_us)
            {
                FanoutDecision::Answer => return self.end(true),
                FanoutDecision::GiveUp => return self.end(false),
                FanoutDecision::Wait => {}
            }
            let next_us = self.next_wake_us(elapsed_us);
            if next_us != wake_at_us {
                wake_at_us = next_us;
                set_wake(wake.as_mut(), next_us.saturating_sub(elapsed_us));
            }
            tokio::select! {
                biased;
                Some(ended) = self.calls.next(), if !self.calls.is_empty() => self.take(ended),
                () = wake.as_mut() => wake_at_us = 0,
            }
        }
    }

    fn elapsed_us(&self) -> u64 {
        boot_us().saturating_sub(self.started_us)
    }

    fn shard_counts(&self, elapsed_us: u64) -> ShardCounts {
        let parts = self.shards.iter().filter(|s| s.reply.is_some()).count();
        let open = self.shards.iter().filter(|s| s.is_open());
        let hedge_us = self.plan.schedule.hedge_us;
        let on_time = open.clone().filter(|s| s.is_on_time(elapsed_us, hedge_us));
        ShardCounts {
            parts,
            open: open.clone().count(),
            on_time: on_time.count(),
            min_parts: self.plan.min_parts,
        }
    }

    /// Sends first calls, repeats of failed calls, and second calls to shards that are late.
    fn start_calls(&mut self, elapsed_us: u64) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            if !shard.is_open() {
                continue;
            }
            if shard.needs_call {
                if elapsed_us >= shard.next_call_us {
                    self.try_call(index, elapsed_us);
                }
                continue;
            }
            if self.plan.idempotent && self.is_late(shard, elapsed_us) {
                let before = self.sent_calls;
                self.try_call(index, elapsed_us);
                self.shards[index].hedged = self.sent_calls > before;
            }
        }
    }

    fn is_late(&self, shard: &Shard, elapsed_us: u64) -> bool {
        let age_us = elapsed_us.saturating_sub(shard.last_sent_us);
        !shard.hedged
            && shard.sent < self.plan.max_attempts
            && age_us >= self.plan.schedule.hedge_us
    }

    /// Starts a call to a shard, if a leaf, a connection and the budget allow it.
    fn try_call(&mut self, index: usize, elapsed_us: u64) {
        let shard = &self.shards[index];
        let repeat = shard.sent > 0;
        if repeat {
            let needed = self.shard_counts(elapsed_us).retries_needed();
            // Asked before a leaf is chosen: a call that is opened and dropped closes its connection.
            if !self.engine.allows_retry(self.plan.budget, needed) {
                self.handle_budget_exhausted(index, needed > 0);
                return;
            }
        }
        let shard = &self.shards[index];
        let choice = self.engine.open_call(shard.service, &shard.tried);
        let call = match choice {
            Ok(call) => call,
            Err(NoLeafError::Busy) => return,
            Err(NoLeafError::None) => {
                self.handle_leaves_exhausted(index);
                return;
            }
        };
        if repeat {
            self.engine.spend_retry(self.plan.budget);
        }
        let now_us = self.elapsed_us();
        let shard = &mut self.shards[index];
        shard.tried.push(call.leaf);
        shard.sent += 1;
        shard.open_calls += 1;
        shard.last_sent_us = now_us;
        shard.needs_call = false;
        self.sent_calls += 1;
        self.calls
            .push(run_call(index, call, Arc::clone(&self.spec)));
    }

    /// Handles that no extra call is allowed now.
    ///
    /// If the request fails without this shard, it fails at once: the caller's own next attempt is
    /// worth more to it than a wait for a budget that others drain as well.
    fn handle_budget_exhausted(&mut self, index: usize, urgent: bool) {
        let shard = &mut self.shards[index];
        let is_decisive = shard.open_calls == 0 && urgent;
        if shard.fallback.is_some() || is_decisive {
            shard.settle();
            self.denied_retries += 1;
        }
    }

    /// Handles that all leaves of a shard were tried, or that it has none.
    fn handle_leaves_exhausted(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if shard.open_calls > 0 {
            shard.hedged = true;
            return;
        }
        if shard.sent == 0 && !shard.tried.is_empty() {
            // Only connections failed: nothing was sent, so the same leaves may be tried again.
            shard.tried.clear();
            return;
        }
        shard.settle();
    }

    fn take(&mut self, (index, leaf, started_us, result): CallEnd) {
        let latency_us = boot_us().saturating_sub(started_us);
        let shard = &mut self.shards[index];
        shard.open_calls -= 1;
        match result {
            Ok(reply) => {
                let route = &self.plan.route;
                let target_us = self.plan.target_us;
                self.engine
                    .record_call_latency(route, target_us, latency_us);
                self.may_have_run = true;
                self.take_reply(index, reply, latency_us);
            }
            Err(error) => {
                self.engine.gateway_metrics.count_failed_call(error);
                self.last_error = Some(error);
                self.may_have_run |= !error.has_not_run();
                tracing::debug!(event = "call_failed", ?leaf, %error);
                self.take_failure(index, error);
            }
        }
    }

    fn take_reply(&mut self, index: usize, reply: Reply, latency_us: u64) {
        let shard = &mut self.shards[index];
        if shard.reply.is_some() {
            return;
        }
        if reply.status.is_success() {
            shard.reply = Some(reply);
            shard.latency_us = latency_us;
            return;
        }
        if self.plan.relays_errors {
            shard.fallback = Some(reply);
        }
        if self.plan.idempotent && shard.sent < self.plan.max_attempts {
            self.schedule_retry(index);
        } else if shard.open_calls == 0 {
            shard.settle();
        }
    }

    fn take_failure(&mut self, index: usize, error: CallError) {
        let shard = &mut self.shards[index];
        let arrived = !matches!(error, CallError::Connect | CallError::Unsent);
        if !arrived {
            shard.sent -= 1;
        }
        if shard.reply.is_some() {
            return;
        }
        let may_repeat = self.plan.idempotent || error.has_not_run();
        if may_repeat && shard.sent < self.plan.max_attempts {
            self.schedule_retry(index);
        } else if shard.open_calls == 0 {
            shard.settle();
        }
    }

    fn schedule_retry(&mut self, index: usize) {
        let is_alone = self.shards.len() == 1;
        let pause_us = if is_alone { 0 } else { RETRY_DELAY_US };
        let from_us = self.elapsed_us() + pause_us;
        let shard = &mut self.shards[index];
        shard.needs_call = true;
        shard.next_call_us = from_us;
    }

    /// Returns when something may have to be done although no call ends, since the arrival.
    fn next_wake_us(&self, elapsed_us: u64) -> u64 {
        let schedule = &self.plan.schedule;
        let mut next_us = schedule.end_us;
        if elapsed_us < schedule.partial_us {
            next_us = next_us.min(schedule.partial_us);
        }
        for shard in &self.shards {
            if !shard.is_open() {
                continue;
            }
            if shard.needs_call {
                let again_us = elapsed_us + POLL_INTERVAL_US;
                let is_due = elapsed_us >= shard.next_call_us;
                next_us = next_us.min(if is_due { again_us } else { shard.next_call_us });
                continue;
            }
            if !self.plan.idempotent || shard.hedged || shard.sent >= self.plan.max_attempts {
                continue;
            }
            let late_us = shard.last_sent_us + schedule.hedge_us;
            next_us = next_us.min(late_us.max(elapsed_us + POLL_INTERVAL_US));
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

    fn end(self, complete: bool) -> FanoutResult {
        let elapsed_us = self.elapsed_us();
        let timed_out = elapsed_us >= self.plan.schedule.end_us;
        let median_call_us = self.median_call_us(elapsed_us);
        let mut calls = self.calls;
        if complete && !calls.is_empty() {
            tokio::spawn(async move {
                let draining = async { while calls.next().await.is_some() {} };
                let _ = timeout(Duration::from_millis(LINGER_MS), draining).await;
            });
        }
        let any_open = self.shards.iter().any(|shard| shard.open_calls > 0);
        FanoutResult {
            complete,
            may_have_run: self.may_have_run || any_open,
            sent_calls: self.sent_calls,
            denied_retries: self.denied_retries,
            last_error: self.last_error,
            timed_out,
            median_call_us,
            parts: self.shards.into_iter().map(|shard| shard.reply).collect(),
        }
    }
}

fn run_call(index: usize, call: OpenCall, spec: Arc<CallSpec>) -> CallFuture {
    Box::pin(async move {
        let (leaf, started_us) = (call.leaf, call.started_us);
        (index, leaf, started_us, call.run(&spec).await)
    })
}

fn set_wake(wake: Pin<&mut Sleep>, in_us: u64) {
    wake.reset(Instant::now() + Duration::from_micros(in_us));
}
