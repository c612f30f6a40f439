//! Admits a request, lets it wait for a place or refuses it, without I/O. Each group of shards, or the
//! service of a single-leaf route, has a concurrency limit for each of its priority levels.
//!
//! Limits exist only under pressure: they begin when answers are late, and end when for a second nobody
//! has waited or was refused. A less urgent level shrinks first, down to a floor that keeps it served.
//! After each reduction only requests that were admitted later count, so that the requests of one
//! congestion, which end over more than one call latency, don't shrink the limits several times.

use std::collections::HashMap;

use super::group::{Group, LimitChange};
use super::level::InService;
use super::level::Level;
use super::pressure::{LowestLatency, ReplyTimes};
use crate::ids::ServiceKey;

/// Interval between adjustments of the limits of a group. Several requests of a VM end within it, and a
/// burst is met within a few intervals.
const ADJUST_INTERVAL_US: u64 = 100_000;

/// Maximum number of requests of a group that wait. They hold their bodies in memory.
pub(super) const MAX_WAITING: usize = 64;

/// A request that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// First shard, or the service of a single-leaf route.
    pub group: ServiceKey,
    /// Number of more urgent priority levels in the configuration.
    pub rank: u32,
    /// Whether the caller comes back as it was told.
    pub is_returning: bool,
    /// Target latency of the route.
    pub target_us: u64,
    /// Time on the boot clock at which the answer is due.
    pub due_us: u64,
    /// Time on the boot clock.
    pub now_us: u64,
}

/// Place of a request, either in the queue or in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Number that no other request has.
    pub id: u64,
    group: ServiceKey,
    rank: u32,
}

/// What happens to a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request is sent to the leaves now.
    Admitted(Place),
    /// The request waits until its place is granted, or until a time on the boot clock.
    Waiting(Place, u64),
    /// No place gets free in time.
    Refused {
        /// Concurrency limit of the priority level.
        limit: f64,
        /// Pressure of the priority level and more urgent ones.
        pressure: f64,
    },
}

/// An admitted request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// Its place.
    pub place: Place,
    /// Name of its route.
    pub route: &'a str,
    /// Times at which its shards replied.
    pub times: ReplyTimes<'a>,
    /// Time on the boot clock.
    pub now_us: u64,
}

/// Limits on the concurrent requests of this VM.
#[derive(Debug, Default)]
pub struct AdmissionLimiter {
    groups: HashMap<ServiceKey, Group>,
    lowest: HashMap<Box<str>, LowestLatency>,
    next_id: u64,
    granted: Vec<u64>,
}

impl AdmissionLimiter {
    /// Decides on a request that arrives. Each place has to be released once with [`Self::release`].
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ServiceKey;
    /// use cloverrack::gateway::admission::{AdmissionDecision, AdmissionLimiter, AdmissionRequest};
    /// let mut limiter = AdmissionLimiter::default();
    /// let request = AdmissionRequest {
    ///     group: ServiceKey::new(0),
    ///     rank: 0,
    ///     is_returning: false,
    ///     target_us: 50_000,
    ///     due_us: 1_037_000,
    ///     now_us: 1_000_000,
    /// };
    /// assert!(matches!(limiter.arrive(request), AdmissionDecision::Admitted(_)));
    /// ```
    pub fn arrive(&mut self, request: AdmissionRequest) -> AdmissionDecision {
        let AdmissionRequest { rank, now_us, .. } = request;
        let place = Place {
            id: self.next_id,
            group: request.group,
            rank,
        };
        self.next_id += 1;
        let group = self.groups.entry(request.group).or_default();
        let level = group.levels.entry(rank).or_default();
        if level.has_place() {
            level.admit(place.id, InService::new(now_us, request.due_us));
            return AdmissionDecision::Admitted(place);
        }
        level.is_short = true;
        group.short_us = now_us;
        if !group.lets_wait(&request) {
            return AdmissionDecision::Refused {
                limit: group.limit(rank),
                pressure: group.pressure(rank),
            };
        }
        let wait_us = group.max_wait_us(&request);
        group.queue.push(rank, request.is_returning, place.id);
        group.waiting_due_us.insert(place.id, request.due_us);
        AdmissionDecision::Waiting(place, now_us + wait_us)
    }

    /// Returns the limit and the pressure with which a request would be refused if it arrived now, or `None` if
    /// it would get a place or wait for one.
    pub fn refusal(&self, request: &AdmissionRequest) -> Option<(f64, f64)> {
        let rank = request.rank;
        let group = self.groups.get(&request.group)?;
        let has_place = group.levels.get(&rank).is_none_or(Level::has_place);
        let is_refused = !has_place && !group.lets_wait(request);
        is_refused.then(|| (group.limit(rank), group.pressure(rank)))
    }

    /// Records the latency of a request that has ended. Its place is released separately.
    pub fn record_end(&mut self, ended: &EndedRequest<'_>) {
        let lowest = match self.lowest.get_mut(ended.route) {
            Some(lowest) => lowest,
            None => self.lowest.entry(ended.route.into()).or_default(),
        };
        let ratio = ended.times.ratio(lowest);
        let Some(group) = self.groups.get_mut(&ended.place.group) else {
            return;
        };
        let reduced_us = group.reduced_us;
        if let Some(level) = group.levels.get_mut(&ended.place.rank) {
            level.record_end(
                ended.place.id,
                ratio,
                ended.times.needed_us(),
                reduced_us,
                ended.now_us,
            );
        }
    }

    /// Releases the place of a request, which may still wait, and grants those that become free.
    pub fn release(&mut self, place: Place, now_us: u64) {
        let Some(group) = self.groups.get_mut(&place.group) else {
            return;
        };
        if group.waiting_due_us.remove(&place.id).is_some() {
            group.queue.remove(place.id);
        } else if let Some(level) = group.levels.get_mut(&place.rank) {
            level.release(place.id);
        }
        group.grant(now_us, &mut self.granted);
    }

    /// Adjusts the limits of a group if it is time. `slots` returns this VM's share of the slots of a
    /// shard.
    pub fn adjust(
        &mut self,
        group: ServiceKey,
        slots: impl FnOnce() -> u32,
        now_us: u64,
    ) -> Option<LimitChange> {
        let group = self.groups.get_mut(&group)?;
        let is_due = group.slots == 0.0 || now_us >= group.adjusted_us + ADJUST_INTERVAL_US;
        if is_due {
            group.adjusted_us = now_us;
            group.slots = f64::from(slots().max(1));
        } else if group.is_limited() {
            return None;
        }
        let change = group.adjust(now_us);
        if is_due {
            group.end_interval();
        }
        group.grant(now_us, &mut self.granted);
        change
    }

    /// Returns the IDs of waiting requests whose places were granted since the last call.
    pub fn take_granted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.granted)
    }

    /// Returns whether requests of a group are limited.
    pub fn is_limited(&self, group: ServiceKey) -> bool {
        let group = self.groups.get(&group);
        group.is_some_and(Group::is_limited)
    }

    /// Returns rank, limit and pressure of the priority levels of a group.
    pub fn levels(&self, group: ServiceKey) -> impl Iterator<Item = (u32, f64, f64)> {
        let levels = self.groups.get(&group).into_iter();
        let levels = levels.flat_map(|group| &group.levels);
        levels.map(|(rank, level)| (*rank, level.limit, level.pressure.ratio()))
    }

    /// Removes the limits and forgets the pressure, which did not tell of queues.
    pub fn forget_pressure(&mut self, now_us: u64) {
        for group in self.groups.values_mut() {
            group.unlimit();
            group.grant(now_us, &mut self.granted);
        }
    }
}
