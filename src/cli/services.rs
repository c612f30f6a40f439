//! The command `services`: tail latency, coverage and extra load as measured by each node.

use std::process::ExitCode;

use cloverrack::ServiceReport;
use pico_args::Arguments;

use super::client::exchange;
use super::{CliError, addresses, finish, print_json};

/// Requests the service reports of each node and prints them.
pub async fn services(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let operators = addresses(&mut arguments, "--operator")?;
    finish(arguments)?;
    for operator in operators {
        let path = "/v1/services";
        let reports: Vec<ServiceReport> = exchange(operator, "GET", path, Vec::new(), 0).await?;
        if as_json {
            print_json(&reports);
            continue;
        }
        println!("{operator}");
        for report in &reports {
            print_report(report);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_report(report: &ServiceReport) {
    println!(
        "  {}  complete {}  partial {}  not run {}  unknown {}  refused {}",
        report.service,
        report.complete,
        report.partial,
        report.not_run,
        report.unknown,
        report.refused,
    );
    println!(
        "    p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms  coverage {:.2} %  extra load {:.2} %",
        milliseconds(report.p50_us),
        milliseconds(report.p99_us),
        milliseconds(report.p999_us),
        percent(report.coverage_ppm),
        percent(report.extra_load_ppm),
    );
}

fn milliseconds(us: u64) -> f64 {
    us as f64 / 1_000.0
}

fn percent(ppm: u64) -> f64 {
    ppm as f64 / 10_000.0
}
