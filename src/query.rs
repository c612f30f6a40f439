//! One run of a request at one snapshot: dispatch, hedges, retries and merge.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, info};

use crate::answer::{Lack, Reason, ShardResult};
use crate::clock::{boot_ms, boot_us, unix_ms};
use crate::dispatch::Sent;
use crate::fleet::{Fleet, Layout};
use crate::ids::{CallId, LeafKey, ServiceKey, Snapshot, VmKey};
use crate::plan::Choice;
use crate::root::Root;
use crate::wire::{Batch, LeafCall, LeafReply, LeafResult, NotStarted};

/// Replies buffered for one run.
const REPLY_BUFFER: usize = 1_024;

/// Share of the remaining time after which a shard without an answer is hedged at the latest.
const LATEST_HEDGE_DIVISOR: u64 = 2;

/// What a run works on.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) service: ServiceKey,
    pub(crate) member: Box<str>,
    pub(crate) request_id: Box<str>,
    pub(crate) payload: Vec<u8>,
    pub(crate) fingerprint: u64,
    pub(crate) idempotent: bool,
    pub(crate) deadline_ms: u64,
}

/// How a run ended.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) results: Vec<ShardResult>,
    pub(crate) lacking: Vec<Lack>,
    /// Whether a call may have run without an answer that was merged.
    pub(crate) uncertain: bool,
    /// Whether a shard is lacking because no replica holds the snapshot any more.
    pub(crate) snapshot_gone: bool,
}

#[derive(Debug, Default)]
struct ShardState {
    tried: Vec<LeafKey>,
    open: u32,
    last_sent_us: u64,
    body: Option<Box<str>>,
    lack: Option<Reason>,
    hedged: bool,
}

#[derive(Debug)]
struct OpenCall {
    shard: u32,
    leaf: LeafKey,
    sent_us: u64,
    batch: usize,
}

/// State of one run.
pub(crate) struct Run<'a> {
    root: &'a Root,
    fleet: Arc<Fleet>,
    work: &'a Work,
    snapshot: Snapshot,
    layout: Layout,
    shards: Vec<ShardState>,
    calls: HashMap<CallId, OpenCall>,
    batches: Vec<Sent>,
    replies: mpsc::Sender<LeafReply>,
    hedge_delay_us: u64,
    uncertain: bool,
    snapshot_gone: bool,
}

impl<'a> Run<'a> {
    /// Runs `work` at `snapshot` until all shards have ended or the deadline passed.
    pub(crate) async fn run(
        root: &'a Root,
        fleet: Arc<Fleet>,
        work: &'a Work,
        snapshot: Snapshot,
    ) -> Option<RunResult> {
        let layout = fleet.service(work.service).layout(snapshot.layout)?.clone();
        let (replies, received) = mpsc::channel(REPLY_BUFFER);
        let shards = layout
            .shards
            .iter()
            .map(|_| ShardState::default())
            .collect();
        let hedge_delay_us = root.hedge_delay_us(work.service, &fleet);
        let mut run = Self {
            root,
            fleet,
            work,
            snapshot,
            layout,
            shards,
            calls: HashMap::new(),
            batches: Vec::new(),
            replies,
            hedge_delay_us,
            uncertain: false,
            snapshot_gone: false,
        };
        run.start();
        run.collect(received).await;
        Some(run.finish())
    }

    fn start(&mut self) {
        let all: Vec<u32> = (0..self.shards.len()).map(|shard| shard as u32).collect();
        self.root
            .earn_budget(self.work.service, &self.fleet, all.len() as u64);
        self.dispatch(&all);
    }

    /// Picks a replica for each of `shards` and sends one batch to each owner.
    fn dispatch(&mut self, shards: &[u32]) {
        let mut picked = Vec::with_capacity(shards.len());
        self.root
            .with_choice(&self.fleet, self.snapshot, |choice: Choice<'_>, rng| {
                for shard in shards {
                    let state = &self.shards[*shard as usize];
                    let replicas = &self.layout.shards[*shard as usize];
                    picked.push((*shard, choice.pick(replicas, &state.tried, rng)));
                }
            });
        let mut groups: BTreeMap<VmKey, Vec<(u32, LeafKey)>> = BTreeMap::new();
        for (shard, leaf) in picked {
            let owner = leaf.and_then(|leaf| self.owner_of(leaf));
            let (Some(leaf), Some(owner)) = (leaf, owner) else {
                let state = &mut self.shards[shard as usize];
                state.lack.get_or_insert(Reason::Unreachable);
                continue;
            };
            groups.entry(owner).or_default().push((shard, leaf));
        }
        for (owner, calls) in groups {
            self.send(owner, &calls);
        }
    }

    fn owner_of(&self, leaf: LeafKey) -> Option<VmKey> {
        let owners = self.fleet.leaf(leaf).owners;
        let reachable = |vm: &VmKey| !self.root.is_avoided(self.internal_address(*vm));
        owners
            .primary
            .filter(reachable)
            .or(owners.standby.filter(reachable))
            .or(owners.primary)
    }

    fn internal_address(&self, vm: VmKey) -> SocketAddr {
        self.fleet.vm(vm).entry.internal_address
    }

    fn send(&mut self, owner: VmKey, picked: &[(u32, LeafKey)]) {
        let now_us = boot_us();
        let remaining_ms = self.work.deadline_ms.saturating_sub(boot_ms());
        let mut calls = Vec::with_capacity(picked.len());
        for (shard, leaf) in picked {
            let call = self.root.next_call();
            let address = self.fleet.leaf(*leaf).address;
            calls.push(LeafCall {
                call,
                leaf: address,
                shard: *shard,
            });
            let batch = self.batches.len();
            let open = OpenCall {
                shard: *shard,
                leaf: *leaf,
                sent_us: now_us,
                batch,
            };
            self.calls.insert(call, open);
            let state = &mut self.shards[*shard as usize];
            state.tried.push(*leaf);
            state.open += 1;
            state.last_sent_us = now_us;
            self.root.call_started(address);
        }
        let address = self.internal_address(owner);
        debug!(event = "dispatch", owner = %address, calls = calls.len(), snapshot = %self.snapshot);
        let batch = Batch {
            service: self.fleet.service(self.work.service).name.clone(),
            member: self.work.member.clone(),
            request_id: self.work.request_id.clone(),
            snapshot: self.snapshot,
            deadline_unix_ms: unix_ms() + remaining_ms,
            remaining_ms,
            idempotent: self.work.idempotent,
            fingerprint: self.work.fingerprint,
            payload: self.work.payload.clone(),
            calls,
        };
        let sent = self
            .root
            .dispatcher()
            .send(address, batch, self.replies.clone());
        self.batches.push(sent);
    }

    /// Takes replies and hedges until nothing is open or the deadline passed.
    async fn collect(&mut self, mut received: mpsc::Receiver<LeafReply>) {
        while !self.calls.is_empty() && !self.is_covered() {
            let now_ms = boot_ms();
            if now_ms >= self.work.deadline_ms {
                break;
            }
            let deadline = Duration::from_millis(self.work.deadline_ms - now_ms);
            let hedge = Duration::from_micros(self.next_hedge_us().saturating_sub(boot_us()));
            tokio::select! {
                reply = received.recv() => {
                    if let Some(reply) = reply {
                        self.take(reply);
                    }
                }
                () = tokio::time::sleep(hedge.min(deadline)) => self.hedge(),
            }
        }
        self.cancel_open();
    }

    fn is_covered(&self) -> bool {
        self.shards.iter().all(|shard| shard.body.is_some())
    }

    /// Returns the time at which the next shard is hedged.
    fn next_hedge_us(&self) -> u64 {
        if !self.work.idempotent {
            return u64::MAX;
        }
        let mut next_us = u64::MAX;
        for shard in &self.shards {
            if shard.body.is_none() && shard.open > 0 && !shard.hedged {
                next_us = next_us.min(shard.last_sent_us + self.hedge_delay_us);
            }
        }
        next_us
    }

    /// Sends a second call for each shard that is late, as far as the budget goes.
    fn hedge(&mut self) {
        if !self.work.idempotent {
            return;
        }
        let suspect = self.root.is_suspect(self.work);
        let now_us = boot_us();
        let mut late = Vec::new();
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            let due = shard.last_sent_us + self.hedge_delay_us <= now_us;
            if shard.body.is_some() || shard.open == 0 || shard.hedged || !due {
                continue;
            }
            shard.hedged = true;
            // A hedge of content that crashed a leaf could crash one more before it is blamed.
            if suspect {
                continue;
            }
            if self.root.spend_budget(self.work.service, &self.fleet) {
                late.push(index as u32);
            }
        }
        if late.is_empty() {
            return;
        }
        info!(
            event = "hedge",
            shards = late.len(),
            delay_us = self.hedge_delay_us
        );
        self.dispatch(&late);
    }

    fn take(&mut self, reply: LeafReply) {
        let Some(call) = self.calls.remove(&reply.call) else {
            self.root.count_unexpected_reply();
            return;
        };
        let address = self.fleet.leaf(call.leaf).address;
        let latency_us = boot_us().saturating_sub(call.sent_us);
        let done = matches!(reply.result, LeafResult::Done { .. });
        self.root
            .call_ended(self.work.service, &self.fleet, address, latency_us, done);
        let shard = &mut self.shards[call.shard as usize];
        shard.open -= 1;
        match reply.result {
            LeafResult::Done { snapshot, .. } if snapshot != self.snapshot => {
                self.root.count_unexpected_reply();
                self.failed(call.shard, Reason::Failed);
            }
            LeafResult::Done { body, .. } if shard.body.is_none() => {
                shard.body = Some(String::from_utf8_lossy(&body).into());
                self.cancel_shard(call.shard);
            }
            LeafResult::Done { .. } => {}
            LeafResult::NotStarted(reason) => self.not_started(&call, reason),
            LeafResult::Crashed => {
                self.root.record_loss(self.work, address, reply.shared_leaf);
                self.failed(call.shard, Reason::Failed);
            }
            LeafResult::Lost | LeafResult::Failed | LeafResult::Mismatch => {
                self.failed(call.shard, Reason::Failed)
            }
            LeafResult::Timeout => self.failed(call.shard, Reason::Timeout),
        }
    }

    /// Handles a call that provably did not run: any request may try another replica.
    fn not_started(&mut self, call: &OpenCall, reason: NotStarted) {
        let lack = match reason {
            NotStarted::SnapshotGone => Reason::SnapshotGone,
            NotStarted::Shed | NotStarted::Draining => Reason::Shed,
            NotStarted::Deadline | NotStarted::Cancelled => Reason::Timeout,
            NotStarted::Quarantined => Reason::Quarantined,
            _ => Reason::Unreachable,
        };
        if reason == NotStarted::OwnerUnreachable {
            if let Some(owner) = self.fleet.leaf(call.leaf).owners.primary {
                self.root.avoid(self.internal_address(owner));
            }
            self.shards[call.shard as usize]
                .tried
                .retain(|leaf| *leaf != call.leaf);
        }
        self.retry(call.shard, lack);
    }

    /// Handles a call that may have run.
    fn failed(&mut self, shard: u32, reason: Reason) {
        self.uncertain = true;
        if self.work.idempotent {
            self.retry(shard, reason);
        } else {
            self.shards[shard as usize].lack = Some(reason);
        }
    }

    /// Tries another replica of a shard that has no other call open.
    fn retry(&mut self, shard: u32, reason: Reason) {
        let state = &mut self.shards[shard as usize];
        if state.body.is_some() || state.open > 0 {
            return;
        }
        state.lack = Some(reason);
        if self.root.is_quarantined(self.work) {
            state.lack = Some(Reason::Quarantined);
            return;
        }
        if boot_ms() >= self.work.deadline_ms {
            return;
        }
        if !self.root.spend_budget(self.work.service, &self.fleet) {
            return;
        }
        let before = state.tried.len();
        debug!(event = "retry", shard, reason = ?reason);
        self.dispatch(&[shard]);
        let state = &self.shards[shard as usize];
        self.snapshot_gone |= reason == Reason::SnapshotGone && state.tried.len() == before;
    }

    /// Cancels the losers of a shard that has its answer.
    fn cancel_shard(&mut self, shard: u32) {
        let mut losers = Vec::new();
        for (id, call) in &self.calls {
            if call.shard == shard {
                losers.push(*id);
            }
        }
        for id in losers {
            self.cancel(id);
        }
    }

    fn cancel_open(&mut self) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        for id in open {
            let shard = self.calls.get(&id).map(|call| call.shard);
            if let Some(shard) = shard {
                let state = &mut self.shards[shard as usize];
                if state.body.is_none() {
                    state.lack = Some(Reason::Timeout);
                    self.uncertain = true;
                }
            }
            self.cancel(id);
        }
    }

    fn cancel(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.batches[call.batch].cancel(id);
        self.root.call_cancelled(self.fleet.leaf(call.leaf).address);
        self.shards[call.shard as usize].open -= 1;
    }

    fn finish(mut self) -> RunResult {
        let mut result = RunResult {
            uncertain: self.uncertain,
            snapshot_gone: self.snapshot_gone,
            ..RunResult::default()
        };
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let number = index as u32;
            match shard.body.take() {
                Some(body) => result.results.push(ShardResult {
                    shard: number,
                    body,
                }),
                None => {
                    let reason = shard.lack.unwrap_or(Reason::Unreachable);
                    result.lacking.push(Lack {
                        shard: number,
                        reason,
                    });
                }
            }
        }
        result
    }
}

/// Returns the hedge delay, bounded by what the deadline leaves.
pub(crate) fn bounded_hedge_delay_us(observed_us: u64, remaining_ms: u64) -> u64 {
    observed_us.min(remaining_ms * 1_000 / LATEST_HEDGE_DIVISOR)
}
