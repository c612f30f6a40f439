//! Admits requests at the root, or refuses them before they cost a slot.
//!
//! The limit on a service's concurrent requests follows the slots of its leaves, the measured
//! duration of requests and the queues for slots. Members share it fairly. When a service is
//! congested, the limit falls by a factor; afterwards it grows by one request per round. The module
//! is pure: it does no I/O and reads no clock.

use std::collections::HashMap;

use crate::answer::Reason;

/// Maximum number of concurrent requests on one VM over all services; bounds memory.
const MAX_IN_FLIGHT: usize = 2_000;

/// Fraction of the deadline that a request may take before its service counts as congested, as a
/// divisor. Half of the deadline is left for the queues that grow before the limit reacts.
const CONGESTION_DEADLINE_DIVISOR: u64 = 2;

/// Minimum interval between two decreases of a limit: each has to take effect before the next.
const MIN_DECREASE_INTERVAL_MS: u64 = 100;

/// Multiplicative decrease of the limit of a congested service.
const DECREASE_FACTOR: f64 = 0.9;

/// Lower bound of a limit, as a multiple of the requests that this VM's share of the slots executes
/// concurrently.
const MIN_LIMIT_FACTOR: f64 = 1.0;

/// Time after its last request for which a member gets a fair share of the limit.
const MEMBER_ACTIVE_MS: u64 = 1_000;

/// Bounds of the time after which a refused caller should retry.
const RETRY_AFTER_BOUNDS_MS: (u64, u64) = (20, 5_000);

/// Bounds of the maximum limit, as a multiple of the requests that all slots execute concurrently.
/// Below two, some slots would be idle, since the calls of a request don't end at the same time.
const MIN_ROUNDS: f64 = 2.0;
const MAX_ROUNDS: f64 = 16.0;

/// Weight of a sample above the average in the moving average of a service's request duration.
const ABOVE_AVERAGE_WEIGHT: f64 = 0.05;

/// Weight of a sample below the average; larger, so that a few slow requests don't make the
/// service refuse all others.
const BELOW_AVERAGE_WEIGHT: f64 = 0.25;

/// Capacity of a service's leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Slots of all live leaves.
    pub slots: usize,
    /// Calls that one request makes.
    pub shards: usize,
    /// Live VMs that share the slots.
    pub vms: usize,
}

/// Refusal of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after_ms: u64,
}

/// Concurrent requests of one member to one service.
#[derive(Clone, Copy, Debug, Default)]
struct MemberUsage {
    in_flight: usize,
    last_seen_ms: u64,
}

/// Concurrency limit of one service and the measurements that set it.
#[derive(Debug)]
struct ServiceAdmission {
    /// Limit as a fraction of the maximum limit; stored as a fraction because the capacity changes.
    limit_ratio: f64,
    max_limit: f64,
    limit: f64,
    in_flight: usize,
    average_duration_ms: f64,
    last_decrease_ms: u64,
    /// Whether the limit was never decreased and may still double with each round of requests.
    slow_start: bool,
    recent_refusals: u64,
    members: HashMap<Box<str>, MemberUsage>,
}

impl Default for ServiceAdmission {
    fn default() -> Self {
        Self {
            limit_ratio: 1.0,
            max_limit: 1.0,
            limit: 1.0,
            in_flight: 0,
            average_duration_ms: 0.0,
            last_decrease_ms: 0,
            slow_start: true,
            recent_refusals: 0,
            members: HashMap::new(),
        }
    }
}

impl ServiceAdmission {
    /// Updates the limit for the current capacity and returns it.
    fn update_limit(&mut self, capacity: ServiceCapacity, deadline_ms: u64) -> usize {
        self.max_limit = compute_max_limit(capacity, deadline_ms as f64, self.average_duration_ms);
        self.limit = (self.max_limit * self.limit_ratio).max(min_limit(capacity));
        self.limit as usize
    }

    /// Removes inactive members and returns the maximum number of concurrent requests of each
    /// remaining one.
    fn fair_share(&mut self, limit: usize, now_ms: u64) -> usize {
        self.members
            .retain(|_, m| m.in_flight > 0 || m.last_seen_ms + MEMBER_ACTIVE_MS > now_ms);
        limit.div_ceil(self.members.len().max(1))
    }

    /// Returns the time in which the requests in flight and those refused recently could be served.
    fn retry_after_ms(&self) -> u64 {
        let waiting = self.recent_refusals as f64 / self.limit.max(1.0);
        let wait_ms = self.average_duration_ms * (1.0 + waiting);
        (wait_ms as u64).clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1)
    }
}

/// Limits and counts of requests in flight, by service and member.
#[derive(Debug, Default)]
pub struct Admission {
    total: usize,
    services: HashMap<Box<str>, ServiceAdmission>,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Full name of the service.
    pub service: &'a str,
    /// Member on whose behalf the caller sends the request.
    pub member: &'a str,
    /// Time allowed for the answer.
    pub deadline_ms: u64,
    /// Current time since boot.
    pub now_ms: u64,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct Departure<'a> {
    /// Full name of the service.
    pub service: &'a str,
    /// Time allowed for the answer.
    pub deadline_ms: u64,
    /// Time that the request took.
    pub elapsed_ms: u64,
    /// Whether a call was shed or waited too long for a slot.
    pub starved: bool,
    /// Current time since boot.
    pub now_ms: u64,
}

impl Admission {
    /// Admits a request, or refuses it before it costs a slot.
    ///
    /// # Errors
    ///
    /// Fails with `Overloaded` if the VM or the service is at its limit, the member uses its fair
    /// share, or the request is not expected to end by its deadline.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::admission::{Admission, Arrival, ServiceCapacity};
    /// let mut admission = Admission::default();
    /// let capacity = ServiceCapacity { slots: 90, shards: 10, vms: 8 };
    /// let arrival = Arrival { service: "a/b", member: "library", deadline_ms: 100, now_ms: 0 };
    /// assert!(admission.admit(arrival, capacity).is_ok());
    /// admission.release("a/b", "library");
    /// ```
    pub fn admit(
        &mut self,
        arrival: Arrival<'_>,
        capacity: ServiceCapacity,
    ) -> Result<(), Refusal> {
        let full = self.total >= MAX_IN_FLIGHT;
        if !self.services.contains_key(arrival.service) {
            let state = ServiceAdmission {
                limit_ratio: 1.0 / capacity.vms.max(1) as f64,
                ..ServiceAdmission::default()
            };
            self.services.insert(arrival.service.into(), state);
        }
        let Some(state) = self.services.get_mut(arrival.service) else {
            return Ok(());
        };
        let limit = state.update_limit(capacity, arrival.deadline_ms);
        let member = state.members.entry(arrival.member.into()).or_default();
        member.last_seen_ms = arrival.now_ms;
        let member_in_flight = member.in_flight;
        let share = state.fair_share(limit, arrival.now_ms);
        // One request is always admitted, so that the measured duration can fall again.
        let late = state.in_flight > 0 && state.average_duration_ms > arrival.deadline_ms as f64;
        if full || late || state.in_flight >= limit || member_in_flight >= share {
            state.recent_refusals += 1;
            return Err(Refusal {
                reason: Reason::Overloaded,
                retry_after_ms: state.retry_after_ms(),
            });
        }
        if let Some(member) = state.members.get_mut(arrival.member) {
            member.in_flight += 1;
        }
        state.in_flight += 1;
        self.total += 1;
        Ok(())
    }

    /// Adjusts the limit of a service after one of its requests ended.
    pub fn record_completion(&mut self, departure: Departure<'_>) {
        let Some(state) = self.services.get_mut(departure.service) else {
            return;
        };
        let elapsed_ms = departure.elapsed_ms as f64;
        if state.average_duration_ms == 0.0 {
            state.average_duration_ms = elapsed_ms.max(1.0);
        }
        let longer = elapsed_ms > state.average_duration_ms;
        let weight = if longer {
            ABOVE_AVERAGE_WEIGHT
        } else {
            BELOW_AVERAGE_WEIGHT
        };
        state.average_duration_ms += (elapsed_ms - state.average_duration_ms) * weight;
        state.recent_refusals -= state.recent_refusals.div_ceil(8).min(state.recent_refusals);
        let late = departure.elapsed_ms * CONGESTION_DEADLINE_DIVISOR > departure.deadline_ms;
        if !late && !departure.starved {
            // After slow start, the limit grows by one for each round of requests. It grows only
            // while at least half of it is in use.
            if state.in_flight as f64 * 2.0 >= state.limit {
                let requests_per_step = if state.slow_start { 1.0 } else { state.limit };
                let step = 1.0 / requests_per_step / state.max_limit;
                state.limit_ratio = (state.limit_ratio + step).min(1.0);
            }
            return;
        }
        if departure.now_ms >= state.last_decrease_ms + MIN_DECREASE_INTERVAL_MS {
            state.last_decrease_ms = departure.now_ms;
            state.slow_start = false;
            state.limit_ratio = state.limit / state.max_limit * DECREASE_FACTOR;
        }
    }

    /// Releases the admission of a request that ended.
    pub fn release(&mut self, service: &str, member: &str) {
        self.total = self.total.saturating_sub(1);
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(member) = state.members.get_mut(member) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.total
    }
}

/// Returns the minimum limit: the requests whose calls this VM's share of the slots executes
/// concurrently; at least one.
fn min_limit(capacity: ServiceCapacity) -> f64 {
    let share = capacity.slots as f64 / capacity.vms.max(1) as f64;
    (share * MIN_LIMIT_FACTOR / capacity.shards.max(1) as f64).max(1.0)
}

/// Returns the maximum limit: the requests that all slots could serve in half of the deadline, for
/// a VM that gets all the load.
///
/// The measured duration includes the wait for slots, so the limit falls as queues grow.
fn compute_max_limit(capacity: ServiceCapacity, deadline_ms: f64, average_duration_ms: f64) -> f64 {
    let concurrent_requests = capacity.slots as f64 / capacity.shards.max(1) as f64;
    let rounds = match average_duration_ms {
        0.0 => MIN_ROUNDS,
        measured => (deadline_ms / 2.0 / measured).clamp(MIN_ROUNDS, MAX_ROUNDS),
    };
    (concurrent_requests * rounds).max(min_limit(capacity))
}
