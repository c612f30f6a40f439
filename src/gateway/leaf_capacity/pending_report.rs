//! Collects what the next report on a leaf tells the other VMs, without I/O.

use std::net::SocketAddr;

use super::estimate::CapacitySample;
use super::message::CapacityReport;

/// Calls of this VM to one leaf since its previous report.
#[derive(Clone, Copy, Debug, Default)]
pub struct PendingReport {
    turns: u32,
    open_calls_sum: u64,
    ended_calls: u16,
    during_in_flight_sum: f64,
    ratio_sum: f64,
    was_in_flight: bool,
}

/// Rounds a value that is not negative to an integer.
fn rounded(value: f64) -> u32 {
    value.round() as u32
}

impl PendingReport {
    /// Counts the open calls at a turn of the sender.
    pub fn record_open_calls(&mut self, open_calls: usize) {
        self.turns += 1;
        self.open_calls_sum += open_calls as u64;
    }

    /// Adds an ended call.
    pub fn record_ended(&mut self, sample: CapacitySample) {
        if self.ended_calls == u16::MAX {
            return;
        }
        self.ended_calls += 1;
        self.during_in_flight_sum += sample.in_flight;
        self.ratio_sum += sample.ratio;
    }

    /// Returns whether there is something to tell: calls have ended, are in flight, or were when the
    /// previous report was sent.
    pub fn is_due(&self) -> bool {
        self.ended_calls > 0 || self.open_calls_sum > 0 || self.was_in_flight
    }

    /// Returns the report on the leaf and begins the next one.
    pub fn take(&mut self, leaf: SocketAddr) -> CapacityReport {
        let ended_calls = f64::from(self.ended_calls.max(1));
        let in_flight = self.open_calls_sum as f64 / f64::from(self.turns.max(1));
        let report = CapacityReport {
            leaf,
            in_flight_centi: rounded(in_flight * 100.0),
            ended_calls: self.ended_calls,
            during_in_flight_centi: rounded(self.during_in_flight_sum / ended_calls * 100.0),
            ratio_milli: rounded(self.ratio_sum / ended_calls * 1_000.0),
        };
        *self = Self {
            was_in_flight: self.open_calls_sum > 0,
            ..Self::default()
        };
        report
    }
}
