//! Queues the calls to one leaf and keeps the leaf's concurrency limit, connection and drain state.
//!
//! A call waits for a slot until its deadline. When the leaf drains, waiting calls are rejected, so
//! that their roots can use other replicas. Failed connection attempts are retried with backoff.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, oneshot};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::backoff::ConnectBackoff;
use crate::clock::boot_ms;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::drain::DrainSignals;
use crate::fact::LeafState;
use crate::fleet::Leaf;
use crate::leaf::{
    Connecting, Draining, LeafConnection, LeafRequest, LeafStatus, Serving, Warming,
};
use crate::queue::CallQueue;
use crate::wire::{LeafResult, NotStartedReason};

/// Result for a call that waits for a slot.
type SlotGrant = Result<(), NotStartedReason>;

/// Stage of a leaf's connection.
#[derive(Clone, Debug, Default)]
enum ConnectionStage {
    #[default]
    Closed,
    Warming(LeafConnection<Warming>),
    Serving(LeafConnection<Serving>),
    Draining(LeafConnection<Draining>),
}

impl ConnectionStage {
    fn is_closed(&self) -> bool {
        match self {
            Self::Closed => true,
            Self::Warming(open) => open.is_closed(),
            Self::Serving(open) => open.is_closed(),
            Self::Draining(open) => open.is_closed(),
        }
    }

    fn drain(self) -> Self {
        match self {
            Self::Warming(open) => Self::Draining(open.drain()),
            Self::Serving(open) => Self::Draining(open.drain()),
            other => other,
        }
    }

    fn close(self) {
        if let Self::Draining(open) = self.drain() {
            let closed = open.close();
            debug!(event = "leaf_closed", leaf = %closed.address());
        }
    }
}

/// Connection that a call or a status read uses.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle(ConnectionStage);

impl ConnectionHandle {
    /// Sends one call, unless the connection is draining.
    pub(crate) async fn execute(&self, request: &LeafRequest) -> LeafResult {
        match &self.0 {
            ConnectionStage::Warming(open) => open.execute(request).await,
            ConnectionStage::Serving(open) => open.execute(request).await,
            ConnectionStage::Draining(_) => LeafResult::NotStarted(NotStartedReason::Draining),
            ConnectionStage::Closed => LeafResult::NotStarted(NotStartedReason::Unreachable),
        }
    }

    /// Reads the leaf's status.
    pub(crate) async fn status(&self) -> Option<LeafStatus> {
        match &self.0 {
            ConnectionStage::Warming(open) => open.status().await.ok(),
            ConnectionStage::Serving(open) => open.status().await.ok(),
            ConnectionStage::Draining(open) => open.status().await.ok(),
            ConnectionStage::Closed => None,
        }
    }
}

/// Schedules the calls to one leaf. Its lock is never held across an await.
#[derive(Debug)]
struct CallScheduler {
    queue: CallQueue<oneshot::Sender<SlotGrant>>,
    concurrency_limit: ConcurrencyLimit,
    configured_slots: u32,
    drain_signals: DrainSignals,
    backoff: ConnectBackoff,
    /// Whether the leaf has answered on the current connection.
    answered: bool,
    last_used_ms: u64,
}

impl CallScheduler {
    /// Records that the leaf answered on the current connection, which ends the connection backoff.
    ///
    /// If connection attempts had failed before, it also counts as a restart of the leaf's process.
    fn record_answer(&mut self) {
        if self.answered {
            return;
        }
        self.answered = true;
        if self.backoff.has_failed() {
            self.drain_signals.record_restart();
        }
        self.backoff.record_success();
    }

    fn refresh_limit(&mut self, now_ms: u64) {
        let limit = self.concurrency_limit.limit(now_ms);
        self.queue.set_slots(self.configured_slots, limit);
    }

    /// Starts waiting calls while slots are free; a call whose waiter is gone releases its slot.
    fn start_waiting_calls(&mut self) {
        while let Some(waiting) = self.queue.dequeue() {
            if waiting.send(Ok(())).is_err() {
                self.queue.release_slot();
            }
        }
    }

    /// Rejects all waiting calls as draining, so that their roots can use other replicas.
    fn reject_waiting(&mut self) {
        for waiting in self.queue.take_waiting() {
            let _ = waiting.send(Err(NotStartedReason::Draining));
        }
    }
}

/// State of one leaf that this VM calls.
#[derive(Debug)]
pub(crate) struct OwnedLeaf {
    pub(crate) address: SocketAddr,
    scheduler: Mutex<CallScheduler>,
    stage: tokio::sync::Mutex<ConnectionStage>,
    slot_grants: AtomicU64,
    process: Mutex<Option<Box<str>>>,
}

impl OwnedLeaf {
    pub(crate) fn new(leaf: &Leaf) -> Self {
        Self {
            address: leaf.address,
            scheduler: Mutex::new(CallScheduler {
                queue: CallQueue::new(leaf.slots),
                concurrency_limit: ConcurrencyLimit::new(leaf.slots),
                configured_slots: leaf.slots,
                drain_signals: DrainSignals::default(),
                backoff: ConnectBackoff::default(),
                answered: false,
                last_used_ms: boot_ms(),
            }),
            stage: tokio::sync::Mutex::default(),
            slot_grants: AtomicU64::new(0),
            process: Mutex::default(),
        }
    }

    /// Returns the identity of the leaf's process, if it is known.
    pub(crate) fn process(&self) -> Option<Box<str>> {
        self.process
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets the identity of the leaf's process, as a status reported it.
    pub(crate) fn set_process(&self, process: Option<Box<str>>) {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = process;
    }

    fn scheduler(&self) -> MutexGuard<'_, CallScheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the limits in force and whether the leaf is leaving.
    pub(crate) fn configure(&self, leaf: &Leaf) {
        let mut scheduler = self.scheduler();
        scheduler.configured_slots = leaf.slots;
        scheduler.concurrency_limit.set_configured(leaf.slots);
        scheduler.drain_signals.set_configured(leaf.leaving);
        scheduler.refresh_limit(boot_ms());
        if scheduler.drain_signals.is_draining() {
            scheduler.reject_waiting();
        }
    }

    /// Marks a leaf that no file lists any more as draining.
    pub(crate) fn mark_unlisted(&self) {
        let mut scheduler = self.scheduler();
        scheduler.drain_signals.set_configured(true);
        scheduler.reject_waiting();
    }

    /// Records a refusal by the leaf itself; returns whether the leaf was not draining before.
    pub(crate) fn record_refusal(&self) -> bool {
        let mut scheduler = self.scheduler();
        let is_new = !scheduler.drain_signals.is_draining();
        scheduler.drain_signals.record_refusal(boot_ms());
        scheduler.reject_waiting();
        is_new
    }

    /// Returns whether a refusal by the leaf itself is in force.
    pub(crate) fn has_refused(&self) -> bool {
        self.scheduler().drain_signals.has_refused()
    }

    /// Updates the concurrency limit and the connection backoff from the result of a call.
    pub(crate) fn record_result(&self, result: &LeafResult) {
        let mut scheduler = self.scheduler();
        match result {
            LeafResult::NotStarted(NotStartedReason::Shed) => {
                scheduler.record_answer();
                scheduler.concurrency_limit.record_shed(boot_ms());
                info!(event = "leaf_shed", leaf = %self.address, limit = scheduler.concurrency_limit.limit(boot_ms()));
            }
            LeafResult::Answered { .. } => {
                scheduler.record_answer();
                scheduler.concurrency_limit.record_success();
            }
            LeafResult::Timeout => scheduler.concurrency_limit.record_cancellation(boot_ms()),
            _ => {}
        }
        scheduler.refresh_limit(boot_ms());
    }

    /// Records a status and returns the leaf's state.
    ///
    /// `has_other_replica` is true if each shard of the leaf has another replica that accepts
    /// calls.
    pub(crate) fn record_status(&self, status: &LeafStatus, has_other_replica: bool) -> LeafState {
        let now_ms = boot_ms();
        let mut scheduler = self.scheduler();
        scheduler.record_answer();
        scheduler
            .drain_signals
            .record_status(status.draining, has_other_replica, now_ms);
        if status.cold {
            scheduler.concurrency_limit.start_warming(now_ms);
        } else if !scheduler.concurrency_limit.is_warming(now_ms) {
            scheduler.concurrency_limit.stop_warming();
        }
        scheduler.refresh_limit(now_ms);
        if scheduler.drain_signals.is_draining() {
            scheduler.reject_waiting();
            return LeafState::Draining;
        }
        scheduler.start_waiting_calls();
        if scheduler.concurrency_limit.is_warming(now_ms) {
            LeafState::Warming
        } else {
            LeafState::Up
        }
    }

    /// Returns whether no call is in flight or waits, and nothing used the leaf for `idle_ms`.
    fn is_idle(&self, idle_ms: u64) -> bool {
        let scheduler = self.scheduler();
        scheduler.queue.in_flight() == 0
            && scheduler.queue.waiting() == 0
            && boot_ms().saturating_sub(scheduler.last_used_ms) >= idle_ms
    }

    /// Closes the connection if the leaf was idle for `idle_ms`; returns whether it is closed.
    pub(crate) fn close_if_idle(&self, idle_ms: u64) -> bool {
        if !self.is_idle(idle_ms) {
            return false;
        }
        let Ok(mut stage) = self.stage.try_lock() else {
            return false;
        };
        std::mem::take(&mut *stage).close();
        true
    }

    /// Returns the connection for calls and status reads, and sets one up if there is none.
    ///
    /// After a failed attempt, this returns `None` at once until the backoff allows the next one.
    pub(crate) async fn connection(
        &self,
        connect_permits: &Arc<Semaphore>,
        expected_ms: u64,
    ) -> Option<ConnectionHandle> {
        let mut stage = self.stage.lock().await;
        if stage.is_closed() {
            let was_open = !matches!(std::mem::take(&mut *stage), ConnectionStage::Closed);
            if !self.may_reconnect(was_open) {
                return None;
            }
            *stage = self.connect(connect_permits, expected_ms).await?;
        }
        let (draining, warming) = {
            let mut scheduler = self.scheduler();
            let now_ms = boot_ms();
            scheduler.last_used_ms = now_ms;
            (
                scheduler.drain_signals.is_draining(),
                scheduler.concurrency_limit.is_warming(now_ms),
            )
        };
        *stage = match std::mem::take(&mut *stage) {
            open if draining => open.drain(),
            ConnectionStage::Warming(open) if !warming => ConnectionStage::Serving(open.serve()),
            // The leaf no longer drains. A draining connection can't be resumed, so a new one
            // replaces it.
            ConnectionStage::Draining(open) => {
                open.close();
                self.connect(connect_permits, expected_ms).await?
            }
            open => open,
        };
        Some(ConnectionHandle(stage.clone()))
    }

    /// Returns whether the backoff allows a new connection now.
    ///
    /// A connection that closed without any answer counts as a failed attempt.
    fn may_reconnect(&self, was_open: bool) -> bool {
        let now_ms = boot_ms();
        let mut scheduler = self.scheduler();
        if was_open && !scheduler.answered {
            scheduler.backoff.record_failure(now_ms, &mut rand::rng());
        }
        scheduler.backoff.allows(now_ms)
    }

    async fn connect(
        &self,
        connect_permits: &Arc<Semaphore>,
        expected_ms: u64,
    ) -> Option<ConnectionStage> {
        let permit = Arc::clone(connect_permits).acquire_owned().await.ok()?;
        let opened = LeafConnection::<Connecting>::new(self.address)
            .open(expected_ms)
            .await;
        debug!(event = "leaf_connect", leaf = %self.address, connected = opened.is_ok());
        // The leaf may still be setting up the connection when it is open on this side, so the
        // permit is held for the expected set-up time.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(expected_ms)).await;
            drop(permit);
        });
        let now_ms = boot_ms();
        let mut scheduler = self.scheduler();
        match opened {
            Ok(open) => {
                scheduler.answered = false;
                if scheduler.backoff.has_failed() {
                    scheduler.concurrency_limit.start_warming(now_ms);
                    scheduler.refresh_limit(now_ms);
                }
                Some(ConnectionStage::Warming(open))
            }
            Err(_) => {
                scheduler.backoff.record_failure(now_ms, &mut rand::rng());
                None
            }
        }
    }

    /// Waits for a slot until the deadline or cancellation.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        deadline_ms: u64,
        cancel: &CancellationToken,
    ) -> Result<Slot, NotStartedReason> {
        let (sender, mut receiver) = oneshot::channel();
        {
            let mut scheduler = self.scheduler();
            scheduler.refresh_limit(boot_ms());
            if scheduler.drain_signals.is_draining() {
                return Err(NotStartedReason::Draining);
            }
            if scheduler.queue.try_acquire() {
                drop(scheduler);
                return Ok(Slot::new(Arc::clone(self)));
            }
            scheduler
                .queue
                .enqueue(deadline_ms, sender)
                .map_err(|_| NotStartedReason::Shed)?;
        }
        let limit = Duration::from_millis(deadline_ms.saturating_sub(boot_ms()));
        let reason = tokio::select! {
            granted = &mut receiver => {
                granted.unwrap_or(Err(NotStartedReason::Shed))?;
                return Ok(Slot::new(Arc::clone(self)));
            }
            () = tokio::time::sleep(limit) => NotStartedReason::Deadline,
            () = cancel.cancelled() => NotStartedReason::Cancelled,
        };
        // A slot granted at the same moment must be released, or it would stay in use for ever.
        receiver.close();
        if receiver.try_recv() == Ok(Ok(())) {
            drop(Slot::new(Arc::clone(self)));
        }
        Err(reason)
    }
}

/// A slot of a leaf; dropping it lets the next call start.
pub(crate) struct Slot {
    leaf: Arc<OwnedLeaf>,
    /// Whether no other call held a slot of the leaf when this one was granted.
    exclusive: bool,
    /// Number of this slot among all that the leaf granted.
    grant_number: u64,
}

impl Slot {
    fn new(leaf: Arc<OwnedLeaf>) -> Self {
        let exclusive = leaf.scheduler().queue.in_flight() <= 1;
        let grant_number = leaf.slot_grants.fetch_add(1, Ordering::SeqCst) + 1;
        Self {
            leaf,
            exclusive,
            grant_number,
        }
    }

    /// Returns whether another call held a slot of the leaf at any time since this one started.
    pub(crate) fn is_shared(&self) -> bool {
        !self.exclusive || self.leaf.slot_grants.load(Ordering::SeqCst) != self.grant_number
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut scheduler = self.leaf.scheduler();
        let now_ms = boot_ms();
        scheduler.last_used_ms = now_ms;
        scheduler.queue.release_slot();
        scheduler.refresh_limit(now_ms);
        scheduler.start_waiting_calls();
    }
}
