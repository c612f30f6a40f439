//! Regular pauses of leaves: learned from the ends of stalls, and predicted.
//!
//! Answers the load in which every leaf stops for a moment at a steady interval, each at its own
//! phase, so that nearly every query over many shards meets a stopped leaf. Interval and duration are
//! learned over all leaves, the phase for each leaf; nothing is predicted of a leaf whose stalls don't
//! repeat.

use std::collections::VecDeque;

/// Shortest and longest interval between pauses that is looked for. Shorter ones can't be told from
/// queueing; longer ones come too seldom to be worth avoiding.
const INTERVAL_US: std::ops::RangeInclusive<u64> = 800_000..=30_000_000;

/// Shortest stall that may be a pause; shorter ones are mostly waits of this process itself.
const MIN_STALL_US: u64 = 70_000;

/// Distance within which two intervals, or a stall and its prediction, count as the same. The first
/// answer after a pause comes up to one service time late.
const MATCH_US: u64 = 25_000;

/// Distance within which two stalls of one leaf are the same pause, seen by two VMs.
const SAME_PAUSE_US: u64 = 150_000;

/// Distance within which the ends that two VMs saw confirm each other: a pause ends for all calls at
/// once, but for the queue behind it. A single call with much work is seen by one VM only.
const CONFIRM_US: u64 = 60_000;

/// Votes of two confirmed pauses of a leaf for their distance; any other two stalls have one.
const CONFIRMED_VOTES: f64 = 4.0;

/// Share of the most votes with which a longer interval is still preferred: parts of the true interval
/// get all of its votes, and others by chance.
const LONGER_SHARE: f64 = 0.7;

/// Change of the interval from which the phases of all leaves are looked for anew, as a divisor.
const CHANGE_DIVISOR: u64 = 100;

/// Candidates for the interval that are kept.
const MAX_CANDIDATES: usize = 48;

/// Votes above those expected by chance that an interval needs before it is believed.
const MIN_VOTES: f64 = 10.0;

/// Standard deviations of the votes by chance that these have to exceed.
const MIN_DEVIATIONS: f64 = 4.0;

/// Share of its votes that a candidate keeps when a further sample comes.
const VOTE_DECAY: f64 = 0.995;

/// Stalls of one leaf that are kept.
const MAX_ENDS: usize = 6;

/// Sights of stalls of one leaf that have to agree, if it has as many.
const MIN_AGREEING: u32 = 2;

/// Durations that are kept.
const MAX_DURATIONS: usize = 64;

/// Share of the observed durations below the one that is assumed, in percent. Most stalls show only
/// a part of the pause, and a few show the queue after it.
const DURATION_PERCENT: usize = 85;

/// Time after the predicted end for which a leaf is still avoided.
const END_GUARD_US: u64 = 4_000;

/// Longest time for which a phase is kept without a new stall: the interval is not known exactly.
const MAX_AGE_INTERVALS: u64 = 16;

/// A stall of a leaf: no answer although calls were open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Time of the last answer before it, or of the oldest call.
    pub start_us: u64,
    /// Time of the first answer after it.
    pub end_us: u64,
}

/// A candidate for the interval, with the time and the intervals of the samples that agree on it.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    total_us: f64,
    intervals: f64,
    votes: f64,
    samples: f64,
}

impl Candidate {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn mean_us(&self) -> u64 {
        (self.total_us / self.intervals) as u64
    }

    /// Returns the votes beyond those that samples without any rhythm would give.
    ///
    /// Parts of the true interval get all of its votes, and more by chance than it does; its
    /// multiples get fewer of its votes.
    fn excess_votes(&self) -> Option<f64> {
        let chance = 2.0 * MATCH_US as f64 * self.intervals / self.total_us;
        let expected = self.samples * chance;
        let excess = self.votes - expected;
        let least = (MIN_DEVIATIONS * expected.sqrt()).max(MIN_VOTES);
        (excess >= least).then_some(excess)
    }
}

/// Interval and duration of pauses, over all leaves.
#[derive(Clone, Debug, Default)]
pub struct PausePeriod {
    candidates: Vec<Candidate>,
    period_us: Option<u64>,
    durations_us: VecDeque<u64>,
    duration_us: u64,
}

/// End of a stall, and how many VMs saw it.
#[derive(Clone, Copy, Debug)]
struct End {
    end_us: u64,
    observers: u32,
}

impl End {
    fn is_confirmed(&self) -> bool {
        self.observers > 1
    }
}

/// Phase of one leaf's pauses.
#[derive(Clone, Debug, Default)]
pub struct PausePredictor {
    ends: VecDeque<End>,
    anchor_us: Option<u64>,
}

impl PausePeriod {
    /// Returns the interval, once enough stalls agree.
    pub fn period_us(&self) -> Option<u64> {
        self.period_us
    }

    /// Returns the assumed duration of a pause.
    pub fn duration_us(&self) -> u64 {
        self.duration_us
    }

    #[expect(clippy::cast_precision_loss)]
    fn add_sample(&mut self, sample_us: u64, votes: f64) {
        if !INTERVAL_US.contains(&sample_us) {
            return;
        }
        let mut agreed = false;
        for candidate in &mut self.candidates {
            candidate.votes *= VOTE_DECAY;
            candidate.samples = candidate.samples * VOTE_DECAY + votes;
            let mean_us = candidate.mean_us();
            let intervals = (sample_us + mean_us / 2) / mean_us;
            if intervals == 0 || sample_us.abs_diff(intervals * mean_us) > MATCH_US {
                continue;
            }
            candidate.total_us += sample_us as f64;
            candidate.intervals += intervals as f64;
            candidate.votes += votes;
            agreed |= intervals == 1;
        }
        if !agreed {
            self.add_candidate(sample_us, votes);
        }
        let Some(best_us) = self.best_us() else {
            return;
        };
        // Once pauses are avoided, few are seen, and parts of the interval gain by chance.
        let is_part = |held_us: u64| best_us < held_us && is_multiple(held_us, best_us);
        if !self.period_us.is_some_and(is_part) {
            self.period_us = Some(best_us);
        }
    }

    #[expect(clippy::cast_precision_loss)]
    fn add_candidate(&mut self, sample_us: u64, votes: f64) {
        if self.candidates.len() >= MAX_CANDIDATES {
            let weakest = self.candidates.iter().enumerate();
            let weakest = weakest.min_by(|(_, a), (_, b)| a.votes.total_cmp(&b.votes));
            if let Some(index) = weakest.map(|(index, _)| index) {
                self.candidates.swap_remove(index);
            }
        }
        self.candidates.push(Candidate {
            total_us: sample_us as f64,
            intervals: 1.0,
            votes,
            samples: votes,
        });
    }

    /// Returns the longest interval that explains about the most samples.
    fn best_us(&self) -> Option<u64> {
        let voted = self.candidates.iter().filter_map(|candidate| {
            let votes = candidate.excess_votes()?;
            Some((votes, candidate.mean_us()))
        });
        let most = voted
            .clone()
            .map(|(votes, _)| votes)
            .max_by(f64::total_cmp)?;
        let close = voted.filter(|(votes, _)| *votes >= most * LONGER_SHARE);
        close.map(|(_, mean_us)| mean_us).max()
    }

    /// Returns whether another interval is believed than `before`.
    pub fn has_changed(&self, before_us: Option<u64>) -> bool {
        match (before_us, self.period_us) {
            (Some(before_us), Some(now_us)) => before_us.abs_diff(now_us) > now_us / CHANGE_DIVISOR,
            (before_us, now_us) => before_us != now_us,
        }
    }

    fn add_duration(&mut self, duration_us: u64) {
        self.durations_us.push_back(duration_us);
        if self.durations_us.len() > MAX_DURATIONS {
            self.durations_us.pop_front();
        }
        let mut sorted: Vec<u64> = self.durations_us.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() - 1) * DURATION_PERCENT / 100;
        self.duration_us = sorted[index];
    }
}

impl PausePredictor {
    /// Takes a stall of the leaf.
    pub fn observe(&mut self, stall: Stall, pause_period: &mut PausePeriod) {
        let duration_us = stall.end_us.saturating_sub(stall.start_us);
        if duration_us < MIN_STALL_US {
            return;
        }
        self.add_end(stall, pause_period);
        let Some(interval_us) = pause_period.period_us() else {
            return;
        };
        self.find_phase(pause_period);
        let anchor_us = self.anchor_us.unwrap_or(0);
        if offset_us(stall.end_us, anchor_us, interval_us) <= MATCH_US {
            pause_period.add_duration(duration_us);
        }
    }

    fn add_end(&mut self, stall: Stall, pause_period: &mut PausePeriod) {
        if let Some(latest) = self.ends.back_mut()
            && latest.end_us.abs_diff(stall.end_us) < SAME_PAUSE_US
        {
            // Another VM saw the end of the same pause: the earliest is the truest.
            let was_confirmed = latest.is_confirmed();
            if latest.end_us.abs_diff(stall.end_us) <= CONFIRM_US {
                latest.observers += 1;
            }
            latest.end_us = stall.end_us.min(latest.end_us);
            if latest.is_confirmed() && !was_confirmed {
                self.vote(pause_period, CONFIRMED_VOTES - 1.0, End::is_confirmed);
            }
            return;
        }
        let end = End {
            end_us: stall.end_us,
            observers: 1,
        };
        self.ends.push_back(end);
        self.vote(pause_period, 1.0, |_| true);
        if self.ends.len() > MAX_ENDS {
            let doubtful = self.ends.iter().position(|end| !end.is_confirmed());
            let last = self.ends.len() - 1;
            self.ends
                .remove(doubtful.filter(|at| *at < last).unwrap_or(0));
        }
    }

    /// Votes for the distances of the latest end from those before it that `counts`.
    fn vote(&self, pause_period: &mut PausePeriod, votes: f64, counts: impl Fn(&End) -> bool) {
        let mut ends = self.ends.iter().rev();
        let Some(latest) = ends.next() else {
            return;
        };
        for end in ends.filter(|end| counts(end)) {
            pause_period.add_sample(latest.end_us.saturating_sub(end.end_us), votes);
        }
    }

    /// Looks for the phase anew, if an interval is believed.
    pub fn find_phase(&mut self, pause_period: &PausePeriod) {
        if let Some(interval_us) = pause_period.period_us() {
            self.anchor_us = self.find_anchor(interval_us);
        }
    }

    /// Returns the latest end of the phase on which most stalls of the leaf agree, each counted once for
    /// each VM that saw it; a single stall is enough if there is no other, since a wrong phase only
    /// moves a few calls to other replicas.
    fn find_anchor(&self, interval_us: u64) -> Option<u64> {
        let all: u32 = self.ends.iter().map(|end| end.observers).sum();
        let mut best: Option<(u32, u64)> = None;
        for first in &self.ends {
            let agrees = |end: &&End| offset_us(end.end_us, first.end_us, interval_us) <= MATCH_US;
            let agreeing: Vec<End> = self.ends.iter().filter(agrees).copied().collect();
            let weight: u32 = agreeing.iter().map(|end| end.observers).sum();
            let latest_us = agreeing.last().map_or(first.end_us, |end| end.end_us);
            // The earliest phase is the truest: an end is late by the rest of a call's work.
            let late_us = offset_us(latest_us, first.end_us, interval_us);
            let candidate = (weight, latest_us - late_us);
            if weight >= all.min(MIN_AGREEING) && best.is_none_or(|best| candidate > best) {
                best = Some(candidate);
            }
        }
        best.map(|(_, anchor_us)| anchor_us)
    }

    /// Returns how much of a time fell into the latest predicted pause before its end.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{PausePeriod, PausePredictor};
    /// let pause_predictor = PausePredictor::default();
    /// assert_eq!(pause_predictor.paused_us(0, 1_000_000, &PausePeriod::default()), 0);
    /// ```
    pub fn paused_us(&self, from_us: u64, to_us: u64, pause_period: &PausePeriod) -> u64 {
        let (Some(interval_us), Some(anchor_us)) = (pause_period.period_us(), self.anchor_us)
        else {
            return 0;
        };
        // A call ends up to one service time after the pause; one that is open in it may end before.
        let near_us = to_us + pause_period.duration_us();
        if near_us < anchor_us || near_us - anchor_us > interval_us * MAX_AGE_INTERVALS {
            return 0;
        }
        let end_us = near_us - (near_us - anchor_us) % interval_us;
        let start_us = end_us.saturating_sub(pause_period.duration_us());
        end_us.min(to_us).saturating_sub(start_us.max(from_us))
    }

    /// Returns the time until the end of a pause that a call of `call_us` sent now would meet.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{PausePeriod, PausePredictor};
    /// let pause_predictor = PausePredictor::default();
    /// assert_eq!(pause_predictor.pause_left_us(1_000_000, 20_000, &PausePeriod::default()), None);
    /// ```
    pub fn pause_left_us(
        &self,
        now_us: u64,
        call_us: u64,
        pause_period: &PausePeriod,
    ) -> Option<u64> {
        let interval_us = pause_period.period_us()?;
        let age_us = now_us.saturating_sub(self.anchor_us?);
        if age_us > interval_us * MAX_AGE_INTERVALS {
            return None;
        }
        let since_end_us = age_us % interval_us;
        if since_end_us < END_GUARD_US {
            return Some(END_GUARD_US - since_end_us);
        }
        let left_us = interval_us - since_end_us;
        (left_us <= pause_period.duration_us() + call_us).then_some(left_us + END_GUARD_US)
    }
}

/// Returns whether a time is about a whole number of intervals.
fn is_multiple(time_us: u64, interval_us: u64) -> bool {
    let intervals = (time_us + interval_us / 2) / interval_us;
    time_us.abs_diff(intervals * interval_us) <= MATCH_US
}

/// Returns how much later a time is than the last whole number of intervals from an anchor, which may
/// be later than the time.
fn offset_us(time_us: u64, anchor_us: u64, interval_us: u64) -> u64 {
    if time_us >= anchor_us {
        return (time_us - anchor_us) % interval_us;
    }
    let short_us = (anchor_us - time_us) % interval_us;
    if short_us == 0 {
        0
    } else {
        interval_us - short_us
    }
}
