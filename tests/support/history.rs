//! Defines the recorded history of a concurrent run: calls, executions, document versions, leaving
//! targets and planned stops.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cloverrack::Version;
use cloverrack::answer::Answer;

/// One attempt of a caller. All times are wall-clock milliseconds of this machine.
#[derive(Clone, Debug)]
pub struct Call {
    /// VM to which the request was sent.
    pub vm: usize,
    /// Request id that the caller chose. A resent request keeps it.
    pub id: String,
    pub payload: String,
    pub idempotent: bool,
    /// Intended start, which is not later than the actual send.
    pub intended_ms: u64,
    /// Time at which the caller began to connect.
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// `None` if no valid answer arrived, for instance because the connection failed.
    pub answer: Option<Answer>,
}

/// One execution, as recorded by the stand-in of the leaf.
#[derive(Clone, Debug)]
pub struct Execution {
    pub leaf: SocketAddr,
    pub request: String,
    pub shard: u32,
    pub snapshot: String,
    pub payload: String,
    pub started_ms: u64,
    pub finished: bool,
}

/// Version of a document that was in force on one process at one time, from its status page.
#[derive(Clone, Debug)]
pub struct VersionSample {
    pub vm: usize,
    pub incarnation: String,
    pub at_ms: u64,
    pub document: String,
    pub version: Version,
}

/// A valid document that operators published.
#[derive(Clone, Debug)]
pub struct Published {
    pub document: String,
    pub version: Version,
    /// Time from which every sample must show this version or a newer one; `None` if it was
    /// superseded or the run ended before it was due.
    pub due_ms: Option<u64>,
}

/// A target that was announced as leaving.
#[derive(Clone, Debug)]
pub struct LeavingTarget {
    pub leaf: SocketAddr,
    pub announced_ms: u64,
    /// Time at which the announcement was withdrawn or draining ended.
    pub returned_ms: u64,
    /// Calls that the target refused later than `LEAVING_BOUND_MS` after the announcement.
    pub refused_late: u64,
}

/// A planned stop of a VM.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    pub vm: usize,
    pub signalled_ms: u64,
    pub ended_ms: u64,
    pub exit_code: Option<i32>,
}

/// Input of the checker.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub version_samples: Vec<VersionSample>,
    pub published: Vec<Published>,
    pub leaving: Vec<LeavingTarget>,
    pub stops: Vec<PlannedStop>,
    /// Number of shards of each layout, by layout id.
    pub layouts: BTreeMap<u32, u32>,
    /// Time for which callers may cache entry addresses.
    pub keep_ms: u64,
}
