//! The command `explain`: asks a gateway VM where a request would go, and prints why.

use std::process::ExitCode;

use cloverrack::gateway::explain::{
    Forwarding, LeafExplanation, LeafReason, NoLeafReason, ShardExplanation,
};
use cloverrack::gateway::{ExplainRequest, Explanation};
use pico_args::Arguments;
use serde::Deserialize;

use super::client::exchange;
use super::{CliError, address, finish, print_json};

/// Response of a VM. Other listeners answer with an error that has no message.
#[derive(Deserialize)]
#[serde(untagged)]
enum ExplainResponse {
    Error {
        error: Box<str>,
        message: Option<Box<str>>,
    },
    Explanation(Box<Explanation>),
}

/// Asks a VM to explain a request, and prints the explanation.
pub async fn explain(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let vm = address(&mut arguments, "--vm")?;
    let host: String = arguments.value_from_str("--host")?;
    let path: String = arguments.value_from_str("--path")?;
    let method: Option<String> = arguments.opt_value_from_str("--method")?;
    finish(arguments)?;
    let request = ExplainRequest::new(&host, &path, method.as_deref().unwrap_or("GET"))
        .map_err(|error| CliError::Unexplained(error.to_string().into()))?;
    let path = format!("/explain?{}", request.to_query());
    let explanation = match exchange(vm, "GET", &path, Vec::new(), 0).await? {
        ExplainResponse::Explanation(explanation) => explanation,
        ExplainResponse::Error {
            message: Some(message),
            ..
        } => return Err(CliError::Unexplained(format!("{vm}: {message}").into())),
        ExplainResponse::Error { error, .. } => {
            let text = format!("{vm}: {error}; --vm is the operator address of a gateway VM");
            return Err(CliError::Unexplained(text.into()));
        }
    };
    if as_json {
        print_json(&explanation);
    } else {
        print!("{}", format_explanation(&explanation));
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats an explanation as human-readable text.
fn format_explanation(explanation: &Explanation) -> String {
    let route = &explanation.route;
    let idempotent = if route.idempotent {
        ""
    } else {
        ", runs at most once"
    };
    let admission = match &explanation.admission.reason {
        None => "admitted",
        Some(reason) => &format!("refused: {reason}"),
    };
    let mut text = format!(
        "{} {}{}\nroute {} (prefix {}, priority {}{idempotent}), configuration {}\n\
         admission: {admission}\nforwarding: {}\n\
         needs {} of {} services, up to {} leaves of each\n",
        explanation.method,
        explanation.host,
        explanation.path,
        route.name,
        route.prefix,
        route.priority,
        explanation.version,
        forwarding_text(explanation.forwarding),
        route.needed,
        route.services,
        route.max_attempts,
    );
    for shard in &explanation.shards {
        text += &format_shard(shard);
    }
    text
}

fn forwarding_text(forwarding: Forwarding) -> &'static str {
    match forwarding {
        Forwarding::None => "no, this VM calls the leaves",
        Forwarding::NoVm => "no, no other VM reaches the leaves",
        Forwarding::All => "yes, this VM has lost its links to the leaves",
        Forwarding::Some => "a share of the requests, the links to the leaves have come back",
        Forwarding::AfterRefusal => "yes, another VM may reach the leaves",
    }
}

fn format_shard(shard: &ShardExplanation) -> String {
    let weight = shard.weight.map(|weight| format!(" (weight {weight})"));
    let choice = match (&shard.chosen, shard.no_leaf) {
        (Some(id), _) => format!("calls {id}"),
        (None, Some(reason)) => format!("no leaf: {}", no_leaf_text(reason)),
        (None, None) => "no leaf".to_owned(),
    };
    let mut text = format!(
        "{}{}: {choice}, retry budget {} calls\n",
        shard.service,
        weight.unwrap_or_default(),
        shard.retry_budget_calls
    );
    for leaf in &shard.leaves {
        text += &format_leaf(leaf);
    }
    text
}

fn no_leaf_text(reason: NoLeafReason) -> String {
    match reason {
        NoLeafReason::NoneAvailable => "none serves".to_owned(),
        NoLeafReason::NoConnection => "all connections are in use".to_owned(),
        NoLeafReason::RateLimited => "their rates are used up".to_owned(),
        NoLeafReason::RetryAfter { for_ms } => format!("they refuse calls for {for_ms} ms"),
        NoLeafReason::Unreachable { since_ms } => format!("unreachable for {since_ms} ms"),
    }
}

fn format_leaf(leaf: &LeafExplanation) -> String {
    let mark = if leaf.is_chosen { '>' } else { ' ' };
    let cost = leaf.cost_us.map_or("excluded".to_owned(), milliseconds);
    let mut text = format!(
        "  {mark} {} at {} in {}: {cost}, {} open calls\n",
        leaf.id, leaf.address, leaf.failure_domain, leaf.open_calls
    );
    for reason in &leaf.reasons {
        text += &format!("      {}\n", reason_text(*reason));
    }
    text
}

fn reason_text(reason: LeafReason) -> String {
    let cost = |name: &str, cost_us| format!("{name}: +{}", milliseconds(cost_us));
    match reason {
        LeafReason::Draining => "draining".to_owned(),
        LeafReason::Evacuated => "its failure domain is evacuated".to_owned(),
        LeafReason::Tried => "tried before".to_owned(),
        LeafReason::Misdirected { for_ms } => {
            format!("another process has its address, avoided for {for_ms} ms")
        }
        LeafReason::Unreachable { since_ms } => format!("unreachable for {since_ms} ms"),
        LeafReason::NoConnection => "no connection: all are in use".to_owned(),
        LeafReason::RateLimited => "rate used up".to_owned(),
        LeafReason::Recovering => "has to answer an open call first".to_owned(),
        LeafReason::RetryAfter { for_ms } => format!("refuses calls for {for_ms} ms"),
        LeafReason::Slower {
            cost_us,
            average_us,
            failure_rate_ppm,
            is_stalled,
            has_failed,
        } => {
            let stalled = if is_stalled { ", stalled" } else { "" };
            let failed = if has_failed {
                ", failed a moment ago"
            } else {
                ""
            };
            let rate = failure_rate_ppm as f64 / 10_000.0;
            let average = milliseconds(average_us);
            let slower = cost("slower", cost_us);
            format!("{slower} (average {average}, {rate:.1} % failed{stalled}{failed})")
        }
        LeafReason::OtherDomain { cost_us } => cost("other failure domain", cost_us),
        LeafReason::NewConnection { cost_us } => cost("new connection", cost_us),
        LeafReason::Cold { cost_us } => cost("cold", cost_us),
        LeafReason::Paused { cost_us } => cost("paused", cost_us),
        LeafReason::RateWait { cost_us } => cost("waits for its rate", cost_us),
        LeafReason::RefusesOtherVms { cost_us } => cost("refuses calls of other VMs", cost_us),
    }
}

fn milliseconds(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1_000.0)
}
