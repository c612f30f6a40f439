//! Records how a call ended: statistics of the leaf, reports for other VMs, and whether the connection can be
//! used again.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};

use super::OpenCall;
use crate::clock::boot_us;
use crate::gateway::connection::{CallError, Reply};
use crate::gateway::engine::State;
use crate::gateway::leaf_capacity::EndedCall;
use crate::gateway::leaf_reports::Observation;
use crate::gateway::rate_limit::parse_rate;
use crate::gateway::reconnect;

/// Age from which an abandoned call without a reply counts as a failure of the leaf.
const UNANSWERED_FAILURE_AGE_US: u64 = 350_000;

impl OpenCall {
    /// Applies the rate limit that a reply names. A refusal does not end a limit, since a leaf that
    /// is full may leave out the header.
    pub(super) fn record_rate_limit(
        &self,
        state: &mut State,
        outcome: Result<StatusCode, CallError>,
        reply: &Reply,
        now_us: u64,
    ) {
        let named = reply.headers.get(&self.engine.headers.rate_limit);
        let rate = named.and_then(|value| parse_rate(value.to_str().ok()?));
        let applies = match outcome {
            Ok(_) => true,
            Err(CallError::Refused) => rate.is_some(),
            Err(_) => false,
        };
        if applies {
            state.leaves.record_rate(self.leaf, rate, now_us);
        }
    }

    /// Adds what the end of the call shows of the leaf's capacity, with the calls of all VMs in flight
    /// before it ended. Calls during which this process did not run show nothing.
    pub(super) fn observe_capacity(
        &self,
        state: &mut State,
        in_flight: f64,
        is_answered: bool,
        now_us: u64,
    ) {
        let elapsed_us = now_us.saturating_sub(self.started_us);
        let running_us = state.process_delays.running_us(self.started_us, now_us);
        if !state.leaves.estimates_capacity() || running_us < elapsed_us {
            return;
        }
        // A leaf that is rarely called has no open connection, which does not make it slow.
        let started_us = self.started_us + self.connect_us;
        let ended_call = EndedCall {
            kind: self.kind,
            in_flight: (self.in_flight + in_flight) / 2.0,
            started_us,
            ended_us: now_us,
            paused_us: state.leaves.paused_us(self.leaf, started_us, now_us),
            is_answered,
        };
        state.leaves.observe_ended_call(self.leaf, &ended_call);
    }

    pub(super) fn finish(&mut self, outcome: Result<StatusCode, CallError>, reply: Option<&Reply>) {
        self.finished = true;
        if outcome == Err(CallError::NoReplyMemory) {
            self.engine.metrics.count_memory_refusal("reply");
        }
        let now_us = boot_us();
        let connection = self.connection.take();
        let state = &mut *self.engine.state();
        let links = &mut state.link_monitor;
        match outcome {
            _ if reply.is_some() => links.record_reply(now_us),
            Err(CallError::Connect | CallError::ConnectRefused) => {
                links.record_no_connection(self.leaf, now_us);
            }
            Err(CallError::Unsent | CallError::Broken | CallError::LeafCrashed) => {
                links.record_failure(self.leaf, now_us);
            }
            _ => {}
        }
        if let Some(reply) = reply {
            state.leaves.record_reply(now_us);
            self.record_rate_limit(state, outcome, reply, now_us);
        }
        match outcome {
            Err(CallError::WrongLeaf) => state.leaves.record_end(self.leaf),
            // An extra answer may have been sent before the process ended.
            Err(CallError::RequestIdMismatch) => {}
            Err(CallError::ConnectRefused | CallError::LeafCrashed) => {
                state.leaves.record_refusal(self.leaf, None, now_us);
                self.engine.refusal_recorded.notify_one();
                if state.leaves.record_unreachable(self.leaf, now_us) {
                    tokio::spawn(reconnect::run(
                        Arc::downgrade(&self.engine),
                        self.leaf,
                        now_us,
                    ));
                }
            }
            _ if reply.is_some() => {
                state.leaves.record_reachable(self.leaf, now_us);
                state
                    .leaves
                    .record_alive(self.leaf, self.started_us, now_us);
            }
            _ => {}
        }
        let is_distorted = state.link_monitor.distorts_call(self.started_us);
        let paused_us = state.leaves.paused_us(self.leaf, self.started_us, now_us);
        let in_flight = state.leaves.calls_in_flight(self.leaf, now_us);
        let Some(leaf) = state.leaves.get_mut(self.leaf) else {
            return;
        };
        let mut stall = None;
        if outcome.is_ok() {
            leaf.retry_after.record_answer(now_us);
        }
        match outcome {
            _ if is_distorted => leaf.leaf_stats.record_abandoned(self.call_number),
            Ok(status) if status.is_success() => {
                stall = leaf
                    .leaf_stats
                    .record_success(self.call_number, now_us, paused_us);
            }
            Ok(_) | Err(CallError::Refused) => {
                leaf.leaf_stats.record_error_reply(self.call_number, now_us)
            }
            // Other leaves may have sent what takes the memory.
            Err(CallError::RequestIdMismatch | CallError::Withheld | CallError::NoReplyMemory) => {
                leaf.leaf_stats.record_abandoned(self.call_number);
            }
            Err(_) => leaf.leaf_stats.record_failure(self.call_number, now_us),
        }
        let is_failed = match outcome {
            Err(CallError::Withheld | CallError::NoReplyMemory) => false,
            _ => reply.is_none(),
        };
        if is_failed && !is_distorted {
            leaf.record_failed_call(now_us);
        }
        let no_headers = HeaderMap::new();
        let reply_headers = match outcome {
            Ok(_) | Err(CallError::Refused) => reply.map(|reply| &reply.headers),
            // The connection was opened after the failed exchange, or nothing was sent on it.
            Err(CallError::Broken | CallError::ImpossibleStatus | CallError::Withheld) => {
                Some(&no_headers)
            }
            Err(_) => None,
        };
        let reusable = connection.zip(reply_headers);
        let idle = reusable.and_then(|(c, headers)| c.into_idle(headers, now_us / 1_000));
        match idle {
            Some(idle) if !leaf.retired && !leaf.is_departing() => leaf.idle.push(idle),
            _ => leaf.connections = leaf.connections.saturating_sub(1),
        }
        state.record_stall(self.leaf, stall);
        if outcome.is_ok_and(|status| status.is_success()) && !is_distorted {
            self.observe_capacity(state, in_flight, true, now_us);
        }
        if let Some(observation) = observation_of(outcome) {
            state.report_outcome(self.leaf, observation, now_us);
        }
        if outcome == Err(CallError::WrongLeaf) {
            state.leaves.mark_misdirected(self.leaf, now_us / 1_000);
        }
        self.engine.record_ended_runs(state);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now_us = boot_us();
        let state = &mut *self.engine.state();
        let is_distorted = state.link_monitor.distorts_call(self.started_us);
        let age_us = state.process_delays.running_us(self.started_us, now_us);
        let counts_as_failure = age_us >= UNANSWERED_FAILURE_AGE_US && !is_distorted;
        if !counts_as_failure && !is_distorted {
            let in_flight = state.leaves.calls_in_flight(self.leaf, now_us);
            self.observe_capacity(state, in_flight, false, now_us);
        }
        if let Some(leaf) = state.leaves.get_mut(self.leaf) {
            leaf.connections = leaf.connections.saturating_sub(1);
            if counts_as_failure {
                leaf.leaf_stats.record_failure(self.call_number, now_us);
                leaf.record_failed_call(now_us);
            } else {
                leaf.leaf_stats.record_abandoned(self.call_number);
            }
        }
    }
}

/// Returns the observation of the leaf that is reported to other VMs for an outcome, if any.
///
/// A connection that can't be opened may be due to the network path instead of the leaf, so it is
/// not reported and other VMs detect it themselves.
fn observation_of(outcome: Result<StatusCode, CallError>) -> Option<Observation> {
    match outcome {
        Ok(status) if status.is_success() => Some(Observation::Answered),
        Ok(_)
        | Err(
            CallError::Refused
            | CallError::Broken
            | CallError::ImpossibleStatus
            | CallError::RecordCut
            | CallError::ReplyTooLarge
            | CallError::LeafCrashed
            | CallError::Unsigned,
        ) => Some(Observation::Failed),
        Err(
            CallError::Connect
            | CallError::ConnectRefused
            | CallError::Unsent
            | CallError::Withheld
            | CallError::NoReplyMemory
            | CallError::RequestIdMismatch
            | CallError::WrongLeaf,
        ) => None,
    }
}
