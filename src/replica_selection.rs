//! Choice of a replica for a shard, from this node's own measurements.

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

/// Factor on the cost of a leaf that started recently.
const WARMING_FACTOR: u64 = 4;

/// Time after which a measured latency counts half, so that a slow leaf is measured again.
const HALF_LIFE_MS: u64 = 5_000;

/// Losses to a hedge that count, as doublings of the expected latency.
const MAX_HEDGE_LOSSES: u32 = 5;

/// What this node measured of a leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafLoad {
    /// Calls of this node in flight.
    pub in_flight: u32,
    /// Latency of this node's calls.
    latency: LatencyAverage,
    measured_ms: u64,
    hedge_losses: u32,
}

impl LeafLoad {
    /// Records the latency of a call that was answered.
    pub fn record(&mut self, latency_us: u64, now_ms: u64) {
        self.latency.record(latency_us);
        self.measured_ms = now_ms;
        self.hedge_losses = 0;
    }

    /// Records that a call was given up because a hedge answered first; without this, a leaf whose
    /// calls always lose to a hedge would keep a good average.
    ///
    /// The time until the hedge won says little about how slow the leaf is, so each loss in a row
    /// doubles the expected latency.
    pub fn record_lost_to_hedge(&mut self, latency_us: u64, now_ms: u64) {
        if latency_us > self.latency.value_us() {
            self.latency.record(latency_us);
        }
        self.measured_ms = now_ms;
        self.hedge_losses = (self.hedge_losses + 1).min(MAX_HEDGE_LOSSES);
    }

    fn expected_us(&self, now_ms: u64) -> u64 {
        let age = now_ms.saturating_sub(self.measured_ms) / HALF_LIFE_MS;
        match self.latency.value_us() {
            0 => DEFAULT_LATENCY_US,
            measured => ((measured << self.hedge_losses) >> age.min(16)).max(DEFAULT_LATENCY_US),
        }
    }
}

/// State that replica choice reads.
#[derive(Clone, Copy)]
pub struct ReplicaSelector<'a> {
    /// Compiled view.
    pub fleet: &'a Fleet,
    /// What is known of each leaf.
    pub views: &'a HashMap<SocketAddr, LeafView>,
    /// What this node measured of each leaf.
    pub loads: &'a HashMap<SocketAddr, LeafLoad>,
    /// Pinned snapshot.
    pub snapshot: Snapshot,
    /// Time since the machine started.
    pub now_ms: u64,
}

impl ReplicaSelector<'_> {
    /// Chooses the cheaper of two random replicas that hold the snapshot and were not tried.
    pub fn select_replica(
        &self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        rng: &mut impl Rng,
    ) -> Option<LeafKey> {
        let mut candidates = Vec::with_capacity(replicas.len());
        for leaf in replicas {
            if !tried.contains(leaf) && self.is_usable(*leaf) {
                candidates.push(*leaf);
            }
        }
        let pair: Vec<LeafKey> = candidates.sample(rng, 2).copied().collect();
        pair.into_iter()
            .min_by_key(|leaf| (self.cost(*leaf), rng.random::<u32>()))
    }

    /// Returns whether the snapshot has vanished from a shard: a replica is live, but none of the
    /// live ones holds it. Replicas in `gone` refused it, whatever their view says.
    pub fn is_snapshot_gone(&self, replicas: &[LeafKey], gone: &[LeafKey]) -> bool {
        let mut live = false;
        for leaf in replicas {
            if self.is_usable(*leaf) && !gone.contains(leaf) {
                return false;
            }
            let view = self.views.get(&self.fleet.leaf(*leaf).address);
            live |= view.is_some_and(|view| view.state.takes_work());
        }
        live
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
        let latency_us = load.expected_us(self.now_ms);
        let warming = self
            .views
            .get(&address)
            .is_some_and(|v| v.state == LeafState::Warming);
        let factor = if warming { WARMING_FACTOR } else { 1 };
        latency_us * (u64::from(load.in_flight) + 1) * factor
    }
}

/// Returns the VM that calls to a leaf go through.
pub fn select_owner(
    fleet: &Fleet,
    leaf: SocketAddr,
    avoided: &dyn Fn(SocketAddr) -> bool,
) -> Option<VmKey> {
    let owners = fleet.find_leaf(leaf)?.owners;
    let reachable = |vm: &VmKey| !avoided(fleet.vm(*vm).entry.internal_address);
    owners
        .primary
        .filter(reachable)
        .or(owners.standby.filter(reachable))
        .or(owners.primary)
}
