//! Tracks the live VMs and the addresses at which they serve callers, by gossip over UDP. Requests
//! are handled by the active VMs among them.
//!
//! Handles VMs that crash, leave or restart, and network partitions.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{info, warn};

use super::catalog_sources::{CatalogSources, ISOLATED_MS};
use crate::clock::{boot_ms, unix_ms};
use crate::document::Version;
use crate::fact::{Fact, FactKey, LeafLinks, Profile, VmState};
use crate::gossip::{Datagram, Gossip, GossipTiming, MessageKind, Outgoing};
use crate::ids::Incarnation;
use crate::wire::encode;

/// Interval between gossip ticks.
const TICK_MS: u64 = 50;

/// Number of ticks between updates of the gossip peers and of the wall clock for expiry.
const PEER_UPDATE_TICKS: u64 = 10;

/// Size of the receive buffer.
const RECEIVE_BYTES: usize = 2_048;

/// Maximum number of VMs with unknown facts that are logged, once each: they may attach them to each
/// datagram.
const MAX_LOGGED_VMS: usize = 128;

/// Name of the gossip document that announces the catalog version.
const CATALOG: &str = "catalog";

/// Gossip timing: a crashed VM disappears from the resolved addresses after the suspicion timeout
/// and one round of probes, about the time for which callers cache these addresses.
pub const TIMING: GossipTiming = GossipTiming {
    probe_interval_ms: 300,
    ack_timeout_ms: 100,
    suspicion_ms: 900,
    dead_retention_ms: 60_000,
};

/// A VM that serves callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveVm {
    /// Internal address.
    pub address: SocketAddr,
    /// Profile that the VM published.
    pub profile: Profile,
    /// Whether the VM reaches the leaves.
    pub leaf_links: LeafLinks,
}

#[derive(Debug)]
struct State {
    gossip: Gossip,
    rng: SmallRng,
    /// Number of changes of the links to the leaves that were published.
    link_changes: u64,
    /// Live VMs, and the value of `Gossip::vm_changes` for which they were listed.
    live_vms: Option<(u64, Arc<[LiveVm]>)>,
}

/// Membership of this VM.
#[derive(Debug)]
pub struct Membership {
    address: SocketAddr,
    incarnation: Incarnation,
    seeds: Mutex<Vec<SocketAddr>>,
    socket: UdpSocket,
    state: Mutex<State>,
    evidence: Mutex<Vec<Fact>>,
    evidence_received: Notify,
    catalog_sources: Mutex<CatalogSources>,
    /// Time of the latest datagram of a peer.
    heard_ms: AtomicU64,
}

/// Failure to start membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum MembershipError {
    /// The address can't be bound.
    #[error("membership socket could not be bound")]
    Bind,
}

impl Membership {
    /// Binds the socket; [`Membership::run`] drives it.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        profile: Profile,
    ) -> Result<Arc<Self>, error_stack::Report<MembershipError>> {
        use error_stack::ResultExt;
        let socket = UdpSocket::bind(address)
            .await
            .change_context(MembershipError::Bind)?;
        let incarnation = Incarnation::new(unix_ms(), rand::random());
        let now_ms = boot_ms();
        let mut gossip = Gossip::new(address, incarnation, TIMING, now_ms);
        gossip.set_peers(seeds.iter().copied());
        let fact = Fact::Profile {
            address,
            incarnation,
            profile,
        };
        gossip.publish(fact, now_ms);
        let state = State {
            gossip,
            rng: SmallRng::from_rng(&mut rand::rng()),
            link_changes: 0,
            live_vms: None,
        };
        Ok(Arc::new(Self {
            address,
            incarnation,
            seeds: Mutex::new(seeds),
            socket,
            state: Mutex::new(state),
            evidence: Mutex::default(),
            evidence_received: Notify::new(),
            catalog_sources: Mutex::default(),
            heard_ms: AtomicU64::new(now_ms),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seeds(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the seeds: the VMs that are contacted before they are discovered by gossip.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds() = seeds;
    }

    /// Returns the live VMs, including this one unless it is leaving.
    ///
    /// The list is the same one until a VM changes, so that a large fleet costs a VM nothing while it
    /// does not change.
    pub fn live_vms(&self) -> Arc<[LiveVm]> {
        let state = &mut *self.state();
        let changes = state.gossip.vm_changes();
        if let Some((listed_changes, live_vms)) = &state.live_vms
            && *listed_changes == changes
        {
            return Arc::clone(live_vms);
        }
        let live_vms = list_vms(&state.gossip, state.gossip.live_vms());
        state.live_vms = Some((changes, Arc::clone(&live_vms)));
        live_vms
    }

    /// Returns the VMs that have announced within the last `period_ms` that they are stopping.
    pub fn leaving_vms(&self, period_ms: u64) -> Arc<[LiveVm]> {
        let state = self.state();
        let now_ms = boot_ms();
        let leaving = state.gossip.leaving_vms();
        let recent = leaving.filter(|(_, since_ms)| now_ms < since_ms + period_ms);
        list_vms(&state.gossip, recent.map(|(address, _)| address))
    }

    /// Returns whether a VM at an IP address has announced that it is stopping.
    pub fn is_leaving(&self, ip: IpAddr) -> bool {
        let state = self.state();
        let mut leaving = state.gossip.leaving_vms();
        leaving.any(|(address, _)| address.ip() == ip)
    }

    /// Returns the internal address of this VM.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether this VM is one of the seeds that VMs contact at startup, or has no seeds
    /// itself.
    pub fn is_seed(&self) -> bool {
        let seeds = self.seeds();
        seeds.is_empty() || seeds.contains(&self.address)
    }

    /// Announces that this VM has the catalog up to a version of the platform's state.
    pub fn announce_catalog(&self, version: Version) {
        let fact = Fact::Document {
            name: CATALOG.into(),
            version,
        };
        self.state().gossip.publish(fact, boot_ms());
    }

    /// Returns the newest catalog version that a VM has announced.
    pub fn announced_catalog(&self) -> Option<Version> {
        let state = self.state();
        let entry = state.gossip.fact(&FactKey::Document(CATALOG.into()))?;
        match &entry.fact {
            Fact::Document { version, .. } => Some(*version),
            _ => None,
        }
    }

    /// Returns the peers from which the catalog can be fetched.
    pub(super) fn catalog_sources(&self) -> MutexGuard<'_, CatalogSources> {
        let sources = self.catalog_sources.lock();
        sources.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records from which VM the catalog can be fetched. Facts that were missing here may not be in force
    /// on the VM that sent them.
    fn record_catalog_source(&self, from: SocketAddr, message: &Datagram) {
        if message.kind == MessageKind::MissingFacts {
            return;
        }
        for fact in &message.facts {
            if let Fact::Document { name, version } = fact
                && **name == *CATALOG
            {
                self.catalog_sources().record_announcement(from, *version);
            }
        }
    }

    /// Returns whether no peer has been heard for so long that this VM is cut off from all of them.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        now_ms >= self.heard_ms.load(Ordering::Relaxed) + ISOLATED_MS
    }

    /// Publishes a fact to all VMs.
    pub fn publish(&self, fact: Fact) {
        self.state().gossip.publish(fact, boot_ms());
    }

    /// Publishes whether this VM reaches the leaves.
    pub fn publish_leaf_links(&self, links: LeafLinks) {
        let state = &mut *self.state();
        state.link_changes += 1;
        let fact = Fact::LeafLinks {
            address: self.address,
            incarnation: self.incarnation,
            sequence: state.link_changes,
            links,
        };
        state.gossip.publish(fact, boot_ms());
    }

    /// Waits until evidence of other VMs on contents is received.
    pub async fn evidence_received(&self) {
        self.evidence_received.notified().await;
    }

    /// Removes and returns the evidence that was received.
    pub fn take_evidence(&self) -> Vec<Fact> {
        std::mem::take(&mut *self.evidence())
    }

    fn evidence(&self) -> MutexGuard<'_, Vec<Fact>> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces that this VM is stopping.
    pub fn leave(&self) {
        self.state().gossip.leave(boot_ms());
    }

    /// Runs gossip until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let receiver = Arc::clone(&self);
        tokio::join!(self.run_ticks(), receiver.run_receive());
    }

    async fn run_ticks(&self) {
        let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0_u64;
        loop {
            interval.tick().await;
            let outgoing = {
                let state = &mut *self.state();
                if ticks.is_multiple_of(PEER_UPDATE_TICKS) {
                    self.update_peers(&mut state.gossip);
                    state.gossip.set_wall_clock(unix_ms());
                }
                state.gossip.tick(boot_ms(), &mut state.rng)
            };
            ticks += 1;
            self.send(outgoing).await;
        }
    }

    /// Sets the gossip peers, including dead VMs, so that they are probed again after a partition
    /// heals.
    fn update_peers(&self, gossip: &mut Gossip) {
        let mut peers = self.seeds().clone();
        for entry in gossip.facts() {
            if let Fact::Vm { address, .. } = entry.fact {
                peers.push(address);
            }
        }
        gossip.set_peers(peers);
    }

    async fn run_receive(&self) {
        let mut buffer = vec![0; RECEIVE_BYTES];
        let mut later_vms: HashSet<SocketAddr> = HashSet::new();
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    warn!(event = "membership_receive_failed", %error);
                    tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
                    continue;
                }
            };
            let message = match Datagram::read(&buffer[..length]) {
                Ok((message, 0)) => message,
                Ok((message, unread)) => {
                    if later_vms.len() < MAX_LOGGED_VMS && later_vms.insert(from) {
                        info!(event = "facts_unknown", %from, unread);
                    }
                    message
                }
                Err(error) => {
                    warn!(event = "datagram_malformed", %from, length_bytes = length, %error);
                    continue;
                }
            };
            self.heard_ms.store(boot_ms(), Ordering::Relaxed);
            self.record_catalog_source(from, &message);
            let outgoing = {
                let state = &mut *self.state();
                let (outgoing, changes) =
                    state
                        .gossip
                        .receive(from, message, boot_ms(), &mut state.rng);
                self.log_changes(&changes);
                self.keep_evidence(changes);
                outgoing
            };
            self.send(outgoing).await;
        }
    }

    fn keep_evidence(&self, mut changes: Vec<Fact>) {
        changes.retain(|fact| {
            fact.evidence_unix_ms().is_some() || matches!(fact, Fact::Evacuation(_))
        });
        if !changes.is_empty() {
            self.evidence().extend(changes);
            self.evidence_received.notify_one();
        }
    }

    fn log_changes(&self, changes: &[Fact]) {
        for fact in changes {
            let Fact::Vm { address, state, .. } = fact else {
                continue;
            };
            if *address != self.address && *state != VmState::Suspect {
                info!(event = "vm_state", vm = %address, state = ?state);
            }
        }
    }

    async fn send(&self, outgoing: Outgoing) {
        for (to, message) in outgoing {
            let Ok(bytes) = encode(&message) else {
                warn!(event = "datagram_too_large", %to);
                continue;
            };
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                warn!(event = "datagram_not_sent", %to, %error);
            }
        }
    }
}

fn list_vms(gossip: &Gossip, addresses: impl IntoIterator<Item = SocketAddr>) -> Arc<[LiveVm]> {
    let mut vms = Vec::new();
    for address in addresses {
        let Some(entry) = gossip.fact(&FactKey::Profile(address)) else {
            continue;
        };
        let Fact::Profile {
            profile,
            incarnation,
            ..
        } = &entry.fact
        else {
            continue;
        };
        vms.push(LiveVm {
            address,
            profile: profile.clone(),
            leaf_links: leaf_links_of(gossip, address, *incarnation),
        });
    }
    vms.into()
}

/// Returns the links that the current process of a VM has published. A new process has published
/// none.
fn leaf_links_of(gossip: &Gossip, address: SocketAddr, current: Incarnation) -> LeafLinks {
    let entry = gossip.fact(&FactKey::LeafLinks(address));
    match entry.map(|entry| &entry.fact) {
        Some(Fact::LeafLinks {
            incarnation, links, ..
        }) if *incarnation == current => *links,
        _ => LeafLinks::Connected,
    }
}
