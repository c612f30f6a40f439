//! Datagrams exchanged between VMs by gossip, and the timing of the protocol.
//!
//! The timing determines for how long requests are still sent to a failed VM, which ends when it is
//! declared dead.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use thiserror::Error;

use super::DIGEST_BUCKETS;
use crate::fact::Fact;
use crate::ids::Incarnation;
use crate::wire::{PROTOCOL_VERSION, WireError, decode_prefix};

/// Intervals and timeouts of gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipTiming {
    /// Interval between two probes.
    pub probe_interval_ms: u64,
    /// Time without an acknowledgement after which indirect probes are sent.
    pub ack_timeout_ms: u64,
    /// Time after which a suspect VM that has not refuted is declared dead.
    pub suspicion_ms: u64,
    /// Time for which facts about dead VMs that are no longer listed are kept.
    pub dead_retention_ms: u64,
}

impl Default for GossipTiming {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            ack_timeout_ms: 200,
            suspicion_ms: 1_500,
            dead_retention_ms: 600_000,
        }
    }
}

/// Kind of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum MessageKind {
    /// Requests an acknowledgement.
    Probe {
        /// Sequence number that the sender gave the probe.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Requests that the receiver probe a VM on the sender's behalf.
    IndirectProbe {
        /// Sequence number that the sender gave its own probe of the VM.
        sequence: u64,
        /// VM to probe.
        target: SocketAddr,
    },
    /// Carries only facts, which the receiver forwards.
    Push,
    /// Carries only facts that were missing on the receiver, which does not forward them, since
    /// other VMs have them.
    MissingFacts,
    /// Starts a comparison of the facts of sender and receiver.
    BucketDigests {
        /// Digest of each bucket.
        buckets: Box<[u32; DIGEST_BUCKETS]>,
    },
    /// Lists the facts of some buckets by hash and requests those that are not listed.
    FactHashes {
        /// Buckets with the hashes of their facts.
        hashes: Vec<(u8, Vec<u32>)>,
        /// Whether the receiver is to send the hashes of its own facts as well.
        reply_wanted: bool,
    },
}

/// One gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Datagram {
    /// Version of the internal protocol.
    pub protocol_version: u16,
    /// Process that sent the message.
    pub incarnation: Incarnation,
    /// Digest of all facts that the sender stores.
    pub digest: u64,
    /// Kind of the message.
    pub kind: MessageKind,
    /// Facts attached to the message.
    pub facts: Vec<Fact>,
}

/// Part of a [`Datagram`] before its facts.
#[derive(Decode)]
struct DatagramHead {
    protocol_version: u16,
    incarnation: Incarnation,
    digest: u64,
    kind: MessageKind,
    fact_count: u64,
}

/// Reason why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DatagramError {
    /// The sender uses another version of the protocol.
    #[error("datagram of protocol version {0}")]
    OtherVersion(u16),
    /// The content is not a valid datagram.
    #[error("datagram is malformed")]
    Malformed,
}

impl Datagram {
    /// Decodes a received datagram; returns it with the number of its facts that are left out.
    ///
    /// A later build may attach facts of kinds that this one does not know. Without the rest of the datagram,
    /// its probes would not be answered, and its VMs would be declared dead. The facts from the first such
    /// one on are left out, since its size is unknown.
    ///
    /// # Errors
    ///
    /// Fails on another version of the protocol and on malformed content.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gossip::{Datagram, DatagramError};
    /// assert_eq!(Datagram::read(&[9, 0]).err(), Some(DatagramError::OtherVersion(9)));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<(Self, u64), DatagramError> {
        let malformed = |_| DatagramError::Malformed;
        let (version, _) = decode_prefix::<u16>(bytes).map_err(malformed)?;
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::OtherVersion(version));
        }
        let (head, mut used) = decode_prefix::<DatagramHead>(bytes).map_err(malformed)?;
        let mut facts = Vec::new();
        let mut unread = head.fact_count;
        while unread > 0 {
            match decode_prefix::<Fact>(&bytes[used..]) {
                Ok((fact, fact_bytes)) => {
                    used += fact_bytes;
                    facts.push(fact);
                    unread -= 1;
                }
                Err(WireError::UnknownVariant) => break,
                Err(_) => return Err(DatagramError::Malformed),
            }
        }
        if unread == 0 && used != bytes.len() {
            return Err(DatagramError::Malformed);
        }
        let datagram = Self {
            protocol_version: head.protocol_version,
            incarnation: head.incarnation,
            digest: head.digest,
            kind: head.kind,
            facts,
        };
        Ok((datagram, unread))
    }
}

/// Puts the facts of a datagram in the order of their kinds, so that builds which do not know the latest
/// kinds read all others.
pub(super) fn in_order_of_kinds(mut facts: Vec<Fact>) -> Vec<Fact> {
    facts.sort_by_key(Fact::kind_position);
    facts
}

/// Messages to send, with their receivers.
pub type Outgoing = Vec<(SocketAddr, Datagram)>;
