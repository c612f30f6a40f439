//! Messages of gossip and its time constants.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::DIGEST_BUCKETS;
use crate::fact::Fact;
use crate::ids::Incarnation;

/// Time constants of gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipTiming {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Time without an acknowledgement before others are asked to probe.
    pub ack_timeout_ms: u64,
    /// Time that a suspicion stands before the VM is declared dead.
    pub suspicion_ms: u64,
    /// Time that facts about dead VMs are kept.
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

/// What a datagram asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum MessageKind {
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
    IndirectProbe {
        /// Number of the probe at the sender.
        sequence: u64,
        /// VM to probe.
        target: SocketAddr,
    },
    /// Only carries facts, which the receiver sends on.
    Push,
    /// Only carries facts that the receiver lacked; others have them.
    MissingFacts,
    /// Offers digests for comparison.
    BucketDigests {
        /// Digest of each bucket.
        buckets: Box<[u32; DIGEST_BUCKETS]>,
    },
    /// Lists the facts of some buckets by hash, and asks for those that are not listed.
    FactHashes {
        /// Buckets with the hashes of their facts.
        hashes: Vec<(u8, Vec<u32>)>,
        /// Whether the receiver lists its own facts too.
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
    /// Digest of all facts of the sender.
    pub digest: u64,
    /// What the message asks for.
    pub kind: MessageKind,
    /// Facts carried along.
    pub facts: Vec<Fact>,
}

/// Messages to send, with their receivers.
pub type Outgoing = Vec<(SocketAddr, Datagram)>;
