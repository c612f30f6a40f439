//! Decides whether a leaf is draining and gets no new work, from signals that may contradict each
//! other.
//!
//! A frozen status endpoint can keep reporting an old state, so a refusal by the leaf itself takes
//! precedence over its status for a limited time.

/// Time after a refusal during which a status that reports no drain is ignored.
///
/// A status endpoint may be frozen for a long time, so a status alone does not cancel a refusal.
/// Without a time limit, a leaf that cancelled its drain would stay unused.
const REFUSAL_HOLD_MS: u64 = 30_000;

/// Replaces `REFUSAL_HOLD_MS` if no other leaf of the shard takes work.
///
/// Calls have no other leaf to go to, so a call that the leaf refuses again costs little. The time
/// spans four status polls, after which the refusal has reached all VMs.
const LAST_REPLICA_HOLD_MS: u64 = 1_000;

/// Signals that a leaf is leaving: configuration and VM list, status, refusal of a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainSignals {
    removal_configured: bool,
    drain_reported: bool,
    refused_ms: Option<u64>,
    drain_reported_since_refusal: bool,
}

impl DrainSignals {
    /// Records whether the configuration or the VM list removes the leaf.
    pub fn set_configured(&mut self, leaving: bool) {
        self.removal_configured = leaving;
    }

    /// Returns whether the configuration or the VM list removes the leaf.
    pub fn is_configured(&self) -> bool {
        self.removal_configured
    }

    /// Records a refusal by the leaf itself, received by this or another VM.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refused_ms = Some(now_ms);
        self.drain_reported_since_refusal = false;
    }

    /// Returns whether a refusal by the leaf itself is in effect.
    pub fn has_refused(&self) -> bool {
        self.refused_ms.is_some()
    }

    /// Records a status reported by the leaf.
    ///
    /// A status without drain cancels a refusal if the endpoint has reported the drain since, which
    /// proves that it is not frozen. Otherwise such a status cancels the refusal only after a hold
    /// time: `REFUSAL_HOLD_MS` after the refusal if the shard `has_other_replica` that takes its
    /// work, or else `LAST_REPLICA_HOLD_MS`. Without such a status, the refusal stays in effect
    /// until the leaf restarts.
    pub fn record_status(&mut self, draining: bool, has_other_replica: bool, now_ms: u64) {
        self.drain_reported = draining;
        let Some(refused_ms) = self.refused_ms else {
            return;
        };
        if draining {
            self.drain_reported_since_refusal = true;
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(refused_ms);
        let hold_ms = if has_other_replica {
            REFUSAL_HOLD_MS
        } else {
            LAST_REPLICA_HOLD_MS
        };
        if self.drain_reported_since_refusal || elapsed_ms >= hold_ms {
            self.refused_ms = None;
        }
    }

    /// Discards refusal and status when a connection succeeds after failed attempts, since the
    /// restarted process has not refused any call.
    pub fn record_restart(&mut self) {
        self.drain_reported = false;
        self.refused_ms = None;
    }

    /// Returns whether any signal is in effect, so that the leaf gets no new work.
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
        self.removal_configured || self.drain_reported || self.refused_ms.is_some()
    }
}
