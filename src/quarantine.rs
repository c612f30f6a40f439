//! Requests that crash targets: evidence from lost leaves, and when it suffices.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Leaves lost with the same content after which it is refused.
const LEAVES_TO_BLAME: usize = 2;

/// Losses on a shared leaf that count as much as one on a leaf of its own.
const SHARED_LOSSES: u32 = 2;

/// Time for which evidence is kept.
const EVIDENCE_MS: u64 = 60_000;

/// Time for which blamed content is refused.
pub const QUARANTINE_MS: u64 = 300_000;

/// Contents with evidence that are kept at a time.
const MAX_CONTENTS: usize = 10_000;

#[derive(Debug, Default)]
struct Evidence {
    latest_ms: u64,
    alone: HashSet<SocketAddr>,
    shared: HashMap<SocketAddr, u32>,
}

/// Evidence against contents.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: HashMap<u64, Evidence>,
}

impl Quarantine {
    /// Records that a leaf was lost while it ran the content; returns whether the content is to be
    /// refused from now on.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut quarantine = cloverrack::Quarantine::default();
    /// let leaf = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// assert!(!quarantine.record_loss(7, leaf(1), false, 0));
    /// assert!(quarantine.record_loss(7, leaf(2), false, 10));
    /// ```
    pub fn record_loss(
        &mut self,
        fingerprint: u64,
        leaf: SocketAddr,
        shared: bool,
        now_ms: u64,
    ) -> bool {
        self.contents
            .retain(|_, evidence| now_ms < evidence.latest_ms + EVIDENCE_MS);
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&fingerprint) {
            return false;
        }
        let evidence = self.contents.entry(fingerprint).or_default();
        evidence.latest_ms = now_ms;
        if shared {
            let losses = evidence.shared.entry(leaf).or_default();
            *losses += 1;
        } else {
            evidence.alone.insert(leaf);
        }
        let shared_total: u32 = evidence.shared.values().sum();
        let repeated = (shared_total / SHARED_LOSSES) as usize;
        evidence.alone.len() + repeated >= LEAVES_TO_BLAME
    }
}
