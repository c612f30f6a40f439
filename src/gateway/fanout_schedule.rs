//! Decides when a scatter-gather request sends hedged calls and when it responds, from elapsed time
//! and shard counts alone.
//!
//! Handles the load in which every query touches many shards and a few leaves pause or are slow.
//! The limited hedged calls go to shards where they can still change the response, and a response
//! with enough shards is sent before the target latency.

/// Time reserved before the target latency for the merge, the network transfer to the caller and
/// the caller's connection setup.
const RESPONSE_MARGIN_US: u64 = 16_000;

/// Divisor of the target latency that limits the margin on routes with a short target, where
/// [`RESPONSE_MARGIN_US`] would take most of it.
const RESPONSE_MARGIN_DIVISOR: u64 = 4;

/// Mean deviations above the mean latency that a hedged call is expected to take at most.
const HEDGE_DEVIATIONS: u64 = 2;

/// Mean deviations above the mean latency that nearly all calls take at most.
const SLOW_DEVIATIONS: u64 = 4;

/// Network round-trip time of a hedged call, in addition to the leaf's processing time.
const HEDGE_ROUND_TRIP_US: u64 = 2_500;

/// Minimum age of a call before it is hedged, in mean latencies.
const MIN_HEDGE_DELAY_MEANS: u64 = 2;

/// Share of the target latency after which a request to a single leaf is hedged.
const SINGLE_HEDGE_PERCENT: u64 = 55;

/// Weight of a new sample in the mean and the deviation is 1 / 2^`SAMPLE_SHIFT`.
const SAMPLE_SHIFT: u32 = 5;

/// Divisor of the target latency for the mean latency assumed before the first sample.
const INITIAL_MEAN_DIVISOR: u64 = 5;

/// Number of calls from which the longest of the latest calls tells how long calls take.
const MIN_CALLS: u32 = 8;

/// Number of calls after which the longest call is searched anew. The one before still counts until then.
const CALLS_PER_SPAN: u32 = 64;

/// Moving averages of the latency of one route's leaf calls and of its deviation, and the longest of its
/// latest calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLatency {
    mean_us: u64,
    deviation_us: u64,
    calls: u32,
    /// Longest call of the current span and of the one before.
    longest_us: [u64; 2],
}

impl CallLatency {
    /// Creates an estimate from the route's target latency.
    pub fn new(target_us: u64) -> Self {
        Self {
            mean_us: target_us / INITIAL_MEAN_DIVISOR,
            deviation_us: target_us / INITIAL_MEAN_DIVISOR / 2,
            calls: 0,
            longest_us: [0; 2],
        }
    }

    /// Records the latency of a call, capped at four means so that a pause doesn't dominate the
    /// average.
    pub fn record(&mut self, latency_us: u64) {
        if self.calls.is_multiple_of(CALLS_PER_SPAN) {
            self.longest_us = [0, self.longest_us[0]];
        }
        self.calls = self.calls.wrapping_add(1).max(1);
        self.longest_us[0] = self.longest_us[0].max(latency_us);
        let latency_us = latency_us.min(self.mean_us.saturating_mul(4).max(1_000));
        let difference_us = latency_us.abs_diff(self.mean_us);
        self.mean_us = ewma(self.mean_us, latency_us);
        self.deviation_us = ewma(self.deviation_us, difference_us);
    }

    /// Returns the time within which nearly all calls complete.
    pub fn slow_us(self) -> u64 {
        self.mean_us + SLOW_DEVIATIONS * self.deviation_us
    }

    /// Returns the longest of the latest calls, or `None` before there are enough of them.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::CallLatency;
    /// let mut latency = CallLatency::new(3_000_000);
    /// assert_eq!(latency.longest_us(), None);
    /// for latency_us in [24_000, 24_000, 90_000, 24_000, 24_000, 24_000, 24_000, 24_000] {
    ///     latency.record(latency_us);
    /// }
    /// assert_eq!(latency.longest_us(), Some(90_000));
    /// ```
    pub fn longest_us(self) -> Option<u64> {
        (self.calls >= MIN_CALLS).then(|| self.longest_us[0].max(self.longest_us[1]))
    }

    /// Returns the time within which a hedged call most probably completes.
    fn expected_hedge_us(self) -> u64 {
        self.mean_us + HEDGE_DEVIATIONS * self.deviation_us + HEDGE_ROUND_TRIP_US
    }
}

fn ewma(old: u64, new: u64) -> u64 {
    old - (old >> SAMPLE_SHIFT) + (new >> SAMPLE_SHIFT)
}

/// Deadlines of one request, in microseconds since it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSchedule {
    /// Time from which a response with enough shards is sent although others are missing.
    pub partial_response_us: u64,
    /// Age of a call from which it is hedged if the retry budget is plentiful: nearly all calls have ended.
    pub early_hedge_us: u64,
    /// Age of a call from which it is hedged in any case, since a later hedge would not end in time.
    pub hedge_us: u64,
    /// Time at which the request is given up.
    pub timeout_us: u64,
}

impl FanoutSchedule {
    /// Returns the schedule of a scatter-gather request over many shards.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{CallLatency, FanoutSchedule};
    /// let latency = CallLatency::new(150_000);
    /// let schedule = FanoutSchedule::gather(150_000, 1_500_000, latency);
    /// assert!(schedule.hedge_us < schedule.partial_response_us);
    /// assert!(schedule.partial_response_us < 150_000);
    /// ```
    pub fn gather(target_us: u64, timeout_us: u64, latency: CallLatency) -> Self {
        let margin_us = RESPONSE_MARGIN_US.min(target_us / RESPONSE_MARGIN_DIVISOR);
        let partial_response_us = target_us.saturating_sub(margin_us).min(timeout_us);
        let latest_us = partial_response_us.saturating_sub(latency.expected_hedge_us());
        let earliest_us = MIN_HEDGE_DELAY_MEANS * latency.mean_us;
        let hedge_us = latest_us.max(earliest_us);
        Self {
            partial_response_us,
            early_hedge_us: earliest_us.max(latency.slow_us()).min(hedge_us),
            hedge_us,
            timeout_us,
        }
    }

    /// Returns the schedule of a request to a single leaf.
    pub fn single(target_us: u64, timeout_us: u64) -> Self {
        let hedge_us = target_us * SINGLE_HEDGE_PERCENT / 100;
        Self {
            partial_response_us: timeout_us,
            early_hedge_us: hedge_us,
            hedge_us,
            timeout_us,
        }
    }

    /// Returns the age of a call at which it may next be hedged, given its present age.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{CallLatency, FanoutSchedule};
    /// let schedule = FanoutSchedule::gather(150_000, 1_500_000, CallLatency::new(150_000));
    /// assert_eq!(schedule.next_hedge_us(0), schedule.early_hedge_us);
    /// assert_eq!(schedule.next_hedge_us(schedule.early_hedge_us), schedule.hedge_us);
    /// ```
    pub fn next_hedge_us(self, age_us: u64) -> u64 {
        if age_us < self.early_hedge_us {
            self.early_hedge_us
        } else {
            self.hedge_us
        }
    }

    /// Returns the schedule of a request that has to end by `end_us`, with the shards that have replied
    /// by then.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::FanoutSchedule;
    /// let schedule = FanoutSchedule::single(600_000, 6_000_000).ending_by(2_000_000);
    /// assert_eq!(schedule.timeout_us, 2_000_000);
    /// ```
    pub fn ending_by(self, end_us: u64) -> Self {
        Self {
            partial_response_us: self.partial_response_us.min(end_us),
            timeout_us: self.timeout_us.min(end_us),
            ..self
        }
    }
}

/// Numbers of shards of a request by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardCounts {
    /// Shards that have replied.
    pub parts: usize,
    /// Shards that may still reply.
    pub open: usize,
    /// Open shards with a call in flight that is not late.
    pub on_time: usize,
    /// Minimum number of shards in a response.
    pub min_parts: usize,
}

/// Next action of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutDecision {
    /// Responds with the parts received so far.
    Answer,
    /// Fails the request: too few parts can still arrive, or its time is over.
    GiveUp,
    /// Waits for more parts.
    Wait,
}

impl ShardCounts {
    /// Returns the next action of a request that arrived `elapsed_us` ago.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{FanoutSchedule, FanoutDecision, ShardCounts};
    /// let schedule = FanoutSchedule {
    ///     partial_response_us: 140,
    ///     early_hedge_us: 40,
    ///     hedge_us: 90,
    ///     timeout_us: 1_500,
    /// };
    /// let shard_counts = ShardCounts { parts: 9, open: 1, on_time: 1, min_parts: 9 };
    /// assert_eq!(shard_counts.step(&schedule, 100), FanoutDecision::Wait);
    /// assert_eq!(shard_counts.step(&schedule, 140), FanoutDecision::Answer);
    /// let shard_counts = ShardCounts { parts: 5, open: 3, on_time: 3, min_parts: 9 };
    /// assert_eq!(shard_counts.step(&schedule, 1), FanoutDecision::GiveUp);
    /// ```
    pub fn step(&self, schedule: &FanoutSchedule, elapsed_us: u64) -> FanoutDecision {
        if self.open == 0 && self.parts >= self.min_parts {
            return FanoutDecision::Answer;
        }
        if self.parts >= self.min_parts && elapsed_us >= schedule.partial_response_us {
            return FanoutDecision::Answer;
        }
        if self.parts + self.open < self.min_parts || elapsed_us >= schedule.timeout_us {
            return FanoutDecision::GiveUp;
        }
        FanoutDecision::Wait
    }

    /// Returns how many further calls have to succeed for a response in time, which is by how much
    /// the shards that have replied or are on time fall short of the minimum.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::ShardCounts;
    /// let shard_counts = ShardCounts { parts: 33, open: 3, on_time: 1, min_parts: 35 };
    /// assert_eq!(shard_counts.retries_needed(), 1, "34 of 35 have replied or are on time");
    /// assert_eq!(ShardCounts { on_time: 2, ..shard_counts }.retries_needed(), 0);
    /// ```
    pub fn retries_needed(&self) -> usize {
        self.min_parts.saturating_sub(self.parts + self.on_time)
    }
}
