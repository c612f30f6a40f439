//! Runs leaf calls over this VM's connections to leaves, within the slots of each leaf.
//!
//! The primary owner of a leaf polls its status and publishes changes. Ownership limits which VMs
//! connect, so that a leaf's connection limit holds while the views of VMs differ.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::clock::{boot_ms, unix_ms};
use crate::control::{ControlPlane, PeerCheck};
use crate::fact::LeafState;
use crate::fleet::{Fleet, Leaf};
use crate::ids::{CallId, LeafKey, Snapshot};
use crate::leaf::{LeafRequest, LeafStatus, process_has_ended};
use crate::owned_leaf::{ConnectionHandle, OwnedLeaf};
use crate::wire::{Batch, LeafCall, LeafReply, LeafResult, NotStartedReason};

/// Interval between two status reads of an owned leaf.
const STATUS_POLL_INTERVAL_MS: u64 = 250;

/// Consecutive failed status reads after which a leaf counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Maximum number of connections that one VM sets up concurrently.
const CONCURRENT_CONNECTS: usize = 8;

/// Idle time after which the connection to a leaf that this VM does not own is closed.
const IDLE_CLOSE_MS: u64 = 1_000;

/// Maximum interval between two sweeps for idle connections.
const SWEEP_INTERVAL_MS: u64 = 250;

/// Maximum wait after the start for the status of all listed VMs.
const INITIAL_SYNC_TIMEOUT_MS: u64 = 3_000;

/// Minimum connection limit of a leaf at which its standby may connect too.
///
/// While two views differ, a leaf may have two primaries and two standbys.
const MIN_CONNECTIONS_FOR_STANDBY: u32 = 4;

/// A running batch; dropping it cancels the calls that have not ended.
#[derive(Debug, Default)]
pub struct RunningBatch {
    cancels: HashMap<CallId, CancellationToken>,
}

impl RunningBatch {
    /// Cancels one call.
    pub fn cancel(&self, call: CallId) {
        if let Some(cancel) = self.cancels.get(&call) {
            cancel.cancel();
        }
    }
}

impl Drop for RunningBatch {
    fn drop(&mut self) {
        for cancel in self.cancels.values() {
            cancel.cancel();
        }
    }
}

/// Service that runs leaf calls.
pub struct Owner {
    control: Arc<ControlPlane>,
    leaves: Mutex<HashMap<SocketAddr, Arc<OwnedLeaf>>>,
    connect_permits: Arc<Semaphore>,
    initial_sync_done: AtomicBool,
    started_ms: u64,
    tasks: TaskTracker,
}

impl Owner {
    /// Starts the service; it applies changes of ownership until `stop` is cancelled.
    pub fn spawn(
        control: Arc<ControlPlane>,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let owner = Arc::new(Self {
            control,
            leaves: Mutex::default(),
            connect_permits: Arc::new(Semaphore::new(CONCURRENT_CONNECTS)),
            initial_sync_done: AtomicBool::new(false),
            started_ms: boot_ms(),
            tasks: tasks.clone(),
        });
        let task_owner = Arc::clone(&owner);
        let stop = stop.clone();
        tasks.spawn(async move { task_owner.follow_ownership(stop).await });
        owner
    }

    /// Starts and stops status polls as ownership changes, and closes idle connections.
    async fn follow_ownership(self: Arc<Self>, stop: CancellationToken) {
        let mut changed = self.control.subscribe();
        let mut status_polls: HashMap<SocketAddr, CancellationToken> = HashMap::new();
        loop {
            self.check_initial_sync();
            let owned = self.owned_leaves();
            status_polls.retain(|address, token| {
                let still_owned = owned.contains(address);
                if !still_owned {
                    info!(event = "leaf_released", leaf = %address);
                    token.cancel();
                }
                still_owned
            });
            self.sweep(&owned);
            for address in owned {
                if status_polls.contains_key(&address) {
                    continue;
                }
                info!(event = "leaf_owned", leaf = %address);
                let token = stop.child_token();
                status_polls.insert(address, token.clone());
                let owner = Arc::clone(&self);
                self.tasks.spawn(async move {
                    token.run_until_cancelled(owner.poll_status(address)).await;
                });
            }
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Ends the initial sync once the status of all listed VMs is known or the timeout has passed.
    ///
    /// Before that, this VM would consider itself the owner of every leaf whose owner has not
    /// reported its status yet.
    fn check_initial_sync(&self) {
        if self.initial_sync_done.load(Ordering::SeqCst) {
            return;
        }
        let known: HashSet<SocketAddr> = self
            .control
            .vm_statuses()
            .into_iter()
            .map(|vm| vm.address)
            .collect();
        let fleet = self.control.fleet();
        let mut listed = fleet.vms.iter().map(|vm| vm.entry.internal_address);
        let waited_ms = boot_ms().saturating_sub(self.started_ms);
        let all_known = !fleet.vms.is_empty() && listed.all(|vm| known.contains(&vm));
        if all_known || waited_ms >= INITIAL_SYNC_TIMEOUT_MS {
            info!(event = "owner_initial_sync_done", waited_ms, all_known);
            self.initial_sync_done.store(true, Ordering::SeqCst);
        }
    }

    /// Returns whether this VM may connect to a leaf without risking the leaf's connection limit.
    fn may_connect(&self, fleet: &Fleet, leaf: &Leaf) -> bool {
        let own_vm = fleet.find_vm(self.control.settings.internal_address);
        LeafOwnership {
            initial_sync_done: self.initial_sync_done.load(Ordering::SeqCst),
            primary: own_vm.is_some() && leaf.owners.primary == own_vm,
            standby: own_vm.is_some() && leaf.owners.standby == own_vm,
        }
        .allows_connection(fleet.vms.len(), leaf.connections)
    }

    fn owned_leaves(&self) -> HashSet<SocketAddr> {
        let fleet = self.control.fleet();
        let own_vm = fleet.find_vm(self.control.settings.internal_address);
        let mut owned = HashSet::new();
        // The views of peers take precedence over the leaf's own status, which may be frozen, so no
        // leaf is polled before the comparison with the peers has ended.
        if self.control.peer_check() == PeerCheck::Pending {
            return owned;
        }
        for leaf in &fleet.leaves {
            let primary = own_vm.is_some() && leaf.owners.primary == own_vm;
            if primary && !leaf.leaving && self.may_connect(&fleet, leaf) {
                owned.insert(leaf.address);
            }
        }
        owned
    }

    /// Applies the configuration in force to all leaves with state on this VM, and stops new calls
    /// to leaves that no file lists any more.
    ///
    /// Closes the idle connections of leaves that this VM does not own and removes their state.
    fn sweep(&self, owned: &HashSet<SocketAddr>) {
        let fleet = self.control.fleet();
        let mut leaves = self.leaves.lock().unwrap_or_else(PoisonError::into_inner);
        leaves.retain(|address, leaf| {
            match fleet.find_leaf(*address) {
                Some(listed) => leaf.configure(listed),
                None => leaf.mark_unlisted(),
            }
            owned.contains(address) || !leaf.close_if_idle(IDLE_CLOSE_MS)
        });
    }

    fn leaf(&self, address: SocketAddr) -> Option<Arc<OwnedLeaf>> {
        let fleet = self.control.fleet();
        let leaf = fleet.find_leaf(address)?;
        let mut leaves = self.leaves.lock().unwrap_or_else(PoisonError::into_inner);
        if !leaves.contains_key(&address) && !self.may_connect(&fleet, leaf) {
            return None;
        }
        let owned = leaves
            .entry(address)
            .or_insert_with(|| Arc::new(OwnedLeaf::new(leaf)));
        owned.configure(leaf);
        Some(Arc::clone(owned))
    }

    /// Polls a leaf's status and publishes each change.
    async fn poll_status(self: Arc<Self>, address: SocketAddr) {
        let mut failures = 0;
        let mut published: Option<(LeafState, Vec<Snapshot>)> = None;
        let mut last_refusal_unix_ms = 0;
        loop {
            let Some(leaf) = self.leaf(address) else {
                return;
            };
            if let Some(refused_unix_ms) = self.newer_refusal_unix_ms(address, last_refusal_unix_ms)
            {
                last_refusal_unix_ms = refused_unix_ms;
                leaf.record_refusal();
            }
            let observed = match self.status(&leaf).await {
                Some(status) => {
                    failures = 0;
                    leaf.set_process(status.process.clone());
                    let has_other_replica = !leaf.has_refused() || self.has_other_replica(address);
                    let state = leaf.record_status(&status, has_other_replica);
                    Some((state, status.snapshots))
                }
                None => {
                    failures += 1;
                    let down = failures >= DOWN_AFTER_FAILURES;
                    down.then(|| (LeafState::Down, Vec::new()))
                }
            };
            if observed.is_some() && observed != published {
                if let Some((state, snapshots)) = &observed {
                    last_refusal_unix_ms = self.publish(address, *state, snapshots.clone());
                }
                published = observed;
            }
            tokio::time::sleep(Duration::from_millis(STATUS_POLL_INTERVAL_MS)).await;
        }
    }

    /// Returns whether each shard that the leaf serves has another replica that accepts calls.
    fn has_other_replica(&self, address: SocketAddr) -> bool {
        let fleet = self.control.fleet();
        let layouts = fleet.services.iter().flat_map(|service| &service.layouts);
        self.control.with_leaf_views(|views| {
            let accepts_work = |key: &LeafKey| {
                let leaf = fleet.leaf(*key);
                let view = views.get(&leaf.address);
                let serves = view
                    .is_some_and(|view| view.state.accepts_work() && !view.snapshots.is_empty());
                leaf.address != address && !leaf.leaving && serves
            };
            let is_served = |shard: &Vec<LeafKey>| {
                let serves_shard = shard.iter().any(|key| fleet.leaf(*key).address == address);
                !serves_shard || shard.iter().any(accepts_work)
            };
            layouts.flat_map(|layout| &layout.shards).all(is_served)
        })
    }

    /// Returns when a VM last observed that the leaf refused a call, if that is newer than
    /// `last_refusal_unix_ms`.
    fn newer_refusal_unix_ms(&self, address: SocketAddr, last_refusal_unix_ms: u64) -> Option<u64> {
        let view = self.control.leaf_view(address)?;
        let is_newer =
            view.state == LeafState::Draining && view.observed_unix_ms > last_refusal_unix_ms;
        is_newer.then_some(view.observed_unix_ms)
    }

    /// Publishes the leaf's state and returns the current wall-clock time.
    fn publish(&self, address: SocketAddr, state: LeafState, snapshots: Vec<Snapshot>) -> u64 {
        info!(event = "leaf_state", leaf = %address, state = ?state, snapshots = snapshots.len());
        self.control.publish_leaf(address, state, snapshots);
        unix_ms()
    }

    async fn status(&self, leaf: &OwnedLeaf) -> Option<LeafStatus> {
        let connection = self.connection(leaf).await?;
        let limit = Duration::from_millis(2 * STATUS_POLL_INTERVAL_MS);
        tokio::time::timeout(limit, connection.status())
            .await
            .ok()?
    }

    async fn connection(&self, leaf: &OwnedLeaf) -> Option<ConnectionHandle> {
        let fleet = self.control.fleet();
        let expected_ms = fleet.find_leaf(leaf.address).map_or(0, |l| l.connect_ms);
        leaf.connection(&self.connect_permits, expected_ms).await
    }

    /// Starts a batch; each call sends one reply, and the channel closes after the last.
    pub fn submit(
        self: &Arc<Self>,
        batch: Batch,
        replies: mpsc::Sender<LeafReply>,
    ) -> RunningBatch {
        let deadline_ms = boot_ms() + batch.remaining_ms;
        let payload = Bytes::from(batch.payload);
        let mut running = RunningBatch::default();
        for call in batch.calls {
            let cancel = CancellationToken::new();
            running.cancels.insert(call.call, cancel.clone());
            let request = LeafRequest {
                call: call.call,
                service: batch.service.clone(),
                member: batch.member.clone(),
                request_id: batch.request_id.clone(),
                shard: call.shard,
                snapshot: batch.snapshot,
                deadline_unix_ms: batch.deadline_unix_ms,
                deadline_ms,
                fingerprint: batch.fingerprint,
                payload: payload.clone(),
            };
            let owner = Arc::clone(self);
            let replies = replies.clone();
            self.tasks.spawn(async move {
                let reply = owner.run_call(call, request, deadline_ms, cancel).await;
                let _ = replies.send(reply).await;
            });
        }
        running
    }

    async fn run_call(
        &self,
        call: LeafCall,
        request: LeafRequest,
        deadline_ms: u64,
        cancel: CancellationToken,
    ) -> LeafReply {
        let outcome = match self.leaf(call.leaf) {
            Some(leaf) => self.try_call(&leaf, &request, deadline_ms, &cancel).await,
            None => Err(NotStartedReason::UnknownLeaf),
        };
        let (result, shared_leaf) = match outcome {
            Ok((result, shared_leaf)) => (result, shared_leaf),
            Err(reason) => (LeafResult::NotStarted(reason), true),
        };
        crate::faults::hit_fail_point("request.answered");
        LeafReply {
            call: call.call,
            result,
            shared_leaf,
        }
    }

    /// Runs a call in a slot of the leaf; returns its result and whether other calls held slots of
    /// the leaf at the same time.
    async fn try_call(
        &self,
        leaf: &Arc<OwnedLeaf>,
        request: &LeafRequest,
        deadline_ms: u64,
        cancel: &CancellationToken,
    ) -> Result<(LeafResult, bool), NotStartedReason> {
        let slot = leaf.acquire(deadline_ms, cancel).await?;
        let wait = Duration::from_millis(deadline_ms.saturating_sub(boot_ms()));
        let connection = tokio::select! {
            connection = self.connection(leaf) => connection,
            () = tokio::time::sleep(wait) => return Err(NotStartedReason::Deadline),
            () = cancel.cancelled() => return Err(NotStartedReason::Cancelled),
        };
        let connection = connection.ok_or(NotStartedReason::Unreachable)?;
        if cancel.is_cancelled() {
            return Err(NotStartedReason::Cancelled);
        }
        let quarantined = self
            .control
            .quarantined_until(request.fingerprint, unix_ms());
        if quarantined.is_some() {
            return Err(NotStartedReason::Quarantined);
        }
        let process = leaf.process();
        let now_ms = boot_ms();
        if now_ms >= deadline_ms || unix_ms() >= request.deadline_unix_ms {
            return Err(NotStartedReason::Deadline);
        }
        let limit = Duration::from_millis(deadline_ms - now_ms);
        let result = tokio::select! {
            result = connection.execute(request) => result,
            () = tokio::time::sleep(limit) => LeafResult::Timeout,
            () = cancel.cancelled() => LeafResult::Timeout,
        };
        self.record_result(leaf, &result);
        let shared_leaf = slot.is_shared();
        let result = match result {
            LeafResult::ConnectionLost
                if process_has_ended(leaf.address, process.as_deref()).await =>
            {
                LeafResult::Crashed
            }
            result => result,
        };
        Ok((result, shared_leaf))
    }

    /// Updates the leaf's state from the result of a call, and publishes that the leaf drains if it
    /// refused the call and was not draining before.
    fn record_result(&self, leaf: &OwnedLeaf, result: &LeafResult) {
        leaf.record_result(result);
        if *result == LeafResult::NotStarted(NotStartedReason::Draining) && leaf.record_refusal() {
            self.publish(leaf.address, LeafState::Draining, Vec::new());
        }
    }
}

/// Role of a VM for a leaf in the VM's own view.
#[derive(Clone, Copy, Debug)]
struct LeafOwnership {
    initial_sync_done: bool,
    primary: bool,
    standby: bool,
}

impl LeafOwnership {
    /// Returns whether the VM may connect, when the leaf accepts `connections` from `vms` VMs.
    ///
    /// Each VM holds one connection, and a second one while it replaces the first. If the leaf
    /// accepts two from every VM, differing views can't exceed its limit and no VM is turned away.
    fn allows_connection(self, vms: usize, connections: u32) -> bool {
        if 2 * vms <= connections as usize {
            return true;
        }
        let standby = self.standby && connections >= MIN_CONNECTIONS_FOR_STANDBY;
        self.initial_sync_done && (self.primary || standby)
    }
}
