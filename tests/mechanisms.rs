//! Each promise is seen broken on real processes when its mechanism is switched off, and kept by
//! the same scenario when it is on.
#![cfg(feature = "fault-injection")]

mod support;

use std::time::Duration;

use cloverrack_standins::Misbehaviour;
use serde_json::json;
use support::load::{Addresses, request_shape, send, unix_ms};
use support::matrix::Fault;
use support::swap;
use support::trial::{Place, Trial};
use tokio::task::{JoinSet, LocalSet};

/// Calls under which a scenario runs.
const CALLS: usize = 80;

/// Seed of all scenarios.
const SEED: u64 = 77;

const PLACE: Place = Place {
    vm: 1,
    shard: 0,
    replica: 0,
};

/// What happens while the check is off.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    /// One leaf answers wrongly.
    Wrong(Misbehaviour),
    /// One leaf answers with the answer to another call.
    Swapped,
    /// All leaves of one shard are lost.
    ShardLost,
    /// All leaves run calls and then fail.
    AllFail,
    /// The same ticket is sent to two VMs.
    TicketTwice,
    /// The platform announces that a target leaves.
    TargetLeaves,
    /// A VM is stopped while its requests are slow.
    SlowStop,
    /// The platform goes back to an older content.
    PlatformBack,
}

/// The check that is switched off, the promise that must be reported, and the scenario.
const MECHANISMS: &[(&str, &str, Scenario)] = &[
    (
        "check.match",
        "one_snapshot",
        Scenario::Wrong(Misbehaviour::WrongSnapshot),
    ),
    (
        "check.match",
        "true_coverage",
        Scenario::Wrong(Misbehaviour::WrongShard),
    ),
    ("check.coverage", "true_coverage", Scenario::ShardLost),
    ("check.match", "own_response", Scenario::Swapped),
    (
        "check.uncertain",
        "not_run_is_not_executed",
        Scenario::AllFail,
    ),
    ("check.ticket", "at_most_once", Scenario::TicketTwice),
    (
        "check.drain",
        "leaving_target_is_left_alone",
        Scenario::TargetLeaves,
    ),
    (
        "check.graceful_stop",
        "planned_stop_is_graceful",
        Scenario::SlowStop,
    ),
    (
        "check.document_order",
        "configuration_takes_effect",
        Scenario::PlatformBack,
    ),
];

async fn play(trial: &mut Trial, scenario: Scenario) {
    match scenario {
        Scenario::Wrong(how) => trial.leaf(PLACE).set(|leaf| leaf.misbehaviour = Some(how)),
        Scenario::Swapped => {
            let leaf = trial.leaf(PLACE).clone();
            leaf.stop();
            while swap::serve(leaf.address()).await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // The lost leaf must be known as up again before calls go to it.
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        Scenario::ShardLost => trial.cluster.leaves[0].iter().for_each(|leaf| leaf.stop()),
        Scenario::AllFail => {
            for leaf in trial.cluster.leaves.iter().flatten() {
                leaf.set(|leaf| leaf.misbehaviour = Some(Misbehaviour::Error));
            }
        }
        Scenario::TicketTwice => send_ticket_twice(trial).await,
        Scenario::TargetLeaves => {
            trial.apply(Fault::TargetListedLeaving, PLACE, false).await;
            trial.settle(Fault::TargetListedLeaving, PLACE).await;
        }
        Scenario::SlowStop => {
            for leaf in trial.cluster.leaves.iter().flatten() {
                leaf.set(|leaf| leaf.service_us = 150_000);
            }
            trial.wait_for_calls(CALLS / 2).await;
            trial.apply(Fault::PlannedStop, PLACE, false).await;
            trial.settle(Fault::PlannedStop, PLACE).await;
        }
        Scenario::PlatformBack => {
            trial.publish_config();
            trial.wait_for_calls(CALLS / 2).await;
            trial.apply(Fault::PlatformStale, PLACE, false).await;
        }
    }
}

async fn send_ticket_twice(trial: &Trial) {
    let addresses = Addresses::of(&trial.cluster);
    let block = trial.cluster.ticket_block(0).await;
    let request = cloverrack::CallerRequest {
        idempotent: false,
        request_id: format!("{}.0", block.unwrap_or_default()).into(),
        payload: "ordered once".into(),
        ..request_shape()
    };
    for vm in [0, 1] {
        let call = send(&addresses, vm, &request, unix_ms()).await;
        trial.load.record(call);
    }
}

/// Plays a scenario and returns the promises that were reported.
async fn reported(check: Option<&str>, scenario: Scenario) -> Vec<&'static str> {
    let mut trial = Trial::start(SEED).await;
    trial.publish_config();
    trial.wait_for_calls(CALLS / 4).await;
    if let Some(check) = check {
        for vm in 0..trial.cluster.shape.vms {
            let order = json!({ "name": check, "action": "disable" });
            assert!(trial.order(vm, "/v1/faults/step", &order).await);
        }
    }
    play(&mut trial, scenario).await;
    trial.wait_for_calls(CALLS).await;
    let (_, violations) = trial.judge().await;
    let mut promises: Vec<_> = violations.iter().map(|found| found.promise).collect();
    promises.sort_unstable();
    promises.dedup();
    promises
}

async fn play_all(off: bool) -> Vec<(usize, Vec<&'static str>)> {
    let mut running = JoinSet::new();
    let mut results = Vec::new();
    for (index, (check, _, scenario)) in MECHANISMS.iter().enumerate() {
        if running.len() == 3
            && let Some(result) = running.join_next().await
        {
            results.push(result.expect("a scenario does not panic"));
        }
        let check = off.then_some(*check);
        running.spawn_local(async move { (index, reported(check, *scenario).await) });
    }
    while let Some(result) = running.join_next().await {
        results.push(result.expect("a scenario does not panic"));
    }
    results
}

/// Guards against tests that pass without the mechanism that they are meant to test.
#[tokio::test(flavor = "multi_thread")]
async fn each_promise_breaks_without_its_mechanism() {
    let results = LocalSet::new().run_until(play_all(true)).await;
    for (index, promises) in results {
        let (check, promise, scenario) = MECHANISMS[index];
        println!("{check} off, {scenario:?}: reported {promises:?}");
        assert!(promises.contains(&promise), "{check}: {promises:?}");
    }
}

/// Guards against scenarios that break a promise by themselves.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_scenarios_keep_all_promises() {
    let results = LocalSet::new().run_until(play_all(false)).await;
    for (index, promises) in results {
        let (_, _, scenario) = MECHANISMS[index];
        assert!(promises.is_empty(), "{scenario:?}: {promises:?}");
    }
}
