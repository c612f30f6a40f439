//! Which snapshot a request is pinned to.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::control::LeafView;
use crate::fleet::{Fleet, Layout, Service};
use crate::ids::Snapshot;

/// Copies of every shard that the newest snapshot should have before it is used.
const WANTED_COPIES: usize = 2;

/// A share of one in parts per million.
const ALL_PPM: u64 = 1_000_000;

/// How well the live leaves hold a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Support {
    /// Whether every shard has the wanted copies, or all that the layout gives it.
    ample: bool,
    /// Shards with at least one copy, as a share in parts per million.
    covered_ppm: u64,
    snapshot: Snapshot,
}

/// A snapshot to pin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pinned {
    /// Index version and layout.
    pub snapshot: Snapshot,
    /// Whether every shard has a live copy.
    pub covers_all: bool,
}

/// Chooses the newest snapshot with enough live copies of every shard; without one, the snapshot
/// that covers most shards, the newest first.
///
/// `excluded` lists snapshots that vanished while the request ran.
pub fn choose(
    fleet: &Fleet,
    service: &Service,
    leaves: &HashMap<SocketAddr, LeafView>,
    excluded: &[Snapshot],
) -> Option<Pinned> {
    let mut best: Option<Support> = None;
    for layout in &service.layouts {
        for snapshot in held(fleet, layout, leaves) {
            if excluded.contains(&snapshot) {
                continue;
            }
            let support = support(fleet, layout, leaves, snapshot);
            if best.is_none_or(|best| support > best) {
                best = Some(support);
            }
        }
    }
    best.map(|support| Pinned {
        snapshot: support.snapshot,
        covers_all: support.covered_ppm == ALL_PPM,
    })
}

/// Returns whether a leaf serves a snapshot.
pub fn serves(view: &LeafView, snapshot: Snapshot) -> bool {
    view.state.takes_work() && view.snapshots.contains(&snapshot)
}

fn held(fleet: &Fleet, layout: &Layout, leaves: &HashMap<SocketAddr, LeafView>) -> Vec<Snapshot> {
    let mut seen: BTreeMap<Snapshot, ()> = BTreeMap::new();
    for leaf in layout.shards.iter().flatten() {
        let Some(view) = leaves.get(&fleet.leaf(*leaf).address) else {
            continue;
        };
        for snapshot in &view.snapshots {
            if snapshot.layout == layout.id {
                seen.insert(*snapshot, ());
            }
        }
    }
    seen.into_keys().collect()
}

fn support(
    fleet: &Fleet,
    layout: &Layout,
    leaves: &HashMap<SocketAddr, LeafView>,
    snapshot: Snapshot,
) -> Support {
    let mut ample = true;
    let mut covered = 0_u64;
    for shard in &layout.shards {
        let mut copies = 0;
        for leaf in shard {
            let view = leaves.get(&fleet.leaf(*leaf).address);
            copies += usize::from(view.is_some_and(|view| serves(view, snapshot)));
        }
        ample &= copies >= WANTED_COPIES.min(shard.len());
        covered += u64::from(copies > 0);
    }
    let covered_ppm = covered * ALL_PPM / layout.shards.len().max(1) as u64;
    Support {
        ample,
        covered_ppm,
        snapshot,
    }
}
