//! Pacing of connection attempts to one leaf.

use rand::{Rng, RngExt};

/// Shortest time between a failed attempt and the next.
const BASE_DELAY_MS: u64 = 50;

/// Longest time between a failed attempt and the next.
const MAX_DELAY_MS: u64 = 1_000;

/// Remembers failed attempts, so that calls fail at once instead of each trying again.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectBackoff {
    failures: u32,
    retry_at_ms: u64,
}

impl ConnectBackoff {
    /// Takes a failed attempt: the next is allowed after an exponential delay, of which half is
    /// random so that the VMs don't return to a leaf at one moment.
    pub fn record_failure(&mut self, now_ms: u64, rng: &mut impl Rng) {
        let delay_ms = (BASE_DELAY_MS << self.failures.min(10)).min(MAX_DELAY_MS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at_ms = now_ms + rng.random_range(delay_ms / 2..=delay_ms);
    }

    /// Takes the first answer on a connection: only then has an attempt succeeded, since a leaf at
    /// its limit accepts a connection and closes it.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether attempts failed since the last success.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether an attempt is allowed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::backoff::ConnectBackoff;
    /// let mut backoff = ConnectBackoff::default();
    /// backoff.record_failure(1_000, &mut rand::rng());
    /// assert!(!backoff.allows(1_000));
    /// assert!(backoff.allows(1_050));
    /// ```
    pub fn allows(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }
}
