//! Shares leaf observations between active VMs, so that requests avoid leaves on which calls of
//! other VMs stalled or failed: stalls and their ends, failures, refusals for a named time, and replies
//! of leaves that failed recently. VMs also report their calls to leaves that have named a limit on their rate.
//!
//! Handles leaves that pause, are slow, shed load or lose replies. Each VM observes only its own
//! calls, a few per second to each leaf of a large fleet: without reports, every VM would spend
//! some calls on each faulty leaf to detect it. Datagrams carry ages instead of timestamps, since
//! the clocks of VMs differ.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{debug, info, warn};

use super::engine::Engine;
use super::leaf_capacity::CapacityDatagram;
use super::rate_limit::RateUsage;
use crate::clock::boot_us;
use crate::wire::{decode, encode};

/// Interval at which an active VM sends pending reports: a tenth of a typical pause, so that most
/// of the pause remains when the reports arrive.
const FLUSH_MS: u64 = 20;

/// Interval on a standby VM, which has hardly anything to report; each check costs processor time.
const STANDBY_FLUSH_MS: u64 = 200;

/// Version of the datagram format; datagrams of other versions are dropped.
pub const LEAF_REPORTS_VERSION: u8 = 4;

/// Maximum number of reports in one datagram, so that it fits an Ethernet frame: a report takes at
/// most 20 bytes.
const MAX_REPORTS_PER_DATAGRAM: usize = 60;

/// Interval between the reports on leaves that have named a limit. Until the next one, several VMs
/// may send the calls that are left.
const RATE_REPORT_INTERVAL_US: u64 = 60_000;

/// Least time between two of these reports of a VM, to different VMs. It bounds what a VM sends and receives in
/// fleets with more than ten active VMs; VMs that hear each other too rarely keep to equal shares.
const RATE_REPORT_SPACING_US: u64 = 6_000;

/// Maximum number of reports on limits in one datagram: such a report takes at most 40 bytes.
const MAX_RATE_REPORTS_PER_DATAGRAM: usize = 30;

/// Maximum number of pending reports. Further ones are dropped, since reports are only hints.
const MAX_PENDING_REPORTS: usize = 240;

/// Size of the receive buffer.
const RECEIVE_BYTES: usize = 2_048;

/// Maximum number of VMs of other versions that are logged, once each: they send reports every 20 ms.
const MAX_LOGGED_MISMATCHES: usize = 128;

/// Maximum age of a report that is applied.
const MAX_AGE_US: u32 = 2_000_000;

/// Observation of a leaf by a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Observation {
    /// The leaf has stopped replying.
    Stalled {
        /// Time without a reply to the VM while calls were open, in microseconds.
        silent_us: u32,
    },
    /// The leaf replied again after a stall.
    Resumed {
        /// Duration of the stall, in microseconds.
        stall_us: u32,
    },
    /// The leaf refused a call and wants none from the VM for a time.
    RetryAfter {
        /// That time, in milliseconds.
        wait_ms: u32,
    },
    /// The leaf failed or refused a call.
    Failed,
    /// The leaf answered a call after recent failures.
    Answered,
}

/// Observation of a leaf with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafReport {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Age of the observation when the report was sent.
    pub age_us: u32,
    /// What the VM observed.
    pub observation: Observation,
}

/// Calls of a VM to a leaf process that has named a limit on their rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct RateReport {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Hash of the leaf's process.
    pub process: u64,
    /// Limit and calls.
    pub usage: RateUsage,
}

/// Reports of a VM to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Datagram {
    /// Version of the format.
    pub version: u8,
    /// Observations of leaves.
    pub leaf_reports: Vec<LeafReport>,
    /// Calls to leaves that have named a limit.
    pub rate_reports: Vec<RateReport>,
}

/// Reason why reports are not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum LeafReportsError {
    /// The sender uses another version of the format.
    #[error("leaf reports of version {0}")]
    OtherVersion(u8),
    /// The content is not a valid datagram.
    #[error("leaf reports are malformed")]
    Malformed,
}

impl Datagram {
    /// Decodes a received datagram. The version, its first byte, is checked before the rest, whose format
    /// depends on it.
    ///
    /// # Errors
    ///
    /// Fails on another version and on malformed content.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_reports::{Datagram, LeafReportsError};
    /// assert_eq!(Datagram::read(&[3]), Err(LeafReportsError::OtherVersion(3)));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, LeafReportsError> {
        match bytes.first() {
            Some(&LEAF_REPORTS_VERSION) => decode(bytes).map_err(|_| LeafReportsError::Malformed),
            Some(version) => Err(LeafReportsError::OtherVersion(*version)),
            None => Err(LeafReportsError::Malformed),
        }
    }
}

/// Reports that wait to be sent.
#[derive(Debug, Default)]
pub struct ReportQueue {
    leaf_reports: Vec<(u64, LeafReport)>,
}

impl ReportQueue {
    /// Adds an observation of a leaf made at `seen_us`.
    pub fn add(&mut self, leaf: SocketAddr, seen_us: u64, observation: Observation) {
        if self.leaf_reports.len() >= MAX_PENDING_REPORTS {
            return;
        }
        let report = LeafReport {
            leaf,
            age_us: 0,
            observation,
        };
        self.leaf_reports.push((seen_us, report));
    }

    /// Removes and returns all reports, with their ages at `now_us`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{ReportQueue, Observation};
    /// let mut pending = ReportQueue::default();
    /// pending.add(([127, 0, 0, 1], 7000).into(), 201_000, Observation::Failed);
    /// let leaf_reports = pending.take(201_500);
    /// assert_eq!((leaf_reports[0].age_us, leaf_reports[0].observation), (500, Observation::Failed));
    /// ```
    pub fn take(&mut self, now_us: u64) -> Vec<LeafReport> {
        let mut leaf_reports = Vec::with_capacity(self.leaf_reports.len());
        for (seen_us, mut report) in self.leaf_reports.drain(..) {
            let waited_us = now_us.saturating_sub(seen_us);
            report.age_us = u32::try_from(waited_us).unwrap_or(u32::MAX);
            leaf_reports.push(report);
        }
        leaf_reports
    }
}

impl LeafReport {
    /// Returns the time of the observation on this VM's clock, or `None` if the age of the report
    /// exceeds `MAX_AGE_US`.
    pub fn seen_us(&self, now_us: u64) -> Option<u64> {
        if self.age_us > MAX_AGE_US {
            return None;
        }
        Some(now_us.saturating_sub(u64::from(self.age_us)))
    }
}

/// Returns the time until a VM checks for pending reports again.
fn flush_interval_ms(active_vms: &[SocketAddr], own: SocketAddr) -> u64 {
    if active_vms.contains(&own) {
        FLUSH_MS
    } else {
        STANDBY_FLUSH_MS
    }
}

/// Returns the interval between the reports of a VM on leaves that have named a limit.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::leaf_reports::rate_report_interval_us;
/// assert_eq!(rate_report_interval_us(7), 60_000);
/// assert_eq!(rate_report_interval_us(100), 600_000);
/// ```
pub fn rate_report_interval_us(active_vms: usize) -> u64 {
    let active_vms = u64::try_from(active_vms).unwrap_or(u64::MAX);
    RATE_REPORT_INTERVAL_US.max(active_vms.saturating_mul(RATE_REPORT_SPACING_US))
}

/// Sends the reports of the VM with internal address `own` to the other active VMs until the task
/// is dropped.
pub async fn send(socket: Arc<UdpSocket>, engine: Arc<Engine>, own: SocketAddr) {
    let mut rates_reported_us = 0;
    loop {
        let active_vms = engine.active_vm_addresses();
        let interval_ms = flush_interval_ms(&active_vms, own);
        engine.record_turn(interval_ms);
        sleep(Duration::from_millis(interval_ms)).await;
        engine.record_turn(0);
        let mut datagrams = Vec::new();
        for chunk in engine.take_reports().chunks(MAX_REPORTS_PER_DATAGRAM) {
            datagrams.push((chunk.to_vec(), Vec::new()));
        }
        let now_us = boot_us();
        let rate_interval_us = rate_report_interval_us(active_vms.len());
        if now_us.saturating_sub(rates_reported_us) >= rate_interval_us {
            rates_reported_us = now_us;
            let mut rate_reports = engine.rate_reports();
            rate_reports.extend(engine.cold_reports(active_vms.contains(&own)));
            for chunk in rate_reports.chunks(MAX_RATE_REPORTS_PER_DATAGRAM) {
                datagrams.push((Vec::new(), chunk.to_vec()));
            }
        }
        for (leaf_reports, rate_reports) in datagrams {
            let datagram = Datagram {
                version: LEAF_REPORTS_VERSION,
                leaf_reports,
                rate_reports,
            };
            send_to_others(&socket, &datagram, &active_vms, own).await;
        }
        for datagram in engine.capacity_datagrams(active_vms.len()) {
            send_to_others(&socket, &datagram, &active_vms, own).await;
        }
    }
}

/// Sends a datagram to the active VMs other than this one.
async fn send_to_others<T: Encode + Sync>(
    socket: &UdpSocket,
    datagram: &T,
    active_vms: &[SocketAddr],
    own: SocketAddr,
) {
    let port = socket.local_addr().map_or(0, |address| address.port());
    let bytes = match encode(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(event = "leaf_reports_not_encoded", %error);
            return;
        }
    };
    for active_vm in active_vms.iter().filter(|active_vm| **active_vm != own) {
        let to = SocketAddr::new(active_vm.ip(), port);
        if let Err(error) = socket.send_to(&bytes, to).await {
            debug!(event = "leaf_reports_not_sent", %to, %error);
        }
    }
}

/// Receives and applies reports of other active VMs until the task is dropped.
pub async fn receive(socket: Arc<UdpSocket>, engine: Arc<Engine>) {
    let mut buffer = vec![0; RECEIVE_BYTES];
    let mut mismatches: HashSet<(SocketAddr, u8)> = HashSet::new();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(event = "leaf_reports_not_received", %error);
                sleep(Duration::from_millis(FLUSH_MS)).await;
                continue;
            }
        };
        let bytes = &buffer[..length];
        if CapacityDatagram::is_meant(bytes) {
            match CapacityDatagram::read(bytes) {
                Ok(datagram) => engine.apply_capacity_datagram(from.ip(), &datagram),
                Err(error) => warn!(event = "leaf_reports_malformed", %from, %error),
            }
            continue;
        }
        match Datagram::read(bytes) {
            Ok(datagram) => {
                engine.apply_reports(&datagram.leaf_reports, boot_us());
                engine.apply_rate_reports(from.ip(), &datagram.rate_reports, boot_us());
            }
            Err(LeafReportsError::OtherVersion(version)) => {
                if mismatches.len() < MAX_LOGGED_MISMATCHES && mismatches.insert((from, version)) {
                    info!(event = "leaf_reports_version_mismatch", %from, version);
                }
            }
            Err(error) => warn!(event = "leaf_reports_malformed", %from, %error),
        }
    }
}
