//! Checks a recorded history with one pure function for each invariant of `docs/design.md`.
//!
//! Bodies echoed by leaves have the form `snapshot:shard:payload`. The checks use these contents
//! instead of trusting the answer's own metadata about them.

use std::collections::{BTreeMap, BTreeSet};

use cloverrack::answer::{Answer, Outcome};

use super::history::{Call, Execution, History};

/// Time after the announcement from which a leaving target must get no new work.
pub const LEAVING_BOUND_MS: u64 = 3_000;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Part of the history that violates it.
    pub excerpt: String,
}

/// Returns the violations of one invariant.
pub type Check = fn(&History) -> Vec<Violation>;

/// All invariants in the order of the design page.
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

/// Returns the violations of all invariants.
pub fn check_history(history: &History) -> Vec<Violation> {
    let checks = INVARIANTS.iter();
    checks.flat_map(|(_, check)| check(history)).collect()
}

/// Contents of one echoed body.
struct EchoedBody<'a> {
    snapshot: &'a str,
    shard: u32,
    payload: &'a str,
}

fn parse_echo(body: &str) -> Option<EchoedBody<'_>> {
    let mut parts = body.splitn(3, ':');
    Some(EchoedBody {
        snapshot: parts.next()?,
        shard: parts.next()?.parse().ok()?,
        payload: parts.next()?,
    })
}

fn answered_calls(history: &History) -> impl Iterator<Item = (&Call, &Answer)> {
    let calls = history.calls.iter();
    calls.filter_map(|call| Some((call, call.answer.as_ref()?)))
}

fn violation(invariant: &'static str, excerpt: String) -> Violation {
    Violation { invariant, excerpt }
}

/// 1. All contents of an answer come from the snapshot that the answer names.
pub fn one_snapshot(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (call, answer) in answered_calls(history) {
        let named = answer.snapshot.map(|snapshot| snapshot.to_string());
        let mut seen = BTreeSet::new();
        for result in &answer.results {
            seen.insert(parse_echo(&result.body).map(|echo| echo.snapshot));
        }
        let expected = BTreeSet::from([named.as_deref()]);
        if !seen.is_empty() && seen != expected {
            let excerpt = format!("{}: named {named:?}, contents {seen:?}", call.id);
            found.push(violation("one_snapshot", excerpt));
        }
    }
    found
}

/// 2. Covered shards are those with contents, and missing shards are the rest of the layout.
pub fn true_coverage(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let finished = finished_executions(history);
    for (call, answer) in answered_calls(history) {
        if let Some(error) = coverage_error(history, &finished, call, answer) {
            let excerpt = format!("{}: {error}: {answer:?}", call.id);
            found.push(violation("true_coverage", excerpt));
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
        let Some(echo) = parse_echo(&result.body) else {
            return Some("a body is not an echo");
        };
        if echo.shard != result.shard {
            return Some("a shard has the contents of another");
        }
        if !finished.contains(&(&*call.id, echo.snapshot, echo.shard)) {
            return Some("a covered shard has no finished execution");
        }
        contents.push(echo.shard);
    }
    let missing: Vec<u32> = answer
        .missing
        .iter()
        .map(|missing_shard| missing_shard.shard)
        .collect();
    let is_complete = answer.outcome == Outcome::Complete;
    if contents != answer.covered {
        return Some("covered shards differ from the contents");
    }
    let Some(snapshot) = answer.snapshot else {
        let is_uncovered = contents.is_empty() && missing.is_empty() && !is_complete;
        return (!is_uncovered).then_some("coverage without a snapshot");
    };
    let mut all: Vec<u32> = contents.iter().chain(&missing).copied().collect();
    all.sort_unstable();
    let shards = history.layouts.get(&snapshot.layout).copied().unwrap_or(0);
    if all != (0..shards).collect::<Vec<u32>>() || answer.shards != shards {
        return Some("covered and missing shards do not make up the layout");
    }
    if is_complete != missing.is_empty() {
        return Some("outcome and missing shards disagree");
    }
    let is_partial = answer.outcome == Outcome::Partial;
    (is_partial && contents.is_empty()).then_some("partial without contents")
}

/// 3. A caller gets the response to its own request, with all shards if it is marked complete.
pub fn own_response(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (call, answer) in answered_calls(history) {
        let has_foreign_id = *answer.request_id != *call.id;
        let has_foreign_body = answer
            .results
            .iter()
            .any(|result| parse_echo(&result.body).is_none_or(|echo| echo.payload != call.payload));
        let is_cut_short =
            answer.outcome == Outcome::Complete && answer.results.len() != answer.shards as usize;
        if has_foreign_id || has_foreign_body || is_cut_short {
            let excerpt = format!("{} ({}): {answer:?}", call.id, call.payload);
            found.push(violation("own_response", excerpt));
        }
    }
    found
}

/// 4. No target starts a request that is refused as not run.
///
/// An execution is a violation only if no other attempt with the same id can have caused it.
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
            let has_other_cause = attempts
                .iter()
                .any(|call| !not_run(call) && call.intended_ms <= execution.started_ms);
            if !has_other_cause {
                let excerpt = format!("{id}: {execution:?}, attempts {attempts:?}");
                found.push(violation("not_run_is_not_executed", excerpt));
            }
        }
    }
    found
}

/// 5. A request that is not idempotent is executed at most once on each shard, at one snapshot.
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let mut non_idempotent = BTreeSet::new();
    for call in history.calls.iter().filter(|call| !call.idempotent) {
        non_idempotent.insert(&*call.id);
    }
    let mut by_id: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if non_idempotent.contains(&*execution.request) {
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
            found.push(violation("at_most_once", format!("{id}: {executions:?}")));
        }
    }
    found
}

/// 6. A leaving target is offered no work from [`LEAVING_BOUND_MS`] after its announcement.
pub fn leaving_target_is_left_alone(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for leaving in &history.leaving {
        let bound_ms = leaving.announced_ms + LEAVING_BOUND_MS;
        let executions = history.executions.iter();
        let executions = executions.filter(|execution| {
            execution.leaf == leaving.leaf
                && (bound_ms..leaving.returned_ms).contains(&execution.started_ms)
        });
        let executions: Vec<&Execution> = executions.collect();
        if !executions.is_empty() || leaving.refused_late > 0 {
            let excerpt = format!("{leaving:?}: {executions:?}");
            found.push(violation("leaving_target_is_left_alone", excerpt));
        }
    }
    found
}

/// 7. A planned stop exits with code 0, and callers whose cached address is still valid get an
///    answer.
pub fn planned_stop_is_graceful(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &history.stops {
        if stop.exit_code != Some(0) {
            found.push(violation("planned_stop_is_graceful", format!("{stop:?}")));
        }
        let expires_ms = stop.signalled_ms + history.keep_ms;
        for call in &history.calls {
            let is_affected = call.vm == stop.vm
                && call.intended_ms < expires_ms
                && call.ended_ms >= stop.signalled_ms;
            if is_affected && call.answer.is_none() {
                let excerpt = format!("no answer during {stop:?}: {call:?}");
                found.push(violation("planned_stop_is_graceful", excerpt));
            }
        }
    }
    found
}

/// 8. No process reverts to an older version of a document or uses one that was never published,
///    and each published version is in force everywhere once it is due.
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
            found.push(violation("configuration_takes_effect", excerpt));
        }
    }
    found
}
