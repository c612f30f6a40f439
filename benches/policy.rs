//! Benchmark of the query policy over real sockets with open-loop load, under faults and overload.
//! Daemons are child processes; leaves are stand-ins in this process.
//!
//! `cargo bench --bench policy -- FILTER` runs the cases whose name contains FILTER; the argument
//! `current` skips the baselines. With `BASELINE_CLOVERRACKD=PATH` each case also runs an earlier
//! build of the daemon.

#[path = "policy/direct.rs"]
mod direct;
#[path = "policy/fault.rs"]
mod fault;
#[path = "policy/overload.rs"]
mod overload;
#[path = "policy/processor.rs"]
mod processor;
#[path = "policy/report.rs"]
mod report;
#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use cloverrack_standins::LeafOptions;
use cloverrack_standins::load::LoadPlan;
use fault::Fault;
use report::{ExecutionCounter, ResultLine};
use support::{Cluster, ClusterSpec, SERVICE};

/// Fixed part of a leaf's service time.
const SERVICE_US: u64 = 4_000;

/// Mean of the exponential part of a leaf's service time.
const SPREAD_US: u64 = 6_000;

/// Queries per second: a third of what 90 slots serve at 10 ms a call.
const RATE: f64 = 300.0;

/// Duration of the measurement of a case.
const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Duration of the load before the measurement of a case.
const WARM_UP: Duration = Duration::from_secs(3);

/// Deadline of each query.
const DEADLINE_MS: u64 = 1_000;

const FAULTS: &[Fault] = &[
    Fault::None,
    Fault::Stragglers(10_000),
    Fault::Stragglers(50_000),
    Fault::SlowLeaf,
    Fault::LostReplicas,
    Fault::LostDomain,
    Fault::VersionChanges,
];

/// Returns the specification of a cluster that serves like the service spec-desk.
fn spec_desk() -> ClusterSpec {
    ClusterSpec {
        vms: 8,
        shards: 10,
        replicas: 3,
        policy: "coverage",
        leaf: LeafOptions {
            connect_ms: 6,
            service_us: SERVICE_US,
            service_spread_us: SPREAD_US,
            record: false,
            ..LeafOptions::default()
        },
        keep_ms: 300,
    }
}

fn plan(cluster: &Cluster, vms: &[usize], duration: Duration, seed: u64) -> LoadPlan {
    let mut entries = Vec::new();
    for vm in vms {
        entries.push(cluster.daemons[*vm].caller_address);
    }
    LoadPlan {
        entries,
        service: SERVICE.to_owned(),
        rate: RATE,
        duration,
        deadline_ms: DEADLINE_MS,
        seed,
    }
}

/// Runs one fault under the daemons that `CLOVERRACKD` selects, or under the current build.
async fn run_daemons(policy: &str, fault: Fault, budget_ppm: u32) {
    let spec = spec_desk();
    let mut cluster = Cluster::start(spec.clone()).await;
    let config = cluster.config(&format!("connect_ms = 6\nhedge_budget_ppm = {budget_ppm}"));
    cluster.platform.put("cloverrack/config/test", config);
    fault.prepare(&cluster.leaves);
    let vms: Vec<usize> = (0..spec.vms).filter(|vm| fault.is_vm_used(*vm)).collect();
    let _ = cloverrack_standins::load::run(&plan(&cluster, &vms, WARM_UP, 1)).await;
    let execution_counter = ExecutionCounter::start(&cluster.leaves);
    let load = tokio::spawn({
        let plan = plan(&cluster, &vms, MEASURED_TIME, 2);
        async move { cloverrack_standins::load::run(&plan).await }
    });
    tokio::time::sleep(fault::INJECT_AFTER).await;
    fault.inject(&mut cluster);
    let changes = fault.spawn_changes(&cluster.leaves);
    let report = load
        .await
        .expect("load task does not panic")
        .expect("entries are reachable");
    changes.abort();
    let required_calls = report.sent * spec.shards as u64;
    let line = ResultLine::of_load(
        &report,
        execution_counter.executions(&cluster.leaves),
        required_calls,
    );
    let name = format!("{} budget_ppm={budget_ppm}", fault.name());
    println!("case={name} policy={policy} {line}");
}

/// Runs one fault under a client that calls the leaves directly.
async fn run_direct(policy: &str, fault: Fault, hedge_after: Option<Duration>) {
    let spec = spec_desk();
    let mut cluster = Cluster::prepare(spec.clone()).await;
    fault.prepare(&cluster.leaves);
    let client = direct::Client::connect(&cluster.leaves, hedge_after).await;
    let execution_counter = ExecutionCounter::start(&cluster.leaves);
    let load = tokio::spawn(direct::run(client, RATE, MEASURED_TIME, DEADLINE_MS));
    tokio::time::sleep(fault::INJECT_AFTER).await;
    fault.inject(&mut cluster);
    let changes = fault.spawn_changes(&cluster.leaves);
    let mut report = load.await.expect("load task does not panic");
    changes.abort();
    let required_calls = report.sent * spec.shards as u64;
    report.required_calls = required_calls;
    let line = ResultLine::of_direct(&report, execution_counter.executions(&cluster.leaves));
    println!("case={} policy={policy} {line}", fault.name());
}

async fn run_case(fault: Fault, baselines: bool) {
    if baselines {
        run_direct("one_random", fault, None).await;
        run_direct("fixed_hedge_10ms", fault, Some(Duration::from_millis(10))).await;
    }
    if let Ok(path) = std::env::var("BASELINE_CLOVERRACKD") {
        report::with_daemon(&path, run_daemons("earlier", fault, 30_000)).await;
    }
    run_daemons("current", fault, 30_000).await;
    if let Fault::Stragglers(ppm) = fault
        && ppm > 30_000
    {
        run_daemons("current", fault, ppm + 20_000).await;
    }
}

#[tokio::main]
async fn main() {
    let mut filters: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    let baselines = !filters.iter().any(|filter| filter == "current");
    filters.retain(|filter| filter != "current");
    let wanted =
        |name: &str| filters.is_empty() || filters.iter().any(|filter| name.contains(filter));
    println!(
        "cores={}",
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    for fault in FAULTS {
        if wanted(&fault.name()) {
            run_case(*fault, baselines).await;
        }
    }
    if wanted("overload") {
        overload::run_all().await;
    }
    if wanted("processor") {
        processor::run_all().await;
    }
}
