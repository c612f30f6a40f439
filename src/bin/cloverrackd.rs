//! Daemon of one entry VM.
//!
//! Answers requests until SIGTERM, or until another process takes over the VM's address, and then
//! drains: callers that cached the address are served for as long as they may use it.

use std::process::ExitCode;

use cloverrack::settings::SETTING_SPECS;
use cloverrack::{Node, Settings, telemetry};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for missing or invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    let has_flag = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has_flag("--help") || has_flag("-h") {
        print_help();
        return ExitCode::SUCCESS;
    }
    if has_flag("--version") || has_flag("-V") {
        println!("cloverrackd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::parse(arguments, &|name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cloverrackd: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if telemetry::init_logs(&settings.log).is_err() {
        eprintln!("cloverrackd: --log {}: expected a log filter", settings.log);
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    }
    run(settings)
}

fn run(settings: Settings) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cloverrackd: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let Ok(mut terminate) = signal(SignalKind::terminate()) else {
            eprintln!("cloverrackd: cannot install the SIGTERM handler");
            return ExitCode::FAILURE;
        };
        let node = match Node::bind(settings).await {
            Ok(node) => node,
            Err(report) => {
                eprintln!("cloverrackd: {report:#}");
                return ExitCode::FAILURE;
            }
        };
        let node = tokio::select! {
            node = node.start_serving() => node,
            _ = terminate.recv() => return ExitCode::SUCCESS,
        };
        tokio::select! {
            _ = terminate.recv() => {}
            () = node.superseded() => {}
        }
        // A second SIGTERM ends the wait for callers that cached this VM's address; requests in
        // flight are still completed.
        let end_wait = async {
            terminate.recv().await;
        };
        node.drain(end_wait).await.stop().await;
        ExitCode::SUCCESS
    })
}

fn print_help() {
    println!(
        "Usage: cloverrackd FLAGS\n\nEach flag can be given as an environment variable instead.\n"
    );
    for spec in SETTING_SPECS {
        let default = spec
            .default
            .map_or("required".to_owned(), |text| format!("default '{text}'"));
        println!(
            "  {:<18} {:<26} {} ({default})",
            spec.flag, spec.variable, spec.meaning
        );
    }
}
