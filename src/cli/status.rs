//! The command `status`: prints the status reports of nodes.
//!
//! It also shows nodes that do not answer, and documents whose versions differ between nodes.

use std::collections::BTreeMap;
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Value, json};

use super::client::exchange;
use super::{CliError, addresses, finish, print_json};

/// Requests the status of each node and prints the reports.
pub async fn status(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let as_json = arguments.contains("--json");
    let with_leaves = arguments.contains("--leaves");
    let operators = addresses(&mut arguments, "--operator")?;
    finish(arguments)?;
    let mut reports = Vec::new();
    let mut unresponsive = Vec::new();
    for operator in operators {
        match exchange::<Value>(operator, "GET", "/v1/status", Vec::new(), 0).await {
            Ok(report) => reports.push(report),
            Err(CliError::NoAnswer(_)) => unresponsive.push(operator),
            Err(error) => return Err(error),
        }
    }
    let differing = differing_documents(&reports);
    if as_json {
        print_json(&json!({ "nodes": reports, "silent": unresponsive, "differing": differing }));
    } else {
        for report in &reports {
            print_node(report, with_leaves);
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

fn array_field<'a>(report: &'a Value, key: &str) -> &'a [Value] {
    report[key].as_array().map_or(&[], Vec::as_slice)
}

fn str_field<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("-")
}

fn format_version(value: &Value) -> String {
    format!("epoch {} revision {}", value["epoch"], value["revision"])
}

/// Returns the names of documents that don't have the same version on all nodes.
fn differing_documents(reports: &[Value]) -> Vec<String> {
    let mut versions: BTreeMap<&str, Vec<&Value>> = BTreeMap::new();
    for report in reports {
        for document in array_field(report, "documents") {
            let name = str_field(document, "name");
            versions.entry(name).or_default().push(&document["version"]);
        }
    }
    let mut differing = Vec::new();
    for (name, versions) in versions {
        let all_equal = versions.iter().all(|version| *version == versions[0]);
        if !all_equal || versions.len() != reports.len() {
            differing.push(name.to_owned());
        }
    }
    differing
}

fn print_node(report: &Value, with_leaves: bool) {
    println!(
        "{}  in flight {}  peer check {}  platform behind {}",
        str_field(report, "vm"),
        report["in_flight"],
        str_field(report, "peer_check"),
        report["platform_behind"],
    );
    for document in array_field(report, "documents") {
        println!(
            "  document {}  {}",
            str_field(document, "name"),
            format_version(&document["version"])
        );
    }
    for entry in array_field(report, "history") {
        if !matches!(str_field(entry, "state"), "rejected" | "superseded") {
            continue;
        }
        let reason = entry["reason"].as_str().unwrap_or("");
        println!(
            "  {} {}  {}  {reason}",
            str_field(entry, "state"),
            str_field(entry, "name"),
            format_version(&entry["version"]),
        );
    }
    for vm in array_field(report, "vms") {
        println!(
            "  vm {}  {} for {} ms",
            str_field(vm, "address"),
            str_field(vm, "state"),
            vm["age_ms"]
        );
    }
    print_leaves(array_field(report, "leaves"), with_leaves);
}

/// Prints the number of leaves in each state, and with `with_leaves` also a line for each leaf.
fn print_leaves(leaves: &[Value], with_leaves: bool) {
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    for leaf in leaves {
        let state = leaf["state"].as_str().unwrap_or("unknown");
        *states.entry(state).or_default() += 1;
        if with_leaves {
            let owner = str_field(leaf, "owner");
            println!(
                "  leaf {}  {state}  owner {owner}",
                str_field(leaf, "address")
            );
        }
    }
    for (state, count) in states {
        println!("  leaves {state}: {count}");
    }
}
