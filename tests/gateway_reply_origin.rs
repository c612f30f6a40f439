//! Sequences of whole, cut, late and extra answers on the connections to leaves: to which request an
//! answer is attributed, and what is believed of it.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_leaf.rs"]
mod raw_leaf;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverrack::gateway::Change;
use gateway::{TestGateway, apply_change, publish_service};
use proptest::prelude::*;
use proptest::sample::select;
use raw_leaf::{Action, RawLeaf, RawRequest, RawResponse, Script, send_raw};

/// Sequences that are tried.
const CASES: u32 = 96;

/// Time after which a caller leaves, before a late answer.
const PATIENCE: Duration = Duration::from_millis(10);
const LATE_MS: u64 = 20;

/// Statuses by which a leaf, or the gateway, may say that a request has not run.
const REFUSALS: [u16; 2] = [421, 503];

/// Identifier in an extra answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExtraId {
    Old,
    Foreign,
    None,
}

/// Second answer to an earlier request, which arrives where the answer to the next one is expected.
#[derive(Clone, Copy, Debug)]
struct Extra {
    status: u16,
    id: ExtraId,
    says_not_run: bool,
}

/// What a leaf does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// Runs it and answers with a status.
    Run(u16),
    /// Runs it and breaks the answer off after as many thousandths of it.
    Cut(usize),
    /// Runs it and answers after the caller has left.
    Late,
    /// Refuses it with a status and the header that says so.
    Refuse(u16),
}

#[derive(Clone, Copy, Debug)]
struct Step {
    answer: Answer,
    extra: Option<Extra>,
    /// Whether the extra answer follows at once, instead of in the place of the next answer.
    is_extra_early: bool,
}

fn extra_strategy() -> impl Strategy<Value = Extra> {
    let status = select(vec![200, 204, 304, 421, 429, 500, 503]);
    let id = select(vec![ExtraId::Old, ExtraId::Foreign, ExtraId::None]);
    (status, id, any::<bool>()).prop_map(|(status, id, says_not_run)| Extra {
        status,
        id,
        says_not_run,
    })
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let answer = prop_oneof![
        6 => select(vec![200, 204, 304, 429, 500, 503]).prop_map(Answer::Run),
        6 => Just(Answer::Run(200)),
        1 => (0..1_000_usize).prop_map(Answer::Cut),
        1 => Just(Answer::Late),
        2 => select(REFUSALS.to_vec()).prop_map(Answer::Refuse),
    ];
    (
        answer,
        proptest::option::of(extra_strategy()),
        any::<bool>(),
    )
        .prop_map(|(answer, extra, is_extra_early)| Step {
            answer,
            extra,
            is_extra_early,
        })
}

/// Returns an answer of `owner`, by which it can be told to whom it belongs.
fn answer(status: u16, owner: &str, id: Option<&str>, says_not_run: bool) -> Vec<u8> {
    let is_signed = !says_not_run && status != 421;
    signed_answer(status, owner, id, says_not_run, is_signed)
}

fn signed_answer(
    status: u16,
    owner: &str,
    id: Option<&str>,
    says_not_run: bool,
    is_signed: bool,
) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("x-request: {id}\r\n"));
    let not_run = if says_not_run { "x-not-run: 1\r\n" } else { "" };
    let signature = if is_signed {
        format!("x-signature: {owner}\r\n")
    } else {
        String::new()
    };
    let body = if matches!(status, 204 | 304) {
        ""
    } else {
        owner
    };
    let length = if matches!(status, 204 | 304) {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!(
        "HTTP/1.1 {status} Status\r\nx-owner: {owner}\r\n{id}{not_run}{signature}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Leaves that follow the steps in the order in which requests reach any of them.
struct Model {
    steps: Vec<Step>,
    /// Whether the leaves echo identifiers.
    echoes_ids: bool,
    next_step: usize,
    /// Extra answers that are due on a connection, with the request and whether it ran there.
    due: BTreeMap<SocketAddr, (String, bool, Extra)>,
    runs: Vec<String>,
}

impl Model {
    fn act(&mut self, request: &RawRequest) -> Vec<Action> {
        let Some(step) = self.steps.get(self.next_step).copied() else {
            return vec![Action::Close];
        };
        self.next_step += 1;
        let mut actions = Vec::new();
        if let Some((owner, has_run, extra)) = self.due.remove(&request.peer) {
            actions.push(Action::Send(self.extra(&owner, has_run, extra)));
            actions.push(Action::WaitMs(1));
        }
        let id = self.echoes_ids.then_some(request.id.as_str());
        let runs = !matches!(step.answer, Answer::Refuse(_));
        if runs {
            self.runs.push(request.id.clone());
        }
        match step.answer {
            Answer::Run(status) => {
                actions.push(Action::Send(answer(status, &request.id, id, false)))
            }
            Answer::Refuse(status) => {
                actions.push(Action::Send(answer(status, &request.id, id, true)));
            }
            Answer::Cut(thousandths) => {
                let whole = answer(200, &request.id, id, false);
                let cut = whole.len() * thousandths / 1_000;
                actions.push(Action::Send(whole[..cut].to_vec()));
                actions.push(Action::Close);
            }
            Answer::Late => {
                actions.push(Action::WaitMs(LATE_MS));
                actions.push(Action::Send(answer(200, &request.id, id, false)));
            }
        }
        match step.extra {
            Some(extra) if step.is_extra_early => {
                actions.push(Action::Send(self.extra(&request.id, runs, extra)));
            }
            Some(extra) => {
                let due = (request.id.clone(), runs, extra);
                self.due.insert(request.peer, due);
            }
            None => {}
        }
        actions
    }

    /// Returns an extra answer to a request, signed if this leaf has run it. Without identifiers, a
    /// signed one is a copy of the answer.
    fn extra(&self, owner: &str, has_run: bool, extra: Extra) -> Vec<u8> {
        let id = match extra.id {
            ExtraId::Old => Some(owner),
            ExtraId::Foreign => Some("foreign"),
            ExtraId::None => None,
        };
        let id = id.filter(|_| self.echoes_ids);
        let is_signed = has_run && !extra.says_not_run && extra.status != 421;
        signed_answer(extra.status, owner, id, extra.says_not_run, is_signed)
    }
}

/// Sends one request for each step, one after the other; returns the model and the responses of callers
/// that have not left.
async fn run_sequence(
    steps: Vec<Step>,
    echoes_ids: bool,
) -> (Vec<String>, Vec<(String, RawResponse)>) {
    let count = steps.len();
    let model = Arc::new(Mutex::new(Model {
        steps,
        echoes_ids,
        next_step: 0,
        due: BTreeMap::new(),
        runs: Vec::new(),
    }));
    let acting = Arc::clone(&model);
    let script: Script = Arc::new(move |request| acting.lock().unwrap().act(request));
    let test_gateway = TestGateway::spawn().await;
    publish_service(&test_gateway, "/o/", false, 2, &[]);
    for (revision, id) in [(2, "one"), (3, "two")] {
        let leaf = RawLeaf::spawn(false, Arc::clone(&script)).await;
        apply_change(&test_gateway, Change::Leaf(leaf.record(id, "s")), revision);
    }
    let mut responses = Vec::new();
    for number in 0..count {
        let id = format!("request-{number}");
        let is_late = {
            let model = model.lock().unwrap();
            let step = model.steps.get(model.next_step);
            step.is_some_and(|step| step.answer == Answer::Late)
        };
        let sent = send_raw(test_gateway.address, "GET", "/o/x", &id, b"");
        let patience = if is_late {
            PATIENCE
        } else {
            Duration::from_secs(5)
        };
        match tokio::time::timeout(patience, sent).await {
            Ok(response) => responses.push((id, response)),
            Err(_) => assert!(is_late, "{id} has no response"),
        }
    }
    let runs = model.lock().unwrap().runs.clone();
    (runs, responses)
}

/// Returns the broken rules of a sequence.
fn violations(runs: &[String], responses: &[(String, RawResponse)]) -> Vec<String> {
    let mut violations = Vec::new();
    let distinct: BTreeSet<&String> = runs.iter().collect();
    if distinct.len() != runs.len() {
        violations.push(format!("a request ran twice: {runs:?}"));
    }
    for (id, response) in responses {
        let owner = response.field("x-owner");
        if owner.as_ref().is_some_and(|owner| owner != id) {
            violations.push(format!("{id} got the answer of {owner:?}: {response:?}"));
        }
        if response.says_not_run() && runs.contains(id) {
            violations.push(format!("{id} ran and was refused: {response:?}"));
        }
        let has_body = response.status == 204 || response.body == id.as_bytes();
        let is_signed = response.field("x-signature").as_ref() == Some(id);
        if response.is_success() && !(has_body && is_signed) {
            violations.push(format!("{id} got a spoiled success: {response:?}"));
        }
    }
    violations
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an answer that is taken for the answer to another request: callers that get it, a
    /// refusal of a request that runs, and a second run of one that must not run twice.
    #[test]
    fn answers_are_attributed_to_their_requests(
        steps in proptest::collection::vec(step_strategy(), 2..12),
        echoes_ids in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let (runs, responses) = runtime.block_on(run_sequence(steps, echoes_ids));
        let violations = violations(&runs, &responses);
        prop_assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Sends a request whose answer is followed, where the next answer is expected, by an extra answer with
/// these fields; returns the statuses of the requests after that one.
async fn statuses_after(start: &'static str, id: &'static str) -> Vec<u16> {
    let script: Script = Arc::new(move |request| {
        let own = answer(200, &request.id, Some(&request.id), false);
        let mut actions = Vec::new();
        if request.id == "second" {
            let extra = format!("HTTP/1.1 {start}\r\n{id}content-length: 0\r\n\r\n");
            actions.push(Action::Send(extra.into_bytes()));
        }
        actions.push(Action::Send(own));
        actions
    });
    let test_gateway = TestGateway::spawn().await;
    publish_service(&test_gateway, "/o/", false, 2, &[]);
    let leaf = RawLeaf::spawn(false, script).await;
    apply_change(&test_gateway, Change::Leaf(leaf.record("leaf", "s")), 2);
    let mut statuses = Vec::new();
    for id in ["first", "second", "third", "fourth"] {
        let response = send_raw(test_gateway.address, "GET", "/o/x", id, b"").await;
        statuses.push(response.status);
    }
    statuses
}

/// Guards against believing an extra answer: that the leaf has ended, wants no calls, or has a limit.
#[tokio::test]
async fn extra_answers_say_nothing_of_a_leaf() {
    for start in [
        "421 Misdirected",
        "503 Busy\r\nretry-after: 60",
        "503 Busy\r\nretry-after: 60\r\nx-not-run: 1",
        "429 Limited\r\nx-not-run: 1\r\nx-rate-limit: 0.001",
        "200 OK\r\nx-rate-limit: 0.001\r\nx-signature: other",
    ] {
        for id in [
            "",
            "x-request: first\r\n",
            "x-request: second\r\nx-request: first\r\n",
        ] {
            let statuses = statuses_after(start, id).await;
            assert_eq!(statuses, [200, 502, 200, 200], "{start:?} {id:?}");
        }
    }
}

/// Guards against believing the extra answer to an earlier request that arrives after the caller of the
/// next one has left.
#[tokio::test]
async fn late_extra_answers_say_nothing_of_a_leaf() {
    for id in ["", "x-request: first\r\n"] {
        let script: Script = Arc::new(move |request| {
            if request.id != "second" {
                return vec![Action::Send(answer(
                    200,
                    &request.id,
                    Some(&request.id),
                    false,
                ))];
            }
            let extra = format!("HTTP/1.1 503 Busy\r\n{id}retry-after: 60\r\n\r\n");
            vec![Action::WaitMs(LATE_MS), Action::Send(extra.into_bytes())]
        });
        let test_gateway = TestGateway::spawn().await;
        publish_service(&test_gateway, "/o/", false, 2, &[]);
        let leaf = RawLeaf::spawn(false, script).await;
        apply_change(&test_gateway, Change::Leaf(leaf.record("leaf", "s")), 2);
        let send = |id| send_raw(test_gateway.address, "GET", "/o/x", id, b"");
        assert_eq!(send("first").await.status, 200);
        assert!(
            tokio::time::timeout(PATIENCE, send("second"))
                .await
                .is_err()
        );
        tokio::time::sleep(2 * Duration::from_millis(LATE_MS)).await;
        assert_eq!(send("third").await.status, 200, "{id:?}");
    }
}
