//! Shared state of the gateway: routes in force, leaves and budgets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::header::HeaderName;
use tracing::info;

use super::call::OpenCall;
use super::catalog::Catalog;
use super::concurrency_limiter::ConcurrencyLimiter;
use super::connection::Connection;
use super::fanout_schedule::CallLatency;
use super::gateway_metrics::GatewayMetrics;
use super::leaf_reports::{LeafReport, Observation, ReportQueue};
use super::leaves::{ConnectionLimits, Leaf, Leaves, NoLeafError};
use super::membership::LiveVm;
use super::pause_predictor::Stall;
use super::retry_budgets::{RetryBudgetLimits, RetryBudgets};
use super::routes::{RouteTable, ServiceNames};
use super::vm_selection::{active_vms, desired_active_vms};
use crate::clock::{boot_ms, boot_us};
use crate::ids::{LeafKey, ServiceKey};

/// Names of the headers that callers, leaves and this system exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    /// Identity of a request, which leaves echo.
    pub request_id: HeaderName,
    /// Time left, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Identity of the only leaf that may run a request.
    pub expected_leaf: HeaderName,
    /// Signature of a leaf on its answer.
    pub signature: HeaderName,
    /// Says that a leaf did not run a request.
    pub not_run: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// Shards that a merged answer lacks.
    pub missing_parts: HeaderName,
}

/// State that changes with configuration, leaves and calls.
#[derive(Debug)]
pub struct State {
    /// Names of services.
    pub names: ServiceNames,
    /// Configuration and leaves as the platform has them.
    pub catalog: Catalog,
    /// Routes in force.
    pub table: Option<Arc<RouteTable>>,
    /// Leaves with their pace and connections.
    pub leaves: Leaves,
    /// Connections allowed.
    pub limits: ConnectionLimits,
    /// VMs among which connections and budgets are divided.
    pub vms: u32,
    /// Limits on gathering requests.
    pub concurrency_limiter: ConcurrencyLimiter,
    report_queue: ReportQueue,
    retry_budgets: RetryBudgets,
    call_latency: HashMap<Box<str>, CallLatency>,
}

/// Routes requests to leaves.
#[derive(Debug)]
pub struct Engine {
    /// Names of headers.
    pub headers: Headers,
    /// Counters.
    pub gateway_metrics: GatewayMetrics,
    active_addresses: Mutex<Arc<[SocketAddr]>>,
    watching: AtomicBool,
    platform_answers: AtomicBool,
    state: Mutex<State>,
}

impl Engine {
    /// Makes an engine without routes and leaves.
    pub fn new(
        headers: Headers,
        bounds: RetryBudgetLimits,
        own_domain: Box<str>,
        gateway_metrics: GatewayMetrics,
    ) -> Self {
        let state = State {
            names: ServiceNames::default(),
            catalog: Catalog::default(),
            table: None,
            leaves: Leaves::new(own_domain),
            limits: ConnectionLimits::default(),
            vms: 1,
            concurrency_limiter: ConcurrencyLimiter::default(),
            report_queue: ReportQueue::default(),
            retry_budgets: RetryBudgets::new(bounds),
            call_latency: HashMap::new(),
        };
        Self {
            headers,
            gateway_metrics,
            active_addresses: Mutex::new(Arc::from([])),
            watching: AtomicBool::new(true),
            platform_answers: AtomicBool::new(true),
            state: Mutex::new(state),
        }
    }

    /// Changes the bounds of extra calls.
    pub fn set_bounds(&self, bounds: RetryBudgetLimits) {
        self.state().retry_budgets.set_bounds(bounds);
    }

    /// Sets whether this VM watches the platform itself.
    pub fn set_watching(&self, watching: bool) {
        self.watching.store(watching, Ordering::Relaxed);
    }

    /// Returns whether this VM watches the platform itself.
    pub fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Sets whether the platform answered the latest call.
    pub fn set_platform_answers(&self, answers: bool) {
        self.platform_answers.store(answers, Ordering::Relaxed);
    }

    /// Returns whether the platform answered the latest call.
    pub fn platform_answers(&self) -> bool {
        self.platform_answers.load(Ordering::Relaxed)
    }

    /// Locks the state; never hold it across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state().table.clone()
    }

    /// Puts what the catalog holds now into force.
    pub fn refresh(&self) {
        let state = &mut *self.state();
        let newer = state.catalog.document();
        let newer = newer.filter(|document| {
            let held = state.table.as_ref();
            held.is_none_or(|table| table.version < document.version)
        });
        if let Some(document) = newer {
            let table = RouteTable::compile(document.clone(), &mut state.names);
            info!(event = "configuration_in_force", version = table.version);
            state.table = Some(Arc::new(table));
        }
        let records = state.catalog.leaves();
        state.leaves.update(records, &mut state.names, boot_ms());
        state.divide_connections();
    }

    /// Takes the internal addresses of the VMs that carry requests.
    pub fn set_active_vms(&self, active_vms: &[LiveVm]) {
        let addresses = active_vms.iter().map(|active_vm| active_vm.address);
        let addresses: Arc<[SocketAddr]> = addresses.collect();
        self.set_vms(u32::try_from(addresses.len()).unwrap_or(u32::MAX).max(1));
        *self
            .active_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns the internal addresses of the VMs that carry requests, as of the last look.
    pub fn active_vm_addresses(&self) -> Arc<[SocketAddr]> {
        let held = self.active_addresses.lock();
        Arc::clone(&held.unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the number of VMs among which connections and budgets are divided.
    pub fn set_vms(&self, vms: u32) {
        let state = &mut *self.state();
        if state.vms == vms {
            return;
        }
        state.vms = vms;
        state.retry_budgets.set_vms(vms);
        state.divide_connections();
    }

    /// Returns the VMs that carry requests.
    pub fn active_vms(&self, live: &[LiveVm]) -> Vec<LiveVm> {
        let table = self.table();
        let fewest = table.and_then(|table| table.min_shard_connections());
        let wanted = fewest.map_or(live.len(), desired_active_vms);
        active_vms(live, wanted)
    }

    /// Earns extra calls for one request to a service.
    pub fn earn_retry(&self, service: ServiceKey) {
        self.state().retry_budgets.earn(service, boot_ms());
    }

    /// Returns whether an extra call is allowed to a request that fails without so many of them.
    pub fn allows_retry(&self, service: ServiceKey, needed: usize) -> bool {
        let allowed = self.state().retry_budgets.allows(service, needed);
        if !allowed {
            self.gateway_metrics.count_retry(false);
        }
        allowed
    }

    /// Takes the extra call that was allowed.
    pub fn spend_retry(&self, service: ServiceKey) {
        let spent = self.state().retry_budgets.spend(service);
        self.gateway_metrics.count_retry(spent);
    }

    /// Returns the call times of a route.
    pub fn call_latency(&self, route: &str, target_us: u64) -> CallLatency {
        let state = self.state();
        let known = state.call_latency.get(route).copied();
        known.unwrap_or_else(|| CallLatency::new(target_us))
    }

    /// Records the latency of one of a route's calls.
    pub fn record_call_latency(&self, route: &str, target_us: u64, latency_us: u64) {
        let state = &mut *self.state();
        if let Some(times) = state.call_latency.get_mut(route) {
            times.record(latency_us);
            return;
        }
        let mut times = CallLatency::new(target_us);
        times.record(latency_us);
        state.call_latency.insert(route.into(), times);
    }

    /// Takes the notes for the other carriers.
    pub fn take_reports(&self) -> Vec<LeafReport> {
        let now_us = boot_us();
        let state = &mut *self.state();
        for (leaf, silent_us) in state.leaves.unreported_stalls(now_us) {
            let silent_us = u32::try_from(silent_us).unwrap_or(u32::MAX);
            state
                .report_queue
                .add(leaf, now_us, Observation::Stalled { silent_us });
        }
        state.report_queue.take(now_us)
    }

    /// Takes the notes of another carrier.
    pub fn apply_reports(&self, leaf_reports: &[LeafReport], now_us: u64) {
        let state = &mut *self.state();
        for report in leaf_reports {
            state.leaves.apply_report(report, now_us);
        }
    }

    fn open(self: &Arc<Self>, leaf: LeafKey, entry: &mut Leaf, now_us: u64) -> OpenCall {
        let connection = take_idle(entry, now_us / 1_000);
        if connection.is_none() {
            entry.connections += 1;
            self.gateway_metrics.count_connection();
        }
        let number = entry.leaf_stats.start_call(now_us);
        OpenCall::new(Arc::clone(self), leaf, number, now_us, connection)
    }

    /// Chooses a leaf and opens a call to it, which counts as under way from now on.
    ///
    /// # Errors
    ///
    /// Fails if no leaf can take the call now.
    pub fn open_call(
        self: &Arc<Self>,
        service: ServiceKey,
        tried: &[LeafKey],
    ) -> Result<OpenCall, NoLeafError> {
        let now_us = boot_us();
        let state = &mut *self.state();
        let leaf = state.leaves.choose(service, tried, &state.limits, now_us)?;
        let entry = state.leaves.get_mut(leaf).ok_or(NoLeafError::None)?;
        Ok(self.open(leaf, entry, now_us))
    }
}

/// Takes the connection that has waited longest: late bytes of an earlier answer show on it.
fn take_idle(leaf: &mut Leaf, now_ms: u64) -> Option<Connection> {
    leaf.close_expired(now_ms);
    if leaf.idle.is_empty() {
        return None;
    }
    Some(leaf.idle.remove(0).into_connection())
}

impl State {
    /// Tells the other carriers whether a leaf failed a call; of answers, those of leaves that failed
    /// lately.
    pub(super) fn report_outcome(&mut self, leaf: LeafKey, observation: Observation, now_us: u64) {
        let Some(leaf) = self.leaves.get(leaf) else {
            return;
        };
        if observation == Observation::Failed || leaf.leaf_stats.is_outlier(now_us) {
            self.report_queue.add(leaf.address(), now_us, observation);
        }
    }

    /// Takes a stall of a leaf that has ended, for this VM and the other carriers.
    pub(super) fn record_stall(&mut self, leaf: LeafKey, stall: Option<Stall>) {
        let address = self.leaves.get(leaf).map(Leaf::address);
        let (Some(stall), Some(address)) = (stall, address) else {
            return;
        };
        let stall_us = stall.end_us.saturating_sub(stall.start_us);
        let observation = Observation::Resumed {
            stall_us: u32::try_from(stall_us).unwrap_or(u32::MAX),
        };
        self.report_queue.add(address, stall.end_us, observation);
        self.leaves.observe_stall(leaf, stall);
    }

    fn divide_connections(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        let services: Vec<ServiceKey> = self.leaves.iter().map(|(_, leaf)| leaf.service).collect();
        self.limits = ConnectionLimits::new(table, services.into_iter(), self.vms);
    }
}
