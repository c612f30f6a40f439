//! Spreads the catalog over the VMs: who watches the platform, and who asks a peer instead.

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

/// Fleets up to this size watch the platform from every VM: each then needs no peer.
const ALL_WATCH_VMS: usize = 10;

/// VMs of a larger fleet that watch the platform. With a third of the VMs turned away, all of them
/// are with a probability of 0.005.
const WATCHERS: usize = 5;

/// Time between two comparisons with what peers announce.
const CHECK_MS: u64 = 100;

/// Time for which a VM that watches the platform lets its own watch catch up with a peer's
/// announcement; a longer lag means that its connection is silent or that it is turned away.
const OWN_WATCH_MS: u64 = 600;

/// Longest wait for a peer's catalog at the first start of a VM that is no seed.
const BOOTSTRAP_TIMEOUT_MS: u64 = 900;

/// Time after a start in which a VM that has a catalog leaves the watch to others.
///
/// It knows only some of the members then, and would take itself for one of the few that watch.
const SETTLE_MS: u64 = 2_500;

/// Pause after a peer did not answer.
const RETRY_MS: u64 = 200;

/// Returns whether a VM watches the platform itself: those with the smallest hashes do, so all VMs
/// agree as soon as they know the same members.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::watches_platform;
/// assert!(watches_platform(&[], ([127, 0, 0, 1], 7000).into()));
/// ```
pub fn watches_platform(live: &[LiveVm], own: SocketAddr) -> bool {
    if live.len() <= ALL_WATCH_VMS {
        return true;
    }
    let hash = |address: SocketAddr| xxh3_64(address.to_string().as_bytes());
    let own_hash = hash(own);
    let smaller = live.iter().filter(|m| hash(m.address) < own_hash).count();
    smaller < WATCHERS
}

/// Waits for a peer's catalog at the start, for a bounded time.
///
/// VMs that start together would all read the platform, and each call has a price.
pub async fn bootstrap_catalog(engine: &Engine, membership: &Membership) {
    let until_ms = boot_ms() + BOOTSTRAP_TIMEOUT_MS;
    engine.set_watching(false);
    while boot_ms() < until_ms && engine.table().is_none() {
        sleep(Duration::from_millis(CHECK_MS)).await;
        if let Some(peer) = choose_peer(engine, membership, 0) {
            fetch(engine, peer, 0).await;
        }
    }
    engine.set_watching(engine.table().is_none());
}

/// Keeps this VM's catalog level with the newest that a peer announces.
///
/// With `asks_peers`, peers are asked before the platform at the start.
pub async fn run(engine: Arc<Engine>, membership: Arc<Membership>, asks_peers: bool) {
    let started_ms = boot_ms();
    if asks_peers {
        bootstrap_catalog(&engine, &membership).await;
    }
    let mut announced = 0;
    let mut behind_since_ms = None;
    loop {
        sleep(Duration::from_millis(CHECK_MS)).await;
        let (own, changed_at) = {
            let catalog = &engine.state().catalog;
            (catalog.revision(), catalog.changed_at())
        };
        let age_ms = boot_ms().saturating_sub(started_ms);
        let is_settling = age_ms < SETTLE_MS && engine.table().is_some();
        let watches = !is_settling && watches_platform(&membership.live(), membership.address());
        engine.set_watching(watches);
        if changed_at > announced && engine.table().is_some() {
            announced = changed_at;
            membership.announce_catalog(changed_at);
        }
        let Some(peer) = choose_peer(&engine, &membership, own) else {
            behind_since_ms = None;
            continue;
        };
        let since_ms = *behind_since_ms.get_or_insert(boot_ms());
        let waited_ms = boot_ms().saturating_sub(since_ms);
        if watches && engine.platform_answers() && waited_ms < OWN_WATCH_MS {
            continue;
        }
        if !fetch(&engine, peer, own).await {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

/// Returns the peer to ask: one that announced more than this VM knows, or any while this VM knows
/// nothing.
fn choose_peer(engine: &Engine, membership: &Membership, own: u64) -> Option<SocketAddr> {
    if let Some((revision, peer)) = membership.announced_catalog()
        && revision > own
    {
        return Some(peer);
    }
    if engine.table().is_some() {
        return None;
    }
    let mut peers = membership.live();
    peers.retain(|member| member.address != membership.address());
    peers.choose(&mut rand::rng()).map(|member| member.address)
}

async fn fetch(engine: &Engine, peer: SocketAddr, own: u64) -> bool {
    let update = match catalog_rpc::fetch_update(peer, own).await {
        Ok(update) => update,
        Err(error) => {
            info!(event = "catalog_not_fetched", %peer, %error);
            return false;
        }
    };
    let (changed, revision) = {
        let catalog = &mut engine.state().catalog;
        let changed = catalog.update(update, boot_ms());
        (changed, catalog.revision())
    };
    debug!(event = "catalog_fetched", %peer, from = own, to = revision);
    if changed.document || changed.leaves {
        engine.refresh();
    }
    revision > own
}
