//! HTTP gateway that routes each request by host and path to one leaf, or to one leaf of each shard
//! and merges the records of the replies.
//!
//! Modules without I/O contain the decisions: [`routes`], [`catalog`], [`leaf_stats`],
//! [`pause_predictor`], [`fanout_schedule`], [`merge`], [`vm_selection`], [`concurrency_limiter`],
//! [`retry_budgets`], [`usage_window`], [`content_quarantine`], [`unanswered_runs`], [`rate_limit`], [`leaf_notices`],
//! [`retry_after`], [`capacity`], [`link_monitor`], [`stop_schedule`], [`catalog_sources`], [`memory_limits`], [`process_delays`],
//! [`admission`], [`evacuation::evacuations`], [`evacuation::cold_leaf`], [`leaf_capacity`]; of [`leaf_bodies`] the bound and the count.

pub mod admission;
mod attempt;
pub mod body_memory;
pub mod call;
pub mod capacity;
pub mod catalog;
pub mod catalog_rpc;
pub mod catalog_sources;
pub mod catalog_sync;
pub mod concurrency_limiter;
pub mod concurrency_permit;
pub mod connection;
pub mod connection_limits;
pub mod content;
pub mod content_quarantine;
pub mod engine;
pub mod entry;
pub mod evacuation;
pub mod evidence_sync;
pub mod explain;
pub mod fanout;
pub mod fanout_schedule;
pub mod follower;
pub mod forwarded_request;
pub mod forwarder;
mod late_reply;
pub mod leaf_bodies;
pub mod leaf_capacity;
mod leaf_end_check;
pub mod leaf_notices;
pub mod leaf_reports;
pub mod leaf_stats;
pub mod leaves;
mod link_check;
pub mod link_monitor;
pub mod membership;
pub mod memory_limits;
pub mod merge;
mod metered_stream;
pub mod metrics;
pub mod open_requests;
pub mod pause_predictor;
pub mod process_delays;
pub mod rate_limit;
mod reconnect;
mod refusal;
pub mod reply_memory;
pub mod reply_origin;
mod request_run;
pub mod retry_after;
pub mod retry_budgets;
pub mod routes;
pub mod service;
mod shard;
pub mod stop_schedule;
mod stop_signal;
pub mod unanswered_runs;
pub mod usage_window;
pub mod vm_client;
pub mod vm_selection;
pub mod vm_server;

pub use admission::{Admission, AdmissionPermit};
pub use body_memory::{BodyMemory, BodyReadError};
pub use call::{CallSpec, OpenCall};
pub use capacity::CapacityError;
pub use catalog::{
    Catalog, CatalogImage, CatalogUpdate, Change, ChangeSet, ChangeSummary, LeafRecord,
};
pub use catalog_rpc::CatalogRpcError;
pub use catalog_sources::CatalogSources;
pub use catalog_sync::watches_platform;
pub use concurrency_limiter::{CompletedRequest, ConcurrencyLimiter};
pub use concurrency_permit::ConcurrencyPermit;
pub use connection::{CallError, Connection, Reply};
pub use connection_limits::{ConnectionLimits, connection_share};
pub use content::Content;
pub use content_quarantine::{ContentQuarantine, ContentSuccess, ContentVerdict, CrashedAttempt};
pub use engine::{Engine, Headers};
pub use entry::{Gateway, GatewaySettings};
pub use evacuation::{
    ColdLeaf, DomainChange, Evacuation, Evacuations, SourceChanges, SourceImage, Warmup,
    WarmupSettings,
};
pub use explain::{ExplainError, ExplainRequest, Explanation};
pub use fanout_schedule::{CallLatency, FanoutDecision, FanoutSchedule, ShardCounts};
pub use follower::{CatalogSource, CatalogSourceError, Follower};
pub use forwarded_request::{ForwardedRequest, NotRunReason, PriorCalls};
pub use forwarder::Forwarder;
pub use leaf_bodies::{BodiesInFlight, BodyBound};
pub use leaf_end_check::{LeafAnswer, LeafQuestion};
pub use leaf_notices::LeafNotices;
pub use leaf_reports::{LeafReport, Observation, RateReport, ReportQueue};
pub use leaf_stats::LeafStats;
pub use leaves::{LeafCost, LeafVerdict, Leaves, NoLeafError};
pub use link_monitor::{CheckResult, LinkChange, LinkMonitor, LinkState};
pub use membership::{LiveVm, Membership};
pub use memory_limits::MemoryLimits;
pub use merge::merge_records;
pub use metrics::Metrics;
pub use open_requests::OpenRequests;
pub use pause_predictor::{PausePeriod, PausePredictor, Stall};
pub use process_delays::ProcessDelays;
pub use rate_limit::{RateLimit, RateUsage, SharingVms};
pub use reply_memory::{ReceiveError, ReplyBuffer, ReplyMemory, ReplyReceiver, SIZE_CLASSES};
pub use reply_origin::{OriginHeaders, ReplyHistory};
pub use retry_after::RetryAfter;
pub use retry_budgets::{RetryBudgetLimits, RetryBudgets};
pub use routes::{
    CallerLimits, Destination, RouteDocument, RouteSpec, RouteTable, ServiceNames, ServiceSpec,
    min_parts, pick_weighted,
};
pub use service::CallerService;
pub use stop_schedule::StopSchedule;
pub use unanswered_runs::{RecentSuccesses, UnansweredRun, UnansweredRuns};
pub use usage_window::UsageWindow;
pub use vm_client::{ChosenVm, VmCallError, VmClient};
pub use vm_selection::{active_vms, caller_addresses, desired_active_vms, leaf_using_vms};
pub use vm_server::VmServer;
