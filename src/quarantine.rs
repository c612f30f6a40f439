//! Requests that crash targets: evidence from lost leaves, and when it suffices.

use std::collections::HashMap;
use std::net::SocketAddr;

use bincode::{Decode, Encode};

/// Leaves lost with the same content after which it is refused.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Losses on shared leaves that count as much as one on a leaf of its own.
const SHARED_CRASHES_PER_EXCLUSIVE: u32 = 2;

/// Time for which evidence is kept.
pub const CRASH_RETENTION_MS: u64 = 60_000;

/// Time for which blamed content is refused.
pub const QUARANTINE_MS: u64 = 300_000;

/// Contents with evidence that are kept at a time.
const MAX_CONTENTS: usize = 10_000;

/// Crashes of one leaf while it ran one content, as VMs tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafCrash {
    /// Fingerprint of service and payload.
    pub fingerprint: u64,
    /// Leaf that crashed.
    pub leaf: SocketAddr,
    /// Whether each time another call held a slot of the leaf.
    pub shared: bool,
    /// Crashes of this leaf with this content.
    pub crashes: u32,
    /// Wall-clock time of the latest.
    pub observed_unix_ms: u64,
}

impl LeafCrash {
    /// Returns whether the loss is too old to count.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.observed_unix_ms + CRASH_RETENTION_MS <= now_unix_ms
    }
}

/// Evidence against contents.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: HashMap<u64, Vec<LeafCrash>>,
}

impl Quarantine {
    /// Makes the fact that a leaf crashed once more while it ran the content.
    pub fn observe(
        &self,
        fingerprint: u64,
        leaf: SocketAddr,
        shared: bool,
        now_unix_ms: u64,
    ) -> LeafCrash {
        let known = self.contents.get(&fingerprint).into_iter().flatten();
        let mut earlier =
            known.filter(|crash| crash.leaf == leaf && !crash.is_expired(now_unix_ms));
        let earlier = earlier.next();
        LeafCrash {
            fingerprint,
            leaf,
            shared: shared && earlier.is_none_or(|crash| crash.shared),
            crashes: earlier.map_or(0, |crash| crash.crashes) + 1,
            observed_unix_ms: now_unix_ms,
        }
    }

    /// Returns whether there is any evidence against a content.
    pub fn has_crashed_leaf(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        let mut crashes = self.contents.get(&fingerprint).into_iter().flatten();
        crashes.any(|crash| !crash.is_expired(now_unix_ms))
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
    pub fn record(&mut self, crash: LeafCrash, now_unix_ms: u64) -> Option<u64> {
        self.contents.retain(|_, crashes| {
            crashes.retain(|crash| !crash.is_expired(now_unix_ms));
            !crashes.is_empty()
        });
        let is_new = !self.contents.contains_key(&crash.fingerprint);
        if crash.is_expired(now_unix_ms) || is_new && self.contents.len() >= MAX_CONTENTS {
            return None;
        }
        let crashes = self.contents.entry(crash.fingerprint).or_default();
        crashes.retain(|known| known.leaf != crash.leaf);
        crashes.push(crash);
        let exclusive = crashes.iter().filter(|crash| !crash.shared).count();
        let shared = crashes.iter().filter(|crash| crash.shared);
        let repeated: u32 =
            shared.map(|crash| crash.crashes).sum::<u32>() / SHARED_CRASHES_PER_EXCLUSIVE;
        let latest = crashes.iter().map(|crash| crash.observed_unix_ms).max()?;
        (exclusive + repeated as usize >= CRASHES_TO_QUARANTINE).then_some(latest + QUARANTINE_MS)
    }
}
