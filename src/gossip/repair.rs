//! Comparison of facts with a peer, for what the queue did not bring.
//!
//! The digests of all buckets are compared first; for some buckets that differ, the hashes of their
//! facts follow, and only facts that the other side lacks are sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use super::table::{BUCKETS, Entry};
use super::{Datagram, Gossip, HEADER_BYTES, MAX_DATAGRAM_BYTES, Outgoing, Purpose};
use crate::fact::Fact;

/// Shortest time between two comparisons that one node starts. While facts change all the time,
/// digests nearly always differ: a comparison on each probe cost 20 KB per second a node.
const COMPARE_INTERVAL_MS: u64 = 2_000;

/// Fewest buckets that one comparison repairs.
const MIN_REPAIRED: usize = 4;

/// Most buckets that one comparison repairs, after a partition for instance.
const MAX_REPAIRED: usize = 32;

/// Share of the differing buckets that one comparison repairs: one in this many.
const REPAIRED_SHARE: usize = 4;

impl Gossip {
    /// Offers digests to a peer whose facts differ.
    pub(super) fn offer_compare(&mut self, peer: SocketAddr, now_ms: u64, out: &mut Outgoing) {
        if now_ms < self.next_compare_ms {
            return;
        }
        self.next_compare_ms = now_ms + COMPARE_INTERVAL_MS;
        let buckets = Box::new(*self.table.buckets());
        out.push((peer, self.bare(Purpose::Compare { buckets })));
    }

    /// Answers digests with the hashes of facts in some of the buckets that differ.
    pub(super) fn compare(
        &self,
        from: SocketAddr,
        theirs: &[u32; BUCKETS],
        rng: &mut impl Rng,
        out: &mut Outgoing,
    ) {
        let mut differing: Vec<u8> = Vec::new();
        for (index, (ours, theirs)) in self.table.buckets().iter().zip(theirs).enumerate() {
            if ours != theirs {
                differing.push(u8::try_from(index).unwrap_or(0));
            }
        }
        differing.shuffle(rng);
        let wanted = (differing.len() / REPAIRED_SHARE).clamp(MIN_REPAIRED, MAX_REPAIRED);
        differing.truncate(wanted);
        self.send_hashes(from, &differing, true, out);
    }

    fn send_hashes(&self, to: SocketAddr, buckets: &[u8], answer: bool, out: &mut Outgoing) {
        let mut hashes: Vec<(u8, Vec<u32>)> = Vec::new();
        let mut room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
        for bucket in buckets {
            let listed: Vec<u32> = self
                .table
                .in_bucket(*bucket)
                .map(|entry| entry.hash)
                .collect();
            // A hash takes 5 bytes; a bucket its number and its length.
            let bytes = 4 + 5 * listed.len();
            if bytes > room_bytes && !hashes.is_empty() {
                let hashes = std::mem::take(&mut hashes);
                out.push((to, self.bare(Purpose::Hashes { hashes, answer })));
                room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
            }
            room_bytes = room_bytes.saturating_sub(bytes);
            hashes.push((*bucket, listed));
        }
        if !hashes.is_empty() {
            out.push((to, self.bare(Purpose::Hashes { hashes, answer })));
        }
    }

    /// Sends facts that the peer did not list, and lists one's own if the peer asked for it.
    pub(super) fn answer_hashes(
        &self,
        from: SocketAddr,
        hashes: &[(u8, Vec<u32>)],
        answer: bool,
        out: &mut Outgoing,
    ) {
        let mut lacking = Vec::new();
        for (bucket, theirs) in hashes {
            let theirs: BTreeSet<u32> = theirs.iter().copied().collect();
            let ours = self.table.in_bucket(*bucket);
            lacking.extend(ours.filter(|entry| !theirs.contains(&entry.hash)));
        }
        if answer {
            let buckets: Vec<u8> = hashes.iter().map(|(bucket, _)| *bucket).collect();
            self.send_hashes(from, &buckets, false, out);
        }
        for facts in split(lacking) {
            let message = Datagram {
                facts,
                ..self.bare(Purpose::Repair)
            };
            out.push((from, message));
        }
    }
}

/// Splits facts into parts that fit a datagram each.
pub(super) fn split<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Vec<Vec<Fact>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
    for entry in entries {
        let bytes = usize::from(entry.encoded_bytes);
        if bytes > room_bytes && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            room_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES;
        }
        room_bytes = room_bytes.saturating_sub(bytes);
        part.push(entry.fact.clone());
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
