//! Selection of the VMs that watch the platform, and the pacing of their reads.
//!
//! The number of watchers grows with the failure domains rather than with the VMs, which bounds the
//! load on the platform. Failed reads back off with jitter, so that the watchers do not retry all
//! at the same time.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of watchers, if that many VMs are live.
pub const MIN_WATCHERS: usize = 3;

/// Upper bound of the delay after the first failed read.
const BASE_DELAY_MS: u64 = 200;

/// Upper bound of the delay after any number of failed reads.
const MAX_DELAY_MS: u64 = 5_000;

/// Response bytes per second that one watcher receives while nothing changes. The platform returns
/// all values for each watch, so the traffic of a fixed wait would grow with the files.
const WATCH_BUDGET_BYTES_PER_S: u64 = 8_192;

/// Minimum wait of a watch; limits the rate of calls.
const MIN_WATCH_WAIT_MS: u64 = 1_000;

/// Maximum wait of a watch; limits how long a stalled watch goes undetected.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Returns how long the next watch blocks after a response of `response_bytes`, with a jitter of
/// ±20 %.
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

/// Selects the VMs that watch the platform: the first of each failure domain in hash order, then
/// further VMs in hash order up to [`MIN_WATCHERS`].
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
    let mut first_by_domain: BTreeMap<&str, &str> = BTreeMap::new();
    for (_, name, domain) in &ranked {
        first_by_domain.entry(domain).or_insert(name);
    }
    let mut selected: Vec<&str> = first_by_domain.into_values().collect();
    for (_, name, _) in &ranked {
        if selected.len() >= MIN_WATCHERS {
            break;
        }
        if !selected.contains(name) {
            selected.push(name);
        }
    }
    selected
}

/// Exponential backoff with full jitter for failed reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Records a failure and returns the delay before the next read.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let max_delay_ms = BASE_DELAY_MS
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_DELAY_MS);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=max_delay_ms)
    }

    /// Resets the backoff after a successful read.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
