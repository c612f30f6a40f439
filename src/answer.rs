//! Callers' requests and the closed set of answers, with coverage counted from merged shards.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::config::Policy;
use crate::ids::Snapshot;

/// A request as the caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// Full name of the service, `FILE/SERVICE`.
    pub service: Box<str>,
    /// Member that the caller asks for.
    pub member: Box<str>,
    /// Caller's id of the request; for a request that is not idempotent, its ticket.
    pub request_id: Box<str>,
    /// Time allowed for the answer.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Wish that goes before the service's policy.
    #[serde(default)]
    pub prefer: Option<Preference>,
    /// Content for the leaves.
    pub payload: Box<str>,
}

fn default_idempotent() -> bool {
    true
}

/// A caller's wish for latency or coverage.
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

/// How a request ended.
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
    /// The content is refused on all VMs until the time given.
    Refused,
}

/// Why a request ended otherwise than complete, or why a shard is lacking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body is over the limit.
    TooLarge,
    /// No file in force declares the service.
    UnknownService,
    /// The deadline is missing, past or over the service's limit.
    BadDeadline,
    /// The same request id is in flight.
    DuplicateRequestId,
    /// A request that is not idempotent needs a ticket.
    TicketRequired,
    /// The ticket was used; of the answer, only the outcome and the snapshot are still kept.
    TicketUsed,
    /// The ticket was used for a request with other content, which alone may have run.
    TicketOtherContent,
    /// The ticket's issuer is another process that can't be reached or has ended.
    TicketIssuerLost,
    /// The ticket is past its time.
    TicketExpired,
    /// This VM is stopping.
    Draining,
    /// This VM has not yet learned the configuration.
    Starting,
    /// More work waits than can be done in time.
    Overloaded,
    /// The deadline passed.
    Timeout,
    /// No replica could be reached.
    Unreachable,
    /// No replica holds the snapshot.
    SnapshotGone,
    /// The leaf refused to start.
    Shed,
    /// The leaf failed or was lost.
    Failed,
    /// The content crashed targets.
    Quarantined,
}

/// A shard that the answer lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct MissingShard {
    /// Shard number in the layout.
    pub shard: u32,
    /// Why it is lacking.
    pub reason: Reason,
}

/// Content of one covered shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct ShardResult {
    /// Shard number in the layout.
    pub shard: u32,
    /// Content of the leaf's answer.
    pub body: Box<str>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Answer {
    /// The caller's id of the request.
    pub request_id: Box<str>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Why, if not complete.
    pub reason: Option<Reason>,
    /// Snapshot that all results come from.
    pub snapshot: Option<Snapshot>,
    /// Number of shards in the snapshot's layout.
    pub shards: u32,
    /// Shards covered, in order.
    pub covered: Vec<u32>,
    /// Shards lacking, in order.
    #[serde(rename = "lacking")]
    pub missing: Vec<MissingShard>,
    /// Contents, in shard order.
    pub results: Vec<ShardResult>,
    /// Time after which to come back.
    pub retry_after_ms: Option<u64>,
    /// Ticket block for requests that are not idempotent, if one is needed.
    pub ticket_block: Option<Box<str>>,
}

impl Answer {
    /// Makes an answer without results.
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

    /// Sets the time after which to come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
