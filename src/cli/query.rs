//! The commands `query` and `entries`, which use the callers' API of an entry VM.

use std::net::SocketAddr;
use std::process::ExitCode;

use cloverrack::answer::{Answer, CallerRequest, Outcome, Preference};
use cloverrack::{Entries, Reason};
use pico_args::Arguments;
use serde::Deserialize;

use super::client::exchange;
use super::{CliError, address, finish, print_json};

#[derive(Deserialize)]
struct TicketBlockResponse {
    ticket_block: Option<Box<str>>,
}

fn parse_preference(text: &str) -> Result<Preference, &'static str> {
    match text {
        "latency" => Ok(Preference::Latency),
        "coverage" => Ok(Preference::Coverage),
        _ => Err("expected latency or coverage"),
    }
}

/// Sends one query and prints its answer.
pub async fn query(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let entry = address(&mut arguments, "--entry")?;
    let given_id: Option<String> = arguments.opt_value_from_str("--request-id")?;
    let mut request = CallerRequest {
        service: arguments.value_from_str::<_, String>("--service")?.into(),
        member: arguments
            .opt_value_from_str("--member")?
            .unwrap_or("cli".to_owned())
            .into(),
        request_id: "".into(),
        deadline_ms: arguments
            .opt_value_from_str("--deadline-ms")?
            .unwrap_or(1_000),
        idempotent: !arguments.contains("--once"),
        prefer: arguments.opt_value_from_fn("--prefer", parse_preference)?,
        payload: arguments.free_from_str::<String>()?.into(),
    };
    finish(arguments)?;
    request.request_id = match given_id {
        Some(id) => id.into(),
        None if request.idempotent => format!("cli-{:016x}", rand::random::<u64>()).into(),
        None => request_ticket(entry).await?,
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    let answer: Answer = exchange(entry, "POST", "/v1/query", body, request.deadline_ms).await?;
    if as_json {
        print_json(&answer);
    } else {
        print!("{}", format_answer(&answer));
    }
    let is_served = matches!(answer.outcome, Outcome::Complete | Outcome::Partial);
    Ok(if is_served {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Requests a ticket block and returns its first ticket.
async fn request_ticket(entry: SocketAddr) -> Result<Box<str>, CliError> {
    let answer: TicketBlockResponse = exchange(entry, "POST", "/v1/tickets", Vec::new(), 0).await?;
    let block = answer.ticket_block.ok_or(CliError::NoTicket(entry))?;
    Ok(format!("{block}.0").into())
}

/// Human-readable names of the outcomes.
const OUTCOME_TEXT: &[(Outcome, &str)] = &[
    (Outcome::Complete, "complete"),
    (Outcome::Partial, "partial"),
    (Outcome::NotRun, "not run"),
    (Outcome::Unknown, "unknown: it may have run"),
    (Outcome::Refused, "refused"),
];

fn reason_text(reason: Reason) -> String {
    let name = serde_json::to_value(reason).unwrap_or_default();
    name.as_str().unwrap_or("").replace('_', " ")
}

/// Formats an answer as human-readable text.
fn format_answer(answer: &Answer) -> String {
    let outcome = OUTCOME_TEXT
        .iter()
        .find(|(outcome, _)| *outcome == answer.outcome);
    let mut text = outcome.map_or("", |(_, text)| text).to_owned();
    if let Some(reason) = answer.reason {
        text += &format!(" ({})", reason_text(reason));
    }
    if let Some(snapshot) = answer.snapshot {
        let covered = answer.covered.len();
        text += &format!(
            ", snapshot {snapshot}, covers {covered} of {} shards",
            answer.shards
        );
    }
    text.push('\n');
    for missing_shard in &answer.missing {
        text += &format!(
            "  missing shard {}: {}\n",
            missing_shard.shard,
            reason_text(missing_shard.reason)
        );
    }
    for result in &answer.results {
        text += &format!("  shard {}: {}\n", result.shard, result.body);
    }
    if let Some(wait_ms) = answer.retry_after_ms {
        text += &format!("  retry after {wait_ms} ms\n");
    }
    if let Some(block) = &answer.ticket_block {
        text += &format!("  ticket block {block}\n");
    }
    text
}

/// Requests the addresses of the entry VMs to use and prints them.
pub async fn entries(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let entry = address(&mut arguments, "--entry")?;
    let domain: Option<String> = arguments.opt_value_from_str("--failure-domain")?;
    finish(arguments)?;
    let path = match domain {
        Some(domain) => format!("/v1/entries?failure_domain={domain}"),
        None => "/v1/entries".to_owned(),
    };
    let entries: Entries = exchange(entry, "GET", &path, Vec::new(), 0).await?;
    if as_json {
        print_json(&entries);
        return Ok(ExitCode::SUCCESS);
    }
    println!("cache for {} ms", entries.keep_ms);
    for address in &entries.addresses {
        println!("  {address}");
    }
    Ok(ExitCode::SUCCESS)
}
