//! Processor time of roots and owners per leaf call, at a fan-out to 130 leaves.

use std::time::Duration;

use cloverrack_standins::LeafOptions;
use cloverrack_standins::load::{LoadPlan, run};

use crate::report::with_daemon;
use crate::support::{Cluster, ClusterSpec, SERVICE};

const SHARDS: usize = 130;
const RATE: f64 = 60.0;
const MEASURED_TIME: Duration = Duration::from_secs(6);

/// Clock ticks per second in `/proc/PID/stat`, which Linux fixes at 100.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the user and system time of a process in clock ticks.
fn ticks(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit_once(')')
        .map_or("", |(_, rest)| rest)
        .split_whitespace()
        .collect();
    let field = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)
}

fn all_ticks(cluster: &Cluster) -> f64 {
    cluster
        .daemons
        .iter()
        .map(|daemon| ticks(daemon.pid()))
        .sum()
}

async fn run_policy(policy: &str, bundle_leaves: u32) {
    let spec = ClusterSpec {
        vms: 8,
        shards: SHARDS,
        replicas: 1,
        leaf: LeafOptions {
            service_us: 2_000,
            service_spread_us: 2_000,
            record: false,
            ..LeafOptions::default()
        },
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    let config = cluster.config(&format!("bundle_leaves = {bundle_leaves}"));
    cluster.platform.put("cloverrack/config/test", config);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle_from = all_ticks(&cluster);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle_per_s = (all_ticks(&cluster) - idle_from) / 2.0;
    let mut plan = LoadPlan {
        entries: cluster
            .daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect(),
        service: SERVICE.to_owned(),
        rate: RATE,
        duration: Duration::from_secs(2),
        deadline_ms: 1_000,
        seed: 1,
    };
    run(&plan).await.expect("entries are reachable");
    let from = all_ticks(&cluster);
    plan.duration = MEASURED_TIME;
    plan.seed = 2;
    let report = run(&plan).await.expect("entries are reachable");
    let used = all_ticks(&cluster) - from - idle_per_s * MEASURED_TIME.as_secs_f64();
    let calls = report.sent as f64 * SHARDS as f64;
    println!(
        "case=processor policy={policy} bundle_leaves={bundle_leaves} processor_us_per_call={:.1} \
         idle_core_percent={idle_per_s:.1} p50_ms={:.1} p99_ms={:.1} complete={} sent={}",
        used / TICKS_PER_SECOND * 1e6 / calls,
        report.served_us.value_at_quantile(0.5) as f64 / 1_000.0,
        report.served_us.value_at_quantile(0.99) as f64 / 1_000.0,
        report.outcomes[0],
        report.sent,
    );
}

/// Runs the case for each policy.
pub async fn run_all() {
    if let Ok(path) = std::env::var("BASELINE_CLOVERRACKD") {
        with_daemon(&path, run_policy("earlier", 6)).await;
    }
    run_policy("current", 1).await;
    run_policy("current", 6).await;
}
