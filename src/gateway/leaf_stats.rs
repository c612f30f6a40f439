//! Estimates the expected latency of a call to a leaf, by which the replica for a request is
//! selected, from the results of this VM's calls and the reports of other VMs.
//!
//! Handles leaves that are slow, pause briefly or stop replying while other replicas have free
//! capacity.

use std::collections::BTreeMap;

use super::pause_predictor::Stall;

/// Shift of the moving average: a new latency has a weight of 1 / 2^`AVERAGE_SHIFT`.
const AVERAGE_SHIFT: u32 = 3;

/// Latency assumed for a leaf that has not replied yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 15_000;

/// Multiple of the average latency without a reply above which a leaf counts as stalled.
const STALL_FACTOR: u64 = 2;

/// Time added to that multiple, so that jitter of short calls doesn't count as a stall.
const STALL_MARGIN_US: u64 = 12_000;

/// Cost added to the average latency of a stalled leaf.
const STALL_COST_US: u64 = 120_000;

/// Time for which a leaf is avoided after a failure, doubled with each consecutive failure.
const FAILURE_BASE_MS: u64 = 400;

/// Maximum time for which a leaf is avoided after consecutive failures.
const FAILURE_MAX_MS: u64 = 6_400;

/// Cost added for a leaf that failed recently.
const FAILURE_COST_US: u64 = 400_000;

/// Shift of the failure rate: a new outcome has a weight of 1 / 2^`FAILURE_RATE_SHIFT`.
const FAILURE_RATE_SHIFT: u32 = 3;

/// Cost added for a leaf that fails all its calls, scaled by the failure rate. It is about the
/// latency at which a reply is too late, since that is as bad as a failure. With a higher cost, a
/// healthy leaf would be overloaded before calls go to the failing one again.
const FAILURE_RATE_COST_US: u64 = 200_000;

/// Half-life of the failure rate while the leaf is unused.
const FAILURE_HALF_LIFE_MS: u64 = 2_500;

/// Failure rate from which a leaf is an outlier, in parts per million: about what remains of one
/// failure after a dozen successful calls.
const OUTLIER_FAILURE_RATE_PPM: u64 = 30_000;

/// Parts per million in one.
const PPM: u64 = 1_000_000;

/// Half-life of the excess of a leaf's average over `INITIAL_LATENCY_US` while the leaf is unused.
const LATENCY_HALF_LIFE_MS: u64 = 1_500;

/// Time for which another VM's report of a stall applies unless it is repeated. A reply of the leaf
/// ends it sooner.
const REMOTE_STALL_TTL_US: u64 = 120_000;

/// Interval at which an ongoing stall is reported again.
const STALL_REPORT_INTERVAL_US: u64 = 100_000;

/// Latency, failure rate and open calls of one leaf.
#[derive(Clone, Debug)]
pub struct LeafStats {
    average_us: u64,
    average_updated_ms: u64,
    last_success_us: u64,
    open_started_us: BTreeMap<u64, u64>,
    last_call: u64,
    consecutive_failures: u32,
    failed_until_ms: u64,
    failure_rate_ppm: u64,
    last_outcome_ms: u64,
    remote_stall_until_us: u64,
    last_report_us: u64,
}

impl Default for LeafStats {
    fn default() -> Self {
        Self {
            average_us: INITIAL_LATENCY_US,
            average_updated_ms: 0,
            last_success_us: 0,
            open_started_us: BTreeMap::new(),
            last_call: 0,
            consecutive_failures: 0,
            failed_until_ms: 0,
            failure_rate_ppm: 0,
            last_outcome_ms: 0,
            remote_stall_until_us: 0,
            last_report_us: 0,
        }
    }
}

impl LeafStats {
    /// Opens a call and returns its number.
    pub fn start_call(&mut self, now_us: u64) -> u64 {
        self.last_call += 1;
        self.open_started_us.insert(self.last_call, now_us);
        self.last_call
    }

    /// Closes a call that the leaf answered, and returns the stall that the reply ended.
    ///
    /// `paused_us` is the part of the call's time within a regular pause. It is not counted as
    /// latency, since it doesn't predict the latency of the next call.
    pub fn record_success(&mut self, call: u64, now_us: u64, paused_us: u64) -> Option<Stall> {
        let stall = self.ended_stall(now_us);
        self.last_success_us = now_us;
        self.remote_stall_until_us = 0;
        let started_us = self.open_started_us.remove(&call)?;
        let latency_us = now_us.saturating_sub(started_us + paused_us);
        let old_us = self.average_us - (self.average_us >> AVERAGE_SHIFT);
        self.average_us = old_us + (latency_us >> AVERAGE_SHIFT);
        self.average_updated_ms = now_us / 1_000;
        self.consecutive_failures = 0;
        self.failed_until_ms = 0;
        self.record_outcome(0, now_us / 1_000);
        stall
    }

    /// Returns the stall that a reply at `now_us` ends: calls were open throughout, and none was
    /// answered for much longer than the average latency.
    fn ended_stall(&self, now_us: u64) -> Option<Stall> {
        let start_us = self.unanswered_since_us()?;
        let is_stall = now_us.saturating_sub(start_us) > self.stall_limit_us();
        is_stall.then_some(Stall {
            start_us,
            end_us: now_us,
        })
    }

    /// Returns the time since which calls have been open without a successful reply.
    fn unanswered_since_us(&self) -> Option<u64> {
        let oldest_us = *self.open_started_us.first_key_value()?.1;
        Some(oldest_us.max(self.last_success_us))
    }

    /// Returns whether a call has been open for a time without a successful reply.
    pub fn is_silent_for(&self, silence_us: u64, now_us: u64) -> bool {
        let since_us = self.unanswered_since_us();
        since_us.is_some_and(|since_us| since_us + silence_us <= now_us)
    }

    /// Returns the time without a reply from which the leaf counts as stalled.
    pub fn stall_limit_us(&self) -> u64 {
        self.average_us * STALL_FACTOR + STALL_MARGIN_US
    }

    /// Closes a call that the leaf refused or answered with an error.
    ///
    /// Error replies are fast, so they don't count towards the latency average.
    pub fn record_error_reply(&mut self, call: u64, now_us: u64) {
        self.open_started_us.remove(&call);
        self.record_outcome(PPM, now_us / 1_000);
    }

    fn record_outcome(&mut self, outcome_ppm: u64, now_ms: u64) {
        let old_ppm = self.failure_rate_ppm(now_ms);
        let decayed_ppm = old_ppm - (old_ppm >> FAILURE_RATE_SHIFT);
        self.failure_rate_ppm = decayed_ppm + (outcome_ppm >> FAILURE_RATE_SHIFT);
        self.last_outcome_ms = now_ms;
    }

    /// Returns the decayed rate of failed calls, in parts per million.
    pub fn failure_rate_ppm(&self, now_ms: u64) -> u64 {
        let idle_ms = now_ms.saturating_sub(self.last_outcome_ms);
        self.failure_rate_ppm >> halvings(idle_ms, FAILURE_HALF_LIFE_MS)
    }

    /// Closes a call that was abandoned, without counting it as a success or a failure.
    pub fn record_abandoned(&mut self, call: u64) {
        self.open_started_us.remove(&call);
    }

    /// Closes a call that failed by a connection reset, a refused connection or a timeout.
    pub fn record_failure(&mut self, call: u64, now_us: u64) {
        self.open_started_us.remove(&call);
        let backoff_ms = (FAILURE_BASE_MS << self.consecutive_failures.min(8)).min(FAILURE_MAX_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failed_until_ms = now_us / 1_000 + backoff_ms;
        self.record_outcome(PPM, now_us / 1_000);
    }

    /// Forgets the failures of this VM's calls and those that other VMs have reported.
    pub fn forget_failures(&mut self) {
        self.consecutive_failures = 0;
        self.failed_until_ms = 0;
        self.failure_rate_ppm = 0;
    }

    /// Records another VM's report that the leaf has not replied since a time, unless the leaf has
    /// replied to this VM since then.
    pub fn record_remote_stall(&mut self, since_us: u64, seen_us: u64) {
        if since_us >= self.last_success_us {
            self.remote_stall_until_us = seen_us + REMOTE_STALL_TTL_US;
        }
    }

    /// Records another VM's report that the leaf replies again.
    pub fn record_remote_resume(&mut self) {
        self.remote_stall_until_us = 0;
    }

    /// Records another VM's report that the leaf failed a call.
    pub fn record_remote_failure(&mut self, now_us: u64) {
        self.record_outcome(PPM, now_us / 1_000);
    }

    /// Records another VM's report that the leaf answered a call.
    pub fn record_remote_success(&mut self, now_us: u64) {
        self.record_outcome(0, now_us / 1_000);
    }

    /// Returns whether the failure rate is so high that successful calls are reported to other VMs.
    pub fn is_outlier(&self, now_us: u64) -> bool {
        self.failure_rate_ppm(now_us / 1_000) >= OUTLIER_FAILURE_RATE_PPM
    }

    /// Returns the duration of the current stall if it is due to be reported to other VMs, and
    /// marks it as reported.
    pub fn take_stall_report(&mut self, now_us: u64) -> Option<u64> {
        let since_us = self.unanswered_since_us()?;
        let was_reported = now_us.saturating_sub(self.last_report_us) < STALL_REPORT_INTERVAL_US;
        if was_reported || !self.is_stalled(now_us) {
            return None;
        }
        self.last_report_us = now_us;
        Some(now_us.saturating_sub(since_us))
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.open_started_us.len()
    }

    /// Returns the average latency.
    pub fn average_us(&self) -> u64 {
        self.average_us
    }

    /// Returns whether the leaf failed so recently that it is used only as a last resort.
    pub fn is_failing(&self, now_us: u64) -> bool {
        now_us / 1_000 < self.failed_until_ms
    }

    /// Returns whether calls are open and none was answered for much longer than the average
    /// latency. A single expensive call is no stall while others are answered.
    pub fn is_stalled(&self, now_us: u64) -> bool {
        let silent_us = self
            .unanswered_since_us()
            .map(|since_us| now_us.saturating_sub(since_us));
        silent_us.is_some_and(|silent_us| silent_us > self.stall_limit_us())
    }

    /// Returns whether the leaf is stalled for this VM or another one.
    pub fn is_stalled_anywhere(&self, now_us: u64) -> bool {
        self.is_stalled(now_us) || now_us < self.remote_stall_until_us
    }

    /// Returns the expected latency of a further call with all added costs, in microseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::LeafStats;
    /// let mut leaf_stats = LeafStats::default();
    /// let idle_us = leaf_stats.expected_us(3, 0);
    /// leaf_stats.start_call(0);
    /// assert!(leaf_stats.expected_us(3, 200_000) > idle_us, "the leaf is stalled");
    /// ```
    pub fn expected_us(&self, slots: u32, now_us: u64) -> u64 {
        let idle_ms = (now_us / 1_000).saturating_sub(self.average_updated_ms);
        let halvings = u32::try_from(idle_ms / LATENCY_HALF_LIFE_MS)
            .unwrap_or(u32::MAX)
            .min(16);
        let excess_us = self.average_us.saturating_sub(INITIAL_LATENCY_US) >> halvings;
        let average_us = self.average_us.min(INITIAL_LATENCY_US) + excess_us;
        let queue_us = self.open_started_us.len() as u64 * average_us / u64::from(slots.max(1));
        average_us + queue_us + self.added_costs_us(now_us)
    }

    /// Returns the costs for failures and stalls, which are added to the latency of a further call.
    pub fn added_costs_us(&self, now_us: u64) -> u64 {
        let failure_rate_ppm = self.failure_rate_ppm(now_us / 1_000);
        let mut added_us = failure_rate_ppm * FAILURE_RATE_COST_US / PPM;
        if self.is_stalled_anywhere(now_us) {
            added_us += STALL_COST_US;
        }
        if self.is_failing(now_us) {
            added_us += FAILURE_COST_US;
        }
        added_us
    }
}

/// Returns the number of half-lives in a time, capped at 32.
fn halvings(idle_ms: u64, half_life_ms: u64) -> u32 {
    u32::try_from(idle_ms / half_life_ms)
        .unwrap_or(u32::MAX)
        .min(32)
}
