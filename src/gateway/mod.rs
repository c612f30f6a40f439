//! HTTP gateway over routes: callers ask by host and path, one leaf or one leaf of each shard
//! answers, and the records of the shards are merged.
//!
//! Decisions stand in modules without a network: [`routes`], [`catalog`], [`pace`], [`policy`],
//! [`merge`], [`directory`], [`overload`], [`extra`].

pub mod call;
pub mod catalog;
pub mod connection;
pub mod directory;
pub mod engine;
pub mod entry;
pub mod exchange;
pub mod extra;
pub mod fanout;
pub mod follower;
pub mod leaves;
pub mod members;
pub mod merge;
pub mod meters;
pub mod notes;
pub mod overload;
pub mod pace;
pub mod place;
pub mod policy;
pub mod rhythm;
pub mod routes;
pub mod service;
mod shard;
pub mod spread;

pub use call::{CallSpec, OpenCall};
pub use catalog::{Catalog, CatalogImage, Change, Changed, Changes, LeafRecord, Update};
pub use connection::{CallError, Connection, Reply};
pub use directory::{caller_addresses, carriers, carriers_wanted};
pub use engine::{Engine, Headers};
pub use entry::{Gateway, GatewaySettings};
pub use exchange::ExchangeError;
pub use extra::{ExtraCallBounds, ExtraCalls};
pub use follower::{Follower, Source, SourceError};
pub use leaves::{ConnectionLimits, Leaves, NoLeaf, connection_share};
pub use members::{Member, Members};
pub use merge::merge_records;
pub use meters::Meters;
pub use notes::{Note, Pending, Sight};
pub use overload::{Ended, Overload};
pub use pace::Pace;
pub use place::Place;
pub use policy::{CallTimes, Schedule, Step, Tally};
pub use rhythm::{Interval, Rhythm, Stall};
pub use routes::{
    CallerLimits, Destination, RouteDocument, RouteSpec, RouteTable, ServiceNames, ServiceSpec,
    min_parts, pick_weighted,
};
pub use service::CallerService;
pub use spread::watches_platform;
