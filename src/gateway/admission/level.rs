//! Requests of one priority level of a group, with their limit, without I/O.

use std::collections::HashMap;

use super::pressure::Pressure;

/// Factor by which a limit shrinks.
const SHRINK_FACTOR: f64 = 0.8;

/// Growth of a limit for each answer in time, divided by the limit: a limit in use grows by one place in
/// four times the time for which a request is in service, so that growth shows in the latency before the
/// next place is added.
const GROWTH_PER_ANSWER: f64 = 0.25;

/// Share of a limit that has to be in use for it to grow.
const IN_USE_SHARE: f64 = 0.8;

/// First limit of the most urgent level of a group, as a share of this VM's share of the slots. The shards
/// of a request don't finish together, so that fewer would leave slots idle.
const URGENT_SEED_SHARE: f64 = 2.0;

/// Floor of the limit of the most urgent level of a group and of others, as a share of this VM's share of
/// the slots. The former leaves some slots idle, since the shards of a request don't finish together.
const URGENT_FLOOR_SHARE: f64 = 1.0;
const OTHER_FLOOR_SHARE: f64 = 0.25;

/// Weight of a request in the moving averages of times.
const TIME_WEIGHT: f64 = 0.125;

/// A request that was admitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct InService {
    admitted_us: u64,
    due_us: u64,
    is_overdue: bool,
}

impl InService {
    pub(super) fn new(admitted_us: u64, due_us: u64) -> Self {
        Self {
            admitted_us,
            due_us,
            is_overdue: false,
        }
    }
}

/// One priority level of a group.
#[derive(Clone, Debug)]
pub(super) struct Level {
    pub(super) limit: f64,
    pub(super) pressure: Pressure,
    /// Whether the limit was reduced since it began.
    pub(super) is_seeded: bool,
    /// Whether a request had to wait or was refused in this interval.
    pub(super) is_short: bool,
    in_service: HashMap<u64, InService>,
    peak: usize,
    /// Answers that count in this interval.
    answers: u32,
    /// Moving averages of the time in service, and of the latency of the shards that an answer needs.
    service_us: f64,
    needed_us: f64,
}

impl Default for Level {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            pressure: Pressure::default(),
            is_seeded: false,
            is_short: false,
            in_service: HashMap::new(),
            peak: 0,
            answers: 0,
            service_us: 0.0,
            needed_us: 0.0,
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times and counts are far below the precision of f64"
)]
impl Level {
    pub(super) fn in_service(&self) -> usize {
        self.in_service.len()
    }

    pub(super) fn has_place(&self) -> bool {
        self.in_service.len() as f64 + 1.0 <= self.limit.max(1.0)
    }

    pub(super) fn admit(&mut self, id: u64, request: InService) {
        self.in_service.insert(id, request);
        self.peak = self.peak.max(self.in_service.len());
    }

    pub(super) fn release(&mut self, id: u64) {
        self.in_service.remove(&id);
    }

    /// Records the end of a request. It tells of the pressure unless it was admitted before the last
    /// reduction or was already found to be overdue.
    pub(super) fn record_end(
        &mut self,
        id: u64,
        ratio: f64,
        needed_us: u64,
        reduced_us: u64,
        now_us: u64,
    ) {
        let Some(request) = self.in_service.get(&id) else {
            return;
        };
        let service_us = now_us.saturating_sub(request.admitted_us) as f64;
        self.service_us = average(self.service_us, service_us);
        self.needed_us = average(self.needed_us, needed_us as f64);
        if request.admitted_us >= reduced_us && !request.is_overdue {
            self.pressure.record(ratio);
            self.answers += 1;
        }
    }

    /// Records the requests whose answers have become overdue: they may end long after.
    pub(super) fn record_overdue(&mut self, reduced_us: u64, now_us: u64) {
        for request in self.in_service.values_mut() {
            if request.is_overdue || request.due_us > now_us {
                continue;
            }
            request.is_overdue = true;
            if request.admitted_us >= reduced_us {
                self.pressure.record_overdue();
            }
        }
    }

    /// Returns the latency of the shards that an answer needs.
    pub(super) fn needed_us(&self) -> u64 {
        self.needed_us as u64
    }

    /// Returns the time until a place gets free for a request with some others before it.
    pub(super) fn expected_wait_us(&self, ahead: usize) -> u64 {
        let places = self.limit.max(1.0).floor();
        (self.service_us * (ahead as f64 + 0.5) / places) as u64
    }

    /// Begins the limit at a share of the requests in service.
    pub(super) fn hold(&mut self, slots: f64, share: f64) {
        self.limit = slots.max(self.in_service.len() as f64 * share);
    }

    /// Begins the limit at what this VM's share of the slots serves without queues, or at the floor if a
    /// more urgent level is late.
    pub(super) fn seed(&mut self, position: usize, yields: bool, slots: f64) {
        let floor = floor(position, slots);
        let share = if position == 0 {
            URGENT_SEED_SHARE
        } else {
            1.0
        };
        self.limit = if yields {
            floor
        } else {
            (slots * share).max(floor)
        };
        self.is_seeded = true;
    }

    /// Shrinks the limit, unless it is at its floor or nothing of the level is in service.
    pub(super) fn shrink(&mut self, position: usize, slots: f64) -> bool {
        let floor = floor(position, slots);
        if self.limit <= floor || self.peak == 0 {
            return false;
        }
        self.limit = (self.limit.min(self.peak as f64) * SHRINK_FACTOR).max(floor);
        true
    }

    /// Lets a limit that is in use grow.
    pub(super) fn grow(&mut self) {
        let is_in_use = self.is_short || self.peak as f64 >= self.limit * IN_USE_SHARE;
        if is_in_use && self.limit.is_finite() {
            self.limit += GROWTH_PER_ANSWER * f64::from(self.answers) / self.limit;
        }
    }

    /// Ends the limit and forgets the pressure.
    pub(super) fn unlimit(&mut self) {
        self.limit = f64::INFINITY;
        self.is_seeded = false;
        self.pressure = Pressure::default();
    }

    /// Begins another interval.
    pub(super) fn end_interval(&mut self) {
        self.pressure.end_interval();
        self.is_short = false;
        self.answers = 0;
        self.peak = self.in_service.len();
    }
}

/// Returns the least limit of the level at a position among the levels of its group.
fn floor(position: usize, slots: f64) -> f64 {
    let share = if position == 0 {
        URGENT_FLOOR_SHARE
    } else {
        OTHER_FLOOR_SHARE
    };
    (slots * share).max(1.0)
}

fn average(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * TIME_WEIGHT
}
