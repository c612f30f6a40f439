//! Baseline client without a query tier, which calls one random replica of each shard directly.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cloverrack_standins::LeafStandin;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;

type Sender = SendRequest<Full<Bytes>>;

/// Connections to all leaves, by shard and replica.
pub struct Client {
    leaves: Vec<Vec<(SocketAddr, Sender)>>,
    hedge_after: Option<Duration>,
}

/// Result of a run.
pub struct DirectReport {
    pub sent: u64,
    pub incomplete: u64,
    pub covered: u64,
    pub required_calls: u64,
    pub latency_us: Histogram<u64>,
}

impl Client {
    pub async fn connect(leaves: &[Vec<LeafStandin>], hedge_after: Option<Duration>) -> Self {
        let mut connected = Vec::new();
        for shard in leaves {
            let mut replicas = Vec::new();
            for leaf in shard {
                replicas.push((leaf.address(), connect(leaf.address()).await));
            }
            connected.push(replicas);
        }
        Self {
            leaves: connected,
            hedge_after,
        }
    }

    /// Calls one replica of a shard, and a second one after the hedge delay.
    async fn call_shard(&self, shard: usize, number: u64, first: usize) -> bool {
        let replicas = &self.leaves[shard];
        let call = |replica: usize| call(&replicas[replica % replicas.len()], shard, number);
        let Some(delay) = self.hedge_after else {
            return call(first).await;
        };
        let primary = call(first);
        tokio::pin!(primary);
        if let Ok(done) = tokio::time::timeout(delay, &mut primary).await {
            return done;
        }
        let hedge = call(first + 1);
        tokio::pin!(hedge);
        tokio::select! {
            done = &mut primary => done || hedge.await,
            done = &mut hedge => done || primary.await,
        }
    }
}

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("leaf is bound");
    stream.set_nodelay(true).expect("socket is open");
    let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("leaf speaks HTTP/2");
    tokio::spawn(connection);
    sender
}

/// Calls a leaf; returns whether it answered successfully.
async fn call((address, sender): &(SocketAddr, Sender), shard: usize, number: u64) -> bool {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let deadline = now.unwrap_or_default().as_millis() + 1_000;
    let request = Request::post(format!("http://{address}/v1/execute"))
        .header("x-call-id", number)
        .header("x-shard", shard)
        .header("x-snapshot", "1.1")
        .header("x-deadline-unix-ms", deadline.to_string())
        .body(Full::new(Bytes::from_static(b"q")));
    let (Ok(request), mut sender) = (request, sender.clone()) else {
        return false;
    };
    if sender.ready().await.is_err() {
        return false;
    }
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    response.status().is_success() && response.into_body().collect().await.is_ok()
}

/// Sends open-loop load and measures latency from the intended start of each query.
pub async fn run(client: Client, rate: f64, duration: Duration, deadline_ms: u64) -> DirectReport {
    let client = Arc::new(client);
    let report = Arc::new(Mutex::new(DirectReport {
        sent: 0,
        incomplete: 0,
        covered: 0,
        required_calls: 0,
        latency_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid"),
    }));
    let tasks = TaskTracker::new();
    let mut rng = StdRng::seed_from_u64(2);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0;
    while at < duration {
        tokio::time::sleep_until((start + at).into()).await;
        let first = client
            .leaves
            .iter()
            .map(|_| rng.random_range(0..3))
            .collect();
        let (client, report) = (Arc::clone(&client), Arc::clone(&report));
        let intended = start + at;
        tasks.spawn(async move {
            let covered = query(client, number, first, deadline_ms).await;
            let mut report = report.lock().expect("no task panics");
            report.covered += covered;
            report.sent += 1;
            report.incomplete += u64::from(covered < 10);
            let elapsed_us = intended.elapsed().as_micros() as u64;
            report.latency_us.saturating_record(elapsed_us);
        });
        number += 1;
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
    }
    tasks.close();
    tasks.wait().await;
    let report = Arc::into_inner(report).expect("all tasks have ended");
    report.into_inner().expect("no task panics")
}

/// Calls all shards; returns how many answered by the deadline.
async fn query(client: Arc<Client>, number: u64, first: Vec<usize>, deadline_ms: u64) -> u64 {
    let mut calls = tokio::task::JoinSet::new();
    for (shard, replica) in first.into_iter().enumerate() {
        let client = Arc::clone(&client);
        calls.spawn(async move {
            let limit = Duration::from_millis(deadline_ms);
            let call = client.call_shard(shard, number, replica);
            tokio::time::timeout(limit, call).await.unwrap_or(false)
        });
    }
    let mut covered = 0;
    while let Some(done) = calls.join_next().await {
        covered += u64::from(done.unwrap_or(false));
    }
    covered
}
