//! Anti-entropy: exchanges the facts that dissemination did not deliver to a peer.
//!
//! Datagrams may be lost, and a partition may outlast the transmissions of a fact. The digests of
//! all buckets are compared first; for some buckets that differ, the hashes of their facts follow,
//! and only facts that are missing on the other side are sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use super::fact_table::{DIGEST_BUCKETS, StoredFact};
use super::message::in_order_of_kinds;
use super::{DATAGRAM_HEADER_BYTES, Datagram, Gossip, MAX_DATAGRAM_BYTES, MessageKind, Outgoing};
use crate::fact::Fact;

/// Minimum time between two comparisons that one node starts. While facts change continuously, the
/// digests nearly always differ: a comparison per probe cost 20 KB per second and node.
const ANTI_ENTROPY_INTERVAL_MS: u64 = 2_000;

/// Minimum number of buckets that one comparison synchronizes.
const MIN_SYNCED_BUCKETS: usize = 4;

/// Maximum number of buckets that one comparison synchronizes, for example after a partition.
const MAX_SYNCED_BUCKETS: usize = 32;

/// One comparison synchronizes one in this many of the differing buckets, within the limits above.
const SYNCED_BUCKETS_DIVISOR: usize = 4;

impl Gossip {
    /// Sends the bucket digests to a peer whose digest differs.
    pub(super) fn start_anti_entropy(&mut self, peer: SocketAddr, now_ms: u64, out: &mut Outgoing) {
        if now_ms < self.next_anti_entropy_ms {
            return;
        }
        self.next_anti_entropy_ms = now_ms + ANTI_ENTROPY_INTERVAL_MS;
        let buckets = Box::new(*self.fact_table.buckets());
        out.push((
            peer,
            self.datagram_without_facts(MessageKind::BucketDigests { buckets }),
        ));
    }

    /// Replies to digests with the hashes of the facts in some of the differing buckets.
    pub(super) fn handle_digests(
        &self,
        from: SocketAddr,
        theirs: &[u32; DIGEST_BUCKETS],
        rng: &mut impl Rng,
        out: &mut Outgoing,
    ) {
        let mut differing: Vec<u8> = Vec::new();
        for (index, (ours, theirs)) in self.fact_table.buckets().iter().zip(theirs).enumerate() {
            if ours != theirs {
                differing.push(u8::try_from(index).unwrap_or(0));
            }
        }
        differing.shuffle(rng);
        let synced_buckets = (differing.len() / SYNCED_BUCKETS_DIVISOR)
            .clamp(MIN_SYNCED_BUCKETS, MAX_SYNCED_BUCKETS);
        differing.truncate(synced_buckets);
        self.send_hashes(from, &differing, true, out);
    }

    fn send_hashes(&self, to: SocketAddr, buckets: &[u8], reply_wanted: bool, out: &mut Outgoing) {
        let mut hashes: Vec<(u8, Vec<u32>)> = Vec::new();
        let mut remaining_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
        for bucket in buckets {
            let listed: Vec<u32> = self
                .fact_table
                .facts_in_bucket(*bucket)
                .map(|entry| entry.hash)
                .collect();
            // A hash takes 5 bytes; a bucket adds its number and the length of its list.
            let bytes = 4 + 5 * listed.len();
            if bytes > remaining_bytes && !hashes.is_empty() {
                let hashes = std::mem::take(&mut hashes);
                out.push((
                    to,
                    self.datagram_without_facts(MessageKind::FactHashes {
                        hashes,
                        reply_wanted,
                    }),
                ));
                remaining_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            hashes.push((*bucket, listed));
        }
        if !hashes.is_empty() {
            out.push((
                to,
                self.datagram_without_facts(MessageKind::FactHashes {
                    hashes,
                    reply_wanted,
                }),
            ));
        }
    }

    /// Sends the facts that the peer did not list, and the local hashes if the peer requested them.
    pub(super) fn handle_hashes(
        &self,
        from: SocketAddr,
        hashes: &[(u8, Vec<u32>)],
        reply_wanted: bool,
        out: &mut Outgoing,
    ) {
        let mut missing = Vec::new();
        for (bucket, theirs) in hashes {
            let theirs: BTreeSet<u32> = theirs.iter().copied().collect();
            let ours = self.fact_table.facts_in_bucket(*bucket);
            missing.extend(ours.filter(|entry| !theirs.contains(&entry.hash)));
        }
        if reply_wanted {
            let buckets: Vec<u8> = hashes.iter().map(|(bucket, _)| *bucket).collect();
            self.send_hashes(from, &buckets, false, out);
        }
        for facts in chunk_facts(missing) {
            let message = Datagram {
                facts,
                ..self.datagram_without_facts(MessageKind::MissingFacts)
            };
            out.push((from, message));
        }
    }
}

/// Splits facts into chunks that fit in one datagram each.
pub(super) fn chunk_facts<'a>(entries: impl IntoIterator<Item = &'a StoredFact>) -> Vec<Vec<Fact>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut remaining_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
    for entry in entries {
        let bytes = usize::from(entry.encoded_bytes);
        if bytes > remaining_bytes && !chunk.is_empty() {
            chunks.push(in_order_of_kinds(std::mem::take(&mut chunk)));
            remaining_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
        }
        remaining_bytes = remaining_bytes.saturating_sub(bytes);
        chunk.push(entry.fact.clone());
    }
    if !chunk.is_empty() {
        chunks.push(in_order_of_kinds(chunk));
    }
    chunks
}
