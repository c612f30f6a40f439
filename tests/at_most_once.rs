//! Requests that are not idempotent run at most once on each shard, judged by the leaves' records.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use cloverrack::answer::{Answer, CallerRequest};
use cloverrack::ticket::{MAX_CACHED_BYTES, RedeemResult, TICKET_BLOCK_TTL_MS, TICKETS_PER_BLOCK};
use cloverrack::{Incarnation, Outcome, Reason, Ticket, Tickets};
use proptest::prelude::*;
use support::{Cluster, ClusterSpec, eventually, exchange, request};

fn non_idempotent_request(ticket: &str) -> CallerRequest {
    CallerRequest {
        idempotent: false,
        ..request(ticket)
    }
}

/// Returns the most executions of a request on one shard, and fails if they are more than one.
fn executions_per_shard(cluster: &Cluster, id: &str) -> usize {
    let mut counts: HashMap<u32, usize> = HashMap::new();
    for leaf in cluster.leaves.iter().flatten() {
        for execution in leaf.executions() {
            if execution.request == id {
                *counts.entry(execution.shard).or_default() += 1;
            }
        }
    }
    assert!(counts.values().all(|count| *count == 1), "{id}: {counts:?}");
    counts.values().copied().max().unwrap_or(0)
}

fn slow_leaf_spec(service_ms: u64) -> ClusterSpec {
    let mut spec = ClusterSpec::default();
    spec.leaf.service_us = service_ms * 1_000;
    spec
}

/// Guards against a resend that runs again, at the issuer or through another VM, one after the
/// other or at once, and against a resend that gets another answer than the first.
#[tokio::test(flavor = "multi_thread")]
async fn resends_through_any_vm_get_the_first_outcome() {
    let cluster = Cluster::start(slow_leaf_spec(50)).await;
    let block = cluster.ticket_block(0).await.unwrap();
    for number in 0..10 {
        let sent = non_idempotent_request(&format!("{block}.{number}"));
        let at_once = (0..9).map(|resend| cluster.query(resend % 3, &sent));
        let mut answers = futures_util::future::join_all(at_once).await;
        for vm in 0..3 {
            answers.push(cluster.query(vm, &sent).await);
        }
        for answer in answers {
            let answer = answer.unwrap();
            assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
            assert_eq!(answer.results.len(), 3);
            assert!(answer.results[0].body.ends_with(&*sent.payload));
        }
        assert_eq!(executions_per_shard(&cluster, &sent.request_id), 1);
    }
}

/// Guards against a ticket that hands one request's answer to a request with other content.
#[tokio::test(flavor = "multi_thread")]
async fn a_used_ticket_refuses_other_content() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let first = non_idempotent_request(&format!("{block}.0"));
    let answer = cluster.query(0, &first).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
    let mut other = first.clone();
    other.payload = "other content".into();
    let mut member = first.clone();
    member.member = "another-member".into();
    for changed in [other, member] {
        for vm in 0..3 {
            let answer = cluster.query(vm, &changed).await.unwrap();
            let expected = (Outcome::NotRun, Some(Reason::TicketOtherContent));
            assert_eq!((answer.outcome, answer.reason), expected);
            assert!(answer.results.is_empty());
        }
    }
    assert_eq!(executions_per_shard(&cluster, &first.request_id), 1);
}

/// Guards against a refusal at admission that says "not run" of a request that ran before.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_resend_is_not_called_not_run() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let first = non_idempotent_request(&format!("{block}.0"));
    cluster.query(0, &first).await.unwrap();
    let mut late = first.clone();
    late.deadline_ms = 0;
    let answer = cluster.query(0, &late).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
    let answer = cluster.query(1, &late).await.unwrap();
    let expected = (Outcome::Unknown, Some(Reason::BadDeadline));
    assert_eq!((answer.outcome, answer.reason), expected);
    let unused = CallerRequest {
        deadline_ms: 0,
        ..non_idempotent_request(&format!("{block}.1"))
    };
    let answer = cluster.query(0, &unused).await.unwrap();
    assert_eq!(answer.outcome, Outcome::NotRun);
    let redeemed = CallerRequest {
        deadline_ms: 2_000,
        ..unused
    };
    let answer = cluster.query(0, &redeemed).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
}

/// Guards against a restarted issuer, or another VM, that runs what the crashed issuer had sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_and_replaced_issuer_runs_no_old_ticket() {
    let mut cluster = Cluster::start(slow_leaf_spec(200)).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let sent = non_idempotent_request(&format!("{block}.0"));
    let unsent = non_idempotent_request(&format!("{block}.1"));
    let caller = cluster.daemons[1].caller_address;
    let body = serde_json::to_vec(&sent).unwrap();
    let first = tokio::spawn(async move { exchange(caller, "POST", "/v1/query", body).await });
    eventually("the request runs", async || {
        cluster.executions_of(&sent.request_id) > 0
    })
    .await;
    cluster.daemons[0].kill();
    let (_, body) = first.await.unwrap().unwrap();
    let answer: Answer = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    cluster.spawn(0);
    cluster.wait_until_covered().await;
    for vm in [0, 1, 2, 0] {
        for resent in [&sent, &unsent] {
            let answer = cluster.query(vm, resent).await.unwrap();
            let expected = (Outcome::Unknown, Some(Reason::TicketIssuerLost));
            assert_eq!((answer.outcome, answer.reason), expected);
        }
    }
    assert_eq!(executions_per_shard(&cluster, &sent.request_id), 1);
    assert_eq!(executions_per_shard(&cluster, &unsent.request_id), 0);
}

/// Guards against an issuer that wakes up late and runs a forwarded request after its deadline, and
/// against a resend that runs beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_issuer_runs_nothing_late_and_nothing_twice() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let mut sent = non_idempotent_request(&format!("{block}.0"));
    sent.deadline_ms = 300;
    // The connection to the issuer must be up, so that the frozen process has the request.
    let warm = non_idempotent_request(&format!("{block}.1"));
    assert_eq!(
        cluster.query(1, &warm).await.unwrap().outcome,
        Outcome::Complete
    );
    cluster.daemons[0].signal("-STOP");
    let answer = cluster.query(1, &sent).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Unknown);
    cluster.daemons[0].signal("-CONT");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(executions_per_shard(&cluster, &sent.request_id), 0);
    sent.deadline_ms = 2_000;
    for vm in 0..3 {
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
    assert_eq!(executions_per_shard(&cluster, &sent.request_id), 1);
}

/// Guards against a VM that runs a request itself because it can't reach the issuer.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_issuer_alone_runs_its_tickets() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let sent = non_idempotent_request(&format!("{block}.0"));
    let issuer = cluster.daemons[0].internal_address;
    let others = [
        cluster.daemons[1].internal_address,
        cluster.daemons[2].internal_address,
    ];
    cluster.cut(1, &[issuer]).await;
    cluster.cut(2, &[issuer]).await;
    cluster.cut(0, &others).await;
    for vm in [1, 2] {
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Unknown);
    }
    assert_eq!(executions_per_shard(&cluster, &sent.request_id), 0);
    let at_issuer = cluster.query(0, &sent).await.unwrap();
    assert_ne!(at_issuer.outcome, Outcome::NotRun);
    for vm in 0..3 {
        cluster.cut(vm, &[]).await;
    }
    for vm in [1, 2, 0] {
        let answer = cluster.query(vm, &sent).await.unwrap();
        assert_eq!(answer.outcome, at_issuer.outcome);
    }
    assert_eq!(executions_per_shard(&cluster, &sent.request_id), 1);
}

/// Guards against a ticket that stays unsettled, or runs again, after its caller hung up.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_leaves_a_settled_ticket() {
    let cluster = Cluster::start(slow_leaf_spec(200)).await;
    let block = cluster.ticket_block(0).await.unwrap();
    for vm in 0..2 {
        let sent = non_idempotent_request(&format!("{block}.{vm}"));
        let hang_up = Duration::from_millis(80);
        let first = tokio::time::timeout(hang_up, cluster.query(vm, &sent)).await;
        assert!(first.is_err(), "the caller hangs up before the answer");
        eventually("the outcome is settled", async || {
            let answer = cluster.query(2, &sent).await.unwrap();
            answer.outcome == Outcome::Complete && answer.results.len() == 3
        })
        .await;
        assert_eq!(executions_per_shard(&cluster, &sent.request_id), 1);
    }
}

fn tickets() -> Tickets {
    let address = ([127, 0, 0, 1], 7_001).into();
    Tickets::new(Incarnation::new(1_000, 1), address, [7; 16])
}

fn complete_answer(ticket: Ticket, body_bytes: usize) -> Answer {
    let mut answer =
        Answer::without_results(&ticket.to_string(), Outcome::Complete, Reason::Failed);
    answer.reason = None;
    answer.results.push(cloverrack::answer::ShardResult {
        shard: 0,
        body: "x".repeat(body_bytes).into(),
    });
    answer
}

/// Guards against a caller that exhausts the blocks of all others by asking in a loop.
#[test]
fn issuing_blocks_stores_nothing() {
    let mut tickets = tickets();
    for _ in 0..1_000_000 {
        tickets.issue(0);
    }
    assert_eq!(tickets.used(), 0);
    let block = tickets.issue(0);
    let ticket = Ticket { block, number: 0 };
    assert!(matches!(tickets.redeem(ticket, 1, 1), RedeemResult::Run));
}

/// Guards against a block that is invented, or whose time is prolonged by its caller.
#[test]
fn an_invented_block_is_not_redeemed() {
    let mut tickets = tickets();
    let block = tickets.issue(0);
    let mut invented = [block; 5];
    invented[0].check ^= 1;
    invented[1].expires_ms += 1;
    invented[2].block += 1;
    invented[3].address = ([127, 0, 0, 2], 7_001).into();
    invented[4].issuer = Incarnation::new(1_000, 2);
    for block in invented {
        let ticket = Ticket { block, number: 0 };
        assert!(matches!(
            tickets.redeem(ticket, 1, 1),
            RedeemResult::NotIssued
        ));
    }
    let number = TICKETS_PER_BLOCK;
    let beyond = Ticket { block, number };
    assert!(matches!(
        tickets.redeem(beyond, 1, 1),
        RedeemResult::NotIssued
    ));
    let ticket = Ticket { block, number: 0 };
    let late = tickets.redeem(ticket, 1, TICKET_BLOCK_TTL_MS);
    assert!(matches!(late, RedeemResult::Expired));
}

/// Guards against kept answers that are bounded one by one but not in all.
#[test]
fn kept_answers_are_bounded_in_all() {
    let mut tickets = tickets();
    let block = tickets.issue(0);
    for number in 0..TICKETS_PER_BLOCK {
        let ticket = Ticket { block, number };
        assert!(matches!(tickets.redeem(ticket, 1, 1), RedeemResult::Run));
        tickets.complete(ticket, &complete_answer(ticket, 60_000));
        assert!(tickets.cached_bytes() <= MAX_CACHED_BYTES);
    }
    let first = Ticket { block, number: 0 };
    let RedeemResult::Completed(first) = tickets.redeem(first, 1, 1) else {
        panic!("a reduced answer keeps its outcome");
    };
    let expected = (Outcome::Complete, Some(Reason::TicketUsed));
    assert_eq!((first.outcome, first.reason), expected);
    let number = TICKETS_PER_BLOCK - 1;
    let RedeemResult::Completed(last) = tickets.redeem(Ticket { block, number }, 1, 1) else {
        panic!("the newest answer is kept");
    };
    assert_eq!(last.results.len(), 1);
}

/// One step of a caller or of the issuer.
#[derive(Clone, Debug)]
enum Step {
    Redeem(u32, u128),
    Settle(u32, Outcome),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(Outcome::Complete),
        Just(Outcome::Unknown),
        Just(Outcome::NotRun)
    ];
    prop_oneof![
        (0..4_u32, 0..2_u128).prop_map(|(number, content)| Step::Redeem(number, content)),
        (0..4_u32, outcome).prop_map(|(number, outcome)| Step::Settle(number, outcome)),
        (0..TICKET_BLOCK_TTL_MS / 4).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against any order of resends and outcomes that lets a ticket run a second time.
    #[test]
    fn no_order_of_steps_runs_a_ticket_twice(steps in prop::collection::vec(step(), 1..60)) {
        let mut tickets = tickets();
        let block = tickets.issue(0);
        let mut now_ms = 0;
        let mut running: HashMap<u32, bool> = HashMap::new();
        for step in steps {
            match step {
                Step::Wait(wait_ms) => now_ms += wait_ms,
                Step::Redeem(number, content) => {
                    let redeemed = tickets.redeem(Ticket { block, number }, content, now_ms);
                    if matches!(redeemed, RedeemResult::Run) {
                        prop_assert!(now_ms < TICKET_BLOCK_TTL_MS);
                        prop_assert!(running.insert(number, true).is_none(), "runs twice");
                    }
                }
                Step::Settle(number, outcome) => {
                    let Some(open) = running.get_mut(&number).filter(|open| **open) else {
                        continue;
                    };
                    *open = false;
                    let ticket = Ticket { block, number };
                    tickets.complete(ticket, &Answer::without_results("", outcome, Reason::Failed));
                    if outcome == Outcome::NotRun {
                        running.remove(&number);
                    }
                }
            }
        }
    }
}
