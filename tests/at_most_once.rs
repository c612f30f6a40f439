//! At-most-once execution: a non-idempotent request runs at most once on each shard.
//!
//! The execution records of the leaves are the evidence; callers resend, VMs crash, freeze and lose
//! their links.

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

/// Returns the largest number of executions of a request on one shard; panics if it exceeds one.
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

/// Guards against a resent request that is executed again or gets a different answer. The resends
/// arrive through the issuer and through other VMs, sequentially and concurrently.
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

/// Guards against a ticket that returns the cached answer of one request to another: the same
/// ticket is sent with a different payload and by a different member.
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

/// Guards against a "not run" outcome for a request that has run: a resend fails the admission
/// check of its deadline before the ticket's recorded outcome is considered.
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

/// Guards against a second execution after the issuer crashed: its replacement, or another VM,
/// would run a request that the crashed process had already sent to the leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_and_replaced_issuer_runs_no_old_ticket() {
    let mut cluster = Cluster::start(slow_leaf_spec(200)).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let sent = non_idempotent_request(&format!("{block}.0"));
    let unsent = non_idempotent_request(&format!("{block}.1"));
    let caller = cluster.daemons[1].caller_address;
    let body = serde_json::to_vec(&sent).unwrap();
    let first = tokio::spawn(async move { exchange(caller, "POST", "/v1/query", body).await });
    eventually("the request is running", async || {
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

/// Guards against an issuer that is stopped while it receives a forwarded request, resumes after
/// the deadline and executes it, and against a resend that is executed in addition.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_issuer_runs_nothing_late_and_nothing_twice() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let block = cluster.ticket_block(0).await.unwrap();
    let mut sent = non_idempotent_request(&format!("{block}.0"));
    sent.deadline_ms = 300;
    // The connection to the issuer must be open, so that the stopped process receives the request.
    let warmup = non_idempotent_request(&format!("{block}.1"));
    assert_eq!(
        cluster.query(1, &warmup).await.unwrap().outcome,
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

/// Guards against a VM that executes a request with another VM's ticket because a partition
/// separates it from the issuer, while the issuer executes the same request.
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

/// Guards against a ticket without a recorded outcome, or a second execution, after the caller
/// closed its connection before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_leaves_a_settled_ticket() {
    let cluster = Cluster::start(slow_leaf_spec(200)).await;
    let block = cluster.ticket_block(0).await.unwrap();
    for vm in 0..2 {
        let sent = non_idempotent_request(&format!("{block}.{vm}"));
        let disconnect_after = Duration::from_millis(80);
        let first = tokio::time::timeout(disconnect_after, cluster.query(vm, &sent)).await;
        assert!(
            first.is_err(),
            "the answer arrived before the caller disconnected"
        );
        eventually("the outcome is recorded", async || {
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

/// Guards against a caller that exhausts the ticket storage by requesting blocks in a loop, so that
/// other callers get none.
#[test]
fn issuing_blocks_stores_nothing() {
    let mut tickets = tickets();
    for _ in 0..1_000_000 {
        tickets.issue(0);
    }
    assert_eq!(tickets.used_count(), 0);
    let block = tickets.issue(0);
    let ticket = Ticket { block, number: 0 };
    assert!(matches!(tickets.redeem(ticket, 1, 1), RedeemResult::Run));
}

/// Guards against a forged block, and against an issued block whose expiry its caller has extended.
#[test]
fn an_invented_block_is_not_redeemed() {
    let mut tickets = tickets();
    let block = tickets.issue(0);
    let mut forged = [block; 5];
    forged[0].check ^= 1;
    forged[1].expires_ms += 1;
    forged[2].block += 1;
    forged[3].address = ([127, 0, 0, 2], 7_001).into();
    forged[4].issuer = Incarnation::new(1_000, 2);
    for block in forged {
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

/// Guards against unbounded memory for cached answers: each answer is within its own limit, but a
/// full block of them exceeds the total.
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
        panic!("an evicted answer must keep its outcome");
    };
    let expected = (Outcome::Complete, Some(Reason::TicketUsed));
    assert_eq!((first.outcome, first.reason), expected);
    let number = TICKETS_PER_BLOCK - 1;
    let RedeemResult::Completed(last) = tickets.redeem(Ticket { block, number }, 1, 1) else {
        panic!("the newest answer must stay cached");
    };
    assert_eq!(last.results.len(), 1);
}

/// Step of a caller, of the issuer or of the clock.
#[derive(Clone, Debug)]
enum Step {
    Redeem(u32, u128),
    RecordOutcome(u32, Outcome),
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
        (0..4_u32, outcome).prop_map(|(number, outcome)| Step::RecordOutcome(number, outcome)),
        (0..TICKET_BLOCK_TTL_MS / 4).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against a ticket that is executed twice after some order of resends, outcomes and
    /// elapsed time; only a "not run" outcome allows another execution.
    #[test]
    fn no_order_of_steps_runs_a_ticket_twice(steps in prop::collection::vec(step(), 1..60)) {
        let mut tickets = tickets();
        let block = tickets.issue(0);
        let mut now_ms = 0;
        let mut in_progress: HashMap<u32, bool> = HashMap::new();
        for step in steps {
            match step {
                Step::Wait(wait_ms) => now_ms += wait_ms,
                Step::Redeem(number, content) => {
                    let redeemed = tickets.redeem(Ticket { block, number }, content, now_ms);
                    if matches!(redeemed, RedeemResult::Run) {
                        prop_assert!(now_ms < TICKET_BLOCK_TTL_MS);
                        prop_assert!(
                            in_progress.insert(number, true).is_none(),
                            "ticket {number} runs twice"
                        );
                    }
                }
                Step::RecordOutcome(number, outcome) => {
                    let Some(is_running) = in_progress.get_mut(&number).filter(|running| **running)
                    else {
                        continue;
                    };
                    *is_running = false;
                    let ticket = Ticket { block, number };
                    tickets.complete(ticket, &Answer::without_results("", outcome, Reason::Failed));
                    if outcome == Outcome::NotRun {
                        in_progress.remove(&number);
                    }
                }
            }
        }
    }
}
