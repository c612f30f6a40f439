//! What carriers tell each other about leaves: stalls, their ends, failures, and answers of leaves that
//! failed lately.
//!
//! Answers the loads in which some leaves pause, are slow, shed or lose answers. Each VM sees only its own
//! calls, a few a second to each leaf of a large fleet: alone, every VM would spend some calls on each bad
//! leaf to find out. Ages travel instead of times, since the clocks of VMs differ.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{debug, warn};

use super::engine::Engine;
use crate::clock::boot_us;
use crate::wire::{decode, encode};

/// Time between two looks at what there is to tell: a tenth of a usual pause, so that most of it is left
/// when the others hear of it.
const FLUSH_MS: u64 = 20;

/// The same on a VM that carries no requests: it has hardly anything to tell, and each look costs
/// processor time.
const IDLE_FLUSH_MS: u64 = 200;

/// Version of the datagram; others are dropped.
const LEAF_REPORTS_VERSION: u8 = 2;

/// Notes in one datagram, so that it fits an Ethernet frame: a note takes at most 20 bytes.
const MAX_REPORTS_PER_DATAGRAM: usize = 60;

/// Notes that wait for the next look at most; more are dropped, since they are only hints.
const MAX_PENDING: usize = 240;

/// Largest datagram read.
const RECEIVE_BYTES: usize = 2_048;

/// Oldest note that is believed.
const MAX_AGE_US: u32 = 2_000_000;

/// What a VM saw of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Observation {
    /// It has stopped answering.
    Stalled {
        /// Time since its last answer to the VM, with calls open, in microseconds.
        silent_us: u32,
    },
    /// It answered again after a time without answers.
    Resumed {
        /// Time without answers, in microseconds.
        stall_us: u32,
    },
    /// It failed or refused a call.
    Failed,
    /// It answered a call, although it had failed some lately.
    Answered,
}

/// What a VM saw of a leaf, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafReport {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Time since then.
    pub age_us: u32,
    /// What was seen.
    pub observation: Observation,
}

#[derive(Debug)]
#[derive(Encode, Decode)]
struct Datagram {
    version: u8,
    leaf_reports: Vec<LeafReport>,
}

/// Notes that wait to be sent.
#[derive(Debug, Default)]
pub struct ReportQueue {
    leaf_reports: Vec<(u64, LeafReport)>,
}

impl ReportQueue {
    /// Adds what is seen of a leaf at `seen_us`.
    pub fn add(&mut self, leaf: SocketAddr, seen_us: u64, observation: Observation) {
        if self.leaf_reports.len() >= MAX_PENDING {
            return;
        }
        let report = LeafReport {
            leaf,
            age_us: 0,
            observation,
        };
        self.leaf_reports.push((seen_us, report));
    }

    /// Takes all notes, with their ages at `now_us`.
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
    /// Returns when it was seen on this VM's clock; `None` if that is too long ago to be told exactly.
    pub fn seen_us(&self, now_us: u64) -> Option<u64> {
        if self.age_us > MAX_AGE_US {
            return None;
        }
        Some(now_us.saturating_sub(u64::from(self.age_us)))
    }
}

/// Returns the time until a VM looks for notes again.
fn flush_pause_ms(active_vms: &[SocketAddr], own: SocketAddr) -> u64 {
    if active_vms.contains(&own) {
        FLUSH_MS
    } else {
        IDLE_FLUSH_MS
    }
}

/// Sends the notes of the VM with internal address `own` to the other carriers until the task is dropped.
pub async fn send(socket: Arc<UdpSocket>, engine: Arc<Engine>, own: SocketAddr) {
    let port = socket.local_addr().map_or(0, |address| address.port());
    loop {
        let active_vms = engine.active_vm_addresses();
        let pause_ms = flush_pause_ms(&active_vms, own);
        sleep(Duration::from_millis(pause_ms)).await;
        let leaf_reports = engine.take_reports();
        if leaf_reports.is_empty() {
            continue;
        }
        for part in leaf_reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            let datagram = Datagram {
                version: LEAF_REPORTS_VERSION,
                leaf_reports: part.to_vec(),
            };
            let bytes = match encode(&datagram) {
                Ok(bytes) => bytes,
                Err(error) => {
                    warn!(event = "leaf_reports_not_encoded", %error);
                    continue;
                }
            };
            for active_vm in active_vms.iter().filter(|active_vm| **active_vm != own) {
                let to = SocketAddr::new(active_vm.ip(), port);
                if let Err(error) = socket.send_to(&bytes, to).await {
                    debug!(event = "leaf_reports_not_sent", %to, %error);
                }
            }
        }
    }
}

/// Takes other carriers' notes until the task is dropped.
pub async fn receive(socket: Arc<UdpSocket>, engine: Arc<Engine>) {
    let mut buffer = vec![0; RECEIVE_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(event = "leaf_reports_not_received", %error);
                sleep(Duration::from_millis(FLUSH_MS)).await;
                continue;
            }
        };
        match decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) if datagram.version == LEAF_REPORTS_VERSION => {
                engine.apply_reports(&datagram.leaf_reports, boot_us());
            }
            Ok(datagram) => {
                debug!(event = "leaf_reports_version_mismatch", %from, version = datagram.version);
            }
            Err(error) => warn!(event = "leaf_reports_malformed", %from, %error),
        }
    }
}
