//! Requests and limits of one group of shards, or of the service of a single-leaf route, without I/O.

use std::collections::{BTreeMap, HashMap};

use super::level::{InService, Level};
use super::limiter::{AdmissionRequest, MAX_WAITING};
use super::queue::WaitQueue;

/// Requests in service per slot of this VM's share from which less urgent levels are held at a share of
/// theirs, before any answer is late. A request whose answer waits for one slow or paused leaf holds no slots at
/// the other shards: with fewer in service, answers are late because of such leaves, which limits don't help.
const HELD_CROWD_PER_SLOT: f64 = 4.0;

/// Requests in service per slot from which late answers reduce limits at once.
const LATE_CROWD_PER_SLOT: f64 = 6.0;

/// Share of the requests in service at which the limit of a less urgent level begins then. The queues that
/// have formed before the first late answers delay urgent requests for some hundred milliseconds.
const HELD_SHARE: f64 = 0.5;

/// Pressure below which limits grow. The distance to 1 keeps six VMs that adjust at the same time from
/// overshooting, and answers of the usual spread in time.
const GROWTH_PRESSURE: f64 = 0.8;

/// Time without waiting or refused requests after which the limits of a group end.
const CALM_US: u64 = 1_000_000;

/// Part of the target latency that a first try and a caller that came back may wait for a place, as
/// divisors.
const FIRST_WAIT_DIVISOR: u64 = 4;
const RETURNING_WAIT_DIVISOR: u64 = 2;

/// Change of the limits of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The group is under pressure: its limits begin.
    Began,
    /// The limits end.
    Ended,
}

/// Requests and limits of one group.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) levels: BTreeMap<u32, Level>,
    pub(super) queue: WaitQueue,
    /// Times at which the answers of waiting requests are due, by ID.
    pub(super) waiting_due_us: HashMap<u64, u64>,
    pub(super) adjusted_us: u64,
    /// This VM's share of the slots of a shard.
    pub(super) slots: f64,
    /// Time of the last reduction.
    pub(super) reduced_us: u64,
    /// Time at which a request last had to wait or was refused.
    pub(super) short_us: u64,
}

impl Group {
    pub(super) fn is_limited(&self) -> bool {
        self.levels.values().any(|level| level.limit.is_finite())
    }

    pub(super) fn limit(&self, rank: u32) -> f64 {
        let level = self.levels.get(&rank);
        level.map_or(f64::INFINITY, |level| level.limit)
    }

    /// Returns the greatest pressure of a level and more urgent ones.
    pub(super) fn pressure(&self, rank: u32) -> f64 {
        let levels = self.levels.range(..=rank);
        levels.fold(0.0, |greatest, (_, level)| {
            level.pressure.ratio().max(greatest)
        })
    }

    /// Returns the time for which a request may wait and still be answered in time.
    pub(super) fn max_wait_us(&self, request: &AdmissionRequest) -> u64 {
        let divisor = if request.is_returning {
            RETURNING_WAIT_DIVISOR
        } else {
            FIRST_WAIT_DIVISOR
        };
        let level = self.levels.get(&request.rank);
        let needed_us = level.map_or(0, Level::needed_us);
        let remaining_us = request.due_us.saturating_sub(request.now_us);
        let spare_us = remaining_us.saturating_sub(needed_us);
        spare_us.min(request.target_us / divisor)
    }

    /// Returns whether a request without a place may wait for one: it would still be answered in time.
    pub(super) fn lets_wait(&self, request: &AdmissionRequest) -> bool {
        let expected_us = self.expected_wait_us(request.rank, request.is_returning);
        expected_us <= self.max_wait_us(request) && self.waiting_due_us.len() < MAX_WAITING
    }

    fn expected_wait_us(&self, rank: u32, is_returning: bool) -> u64 {
        let ahead = self.queue.ahead_of(rank, is_returning);
        let level = self.levels.get(&rank);
        level.map_or(0, |level| level.expected_wait_us(ahead))
    }

    pub(super) fn grant(&mut self, now_us: u64, granted: &mut Vec<u64>) {
        let levels = &mut self.levels;
        loop {
            let has_place = |rank| levels.get(&rank).is_some_and(Level::has_place);
            let Some((rank, id)) = self.queue.pop(has_place) else {
                return;
            };
            let due_us = self.waiting_due_us.remove(&id).unwrap_or(now_us);
            if let Some(level) = levels.get_mut(&rank) {
                level.admit(id, InService::new(now_us, due_us));
            }
            granted.push(id);
        }
    }

    /// Adjusts the limits to the pressure.
    pub(super) fn adjust(&mut self, now_us: u64) -> Option<LimitChange> {
        let reduced_us = self.reduced_us;
        for level in self.levels.values_mut() {
            level.record_overdue(reduced_us, now_us);
        }
        let was_limited = self.is_limited();
        let mut levels = self.levels.iter();
        let pressed = levels.find(|(_, level)| level.pressure.ratio() > 1.0);
        let pressed = pressed.map(|(rank, _)| *rank);
        match pressed {
            Some(rank) if was_limited || self.is_crowded(LATE_CROWD_PER_SLOT) => {
                self.reduce(rank, now_us);
            }
            None if was_limited => return self.grow(now_us),
            _ => self.hold_if_crowded(),
        }
        (self.is_limited() && !was_limited).then(|| {
            self.short_us = now_us;
            LimitChange::Began
        })
    }

    fn is_crowded(&self, per_slot: f64) -> bool {
        let in_service: usize = self.levels.values().map(Level::in_service).sum();
        in_service as f64 > self.slots * per_slot
    }

    /// Begins the limits of less urgent levels if more requests are in service than the slots can serve at
    /// a time. A level without others is only kept from growing.
    fn hold_if_crowded(&mut self) {
        if !self.is_crowded(HELD_CROWD_PER_SLOT) {
            return;
        }
        if self.levels.len() == 1 {
            for level in self.levels.values_mut() {
                level.hold(self.slots, 1.0);
            }
            return;
        }
        for level in self.levels.values_mut().skip(1) {
            level.hold(self.slots, HELD_SHARE);
        }
    }

    /// Reduces the limits while a level is late: begins those of less urgent levels, then its own, and then
    /// shrinks the least urgent level above its floor.
    fn reduce(&mut self, pressed: u32, now_us: u64) {
        let mut is_reduced = false;
        let mut less_urgent = self.levels.range(pressed.saturating_add(1)..);
        let begins_with = if less_urgent.any(|(_, level)| !level.is_seeded) {
            pressed.saturating_add(1)
        } else {
            pressed
        };
        for (position, (rank, level)) in self.levels.iter_mut().enumerate() {
            if *rank >= begins_with && !level.is_seeded {
                level.seed(position, *rank > pressed, self.slots);
                is_reduced = true;
            }
        }
        let levels = self.levels.iter_mut().enumerate().rev();
        for (position, (rank, level)) in levels {
            if *rank < pressed || is_reduced {
                break;
            }
            is_reduced = level.shrink(position, self.slots);
        }
        if !is_reduced {
            return;
        }
        self.reduced_us = now_us;
        for level in self.levels.values_mut() {
            level.pressure.use_up();
        }
    }

    /// Lets limits grow, or ends them if nobody has waited or was refused for long enough.
    fn grow(&mut self, now_us: u64) -> Option<LimitChange> {
        let mut greatest: f64 = 0.0;
        for level in self.levels.values_mut() {
            greatest = greatest.max(level.pressure.ratio());
            if greatest < GROWTH_PRESSURE {
                level.grow();
            }
        }
        let is_calm = greatest < GROWTH_PRESSURE && now_us >= self.short_us + CALM_US;
        if !is_calm {
            return None;
        }
        self.unlimit();
        Some(LimitChange::Ended)
    }

    pub(super) fn end_interval(&mut self) {
        for level in self.levels.values_mut() {
            level.end_interval();
        }
    }

    pub(super) fn unlimit(&mut self) {
        for level in self.levels.values_mut() {
            level.unlimit();
        }
    }
}
