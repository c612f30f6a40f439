//! Applies the limits that leaves name on the rate of their calls.

use std::net::IpAddr;

use tracing::info;

use super::{Leaf, Leaves};
use crate::gateway::leaf_reports::RateReport;
use crate::gateway::rate_limit::{MAX_WAIT_US, Rate, RateLimit};
use crate::ids::LeafKey;

impl Leaves {
    /// Returns how long a call to a leaf has to wait, or `None` if that is too long.
    pub(super) fn rate_limit_wait_us(&self, leaf: &Leaf, now_us: u64) -> Option<u64> {
        let vms = self.sharing_vms.count();
        let cold_wait_us = leaf.cold.wait_us(now_us, vms)?;
        let rate_limit = leaf.rate_limit.as_ref();
        let wait_us = rate_limit.map_or(Some(0), |limit| limit.wait_us(now_us, vms));
        let wait_us = wait_us.map(|wait_us| wait_us.max(cold_wait_us));
        wait_us.filter(|wait_us| *wait_us <= MAX_WAIT_US)
    }

    /// Deducts a call from the rate that a leaf has named and from that of a cold leaf, and returns the time at
    /// which the call may begin.
    pub fn reserve_call(&mut self, key: LeafKey, now_us: u64) -> u64 {
        let vms = self.sharing_vms.count();
        let Some(leaf) = self.arena.get_mut(&key) else {
            return now_us;
        };
        let limits = [leaf.rate_limit.as_mut(), leaf.cold.limit_mut()];
        let mut wait_us = 0;
        for limit in limits.into_iter().flatten() {
            wait_us = wait_us.max(limit.wait_us(now_us, vms).unwrap_or(0));
            limit.reserve(now_us, vms);
        }
        now_us + wait_us
    }

    /// Applies the limit that an answer of a leaf names, or `None` for an answer without one.
    pub fn record_rate(&mut self, key: LeafKey, rate: Rate, now_us: u64) {
        let vms = self.sharing_vms.count();
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        self.has_rate_limits |= rate.is_some();
        let was_active = leaf.rate_limit.as_ref().is_some_and(RateLimit::is_active);
        match (&mut leaf.rate_limit, rate) {
            (Some(rate_limit), _) => rate_limit.record_answer(rate, now_us, vms),
            (None, Some(rate_milli)) => {
                leaf.rate_limit = Some(RateLimit::new(rate_milli, now_us));
            }
            (None, None) => {}
        }
        if was_active != rate.is_some() {
            info!(event = "leaf_rate_limit", leaf = %leaf.address(), rate_milli = rate);
        }
    }

    /// Returns the reports for the other VMs on leaves that have named a limit, and drops expired
    /// limits.
    pub fn rate_reports(&mut self, now_us: u64) -> Vec<RateReport> {
        let mut reports = Vec::new();
        if !self.has_rate_limits {
            return reports;
        }
        for leaf in self.arena.values_mut() {
            let Some(rate_limit) = &leaf.rate_limit else {
                continue;
            };
            if rate_limit.is_expired(now_us) {
                leaf.rate_limit = None;
                continue;
            }
            reports.push(RateReport {
                leaf: leaf.address(),
                process: leaf.record.process_hash(),
                usage: rate_limit.usage(now_us),
            });
        }
        self.has_rate_limits = !reports.is_empty();
        reports
    }

    /// Applies another VM's report on a leaf that has named a limit.
    pub fn apply_rate_report(&mut self, peer: IpAddr, report: &RateReport, now_us: u64) {
        if self.apply_cold_report(peer, report, now_us) {
            return;
        }
        let vms = self.sharing_vms.count();
        let key = self.by_address.get(&report.leaf);
        let Some(leaf) = key.and_then(|key| self.arena.get_mut(key)) else {
            return;
        };
        if leaf.record.process_hash() != report.process {
            return;
        }
        if leaf.rate_limit.is_none() {
            let answered_us = now_us.saturating_sub(report.usage.age_us);
            let rate_milli = report.usage.rate_milli;
            leaf.rate_limit = rate_milli.map(|rate| RateLimit::new(rate, answered_us));
            self.has_rate_limits |= rate_milli.is_some();
        }
        if let Some(rate_limit) = &mut leaf.rate_limit {
            rate_limit.apply_usage(peer, &report.usage, now_us, vms);
        }
    }
}
