//! Keeps the catalog, by which requests are routed, up to date on every VM: some VMs watch the
//! platform, the others fetch the catalog from a peer.
//!
//! Handles large fleets, where a watch from every VM would cost too many platform calls, and VMs
//! that the platform rejects or whose connection to it is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::sleep;
use tracing::{debug, info};
use xxhash_rust::xxh3::xxh3_64;

use super::catalog_rpc;
use super::engine::Engine;
use super::membership::{LiveVm, Membership};
use crate::clock::boot_ms;
use crate::document::Version;

/// Maximum fleet size at which every VM watches the platform, so that none depends on a peer.
const MAX_VMS_ALL_WATCH: usize = 10;

/// Number of VMs that watch the platform in a larger fleet. If the platform rejects a third of the
/// VMs, the probability that it rejects all watchers is 0.005.
const WATCHERS: usize = 5;

/// Interval between comparisons with the revisions that peers announce.
const CHECK_INTERVAL_MS: u64 = 100;

/// Time for which a VM that watches the platform waits for its own watch to catch up with a peer's
/// announcement. A longer lag means that its connection is silent or that the platform rejects it.
const OWN_WATCH_TIMEOUT_MS: u64 = 600;

/// Timeout for fetching a peer's catalog at the first start of a VM that is not a seed.
const BOOTSTRAP_TIMEOUT_MS: u64 = 900;

/// Time after a start during which a VM that has a catalog doesn't watch the platform.
///
/// It has discovered only some of the VMs then, and would count itself among the watchers. Nor does it
/// use more connections and extra calls than one of the active VMs of a large fleet.
pub const STARTUP_SETTLE_MS: u64 = 2_500;

/// Delay after a fetch from a peer that brought no newer revision.
const RETRY_DELAY_MS: u64 = 200;

/// Returns whether a VM watches the platform itself.
///
/// The VMs with the smallest address hashes do, so all VMs agree on the watchers as soon as they
/// have the same list of live VMs.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::watches_platform;
/// assert!(watches_platform(&[], ([127, 0, 0, 1], 7000).into()));
/// ```
pub fn watches_platform(live: &[LiveVm], own_address: SocketAddr) -> bool {
    if live.len() <= MAX_VMS_ALL_WATCH {
        return true;
    }
    let hash = |address: SocketAddr| xxh3_64(address.to_string().as_bytes());
    let own_hash = hash(own_address);
    let smaller = live.iter().filter(|vm| hash(vm.address) < own_hash).count();
    smaller < WATCHERS
}

/// Fetches a peer's catalog at the start, for a bounded time.
///
/// Otherwise, VMs that start together would all read the platform, and each call to it is billed.
pub async fn bootstrap_catalog(engine: &Engine, membership: &Membership) {
    let deadline_ms = boot_ms() + BOOTSTRAP_TIMEOUT_MS;
    engine.set_platform_watcher(false);
    while boot_ms() < deadline_ms && engine.route_table().is_none() {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if let Some(peer) = choose_peer(engine, membership, Version::default()) {
            fetch(engine, peer, Version::default()).await;
        }
    }
    engine.set_platform_watcher(engine.route_table().is_none());
}

/// Keeps this VM's catalog up to date with the newest revision that a peer announces.
///
/// With `bootstrap_from_peers`, the first catalog is requested from peers before the platform.
pub async fn run(engine: Arc<Engine>, membership: Arc<Membership>, bootstrap_from_peers: bool) {
    let started_ms = boot_ms();
    if bootstrap_from_peers {
        bootstrap_catalog(&engine, &membership).await;
    }
    let mut announced = Version::default();
    let mut behind_since_ms = None;
    let mut known_watcher: Option<(Arc<[LiveVm]>, bool)> = None;
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let (own_version, last_change) = {
            let catalog = &engine.state().catalog;
            (catalog.version(), catalog.last_change())
        };
        let age_ms = boot_ms().saturating_sub(started_ms);
        let is_settling = age_ms < STARTUP_SETTLE_MS && engine.route_table().is_some();
        let live_vms = membership.live_vms();
        let is_among_watchers = match &known_watcher {
            Some((known, is_among_watchers)) if Arc::ptr_eq(known, &live_vms) => *is_among_watchers,
            _ => watches_platform(&live_vms, membership.address()),
        };
        known_watcher = Some((live_vms, is_among_watchers));
        let is_watcher = !is_settling && is_among_watchers;
        engine.set_platform_watcher(is_watcher);
        if last_change > announced && engine.route_table().is_some() {
            announced = last_change;
            membership.announce_catalog(last_change);
        }
        let Some(peer) = choose_peer(&engine, &membership, own_version) else {
            behind_since_ms = None;
            continue;
        };
        let since_ms = *behind_since_ms.get_or_insert(boot_ms());
        let waited_ms = boot_ms().saturating_sub(since_ms);
        if is_watcher && engine.platform_is_reachable() && waited_ms < OWN_WATCH_TIMEOUT_MS {
            continue;
        }
        if !fetch(&engine, peer, own_version).await {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

/// Returns the peer to fetch the catalog from: one that announced a newer revision, or a random one
/// while this VM has no routes.
fn choose_peer(
    engine: &Engine,
    membership: &Membership,
    own_version: Version,
) -> Option<SocketAddr> {
    if let Some((version, peer)) = membership.announced_catalog()
        && version > own_version
    {
        return Some(peer);
    }
    if engine.route_table().is_some() {
        return None;
    }
    let live_vms = membership.live_vms();
    let own = membership.address();
    let peers: Vec<&LiveVm> = live_vms.iter().filter(|vm| vm.address != own).collect();
    peers.choose(&mut rand::rng()).map(|vm| vm.address)
}

/// Applies the catalog changes of a peer, and returns whether they brought a newer version.
async fn fetch(engine: &Engine, peer: SocketAddr, own_version: Version) -> bool {
    let update = match catalog_rpc::fetch_update(peer, own_version).await {
        Ok(update) => update,
        Err(error) => {
            info!(event = "catalog_not_fetched", %peer, %error);
            return false;
        }
    };
    let (changed, version) = {
        let catalog = &mut engine.state().catalog;
        let changed = catalog.update(update, boot_ms());
        (changed, catalog.version())
    };
    debug!(
        event = "catalog_fetched",
        %peer,
        epoch = version.epoch,
        from = own_version.revision,
        to = version.revision
    );
    if changed.document || changed.leaves {
        engine.refresh();
    }
    version > own_version
}
