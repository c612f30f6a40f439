//! Requests while failure domains are evacuated, on real gateways with fake leaves.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverrack::fact::Profile;
use cloverrack::gateway::catalog_sync::bootstrap_catalog;
use cloverrack::gateway::leaf_capacity::WorkKind;
use cloverrack::gateway::{
    CallError, Change, Engine, LeafRecord, Membership, SourceImage, catalog_rpc, evidence_sync,
};
use gateway::{
    Leaf, LeafBehaviour, TestGateway, apply_change, call_spec, engine, evacuation, gather_route,
    open_call, publish, single_route,
};
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Requests by which a test finds out which leaves are used.
const PROBES: usize = 12;

/// Time within which VMs learn of an evacuation; requests must not reach the leaves 5 s after its key was
/// written.
const KNOWN_LIMIT: Duration = Duration::from_secs(4);

/// Returns a gateway with one service, of a leaf in domain `a` and one in domain `b`.
async fn gateway_with_domains() -> (TestGateway, [Leaf; 2]) {
    let test_gateway = TestGateway::spawn().await;
    let first = Leaf::spawn("first", 1, LeafBehaviour::Answer).await;
    let second = Leaf::spawn("second", 2, LeafBehaviour::Answer).await;
    let routes = vec![
        single_route("/a/", "s", true, 2),
        gather_route("/g/", &["s"], 1_000_000),
    ];
    test_gateway.publish(1, routes, &[("s", &first)]);
    let record = LeafRecord {
        failure_domain: "b".into(),
        ..second.record("s")
    };
    apply_change(&test_gateway, Change::Leaf(record), 2);
    (test_gateway, [first, second])
}

async fn probe(test_gateway: &TestGateway, expected: StatusCode) {
    for _ in 0..PROBES {
        for path in ["/a/x", "/g/x"] {
            assert_eq!(test_gateway.get(path).await.status, expected, "{path}");
        }
    }
}

/// Guards against requests that reach leaves of an evacuated domain: first calls, retries, and calls that
/// were assigned to a leaf and wait; and against leaves that are not used again afterwards.
#[tokio::test]
async fn no_call_reaches_an_evacuated_leaf() {
    let (test_gateway, [first, second]) = gateway_with_domains().await;
    let engine = &test_gateway.engine;
    // The leaf of the own domain is preferred.
    let other = open_call(&test_gateway, "s").leaf;
    let service = engine.state().names.intern("s");
    let calls = (0..3).map(|_| {
        engine
            .open_call(WorkKind::default(), service, &[other])
            .unwrap()
    });
    let mut waiting: Vec<_> = calls.collect();
    second.set(LeafBehaviour::Slow(200));
    let open = tokio::spawn(async move {
        let call = waiting.pop().unwrap();
        (call.run(&call_spec()).await, waiting)
    });
    sleep(Duration::from_millis(100)).await;
    engine.apply_evidence(vec![evacuation("b", 3, true)]);
    let (open, waiting) = open.await.unwrap();
    assert!(open.is_ok(), "an open call may finish");
    for call in waiting {
        let result = call.run(&call_spec()).await;
        assert_eq!(result.err(), Some(CallError::Withheld));
    }
    let before = second.received();
    assert_eq!(before, 1);
    probe(&test_gateway, StatusCode::OK).await;
    first.set(LeafBehaviour::Refuse);
    assert_ne!(test_gateway.get("/a/retry").await.status, StatusCode::OK);
    assert_eq!(second.received(), before);
    first.set(LeafBehaviour::Answer);
    engine.apply_evidence(vec![evacuation("a", 4, true)]);
    let received = first.received();
    probe(&test_gateway, StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!((first.received(), second.received()), (received, before));
    engine.apply_evidence(vec![evacuation("b", 6, false)]);
    second.set(LeafBehaviour::Answer);
    probe(&test_gateway, StatusCode::OK).await;
    assert_eq!(second.received(), before + 2 * PROBES);
    assert_eq!(first.received(), received);
}

async fn bind_membership(listener: &TcpListener, seed: Option<SocketAddr>) -> Arc<Membership> {
    let address = listener.local_addr().unwrap();
    let profile = Profile {
        caller_address: address,
        failure_domain: "a".into(),
        millicores: 500,
        link_mbps: 1_000,
    };
    let seeds = vec![seed.unwrap_or(address)];
    Membership::bind(address, seeds, profile).await.unwrap()
}

/// Applies a full read of the store that lists these domains.
fn read_store(engine: &Engine, revision: u64, domains: &[&str]) {
    let mut image = SourceImage::from(engine.state().catalog.image());
    image.catalog.revision = revision;
    image.evacuated_domains = domains.iter().map(|domain| (*domain).into()).collect();
    engine.apply_source_image(image);
}

async fn learns(engine: &Engine, expected: usize) {
    let learned = async {
        while engine.state().leaves.evacuated_domains().len() != expected {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(KNOWN_LIMIT, learned).await.unwrap();
}

/// Guards against a VM that starts during an evacuation or was cut off from the others meanwhile, and does not
/// learn of its beginning or end; and against one that uses its first catalog before it has learned of it.
#[tokio::test]
async fn a_later_start_or_a_lost_link_forgets_no_evacuation() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let earlier = engine();
    publish(&earlier, 1, vec![single_route("/a/", "s", true, 1)], &[]);
    let membership = bind_membership(&listener, None).await;
    tokio::spawn(Arc::clone(&membership).run());
    tokio::spawn(catalog_rpc::serve(listener, Arc::clone(&earlier)));
    tokio::spawn(evidence_sync::run(Arc::clone(&earlier), membership));
    read_store(&earlier, 3, &["b"]);
    let (by_gossip, by_catalog) = (engine(), engine());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let joining = bind_membership(&listener, Some(address)).await;
    let gossip = tokio::spawn(Arc::clone(&joining).run());
    // Without the task that applies facts of gossip, the catalog brings the evacuation.
    bootstrap_catalog(&by_catalog, &joining).await;
    assert!(by_catalog.route_table().is_some());
    learns(&by_catalog, 1).await;
    tokio::spawn(evidence_sync::run(
        Arc::clone(&by_gossip),
        Arc::clone(&joining),
    ));
    learns(&by_gossip, 1).await;
    gossip.abort();
    sleep(Duration::from_millis(500)).await;
    by_gossip.state().leaves.forget_failures();
    read_store(&earlier, 4, &["b", "c"]);
    sleep(Duration::from_millis(1_500)).await;
    learns(&by_gossip, 1).await;
    tokio::spawn(Arc::clone(&joining).run());
    learns(&by_gossip, 2).await;
    read_store(&earlier, 5, &[]);
    learns(&by_gossip, 0).await;
}
