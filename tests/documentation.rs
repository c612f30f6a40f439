//! The operators' page names every log event and metric of the product.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Collects the quoted words that follow `marker` in all sources below `folder`.
fn quoted_after(marker: &str, folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            quoted_after(marker, &path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("sources are text");
        for part in text.split(marker).skip(1) {
            let word = part.trim_start().trim_start_matches('"');
            found.extend(word.split('"').next().map(str::to_owned));
        }
    }
}

fn page() -> String {
    fs::read_to_string("docs/OPERATIONS.md").expect("the page exists")
}

/// Guards against a log event that operators can't look up.
#[test]
fn every_log_event_is_documented() {
    let mut events = BTreeSet::new();
    for folder in ["src", "platform/src"] {
        quoted_after("event = ", Path::new(folder), &mut events);
    }
    assert!(events.len() > 20, "{events:?}");
    let page = page();
    events.retain(|event| !page.contains(&format!("`{event}`")));
    assert!(events.is_empty(), "not in docs/OPERATIONS.md: {events:?}");
}

/// Guards against a metric that operators can't look up.
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
        quoted_after(kind, Path::new("src"), &mut metrics);
    }
    assert!(!metrics.is_empty());
    let page = page();
    metrics.retain(|metric| {
        !page.contains(&format!("`{metric}`")) && !page.contains(&format!("`{metric}_total`"))
    });
    assert!(metrics.is_empty(), "not in docs/OPERATIONS.md: {metrics:?}");
}

/// Guards against a setting of the daemon that the page does not list.
#[test]
fn every_setting_is_documented() {
    let page = fs::read_to_string("docs/configuration.md").expect("the page exists");
    for spec in cloverrack::settings::SETTING_SPECS {
        assert!(
            page.contains(&format!("| `{}` | `{}` |", spec.flag, spec.variable)),
            "{}",
            spec.flag
        );
    }
}
