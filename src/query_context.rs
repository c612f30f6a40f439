//! Input and result of one run of a request at a pinned snapshot.

use crate::answer::{MissingShard, ShardResult};
use crate::config::Policy;
use crate::ids::{ServiceKey, Snapshot};

/// Time reserved before the deadline for sending the answer to the caller.
const ANSWER_MARGIN_MS: u64 = 2;

/// Input of a run, derived from the caller's request and the service's configuration.
#[derive(Clone, Debug)]
pub(crate) struct QueryContext {
    pub(crate) service: ServiceKey,
    pub(crate) member: Box<str>,
    pub(crate) request_id: Box<str>,
    pub(crate) payload: Vec<u8>,
    pub(crate) fingerprint: u64,
    pub(crate) idempotent: bool,
    pub(crate) policy: Policy,
    /// Snapshots that became unavailable while the request ran.
    pub(crate) excluded: Vec<Snapshot>,
    /// Time since boot by which the answer must have reached the caller.
    pub(crate) deadline_ms: u64,
}

impl QueryContext {
    /// Returns the latest time at which the answer may be returned.
    pub(crate) fn answer_by_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(ANSWER_MARGIN_MS)
    }

    pub(crate) fn prefers_coverage(&self) -> bool {
        self.policy == Policy::Coverage
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct QueryResult {
    pub(crate) results: Vec<ShardResult>,
    pub(crate) missing: Vec<MissingShard>,
    /// Whether a leaf may have run a call whose answer is not among `results`.
    pub(crate) may_have_run: bool,
    /// Whether the run ended because no live replica of a shard serves the snapshot any more, while
    /// another snapshot covers all shards.
    pub(crate) snapshot_gone: bool,
}
