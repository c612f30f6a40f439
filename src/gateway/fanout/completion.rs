//! Builds the result of a request, and waits for the calls that remain after its response.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

use super::{CallFuture, Fanout, FanoutResult};
use crate::gateway::attempt::Attempt;
use crate::gateway::forwarded_request::PriorCalls;
use crate::gateway::shard::Shard;

/// Time for which calls in flight continue after the response is complete, so that their
/// connections stay open and a pause of a leaf is observed to its end.
const LINGER_US: u64 = 300_000;

/// Size of a body that such calls may hold beyond the deadline of the request.
const MAX_LINGERING_BODY_BYTES: usize = 16 * 1_024;

impl Fanout {
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

    pub(super) fn finish(mut self, complete: bool) -> FanoutResult {
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
