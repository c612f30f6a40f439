//! Datagram by which active VMs share what their calls show of leaves, and their calls in flight.
//!
//! It is sent on the socket of the leaf reports. Its first byte differs from all versions of these, so
//! that builds which don't know it drop it as another version. It has ages instead of timestamps, and
//! means of ended calls instead of fitted values: fits of few calls can't be merged without bias.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::gateway::leaf_reports::LeafReportsError;
use crate::wire::decode;

/// First byte of the datagram. Versions of the leaf reports count up from 4.
pub const LEAF_CAPACITY_VERSION: u8 = 128;

/// Maximum number of reports in one datagram, so that it fits an Ethernet frame: a report takes at
/// most 38 bytes.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 38;

/// Greatest number of calls and of calls in flight that is believed.
const MAX_CALLS: u32 = 10_000;

/// Calls of a VM to one leaf since its previous report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CapacityReport {
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Mean number of calls of the VM in flight, in hundredths.
    pub in_flight_centi: u32,
    /// Number of ended calls that tell how fast the leaf is.
    pub ended_calls: u16,
    /// Mean number of calls of all VMs in flight during the ended calls, in hundredths.
    pub during_in_flight_centi: u32,
    /// Mean latency of the ended calls relative to the usual one of their work, in thousandths.
    pub ratio_milli: u32,
}

/// Reports of a VM to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CapacityDatagram {
    /// Version of the format.
    pub version: u8,
    /// Reports on leaves.
    pub reports: Vec<CapacityReport>,
}

impl CapacityDatagram {
    /// Returns the datagrams that contain the reports.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::CapacityDatagram;
    /// assert!(CapacityDatagram::of_reports(&[]).is_empty());
    /// ```
    pub fn of_reports(reports: &[CapacityReport]) -> Vec<Self> {
        let chunks = reports.chunks(MAX_REPORTS_PER_DATAGRAM);
        let of_chunk = |chunk: &[CapacityReport]| Self {
            version: LEAF_CAPACITY_VERSION,
            reports: chunk.to_vec(),
        };
        chunks.map(of_chunk).collect()
    }

    /// Returns whether a datagram is meant to be one of this format.
    pub fn is_meant(bytes: &[u8]) -> bool {
        bytes.first() == Some(&LEAF_CAPACITY_VERSION)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Fails on another version and on malformed content.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::leaf_capacity::CapacityDatagram;
    /// use cloverrack::gateway::leaf_reports::LeafReportsError;
    /// let malformed = Err(LeafReportsError::Malformed);
    /// assert_eq!(CapacityDatagram::read(&[128, 255]), malformed);
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, LeafReportsError> {
        match bytes.first() {
            Some(&LEAF_CAPACITY_VERSION) => decode(bytes).map_err(|_| LeafReportsError::Malformed),
            Some(version) => Err(LeafReportsError::OtherVersion(*version)),
            None => Err(LeafReportsError::Malformed),
        }
    }
}

impl CapacityReport {
    /// Returns the mean number of calls of the VM in flight.
    pub fn in_flight(&self) -> f64 {
        f64::from(self.in_flight_centi.min(MAX_CALLS * 100)) / 100.0
    }

    /// Returns the mean number of calls of all VMs in flight during the ended calls.
    pub fn during_in_flight(&self) -> f64 {
        f64::from(self.during_in_flight_centi.min(MAX_CALLS * 100)) / 100.0
    }

    /// Returns the mean latency relative to the usual one.
    pub fn ratio(&self) -> f64 {
        f64::from(self.ratio_milli) / 1_000.0
    }
}
