//! Leaves in use: an arena of their pace and connections, and the choice among replicas.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use tracing::info;

use super::catalog::LeafRecord;
use super::connection::IdleConnection;
use super::leaf_reports::{LeafReport, Observation};
use super::leaf_stats::LeafStats;
use super::pause_predictor::{PausePeriod, PausePredictor, Stall};
use super::routes::{RouteTable, ServiceNames};
use crate::ids::{LeafKey, ServiceKey};

/// Price of a call to another failure domain, as time: the way there and back, and the bytes.
const REMOTE_COST_US: u64 = 5_000;

/// Price of a new connection, as time: its set-up at the leaf.
const CONNECT_COST_US: u64 = 7_000;

/// Price of a call to a leaf that has started recently.
const WARMUP_COST_US: u64 = 40_000;

/// Connections to one leaf while the configuration doesn't name its limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// Time for which a leaf stays out of use after another process answered at its address, unless its
/// record changes. The platform drops the record of a leaf that is silent for three of its intervals,
/// some 4 s.
const MISDIRECTED_HOLD_MS: u64 = 5_000;

/// Time without any leaf's reply from which a VM takes itself for the cause of stalls: at a few requests a
/// second over tens of shards, replies come each few milliseconds.
const LOCAL_SILENCE_US: u64 = 50_000;

/// Part of all leaves that may stall at a time before a VM takes itself for the cause, as a divisor.
const MAX_STALLED_DIVISOR: usize = 3;

/// Share of a leaf's connections that is left to VMs which join or are seen late, as a divisor.
const SPARE_DIVISOR: u32 = 8;

/// A leaf with what this VM knows of it.
#[derive(Debug)]
pub struct Leaf {
    /// What the leaf says of itself.
    pub record: LeafRecord,
    /// Service that it serves.
    pub service: ServiceKey,
    /// How fast it answers.
    pub leaf_stats: LeafStats,
    /// When it pauses.
    pub pause_predictor: PausePredictor,
    /// Open connections, those in use included.
    pub connections: u32,
    /// Connections that wait for a call.
    pub idle: Vec<IdleConnection>,
    /// Time until which it counts as warming up.
    pub warmup_until_ms: u64,
    /// Whether it is no longer listed; its open calls may end.
    pub retired: bool,
    /// Time until which another process is taken to have its address.
    pub misdirected_until_ms: u64,
}

/// Arena of leaves. Keys are never used again.
#[derive(Debug, Default)]
pub struct Leaves {
    arena: HashMap<LeafKey, Leaf>,
    next_key: usize,
    by_id: HashMap<Box<str>, LeafKey>,
    by_address: HashMap<SocketAddr, LeafKey>,
    by_service: BTreeMap<ServiceKey, Vec<LeafKey>>,
    own_domain: Box<str>,
    pause_period: PausePeriod,
    last_reply_us: u64,
}

/// Why no leaf of a service can take a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLeafError {
    /// The service has no leaf that serves.
    None,
    /// All connections to its leaves are in use.
    Busy,
}

impl Leaves {
    /// Makes an empty arena of a VM in a failure domain.
    pub fn new(own_domain: Box<str>) -> Self {
        Self {
            own_domain,
            ..Self::default()
        }
    }

    /// Returns a leaf.
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.arena.get(&key)
    }

    /// Returns a leaf.
    pub fn get_mut(&mut self, key: LeafKey) -> Option<&mut Leaf> {
        self.arena.get_mut(&key)
    }

    /// Returns all leaves that are listed.
    pub fn iter(&self) -> impl Iterator<Item = (LeafKey, &Leaf)> {
        let listed = self.arena.iter().filter(|(_, leaf)| !leaf.retired);
        listed.map(|(key, leaf)| (*key, leaf))
    }

    /// Takes the listed leaves: new ones join, changed ones change, missing ones retire.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = &'a LeafRecord>,
        names: &mut ServiceNames,
        now_ms: u64,
    ) {
        let mut listed: HashMap<Box<str>, LeafKey> = HashMap::new();
        for record in records {
            let key = self.take(record, names, now_ms);
            listed.insert(record.id.clone(), key);
        }
        let before = std::mem::replace(&mut self.by_id, listed);
        for (id, key) in before {
            if self.by_id.get(&id) != Some(&key) {
                self.retire(key);
            }
        }
        self.by_service.clear();
        self.by_address.clear();
        for key in self.by_id.values() {
            let Some(leaf) = self.arena.get(key) else {
                continue;
            };
            self.by_address.insert(leaf.address(), *key);
            if !leaf.record.draining {
                self.by_service.entry(leaf.service).or_default().push(*key);
            }
        }
    }

    fn take(&mut self, record: &LeafRecord, names: &mut ServiceNames, now_ms: u64) -> LeafKey {
        let service = names.intern(&record.service);
        if let Some(key) = self.by_id.get(&record.id).copied()
            && let Some(leaf) = self.arena.get_mut(&key)
            && is_same_process(&leaf.record, record)
        {
            leaf.record = record.clone();
            if record.draining {
                leaf.close_idle();
            }
            return key;
        }
        let key = LeafKey::new(self.next_key);
        self.next_key += 1;
        let leaf = Leaf {
            record: record.clone(),
            service,
            leaf_stats: LeafStats::default(),
            pause_predictor: PausePredictor::default(),
            connections: 0,
            idle: Vec::new(),
            warmup_until_ms: now_ms + record.warmup_left_ms,
            retired: false,
            misdirected_until_ms: 0,
        };
        self.arena.insert(key, leaf);
        key
    }

    /// Closes the connections of all leaves that have waited too long to be used again.
    pub fn close_expired(&mut self, now_ms: u64) {
        for leaf in self.arena.values_mut() {
            leaf.close_expired(now_ms);
        }
    }

    /// Takes what another VM saw of a leaf.
    pub fn apply_report(&mut self, report: &LeafReport, now_us: u64) {
        let key = self.by_address.get(&report.leaf).copied();
        let (Some(key), Some(seen_us)) = (key, report.seen_us(now_us)) else {
            return;
        };
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        match report.observation {
            Observation::Stalled { silent_us } => {
                let since_us = seen_us.saturating_sub(u64::from(silent_us));
                leaf.leaf_stats.record_remote_stall(since_us, seen_us);
            }
            Observation::Failed => {
                let was_outlier = leaf.leaf_stats.is_outlier(now_us);
                leaf.leaf_stats.record_remote_failure(now_us);
                if !was_outlier && leaf.leaf_stats.is_outlier(now_us) {
                    let failure_rate_ppm = leaf.leaf_stats.failure_rate_ppm(now_us / 1_000);
                    info!(event = "leaf_outlier", leaf = %report.leaf, failure_rate_ppm, age_us = report.age_us);
                }
            }
            Observation::Answered => leaf.leaf_stats.record_remote_success(now_us),
            Observation::Resumed { stall_us } => {
                leaf.leaf_stats.record_remote_resume();
                let start_us = seen_us.saturating_sub(u64::from(stall_us));
                let end_us = seen_us;
                self.observe_stall(key, Stall { start_us, end_us });
            }
        }
    }

    /// Notes that a leaf gave a whole reply.
    pub fn record_reply(&mut self, now_us: u64) {
        self.last_reply_us = now_us;
    }

    /// Returns the leaves that have stopped answering and of which the other VMs have not been told, with
    /// the time since their last answers.
    ///
    /// None if the cause is more likely this VM: no leaf has replied for a while, or many have stopped.
    pub fn unreported_stalls(&mut self, now_us: u64) -> Vec<(SocketAddr, u64)> {
        let all = self.by_id.len();
        let stalled = self
            .arena
            .values()
            .filter(|leaf| leaf.leaf_stats.is_stalled(now_us));
        let is_cut_off = now_us.saturating_sub(self.last_reply_us) > LOCAL_SILENCE_US;
        if is_cut_off || stalled.count() * MAX_STALLED_DIVISOR > all {
            return Vec::new();
        }
        let mut told = Vec::new();
        for leaf in self.arena.values_mut() {
            let Some(silent_us) = leaf.leaf_stats.take_stall_report(now_us) else {
                continue;
            };
            told.push((leaf.address(), silent_us));
        }
        told
    }

    /// Returns how much of a time fell into regular pauses of a leaf.
    pub fn paused_us(&self, key: LeafKey, from_us: u64, to_us: u64) -> u64 {
        let leaf = self.arena.get(&key);
        leaf.map_or(0, |leaf| {
            leaf.pause_predictor
                .paused_us(from_us, to_us, &self.pause_period)
        })
    }

    /// Takes a stall of a leaf that has ended.
    pub fn observe_stall(&mut self, key: LeafKey, stall: Stall) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        let before_us = self.pause_period.period_us();
        leaf.pause_predictor.observe(stall, &mut self.pause_period);
        if !self.pause_period.has_changed(before_us) {
            return;
        }
        for leaf in self.arena.values_mut() {
            leaf.pause_predictor.find_phase(&self.pause_period);
        }
    }

    /// Takes a leaf out of use for a while: another process answers at its address.
    pub fn mark_misdirected(&mut self, key: LeafKey, now_ms: u64) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        leaf.misdirected_until_ms = now_ms + MISDIRECTED_HOLD_MS;
        leaf.close_idle();
    }

    /// Takes a leaf out of use that is no longer listed.
    fn retire(&mut self, key: LeafKey) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        leaf.retired = true;
        leaf.close_idle();
        if let Some(keys) = self.by_service.get_mut(&leaf.service) {
            keys.retain(|other| *other != key);
        }
        self.remove_if_finished(key);
    }

    /// Forgets a retired leaf once its last call has ended.
    pub fn remove_if_finished(&mut self, key: LeafKey) {
        let finished = |leaf: &Leaf| leaf.retired && leaf.leaf_stats.open_calls() == 0;
        if self.arena.get(&key).is_some_and(finished) {
            self.arena.remove(&key);
        }
    }

    /// Returns what is known of the interval between pauses.
    pub fn pause_period(&self) -> &PausePeriod {
        &self.pause_period
    }

    /// Returns the leaves of a service that take work.
    pub fn of_service(&self, service: ServiceKey) -> &[LeafKey] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns the slots of the service with the fewest.
    pub fn min_slots(&self, services: &[ServiceKey]) -> u32 {
        let slots = |service: &ServiceKey| {
            let leaves = self.of_service(*service).iter();
            let leaves = leaves.filter_map(|key| self.arena.get(key));
            leaves.map(|leaf| leaf.record.slots).sum::<u32>()
        };
        services.iter().map(slots).min().unwrap_or(0)
    }

    /// Chooses the leaf of a service that is expected to answer first, other than those tried.
    ///
    /// # Errors
    ///
    /// Fails if the service has no leaf left, or none with a free connection.
    pub fn choose(
        &self,
        service: ServiceKey,
        tried: &[LeafKey],
        limits: &ConnectionLimits,
        now_us: u64,
    ) -> Result<LeafKey, NoLeafError> {
        let mut best: Option<(u64, LeafKey)> = None;
        let mut verdict = NoLeafError::None;
        for key in self.of_service(service) {
            let Some(leaf) = self.arena.get(key) else {
                continue;
            };
            if tried.contains(key) || now_us / 1_000 < leaf.misdirected_until_ms {
                continue;
            }
            if leaf.idle.is_empty() && leaf.connections >= limits.per_leaf(service) {
                verdict = NoLeafError::Busy;
                continue;
            }
            let cost_us = self.cost_us(leaf, now_us);
            if best.is_none_or(|(least_us, _)| cost_us < least_us) {
                best = Some((cost_us, *key));
            }
        }
        best.map(|(_, key)| key).ok_or(verdict)
    }

    fn cost_us(&self, leaf: &Leaf, now_us: u64) -> u64 {
        let mut cost_us = leaf.leaf_stats.expected_us(leaf.record.slots, now_us);
        if leaf.record.failure_domain != self.own_domain {
            cost_us += REMOTE_COST_US;
        }
        if leaf.idle.is_empty() {
            cost_us += CONNECT_COST_US;
        }
        if now_us / 1_000 < leaf.warmup_until_ms {
            cost_us += WARMUP_COST_US;
        }
        let call_us = leaf.leaf_stats.average_us();
        let pause_left = leaf
            .pause_predictor
            .pause_left_us(now_us, call_us, &self.pause_period);
        cost_us += pause_left.unwrap_or(0);
        cost_us
    }
}

/// Returns whether two records are of one process; a leaf may start again under its old identity.
fn is_same_process(held: &LeafRecord, new: &LeafRecord) -> bool {
    held.address == new.address
        && held.service == new.service
        && held.started_unix_ms == new.started_unix_ms
}

/// Connections that this VM may open to one leaf of each service.
#[derive(Debug, Default)]
pub struct ConnectionLimits {
    shares: HashMap<ServiceKey, u32>,
}

impl ConnectionLimits {
    /// Divides what the leaves accept among the VMs that carry calls.
    pub fn new(table: &RouteTable, services: impl Iterator<Item = ServiceKey>, vms: u32) -> Self {
        let mut shares = HashMap::new();
        for service in services {
            let all = table
                .max_connections(service)
                .unwrap_or(DEFAULT_MAX_CONNECTIONS);
            shares.insert(service, connection_share(all, vms));
        }
        Self { shares }
    }

    /// Returns the connections that this VM may open to one leaf of a service.
    pub fn per_leaf(&self, service: ServiceKey) -> u32 {
        self.shares.get(&service).copied().unwrap_or(1)
    }
}

/// Returns one VM's share of a leaf's connections, at least one.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::connection_share;
/// assert_eq!(connection_share(31, 7), 4);
/// assert_eq!(connection_share(31, 90), 1);
/// ```
pub fn connection_share(max_connections: u32, vms: u32) -> u32 {
    let usable = max_connections - max_connections / SPARE_DIVISOR;
    (usable.div_ceil(vms.max(1))).max(1)
}

impl Leaf {
    /// Closes connections that have ended, or waited too long to be used again.
    pub fn close_expired(&mut self, now_ms: u64) {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.is_usable(now_ms));
        let closed = u32::try_from(before - self.idle.len()).unwrap_or(u32::MAX);
        self.connections = self.connections.saturating_sub(closed);
    }

    /// Closes the connections that wait for a call.
    fn close_idle(&mut self) {
        let closed = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        self.connections = self.connections.saturating_sub(closed);
        self.idle.clear();
    }

    /// Returns where the leaf listens.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }
}
