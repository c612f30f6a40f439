//! Requests through the gateway: routing, scatter-gather, retries and connection limits.
//!
//! The leaves hang, refuse, fail or send invalid replies, which callers must not notice as long as
//! the request can be retried on another replica.

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use cloverrack::gateway::RetryBudgetLimits;
use gateway::{
    Leaf, LeafBehaviour, TARGET_LATENCY_MS, TestGateway, engine, gather_route, request,
    single_route,
};
use http::StatusCode;

/// Guards against a 404 from a VM that has no configuration yet. It can't know whether a route
/// exists, so it has to reply "not run" with a time to retry; the caller would not retry a 404.
#[tokio::test]
async fn without_a_configuration_a_request_is_not_run() {
    let test_gateway = TestGateway::spawn().await;
    let reply = test_gateway.get("/a/x").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    test_gateway.publish(1, vec![], &[]);
    assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::NOT_FOUND);
}

/// Guards against merged records that are out of order, against shards whose signatures are missing
/// from the reply, and against a wrong count of missing shards.
#[tokio::test]
async fn the_greatest_records_of_all_shards_are_merged() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let two = Leaf::spawn("two", 9, LeafBehaviour::Answer).await;
    let three = Leaf::spawn("three", 4, LeafBehaviour::Answer).await;
    let four = Leaf::spawn("four", 6, LeafBehaviour::Answer).await;
    let leaves = [("s1", &one), ("s2", &two), ("s3", &three), ("s4", &four)];
    test_gateway.publish(
        1,
        vec![gather_route("/g/", &["s1", "s2", "s3", "s4"], 700_000)],
        &leaves,
    );
    let reply = test_gateway.get("/g/x").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(&reply.body[..], &[[9; 16], [6; 16], [4; 16]].concat()[..]);
    assert_eq!(reply.headers["x-missing"], "0");
    let parts = reply.headers["x-parts"].to_str().unwrap();
    assert_eq!(parts, "signed-one, signed-two, signed-three, signed-four");
}

/// Guards against an answer that waits for a silent shard past the target latency, and against a
/// partial answer that doesn't list its missing shards.
///
/// The answer has to arrive before that of a leaf which takes nearly the target latency and was
/// called at the same time. Both are delayed equally if the machine stalls this process.
#[tokio::test]
async fn a_silent_shard_is_left_out_before_the_target() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let two = Leaf::spawn("two", 9, LeafBehaviour::Hang).await;
    let three = Leaf::spawn("three", 4, LeafBehaviour::Answer).await;
    let timer = Leaf::spawn("timer", 1, LeafBehaviour::Slow(TARGET_LATENCY_MS - 2)).await;
    let leaves = [("s1", &one), ("s2", &two), ("s3", &three), ("t", &timer)];
    let routes = vec![
        gather_route("/g/", &["s1", "s2", "s3"], 600_000),
        single_route("/t/", "t", true, 1),
    ];
    test_gateway.publish(1, routes, &leaves);
    let reply = tokio::select! {
        biased;
        reply = test_gateway.get("/g/x") => reply,
        timed = test_gateway.get("/t/x") => panic!("timer leaf replied first: {}", timed.status),
    };
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["x-missing"], "1");
    assert_eq!(reply.headers["x-parts"], "signed-one, signed-three");
}

/// Guards against a request that waits for its deadline although too few shards can still answer.
/// One of two shards breaks its connections here, and the route needs both.
#[tokio::test]
async fn too_few_shards_fail_at_once() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let two = Leaf::spawn("two", 9, LeafBehaviour::Break).await;
    let leaves = [("s1", &one), ("s2", &two)];
    test_gateway.publish(
        1,
        vec![gather_route("/g/", &["s1", "s2"], 1_000_000)],
        &leaves,
    );
    let started = Instant::now();
    let reply = test_gateway.get("/g/x").await;
    assert_eq!(
        reply.status,
        StatusCode::BAD_GATEWAY,
        "a leaf has run the request"
    );
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against invalid replies reaching a caller while a healthy replica can answer. A leaf may
/// reply to another request, leave out the signature, close the connection, refuse, be another leaf
/// at the same address, or fail.
#[tokio::test]
async fn an_invalid_answer_is_retried_on_a_replica() {
    for behaviour in [
        LeafBehaviour::WrongRequestId,
        LeafBehaviour::Unsigned,
        LeafBehaviour::Break,
        LeafBehaviour::Refuse,
        LeafBehaviour::Misdirected,
        LeafBehaviour::Fail,
    ] {
        let test_gateway = TestGateway::spawn().await;
        let bad = Leaf::spawn("bad", 1, behaviour).await;
        let sound = Leaf::spawn("sound", 2, LeafBehaviour::Answer).await;
        test_gateway.publish(
            1,
            vec![single_route("/a/", "s", true, 2)],
            &[("s", &bad), ("s", &sound)],
        );
        // Earns the budget for four extra calls, at 0.18 per request.
        bad.set(LeafBehaviour::Answer);
        for _ in 0..30 {
            test_gateway.get("/a/x").await;
        }
        bad.set(behaviour);
        for _ in 0..4 {
            let reply = test_gateway.get("/a/x").await;
            assert_eq!(reply.status, StatusCode::OK, "{behaviour:?}");
            assert!(reply.headers.contains_key("x-signature"), "{behaviour:?}");
        }
    }
}

/// Guards against a second execution of a request that isn't idempotent, and against a "not run"
/// reply for one that a leaf may have run. The leaves close the connection after the execution, so
/// the gateway can't tell whether the request ran.
#[tokio::test]
async fn non_idempotent_requests_are_not_retried() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Break).await;
    let two = Leaf::spawn("two", 2, LeafBehaviour::Break).await;
    test_gateway.publish(
        1,
        vec![single_route("/o/", "s", false, 3)],
        &[("s", &one), ("s", &two)],
    );
    for asked in 1..=5 {
        let reply = test_gateway.get("/o/x").await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        assert_eq!(
            one.executed() + two.executed(),
            asked,
            "one execution per request"
        );
    }
}

/// Guards against a request that every leaf refuses being reported as possibly run, and against
/// retries that go on after the maximum number of attempts. Such a request may be retried safely by
/// its caller.
#[tokio::test]
async fn a_request_that_all_leaves_refuse_is_not_run() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Refuse).await;
    let two = Leaf::spawn("two", 2, LeafBehaviour::Refuse).await;
    test_gateway.publish(
        1,
        vec![single_route("/o/", "s", false, 2)],
        &[("s", &one), ("s", &two)],
    );
    let started = Instant::now();
    let reply = test_gateway.get("/o/x").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(one.executed() + two.executed(), 0);
}

/// Guards against more attempts than the route allows when a leaf fails and the retry budget would
/// permit another call.
#[tokio::test]
async fn a_route_with_one_attempt_gets_one() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let two = Leaf::spawn("two", 2, LeafBehaviour::Answer).await;
    test_gateway.publish(
        1,
        vec![single_route("/a/", "s", true, 1)],
        &[("s", &one), ("s", &two)],
    );
    for _ in 0..10 {
        test_gateway.get("/a/x").await;
    }
    one.set(LeafBehaviour::Fail);
    two.set(LeafBehaviour::Fail);
    let before = one.executed() + two.executed();
    let reply = test_gateway.get("/a/x").await;
    assert_eq!(
        reply.status,
        StatusCode::INTERNAL_SERVER_ERROR,
        "the leaf's own error is relayed"
    );
    assert_eq!(one.executed() + two.executed(), before + 1);
}

/// Guards against calls and connections to leaves that stay open after the caller has disconnected,
/// which happens if the request's task outlives the caller's connection.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_calls() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("one", 1, LeafBehaviour::Hang).await;
    test_gateway.publish(1, vec![single_route("/a/", "s", true, 1)], &[("s", &leaf)]);
    let mut connection = cloverrack::gateway::Connection::open(test_gateway.address)
        .await
        .unwrap();
    let asking = tokio::time::timeout(
        Duration::from_millis(200),
        connection.exchange(request("/a/x")),
    );
    assert!(asking.await.is_err(), "the leaf hangs");
    drop(connection);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let state = test_gateway.engine.state();
    let open: usize = state
        .leaves
        .iter()
        .map(|(_, leaf)| leaf.leaf_stats.open_calls())
        .sum();
    let connections: u32 = state.leaves.iter().map(|(_, leaf)| leaf.connections).sum();
    assert_eq!((open, connections), (0, 0));
}

/// Guards against more connections to a leaf than the VM's share, which a burst of concurrent
/// requests would open if each call without an idle connection opened a new one.
#[tokio::test]
async fn connections_stay_within_the_share() {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("one", 1, LeafBehaviour::Slow(30)).await;
    test_gateway.publish(1, vec![single_route("/a/", "s", true, 1)], &[("s", &leaf)]);
    test_gateway.engine.set_vms(7);
    let asked = (0..40).map(|_| test_gateway.get("/a/x"));
    let replies = futures_util::future::join_all(asked);
    let watching = async {
        let mut max_connections = 0;
        for _ in 0..60 {
            let connections = test_gateway
                .engine
                .state()
                .leaves
                .iter()
                .map(|(_, l)| l.connections)
                .sum();
            max_connections = max_connections.max(connections);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        max_connections
    };
    let (replies, max_connections): (Vec<_>, u32) = tokio::join!(replies, watching);
    assert!(replies.iter().all(|reply| reply.status == StatusCode::OK));
    assert!(
        max_connections <= 4,
        "{max_connections} connections, the share is 4"
    );
}

/// Guards against a reusable connection being closed because the retry budget denies an extra call.
/// A call that is opened and then dropped closes its connection, so the budget has to be checked
/// before a leaf is chosen.
#[tokio::test]
async fn a_denied_extra_call_keeps_the_replicas_connection() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    let two = Leaf::spawn("two", 2, LeafBehaviour::Answer).await;
    test_gateway.publish(
        1,
        vec![single_route("/a/", "s", true, 2)],
        &[("s", &one), ("s", &two)],
    );
    let idle = || {
        let state = test_gateway.engine.state();
        let idle: Vec<usize> = state
            .leaves
            .iter()
            .map(|(_, leaf)| leaf.idle.len())
            .collect();
        idle.iter().sum::<usize>()
    };
    // Two concurrent requests give each leaf a connection; they earn at most one extra call.
    tokio::join!(test_gateway.get("/a/x"), test_gateway.get("/a/x"));
    let before = idle();
    assert!(
        before >= 2,
        "{before} idle connections, expected at least 2"
    );
    one.set(LeafBehaviour::Refuse);
    two.set(LeafBehaviour::Refuse);
    for _ in 0..3 {
        let reply = test_gateway.get("/a/x").await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(idle(), before, "a refusal keeps the connection open");
    }
}

/// Guards against requests that wait behind queues which are already too long, and against a
/// refusal without a retry time or whose request a leaf runs anyway. Slow leaf calls make the
/// gateway treat the service as overloaded.
#[tokio::test]
async fn callers_are_refused_at_once_while_queues_are_too_long() {
    let test_gateway = TestGateway::spawn().await;
    let one = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    test_gateway.publish(
        1,
        vec![gather_route("/g/", &["s1"], 1_000_000)],
        &[("s1", &one)],
    );
    for _ in 0..10 {
        assert_eq!(test_gateway.get("/g/x").await.status, StatusCode::OK);
    }
    // Simulates queueing: 200 ms is twice the acceptable latency, which is a third of the target.
    one.set(LeafBehaviour::Slow(200));
    for _ in 0..4 {
        let asked = (0..8).map(|_| test_gateway.get("/g/x"));
        futures_util::future::join_all(asked).await;
    }
    let before = one.executed();
    let asked = (0..20).map(|_| async {
        let started = Instant::now();
        (test_gateway.get("/g/x").await, started.elapsed())
    });
    let replies = futures_util::future::join_all(asked).await;
    let refused: Vec<_> = replies
        .iter()
        .filter(|(reply, _)| reply.status == StatusCode::SERVICE_UNAVAILABLE)
        .collect();
    assert!(refused.len() >= 5, "{} of 20 refused", refused.len());
    assert_eq!(
        one.executed() - before,
        20 - refused.len(),
        "a refused request was executed"
    );
    for (reply, elapsed) in refused {
        assert!(*elapsed < Duration::from_millis(200), "{elapsed:?}");
        let seconds: f64 = reply.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (0.2..=0.7).contains(&seconds),
            "retry after {seconds} s, with 2 s left"
        );
    }
}

/// Shards of two leaves each, every second one a replica, behind a VM whose retry budgets hold one call for
/// each shard and earn hardly any by time.
struct Replicas {
    test_gateway: TestGateway,
    leaves: Vec<Leaf>,
}

impl Replicas {
    async fn spawn() -> Self {
        const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
        let engine = engine();
        engine.set_retry_budget_limits(RetryBudgetLimits {
            ratio_ppm: 200_000,
            slack_calls: 1,
            window_ms: 10_000,
        });
        let test_gateway = TestGateway::serve(engine).await;
        let mut leaves = Vec::new();
        let mut services = Vec::new();
        for shard in SHARDS {
            for replica in ["a", "b"] {
                let id = format!("{shard}-{replica}");
                leaves.push(Leaf::spawn(&id, 1, LeafBehaviour::Answer).await);
                services.push(shard);
            }
        }
        let listed = services.into_iter().zip(&leaves).collect::<Vec<_>>();
        test_gateway.publish(1, vec![gather_route("/g/", &SHARDS, 1_000_000)], &listed);
        // Earns one extra call for each shard, at 0.17 per request.
        for _ in 0..12 {
            test_gateway.get("/g/x").await;
        }
        Self {
            test_gateway,
            leaves,
        }
    }

    /// Lets the leaves of some shards behave in a way and those of the others answer.
    fn set(&self, shards: std::ops::Range<usize>, behaviour: LeafBehaviour) {
        for (index, leaf) in self.leaves.iter().enumerate() {
            let is_set = shards.contains(&(index / 2));
            leaf.set(if is_set {
                behaviour
            } else {
                LeafBehaviour::Answer
            });
        }
    }

    /// Lets the leaves of some shards fail and those of the others answer.
    fn fail(&self, shards: std::ops::Range<usize>) {
        self.set(shards, LeafBehaviour::Fail);
    }

    /// Sends a request, and returns its status and the number of calls to each shard.
    async fn send(&self) -> (StatusCode, Vec<usize>) {
        let executed = |pair: &[Leaf]| pair.iter().map(Leaf::executed).sum::<usize>();
        let before: Vec<usize> = self.leaves.chunks(2).map(executed).collect();
        let reply = self.test_gateway.get("/g/x").await;
        let after = self.leaves.chunks(2).map(executed);
        let calls = after.zip(before).map(|(after, before)| after - before);
        (reply.status, calls.collect())
    }
}

/// Guards against one retry budget for all shards of a route: each shard is a service of its own, and the
/// extra calls that several shards need at the same moment must not compete.
#[tokio::test]
async fn each_shard_has_a_retry_budget_of_its_own() {
    let replicas = Replicas::spawn().await;
    replicas.fail(0..3);
    let (status, calls) = replicas.send().await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(calls, [2, 2, 2, 1], "each failed shard gets an extra call");
}

/// Guards against scarce extra calls being spent on a request that fails anyway. A request that
/// lost more shards than the budgets can replace must leave their extra calls to requests that need
/// fewer.
#[tokio::test]
async fn a_request_that_lost_too_many_shards_spends_no_extra_call() {
    let replicas = Replicas::spawn().await;
    replicas.fail(0..1);
    let (_, calls) = replicas.send().await;
    assert_eq!(calls, [2, 1, 1, 1], "one failed shard gets an extra call");
    replicas.fail(0..3);
    let (status, calls) = replicas.send().await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(
        calls,
        [1, 1, 1, 1],
        "the first shard has no extra call left"
    );
    replicas.fail(1..2);
    let (_, calls) = replicas.send().await;
    assert_eq!(
        calls,
        [1, 2, 1, 1],
        "the extra call is still available to the next request"
    );
}

/// Guards against a request that crashes its leaves being sent to another leaf of each shard, since each shard
/// has budget for it. A crashed leaf whose address resets connections looks like one that lost its answer.
#[tokio::test]
async fn a_request_that_no_shard_answers_is_not_sent_on() {
    let replicas = Replicas::spawn().await;
    replicas.set(0..4, LeafBehaviour::Break);
    let (status, calls) = replicas.send().await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(calls.iter().max(), Some(&1), "{calls:?}");
    let replicas = Replicas::spawn().await;
    replicas.set(0..3, LeafBehaviour::Break);
    let (_, calls) = replicas.send().await;
    assert_eq!(calls, [2, 2, 2, 1], "lost answers are asked for again");
}
