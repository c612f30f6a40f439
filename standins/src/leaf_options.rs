//! Behaviour of a leaf stand-in, and the record of what it ran.

use serde::{Deserialize, Serialize};

/// A way in which a leaf answers wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehaviour {
    /// Names another call.
    WrongCall,
    /// Names another snapshot.
    WrongSnapshot,
    /// Names another shard.
    WrongShard,
    /// Runs the call and never answers.
    Silent,
    /// Answers with an internal error.
    Error,
}

/// Behaviour of a leaf; all of it may change while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafOptions {
    /// Calls executed at a time; more are shed.
    pub slots: u32,
    /// Connections accepted at a time; more are closed.
    pub connections: u32,
    /// Time to set up a connection.
    pub connect_ms: u64,
    /// Time to execute a call.
    pub service_us: u64,
    /// Mean of an exponentially distributed time added to each execution.
    pub service_spread_us: u64,
    /// Share of calls that are slow.
    pub straggler_ppm: u32,
    /// Factor on the time of a slow call.
    pub straggler_factor: u32,
    /// Whether new work is refused.
    pub draining: bool,
    /// Whether the leaf reports that it started recently.
    pub cold: bool,
    /// Snapshots held, as (version, layout).
    pub snapshots: Vec<(u64, u32)>,
    /// Way in which answers are wrong.
    pub misbehaviour: Option<Misbehaviour>,
    /// Whether answers are valid but have no content.
    pub empty: bool,
    /// Whether all connections are cut and new ones refused.
    pub cut: bool,
    /// Whether the status endpoint goes on reporting the first status.
    pub status_frozen: bool,
    /// Whether executions are recorded one by one; a long run only counts them.
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

/// One execution of a call: the truth that outcomes are judged against.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Execution {
    /// Id of the call.
    pub call: String,
    /// Id of the caller's request.
    pub request: String,
    /// Shard asked for.
    pub shard: u32,
    /// Snapshot asked for.
    pub snapshot: String,
    /// Content.
    pub payload: String,
    /// Wall-clock time of the start.
    pub started_unix_ms: u64,
    /// Whether the execution ran to its end.
    pub finished: bool,
}

/// Counts of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeafCounts {
    /// Connections open now.
    pub connections: u32,
    /// Most connections open or asked for at one time.
    pub max_connections: u32,
    /// Calls executing now.
    pub in_flight: u32,
    /// Most calls executing at one time.
    pub max_in_flight: u32,
    /// Executions started.
    pub started: u64,
    /// Calls shed because all slots were in use.
    pub shed: u64,
    /// Calls refused because the leaf drains.
    pub refused_draining: u64,
}
