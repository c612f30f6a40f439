//! Leaf records of valid but odd numbers, which another writer may have left.
//!
//! Overflow panics in this build and wraps around in a release build, and either is a fault.

#[path = "support/gateway.rs"]
mod gateway;

use cloverrack::gateway::{Change, ConnectionLimits, LeafRecord, Leaves, ServiceNames};
use gateway::{Leaf, LeafBehaviour, TestGateway, apply_change, gather_route, single_route};
use http::StatusCode;

fn record(id: &str, slots: u32, warmup_left_ms: u64) -> LeafRecord {
    LeafRecord {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        failure_domain: "a".into(),
        slots,
        draining: false,
        warmup_left_ms,
        started_unix_ms: u64::MAX,
    }
}

/// Guards against a warm-up that overflows: the leaf would count as warm at once.
#[test]
fn a_long_warm_up_does_not_overflow() {
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let records = [record("i-1", 3, u64::MAX)];
    leaves.update(records.iter(), &mut names, 1_000);
    let (_, leaf) = leaves.iter().next().unwrap();
    assert!(leaf.warmup_until_ms > 1_000_000_000);
    let service = names.intern("s");
    let limits = ConnectionLimits::default();
    assert!(leaves.choose(service, &[], &limits, 2_000_000).is_ok());
}

/// Guards against odd numbers in the record of a leaf that end the requests to it.
#[tokio::test]
async fn a_leaf_with_an_odd_record_is_called() {
    for (slots, warmup_left_ms) in [(0, 0), (u32::MAX, u64::MAX), (0, u64::MAX), (u32::MAX, 0)] {
        let gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
        let routes = vec![
            single_route("/a/", "s", true, 3),
            gather_route("/g/", &["s"], 1_000_000),
        ];
        gateway.publish(1, routes, &[("s", &leaf)]);
        let odd = LeafRecord {
            slots,
            warmup_left_ms,
            started_unix_ms: u64::MAX,
            ..leaf.record("s")
        };
        apply_change(&gateway, Change::Leaf(odd), 2);
        for path in ["/a/x", "/g/x", "/g/x"] {
            let reply = gateway.get(path).await;
            assert_eq!(reply.status, StatusCode::OK, "{path}, {slots} slots");
        }
    }
}

/// Guards against a sum of slots that overflows: one entry with 2^32 - 1 slots would leave its service
/// with next to none, and the scatter-gather requests of all callers would be limited to one.
#[test]
fn the_slots_of_all_leaves_do_not_overflow() {
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let records = [
        record("i-1", u32::MAX, 0),
        record("i-2", 3, 0),
        record("i-3", u32::MAX, 0),
    ];
    leaves.update(records.iter(), &mut names, 1_000);
    let service = names.intern("s");
    assert_eq!(leaves.min_slots(&[service]), u32::MAX);
}
