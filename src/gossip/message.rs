//! Datagrams exchanged between VMs by gossip, and the timing of the protocol.
//!
//! The timing determines for how long requests are still sent to a failed VM, which ends when it is
//! declared dead.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::DIGEST_BUCKETS;
use crate::fact::Fact;
use crate::ids::Incarnation;

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

/// Messages to send, with their receivers.
pub type Outgoing = Vec<(SocketAddr, Datagram)>;
