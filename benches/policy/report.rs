//! Result lines of the benchmark.

use std::fmt;
use std::future::Future;

use cloverrack_standins::LeafStandin;
use cloverrack_standins::load::LoadReport;
use hdrhistogram::Histogram;

use crate::direct::DirectReport;

/// Counts the executions at the leaves from a point in time on.
pub struct ExecutionCounter {
    before: u64,
}

fn started_executions(leaves: &[Vec<LeafStandin>]) -> u64 {
    leaves
        .iter()
        .flatten()
        .map(|leaf| leaf.counts().started)
        .sum()
}

impl ExecutionCounter {
    pub fn start(leaves: &[Vec<LeafStandin>]) -> Self {
        Self {
            before: started_executions(leaves),
        }
    }

    pub fn executions(&self, leaves: &[Vec<LeafStandin>]) -> u64 {
        started_executions(leaves) - self.before
    }
}

/// One result. Latencies are those of answers that cover at least one shard.
pub struct ResultLine {
    sent: u64,
    incomplete: u64,
    coverage: f64,
    execution_ratio: f64,
    latency_us: Histogram<u64>,
}

impl ResultLine {
    pub fn of_load(report: &LoadReport, executions: u64, required_calls: u64) -> Self {
        let covered = report.covered as f64;
        Self {
            sent: report.sent,
            incomplete: report.sent - report.outcomes[0],
            coverage: covered / required_calls.max(1) as f64,
            execution_ratio: executions as f64 / required_calls.max(1) as f64,
            latency_us: report.served_us.clone(),
        }
    }

    pub fn of_direct(report: &DirectReport, executions: u64) -> Self {
        Self {
            sent: report.sent,
            incomplete: report.incomplete,
            coverage: report.covered as f64 / report.required_calls.max(1) as f64,
            execution_ratio: executions as f64 / report.required_calls.max(1) as f64,
            latency_us: report.latency_us.clone(),
        }
    }
}

impl fmt::Display for ResultLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        write!(
            f,
            "p50_ms={:.1} p99_ms={:.1} p999_ms={:.1} coverage={:.5} executions_over_least={:.3} \
             sent={} incomplete={}",
            ms(0.5),
            ms(0.99),
            ms(0.999),
            self.coverage,
            self.execution_ratio,
            self.sent,
            self.incomplete,
        )
    }
}

/// Runs `work` with the daemon at `path` instead of the current build.
pub async fn with_daemon(path: &str, work: impl Future<Output = ()>) {
    crate::support::use_daemon(Some(path));
    work.await;
    crate::support::use_daemon(None);
}
