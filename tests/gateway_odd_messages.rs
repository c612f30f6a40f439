//! Messages of other VMs that are malformed, or of valid but odd numbers: none ends a task of the
//! gateway, or is in force as another number.
//!
//! Overflow panics in this build and wraps around in a release build, and either is a fault. A panic
//! in a task that receives messages ends it, and the VM learns nothing more.

#![expect(
    clippy::unwrap_used,
    reason = "a failure of the test harness fails the test"
)]

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
#[path = "support/odd_facts.rs"]
mod odd_facts;

use std::sync::Arc;

use bytes::Bytes;
use cloverrack::Incarnation;
use cloverrack::clock::boot_us;
use cloverrack::fact::Fact;
use cloverrack::gateway::{
    CatalogImage, CatalogUpdate, Change, ChangeSet, ForwardedRequest, LeafRecord, LeafReport,
    Observation, PriorCalls, RateReport, RateUsage, VmClient,
};
use cloverrack::gossip::Datagram;
use cloverrack::wire::{decode, encode};
use fleet::TestFleet;
use gateway::{
    Leaf, LeafBehaviour, TestGateway, call_spec, gather_route, headers, request, single_route,
};
use http::StatusCode;
use odd_facts::{ODD_NUMBERS, odd_facts};
use proptest::prelude::*;

/// Longest time that a deadline may lie ahead; that of a route is a day.
const LONGEST_US: u64 = 86_400_000_000;

fn record(number: u64) -> LeafRecord {
    LeafRecord {
        id: "odd".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 0).into(),
        failure_domain: "".into(),
        slots: u32::MAX,
        draining: false,
        warmup_left_ms: number,
        started_unix_ms: number,
    }
}

/// Guards against leaf reports, evidence and catalogs of odd numbers that end the task that receives
/// them, or affect requests to the leaves.
#[tokio::test]
async fn odd_reports_are_applied() {
    let gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let routes = vec![
        single_route("/a/", "s", true, 2),
        gather_route("/g/", &["s"], 1_000_000),
    ];
    gateway.publish(1, routes, &[("s", &leaf)]);
    let engine = &gateway.engine;
    let process = leaf.record("s").process_hash();
    for number in ODD_NUMBERS {
        let small = u32::try_from(number).unwrap_or(u32::MAX);
        for observation in [
            Observation::Stalled { silent_us: small },
            Observation::Resumed { stall_us: small },
            Observation::RetryAfter { wait_ms: small },
            Observation::Failed,
            Observation::Answered,
        ] {
            for age_us in [0, 1_999_999, small] {
                let report = LeafReport {
                    leaf: leaf.address,
                    age_us,
                    observation,
                };
                engine.apply_reports(&[report, report], boot_us());
            }
        }
        for rate_milli in [None, Some(number), Some(0)] {
            for calls in ODD_NUMBERS {
                let usage = RateUsage {
                    rate_milli,
                    age_us: number,
                    calls,
                };
                let report = RateReport {
                    leaf: leaf.address,
                    process,
                    usage,
                };
                engine.apply_rate_reports([10, 0, 0, 2].into(), &[report, report], boot_us());
            }
        }
        engine.apply_evidence(odd_facts(
            ([10, 0, 0, 2], 7_001).into(),
            Incarnation::new(1, 1),
            number,
        ));
        engine.rate_reports();
        engine.take_reports();
        gateway.get("/a/x").await;
        gateway.get("/g/x").await;
    }
}

/// Guards against catalogs of other VMs of odd numbers, which overflow when they are applied.
#[tokio::test]
async fn odd_catalogs_are_applied() {
    for number in ODD_NUMBERS {
        let gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
        gateway.publish(1, vec![single_route("/a/", "t", true, 2)], &[("t", &leaf)]);
        let change_set = ChangeSet {
            changes: vec![Change::Leaf(record(number)), Change::LeafRemoved("".into())],
            epoch: 0,
            revision: 2,
        };
        let image = CatalogImage {
            epoch: number.max(1),
            revision: number,
            document: None,
            leaves: vec![record(number), record(0), leaf.record("t")],
        };
        for update in [
            CatalogUpdate::Changes(change_set),
            CatalogUpdate::Image(image),
        ] {
            let update: CatalogUpdate = decode(&encode(&update).unwrap()).unwrap();
            let now_ms = boot_us() / 1_000;
            gateway.engine.state().catalog.update(update, now_ms);
            gateway.engine.refresh();
            gateway.engine.state().catalog.remove_expired(now_ms);
        }
        assert_eq!(gateway.get("/a/x").await.status, StatusCode::OK, "{number}");
    }
}

/// Guards against a time left of a forwarded request that overflows: the request would have a deadline
/// in the past.
#[test]
fn a_forwarded_request_keeps_its_deadline() {
    for remaining_ms in [u64::MAX / 1_000 + 1, u64::MAX] {
        let prior_calls = PriorCalls {
            sent: u32::MAX,
            is_credited: false,
        };
        let mut forwarded = ForwardedRequest::new("desk.example", &call_spec(), 1, prior_calls);
        forwarded.remaining_ms = remaining_ms;
        let spec = forwarded.into_call_spec(&headers().request_id).unwrap();
        let left_us = spec.deadline_us - boot_us();
        assert!((3_600_000_000..=LONGEST_US).contains(&left_us), "{left_us}");
    }
}

/// Guards against a message of another VM that breaks off the connection: one of odd numbers has to be
/// answered as any other.
#[tokio::test(flavor = "multi_thread")]
async fn odd_calls_of_other_vms_are_answered() {
    let fleet = TestFleet::start(2).await;
    let from = &fleet.vms[0];
    // Only a leaf that has replied has a time since which it lives.
    assert!(fleet.vms[1].serves(request("/a/x")).await);
    let client = VmClient::new(
        Arc::clone(&from.engine),
        Arc::clone(&from.membership),
        7_741,
        fleet::STOP_GRACE_MS,
    );
    let processes: Vec<u64> = {
        let state = fleet.vms[1].engine.state();
        let leaves = state.leaves.iter();
        leaves.map(|(_, leaf)| leaf.record.process_hash()).collect()
    };
    for number in ODD_NUMBERS {
        let questions: Vec<(u64, u64)> = processes.iter().map(|hash| (*hash, number)).collect();
        let prior_calls = PriorCalls {
            sent: u32::MAX,
            is_credited: true,
        };
        let mut forwarded = ForwardedRequest::new("desk.example", &call_spec(), 0, prior_calls);
        forwarded.remaining_ms = number;
        for (path, body) in [
            ("/leaf-states", encode(&questions).unwrap()),
            ("/forward", encode(&forwarded).unwrap()),
        ] {
            let to = client.choose(&[]).unwrap();
            let answer = client.call(&to, path, Bytes::from(body)).await;
            assert!(answer.is_ok(), "{path}, {number}: {answer:?}");
        }
    }
}

proptest! {
    /// Guards against messages between VMs of the gateway that end the task when they are decoded.
    #[test]
    fn any_bytes_are_decoded(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<CatalogUpdate>(&bytes);
        let _ = decode::<ForwardedRequest>(&bytes);
        let _ = decode::<Vec<LeafReport>>(&bytes);
        let _ = decode::<Vec<RateReport>>(&bytes);
        let _ = decode::<Vec<Fact>>(&bytes);
        let _ = decode::<Datagram>(&bytes);
    }

    /// Guards against a catalog with some changed bytes that ends the task when it is decoded or
    /// applied, or that takes memory for far more entries than it has.
    #[test]
    fn changed_catalogs_are_decoded(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let image = CatalogImage { epoch: 1, revision: 2, document: None, leaves: vec![record(7); 3] };
        let mut bytes = encode(&CatalogUpdate::Image(image)).unwrap();
        for (position, value) in changes {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        if let Ok(update) = decode::<CatalogUpdate>(&bytes) {
            let engine = gateway::engine();
            engine.state().catalog.update(update, 0);
            engine.refresh();
        }
    }
}
