//! Query tier over many shards: sends each request to a leaf of every shard and merges the results.
//!
//! An answer is returned by its deadline, comes from one snapshot and states which shards it
//! covers, also when leaves are slow, overloaded or lost.
//!
//! The daemon `cloverrackd` runs a [`Node`] on every entry VM; the command-line client `cloverrack`
//! sends queries, shows the status of nodes and validates configuration files. Decision logic is
//! free of I/O and has modules of its own; `docs/design.md` lists them.
//!
//! ```
//! use cloverrack::ConfigFile;
//! let file = ConfigFile::parse(b"region = \"pnw\"").unwrap();
//! assert!(file.services.is_empty());
//! ```

pub mod admission;
pub mod answer;
mod at_most_once;
pub mod backoff;
pub mod caller_api;
mod capacity;
pub mod clock;
pub mod component_registry;
pub mod concurrency_limit;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod document;
mod document_sync;
pub mod drain;
pub mod entries;
mod execute;
pub mod fact;
pub mod faults;
pub mod fleet;
mod full_body;
pub mod gateway;
pub mod gossip;
pub mod head_memory;
pub mod http_server;
pub mod ids;
pub mod latency;
pub mod leaf;
mod lingering_stream;
pub mod log_rate_limiter;
mod measurements;
pub mod node;
pub mod operator_api;
mod owned_leaf;
pub mod owner;
pub mod peer_client;
pub mod peer_server;
pub mod placement;
pub mod platform;
pub mod quarantine;
mod query;
mod query_context;
pub mod query_string;
pub mod queue;
pub mod replica_selection;
pub mod report;
pub mod response_status;
pub mod retry_budget;
pub mod root;
pub mod running_timeout;
pub mod settings;
pub mod shard_attempts;
pub mod snapshot;
pub mod telemetry;
pub mod ticket;
pub mod watcher;
pub mod wire;

pub use admission::Admission;
pub use answer::{Answer, CallerRequest, Outcome, Reason};
pub use component_registry::ComponentRegistry;
pub use config::{ConfigError, ConfigFile, Policy};
pub use document::{DocumentStore, OfferOutcome, Version};
pub use entries::Entries;
pub use fleet::Fleet;
pub use ids::{CallId, Incarnation, LeafKey, ServiceKey, Snapshot, VmKey, fingerprint};
pub use latency::LatencyDistribution;
pub use node::Node;
pub use quarantine::Quarantine;
pub use queue::CallQueue;
pub use report::{Reports, ServiceReport};
pub use retry_budget::RetryBudget;
pub use settings::{Settings, SettingsError};
pub use ticket::{Ticket, Tickets};
