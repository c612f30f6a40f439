//! Stand-in for one leaf of a target: runs calls in a limited number of slots and records each one.
//!
//! It simulates connection limits, draining, snapshot changes, slow calls, wrong responses, cut
//! connections and crashes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::RngExt;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::leaf_options::{Execution, LeafCounts, LeafOptions, Misbehaviour};
use crate::server::{Body, json, read_body, status};

#[derive(Debug, Default)]
struct State {
    options: LeafOptions,
    frozen_status: Option<serde_json::Value>,
    counts: LeafCounts,
    executions: Vec<Execution>,
    process_identity: u64,
    crash_exits_process: bool,
}

/// A running stand-in for one leaf.
#[derive(Clone, Debug)]
pub struct LeafStandin {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    cut_token: Arc<Mutex<CancellationToken>>,
    stop_token: CancellationToken,
}

/// Text that makes the leaf crash if a payload contains it.
pub const CRASH_MARKER: &str = "crash-target";

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}

impl LeafStandin {
    /// Binds a leaf and serves until [`LeafStandin::stop`] or the end of the runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr, options: LeafOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let standin = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                options,
                process_identity: rand::rng().random_range(1..u64::MAX),
                ..State::default()
            })),
            cut_token: Arc::default(),
            stop_token: CancellationToken::new(),
        };
        tokio::spawn(standin.clone().accept(listener));
        Ok(standin)
    }

    /// Makes a crash exit the whole process instead of stopping only this leaf.
    pub fn crash_exits_process(&self) {
        self.state().crash_exits_process = true;
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current options.
    pub fn options(&self) -> LeafOptions {
        self.state().options.clone()
    }

    /// Changes the options of the running leaf.
    pub fn set(&self, change: impl FnOnce(&mut LeafOptions)) {
        let current_status = self.status_content();
        let is_cut = {
            let mut state = self.state();
            let was_frozen = state.options.status_frozen;
            change(&mut state.options);
            if !state.options.status_frozen {
                state.frozen_status = None;
            } else if !was_frozen {
                state.frozen_status = Some(current_status);
            }
            state.options.cut
        };
        if is_cut {
            self.cut_connections();
        }
    }

    fn cut_connections(&self) {
        let mut token = self
            .cut_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        token.cancel();
        *token = CancellationToken::new();
    }

    /// Returns all executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.state().executions.clone()
    }

    /// Returns the counts.
    pub fn counts(&self) -> LeafCounts {
        self.state().counts
    }

    /// Stops the leaf immediately, like a crash.
    pub fn stop(&self) {
        self.stop_token.cancel();
        self.cut_connections();
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop_token.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            if self.state().options.cut {
                continue;
            }
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(_guard) = ConnectionGuard::open(&self) else {
            return;
        };
        let cut_token = self
            .cut_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let connect_ms = self.options().connect_ms;
        tokio::time::sleep(Duration::from_millis(connect_ms)).await;
        let leaf = self.clone();
        let service = service_fn(move |request| {
            let leaf = leaf.clone();
            async move { leaf.handle(request).await }
        });
        let serving = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(stream), service);
        // A connection accepted while the leaf stops is also closed; otherwise a crashed leaf would
        // still respond.
        let serving = cut_token.run_until_cancelled(serving);
        let _ = self.stop_token.run_until_cancelled(serving).await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        Ok(match request.uri().path() {
            "/v1/execute" => self.execute(request).await,
            "/v1/status" => json(&self.status()),
            _ => status(StatusCode::NOT_FOUND),
        })
    }

    fn status(&self) -> serde_json::Value {
        let frozen = self.state().frozen_status.clone();
        frozen.unwrap_or_else(|| self.status_content())
    }

    fn status_content(&self) -> serde_json::Value {
        let options = self.options();
        let mut snapshots = Vec::new();
        for (version, layout) in &options.snapshots {
            snapshots.push(json!({ "version": version, "layout": layout }));
        }
        let process = self.state().process_identity.to_string();
        json!({
            "draining": options.draining, "cold": options.cold, "process": process,
            "snapshots": snapshots,
        })
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let payload = String::from_utf8_lossy(&read_body(body).await).into_owned();
        let guard = match ExecutionGuard::start(self, &parts.headers, &payload) {
            Ok(guard) => guard,
            Err(reason) => return not_started(reason),
        };
        if payload.contains(CRASH_MARKER) {
            self.crash();
            return std::future::pending().await;
        }
        let options = self.options();
        tokio::time::sleep(service_time(&options)).await;
        if options.misbehaviour == Some(Misbehaviour::Silent) {
            return std::future::pending().await;
        }
        guard.finish();
        respond(&options, &parts.headers, &payload)
    }

    fn crash(&self) {
        if self.state().crash_exits_process {
            std::process::exit(101);
        }
        self.stop();
    }
}

/// Draws the execution time of one call.
fn service_time(options: &LeafOptions) -> Duration {
    let is_straggler = rand::rng().random_range(0..1_000_000) < options.straggler_ppm;
    let factor = if is_straggler {
        u64::from(options.straggler_factor)
    } else {
        1
    };
    let uniform: f64 = rand::rng().random_range(f64::MIN_POSITIVE..1.0);
    let spread_us = (options.service_spread_us as f64 * -uniform.ln()) as u64;
    Duration::from_micros((options.service_us + spread_us) * factor)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn not_started(reason: &'static str) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    response
        .headers_mut()
        .insert("x-not-started", http::HeaderValue::from_static(reason));
    response
}

fn respond(options: &LeafOptions, headers: &HeaderMap, payload: &str) -> Response<Body> {
    let mut call = header(headers, "x-call-id").to_owned();
    let mut shard = header(headers, "x-shard").to_owned();
    let mut snapshot = header(headers, "x-snapshot").to_owned();
    match options.misbehaviour {
        Some(Misbehaviour::WrongCall) => call.push('9'),
        Some(Misbehaviour::WrongShard) => shard.push('9'),
        Some(Misbehaviour::WrongSnapshot) => snapshot.push('9'),
        Some(Misbehaviour::Error) => return status(StatusCode::INTERNAL_SERVER_ERROR),
        _ => {}
    }
    let body = match options.empty {
        true => String::new(),
        false => format!("{snapshot}:{shard}:{payload}"),
    };
    Response::builder()
        .header("x-call-id", call)
        .header("x-shard", shard)
        .header("x-snapshot", snapshot)
        .body(Full::new(body.into()))
        .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard<'a>(&'a LeafStandin);

impl<'a> ConnectionGuard<'a> {
    fn open(leaf: &'a LeafStandin) -> Option<Self> {
        let mut state = leaf.state();
        let requested = state.counts.connections + 1;
        state.counts.max_connections = state.counts.max_connections.max(requested);
        if requested > state.options.connections {
            return None;
        }
        state.counts.connections = requested;
        Some(Self(leaf))
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.state().counts.connections -= 1;
    }
}

/// Occupies a slot until it is dropped; `index` is that of the recorded execution, or `None` if
/// executions are not recorded.
struct ExecutionGuard<'a> {
    leaf: &'a LeafStandin,
    index: Option<usize>,
}

impl<'a> ExecutionGuard<'a> {
    /// Records the start of an execution.
    ///
    /// # Errors
    ///
    /// Returns the reason, as the value of the `x-not-started` header, if the call must not start.
    fn start(
        leaf: &'a LeafStandin,
        headers: &HeaderMap,
        payload: &str,
    ) -> Result<Self, &'static str> {
        let snapshot = header(headers, "x-snapshot");
        let deadline_unix_ms: u64 = header(headers, "x-deadline-unix-ms").parse().unwrap_or(0);
        let mut state = leaf.state();
        if state.options.draining {
            state.counts.refused_draining += 1;
            return Err("draining");
        }
        if deadline_unix_ms <= unix_ms() {
            return Err("deadline");
        }
        let available = &state.options.snapshots;
        if !available
            .iter()
            .any(|(version, layout)| format!("{version}.{layout}") == snapshot)
        {
            return Err("snapshot");
        }
        if state.counts.in_flight >= state.options.slots {
            state.counts.shed += 1;
            return Err("shed");
        }
        state.counts.in_flight += 1;
        state.counts.max_in_flight = state.counts.max_in_flight.max(state.counts.in_flight);
        state.counts.started += 1;
        if !state.options.record {
            return Ok(Self { leaf, index: None });
        }
        state.executions.push(Execution {
            call: header(headers, "x-call-id").to_owned(),
            request: header(headers, "x-request-id").to_owned(),
            shard: header(headers, "x-shard").parse().unwrap_or(u32::MAX),
            snapshot: snapshot.to_owned(),
            payload: payload.to_owned(),
            started_unix_ms: unix_ms(),
            finished: false,
        });
        let index = Some(state.executions.len() - 1);
        Ok(Self { leaf, index })
    }

    fn finish(&self) {
        if let Some(index) = self.index {
            self.leaf.state().executions[index].finished = true;
        }
    }
}

impl Drop for ExecutionGuard<'_> {
    fn drop(&mut self) {
        self.leaf.state().counts.in_flight -= 1;
    }
}
