//! Learns how fast each leaf is and how many calls it takes well, from ended calls of this VM and the
//! reports of other VMs, without I/O.
//!
//! Handles leaves of a service that differ in speed, share machines with others or slow down before
//! they are full. `docs/design/leaf-capacity.md` gives the reasons.

mod estimate;
mod known_leaf;
mod message;
mod peer_calls;
mod pending_report;
mod usual_latency;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use estimate::{CapacitySample, LeafEstimate};
pub use known_leaf::{CapacityChange, EndedCall};
pub use message::{
    CapacityDatagram, CapacityReport, LEAF_CAPACITY_VERSION, MAX_REPORTS_PER_DATAGRAM,
};
pub use peer_calls::PeerCalls;
pub use pending_report::PendingReport;
pub use usual_latency::{UsualLatencies, WorkKind};

use known_leaf::KnownLeaf;

use super::pause_predictor::Stall;
use crate::ids::{LeafKey, ServiceKey};

/// Usual latency that is assumed before a call of the route has ended.
const INITIAL_LATENCY_US: f64 = 15_000.0;

/// Share by which the cost of a leaf has risen at the knee. The calls in flight vary while a call runs,
/// so some of its time is spent above the knee before the mean reaches it.
const SLOPE_BELOW_KNEE: f64 = 0.6;

/// Weight of the delay that a call above the knee causes to the others at the leaf, of the expected
/// latency at most. Without it, each caller takes the leaf that is best for itself and all wait longer.
const DELAY_WEIGHT: f64 = 1.0;

/// Time without a call of this VM or a report after which a leaf is measured again.
const REMEASURE_US: u64 = 700_000;

/// Time that is added at most for each other active VM, and for all of them. Each VM adds another part
/// of it, so that one measures the leaf and the others learn of that before their turn.
const REMEASURE_SPREAD_US: f64 = 200_000.0;
const MAX_REMEASURE_SPREAD_US: f64 = 1_200_000.0;

/// Number of calls of the service between two such calls to one leaf. It bounds how many callers get a
/// slow leaf.
const REMEASURE_CALLS: u64 = 60;

/// Least time between two reports on a leaf: as for the rates that leaves name (`leaf_reports.rs`).
const REPORT_INTERVAL_US: u64 = 60_000;

/// Least time between two sets of reports that a VM receives from different VMs. It bounds what a VM
/// sends and receives in fleets with more active VMs.
const REPORT_SPACING_US: u64 = 10_000;

/// Maximum number of reports that a VM sends at a time. Other leaves follow at the next time.
const MAX_REPORTS: usize = 120;

/// A leaf as the VM sees it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafView {
    /// Key of the leaf.
    pub leaf: LeafKey,
    /// Its service.
    pub service: ServiceKey,
    /// Calls that it executes at a time, by its record.
    pub slots: u32,
    /// Calls of this VM in flight.
    pub open_calls: usize,
    /// Whether a call may be sent to measure the leaf, whatever was known of its latency.
    pub may_measure: bool,
}

/// Estimates of all leaves.
#[derive(Clone, Debug, Default)]
pub struct LeafCapacities {
    vm_seed: u64,
    usual_latencies: UsualLatencies,
    leaves: HashMap<LeafKey, KnownLeaf>,
    service_calls: HashMap<ServiceKey, u64>,
    reported_us: u64,
    active_vms: usize,
}

impl LeafCapacities {
    /// Creates an empty table. The seed differs between VMs.
    pub fn new(vm_seed: u64) -> Self {
        Self {
            vm_seed,
            ..Self::default()
        }
    }

    /// Counts calls of the service of a leaf, and returns what is known of the leaf with the number of
    /// calls of its service. A new leaf is added.
    fn entry(&mut self, view: &LeafView, new_calls: u64, now_us: u64) -> (&mut KnownLeaf, u64) {
        let service_calls = self.service_calls.entry(view.service).or_default();
        *service_calls += new_calls;
        let known = self.leaves.entry(view.leaf);
        let known = known
            .or_insert_with(|| KnownLeaf::new(view.service, view.slots, *service_calls, now_us));
        (known, *service_calls)
    }

    /// Records that a call begins, which the view does not count yet, and returns the number of calls of
    /// all VMs in flight with it.
    pub fn begin_call(&mut self, view: &LeafView, now_us: u64) -> f64 {
        let (entry, service_calls) = self.entry(view, 1, now_us);
        entry.record_contact(service_calls, now_us);
        1.0 + view.open_calls as f64 + entry.peer_calls.in_flight(now_us)
    }

    /// Returns the number of calls of all VMs in flight, of which `open_calls` are of this VM.
    pub fn calls_in_flight(&self, leaf: LeafKey, open_calls: usize, now_us: u64) -> f64 {
        let peer_calls = self
            .leaves
            .get(&leaf)
            .map(|entry| entry.peer_calls.in_flight(now_us));
        open_calls as f64 + peer_calls.unwrap_or(0.0)
    }

    /// Records a stall of a leaf that has ended. The calls that it held up don't tell how fast the leaf
    /// is.
    pub fn record_stall(&mut self, leaf: LeafKey, stall: Stall) {
        if let Some(entry) = self.leaves.get_mut(&leaf) {
            entry.latest_stall = Some(stall);
        }
    }

    /// Adds the evidence of an ended call, and returns the estimate if it has changed much since it was
    /// last returned.
    pub fn observe(&mut self, leaf: LeafKey, call: &EndedCall) -> Option<CapacityChange> {
        let entry = self.leaves.get_mut(&leaf)?;
        let usual_us = self.usual_latencies.mean_us(call.kind, entry.service);
        let latency_us = entry.latency_us(call, usual_us)?;
        if call.is_answered {
            self.usual_latencies
                .record(call.kind, entry.service, latency_us);
        }
        let sample = CapacitySample {
            calls: 1.0,
            in_flight: call.in_flight.max(1.0),
            ratio: latency_us / usual_us.unwrap_or(latency_us).max(1.0),
        };
        entry.pending.record_ended(sample);
        entry.estimate.observe(sample, call.ended_us);
        entry.take_change()
    }

    /// Applies the report of another VM on a leaf.
    pub fn apply_report(
        &mut self,
        view: &LeafView,
        peer: IpAddr,
        report: &CapacityReport,
        now_us: u64,
    ) -> Option<CapacityChange> {
        let (entry, service_calls) = self.entry(view, u64::from(report.ended_calls), now_us);
        entry.peer_calls.record(peer, report.in_flight(), now_us);
        if report.ended_calls > 0 || report.in_flight_centi > 0 {
            entry.record_contact(service_calls, now_us);
        }
        entry.estimate.observe(report.sample()?, now_us);
        entry.take_change()
    }

    /// Returns the expected latency of a further call and of the delay that it causes to others, in
    /// microseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::{LeafCapacities, LeafView, WorkKind};
    /// use cloverrack::{ServiceKey, ids::LeafKey};
    /// let (kind, service) = (WorkKind::of_route("wide"), ServiceKey::new(0));
    /// let mut view = LeafView {
    ///     leaf: LeafKey::new(0),
    ///     service,
    ///     slots: 4,
    ///     open_calls: 0,
    ///     may_measure: true,
    /// };
    /// let capacities = LeafCapacities::new(1);
    /// let idle_us = capacities.expected_us(kind, &view, 0);
    /// view.open_calls = 8;
    /// assert!(capacities.expected_us(kind, &view, 0) > 2 * idle_us);
    /// ```
    pub fn expected_us(&self, kind: WorkKind, view: &LeafView, now_us: u64) -> u64 {
        let usual_us = self.usual_latencies.mean_us(kind, view.service);
        let usual_us = usual_us.unwrap_or(INITIAL_LATENCY_US);
        let (in_flight, pace, knee) = match self.leaves.get(&view.leaf) {
            Some(entry) if self.is_unmeasured(view, entry, now_us) => return 0,
            Some(entry) => (
                entry.expected_in_flight(view.open_calls, now_us),
                entry.estimate.pace_at(now_us),
                entry.estimate.knee(),
            ),
            None => (
                1.0 + view.open_calls as f64,
                1.0,
                f64::from(view.slots.max(1)),
            ),
        };
        // A leaf that fails shows nothing of its latency: it counts as filled to its knee.
        let least_fill = if view.may_measure { 0.0 } else { 1.0 };
        let fill = (in_flight / knee).max(least_fill);
        let delay_of_others = DELAY_WEIGHT * (fill - 1.0).max(0.0) / fill.max(1.0);
        let cost = 1.0 + SLOPE_BELOW_KNEE * fill.min(1.0) + delay_of_others;
        (usual_us * pace * fill.max(1.0) * cost) as u64
    }

    /// Returns a number from 0 to 1 that differs between VMs and leaves.
    fn share_of(&self, leaf: LeafKey) -> f64 {
        let hash = xxh3_64_with_seed(&leaf.index().to_le_bytes(), self.vm_seed);
        (hash >> 32) as f64 / f64::from(u32::MAX)
    }

    /// Returns whether a leaf has had no calls for so long that it is to be measured again.
    fn is_unmeasured(&self, view: &LeafView, entry: &KnownLeaf, now_us: u64) -> bool {
        let others = self.active_vms.saturating_sub(1) as f64;
        let spread_us = (REMEASURE_SPREAD_US * others).min(MAX_REMEASURE_SPREAD_US);
        let spread_us = (self.share_of(view.leaf) * spread_us) as u64;
        let idle_us = now_us.saturating_sub(entry.last_contact_us);
        let service_calls = self.service_calls.get(&view.service).copied();
        let calls_since = service_calls
            .unwrap_or(0)
            .saturating_sub(entry.service_calls_at_contact);
        let is_due = idle_us >= REMEASURE_US + spread_us && calls_since >= REMEASURE_CALLS;
        is_due && view.may_measure && view.open_calls == 0
    }

    /// Returns the pace and the knee of a leaf, if there is evidence.
    pub fn pace_and_knee(&self, leaf: LeafKey, now_us: u64) -> Option<(f64, f64)> {
        let entry = self.leaves.get(&leaf)?;
        Some((entry.estimate.pace_at(now_us), entry.estimate.knee()))
    }

    /// Counts the open calls of this VM to a leaf at a turn of the sender.
    pub fn record_open_calls(&mut self, leaf: LeafKey, open_calls: usize) {
        if let Some(entry) = self.leaves.get_mut(&leaf) {
            entry.pending.record_open_calls(open_calls);
        }
    }

    /// Returns the reports for the other VMs, if they are due: on leaves with calls in flight or with
    /// calls that ended since the previous report.
    pub fn take_reports(
        &mut self,
        active_vms: usize,
        address_of: impl Fn(LeafKey) -> Option<SocketAddr>,
        now_us: u64,
    ) -> Vec<CapacityReport> {
        self.active_vms = active_vms;
        if now_us.saturating_sub(self.reported_us) < report_interval_us(active_vms) {
            return Vec::new();
        }
        self.reported_us = now_us;
        let due = self.leaves.iter_mut();
        let mut due: Vec<_> = due.filter(|(_, entry)| entry.pending.is_due()).collect();
        due.sort_unstable_by_key(|(_, entry)| entry.reported_us);
        let mut reports = Vec::new();
        for (leaf, entry) in due.into_iter().take(MAX_REPORTS) {
            entry.reported_us = now_us;
            reports.extend(address_of(*leaf).map(|address| entry.take_report(address)));
        }
        reports
    }

    /// Removes the leaves that are no longer kept.
    pub fn retain(&mut self, is_kept: impl Fn(LeafKey) -> bool) {
        self.leaves.retain(|leaf, _| is_kept(*leaf));
    }
}

/// Returns the time between two reports of a VM.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::leaf_capacity::report_interval_us;
/// assert_eq!(report_interval_us(6), 60_000);
/// assert_eq!(report_interval_us(100), 1_000_000);
/// ```
pub fn report_interval_us(active_vms: usize) -> u64 {
    let active_vms = u64::try_from(active_vms).unwrap_or(u64::MAX);
    REPORT_INTERVAL_US.max(active_vms.saturating_mul(REPORT_SPACING_US))
}
