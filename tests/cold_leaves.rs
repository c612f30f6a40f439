//! Limits on requests to cold leaves: the decision, and real gateways with fake leaves.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::IpAddr;
use std::time::Duration;

use cloverrack::document::Version;
use cloverrack::gateway::rate_limit::MAX_WAIT_US;
use cloverrack::gateway::{Change, ColdLeaf, LeafRecord, Warmup, WarmupSettings, catalog_rpc};
use gateway::{
    Leaf, LeafBehaviour, TestGateway, apply_change, evacuation, open_call, publish_service,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::time::sleep;

const MS: u64 = 1_000;

/// Interval between reports.
const REPORT_MS: u64 = 60;

fn vm_ip(vm: usize) -> IpAddr {
    [10, 0, 0, vm as u8].into()
}

/// Returns the greatest number of calls in a second and the number in all of four, from VMs of which those
/// above `silent_from` report nothing, while each has more calls than it may send.
fn calls_of(vms: usize, silent_from: usize, warmup: Warmup, lost: f64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut limits: Vec<ColdLeaf> = vec![ColdLeaf::default(); vms];
    for limit in &mut limits {
        limit.record_return(warmup.duration_ms, 0);
    }
    let count = vms as u32;
    let mut calls_ms: Vec<u64> = Vec::new();
    for now_ms in 0..4_000 {
        let now_us = now_ms * MS;
        for limit in &mut limits {
            limit.update(Some(warmup), now_us);
            while let Some(wait_us) = limit.wait_us(now_us, count)
                && wait_us <= MAX_WAIT_US
            {
                limit.limit_mut().unwrap().reserve(now_us, count);
                calls_ms.push(now_ms + wait_us / MS);
            }
        }
        for from in 0..silent_from {
            if !(now_ms + 7 * from as u64).is_multiple_of(REPORT_MS) {
                continue;
            }
            let usage = limits[from].usage(now_us).unwrap();
            for (vm, limit) in limits.iter_mut().enumerate() {
                if vm != from && !rng.random_bool(lost) {
                    limit.apply_usage(Some(warmup), vm_ip(from), &usage, now_us, count);
                }
            }
        }
    }
    let within = |from_ms: &u64| {
        let second = *from_ms..from_ms + 1_000;
        let calls = calls_ms.iter();
        calls.filter(|at_ms| second.contains(at_ms)).count()
    };
    (calls_ms.iter().map(within).max().unwrap(), calls_ms.len())
}

/// Guards against VMs that each send a cold leaf the whole rate, also if reports are lost or VMs are silent, and
/// against a limit that lets hardly any call pass. Users count a violation above 1.5 times the rate and 5.
#[test]
fn the_calls_of_all_vms_to_a_cold_leaf_are_limited() {
    for rate in [2_usize, 10, 40] {
        let warmup = Warmup {
            duration_ms: 60_000,
            rate_milli: rate as u64 * 1_000,
        };
        for (vms, silent_from, lost) in [(1, 1, 0.0), (6, 6, 0.0), (6, 6, 0.2), (6, 4, 0.0)] {
            let (greatest, all) = calls_of(vms, silent_from, warmup, lost);
            let allowed = rate * 3 / 2 + 5;
            let case = format!("{rate}/s, {vms} VMs, {silent_from} report, {lost} lost");
            assert!(greatest <= allowed, "{case}: {greatest} in a second");
            assert!(all >= 2 * rate, "{case}: {all} in 4 s");
        }
    }
}

/// Guards against a VM that does not know of a leaf's reconnection and sends it all its calls, and against VMs
/// that keep a leaf cold by what they learn from each other.
#[test]
fn vms_learn_of_cold_leaves_from_reports() {
    let warmup = Some(Warmup {
        duration_ms: 2_000,
        rate_milli: 5_000,
    });
    let (mut first, mut second) = (ColdLeaf::default(), ColdLeaf::default());
    first.record_reconnection(2_000, 0);
    for now_ms in (0..4_000).step_by(60) {
        let now_us = now_ms * MS;
        let is_cold = [&mut first, &mut second].map(|limit| limit.update(warmup, now_us));
        assert_eq!(is_cold[0], now_ms < 2_000, "{now_ms}");
        // The last report holds for a second.
        assert!(is_cold[1] || !(1..2_000).contains(&now_ms), "{now_ms}");
        assert!(!is_cold[1] || now_ms < 3_000, "{now_ms}");
        let usages = [&first, &second].map(|limit| limit.usage(now_us));
        if let Some(usage) = usages[0] {
            second.apply_usage(warmup, vm_ip(0), &usage, now_us, 2);
        }
        if let Some(usage) = usages[1] {
            assert_eq!(usage.rate_milli, None, "learned from the other VM");
            first.apply_usage(warmup, vm_ip(1), &usage, now_us, 2);
        }
    }
    let mut named = ColdLeaf::default();
    named.record_named(500, 0);
    named.record_reconnection(2_000, 100);
    assert!(!named.update(warmup, 600 * MS), "its record counts");
    named.record_reconnection(2_000, 600);
    assert!(named.update(warmup, 600 * MS));
    named.record_named(0, 700);
    assert!(!named.update(warmup, 700 * MS), "a later record counts");
    assert!(!first.update(None, 0));
}

/// How a leaf becomes cold.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Record,
    StatusCheck,
    Evacuation,
    Reconnection,
}

const RATE_PER_S: usize = 10;
const WARMUP_MS: u64 = 2_000;

/// Returns the limits of version 1 of the configuration, and those of version 2, which has none.
fn settings() -> [WarmupSettings; 2] {
    let warmup = Warmup {
        duration_ms: WARMUP_MS,
        rate_milli: RATE_PER_S as u64 * 1_000,
    };
    let services = vec![("s".into(), warmup)];
    [(1, services), (2, vec![])].map(|(version, services)| WarmupSettings { version, services })
}

fn apply(vm: &TestGateway, settings: &WarmupSettings) {
    let mut state = vm.engine.state();
    state.apply_warmups(Some(settings.clone()));
}

async fn make_cold(test_gateway: &TestGateway, leaf: &Leaf, cause: Cause) {
    let engine = &test_gateway.engine;
    match cause {
        Cause::Record => {
            let record = LeafRecord {
                warmup_left_ms: WARMUP_MS,
                ..leaf.record("s")
            };
            apply_change(test_gateway, Change::Leaf(record), 2);
        }
        Cause::StatusCheck => {
            leaf.set_warmup_ms(WARMUP_MS as usize);
            let key = open_call(test_gateway, "s").leaf;
            // One leaf that accepts no connection is all leaves, and so a reason for a check.
            let links = &mut engine.state().link_monitor;
            links.record_no_connection(key, 0);
        }
        Cause::Evacuation => {
            engine.apply_evidence(vec![evacuation("a", 2, true)]);
            engine.apply_evidence(vec![evacuation("a", 3, false)]);
        }
        Cause::Reconnection => {
            leaf.end();
            while !engine.state().leaves.has_unreachable() {
                test_gateway.get("/a/x").await;
            }
            leaf.restart();
            while engine.state().leaves.has_unreachable() {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Returns the number of requests that reach the leaf in a second, of some 200.
async fn reached(test_gateway: &TestGateway, leaf: &Leaf) -> usize {
    let before = leaf.received();
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        test_gateway.get("/a/x").await;
        sleep(Duration::from_millis(4)).await;
    }
    leaf.received() - before
}

/// Guards against leaves that get all requests at once while they are cold, or too few afterwards, and against a
/// limit for services without one.
#[tokio::test]
async fn cold_leaves_get_limited_requests() {
    for cause in [
        Cause::Record,
        Cause::StatusCheck,
        Cause::Evacuation,
        Cause::Reconnection,
    ] {
        let test_gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("cold", 1, LeafBehaviour::Answer).await;
        publish_service(&test_gateway, "/a/", true, 1, std::slice::from_ref(&leaf));
        let [limited, unlimited] = settings();
        apply(&test_gateway, &limited);
        make_cold(&test_gateway, &leaf, cause).await;
        test_gateway.engine.check_links_if_due().await;
        let cold = reached(&test_gateway, &leaf).await;
        let allowed = 1..=RATE_PER_S * 3 / 2 + 5;
        assert!(allowed.contains(&cold), "{cause:?}: {cold} in a second");
        sleep(Duration::from_millis(WARMUP_MS - 1_000)).await;
        test_gateway.engine.update_cold_leaves();
        let warm = reached(&test_gateway, &leaf).await;
        assert!(warm > 2 * allowed.end(), "{cause:?}: {warm} when warm");
        apply(&test_gateway, &unlimited);
        make_cold(&test_gateway, &leaf, Cause::Record).await;
        assert_eq!(test_gateway.engine.state().leaves.cold_leaves(), 0);
    }
}

/// Guards against VMs that do not apply each other's reports on cold leaves, and against reports that earlier
/// builds take for those on limits that the leaf has named.
#[tokio::test]
async fn reports_on_cold_leaves_are_exchanged() {
    let (first, second) = (TestGateway::spawn().await, TestGateway::spawn().await);
    let leaf = Leaf::spawn("cold", 1, LeafBehaviour::Answer).await;
    for vm in [&first, &second] {
        publish_service(vm, "/a/", true, 1, std::slice::from_ref(&leaf));
        apply(vm, &settings()[0]);
    }
    make_cold(&first, &leaf, Cause::Evacuation).await;
    assert!(first.engine.cold_reports(false).is_empty(), "no calls");
    let reports = first.engine.cold_reports(true);
    assert_eq!(reports.len(), 1);
    assert_ne!(reports[0].process, leaf.record("s").process_hash());
    let now_us = cloverrack::clock::boot_us();
    second.engine.apply_rate_reports(vm_ip(1), &reports, now_us);
    assert_eq!(second.engine.state().leaves.cold_leaves(), 1);
    let reached = reached(&second, &leaf).await;
    assert!(reached <= RATE_PER_S * 3 / 2 + 5, "{reached} in a second");
    assert_eq!(second.engine.rate_reports(), [], "the leaf names none");
}

/// Guards against VMs that do not read the store and know no limits, or keep those that operators have removed.
#[tokio::test]
async fn the_catalog_response_has_the_limits() {
    let test_gateway = TestGateway::spawn().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(catalog_rpc::serve(listener, test_gateway.engine.clone()));
    let fetch = async || catalog_rpc::fetch_update(address, Version::default()).await;
    assert_eq!(fetch().await.unwrap().warmups, None);
    let [limited, unlimited] = settings();
    for (applied, expected) in [
        (&limited, &limited),
        (&unlimited, &unlimited),
        (&limited, &unlimited),
    ] {
        apply(&test_gateway, applied);
        assert_eq!(fetch().await.unwrap().warmups.as_ref(), Some(expected));
    }
}
