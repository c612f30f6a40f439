//! Which VMs watch the platform, and how failed reads are paced.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// Fewest watchers, if that many VMs are live.
pub const MIN_WATCHERS: usize = 3;

/// First delay after a failed read.
const BASE_DELAY_MS: u64 = 200;

/// Longest delay after failed reads.
const MAX_DELAY_MS: u64 = 5_000;

/// Bytes per second that one watcher spends on answers to watches that no change ended. The service
/// answers each watch with all values; a fixed wait would cost more as the files grow.
const WATCH_BUDGET_BYTES_PER_S: u64 = 8_192;

/// Shortest wait of a watch; it bounds the calls.
const MIN_WATCH_WAIT_MS: u64 = 1_000;

/// Longest wait of a watch; it bounds how long a stalled watch goes unnoticed.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Returns how long the next watch blocks after an answer of `response_bytes`, within a fifth.
///
/// # Examples
///
/// ```
/// use cloverrack::watcher::watch_wait_ms;
/// let wait_ms = watch_wait_ms(32_768, &mut rand::rng());
/// assert!((3_200..=4_800).contains(&wait_ms));
/// ```
pub fn watch_wait_ms(response_bytes: u64, rng: &mut impl Rng) -> u64 {
    let wait_ms = (response_bytes.saturating_mul(1_000) / WATCH_BUDGET_BYTES_PER_S)
        .clamp(MIN_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS);
    wait_ms * rng.random_range(80..=120) / 100
}

/// Chooses the VMs that watch the platform: in each failure domain the first in hash order, and
/// more in hash order up to [`MIN_WATCHERS`].
///
/// `vms` lists the live VMs as (name, failure domain).
///
/// # Examples
///
/// ```
/// use cloverrack::watcher::select_watchers;
/// assert_eq!(select_watchers(&[("a", "x"), ("b", "y")]).len(), 2);
/// ```
pub fn select_watchers<'a>(vms: &[(&'a str, &'a str)]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str, &str)> = vms
        .iter()
        .map(|(name, domain)| (xxh3_64(name.as_bytes()), *name, *domain))
        .collect();
    ranked.sort_unstable();
    let mut first: BTreeMap<&str, &str> = BTreeMap::new();
    for (_, name, domain) in &ranked {
        first.entry(domain).or_insert(name);
    }
    let mut chosen: Vec<&str> = first.into_values().collect();
    for (_, name, _) in &ranked {
        if chosen.len() >= MIN_WATCHERS {
            break;
        }
        if !chosen.contains(name) {
            chosen.push(name);
        }
    }
    chosen
}

/// Exponential delay with full jitter between failed reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Returns the delay after one more failure.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let ceiling = BASE_DELAY_MS
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_DELAY_MS);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=ceiling)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
