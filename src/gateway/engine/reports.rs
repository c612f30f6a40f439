//! Queues reports on leaves for the other active VMs, and applies theirs.

use std::net::{IpAddr, SocketAddr};

use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{Engine, State};
use crate::clock::boot_us;
use crate::gateway::leaf_capacity::CapacityDatagram;
use crate::gateway::leaf_reports::{LeafReport, Observation, RateReport, ReportQueue};
use crate::gateway::pause_predictor::Stall;
use crate::ids::LeafKey;

impl Engine {
    /// Removes and returns the queued leaf reports for the other active VMs.
    pub fn take_reports(&self) -> Vec<LeafReport> {
        let now_us = boot_us();
        let state = &mut *self.state();
        if state.link_monitor.is_lost() {
            state.report_queue = ReportQueue::default();
        }
        // The reports wait until it is known whether the links of this VM are at fault.
        let links = &state.link_monitor;
        if links.is_lost() || links.may_be_lost(state.leaves.usable_count()) {
            return Vec::new();
        }
        for (leaf, silent_us) in state.leaves.unreported_stalls(now_us) {
            let since_us = now_us.saturating_sub(silent_us);
            // Replies may have arrived that this process has not read.
            if state.process_delays.running_us(since_us, now_us) * 2 <= silent_us {
                continue;
            }
            let silent_us = u32::try_from(silent_us).unwrap_or(u32::MAX);
            state
                .report_queue
                .add(leaf, now_us, Observation::Stalled { silent_us });
        }
        state.report_queue.take(now_us)
    }

    /// Returns the reports for the other VMs on leaves that have named a limit.
    pub fn rate_reports(&self) -> Vec<RateReport> {
        self.state().leaves.rate_reports(boot_us())
    }

    /// Returns the reports for the other VMs on calls to cold leaves.
    pub fn cold_reports(&self, is_active: bool) -> Vec<RateReport> {
        self.state().leaves.cold_reports(is_active, boot_us())
    }

    /// Applies the reports of another VM on leaves that have named a limit.
    pub fn apply_rate_reports(&self, peer: IpAddr, rate_reports: &[RateReport], now_us: u64) {
        let state = &mut *self.state();
        for report in rate_reports {
            state.leaves.apply_rate_report(peer, report, now_us);
        }
    }

    /// Enables the estimates of what each leaf takes well.
    pub fn estimate_leaf_capacity(&self, own: SocketAddr) {
        let vm_seed = xxh3_64(own.to_string().as_bytes());
        self.state().leaves.estimate_capacity(vm_seed);
    }

    /// Returns the datagrams for the other VMs on what leaves take well, if they are due. A VM whose links
    /// to the leaves are lost sends none.
    pub fn capacity_datagrams(&self, active_vms: usize) -> Vec<CapacityDatagram> {
        let state = &mut *self.state();
        let reports = state.leaves.capacity_reports(active_vms, boot_us());
        if state.link_monitor.is_lost() {
            return Vec::new();
        }
        self.metrics.count_capacity_reports("sent", reports.len());
        CapacityDatagram::of_reports(&reports)
    }

    /// Applies the datagram of another VM on what leaves take well, unless the estimates are not enabled.
    pub fn apply_capacity_datagram(&self, peer: IpAddr, datagram: &CapacityDatagram) {
        let now_us = boot_us();
        let state = &mut *self.state();
        if !state.leaves.estimates_capacity() {
            return;
        }
        let received = datagram.reports.len();
        self.metrics.count_capacity_reports("received", received);
        for report in &datagram.reports {
            state.leaves.apply_capacity_report(peer, report, now_us);
        }
    }

    /// Applies the leaf reports of another active VM.
    pub fn apply_reports(&self, leaf_reports: &[LeafReport], now_us: u64) {
        let state = &mut *self.state();
        for report in leaf_reports {
            state.leaves.apply_report(report, now_us);
        }
    }
}

impl State {
    /// Queues a report for the other active VMs if a leaf failed a call. A success is only reported
    /// for a leaf that failed recently.
    pub(in crate::gateway) fn report_outcome(
        &mut self,
        leaf: LeafKey,
        observation: Observation,
        now_us: u64,
    ) {
        let Some(leaf) = self.leaves.get(leaf) else {
            return;
        };
        if observation == Observation::Failed || leaf.leaf_stats.is_outlier(now_us) {
            self.report_queue.add(leaf.address(), now_us, observation);
        }
    }

    /// Records that a leaf wants no calls from this VM for a time, and queues a report on it for the
    /// other active VMs.
    pub(in crate::gateway) fn record_retry_after(&mut self, leaf: LeafKey, wait_ms: u64) {
        let now_us = boot_us();
        self.leaves.record_retry_after(leaf, wait_ms, now_us);
        let Some(leaf) = self.leaves.get(leaf) else {
            return;
        };
        info!(event = "leaf_retry_after", leaf = %leaf.address(), wait_ms);
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        let observation = Observation::RetryAfter { wait_ms };
        self.report_queue.add(leaf.address(), now_us, observation);
    }

    /// Records a completed stall of a leaf and queues a report on it for the other active VMs.
    pub(in crate::gateway) fn record_stall(&mut self, leaf: LeafKey, stall: Option<Stall>) {
        let (Some(stall), Some(leaf_entry)) = (stall, self.leaves.get(leaf)) else {
            return;
        };
        let address = leaf_entry.address();
        let running_us = self.process_delays.running_us(stall.start_us, stall.end_us);
        if running_us <= leaf_entry.leaf_stats.stall_limit_us() {
            return;
        }
        let stall_us = stall.end_us.saturating_sub(stall.start_us);
        let observation = Observation::Resumed {
            stall_us: u32::try_from(stall_us).unwrap_or(u32::MAX),
        };
        self.report_queue.add(address, stall.end_us, observation);
        self.leaves.observe_held_up_calls(leaf, stall);
        self.leaves.observe_stall(leaf, stall);
    }
}
