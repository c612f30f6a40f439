//! Explanations of where a request would go: they agree with the choice of leaves, and `cloverrack explain`
//! prints them.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;

use cloverrack::clock::boot_us;
use cloverrack::gateway::explain::{LeafExplanation, LeafReason};
use cloverrack::gateway::leaf_capacity::WorkKind;
use cloverrack::gateway::{
    CallerService, ConnectionLimits, LeafRecord, LeafReport, Leaves, Observation, ServiceNames,
};
use cloverrack::http_server::{Handler, HttpResponse, ShutdownSignals, serve};
use gateway::{Leaf, LeafBehaviour, TestGateway, gather_route, single_route};
use http::Request;
use hyper::body::Incoming;
use proptest::prelude::*;
use tokio::net::TcpListener;

const NOW_US: u64 = 20_000_000;

/// Returns the record of a leaf with the given states, as bits.
fn record(number: usize, state: u16) -> LeafRecord {
    LeafRecord {
        id: format!("leaf-{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000 + u16::try_from(number).unwrap()).into(),
        failure_domain: if state & 1 == 0 { "a" } else { "b" }.into(),
        slots: 3,
        draining: state & 2 != 0,
        warmup_left_ms: if state & 4 == 0 { 0 } else { 60_000 },
        started_unix_ms: 1,
    }
}

/// Returns leaves of one service of which each has the given states.
fn leaves_in(states: &[u16]) -> (Leaves, cloverrack::ServiceKey) {
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let numbered = states.iter().enumerate();
    let records: Vec<LeafRecord> = numbered
        .map(|(number, state)| record(number, *state))
        .collect();
    leaves.update(records.iter(), &mut names, 0);
    for (record, state) in records.iter().zip(states) {
        let listed = leaves.iter().find(|(_, leaf)| leaf.record.id == record.id);
        let key = listed.unwrap().0;
        let has = |bit: u16| state & 1 << bit != 0;
        if has(3) {
            leaves.record_retry_after(key, 700, NOW_US);
        }
        if has(4) {
            leaves.record_unreachable(key, NOW_US - 5_000);
        }
        if has(5) {
            leaves.mark_misdirected(key, NOW_US / 1_000);
        }
        if has(6) {
            leaves.record_rate(key, Some(1), NOW_US);
            leaves.reserve_call(key, NOW_US);
        }
        if has(7) {
            let observation = Observation::RetryAfter { wait_ms: 900 };
            let leaf = record.address;
            leaves.apply_report(
                &LeafReport {
                    leaf,
                    age_us: 0,
                    observation,
                },
                NOW_US,
            );
        }
        let leaf = leaves.get_mut(key).unwrap();
        if has(8) {
            let call = leaf.leaf_stats.start_call(NOW_US - 9_000);
            leaf.leaf_stats.record_failure(call, NOW_US);
        }
        if has(9) {
            leaf.leaf_stats.start_call(NOW_US - 200_000);
        }
        if has(10) {
            leaf.connections = 1;
        }
        if has(11) {
            // The time without calls is over, and the call from above is still open.
            leaf.retry_after.record(1, NOW_US - 2_000);
        }
    }
    (leaves, names.intern("s"))
}

/// Returns the costs of a leaf's reasons, or `None` if one excludes it.
fn reason_costs(leaf: &LeafExplanation) -> Option<u64> {
    let costs = leaf.reasons.iter().map(|reason| match reason {
        LeafReason::Slower { cost_us, .. }
        | LeafReason::OtherDomain { cost_us }
        | LeafReason::NewConnection { cost_us }
        | LeafReason::Cold { cost_us }
        | LeafReason::Paused { cost_us }
        | LeafReason::RateWait { cost_us }
        | LeafReason::RefusesOtherVms { cost_us } => Some(*cost_us),
        _ => None,
    });
    costs.sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an explanation that names another leaf than a request would get, or reasons that do not
    /// lead to this choice.
    #[test]
    fn explanations_agree_with_the_choice(
        states in proptest::collection::vec(any::<u16>().prop_map(|state| state & (state >> 3)), 0..5),
    ) {
        let (leaves, service) = leaves_in(&states);
        let limits = ConnectionLimits::default();
        let chosen = leaves.choose(service, &[], &limits, NOW_US);
        let chosen_id = chosen.ok().map(|key| leaves.get(key).unwrap().record.id.clone());
        let explained = leaves.explain_choice(WorkKind::default(), service, &limits, NOW_US);
        prop_assert_eq!(&explained.chosen, &chosen_id);
        prop_assert_eq!(explained.no_leaf.is_some(), chosen.is_err());
        prop_assert_eq!(explained.leaves.len(), states.len());
        let lowest_us = explained.leaves.iter().filter_map(|leaf| leaf.cost_us).min();
        let mut fastest_us = Vec::new();
        for leaf in &explained.leaves {
            prop_assert_eq!(leaf.is_chosen, Some(&leaf.id) == chosen_id.as_ref());
            prop_assert!(!leaf.is_chosen || leaf.cost_us == lowest_us);
            prop_assert_eq!(reason_costs(leaf).is_some(), leaf.cost_us.is_some(), "{:?}", leaf);
            if let Some((cost_us, costs_us)) = leaf.cost_us.zip(reason_costs(leaf)) {
                fastest_us.push(cost_us - costs_us);
            }
        }
        fastest_us.dedup();
        prop_assert!(fastest_us.len() <= 1, "the costs add up: {:?}", explained);
    }
}

struct OperatorListener(CallerService);

impl Handler for OperatorListener {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        self.0.answer_explain(&request).unwrap()
    }
}

/// Serves the explanations of a gateway.
async fn serve_explanations(test_gateway: &TestGateway) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = CallerService::new(Arc::clone(&test_gateway.engine));
    let handler = Arc::new(OperatorListener(service));
    tokio::spawn(serve(listener, handler, ShutdownSignals::default()));
    address
}

fn explain(vm: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverrack"))
        .args(["explain", "--vm", &vm.to_string()])
        .args(arguments)
        .output()
        .unwrap()
}

/// Returns a gateway with a usable leaf, a slow one and one that refuses calls of a service, and one of another
/// that drains.
async fn gateway_with_leaves() -> (TestGateway, Vec<Leaf>) {
    let test_gateway = TestGateway::spawn().await;
    let mut leaves = Vec::new();
    for (id, record) in [("one", 1), ("two", 2), ("slow", 3), ("other", 4)] {
        leaves.push(Leaf::spawn(id, record, LeafBehaviour::Answer).await);
    }
    let routes = vec![
        gather_route("/g/", &["s", "t"], 500_000),
        single_route("/a/", "s", false, 1),
    ];
    let services = ["s", "s", "s", "t"];
    let listed: Vec<(&str, &Leaf)> = services.into_iter().zip(&leaves).collect();
    test_gateway.publish(3, routes, &listed);
    {
        let state = &mut *test_gateway.engine.state();
        let key = |id: &str| state.leaves.iter().find(|(_, leaf)| &*leaf.record.id == id);
        let [two, slow, other] = ["two", "slow", "other"].map(|id| key(id).unwrap().0);
        let now_us = boot_us();
        state.leaves.record_retry_after(two, 3_600_000, now_us);
        state.leaves.record_leaving(other, 1);
        let leaf_stats = &mut state.leaves.get_mut(slow).unwrap().leaf_stats;
        // The average does not decay before that time.
        let ended_us = now_us + 3_600_000_000;
        let call = leaf_stats.start_call(ended_us - 95_000);
        leaf_stats.record_success(call, ended_us, 0);
    }
    (test_gateway, leaves)
}

/// Guards against an explanation that leaves out what counts against a leaf, and against one that calls a
/// leaf, counts a request or changes the state of the VM.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_explained_without_being_sent() {
    let (test_gateway, leaves) = gateway_with_leaves().await;
    let vm = serve_explanations(&test_gateway).await;
    let metrics = test_gateway.engine.metrics.text().unwrap();
    let output = explain(vm, &["--host", "Desk.example:80", "--path", "/g/a b?c=%2F"]);
    assert!(output.status.code() == Some(2), "a space needs an escape");
    let output = explain(
        vm,
        &["--host", "Desk.example:80", "--path", "/g/a%20b?c=%2F"],
    );
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let mut text = String::from_utf8(output.stdout).unwrap();
    for leaf in &leaves {
        text = text.replace(&leaf.address.to_string(), "ADDRESS");
    }
    insta::assert_snapshot!(without_time_left(&text));
    let output = explain(
        vm,
        &[
            "--host",
            "desk.example",
            "--path",
            "/a/x",
            "--method",
            "POST",
            "--json",
        ],
    );
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["shards"][0]["chosen"], "one");
    assert_eq!(
        (&json["method"], &json["version"]),
        (&"POST".into(), &3.into())
    );
    assert!(leaves.iter().all(|leaf| leaf.received() == 0));
    assert_eq!(test_gateway.engine.metrics.text().unwrap(), metrics);
}

/// Guards against an explanation that admits a request which is refused on arrival.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_explained_as_refused() {
    let (test_gateway, _leaves) = gateway_with_leaves().await;
    let vm = serve_explanations(&test_gateway).await;
    {
        let state = &mut *test_gateway.engine.state();
        let keys: Vec<_> = state.leaves.iter().map(|(key, _)| key).collect();
        for key in keys {
            state.leaves.record_retry_after(key, 3_600_000, boot_us());
        }
    }
    let output = explain(vm, &["--host", "desk.example", "--path", "/a/x", "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["admission"]["admitted"], false);
    assert_eq!(json["shards"][0]["no_leaf"]["reason"], "retry_after");
    assert_eq!(test_gateway.get("/a/x").await.status, 503);
}

/// Replaces the time for which a leaf refuses calls, which depends on the speed of the machine.
fn without_time_left(text: &str) -> String {
    let words = text.split_inclusive(' ').map(|word| {
        let is_time_left = word.len() == 8 && word.starts_with("3599");
        if is_time_left { "TIME_LEFT " } else { word }
    });
    words.collect()
}

/// Guards against errors that do not say what is wrong, or that exit with 0.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_cannot_be_explained_are_errors() {
    let test_gateway = TestGateway::spawn().await;
    let vm = serve_explanations(&test_gateway).await;
    let mut all = String::new();
    let mut check = |vm, arguments: &[&str]| {
        let output = explain(vm, arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?} {output:?}");
        let error = String::from_utf8(output.stderr).unwrap();
        all += &error.replace(&vm.to_string(), "VM");
    };
    check(vm, &["--host", "desk.example", "--path", "/a/x"]);
    test_gateway.publish(1, vec![single_route("/a/", "s", true, 2)], &[]);
    check(vm, &["--host", "other.example", "--path", "/a/x"]);
    check(vm, &["--host", "desk.example", "--path", "/b/x"]);
    check(vm, &["--host", "desk.example", "--path", "a/x"]);
    check(vm, &["--host", "", "--path", "/a/x"]);
    check(
        vm,
        &[
            "--host",
            "desk.example",
            "--path",
            "/a/x",
            "--method",
            "GE T",
        ],
    );
    check(vm, &["--host", "desk.example"]);
    check(vm, &["--host", "desk.example", "--path", "/a/x", "--all"]);
    check(
        "127.0.0.1:1".parse().unwrap(),
        &["--host", "desk.example", "--path", "/a/x"],
    );
    insta::assert_snapshot!(all);
}
