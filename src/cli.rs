//! Command line: queries, addresses, status and checks.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;

use bytes::Bytes;
use cloverrack::answer::{Answer, CallerRequest, Outcome, Preference};
use cloverrack::{ConfigFile, Entries};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use pico_args::Arguments;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;

const BAD_USAGE: u8 = 2;

const HELP: &str = "\
Usage: cloverrack COMMAND

Commands:
  query --entry IP:PORT --service FILE/SERVICE [OPTIONS] PAYLOAD
      --member NAME         member asked for (default 'cli')
      --deadline-ms N       time allowed (default 1000)
      --request-id ID       id or ticket (default: made up)
      --once                not idempotent: runs at most once, needs a ticket
      --prefer latency|coverage
      --json                prints the answer as JSON
  entries --entry IP:PORT [--failure-domain NAME] [--json]
      Asks which addresses to use.
  status --operator IP:PORT [--operator IP:PORT ...] [--json]
      Shows what nodes report about themselves.
  check FILE
      Checks a configuration file; exits 2 if it is invalid.

  --help, --version
";

/// A command failed.
#[derive(Debug, Error)]
enum CliError {
    #[error("{0}; try --help")]
    Usage(#[from] pico_args::Error),
    #[error("unknown command {0}; try --help")]
    Command(Box<str>),
    #[error("unexpected argument {0}; try --help")]
    Extra(Box<str>),
    #[error("{0}: cannot be read")]
    Read(Box<str>),
    #[error("{file}: {error}")]
    Invalid {
        file: Box<str>,
        error: cloverrack::ConfigError,
    },
    #[error("{0}: no answer")]
    NoAnswer(SocketAddr),
    #[error("{0}: malformed answer")]
    Malformed(SocketAddr),
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
            ExitCode::from(BAD_USAGE)
        }
    }
}

async fn dispatch(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("query") => query(arguments).await,
        Some("entries") => entries(arguments).await,
        Some("status") => status(arguments).await,
        Some("check") => check(arguments),
        other => Err(CliError::Command(other.unwrap_or("(none)").into())),
    }
}

fn finish(arguments: Arguments) -> Result<(), CliError> {
    match arguments.finish().first() {
        Some(extra) => Err(CliError::Extra(extra.to_string_lossy().into())),
        None => Ok(()),
    }
}

fn preference(text: &str) -> Result<Preference, &'static str> {
    match text {
        "latency" => Ok(Preference::Latency),
        "coverage" => Ok(Preference::Coverage),
        _ => Err("expected latency or coverage"),
    }
}

async fn query(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let entry: SocketAddr = arguments.value_from_str("--entry")?;
    let default_id = || format!("cli-{:016x}", rand::random::<u64>());
    let request = CallerRequest {
        service: arguments.value_from_str::<_, String>("--service")?.into(),
        member: arguments
            .opt_value_from_str("--member")?
            .unwrap_or("cli".to_owned())
            .into(),
        request_id: arguments
            .opt_value_from_str("--request-id")?
            .unwrap_or_else(default_id)
            .into(),
        deadline_ms: arguments
            .opt_value_from_str("--deadline-ms")?
            .unwrap_or(1_000),
        idempotent: !arguments.contains("--once"),
        prefer: arguments.opt_value_from_fn("--prefer", preference)?,
        payload: arguments.free_from_str::<String>()?.into(),
    };
    finish(arguments)?;
    let body = serde_json::to_vec(&request).unwrap_or_default();
    let bytes = exchange(entry, "POST", "/v1/query", body).await?;
    let answer: Answer = serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(entry))?;
    if as_json {
        print_json(&answer);
    } else {
        print_answer(&answer);
    }
    let served = matches!(answer.outcome, Outcome::Complete | Outcome::Partial);
    Ok(if served {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_answer(answer: &Answer) {
    let snapshot = answer
        .snapshot
        .map_or("none".to_owned(), |snapshot| snapshot.to_string());
    println!(
        "{:?}  snapshot {snapshot}  covers {} of {} shards",
        answer.outcome,
        answer.covered.len(),
        answer.shards
    );
    for lack in &answer.lacking {
        println!("  lacks shard {}: {:?}", lack.shard, lack.reason);
    }
    for result in &answer.results {
        println!("  shard {}: {}", result.shard, result.body);
    }
    if let Some(reason) = answer.reason {
        println!("  reason: {reason:?}");
    }
    if let Some(wait_ms) = answer.retry_after_ms {
        println!("  come back after {wait_ms} ms");
    }
    if let Some(block) = &answer.ticket_block {
        println!("  ticket block: {block}");
    }
}

async fn entries(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let entry: SocketAddr = arguments.value_from_str("--entry")?;
    let domain: Option<String> = arguments.opt_value_from_str("--failure-domain")?;
    finish(arguments)?;
    let path = match domain {
        Some(domain) => format!("/v1/entries?failure_domain={domain}"),
        None => "/v1/entries".to_owned(),
    };
    let bytes = exchange(entry, "GET", &path, Vec::new()).await?;
    let entries: Entries =
        serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(entry))?;
    if as_json {
        print_json(&entries);
        return Ok(ExitCode::SUCCESS);
    }
    println!("keep for {} ms", entries.keep_ms);
    for address in &entries.addresses {
        println!("  {address}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn status(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let operators: Vec<SocketAddr> = arguments.values_from_str("--operator")?;
    finish(arguments)?;
    for operator in operators {
        let bytes = exchange(operator, "GET", "/v1/status", Vec::new()).await?;
        let status: Value =
            serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(operator))?;
        if as_json {
            print_json(&status);
        } else {
            print_status(&status);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(status: &Value) {
    let list = |key: &str| status[key].as_array().cloned().unwrap_or_default();
    println!(
        "{}  in flight {}  peer check {}  platform behind {}",
        status["vm"].as_str().unwrap_or(""),
        status["in_flight"],
        status["peer_check"].as_str().unwrap_or(""),
        status["platform_behind"]
    );
    for document in list("documents") {
        println!("  document {} {}", document["name"], document["version"]);
    }
    for entry in list("history") {
        if entry["state"] == "rejected" {
            println!(
                "  rejected {} {}: {}",
                entry["name"], entry["version"], entry["reason"]
            );
        }
    }
    for vm in list("vms") {
        println!(
            "  vm {} {} for {} ms",
            vm["address"], vm["state"], vm["age_ms"]
        );
    }
    for leaf in list("leaves") {
        println!(
            "  leaf {} {} owner {}",
            leaf["address"], leaf["state"], leaf["owner"]
        );
    }
}

fn check(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let file: Box<str> = arguments.free_from_str::<String>()?.into();
    finish(arguments)?;
    let body = std::fs::read(&*file).map_err(|_| CliError::Read(file.clone()))?;
    let parsed = ConfigFile::parse(&body).map_err(|error| CliError::Invalid {
        file: file.clone(),
        error,
    })?;
    println!("{file}: valid, {} services", parsed.services.len());
    Ok(ExitCode::SUCCESS)
}

fn print_json<T: Serialize>(content: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(content).unwrap_or_default()
    );
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Bytes, CliError> {
    let lost = CliError::NoAnswer(address);
    let Ok(stream) = TcpStream::connect(address).await else {
        return Err(lost);
    };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else {
        return Err(lost);
    };
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return Err(CliError::Malformed(address));
    };
    let Ok(response) = sender.send_request(request).await else {
        return Err(lost);
    };
    let collected = response.into_body().collect().await;
    collected.map(|body| body.to_bytes()).map_err(|_| lost)
}
