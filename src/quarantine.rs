//! Requests that crash targets: evidence from lost leaves, and when it suffices.

use std::collections::HashMap;
use std::net::SocketAddr;

use bincode::{Decode, Encode};

/// Leaves lost with the same content after which it is refused.
const LEAVES_TO_BLAME: usize = 2;

/// Losses on shared leaves that count as much as one on a leaf of its own.
const SHARED_LOSSES: u32 = 2;

/// Time for which evidence is kept.
pub const EVIDENCE_MS: u64 = 60_000;

/// Time for which blamed content is refused.
pub const QUARANTINE_MS: u64 = 300_000;

/// Contents with evidence that are kept at a time.
const MAX_CONTENTS: usize = 10_000;

/// Crashes of one leaf while it ran one content, as VMs tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Loss {
    /// Fingerprint of service and payload.
    pub fingerprint: u64,
    /// Leaf that crashed.
    pub leaf: SocketAddr,
    /// Whether each time another call held a slot of the leaf.
    pub shared: bool,
    /// Crashes of this leaf with this content.
    pub losses: u32,
    /// Wall-clock time of the latest.
    pub observed_unix_ms: u64,
}

impl Loss {
    /// Returns whether the loss is too old to count.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.observed_unix_ms + EVIDENCE_MS <= now_unix_ms
    }
}

/// Evidence against contents.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: HashMap<u64, Vec<Loss>>,
}

impl Quarantine {
    /// Makes the fact that a leaf crashed once more while it ran the content.
    pub fn observe(
        &self,
        fingerprint: u64,
        leaf: SocketAddr,
        shared: bool,
        now_unix_ms: u64,
    ) -> Loss {
        let known = self.contents.get(&fingerprint).into_iter().flatten();
        let mut earlier = known.filter(|loss| loss.leaf == leaf && !loss.is_expired(now_unix_ms));
        let earlier = earlier.next();
        Loss {
            fingerprint,
            leaf,
            shared: shared && earlier.is_none_or(|loss| loss.shared),
            losses: earlier.map_or(0, |loss| loss.losses) + 1,
            observed_unix_ms: now_unix_ms,
        }
    }

    /// Returns whether there is any evidence against a content.
    pub fn is_suspect(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        let mut losses = self.contents.get(&fingerprint).into_iter().flatten();
        losses.any(|loss| !loss.is_expired(now_unix_ms))
    }

    /// Takes a loss that this VM or another observed; returns the time until which the content is
    /// refused, if the evidence suffices.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut quarantine = cloverrack::Quarantine::default();
    /// let leaf = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// let first = quarantine.observe(7, leaf(1), false, 0);
    /// assert_eq!(quarantine.record(first, 0), None);
    /// let second = quarantine.observe(7, leaf(2), false, 10);
    /// assert!(quarantine.record(second, 10).is_some());
    /// ```
    pub fn record(&mut self, loss: Loss, now_unix_ms: u64) -> Option<u64> {
        self.contents.retain(|_, losses| {
            losses.retain(|loss| !loss.is_expired(now_unix_ms));
            !losses.is_empty()
        });
        let is_new = !self.contents.contains_key(&loss.fingerprint);
        if loss.is_expired(now_unix_ms) || is_new && self.contents.len() >= MAX_CONTENTS {
            return None;
        }
        let losses = self.contents.entry(loss.fingerprint).or_default();
        losses.retain(|known| known.leaf != loss.leaf);
        losses.push(loss);
        let alone = losses.iter().filter(|loss| !loss.shared).count();
        let shared = losses.iter().filter(|loss| loss.shared);
        let repeated: u32 = shared.map(|loss| loss.losses).sum::<u32>() / SHARED_LOSSES;
        let latest = losses.iter().map(|loss| loss.observed_unix_ms).max()?;
        (alone + repeated as usize >= LEAVES_TO_BLAME).then_some(latest + QUARANTINE_MS)
    }
}
