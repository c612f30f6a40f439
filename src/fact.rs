//! Facts that VMs tell each other, and the order that decides which of two facts is newer.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::document::Version;
use crate::ids::{Incarnation, Snapshot};
use crate::quarantine::Loss;

/// State of a VM as its peers see it, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Answers probes and takes work.
    Alive,
    /// Is stopping: finishes its work and takes none.
    Leaving,
    /// Missed a probe.
    Suspect,
    /// Was suspected for the suspicion time.
    Dead,
}

/// State of a leaf as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LeafState {
    /// Serves.
    Up,
    /// Started recently and gets a growing share.
    Warming,
    /// Finishes its work and takes none.
    Draining,
    /// Can't be reached.
    Down,
}

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// VM by internal address.
    Vm(SocketAddr),
    /// Document by name.
    Document(Box<str>),
    /// Leaf by address.
    Leaf(SocketAddr),
    /// Request content by fingerprint.
    Quarantine(u64),
    /// Crashes of a leaf while it ran a content, by fingerprint and leaf.
    Loss(u64, SocketAddr),
}

/// Something one VM knows and tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Fact {
    /// State of a VM.
    Vm {
        /// Internal address.
        address: SocketAddr,
        /// Process on that address.
        incarnation: Incarnation,
        /// Number of times the process has contradicted a suspicion.
        refutation: u32,
        /// State.
        state: VmState,
    },
    /// A document that the origin holds.
    Document {
        /// Name of the document.
        name: Box<str>,
        /// Version in force at the origin.
        version: Version,
    },
    /// State of a leaf.
    Leaf {
        /// Address of the leaf.
        address: SocketAddr,
        /// Wall-clock time of the observation.
        observed_unix_ms: u64,
        /// State.
        state: LeafState,
        /// Snapshots that the leaf holds, newest first.
        snapshots: Vec<Snapshot>,
    },
    /// Content that crashed targets.
    Quarantine {
        /// Fingerprint of service and payload.
        fingerprint: u64,
        /// Time until which the content is refused.
        until_unix_ms: u64,
    },
    /// Crashes of a leaf while it ran a content.
    Loss(Loss),
}

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Vm { address, .. } => FactKey::Vm(*address),
            Self::Document { name, .. } => FactKey::Document(name.clone()),
            Self::Leaf { address, .. } => FactKey::Leaf(*address),
            Self::Quarantine { fingerprint, .. } => FactKey::Quarantine(*fingerprint),
            Self::Loss(loss) => FactKey::Loss(loss.fingerprint, loss.leaf),
        }
    }

    /// Returns the order among facts with one key; the greater one is newer.
    pub fn rank(&self) -> [u64; 3] {
        match self {
            Self::Vm {
                incarnation,
                refutation,
                state,
                ..
            } => {
                let started = incarnation.start_unix_ms();
                let identity = xxh3_64(incarnation.to_string().as_bytes());
                [
                    started,
                    identity,
                    (u64::from(*refutation) << 8) | *state as u64,
                ]
            }
            Self::Document { version, .. } => [version.epoch, version.revision, 0],
            Self::Leaf {
                observed_unix_ms,
                state,
                ..
            } => [*observed_unix_ms, *state as u64, 0],
            Self::Quarantine { until_unix_ms, .. } => [*until_unix_ms, 0, 0],
            Self::Loss(loss) => {
                let alone = u64::from(!loss.shared);
                [u64::from(loss.losses), alone, loss.observed_unix_ms]
            }
        }
    }

    /// Returns whether the fact no longer matters to anyone.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        match self {
            Self::Quarantine { until_unix_ms, .. } => *until_unix_ms <= now_unix_ms,
            Self::Loss(loss) => loss.is_expired(now_unix_ms),
            _ => false,
        }
    }

    /// Returns whether the fact is sent to several peers at once instead of on the next probe.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Vm { state, .. } => *state == VmState::Leaving,
            Self::Leaf { state, .. } => *state == LeafState::Draining,
            Self::Document { .. } | Self::Quarantine { .. } | Self::Loss(_) => true,
        }
    }
}
