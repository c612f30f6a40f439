//! Explanation of where a request would go, as it is sent to operators in JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::refusal::Refusal;
use crate::gateway::routes::Route;

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Host, in lowercase and without its port.
    pub host: Box<str>,
    /// Path without the query.
    pub path: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Version of the configuration.
    pub version: u64,
    /// Route of the request.
    pub route: RouteSummary,
    /// Whether the request would be refused on arrival.
    pub admission: Admission,
    /// Whether it would be forwarded to another VM.
    pub forwarding: Forwarding,
    /// Services that would be called; of those with weights, one.
    pub shards: Vec<ShardExplanation>,
}

/// Route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSummary {
    /// Name of the route.
    pub name: Box<str>,
    /// Path prefix.
    pub prefix: Box<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum number of leaves of a shard that a request is sent to.
    pub max_attempts: u32,
    /// Number of services.
    pub services: usize,
    /// Number of services of which a leaf has to answer.
    pub needed: usize,
}

impl RouteSummary {
    pub(super) fn new(route: &Route, services: usize, needed: usize) -> Self {
        let spec = &route.spec;
        Self {
            name: spec.name.clone(),
            prefix: spec.prefix.clone(),
            priority: spec.priority,
            idempotent: spec.idempotent,
            max_attempts: spec.max_attempts,
            services,
            needed,
        }
    }
}

/// Whether a request would be refused on arrival. One that goes to one of several services with weights counts
/// as refused if all of them would refuse it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Admission {
    /// Whether it would be sent to leaves.
    pub admitted: bool,
    /// Reason of the refusal.
    pub reason: Option<Box<str>>,
}

impl Admission {
    pub(super) fn new(refusal: Option<Refusal>) -> Self {
        Self {
            admitted: refusal.is_none(),
            reason: refusal.map(|refusal| refusal.to_string().into()),
        }
    }
}

/// Whether a request would be forwarded to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forwarding {
    /// This VM uses the leaves.
    None,
    /// There is no other VM that reaches the leaves.
    NoVm,
    /// This VM has lost its links to the leaves: all requests are forwarded.
    All,
    /// The links have come back: a shrinking share of the requests is forwarded.
    Some,
    /// The request would be refused here, and another VM may reach the leaves.
    AfterRefusal,
}

/// A service that would be called.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardExplanation {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight of the service, if a request goes to one of several.
    pub weight: Option<u64>,
    /// ID of the leaf that would be chosen.
    pub chosen: Option<Box<str>>,
    /// Reason why none would be.
    pub no_leaf: Option<NoLeafReason>,
    /// Extra calls that the retry budget for it allows now.
    pub retry_budget_calls: u64,
    /// All listed leaves, sorted by ID.
    pub leaves: Vec<LeafExplanation>,
}

/// Reason why no leaf of a service would be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum NoLeafReason {
    /// The service has no leaf that serves.
    NoneAvailable,
    /// All connections to its leaves are in use.
    NoConnection,
    /// Its leaves take no further calls for now.
    RateLimited,
    /// Its leaves want no calls.
    RetryAfter {
        /// Time until one may be called.
        for_ms: u64,
    },
    /// The addresses of its leaves refuse connections.
    Unreachable {
        /// Time since which all of them do.
        since_ms: u64,
    },
}

/// Verdict on a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeafExplanation {
    /// ID of the leaf.
    pub id: Box<str>,
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: Box<str>,
    /// Whether the leaf would be chosen.
    pub is_chosen: bool,
    /// Expected latency and all costs; absent if the leaf can't be chosen. The lowest is chosen.
    pub cost_us: Option<u64>,
    /// Calls of this VM that are open on the leaf.
    pub open_calls: usize,
    /// What counts against the leaf.
    pub reasons: Vec<LeafReason>,
}

/// What counts against a leaf: the costs are in microseconds of latency; without a cost, the leaf can't be
/// chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum LeafReason {
    /// It has announced its end.
    Draining,
    /// Its failure domain is evacuated.
    Evacuated,
    /// The request was sent to it before.
    Tried,
    /// Another process replied at its address.
    Misdirected {
        /// Time until it may be called.
        for_ms: u64,
    },
    /// Its address refuses connections.
    Unreachable {
        /// Time since which it does.
        since_ms: u64,
    },
    /// All connections that this VM may open to it are in use.
    NoConnection,
    /// It takes no further call by the limit that it has named.
    RateLimited,
    /// It has to answer an open call first, after a time without calls.
    Recovering,
    /// It has refused a request of this VM and wants no calls.
    RetryAfter {
        /// Time until it may be called.
        for_ms: u64,
    },
    /// Its expected latency exceeds that of the fastest leaf.
    Slower {
        /// Difference.
        cost_us: u64,
        /// Average latency of this VM's calls to it.
        average_us: u64,
        /// Smoothed rate of failed calls.
        failure_rate_ppm: u64,
        /// Whether it has not replied for much longer than usual.
        is_stalled: bool,
        /// Whether a call failed a moment ago.
        has_failed: bool,
    },
    /// It is in another failure domain.
    OtherDomain {
        /// Cost.
        cost_us: u64,
    },
    /// No idle connection to it is open.
    NewConnection {
        /// Cost.
        cost_us: u64,
    },
    /// It has started recently.
    Cold {
        /// Cost.
        cost_us: u64,
    },
    /// It pauses, or is about to.
    Paused {
        /// Rest of the pause.
        cost_us: u64,
    },
    /// The call has to wait for the rate that it has named.
    RateWait {
        /// Wait.
        cost_us: u64,
    },
    /// It wants no calls from another VM.
    RefusesOtherVms {
        /// Cost.
        cost_us: u64,
    },
}
