//! Stores all leaves with their statistics and connections, from which the replica for a call is
//! selected.
//!
//! Handles leaves that are slow, failing, paused, warming up or replaced, and VMs whose own stalls
//! would be mistaken for stalls of leaves.

mod capacity;
mod cold;
mod evacuation;
mod leaf;
mod notices;
mod process_ends;
mod rates;
mod reachability;
mod refusals;
mod selection;
mod verdict;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use tracing::info;

pub use leaf::Leaf;
pub use refusals::Refusal;
pub use selection::NoLeafError;
pub use verdict::{LeafCost, LeafVerdict};

use super::catalog::LeafRecord;
use super::evacuation::{ColdLeaf, Warmup};
use super::leaf_capacity::LeafCapacities;
use super::leaf_reports::{LeafReport, Observation};
use super::leaf_stats::LeafStats;
use super::pause_predictor::{PausePeriod, PausePredictor, Stall};
use super::rate_limit::SharingVms;
use super::retry_after::RetryAfter;
use super::routes::ServiceNames;
use super::unanswered_runs::{UnansweredRun, UnansweredRuns};
use crate::ids::{LeafKey, ServiceKey};

/// Time for which a leaf is excluded after another process replied at its address, unless its
/// record changes. The platform drops the record of a leaf after three missed report intervals,
/// about 4 s.
const MISDIRECTED_EXCLUSION_MS: u64 = 5_000;

/// Time without a reply from any leaf after which a VM attributes stalls to itself: at a few
/// requests per second over tens of shards, replies arrive every few milliseconds.
const LOCAL_SILENCE_US: u64 = 50_000;

/// Fraction of all leaves that may stall at a time before a VM attributes the stalls to itself,
/// as a divisor.
const MAX_STALLED_DIVISOR: usize = 3;

/// Time for which a leaf that is no longer listed is kept after its last call, so that runs which
/// are then found to be unanswered can be attributed to its process.
const RETIRED_RETENTION_MS: u64 = 2_000;

/// Arena of leaves. Keys are never reused.
#[derive(Debug, Default)]
pub struct Leaves {
    arena: HashMap<LeafKey, Leaf>,
    next_key: usize,
    by_id: HashMap<Box<str>, LeafKey>,
    by_address: HashMap<SocketAddr, LeafKey>,
    by_service: BTreeMap<ServiceKey, Vec<LeafKey>>,
    own_domain: Box<str>,
    evacuated_domains: BTreeSet<Box<str>>,
    /// Limits on calls to cold leaves, by service.
    warmups: HashMap<ServiceKey, Warmup>,
    cold_leaves: usize,
    pause_period: PausePeriod,
    last_reply_us: u64,
    /// Whether a leaf may have named a limit on the rate of its calls.
    pub has_rate_limits: bool,
    /// VMs among which the rates that leaves name are divided.
    pub sharing_vms: SharingVms,
    /// Unanswered runs of processes that have ended since, with the hash of the process.
    ended_runs: Vec<(u64, UnansweredRun)>,
    /// Processes that have said that they leave, by hash, with the time at which this was learned.
    departures_ms: HashMap<u64, u64>,
    /// Leaves whose addresses refuse connections.
    unreachable: HashSet<LeafKey>,
    /// Refused connections that may be due to the links of this VM.
    refusals: HashMap<LeafKey, Refusal>,
    /// Whether refusals wait for a confirmation.
    confirms_refusals: bool,
    /// Latest end of the times for which leaves want no calls from this VM.
    retry_after_until_us: u64,
    /// Estimates of what leaves take well, if they are enabled.
    capacities: Option<LeafCapacities>,
}

impl Leaves {
    /// Creates an empty arena for a VM in a failure domain.
    pub fn new(own_domain: Box<str>) -> Self {
        Self {
            own_domain,
            ..Self::default()
        }
    }

    /// Returns a leaf, retired ones included.
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.arena.get(&key)
    }

    /// Returns a mutable reference to a leaf, retired ones included.
    pub fn get_mut(&mut self, key: LeafKey) -> Option<&mut Leaf> {
        self.arena.get_mut(&key)
    }

    /// Returns all leaves that are not retired.
    pub fn iter(&self) -> impl Iterator<Item = (LeafKey, &Leaf)> {
        let listed = self.arena.iter().filter(|(_, leaf)| !leaf.retired);
        listed.map(|(key, leaf)| (*key, leaf))
    }

    /// Returns the leaf of a process, retired ones included.
    pub fn of_process(&self, process: u64) -> Option<&Leaf> {
        let mut leaves = self.arena.values();
        leaves.find(|leaf| leaf.record.process_hash() == process)
    }

    /// Returns the number of listed leaves.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Applies the current list of records: adds new leaves, updates changed ones and retires
    /// missing ones.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = &'a LeafRecord>,
        names: &mut ServiceNames,
        now_ms: u64,
    ) {
        let mut listed: HashMap<Box<str>, LeafKey> = HashMap::new();
        // The first list does not tell when its records were written.
        let alive_us = if self.by_id.is_empty() {
            0
        } else {
            now_ms * 1_000
        };
        for record in records {
            let key = self.upsert(record, names, now_ms, alive_us);
            listed.insert(record.id.clone(), key);
        }
        let previous = std::mem::replace(&mut self.by_id, listed);
        for (id, key) in previous {
            if self.by_id.get(&id) != Some(&key) {
                self.retire(key, now_ms);
            }
        }
        self.end_replaced_processes();
        self.by_address.clear();
        for key in self.by_id.values() {
            if let Some(leaf) = self.arena.get(key) {
                self.by_address.insert(leaf.address(), *key);
            }
        }
        self.index_services();
        self.update_cold(now_ms * 1_000);
    }

    /// Updates the leaf of a record, or adds one for a new ID or process, and returns its key.
    fn upsert(
        &mut self,
        record: &LeafRecord,
        names: &mut ServiceNames,
        now_ms: u64,
        alive_us: u64,
    ) -> LeafKey {
        let service = names.intern(&record.service);
        if let Some(key) = self.by_id.get(&record.id).copied()
            && let Some(leaf) = self.arena.get_mut(&key)
            && is_same_process(&leaf.record, record)
        {
            if leaf.record != *record {
                leaf.cold.record_named(record.warmup_left_ms, now_ms);
            }
            leaf.record = record.clone();
            if record.draining {
                leaf.close_idle();
            }
            return key;
        }
        let key = LeafKey::new(self.next_key);
        self.next_key += 1;
        let is_leaving = self.departures_ms.contains_key(&record.process_hash());
        let mut cold = ColdLeaf::default();
        cold.record_named(record.warmup_left_ms, now_ms);
        let leaf = Leaf {
            is_leaving,
            is_evacuated: false,
            cold,
            unreachable_since_us: None,
            retry_after: RetryAfter::default(),
            record: record.clone(),
            service,
            leaf_stats: LeafStats::default(),
            pause_predictor: PausePredictor::default(),
            connections: 0,
            idle: Vec::new(),
            warmup_until_ms: now_ms.saturating_add(record.warmup_left_ms),
            retired: false,
            alive_us,
            rate_limit: None,
            failed_us: None,
            unanswered_runs: UnansweredRuns::default(),
            retired_ms: 0,
            misdirected_until_ms: 0,
        };
        self.arena.insert(key, leaf);
        key
    }

    /// Closes the idle connections of all leaves that have ended or expired, and removes retired
    /// leaves without calls.
    pub fn close_expired(&mut self, now_ms: u64) {
        for leaf in self.arena.values_mut() {
            leaf.close_expired(now_ms);
        }
        self.forget_departures(now_ms);
        self.arena.retain(|_, leaf| {
            !leaf.retired
                || leaf.leaf_stats.open_calls() > 0
                || now_ms < leaf.retired_ms + RETIRED_RETENTION_MS
        });
        self.forget_unreachable();
        self.forget_capacities();
    }

    /// Applies another VM's report of a leaf.
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
            Observation::RetryAfter { wait_ms } => {
                leaf.retry_after.record_remote(u64::from(wait_ms), seen_us);
            }
            Observation::Failed => {
                let was_outlier = leaf.leaf_stats.is_outlier(now_us);
                leaf.leaf_stats.record_remote_failure(now_us);
                if seen_us > leaf.alive_us {
                    leaf.failed_us.get_or_insert(seen_us);
                }
                if !was_outlier && leaf.leaf_stats.is_outlier(now_us) {
                    let failure_rate_ppm = leaf.leaf_stats.failure_rate_ppm(now_us / 1_000);
                    info!(event = "leaf_outlier", leaf = %report.leaf, failure_rate_ppm, age_us = report.age_us);
                }
            }
            Observation::Answered => {
                leaf.leaf_stats.record_remote_success(now_us);
                leaf.failed_us = None;
            }
            Observation::Resumed { stall_us } => {
                leaf.leaf_stats.record_remote_resume();
                leaf.failed_us = None;
                let start_us = seen_us.saturating_sub(u64::from(stall_us));
                let end_us = seen_us;
                self.observe_stall(key, Stall { start_us, end_us });
            }
        }
    }

    /// Records that a leaf sent a complete reply.
    pub fn record_reply(&mut self, now_us: u64) {
        self.last_reply_us = now_us;
    }

    /// Returns the stalled leaves that are due to be reported to the other VMs, with the time for
    /// which they have not replied.
    ///
    /// Returns none if this VM is more likely the cause: no leaf has replied for a while, or many
    /// have stalled.
    pub fn unreported_stalls(&mut self, now_us: u64) -> Vec<(SocketAddr, u64)> {
        let leaf_count = self.by_id.len();
        let stalled = self
            .arena
            .values()
            .filter(|leaf| leaf.leaf_stats.is_stalled(now_us));
        let is_isolated = now_us.saturating_sub(self.last_reply_us) > LOCAL_SILENCE_US;
        if is_isolated || stalled.count() * MAX_STALLED_DIVISOR > leaf_count {
            return Vec::new();
        }
        let mut reported = Vec::new();
        for leaf in self.arena.values_mut() {
            let Some(silent_us) = leaf.leaf_stats.take_stall_report(now_us) else {
                continue;
            };
            reported.push((leaf.address(), silent_us));
        }
        reported
    }

    /// Returns how much of a time range overlaps the latest regular pause of a leaf.
    pub fn paused_us(&self, key: LeafKey, from_us: u64, to_us: u64) -> u64 {
        let leaf = self.arena.get(&key);
        leaf.map_or(0, |leaf| {
            leaf.pause_predictor
                .paused_us(from_us, to_us, &self.pause_period)
        })
    }

    /// Records a stall of a leaf that has ended.
    pub fn observe_stall(&mut self, key: LeafKey, stall: Stall) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        let previous_us = self.pause_period.period_us();
        leaf.pause_predictor.observe(stall, &mut self.pause_period);
        if !self.pause_period.has_changed(previous_us) {
            return;
        }
        for leaf in self.arena.values_mut() {
            leaf.pause_predictor.find_phase(&self.pause_period);
        }
    }

    /// Excludes a leaf for a while, since another process replied at its address.
    pub fn mark_misdirected(&mut self, key: LeafKey, now_ms: u64) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        leaf.misdirected_until_ms = now_ms + MISDIRECTED_EXCLUSION_MS;
        leaf.close_idle();
    }

    /// Retires a leaf that is no longer listed.
    fn retire(&mut self, key: LeafKey, now_ms: u64) {
        let Some(leaf) = self.arena.get_mut(&key) else {
            return;
        };
        leaf.retired = true;
        leaf.retired_ms = now_ms;
        leaf.close_idle();
        if let Some(keys) = self.by_service.get_mut(&leaf.service) {
            keys.retain(|other| *other != key);
        }
        self.record_end(key);
    }

    /// Returns the estimate of the pause period.
    pub fn pause_period(&self) -> &PausePeriod {
        &self.pause_period
    }

    /// Returns the listed leaves of a service that have not announced their end and whose domains are not
    /// evacuated.
    pub fn of_service(&self, service: ServiceKey) -> &[LeafKey] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns the total slots of the service that has the fewest.
    pub fn min_slots(&self, services: &[ServiceKey]) -> u32 {
        let slots = |service: &ServiceKey| {
            let leaves = self.of_service(*service).iter();
            let leaves = leaves.filter_map(|key| self.arena.get(key));
            leaves.fold(0_u32, |sum, leaf| sum.saturating_add(leaf.record.slots))
        };
        services.iter().map(slots).min().unwrap_or(0)
    }
}

/// Returns whether two records belong to the same process: a leaf may restart under the same ID.
fn is_same_process(current: &LeafRecord, new: &LeafRecord) -> bool {
    current.address == new.address
        && current.service == new.service
        && current.started_unix_ms == new.started_unix_ms
}
