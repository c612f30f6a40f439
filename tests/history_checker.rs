//! Tests the history checker: a correct history passes, and each violated invariant is reported.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cloverrack::answer::{Answer, MissingShard, Outcome, Reason, ShardResult};
use cloverrack::{Snapshot, Version};
use support::checker::{INVARIANTS, LEAVING_BOUND_MS, check_history};
use support::history::{
    Call, Execution, History, LeavingTarget, PlannedStop, Published, VersionSample,
};

const SNAPSHOT: Snapshot = Snapshot {
    version: 7,
    layout: 1,
};
const TICKET: &str = "ticket.1";

fn leaf(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + number).into()
}

fn result(snapshot: &str, shard: u32, payload: &str) -> ShardResult {
    ShardResult {
        shard,
        body: format!("{snapshot}:{shard}:{payload}").into(),
    }
}

fn complete(id: &str) -> Answer {
    Answer {
        outcome: Outcome::Complete,
        reason: None,
        snapshot: Some(SNAPSHOT),
        shards: 2,
        covered: vec![0, 1],
        results: vec![result("7.1", 0, id), result("7.1", 1, id)],
        ..Answer::without_results(id, Outcome::Complete, Reason::Failed)
    }
}

fn call(id: &str, intended_ms: u64, answer: Option<Answer>) -> Call {
    Call {
        vm: 0,
        id: id.to_owned(),
        payload: id.to_owned(),
        idempotent: id != TICKET,
        intended_ms,
        sent_ms: intended_ms,
        ended_ms: intended_ms + 50,
        answer,
    }
}

fn execution(request: &str, shard: u32, started_ms: u64) -> Execution {
    Execution {
        leaf: leaf(shard as u16),
        request: request.to_owned(),
        shard,
        snapshot: "7.1".to_owned(),
        payload: request.to_owned(),
        started_ms,
        finished: true,
    }
}

fn version_sample(at_ms: u64, revision: u64) -> VersionSample {
    VersionSample {
        vm: 0,
        incarnation: "process".to_owned(),
        at_ms,
        document: "config/test".to_owned(),
        version: Version { epoch: 0, revision },
    }
}

fn published(revision: u64, due_ms: Option<u64>) -> Published {
    Published {
        document: "config/test".to_owned(),
        version: Version { epoch: 0, revision },
        due_ms,
    }
}

/// Returns a history that contains all kinds of events and satisfies every invariant.
fn valid_history() -> History {
    let refused = Answer::without_results("refused", Outcome::NotRun, Reason::Overloaded);
    let mut partial = complete("partial");
    partial.outcome = Outcome::Partial;
    partial.covered = vec![1];
    partial.results.remove(0);
    let reason = Reason::Timeout;
    partial.missing = vec![MissingShard { shard: 0, reason }];
    History {
        calls: vec![
            call("one", 1_000, Some(complete("one"))),
            call("partial", 1_000, Some(partial)),
            call("refused", 1_000, Some(refused)),
            call("lost", 1_000, None),
            call(TICKET, 1_000, None),
            call(TICKET, 1_100, Some(complete(TICKET))),
        ],
        executions: vec![
            execution("one", 0, 1_010),
            execution("one", 0, 1_015),
            execution("one", 1, 1_010),
            execution("partial", 1, 1_010),
            execution("lost", 1, 1_010),
            execution(TICKET, 0, 1_020),
            execution(TICKET, 1, 1_020),
        ],
        version_samples: vec![
            version_sample(1_000, 3),
            version_sample(2_000, 4),
            version_sample(3_000, 4),
        ],
        published: vec![published(3, None), published(4, Some(2_500))],
        leaving: vec![LeavingTarget {
            leaf: leaf(0),
            announced_ms: 1_000,
            returned_ms: 9_000,
            refused_late: 0,
        }],
        stops: vec![PlannedStop {
            vm: 0,
            signalled_ms: 2_000,
            ended_ms: 3_000,
            exit_code: Some(0),
        }],
        layouts: BTreeMap::from([(1, 2)]),
        keep_ms: 300,
    }
}

/// Guards against false positives: a correct history must not be reported.
#[test]
fn a_correct_history_passes() {
    assert_eq!(check_history(&valid_history()), vec![]);
}

type Mutation = (&'static str, &'static str, fn(&mut History));

fn answer_of(history: &mut History, call: usize) -> &mut Answer {
    let answer = history.calls[call].answer.as_mut();
    answer.expect("call has no answer in the valid history")
}

/// Violated invariant, description, and change to the valid history that violates it.
const MUTATIONS: &[Mutation] = &[
    ("one_snapshot", "one shard of another snapshot", |h| {
        answer_of(h, 0).results[1] = result("8.1", 1, "one");
        h.executions.push(Execution {
            snapshot: "8.1".to_owned(),
            ..execution("one", 1, 1_010)
        });
    }),
    ("one_snapshot", "all shards of a snapshot not named", |h| {
        answer_of(h, 0).snapshot = Some(Snapshot {
            version: 8,
            layout: 1,
        });
    }),
    ("true_coverage", "a missing shard is not listed", |h| {
        answer_of(h, 1).missing.clear();
    }),
    ("true_coverage", "a missing shard is also covered", |h| {
        answer_of(h, 1).covered.insert(0, 0);
    }),
    ("true_coverage", "partial is marked complete", |h| {
        answer_of(h, 1).outcome = Outcome::Complete;
    }),
    ("true_coverage", "contents of another shard", |h| {
        answer_of(h, 0).results[0].body = "7.1:1:one".into();
    }),
    ("true_coverage", "no execution of a covered shard", |h| {
        h.executions
            .retain(|execution| execution.request != "partial");
    }),
    ("true_coverage", "a shard of the layout is omitted", |h| {
        h.layouts.insert(1, 3);
    }),
    (
        "own_response",
        "contents of another caller's request",
        |h| {
            answer_of(h, 0).results[0] = result("7.1", 0, "partial");
        },
    ),
    ("own_response", "the answer to another request", |h| {
        answer_of(h, 0).request_id = "partial".into();
    }),
    ("own_response", "a complete response is cut short", |h| {
        answer_of(h, 0).results.pop();
    }),
    ("not_run_is_not_executed", "a refused request ran", |h| {
        h.executions.push(execution("refused", 0, 1_020));
    }),
    ("not_run_is_not_executed", "it ran before a resend", |h| {
        h.executions.push(execution("refused", 0, 1_020));
        let resent = call("refused", 1_100, Some(complete("refused")));
        h.calls.push(resent);
    }),
    ("at_most_once", "a ticket ran twice on a shard", |h| {
        h.executions.push(execution(TICKET, 1, 1_110));
    }),
    ("at_most_once", "a ticket ran at two snapshots", |h| {
        let last = h.executions.len() - 1;
        h.executions[last].snapshot = "8.1".to_owned();
    }),
    ("leaving_target_is_left_alone", "it runs late work", |h| {
        h.executions
            .push(execution("lost", 0, 1_000 + LEAVING_BOUND_MS));
    }),
    ("leaving_target_is_left_alone", "it is offered work", |h| {
        h.leaving[0].refused_late = 1;
    }),
    ("planned_stop_is_graceful", "a call in flight breaks", |h| {
        h.calls.push(call("cut", 1_960, None));
    }),
    ("planned_stop_is_graceful", "a cached address fails", |h| {
        h.calls.push(call("cut", 2_299, None));
    }),
    ("planned_stop_is_graceful", "the process is killed", |h| {
        h.stops[0].exit_code = None;
    }),
    ("configuration_takes_effect", "a version is reverted", |h| {
        h.version_samples.push(version_sample(2_100, 3));
    }),
    ("configuration_takes_effect", "due version missing", |h| {
        h.version_samples = vec![version_sample(2_500, 3)];
    }),
    ("configuration_takes_effect", "it is not published", |h| {
        h.version_samples.push(version_sample(4_000, 5));
    }),
];

/// Guards against false negatives: each mutation of the valid history must be reported under the
/// invariant that it violates.
#[test]
fn each_violation_is_reported() {
    for (invariant, what, mutate) in MUTATIONS {
        let mut history = valid_history();
        mutate(&mut history);
        let found = check_history(&history);
        let reported = found
            .iter()
            .any(|violation| violation.invariant == *invariant);
        assert!(reported, "{invariant}: {what}: {found:?}");
    }
}

/// Guards against an invariant that is added without a mutation, so that no test shows its check
/// report a violation.
#[test]
fn every_invariant_is_violated_by_some_mutation() {
    for (invariant, _) in INVARIANTS {
        assert!(MUTATIONS.iter().any(|(name, _, _)| *name == invariant));
    }
}

/// Guards against calls that are checked although the stop could not affect them: this one starts
/// after cached addresses have expired.
#[test]
fn an_address_kept_too_long_is_no_violation() {
    let mut history = valid_history();
    history.calls.push(call("late", 2_300, None));
    assert_eq!(check_history(&history), vec![]);
}
