//! Whether a leaf is leaving, from signals that may contradict each other.

/// Time after which a refusal no longer counts against a status that reports no drain.
///
/// A status endpoint may be frozen for long, so a status alone does not lift a refusal; without
/// any limit a leaf that cancelled its drain would stay unused.
const REFUSAL_HOLD_MS: u64 = 30_000;

/// The same where no other leaf of the shard takes work.
///
/// No call has another place to go, so one that the leaf refuses again costs little. Four status
/// reads, after which all VMs know the refusal.
const LAST_REPLICA_HOLD_MS: u64 = 1_000;

/// Signals that a leaf is leaving: configuration and VM list, status, refusal of a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainSignals {
    configured: bool,
    reported: bool,
    refused_ms: Option<u64>,
    reported_since_refusal: bool,
}

impl DrainSignals {
    /// Takes what configuration and VM list say.
    pub fn set_configured(&mut self, leaving: bool) {
        self.configured = leaving;
    }

    /// Returns whether configuration or VM list take the leaf away.
    pub fn is_configured(&self) -> bool {
        self.configured
    }

    /// Takes a refusal by the leaf itself, seen here or by another VM.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refused_ms = Some(now_ms);
        self.reported_since_refusal = false;
    }

    /// Returns whether a refusal by the leaf itself counts.
    pub fn has_refused(&self) -> bool {
        self.refused_ms.is_some()
    }

    /// Takes a status.
    ///
    /// A status without drain lifts a refusal only if the endpoint has reported the drain since,
    /// which proves that it is not frozen, or after a time: a long one if the shard `has_other_replica`,
    /// another leaf that takes its work.
    pub fn record_status(&mut self, draining: bool, has_other_replica: bool, now_ms: u64) {
        self.reported = draining;
        let Some(refused_ms) = self.refused_ms else {
            return;
        };
        if draining {
            self.reported_since_refusal = true;
            return;
        }
        let held_ms = now_ms.saturating_sub(refused_ms);
        let hold_ms = if has_other_replica {
            REFUSAL_HOLD_MS
        } else {
            LAST_REPLICA_HOLD_MS
        };
        if self.reported_since_refusal || held_ms >= hold_ms {
            self.refused_ms = None;
        }
    }

    /// Takes a connection after failed attempts: a process that came back has not refused anything.
    pub fn record_restart(&mut self) {
        self.reported = false;
        self.refused_ms = None;
    }

    /// Returns whether the leaf gets no new work.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::drain::DrainSignals;
    /// let mut signals = DrainSignals::default();
    /// signals.record_refusal(0);
    /// signals.record_status(false, true, 100);
    /// assert!(signals.is_draining());
    /// ```
    pub fn is_draining(&self) -> bool {
        if crate::faults::is_check_disabled("check.drain") {
            return false;
        }
        self.configured || self.reported || self.refused_ms.is_some()
    }
}
