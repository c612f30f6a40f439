//! How a VM gets its first catalog, between VMs of this process.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

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

/// Time between the start of a fleet's VMs and the operators' first configuration.
const FIRST_VERSION_MS: u64 = 600;

/// Time after it in which the members become known.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time in which a VM that finds no peer reads the platform itself.
const NO_PEER_LIMIT: Duration = Duration::from_millis(1_500);

/// Returns a free address whose port is free for datagrams too.
async fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.local_addr().unwrap()
}

async fn member(address: SocketAddr, seeds: Vec<SocketAddr>) -> Arc<Membership> {
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

/// Guards against a whole fleet that reads the platform at once: at its first start a VM knows few
/// members, and takes itself for one of those that watch.
#[tokio::test]
async fn a_new_vm_takes_the_first_configuration_from_its_peers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seed_address = listener.local_addr().unwrap();
    let seed: Arc<Engine> = engine();
    tokio::spawn(catalog_rpc::serve(listener, Arc::clone(&seed)));
    let _seed_members = member(seed_address, vec![seed_address]).await;
    let membership = member(free_address().await, vec![seed_address]).await;
    let joining = engine();
    tokio::spawn(catalog_sync::run(Arc::clone(&joining), membership, true));
    sleep(Duration::from_millis(FIRST_VERSION_MS)).await;
    publish(&seed, 1, vec![single_route("/a/", "one", true, 1)], &[]);
    let published = Instant::now();
    while published.elapsed() < SETTLE_TIME {
        assert!(!joining.is_watching(), "it reads the platform");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(joining.table().is_some(), "it has no configuration");
    while !joining.is_watching() {
        assert!(published.elapsed() < 4 * SETTLE_TIME, "it never watches");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a VM that waits for peers where there are none.
#[tokio::test]
async fn a_vm_without_peers_reads_the_platform_soon() {
    let membership = member(free_address().await, Vec::new()).await;
    let started = Instant::now();
    let alone = engine();
    bootstrap_catalog(&alone, &membership).await;
    assert!(started.elapsed() < NO_PEER_LIMIT, "{:?}", started.elapsed());
    assert!(alone.is_watching());
}
