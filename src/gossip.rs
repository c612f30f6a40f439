//! Membership and fact dissemination in the manner of SWIM: state and clock in, datagrams out.

mod identity;
mod message;
mod probe;
mod repair;
mod scope;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fact::{Fact, FactKey, LeafState, VmState};
use crate::ids::{Incarnation, Snapshot};
use crate::wire::PROTOCOL_VERSION;

pub use message::{Datagram, Outgoing, Purpose, Timing};
use probe::{Probe, RelayedProbe};
use scope::Scope;
pub use table::{BUCKETS, Entry};
use table::{Spread, Table};

/// Largest encoded datagram, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of a datagram kept free of facts.
const HEADER_BYTES: usize = 64;

/// Peers that get an urgent fact at once.
const URGENT_FAN_OUT: usize = 4;

/// Most urgent datagrams that one node sends per probe interval. It bounds the burst when a failure
/// domain is lost; the queue carries the rest.
const URGENT_DATAGRAMS: usize = 40;

/// One probe in this many is followed by a probe of a dead peer that is still listed.
const DEAD_PROBE_TICKS: u64 = 5;

/// State of gossip on one VM.
#[derive(Debug)]
pub struct Gossip {
    address: SocketAddr,
    incarnation: Incarnation,
    generation: u32,
    refutation: u32,
    own_state: VmState,
    timing: Timing,
    peers: BTreeSet<SocketAddr>,
    table: Table,
    scope: Scope,
    urgent: Vec<FactKey>,
    urgent_room: usize,
    probe: Option<Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    round: Vec<SocketAddr>,
    next_sequence: u64,
    next_probe_ms: u64,
    next_compare_ms: u64,
    ticks: u64,
    last_tick_ms: u64,
    established: bool,
    superseded: bool,
}

impl Gossip {
    /// Starts gossip for the process `incarnation` on `address`.
    pub fn new(address: SocketAddr, incarnation: Incarnation, timing: Timing, now_ms: u64) -> Self {
        let mut gossip = Self {
            address,
            incarnation,
            generation: 0,
            refutation: 0,
            own_state: VmState::Alive,
            timing,
            peers: BTreeSet::new(),
            table: Table::new(),
            scope: Scope::default(),
            urgent: Vec::new(),
            urgent_room: URGENT_DATAGRAMS,
            probe: None,
            relayed: BTreeMap::new(),
            round: Vec::new(),
            next_sequence: 1,
            next_probe_ms: now_ms,
            next_compare_ms: now_ms,
            ticks: 0,
            last_tick_ms: now_ms,
            established: false,
            superseded: false,
        };
        gossip.announce_self(now_ms);
        gossip
    }

    /// Replaces the addresses that may be peers.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.peers = peers
            .into_iter()
            .filter(|peer| *peer != self.address)
            .collect();
    }

    /// Returns whether an address may be a peer: listed, or confirmed by another peer's facts.
    pub fn admits(&self, peer: SocketAddr) -> bool {
        self.peers.contains(&peer) || self.table.get(&FactKey::Vm(peer)).is_some()
    }

    /// Returns the state of a VM, if anything is known of it.
    pub fn vm_state(&self, address: SocketAddr) -> Option<VmState> {
        match self.table.get(&FactKey::Vm(address))?.fact {
            Fact::Vm { state, .. } => Some(state),
            _ => None,
        }
    }

    /// Returns whether a VM takes work; a suspected one still does.
    pub fn is_live(&self, address: SocketAddr) -> bool {
        matches!(
            self.vm_state(address),
            Some(VmState::Alive | VmState::Suspect)
        )
    }

    /// Returns all facts.
    pub fn facts(&self) -> impl Iterator<Item = &Entry> {
        self.table.iter().map(|(_, entry)| entry)
    }

    /// Returns the VMs that take work.
    pub fn live_vms(&self) -> BTreeSet<SocketAddr> {
        let live = self
            .table
            .vms()
            .filter(|(_, state, _)| matches!(state, VmState::Alive | VmState::Suspect));
        live.map(|(address, ..)| address).collect()
    }

    /// Returns the changes of facts about VMs so far.
    pub fn vm_changes(&self) -> u64 {
        self.table.vm_changes()
    }

    /// Returns the facts about documents.
    pub fn documents(&self) -> impl Iterator<Item = &Entry> {
        self.table.documents()
    }

    /// Returns a fact.
    pub fn fact(&self, key: &FactKey) -> Option<&Entry> {
        self.table.get(key)
    }

    /// Returns the digest of all facts.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Takes a fact that this VM observed and spreads it; returns whether it is news.
    ///
    /// A document that peers announced before is spread from now on, since it is in force here.
    pub fn publish(&mut self, fact: Fact, now_ms: u64) -> bool {
        let key = fact.key();
        let held = self.table.get(&key).is_some_and(|held| held.fact == fact);
        if held && matches!(fact, Fact::Document { .. }) {
            self.table.queue(&key);
            self.urgent.push(key);
            return false;
        }
        self.insert(fact, None, Spread::Queue, now_ms)
    }

    /// Publishes an observation of a leaf, so that it replaces the fact that is held.
    pub fn publish_leaf(
        &mut self,
        address: SocketAddr,
        state: LeafState,
        snapshots: Vec<Snapshot>,
        now_ms: u64,
    ) -> Fact {
        let held = self.table.get(&FactKey::Leaf(address));
        let sequence = match held.map(|entry| &entry.fact) {
            Some(Fact::Leaf { sequence, .. }) => sequence.saturating_add(1),
            _ => 1,
        };
        let fact = Fact::Leaf {
            address,
            sequence,
            observer: self.incarnation,
            state,
            snapshots,
        };
        self.insert(fact.clone(), None, Spread::Queue, now_ms);
        fact
    }

    /// Takes all facts of a peer and returns those that are news; they are not sent on, since the
    /// peer's neighbours have them.
    pub fn merge(&mut self, facts: Vec<Fact>, source: SocketAddr, now_ms: u64) -> Vec<Fact> {
        self.take(facts, source, Spread::Hold, now_ms)
    }

    fn take(
        &mut self,
        facts: Vec<Fact>,
        source: SocketAddr,
        spread: Spread,
        now_ms: u64,
    ) -> Vec<Fact> {
        let mut news = Vec::new();
        for fact in facts {
            if self.contradict(&fact, now_ms) {
                continue;
            }
            let spread = match fact {
                // Only a VM that holds a document announces it, so that its peers fetch it there.
                Fact::Document { .. } => Spread::Hold,
                _ => spread,
            };
            if self.insert(fact.clone(), Some(source), spread, now_ms) {
                news.push(fact);
            }
        }
        news
    }

    fn insert(
        &mut self,
        fact: Fact,
        source: Option<SocketAddr>,
        spread: Spread,
        now_ms: u64,
    ) -> bool {
        if !self.scope.admits(&fact) {
            return false;
        }
        let urgent = fact.is_urgent() && spread == Spread::Queue;
        let key = urgent.then(|| fact.key());
        if !self.table.insert(fact, source, spread, now_ms) {
            return false;
        }
        self.urgent.extend(key);
        true
    }

    /// Replaces the leaves that files list; facts about others are forgotten. Returns the facts
    /// about newly listed leaves that arrived before their file.
    pub fn set_leaves(&mut self, leaves: BTreeSet<SocketAddr>, now_ms: u64) -> Vec<Fact> {
        let arrived = self.scope.set_leaves(leaves);
        self.forget();
        let mut news = Vec::new();
        for fact in arrived {
            if self.insert(fact.clone(), None, Spread::Hold, now_ms) {
                news.push(fact);
            }
        }
        news
    }

    /// Returns whether a file lists the leaf; all leaves count as listed before the first file.
    pub fn lists_leaf(&self, address: SocketAddr) -> bool {
        self.scope.lists(address)
    }

    /// Sets the wall clock that ends quarantines, and forgets those that have ended.
    pub fn set_wall_clock(&mut self, now_unix_ms: u64) {
        self.scope.set_wall_clock(now_unix_ms);
        let mut ended = Vec::new();
        for (key, entry) in self.table.quarantines() {
            if !self.scope.contains(&entry.fact) {
                ended.push(key.clone());
            }
        }
        for key in ended {
            self.table.remove(&key);
        }
    }

    /// Forgets facts that are out of scope.
    fn forget(&mut self) {
        let mut forgotten = Vec::new();
        for (key, entry) in self.table.iter() {
            if !self.scope.contains(&entry.fact) {
                forgotten.push(key.clone());
            }
        }
        for key in forgotten {
            self.table.remove(&key);
        }
    }

    /// Returns the peers that answer probes, in no particular order.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        self.peers_where(|state| state <= VmState::Suspect)
    }

    fn peers_where(&self, keep: impl Fn(VmState) -> bool) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (address, state, _) in self.table.vms() {
            if address != self.address && keep(state) {
                addresses.push(address);
            }
        }
        addresses
    }

    /// Does what is due at `now_ms`; call it several times in each probe interval.
    pub fn tick(&mut self, now_ms: u64, rng: &mut impl Rng) -> Outgoing {
        let mut out = Vec::new();
        if now_ms.saturating_sub(self.last_tick_ms) > self.timing.probe_interval_ms {
            self.resume(now_ms);
        }
        self.last_tick_ms = now_ms;
        self.push_urgent(rng, &mut out);
        self.check_probe(now_ms, rng, &mut out);
        if now_ms < self.next_probe_ms {
            return out;
        }
        self.next_probe_ms = now_ms + self.timing.probe_interval_ms;
        self.urgent_room = URGENT_DATAGRAMS;
        self.expire_vms(now_ms);
        self.ticks += 1;
        self.start_probe(now_ms, rng, &mut out);
        if self.ticks.is_multiple_of(DEAD_PROBE_TICKS) {
            self.probe_dead(rng, &mut out);
        }
        out
    }

    fn push_urgent(&mut self, rng: &mut impl Rng, out: &mut Outgoing) {
        if self.urgent.is_empty() {
            return;
        }
        let keys = std::mem::take(&mut self.urgent);
        let entries = keys.iter().filter_map(|key| self.table.get(key));
        let parts = repair::split(entries);
        let peers = self.live_peers();
        for part in parts {
            for peer in peers.sample(rng, URGENT_FAN_OUT.min(self.urgent_room)) {
                let message = Datagram {
                    facts: part.clone(),
                    ..self.bare(Purpose::Push)
                };
                out.push((*peer, message));
            }
            self.urgent_room = self.urgent_room.saturating_sub(URGENT_FAN_OUT);
        }
    }

    fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Handles a received message: returns answers and the facts that were news.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: Datagram,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> (Outgoing, Vec<Fact>) {
        let mut out = Vec::new();
        if message.protocol_version != PROTOCOL_VERSION {
            return (out, Vec::new());
        }
        let spread = match message.purpose {
            Purpose::Repair => Spread::Hold,
            _ => Spread::Queue,
        };
        let news = self.take(message.facts, from, spread, now_ms);
        match message.purpose {
            Purpose::Probe { sequence } => {
                self.tell_state(from, message.incarnation);
                out.push((from, self.datagram(Purpose::Ack { sequence })));
                if message.digest != self.digest() {
                    self.offer_compare(from, now_ms, &mut out);
                }
            }
            Purpose::Ack { sequence } => self.acknowledge(sequence, &mut out),
            Purpose::Relay { sequence, target } => {
                self.relay(from, sequence, target, now_ms, &mut out);
            }
            Purpose::Push | Purpose::Repair => {}
            Purpose::Compare { buckets } => self.compare(from, &buckets, rng, &mut out),
            Purpose::Hashes { hashes, answer } => {
                self.answer_hashes(from, &hashes, answer, &mut out);
            }
        }
        self.push_urgent(rng, &mut out);
        (out, news)
    }

    fn bare(&self, purpose: Purpose) -> Datagram {
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            incarnation: self.incarnation,
            digest: self.digest(),
            purpose,
            facts: Vec::new(),
        }
    }

    /// Makes a datagram that carries the facts sent least often so far.
    fn datagram(&mut self, purpose: Purpose) -> Datagram {
        let limit = self.transmissions();
        let room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
        let facts = self.table.take_queued(room_bytes, limit);
        Datagram {
            facts,
            ..self.bare(purpose)
        }
    }

    /// Returns how often one fact is sent: enough to reach all VMs with high probability. Comparisons
    /// bring the rest.
    fn transmissions(&self) -> u32 {
        let vms = self.peers.len().max(1);
        vms.ilog2() + 3
    }
}
