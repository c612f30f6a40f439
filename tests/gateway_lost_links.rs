//! VMs that are cut off from the leaves while callers and other VMs still reach them.
//!
//! The VMs run in this process, each with links of its own to the leaves.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "../platform/tests/soak/cuts.rs"]
#[allow(dead_code, reason = "links of the soak can be cut by VM")]
mod cuts;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/gateway.rs"]
mod gateway;
#[path = "../platform/tests/soak/link.rs"]
#[allow(dead_code, reason = "the tests use a part of the links")]
mod link;

use std::time::Duration;

use bytes::Bytes;
use cloverrack::LeafKey;
use cloverrack::gateway::{Connection, LeafReport, Observation};
use fleet::{CUTS, Cut, ONCE_SERVICE, SAFE_SERVICE, SHARDS, TestFleet};
use gateway::{Leaf, LeafBehaviour, TestGateway, gather_route, order, request, single_route};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;

/// Time after which a cut counts as known. The users' bound is 4 s.
const KNOWN: Duration = Duration::from_millis(1_000);

/// Requests to each VM, and pause between two of them.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(10);

/// First tries that may fail: ten, and one in fifty.
fn tolerated_failures(requests: usize) -> usize {
    10 + requests / 50
}

/// Returns one of the three kinds of requests.
fn any_request(number: usize) -> Request<Full<Bytes>> {
    match number % 3 {
        0 => request("/g/x"),
        1 => request("/a/x"),
        _ => order("x"),
    }
}

/// Sends requests of all kinds to a VM; returns the number of those that are not served.
async fn failures(fleet: &TestFleet, vm: usize) -> usize {
    let mut failed = 0;
    for number in 0..REQUESTS {
        failed += usize::from(!fleet.vms[vm].serves(any_request(number)).await);
        sleep(PAUSE).await;
    }
    failed
}

/// Guards against callers of VMs that are cut off from all leaves being served worse than the others.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_vms_without_links_to_leaves_are_served() {
    for cut in CUTS {
        let fleet = TestFleet::start(4).await;
        for vm in 0..4 {
            assert_eq!(failures(&fleet, vm).await, 0, "{cut:?} before the cut");
        }
        for vm in 0..3 {
            fleet.cut(vm, cut).await;
        }
        // Requests during the cut let the VMs find out.
        for vm in 0..3 {
            fleet.vms[vm].serves(request("/g/x")).await;
        }
        sleep(KNOWN).await;
        let (first, second, third, connected) = tokio::join!(
            failures(&fleet, 0),
            failures(&fleet, 1),
            failures(&fleet, 2),
            failures(&fleet, 3)
        );
        let failed = first + second + third + connected;
        let tolerated = tolerated_failures(4 * REQUESTS);
        assert!(
            failed <= tolerated,
            "{cut:?}: {first}, {second} and {third} of {REQUESTS} failed at VMs that were cut off, \
             {connected} at the other"
        );
    }
}

/// Guards against contents that are quarantined because a VM lost its links to some leaves only,
/// while it reaches others.
#[tokio::test(flavor = "multi_thread")]
async fn links_lost_to_some_leaves_are_no_evidence_against_contents() {
    let fleet = TestFleet::start(4).await;
    failures(&fleet, 0).await;
    for (_, leaf) in &fleet.leaves {
        leaf.set(LeafBehaviour::Slow(100));
    }
    for _ in 0..2 {
        let requests = (0..30).map(|number| fleet.vms[0].serves(any_request(number)));
        let cut = async {
            sleep(Duration::from_millis(50)).await;
            let services = [SAFE_SERVICE, ONCE_SERVICE, SHARDS[0]];
            fleet.cut_services(0, Cut::Refuse, &services).await;
        };
        tokio::join!(futures_util::future::join_all(requests), cut);
        sleep(KNOWN).await;
        fleet.heal(0).await;
        sleep(KNOWN).await;
    }
    fleet.assert_no_evidence();
}

/// Guards against reports that leaves fail from a VM whose links may be lost.
#[tokio::test]
async fn failures_are_reported_once_a_leaf_replies() {
    let gateway = TestGateway::spawn().await;
    let mut leaves = Vec::new();
    for index in 0..4 {
        leaves.push(Leaf::spawn(&format!("leaf-{index}"), 1, LeafBehaviour::Break).await);
    }
    let services = ["s0", "s1", "s2", "s3"];
    let listed: Vec<(&str, &Leaf)> = services.into_iter().zip(&leaves).collect();
    let routes = vec![
        gather_route("/g/", &services[..3], 1_000_000),
        single_route("/a/", "s3", true, 1),
    ];
    gateway.publish(1, routes, &listed);
    gateway.get("/g/x").await;
    assert_eq!(gateway.engine.take_reports(), []);
    leaves[3].set(LeafBehaviour::Answer);
    assert_eq!(gateway.get("/a/x").await.status, StatusCode::OK);
    let reports = gateway.engine.take_reports();
    let is_failure = |report: &&LeafReport| report.observation == Observation::Failed;
    assert!(
        reports.iter().filter(is_failure).count() >= 3,
        "{reports:?}"
    );
}

/// Guards against a VM taking services that are down for lost links because most of the leaves belong
/// to them.
#[tokio::test]
async fn most_leaves_that_are_down_are_no_loss_of_links() {
    let gateway = TestGateway::spawn().await;
    let alive = Leaf::spawn("alive", 1, LeafBehaviour::Answer).await;
    let mut down = Vec::new();
    for index in 0..20 {
        down.push(Leaf::spawn(&format!("down-{index}"), 1, LeafBehaviour::Answer).await);
    }
    let mut listed = vec![("alive", &alive)];
    listed.extend(down.iter().map(|leaf| ("down", leaf)));
    gateway.publish(1, vec![single_route("/a/", "alive", true, 1)], &listed);
    for leaf in &down {
        leaf.end();
    }
    for _ in 0..6 {
        assert_eq!(gateway.get("/a/x").await.status, StatusCode::OK);
        for index in 1..=3 {
            let now_us = cloverrack::clock::boot_us();
            let links = &mut gateway.engine.state().link_monitor;
            links.record_no_connection(LeafKey::new(index), now_us);
        }
        sleep(Duration::from_millis(350)).await;
        gateway.engine.check_links_if_due().await;
        assert!(!gateway.engine.state().link_monitor.is_lost());
    }
}

/// Time for which the process of a test does not run.
const PROCESS_DELAY: Duration = Duration::from_millis(700);

/// Starts a gateway and leaves that answer after 40 ms.
async fn gateway_with_slow_leaves() -> (TestGateway, Vec<Leaf>) {
    let gateway = TestGateway::spawn().await;
    let mut leaves = Vec::new();
    for index in 0..4 {
        leaves.push(Leaf::spawn(&format!("leaf-{index}"), 1, LeafBehaviour::SlowCheck(40)).await);
    }
    let listed: Vec<(&str, &Leaf)> = leaves.iter().map(|leaf| ("s0", leaf)).collect();
    gateway.publish(1, vec![single_route("/a/", "s0", true, 1)], &listed);
    (gateway, leaves)
}

/// Guards against a VM that takes its links for lost since its own process was delayed during a check.
#[tokio::test]
async fn a_delay_of_the_process_is_no_loss_of_links() {
    let (gateway, _leaves) = gateway_with_slow_leaves().await;
    let now_us = cloverrack::clock::boot_us();
    {
        let links = &mut gateway.engine.state().link_monitor;
        links.record_call(now_us);
        for index in 0..3 {
            links.record_failure(LeafKey::new(index), now_us);
        }
    }
    let delay = async {
        sleep(Duration::from_millis(10)).await;
        std::thread::sleep(PROCESS_DELAY);
    };
    tokio::join!(gateway.engine.check_links_if_due(), delay);
    let links = &gateway.engine.state().link_monitor;
    assert!(!links.is_lost());
    assert!(!links.may_be_lost(4), "the check has passed");
}

/// Guards against reports to other VMs that leaves stall while only this process was delayed.
#[tokio::test]
async fn a_delay_of_the_process_is_no_stall_of_leaves() {
    let (gateway, _leaves) = gateway_with_slow_leaves().await;
    let address = gateway.address;
    gateway.engine.record_turn(20);
    let request = tokio::spawn(async move {
        let mut connection = Connection::open(address).await.unwrap();
        connection.exchange(request("/a/x")).await
    });
    sleep(Duration::from_millis(15)).await;
    std::thread::sleep(PROCESS_DELAY);
    assert_eq!(gateway.engine.take_reports(), []);
    assert_eq!(request.await.unwrap().unwrap().status, StatusCode::OK);
    assert_eq!(gateway.engine.take_reports(), []);
}

/// Guards against VMs that take slow leaves for lost links and refuse requests: all of them do at the
/// same time then, so that none is left to serve.
#[tokio::test(flavor = "multi_thread")]
async fn slow_leaves_are_no_loss_of_links() {
    let fleet = TestFleet::start(3).await;
    for vm in 0..3 {
        assert_eq!(failures(&fleet, vm).await, 0);
    }
    fleet.delay_all(120);
    let mut served = 0;
    for _ in 0..6 {
        let requests = fleet.vms.iter().map(|vm| vm.serves(request("/g/x")));
        let ends = futures_util::future::join_all(requests).await;
        served += ends.into_iter().filter(|is_served| *is_served).count();
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(served, 18);
    for vm in &fleet.vms {
        assert!(!vm.engine.state().link_monitor.is_lost());
    }
}

/// Guards against a VM avoiding healthy leaves once it has links again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_links_are_no_failures_of_leaves() {
    for cut in [Cut::Reset, Cut::Hang] {
        let fleet = TestFleet::start(3).await;
        failures(&fleet, 0).await;
        for (_, leaf) in &fleet.leaves {
            leaf.set(LeafBehaviour::Slow(50));
        }
        let requests = (0..30).map(|number| fleet.vms[0].serves(any_request(number)));
        let cut_off = async {
            sleep(Duration::from_millis(25)).await;
            fleet.cut(0, cut).await;
        };
        tokio::join!(futures_util::future::join_all(requests), cut_off);
        fleet.heal(0).await;
        sleep(2 * KNOWN).await;
        for (index, vm) in fleet.vms.iter().enumerate() {
            let now_us = cloverrack::clock::boot_us();
            let state = vm.engine.state();
            let leaves = state.leaves.iter().map(|(_, leaf)| leaf);
            let avoided = leaves.filter(|leaf| leaf.leaf_stats.is_outlier(now_us));
            // Two failures may be reported before a third shows that the links may be at fault.
            assert!(avoided.count() <= 2, "{cut:?}: VM {index}");
        }
    }
}

/// Guards against contents that are quarantined because a VM lost its links to the leaves.
#[tokio::test(flavor = "multi_thread")]
async fn lost_links_are_no_evidence_against_contents() {
    for (first, second) in [
        (Cut::Reset, Cut::Refuse),
        (Cut::Hang, Cut::Refuse),
        (Cut::RefuseNew, Cut::Reset),
    ] {
        let fleet = TestFleet::start(4).await;
        failures(&fleet, 0).await;
        for cut in [first, second] {
            fleet.cut(0, cut).await;
            let requests = (0..30).map(|number| fleet.vms[0].serves(any_request(number)));
            futures_util::future::join_all(requests).await;
            fleet.heal(0).await;
            sleep(2 * KNOWN).await;
        }
        fleet.assert_no_evidence();
    }
}
