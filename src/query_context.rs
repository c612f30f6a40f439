//! What one run of a request works on, and how it ended.

use crate::answer::{MissingShard, ShardResult};
use crate::config::Policy;
use crate::ids::{ServiceKey, Snapshot};

/// Time kept at the end of the deadline for the answer to reach the caller.
const ANSWER_MARGIN_MS: u64 = 2;

/// What a run works on.
#[derive(Clone, Debug)]
pub(crate) struct QueryContext {
    pub(crate) service: ServiceKey,
    pub(crate) member: Box<str>,
    pub(crate) request_id: Box<str>,
    pub(crate) payload: Vec<u8>,
    pub(crate) fingerprint: u64,
    pub(crate) idempotent: bool,
    pub(crate) policy: Policy,
    /// Snapshots that vanished while the request ran.
    pub(crate) excluded: Vec<Snapshot>,
    pub(crate) deadline_ms: u64,
}

impl QueryContext {
    /// Returns the time at which the answer is given at the latest.
    pub(crate) fn answer_by_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(ANSWER_MARGIN_MS)
    }

    pub(crate) fn prefers_coverage(&self) -> bool {
        self.policy == Policy::Coverage
    }
}

/// How a run ended.
#[derive(Debug, Default)]
pub(crate) struct QueryResult {
    pub(crate) results: Vec<ShardResult>,
    pub(crate) missing: Vec<MissingShard>,
    /// Whether a call may have run without an answer that was merged.
    pub(crate) uncertain: bool,
    /// Whether the run ended because no live replica of a shard holds the snapshot any more, while
    /// another snapshot covers all shards.
    pub(crate) snapshot_gone: bool,
}
