//! Open-loop load generator for entry addresses; prints one line of `key=value` results.

use std::process::ExitCode;
use std::time::Duration;

use cloverrack_standins::load::{LoadPlan, OUTCOME_NAMES, run};
use pico_args::Arguments;

const HELP: &str = "\
Usage: standin-load --entry IP:PORT [--entry IP:PORT ...] --service FILE/SERVICE [OPTIONS]
  --rate N              mean arrivals per second (default 100)
  --seconds N           time during which requests arrive (default 10)
  --deadline-ms N       deadline of each request (default 1000)
  --seed N              seed for the arrival times (default 1)
  --help, --version
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("standin-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match load(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-load: {error}");
            ExitCode::from(2)
        }
    }
}

async fn load(mut arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let plan = LoadPlan {
        entries: arguments.values_from_str("--entry")?,
        service: arguments.value_from_str("--service")?,
        rate: arguments.opt_value_from_str("--rate")?.unwrap_or(100.0),
        duration: Duration::from_secs(arguments.opt_value_from_str("--seconds")?.unwrap_or(10)),
        deadline_ms: arguments
            .opt_value_from_str("--deadline-ms")?
            .unwrap_or(1_000),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
    };
    if plan.entries.is_empty() {
        return Err("--entry is required".into());
    }
    let report = run(&plan).await?;
    print!("seed={} sent={}", plan.seed, report.sent);
    for (name, count) in OUTCOME_NAMES.iter().zip(report.outcomes) {
        print!(" {name}={count}");
    }
    let coverage_ppm = (report.covered * 1_000_000)
        .checked_div(report.shards)
        .unwrap_or(0);
    let served_us = |quantile| report.served_us.value_at_quantile(quantile);
    println!(
        " p50_us={} p99_us={} p999_us={} refused_p99_us={} coverage_ppm={coverage_ppm}",
        served_us(0.5),
        served_us(0.99),
        served_us(0.999),
        report.refused_us.value_at_quantile(0.99),
    );
    Ok(())
}
