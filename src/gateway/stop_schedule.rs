//! Decides until when a VM that was asked to stop runs requests, answers them and accepts
//! connections. Pure functions without I/O.
//!
//! Handles planned stops under load: callers use the address of a VM until its process ends, and what
//! a leaf works on then would be lost.

/// Longest time before the end of the grace period at which all requests are answered, and its
/// largest share of the grace period, as a divisor. It leaves time to send the responses.
const MAX_ANSWER_MARGIN_MS: u64 = 700;
const ANSWER_MARGIN_DIVISOR: u64 = 8;

/// Longest time before the end of the grace period at which no more connections are accepted and idle
/// ones are closed, and its largest share. The first request of a connection has to arrive after it.
const MAX_CLOSE_MARGIN_MS: u64 = 500;
const CLOSE_MARGIN_DIVISOR: u64 = 12;

/// Longest time before the end of the grace period at which the process exits by itself, and its
/// largest share. At the end of the grace period the process is killed.
const MAX_EXIT_MARGIN_MS: u64 = 200;
const EXIT_MARGIN_DIVISOR: u64 = 30;

/// Shortest time for which callers may cache an address, which bounds how often they resolve.
const MIN_CACHE_MS: u64 = 200;

const US_PER_MS: u64 = 1_000;

/// Times at which a VM that stops changes what it does, on the boot clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time until which the latest calls tell how long a request that must not run twice takes. From then on
    /// too little time is left for one that takes longer, and few callers still use the VM.
    pub estimate_until_us: u64,
    /// Time by which all requests are answered. From then on, new ones are refused.
    pub answer_by_us: u64,
    /// Time from which no connections are accepted and idle ones are closed.
    pub close_at_us: u64,
    /// Time at which the process exits although connections are open.
    pub exit_at_us: u64,
}

impl StopSchedule {
    /// Returns the schedule of a stop that began at `now_us`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::StopSchedule;
    /// let schedule = StopSchedule::new(0, 6_000);
    /// assert_eq!(schedule.estimate_until_us, 3_000_000);
    /// assert_eq!(schedule.answer_by_us, 5_300_000);
    /// assert_eq!(schedule.close_at_us, 5_500_000);
    /// assert_eq!(schedule.exit_at_us, 5_800_000);
    /// ```
    pub fn new(now_us: u64, grace_ms: u64) -> Self {
        let before_end = |max_margin_ms: u64, divisor: u64| {
            let margin_ms = max_margin_ms.min(grace_ms / divisor);
            now_us.saturating_add(grace_ms.saturating_sub(margin_ms).saturating_mul(US_PER_MS))
        };
        Self {
            estimate_until_us: now_us.saturating_add(grace_ms.saturating_mul(US_PER_MS) / 2),
            answer_by_us: before_end(MAX_ANSWER_MARGIN_MS, ANSWER_MARGIN_DIVISOR),
            close_at_us: before_end(MAX_CLOSE_MARGIN_MS, CLOSE_MARGIN_DIVISOR),
            exit_at_us: before_end(MAX_EXIT_MARGIN_MS, EXIT_MARGIN_DIVISOR),
        }
    }

    /// Returns the time for which a VM with this grace period runs requests after the signal to stop.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::StopSchedule;
    /// assert_eq!(StopSchedule::serving_ms(6_000), 5_300);
    /// ```
    pub fn serving_ms(grace_ms: u64) -> u64 {
        Self::new(0, grace_ms).answer_by_us / US_PER_MS
    }

    /// Returns the time for which callers may cache an address, at most `max_ms`. Some cache it up to
    /// `max_factor` times as long, and a VM that stops runs requests until then.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::StopSchedule;
    /// assert_eq!(StopSchedule::cache_ms(6_000, 1_500, 3), 1_500);
    /// assert_eq!(StopSchedule::cache_ms(2_000, 1_500, 3), 583);
    /// ```
    pub fn cache_ms(grace_ms: u64, max_ms: u64, max_factor: u64) -> u64 {
        let serving_ms = Self::serving_ms(grace_ms);
        let cache_ms = serving_ms / max_factor.max(1);
        cache_ms.max(MIN_CACHE_MS).min(max_ms)
    }

    /// Returns whether a request may be sent to a leaf at `now_us`, given the time within which a leaf is
    /// expected to answer and the deadline of the request: it has to end while the response can be sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::StopSchedule;
    /// let schedule = StopSchedule::new(0, 6_000);
    /// assert!(schedule.allows_call(4_500_000, 600_000, 10_500_000));
    /// assert!(!schedule.allows_call(4_800_000, 600_000, 10_800_000));
    /// assert!(schedule.allows_call(4_800_000, 600_000, 5_200_000));
    /// ```
    pub fn allows_call(&self, now_us: u64, expected_us: u64, deadline_us: u64) -> bool {
        let expected_end_us = now_us.saturating_add(expected_us);
        now_us < self.answer_by_us && expected_end_us.min(deadline_us) <= self.answer_by_us
    }
}
