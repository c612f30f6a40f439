//! A leaf with its statistics and connections on this VM.

use std::net::SocketAddr;

use crate::gateway::catalog::LeafRecord;
use crate::gateway::connection::IdleConnection;
use crate::gateway::evacuation::ColdLeaf;
use crate::gateway::leaf_stats::LeafStats;
use crate::gateway::pause_predictor::PausePredictor;
use crate::gateway::rate_limit::RateLimit;
use crate::gateway::retry_after::RetryAfter;
use crate::gateway::unanswered_runs::UnansweredRuns;
use crate::ids::ServiceKey;

/// A leaf with its statistics and connections on this VM.
#[derive(Debug)]
pub struct Leaf {
    /// Record that the leaf published.
    pub record: LeafRecord,
    /// Service of the leaf.
    pub service: ServiceKey,
    /// Latency and failure statistics.
    pub leaf_stats: LeafStats,
    /// Prediction of its regular pauses.
    pub pause_predictor: PausePredictor,
    /// Number of open connections, idle and in use.
    pub connections: u32,
    /// Idle connections.
    pub idle: Vec<IdleConnection>,
    /// End of the warm-up, as time since boot.
    pub warmup_until_ms: u64,
    /// Whether the leaf is no longer listed; its open calls may finish.
    pub retired: bool,
    /// Latest time at which it was known to live: its last reply, or the appearance of its record
    /// in a change of the list. 0 if it is not known.
    pub alive_us: u64,
    /// Whether the process has said in an answer, to this VM or another one, that it leaves.
    pub is_leaving: bool,
    /// Whether the failure domain of the leaf is evacuated.
    pub is_evacuated: bool,
    /// Limit on calls while the leaf is cold.
    pub cold: ColdLeaf,
    /// Time since which the address of the leaf refuses connections, if it does.
    pub unreachable_since_us: Option<u64>,
    /// Times for which the leaf wants no calls.
    pub retry_after: RetryAfter,
    /// Limit on the rate of calls that the leaf has named.
    pub rate_limit: Option<RateLimit>,
    /// Time of the first failed call since the leaf last replied, to this VM or another one.
    pub(super) failed_us: Option<u64>,
    /// Runs without an answer since the leaf last answered.
    pub unanswered_runs: UnansweredRuns,
    /// Time at which the leaf was found to be no longer listed.
    pub(super) retired_ms: u64,
    /// End of the exclusion after another process replied at its address.
    pub misdirected_until_ms: u64,
}

impl Leaf {
    /// Closes idle connections that have ended or expired.
    pub fn close_expired(&mut self, now_ms: u64) {
        let idle_before = self.idle.len();
        self.idle.retain(|idle| idle.is_usable(now_ms));
        let closed = u32::try_from(idle_before - self.idle.len()).unwrap_or(u32::MAX);
        self.connections = self.connections.saturating_sub(closed);
    }

    /// Returns whether an idle connection can be used.
    pub fn has_idle(&self, now_ms: u64) -> bool {
        self.idle.iter().any(|idle| idle.is_usable(now_ms))
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&mut self) {
        let closed = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        self.connections = self.connections.saturating_sub(closed);
        self.idle.clear();
    }

    /// Records that a call got no reply.
    pub fn record_failed_call(&mut self, now_us: u64) {
        self.failed_us.get_or_insert(now_us);
    }

    /// Returns whether the leaf may have ended already: a call failed since its last reply, or it
    /// does not reply. Such an end can't be attributed to a call that begins now.
    pub fn may_have_ended(&self, now_us: u64) -> bool {
        self.failed_us.is_some() || self.leaf_stats.is_stalled_anywhere(now_us)
    }

    /// Returns whether the leaf has announced its end, in its record or in an answer: it finishes its
    /// requests and must get no others.
    pub fn is_departing(&self) -> bool {
        self.record.draining || self.is_leaving
    }

    /// Returns the address on which the leaf listens.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }
}
