//! Bootstrap of a VM's catalog, which it needs before it can route a request.
//!
//! The VMs run in this process. Covered are a fleet that starts before its first configuration is
//! published, and a VM that has no peers.

#![expect(
    clippy::unwrap_used,
    reason = "a failure of the test harness fails the test"
)]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverrack::fact::Profile;
use cloverrack::gateway::catalog_rpc;
use cloverrack::gateway::catalog_sync::{self, bootstrap_catalog};
use cloverrack::gateway::{Engine, Membership};
use gateway::{engine, publish, single_route};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// Time from the start of the VMs to the publication of the first configuration.
const FIRST_VERSION_MS: u64 = 600;

/// Time after the publication within which membership has converged.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time within which a VM that finds no peer starts to watch the platform.
const NO_PEER_LIMIT: Duration = Duration::from_millis(1_500);

/// Returns a loopback address whose UDP port was free a moment ago.
async fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.local_addr().unwrap()
}

async fn spawn_membership(address: SocketAddr, seeds: Vec<SocketAddr>) -> Arc<Membership> {
    let profile = Profile {
        caller_address: address,
        failure_domain: "a".into(),
        millicores: 500,
        link_mbps: 1_000,
    };
    let membership = Membership::bind(address, seeds, profile).await.unwrap();
    tokio::spawn(Arc::clone(&membership).run());
    membership
}

/// Guards against all VMs of a starting fleet reading the platform at once. A VM that has just
/// started knows only a few other VMs, so the rule that selects the watchers may select every VM.
/// It must fetch the catalog from a peer first and start to watch only later.
#[tokio::test]
async fn a_new_vm_takes_the_first_configuration_from_its_peers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seed_address = listener.local_addr().unwrap();
    let seed: Arc<Engine> = engine();
    tokio::spawn(catalog_rpc::serve(listener, Arc::clone(&seed)));
    let _seed_membership = spawn_membership(seed_address, vec![seed_address]).await;
    let membership = spawn_membership(free_address().await, vec![seed_address]).await;
    let joining = engine();
    tokio::spawn(catalog_sync::run(Arc::clone(&joining), membership, true));
    sleep(Duration::from_millis(FIRST_VERSION_MS)).await;
    publish(&seed, 1, vec![single_route("/a/", "one", true, 1)], &[]);
    let published = Instant::now();
    while published.elapsed() < SETTLE_TIME {
        assert!(
            !joining.is_platform_watcher(),
            "the new VM watches the platform before membership has converged"
        );
        sleep(Duration::from_millis(10)).await;
    }
    assert!(
        joining.route_table().is_some(),
        "the new VM received no configuration from its peer"
    );
    while !joining.is_platform_watcher() {
        assert!(
            published.elapsed() < 4 * SETTLE_TIME,
            "the new VM never starts to watch the platform"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against work that grows with the fleet while nothing changes, and against a list of live VMs
/// that is kept although a VM has joined, has left, or has only now published its profile.
#[tokio::test]
async fn the_list_of_live_vms_is_kept_until_a_vm_changes() {
    let seed_address = free_address().await;
    let seed = spawn_membership(seed_address, vec![seed_address]).await;
    let alone = seed.live_vms();
    assert!(Arc::ptr_eq(&alone, &seed.live_vms()));
    let joining = spawn_membership(free_address().await, vec![seed_address]).await;
    let lists_both = |membership: &Membership| membership.live_vms().len() == 2;
    let started = Instant::now();
    while !lists_both(&seed) || !lists_both(&joining) {
        assert!(started.elapsed() < SETTLE_TIME, "a VM is not listed");
        sleep(Duration::from_millis(5)).await;
    }
    let both = seed.live_vms();
    let engine = engine();
    let active = engine.active_vms(&both);
    assert_eq!(active.len(), 2);
    sleep(SETTLE_TIME).await;
    assert!(Arc::ptr_eq(&both, &seed.live_vms()), "nothing changed");
    assert!(Arc::ptr_eq(&active, &engine.active_vms(&seed.live_vms())));
    joining.leave();
    let left = Instant::now();
    while seed.live_vms().len() == 2 {
        assert!(left.elapsed() < SETTLE_TIME, "a VM that left is listed");
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(engine.active_vms(&seed.live_vms()).len(), 1);
}

/// Guards against a VM that waits for a peer's catalog indefinitely. With no peers to answer, it
/// has to watch the platform itself after the bootstrap timeout.
#[tokio::test]
async fn a_vm_without_peers_reads_the_platform_soon() {
    let membership = spawn_membership(free_address().await, Vec::new()).await;
    let started = Instant::now();
    let alone = engine();
    bootstrap_catalog(&alone, &membership).await;
    assert!(started.elapsed() < NO_PEER_LIMIT, "{:?}", started.elapsed());
    assert!(alone.is_platform_watcher());
}
