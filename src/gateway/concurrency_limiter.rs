//! Which gathering requests are refused on arrival, since the leaves' queues are too long: pure
//! decisions.
//!
//! Answers the load in which callers ask for more than the slots of the leaves can serve. Without a
//! limit nearly every answer comes after its target then; with one, as many as the slots can serve
//! come in time, and the others know at once when to come back. The usual (median) leaf call of a
//! request is the signal: pauses, slow leaves and lost answers hit a part of the shards and hardly
//! move it, while queues move all.
//!
//! Callers that come back are not preferred: in a lasting overload they would take all places, and
//! each caller would be refused once.

use std::collections::HashMap;

use crate::ids::ServiceKey;

/// Part of the target latency that a usual call may take, as a divisor: the slowest of some tens of
/// queued calls takes about three times as long as the usual one.
const ACCEPTABLE_LATENCY_DIVISOR: f64 = 3.0;

/// Calls count as queued only above this multiple of the shortest usual call time, so that a route
/// whose work takes most of its target is not refused without any queue.
const QUEUED_FACTOR: f64 = 2.0;

/// Weight of a request in the smoothed pressure: some ten requests decide, about 200 ms of a VM's
/// load.
const PRESSURE_WEIGHT: f64 = 0.125;

/// Time between two changes of a limit: the queues have to show the effect of one first.
const ADJUST_INTERVAL_MS: u64 = 100;

/// Factor on the limit while the pressure is too high.
const REDUCE_FACTOR: f64 = 0.85;

/// Growth of a limit that is in use while the pressure is bearable, in requests and as a share.
const GROWTH: (f64, f64) = (1.0, 0.05);

/// Share of the limit that has to be in use for it to grow.
const IN_USE_SHARE: f64 = 0.8;

/// Share of the limit that routes may use for each step in which they are less urgent than others.
const PRIORITY_LEVEL_SHARE: f64 = 0.9;

/// Usual call time of one route.
#[derive(Clone, Copy, Debug)]
struct RouteLatency {
    smoothed_us: f64,
    least_us: f64,
}

/// Requests under way to one set of shards.
#[derive(Clone, Debug)]
struct Group {
    in_flight: u32,
    peak_in_flight: u32,
    limit: f64,
    pressure: f64,
    adjusted_ms: u64,
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

/// Limits on the gathering requests that this VM runs at a time, by their first shard.
#[derive(Debug, Default)]
pub struct ConcurrencyLimiter {
    groups: HashMap<ServiceKey, Group>,
    usual: HashMap<Box<str>, RouteLatency>,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Target latency of its route.
    pub target_us: u64,
    /// Time of its usual leaf call, those that had not ended included.
    pub median_call_us: u64,
    /// Time since the machine started.
    pub now_ms: u64,
}

impl ConcurrencyLimiter {
    /// Takes in a request to a set of shards, or refuses it; `rank` is the number of levels of more
    /// urgent routes. Each request that was taken in has to be released once.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ServiceKey;
    /// use cloverrack::gateway::{CompletedRequest, ConcurrencyLimiter};
    /// let shards = ServiceKey::new(0);
    /// let mut concurrency_limiter = ConcurrencyLimiter::default();
    /// let mut ended = CompletedRequest {
    ///     route: "sweep",
    ///     target_us: 150_000,
    ///     median_call_us: 20_000,
    ///     now_ms: 0,
    /// };
    /// concurrency_limiter.observe(shards, ended, || 1);
    /// assert!((0..40).all(|_| concurrency_limiter.admit(shards, 0)));
    /// for now_ms in 0..2_000 {
    ///     ended = CompletedRequest { median_call_us: 100_000, now_ms, ..ended };
    ///     concurrency_limiter.observe(shards, ended, || 1);
    /// }
    /// assert!(!concurrency_limiter.admit(shards, 0), "calls wait in long queues");
    /// ```
    pub fn admit(&mut self, group: ServiceKey, rank: u32) -> bool {
        let group = self.groups.entry(group).or_default();
        let share = PRIORITY_LEVEL_SHARE.powi(i32::try_from(rank).unwrap_or(i32::MAX));
        let limit = (group.limit * share).max(1.0);
        if f64::from(group.in_flight) >= limit {
            return false;
        }
        group.in_flight += 1;
        group.peak_in_flight = group.peak_in_flight.max(group.in_flight);
        true
    }

    /// Gives back the place of a request.
    pub fn release(&mut self, group: ServiceKey) {
        if let Some(group) = self.groups.get_mut(&group) {
            group.in_flight = group.in_flight.saturating_sub(1);
        }
    }

    /// Takes how long the leaf calls of a request took, and adjusts the limit of its shards, which never
    /// falls below what `least` returns: the requests that this VM's share of the slots serves at a time.
    ///
    /// The shards of a request do not end together, so that many requests leave some slots idle.
    pub fn observe(
        &mut self,
        group: ServiceKey,
        ended: CompletedRequest<'_>,
        least: impl FnOnce() -> u32,
    ) {
        let ratio = self.pressure_of(&ended);
        let group = self.groups.entry(group).or_default();
        group.pressure += (ratio - group.pressure) * PRESSURE_WEIGHT;
        if ended.now_ms < group.adjusted_ms + ADJUST_INTERVAL_MS {
            return;
        }
        group.adjusted_ms = ended.now_ms;
        let most = f64::from(group.peak_in_flight);
        group.peak_in_flight = group.in_flight;
        if group.pressure > 1.0 {
            let reduced = group.limit.min(most) * REDUCE_FACTOR;
            group.limit = reduced.max(f64::from(least().max(1)));
            return;
        }
        if most >= group.limit * IN_USE_SHARE {
            group.limit += GROWTH.0.max(group.limit * GROWTH.1);
        }
    }

    /// Returns the limit on requests at a time, and the pressure: the usual call time as a multiple of
    /// what is bearable.
    pub fn limit(&self, group: ServiceKey) -> (f64, f64) {
        let group = self.groups.get(&group);
        group.map_or((f64::INFINITY, 0.0), |group| (group.limit, group.pressure))
    }

    #[expect(clippy::cast_precision_loss)]
    fn pressure_of(&mut self, ended: &CompletedRequest<'_>) -> f64 {
        let call_us = ended.median_call_us as f64;
        let first = RouteLatency {
            smoothed_us: call_us,
            least_us: call_us,
        };
        let mut usual = self.usual.get(ended.route).copied().unwrap_or(first);
        usual.smoothed_us += (call_us - usual.smoothed_us) * PRESSURE_WEIGHT;
        usual.least_us = usual.least_us.min(usual.smoothed_us);
        match self.usual.get_mut(ended.route) {
            Some(held) => *held = usual,
            None => {
                self.usual.insert(ended.route.into(), usual);
            }
        }
        let acceptable_us = ended.target_us as f64 / ACCEPTABLE_LATENCY_DIVISOR;
        call_us / acceptable_us.max(usual.least_us * QUEUED_FACTOR).max(1.0)
    }
}
