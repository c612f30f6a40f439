//! Compares the latency of a request with the time that it had, without I/O.

/// Share of the shards whose replies tell whether calls queue at most leaves, in percent. A few slow or
/// paused leaves delay the others.
const EARLY_SHARDS_PERCENT: usize = 80;

/// Share of the time until an answer is due within which the early shards have to reply: the slowest of
/// some tens of queued calls takes longer than most.
const EARLY_TIME_SHARE: f64 = 0.6;

/// Multiple of a route's lowest latency above which calls count as queued. A route whose work takes most
/// of its time is not under pressure while nothing queues.
const QUEUED_FACTOR: f64 = 2.0;

/// Greatest ratio that counts, which is also that of a request that failed because leaves were full. It
/// bounds the time until the smoothed ratio falls after the last late answer.
const MAX_RATIO: f64 = 2.0;

/// Weight of a request in the smoothed ratio. Some ten requests have to be late for it to rise above 1
/// from that of a normal load, so a pause of leaves that two or three requests meet doesn't suffice.
const REQUEST_WEIGHT: f64 = 0.125;

/// Factor on the pressure of a level for each interval in which no request of it has ended: old latencies
/// tell little of the present queues.
const IDLE_FACTOR: f64 = 0.9;

/// Times at which the shards of a request replied, since it was sent to them.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTimes<'a> {
    /// Time of each reply, in ascending order.
    pub replied_us: &'a [u64],
    /// Number of shards.
    pub shards: usize,
    /// Minimum number of shards in an answer.
    pub min_parts: usize,
    /// Time at which the request ended.
    pub ended_us: u64,
    /// Time within which the answer was due.
    pub due_us: u64,
    /// Whether the request failed because leaves were full or took too long.
    pub is_overloaded: bool,
}

/// Lowest latencies of a route: of its early shards, and of the shards that an answer needs.
#[derive(Clone, Copy, Debug)]
pub struct LowestLatency {
    early_us: f64,
    needed_us: f64,
}

impl Default for LowestLatency {
    fn default() -> Self {
        Self {
            early_us: f64::INFINITY,
            needed_us: f64::INFINITY,
        }
    }
}

impl ReplyTimes<'_> {
    /// Returns the time at which the last shard that the answer needs replied.
    pub fn needed_us(&self) -> u64 {
        self.nth_us(self.min_parts.max(1))
    }

    /// Returns the time of the early replies, if the request has enough shards for these to differ from
    /// those that the answer needs.
    fn early_us(&self) -> Option<u64> {
        let early = (self.shards * EARLY_SHARDS_PERCENT / 100).min(self.min_parts);
        (early > 0).then(|| self.nth_us(early))
    }

    fn nth_us(&self, count: usize) -> u64 {
        let replied_us = self.replied_us.get(count - 1).copied();
        replied_us.unwrap_or(self.ended_us)
    }

    /// Returns the larger ratio of the latency of the request to the acceptable one, and updates the
    /// lowest latency of its route.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::admission::ReplyTimes;
    /// use cloverrack::gateway::admission::pressure::LowestLatency;
    /// let mut lowest = LowestLatency::default();
    /// let times = ReplyTimes {
    ///     replied_us: &[4_000, 5_000, 9_000],
    ///     shards: 3,
    ///     min_parts: 3,
    ///     ended_us: 9_000,
    ///     due_us: 90_000,
    ///     is_overloaded: false,
    /// };
    /// assert!(times.ratio(&mut lowest) < 0.2);
    /// let queued = ReplyTimes { replied_us: &[80_000, 95_000, 99_000], ..times };
    /// assert!(queued.ratio(&mut lowest) > 1.0);
    /// ```
    #[expect(clippy::cast_precision_loss)]
    pub fn ratio(&self, lowest: &mut LowestLatency) -> f64 {
        if self.is_overloaded {
            return MAX_RATIO;
        }
        let due_us = self.due_us as f64;
        let needed_us = self.needed_us() as f64;
        lowest.needed_us = lowest.needed_us.min(needed_us);
        let mut ratio = needed_us / acceptable_us(due_us, lowest.needed_us);
        if let Some(early_us) = self.early_us() {
            let early_us = early_us as f64;
            lowest.early_us = lowest.early_us.min(early_us);
            let acceptable_us = acceptable_us(due_us * EARLY_TIME_SHARE, lowest.early_us);
            ratio = ratio.max(early_us / acceptable_us);
        }
        ratio.min(MAX_RATIO)
    }
}

fn acceptable_us(available_us: f64, lowest_us: f64) -> f64 {
    available_us.max(lowest_us * QUEUED_FACTOR).max(1.0)
}

/// Smoothed ratio of the latency of requests to the acceptable one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    ratio: f64,
    has_sample: bool,
}

impl Pressure {
    /// Returns the smoothed ratio; above 1, requests are late.
    pub fn ratio(self) -> f64 {
        self.ratio
    }

    /// Records the ratio of a request.
    pub fn record(&mut self, ratio: f64) {
        self.ratio += (ratio - self.ratio) * REQUEST_WEIGHT;
        self.has_sample = true;
    }

    /// Records a request whose answer is overdue.
    pub fn record_overdue(&mut self) {
        self.record(MAX_RATIO);
    }

    /// Counts the lateness as answered by a reduction of the limits.
    pub fn use_up(&mut self) {
        self.ratio = self.ratio.min(1.0);
    }

    /// Ends an interval.
    pub fn end_interval(&mut self) {
        if !self.has_sample {
            self.ratio *= IDLE_FACTOR;
        }
        self.has_sample = false;
    }
}
