//! Facts that VMs tell each other, and the order that decides which of two facts is newer.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::document::Version;
use crate::ids::{Incarnation, Snapshot};
use crate::quarantine::LeafCrash;

/// State of a VM as its peers see it, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[derive(Encode, Decode)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[derive(Encode, Decode)]
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

impl LeafState {
    /// Returns whether a leaf in this state takes new work.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::fact::LeafState;
    /// assert!(LeafState::Warming.takes_work());
    /// assert!(!LeafState::Draining.takes_work());
    /// ```
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Up | Self::Warming)
    }
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
    LeafCrash(u64, SocketAddr),
    /// Verdict by document and place among the verdicts kept on it.
    DiscardedVersion(Box<str>, u8),
    /// Profile of a VM by internal address.
    Profile(SocketAddr),
}

/// Something one VM knows and tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Fact {
    /// State of a VM.
    Vm {
        /// Internal address.
        address: SocketAddr,
        /// Number of processes that are known to have used the address before this one.
        generation: u32,
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
        /// Number of observations of the leaf, one above the fact that this one replaced.
        sequence: u64,
        /// Process that observed it.
        observer: Incarnation,
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
    LeafCrash(LeafCrash),
    /// A version of a document that did not take or keep effect.
    DiscardedVersion(DiscardedVersion),
    /// What callers and peers have to know of a VM.
    Profile {
        /// Internal address.
        address: SocketAddr,
        /// Process on that address.
        incarnation: Incarnation,
        /// What the process says of itself.
        profile: Profile,
    },
}

/// Where a VM serves callers, and how much it can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Profile {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Processor time that the VM has, in thousandths of a core.
    pub millicores: u32,
    /// Rate of the VM's link, in megabits per second.
    pub link_mbps: u32,
}

/// A rejected or superseded version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DiscardedVersion {
    /// Name of the document.
    pub name: Box<str>,
    /// Version that did not take or keep effect.
    pub version: Version,
    /// Version that superseded it; `None` if it was rejected.
    pub superseded_by: Option<Version>,
    /// Reason of a rejection, cut to [`MAX_REASON_BYTES`].
    pub reason: Box<str>,
}

/// Longest reason in a fact, so that several verdicts fit one datagram.
pub const MAX_REASON_BYTES: usize = 160;

/// Verdicts of each kind that are kept for one document. It bounds what the verdicts on a document
/// cost every node.
const DISCARDED_VERSIONS_PER_DOCUMENT: u64 = 4;

impl DiscardedVersion {
    fn slot(&self) -> u8 {
        let slot = self.version.revision % DISCARDED_VERSIONS_PER_DOCUMENT;
        let kind = if self.superseded_by.is_some() {
            DISCARDED_VERSIONS_PER_DOCUMENT
        } else {
            0
        };
        u8::try_from(kind + slot).unwrap_or(0)
    }
}

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Vm { address, .. } => FactKey::Vm(*address),
            Self::Document { name, .. } => FactKey::Document(name.clone()),
            Self::Leaf { address, .. } => FactKey::Leaf(*address),
            Self::Quarantine { fingerprint, .. } => FactKey::Quarantine(*fingerprint),
            Self::LeafCrash(crash) => FactKey::LeafCrash(crash.fingerprint, crash.leaf),
            Self::DiscardedVersion(verdict) => {
                FactKey::DiscardedVersion(verdict.name.clone(), verdict.slot())
            }
            Self::Profile { address, .. } => FactKey::Profile(*address),
        }
    }

    /// Returns the order among facts with one key; the greater one is newer.
    ///
    /// No wall clock takes part in the order of leaf facts: a VM whose clock is wrong would win or
    /// lose against all others.
    pub fn precedence(&self) -> [u64; 3] {
        match self {
            Self::Vm {
                generation,
                incarnation,
                refutation,
                state,
                ..
            } => [
                u64::from(*generation),
                incarnation.bits(),
                (u64::from(*refutation) << 8) | *state as u64,
            ],
            Self::Document { version, .. } => [version.epoch, version.revision, 0],
            Self::Leaf {
                sequence,
                observer,
                state,
                ..
            } => [*sequence, observer.bits(), *state as u64],
            Self::Quarantine { until_unix_ms, .. } => [*until_unix_ms, 0, 0],
            Self::LeafCrash(crash) => {
                let alone = u64::from(!crash.shared);
                [u64::from(crash.crashes), alone, crash.observed_unix_ms]
            }
            Self::DiscardedVersion(verdict) => {
                let by = verdict.superseded_by.unwrap_or_default();
                [verdict.version.epoch, verdict.version.revision, by.revision]
            }
            Self::Profile { incarnation, .. } => [incarnation.bits(), 0, 0],
        }
    }

    /// Returns whether the fact no longer matters to anyone.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        match self {
            Self::Quarantine { until_unix_ms, .. } => *until_unix_ms <= now_unix_ms,
            Self::LeafCrash(crash) => crash.is_expired(now_unix_ms),
            _ => false,
        }
    }

    /// Returns whether the fact is sent to several peers at once instead of on the next probe.
    pub fn is_urgent(&self) -> bool {
        match self {
            // A refuted suspicion has to overtake the declaration of death.
            Self::Vm {
                state, refutation, ..
            } => matches!(state, VmState::Leaving | VmState::Dead) || *refutation > 0,
            Self::Leaf { state, .. } => *state == LeafState::Draining,
            Self::Document { .. } | Self::Quarantine { .. } | Self::LeafCrash(_) => true,
            Self::DiscardedVersion(_) => false,
            Self::Profile { .. } => true,
        }
    }
}
