//! Applies the estimates of what each leaf takes well, if they are enabled.

use std::net::IpAddr;

use tracing::info;

use super::{Leaf, Leaves};
use crate::gateway::leaf_capacity::{
    CapacityChange, CapacityReport, EndedCall, LeafCapacities, LeafView, WorkKind,
};
use crate::gateway::pause_predictor::Stall;
use crate::ids::LeafKey;

/// Costs for failures and stalls above which a leaf is not called to measure it: about what remains of
/// one failure after 2.5 s.
const MAX_MEASURED_COST_US: u64 = 12_000;

/// Largest number of VMs that use the leaves for which estimates choose leaves. Among more VMs, each hears of the
/// calls of the others too rarely: with ten, fewer requests were in time than without estimates.
const MAX_ESTIMATING_VMS: u32 = 8;

impl Leaves {
    /// Enables the estimates. The seed differs between VMs.
    pub fn estimate_capacity(&mut self, vm_seed: u64) {
        self.capacities = Some(LeafCapacities::new(vm_seed));
    }

    /// Returns whether the estimates are enabled.
    pub fn estimates_capacity(&self) -> bool {
        self.capacities.is_some()
    }

    /// Returns whether few enough VMs share the leaves.
    fn chooses_by_estimates(&self) -> bool {
        self.sharing_vms.count() <= MAX_ESTIMATING_VMS
    }

    /// Returns the expected latency of a further call with the costs for failures and stalls.
    pub(super) fn expected_us(
        &self,
        kind: WorkKind,
        key: LeafKey,
        leaf: &Leaf,
        now_us: u64,
    ) -> u64 {
        let leaf_stats = &leaf.leaf_stats;
        let capacities = self.capacities.as_ref();
        let Some(capacities) = capacities.filter(|_| self.chooses_by_estimates()) else {
            return leaf_stats.expected_us(leaf.record.slots, now_us);
        };
        let added_us = leaf_stats.added_costs_us(now_us);
        capacities.expected_us(kind, &view(key, leaf, now_us), now_us) + added_us
    }

    /// Records that a call to a leaf begins, which `LeafStats` does not count yet. Returns the number of
    /// calls of all VMs in flight with it, or 0 if the estimates are not enabled.
    pub fn begin_call(&mut self, key: LeafKey, now_us: u64) -> f64 {
        let (Some(capacities), Some(leaf)) = (&mut self.capacities, self.arena.get(&key)) else {
            return 0.0;
        };
        capacities.begin_call(&view(key, leaf, now_us), now_us)
    }

    /// Returns the number of calls of all VMs to a leaf in flight, or 0 if the estimates are not enabled.
    pub fn calls_in_flight(&self, key: LeafKey, now_us: u64) -> f64 {
        let (Some(capacities), Some(leaf)) = (&self.capacities, self.arena.get(&key)) else {
            return 0.0;
        };
        capacities.calls_in_flight(key, leaf.leaf_stats.open_calls(), now_us)
    }

    /// Records the stall that a reply has ended, before the calls which it held up are observed.
    pub fn observe_held_up_calls(&mut self, key: LeafKey, stall: Stall) {
        if let Some(capacities) = &mut self.capacities {
            capacities.record_stall(key, stall);
        }
    }

    /// Adds the evidence of an ended call.
    pub fn observe_ended_call(&mut self, key: LeafKey, call: &EndedCall) {
        let Some(capacities) = &mut self.capacities else {
            return;
        };
        let change = capacities.observe(key, call);
        self.log_capacity(key, change);
    }

    /// Applies another VM's report of a leaf.
    pub fn apply_capacity_report(&mut self, peer: IpAddr, report: &CapacityReport, now_us: u64) {
        let Some(key) = self.by_address.get(&report.leaf).copied() else {
            return;
        };
        let (Some(capacities), Some(leaf)) = (&mut self.capacities, self.arena.get(&key)) else {
            return;
        };
        let change = capacities.apply_report(&view(key, leaf, now_us), peer, report, now_us);
        self.log_capacity(key, change);
    }

    fn log_capacity(&self, key: LeafKey, change: Option<CapacityChange>) {
        let (Some(change), Some(leaf)) = (change, self.arena.get(&key)) else {
            return;
        };
        let pace_percent = (change.pace * 100.0).round() as u64;
        let knee = change.knee;
        info!(event = "leaf_capacity_changed", leaf = %leaf.address(), pace_percent, knee);
    }

    /// Counts the open calls at a turn of the sender, and returns the reports for the other VMs if they
    /// are due.
    pub fn capacity_reports(&mut self, active_vms: usize, now_us: u64) -> Vec<CapacityReport> {
        if !self.chooses_by_estimates() {
            return Vec::new();
        }
        let Some(capacities) = &mut self.capacities else {
            return Vec::new();
        };
        let arena = &self.arena;
        for (key, leaf) in arena {
            capacities.record_open_calls(*key, leaf.leaf_stats.open_calls());
        }
        let address_of = |key| arena.get(&key).map(Leaf::address);
        capacities.take_reports(active_vms, address_of, now_us)
    }

    /// Returns the pace and the knee of a leaf, if the estimates are enabled and there is evidence.
    pub fn pace_and_knee(&self, key: LeafKey, now_us: u64) -> Option<(f64, f64)> {
        self.capacities.as_ref()?.pace_and_knee(key, now_us)
    }

    /// Forgets the estimates of leaves that are no longer kept.
    pub(super) fn forget_capacities(&mut self) {
        let arena = &self.arena;
        if let Some(capacities) = &mut self.capacities {
            capacities.retain(|key| arena.contains_key(&key));
        }
    }
}

/// Returns a leaf as this VM sees it. A leaf that fails or is stalled is not called to measure it.
fn view(key: LeafKey, leaf: &Leaf, now_us: u64) -> LeafView {
    LeafView {
        leaf: key,
        service: leaf.service,
        slots: leaf.record.slots,
        open_calls: leaf.leaf_stats.open_calls(),
        may_measure: leaf.leaf_stats.added_costs_us(now_us) < MAX_MEASURED_COST_US,
    }
}
