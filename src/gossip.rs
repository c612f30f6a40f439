//! Membership and fact spreading in the manner of SWIM: state and clock in, datagrams out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::fact::{Fact, FactKey, VmState};
use crate::ids::Incarnation;
use crate::wire::{PROTOCOL_VERSION, encode};

/// Largest encoded datagram, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of a datagram kept free of facts.
const HEADER_BYTES: usize = 64;

/// Buckets whose digests two peers compare.
const BUCKETS: usize = 32;

/// Datagrams of facts sent in one repair.
const REPAIR_DATAGRAMS: usize = 4;

/// Peers that get an urgent fact at once.
const URGENT_FAN_OUT: usize = 4;

/// Peers asked to probe on our behalf.
const RELAYS: usize = 3;

/// One tick in this many also probes a dead peer that is still listed.
const DEAD_PROBE_TICKS: u64 = 5;

/// Time constants of gossip.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Time without an acknowledgement before others are asked to probe.
    pub ack_timeout_ms: u64,
    /// Time that a suspicion stands before the VM is declared dead.
    pub suspicion_ms: u64,
    /// Time that facts about dead VMs are kept.
    pub forget_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            ack_timeout_ms: 200,
            suspicion_ms: 1_500,
            forget_ms: 600_000,
        }
    }
}

/// What a datagram asks for.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Purpose {
    /// Asks for an acknowledgement.
    Probe {
        /// Number of the probe at its sender.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        sequence: u64,
    },
    /// Asks the receiver to probe a VM on the sender's behalf.
    Relay {
        /// Number of the probe at the sender.
        sequence: u64,
        /// VM to probe.
        target: SocketAddr,
    },
    /// Only carries facts.
    Push,
    /// Offers digests for comparison.
    Compare {
        /// Digest of each bucket.
        buckets: Box<[u64; BUCKETS]>,
    },
    /// Asks for the facts of some buckets.
    Pull {
        /// Bit set of buckets.
        buckets: u32,
    },
}

/// One gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Datagram {
    /// Version of the internal protocol.
    pub protocol_version: u16,
    /// Process that sent the message.
    pub incarnation: Incarnation,
    /// Digest of all facts of the sender.
    pub digest: u64,
    /// What the message asks for.
    pub purpose: Purpose,
    /// Facts carried along.
    pub facts: Vec<Fact>,
}

/// Messages to send, with their receivers.
pub type Outgoing = Vec<(SocketAddr, Datagram)>;

/// A fact with local bookkeeping.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The fact.
    pub fact: Fact,
    /// Time at which this VM took the fact.
    pub received_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: u64,
    target: SocketAddr,
    sent_ms: u64,
    relayed: bool,
}

#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    origin: SocketAddr,
    origin_sequence: u64,
    sent_ms: u64,
}

/// State of gossip on one VM.
#[derive(Debug)]
pub struct Gossip {
    address: SocketAddr,
    incarnation: Incarnation,
    refutation: u32,
    own_state: VmState,
    timing: Timing,
    peers: BTreeSet<SocketAddr>,
    facts: BTreeMap<FactKey, Entry>,
    buckets: Box<[u64; BUCKETS]>,
    queue: VecDeque<(FactKey, u32)>,
    urgent: Vec<FactKey>,
    probe: Option<Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    round: Vec<SocketAddr>,
    next_sequence: u64,
    next_probe_ms: u64,
    ticks: u64,
    superseded: bool,
}

impl Gossip {
    /// Starts gossip for the process `incarnation` on `address`.
    pub fn new(address: SocketAddr, incarnation: Incarnation, timing: Timing, now_ms: u64) -> Self {
        let mut gossip = Self {
            address,
            incarnation,
            refutation: 0,
            own_state: VmState::Alive,
            timing,
            peers: BTreeSet::new(),
            facts: BTreeMap::new(),
            buckets: Box::new([0; BUCKETS]),
            queue: VecDeque::new(),
            urgent: Vec::new(),
            probe: None,
            relayed: BTreeMap::new(),
            round: Vec::new(),
            next_sequence: 1,
            next_probe_ms: now_ms,
            ticks: 0,
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
        self.peers.contains(&peer) || self.facts.contains_key(&FactKey::Vm(peer))
    }

    /// Returns the state of a VM, if anything is known of it.
    pub fn vm_state(&self, address: SocketAddr) -> Option<VmState> {
        match self.facts.get(&FactKey::Vm(address))?.fact {
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

    /// Returns whether another process has taken this VM's address.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns all facts.
    pub fn facts(&self) -> impl Iterator<Item = &Entry> {
        self.facts.values()
    }

    /// Returns a fact.
    pub fn fact(&self, key: &FactKey) -> Option<&Entry> {
        self.facts.get(key)
    }

    /// Returns the digest of all facts.
    pub fn digest(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |all, bucket| all.rotate_left(1) ^ bucket)
    }

    /// Announces that this VM is stopping.
    pub fn leave(&mut self, now_ms: u64) {
        self.own_state = VmState::Leaving;
        self.announce_self(now_ms);
    }

    fn announce_self(&mut self, now_ms: u64) {
        let fact = Fact::Vm {
            address: self.address,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.own_state,
        };
        self.insert(fact, now_ms);
    }

    /// Takes a fact that this VM observed; returns whether it is news.
    pub fn publish(&mut self, fact: Fact, now_ms: u64) -> bool {
        self.insert(fact, now_ms)
    }

    /// Takes facts from a peer and returns those that are news.
    pub fn merge(&mut self, facts: Vec<Fact>, now_ms: u64) -> Vec<Fact> {
        let mut news = Vec::new();
        for fact in facts {
            if self.contradict(&fact, now_ms) {
                continue;
            }
            if self.insert(fact.clone(), now_ms) {
                news.push(fact);
            }
        }
        news
    }

    /// Handles a fact about this VM itself; a false suspicion is refuted.
    fn contradict(&mut self, fact: &Fact, now_ms: u64) -> bool {
        let Fact::Vm {
            address,
            incarnation,
            refutation,
            state,
        } = fact
        else {
            return false;
        };
        if *address != self.address {
            return false;
        }
        if *incarnation > self.incarnation {
            self.superseded = true;
        }
        if *incarnation != self.incarnation || *state == self.own_state {
            return true;
        }
        if *refutation >= self.refutation {
            self.refutation = refutation + 1;
            self.announce_self(now_ms);
        }
        true
    }

    fn insert(&mut self, fact: Fact, now_ms: u64) -> bool {
        let key = fact.key();
        if let Some(entry) = self.facts.get(&key) {
            if entry.fact.rank() >= fact.rank() {
                return false;
            }
            self.toggle(&key, &entry.fact.rank());
        }
        self.toggle(&key, &fact.rank());
        self.queue.retain(|(queued, _)| *queued != key);
        self.queue.push_front((key.clone(), 0));
        if fact.is_urgent() {
            self.urgent.push(key.clone());
        }
        self.facts.insert(
            key,
            Entry {
                fact,
                received_ms: now_ms,
            },
        );
        true
    }

    /// Forgets facts that no longer matter.
    pub fn forget_expired(&mut self, now_unix_ms: u64) {
        let expired = self
            .facts
            .values()
            .filter(|e| e.fact.is_expired(now_unix_ms));
        let keys: Vec<FactKey> = expired.map(|entry| entry.fact.key()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &FactKey) {
        if let Some(entry) = self.facts.remove(key) {
            self.toggle(key, &entry.fact.rank());
        }
    }

    /// Adds a fact to its bucket's digest, or takes it out again.
    fn toggle(&mut self, key: &FactKey, rank: &[u64; 3]) {
        let bucket = bucket_of(key);
        self.buckets[bucket] ^= fact_hash(key, rank);
    }

    /// Returns the peers that answer probes, in no particular order.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        self.peers_where(|state| state <= VmState::Suspect)
    }

    fn peers_where(&self, keep: impl Fn(VmState) -> bool) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for entry in self.facts.values() {
            let Fact::Vm { address, state, .. } = entry.fact else {
                continue;
            };
            if address != self.address && keep(state) {
                addresses.push(address);
            }
        }
        addresses
    }

    /// Does what is due at `now_ms`; call it several times in each probe interval.
    pub fn tick(&mut self, now_ms: u64, rng: &mut impl Rng) -> Outgoing {
        let mut out = Vec::new();
        self.push_urgent(rng, &mut out);
        self.check_probe(now_ms, rng, &mut out);
        self.expire(now_ms);
        if now_ms < self.next_probe_ms {
            return out;
        }
        self.next_probe_ms = now_ms + self.timing.probe_interval_ms;
        self.ticks += 1;
        if let Some(target) = self.next_target(rng) {
            let sequence = self.sequence();
            self.probe = Some(Probe {
                sequence,
                target,
                sent_ms: now_ms,
                relayed: false,
            });
            out.push((target, self.datagram(Purpose::Probe { sequence })));
        }
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
        let facts: Vec<Fact> = keys
            .iter()
            .filter_map(|key| self.facts.get(key))
            .map(|e| e.fact.clone())
            .collect();
        let peers = self.live_peers();
        for part in split_facts(facts) {
            for peer in peers.sample(rng, URGENT_FAN_OUT) {
                let mut message = self.bare(Purpose::Push);
                message.facts.clone_from(&part);
                out.push((*peer, message));
            }
        }
    }

    /// Escalates the open probe: through relays after the ack timeout, then to a suspicion.
    fn check_probe(&mut self, now_ms: u64, rng: &mut impl Rng, out: &mut Outgoing) {
        let Some(mut probe) = self.probe else {
            return;
        };
        let waited_ms = now_ms.saturating_sub(probe.sent_ms);
        if waited_ms >= self.timing.probe_interval_ms {
            self.probe = None;
            self.suspect(probe.target, now_ms);
            return;
        }
        if waited_ms < self.timing.ack_timeout_ms || probe.relayed {
            return;
        }
        probe.relayed = true;
        self.probe = Some(probe);
        let mut peers = self.live_peers();
        peers.retain(|peer| *peer != probe.target);
        for relay in peers.sample(rng, RELAYS) {
            let purpose = Purpose::Relay {
                sequence: probe.sequence,
                target: probe.target,
            };
            out.push((*relay, self.datagram(purpose)));
        }
    }

    fn suspect(&mut self, target: SocketAddr, now_ms: u64) {
        self.escalate(target, VmState::Suspect, now_ms);
    }

    /// Raises the state of a VM's current incarnation.
    fn escalate(&mut self, target: SocketAddr, to: VmState, now_ms: u64) {
        let Some(entry) = self.facts.get(&FactKey::Vm(target)) else {
            return;
        };
        let Fact::Vm {
            address,
            incarnation,
            refutation,
            state,
        } = entry.fact
        else {
            return;
        };
        if state < to {
            self.insert(
                Fact::Vm {
                    address,
                    incarnation,
                    refutation,
                    state: to,
                },
                now_ms,
            );
        }
    }

    /// Declares long suspects dead and forgets old facts.
    fn expire(&mut self, now_ms: u64) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (key, entry) in &self.facts {
            let Fact::Vm { address, state, .. } = entry.fact else {
                continue;
            };
            let age_ms = now_ms.saturating_sub(entry.received_ms);
            if state == VmState::Suspect && age_ms >= self.timing.suspicion_ms {
                dead.push(address);
            }
            let listed = self.peers.contains(&address);
            if state == VmState::Dead && !listed && age_ms >= self.timing.forget_ms {
                forgotten.push(key.clone());
            }
        }
        for address in dead {
            self.escalate(address, VmState::Dead, now_ms);
        }
        for key in forgotten {
            self.remove(&key);
        }
    }

    /// Returns the next VM of a shuffled round over all that are not dead.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.round.is_empty() {
            self.round = self.peers_where(|state| state != VmState::Dead);
            for peer in &self.peers {
                if !self.facts.contains_key(&FactKey::Vm(*peer)) {
                    self.round.push(*peer);
                }
            }
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    fn probe_dead(&mut self, rng: &mut impl Rng, out: &mut Outgoing) {
        let mut dead = self.peers_where(|state| state == VmState::Dead);
        dead.retain(|peer| self.peers.contains(peer));
        if let Some(target) = dead.choose(rng).copied() {
            let sequence = self.sequence();
            out.push((target, self.datagram(Purpose::Probe { sequence })));
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
        let news = self.merge(message.facts, now_ms);
        let differs = message.digest != self.digest();
        match message.purpose {
            Purpose::Probe { sequence } => {
                self.tell_state(from, message.incarnation);
                out.push((from, self.datagram(Purpose::Ack { sequence })));
                if differs {
                    out.push((
                        from,
                        self.bare(Purpose::Compare {
                            buckets: self.buckets.clone(),
                        }),
                    ));
                }
            }
            Purpose::Ack { sequence } => self.acknowledge(sequence, &mut out),
            Purpose::Relay { sequence, target } => {
                let own = self.sequence();
                let relayed = RelayedProbe {
                    origin: from,
                    origin_sequence: sequence,
                    sent_ms: now_ms,
                };
                self.relayed
                    .retain(|_, probe| now_ms < probe.sent_ms + 10_000);
                self.relayed.insert(own, relayed);
                out.push((target, self.datagram(Purpose::Probe { sequence: own })));
            }
            Purpose::Push => {}
            Purpose::Compare { buckets } => self.compare(from, &buckets, rng, &mut out),
            Purpose::Pull { buckets } => self.send_buckets(from, buckets, rng, &mut out),
        }
        self.push_urgent(rng, &mut out);
        (out, news)
    }

    /// Queues what is held against a peer that is thought dead or suspect, so that it can refute.
    fn tell_state(&mut self, peer: SocketAddr, incarnation: Incarnation) {
        let key = FactKey::Vm(peer);
        let Some(entry) = self.facts.get(&key) else {
            return;
        };
        let Fact::Vm {
            incarnation: known,
            state,
            ..
        } = entry.fact
        else {
            return;
        };
        if known == incarnation && state >= VmState::Suspect {
            self.queue.retain(|(queued, _)| *queued != key);
            self.queue.push_front((key, 0));
        }
    }

    fn acknowledge(&mut self, sequence: u64, out: &mut Outgoing) {
        if self.probe.is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
        if let Some(relayed) = self.relayed.remove(&sequence) {
            let purpose = Purpose::Ack {
                sequence: relayed.origin_sequence,
            };
            out.push((relayed.origin, self.datagram(purpose)));
        }
    }

    /// Sends the facts of buckets that differ, and asks for the peer's.
    fn compare(
        &self,
        from: SocketAddr,
        theirs: &[u64; BUCKETS],
        rng: &mut impl Rng,
        out: &mut Outgoing,
    ) {
        let mut differing = 0_u32;
        for (index, bucket) in theirs.iter().enumerate() {
            if *bucket != self.buckets[index] {
                differing |= 1 << index;
            }
        }
        if differing == 0 {
            return;
        }
        self.send_buckets(from, differing, rng, out);
        out.push((from, self.bare(Purpose::Pull { buckets: differing })));
    }

    fn send_buckets(&self, to: SocketAddr, wanted: u32, rng: &mut impl Rng, out: &mut Outgoing) {
        let mut facts = Vec::new();
        for (key, entry) in &self.facts {
            if wanted & (1 << bucket_of(key)) != 0 {
                facts.push(entry.fact.clone());
            }
        }
        let mut parts = split_facts(facts);
        let start = rng.random_range(0..parts.len().max(1));
        parts.rotate_left(start);
        for part in parts.into_iter().take(REPAIR_DATAGRAMS) {
            let mut message = self.bare(Purpose::Push);
            message.facts = part;
            out.push((to, message));
        }
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
        let mut message = self.bare(purpose);
        let limit = self.transmissions();
        let mut room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
        let mut sent = Vec::new();
        for _ in 0..self.queue.len() {
            let Some((key, count)) = self.queue.pop_front() else {
                break;
            };
            let Some(entry) = self.facts.get(&key) else {
                continue;
            };
            let bytes = encoded_bytes(&entry.fact);
            if bytes > room_bytes {
                self.queue.push_front((key, count));
                break;
            }
            room_bytes -= bytes;
            message.facts.push(entry.fact.clone());
            if count + 1 < limit {
                sent.push((key, count + 1));
            }
        }
        self.queue.extend(sent);
        message
    }

    /// Returns how often one fact is sent: enough to reach all VMs with high probability.
    fn transmissions(&self) -> u32 {
        let vms = self.peers.len().max(1);
        3 * (vms.ilog2() + 1)
    }
}

fn bucket_of(key: &FactKey) -> usize {
    (fact_hash(key, &[0; 3]) % BUCKETS as u64) as usize
}

fn fact_hash(key: &FactKey, rank: &[u64; 3]) -> u64 {
    let mut bytes = Vec::with_capacity(64);
    match key {
        FactKey::Vm(address) => bytes.extend_from_slice(format!("v{address}").as_bytes()),
        FactKey::Document(name) => bytes.extend_from_slice(format!("d{name}").as_bytes()),
        FactKey::Leaf(address) => bytes.extend_from_slice(format!("l{address}").as_bytes()),
        FactKey::Quarantine(hash) => bytes.extend_from_slice(format!("q{hash}").as_bytes()),
        FactKey::Loss(hash, leaf) => bytes.extend_from_slice(format!("x{hash}/{leaf}").as_bytes()),
    }
    for part in rank {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes)
}

fn encoded_bytes(fact: &Fact) -> usize {
    encode(fact).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Splits facts into parts that fit a datagram each.
fn split_facts(facts: Vec<Fact>) -> Vec<Vec<Fact>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
    for fact in facts {
        let bytes = encoded_bytes(&fact);
        if bytes > room_bytes && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
        }
        room_bytes = room_bytes.saturating_sub(bytes);
        part.push(fact);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
