//! Judges a recorded history: one pure function for each promise of `docs/design.md`.
//!
//! Echoed bodies are `snapshot:shard:payload`, so contents are judged instead of the answer's own
//! claims about them.

use std::collections::{BTreeMap, BTreeSet};

use cloverrack::answer::{Answer, Outcome};

use super::history::{Call, Execution, History};

/// Time after the announcement from which a leaving target may get no new work.
pub const LEAVING_BOUND_MS: u64 = 3_000;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the promise.
    pub invariant: &'static str,
    /// Part of the history that breaks it.
    pub excerpt: String,
}

/// Judges one promise.
pub type Check = fn(&History) -> Vec<Violation>;

/// All promises in the order of the design page.
pub const INVARIANTS: [(&str, Check); 8] = [
    ("one_snapshot", one_snapshot),
    ("true_coverage", true_coverage),
    ("own_response", own_response),
    ("not_run_is_not_executed", not_run_is_not_executed),
    ("at_most_once", at_most_once),
    ("leaving_target_is_left_alone", leaving_target_is_left_alone),
    ("planned_stop_is_graceful", planned_stop_is_graceful),
    ("configuration_takes_effect", configuration_takes_effect),
];

/// Judges all promises.
pub fn check_history(history: &History) -> Vec<Violation> {
    let checks = INVARIANTS.iter();
    checks.flat_map(|(_, check)| check(history)).collect()
}

/// Contents of one echoed body.
struct Echo<'a> {
    snapshot: &'a str,
    shard: u32,
    payload: &'a str,
}

fn echo(body: &str) -> Option<Echo<'_>> {
    let mut parts = body.splitn(3, ':');
    Some(Echo {
        snapshot: parts.next()?,
        shard: parts.next()?.parse().ok()?,
        payload: parts.next()?,
    })
}

fn answered(history: &History) -> impl Iterator<Item = (&Call, &Answer)> {
    let calls = history.calls.iter();
    calls.filter_map(|call| Some((call, call.answer.as_ref()?)))
}

fn report(invariant: &'static str, excerpt: String) -> Violation {
    Violation { invariant, excerpt }
}

/// 1. All contents of an answer come from the snapshot that the answer names.
pub fn one_snapshot(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (call, answer) in answered(history) {
        let named = answer.snapshot.map(|snapshot| snapshot.to_string());
        let mut seen = BTreeSet::new();
        for result in &answer.results {
            seen.insert(echo(&result.body).map(|echo| echo.snapshot));
        }
        let expected = BTreeSet::from([named.as_deref()]);
        if !seen.is_empty() && seen != expected {
            let excerpt = format!("{}: named {named:?}, contents {seen:?}", call.id);
            found.push(report("one_snapshot", excerpt));
        }
    }
    found
}

/// 2. Covered shards are those with contents, the missing ones are the rest of the layout.
pub fn true_coverage(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let finished = finished_executions(history);
    for (call, answer) in answered(history) {
        if let Some(why) = coverage_error(history, &finished, call, answer) {
            let excerpt = format!("{}: {why}: {answer:?}", call.id);
            found.push(report("true_coverage", excerpt));
        }
    }
    found
}

type FinishedExecutions<'a> = BTreeSet<(&'a str, &'a str, u32)>;

fn finished_executions(history: &History) -> FinishedExecutions<'_> {
    let mut finished = BTreeSet::new();
    for execution in history
        .executions
        .iter()
        .filter(|execution| execution.finished)
    {
        finished.insert((&*execution.request, &*execution.snapshot, execution.shard));
    }
    finished
}

fn coverage_error(
    history: &History,
    finished: &FinishedExecutions<'_>,
    call: &Call,
    answer: &Answer,
) -> Option<&'static str> {
    let mut contents = Vec::new();
    for result in &answer.results {
        let Some(echo) = echo(&result.body) else {
            return Some("a body is no echo");
        };
        if echo.shard != result.shard {
            return Some("a shard has the contents of another");
        }
        if !finished.contains(&(&*call.id, echo.snapshot, echo.shard)) {
            return Some("a covered shard was not run");
        }
        contents.push(echo.shard);
    }
    let missing: Vec<u32> = answer
        .missing
        .iter()
        .map(|missing_shard| missing_shard.shard)
        .collect();
    let complete = answer.outcome == Outcome::Complete;
    if contents != answer.covered {
        return Some("covered shards differ from the contents");
    }
    let Some(snapshot) = answer.snapshot else {
        let silent = contents.is_empty() && missing.is_empty() && !complete;
        return (!silent).then_some("coverage without a snapshot");
    };
    let mut all: Vec<u32> = contents.iter().chain(&missing).copied().collect();
    all.sort_unstable();
    let shards = history.layouts.get(&snapshot.layout).copied().unwrap_or(0);
    if all != (0..shards).collect::<Vec<u32>>() || answer.shards != shards {
        return Some("covered and missing shards are not the layout");
    }
    if complete != missing.is_empty() {
        return Some("outcome and missing shards disagree");
    }
    let partial = answer.outcome == Outcome::Partial;
    (partial && contents.is_empty()).then_some("partial without contents")
}

/// 3. A caller gets the response to its own request, whole if it is called complete.
pub fn own_response(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (call, answer) in answered(history) {
        let foreign_id = *answer.request_id != *call.id;
        let foreign_body = answer
            .results
            .iter()
            .any(|result| echo(&result.body).is_none_or(|echo| echo.payload != call.payload));
        let cut_short =
            answer.outcome == Outcome::Complete && answer.results.len() != answer.shards as usize;
        if foreign_id || foreign_body || cut_short {
            let excerpt = format!("{} ({}): {answer:?}", call.id, call.payload);
            found.push(report("own_response", excerpt));
        }
    }
    found
}

/// 4. No target started a request that was refused as not run.
///
/// A run counts against the refusal only if no other attempt with the same id can have caused it.
pub fn not_run_is_not_executed(history: &History) -> Vec<Violation> {
    let mut attempts: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in &history.calls {
        attempts.entry(&call.id).or_default().push(call);
    }
    let mut executions: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        executions
            .entry(&execution.request)
            .or_default()
            .push(execution);
    }
    let mut found = Vec::new();
    for (id, attempts) in attempts {
        let not_run =
            |call: &&Call| matches!(&call.answer, Some(a) if a.outcome == Outcome::NotRun);
        if !attempts.iter().any(not_run) {
            continue;
        }
        for execution in executions.get(id).into_iter().flatten() {
            let other = attempts
                .iter()
                .any(|call| !not_run(call) && call.intended_ms <= execution.started_ms);
            if !other {
                let excerpt = format!("{id}: {execution:?} after {attempts:?}");
                found.push(report("not_run_is_not_executed", excerpt));
            }
        }
    }
    found
}

/// 5. A request that is not idempotent runs at most once on each shard, at one snapshot.
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let mut once = BTreeSet::new();
    for call in history.calls.iter().filter(|call| !call.idempotent) {
        once.insert(&*call.id);
    }
    let mut by_id: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if once.contains(&*execution.request) {
            by_id.entry(&execution.request).or_default().push(execution);
        }
    }
    let mut found = Vec::new();
    for (id, executions) in by_id {
        let shards: BTreeSet<u32> = executions.iter().map(|execution| execution.shard).collect();
        let snapshots: BTreeSet<&str> = executions
            .iter()
            .map(|execution| &*execution.snapshot)
            .collect();
        if shards.len() != executions.len() || snapshots.len() > 1 {
            found.push(report("at_most_once", format!("{id}: {executions:?}")));
        }
    }
    found
}

/// 6. A target that leaves is offered no work later than the bound after its announcement.
pub fn leaving_target_is_left_alone(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for leaving in &history.leaving {
        let late = leaving.announced_ms + LEAVING_BOUND_MS;
        let executions = history.executions.iter();
        let executions = executions.filter(|execution| {
            execution.leaf == leaving.leaf
                && (late..leaving.returned_ms).contains(&execution.started_ms)
        });
        let executions: Vec<&Execution> = executions.collect();
        if !executions.is_empty() || leaving.refused_late > 0 {
            let excerpt = format!("{leaving:?}: {executions:?}");
            found.push(report("leaving_target_is_left_alone", excerpt));
        }
    }
    found
}

/// 7. A planned stop ends with code 0, and whoever may still have the address gets an answer.
pub fn planned_stop_is_graceful(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &history.stops {
        if stop.exit_code != Some(0) {
            found.push(report("planned_stop_is_graceful", format!("{stop:?}")));
        }
        let kept = stop.signalled_ms + history.keep_ms;
        for call in &history.calls {
            let involved =
                call.vm == stop.vm && call.intended_ms < kept && call.ended_ms >= stop.signalled_ms;
            if involved && call.answer.is_none() {
                let excerpt = format!("{stop:?} broke {call:?}");
                found.push(report("planned_stop_is_graceful", excerpt));
            }
        }
    }
    found
}

/// 8. No process goes back to an older document, or to one never published, and each published
///    version is in force everywhere once it is due.
pub fn configuration_takes_effect(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut samples: Vec<_> = history.version_samples.iter().collect();
    samples.sort_by_key(|sample| sample.at_ms);
    let mut newest = BTreeMap::new();
    for sample in samples {
        let process = (&sample.incarnation, &sample.document);
        let before = newest.insert(process, sample.version);
        let reverted = before.is_some_and(|before| before > sample.version);
        let of_document = |p: &&super::history::Published| p.document == sample.document;
        let mut published = history.published.iter().filter(of_document);
        let unknown = !published.clone().any(|p| p.version == sample.version);
        let is_due = |due_ms: Option<u64>| due_ms.is_some_and(|due_ms| due_ms <= sample.at_ms);
        let late = published.any(|p| is_due(p.due_ms) && p.version > sample.version);
        if reverted || unknown || late {
            let why = format!("reverted={reverted} unknown={unknown} late={late}");
            let excerpt = format!("{why} before={before:?} {sample:?}");
            found.push(report("configuration_takes_effect", excerpt));
        }
    }
    found
}
