//! Facts held by one VM, with digests over buckets of them and the queue of facts to send.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::fact::{Fact, FactKey, VmState};
use crate::wire::encode;

use super::MAX_DATAGRAM_BYTES;

/// Buckets whose digests two peers compare. At 5,200 facts one bucket holds about 40, so the list
/// of one bucket's facts fits a datagram with room to spare.
pub const DIGEST_BUCKETS: usize = 128;

/// A fact with local bookkeeping.
#[derive(Clone, Debug)]
pub struct StoredFact {
    /// The fact.
    pub fact: Fact,
    /// Time at which this VM took the fact.
    pub received_ms: u64,
    /// Peer that sent the fact; `None` if this VM observed it.
    pub source: Option<SocketAddr>,
    /// Hash of key and rank.
    pub(super) hash: u32,
    /// Encoded size of the fact.
    pub(super) encoded_bytes: u16,
    bucket: u8,
    queued: Option<(u32, u64)>,
}

/// Whether a new fact is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Dissemination {
    /// Queued for the next datagrams.
    Enqueue,
    /// Only held: others have it, or it is not in force here yet.
    StoreOnly,
}

/// Facts by key.
#[derive(Debug)]
pub(super) struct FactTable {
    facts: BTreeMap<FactKey, StoredFact>,
    buckets: Box<[u32; DIGEST_BUCKETS]>,
    /// Facts to send by number of transmissions so far, the newest first.
    queue: BTreeMap<(u32, u64), FactKey>,
    next_order: u64,
    vm_changes: u64,
}

impl FactTable {
    pub(super) fn new() -> Self {
        Self {
            facts: BTreeMap::new(),
            buckets: Box::new([0; DIGEST_BUCKETS]),
            queue: BTreeMap::new(),
            next_order: u64::MAX,
            vm_changes: 0,
        }
    }

    pub(super) fn get(&self, key: &FactKey) -> Option<&StoredFact> {
        self.facts.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        self.facts.iter()
    }

    /// Returns the entries about VMs; their keys come first in the order of keys.
    pub(super) fn vms(&self) -> impl Iterator<Item = (SocketAddr, VmState, &StoredFact)> {
        self.facts.values().map_while(|entry| match entry.fact {
            Fact::Vm { address, state, .. } => Some((address, state, entry)),
            _ => None,
        })
    }

    /// Returns the entries about documents; their keys follow those of VMs.
    pub(super) fn documents(&self) -> impl Iterator<Item = &StoredFact> {
        let after_vms = FactKey::Document(Box::default());
        self.facts
            .range(after_vms..)
            .map_while(|(key, entry)| matches!(key, FactKey::Document(_)).then_some(entry))
    }

    /// Returns the entries about quarantines; their keys follow those of leaves.
    pub(super) fn quarantines(&self) -> impl Iterator<Item = (&FactKey, &StoredFact)> {
        let first = FactKey::Quarantine(0);
        self.facts
            .range(first..)
            .take_while(|(key, _)| matches!(key, FactKey::Quarantine(_)))
    }

    /// Returns the changes of facts about VMs so far.
    pub(super) fn vm_changes(&self) -> u64 {
        self.vm_changes
    }

    /// Lets all suspicions begin at `now_ms`.
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

    /// Returns the digest of all facts.
    pub(super) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all: u64, bucket| {
            all.rotate_left(5).wrapping_add(u64::from(*bucket))
        })
    }

    pub(super) fn in_bucket(&self, bucket: u8) -> impl Iterator<Item = &StoredFact> {
        self.facts
            .values()
            .filter(move |entry| entry.bucket == bucket)
    }

    /// Takes a fact if it is newer than the one held; returns whether it was.
    pub(super) fn insert(
        &mut self,
        fact: Fact,
        source: Option<SocketAddr>,
        dissemination: Dissemination,
        now_ms: u64,
    ) -> bool {
        let key = fact.key();
        let precedence = fact.precedence();
        if let Some(held) = self.facts.get(&key) {
            if held.fact.precedence() >= precedence {
                return false;
            }
            self.remove(&key);
        }
        let (bucket, hash) = bucket_and_hash(&key, &precedence);
        self.buckets[usize::from(bucket)] ^= hash;
        self.vm_changes += u64::from(matches!(key, FactKey::Vm(_)));
        let entry = StoredFact {
            encoded_bytes: encoded_bytes(&fact),
            fact,
            received_ms: now_ms,
            source,
            hash,
            bucket,
            queued: None,
        };
        self.facts.insert(key.clone(), entry);
        if dissemination == Dissemination::Enqueue {
            self.enqueue(&key);
        }
        true
    }

    pub(super) fn remove(&mut self, key: &FactKey) -> Option<StoredFact> {
        let entry = self.facts.remove(key)?;
        self.buckets[usize::from(entry.bucket)] ^= entry.hash;
        self.vm_changes += u64::from(matches!(key, FactKey::Vm(_)));
        if let Some(position) = entry.queued {
            self.queue.remove(&position);
        }
        Some(entry)
    }

    /// Puts a fact at the head of the queue, as if it had never been sent.
    pub(super) fn enqueue(&mut self, key: &FactKey) {
        self.requeue(key, 0);
    }

    fn requeue(&mut self, key: &FactKey, transmissions: u32) {
        let Some(entry) = self.facts.get_mut(key) else {
            return;
        };
        if let Some(position) = entry.queued.take() {
            self.queue.remove(&position);
        }
        self.next_order -= 1;
        let position = (transmissions, self.next_order);
        entry.queued = Some(position);
        self.queue.insert(position, key.clone());
    }

    /// Takes the queued facts sent least often that fit in `remaining_bytes`.
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
                && let Some(position) = entry.queued.take()
            {
                self.queue.remove(&position);
            }
        }
        facts
    }
}

/// Returns the bucket of a key, and the hash of key and rank.
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

fn encoded_bytes(fact: &Fact) -> u16 {
    let bytes = encode(fact).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
    u16::try_from(bytes).unwrap_or(u16::MAX)
}
