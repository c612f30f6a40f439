//! Open-loop load generator: sends queries at seeded random times and counts the outcomes.
//!
//! Latency is measured from the intended start, so delays in sending a request are included.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;

/// Maximum recorded latency; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entry addresses, used in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// Full name of the service.
    pub service: String,
    /// Mean number of arrivals per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Deadline of each request.
    pub deadline_ms: u64,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Results of a load run.
#[derive(Debug)]
pub struct LoadReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests by outcome, in the order of [`OUTCOME_NAMES`]; `none` counts requests
    /// without a valid response.
    pub outcomes: [u64; 6],
    /// Total number of shards covered by the answers.
    pub covered: u64,
    /// Total number of shards in the layouts of the answers.
    pub shards: u64,
    /// Latency of complete and partial answers, in microseconds from the intended start.
    pub served_us: Histogram<u64>,
    /// Latency of all other answers, in microseconds from the intended start.
    pub refused_us: Histogram<u64>,
}

/// Names of the outcomes in [`LoadReport::outcomes`].
pub const OUTCOME_NAMES: [&str; 6] = [
    "complete", "partial", "not_run", "unknown", "refused", "none",
];

#[derive(Deserialize)]
struct AnswerSummary {
    outcome: String,
    shards: u64,
    covered: Vec<u32>,
}

/// Sends the load and waits for all responses.
///
/// # Errors
///
/// Fails if an entry address can't be reached at the start.
pub async fn run(plan: &LoadPlan) -> std::io::Result<LoadReport> {
    let mut senders = Vec::new();
    for entry in &plan.entries {
        senders.push((*entry, connect(*entry).await?));
    }
    let report = Arc::new(Mutex::new(empty_report()));
    let tasks = TaskTracker::new();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut number = 0_usize;
    while offset < plan.duration {
        tokio::time::sleep_until((start + offset).into()).await;
        let (entry, sender) = senders[number % senders.len()].clone();
        let body = json!({
            "service": plan.service, "member": "load", "request_id": format!("l{}-{number}", plan.seed),
            "deadline_ms": plan.deadline_ms, "payload": format!("q{number}"),
        });
        let report = Arc::clone(&report);
        let intended_start = start + offset;
        tasks.spawn(async move {
            let answer = send(entry, sender, body.to_string()).await;
            record(&report, answer, intended_start);
        });
        number += 1;
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        offset += Duration::from_secs_f64(-uniform.ln() / plan.rate);
    }
    tasks.close();
    tasks.wait().await;
    let mut report = Arc::try_unwrap(report)
        .map(|report| report.into_inner().unwrap_or_else(PoisonError::into_inner))
        .unwrap_or_else(|_| empty_report());
    report.sent = number as u64;
    Ok(report)
}

fn empty_report() -> LoadReport {
    // An auto-resizing histogram would clamp values in `saturating_record` instead of growing, so
    // the bounds are fixed.
    let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are valid");
    LoadReport {
        sent: 0,
        outcomes: [0; 6],
        covered: 0,
        shards: 0,
        served_us: histogram(),
        refused_us: histogram(),
    }
}

async fn connect(entry: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn send(
    entry: SocketAddr,
    mut sender: SendRequest<Full<Bytes>>,
    body: String,
) -> Option<AnswerSummary> {
    let request = Request::post(format!("http://{entry}/v1/query"))
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn record(report: &Mutex<LoadReport>, answer: Option<AnswerSummary>, intended_start: Instant) {
    let elapsed_us = intended_start.elapsed().as_micros() as u64;
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = answer.as_ref().map_or("none", |answer| &answer.outcome);
    let index = OUTCOME_NAMES
        .iter()
        .position(|name| *name == outcome)
        .unwrap_or(OUTCOME_NAMES.len() - 1);
    report.outcomes[index] += 1;
    let Some(answer) = answer else {
        return;
    };
    report.covered += answer.covered.len() as u64;
    report.shards += answer.shards;
    let histogram = if index < 2 {
        &mut report.served_us
    } else {
        &mut report.refused_us
    };
    histogram.saturating_record(elapsed_us);
}
