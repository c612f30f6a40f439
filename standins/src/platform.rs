//! Stand-in for the configuration service: serves Consul's KV reads with blocking queries.
//!
//! It simulates outages, stale reads, restored backups and blocking queries that never return.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use flate2::Compression;
use flate2::write::GzEncoder;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::server::{Body, read_body, status};

/// Compresses a response with gzip, as the service does for clients that accept it.
async fn gzip(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let body = body.unwrap_or_default();
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let _ = encoder.write_all(&body);
    let body = encoder.finish().unwrap_or_default();
    let gzip = http::HeaderValue::from_static("gzip");
    parts.headers.insert(http::header::CONTENT_ENCODING, gzip);
    Response::from_parts(parts, Full::new(body.into()))
}

/// Prefix of the paths that control a stand-in running as a separate process.
const CONTROL_PREFIX: &str = "/control/";

#[derive(Clone, Debug)]
struct Value {
    revision: u64,
    body: Bytes,
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    values: BTreeMap<String, Value>,
    stale: Option<(u64, BTreeMap<String, Value>)>,
    down: bool,
    outages: u64,
    calls: u64,
    watches: u64,
    stalled_watches_of_three: u64,
}

/// Backup of all values at one revision.
#[derive(Clone, Debug)]
pub struct Backup {
    index: u64,
    values: BTreeMap<String, Value>,
}

/// A running stand-in for the configuration service.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl PlatformStandin {
    /// Binds the stand-in and serves until the runtime ends.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let standin = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(0),
        };
        tokio::spawn(standin.clone().accept(listener));
        Ok(standin)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a value and returns its revision.
    pub fn put(&self, key: &str, body: impl Into<Bytes>) -> u64 {
        let index = {
            let mut state = self.state();
            state.index += 1;
            let value = Value {
                revision: state.index,
                body: body.into(),
            };
            state.values.insert(key.to_owned(), value);
            state.index
        };
        self.changed.send_replace(index);
        index
    }

    /// Makes the service unreachable, or reachable again. An outage ends all open watches, however
    /// short it is.
    pub fn set_down(&self, down: bool) {
        {
            let mut state = self.state();
            state.down = down;
            state.outages += u64::from(down);
        }
        self.changed.send_modify(|_| {});
    }

    /// If `stale` is true, freezes what reads return at the present state; if false, reads return
    /// the latest state again.
    pub fn set_stale(&self, stale: bool) {
        {
            let mut state = self.state();
            state.stale = stale.then(|| (state.index, state.values.clone()));
        }
        self.changed.send_modify(|_| {});
    }

    /// Returns a backup of all values.
    pub fn backup(&self) -> Backup {
        let state = self.state();
        Backup {
            index: state.index,
            values: state.values.clone(),
        }
    }

    /// Makes reads return a backup until [`PlatformStandin::set_stale`] changes that.
    pub fn serve_backup(&self, backup: Backup) {
        self.state().stale = Some((backup.index, backup.values));
        self.changed.send_modify(|_| {});
    }

    /// Replaces all values with a backup; revisions continue from that of the backup.
    pub fn restore(&self, backup: Backup) {
        {
            let mut state = self.state();
            state.index = backup.index;
            state.values = backup.values;
        }
        self.changed.send_modify(|_| {});
    }

    /// Makes `watches` of every three successive watches hang without a response; reads still get
    /// one.
    pub fn set_stalled_watches_of_three(&self, watches: u64) {
        self.state().stalled_watches_of_three = watches;
    }

    /// Returns the number of reads received so far; a watch counts once, when it starts.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let standin = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| standin.handle(request));
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix(CONTROL_PREFIX) {
            return Ok(self.handle_control(rest, request).await);
        }
        if request.method() != Method::GET || !path.starts_with("/v1/kv/") {
            return Ok(status(StatusCode::METHOD_NOT_ALLOWED));
        }
        self.state().calls += 1;
        let prefix = path.trim_start_matches("/v1/kv/").to_owned();
        let query = request.uri().query().unwrap_or("").to_owned();
        let accepted = request.headers().get(http::header::ACCEPT_ENCODING);
        let compress = accepted.is_some_and(|accepted| accepted.as_bytes() == b"gzip");
        let response = self.handle_read(&prefix, &query).await;
        if compress {
            return Ok(gzip(response).await);
        }
        Ok(response)
    }

    async fn handle_control(&self, action: &str, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request.into_body()).await;
        match action.split_once('/') {
            Some(("put", key)) => {
                let revision = self.put(key, body);
                crate::server::json(&json!({ "revision": revision }))
            }
            Some(("down", value)) => {
                self.set_down(value == "true");
                status(StatusCode::OK)
            }
            Some(("stale", value)) => {
                self.set_stale(value == "true");
                status(StatusCode::OK)
            }
            _ => match action {
                "calls" => crate::server::json(&json!({ "calls": self.calls() })),
                _ => status(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn handle_read(&self, prefix: &str, query: &str) -> Response<Body> {
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let index: u64 = parameter("index")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait_ms: u64 = parameter("wait")
            .and_then(|text| text.trim_end_matches("ms").parse().ok())
            .unwrap_or(0);
        if index > 0 && self.next_watch_hangs() {
            std::future::pending::<()>().await;
        }
        let outages = self.state().outages;
        let has_outage = || {
            let state = self.state();
            state.down || state.outages != outages
        };
        let mut changed = self.changed.subscribe();
        let wait_for_newer = async {
            while !has_outage() && self.visible_index() <= index {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(Duration::from_millis(wait_ms), wait_for_newer).await;
        if has_outage() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.read_response(prefix)
    }

    /// Counts a watch and returns whether it hangs.
    fn next_watch_hangs(&self) -> bool {
        let mut state = self.state();
        state.watches += 1;
        state.watches % 3 < state.stalled_watches_of_three
    }

    fn visible_index(&self) -> u64 {
        let state = self.state();
        state
            .stale
            .as_ref()
            .map_or(state.index, |(index, _)| *index)
    }

    fn read_response(&self, prefix: &str) -> Response<Body> {
        let state = self.state();
        let (index, values) = match &state.stale {
            Some((index, values)) => (*index, values),
            None => (state.index, &state.values),
        };
        let mut entries = Vec::new();
        for (key, value) in values {
            if !key.starts_with(prefix) {
                continue;
            }
            let encoded = STANDARD.encode(&value.body);
            entries.push(json!({
                "Key": key, "ModifyIndex": value.revision, "Value": encoded,
            }));
        }
        let has_entries = !entries.is_empty();
        let mut response = crate::server::json(&entries);
        if !has_entries {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
            .headers_mut()
            .insert("x-consul-index", index.into());
        response
    }
}
