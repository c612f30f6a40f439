//! Control plane of a VM: applies configuration documents, tracks membership with gossip, and
//! compiles the fleet view by which requests are routed.
//!
//! A document or a change of membership takes effect with the next compilation. Compilations after
//! changes of membership alone are rate-limited, since the loss of a failure domain brings changes
//! with every gossip tick.

mod documents;
mod gossip_io;
mod leaf_views;
mod pause_detector;
mod platform_watch;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::clock::{boot_ms, unix_ms};
use crate::document::{Content, DocumentStore, HistoryEntry, OfferOutcome, VM_LIST, Version};
use crate::fact::{Fact, LeafState};
use crate::fleet::Fleet;
use crate::gossip::{Gossip, GossipTiming};
use crate::ids::{Incarnation, Snapshot};
use crate::operator_api::VmStatus;
use crate::peer_client::PeerClient;
use crate::platform::PlatformClient;
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::telemetry::{CpuTimer, Telemetry};

pub use pause_detector::PauseDetector;
pub(crate) use platform_watch::WatchCursor;

/// Latest reported state of a leaf.
#[derive(Clone, Debug)]
pub struct LeafView {
    /// State as its owner observes it.
    pub state: LeafState,
    /// Snapshots that the leaf has loaded.
    pub snapshots: Vec<Snapshot>,
    /// Wall-clock time at which this node received or observed the state.
    pub observed_unix_ms: u64,
}

/// Result of the latest synchronization of documents with peers. The first one takes place before
/// the node serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum PeerCheck {
    /// Not done yet.
    Pending,
    /// No peer responded, or after a pause an announced document was still missing at the timeout.
    /// At startup, the documents then come from the platform only.
    None,
    /// At least one peer responded.
    Done,
}

pub(crate) struct ControlState {
    pub(crate) store: DocumentStore,
    pub(crate) gossip: Gossip,
    pub(crate) rng: StdRng,
    /// VMs that accept work in the view in force.
    compiled_live_vms: BTreeSet<SocketAddr>,
    /// Whether a document was accepted after the view in force was compiled.
    view_outdated: bool,
    /// Value of `Gossip::vm_changes` at the last comparison with `compiled_live_vms`.
    compared_vm_changes: u64,
    /// Time before which changes of VMs alone do not start a compilation.
    next_compile_ms: u64,
    /// Latest observations of leaves by this node.
    own_observations: BTreeMap<SocketAddr, (LeafState, Vec<Snapshot>)>,
    /// Leaves owned by this node for which another VM reported a different state.
    conflicting: BTreeSet<SocketAddr>,
}

/// Minimum pause before changes of VMs start the next compilation, as a multiple of the duration of
/// the last one. While a failure domain is lost at 760 nodes, VMs change with every tick and a
/// compilation takes over 100 ms.
const COMPILE_PAUSE_FACTOR: u64 = 10;

impl ControlState {
    /// Returns whether the VMs that accept work differ from those in the view in force and the
    /// pause after the last compilation has passed.
    fn needs_compilation(&mut self, now_ms: u64) -> bool {
        let changes = self.gossip.vm_changes();
        if changes == self.compared_vm_changes || now_ms < self.next_compile_ms {
            return false;
        }
        self.compared_vm_changes = changes;
        self.gossip.live_vms() != self.compiled_live_vms
    }

    /// Passes the leaves listed by the files in force to gossip; returns the deferred facts that
    /// are accepted as a result.
    fn update_listed_leaves(&mut self, now_ms: u64) -> Vec<Fact> {
        let mut leaves = BTreeSet::new();
        for (_, document) in self.store.iter() {
            let Content::Config(file) = &document.content else {
                continue;
            };
            for service in file.services.values() {
                leaves.extend(service.leaves.values().map(|leaf| leaf.address));
            }
        }
        self.gossip.set_leaves(leaves, now_ms)
    }
}

/// Configuration and membership of one VM, shared by its tasks.
pub struct ControlPlane {
    pub(crate) settings: Arc<Settings>,
    pub(crate) peer_client: Arc<PeerClient>,
    pub(crate) platform: PlatformClient,
    incarnation: Incarnation,
    started_ms: u64,
    socket: UdpSocket,
    state: Mutex<ControlState>,
    fleet: ArcSwap<Fleet>,
    leaves: RwLock<HashMap<SocketAddr, LeafView>>,
    quarantine_expiries: RwLock<HashMap<u64, u64>>,
    crash_evidence: Mutex<Quarantine>,
    view_changes: watch::Sender<u64>,
    compile_lock: Mutex<()>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) pause_sync_lock: tokio::sync::Mutex<()>,
    pub(crate) document_announced: Notify,
    pub(crate) joined: CancellationToken,
    gossip_started: AtomicBool,
    pub(crate) peer_check: AtomicU64,
    platform_behind: AtomicBool,
    superseded: CancellationToken,
    pub(crate) telemetry: Arc<Telemetry>,
}

impl ControlPlane {
    /// Starts the control plane on a bound socket; its tasks end when `stop` is cancelled.
    pub fn spawn(
        settings: Arc<Settings>,
        peer_client: Arc<PeerClient>,
        telemetry: Arc<Telemetry>,
        incarnation: Incarnation,
        socket: UdpSocket,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let now_ms = boot_ms();
        let address = settings.internal_address;
        let mut gossip = Gossip::new(address, incarnation, GossipTiming::default(), now_ms);
        gossip.set_peers(settings.peers.iter().copied());
        let control = Arc::new(Self {
            platform: PlatformClient::new(settings.platform),
            settings,
            peer_client,
            incarnation,
            started_ms: now_ms,
            socket,
            state: Mutex::new(ControlState {
                store: DocumentStore::default(),
                gossip,
                rng: StdRng::from_rng(&mut rand::rng()),
                compiled_live_vms: BTreeSet::new(),
                view_outdated: false,
                compared_vm_changes: 0,
                next_compile_ms: 0,
                own_observations: BTreeMap::new(),
                conflicting: BTreeSet::new(),
            }),
            fleet: ArcSwap::default(),
            leaves: RwLock::default(),
            quarantine_expiries: RwLock::default(),
            crash_evidence: Mutex::default(),
            view_changes: watch::Sender::new(0),
            compile_lock: Mutex::new(()),
            pause_detector: PauseDetector::new(now_ms),
            pause_sync_lock: tokio::sync::Mutex::new(()),
            document_announced: Notify::new(),
            joined: CancellationToken::new(),
            gossip_started: AtomicBool::new(false),
            peer_check: AtomicU64::new(PeerCheck::Pending as u64),
            platform_behind: AtomicBool::new(false),
            superseded: CancellationToken::new(),
            telemetry,
        });
        spawn_until(tasks, stop, Arc::clone(&control).run_watch());
        spawn_until(tasks, stop, Arc::clone(&control).run_document_fetch());
        control
    }

    /// Starts gossip, by which the other VMs learn that this VM accepts work.
    pub fn start_gossip(self: &Arc<Self>, stop: &CancellationToken, tasks: &TaskTracker) {
        // A long startup counts as a pause, so that the first admission synchronizes documents
        // again.
        self.pause_detector.tick(boot_ms());
        self.gossip_started.store(true, Ordering::SeqCst);
        spawn_until(tasks, stop, Arc::clone(self).run_gossip());
        spawn_until(tasks, stop, Arc::clone(self).run_receive());
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the compiled view in force.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Returns a receiver that is notified of each new compiled view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether an address may be a peer.
    pub fn is_known_peer(&self, peer: SocketAddr) -> bool {
        self.state().gossip.is_known_peer(peer)
    }

    /// Returns whether the platform serves an older version of a document than the one in force.
    pub fn is_platform_behind(&self) -> bool {
        self.platform_behind.load(Ordering::Relaxed)
    }

    /// Returns whether a later process uses this VM's address; this process must not serve requests
    /// then.
    pub fn is_superseded(&self) -> bool {
        self.superseded.is_cancelled()
    }

    /// Waits until a later process uses this VM's address.
    pub async fn superseded(&self) {
        self.superseded.cancelled().await;
    }

    /// Returns the number of pauses of this process that were detected.
    pub fn pauses(&self) -> u64 {
        self.pause_detector.pauses()
    }

    /// Returns the result of the latest synchronization of documents with peers.
    pub fn peer_check(&self) -> PeerCheck {
        match self.peer_check.load(Ordering::Relaxed) {
            0 => PeerCheck::Pending,
            1 => PeerCheck::None,
            _ => PeerCheck::Done,
        }
    }

    /// Returns the most recent outcomes of document versions.
    pub fn history(&self) -> Vec<HistoryEntry> {
        self.state().store.history().cloned().collect()
    }

    /// Returns the versions in force, by document name.
    pub fn versions(&self) -> Vec<(Box<str>, Version)> {
        self.ensure_compiled();
        let state = self.state();
        state
            .store
            .iter()
            .map(|(name, document)| (name.into(), document.version))
            .collect()
    }

    /// Returns the status of all VMs that gossip has a fact about.
    pub fn vm_statuses(&self) -> Vec<VmStatus> {
        let now_ms = boot_ms();
        let state = self.state();
        let mut vms = Vec::new();
        for entry in state.gossip.facts() {
            let Fact::Vm {
                address,
                state,
                incarnation,
                ..
            } = entry.fact
            else {
                continue;
            };
            vms.push(VmStatus {
                address,
                state,
                incarnation: incarnation.to_string().into(),
                age_ms: now_ms.saturating_sub(entry.received_ms),
            });
        }
        vms
    }

    /// Applies a document if it is valid and newer than the one in force; returns the outcome.
    pub fn offer(&self, name: &str, revision: u64, body: &[u8], source: &str) -> OfferOutcome {
        let cpu = CpuTimer::start();
        let outcome = self.apply_document(name, revision, body);
        match &outcome {
            OfferOutcome::Accepted => {
                info!(event = "document_in_force", name, revision, source);
                self.recompile();
                crate::faults::hit_fail_point("config.in_force");
            }
            OfferOutcome::Rejected(error) => {
                debug!(event = "document_rejected", name, revision, source, %error);
            }
            OfferOutcome::Outdated => debug!(event = "document_older", name, revision, source),
            OfferOutcome::Unchanged => {}
        }
        self.telemetry.count_control_cpu(&cpu);
        outcome
    }

    /// Applies a document to the store and publishes the outcome by gossip.
    fn apply_document(&self, name: &str, revision: u64, body: &[u8]) -> OfferOutcome {
        let now_ms = boot_ms();
        let mut state = self.state();
        let outcome = state.store.offer(name, revision, body, unix_ms());
        for discarded in state.store.take_unpublished() {
            warn!(
                event = "document_discarded",
                name = %discarded.name,
                revision = discarded.version.revision,
                superseded_by = discarded.superseded_by.map(|version| version.revision),
                reason = %discarded.reason,
            );
            state
                .gossip
                .publish(Fact::DiscardedVersion(discarded), now_ms);
        }
        if outcome != OfferOutcome::Accepted {
            return outcome;
        }
        if let Some(version) = state.store.get(name).map(|document| document.version) {
            let name = name.into();
            state
                .gossip
                .publish(Fact::Document { name, version }, now_ms);
        }
        if name == VM_LIST {
            self.update_peers(&mut state);
        }
        state.view_outdated = true;
        let new_facts = state.update_listed_leaves(now_ms);
        self.update_views(&mut state, &new_facts);
        self.remove_unlisted_leaves(&mut state);
        outcome
    }

    fn update_peers(&self, state: &mut ControlState) {
        let mut peers = self.settings.peers.clone();
        if let Some(Content::Vms(list)) = state.store.get(VM_LIST).map(|d| &d.content) {
            peers.extend(list.vms.iter().map(|entry| entry.internal_address));
        }
        state.gossip.set_peers(peers);
    }

    /// Returns once all accepted documents are part of the view in force, since another task may
    /// have accepted one and not compiled it yet.
    pub(crate) fn ensure_compiled(&self) {
        let view_outdated = {
            let _compile_guard = self
                .compile_lock
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            self.state().view_outdated
        };
        if view_outdated {
            self.recompile();
        }
    }

    /// Compiles a new view and puts it in force.
    ///
    /// Compilations are serialized, so that an older view never replaces a newer one.
    fn recompile(&self) {
        let _compile_guard = self
            .compile_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let started_ms = boot_ms();
        let (store, live) = {
            let mut state = self.state();
            let live = state.gossip.live_vms();
            state.compiled_live_vms.clone_from(&live);
            state.view_outdated = false;
            (state.store.clone(), live)
        };
        let fleet = Fleet::compile(&store, &self.settings.region, |vm| live.contains(&vm));
        self.fleet.store(Arc::new(fleet));
        let now_ms = boot_ms();
        let pause_ms = now_ms.saturating_sub(started_ms) * COMPILE_PAUSE_FACTOR;
        self.state().next_compile_ms = now_ms + pause_ms;
        self.view_changes.send_modify(|count| *count += 1);
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
