//! Limits the requests to leaves that are cold.

use std::collections::HashMap;
use std::net::IpAddr;

use super::Leaves;
use crate::gateway::evacuation::Warmup;
use crate::gateway::evacuation::cold_leaf::cold_process_hash;
use crate::gateway::leaf_reports::RateReport;
use crate::ids::{LeafKey, ServiceKey};

impl Leaves {
    /// Replaces the limits on requests to cold leaves, by service.
    pub fn set_warmups(&mut self, warmups: HashMap<ServiceKey, Warmup>, now_us: u64) {
        self.warmups = warmups;
        self.update_cold(now_us);
    }

    /// Begins and ends the limits on requests to cold leaves.
    pub fn update_cold(&mut self, now_us: u64) {
        if self.warmups.is_empty() && self.cold_leaves == 0 {
            return;
        }
        self.cold_leaves = 0;
        for leaf in self.arena.values_mut() {
            let warmup = self.warmups.get(&leaf.service).copied();
            let is_cold = leaf.cold.update(warmup, now_us);
            self.cold_leaves += usize::from(is_cold && !leaf.retired);
        }
    }

    /// Returns the number of leaves to which requests are limited since they are cold.
    pub fn cold_leaves(&self) -> usize {
        self.cold_leaves
    }

    /// Applies the rest of its warm-up that a leaf names in the answer to a status check.
    pub fn record_status_warmup(&mut self, key: LeafKey, left_ms: u64, now_us: u64) {
        if let Some(leaf) = self.arena.get_mut(&key) {
            leaf.cold.record_status(left_ms, now_us / 1_000);
            self.update_cold(now_us);
        }
    }

    /// Records that the address of a leaf, which refused connections, accepts them again.
    pub(super) fn record_reconnection(&mut self, key: LeafKey, now_us: u64) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        if let Some(warmup) = self.warmups.get(&leaf.service) {
            leaf.cold
                .record_reconnection(warmup.duration_ms, now_us / 1_000);
            self.update_cold(now_us);
        }
    }

    /// Returns the reports for the other VMs on calls to cold leaves. A standby VM reports only leaves that it
    /// has called: there are many, and they are not waited for.
    pub fn cold_reports(&mut self, is_active: bool, now_us: u64) -> Vec<RateReport> {
        self.update_cold(now_us);
        let mut reports = Vec::new();
        if self.cold_leaves == 0 {
            return reports;
        }
        for (_, leaf) in self.iter() {
            let Some(usage) = leaf.cold.usage(now_us) else {
                continue;
            };
            if !is_active && usage.calls == 0 {
                continue;
            }
            reports.push(RateReport {
                leaf: leaf.address(),
                process: cold_process_hash(leaf.record.process_hash()),
                usage,
            });
        }
        reports
    }

    /// Applies another VM's report on a cold leaf; returns whether the report is one on its process.
    pub(super) fn apply_cold_report(
        &mut self,
        peer: IpAddr,
        report: &RateReport,
        now_us: u64,
    ) -> bool {
        let vms = self.sharing_vms.count();
        let key = self.by_address.get(&report.leaf);
        let Some(leaf) = key.and_then(|key| self.arena.get_mut(key)) else {
            return false;
        };
        if cold_process_hash(leaf.record.process_hash()) != report.process {
            return false;
        }
        let warmup = self.warmups.get(&leaf.service).copied();
        let was_cold = leaf.cold.usage(now_us).is_some();
        leaf.cold
            .apply_usage(warmup, peer, &report.usage, now_us, vms);
        if !was_cold {
            self.update_cold(now_us);
        }
        true
    }
}
