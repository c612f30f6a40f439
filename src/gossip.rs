//! Membership and dissemination of facts with the SWIM protocol, without I/O.
//!
//! The VMs that may serve a request, and the states of the leaves behind them, are taken from the
//! facts stored here. Probes detect crashed and partitioned VMs, and anti-entropy recovers facts
//! whose datagrams were lost. The caller passes in the time and the received datagrams, and sends
//! the datagrams that are returned.

mod anti_entropy;
mod evidence;
mod fact_filter;
mod fact_table;
mod message;
mod probe;
mod self_state;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fact::{Fact, FactKey, LeafState, VmState};
use crate::ids::{Incarnation, Snapshot};
use crate::wire::PROTOCOL_VERSION;

use evidence::announces_vm;
use fact_filter::FactFilter;
pub use fact_table::{DIGEST_BUCKETS, StoredFact};
use fact_table::{Dissemination, FactTable};
pub use message::{Datagram, DatagramError, GossipTiming, MessageKind, Outgoing};
use probe::{Probe, RelayedProbe};

/// Maximum size of an encoded datagram, so that it fits in one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of a datagram that are reserved for everything except facts.
const DATAGRAM_HEADER_BYTES: usize = 64;

/// Peers to which an urgent fact is pushed immediately.
const URGENT_FAN_OUT: usize = 4;

/// Maximum number of urgent datagrams that one node sends per probe interval. Limits the burst when
/// a failure domain is lost; the other facts are sent from the queue.
const MAX_URGENT_DATAGRAMS: usize = 40;

/// Probe intervals from one probe of a dead peer that is still listed to the next such probe.
const DEAD_PROBE_INTERVALS: u64 = 5;

/// Gossip state of one VM.
#[derive(Debug)]
pub struct Gossip {
    address: SocketAddr,
    incarnation: Incarnation,
    generation: u32,
    refutation: u32,
    own_state: VmState,
    timing: GossipTiming,
    peers: BTreeSet<SocketAddr>,
    fact_table: FactTable,
    fact_filter: FactFilter,
    urgent_keys: Vec<FactKey>,
    urgent_budget: usize,
    probe: Option<Probe>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    probe_queue: Vec<SocketAddr>,
    last_sequence: u64,
    next_probe_ms: u64,
    next_anti_entropy_ms: u64,
    probe_intervals: u64,
    last_tick_ms: u64,
    address_confirmed: bool,
    superseded: bool,
}

impl Gossip {
    /// Starts gossip for the process `incarnation` on `address`.
    pub fn new(
        address: SocketAddr,
        incarnation: Incarnation,
        timing: GossipTiming,
        now_ms: u64,
    ) -> Self {
        let mut gossip = Self {
            address,
            incarnation,
            generation: 0,
            refutation: 0,
            own_state: VmState::Alive,
            timing,
            peers: BTreeSet::new(),
            fact_table: FactTable::new(),
            fact_filter: FactFilter::default(),
            urgent_keys: Vec::new(),
            urgent_budget: MAX_URGENT_DATAGRAMS,
            probe: None,
            relayed_probes: BTreeMap::new(),
            probe_queue: Vec::new(),
            last_sequence: 1,
            next_probe_ms: now_ms,
            next_anti_entropy_ms: now_ms,
            probe_intervals: 0,
            last_tick_ms: now_ms,
            address_confirmed: false,
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

    /// Returns whether an address may be a peer: it is listed, or a fact about that VM is stored.
    /// Datagrams from unknown addresses are dropped, so an unlisted VM becomes known only through
    /// another peer.
    pub fn is_known_peer(&self, peer: SocketAddr) -> bool {
        self.peers.contains(&peer) || self.fact_table.get(&FactKey::Vm(peer)).is_some()
    }

    /// Returns the state of a VM, or `None` if no fact about it is stored.
    pub fn vm_state(&self, address: SocketAddr) -> Option<VmState> {
        match self.fact_table.get(&FactKey::Vm(address))?.fact {
            Fact::Vm { state, .. } => Some(state),
            _ => None,
        }
    }

    /// Returns whether a VM accepts work; a suspect VM still does.
    pub fn is_live(&self, address: SocketAddr) -> bool {
        matches!(
            self.vm_state(address),
            Some(VmState::Alive | VmState::Suspect)
        )
    }

    /// Returns all stored facts.
    pub fn facts(&self) -> impl Iterator<Item = &StoredFact> {
        self.fact_table.iter().map(|(_, entry)| entry)
    }

    /// Returns the VMs that accept work, including suspect ones.
    pub fn live_vms(&self) -> BTreeSet<SocketAddr> {
        let live = self
            .fact_table
            .vms()
            .filter(|(_, state, _)| matches!(state, VmState::Alive | VmState::Suspect));
        live.map(|(address, ..)| address).collect()
    }

    /// Returns the VMs that are stopping, and when this VM was informed of it.
    pub fn leaving_vms(&self) -> impl Iterator<Item = (SocketAddr, u64)> {
        let vms = self.fact_table.vms();
        vms.filter(|(_, state, _)| *state == VmState::Leaving)
            .map(|(address, _, entry)| (address, entry.received_ms))
    }

    /// Returns the number of changes to facts about VMs and their profiles so far.
    pub fn vm_changes(&self) -> u64 {
        self.fact_table.vm_changes()
    }

    /// Returns the facts about documents.
    pub fn documents(&self) -> impl Iterator<Item = &StoredFact> {
        self.fact_table.documents()
    }

    /// Returns the stored fact with a key.
    pub fn fact(&self, key: &FactKey) -> Option<&StoredFact> {
        self.fact_table.get(key)
    }

    /// Returns the digest of all stored facts.
    pub fn digest(&self) -> u64 {
        self.fact_table.digest()
    }

    /// Stores and disseminates a fact that this VM observed; returns whether it is newer than the
    /// stored one.
    ///
    /// A document that peers have announced before is disseminated from now on, since it is now in
    /// force on this VM.
    pub fn publish(&mut self, fact: Fact, now_ms: u64) -> bool {
        let key = fact.key();
        let is_stored = self
            .fact_table
            .get(&key)
            .is_some_and(|stored| stored.fact == fact);
        if is_stored && matches!(fact, Fact::Document { .. }) {
            self.fact_table.enqueue(&key);
            self.urgent_keys.push(key);
            return false;
        }
        self.insert(fact, None, Dissemination::Enqueue, now_ms)
    }

    /// Publishes an observation of a leaf with a sequence number that replaces the stored fact.
    pub fn publish_leaf(
        &mut self,
        address: SocketAddr,
        state: LeafState,
        snapshots: Vec<Snapshot>,
        now_ms: u64,
    ) -> Fact {
        let stored = self.fact_table.get(&FactKey::Leaf(address));
        let sequence = match stored.map(|entry| &entry.fact) {
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
        self.insert(fact.clone(), None, Dissemination::Enqueue, now_ms);
        fact
    }

    /// Merges all facts of a peer and returns the new ones. They are not forwarded, since gossip
    /// already disseminates them.
    pub fn merge(&mut self, facts: Vec<Fact>, source: SocketAddr, now_ms: u64) -> Vec<Fact> {
        self.apply_facts(facts, source, Dissemination::StoreOnly, now_ms)
    }

    fn apply_facts(
        &mut self,
        facts: Vec<Fact>,
        source: SocketAddr,
        dissemination: Dissemination,
        now_ms: u64,
    ) -> Vec<Fact> {
        let mut new_facts = Vec::new();
        for fact in facts {
            if self.handle_self_fact(&fact, now_ms) {
                continue;
            }
            let dissemination = match fact {
                // Only a VM that stores a document announces it, since peers fetch it from there.
                Fact::Document { .. } => Dissemination::StoreOnly,
                _ => dissemination,
            };
            if self.insert(fact.clone(), Some(source), dissemination, now_ms) {
                new_facts.push(fact);
            }
        }
        new_facts
    }

    fn insert(
        &mut self,
        fact: Fact,
        source: Option<SocketAddr>,
        dissemination: Dissemination,
        now_ms: u64,
    ) -> bool {
        if !self.fact_filter.accept_or_defer(&fact) {
            return false;
        }
        let is_urgent = fact.is_urgent() && dissemination == Dissemination::Enqueue;
        let key = is_urgent.then(|| fact.key());
        if !self.fact_table.insert(fact, source, dissemination, now_ms) {
            return false;
        }
        self.urgent_keys.extend(key);
        true
    }

    /// Replaces the leaves that configuration files list and removes facts about other leaves.
    /// Returns the facts about newly listed leaves that were received before their file.
    pub fn set_leaves(&mut self, leaves: BTreeSet<SocketAddr>, now_ms: u64) -> Vec<Fact> {
        let newly_listed = self.fact_filter.set_leaves(leaves);
        self.remove_rejected();
        let mut new_facts = Vec::new();
        for fact in newly_listed {
            if self.insert(fact.clone(), None, Dissemination::StoreOnly, now_ms) {
                new_facts.push(fact);
            }
        }
        new_facts
    }

    /// Returns whether a file lists the leaf; all leaves count as listed until the first file.
    pub fn is_leaf_listed(&self, address: SocketAddr) -> bool {
        self.fact_filter.is_leaf_listed(address)
    }

    /// Removes the facts that the filter no longer accepts.
    fn remove_rejected(&mut self) {
        let mut rejected = Vec::new();
        for (key, entry) in self.fact_table.iter() {
            if !self.fact_filter.accepts(&entry.fact) {
                rejected.push(key.clone());
            }
        }
        for key in rejected {
            self.fact_table.remove(&key);
        }
    }

    /// Returns the peers that are alive, leaving or suspect, in no particular order.
    pub fn non_dead_peers(&self) -> Vec<SocketAddr> {
        self.peers_in_state(|state| state <= VmState::Suspect)
    }

    fn peers_in_state(&self, predicate: impl Fn(VmState) -> bool) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (address, state, _) in self.fact_table.vms() {
            if address != self.address && predicate(state) {
                addresses.push(address);
            }
        }
        addresses
    }

    /// Runs the work that is due at `now_ms`. Must be called several times per probe interval.
    pub fn tick(&mut self, now_ms: u64, rng: &mut impl Rng) -> Outgoing {
        let mut out = Vec::new();
        if now_ms.saturating_sub(self.last_tick_ms) > self.timing.probe_interval_ms {
            self.reset_after_pause(now_ms);
        }
        self.last_tick_ms = now_ms;
        self.push_urgent(rng, &mut out);
        self.escalate_probe(now_ms, rng, &mut out);
        if now_ms < self.next_probe_ms {
            return out;
        }
        self.next_probe_ms = now_ms + self.timing.probe_interval_ms;
        self.urgent_budget = MAX_URGENT_DATAGRAMS;
        self.expire_vms(now_ms);
        self.probe_intervals += 1;
        self.start_probe(now_ms, rng, &mut out);
        if self.probe_intervals.is_multiple_of(DEAD_PROBE_INTERVALS) {
            self.probe_dead(rng, &mut out);
        }
        out
    }

    fn push_urgent(&mut self, rng: &mut impl Rng, out: &mut Outgoing) {
        if self.urgent_keys.is_empty() {
            return;
        }
        let keys = std::mem::take(&mut self.urgent_keys);
        let entries = keys.iter().filter_map(|key| self.fact_table.get(key));
        let chunks = anti_entropy::chunk_facts(entries);
        let peers = self.non_dead_peers();
        for chunk in chunks {
            for peer in peers.sample(rng, URGENT_FAN_OUT.min(self.urgent_budget)) {
                let message = Datagram {
                    facts: chunk.clone(),
                    ..self.datagram_without_facts(MessageKind::Push)
                };
                out.push((*peer, message));
            }
            self.urgent_budget = self.urgent_budget.saturating_sub(URGENT_FAN_OUT);
        }
    }

    fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Handles a received datagram; returns the replies and the facts that were new.
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
        let dissemination = match message.kind {
            MessageKind::MissingFacts => Dissemination::StoreOnly,
            _ => Dissemination::Enqueue,
        };
        let new_facts = self.apply_facts(message.facts, from, dissemination, now_ms);
        if announces_vm(&new_facts, from) {
            self.send_evidence(from, &mut out);
        }
        match message.kind {
            MessageKind::Probe { sequence } => {
                self.queue_state_of(from, message.incarnation);
                out.push((
                    from,
                    self.datagram_with_facts(MessageKind::Ack { sequence }),
                ));
                if message.digest != self.digest() {
                    self.start_anti_entropy(from, now_ms, &mut out);
                }
            }
            MessageKind::Ack { sequence } => self.handle_ack(sequence, &mut out),
            MessageKind::IndirectProbe { sequence, target } => {
                self.relay_probe(from, sequence, target, now_ms, &mut out);
            }
            MessageKind::Push | MessageKind::MissingFacts => {}
            MessageKind::BucketDigests { buckets } => {
                self.handle_digests(from, &buckets, rng, &mut out)
            }
            MessageKind::FactHashes {
                hashes,
                reply_wanted,
            } => {
                self.handle_hashes(from, &hashes, reply_wanted, &mut out);
            }
        }
        self.push_urgent(rng, &mut out);
        (out, new_facts)
    }

    fn datagram_without_facts(&self, kind: MessageKind) -> Datagram {
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            incarnation: self.incarnation,
            digest: self.digest(),
            kind,
            facts: Vec::new(),
        }
    }

    /// Builds a datagram with the queued facts that were sent least often so far.
    fn datagram_with_facts(&mut self, kind: MessageKind) -> Datagram {
        let limit = self.max_transmissions();
        let remaining_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
        let facts = self.fact_table.take_queued(remaining_bytes, limit);
        Datagram {
            facts,
            ..self.datagram_without_facts(kind)
        }
    }

    /// Returns how often one fact is sent: enough to reach all VMs with high probability.
    /// Anti-entropy delivers the facts that did not arrive.
    fn max_transmissions(&self) -> u32 {
        let vms = self.peers.len().max(1);
        vms.ilog2() + 3
    }
}
