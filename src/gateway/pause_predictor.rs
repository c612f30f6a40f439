//! Predicts periodic pauses of leaves, so that a request's calls go to replicas that are not
//! paused. The pauses are learned from the ends of stalls.
//!
//! Handles the load in which every leaf pauses briefly at a fixed period, each at its own phase, so
//! that nearly every query over many shards reaches a paused leaf. Period and duration are
//! estimated over all leaves, the phase for each leaf. No pauses are predicted for a leaf whose
//! stalls are not periodic.

use std::collections::VecDeque;

/// Range of periods that are detected. Shorter ones can't be distinguished from queueing; longer
/// ones are too rare to be worth avoiding.
const PERIOD_RANGE_US: std::ops::RangeInclusive<u64> = 800_000..=30_000_000;

/// Minimum duration of a stall that may be a pause. Shorter ones are mostly delays in this process.
const MIN_STALL_US: u64 = 70_000;

/// Tolerance within which two periods, or a stall and its prediction, match. The first reply after
/// a pause is up to one service time late.
const MATCH_TOLERANCE_US: u64 = 25_000;

/// Tolerance within which two stall ends of one leaf are taken as the same pause, observed by two
/// VMs.
const SAME_PAUSE_TOLERANCE_US: u64 = 150_000;

/// Tolerance within which stall ends observed by two VMs confirm each other: a pause ends for all
/// calls at once, apart from the queue behind it. A single expensive call is observed by one VM
/// only.
const CONFIRM_TOLERANCE_US: u64 = 60_000;

/// Votes for the time between two confirmed pauses of a leaf; any other pair of stalls has one
/// vote.
const CONFIRMED_VOTES: f64 = 4.0;

/// Fraction of the maximum votes with which a longer period is still preferred: fractions of the
/// true period get all of its votes, and others by chance.
const LONGER_PERIOD_VOTE_SHARE: f64 = 0.7;

/// Relative change of the period above which the phases of all leaves are recomputed, as a divisor.
const CHANGE_DIVISOR: u64 = 100;

/// Maximum number of candidate periods.
const MAX_CANDIDATES: usize = 48;

/// Minimum number of votes above those expected by chance for a period to be accepted.
const MIN_EXCESS_VOTES: f64 = 10.0;

/// Minimum excess of the votes, in standard deviations of the votes expected by chance.
const MIN_DEVIATIONS: f64 = 4.0;

/// Decay factor of a candidate's votes for each further sample.
const VOTE_DECAY: f64 = 0.995;

/// Maximum number of stall ends kept for one leaf.
const MAX_ENDS: usize = 6;

/// Minimum number of observations of a leaf's stalls that agree on a phase, if it has as many.
const MIN_AGREEING: u32 = 2;

/// Maximum number of pause durations kept.
const MAX_DURATIONS: usize = 64;

/// Percentile of the observed durations that is assumed as the duration of a pause. Most stalls
/// cover only part of the pause, and a few include the queue after it.
const DURATION_PERCENT: usize = 85;

/// Time after the predicted end of a pause for which a leaf is still avoided.
const END_GUARD_US: u64 = 4_000;

/// Maximum number of periods for which a phase is valid without a new stall, since the estimate of
/// the period is not exact.
const MAX_AGE_PERIODS: u64 = 16;

/// A stall of a leaf: a time without replies although calls were open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Time of the last reply before the stall, or the start of the oldest open call if that is
    /// later.
    pub start_us: u64,
    /// Time of the first reply after the stall.
    pub end_us: u64,
}

/// A candidate period, with the total time and number of periods of the samples that match it.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    total_us: f64,
    periods: f64,
    votes: f64,
    samples: f64,
}

impl Candidate {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn mean_us(&self) -> u64 {
        (self.total_us / self.periods) as u64
    }

    /// Returns the votes above those that non-periodic samples would give, if there are enough.
    ///
    /// Fractions of the true period get all of its votes, and more votes by chance than it does;
    /// its multiples get fewer of its votes.
    fn excess_votes(&self) -> Option<f64> {
        let chance = 2.0 * MATCH_TOLERANCE_US as f64 * self.periods / self.total_us;
        let expected = self.samples * chance;
        let excess = self.votes - expected;
        let min_excess = (MIN_DEVIATIONS * expected.sqrt()).max(MIN_EXCESS_VOTES);
        (excess >= min_excess).then_some(excess)
    }
}

/// Period and duration of pauses, estimated over all leaves.
#[derive(Clone, Debug, Default)]
pub struct PausePeriod {
    candidates: Vec<Candidate>,
    period_us: Option<u64>,
    durations_us: VecDeque<u64>,
    duration_us: u64,
}

/// End of a stall, and the number of VMs that observed it.
#[derive(Clone, Copy, Debug)]
struct StallEnd {
    end_us: u64,
    observers: u32,
}

impl StallEnd {
    fn is_confirmed(&self) -> bool {
        self.observers > 1
    }
}

/// Recent stall ends of one leaf, and the phase of its pauses.
#[derive(Clone, Debug, Default)]
pub struct PausePredictor {
    ends: VecDeque<StallEnd>,
    /// End of a pause, from which the phase is counted.
    anchor_us: Option<u64>,
}

impl PausePeriod {
    /// Returns the period, or `None` until enough stalls agree on one.
    pub fn period_us(&self) -> Option<u64> {
        self.period_us
    }

    /// Returns the assumed duration of a pause.
    pub fn duration_us(&self) -> u64 {
        self.duration_us
    }

    /// Counts votes for the periods that the time between two stall ends matches, and updates the
    /// period.
    #[expect(clippy::cast_precision_loss)]
    fn add_sample(&mut self, sample_us: u64, votes: f64) {
        if !PERIOD_RANGE_US.contains(&sample_us) {
            return;
        }
        let mut has_match = false;
        for candidate in &mut self.candidates {
            candidate.votes *= VOTE_DECAY;
            candidate.samples = candidate.samples * VOTE_DECAY + votes;
            let mean_us = candidate.mean_us();
            let periods = (sample_us + mean_us / 2) / mean_us;
            if periods == 0 || sample_us.abs_diff(periods * mean_us) > MATCH_TOLERANCE_US {
                continue;
            }
            candidate.total_us += sample_us as f64;
            candidate.periods += periods as f64;
            candidate.votes += votes;
            has_match |= periods == 1;
        }
        if !has_match {
            self.add_candidate(sample_us, votes);
        }
        let Some(best_us) = self.best_period_us() else {
            return;
        };
        // Once pauses are avoided, few are observed, and fractions of the period gain votes by
        // chance.
        let is_fraction =
            |current_us: u64| best_us < current_us && is_multiple(current_us, best_us);
        if !self.period_us.is_some_and(is_fraction) {
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
            periods: 1.0,
            votes,
            samples: votes,
        });
    }

    /// Returns the longest period whose excess votes are close to the maximum.
    fn best_period_us(&self) -> Option<u64> {
        let scored = self.candidates.iter().filter_map(|candidate| {
            let votes = candidate.excess_votes()?;
            Some((votes, candidate.mean_us()))
        });
        let max_votes = scored
            .clone()
            .map(|(votes, _)| votes)
            .max_by(f64::total_cmp)?;
        let near_best = scored.filter(|(votes, _)| *votes >= max_votes * LONGER_PERIOD_VOTE_SHARE);
        near_best.map(|(_, mean_us)| mean_us).max()
    }

    /// Returns whether the period differs from an earlier one by enough to recompute the phases.
    pub fn has_changed(&self, previous_us: Option<u64>) -> bool {
        match (previous_us, self.period_us) {
            (Some(previous_us), Some(current_us)) => {
                previous_us.abs_diff(current_us) > current_us / CHANGE_DIVISOR
            }
            (previous_us, current_us) => previous_us != current_us,
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
    /// Records a stall of the leaf.
    pub fn observe(&mut self, stall: Stall, pause_period: &mut PausePeriod) {
        let duration_us = stall.end_us.saturating_sub(stall.start_us);
        if duration_us < MIN_STALL_US {
            return;
        }
        self.add_end(stall, pause_period);
        let Some(period_us) = pause_period.period_us() else {
            return;
        };
        self.find_phase(pause_period);
        let anchor_us = self.anchor_us.unwrap_or(0);
        if offset_us(stall.end_us, anchor_us, period_us) <= MATCH_TOLERANCE_US {
            pause_period.add_duration(duration_us);
        }
    }

    fn add_end(&mut self, stall: Stall, pause_period: &mut PausePeriod) {
        if let Some(latest) = self.ends.back_mut()
            && latest.end_us.abs_diff(stall.end_us) < SAME_PAUSE_TOLERANCE_US
        {
            // Another VM observed the end of the same pause: the earliest end is the most accurate.
            let was_confirmed = latest.is_confirmed();
            if latest.end_us.abs_diff(stall.end_us) <= CONFIRM_TOLERANCE_US {
                latest.observers += 1;
            }
            latest.end_us = stall.end_us.min(latest.end_us);
            if latest.is_confirmed() && !was_confirmed {
                self.vote(pause_period, CONFIRMED_VOTES - 1.0, StallEnd::is_confirmed);
            }
            return;
        }
        let end = StallEnd {
            end_us: stall.end_us,
            observers: 1,
        };
        self.ends.push_back(end);
        self.vote(pause_period, 1.0, |_| true);
        if self.ends.len() > MAX_ENDS {
            let unconfirmed = self.ends.iter().position(|end| !end.is_confirmed());
            let last = self.ends.len() - 1;
            self.ends
                .remove(unconfirmed.filter(|index| *index < last).unwrap_or(0));
        }
    }

    /// Votes for the times between the latest end and each earlier one that `counts` accepts.
    fn vote(&self, pause_period: &mut PausePeriod, votes: f64, counts: impl Fn(&StallEnd) -> bool) {
        let mut ends = self.ends.iter().rev();
        let Some(latest) = ends.next() else {
            return;
        };
        for end in ends.filter(|end| counts(end)) {
            pause_period.add_sample(latest.end_us.saturating_sub(end.end_us), votes);
        }
    }

    /// Recomputes the phase if the period is known.
    pub fn find_phase(&mut self, pause_period: &PausePeriod) {
        if let Some(period_us) = pause_period.period_us() {
            self.anchor_us = self.find_anchor(period_us);
        }
    }

    /// Returns the latest pause end of the phase on which most stalls of the leaf agree, weighted
    /// by the number of VMs that observed them. A single stall is enough if there is no other,
    /// since a wrong phase only moves a few calls to other replicas.
    fn find_anchor(&self, period_us: u64) -> Option<u64> {
        let observations: u32 = self.ends.iter().map(|end| end.observers).sum();
        let mut best: Option<(u32, u64)> = None;
        for first in &self.ends {
            let agrees = |end: &&StallEnd| {
                offset_us(end.end_us, first.end_us, period_us) <= MATCH_TOLERANCE_US
            };
            let agreeing: Vec<StallEnd> = self.ends.iter().filter(agrees).copied().collect();
            let weight: u32 = agreeing.iter().map(|end| end.observers).sum();
            let latest_us = agreeing.last().map_or(first.end_us, |end| end.end_us);
            // The earliest phase is the most accurate: an observed end is late by the remaining
            // service time of a call.
            let late_us = offset_us(latest_us, first.end_us, period_us);
            let candidate = (weight, latest_us - late_us);
            if weight >= observations.min(MIN_AGREEING) && best.is_none_or(|best| candidate > best)
            {
                best = Some(candidate);
            }
        }
        best.map(|(_, anchor_us)| anchor_us)
    }

    /// Returns the overlap of a time range with the latest predicted pause that starts before the
    /// range ends.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{PausePeriod, PausePredictor};
    /// let pause_predictor = PausePredictor::default();
    /// assert_eq!(pause_predictor.paused_us(0, 1_000_000, &PausePeriod::default()), 0);
    /// ```
    pub fn paused_us(&self, from_us: u64, to_us: u64, pause_period: &PausePeriod) -> u64 {
        let (Some(period_us), Some(anchor_us)) = (pause_period.period_us(), self.anchor_us) else {
            return 0;
        };
        // A pause that starts before `to_us` ends up to one pause duration later: a call that is
        // open during the pause may end before it, or be answered up to one service time after it.
        let search_end_us = to_us + pause_period.duration_us();
        if search_end_us < anchor_us || search_end_us - anchor_us > period_us * MAX_AGE_PERIODS {
            return 0;
        }
        let end_us = search_end_us - (search_end_us - anchor_us) % period_us;
        let start_us = end_us.saturating_sub(pause_period.duration_us());
        end_us.min(to_us).saturating_sub(start_us.max(from_us))
    }

    /// Returns the time until the end of the pause that a call of `call_us` sent now would overlap,
    /// or `None` if it would overlap none.
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
        let period_us = pause_period.period_us()?;
        let age_us = now_us.saturating_sub(self.anchor_us?);
        if age_us > period_us * MAX_AGE_PERIODS {
            return None;
        }
        let since_end_us = age_us % period_us;
        if since_end_us < END_GUARD_US {
            return Some(END_GUARD_US - since_end_us);
        }
        let remaining_us = period_us - since_end_us;
        (remaining_us <= pause_period.duration_us() + call_us)
            .then_some(remaining_us + END_GUARD_US)
    }
}

/// Returns whether a time is a whole number of periods, within `MATCH_TOLERANCE_US`.
fn is_multiple(time_us: u64, period_us: u64) -> bool {
    let periods = (time_us + period_us / 2) / period_us;
    time_us.abs_diff(periods * period_us) <= MATCH_TOLERANCE_US
}

/// Returns the time since the last multiple of the period, counted from an anchor, which may be
/// later than the time.
fn offset_us(time_us: u64, anchor_us: u64, period_us: u64) -> u64 {
    if time_us >= anchor_us {
        return (time_us - anchor_us) % period_us;
    }
    let remainder_us = (anchor_us - time_us) % period_us;
    if remainder_us == 0 {
        0
    } else {
        period_us - remainder_us
    }
}
