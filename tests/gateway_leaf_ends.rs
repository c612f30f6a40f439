//! Runs at leaves that end without an answer: which of them become evidence against their content,
//! once the leaf's process turns out to have ended.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::time::Duration;

use cloverrack::clock::unix_ms;
use cloverrack::fact::Fact;
use cloverrack::gateway::{Change, Content, ContentVerdict, LeafRecord};
use gateway::{Leaf, LeafBehaviour, TestGateway, apply_change, order, publish_service};
use http::{Method, StatusCode, Uri};

const CALLER: [u8; 4] = [127, 0, 0, 1];

/// Guards against crashes that are forgotten because the leaf refused no connection.
#[tokio::test]
async fn a_run_without_an_answer_counts_once_its_leaf_has_ended() {
    for behaviour in [
        LeafBehaviour::Break,
        LeafBehaviour::Hang,
        LeafBehaviour::CutOff,
    ] {
        for is_replaced in [false, true] {
            let test_gateway = TestGateway::spawn().await;
            let leaf = Leaf::spawn("leaf", 1, behaviour).await;
            publish_service(&test_gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
            let mut order = order("same");
            order
                .headers_mut()
                .insert("x-time-left", "200".parse().unwrap());
            test_gateway.send_from(CALLER, order).await;
            assert!(
                test_gateway.engine.take_evidence().is_empty(),
                "{behaviour:?}"
            );
            let change = if is_replaced {
                Change::Leaf(LeafRecord {
                    id: "successor".into(),
                    started_unix_ms: 2,
                    ..leaf.record("s")
                })
            } else {
                Change::LeafRemoved("leaf".into())
            };
            apply_change(&test_gateway, change, 2);
            let evidence = test_gateway.engine.take_evidence();
            assert!(
                matches!(&evidence[..], [Fact::CrashedAttempt(crashed)] if crashed.leaves.len() == 1),
                "{behaviour:?}, is_replaced={is_replaced}: {evidence:?}"
            );
        }
    }
}

/// Guards against evidence from leaves that answered later or may have ended before.
#[tokio::test]
async fn a_run_at_a_leaf_that_lives_or_had_ended_does_not_count() {
    for answers_later in [true, false] {
        let test_gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Break).await;
        publish_service(&test_gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
        test_gateway.send_from(CALLER, order("first")).await;
        if answers_later {
            leaf.set(LeafBehaviour::Answer);
        }
        test_gateway.send_from(CALLER, order("second")).await;
        apply_change(&test_gateway, Change::LeafRemoved("leaf".into()), 2);
        let evidence = test_gateway.engine.take_evidence();
        let expected = usize::from(!answers_later);
        assert_eq!(evidence.len(), expected, "{evidence:?}");
    }
}

/// Guards against taking a host that is back after a loss of power for a leaf that lived.
#[tokio::test]
async fn a_late_close_does_not_show_that_the_leaf_lived() {
    for (behaviour, lived) in [(LeafBehaviour::Hang, false), (LeafBehaviour::Crash, true)] {
        let test_gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Answer).await;
        publish_service(&test_gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
        test_gateway.send_from(CALLER, order("healthy")).await;
        leaf.set(behaviour);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let sent_unix_ms = unix_ms();
        let sending = test_gateway.send_from(CALLER, order("same"));
        let ending = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            leaf.end();
        };
        tokio::join!(sending, ending);
        let evidence = test_gateway.engine.take_evidence();
        let [Fact::CrashedAttempt(crashed)] = &evidence[..] else {
            panic!("{behaviour:?}: {evidence:?}");
        };
        let is_alive = crashed.alive_unix_ms >= sent_unix_ms;
        assert_eq!(is_alive, lived, "{behaviour:?}: {crashed:?}");
    }
}

/// Guards against taking a leaf that closes connections and never answered this VM for alive.
#[tokio::test]
async fn a_close_by_an_unknown_leaf_does_not_show_that_it_lived() {
    for has_answered in [false, true] {
        let test_gateway = TestGateway::spawn().await;
        let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Answer).await;
        publish_service(&test_gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
        if has_answered {
            test_gateway.send_from(CALLER, order("healthy")).await;
        }
        leaf.set(LeafBehaviour::Break);
        let sent_unix_ms = unix_ms();
        test_gateway.send_from(CALLER, order("same")).await;
        apply_change(&test_gateway, Change::LeafRemoved("leaf".into()), 2);
        let evidence = test_gateway.engine.take_evidence();
        let [Fact::CrashedAttempt(crashed)] = &evidence[..] else {
            panic!("{evidence:?}");
        };
        let is_alive = crashed.alive_unix_ms >= sent_unix_ms;
        assert_eq!(is_alive, has_answered, "{crashed:?}");
    }
}

/// Guards against suspecting healthy content since the end of a leaf is found after a success.
#[tokio::test]
async fn evidence_that_is_older_than_a_success_is_discarded() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("leaf", 1, LeafBehaviour::Break).await;
    publish_service(&test_gateway, "/o/", false, 1, std::slice::from_ref(&leaf));
    test_gateway.send_from(CALLER, order("same")).await;
    let replica = Leaf::spawn("replica", 1, LeafBehaviour::Answer).await;
    apply_change(&test_gateway, Change::Leaf(replica.record("s")), 2);
    let reply = test_gateway.send_from(CALLER, order("same")).await;
    assert_eq!(reply.status, StatusCode::OK);
    apply_change(&test_gateway, Change::LeafRemoved("leaf".into()), 3);
    let evidence = test_gateway.engine.take_evidence();
    assert!(
        matches!(
            evidence[..],
            [Fact::ContentSuccess(_), Fact::CrashedAttempt(_)]
        ),
        "{evidence:?}"
    );
    let uri = Uri::from_static("/o/order");
    let content = Content::new("desk.example", &Method::POST, &uri, b"same", CALLER.into());
    assert_eq!(
        test_gateway.engine.content_verdict(&content),
        ContentVerdict::Unsuspected
    );
}
