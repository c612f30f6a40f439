//! When a gathering sends a second call and when it answers: pure decisions on elapsed time.
//!
//! Answers the load in which every query touches many shards and a few leaves pause or are slow: the
//! scarce second calls go where they still change the answer, and an answer with enough shards
//! leaves before its target latency.

/// Time kept free before the target latency: the way back to the caller, the merge and the caller's
/// own connection set-up.
const ANSWER_MARGIN_US: u64 = 16_000;

/// Margin of routes whose target is so short that the usual one would take most of it, as a divisor
/// of the target.
const ANSWER_MARGIN_DIVISOR: u64 = 4;

/// Deviations above the mean that a second call is given to answer.
const HEDGE_DEVIATIONS: u64 = 2;

/// Time that a second call needs beside the leaf's work: the way there and back.
const HEDGE_NETWORK_US: u64 = 2_500;

/// Shortest time before a second call, in mean latencies.
const HEDGE_EARLIEST_MEANS: u64 = 2;

/// Share of the target latency after which a request for one leaf gets a second call.
const SINGLE_HEDGE_PERCENT: u64 = 55;

/// Weight of a new sample in the mean and the deviation is 1 / 2^`SAMPLE_SHIFT`.
const SAMPLE_SHIFT: u32 = 5;

/// Mean latency assumed before the first sample, as a divisor of the target latency.
const INITIAL_DIVISOR: u64 = 5;

/// Mean and mean deviation of the latency of one route's leaf calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLatency {
    mean_us: u64,
    deviation_us: u64,
}

impl CallLatency {
    /// Starts with a guess from the route's target latency.
    pub fn new(target_us: u64) -> Self {
        Self {
            mean_us: target_us / INITIAL_DIVISOR,
            deviation_us: target_us / INITIAL_DIVISOR / 2,
        }
    }

    /// Takes the latency of a call, cut at four means so that a pause does not drown the rest.
    pub fn record(&mut self, latency_us: u64) {
        let latency_us = latency_us.min(self.mean_us.saturating_mul(4).max(1_000));
        let off_us = latency_us.abs_diff(self.mean_us);
        self.mean_us = ewma(self.mean_us, latency_us);
        self.deviation_us = ewma(self.deviation_us, off_us);
    }

    /// Returns the time in which a further call most probably answers.
    fn expected_hedge_us(self) -> u64 {
        self.mean_us + HEDGE_DEVIATIONS * self.deviation_us + HEDGE_NETWORK_US
    }
}

fn ewma(old: u64, new: u64) -> u64 {
    old - (old >> SAMPLE_SHIFT) + (new >> SAMPLE_SHIFT)
}

/// Times of one request, in microseconds since it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSchedule {
    /// When an answer with enough shards leaves although others are missing.
    pub partial_us: u64,
    /// Age of a call from which its shard gets a second one.
    pub hedge_us: u64,
    /// When the request ends at the latest.
    pub end_us: u64,
}

impl FanoutSchedule {
    /// Plans a request that gathers records of many shards.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{CallLatency, FanoutSchedule};
    /// let times = CallLatency::new(150_000);
    /// let schedule = FanoutSchedule::gather(150_000, 1_500_000, times);
    /// assert!(schedule.hedge_us < schedule.partial_us);
    /// assert!(schedule.partial_us < 150_000);
    /// ```
    pub fn gather(target_us: u64, end_us: u64, times: CallLatency) -> Self {
        let margin_us = ANSWER_MARGIN_US.min(target_us / ANSWER_MARGIN_DIVISOR);
        let partial_us = target_us.saturating_sub(margin_us).min(end_us);
        let latest_us = partial_us.saturating_sub(times.expected_hedge_us());
        let earliest_us = HEDGE_EARLIEST_MEANS * times.mean_us;
        Self {
            partial_us,
            hedge_us: latest_us.max(earliest_us),
            end_us,
        }
    }

    /// Plans a request to one leaf.
    pub fn single(target_us: u64, end_us: u64) -> Self {
        Self {
            partial_us: end_us,
            hedge_us: target_us * SINGLE_HEDGE_PERCENT / 100,
            end_us,
        }
    }
}

/// Shards of a request by what has become of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardCounts {
    /// Shards that answered.
    pub parts: usize,
    /// Shards whose answer may still come.
    pub open: usize,
    /// Those of them with a call under way that is not late.
    pub on_time: usize,
    /// Fewest shards in an answer.
    pub min_parts: usize,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutDecision {
    /// Answers with the parts that are there.
    Answer,
    /// Gives up: too few parts can still come.
    GiveUp,
    /// Waits for parts.
    Wait,
}

impl ShardCounts {
    /// Decides at a time since the request arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{FanoutSchedule, FanoutDecision, ShardCounts};
    /// let schedule = FanoutSchedule { partial_us: 140, hedge_us: 90, end_us: 1_500 };
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
        if self.parts + self.open < self.min_parts || elapsed_us >= schedule.end_us {
            return FanoutDecision::GiveUp;
        }
        if self.parts >= self.min_parts && elapsed_us >= schedule.partial_us {
            return FanoutDecision::Answer;
        }
        FanoutDecision::Wait
    }

    /// Returns how many further calls have to succeed for an answer in time: the shards that answered and
    /// those that answer soon are too few.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::ShardCounts;
    /// let shard_counts = ShardCounts { parts: 33, open: 3, on_time: 1, min_parts: 35 };
    /// assert_eq!(shard_counts.retries_needed(), 1, "34 of 35 are in sight");
    /// assert_eq!(ShardCounts { on_time: 2, ..shard_counts }.retries_needed(), 0);
    /// ```
    pub fn retries_needed(&self) -> usize {
        self.min_parts.saturating_sub(self.parts + self.on_time)
    }
}
