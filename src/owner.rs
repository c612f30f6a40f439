//! Service that holds connections to leaves and runs leaf calls within their slots.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info};

use crate::clock::{boot_ms, unix_ms};
use crate::control::Control;
use crate::fact::{Fact, LeafState};
use crate::fleet::Leaf;
use crate::ids::{CallId, Snapshot};
use crate::leaf::{LeafConnection, LeafRequest, LeafStatus, Serving};
use crate::queue::Queue;
use crate::wire::{Batch, LeafCall, LeafReply, LeafResult, NotStarted};

/// Time between two status reads of an owned leaf.
const POLL_INTERVAL_MS: u64 = 250;

/// Failed status reads after which a leaf counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Connections that one VM sets up at a time.
const CONCURRENT_CONNECTS: usize = 8;

/// One leaf that this VM calls.
#[derive(Debug)]
struct OwnedLeaf {
    address: SocketAddr,
    queue: Mutex<Queue<oneshot::Sender<()>>>,
    connection: tokio::sync::Mutex<Option<LeafConnection<Serving>>>,
    draining: AtomicBool,
    starts: AtomicU64,
}

impl OwnedLeaf {
    fn new(leaf: &Leaf) -> Self {
        Self {
            address: leaf.address,
            queue: Mutex::new(Queue::new(leaf.slots)),
            connection: tokio::sync::Mutex::default(),
            draining: AtomicBool::new(leaf.leaving),
            starts: AtomicU64::new(0),
        }
    }

    fn queue(&self) -> MutexGuard<'_, Queue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot of a leaf; dropping it lets the next call start.
struct Slot {
    leaf: Arc<OwnedLeaf>,
    alone: bool,
    start: u64,
}

impl Slot {
    fn new(leaf: Arc<OwnedLeaf>) -> Self {
        let alone = leaf.queue().in_flight() <= 1;
        let start = leaf.starts.fetch_add(1, Ordering::SeqCst) + 1;
        Self { leaf, alone, start }
    }

    /// Returns whether another call held a slot of the leaf at any time since this one started.
    fn is_shared(&self) -> bool {
        !self.alone || self.leaf.starts.load(Ordering::SeqCst) != self.start
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut queue = self.leaf.queue();
        queue.finish();
        while let Some(waiting) = queue.start_next() {
            if waiting.send(()).is_ok() {
                break;
            }
            queue.finish();
        }
    }
}

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
    control: Arc<Control>,
    leaves: Mutex<HashMap<SocketAddr, Arc<OwnedLeaf>>>,
    connects: Semaphore,
    tasks: TaskTracker,
}

impl Owner {
    /// Starts the service; it follows changes of ownership until `stop`.
    pub fn spawn(
        control: Arc<Control>,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let owner = Arc::new(Self {
            control,
            leaves: Mutex::default(),
            connects: Semaphore::new(CONCURRENT_CONNECTS),
            tasks: tasks.clone(),
        });
        let following = Arc::clone(&owner);
        let stop = stop.clone();
        tasks.spawn(async move { following.follow(stop).await });
        owner
    }

    /// Starts and stops the status reads of leaves as ownership changes.
    async fn follow(self: Arc<Self>, stop: CancellationToken) {
        let mut changed = self.control.subscribe();
        let mut polls: HashMap<SocketAddr, CancellationToken> = HashMap::new();
        loop {
            let owned = self.owned();
            polls.retain(|address, token| {
                let kept = owned.contains(address);
                if !kept {
                    info!(event = "leaf_released", leaf = %address);
                    token.cancel();
                }
                kept
            });
            for address in owned {
                if polls.contains_key(&address) {
                    continue;
                }
                info!(event = "leaf_owned", leaf = %address);
                let token = stop.child_token();
                polls.insert(address, token.clone());
                let owner = Arc::clone(&self);
                self.tasks.spawn(async move {
                    token.run_until_cancelled(owner.poll(address)).await;
                });
            }
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = stop.cancelled() => return,
            }
        }
    }

    fn owned(&self) -> HashSet<SocketAddr> {
        let fleet = self.control.fleet();
        let own = fleet.find_vm(self.control.settings.internal_address);
        let mut owned = HashSet::new();
        for leaf in &fleet.leaves {
            if own.is_some() && leaf.owners.primary == own {
                owned.insert(leaf.address);
            }
        }
        owned
    }

    fn leaf(&self, address: SocketAddr) -> Option<Arc<OwnedLeaf>> {
        let fleet = self.control.fleet();
        let leaf = fleet.find_leaf(address)?;
        let mut leaves = self.leaves.lock().unwrap_or_else(PoisonError::into_inner);
        let owned = leaves
            .entry(address)
            .or_insert_with(|| Arc::new(OwnedLeaf::new(leaf)));
        owned.queue().set_slots(leaf.slots);
        if leaf.leaving {
            owned.draining.store(true, Ordering::SeqCst);
        }
        Some(Arc::clone(owned))
    }

    /// Reads a leaf's status again and again, and publishes what changes.
    async fn poll(self: Arc<Self>, address: SocketAddr) {
        let mut failures = 0;
        let mut published: Option<(LeafState, Vec<Snapshot>)> = None;
        loop {
            let Some(leaf) = self.leaf(address) else {
                return;
            };
            let seen = match self.status(&leaf).await {
                Some(status) => {
                    failures = 0;
                    leaf.draining.store(status.draining, Ordering::SeqCst);
                    Some((state_of(&status), status.snapshots))
                }
                None => {
                    failures += 1;
                    let down = failures >= DOWN_AFTER_FAILURES;
                    down.then(|| (LeafState::Down, Vec::new()))
                }
            };
            if seen.is_some() && seen != published {
                if let Some((state, snapshots)) = &seen {
                    self.publish(address, *state, snapshots.clone());
                }
                published = seen;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    fn publish(&self, address: SocketAddr, state: LeafState, snapshots: Vec<Snapshot>) {
        info!(event = "leaf_state", leaf = %address, state = ?state, snapshots = snapshots.len());
        let observed_unix_ms = unix_ms();
        self.control.publish(Fact::Leaf {
            address,
            observed_unix_ms,
            state,
            snapshots,
        });
    }

    async fn status(&self, leaf: &OwnedLeaf) -> Option<LeafStatus> {
        let connection = self.connection(leaf).await?;
        let limit = Duration::from_millis(2 * POLL_INTERVAL_MS);
        tokio::time::timeout(limit, connection.status())
            .await
            .ok()?
            .ok()
    }

    /// Returns the leaf's connection, and sets one up if there is none.
    async fn connection(&self, leaf: &OwnedLeaf) -> Option<LeafConnection<Serving>> {
        let mut connection = leaf.connection.lock().await;
        if let Some(open) = connection.as_ref().filter(|open| !open.is_closed()) {
            return Some(open.clone());
        }
        let _permit = self.connects.acquire().await.ok()?;
        let fresh = LeafConnection::open(leaf.address).await;
        debug!(event = "leaf_connect", leaf = %leaf.address, connected = fresh.is_ok());
        *connection = fresh.ok();
        connection.clone()
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
        let not_started = |reason| LeafReply {
            call: call.call,
            result: LeafResult::NotStarted(reason),
            shared_leaf: true,
        };
        let Some(leaf) = self.leaf(call.leaf) else {
            return not_started(NotStarted::UnknownLeaf);
        };
        if leaf.draining.load(Ordering::SeqCst) {
            return not_started(NotStarted::Draining);
        }
        let slot = match acquire(&leaf, deadline_ms, &cancel).await {
            Ok(slot) => slot,
            Err(reason) => return not_started(reason),
        };
        let Some(connection) = self.connection(&leaf).await else {
            return not_started(NotStarted::Unreachable);
        };
        if cancel.is_cancelled() {
            return not_started(NotStarted::Cancelled);
        }
        let now_ms = boot_ms();
        if now_ms >= deadline_ms || unix_ms() >= request.deadline_unix_ms {
            return not_started(NotStarted::Deadline);
        }
        let limit = Duration::from_millis(deadline_ms - now_ms);
        let result = tokio::select! {
            result = connection.execute(&request) => result,
            () = tokio::time::sleep(limit) => LeafResult::Timeout,
            () = cancel.cancelled() => LeafResult::Timeout,
        };
        self.learn(&leaf, &result);
        LeafReply {
            call: call.call,
            result,
            shared_leaf: slot.is_shared(),
        }
    }

    /// Takes what an answer says about the leaf's state.
    fn learn(&self, leaf: &OwnedLeaf, result: &LeafResult) {
        if *result != LeafResult::NotStarted(NotStarted::Draining) {
            return;
        }
        if !leaf.draining.swap(true, Ordering::SeqCst) {
            self.publish(leaf.address, LeafState::Draining, Vec::new());
        }
    }
}

fn state_of(status: &LeafStatus) -> LeafState {
    if status.draining {
        LeafState::Draining
    } else if status.cold {
        LeafState::Warming
    } else {
        LeafState::Up
    }
}

/// Waits for a slot of a leaf.
async fn acquire(
    leaf: &Arc<OwnedLeaf>,
    deadline_ms: u64,
    cancel: &CancellationToken,
) -> Result<Slot, NotStarted> {
    let (sender, mut receiver) = oneshot::channel();
    {
        let mut queue = leaf.queue();
        if queue.try_start() {
            drop(queue);
            return Ok(Slot::new(Arc::clone(leaf)));
        }
        queue
            .wait(deadline_ms, sender)
            .map_err(|_| NotStarted::Shed)?;
    }
    let limit = Duration::from_millis(deadline_ms.saturating_sub(boot_ms()));
    let given_up = tokio::select! {
        granted = &mut receiver => {
            granted.map_err(|_| NotStarted::Shed)?;
            return Ok(Slot::new(Arc::clone(leaf)));
        }
        () = tokio::time::sleep(limit) => NotStarted::Deadline,
        () = cancel.cancelled() => NotStarted::Cancelled,
    };
    // A slot granted at the same moment would otherwise stay taken for good.
    receiver.close();
    if receiver.try_recv().is_ok() {
        drop(Slot::new(Arc::clone(leaf)));
    }
    Err(given_up)
}
