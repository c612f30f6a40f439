//! Limits the requests of all VMs to a leaf while it is cold, without I/O.
//!
//! Handles leaves that have started, that were evacuated or whose address refused connections: all VMs
//! would send them their full share at once. VMs report their calls to cold leaves to each other, and each
//! deducts the calls of all of them from the same rate, as for the limits that leaves name.

use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::warmups::Warmup;
use crate::gateway::rate_limit::{RateLimit, RateUsage};

/// Time for which a leaf counts as cold after the report of a VM which has found that it is. It exceeds
/// some intervals between reports, since datagrams may be lost.
const REPORT_HOLD_MS: u64 = 1_000;

/// Returns the hash that names a cold process in reports. Earlier builds know no such process and ignore the
/// report.
pub fn cold_process_hash(process: u64) -> u64 {
    xxh3_64_with_seed(b"cold", process)
}

/// Times for which a leaf is cold, and the limit on its requests meanwhile.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::evacuation::{ColdLeaf, Warmup};
/// let warmup = Warmup { duration_ms: 3_000, rate_milli: 5_000 };
/// let mut cold = ColdLeaf::default();
/// cold.record_return(warmup.duration_ms, 0);
/// cold.update(Some(warmup), 0);
/// assert!(cold.wait_us(1_000, 1) > Some(100_000));
/// cold.update(Some(warmup), 3_000_000);
/// assert_eq!(cold.wait_us(3_000_000, 1), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdLeaf {
    /// End of the warm-up that the leaf's record or a status check names.
    named_until_ms: u64,
    /// End of the warm-up after an evacuation.
    returned_until_ms: u64,
    /// End of the warm-up after the address refused connections.
    reconnected_until_ms: u64,
    /// Time until which another VM says that the leaf is cold.
    reported_until_ms: u64,
    limit: Option<RateLimit>,
}

impl ColdLeaf {
    /// Applies the rest of the warm-up that a new or changed record names. It counts instead of that after a
    /// reconnection.
    pub fn record_named(&mut self, left_ms: u64, now_ms: u64) {
        self.record_status(left_ms, now_ms);
        self.reconnected_until_ms = 0;
    }

    /// Applies the rest of the warm-up that the answer to a status check names.
    pub fn record_status(&mut self, left_ms: u64, now_ms: u64) {
        self.named_until_ms = now_ms.saturating_add(left_ms);
    }

    /// Records that the evacuation of the leaf's domain has ended.
    pub fn record_return(&mut self, duration_ms: u64, now_ms: u64) {
        self.returned_until_ms = now_ms.saturating_add(duration_ms);
    }

    /// Records that the address of the leaf accepts connections again. A warm-up that its record names counts
    /// instead.
    pub fn record_reconnection(&mut self, duration_ms: u64, now_ms: u64) {
        if now_ms >= self.named_until_ms {
            self.reconnected_until_ms = now_ms.saturating_add(duration_ms);
        }
    }

    /// Returns whether this VM has found the leaf to be cold itself.
    fn is_known_cold(&self, now_ms: u64) -> bool {
        let ends_ms = [
            self.named_until_ms,
            self.returned_until_ms,
            self.reconnected_until_ms,
        ];
        ends_ms.iter().any(|end_ms| now_ms < *end_ms)
    }

    /// Begins or ends the limit, as the leaf and the configuration of its service require; returns whether
    /// requests are limited.
    pub fn update(&mut self, warmup: Option<Warmup>, now_us: u64) -> bool {
        let now_ms = now_us / 1_000;
        let is_cold = self.is_known_cold(now_ms) || now_ms < self.reported_until_ms;
        let Some(warmup) = warmup.filter(|_| is_cold) else {
            self.limit = None;
            return false;
        };
        let rate_milli = Some(warmup.rate_milli);
        match &mut self.limit {
            Some(limit) if limit.usage(now_us).rate_milli == rate_milli => {}
            limit => *limit = Some(RateLimit::new(warmup.rate_milli, now_us)),
        }
        true
    }

    /// Returns the time until this VM may send a call, or `None` if it may send none.
    pub fn wait_us(&self, now_us: u64, vms: u32) -> Option<u64> {
        let limit = self.limit.as_ref();
        limit.map_or(Some(0), |limit| limit.wait_us(now_us, vms))
    }

    /// Returns the limit on requests, if the leaf is cold.
    pub fn limit_mut(&mut self) -> Option<&mut RateLimit> {
        self.limit.as_mut()
    }

    /// Returns what this VM reports to the others. Only a VM that has found the leaf to be cold itself names
    /// the rate: VMs that learn it from reports must not keep the leaf cold among themselves.
    pub fn usage(&self, now_us: u64) -> Option<RateUsage> {
        let usage = self.limit.as_ref()?.usage(now_us);
        let is_known = self.is_known_cold(now_us / 1_000);
        Some(RateUsage {
            rate_milli: usage.rate_milli.filter(|_| is_known),
            ..usage
        })
    }

    /// Applies the report of another VM.
    pub fn apply_usage(
        &mut self,
        warmup: Option<Warmup>,
        peer: IpAddr,
        usage: &RateUsage,
        now_us: u64,
        vms: u32,
    ) {
        if usage.rate_milli.is_some() {
            self.reported_until_ms = now_us / 1_000 + REPORT_HOLD_MS;
        }
        self.update(warmup, now_us);
        if let Some(limit) = &mut self.limit {
            // The rate comes from the configuration of this VM, not from the report.
            let usage = RateUsage {
                rate_milli: limit.usage(now_us).rate_milli,
                age_us: now_us,
                calls: usage.calls,
            };
            limit.apply_usage(peer, &usage, now_us, vms);
        }
    }
}
