//! Types of callers' requests and of the answers to them.
//!
//! Outcomes and reasons are closed sets, so that overload, failures and partial coverage are always
//! reported explicitly. Coverage is counted from the merged shards.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::config::Policy;
use crate::ids::Snapshot;

/// Body of a request, as the caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// Full name of the service, `FILE/SERVICE`.
    pub service: Box<str>,
    /// Member on whose behalf the caller sends the request.
    pub member: Box<str>,
    /// Request id chosen by the caller; for a request that is not idempotent, its ticket.
    pub request_id: Box<str>,
    /// Time allowed for the answer.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Preference that overrides the service's policy.
    #[serde(default)]
    pub prefer: Option<Preference>,
    /// Content that is passed to the leaves.
    pub payload: Box<str>,
}

fn default_idempotent() -> bool {
    true
}

/// A caller's preference for latency or coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// An early answer with known coverage.
    Latency,
    /// A complete answer, even if late.
    Coverage,
}

impl From<Preference> for Policy {
    fn from(preference: Preference) -> Self {
        match preference {
            Preference::Latency => Self::Latency,
            Preference::Coverage => Self::Coverage,
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All shards of the snapshot are covered.
    Complete,
    /// Some shards of the snapshot are covered.
    Partial,
    /// No leaf started the request.
    NotRun,
    /// A leaf may have run the request.
    Unknown,
    /// The content is quarantined on all VMs; [`Answer::retry_after_ms`] gives the
    /// remaining time.
    Refused,
}

/// Reason for an outcome other than complete, or for a missing shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// No file in force declares the service.
    UnknownService,
    /// The deadline is missing, has passed or exceeds the service's limit.
    BadDeadline,
    /// Another request with the same id is in flight.
    DuplicateRequestId,
    /// A request that is not idempotent needs a ticket.
    TicketRequired,
    /// The ticket was used, and only the outcome and the snapshot of the answer are still cached.
    TicketUsed,
    /// The ticket was used for a request with other content; only that one may have run.
    TicketOtherContent,
    /// The ticket's issuer is another process that can't be reached or has ended.
    TicketIssuerLost,
    /// The ticket has expired.
    TicketExpired,
    /// This VM is stopping.
    Draining,
    /// This VM has not yet loaded the configuration.
    Starting,
    /// More requests are in flight or queued than can be completed in time.
    Overloaded,
    /// The deadline passed.
    Timeout,
    /// No replica could be reached.
    Unreachable,
    /// No live replica serves the snapshot.
    SnapshotGone,
    /// The leaf refused to start the call.
    Shed,
    /// The leaf failed, or its connection was lost.
    Failed,
    /// The content is quarantined because it crashed targets.
    Quarantined,
}

/// A shard of the snapshot's layout without a result in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct MissingShard {
    /// Shard number in the layout.
    pub shard: u32,
    /// Why it is missing.
    pub reason: Reason,
}

/// Result of one covered shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct ShardResult {
    /// Shard number in the layout.
    pub shard: u32,
    /// Body of the leaf's answer.
    pub body: Box<str>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Answer {
    /// Request id chosen by the caller.
    pub request_id: Box<str>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome, unless complete.
    pub reason: Option<Reason>,
    /// Snapshot that all results come from.
    pub snapshot: Option<Snapshot>,
    /// Number of shards in the snapshot's layout.
    pub shards: u32,
    /// Shards covered, in ascending order.
    pub covered: Vec<u32>,
    /// Shards missing, in ascending order.
    #[serde(rename = "lacking")]
    pub missing: Vec<MissingShard>,
    /// Results of the covered shards, in shard order.
    pub results: Vec<ShardResult>,
    /// Time after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Ticket block for requests that are not idempotent, if one is needed.
    pub ticket_block: Option<Box<str>>,
}

impl Answer {
    /// Creates an answer without results.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::{Answer, Outcome, Reason};
    /// let answer = Answer::without_results("r-1", Outcome::NotRun, Reason::Overloaded);
    /// assert!(answer.covered.is_empty());
    /// ```
    pub fn without_results(request_id: &str, outcome: Outcome, reason: Reason) -> Self {
        Self {
            request_id: request_id.into(),
            outcome,
            reason: Some(reason),
            snapshot: None,
            shards: 0,
            covered: Vec::new(),
            missing: Vec::new(),
            results: Vec::new(),
            retry_after_ms: None,
            ticket_block: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
