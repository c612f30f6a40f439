//! Limits connection attempts to one leaf by exponential backoff with jitter.
//!
//! While a leaf is unreachable, calls to it fail at once and connection attempts are spread over
//! time.

use rand::{Rng, RngExt};

/// Backoff after the first failed attempt, before jitter.
const BASE_DELAY_MS: u64 = 50;

/// Upper bound of the backoff.
const MAX_DELAY_MS: u64 = 1_000;

/// Backoff state of one leaf, by which calls fail at once instead of each attempting to connect.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectBackoff {
    failures: u32,
    retry_at_ms: u64,
}

impl ConnectBackoff {
    /// Records a failed attempt. The next is allowed after an exponential delay, of which half is
    /// random so that the VMs don't reconnect to a leaf at the same time.
    pub fn record_failure(&mut self, now_ms: u64, rng: &mut impl Rng) {
        let delay_ms = (BASE_DELAY_MS << self.failures.min(10)).min(MAX_DELAY_MS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at_ms = now_ms + rng.random_range(delay_ms / 2..=delay_ms);
    }

    /// Records the first answer on a connection. Only then has the attempt succeeded, since a leaf
    /// at its connection limit accepts a connection and closes it.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether attempts have failed since the last success.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether an attempt is allowed now.
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
