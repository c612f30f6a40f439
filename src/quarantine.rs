//! Decides which request contents are refused because they crash targets.
//!
//! Each leaf that crashes while it runs a request counts as evidence against the content. With
//! enough evidence all VMs refuse the content, so that retries don't crash further replicas.

use std::collections::HashMap;
use std::net::SocketAddr;

use bincode::{Decode, Encode};

/// Number of exclusive crashes, each of a different leaf, after which a content is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Number of shared crashes that count as one exclusive crash.
///
/// In a shared crash, the leaf also ran other calls; in an exclusive crash, it ran only this
/// content.
const SHARED_CRASHES_PER_EXCLUSIVE: u32 = 2;

/// Time for which a crash counts as evidence.
pub const CRASH_RETENTION_MS: u64 = 60_000;

/// Time for which quarantined content is refused after its latest crash.
pub const QUARANTINE_MS: u64 = 300_000;

/// Contents whose crashes are stored at a time; bounds memory.
const MAX_CONTENTS: usize = 10_000;

/// Crashes of one leaf while it ran one content, replicated between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafCrash {
    /// Hash of the service and the payload.
    pub fingerprint: u64,
    /// Address of the leaf that crashed.
    pub leaf: SocketAddr,
    /// Whether other calls occupied slots of the leaf in each of the crashes.
    pub shared: bool,
    /// Number of crashes of this leaf with this content.
    pub crashes: u32,
    /// Wall-clock time of the latest crash.
    pub observed_unix_ms: u64,
}

impl LeafCrash {
    /// Returns whether the crash is too old to count as evidence.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.observed_unix_ms + CRASH_RETENTION_MS <= now_unix_ms
    }
}

/// Crashes by content fingerprint.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: HashMap<u64, Vec<LeafCrash>>,
}

impl Quarantine {
    /// Returns the record of another crash of a leaf while it ran the content, without storing it.
    pub fn observe(
        &self,
        fingerprint: u64,
        leaf: SocketAddr,
        shared: bool,
        now_unix_ms: u64,
    ) -> LeafCrash {
        let recorded = self.contents.get(&fingerprint).into_iter().flatten();
        let mut earlier =
            recorded.filter(|crash| crash.leaf == leaf && !crash.is_expired(now_unix_ms));
        let earlier = earlier.next();
        LeafCrash {
            fingerprint,
            leaf,
            shared: shared && earlier.is_none_or(|crash| crash.shared),
            crashes: earlier.map_or(0, |crash| crash.crashes) + 1,
            observed_unix_ms: now_unix_ms,
        }
    }

    /// Returns whether the content has crashed a leaf within `CRASH_RETENTION_MS`.
    pub fn has_crashed_leaf(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        let mut crashes = self.contents.get(&fingerprint).into_iter().flatten();
        crashes.any(|crash| !crash.is_expired(now_unix_ms))
    }

    /// Stores a crash that this or another VM observed; returns the time until which the content is
    /// quarantined, if it has caused enough crashes.
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
        crashes.retain(|recorded| recorded.leaf != crash.leaf);
        crashes.push(crash);
        let exclusive = crashes.iter().filter(|crash| !crash.shared).count();
        let shared = crashes.iter().filter(|crash| crash.shared);
        let weighted_shared: u32 =
            shared.map(|crash| crash.crashes).sum::<u32>() / SHARED_CRASHES_PER_EXCLUSIVE;
        let latest = crashes.iter().map(|crash| crash.observed_unix_ms).max()?;
        (exclusive + weighted_shared as usize >= CRASHES_TO_QUARANTINE)
            .then_some(latest + QUARANTINE_MS)
    }
}
