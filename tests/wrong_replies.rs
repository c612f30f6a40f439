//! Late, duplicated and misaddressed replies of owners: each caller gets only the results of its
//! own request.
//!
//! A fake peer owns the only available leaves and sends the faulty replies.

#![expect(clippy::unwrap_used, reason = "a failed exchange fails the test")]

#[path = "support/fake_peer.rs"]
mod fake_peer;
#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cloverrack::{Outcome, Reason};
use fake_peer::{FakePeer, PeerBehaviour};
use outcomes::check_answer;
use serde_json::Value;
use support::{Cluster, ClusterSpec, eventually, request};

/// Starts two VMs and a fake peer as the third; all leaves but those of the fake peer are draining.
async fn start_with_fake_peer() -> (Cluster, FakePeer) {
    let mut cluster = Cluster::prepare(ClusterSpec::default()).await;
    let list: Value = serde_json::from_str(&cluster.vm_list(&[])).unwrap();
    let address: SocketAddr = list["vms"][2]["internal_address"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let mut leaves = Vec::new();
    for replicas in &cluster.leaves {
        replicas[0].set(|options| options.draining = true);
        replicas[1].set(|options| options.draining = true);
        leaves.push(replicas[2].address());
    }
    cluster.spawn(0);
    cluster.spawn(1);
    let others = cluster.daemons.iter().map(|d| d.internal_address).collect();
    let peer = FakePeer::start(address, leaves.clone(), others).await;
    cluster.wait_until_covered().await;
    for vm in 0..2 {
        eventually("the fake peer owns all available leaves", async || {
            let status = cluster.status(vm).await.unwrap();
            let mut lines = status["leaves"].as_array().unwrap().iter();
            lines.all(|line| {
                let address = line["address"].as_str().unwrap().parse().unwrap();
                if leaves.contains(&address) {
                    line["owner"] == "vm-2" && line["state"] == "up"
                } else {
                    line["state"] == "draining"
                }
            })
        })
        .await;
    }
    (cluster, peer)
}

/// Guards against replies that are merged into the answer of another request, merged twice, or
/// merged although they were computed from another snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_replies_are_not_merged() {
    let (cluster, peer) = start_with_fake_peer().await;
    for behaviour in [
        PeerBehaviour::Correct,
        PeerBehaviour::Duplicated,
        PeerBehaviour::WrongCallId,
    ] {
        peer.set(behaviour);
        let sent: Vec<_> = (0..30)
            .map(|number| request(&format!("{behaviour:?}-{number}")))
            .collect();
        let queries = sent.iter().enumerate();
        let queries = queries.map(|(number, one)| cluster.query(number % 2, one));
        let answers = futures_util::future::join_all(queries).await;
        for (sent, answer) in sent.iter().zip(answers) {
            let answer = answer.unwrap();
            assert_eq!(
                answer.outcome,
                Outcome::Complete,
                "{behaviour:?} {answer:?}"
            );
            check_answer(&cluster, sent, &answer);
        }
    }
    peer.set(PeerBehaviour::WrongSnapshot);
    let answer = cluster.query(0, &request("wrong-snapshot")).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert_eq!(answer.reason, Some(Reason::Failed));
}

/// Guards against a reply that arrives after the deadline and is merged into the answer of the
/// caller's next request, and against a call that stays in flight after its reply was dropped.
#[tokio::test(flavor = "multi_thread")]
async fn late_replies_are_dropped() {
    let (cluster, peer) = start_with_fake_peer().await;
    peer.set(PeerBehaviour::Late(300));
    for number in 0..5 {
        let mut sent = request(&format!("late-{number}"));
        sent.deadline_ms = 100;
        let answer = cluster.query(0, &sent).await.unwrap();
        let expected = (Outcome::Unknown, Some(Reason::Timeout));
        assert_eq!((answer.outcome, answer.reason), expected);
    }
    peer.set(PeerBehaviour::Correct);
    for number in 0..20 {
        let sent = request(&format!("after-late-{number}"));
        let answer = cluster.query(0, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        check_answer(&cluster, &sent, &answer);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    eventually("no request is in flight", async || {
        cluster.status(0).await.unwrap()["in_flight"] == 0
    })
    .await;
}
