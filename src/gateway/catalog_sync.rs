//! Keeps the catalog, by which requests are routed, up to date on every VM: some VMs watch the
//! platform, the others fetch the catalog from a peer.
//!
//! Handles large fleets, where a watch from every VM would cost too many platform calls, and VMs
//! that the platform rejects or whose connection to it is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::AbortOnDropHandle;
use tracing::{debug, info};
use xxhash_rust::xxh3::xxh3_64;

use super::catalog_rpc;
use super::catalog_sources::MAX_BEHIND_MS;
use super::engine::Engine;
use super::membership::{LiveVm, Membership};
use crate::clock::boot_ms;
use crate::document::Version;

/// Maximum fleet size at which every VM watches the platform, so that none depends on a peer.
pub(super) const MAX_VMS_ALL_WATCH: usize = 10;

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

/// Least time from a fetch that brings no newer version to the next one: a peer may refuse at once.
const RETRY_DELAY_MS: u64 = 150;

/// Longest random addition to the time for which a VM may be behind, so that VMs which lack the same peers
/// don't read the platform in the same moment.
const MAX_BEHIND_SPREAD_MS: u64 = 500;

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
        let Some(peer) = choose_peer(membership, Version::default()) else {
            continue;
        };
        if !fetch(engine, peer, Version::default()).await {
            membership.catalog_sources().record_failure(peer, boot_ms());
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
    let mut catalog_sync = CatalogSync {
        engine,
        membership,
        started_ms,
        announced: Version::default(),
        behind: None,
        known_watcher: None,
        fetching: None,
        max_behind_ms: MAX_BEHIND_MS + rand::rng().random_range(0..=MAX_BEHIND_SPREAD_MS),
    };
    loop {
        catalog_sync.wait().await;
        catalog_sync.update();
    }
}

/// A VM that knows of a newer version than its own, or has none.
#[derive(Clone, Copy, Debug)]
struct Behind {
    /// Whether a VM has announced a newer version.
    is_announced: bool,
    since_ms: u64,
    failed_fetches: u32,
}

/// A fetch in progress.
struct Fetch {
    peer: SocketAddr,
    started: Instant,
    task: AbortOnDropHandle<bool>,
}

struct CatalogSync {
    engine: Arc<Engine>,
    membership: Arc<Membership>,
    started_ms: u64,
    announced: Version,
    behind: Option<Behind>,
    known_watcher: Option<(Arc<[LiveVm]>, bool)>,
    fetching: Option<Fetch>,
    /// Time for which this VM may be behind before it reads the platform, drawn at the start.
    max_behind_ms: u64,
}

impl CatalogSync {
    /// Waits for the next check or the end of a fetch.
    async fn wait(&mut self) {
        let interval = sleep(Duration::from_millis(CHECK_INTERVAL_MS));
        let Some(fetch) = &mut self.fetching else {
            return interval.await;
        };
        let (peer, started) = (fetch.peer, fetch.started);
        let is_newer = tokio::select! {
            is_newer = &mut fetch.task => is_newer.unwrap_or(false),
            () = interval => return,
        };
        self.fetching = None;
        if !is_newer {
            self.membership
                .catalog_sources()
                .record_failure(peer, boot_ms());
            if let Some(behind) = &mut self.behind {
                behind.failed_fetches += 1;
            }
            sleep_until(started + Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    /// Announces a new version of this VM, decides whether it watches the platform, and starts a fetch if
    /// it is behind.
    fn update(&mut self) {
        let (own_version, last_change) = {
            let catalog = &self.engine.state().catalog;
            (catalog.version(), catalog.last_change())
        };
        let has_routes = self.engine.route_table().is_some();
        if last_change > self.announced && has_routes {
            self.announced = last_change;
            self.membership.announce_catalog(last_change);
        }
        let now_ms = boot_ms();
        let is_announced = self.membership.announced_catalog() > Some(own_version);
        let known = self
            .behind
            .filter(|behind| behind.is_announced == is_announced);
        self.behind = (is_announced || !has_routes).then_some(known.unwrap_or(Behind {
            is_announced,
            since_ms: now_ms,
            failed_fetches: 0,
        }));
        let is_settling = has_routes && now_ms < self.started_ms + STARTUP_SETTLE_MS;
        let is_watcher = !is_settling && self.is_among_watchers();
        let reads_platform = is_watcher || self.lacks_peers(now_ms);
        self.engine.set_platform_watcher(reads_platform);
        let Some(behind) = self.behind else {
            return;
        };
        let awaits_own_watch = is_watcher
            && self.engine.platform_is_reachable()
            && now_ms < behind.since_ms + OWN_WATCH_TIMEOUT_MS;
        if self.fetching.is_some() || awaits_own_watch {
            return;
        }
        if let Some(peer) = choose_peer(&self.membership, own_version) {
            let engine = Arc::clone(&self.engine);
            let fetching = async move { fetch(&engine, peer, own_version).await };
            self.fetching = Some(Fetch {
                peer,
                started: Instant::now(),
                task: AbortOnDropHandle::new(tokio::spawn(fetching)),
            });
        }
    }

    fn is_among_watchers(&mut self) -> bool {
        let live_vms = self.membership.live_vms();
        if let Some((known, is_among_watchers)) = &self.known_watcher
            && Arc::ptr_eq(known, &live_vms)
        {
            return *is_among_watchers;
        }
        let is_live = |address: &SocketAddr| live_vms.iter().any(|vm| vm.address == *address);
        self.membership.catalog_sources().retain(is_live);
        let is_among_watchers = watches_platform(&live_vms, self.membership.address());
        self.known_watcher = Some((live_vms, is_among_watchers));
        is_among_watchers
    }

    /// Returns whether no peer can bring this VM up to date, so that it has to read the platform itself.
    ///
    /// A fleet without any configuration waits for its watchers: otherwise all VMs would read the platform.
    fn lacks_peers(&self, now_ms: u64) -> bool {
        let is_stuck = self.behind.is_some_and(|behind| {
            let is_late = now_ms >= behind.since_ms + self.max_behind_ms;
            behind.is_announced && behind.failed_fetches > 0 && is_late
        });
        is_stuck || self.membership.is_isolated(now_ms)
    }
}

/// Returns the peer to fetch a version after `own_version` from.
fn choose_peer(membership: &Membership, own_version: Version) -> Option<SocketAddr> {
    let live_vms = membership.live_vms();
    let live = live_vms.iter().map(|vm| vm.address);
    let peers: Vec<SocketAddr> = live.filter(|vm| *vm != membership.address()).collect();
    let sources = membership.catalog_sources();
    sources.choose(own_version, &peers, boot_ms(), &mut rand::rng())
}

/// Applies the catalog changes of a peer, and returns whether they brought a newer version.
async fn fetch(engine: &Engine, peer: SocketAddr, own_version: Version) -> bool {
    let fetched = match catalog_rpc::fetch_update(peer, own_version).await {
        Ok(fetched) => fetched,
        Err(error) => {
            info!(event = "catalog_not_fetched", %peer, %error);
            return false;
        }
    };
    let (changed, version) = {
        let state = &mut *engine.state();
        engine.apply_evacuations(state, fetched.evacuations);
        state.apply_warmups(fetched.warmups);
        let changed = state.catalog.update(fetched.update, boot_ms());
        (changed, state.catalog.version())
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
