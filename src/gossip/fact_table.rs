//! Store of the facts of one VM, with a digest per bucket and the queue of facts to send.
//!
//! Each datagram carries the queued facts that were sent least often and fit in it, so that a burst
//! of changes does not increase the size of datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::fact::{Fact, FactKey, VmState};
use crate::gateway::Content;
use crate::gateway::evacuation::evacuations::MAX_DOMAINS;
use crate::wire::encode;

use super::MAX_DATAGRAM_BYTES;
use super::message::in_order_of_kinds;

/// Number of buckets whose digests two peers compare. At 5,200 facts one bucket contains about 40,
/// so the hashes of one bucket easily fit in one datagram.
pub const DIGEST_BUCKETS: usize = 128;

/// Maximum number of facts that are evidence on request contents and leaves; the oldest are dropped.
/// Bounds memory and traffic while many leaves crash or leave.
const MAX_EVIDENCE_FACTS: usize = 2_048;

/// Maximum number of facts about evacuations: those of the domains that VMs keep, and as many that have ended.
/// Bounds memory and traffic if keys of many domains are written.
const MAX_EVACUATION_FACTS: usize = 2 * MAX_DOMAINS;

/// Fact with the local metadata of its receipt and dissemination.
#[derive(Clone, Debug)]
pub struct StoredFact {
    /// The fact.
    pub fact: Fact,
    /// Time at which this VM received or published the fact, or restarted its suspicion.
    pub received_ms: u64,
    /// Peer that sent the fact; `None` if this VM produced or deferred it.
    pub source: Option<SocketAddr>,
    /// Hash of key and precedence.
    pub(super) hash: u32,
    /// Encoded size of the fact.
    pub(super) encoded_bytes: u16,
    bucket: u8,
    queue_position: Option<(u32, u64)>,
}

/// Whether a new fact is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Dissemination {
    /// Queued for the next datagrams.
    Enqueue,
    /// Only stored: other VMs have it already, or it is not in force on this VM yet.
    StoreOnly,
}

/// Facts by key, with bucket digests and the send queue.
#[derive(Debug)]
pub(super) struct FactTable {
    facts: BTreeMap<FactKey, StoredFact>,
    buckets: Box<[u32; DIGEST_BUCKETS]>,
    /// Facts to send, ordered by the number of transmissions so far and then newest first.
    queue: BTreeMap<(u32, u64), FactKey>,
    last_order: u64,
    vm_changes: u64,
}

impl FactTable {
    pub(super) fn new() -> Self {
        Self {
            facts: BTreeMap::new(),
            buckets: Box::new([0; DIGEST_BUCKETS]),
            queue: BTreeMap::new(),
            last_order: u64::MAX,
            vm_changes: 0,
        }
    }

    pub(super) fn get(&self, key: &FactKey) -> Option<&StoredFact> {
        self.facts.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        self.facts.iter()
    }

    /// Returns the facts about VMs; their keys sort first.
    pub(super) fn vms(&self) -> impl Iterator<Item = (SocketAddr, VmState, &StoredFact)> {
        self.facts.values().map_while(|entry| match entry.fact {
            Fact::Vm { address, state, .. } => Some((address, state, entry)),
            _ => None,
        })
    }

    /// Returns the facts about documents; their keys sort after those of VMs.
    pub(super) fn documents(&self) -> impl Iterator<Item = &StoredFact> {
        let after_vms = FactKey::Document(Box::default());
        self.facts
            .range(after_vms..)
            .map_while(|(key, entry)| matches!(key, FactKey::Document(_)).then_some(entry))
    }

    /// Returns the facts about quarantines and the evidence on contents; their keys sort after those
    /// of leaves.
    pub(super) fn expiring(&self) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        let expires = |entry: &StoredFact| {
            let fact = &entry.fact;
            matches!(fact, Fact::Quarantine { .. }) || fact.evidence_unix_ms().is_some()
        };
        let first = FactKey::Quarantine(0);
        let facts = self.facts.range(first..);
        facts.filter(move |(_, entry)| expires(entry))
    }

    /// Removes the oldest evidence if there is too much; returns its key.
    ///
    /// All nodes drop the same evidence, whatever the order in which they receive it.
    fn drop_oldest_evidence(&mut self) -> Option<FactKey> {
        let mut count = 0;
        let mut oldest: Option<(u64, &FactKey)> = None;
        for (key, entry) in self.expiring() {
            let Some(observed_unix_ms) = entry.fact.evidence_unix_ms() else {
                continue;
            };
            count += 1;
            let candidate = (observed_unix_ms, key);
            oldest = Some(oldest.map_or(candidate, |oldest| oldest.min(candidate)));
        }
        let (_, oldest) = oldest.filter(|_| count > MAX_EVIDENCE_FACTS)?;
        let oldest = oldest.clone();
        self.remove(&oldest);
        Some(oldest)
    }

    /// Returns the facts about evacuations; their keys sort last.
    pub(super) fn evacuations(&self) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        self.facts.range(FactKey::Evacuation(Box::default())..)
    }

    /// Removes the oldest ended evacuation if there are too many, or else the oldest one; returns its key.
    fn drop_oldest_evacuation(&mut self) -> Option<FactKey> {
        if self.evacuations().count() <= MAX_EVACUATION_FACTS {
            return None;
        }
        let oldest = self.evacuations().min_by_key(|(_, entry)| {
            let is_active =
                matches!(&entry.fact, Fact::Evacuation(evacuation) if evacuation.is_active);
            (is_active, entry.fact.precedence())
        });
        let oldest = oldest.map(|(key, _)| key.clone())?;
        self.remove(&oldest);
        Some(oldest)
    }

    /// Removes the oldest fact of the kind of an inserted one if there are too many; returns its key.
    fn drop_excess(&mut self, inserted: &FactKey) -> Option<FactKey> {
        let fact = &self.facts.get(inserted)?.fact;
        if matches!(fact, Fact::Evacuation(_)) {
            return self.drop_oldest_evacuation();
        }
        fact.evidence_unix_ms()?;
        self.drop_oldest_evidence()
    }

    /// Returns the number of changes to facts about VMs and their profiles so far.
    pub(super) fn vm_changes(&self) -> u64 {
        self.vm_changes
    }

    /// Restarts the suspicion time of all suspect VMs at `now_ms`.
    pub(super) fn restart_suspicions(&mut self, now_ms: u64) {
        for entry in self.facts.values_mut() {
            let Fact::Vm { state, .. } = entry.fact else {
                return;
            };
            if state == VmState::Suspect {
                entry.received_ms = now_ms;
            }
        }
    }

    pub(super) fn buckets(&self) -> &[u32; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the digest of all facts, computed from the bucket digests.
    pub(super) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest: u64, bucket| {
            digest.rotate_left(5).wrapping_add(u64::from(*bucket))
        })
    }

    pub(super) fn facts_in_bucket(&self, bucket: u8) -> impl Iterator<Item = &StoredFact> {
        self.facts
            .values()
            .filter(move |entry| entry.bucket == bucket)
    }

    /// Stores a fact if it is newer than the stored one; returns whether it was.
    pub(super) fn insert(
        &mut self,
        fact: Fact,
        source: Option<SocketAddr>,
        dissemination: Dissemination,
        now_ms: u64,
    ) -> bool {
        let key = fact.key();
        let precedence = fact.precedence();
        if let Some(stored) = self.facts.get(&key) {
            if stored.fact.precedence() >= precedence {
                return false;
            }
            self.remove(&key);
        }
        let (bucket, hash) = bucket_and_hash(&key, &precedence);
        self.buckets[usize::from(bucket)] ^= hash;
        self.vm_changes += u64::from(describes_vm(&key));
        let entry = StoredFact {
            encoded_bytes: encoded_bytes(&fact),
            fact,
            received_ms: now_ms,
            source,
            hash,
            bucket,
            queue_position: None,
        };
        self.facts.insert(key.clone(), entry);
        if self.drop_excess(&key).as_ref() == Some(&key) {
            return false;
        }
        if dissemination == Dissemination::Enqueue {
            self.enqueue(&key);
        }
        true
    }

    pub(super) fn remove(&mut self, key: &FactKey) -> Option<StoredFact> {
        let entry = self.facts.remove(key)?;
        self.buckets[usize::from(entry.bucket)] ^= entry.hash;
        self.vm_changes += u64::from(describes_vm(key));
        if let Some(position) = entry.queue_position {
            self.queue.remove(&position);
        }
        Some(entry)
    }

    /// Puts a fact at the head of the queue and resets its transmission count.
    pub(super) fn enqueue(&mut self, key: &FactKey) {
        self.requeue(key, 0);
    }

    fn requeue(&mut self, key: &FactKey, transmissions: u32) {
        let Some(entry) = self.facts.get_mut(key) else {
            return;
        };
        if let Some(position) = entry.queue_position.take() {
            self.queue.remove(&position);
        }
        self.last_order -= 1;
        let position = (transmissions, self.last_order);
        entry.queue_position = Some(position);
        self.queue.insert(position, key.clone());
    }

    /// Returns the least-sent queued facts that fit in `remaining_bytes`, and requeues those that
    /// were sent fewer than `limit` times.
    pub(super) fn take_queued(&mut self, mut remaining_bytes: usize, limit: u32) -> Vec<Fact> {
        let mut facts = Vec::new();
        let mut sent = Vec::new();
        for (position, key) in &self.queue {
            let Some(entry) = self.facts.get(key) else {
                continue;
            };
            let bytes = usize::from(entry.encoded_bytes);
            if bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= bytes;
            facts.push(entry.fact.clone());
            sent.push((key.clone(), position.0 + 1));
        }
        for (key, transmissions) in sent {
            if transmissions < limit {
                self.requeue(&key, transmissions);
                continue;
            }
            if let Some(entry) = self.facts.get_mut(&key)
                && let Some(position) = entry.queue_position.take()
            {
                self.queue.remove(&position);
            }
        }
        in_order_of_kinds(facts)
    }
}

/// Returns whether a key belongs to a fact about the state, the profile or the links of a VM.
fn describes_vm(key: &FactKey) -> bool {
    matches!(
        key,
        FactKey::Vm(_) | FactKey::Profile(_) | FactKey::LeafLinks(_)
    )
}

/// Returns the bucket of a key, and the hash of key and precedence.
fn bucket_and_hash(key: &FactKey, precedence: &[u64; 3]) -> (u8, u32) {
    let mut bytes = Vec::with_capacity(64);
    match key {
        FactKey::Vm(address) => push_address(&mut bytes, b'v', *address),
        FactKey::Leaf(address) => push_address(&mut bytes, b'l', *address),
        FactKey::Document(name) => {
            bytes.push(b'd');
            bytes.extend_from_slice(name.as_bytes());
        }
        FactKey::Quarantine(fingerprint) => {
            bytes.push(b'q');
            bytes.extend_from_slice(&fingerprint.to_le_bytes());
        }
        FactKey::LeafCrash(fingerprint, leaf) => {
            push_address(&mut bytes, b'x', *leaf);
            bytes.extend_from_slice(&fingerprint.to_le_bytes());
        }
        FactKey::DiscardedVersion(name, slot) => {
            bytes.extend_from_slice(&[b'r', *slot]);
            bytes.extend_from_slice(name.as_bytes());
        }
        FactKey::Profile(address) => push_address(&mut bytes, b'p', *address),
        FactKey::CrashedAttempt(content, request_hash) => {
            push_content(&mut bytes, b'a', content);
            bytes.extend_from_slice(&request_hash.to_le_bytes());
        }
        FactKey::ContentSuccess(content) => push_content(&mut bytes, b's', content),
        FactKey::LeafDeparture(process) => {
            bytes.push(b'e');
            bytes.extend_from_slice(&process.to_le_bytes());
        }
        FactKey::LeafLinks(address) => push_address(&mut bytes, b'k', *address),
        FactKey::Evacuation(domain) => {
            bytes.push(b'o');
            bytes.extend_from_slice(domain.as_bytes());
        }
    }
    let bucket = xxh3_64(&bytes) % DIGEST_BUCKETS as u64;
    for part in precedence {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    let hash = xxh3_64(&bytes) & u64::from(u32::MAX);
    (
        u8::try_from(bucket).unwrap_or(0),
        u32::try_from(hash).unwrap_or(0),
    )
}

fn push_address(bytes: &mut Vec<u8>, kind: u8, address: SocketAddr) {
    bytes.push(kind);
    match address.ip() {
        std::net::IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
    }
    bytes.extend_from_slice(&address.port().to_le_bytes());
}

fn push_content(bytes: &mut Vec<u8>, kind: u8, content: &Content) {
    push_address(bytes, kind, SocketAddr::new(content.caller, 0));
    bytes.extend_from_slice(&content.fingerprint.to_le_bytes());
}

fn encoded_bytes(fact: &Fact) -> u16 {
    let bytes = encode(fact).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
    u16::try_from(bytes).unwrap_or(u16::MAX)
}
