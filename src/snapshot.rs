//! Chooses the snapshot that a request is pinned to, so that all its results come from one index
//! version and layout.
//!
//! While a new snapshot is still loading or leaves are down, an older snapshot takes precedence if
//! only the older one is fully replicated, or if it covers more shards.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::control::LeafView;
use crate::fleet::{Fleet, Layout, Service};
use crate::ids::Snapshot;

/// Live replicas that every shard of the newest snapshot should have before it is preferred.
const WANTED_REPLICAS: usize = 2;

/// A ratio of one in parts per million.
const FULL_COVERAGE_PPM: u64 = 1_000_000;

/// Availability of a snapshot on live leaves; a greater value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotCoverage {
    /// Whether every shard has `WANTED_REPLICAS` live replicas, or all if the layout has fewer.
    fully_replicated: bool,
    /// Ratio of shards with at least one live replica, in parts per million.
    covered_ppm: u64,
    snapshot: Snapshot,
}

/// Snapshot to pin a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinnedSnapshot {
    /// Index version and layout.
    pub snapshot: Snapshot,
    /// Whether every shard has a live replica.
    pub covers_all: bool,
}

/// Chooses the newest snapshot with enough live replicas of every shard. If there is none, chooses
/// the snapshot that covers the most shards, and among equals the newest.
///
/// `excluded` lists snapshots that became unavailable while the request ran.
pub fn choose_snapshot(
    fleet: &Fleet,
    service: &Service,
    views: &HashMap<SocketAddr, LeafView>,
    excluded: &[Snapshot],
) -> Option<PinnedSnapshot> {
    let mut best: Option<SnapshotCoverage> = None;
    for layout in &service.layouts {
        for snapshot in held_snapshots(fleet, layout, views) {
            if excluded.contains(&snapshot) {
                continue;
            }
            let snapshot_coverage = snapshot_coverage(fleet, layout, views, snapshot);
            if best.is_none_or(|best| snapshot_coverage > best) {
                best = Some(snapshot_coverage);
            }
        }
    }
    best.map(|snapshot_coverage| PinnedSnapshot {
        snapshot: snapshot_coverage.snapshot,
        covers_all: snapshot_coverage.covered_ppm == FULL_COVERAGE_PPM,
    })
}

/// Returns whether a leaf accepts calls and serves a snapshot.
pub fn serves(view: &LeafView, snapshot: Snapshot) -> bool {
    view.state.accepts_work() && view.snapshots.contains(&snapshot)
}

/// Returns the snapshots of a layout that the views of its leaves list, in ascending order.
fn held_snapshots(
    fleet: &Fleet,
    layout: &Layout,
    views: &HashMap<SocketAddr, LeafView>,
) -> Vec<Snapshot> {
    let mut found: BTreeMap<Snapshot, ()> = BTreeMap::new();
    for leaf in layout.shards.iter().flatten() {
        let Some(view) = views.get(&fleet.leaf(*leaf).address) else {
            continue;
        };
        for snapshot in &view.snapshots {
            if snapshot.layout == layout.id {
                found.insert(*snapshot, ());
            }
        }
    }
    found.into_keys().collect()
}

fn snapshot_coverage(
    fleet: &Fleet,
    layout: &Layout,
    views: &HashMap<SocketAddr, LeafView>,
    snapshot: Snapshot,
) -> SnapshotCoverage {
    let mut fully_replicated = true;
    let mut covered = 0_u64;
    for shard in &layout.shards {
        let mut live_replicas = 0;
        for leaf in shard {
            let view = views.get(&fleet.leaf(*leaf).address);
            live_replicas += usize::from(view.is_some_and(|view| serves(view, snapshot)));
        }
        fully_replicated &= live_replicas >= WANTED_REPLICAS.min(shard.len());
        covered += u64::from(live_replicas > 0);
    }
    let covered_ppm = covered * FULL_COVERAGE_PPM / layout.shards.len().max(1) as u64;
    SnapshotCoverage {
        fully_replicated,
        covered_ppm,
        snapshot,
    }
}
