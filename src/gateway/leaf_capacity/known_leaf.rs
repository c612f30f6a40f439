//! Keeps what a VM knows of one leaf, and judges which ended calls tell how fast it is, without I/O.
//!
//! Handles pauses, lost replies and calls that were given up, none of which shows that a leaf is slow.

use std::net::SocketAddr;

use super::estimate::{CapacitySample, LeafEstimate};
use super::message::CapacityReport;
use super::peer_calls::{NEW_REPORT_WEIGHT, PeerCalls};
use super::pending_report::PendingReport;
use super::usual_latency::WorkKind;
use crate::gateway::pause_predictor::Stall;
use crate::ids::ServiceKey;

/// Share of the time of a call within predicted pauses above which it is no evidence.
const MAX_PAUSED_SHARE: f64 = 0.5;

/// Age that counts at most for a call that was given up, relative to the expected latency. More is not
/// known of it.
const MAX_CENSORED_FACTOR: f64 = 2.0;

/// Factor by which the pace changes between two log lines on a leaf.
const LOGGED_FACTOR: f64 = 2.0;

/// A call that has ended, with what tells how fast its leaf is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedCall {
    /// Kind of the work.
    pub kind: WorkKind,
    /// Mean of the calls of all VMs in flight when it began and when it ended, itself included.
    pub in_flight: f64,
    /// Begin of the call.
    pub started_us: u64,
    /// End of the call.
    pub ended_us: u64,
    /// Part of the time within predicted pauses of the leaf.
    pub paused_us: u64,
    /// Whether the leaf answered. Otherwise the call was given up.
    pub is_answered: bool,
}

/// Change of the estimate of a leaf that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityChange {
    /// Latency below the knee, relative to the usual one.
    pub pace: f64,
    /// Calls in flight above which the latency rises.
    pub knee: f64,
}

/// What is known of one leaf.
#[derive(Clone, Debug)]
pub struct KnownLeaf {
    pub(super) service: ServiceKey,
    pub(super) estimate: LeafEstimate,
    pub(super) peer_calls: PeerCalls,
    pub(super) pending: PendingReport,
    pub(super) latest_stall: Option<Stall>,
    /// Time of the latest call, of this VM or in a report.
    pub(super) last_contact_us: u64,
    /// Number of calls of the service at that time.
    pub(super) service_calls_at_contact: u64,
    pub(super) reported_us: u64,
    /// Calls of this VM in flight, smoothed as the other VMs smooth its reports.
    own_mean: f64,
    /// Latest begin of a call that was answered.
    last_answered_started_us: u64,
    logged_pace: f64,
}

impl KnownLeaf {
    /// Creates the state of a leaf that nothing is known of.
    pub fn new(service: ServiceKey, slots: u32, service_calls: u64, now_us: u64) -> Self {
        Self {
            service,
            estimate: LeafEstimate::new(slots, now_us),
            peer_calls: PeerCalls::default(),
            pending: PendingReport::default(),
            latest_stall: None,
            last_contact_us: now_us,
            service_calls_at_contact: service_calls,
            reported_us: 0,
            own_mean: 0.0,
            last_answered_started_us: 0,
            logged_pace: 1.0,
        }
    }

    /// Records a call to the leaf.
    pub fn record_contact(&mut self, service_calls: u64, now_us: u64) {
        self.last_contact_us = now_us;
        self.service_calls_at_contact = service_calls;
    }

    /// Returns the calls of all VMs that a further call is expected to meet, itself included.
    ///
    /// All VMs have the same reports, and choose the same leaf until the next ones. So each other VM is
    /// expected to have changed its calls as much as this one since its own reports. Without it, six VMs
    /// overload one leaf after the other: at a load of 0.75 their callers wait five times as long.
    pub fn expected_in_flight(&self, open_calls: usize, now_us: u64) -> f64 {
        let own_calls = open_calls as f64;
        let peers = self.peer_calls.reporting_vms(now_us) as f64;
        let unreported = peers * (own_calls - self.own_mean);
        let peer_calls = self.peer_calls.in_flight(now_us) + unreported;
        1.0 + own_calls + peer_calls.max(0.0)
    }

    /// Returns the latency that a call shows, or `None` if it tells nothing of the leaf.
    pub fn latency_us(&mut self, call: &EndedCall, usual_us: Option<f64>) -> Option<f64> {
        let elapsed_us = call.ended_us.saturating_sub(call.started_us) as f64;
        let paused_us = (call.paused_us as f64).min(elapsed_us);
        let is_held_up = self
            .latest_stall
            .is_some_and(|stall| call.started_us < stall.end_us && stall.start_us < call.ended_us);
        if is_held_up || paused_us > elapsed_us * MAX_PAUSED_SHARE {
            return None;
        }
        let latency_us = elapsed_us - paused_us;
        if call.is_answered {
            self.last_answered_started_us = self.last_answered_started_us.max(call.started_us);
            return Some(latency_us);
        }
        // If a later call was answered, the reply was rather lost than late.
        let is_overtaken = call.started_us <= self.last_answered_started_us;
        let expected_us = usual_us? * self.estimate.ratio(call.in_flight, call.ended_us);
        let is_late = !is_overtaken && latency_us > expected_us;
        is_late.then_some(latency_us.min(expected_us * MAX_CENSORED_FACTOR))
    }

    /// Returns the report on the leaf for the other VMs.
    pub fn take_report(&mut self, address: SocketAddr) -> CapacityReport {
        let report = self.pending.take(address);
        self.own_mean += (report.in_flight() - self.own_mean) * NEW_REPORT_WEIGHT;
        report
    }

    /// Returns the estimate if its pace has changed much since it was last returned.
    pub fn take_change(&mut self) -> Option<CapacityChange> {
        let (pace, knee) = (self.estimate.pace(), self.estimate.knee());
        let factor = (pace / self.logged_pace).max(self.logged_pace / pace);
        if factor < LOGGED_FACTOR {
            return None;
        }
        self.logged_pace = pace;
        Some(CapacityChange { pace, knee })
    }
}

impl CapacityReport {
    /// Returns what the ended calls of the report show, if there are any.
    pub fn sample(&self) -> Option<CapacitySample> {
        (self.ended_calls > 0).then(|| CapacitySample {
            calls: f64::from(self.ended_calls),
            in_flight: self.during_in_flight().max(1.0),
            ratio: self.ratio(),
        })
    }
}
