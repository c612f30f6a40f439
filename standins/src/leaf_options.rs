//! Options, counters and execution records of the leaf stand-in.

use serde::{Deserialize, Serialize};

/// Fault in the response of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehaviour {
    /// Returns the ID of another call.
    WrongCall,
    /// Returns another snapshot.
    WrongSnapshot,
    /// Returns another shard number.
    WrongShard,
    /// Runs the call and never responds.
    Silent,
    /// Responds with status 500.
    Error,
}

/// Options of a leaf; all of them can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafOptions {
    /// Maximum number of concurrent calls; further calls are shed.
    pub slots: u32,
    /// Maximum number of open connections; further connections are closed.
    pub connections: u32,
    /// Time to set up a connection.
    pub connect_ms: u64,
    /// Time to execute a call.
    pub service_us: u64,
    /// Mean of the exponentially distributed time that is added to each execution.
    pub service_spread_us: u64,
    /// Share of calls that are stragglers.
    pub straggler_ppm: u32,
    /// Factor by which the execution of a straggler takes longer.
    pub straggler_factor: u32,
    /// Whether new calls are refused.
    pub draining: bool,
    /// Whether the leaf reports that it started recently.
    pub cold: bool,
    /// Available snapshots, as (version, layout).
    pub snapshots: Vec<(u64, u32)>,
    /// Fault in all responses.
    pub misbehaviour: Option<Misbehaviour>,
    /// Whether responses are valid but have an empty body.
    pub empty: bool,
    /// Whether open connections are dropped and new ones closed immediately.
    pub cut: bool,
    /// Whether the status endpoint keeps reporting the status from when this was set.
    pub status_frozen: bool,
    /// Whether each execution is recorded; long runs only count them.
    pub record: bool,
}

impl Default for LeafOptions {
    fn default() -> Self {
        Self {
            slots: 3,
            connections: 30,
            connect_ms: 0,
            service_us: 500,
            service_spread_us: 0,
            straggler_ppm: 0,
            straggler_factor: 20,
            draining: false,
            cold: false,
            snapshots: vec![(1, 1)],
            misbehaviour: None,
            empty: false,
            cut: false,
            status_frozen: false,
            record: true,
        }
    }
}

/// Record of one execution of a call, the ground truth for checking reported outcomes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Execution {
    /// ID of the call.
    pub call: String,
    /// ID of the caller's request.
    pub request: String,
    /// Requested shard.
    pub shard: u32,
    /// Requested snapshot.
    pub snapshot: String,
    /// Payload of the call.
    pub payload: String,
    /// Wall-clock time of the start.
    pub started_unix_ms: u64,
    /// Whether the execution was completed.
    pub finished: bool,
}

/// Counters of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeafCounts {
    /// Number of open connections.
    pub connections: u32,
    /// Maximum number of connections open or attempted at one time.
    pub max_connections: u32,
    /// Number of calls in execution.
    pub in_flight: u32,
    /// Maximum number of calls in execution at one time.
    pub max_in_flight: u32,
    /// Number of executions started.
    pub started: u64,
    /// Number of calls shed because all slots were in use.
    pub shed: u64,
    /// Number of calls refused because the leaf was draining.
    pub refused_draining: u64,
}
