//! Service that drives configuration and membership: sockets, timers and shared views.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::clock::{boot_ms, unix_ms};
use crate::document::{Content, DocumentStore, HistoryEntry, VM_LIST, Verdict, Version};
use crate::fact::{Fact, FactKey, LeafState, VmState};
use crate::faults::is_cut;
use crate::fleet::Fleet;
use crate::gossip::{Datagram, Gossip, Outgoing, Timing};
use crate::ids::{Incarnation, Snapshot};
use crate::link::Link;
use crate::platform::{Platform, PlatformError};
use crate::settings::Settings;
use crate::watcher::{Backoff, watchers};
use crate::wire::{DocumentBody, DocumentRequest, decode, encode};

/// Time between two looks at what gossip has to do.
const TICK_MS: u64 = 50;

/// Gap between two ticks after which the process counts as paused.
const PAUSE_GAP_MS: u64 = 2_000;

/// Time that a watch of the platform blocks.
const WATCH_WAIT_MS: u64 = 10_000;

/// Time between two checks of a VM that does not watch.
const IDLE_WATCH_MS: u64 = 500;

/// Largest datagram read.
const RECEIVE_BYTES: usize = 65_536;

/// What is known of a leaf.
#[derive(Clone, Debug)]
pub struct LeafView {
    /// State as its owner sees it.
    pub state: LeafState,
    /// Snapshots that the leaf holds.
    pub snapshots: Vec<Snapshot>,
    /// Wall-clock time of the observation.
    pub observed_unix_ms: u64,
}

/// How this node compared its documents with others before it served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum PeerCheck {
    /// Not yet done.
    Pending,
    /// No peer could be reached; documents came from the platform alone.
    None,
    /// At least one peer answered.
    Done,
}

pub(crate) struct State {
    pub(crate) store: DocumentStore,
    pub(crate) gossip: Gossip,
    pub(crate) rng: StdRng,
}

/// Service that decides on configuration and membership.
pub struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) link: Arc<Link>,
    pub(crate) platform: Platform,
    incarnation: Incarnation,
    socket: UdpSocket,
    state: Mutex<State>,
    fleet: ArcSwap<Fleet>,
    leaves: RwLock<HashMap<SocketAddr, LeafView>>,
    quarantine: RwLock<HashMap<u64, u64>>,
    changed: watch::Sender<u64>,
    last_tick_ms: AtomicU64,
    announced: AtomicBool,
    pub(crate) stale: AtomicBool,
    pub(crate) peer_check: AtomicU64,
    platform_behind: AtomicBool,
}

impl Control {
    /// Starts the service on a bound socket; its tasks end with `stop`.
    pub fn spawn(
        settings: Arc<Settings>,
        link: Arc<Link>,
        incarnation: Incarnation,
        socket: UdpSocket,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let now_ms = boot_ms();
        let address = settings.internal_address;
        let mut gossip = Gossip::new(address, incarnation, Timing::default(), now_ms);
        gossip.set_peers(settings.peers.iter().copied());
        let control = Arc::new(Self {
            platform: Platform::new(settings.platform),
            settings,
            link,
            incarnation,
            socket,
            state: Mutex::new(State {
                store: DocumentStore::default(),
                gossip,
                rng: StdRng::from_rng(&mut rand::rng()),
            }),
            fleet: ArcSwap::default(),
            leaves: RwLock::default(),
            quarantine: RwLock::default(),
            changed: watch::Sender::new(0),
            last_tick_ms: AtomicU64::new(now_ms),
            announced: AtomicBool::new(false),
            stale: AtomicBool::new(false),
            peer_check: AtomicU64::new(PeerCheck::Pending as u64),
            platform_behind: AtomicBool::new(false),
        });
        spawn_until(tasks, stop, Arc::clone(&control).run_watch());
        spawn_until(tasks, stop, Arc::clone(&control).run_repair());
        control
    }

    /// Starts to gossip, which makes this VM known as one that takes work.
    pub fn announce(self: &Arc<Self>, stop: &CancellationToken, tasks: &TaskTracker) {
        self.last_tick_ms.store(boot_ms(), Ordering::SeqCst);
        self.announced.store(true, Ordering::SeqCst);
        spawn_until(tasks, stop, Arc::clone(self).run_gossip());
        spawn_until(tasks, stop, Arc::clone(self).run_receive());
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the compiled view in force.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Returns a receiver that is notified of each new view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether an address may be a peer.
    pub fn admits(&self, peer: SocketAddr) -> bool {
        self.state().gossip.admits(peer)
    }

    /// Returns whether the platform serves older documents than those in force.
    pub fn is_platform_behind(&self) -> bool {
        self.platform_behind.load(Ordering::Relaxed)
    }

    /// Returns how documents were compared with peers.
    pub fn peer_check(&self) -> PeerCheck {
        match self.peer_check.load(Ordering::Relaxed) {
            0 => PeerCheck::Pending,
            1 => PeerCheck::None,
            _ => PeerCheck::Done,
        }
    }

    /// Returns the latest verdicts on documents.
    pub fn history(&self) -> Vec<HistoryEntry> {
        self.state().store.history().cloned().collect()
    }

    /// Returns the versions in force, by document name.
    pub fn versions(&self) -> Vec<(Box<str>, Version)> {
        let state = self.state();
        state
            .store
            .iter()
            .map(|(name, document)| (name.into(), document.version))
            .collect()
    }

    /// Returns all VMs that gossip knows, with their state and the age of that fact.
    pub fn vm_facts(&self) -> Vec<(SocketAddr, VmState, u64)> {
        let now_ms = boot_ms();
        let state = self.state();
        let mut facts = Vec::new();
        for entry in state.gossip.facts() {
            let Fact::Vm { address, state, .. } = entry.fact else {
                continue;
            };
            facts.push((address, state, now_ms.saturating_sub(entry.received_ms)));
        }
        facts
    }

    /// Returns what is known of a leaf.
    pub fn leaf_view(&self, address: SocketAddr) -> Option<LeafView> {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        leaves.get(&address).cloned()
    }

    /// Calls `read` with all leaf views, under one lock.
    pub fn with_leaf_views<T>(&self, read: impl FnOnce(&HashMap<SocketAddr, LeafView>) -> T) -> T {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        read(&leaves)
    }

    /// Returns the time until which content is refused, if it is quarantined.
    pub fn quarantined_until(&self, fingerprint: u64, now_unix_ms: u64) -> Option<u64> {
        let table = self
            .quarantine
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        table
            .get(&fingerprint)
            .copied()
            .filter(|until| *until > now_unix_ms)
    }

    /// Publishes a fact that this node observed.
    pub fn publish(&self, fact: Fact) {
        let news = self.state().gossip.publish(fact.clone(), boot_ms());
        if news {
            self.apply(&[fact]);
        }
    }

    /// Announces that this VM is stopping.
    pub fn leave(&self) {
        self.state().gossip.leave(boot_ms());
        self.recompile();
    }

    /// Takes facts from a peer.
    pub fn merge(&self, facts: Vec<Fact>) {
        let news = self.state().gossip.merge(facts, boot_ms());
        self.apply(&news);
    }

    /// Returns all facts, for a peer that joins; the state of this VM only once it is announced.
    pub fn all_facts(&self) -> Vec<Fact> {
        let own = FactKey::Vm(self.settings.internal_address);
        let announced = self.announced.load(Ordering::SeqCst);
        let state = self.state();
        let facts = state.gossip.facts().map(|entry| entry.fact.clone());
        facts
            .filter(|fact| announced || fact.key() != own)
            .collect()
    }

    /// Updates the shared views after facts changed.
    fn apply(&self, news: &[Fact]) {
        let mut vms_changed = false;
        for fact in news {
            match fact {
                Fact::Vm { address, state, .. } => {
                    info!(event = "vm_state", vm = %address, state = ?state);
                    vms_changed = true;
                }
                Fact::Leaf {
                    address,
                    observed_unix_ms,
                    state,
                    snapshots,
                } => {
                    let view = LeafView {
                        state: *state,
                        snapshots: snapshots.clone(),
                        observed_unix_ms: *observed_unix_ms,
                    };
                    let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
                    leaves.insert(*address, view);
                }
                Fact::Quarantine {
                    fingerprint,
                    until_unix_ms,
                } => {
                    info!(event = "quarantine", fingerprint, until_unix_ms);
                    let mut table = self
                        .quarantine
                        .write()
                        .unwrap_or_else(PoisonError::into_inner);
                    let now_unix_ms = unix_ms();
                    table.retain(|_, until| *until > now_unix_ms);
                    table.insert(*fingerprint, *until_unix_ms);
                }
                Fact::Document { name, version } => {
                    debug!(event = "document_announced", name = %name, revision = version.revision);
                }
            }
        }
        if vms_changed {
            self.recompile();
        }
    }

    /// Offers a document; returns whether it is in force now.
    pub fn offer(&self, name: &str, revision: u64, body: &[u8], source: &str) -> Verdict {
        let verdict = {
            let mut state = self.state();
            let verdict = state.store.offer(name, revision, body, unix_ms());
            let version = state.store.get(name).map(|document| document.version);
            if let (Verdict::Accepted, Some(version)) = (&verdict, version) {
                let fact = Fact::Document {
                    name: name.into(),
                    version,
                };
                state.gossip.publish(fact, boot_ms());
            }
            if name == VM_LIST && verdict == Verdict::Accepted {
                self.list_peers(&mut state);
            }
            verdict
        };
        match &verdict {
            Verdict::Accepted => {
                info!(event = "document_in_force", name, revision, source);
                self.recompile();
            }
            Verdict::Rejected(error) => {
                warn!(event = "document_rejected", name, revision, source, %error);
            }
            Verdict::Older => debug!(event = "document_older", name, revision, source),
            Verdict::Unchanged => {}
        }
        verdict
    }

    fn list_peers(&self, state: &mut State) {
        let mut peers = self.settings.peers.clone();
        if let Some(Content::Vms(list)) = state.store.get(VM_LIST).map(|d| &d.content) {
            peers.extend(list.vms.iter().map(|entry| entry.internal_address));
        }
        state.gossip.set_peers(peers);
    }

    /// Compiles the view anew and makes it the one in force.
    fn recompile(&self) {
        {
            let state = self.state();
            let region = &self.settings.region;
            let fleet = Fleet::compile(&state.store, region, |vm| state.gossip.is_live(vm));
            // Stored under the lock: of two tasks that compile, the one with the older documents
            // would otherwise be able to store last.
            self.fleet.store(Arc::new(fleet));
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns deflated bodies of the documents asked for.
    pub fn document_bodies(&self, request: &DocumentRequest) -> Vec<DocumentBody> {
        let state = self.state();
        let mut bodies = Vec::new();
        for (name, document) in state.store.iter() {
            if !request.names.is_empty() && !request.names.iter().any(|wanted| &**wanted == name) {
                continue;
            }
            bodies.push(DocumentBody {
                name: name.into(),
                revision: document.version.revision,
                deflated: crate::sync::deflate(&document.body),
            });
        }
        bodies
    }

    /// Returns the names of documents that a peer announced and this node lacks.
    pub(crate) fn missing_documents(&self) -> Vec<Box<str>> {
        let state = self.state();
        let mut missing = Vec::new();
        for entry in state.gossip.facts() {
            let Fact::Document { name, version } = &entry.fact else {
                continue;
            };
            if state
                .store
                .get(name)
                .is_none_or(|document| document.version < *version)
            {
                missing.push(name.clone());
            }
        }
        missing
    }

    async fn run_gossip(self: Arc<Self>) {
        let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now_ms = boot_ms();
            if self.is_paused(now_ms) {
                warn!(event = "pause_detected");
                self.stale.store(true, Ordering::SeqCst);
            }
            self.last_tick_ms.store(now_ms, Ordering::SeqCst);
            let (out, dead) = {
                let state = &mut *self.state();
                let before = state.gossip.live_peers().len();
                let out = state.gossip.tick(now_ms, &mut state.rng);
                (out, state.gossip.live_peers().len() != before)
            };
            if dead {
                self.recompile();
            }
            self.send(out).await;
        }
    }

    /// Returns whether the process did not run for a while before `now_ms`.
    pub(crate) fn is_paused(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_tick_ms.load(Ordering::SeqCst)) > PAUSE_GAP_MS
    }

    async fn send(&self, out: Outgoing) {
        for (to, message) in out {
            let Ok(bytes) = encode(&message) else {
                continue;
            };
            if is_cut(to) {
                continue;
            }
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }

    async fn run_receive(self: Arc<Self>) {
        let mut buffer = vec![0; RECEIVE_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if is_cut(from) {
                continue;
            }
            let Ok(message) = decode::<Datagram>(&buffer[..length]) else {
                warn!(event = "datagram_malformed", %from, length_bytes = length);
                continue;
            };
            let (out, news) = {
                let state = &mut *self.state();
                if !state.gossip.admits(from) {
                    debug!(event = "datagram_refused", %from);
                    continue;
                }
                state
                    .gossip
                    .receive(from, message, boot_ms(), &mut state.rng)
            };
            self.send(out).await;
            self.apply(&news);
        }
    }

    /// Returns whether this VM is one of those that watch the platform.
    fn is_watcher(&self) -> bool {
        let fleet = self.fleet();
        let mut vms = Vec::new();
        for vm in &fleet.vms {
            if vm.live {
                vms.push((&*vm.entry.name, &*vm.entry.failure_domain));
            }
        }
        vms.is_empty() || watchers(&vms).contains(&&*self.settings.vm)
    }

    async fn run_watch(self: Arc<Self>) {
        let mut index = 0;
        let mut backoff = Backoff::default();
        loop {
            if !self.is_watcher() {
                index = 0;
                tokio::time::sleep(Duration::from_millis(IDLE_WATCH_MS)).await;
                continue;
            }
            match self.read_platform(index).await {
                Ok(next) => {
                    backoff.reset();
                    index = next;
                }
                Err(error) => {
                    let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                    warn!(event = "platform_read_failed", %error, delay_ms);
                    index = 0;
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Reads the platform once, offers what it holds and returns the index to watch from.
    pub(crate) async fn read_platform(&self, index: u64) -> Result<u64, PlatformError> {
        let wait_ms = if index == 0 { 0 } else { WATCH_WAIT_MS };
        let read = self.platform.read(index, wait_ms).await?;
        let mut behind = false;
        for value in &read.values {
            let verdict = self.offer(&value.name, value.revision, &value.body, "platform");
            behind |= verdict == Verdict::Older;
        }
        self.platform_behind.store(behind, Ordering::Relaxed);
        Ok(read.index)
    }

    /// Returns the version of a document that gossip last announced.
    pub fn announced(&self, name: &str) -> Option<Version> {
        match &self
            .state()
            .gossip
            .fact(&FactKey::Document(name.into()))?
            .fact
        {
            Fact::Document { version, .. } => Some(*version),
            _ => None,
        }
    }
}

fn spawn_until(
    tasks: &TaskTracker,
    stop: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let stop = stop.clone();
    tasks.spawn(async move { stop.run_until_cancelled(task).await });
}
