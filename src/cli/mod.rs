//! Commands of `cloverrack`: queries, entry addresses, status and service reports of nodes, explanations of
//! requests by gateway VMs, and validation of configuration files.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;

use cloverrack::ConfigFile;
use pico_args::Arguments;
use serde::Serialize;
use thiserror::Error;

mod client;
mod explain;
mod query;
mod services;
mod status;

/// Exit code for a usage error, an invalid file and a node without a usable answer.
const ERROR_EXIT_CODE: u8 = 2;

const HELP: &str = "\
Usage: cloverrack COMMAND

Commands:
  query --entry IP:PORT --service FILE/SERVICE [OPTIONS] PAYLOAD
      --member NAME         member on whose behalf the query runs (default 'cli')
      --deadline-ms N       time allowed (default 1000)
      --request-id ID       id, or ticket with --once (default: random, or a new ticket)
      --once                not idempotent: runs at most once
      --prefer latency|coverage
      --json                prints the answer as JSON
      Exits 0 if the answer is complete or partial, 1 otherwise.
  entries --entry IP:PORT [--failure-domain NAME] [--json]
      Lists the addresses of the entry VMs to use.
  status --operator IP:PORT [--operator IP:PORT ...] [--leaves] [--json]
      Shows what nodes report about themselves; --leaves adds a line for each leaf.
      Exits 1 if nodes have different configuration in force or one gives no answer.
  services --operator IP:PORT [--operator IP:PORT ...] [--json]
      Shows tail latency, coverage and extra load of each service over the last minutes.
  explain --vm IP:PORT --host HOST --path PATH [--method METHOD] [--json]
      Shows where a gateway VM would send a request now, and why; sends no request. --vm is the
      operator address of the VM.
  check FILE [FILE ...]
      Checks configuration files and changes nothing; exits 2 if one is invalid.

  --help, --version
";

/// Failure of a command.
#[derive(Debug)]
#[derive(Error)]
enum CliError {
    #[error("{0}; try --help")]
    Usage(#[from] pico_args::Error),
    #[error("no command given; try --help")]
    NoCommand,
    #[error("unknown command {0}; try --help")]
    UnknownCommand(Box<str>),
    #[error("unexpected argument {0}; try --help")]
    UnexpectedArgument(Box<str>),
    #[error("{0} is required; try --help")]
    Missing(&'static str),
    #[error("{flag} {value}: expected IP:PORT")]
    InvalidAddress { flag: &'static str, value: Box<str> },
    #[error("{0}: no answer")]
    NoAnswer(SocketAddr),
    #[error("{0}: malformed answer")]
    Malformed(SocketAddr),
    #[error("{0}: no ticket available")]
    NoTicket(SocketAddr),
    #[error("{0}")]
    Unexplained(Box<str>),
}

/// Runs a command and returns the exit code.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("cloverrack {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("cloverrack: cannot start the runtime");
        return ExitCode::FAILURE;
    };
    match runtime.block_on(dispatch(arguments)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cloverrack: {error}");
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}

async fn dispatch(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("query") => query::query(arguments).await,
        Some("entries") => query::entries(arguments).await,
        Some("status") => status::status(arguments).await,
        Some("services") => services::services(arguments).await,
        Some("explain") => explain::explain(arguments).await,
        Some("check") => check(arguments),
        Some(other) => Err(CliError::UnknownCommand(other.into())),
        None => Err(CliError::NoCommand),
    }
}

/// Parses all occurrences of an address flag; at least one is required.
fn addresses(arguments: &mut Arguments, flag: &'static str) -> Result<Vec<SocketAddr>, CliError> {
    let values: Vec<String> = arguments.values_from_str(flag)?;
    if values.is_empty() {
        return Err(CliError::Missing(flag));
    }
    let mut addresses = Vec::with_capacity(values.len());
    for value in values {
        let parsed = value.parse();
        addresses.push(parsed.map_err(|_| CliError::InvalidAddress {
            flag,
            value: value.into(),
        })?);
    }
    Ok(addresses)
}

/// Parses an address flag that must occur once.
fn address(arguments: &mut Arguments, flag: &'static str) -> Result<SocketAddr, CliError> {
    let addresses = addresses(arguments, flag)?;
    match addresses[..] {
        [address] => Ok(address),
        _ => Err(CliError::UnexpectedArgument(flag.into())),
    }
}

/// Fails if unparsed arguments remain.
fn finish(arguments: Arguments) -> Result<(), CliError> {
    match arguments.finish().first() {
        Some(extra) => Err(CliError::UnexpectedArgument(extra.to_string_lossy().into())),
        None => Ok(()),
    }
}

fn check(arguments: Arguments) -> Result<ExitCode, CliError> {
    let files = arguments.finish();
    if files.is_empty() {
        return Err(CliError::Missing("FILE"));
    }
    let mut code = ExitCode::SUCCESS;
    for file in files {
        let name = file.to_string_lossy();
        let Ok(body) = std::fs::read(&file) else {
            eprintln!("{name}: cannot be read");
            code = ExitCode::from(ERROR_EXIT_CODE);
            continue;
        };
        match ConfigFile::parse(&body) {
            Ok(parsed) => println!("{name}: valid, {} services", parsed.services.len()),
            Err(error) => {
                eprintln!("{name}: {error}");
                code = ExitCode::from(ERROR_EXIT_CODE);
            }
        }
    }
    Ok(code)
}

fn print_json<T: Serialize>(content: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(content).unwrap_or_default()
    );
}
