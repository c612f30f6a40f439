//! How fast a leaf answers, from the calls of this VM, and what a further call to it would cost.
//!
//! Answers the loads in which a few leaves are slow, pause for a moment, or fall silent while their
//! replicas have room.

use std::collections::BTreeMap;

use super::pause_predictor::Stall;

/// Weight of a new latency in the average is 1 / 2^`AVERAGE_SHIFT`.
const AVERAGE_SHIFT: u32 = 3;

/// Latency assumed of a leaf that has not answered yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 15_000;

/// Age of the oldest open call, in average latencies, from which the leaf counts as stalled.
const STALL_FACTOR: u64 = 2;

/// Age added to that, so that short calls don't count as stalled by jitter.
const STALL_FLOOR_US: u64 = 12_000;

/// Cost of a call to a stalled leaf beside its average latency.
const STALL_COST_US: u64 = 120_000;

/// Time for which a failure counts, doubled with each further failure.
const FAILURE_BASE_MS: u64 = 400;

/// Longest time for which failures count.
const FAILURE_MAX_MS: u64 = 6_400;

/// Cost of a call to a leaf that failed recently.
const FAILURE_COST_US: u64 = 400_000;

/// Weight of a new outcome in the share of failures is 1 / 2^`FAILURE_RATE_SHIFT`.
const FAILURE_RATE_SHIFT: u32 = 3;

/// Cost of a call to a leaf that fails all its calls; one that fails a share costs that share. It is
/// about the latency from which an answer comes too late, which is as bad as a failure: a sound leaf
/// is not preferred to a failing one up to its own collapse.
const FAILURE_RATE_COST_US: u64 = 200_000;

/// Time in which the share of failures halves while the leaf is unused.
const FAILURE_HALF_LIFE_MS: u64 = 2_500;

/// Share of failed calls from which a leaf is suspect, in parts per million: about what is left of one
/// failure after a dozen answers.
const OUTLIER_FAILURE_RATE_PPM: u64 = 30_000;

/// Parts per million in one.
const PPM: u64 = 1_000_000;

/// Time in which the excess of an average over the best replica's halves while the leaf is unused.
const LATENCY_HALF_LIFE_MS: u64 = 1_500;

/// Time for which another VM's word that a leaf stalls counts, unless it is repeated. An answer ends it
/// sooner.
const REMOTE_STALL_HOLD_US: u64 = 120_000;

/// Time after which a stall that goes on is told again.
const STALL_REPORT_INTERVAL_US: u64 = 100_000;

/// Latency estimate and open calls of one leaf.
#[derive(Clone, Debug)]
pub struct LeafStats {
    average_us: u64,
    observed_ms: u64,
    last_answer_us: u64,
    open: BTreeMap<u64, u64>,
    next_call: u64,
    failures: u32,
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
            observed_ms: 0,
            last_answer_us: 0,
            open: BTreeMap::new(),
            next_call: 0,
            failures: 0,
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
        self.next_call += 1;
        self.open.insert(self.next_call, now_us);
        self.next_call
    }

    /// Closes a call that the leaf answered; returns the stall that the answer ended.
    ///
    /// `paused_us` of the call's time fell into a regular pause, which says nothing of the next call.
    pub fn record_success(&mut self, call: u64, now_us: u64, paused_us: u64) -> Option<Stall> {
        let stall = self.ended_stall(now_us);
        self.last_answer_us = now_us;
        self.remote_stall_until_us = 0;
        let started_us = self.open.remove(&call)?;
        let latency_us = now_us.saturating_sub(started_us + paused_us);
        let old_us = self.average_us - (self.average_us >> AVERAGE_SHIFT);
        self.average_us = old_us + (latency_us >> AVERAGE_SHIFT);
        self.observed_ms = now_us / 1_000;
        self.failures = 0;
        self.failed_until_ms = 0;
        self.record_outcome(0, now_us / 1_000);
        stall
    }

    /// Returns the stall that an answer ends now: calls were open all the while, and none was answered
    /// for much longer than usual.
    fn ended_stall(&self, now_us: u64) -> Option<Stall> {
        let start_us = self.silent_since_us()?;
        let is_long = now_us.saturating_sub(start_us) > self.stall_limit_us();
        is_long.then_some(Stall {
            start_us,
            end_us: now_us,
        })
    }

    /// Returns since when calls are open and none was answered.
    fn silent_since_us(&self) -> Option<u64> {
        let oldest_us = *self.open.first_key_value()?.1;
        Some(oldest_us.max(self.last_answer_us))
    }

    fn stall_limit_us(&self) -> u64 {
        self.average_us * STALL_FACTOR + STALL_FLOOR_US
    }

    /// Closes a call that the leaf answered with a refusal or a failure of its own.
    ///
    /// Such answers come fast, so they say nothing of the latency.
    pub fn record_error_reply(&mut self, call: u64, now_us: u64) {
        self.open.remove(&call);
        self.record_outcome(PPM, now_us / 1_000);
    }

    fn record_outcome(&mut self, outcome_ppm: u64, now_ms: u64) {
        let old_ppm = self.failure_rate_ppm(now_ms);
        let kept_ppm = old_ppm - (old_ppm >> FAILURE_RATE_SHIFT);
        self.failure_rate_ppm = kept_ppm + (outcome_ppm >> FAILURE_RATE_SHIFT);
        self.last_outcome_ms = now_ms;
    }

    /// Returns the share of calls that failed lately, in parts per million.
    pub fn failure_rate_ppm(&self, now_ms: u64) -> u64 {
        let idle_ms = now_ms.saturating_sub(self.last_outcome_ms);
        self.failure_rate_ppm >> halvings(idle_ms, FAILURE_HALF_LIFE_MS)
    }

    /// Closes a call that was given up with no verdict on the leaf.
    pub fn record_abandoned(&mut self, call: u64) {
        self.open.remove(&call);
    }

    /// Closes a call that the leaf failed: a reset, a refusal or silence.
    pub fn record_failure(&mut self, call: u64, now_us: u64) {
        self.open.remove(&call);
        let hold_ms = (FAILURE_BASE_MS << self.failures.min(8)).min(FAILURE_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        self.failed_until_ms = now_us / 1_000 + hold_ms;
        self.record_outcome(PPM, now_us / 1_000);
    }

    /// Takes another VM's word that the leaf has answered nothing since a time, unless this VM knows
    /// better.
    pub fn record_remote_stall(&mut self, since_us: u64, seen_us: u64) {
        if since_us >= self.last_answer_us {
            self.remote_stall_until_us = seen_us + REMOTE_STALL_HOLD_US;
        }
    }

    /// Takes another VM's word that the leaf answers again.
    pub fn record_remote_resume(&mut self) {
        self.remote_stall_until_us = 0;
    }

    /// Takes another VM's word that the leaf failed a call.
    pub fn record_remote_failure(&mut self, now_us: u64) {
        self.record_outcome(PPM, now_us / 1_000);
    }

    /// Takes another VM's word that the leaf answered a call.
    pub fn record_remote_success(&mut self, now_us: u64) {
        self.record_outcome(0, now_us / 1_000);
    }

    /// Returns whether the leaf failed so many calls lately that its answers are news to other VMs.
    pub fn is_outlier(&self, now_us: u64) -> bool {
        self.failure_rate_ppm(now_us / 1_000) >= OUTLIER_FAILURE_RATE_PPM
    }

    /// Returns for how long the leaf has stalled, if the other VMs should be told now.
    pub fn take_stall_report(&mut self, now_us: u64) -> Option<u64> {
        let since_us = self.silent_since_us()?;
        let is_told = now_us.saturating_sub(self.last_report_us) < STALL_REPORT_INTERVAL_US;
        if is_told || !self.is_stalled(now_us) {
            return None;
        }
        self.last_report_us = now_us;
        Some(now_us.saturating_sub(since_us))
    }

    /// Returns the open calls.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Returns the average latency.
    pub fn average_us(&self) -> u64 {
        self.average_us
    }

    /// Returns whether the leaf failed so recently that it is used only if no other can be.
    pub fn is_failing(&self, now_us: u64) -> bool {
        now_us / 1_000 < self.failed_until_ms
    }

    /// Returns whether the leaf has answered no call for much longer than calls usually take, although
    /// some are open. A single call with much work is no stall while others are answered.
    pub fn is_stalled(&self, now_us: u64) -> bool {
        let silent_us = self
            .silent_since_us()
            .map(|since_us| now_us.saturating_sub(since_us));
        silent_us.is_some_and(|silent_us| silent_us > self.stall_limit_us())
    }

    /// Returns the expected time of a further call, in microseconds.
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
        let idle_ms = (now_us / 1_000).saturating_sub(self.observed_ms);
        let halvings = u32::try_from(idle_ms / LATENCY_HALF_LIFE_MS)
            .unwrap_or(u32::MAX)
            .min(16);
        let excess_us = self.average_us.saturating_sub(INITIAL_LATENCY_US) >> halvings;
        let average_us = self.average_us.min(INITIAL_LATENCY_US) + excess_us;
        let queue = self.open.len() as u64 * average_us / u64::from(slots.max(1));
        let mut expected_us = average_us + queue;
        let failure_rate_ppm = self.failure_rate_ppm(now_us / 1_000);
        expected_us += failure_rate_ppm * FAILURE_RATE_COST_US / PPM;
        if self.is_stalled(now_us) || now_us < self.remote_stall_until_us {
            expected_us += STALL_COST_US;
        }
        if self.is_failing(now_us) {
            expected_us += FAILURE_COST_US;
        }
        expected_us
    }
}

/// Returns how often a value halved in a time.
fn halvings(idle_ms: u64, half_ms: u64) -> u32 {
    u32::try_from(idle_ms / half_ms).unwrap_or(u32::MAX).min(32)
}
