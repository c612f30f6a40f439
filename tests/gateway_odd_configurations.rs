//! Configurations of valid but odd numbers: each request is answered, also by the next configuration.
//!
//! Overflow panics in this build and wraps around in a release build, and either is a fault.

#![expect(
    clippy::unwrap_used,
    reason = "a failure of the test harness fails the test"
)]

#[path = "support/gateway.rs"]
mod gateway;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverrack::ServiceKey;
use cloverrack::gateway::{
    CallerLimits, Change, ChangeSet, Connection, Destination, Reply, RouteDocument, RouteSpec,
    RouteTable, ServiceNames, ServiceSpec,
};
use gateway::{Leaf, LeafBehaviour, TestGateway, gather_route, request, single_route};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

/// Time within which each request has to be answered; their deadline is 2 s at most.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Range of the times that stand for very long ones.
const LONG_MS: std::ops::RangeInclusive<u64> = 3_600_000..=366 * 86_400_000;

/// Numbers at the edges of the ranges, and where a conversion to microseconds overflows.
const ODD_TIMES_MS: [u64; 6] = [
    0,
    1,
    u64::MAX / 1_000 - 1,
    u64::MAX / 1_000 + 1,
    u64::MAX / 55,
    u64::MAX,
];

/// Sends a request, which has to be answered in time over an intact connection.
async fn send(gateway: &TestGateway, request: Request<Full<Bytes>>) -> Reply {
    let exchange = async {
        let mut connection = Connection::open(gateway.address).await.unwrap();
        connection.exchange(request).await.unwrap()
    };
    timeout(ANSWER_LIMIT, exchange).await.unwrap()
}

/// Publishes a configuration of one version.
fn publish(gateway: &TestGateway, version: u64, routes: Vec<RouteSpec>, max_connections: u32) {
    let service = ServiceSpec {
        name: "s".into(),
        max_connections,
        health_path: "no path\u{0}".into(),
    };
    let document = RouteDocument {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![service.clone(), service],
        limits: CallerLimits {
            max_body_bytes: u64::MAX,
            idle_timeout_ms: u64::MAX,
        },
    };
    let change_set = ChangeSet {
        changes: vec![Change::Document(document)],
        epoch: 0,
        revision: version,
    };
    gateway.engine.state().catalog.apply(change_set, 0);
    gateway.engine.refresh();
}

fn odd_routes() -> Vec<RouteSpec> {
    let mut routes = Vec::new();
    let base = single_route("/a/", "s", true, 2);
    for timeout_ms in ODD_TIMES_MS {
        for target_latency_ms in ODD_TIMES_MS {
            let single = RouteSpec {
                timeout_ms,
                target_latency_ms,
                ..base.clone()
            };
            let gather = gather_route("/a/", &["s"], 1_000_000);
            routes.push(RouteSpec {
                timeout_ms,
                target_latency_ms,
                ..gather
            });
            routes.push(single);
        }
    }
    for (max_attempts, priority) in [(0, 0), (u32::MAX, u32::MAX)] {
        routes.push(RouteSpec {
            max_attempts,
            priority,
            ..base.clone()
        });
        let gather = gather_route("/a/", &["s", "s"], u32::MAX);
        routes.push(RouteSpec {
            max_attempts,
            priority,
            ..gather
        });
    }
    let shards = |services: Vec<Box<str>>, top_records, min_coverage_ppm| Destination::Shards {
        services,
        top_records,
        min_coverage_ppm,
    };
    for destination in [
        shards(vec![], 0, 0),
        shards(vec![], u32::MAX, u32::MAX),
        shards(vec!["s".into(); 300], 0, 0),
        shards(vec!["s".into(), "absent".into()], u32::MAX, 500_000),
        Destination::Weighted(vec![]),
        Destination::Weighted(vec![("s".into(), 0), ("s".into(), 0)]),
        Destination::Weighted(vec![("s".into(), u32::MAX); 3]),
        Destination::Service("".into()),
    ] {
        routes.push(RouteSpec {
            destination,
            ..base.clone()
        });
    }
    routes
}

/// Guards against configurations of valid but odd numbers that end requests without an answer, or
/// that affect those of the next configuration.
#[tokio::test]
async fn odd_configurations_are_answered() {
    let gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("one", 1, LeafBehaviour::Answer).await;
    gateway.publish(1, vec![], &[("s", &leaf)]);
    let mut version = 1;
    for route in odd_routes() {
        for max_connections in [0, u32::MAX] {
            version += 1;
            publish(
                &gateway,
                version,
                vec![route.clone(), route.clone()],
                max_connections,
            );
            let reply = send(&gateway, request("/a/x")).await;
            let is_short = route.timeout_ms < 100;
            assert!(
                reply.status == StatusCode::OK
                    || is_short
                    || !matches!(route.destination, Destination::Service(ref name) if &**name == "s"),
                "{route:?}: {}",
                reply.status
            );
            let mut unlimited = request("/a/x");
            unlimited.headers_mut().remove("x-time-left");
            send(&gateway, unlimited).await;
        }
    }
    publish(
        &gateway,
        version + 1,
        vec![single_route("/a/", "s", true, 2)],
        31,
    );
    assert_eq!(send(&gateway, request("/a/x")).await.status, StatusCode::OK);
}

/// Guards against times of a configuration that overflow when they are converted to microseconds: they
/// would be in force as very short ones.
#[test]
fn long_times_of_a_configuration_stay_long() {
    for time_ms in ODD_TIMES_MS.into_iter().filter(|time_ms| *time_ms > 1) {
        let route = RouteSpec {
            timeout_ms: time_ms,
            target_latency_ms: time_ms,
            ..single_route("/a/", "s", true, 2)
        };
        let document = RouteDocument {
            version: 1,
            routes: vec![route.into()],
            services: vec![],
            limits: CallerLimits {
                max_body_bytes: 0,
                idle_timeout_ms: 0,
            },
        };
        let table = RouteTable::compile(document, &mut ServiceNames::default());
        let spec = &table.find("desk.example", "/a/x").unwrap().spec;
        for time_ms in [spec.timeout_ms, spec.target_latency_ms] {
            assert!(LONG_MS.contains(&time_ms), "{time_ms}");
        }
        assert_eq!(table.max_connections(ServiceKey::new(0)), None);
    }
}
