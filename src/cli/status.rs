//! The command `status`: what one or more nodes report, side by side.

use std::collections::BTreeMap;
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Value, json};

use super::client::exchange;
use super::{CliError, addresses, finish, print_json};

/// Asks each node for its status and prints what they report.
pub async fn status(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let with_leaves = arguments.contains("--leaves");
    let operators = addresses(&mut arguments, "--operator")?;
    finish(arguments)?;
    let mut pages = Vec::new();
    let mut unresponsive = Vec::new();
    for operator in operators {
        match exchange::<Value>(operator, "GET", "/v1/status", Vec::new(), 0).await {
            Ok(page) => pages.push(page),
            Err(CliError::NoAnswer(_)) => unresponsive.push(operator),
            Err(error) => return Err(error),
        }
    }
    let differing = differing_documents(&pages);
    if as_json {
        print_json(&json!({ "nodes": pages, "silent": unresponsive, "differing": differing }));
    } else {
        for page in &pages {
            print_node(page, with_leaves);
        }
        for operator in &unresponsive {
            println!("{operator}: no answer");
        }
        for name in &differing {
            println!("document {name}: nodes have different versions in force");
        }
    }
    let healthy = unresponsive.is_empty() && differing.is_empty();
    Ok(if healthy {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn list<'a>(page: &'a Value, key: &str) -> &'a [Value] {
    page[key].as_array().map_or(&[], Vec::as_slice)
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("-")
}

fn version(value: &Value) -> String {
    format!("epoch {} revision {}", value["epoch"], value["revision"])
}

/// Returns the names of documents that are not at one version on all nodes.
fn differing_documents(pages: &[Value]) -> Vec<String> {
    let mut versions: BTreeMap<&str, Vec<&Value>> = BTreeMap::new();
    for page in pages {
        for document in list(page, "documents") {
            let name = text(document, "name");
            versions.entry(name).or_default().push(&document["version"]);
        }
    }
    let mut differing = Vec::new();
    for (name, versions) in versions {
        let same = versions.iter().all(|version| *version == versions[0]);
        if !same || versions.len() != pages.len() {
            differing.push(name.to_owned());
        }
    }
    differing
}

fn print_node(page: &Value, with_leaves: bool) {
    println!(
        "{}  in flight {}  peer check {}  platform behind {}",
        text(page, "vm"),
        page["in_flight"],
        text(page, "peer_check"),
        page["platform_behind"],
    );
    for document in list(page, "documents") {
        println!(
            "  document {}  {}",
            text(document, "name"),
            version(&document["version"])
        );
    }
    for entry in list(page, "history") {
        if !matches!(text(entry, "state"), "rejected" | "superseded") {
            continue;
        }
        let reason = entry["reason"].as_str().unwrap_or("");
        println!(
            "  {} {}  {}  {reason}",
            text(entry, "state"),
            text(entry, "name"),
            version(&entry["version"]),
        );
    }
    for vm in list(page, "vms") {
        println!(
            "  vm {}  {} for {} ms",
            text(vm, "address"),
            text(vm, "state"),
            vm["age_ms"]
        );
    }
    print_leaves(list(page, "leaves"), with_leaves);
}

/// Prints a line for each leaf, or the number of leaves in each state.
fn print_leaves(leaves: &[Value], with_leaves: bool) {
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    for leaf in leaves {
        let state = leaf["state"].as_str().unwrap_or("unknown");
        *states.entry(state).or_default() += 1;
        if with_leaves {
            let owner = text(leaf, "owner");
            println!("  leaf {}  {state}  owner {owner}", text(leaf, "address"));
        }
    }
    for (state, count) in states {
        println!("  leaves {state}: {count}");
    }
}
