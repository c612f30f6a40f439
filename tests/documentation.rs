//! Checks that the pages for operators list every log event, metric and setting.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Collects the string literals that follow `marker` in all sources below `folder`.
fn collect_quoted_after(marker: &str, folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("source folder is not readable") {
        let path = entry.expect("folder entry is not readable").path();
        if path.is_dir() {
            collect_quoted_after(marker, &path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("source file is not UTF-8 text");
        for part in text.split(marker).skip(1) {
            let word = part.trim_start().trim_start_matches('"');
            found.extend(word.split('"').next().map(str::to_owned));
        }
    }
}

fn operations_page() -> String {
    fs::read_to_string("docs/OPERATIONS.md").expect("page is not readable")
}

/// Guards against a log event that is added to the code but not to `docs/OPERATIONS.md`.
#[test]
fn every_log_event_is_documented() {
    let mut events = BTreeSet::new();
    for folder in ["src", "platform/src"] {
        collect_quoted_after("event = ", Path::new(folder), &mut events);
    }
    assert!(events.len() > 20, "{events:?}");
    let page = operations_page();
    events.retain(|event| !page.contains(&format!("`{event}`")));
    assert!(events.is_empty(), "not in docs/OPERATIONS.md: {events:?}");
}

/// Guards against a metric that is added to the code but not to `docs/OPERATIONS.md`.
#[test]
fn every_metric_is_documented() {
    let mut metrics = BTreeSet::new();
    for kind in [
        "u64_counter(",
        "u64_histogram(",
        "u64_gauge(",
        "f64_counter(",
        "u64_observable_gauge(",
    ] {
        collect_quoted_after(kind, Path::new("src"), &mut metrics);
    }
    assert!(!metrics.is_empty());
    let page = operations_page();
    metrics.retain(|metric| {
        !page.contains(&format!("`{metric}`")) && !page.contains(&format!("`{metric}_total`"))
    });
    assert!(metrics.is_empty(), "not in docs/OPERATIONS.md: {metrics:?}");
}

/// Guards against a setting of the daemon whose flag and variable are missing from
/// `docs/configuration.md`.
#[test]
fn every_setting_is_documented() {
    let page = fs::read_to_string("docs/configuration.md").expect("page is not readable");
    for spec in cloverrack::settings::SETTING_SPECS {
        assert!(
            page.contains(&format!("| `{}` | `{}` |", spec.flag, spec.variable)),
            "{}",
            spec.flag
        );
    }
}
