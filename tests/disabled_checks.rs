//! Runs one scenario per invariant on real processes. With the check that protects the invariant
//! disabled, the scenario must violate it; with the check enabled, the scenario must not.
#![cfg(feature = "fault-injection")]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cloverrack::Reason;
use cloverrack_standins::Misbehaviour;
use serde_json::json;
use support::checker::Violation;
use support::eventually_within;
use support::fault_run::{FaultLocation, FaultRun, WAIT_TIMEOUT};
use support::load::{Addresses, request_template, send, unix_ms};
use support::matrix::Fault;
use support::stale_reply_leaf;
use tokio::task::{JoinSet, LocalSet};

/// Calls that must end after the fault, before the history is checked.
const CALLS: usize = 80;

/// Calls to a leaf that misbehaves. A stale reply is that to another call for all but the first.
const MISBEHAVING_CALLS: usize = 5;

/// Reads of the restored platform that watchers must have sent before the history goes on.
const RESTORED_READS: u64 = 2;

/// Seed of all scenarios.
const SEED: u64 = 77;

/// VM and leaf at which faults act.
const LOCATION: FaultLocation = FaultLocation {
    vm: 1,
    shard: 0,
    replica: 0,
};

/// Fault that the check guards against.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    /// One leaf misbehaves.
    LeafMisbehaves(Misbehaviour),
    /// One leaf answers each call with the answer to the call before it.
    StaleReplies,
    /// All leaves of one shard stop.
    ShardLost,
    /// All leaves execute calls and then answer with an error.
    AllLeavesFail,
    /// The same ticket is sent to two VMs.
    DuplicateTicket,
    /// The platform announces that a target is leaving.
    TargetLeaves,
    /// A VM is stopped gracefully while slow requests are in flight.
    SlowStop,
    /// The platform is restored from an older backup.
    PlatformRestored,
}

/// Disabled check, invariant whose violation must be reported, and scenario.
const DISABLED_CHECKS: &[(&str, &str, Scenario)] = &[
    (
        "check.match",
        "one_snapshot",
        Scenario::LeafMisbehaves(Misbehaviour::WrongSnapshot),
    ),
    (
        "check.match",
        "true_coverage",
        Scenario::LeafMisbehaves(Misbehaviour::WrongShard),
    ),
    ("check.coverage", "true_coverage", Scenario::ShardLost),
    ("check.match", "own_response", Scenario::StaleReplies),
    (
        "check.uncertain",
        "not_run_is_not_executed",
        Scenario::AllLeavesFail,
    ),
    ("check.ticket", "at_most_once", Scenario::DuplicateTicket),
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
        Scenario::PlatformRestored,
    ),
];

async fn run_scenario(fault_run: &mut FaultRun, scenario: Scenario) {
    match scenario {
        Scenario::LeafMisbehaves(misbehaviour) => {
            let leaf = fault_run.leaf(LOCATION);
            leaf.set(|leaf| leaf.misbehaviour = Some(misbehaviour));
            let wanted = leaf.executions().len() + MISBEHAVING_CALLS;
            eventually_within(WAIT_TIMEOUT, async || leaf.executions().len() >= wanted).await;
        }
        Scenario::StaleReplies => {
            let leaf = fault_run.leaf(LOCATION).clone();
            leaf.stop();
            let calls = loop {
                if let Ok(calls) = stale_reply_leaf::serve(leaf.address()).await {
                    break calls;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            };
            // Calls reach the leaf only after VMs have seen it up again.
            eventually_within(WAIT_TIMEOUT, async || {
                calls.load(Ordering::SeqCst) >= MISBEHAVING_CALLS
            })
            .await;
        }
        Scenario::ShardLost => fault_run.cluster.leaves[0]
            .iter()
            .for_each(|leaf| leaf.stop()),
        Scenario::AllLeavesFail => {
            for leaf in fault_run.cluster.leaves.iter().flatten() {
                leaf.set(|leaf| leaf.misbehaviour = Some(Misbehaviour::Error));
            }
        }
        Scenario::DuplicateTicket => send_ticket_twice(fault_run).await,
        Scenario::TargetLeaves => {
            fault_run
                .apply(Fault::TargetListedLeaving, LOCATION, false)
                .await;
            fault_run
                .wait_for_effect(Fault::TargetListedLeaving, LOCATION)
                .await;
        }
        Scenario::SlowStop => {
            for leaf in fault_run.cluster.leaves.iter().flatten() {
                leaf.set(|leaf| leaf.service_us = 150_000);
            }
            fault_run.wait_for_calls(CALLS / 2).await;
            fault_run.apply(Fault::PlannedStop, LOCATION, false).await;
            fault_run
                .wait_for_effect(Fault::PlannedStop, LOCATION)
                .await;
        }
        Scenario::PlatformRestored => {
            fault_run.publish_config();
            fault_run.wait_for_calls(CALLS / 2).await;
            fault_run.apply(Fault::PlatformStale, LOCATION, false).await;
            let wanted = fault_run.cluster.platform.calls() + RESTORED_READS;
            eventually_within(WAIT_TIMEOUT, async || {
                fault_run.cluster.platform.calls() >= wanted
            })
            .await;
        }
    }
}

/// Sends a ticket to two VMs, and further tickets while one of the VMs is overloaded: it refuses a
/// request before it looks at the ticket.
async fn send_ticket_twice(fault_run: &FaultRun) {
    let addresses = Addresses::of(&fault_run.cluster);
    eventually_within(WAIT_TIMEOUT, async || {
        let block = fault_run.cluster.ticket_block(0).await;
        let request = cloverrack::CallerRequest {
            idempotent: false,
            request_id: format!("{}.0", block.unwrap_or_default()).into(),
            payload: "ordered once".into(),
            ..request_template()
        };
        let mut is_refused = false;
        for vm in [0, 1] {
            let call = send(&addresses, vm, &request, unix_ms()).await;
            let reason = call.answer.as_ref().and_then(|answer| answer.reason);
            is_refused |= call.answer.is_none() || reason == Some(Reason::Overloaded);
            fault_run.load.record(call);
        }
        !is_refused
    })
    .await;
}

/// Runs a scenario, with `check` disabled if given, and returns the violated invariants.
async fn reported_invariants(check: Option<&str>, scenario: Scenario) -> Vec<&'static str> {
    let mut fault_run = FaultRun::start(SEED).await;
    fault_run.publish_config();
    fault_run.wait_for_calls(CALLS / 4).await;
    if let Some(check) = check {
        for vm in 0..fault_run.cluster.spec.vms {
            let command = json!({ "name": check, "action": "disable" });
            assert!(
                fault_run
                    .send_fault_command(vm, "/v1/faults/step", &command)
                    .await
            );
        }
    }
    run_scenario(&mut fault_run, scenario).await;
    fault_run.wait_for_calls(CALLS).await;
    let (_, violations) = fault_run.check_history().await;
    for found in &violations {
        let Violation { invariant, excerpt } = found;
        println!("{scenario:?}, {check:?} disabled: {invariant}: {excerpt:.600}");
    }
    let mut invariants: Vec<_> = violations.iter().map(|found| found.invariant).collect();
    invariants.sort_unstable();
    invariants.dedup();
    invariants
}

async fn run_scenarios(checks_disabled: bool) -> Vec<(usize, Vec<&'static str>)> {
    let mut running = JoinSet::new();
    let mut results = Vec::new();
    for (index, (check, _, scenario)) in DISABLED_CHECKS.iter().enumerate() {
        if running.len() == 3
            && let Some(result) = running.join_next().await
        {
            results.push(result.expect("scenario task panicked"));
        }
        let check = checks_disabled.then_some(*check);
        running.spawn_local(async move { (index, reported_invariants(check, *scenario).await) });
    }
    while let Some(result) = running.join_next().await {
        results.push(result.expect("scenario task panicked"));
    }
    results
}

/// Guards against tests that pass without exercising the mechanism under test: with its check
/// disabled, each scenario must report a violation of its invariant.
#[tokio::test(flavor = "multi_thread")]
async fn each_invariant_breaks_without_its_check() {
    let results = LocalSet::new().run_until(run_scenarios(true)).await;
    for (index, invariants) in results {
        let (check, invariant, scenario) = DISABLED_CHECKS[index];
        println!("{check} disabled, {scenario:?}: reported {invariants:?}");
        assert!(invariants.contains(&invariant), "{check}: {invariants:?}");
    }
}

/// Guards against scenarios that violate an invariant even with all checks enabled, which would
/// make the other test pass for the wrong reason.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_scenarios_keep_all_invariants() {
    let results = LocalSet::new().run_until(run_scenarios(false)).await;
    for (index, invariants) in results {
        let (_, _, scenario) = DISABLED_CHECKS[index];
        assert!(invariants.is_empty(), "{scenario:?}: {invariants:?}");
    }
}
