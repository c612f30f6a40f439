//! Requests through the gateway to leaves that fail in every way that callers must not see.

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use gateway::{Conduct, Leaf, Served, TARGET_LATENCY_MS, gather, request, single};
use http::StatusCode;

/// Guards against a 404 of a VM that knows no configuration yet: it has to say "not run".
#[tokio::test]
async fn without_a_configuration_a_request_is_not_run() {
    let served = Served::spawn().await;
    let reply = served.ask("/a/x").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    served.publish(1, vec![], &[]);
    assert_eq!(served.ask("/a/x").await.status, StatusCode::NOT_FOUND);
}

/// Guards against records out of order, against parts that are not named, and against a wrong count
/// of missing parts.
#[tokio::test]
async fn the_greatest_records_of_all_shards_are_merged() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    let two = Leaf::spawn("two", 9, Conduct::Answer).await;
    let three = Leaf::spawn("three", 4, Conduct::Answer).await;
    let four = Leaf::spawn("four", 6, Conduct::Answer).await;
    let leaves = [("s1", &one), ("s2", &two), ("s3", &three), ("s4", &four)];
    served.publish(
        1,
        vec![gather("/g/", &["s1", "s2", "s3", "s4"], 700_000)],
        &leaves,
    );
    let reply = served.ask("/g/x").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(&reply.body[..], &[[9; 16], [6; 16], [4; 16]].concat()[..]);
    assert_eq!(reply.headers["x-missing"], "0");
    let parts = reply.headers["x-parts"].to_str().unwrap();
    assert_eq!(parts, "signed-one, signed-two, signed-three, signed-four");
}

/// Guards against an answer that waits for a silent shard past its target, and against one that does
/// not say what it lacks.
///
/// The answer has to arrive before that of a leaf which takes nearly the target latency and was asked
/// at the same time. Both are late if the machine holds this process up.
#[tokio::test]
async fn a_silent_shard_is_left_out_before_the_target() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    let two = Leaf::spawn("two", 9, Conduct::Hang).await;
    let three = Leaf::spawn("three", 4, Conduct::Answer).await;
    let timer = Leaf::spawn("timer", 1, Conduct::Slow(TARGET_LATENCY_MS - 2)).await;
    let leaves = [("s1", &one), ("s2", &two), ("s3", &three), ("t", &timer)];
    let routes = vec![
        gather("/g/", &["s1", "s2", "s3"], 600_000),
        single("/t/", "t", true, 1),
    ];
    served.publish(1, routes, &leaves);
    let reply = tokio::select! {
        biased;
        reply = served.ask("/g/x") => reply,
        timed = served.ask("/t/x") => panic!("target passed, {}", timed.status),
    };
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["x-missing"], "1");
    assert_eq!(reply.headers["x-parts"], "signed-one, signed-three");
}

/// Guards against a request that waits for its end although too few shards can answer.
#[tokio::test]
async fn too_few_shards_fail_at_once() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    let two = Leaf::spawn("two", 9, Conduct::Break).await;
    let leaves = [("s1", &one), ("s2", &two)];
    served.publish(1, vec![gather("/g/", &["s1", "s2"], 1_000_000)], &leaves);
    let started = Instant::now();
    let reply = served.ask("/g/x").await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "a leaf has run it");
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against answers that reach a caller although they are another request's, unsigned or
/// broken off, while a sound replica has the answer.
#[tokio::test]
async fn a_spoilt_answer_is_replaced_by_a_replicas() {
    for conduct in [
        Conduct::Foreign,
        Conduct::Unsigned,
        Conduct::Break,
        Conduct::Refuse,
        Conduct::OtherLeaf,
        Conduct::Fail,
    ] {
        let served = Served::spawn().await;
        let bad = Leaf::spawn("bad", 1, conduct).await;
        let sound = Leaf::spawn("sound", 2, Conduct::Answer).await;
        served.publish(
            1,
            vec![single("/a/", "s", true, 2)],
            &[("s", &bad), ("s", &sound)],
        );
        // Earns the budget of four extra calls, at 0.18 a request.
        bad.set(Conduct::Answer);
        for _ in 0..30 {
            served.ask("/a/x").await;
        }
        bad.set(conduct);
        for _ in 0..4 {
            let reply = served.ask("/a/x").await;
            assert_eq!(reply.status, StatusCode::OK, "{conduct:?}");
            assert!(reply.headers.contains_key("x-signature"), "{conduct:?}");
        }
    }
}

/// Guards against a second run of a request that may run once, and against "not run" of one that may
/// have run.
#[tokio::test]
async fn what_may_run_once_is_not_sent_again() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Break).await;
    let two = Leaf::spawn("two", 2, Conduct::Break).await;
    served.publish(
        1,
        vec![single("/o/", "s", false, 3)],
        &[("s", &one), ("s", &two)],
    );
    for asked in 1..=5 {
        let reply = served.ask("/o/x").await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        assert_eq!(one.ran() + two.ran(), asked, "one run for each request");
    }
}

/// Guards against a refusal that is not passed on as one, and against retries beyond the attempts.
#[tokio::test]
async fn a_request_that_all_leaves_refuse_is_not_run() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Refuse).await;
    let two = Leaf::spawn("two", 2, Conduct::Refuse).await;
    served.publish(
        1,
        vec![single("/o/", "s", false, 2)],
        &[("s", &one), ("s", &two)],
    );
    let started = Instant::now();
    let reply = served.ask("/o/x").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(one.ran() + two.ran(), 0);
}

/// Guards against more attempts than the route allows.
#[tokio::test]
async fn a_route_with_one_attempt_gets_one() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    let two = Leaf::spawn("two", 2, Conduct::Answer).await;
    served.publish(
        1,
        vec![single("/a/", "s", true, 1)],
        &[("s", &one), ("s", &two)],
    );
    for _ in 0..10 {
        served.ask("/a/x").await;
    }
    one.set(Conduct::Fail);
    two.set(Conduct::Fail);
    let before = one.ran() + two.ran();
    let reply = served.ask("/a/x").await;
    assert_eq!(
        reply.status,
        StatusCode::INTERNAL_SERVER_ERROR,
        "the leaf's own failure"
    );
    assert_eq!(one.ran() + two.ran(), before + 1);
}

/// Guards against work at a leaf for a caller that has left.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_calls() {
    let served = Served::spawn().await;
    let leaf = Leaf::spawn("one", 1, Conduct::Hang).await;
    served.publish(1, vec![single("/a/", "s", true, 1)], &[("s", &leaf)]);
    let mut connection = cloverrack::gateway::Connection::open(served.address)
        .await
        .unwrap();
    let asking = tokio::time::timeout(
        Duration::from_millis(200),
        connection.exchange(request("/a/x")),
    );
    assert!(asking.await.is_err(), "the leaf hangs");
    drop(connection);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let state = served.engine.state();
    let open: usize = state
        .leaves
        .iter()
        .map(|(_, leaf)| leaf.pace.open_calls())
        .sum();
    let connections: u32 = state.leaves.iter().map(|(_, leaf)| leaf.connections).sum();
    assert_eq!((open, connections), (0, 0));
}

/// Guards against more connections to a leaf than the VM's share.
#[tokio::test]
async fn connections_stay_within_the_share() {
    let served = Served::spawn().await;
    let leaf = Leaf::spawn("one", 1, Conduct::Slow(30)).await;
    served.publish(1, vec![single("/a/", "s", true, 1)], &[("s", &leaf)]);
    served.engine.set_vms(7);
    let asked = (0..40).map(|_| served.ask("/a/x"));
    let replies = futures_util::future::join_all(asked);
    let watching = async {
        let mut most = 0;
        for _ in 0..60 {
            let connections = served
                .engine
                .state()
                .leaves
                .iter()
                .map(|(_, l)| l.connections)
                .sum();
            most = most.max(connections);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        most
    };
    let (replies, most): (Vec<_>, u32) = tokio::join!(replies, watching);
    assert!(replies.iter().all(|reply| reply.status == StatusCode::OK));
    assert!(most <= 4, "{most} connections of a share of 4");
}

/// Guards against an open connection that is given up because no extra call is allowed.
#[tokio::test]
async fn a_denied_extra_call_keeps_the_replicas_connection() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    let two = Leaf::spawn("two", 2, Conduct::Answer).await;
    served.publish(
        1,
        vec![single("/a/", "s", true, 2)],
        &[("s", &one), ("s", &two)],
    );
    let idle = || {
        let state = served.engine.state();
        let idle: Vec<usize> = state
            .leaves
            .iter()
            .map(|(_, leaf)| leaf.idle.len())
            .collect();
        idle.iter().sum::<usize>()
    };
    // Two at a time, so that both leaves get a connection; no extra call is earned beyond one.
    tokio::join!(served.ask("/a/x"), served.ask("/a/x"));
    let before = idle();
    assert!(before >= 2, "{before} idle connections");
    one.set(Conduct::Refuse);
    two.set(Conduct::Refuse);
    for _ in 0..3 {
        let reply = served.ask("/a/x").await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(idle(), before, "a refusal keeps its connection");
    }
}

/// Guards against callers that wait behind queues which are too long already, and against a refusal
/// that does not say when to come back or that a leaf runs all the same.
#[tokio::test]
async fn callers_are_refused_at_once_while_queues_are_too_long() {
    let served = Served::spawn().await;
    let one = Leaf::spawn("one", 1, Conduct::Answer).await;
    served.publish(1, vec![gather("/g/", &["s1"], 1_000_000)], &[("s1", &one)]);
    for _ in 0..10 {
        assert_eq!(served.ask("/g/x").await.status, StatusCode::OK);
    }
    // As if each call waited behind others: twice the third of the target that is bearable.
    one.set(Conduct::Slow(200));
    for _ in 0..4 {
        let asked = (0..8).map(|_| served.ask("/g/x"));
        futures_util::future::join_all(asked).await;
    }
    let before = one.ran();
    let asked = (0..20).map(|_| async {
        let started = Instant::now();
        (served.ask("/g/x").await, started.elapsed())
    });
    let replies = futures_util::future::join_all(asked).await;
    let refused: Vec<_> = replies
        .iter()
        .filter(|(reply, _)| reply.status == StatusCode::SERVICE_UNAVAILABLE)
        .collect();
    assert!(refused.len() >= 5, "{} of 20 refused", refused.len());
    assert_eq!(one.ran() - before, 20 - refused.len(), "a refused one ran");
    for (reply, elapsed) in refused {
        assert!(*elapsed < Duration::from_millis(200), "{elapsed:?}");
        let seconds: f64 = reply.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((0.2..=0.7).contains(&seconds), "{seconds} of 2 s");
    }
}

/// Guards against scarce extra calls that are spent on a request which fails all the same.
#[tokio::test]
async fn a_request_that_lost_too_many_shards_spends_no_extra_call() {
    const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
    let served = Served::spawn().await;
    let mut leaves = Vec::new();
    for shard in SHARDS {
        for replica in ["a", "b"] {
            let id = format!("{shard}-{replica}");
            leaves.push((shard, Leaf::spawn(&id, 1, Conduct::Answer).await));
        }
    }
    let listed: Vec<(&str, &Leaf)> = leaves.iter().map(|(shard, leaf)| (*shard, leaf)).collect();
    served.publish(1, vec![gather("/g/", &SHARDS, 1_000_000)], &listed);
    // Earns two extra calls, at 0.18 a request.
    for _ in 0..12 {
        served.ask("/g/x").await;
    }
    let ran = |failing: usize| {
        let failing = leaves.iter().take(2 * failing);
        failing.map(|(_, leaf)| leaf.ran()).sum::<usize>()
    };
    let fail = |shards: usize| {
        for (_, leaf) in leaves.iter().take(2 * shards) {
            leaf.set(Conduct::Fail);
        }
    };
    fail(1);
    let before = ran(1);
    served.ask("/g/x").await;
    assert_eq!(ran(1) - before, 2, "one lost shard gets an extra call");
    fail(3);
    let before = ran(3);
    let reply = served.ask("/g/x").await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(ran(3) - before, 3, "three lost shards get none");
    for (_, leaf) in leaves.iter().skip(2) {
        leaf.set(Conduct::Answer);
    }
    let before = ran(1);
    served.ask("/g/x").await;
    assert_eq!(
        ran(1) - before,
        2,
        "the extra call is left for the next request"
    );
}
