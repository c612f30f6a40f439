//! One leaf that this VM calls: queue, slots, connection and what is known of its drain.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, oneshot};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::backoff::ConnectBackoff;
use crate::clock::boot_ms;
use crate::drain::DrainSignals;
use crate::fact::LeafState;
use crate::fleet::Leaf;
use crate::leaf::{
    Connecting, Draining, LeafConnection, LeafRequest, LeafStatus, Serving, Warming,
};
use crate::queue::Queue;
use crate::slots::Slots;
use crate::wire::{LeafResult, NotStarted};

/// Answer to a call that waits for a slot.
type Grant = Result<(), NotStarted>;

/// Stage of a leaf's connection.
#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Closed,
    Warming(LeafConnection<Warming>),
    Serving(LeafConnection<Serving>),
    Draining(LeafConnection<Draining>),
}

impl Stage {
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
pub(crate) struct Handle(Stage);

impl Handle {
    /// Sends one call, unless the connection drains.
    pub(crate) async fn execute(&self, request: &LeafRequest) -> LeafResult {
        match &self.0 {
            Stage::Warming(open) => open.execute(request).await,
            Stage::Serving(open) => open.execute(request).await,
            Stage::Draining(_) => LeafResult::NotStarted(NotStarted::Draining),
            Stage::Closed => LeafResult::NotStarted(NotStarted::Unreachable),
        }
    }

    /// Reads the status.
    pub(crate) async fn status(&self) -> Option<LeafStatus> {
        match &self.0 {
            Stage::Warming(open) => open.status().await.ok(),
            Stage::Serving(open) => open.status().await.ok(),
            Stage::Draining(open) => open.status().await.ok(),
            Stage::Closed => None,
        }
    }
}

/// Decisions on one leaf; no lock is held across an await.
#[derive(Debug)]
struct Decisions {
    queue: Queue<oneshot::Sender<Grant>>,
    slots: Slots,
    configured: u32,
    signals: DrainSignals,
    backoff: ConnectBackoff,
    /// Whether the leaf has answered on the current connection.
    answered: bool,
    last_used_ms: u64,
}

impl Decisions {
    /// Takes an answer of the leaf: the connection works.
    fn answered(&mut self) {
        if self.answered {
            return;
        }
        self.answered = true;
        if self.backoff.has_failed() {
            self.signals.restarted();
        }
        self.backoff.succeeded();
    }

    fn refresh(&mut self, now_ms: u64) {
        let limit = self.slots.limit(now_ms);
        self.queue.set_slots(self.configured, limit);
    }

    /// Starts waiting calls as far as slots are free; a caller that is gone gives its slot back.
    fn start_waiting(&mut self) {
        while let Some(waiting) = self.queue.start_next() {
            if waiting.send(Ok(())).is_err() {
                self.queue.finish();
            }
        }
    }

    /// Sends all waiting calls back, so that their roots can use other replicas.
    fn send_back(&mut self) {
        for waiting in self.queue.drain_waiting() {
            let _ = waiting.send(Err(NotStarted::Draining));
        }
    }
}

/// One leaf that this VM calls.
#[derive(Debug)]
pub(crate) struct OwnedLeaf {
    pub(crate) address: SocketAddr,
    decisions: Mutex<Decisions>,
    stage: tokio::sync::Mutex<Stage>,
    starts: AtomicU64,
    process: Mutex<Option<Box<str>>>,
}

impl OwnedLeaf {
    pub(crate) fn new(leaf: &Leaf) -> Self {
        Self {
            address: leaf.address,
            decisions: Mutex::new(Decisions {
                queue: Queue::new(leaf.slots),
                slots: Slots::new(leaf.slots),
                configured: leaf.slots,
                signals: DrainSignals::default(),
                backoff: ConnectBackoff::default(),
                answered: false,
                last_used_ms: boot_ms(),
            }),
            stage: tokio::sync::Mutex::default(),
            starts: AtomicU64::new(0),
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

    /// Takes the identity of the leaf's process from a status.
    pub(crate) fn set_process(&self, process: Option<Box<str>>) {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = process;
    }

    fn decisions(&self) -> MutexGuard<'_, Decisions> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the limits in force, and whether the leaf is leaving.
    pub(crate) fn configure(&self, leaf: &Leaf) {
        let mut decisions = self.decisions();
        decisions.configured = leaf.slots;
        decisions.slots.set_configured(leaf.slots);
        decisions.signals.set_configured(leaf.leaving);
        decisions.refresh(boot_ms());
        if decisions.signals.is_draining() {
            decisions.send_back();
        }
    }

    /// Takes away a leaf that no file lists any more.
    pub(crate) fn withdraw(&self) {
        let mut decisions = self.decisions();
        decisions.signals.set_configured(true);
        decisions.send_back();
    }

    /// Takes a refusal by the leaf itself; returns whether it is news.
    pub(crate) fn refused(&self) -> bool {
        let mut decisions = self.decisions();
        let news = !decisions.signals.is_draining();
        decisions.signals.refused(boot_ms());
        decisions.send_back();
        news
    }

    /// Returns whether a refusal by the leaf itself keeps it out of use.
    pub(crate) fn has_refused(&self) -> bool {
        self.decisions().signals.has_refused()
    }

    /// Takes the result of a call.
    pub(crate) fn learn(&self, result: &LeafResult) {
        let mut decisions = self.decisions();
        match result {
            LeafResult::NotStarted(NotStarted::Shed) => {
                decisions.answered();
                decisions.slots.shed_at(boot_ms());
                info!(event = "leaf_shed", leaf = %self.address, limit = decisions.slots.limit(boot_ms()));
            }
            LeafResult::Done { .. } => {
                decisions.answered();
                decisions.slots.succeeded();
            }
            LeafResult::Timeout => decisions.slots.cancelled(boot_ms()),
            _ => {}
        }
        decisions.refresh(boot_ms());
    }

    /// Takes a status; returns the leaf's state. `has_substitute` says whether another leaf of the
    /// shard takes work.
    pub(crate) fn observe(&self, status: &LeafStatus, has_substitute: bool) -> LeafState {
        let now_ms = boot_ms();
        let mut decisions = self.decisions();
        decisions.answered();
        decisions
            .signals
            .reported(status.draining, has_substitute, now_ms);
        if status.cold {
            decisions.slots.start_warming(now_ms);
        } else if !decisions.slots.is_warming(now_ms) {
            decisions.slots.stop_warming();
        }
        decisions.refresh(now_ms);
        if decisions.signals.is_draining() {
            decisions.send_back();
            return LeafState::Draining;
        }
        decisions.start_waiting();
        if decisions.slots.is_warming(now_ms) {
            LeafState::Warming
        } else {
            LeafState::Up
        }
    }

    /// Returns whether nothing used the leaf for `idle_ms`.
    fn is_idle(&self, idle_ms: u64) -> bool {
        let decisions = self.decisions();
        decisions.queue.in_flight() == 0
            && decisions.queue.waiting() == 0
            && boot_ms().saturating_sub(decisions.last_used_ms) >= idle_ms
    }

    /// Closes the connection if it is no longer used; returns whether it is closed.
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

    /// Returns a connection for calls or status reads, and sets one up if there is none.
    ///
    /// A failed attempt is remembered: until the next is due, this returns `None` at once.
    pub(crate) async fn connection(
        &self,
        pace: &Arc<Semaphore>,
        expected_ms: u64,
    ) -> Option<Handle> {
        let mut stage = self.stage.lock().await;
        if stage.is_closed() {
            let was_open = !matches!(std::mem::take(&mut *stage), Stage::Closed);
            if !self.may_open(was_open) {
                return None;
            }
            *stage = self.open(pace, expected_ms).await?;
        }
        let (draining, warming) = {
            let mut decisions = self.decisions();
            let now_ms = boot_ms();
            decisions.last_used_ms = now_ms;
            (
                decisions.signals.is_draining(),
                decisions.slots.is_warming(now_ms),
            )
        };
        *stage = match std::mem::take(&mut *stage) {
            open if draining => open.drain(),
            Stage::Warming(open) if !warming => Stage::Serving(open.serve()),
            // The leaf stays: its connection is not resumed, a new one takes its place.
            Stage::Draining(open) => {
                open.close();
                self.open(pace, expected_ms).await?
            }
            open => open,
        };
        Some(Handle(stage.clone()))
    }

    /// Returns whether a connection may be set up now; one that closed without any answer counts as
    /// a failed attempt.
    fn may_open(&self, was_open: bool) -> bool {
        let now_ms = boot_ms();
        let mut decisions = self.decisions();
        if was_open && !decisions.answered {
            decisions.backoff.failed(now_ms, &mut rand::rng());
        }
        decisions.backoff.allows(now_ms)
    }

    async fn open(&self, pace: &Arc<Semaphore>, expected_ms: u64) -> Option<Stage> {
        let permit = Arc::clone(pace).acquire_owned().await.ok()?;
        let opened = LeafConnection::<Connecting>::new(self.address)
            .open(expected_ms)
            .await;
        debug!(event = "leaf_connect", leaf = %self.address, connected = opened.is_ok());
        // The leaf still works on the connection when it is open on this side.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(expected_ms)).await;
            drop(permit);
        });
        let now_ms = boot_ms();
        let mut decisions = self.decisions();
        match opened {
            Ok(open) => {
                decisions.answered = false;
                if decisions.backoff.has_failed() {
                    decisions.slots.start_warming(now_ms);
                    decisions.refresh(now_ms);
                }
                Some(Stage::Warming(open))
            }
            Err(_) => {
                decisions.backoff.failed(now_ms, &mut rand::rng());
                None
            }
        }
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        deadline_ms: u64,
        cancel: &CancellationToken,
    ) -> Result<Slot, NotStarted> {
        let (sender, mut receiver) = oneshot::channel();
        {
            let mut decisions = self.decisions();
            decisions.refresh(boot_ms());
            if decisions.signals.is_draining() {
                return Err(NotStarted::Draining);
            }
            if decisions.queue.try_start() {
                drop(decisions);
                return Ok(Slot::new(Arc::clone(self)));
            }
            decisions
                .queue
                .wait(deadline_ms, sender)
                .map_err(|_| NotStarted::Shed)?;
        }
        let limit = Duration::from_millis(deadline_ms.saturating_sub(boot_ms()));
        let reason = tokio::select! {
            granted = &mut receiver => {
                granted.unwrap_or(Err(NotStarted::Shed))?;
                return Ok(Slot::new(Arc::clone(self)));
            }
            () = tokio::time::sleep(limit) => NotStarted::Deadline,
            () = cancel.cancelled() => NotStarted::Cancelled,
        };
        // A slot granted at the same moment would otherwise stay in use for ever.
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
    alone: bool,
    start: u64,
}

impl Slot {
    fn new(leaf: Arc<OwnedLeaf>) -> Self {
        let alone = leaf.decisions().queue.in_flight() <= 1;
        let start = leaf.starts.fetch_add(1, Ordering::SeqCst) + 1;
        Self { leaf, alone, start }
    }

    /// Returns whether another call held a slot of the leaf at any time since this one started.
    pub(crate) fn is_shared(&self) -> bool {
        !self.alone || self.leaf.starts.load(Ordering::SeqCst) != self.start
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut decisions = self.leaf.decisions();
        let now_ms = boot_ms();
        decisions.last_used_ms = now_ms;
        decisions.queue.finish();
        decisions.refresh(now_ms);
        decisions.start_waiting();
    }
}
