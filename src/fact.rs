//! Facts that VMs replicate through gossip, and the precedence that decides which is newer.
//!
//! Requests are routed and admitted by these facts: states of VMs and leaves, document versions and
//! quarantined contents. Facts arrive late, repeatedly and out of order; the precedence among facts
//! with the same key lets all VMs converge on the same one.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::document::Version;
use crate::gateway::{Content, ContentSuccess, CrashedAttempt, Evacuation};
use crate::ids::{Incarnation, Snapshot};
use crate::quarantine::LeafCrash;

/// State of a VM as its peers see it, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Answers probes and accepts new work.
    Alive,
    /// Is stopping: finishes its work and accepts no more.
    Leaving,
    /// Did not acknowledge a probe.
    Suspect,
    /// Did not refute a suspicion within the suspicion time.
    Dead,
}

/// State of a leaf as its owner observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum LeafState {
    /// Serves calls.
    Up,
    /// Started recently and receives a growing share of the calls.
    Warming,
    /// Finishes its work and accepts no more.
    Draining,
    /// Can't be reached.
    Down,
}

impl LeafState {
    /// Returns whether a leaf in this state accepts new work.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::fact::LeafState;
    /// assert!(LeafState::Warming.accepts_work());
    /// assert!(!LeafState::Draining.accepts_work());
    /// ```
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Up | Self::Warming)
    }
}

/// Identity of the subject of a fact.
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
    /// Crashes of a leaf while it ran a request content, by fingerprint and leaf address.
    LeafCrash(u64, SocketAddr),
    /// Discarded version by document name and slot.
    DiscardedVersion(Box<str>, u8),
    /// Profile of a VM by internal address.
    Profile(SocketAddr),
    /// Attempt under which leaves crashed, by content and hash of the request ID.
    CrashedAttempt(Content, u64),
    /// Success of a content.
    ContentSuccess(Content),
    /// Announced end of a leaf, by the hash of its process.
    LeafDeparture(u64),
    /// Links of a VM to the leaves, by the VM's internal address.
    LeafLinks(SocketAddr),
    /// Evacuation of a failure domain, by its name.
    Evacuation(Box<str>),
}

/// Piece of state that one VM publishes and all VMs replicate.
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
        /// Number of suspicions that the process has refuted.
        refutation: u32,
        /// State.
        state: VmState,
    },
    /// Document that the publishing VM stores.
    Document {
        /// Name of the document.
        name: Box<str>,
        /// Version in force on the publishing VM.
        version: Version,
    },
    /// State of a leaf.
    Leaf {
        /// Address of the leaf.
        address: SocketAddr,
        /// Sequence number of the observation, one above that of the fact that it replaced.
        sequence: u64,
        /// Process that observed the leaf.
        observer: Incarnation,
        /// State.
        state: LeafState,
        /// Snapshots that the leaf has loaded, newest first.
        snapshots: Vec<Snapshot>,
    },
    /// Request content that crashed targets.
    Quarantine {
        /// Fingerprint of service and payload.
        fingerprint: u64,
        /// Wall-clock time until which the content is refused.
        until_unix_ms: u64,
    },
    /// Crashes of a leaf while it ran a request content.
    LeafCrash(LeafCrash),
    /// Rejected or superseded version of a document.
    DiscardedVersion(DiscardedVersion),
    /// Caller address, failure domain and capacity of a VM.
    Profile {
        /// Internal address.
        address: SocketAddr,
        /// Process on that address.
        incarnation: Incarnation,
        /// Profile that the process published.
        profile: Profile,
    },
    /// Attempt of a caller of the gateway under which leaves crashed.
    CrashedAttempt(CrashedAttempt),
    /// Success of a content that had crashed attempts.
    ContentSuccess(ContentSuccess),
    /// Announced end of a leaf of the gateway.
    LeafDeparture(LeafDeparture),
    /// Links of a VM of the gateway to the leaves.
    LeafLinks {
        /// Internal address.
        address: SocketAddr,
        /// Process on that address.
        incarnation: Incarnation,
        /// Number of changes that the process has published before.
        sequence: u64,
        /// State of the links.
        links: LeafLinks,
    },
    /// Evacuation of a failure domain.
    Evacuation(Evacuation),
}

/// Whether a VM reaches the leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum LeafLinks {
    /// It does, as far as is known.
    #[default]
    Connected,
    /// It reaches them again since a moment and uses them for a growing share of its requests.
    Recovering,
    /// It reaches none.
    Lost,
}

/// A leaf that has said in an answer that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafDeparture {
    /// Hash of the leaf's process.
    pub process: u64,
    /// Wall-clock time of the answer.
    pub observed_unix_ms: u64,
}

impl LeafDeparture {
    /// Returns whether the leaf left so long ago that its record is gone everywhere.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.observed_unix_ms.saturating_add(DEPARTURE_RETENTION_MS) <= now_unix_ms
    }
}

/// Time for which departures of leaves are remembered. A leaf may serve on for minutes after its
/// announcement, and its record outlives it while the platform's store is down. It exceeds the
/// errors of the wall clocks of VMs by far, so that a VM whose clock is an hour off neither
/// ignores departures nor is ignored.
pub const DEPARTURE_RETENTION_MS: u64 = 3 * 3_600_000;

/// Caller address, failure domain and capacity of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Profile {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// CPU capacity of the VM, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the VM's network link, in megabits per second.
    pub link_mbps: u32,
}

/// A rejected or superseded version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DiscardedVersion {
    /// Name of the document.
    pub name: Box<str>,
    /// Version that was rejected or superseded.
    pub version: Version,
    /// Version that superseded it; `None` if it was rejected.
    pub superseded_by: Option<Version>,
    /// Reason for a rejection, truncated to [`MAX_REASON_BYTES`].
    pub reason: Box<str>,
}

/// Maximum length of a rejection reason, so that several discarded versions fit in one datagram.
pub const MAX_REASON_BYTES: usize = 160;

/// Versions kept per document and kind (rejected or superseded). Limits the memory and the gossip
/// traffic that the discarded versions of one document cause on every node.
const DISCARDED_VERSIONS_PER_DOCUMENT: u64 = 4;

impl DiscardedVersion {
    /// Returns the slot of the version among those of its document. Versions of one kind whose
    /// revisions are equal modulo `DISCARDED_VERSIONS_PER_DOCUMENT` share a slot, and only the
    /// newest of them is kept.
    fn slot(&self) -> u8 {
        let index = self.version.revision % DISCARDED_VERSIONS_PER_DOCUMENT;
        let offset = if self.superseded_by.is_some() {
            DISCARDED_VERSIONS_PER_DOCUMENT
        } else {
            0
        };
        u8::try_from(offset + index).unwrap_or(0)
    }
}

impl Fact {
    /// Returns the key that identifies the subject of the fact.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Vm { address, .. } => FactKey::Vm(*address),
            Self::Document { name, .. } => FactKey::Document(name.clone()),
            Self::Leaf { address, .. } => FactKey::Leaf(*address),
            Self::Quarantine { fingerprint, .. } => FactKey::Quarantine(*fingerprint),
            Self::LeafCrash(crash) => FactKey::LeafCrash(crash.fingerprint, crash.leaf),
            Self::DiscardedVersion(discarded) => {
                FactKey::DiscardedVersion(discarded.name.clone(), discarded.slot())
            }
            Self::Profile { address, .. } => FactKey::Profile(*address),
            Self::CrashedAttempt(crashed) => {
                FactKey::CrashedAttempt(crashed.content, crashed.request_hash)
            }
            Self::ContentSuccess(success) => FactKey::ContentSuccess(success.content),
            Self::LeafDeparture(departure) => FactKey::LeafDeparture(departure.process),
            Self::LeafLinks { address, .. } => FactKey::LeafLinks(*address),
            Self::Evacuation(evacuation) => FactKey::Evacuation(evacuation.domain.clone()),
        }
    }

    /// Returns the precedence among facts with the same key; the greater one is newer.
    ///
    /// Leaf facts are ordered without wall-clock time: a VM with a wrong clock would otherwise win
    /// or lose against all others.
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
                let exclusive = u64::from(!crash.shared);
                [u64::from(crash.crashes), exclusive, crash.observed_unix_ms]
            }
            Self::DiscardedVersion(discarded) => {
                let superseded_by = discarded.superseded_by.unwrap_or_default();
                [
                    discarded.version.epoch,
                    discarded.version.revision,
                    superseded_by.revision,
                ]
            }
            Self::Profile { incarnation, .. } => [incarnation.bits(), 0, 0],
            // Leaves of an attempt may be found to have crashed one after another.
            Self::CrashedAttempt(crashed) => {
                [crashed.leaves.len() as u64, crashed.observed_unix_ms, 0]
            }
            Self::ContentSuccess(success) => [success.until_unix_ms, 0, 0],
            // The observations of several VMs are the same fact, which is sent once.
            Self::LeafDeparture(_) => [0, 0, 0],
            Self::LeafLinks {
                incarnation,
                sequence,
                ..
            } => [incarnation.bits(), *sequence, 0],
            Self::Evacuation(evacuation) => evacuation.precedence(),
        }
    }

    /// Returns the position of the kind in the order in which kinds were added.
    ///
    /// Facts are sent in this order: an earlier build reads a datagram up to the first kind that it does not
    /// know. A new variant of [`Fact`] comes last.
    pub fn kind_position(&self) -> u8 {
        match self {
            Self::Vm { .. } => 0,
            Self::Document { .. } => 1,
            Self::Leaf { .. } => 2,
            Self::Quarantine { .. } => 3,
            Self::LeafCrash(_) => 4,
            Self::DiscardedVersion(_) => 5,
            Self::Profile { .. } => 6,
            Self::CrashedAttempt(_) => 7,
            Self::ContentSuccess(_) => 8,
            Self::LeafDeparture(_) => 9,
            Self::LeafLinks { .. } => 10,
            Self::Evacuation(_) => 11,
        }
    }

    /// Returns the wall-clock time of an observation that is evidence on a request content or a leaf,
    /// or `None` for other facts.
    pub fn evidence_unix_ms(&self) -> Option<u64> {
        match self {
            Self::LeafCrash(crash) => Some(crash.observed_unix_ms),
            Self::CrashedAttempt(crashed) => Some(crashed.observed_unix_ms),
            Self::ContentSuccess(success) => Some(success.until_unix_ms),
            Self::LeafDeparture(departure) => Some(departure.observed_unix_ms),
            _ => None,
        }
    }

    /// Returns whether a quarantine or evidence has expired; other facts do not expire.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        match self {
            Self::Quarantine { until_unix_ms, .. } => *until_unix_ms <= now_unix_ms,
            Self::LeafCrash(crash) => crash.is_expired(now_unix_ms),
            Self::CrashedAttempt(crashed) => crashed.is_expired(now_unix_ms),
            Self::ContentSuccess(success) => success.is_expired(now_unix_ms),
            Self::LeafDeparture(departure) => departure.is_expired(now_unix_ms),
            _ => false,
        }
    }

    /// Returns whether the fact is pushed to several peers immediately, in addition to being queued
    /// for the next gossip datagrams, such as probes.
    pub fn is_urgent(&self) -> bool {
        match self {
            // A refutation has to arrive before the VM is declared dead.
            Self::Vm {
                state, refutation, ..
            } => matches!(state, VmState::Leaving | VmState::Dead) || *refutation > 0,
            Self::Leaf { state, .. } => *state == LeafState::Draining,
            Self::Document { .. } | Self::Quarantine { .. } | Self::LeafCrash(_) => true,
            Self::DiscardedVersion(_) => false,
            Self::Profile { .. }
            | Self::CrashedAttempt(_)
            | Self::ContentSuccess(_)
            | Self::LeafDeparture(_)
            | Self::LeafLinks { .. }
            | Self::Evacuation(_) => true,
        }
    }
}
