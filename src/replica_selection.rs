//! Selects the replica that a shard's call goes to, and the owner that the call goes through.
//!
//! Selection uses the latencies and in-flight calls that this VM measured, so that slow, loaded and
//! recently started leaves get fewer calls.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::control::LeafView;
use crate::fact::LeafState;
use crate::fleet::Fleet;
use crate::ids::{LeafKey, Snapshot, VmKey};
use crate::latency::LatencyAverage;
use crate::snapshot::serves;

/// Latency assumed for a leaf without measurements.
const DEFAULT_LATENCY_US: u64 = 1_000;

/// Cost factor of a leaf that is warming up after a start.
const WARMING_COST_FACTOR: u64 = 4;

/// Time in which the weight of a measured latency halves, so that a slow leaf is measured again.
const LATENCY_HALF_LIFE_MS: u64 = 5_000;

/// Maximum number of consecutive losses to a hedge that double the expected latency.
const MAX_HEDGE_LOSSES: u32 = 5;

/// Load and latency that this VM measured for a leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafLoad {
    /// Calls from this VM in flight.
    pub in_flight: u32,
    /// Latency of this VM's calls.
    latency: LatencyAverage,
    last_measured_ms: u64,
    hedge_losses: u32,
}

impl LeafLoad {
    /// Records the latency of a call that was answered.
    pub fn record(&mut self, latency_us: u64, now_ms: u64) {
        self.latency.record(latency_us);
        self.last_measured_ms = now_ms;
        self.hedge_losses = 0;
    }

    /// Records that a call was cancelled after the hedge delay, because another replica answered
    /// first or the run ended. Without this, a leaf whose calls always lose to a hedge would keep a
    /// low average latency.
    ///
    /// The time until the cancellation is only a lower bound on the leaf's latency, so each
    /// consecutive loss doubles the expected latency.
    pub fn record_lost_to_hedge(&mut self, latency_us: u64, now_ms: u64) {
        if latency_us > self.latency.value_us() {
            self.latency.record(latency_us);
        }
        self.last_measured_ms = now_ms;
        self.hedge_losses = (self.hedge_losses + 1).min(MAX_HEDGE_LOSSES);
    }

    fn expected_latency_us(&self, now_ms: u64) -> u64 {
        let shift = now_ms.saturating_sub(self.last_measured_ms) / LATENCY_HALF_LIFE_MS;
        match self.latency.value_us() {
            0 => DEFAULT_LATENCY_US,
            measured => ((measured << self.hedge_losses) >> shift.min(16)).max(DEFAULT_LATENCY_US),
        }
    }
}

/// Inputs of replica selection for one pinned snapshot.
#[derive(Clone, Copy)]
pub struct ReplicaSelector<'a> {
    /// Immutable view of VMs, services and leaves.
    pub fleet: &'a Fleet,
    /// Last published state and snapshots of each leaf.
    pub views: &'a HashMap<SocketAddr, LeafView>,
    /// Load and latency that this VM measured for each leaf.
    pub loads: &'a HashMap<SocketAddr, LeafLoad>,
    /// Pinned snapshot.
    pub snapshot: Snapshot,
    /// Current time since boot.
    pub now_ms: u64,
}

impl ReplicaSelector<'_> {
    /// Selects the cheaper of two random replicas outside `excluded` that serve the snapshot.
    pub fn select_replica(
        &self,
        replicas: &[LeafKey],
        excluded: &[LeafKey],
        rng: &mut impl Rng,
    ) -> Option<LeafKey> {
        let mut candidates = Vec::with_capacity(replicas.len());
        for leaf in replicas {
            if !excluded.contains(leaf) && self.is_usable(*leaf) {
                candidates.push(*leaf);
            }
        }
        let sampled: Vec<LeafKey> = candidates.sample(rng, 2).copied().collect();
        sampled
            .into_iter()
            .min_by_key(|leaf| (self.cost(*leaf), rng.random::<u32>()))
    }

    /// Returns whether a shard no longer has the snapshot: a replica is live, but no live replica
    /// serves it. Replicas in `without_snapshot` refused a call for it and count as not serving
    /// it, even if their view still lists it.
    pub fn is_snapshot_gone(&self, replicas: &[LeafKey], without_snapshot: &[LeafKey]) -> bool {
        let mut any_live = false;
        for leaf in replicas {
            if self.is_usable(*leaf) && !without_snapshot.contains(leaf) {
                return false;
            }
            let view = self.views.get(&self.fleet.leaf(*leaf).address);
            any_live |= view.is_some_and(|view| view.state.accepts_work());
        }
        any_live
    }

    fn is_usable(&self, key: LeafKey) -> bool {
        let leaf = self.fleet.leaf(key);
        let view = self.views.get(&leaf.address);
        let leaving = leaf.leaving && !crate::faults::is_check_disabled("check.drain");
        !leaving && view.is_some_and(|view| serves(view, self.snapshot))
    }

    fn cost(&self, key: LeafKey) -> u64 {
        let address = self.fleet.leaf(key).address;
        let load = self.loads.get(&address).copied().unwrap_or_default();
        let latency_us = load.expected_latency_us(self.now_ms);
        let warming = self
            .views
            .get(&address)
            .is_some_and(|view| view.state == LeafState::Warming);
        let warming_factor = if warming { WARMING_COST_FACTOR } else { 1 };
        latency_us * (u64::from(load.in_flight) + 1) * warming_factor
    }
}

/// Returns the VM that calls to a leaf go through: the primary owner, or the standby if the primary
/// is avoided. If both are avoided, it returns the primary.
pub fn select_owner(
    fleet: &Fleet,
    leaf: SocketAddr,
    is_avoided: &dyn Fn(SocketAddr) -> bool,
) -> Option<VmKey> {
    let owners = fleet.find_leaf(leaf)?.owners;
    let reachable = |vm: &VmKey| !is_avoided(fleet.vm(*vm).entry.internal_address);
    owners
        .primary
        .filter(reachable)
        .or(owners.standby.filter(reachable))
        .or(owners.primary)
}
