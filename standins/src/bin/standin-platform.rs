//! Runs the stand-in for the configuration service as a separate process.

use std::process::ExitCode;

use cloverrack_standins::PlatformStandin;
use pico_args::Arguments;

const HELP: &str = "\
Usage: standin-platform --listen IP:PORT [--put KEY=FILE ...]

Serves Consul's KV reads. POST /control/put/KEY publishes a value, POST /control/down/true|false
and /control/stale/true|false turn faults on and off, GET /control/calls returns the read count.
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
        println!("standin-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match serve(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-platform: {error}");
            ExitCode::from(2)
        }
    }
}

async fn serve(mut arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let listen = arguments.value_from_str("--listen")?;
    let puts: Vec<String> = arguments.values_from_str("--put")?;
    let platform = PlatformStandin::bind(listen).await?;
    for put in puts {
        let (key, file) = put.split_once('=').ok_or("--put: expected KEY=FILE")?;
        platform.put(key, std::fs::read(file)?);
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
