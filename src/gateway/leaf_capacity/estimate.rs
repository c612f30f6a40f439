//! Estimates how fast a leaf is and how many calls it takes well, from the latencies of ended calls,
//! without I/O.
//!
//! Handles leaves whose speed differs or changes, and leaves that slow down before they are full. The
//! latency of a leaf is modelled as its pace up to its knee, and as proportional to the calls in flight
//! above it, which holds for slots with a queue and for processors that the calls share.

/// Time constant with which evidence loses weight: after 2 s, 8 % of it remains.
const EVIDENCE_DECAY_US: f64 = 800_000.0;

/// Upper limits of the calls in flight by which evidence is grouped; the last group has no limit.
const GROUP_LIMITS: [f64; 11] = [1.5, 2.5, 3.5, 4.5, 6.5, 8.5, 12.5, 16.5, 24.5, 32.5, 48.5];

/// Knees that are compared.
const KNEES: [f64; 16] = [
    1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 12.0, 16.0, 24.0, 32.0, 48.0,
];

/// Weight of the usual pace, in calls. It limits what a single odd call changes.
const USUAL_PACE_CALLS: f64 = 0.5;

/// Weight of the knee that is expected from earlier evidence, against the squared logarithm of the
/// difference.
const EXPECTED_KNEE_WEIGHT: f64 = 0.5;

/// Time constant with which the expected knee follows the fitted one.
const KNEE_FOLLOW_US: f64 = 700_000.0;

/// Time constant with which the expected knee returns to the slots of the leaf. Calls below the knee
/// don't show whether it has risen, so the leaf gets more calls until they do.
const KNEE_RETURN_US: f64 = 3_000_000.0;

/// Half-life of the difference from the usual pace while there is no evidence. A leaf is measured again
/// sooner (`REMEASURE_US`); a faster return would send it more calls than that needs.
const IDLE_HALF_LIFE_US: f64 = 4_000_000.0;

/// Time without evidence after which the pace begins to return to the usual one.
const IDLE_GRACE_US: u64 = 500_000;

/// Weight below which the evidence of a group is dropped, in calls.
const MIN_GROUP_CALLS: f64 = 0.05;

/// Greatest latency that counts, relative to the usual one.
const MAX_RATIO: f64 = 16.0;

/// Least latency that counts, relative to the usual one.
const MIN_RATIO: f64 = 0.02;

/// Evidence from calls that had about the same number of calls in flight beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Group {
    calls: f64,
    ratio_sum: f64,
    in_flight_sum: f64,
}

/// What ended calls show of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySample {
    /// Number of calls.
    pub calls: f64,
    /// Mean number of calls in flight from all VMs during these, themselves included.
    pub in_flight: f64,
    /// Mean latency, relative to the usual one of the same work at the service.
    pub ratio: f64,
}

/// Pace and knee of a leaf.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafEstimate {
    groups: [Group; GROUP_LIMITS.len() + 1],
    updated_us: u64,
    pace: f64,
    knee: f64,
    expected_knee: f64,
    slots: f64,
}

/// Returns the latency with a number of calls in flight, relative to that of a single call.
fn slowdown(in_flight: f64, knee: f64) -> f64 {
    (in_flight / knee).max(1.0)
}

/// Returns the share that a decaying value keeps.
fn kept(elapsed_us: u64, time_constant_us: f64) -> f64 {
    (-(elapsed_us as f64) / time_constant_us).exp()
}

impl LeafEstimate {
    /// Creates the estimate of a leaf without evidence: of usual pace, with a knee at its slots.
    pub fn new(slots: u32, now_us: u64) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            groups: Default::default(),
            updated_us: now_us,
            pace: 1.0,
            knee: slots,
            expected_knee: slots,
            slots,
        }
    }

    /// Adds evidence.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::{CapacitySample, LeafEstimate};
    /// let mut estimate = LeafEstimate::new(8, 0);
    /// for call in 0..200 {
    ///     let in_flight = f64::from(call % 8 + 1);
    ///     let ratio = 2.0 * (in_flight / 4.0).max(1.0);
    ///     estimate.observe(CapacitySample { calls: 1.0, in_flight, ratio }, 10_000 * call as u64);
    /// }
    /// assert!((1.8..2.1).contains(&estimate.pace()), "{}", estimate.pace());
    /// assert!((3.0..=5.0).contains(&estimate.knee()), "{}", estimate.knee());
    /// ```
    pub fn observe(&mut self, sample: CapacitySample, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        let kept_share = kept(elapsed_us, EVIDENCE_DECAY_US);
        for group in &mut self.groups {
            group.calls *= kept_share;
            group.ratio_sum *= kept_share;
            group.in_flight_sum *= kept_share;
            if group.calls < MIN_GROUP_CALLS {
                *group = Group::default();
            }
        }
        let mut limits = GROUP_LIMITS.iter();
        let index = limits.position(|limit| sample.in_flight <= *limit);
        let group = &mut self.groups[index.unwrap_or(GROUP_LIMITS.len())];
        group.calls += sample.calls;
        group.ratio_sum += sample.calls * sample.ratio.clamp(MIN_RATIO, MAX_RATIO);
        group.in_flight_sum += sample.calls * sample.in_flight;
        self.updated_us = self.updated_us.max(now_us);
        let returned = 1.0 - kept(elapsed_us, KNEE_RETURN_US);
        self.expected_knee *= (self.slots / self.expected_knee).powf(returned);
        self.fit();
        let followed = 1.0 - kept(elapsed_us, KNEE_FOLLOW_US);
        self.expected_knee *= (self.knee / self.expected_knee).powf(followed);
    }

    /// Finds the pace and the knee that match the evidence best.
    fn fit(&mut self) {
        let mut least_error = f64::INFINITY;
        for knee in KNEES {
            let pace = self.pace_with(knee);
            let mut error = EXPECTED_KNEE_WEIGHT * (knee / self.expected_knee).ln().powi(2);
            for group in self.groups.iter().filter(|group| group.calls > 0.0) {
                let in_flight = group.in_flight_sum / group.calls;
                let expected = pace * slowdown(in_flight, knee);
                error += group.calls * (group.ratio_sum / group.calls / expected).ln().powi(2);
            }
            if error < least_error {
                least_error = error;
                self.pace = pace;
                self.knee = knee;
            }
        }
    }

    /// Returns the pace that matches the evidence best if the leaf has a knee.
    fn pace_with(&self, knee: f64) -> f64 {
        let mut calls = USUAL_PACE_CALLS;
        let mut pace_sum = USUAL_PACE_CALLS;
        for group in self.groups.iter().filter(|group| group.calls > 0.0) {
            calls += group.calls;
            pace_sum += group.ratio_sum / slowdown(group.in_flight_sum / group.calls, knee);
        }
        pace_sum / calls
    }

    /// Returns the latency below the knee, relative to the usual one, by the latest evidence.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns the pace, which returns to the usual one while there is no evidence.
    pub fn pace_at(&self, now_us: u64) -> f64 {
        let idle_us = now_us.saturating_sub(self.updated_us + IDLE_GRACE_US);
        1.0 + (self.pace - 1.0) * (-(idle_us as f64) / IDLE_HALF_LIFE_US).exp2()
    }

    /// Returns the number of calls in flight above which the latency rises.
    pub fn knee(&self) -> f64 {
        self.knee
    }

    /// Returns the time of the latest evidence, or that of the first contact.
    pub fn updated_us(&self) -> u64 {
        self.updated_us
    }

    /// Returns the expected latency with a number of calls in flight, relative to the usual one.
    pub fn ratio(&self, in_flight: f64, now_us: u64) -> f64 {
        self.pace_at(now_us) * slowdown(in_flight, self.knee)
    }
}
