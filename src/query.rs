//! Runs a request at one snapshot: calls one replica of each shard and merges the replies.
//!
//! Slow calls are hedged and failed calls are retried at another replica, within the retry budget
//! and the deadline.

mod completion;
mod timing;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, info};

use crate::answer::Reason;
use crate::clock::{boot_ms, boot_us, unix_ms};
use crate::config::Policy;
use crate::dispatch::SentBatch;
use crate::fleet::{Fleet, Layout, Service};
use crate::ids::{CallId, LeafKey, Snapshot, VmKey};
use crate::measurements::CallOutcome;
use crate::query_context::{QueryContext, QueryResult};
use crate::replica_selection::select_owner;
use crate::root::Root;
use crate::shard_attempts::{AttemptFailure, ShardAttempts};
use crate::wire::{Batch, LeafCall, LeafReply, LeafResult, NotStartedReason};
use timing::{bounded_hedge_delay_us, last_retry_us};

/// Capacity of the channel that carries the replies of one run.
const REPLY_BUFFER: usize = 1_024;

/// Number of hedge delays after which a run under policy `latency` returns the shards covered so
/// far. One hedge and one retry have had time to complete by then.
const EARLY_ANSWER_HEDGE_DELAYS: u64 = 4;

/// Maximum number of replicas of a shard that run a request at the same time before any leaf has
/// answered it. Content that crashes leaves may do so after some time, and must not have reached
/// more of them by then.
const MAX_UNANSWERED_CALLS: u32 = 2;

/// A call that was sent and has no reply yet.
#[derive(Debug)]
struct InFlightCall {
    shard: u32,
    leaf: LeafKey,
    owner: SocketAddr,
    sent_us: u64,
    batch: usize,
}

/// State of one run.
pub(crate) struct QueryRun<'a> {
    root: &'a Root,
    fleet: Arc<Fleet>,
    query_context: &'a QueryContext,
    snapshot: Snapshot,
    layout: Layout,
    shards: Vec<ShardAttempts>,
    calls: HashMap<CallId, InFlightCall>,
    batches: Vec<SentBatch>,
    replies: mpsc::Sender<LeafReply>,
    hedge_delay_us: u64,
    early_answer_us: u64,
    /// Time after which no retry is sent.
    last_retry_us: u64,
    calls_made: u64,
    may_have_run: bool,
    snapshot_gone: bool,
}

impl<'a> QueryRun<'a> {
    /// Runs `query_context` at `snapshot` until every shard is finished, the policy allows a
    /// partial answer, a restart at another snapshot is possible or the deadline has passed.
    ///
    /// Returns `None` if the service has no layout for the snapshot.
    pub(crate) async fn run(
        root: &'a Root,
        fleet: Arc<Fleet>,
        query_context: &'a QueryContext,
        snapshot: Snapshot,
    ) -> Option<QueryResult> {
        let service = fleet.service(query_context.service);
        let layout = service.layout(snapshot.layout)?.clone();
        let (replies, reply_receiver) = mpsc::channel(REPLY_BUFFER);
        let shard_count = layout.shards.len();
        let remaining_ms = query_context.deadline_ms.saturating_sub(boot_ms());
        let unbounded_delay_us = root.measurements().start_run(service, shard_count as u64);
        let hedge_delay_us = bounded_hedge_delay_us(unbounded_delay_us, remaining_ms);
        let early_answer_us = match query_context.policy {
            Policy::Coverage => u64::MAX,
            Policy::Latency => boot_us() + hedge_delay_us * EARLY_ANSWER_HEDGE_DELAYS,
        };
        let mut run = Self {
            root,
            query_context,
            snapshot,
            layout,
            shards: vec![ShardAttempts::default(); shard_count],
            calls: HashMap::new(),
            batches: Vec::new(),
            replies,
            hedge_delay_us,
            early_answer_us,
            last_retry_us: last_retry_us(query_context, remaining_ms),
            calls_made: 0,
            may_have_run: false,
            snapshot_gone: false,
            fleet,
        };
        let all_shards: Vec<u32> = (0..shard_count).map(|shard| shard as u32).collect();
        run.dispatch(&all_shards);
        run.collect(reply_receiver).await;
        Some(run.finish())
    }

    fn service(&self) -> &Service {
        self.fleet.service(self.query_context.service)
    }

    /// Selects a replica for each of `shards` and sends one batch to each owner.
    fn dispatch(&mut self, shards: &[u32]) {
        // Layout and leaves stay as they were at the start of the run. Owners come from the current
        // fleet, because a VM that no longer owns a leaf may keep stale state for it.
        let current = self.root.current_fleet();
        let mut groups: BTreeMap<VmKey, Vec<(u32, LeafKey)>> = BTreeMap::new();
        let mut unassigned = Vec::new();
        let mut snapshot_gone = false;
        let (fleet, layout, attempts) = (&self.fleet, &self.layout, &self.shards);
        self.root
            .with_replica_selector(fleet, self.snapshot, |selector, avoided, rng| {
                for shard in shards {
                    let state = &attempts[*shard as usize];
                    let replicas = &layout.shards[*shard as usize];
                    let leaf = selector.select_replica(replicas, &state.excluded(), rng);
                    let owner = leaf
                        .and_then(|leaf| select_owner(&current, fleet.leaf(leaf).address, avoided));
                    match (leaf, owner) {
                        (Some(leaf), Some(owner)) => {
                            groups.entry(owner).or_default().push((*shard, leaf));
                        }
                        _ => {
                            snapshot_gone |=
                                selector.is_snapshot_gone(replicas, &state.without_snapshot);
                            unassigned.push(*shard);
                        }
                    }
                }
            });
        crate::faults::hit_fail_point("request.planned");
        let name = &self.service().name;
        self.snapshot_gone |= snapshot_gone
            && self
                .root
                .has_other_snapshot(self.query_context, name, self.snapshot);
        for (owner, calls) in groups {
            let owner = current.vm(owner).entry.internal_address;
            self.send(owner, &calls);
        }
        let now_us = boot_us();
        for shard in unassigned {
            // No replica is left for a hedge; the call in flight continues without one.
            self.shards[shard as usize].defer_hedge(u64::MAX);
            let previous_reason = self.shards[shard as usize].missing_reason;
            let failure = AttemptFailure {
                reason: previous_reason.unwrap_or(Reason::Unreachable),
                may_have_run: false,
                no_replica: true,
            };
            self.schedule_retry(shard, failure, now_us);
        }
    }

    fn schedule_retry(&mut self, shard: u32, failure: AttemptFailure, now_us: u64) {
        let replicas = self.layout.shards[shard as usize].len();
        // Leaf views lag behind a new index version, so retries for a missing snapshot continue;
        // the policy bounds how long the run waits.
        let persistent =
            self.query_context.prefers_coverage() || failure.reason == Reason::SnapshotGone;
        self.shards[shard as usize].record_failure(failure, replicas, persistent, now_us);
    }

    fn send(&mut self, address: SocketAddr, selected: &[(u32, LeafKey)]) {
        let now_us = boot_us();
        let remaining_ms = self.query_context.deadline_ms.saturating_sub(boot_ms());
        let mut calls = Vec::with_capacity(selected.len());
        for (shard, leaf) in selected {
            let call = self.root.next_call();
            calls.push(LeafCall {
                call,
                leaf: self.fleet.leaf(*leaf).address,
                shard: *shard,
            });
            let in_flight = InFlightCall {
                shard: *shard,
                leaf: *leaf,
                owner: address,
                sent_us: now_us,
                batch: self.batches.len(),
            };
            self.calls.insert(call, in_flight);
            self.shards[*shard as usize].record_sent(*leaf, now_us, self.hedge_delay_us);
        }
        self.calls_made += calls.len() as u64;
        self.root
            .measurements()
            .calls_started(calls.iter().map(|call| call.leaf));
        debug!(event = "dispatch", owner = %address, calls = calls.len(), snapshot = %self.snapshot);
        let batch = Batch {
            service: self.service().name.clone(),
            member: self.query_context.member.clone(),
            request_id: self.query_context.request_id.clone(),
            snapshot: self.snapshot,
            deadline_unix_ms: unix_ms() + remaining_ms,
            remaining_ms,
            idempotent: self.query_context.idempotent,
            fingerprint: self.query_context.fingerprint,
            payload: self.query_context.payload.clone(),
            calls,
        };
        let sent = self
            .root
            .dispatcher()
            .send(address, batch, self.replies.clone());
        self.batches.push(sent);
        crate::faults::hit_fail_point("request.sent");
    }

    /// Processes replies and sends hedges and retries until the run has ended.
    async fn collect(&mut self, mut reply_receiver: mpsc::Receiver<LeafReply>) {
        while !self.has_ended() {
            let until_wake = Duration::from_micros(self.next_event_us().saturating_sub(boot_us()));
            if until_wake.is_zero() {
                self.send_due_calls();
                continue;
            }
            tokio::select! {
                reply = reply_receiver.recv() => {
                    let mut next = reply;
                    while let Some(reply) = next {
                        self.handle_reply(reply);
                        next = reply_receiver.try_recv().ok();
                    }
                }
                () = tokio::time::sleep(until_wake) => {}
            }
        }
        self.cancel_in_flight();
    }

    fn has_ended(&self) -> bool {
        if self.shards.iter().all(ShardAttempts::is_finished) {
            return true;
        }
        // A request that is not idempotent restarts only without calls in flight, since they may
        // have executed.
        let may_restart = self.query_context.idempotent || self.calls.is_empty();
        if self.snapshot_gone && may_restart {
            return true;
        }
        let covered = self.shards.iter().any(|shard| shard.body.is_some());
        let early = covered && boot_us() >= self.early_answer_us && self.query_context.idempotent;
        early || boot_ms() >= self.query_context.answer_by_ms()
    }

    /// Returns the maximum number of replicas of a shard that run the request at the same time.
    fn max_concurrent_calls(&self) -> u32 {
        if !self.query_context.idempotent {
            return 1;
        }
        if self.shards.iter().any(|shard| shard.body.is_some()) {
            return u32::MAX;
        }
        MAX_UNANSWERED_CALLS
    }

    /// Returns the time at which the next hedge or retry is due or the run ends.
    fn next_event_us(&self) -> u64 {
        let mut next_us = self.query_context.answer_by_ms() * 1_000;
        if self.early_answer_us > boot_us() {
            next_us = next_us.min(self.early_answer_us);
        }
        let max_concurrent_calls = self.max_concurrent_calls();
        for shard in &self.shards {
            next_us = next_us.min(shard.next_event_us(max_concurrent_calls));
        }
        next_us
    }

    /// Sends the hedges and retries that are due and that the retry budget allows.
    fn send_due_calls(&mut self) {
        // Hedging a request whose content crashed a leaf could crash another leaf before the
        // content is quarantined.
        let has_crashed_leaf = self.root.has_crashed_leaf(self.query_context);
        let quarantined = has_crashed_leaf && self.root.is_quarantined(self.query_context);
        let now_us = boot_us();
        let max_concurrent_calls = self.max_concurrent_calls();
        let mut due = Vec::new();
        let mut hedges = 0;
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            if shard.body.is_some() {
                continue;
            }
            if let Some(pending) = shard.pending {
                if pending.at_us > now_us {
                    continue;
                }
                if quarantined {
                    self.shards[index].cancel_retry(Reason::Quarantined);
                    continue;
                }
                if now_us > self.last_retry_us {
                    let reason = shard.missing_reason.unwrap_or(Reason::Unreachable);
                    self.shards[index].cancel_retry(reason);
                    continue;
                }
                if pending.uses_budget && !self.try_spend() {
                    let persistent = self.query_context.prefers_coverage();
                    self.shards[index].defer_retry(persistent, now_us);
                    continue;
                }
                due.push(index as u32);
            } else if shard.is_hedge_due(now_us, max_concurrent_calls) {
                self.shards[index].defer_hedge(now_us + self.hedge_delay_us.max(1_000));
                if !has_crashed_leaf && self.has_untried_replica(index) && self.try_spend() {
                    hedges += 1;
                    due.push(index as u32);
                }
            }
        }
        if due.is_empty() {
            return;
        }
        let retries = due.len() - hedges;
        let delay_us = self.hedge_delay_us;
        info!(event = "extra_calls", request = %self.query_context.request_id, hedges, retries, delay_us);
        self.dispatch(&due);
    }

    fn has_untried_replica(&self, shard: usize) -> bool {
        self.shards[shard].tried.len() < self.layout.shards[shard].len()
    }

    fn try_spend(&self) -> bool {
        self.root.try_spend(&self.service().name)
    }

    fn handle_reply(&mut self, reply: LeafReply) {
        let Some(call) = self.calls.remove(&reply.call) else {
            self.root.count_unexpected_reply();
            return;
        };
        let address = self.fleet.leaf(call.leaf).address;
        let outcome = match &reply.result {
            LeafResult::Answered { .. } => CallOutcome::Answered,
            LeafResult::NotStarted(NotStartedReason::Shed) => CallOutcome::Shed,
            _ => CallOutcome::Other,
        };
        self.record_call_end(&call, outcome);
        let shard = &mut self.shards[call.shard as usize];
        shard.in_flight -= 1;
        match reply.result {
            LeafResult::Answered { snapshot, .. } if snapshot != self.snapshot => {
                self.root.count_unexpected_reply();
                self.handle_failed(call.shard, Reason::Failed);
            }
            LeafResult::Answered { body, .. } if shard.body.is_none() => {
                shard.body = Some(String::from_utf8_lossy(&body).into());
                if shard.in_flight > 0 {
                    self.cancel_shard(call.shard);
                }
            }
            LeafResult::Answered { .. } => {}
            LeafResult::NotStarted(reason) => self.handle_not_started(&call, reason),
            LeafResult::Crashed => {
                self.root
                    .record_crash(self.query_context, address, reply.shared_leaf);
                self.handle_failed(call.shard, Reason::Failed);
            }
            LeafResult::ConnectionLost | LeafResult::Failed | LeafResult::Mismatch => {
                self.handle_failed(call.shard, Reason::Failed);
            }
            LeafResult::Timeout => self.handle_failed(call.shard, Reason::Timeout),
        }
    }

    fn record_call_end(&self, call: &InFlightCall, outcome: CallOutcome) {
        let latency_us = boot_us().saturating_sub(call.sent_us);
        let address = self.fleet.leaf(call.leaf).address;
        self.root
            .measurements()
            .call_ended(&self.service().name, address, latency_us, outcome);
    }

    /// Handles a call that provably did not execute: any request may retry it, without spending
    /// retry budget.
    fn handle_not_started(&mut self, call: &InFlightCall, not_started: NotStartedReason) {
        let shard = &mut self.shards[call.shard as usize];
        let reason = match not_started {
            NotStartedReason::SnapshotGone => {
                shard.without_snapshot.push(call.leaf);
                Reason::SnapshotGone
            }
            NotStartedReason::OwnerUnreachable => {
                shard.tried.retain(|leaf| *leaf != call.leaf);
                self.root.avoid(call.owner);
                Reason::Unreachable
            }
            NotStartedReason::Shed | NotStartedReason::Draining => Reason::Shed,
            NotStartedReason::Deadline | NotStartedReason::Cancelled => Reason::Timeout,
            NotStartedReason::Quarantined => {
                shard.cancel_retry(Reason::Quarantined);
                return;
            }
            _ => Reason::Unreachable,
        };
        let failure = AttemptFailure {
            reason,
            may_have_run: false,
            no_replica: false,
        };
        self.schedule_retry(call.shard, failure, boot_us());
    }

    /// Handles a call that may have executed; only an idempotent request retries it.
    fn handle_failed(&mut self, shard: u32, reason: Reason) {
        self.may_have_run = !crate::faults::is_check_disabled("check.uncertain");
        if !self.query_context.idempotent {
            self.shards[shard as usize].missing_reason = Some(reason);
            return;
        }
        let failure = AttemptFailure {
            reason,
            may_have_run: true,
            no_replica: false,
        };
        self.schedule_retry(shard, failure, boot_us());
    }
}
