//! Decides whether a leaf that has refused a call and named a time to come back may be called. Pure
//! logic without I/O.
//!
//! Handles leaves that are overloaded or paused: for the time that a leaf names to a VM, this VM sends
//! it nothing, and the other VMs prefer its other replicas. When the time is over, all callers that
//! were refused meanwhile come back; the leaf is tried with a single call first.

/// Longest time that a leaf may name, so that a wrong value does not remove it for good.
pub const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// Time after the end of a named time for which the leaf gets one call at a time, unless it answers
/// one.
const RECOVERY_US: u64 = 1_000_000;

/// Calls that are open at a time until the leaf has answered one.
const MAX_RECOVERY_CALLS: usize = 1;

/// Latency cost of a leaf that has named a time to another VM: it is the last choice.
pub const REMOTE_RETRY_AFTER_COST_US: u64 = 400_000;

/// Parses the time that a leaf names, in milliseconds: a decimal number of seconds of at least 0,
/// limited to [`MAX_RETRY_AFTER_MS`].
///
/// Returns `None` for other text. Dates are not read, since the clocks of leaves and VMs differ.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::retry_after::parse_retry_after_ms;
/// assert_eq!(parse_retry_after_ms("1.5"), Some(1_500));
/// assert_eq!(parse_retry_after_ms("-1"), None);
/// assert_eq!(parse_retry_after_ms("Fri, 04 Dec 2026 12:00:00 GMT"), None);
/// ```
pub fn parse_retry_after_ms(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the value is clamped to the range"
    )]
    Some((seconds * 1_000.0).ceil().min(MAX_RETRY_AFTER_MS as f64) as u64)
}

/// Whether a leaf may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The leaf may be called.
    Allowed,
    /// The leaf wants no calls from another VM, and may be called if no other leaf is available.
    LastChoice,
    /// The leaf has to answer an open call first.
    Recovering,
    /// The leaf wants no calls from this VM before that time.
    NotBefore(u64),
}

/// Times for which a leaf wants no calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfter {
    until_us: u64,
    remote_until_us: u64,
    is_recovering: bool,
}

impl RetryAfter {
    /// Records that the leaf has named a time to this VM. It does not shorten an earlier one.
    pub fn record(&mut self, wait_ms: u64, now_us: u64) {
        self.until_us = self.until_us.max(now_us + wait_ms * 1_000);
        self.is_recovering = true;
    }

    /// Records that the leaf has named a time to another VM.
    pub fn record_remote(&mut self, wait_ms: u64, now_us: u64) {
        let until_us = now_us + wait_ms.min(MAX_RETRY_AFTER_MS) * 1_000;
        self.remote_until_us = self.remote_until_us.max(until_us);
    }

    /// Records that the leaf has executed a call. An answer to a call that was sent before the
    /// refusal does not end the named time.
    pub fn record_answer(&mut self, now_us: u64) {
        if now_us >= self.until_us {
            self.is_recovering = false;
        }
    }

    /// Returns the end of the time that the leaf has named to this VM, or 0.
    pub fn until_us(&self) -> u64 {
        self.until_us
    }

    /// Returns whether the leaf may be called while `open_calls` of this VM are open.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::retry_after::{Admission, RetryAfter};
    /// let mut retry_after = RetryAfter::default();
    /// retry_after.record(2_000, 0);
    /// assert_eq!(retry_after.admission(0, 1_999_999), Admission::NotBefore(2_000_000));
    /// assert_eq!(retry_after.admission(0, 2_000_000), Admission::Allowed);
    /// assert_eq!(retry_after.admission(1, 2_000_000), Admission::Recovering);
    /// ```
    pub fn admission(&self, open_calls: usize, now_us: u64) -> Admission {
        if now_us < self.until_us {
            return Admission::NotBefore(self.until_us);
        }
        let recovers = self.is_recovering && now_us < self.until_us + RECOVERY_US;
        if recovers && open_calls >= MAX_RECOVERY_CALLS {
            return Admission::Recovering;
        }
        if now_us < self.remote_until_us {
            return Admission::LastChoice;
        }
        Admission::Allowed
    }
}
