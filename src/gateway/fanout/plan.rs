//! What a request needs of the leaves, and what it got.

use crate::gateway::connection::{CallError, Reply};
use crate::gateway::fanout_schedule::FanoutSchedule;
use crate::gateway::forwarded_request::PriorCalls;
use crate::ids::ServiceKey;

/// Plan of the calls that a request sends to leaves.
#[derive(Clone, Debug)]
pub struct FanoutPlan {
    /// Name of the route.
    pub route: Box<str>,
    /// Service of each shard; a request to a single leaf has one.
    pub services: Vec<ServiceKey>,
    /// Minimum number of shards in a response.
    pub min_parts: usize,
    /// Maximum number of leaves of a shard that the request is sent to.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an error response of a leaf may be relayed to the caller.
    pub relays_errors: bool,
    /// Target latency of the route.
    pub target_us: u64,
    /// Time within which a leaf is expected to answer.
    pub expected_us: u64,
    /// Deadlines of the request.
    pub schedule: FanoutSchedule,
    /// What other VMs have done with the request.
    pub prior_calls: PriorCalls,
}

/// Result of a request.
#[derive(Debug)]
pub struct FanoutResult {
    /// Reply of each shard, if it has one.
    pub parts: Vec<Option<Reply>>,
    /// Whether enough shards replied.
    pub complete: bool,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Number of calls that were sent.
    pub sent_calls: usize,
    /// Calls after which another VM may run the request, or `None` if it must not.
    pub movable: Option<PriorCalls>,
    /// Whether a shard has no reply because its leaves refuse connections.
    pub is_unreachable: bool,
    /// Number of shards for which an extra call was denied.
    pub denied_retries: usize,
    /// Whether a call was not sent because the leaves had named a limit on their rate.
    pub is_rate_limited: bool,
    /// Whether a call was not sent because this VM stops before a leaf would answer.
    pub is_stopping: bool,
    /// Time at which the shards without a reply whose leaves want no calls may be called again.
    pub retry_at_us: Option<u64>,
    /// Error of the call that failed last.
    pub last_error: Option<CallError>,
    /// Whether the deadline of the request had passed.
    pub timed_out: bool,
    /// Median over the shards of the latency of the reply, or of the age of the latest call if it
    /// is still in flight.
    pub median_call_us: Option<u64>,
    /// Times at which the shards replied, since the request arrived, in ascending order.
    pub replied_us: Vec<u64>,
}
