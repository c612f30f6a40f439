//! Shared state of the gateway: routes in force, leaves and budgets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::header::HeaderName;
use tracing::info;

use super::call::OpenCall;
use super::catalog::Catalog;
use super::connection::Connection;
use super::directory::{carriers, carriers_wanted};
use super::extra::{ExtraCallBounds, ExtraCalls};
use super::leaves::{ConnectionLimits, Leaf, Leaves, NoLeaf};
use super::members::Member;
use super::meters::Meters;
use super::notes::{Note, Pending, Sight};
use super::overload::Overload;
use super::policy::CallTimes;
use super::rhythm::Stall;
use super::routes::{RouteTable, ServiceNames};
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
    pub overload: Overload,
    pending: Pending,
    extra: ExtraCalls,
    call_times: HashMap<Box<str>, CallTimes>,
}

/// Routes requests to leaves.
#[derive(Debug)]
pub struct Engine {
    /// Names of headers.
    pub headers: Headers,
    /// Counters.
    pub meters: Meters,
    carrying: Mutex<Arc<[SocketAddr]>>,
    watching: AtomicBool,
    platform_answers: AtomicBool,
    state: Mutex<State>,
}

impl Engine {
    /// Makes an engine without routes and leaves.
    pub fn new(
        headers: Headers,
        bounds: ExtraCallBounds,
        own_domain: Box<str>,
        meters: Meters,
    ) -> Self {
        let state = State {
            names: ServiceNames::default(),
            catalog: Catalog::default(),
            table: None,
            leaves: Leaves::new(own_domain),
            limits: ConnectionLimits::default(),
            vms: 1,
            overload: Overload::default(),
            pending: Pending::default(),
            extra: ExtraCalls::new(bounds),
            call_times: HashMap::new(),
        };
        Self {
            headers,
            meters,
            carrying: Mutex::new(Arc::from([])),
            watching: AtomicBool::new(true),
            platform_answers: AtomicBool::new(true),
            state: Mutex::new(state),
        }
    }

    /// Changes the bounds of extra calls.
    pub fn set_bounds(&self, bounds: ExtraCallBounds) {
        self.state().extra.set_bounds(bounds);
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
    pub fn set_carriers(&self, carriers: &[Member]) {
        let addresses = carriers.iter().map(|carrier| carrier.address);
        let addresses: Arc<[SocketAddr]> = addresses.collect();
        self.set_vms(u32::try_from(addresses.len()).unwrap_or(u32::MAX).max(1));
        *self.carrying.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns the internal addresses of the VMs that carry requests, as of the last look.
    pub fn carrier_addresses(&self) -> Arc<[SocketAddr]> {
        let held = self.carrying.lock();
        Arc::clone(&held.unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the number of VMs among which connections and budgets are divided.
    pub fn set_vms(&self, vms: u32) {
        let state = &mut *self.state();
        if state.vms == vms {
            return;
        }
        state.vms = vms;
        state.extra.set_vms(vms);
        state.divide_connections();
    }

    /// Returns the VMs that carry requests.
    pub fn carriers(&self, live: &[Member]) -> Vec<Member> {
        let table = self.table();
        let fewest = table.and_then(|table| table.fewest_connections());
        let wanted = fewest.map_or(live.len(), carriers_wanted);
        carriers(live, wanted)
    }

    /// Earns extra calls for one request to a service.
    pub fn earn_extra(&self, service: ServiceKey) {
        self.state().extra.earn(service, boot_ms());
    }

    /// Returns whether an extra call is allowed to a request that fails without so many of them.
    pub fn allows_extra(&self, service: ServiceKey, needed: usize) -> bool {
        let allowed = self.state().extra.allows(service, needed);
        if !allowed {
            self.meters.count_extra(false);
        }
        allowed
    }

    /// Takes the extra call that was allowed.
    pub fn spend_extra(&self, service: ServiceKey) {
        let spent = self.state().extra.spend(service);
        self.meters.count_extra(spent);
    }

    /// Returns the call times of a route.
    pub fn call_times(&self, route: &str, target_us: u64) -> CallTimes {
        let state = self.state();
        let known = state.call_times.get(route).copied();
        known.unwrap_or_else(|| CallTimes::new(target_us))
    }

    /// Records the latency of one of a route's calls.
    pub fn record_call_time(&self, route: &str, target_us: u64, latency_us: u64) {
        let state = &mut *self.state();
        if let Some(times) = state.call_times.get_mut(route) {
            times.record(latency_us);
            return;
        }
        let mut times = CallTimes::new(target_us);
        times.record(latency_us);
        state.call_times.insert(route.into(), times);
    }

    /// Takes the notes for the other carriers.
    pub fn take_notes(&self) -> Vec<Note> {
        let now_us = boot_us();
        let state = &mut *self.state();
        for (leaf, silent_us) in state.leaves.newly_stalled(now_us) {
            let silent_us = u32::try_from(silent_us).unwrap_or(u32::MAX);
            state
                .pending
                .add(leaf, now_us, Sight::Stalled { silent_us });
        }
        state.pending.take(now_us)
    }

    /// Takes the notes of another carrier.
    pub fn take_hearsay(&self, notes: &[Note], now_us: u64) {
        let state = &mut *self.state();
        for note in notes {
            state.leaves.hear(note, now_us);
        }
    }

    fn open(self: &Arc<Self>, leaf: LeafKey, entry: &mut Leaf, now_us: u64) -> OpenCall {
        let connection = take_idle(entry, now_us / 1_000);
        if connection.is_none() {
            entry.connections += 1;
            self.meters.count_connection();
        }
        let number = entry.pace.begin(now_us);
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
    ) -> Result<OpenCall, NoLeaf> {
        let now_us = boot_us();
        let state = &mut *self.state();
        let leaf = state.leaves.choose(service, tried, &state.limits, now_us)?;
        let entry = state.leaves.get_mut(leaf).ok_or(NoLeaf::None)?;
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
    pub(super) fn tell_outcome(&mut self, leaf: LeafKey, sight: Sight, now_us: u64) {
        let Some(leaf) = self.leaves.get(leaf) else {
            return;
        };
        if sight == Sight::Failed || leaf.pace.is_suspect(now_us) {
            self.pending.add(leaf.address(), now_us, sight);
        }
    }

    /// Takes a stall of a leaf that has ended, for this VM and the other carriers.
    pub(super) fn take_stall(&mut self, leaf: LeafKey, stall: Option<Stall>) {
        let address = self.leaves.get(leaf).map(Leaf::address);
        let (Some(stall), Some(address)) = (stall, address) else {
            return;
        };
        let stall_us = stall.end_us.saturating_sub(stall.start_us);
        let sight = Sight::Resumed {
            stall_us: u32::try_from(stall_us).unwrap_or(u32::MAX),
        };
        self.pending.add(address, stall.end_us, sight);
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
