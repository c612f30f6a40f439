//! Choice of a replica for a shard, from this node's own measurements.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::control::LeafView;
use crate::fact::LeafState;
use crate::fleet::Fleet;
use crate::ids::{LeafKey, Snapshot};
use crate::latency::Average;
use crate::snapshot::serves;

/// Latency assumed for a leaf without measurements.
const UNKNOWN_LATENCY_US: u64 = 1_000;

/// Factor on the cost of a leaf that started recently.
const WARMING_FACTOR: u64 = 4;

/// What this node measured of a leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafLoad {
    /// Calls of this node in flight.
    pub in_flight: u32,
    /// Latency of this node's calls.
    pub latency: Average,
}

/// State that replica choice reads.
#[derive(Clone, Copy)]
pub struct Choice<'a> {
    /// Compiled view.
    pub fleet: &'a Fleet,
    /// What is known of each leaf.
    pub views: &'a HashMap<SocketAddr, LeafView>,
    /// What this node measured of each leaf.
    pub loads: &'a HashMap<SocketAddr, LeafLoad>,
    /// Pinned snapshot.
    pub snapshot: Snapshot,
}

impl Choice<'_> {
    /// Chooses the cheaper of two random replicas that hold the snapshot and were not tried.
    pub fn pick(
        &self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        rng: &mut impl Rng,
    ) -> Option<LeafKey> {
        let mut open = Vec::with_capacity(replicas.len());
        for leaf in replicas {
            if !tried.contains(leaf) && self.is_usable(*leaf) {
                open.push(*leaf);
            }
        }
        let pair: Vec<LeafKey> = open.sample(rng, 2).copied().collect();
        pair.into_iter()
            .min_by_key(|leaf| (self.cost(*leaf), rng.random::<u32>()))
    }

    fn is_usable(&self, key: LeafKey) -> bool {
        let leaf = self.fleet.leaf(key);
        let view = self.views.get(&leaf.address);
        let leaving = leaf.leaving && !crate::faults::is_off("check.drain");
        !leaving && view.is_some_and(|view| serves(view, self.snapshot))
    }

    fn cost(&self, key: LeafKey) -> u64 {
        let address = self.fleet.leaf(key).address;
        let load = self.loads.get(&address).copied().unwrap_or_default();
        let latency_us = match load.latency.value_us() {
            0 => UNKNOWN_LATENCY_US,
            measured => measured,
        };
        let warming = self
            .views
            .get(&address)
            .is_some_and(|v| v.state == LeafState::Warming);
        let factor = if warming { WARMING_FACTOR } else { 1 };
        latency_us * (u64::from(load.in_flight) + 1) * factor
    }
}
