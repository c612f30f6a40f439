//! Admits a scatter-gather request, or rejects it on arrival if the leaves' queues are too long.
//! Pure decision logic without I/O.
//!
//! Handles the overload in which callers send more requests than the slots of the leaves can serve.
//! Without a limit, nearly every answer then misses its target latency. With one, as many requests
//! as the slots can serve are answered in time, and the others are rejected at once with a retry
//! time. The signal is the median latency of a request's leaf calls: pauses, slow leaves and lost
//! replies affect some of the shards and hardly change the median, while queueing delays the calls
//! to all shards and raises it.
//!
//! Retried requests get no priority: in a lasting overload they would take all permits, and each
//! caller would be rejected once.

use std::collections::HashMap;

use crate::ids::ServiceKey;

/// Fraction of the target latency that the median call may take, as a divisor: the slowest of some
/// tens of queued calls takes about three times as long as the median.
const ACCEPTABLE_LATENCY_DIVISOR: f64 = 3.0;

/// Multiple of a route's lowest smoothed call latency above which calls count as queued, so that a
/// route whose work takes most of its target latency is not rejected without any queue.
const QUEUED_FACTOR: f64 = 2.0;

/// Weight of one request in the moving averages: they span some ten requests, about 200 ms of a
/// VM's load.
const PRESSURE_WEIGHT: f64 = 0.125;

/// Minimum time between two adjustments of a limit: queue lengths have to reflect the last one
/// first.
const ADJUST_INTERVAL_MS: u64 = 100;

/// Factor by which the limit is reduced while the pressure exceeds 1.
const REDUCE_FACTOR: f64 = 0.85;

/// Growth of a limit that is in use while the pressure is at most 1: the larger of a number of
/// requests and a fraction of the limit.
const LIMIT_GROWTH: (f64, f64) = (1.0, 0.05);

/// Fraction of the limit that has to be in use for it to grow.
const IN_USE_SHARE: f64 = 0.8;

/// Factor on the limit of a route for each more urgent priority level.
const PRIORITY_LEVEL_SHARE: f64 = 0.9;

/// Moving average of the median call latency of one route, and its minimum.
#[derive(Clone, Copy, Debug)]
struct RouteLatency {
    smoothed_us: f64,
    min_us: f64,
}

/// Concurrency limit of one set of shards.
#[derive(Clone, Debug)]
struct Group {
    in_flight: u32,
    peak_in_flight: u32,
    limit: f64,
    pressure: f64,
    adjusted_ms: u64,
}

impl Group {
    /// Returns whether a further request with `rank` more urgent priority levels is within the limit.
    fn has_room(&self, rank: u32) -> bool {
        let share = PRIORITY_LEVEL_SHARE.powi(i32::try_from(rank).unwrap_or(i32::MAX));
        let limit = (self.limit * share).max(1.0);
        f64::from(self.in_flight) < limit
    }
}

impl Default for Group {
    fn default() -> Self {
        Self {
            in_flight: 0,
            peak_in_flight: 0,
            limit: f64::INFINITY,
            pressure: 0.0,
            adjusted_ms: 0,
        }
    }
}

/// Limits on concurrent scatter-gather requests of this VM, by the first shard of the request.
#[derive(Debug, Default)]
pub struct ConcurrencyLimiter {
    groups: HashMap<ServiceKey, Group>,
    route_latency: HashMap<Box<str>, RouteLatency>,
}

/// Latency of a completed request.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Target latency of the route.
    pub target_us: u64,
    /// Median latency of its leaf calls, including those still open.
    pub median_call_us: u64,
    /// Time since the machine started.
    pub now_ms: u64,
}

impl ConcurrencyLimiter {
    /// Admits a request to a set of shards, or rejects it. `rank` is the number of more urgent
    /// priority levels. Each admitted request has to be released once.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ServiceKey;
    /// use cloverrack::gateway::{CompletedRequest, ConcurrencyLimiter};
    /// let shards = ServiceKey::new(0);
    /// let mut concurrency_limiter = ConcurrencyLimiter::default();
    /// let mut completed = CompletedRequest {
    ///     route: "sweep",
    ///     target_us: 150_000,
    ///     median_call_us: 20_000,
    ///     now_ms: 0,
    /// };
    /// concurrency_limiter.observe(shards, completed, || 1);
    /// assert!((0..40).all(|_| concurrency_limiter.admit(shards, 0)));
    /// for now_ms in 0..2_000 {
    ///     completed = CompletedRequest { median_call_us: 100_000, now_ms, ..completed };
    ///     concurrency_limiter.observe(shards, completed, || 1);
    /// }
    /// assert!(!concurrency_limiter.admit(shards, 0), "calls wait in long queues");
    /// ```
    pub fn admit(&mut self, group: ServiceKey, rank: u32) -> bool {
        let group = self.groups.entry(group).or_default();
        if !group.has_room(rank) {
            return false;
        }
        group.in_flight += 1;
        group.peak_in_flight = group.peak_in_flight.max(group.in_flight);
        true
    }

    /// Returns whether a request would be admitted now.
    pub fn would_admit(&self, group: ServiceKey, rank: u32) -> bool {
        let group = self.groups.get(&group);
        group.is_none_or(|group| group.has_room(rank))
    }

    /// Releases the permit of an admitted request.
    pub fn release(&mut self, group: ServiceKey) {
        if let Some(group) = self.groups.get_mut(&group) {
            group.in_flight = group.in_flight.saturating_sub(1);
        }
    }

    /// Records the call latency of a completed request and adjusts the limit of its shards.
    ///
    /// The limit never falls below what `min_limit` returns: the number of requests that this VM's
    /// share of the slots serves at a time. The shards of a request do not finish together, so that
    /// this many requests leave some slots idle.
    pub fn observe(
        &mut self,
        group: ServiceKey,
        completed: CompletedRequest<'_>,
        min_limit: impl FnOnce() -> u32,
    ) {
        let ratio = self.latency_ratio(&completed);
        let group = self.groups.entry(group).or_default();
        group.pressure += (ratio - group.pressure) * PRESSURE_WEIGHT;
        if completed.now_ms < group.adjusted_ms + ADJUST_INTERVAL_MS {
            return;
        }
        group.adjusted_ms = completed.now_ms;
        let peak = f64::from(group.peak_in_flight);
        group.peak_in_flight = group.in_flight;
        if group.pressure > 1.0 {
            let reduced = group.limit.min(peak) * REDUCE_FACTOR;
            group.limit = reduced.max(f64::from(min_limit().max(1)));
            return;
        }
        if peak >= group.limit * IN_USE_SHARE {
            group.limit += LIMIT_GROWTH.0.max(group.limit * LIMIT_GROWTH.1);
        }
    }

    /// Removes the limits and forgets the pressure, which did not tell of queues.
    pub fn forget_pressure(&mut self) {
        for group in self.groups.values_mut() {
            group.limit = f64::INFINITY;
            group.pressure = 0.0;
        }
    }

    /// Returns whether a group is under pressure and uses its limit, so that further calls only lengthen the
    /// queues of the leaves.
    pub fn is_saturated(&self, group: ServiceKey) -> bool {
        self.groups.get(&group).is_some_and(|group| {
            let in_flight = f64::from(group.in_flight);
            group.pressure > 1.0 && in_flight >= group.limit * IN_USE_SHARE
        })
    }

    /// Returns the limit on concurrent requests, and the pressure: the smoothed ratio of the median
    /// call latency to the acceptable one.
    pub fn limit_and_pressure(&self, group: ServiceKey) -> (f64, f64) {
        let group = self.groups.get(&group);
        group.map_or((f64::INFINITY, 0.0), |group| (group.limit, group.pressure))
    }

    /// Updates the latency of the route, and returns the ratio of the median call latency of the
    /// request to the acceptable one.
    #[expect(clippy::cast_precision_loss)]
    fn latency_ratio(&mut self, completed: &CompletedRequest<'_>) -> f64 {
        let call_us = completed.median_call_us as f64;
        let initial = RouteLatency {
            smoothed_us: call_us,
            min_us: call_us,
        };
        let mut latency = self
            .route_latency
            .get(completed.route)
            .copied()
            .unwrap_or(initial);
        latency.smoothed_us += (call_us - latency.smoothed_us) * PRESSURE_WEIGHT;
        latency.min_us = latency.min_us.min(latency.smoothed_us);
        match self.route_latency.get_mut(completed.route) {
            Some(entry) => *entry = latency,
            None => {
                self.route_latency.insert(completed.route.into(), latency);
            }
        }
        let acceptable_us = completed.target_us as f64 / ACCEPTABLE_LATENCY_DIVISOR;
        call_us / acceptable_us.max(latency.min_us * QUEUED_FACTOR).max(1.0)
    }
}
