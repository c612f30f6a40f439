//! Provides each request with the current routes, a leaf with a free connection and the retry
//! budget.
//!
//! Handles changes of the configuration, the leaves and the number of VMs, and shares observations
//! of leaves that stall or fail with the other active VMs.

mod active_vms;
mod arrival;
mod reports;
mod retries;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::header::HeaderName;
use tokio::sync::{Notify, watch};
use tracing::info;

use active_vms::ActiveVms;

use super::admission::Admission;
use super::body_memory::BodyMemory;
use super::call::OpenCall;
use super::catalog::Catalog;
use super::concurrency_limiter::ConcurrencyLimiter;
use super::connection::Connection;
use super::connection_limits::ConnectionLimits;
use super::content_quarantine::ContentQuarantine;
use super::evacuation::{Evacuations, WarmupSettings};
use super::fanout_schedule::CallLatency;
use super::leaf_bodies::BodiesInFlight;
use super::leaf_capacity::WorkKind;
use super::leaf_reports::ReportQueue;
use super::leaves::{Leaf, Leaves, NoLeafError};
use super::link_monitor::LinkMonitor;
use super::memory_limits::MemoryLimits;
use super::metrics::Metrics;
use super::open_requests::OpenRequests;
use super::process_delays::ProcessDelays;
use super::reply_memory::ReplyMemory;
use super::reply_origin::OriginHeaders;
use super::retry_budgets::{RetryBudgetLimits, RetryBudgets};
use super::routes::{RouteTable, ServiceNames};
use super::stop_schedule::StopSchedule;
use super::stop_signal::RunTimes;
use super::unanswered_runs::RecentSuccesses;
use crate::clock::{boot_ms, boot_us};
use crate::fact::Fact;
use crate::head_memory::RequestHeadMemory;
use crate::http_server::ResponseMemory;
use crate::ids::{LeafKey, ServiceKey};

/// Memory of a VM, unless it is set.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1_048_576;

/// Names of the headers used between callers, the gateway and leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    /// ID of a request, which leaves echo.
    pub request_id: HeaderName,
    /// Time until the deadline of a request, in milliseconds.
    pub time_left_ms: HeaderName,
    /// ID of the only leaf that may run a request.
    pub expected_leaf: HeaderName,
    /// Signature of a leaf in its reply.
    pub signature: HeaderName,
    /// Marks the reply of a leaf that did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that a leaf takes from all VMs together.
    pub rate_limit: HeaderName,
    /// Says that the leaf which sent the reply leaves.
    pub leaving: HeaderName,
    /// Rest of the warm-up of a leaf in the answer to a status check, in milliseconds.
    pub warmup_ms: HeaderName,
    /// Signatures of the parts of a merged response.
    pub part_signatures: HeaderName,
    /// Shards that are missing in a merged response.
    pub missing_parts: HeaderName,
}

impl Headers {
    /// Returns the headers by which leaves identify their replies.
    pub fn origin(&self) -> OriginHeaders<'_> {
        OriginHeaders {
            request_id: &self.request_id,
            signature: &self.signature,
        }
    }
}

/// Mutable state of the gateway: configuration, leaves and call statistics.
#[derive(Debug)]
pub struct State {
    /// Service names and their keys.
    pub names: ServiceNames,
    /// Configuration and leaf records received from the platform.
    pub catalog: Catalog,
    /// Current routes, if a configuration was received.
    pub route_table: Option<Arc<RouteTable>>,
    /// Leaves with their statistics and connections.
    pub leaves: Leaves,
    /// Request bodies that this VM has in flight to each leaf.
    pub leaf_bodies: BodiesInFlight,
    /// Limits on the connections that this VM opens to leaves.
    pub limits: ConnectionLimits,
    /// Number of VMs among which connections and retry budgets are divided.
    pub vms: u32,
    /// Concurrency limits of scatter-gather requests.
    pub concurrency_limiter: ConcurrencyLimiter,
    /// Admission of requests of ranked routes.
    pub admission: Admission,
    /// Contents that crash leaves.
    pub content_quarantine: ContentQuarantine,
    /// Failure domains that operators evacuate.
    pub evacuations: Evacuations,
    /// Limits on requests to cold leaves.
    pub warmups: WarmupSettings,
    /// Whether a configuration has limited requests to cold leaves. Other VMs have to learn of its end too.
    pub(super) has_had_warmups: bool,
    pub(super) recorded_cold_leaves: usize,
    /// Links between this VM and the leaves.
    pub link_monitor: LinkMonitor,
    /// Times in which this process did not run.
    pub process_delays: ProcessDelays,
    pub(super) recent_successes: RecentSuccesses,
    pub(super) evidence_queue: Vec<Fact>,
    report_queue: ReportQueue,
    retry_budgets: RetryBudgets,
    call_latency: HashMap<Box<str>, CallLatency>,
}

/// Shared state of the gateway from which requests are routed to leaves.
#[derive(Debug)]
pub struct Engine {
    /// Header names.
    pub headers: Headers,
    /// Metrics of the gateway.
    pub metrics: Metrics,
    /// Limits on what this VM holds in memory.
    pub memory_limits: MemoryLimits,
    /// Memory that the replies of leaves share.
    pub reply_memory: Arc<ReplyMemory>,
    /// Memory that the bodies of requests share.
    pub body_memory: BodyMemory,
    /// Memory that the responses to callers share while they are sent.
    pub response_memory: ResponseMemory,
    /// Memory that the heads of requests share which exceed a read buffer.
    pub request_heads: RequestHeadMemory,
    /// Requests in progress on this VM.
    pub open_requests: OpenRequests,
    active_addresses: Mutex<Arc<[SocketAddr]>>,
    active_vms: Mutex<Option<ActiveVms>>,
    started_ms: u64,
    stop_grace_ms: AtomicU64,
    is_watcher: AtomicBool,
    live_vms: AtomicUsize,
    listed_vms: AtomicUsize,
    platform_is_reachable: AtomicBool,
    pub(super) evidence_queued: Notify,
    pub(super) forwards: watch::Sender<bool>,
    pub(super) refusal_recorded: Notify,
    pub(super) stop: watch::Sender<Option<StopSchedule>>,
    pub(super) run_times: RunTimes,
    state: Mutex<State>,
}

impl Engine {
    /// Creates an engine without routes or leaves.
    pub fn new(
        headers: Headers,
        limits: RetryBudgetLimits,
        own_domain: Box<str>,
        metrics: Metrics,
    ) -> Self {
        let memory_limits = MemoryLimits::new(DEFAULT_MEMORY_BYTES);
        let state = State {
            names: ServiceNames::default(),
            catalog: Catalog::default(),
            route_table: None,
            leaves: Leaves::new(own_domain),
            leaf_bodies: BodiesInFlight::default(),
            limits: ConnectionLimits::default(),
            vms: 1,
            concurrency_limiter: ConcurrencyLimiter::default(),
            admission: Admission::default(),
            content_quarantine: ContentQuarantine::default(),
            evacuations: Evacuations::default(),
            warmups: WarmupSettings::default(),
            has_had_warmups: false,
            recorded_cold_leaves: 0,
            link_monitor: LinkMonitor::default(),
            process_delays: ProcessDelays::default(),
            recent_successes: RecentSuccesses::default(),
            evidence_queue: Vec::new(),
            report_queue: ReportQueue::default(),
            retry_budgets: RetryBudgets::new(limits),
            call_latency: HashMap::new(),
        };
        Self {
            headers,
            metrics,
            memory_limits,
            reply_memory: Arc::new(ReplyMemory::new(memory_limits.large_reply_bytes)),
            body_memory: BodyMemory::new(memory_limits.body_bytes),
            response_memory: ResponseMemory::new(memory_limits.response_bytes),
            request_heads: RequestHeadMemory::new(memory_limits.request_head_bytes),
            open_requests: OpenRequests::default(),
            active_addresses: Mutex::new(Arc::from([])),
            active_vms: Mutex::default(),
            started_ms: boot_ms(),
            stop_grace_ms: AtomicU64::new(0),
            is_watcher: AtomicBool::new(true),
            live_vms: AtomicUsize::new(1),
            listed_vms: AtomicUsize::new(1),
            platform_is_reachable: AtomicBool::new(true),
            evidence_queued: Notify::new(),
            forwards: watch::Sender::new(false),
            refusal_recorded: Notify::new(),
            stop: watch::Sender::new(None),
            run_times: RunTimes::new(),
            state: Mutex::new(state),
        }
    }

    /// Divides the memory of a VM of another size.
    pub fn with_memory(mut self, memory_bytes: usize) -> Self {
        let memory_limits = MemoryLimits::new(memory_bytes);
        self.memory_limits = memory_limits;
        self.reply_memory = Arc::new(ReplyMemory::new(memory_limits.large_reply_bytes));
        self.body_memory = BodyMemory::new(memory_limits.body_bytes);
        self.response_memory = ResponseMemory::new(memory_limits.response_bytes);
        self.request_heads = RequestHeadMemory::new(memory_limits.request_head_bytes);
        self
    }

    /// Sets the size of the memory that the bodies of requests share.
    pub fn with_body_memory(mut self, bytes: usize) -> Self {
        self.body_memory = BodyMemory::new(bytes);
        self
    }

    /// Sets the size of the memory that the responses to callers share.
    pub fn with_response_memory(mut self, bytes: usize) -> Self {
        self.response_memory = ResponseMemory::new(bytes);
        self
    }

    /// Changes the limits of the retry budgets.
    pub fn set_retry_budget_limits(&self, limits: RetryBudgetLimits) {
        self.state().retry_budgets.set_limits(limits);
    }

    /// Changes the time from a stop signal to the end of the process, unless there was one.
    pub fn set_stop_grace_ms(&self, stop_grace_ms: u64) {
        self.stop_grace_ms.store(stop_grace_ms, Ordering::Relaxed);
    }

    /// Returns the time from a stop signal to the end of the process.
    pub fn stop_grace_ms(&self) -> u64 {
        self.stop_grace_ms.load(Ordering::Relaxed)
    }

    /// Sets whether this VM watches the platform itself.
    pub fn set_platform_watcher(&self, is_watcher: bool) {
        self.is_watcher.store(is_watcher, Ordering::Relaxed);
    }

    /// Returns whether this VM watches the platform itself.
    pub fn is_platform_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Sets whether the platform responded to the latest call.
    pub fn set_platform_reachable(&self, is_reachable: bool) {
        self.platform_is_reachable
            .store(is_reachable, Ordering::Relaxed);
    }

    /// Returns whether the platform responded to the latest call.
    pub fn platform_is_reachable(&self) -> bool {
        self.platform_is_reachable.load(Ordering::Relaxed)
    }

    /// Locks the state. The guard must not be held across an `.await`.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current routes, if a configuration was received.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.state().route_table.clone()
    }

    /// Updates the routes, leaves and connection limits from the catalog.
    pub fn refresh(&self) {
        let state = &mut *self.state();
        let newer_document = state.catalog.document();
        let newer_document = newer_document.filter(|document| {
            let current = state.route_table.as_ref();
            current.is_none_or(|route_table| route_table.version < document.version)
        });
        if let Some(document) = newer_document {
            let route_table = RouteTable::compile(document.clone(), &mut state.names);
            info!(
                event = "configuration_in_force",
                version = route_table.version
            );
            state.remove_unused_latencies(&route_table);
            state.route_table = Some(Arc::new(route_table));
        }
        let records = state.catalog.leaves();
        state.leaves.update(records, &mut state.names, boot_ms());
        self.record_ended_runs(state);
        let vms = state.vms.max(self.min_sharing_vms(state));
        if vms != state.vms {
            state.vms = vms;
            state.retry_budgets.set_vms(vms);
        }
        state.update_connection_limits();
    }

    /// Returns the call latency of a route, or an estimate before the first call.
    pub fn call_latency(&self, route: &str, target_us: u64) -> CallLatency {
        let state = self.state();
        let latency = state.call_latency.get(route).copied();
        latency.unwrap_or_else(|| CallLatency::new(target_us))
    }

    /// Records the latency of a call of a route.
    pub fn record_call_latency(&self, route: &str, target_us: u64, latency_us: u64) {
        let state = &mut *self.state();
        if let Some(latency) = state.call_latency.get_mut(route) {
            latency.record(latency_us);
            return;
        }
        let mut latency = CallLatency::new(target_us);
        latency.record(latency_us);
        state.call_latency.insert(route.into(), latency);
    }

    /// Records that this process runs, and when the calling task runs again.
    pub fn record_turn(&self, interval_ms: u64) {
        let delays = &mut self.state().process_delays;
        delays.record_turn(boot_us(), interval_ms * 1_000);
    }

    /// Opens a call to a leaf that begins at `started_us`, on an idle connection or on a new one that
    /// the call sets up.
    fn open(
        self: &Arc<Self>,
        leaf: LeafKey,
        leaf_entry: &mut Leaf,
        now_us: u64,
        started_us: u64,
    ) -> OpenCall {
        let connection = take_idle_connection(leaf_entry, now_us / 1_000);
        if connection.is_none() {
            leaf_entry.connections += 1;
            self.metrics.count_connection();
        }
        let may_have_ended = leaf_entry.may_have_ended(now_us);
        let call_number = leaf_entry.leaf_stats.start_call(started_us);
        let engine = Arc::clone(self);
        OpenCall::new(
            engine,
            leaf,
            call_number,
            started_us,
            may_have_ended,
            connection,
        )
    }

    /// Chooses a leaf and opens a call to it, which counts as in flight from then on.
    ///
    /// # Errors
    ///
    /// Fails if no leaf can take the call now.
    pub fn open_call(
        self: &Arc<Self>,
        kind: WorkKind,
        service: ServiceKey,
        tried: &[LeafKey],
    ) -> Result<OpenCall, NoLeafError> {
        self.open_chosen(&mut self.state(), kind, service, tried)
    }

    pub(super) fn open_chosen(
        self: &Arc<Self>,
        state: &mut State,
        kind: WorkKind,
        service: ServiceKey,
        tried: &[LeafKey],
    ) -> Result<OpenCall, NoLeafError> {
        let now_us = boot_us();
        let leaf = state
            .leaves
            .choose_for(kind, service, tried, &state.limits, now_us)?;
        let in_flight = state.leaves.begin_call(leaf, now_us);
        let started_us = state.leaves.reserve_call(leaf, now_us);
        state.link_monitor.record_call(now_us);
        let leaf_entry = state
            .leaves
            .get_mut(leaf)
            .ok_or(NoLeafError::NoneAvailable)?;
        let mut call = self.open(leaf, leaf_entry, now_us, started_us);
        (call.kind, call.in_flight) = (kind, in_flight);
        Ok(call)
    }
}

/// Takes the connection that has been idle longest, on which late bytes of an earlier reply are
/// most likely to have been detected.
fn take_idle_connection(leaf: &mut Leaf, now_ms: u64) -> Option<Connection> {
    leaf.close_expired(now_ms);
    if leaf.idle.is_empty() {
        return None;
    }
    Some(leaf.idle.remove(0).into_connection())
}

impl State {
    /// Removes the latencies of routes that are no longer configured.
    fn remove_unused_latencies(&mut self, route_table: &RouteTable) {
        let names: HashSet<&str> = route_table
            .routes()
            .map(|route| &*route.spec.name)
            .collect();
        self.call_latency.retain(|name, _| names.contains(&**name));
    }

    fn update_connection_limits(&mut self) {
        let Some(route_table) = &self.route_table else {
            return;
        };
        let services: Vec<ServiceKey> = self.leaves.iter().map(|(_, leaf)| leaf.service).collect();
        self.limits = ConnectionLimits::new(route_table, services.into_iter(), self.vms);
    }
}
