//! Keeps how many calls the other VMs have in flight to a leaf, by their reports, without I/O.

use std::net::IpAddr;

/// Time after which a VM that has not reported counts as having no calls in flight.
const REPORT_TTL_US: u64 = 1_000_000;

/// Weight of a new report in the smoothed number. A report is older than most calls take: VMs that
/// follow each single one would all choose the same leaf at the same moment, and then all leave it.
pub(super) const NEW_REPORT_WEIGHT: f64 = 0.5;

/// Maximum number of VMs whose reports are kept for a leaf.
const MAX_PEERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    peer: IpAddr,
    in_flight: f64,
    seen_us: u64,
}

/// Calls of the other VMs in flight to one leaf.
#[derive(Clone, Debug, Default)]
pub struct PeerCalls {
    counts: Vec<PeerCount>,
}

impl PeerCalls {
    /// Records the number that a VM reports.
    pub fn record(&mut self, peer: IpAddr, in_flight: f64, now_us: u64) {
        self.counts
            .retain(|count| now_us.saturating_sub(count.seen_us) < REPORT_TTL_US);
        if let Some(count) = self.counts.iter_mut().find(|count| count.peer == peer) {
            count.in_flight += (in_flight - count.in_flight) * NEW_REPORT_WEIGHT;
            count.seen_us = now_us;
        } else if self.counts.len() < MAX_PEERS {
            self.counts.push(PeerCount {
                peer,
                in_flight: in_flight * NEW_REPORT_WEIGHT,
                seen_us: now_us,
            });
        }
    }

    /// Returns the number of VMs that have reported lately.
    pub fn reporting_vms(&self, now_us: u64) -> usize {
        let is_recent = |count: &&PeerCount| now_us.saturating_sub(count.seen_us) < REPORT_TTL_US;
        self.counts.iter().filter(is_recent).count()
    }

    /// Returns the calls in flight of all VMs that have reported lately.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::PeerCalls;
    /// let mut peer_calls = PeerCalls::default();
    /// for report in 0..20 {
    ///     peer_calls.record([127, 0, 0, 2].into(), 3.0, report * 100_000);
    /// }
    /// assert!((peer_calls.in_flight(1_900_000) - 3.0).abs() < 0.1);
    /// assert_eq!(peer_calls.in_flight(2_900_000), 0.0, "the VM has not reported for 1 s");
    /// ```
    pub fn in_flight(&self, now_us: u64) -> f64 {
        let mut sum = 0.0;
        for count in &self.counts {
            if now_us.saturating_sub(count.seen_us) < REPORT_TTL_US {
                sum += count.in_flight;
            }
        }
        sum
    }
}
