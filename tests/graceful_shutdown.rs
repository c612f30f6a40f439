//! Graceful shutdown: a planned stop interrupts no request in flight.
//!
//! A stopping VM leaves the entry lists, closes its connections with `connection: close` or GOAWAY,
//! and finishes the requests of callers and peers.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverrack::answer::Answer;
use cloverrack::{Entries, Outcome};
use cloverrack_standins::LeafOptions;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{Cluster, ClusterSpec, eventually, exchange, request};
use tokio::net::TcpStream;

/// Number of answers that each caller receives before the stop.
const WARM_UP_ANSWERS: usize = 4;

/// Open HTTP connection of a caller.
enum Connection {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl Connection {
    async fn open(address: SocketAddr, version: u8) -> Option<Self> {
        let stream = TokioIo::new(TcpStream::connect(address).await.ok()?);
        if version == 1 {
            let (sender, connection) = http1::handshake(stream).await.ok()?;
            tokio::spawn(connection);
            return Some(Self::Http1(sender));
        }
        let executor = TokioExecutor::new();
        let (sender, connection) = http2::handshake(executor, stream).await.ok()?;
        tokio::spawn(connection);
        Some(Self::Http2(sender))
    }

    fn is_usable(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_ready(),
            Self::Http2(sender) => !sender.is_closed(),
        }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        match self {
            Self::Http1(sender) => sender.send_request(request).await,
            Self::Http2(sender) => sender.send_request(request).await,
        }
    }
}

fn query_request(address: SocketAddr, id: &str) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(&request(id)).unwrap();
    Request::post(format!("http://{address}/v1/query"))
        .header("host", address.to_string())
        .body(Full::new(body.into()))
        .unwrap()
}

/// Outcomes of the requests of one caller.
#[derive(Debug, Default)]
struct CallerReport {
    complete: usize,
    not_run: usize,
    /// Requests with a stream ID above that of a GOAWAY, which HTTP/2 defines as not processed.
    refused_by_goaway: Vec<String>,
    failures: Vec<String>,
}

/// Sends requests sequentially on a persistent connection until the address refuses connections.
async fn run_caller(
    address: SocketAddr,
    version: u8,
    name: String,
    warm_callers: Arc<AtomicUsize>,
) -> CallerReport {
    let mut report = CallerReport::default();
    let mut connection = None;
    for number in 0.. {
        if connection
            .as_ref()
            .is_none_or(|open: &Connection| !open.is_usable())
        {
            connection = Connection::open(address, version).await;
        }
        let Some(open) = &mut connection else {
            break;
        };
        let sent = open
            .send(query_request(address, &format!("{name}-{number}")))
            .await;
        let body = match sent {
            Ok(response) => response.into_body().collect().await,
            Err(error) if error.is_canceled() => {
                // The connection closed before the request was written.
                connection = None;
                continue;
            }
            Err(error) => Err(error),
        };
        match body {
            Ok(body) => match serde_json::from_slice::<Answer>(&body.to_bytes()) {
                Ok(answer) if answer.outcome == Outcome::Complete => {
                    report.complete += 1;
                    warm_callers.fetch_add(
                        usize::from(report.complete == WARM_UP_ANSWERS),
                        Ordering::SeqCst,
                    );
                }
                Ok(answer) if answer.outcome == Outcome::NotRun => report.not_run += 1,
                other => report.failures.push(format!("{other:?}")),
            },
            Err(error) if format!("{error:?}").contains("GoAway(b\"\", NO_ERROR, Remote)") => {
                report.refused_by_goaway.push(format!("{name}-{number}"));
                connection = None;
            }
            Err(error) => {
                report.failures.push(format!("{name}-{number}: {error:?}"));
                connection = None;
            }
        }
    }
    report
}

fn slow_leaf_spec(vms: usize, keep_ms: u64) -> ClusterSpec {
    let leaf = LeafOptions {
        service_us: 80_000,
        slots: 30,
        ..LeafOptions::default()
    };
    ClusterSpec {
        vms,
        leaf,
        keep_ms,
        ..ClusterSpec::default()
    }
}

async fn entries(cluster: &Cluster, vm: usize) -> Vec<SocketAddr> {
    let path = "/v1/entries?failure_domain=fd-0&caller=me";
    let caller = cluster.daemons[vm].caller_address;
    let Some((_, body)) = exchange(caller, "GET", path, Vec::new()).await else {
        return Vec::new();
    };
    serde_json::from_slice::<Entries>(&body).unwrap().addresses
}

/// Queries the entry list until an answer has a `connection` header, and returns its addresses.
async fn entries_of_first_closing_response(address: SocketAddr) -> Vec<SocketAddr> {
    loop {
        let mut open = Connection::open(address, 1).await.unwrap();
        let request = Request::get("/v1/entries").header("host", address.to_string());
        let request = request.body(Full::default()).unwrap();
        let response = open.send(request).await.unwrap();
        let is_closing = response.headers().contains_key("connection");
        let body = response.into_body().collect().await.unwrap().to_bytes();
        if is_closing {
            return serde_json::from_slice::<Entries>(&body).unwrap().addresses;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a stop that interrupts requests of HTTP/1.1 or HTTP/2 callers, or of peers that
/// use this VM as owner, and against a stopping VM that remains in the entry lists.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_interrupts_no_request() {
    let mut cluster = Cluster::start(slow_leaf_spec(3, 700)).await;
    let address = cluster.daemons[0].caller_address;
    let mut callers = Vec::new();
    let warm_callers = Arc::new(AtomicUsize::new(0));
    for number in 0..8 {
        let version = 1 + number % 2;
        let name = format!("c{number}");
        callers.push(tokio::spawn(run_caller(
            address,
            version,
            name,
            Arc::clone(&warm_callers),
        )));
    }
    let running = Arc::new(AtomicBool::new(true));
    let mut peers = Vec::new();
    for vm in 1..3 {
        let (caller, running) = (cluster.daemons[vm].caller_address, Arc::clone(&running));
        peers.push(tokio::spawn(async move {
            let mut open = Connection::open(caller, 2).await.unwrap();
            let mut outcomes = Vec::new();
            for number in 0.. {
                if !running.load(Ordering::SeqCst) {
                    break;
                }
                let response = open
                    .send(query_request(caller, &format!("p{vm}-{number}")))
                    .await;
                let body = response.unwrap().into_body().collect().await.unwrap();
                let answer: Answer = serde_json::from_slice(&body.to_bytes()).unwrap();
                outcomes.push(answer.outcome);
            }
            outcomes
        }));
    }
    eventually("all callers have received answers", async || {
        warm_callers.load(Ordering::SeqCst) == 8
    })
    .await;
    cluster.daemons[0].signal("-TERM");
    assert!(
        !entries_of_first_closing_response(address)
            .await
            .contains(&address)
    );
    eventually("the peers no longer list the VM", async || {
        let [one, two] = [entries(&cluster, 1).await, entries(&cluster, 2).await];
        !one.contains(&address) && !two.contains(&address)
    })
    .await;
    for caller in callers {
        let report = caller.await.unwrap();
        assert!(report.complete >= WARM_UP_ANSWERS, "{report:?}");
        assert_eq!(report.failures, Vec::<String>::new(), "{report:?}");
        for id in &report.refused_by_goaway {
            assert_eq!(
                cluster.executions_of(id),
                0,
                "{id} was executed without an answer"
            );
        }
        println!("{report:?}");
    }
    eventually("the daemon has exited", async || {
        cluster.daemons[0].try_exit_code() == Some(0)
    })
    .await;
    running.store(false, Ordering::SeqCst);
    for peer in peers {
        let outcomes = peer.await.unwrap();
        let incomplete = outcomes.iter().filter(|o| **o != Outcome::Complete).count();
        assert_eq!(
            incomplete,
            0,
            "incomplete answers of {} at a peer",
            outcomes.len()
        );
    }
}

/// Guards against open connections that get neither `connection: close` nor GOAWAY during the grace
/// period, so that their next request fails on a closed socket.
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_are_closed_gracefully_while_the_vm_still_serves() {
    let cluster = Cluster::start(slow_leaf_spec(1, 3_000)).await;
    let address = cluster.daemons[0].caller_address;
    let mut first = Connection::open(address, 1).await.unwrap();
    let mut second = Connection::open(address, 2).await.unwrap();
    second.send(query_request(address, "before")).await.unwrap();
    cluster.daemons[0].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let response = first.send(query_request(address, "after")).await.unwrap();
    assert_eq!(response.headers()["connection"], "close");
    assert!(!second.is_usable(), "the connection received no GOAWAY");
    let mut fresh = Connection::open(address, 2).await.unwrap();
    let body = fresh.send(query_request(address, "fresh")).await.unwrap();
    let body = body.into_body().collect().await.unwrap().to_bytes();
    let answer: Answer = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
}

/// Guards against a second signal that does not end the grace period, or that interrupts requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_the_grace_period_but_no_request() {
    let mut cluster = Cluster::start(slow_leaf_spec(1, 60_000)).await;
    for leaf in cluster.leaves.iter().flatten() {
        leaf.set(|options| options.service_us = 800_000);
    }
    let address = cluster.daemons[0].caller_address;
    let mut open = Connection::open(address, 1).await.unwrap();
    let running = tokio::spawn(async move {
        let response = open.send(query_request(address, "long")).await.unwrap();
        response.into_body().collect().await.unwrap().to_bytes()
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.daemons[0].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.daemons[0].signal("-TERM");
    let answer: Answer = serde_json::from_slice(&running.await.unwrap()).unwrap();
    assert_eq!(answer.outcome, Outcome::Complete);
    eventually("the daemon has exited", async || {
        cluster.daemons[0].try_exit_code() == Some(0)
    })
    .await;
}

/// Guards against a VM that ignores a signal during startup, and against a VM that is listed while
/// it is starting; a platform outage keeps it from becoming ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_signal_ends_a_vm_that_is_starting() {
    let mut cluster = Cluster::prepare(ClusterSpec::default()).await;
    cluster.spawn(0);
    cluster.spawn(1);
    cluster.wait_until_covered().await;
    cluster.platform.set_down(true);
    cluster.spawn(2);
    let starting = cluster.daemons[2].caller_address;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_000) {
        assert!(!entries(&cluster, 0).await.contains(&starting));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    cluster.daemons[2].signal("-TERM");
    eventually("the starting daemon has exited", async || {
        cluster.daemons[2].try_exit_code() == Some(0)
    })
    .await;
}

/// Guards against a VM that is listed before it serves callers: a leaf that accepts connections but
/// never reports its state delays readiness.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_is_not_ready_is_not_listed() {
    let mut cluster = Cluster::prepare(ClusterSpec::default()).await;
    cluster.spawn(0);
    cluster.spawn(1);
    cluster.wait_until_covered().await;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let leaf = format!(
        "[service.search.leaf]\nsilent = {{ address = \"{address}\", \
         failure_domain = \"fd-0\", target = \"t\" }}\n"
    );
    let config = cluster.config("").replace("[service.search.leaf]\n", &leaf);
    cluster.platform.put("cloverrack/config/test", config);
    cluster.spawn(2);
    let starting = cluster.daemons[2].caller_address;
    eventually("the VM is listed", async || {
        entries(&cluster, 0).await.contains(&starting)
    })
    .await;
    let start = Instant::now();
    assert!(!entries(&cluster, 2).await.is_empty());
    let waited = start.elapsed();
    assert!(
        waited < Duration::from_millis(200),
        "the listed VM answered only after {waited:?}"
    );
}

/// Guards against an owner that exits before it has finished the batches of its peers, whose calls
/// would be lost or executed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_owner_finishes_the_batches_of_its_peers() {
    let spec = ClusterSpec {
        replicas: 1,
        ..slow_leaf_spec(3, 0)
    };
    let mut cluster = Cluster::start(spec).await;
    for leaf in cluster.leaves.iter().flatten() {
        leaf.set(|options| options.service_us = 900_000);
    }
    let caller = cluster.daemons[1].caller_address;
    let mut open = Connection::open(caller, 2).await.unwrap();
    let running = tokio::spawn(async move {
        let response = open.send(query_request(caller, "batch")).await.unwrap();
        response.into_body().collect().await.unwrap().to_bytes()
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.daemons[0].signal("-TERM");
    let answer: Answer = serde_json::from_slice(&running.await.unwrap()).unwrap();
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    assert_eq!(cluster.executions_of("batch"), 3);
    eventually("the daemon has exited", async || {
        cluster.daemons[0].try_exit_code() == Some(0)
    })
    .await;
}
