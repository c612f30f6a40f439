//! Goodput and latency at twice the load that the leaves can serve, and the recovery after it.

use std::time::Duration;

use cloverrack_standins::load::{LoadPlan, LoadReport, run};

use crate::report::with_daemon;
use crate::support::{Cluster, SERVICE};
use crate::{RATE, spec_desk};

/// Queries per second that 90 slots serve at 10 ms for each of 10 calls.
const CAPACITY: f64 = 900.0;

/// Offered loads over capacity, of which the highest goodput counts as the peak.
const PEAK_LOADS: [f64; 3] = [0.7, 0.85, 1.0];

const PEAK_TIME: Duration = Duration::from_secs(4);
const OVERLOAD_TIME: Duration = Duration::from_secs(10);
const RECOVERY_STEP: Duration = Duration::from_millis(500);
const RECOVERY_STEPS: u64 = 8;

/// Deadline of each query; an answer after it doesn't count as goodput.
const DEADLINE_MS: u64 = 300;

async fn load(cluster: &Cluster, rate: f64, duration: Duration, seed: u64) -> LoadReport {
    let plan = LoadPlan {
        entries: cluster
            .daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect(),
        service: SERVICE.to_owned(),
        rate,
        duration,
        deadline_ms: DEADLINE_MS,
        seed,
    };
    run(&plan).await.expect("entries are reachable")
}

/// Returns the number of complete answers per second.
fn goodput(report: &LoadReport, duration: Duration) -> f64 {
    report.outcomes[0] as f64 / duration.as_secs_f64()
}

async fn run_policy(policy: &str) {
    let cluster = Cluster::start(spec_desk()).await;
    let normal = load(&cluster, RATE, PEAK_TIME, 10).await;
    let normal_ms = normal.served_us.value_at_quantile(0.99) as f64 / 1_000.0;
    let mut peak = 0.0_f64;
    for (index, share) in PEAK_LOADS.into_iter().enumerate() {
        let report = load(&cluster, CAPACITY * share, PEAK_TIME, 11 + index as u64).await;
        peak = peak.max(goodput(&report, PEAK_TIME));
    }
    let overloaded = load(&cluster, CAPACITY * 2.0, OVERLOAD_TIME, 20).await;
    let served = goodput(&overloaded, OVERLOAD_TIME);
    println!(
        "case=overload policy={policy} normal_p99_ms={normal_ms:.1} peak_per_s={peak:.0} \
         goodput_per_s={served:.0} goodput_over_peak={:.3} served_p99_ms={:.1} \
         refused_p50_ms={:.2} refused_p99_ms={:.2} outcomes={:?}",
        served / peak,
        overloaded.served_us.value_at_quantile(0.99) as f64 / 1_000.0,
        overloaded.refused_us.value_at_quantile(0.5) as f64 / 1_000.0,
        overloaded.refused_us.value_at_quantile(0.99) as f64 / 1_000.0,
        overloaded.outcomes,
    );
    for step in 0..RECOVERY_STEPS {
        let report = load(&cluster, RATE, RECOVERY_STEP, 30 + step).await;
        println!(
            "case=overload_recovery policy={policy} after_ms={} p99_ms={:.1} complete={} sent={}",
            (step + 1) * RECOVERY_STEP.as_millis() as u64,
            report.served_us.value_at_quantile(0.99) as f64 / 1_000.0,
            report.outcomes[0],
            report.sent,
        );
    }
}

/// Runs the case for each policy.
pub async fn run_all() {
    if let Ok(path) = std::env::var("BASELINE_CLOVERRACKD") {
        with_daemon(&path, run_policy("earlier")).await;
    }
    run_policy("current").await;
}
