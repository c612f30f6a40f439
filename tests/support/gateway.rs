//! Test harness: a gateway in this process and leaves with scripted behaviour.
//!
//! A leaf can answer, stall, refuse, fail or send an invalid reply.

#![allow(
    dead_code,
    clippy::unwrap_used,
    missing_docs,
    reason = "each test file uses a part of the harness"
)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cloverrack::document::Version;
use cloverrack::fact::Fact;
use cloverrack::gateway::leaf_capacity::WorkKind;
use cloverrack::gateway::{
    CallSpec, CallerLimits, CallerService, Change, ChangeSet, Connection, Content, Destination,
    Engine, Evacuation, Headers, LeafRecord, Metrics, OpenCall, Reply, RetryBudgetLimits,
    RouteDocument, RouteSpec, ServiceSpec,
};
use cloverrack::http_server::{ShutdownSignals, serve};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// Target latency of the routes that this module makes.
pub const TARGET_LATENCY_MS: u64 = 300;

/// Path of the status check of the leaves.
pub const HEALTH_PATH: &str = "/health";

/// Backlog of a leaf's address. One that is cut off has a short one, which is soon full.
const BACKLOG: u32 = 1_024;
const CUT_OFF_BACKLOG: u32 = 1;

/// Time after which a connection counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How a leaf handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafBehaviour {
    Answer,
    /// Answers after a delay in milliseconds.
    Slow(u64),
    /// Answers requests and status checks after a delay in milliseconds.
    SlowCheck(u64),
    /// Never answers.
    Hang,
    /// Closes the connection after it has run the request.
    Break,
    /// Replies "not run" without running the request.
    Refuse,
    /// Replies "not run" without running the request, with this time to come back.
    RetryAfter(&'static str),
    /// Answers with the identifier of another request.
    WrongRequestId,
    /// Answers without a signature.
    Unsigned,
    /// Replies that another leaf has the address, without running the request.
    Misdirected,
    /// Runs the request and replies with an internal error.
    Fail,
    /// Ends while it runs the request: its connections close and its address refuses new ones.
    Crash,
    /// Closes the connection after it has run the request, and leaves new ones unanswered.
    CutOff,
}

/// An HTTP server that acts as a leaf and records the requests that it runs.
#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<LeafBehaviour>>,
    executed: Arc<Mutex<Vec<String>>>,
    record: u8,
    rate_limit: Arc<Mutex<Option<String>>>,
    is_leaving: Arc<AtomicBool>,
    warmup_ms: Arc<AtomicUsize>,
    received: Arc<AtomicUsize>,
    serving: Arc<Mutex<Option<AbortHandle>>>,
    /// Connections that fill the backlog of a leaf that was cut off.
    unanswered: Arc<Mutex<Vec<TcpStream>>>,
}

pub fn headers() -> Headers {
    let name = HeaderName::from_static;
    Headers {
        request_id: name("x-request"),
        time_left_ms: name("x-time-left"),
        expected_leaf: name("x-expected"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        rate_limit: name("x-rate-limit"),
        leaving: name("x-leaving"),
        warmup_ms: name("x-warmup"),
        part_signatures: name("x-parts"),
        missing_parts: name("x-missing"),
    }
}

/// Returns the engine of a VM in failure domain `a`, without routes and leaves.
pub fn engine() -> Arc<Engine> {
    let limits = RetryBudgetLimits {
        ratio_ppm: 200_000,
        slack_calls: 50,
        window_ms: 10_000,
    };
    let metrics = Metrics::open().unwrap();
    Arc::new(Engine::new(headers(), limits, "a".into(), metrics))
}

impl Leaf {
    /// Starts a leaf that answers with one record of 16 bytes, each equal to `record`.
    pub async fn spawn(id: &str, record: u8, behaviour: LeafBehaviour) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let backlog = match behaviour {
            LeafBehaviour::CutOff => CUT_OFF_BACKLOG,
            _ => BACKLOG,
        };
        let listener = socket.listen(backlog).unwrap();
        let leaf = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            executed: Arc::default(),
            record,
            rate_limit: Arc::default(),
            is_leaving: Arc::default(),
            warmup_ms: Arc::default(),
            received: Arc::default(),
            serving: Arc::default(),
            unanswered: Arc::default(),
        };
        leaf.serve(listener);
        leaf
    }

    /// Leaves new connections unanswered: fills the backlog, from which none is accepted any more.
    async fn cut_off(&self) {
        let connect = || tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        while let Ok(Ok(stream)) = connect().await {
            self.unanswered.lock().unwrap().push(stream);
        }
    }

    /// Ends the leaf as a crash does, without a request that causes it.
    pub fn end(&self) {
        if let Some(serving) = self.serving.lock().unwrap().take() {
            serving.abort();
        }
    }

    /// Starts the leaf again at its address after it has ended.
    pub fn restart(&self) {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(self.address).unwrap();
        self.serve(socket.listen(BACKLOG).unwrap());
    }

    /// Returns the record that the leaf publishes.
    pub fn record(&self, service: &str) -> LeafRecord {
        LeafRecord {
            id: self.id.as_str().into(),
            service: service.into(),
            address: self.address,
            failure_domain: "a".into(),
            slots: 3,
            draining: false,
            warmup_left_ms: 0,
            started_unix_ms: 1,
        }
    }

    /// Returns whether the leaf has not ended.
    pub fn is_serving(&self) -> bool {
        self.serving.lock().unwrap().is_some()
    }

    fn serve(&self, listener: TcpListener) {
        let serving = self.clone();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                if !serving.unanswered.lock().unwrap().is_empty() {
                    // Neither the stream nor the listener is dropped, which would refuse connections.
                    std::future::pending::<()>().await;
                }
                let leaf = serving.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| leaf.clone().answer(request));
                    let builder = hyper::server::conn::http1::Builder::new();
                    let _ = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        *self.serving.lock().unwrap() = Some(task.abort_handle());
    }

    pub fn set(&self, behaviour: LeafBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Sets the limit that the leaf names in its answers.
    pub fn set_rate_limit(&self, rate: Option<&str>) {
        *self.rate_limit.lock().unwrap() = rate.map(str::to_owned);
    }

    /// Says in all answers from now on that the leaf leaves.
    pub fn announce_end(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Sets the rest of the warm-up that the leaf names in its status.
    pub fn set_warmup_ms(&self, left_ms: usize) {
        self.warmup_ms.store(left_ms, Ordering::SeqCst);
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        let left_ms = self.warmup_ms.load(Ordering::SeqCst);
        response.headers_mut().insert("x-warmup", left_ms.into());
        response
    }

    /// Returns the number of requests that were received, also of those that were not executed.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    pub fn executed(&self) -> usize {
        self.executed.lock().unwrap().len()
    }

    /// Returns the identifiers of the requests that were executed.
    pub fn executed_ids(&self) -> Vec<String> {
        self.executed.lock().unwrap().clone()
    }

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
        let behaviour = *self.behaviour.lock().unwrap();
        if request.uri().path() == HEALTH_PATH {
            if let LeafBehaviour::SlowCheck(ms) = behaviour {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            return match behaviour {
                LeafBehaviour::Hang => std::future::pending().await,
                LeafBehaviour::Break => Err(ConnectionAborted),
                _ => Ok(self.health()),
            };
        }
        self.received.fetch_add(1, Ordering::SeqCst);
        let id = request.headers()["x-request"].clone();
        let mut response = Response::new(Full::new(Bytes::from(vec![self.record; 16])));
        let fields = response.headers_mut();
        fields.insert("x-request", id.clone());
        if let Some(rate) = &*self.rate_limit.lock().unwrap() {
            fields.insert("x-rate-limit", rate.parse().unwrap());
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.insert("x-leaving", "1".parse().unwrap());
        }
        if let LeafBehaviour::RetryAfter(retry_after) = behaviour {
            fields.insert("retry-after", retry_after.parse().unwrap());
        }
        if matches!(
            behaviour,
            LeafBehaviour::Refuse | LeafBehaviour::RetryAfter(_)
        ) {
            fields.insert("x-not-run", "1".parse().unwrap());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(response);
        }
        if behaviour == LeafBehaviour::Misdirected {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(response);
        }
        assert_eq!(request.headers()["x-expected"], self.id.as_str());
        self.executed
            .lock()
            .unwrap()
            .push(id.to_str().unwrap().to_owned());
        if behaviour != LeafBehaviour::Unsigned {
            let signature = format!("signed-{}", self.id);
            fields.insert("x-signature", signature.parse().unwrap());
        }
        match behaviour {
            LeafBehaviour::Slow(ms) | LeafBehaviour::SlowCheck(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            LeafBehaviour::Hang => std::future::pending().await,
            LeafBehaviour::Break => return Err(ConnectionAborted),
            LeafBehaviour::CutOff => {
                self.cut_off().await;
                return Err(ConnectionAborted);
            }
            LeafBehaviour::Crash => {
                self.end();
                std::future::pending().await
            }
            LeafBehaviour::WrongRequestId => {
                fields.insert("x-request", "another".parse().unwrap());
            }
            LeafBehaviour::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            _ => {}
        }
        Ok(response)
    }
}

/// Error that makes the server close a connection without a reply.
#[derive(Debug)]
pub struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by the test leaf")
    }
}

impl std::error::Error for ConnectionAborted {}

impl From<Infallible> for ConnectionAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A gateway that serves callers on loopback.
pub struct TestGateway {
    pub engine: Arc<Engine>,
    pub address: SocketAddr,
}

impl TestGateway {
    /// Starts a gateway without a configuration.
    pub async fn spawn() -> Self {
        Self::serve(engine()).await
    }

    /// Starts a gateway with an engine.
    pub async fn serve(engine: Arc<Engine>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Arc::new(CallerService::new(Arc::clone(&engine)));
        tokio::spawn(serve(listener, service, ShutdownSignals::default()));
        Self { engine, address }
    }

    /// Publishes routes and leaves to this gateway; each leaf comes with its service.
    pub fn publish(&self, version: u64, routes: Vec<RouteSpec>, leaves: &[(&str, &Leaf)]) {
        publish(&self.engine, version, routes, leaves);
    }

    /// Sends a request from a loopback address over a new connection and returns the reply.
    pub async fn send_from(&self, source: [u8; 4], request: Request<Full<Bytes>>) -> Reply {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((source, 0).into()).unwrap();
        let stream = socket.connect(self.address).await.unwrap();
        let mut connection = Connection::open_on(stream).await.unwrap();
        connection.exchange(request).await.unwrap()
    }

    /// Sends a request for a path over a new connection and returns the reply.
    pub async fn get(&self, path: &str) -> Reply {
        let mut connection = Connection::open(self.address).await.unwrap();
        connection.exchange(request(path)).await.unwrap()
    }
}

/// Publishes routes and leaves to an engine; each leaf comes with its service.
pub fn publish(engine: &Engine, version: u64, routes: Vec<RouteSpec>, leaves: &[(&str, &Leaf)]) {
    let services = leaves.iter().map(|(service, _)| ServiceSpec {
        name: (*service).into(),
        max_connections: 31,
        health_path: HEALTH_PATH.into(),
    });
    let document = RouteDocument {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.collect(),
        limits: CallerLimits {
            max_body_bytes: 1_000,
            idle_timeout_ms: 15_000,
        },
    };
    let mut changes = vec![Change::Document(document)];
    for (service, leaf) in leaves {
        changes.push(Change::Leaf(leaf.record(service)));
    }
    let change_set = ChangeSet {
        changes,
        epoch: 0,
        revision: version,
    };
    engine.state().catalog.apply(change_set, 0);
    engine.refresh();
}

pub fn request(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "desk.example")
        .header("x-request", format!("request-{}", rand::random::<u32>()))
        .header("x-time-left", "2000")
        .body(Full::new(Bytes::new()))
        .unwrap()
}

pub fn single_route(prefix: &str, service: &str, idempotent: bool, max_attempts: u32) -> RouteSpec {
    RouteSpec {
        name: service.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        idempotent,
        timeout_ms: 2_000,
        target_latency_ms: TARGET_LATENCY_MS,
        max_attempts,
        priority: 1,
        destination: Destination::Service(service.into()),
    }
}

pub fn gather_route(prefix: &str, services: &[&str], min_coverage_ppm: u32) -> RouteSpec {
    let services = services.iter().map(|service| (*service).into()).collect();
    RouteSpec {
        destination: Destination::Shards {
            services,
            top_records: 3,
            min_coverage_ppm,
        },
        ..single_route(prefix, "gather", true, 2)
    }
}

/// Returns a request that must not run twice.
pub fn order(body: &'static str) -> Request<Full<Bytes>> {
    let mut order = request("/o/order");
    *order.method_mut() = Method::POST;
    *order.body_mut() = Full::new(Bytes::from_static(body.as_bytes()));
    order
}

/// Publishes a route with all leaves to one service.
pub fn publish_service(
    gateway: &TestGateway,
    path: &str,
    idempotent: bool,
    attempts: u32,
    leaves: &[Leaf],
) {
    let listed: Vec<(&str, &Leaf)> = leaves.iter().map(|leaf| ("s", leaf)).collect();
    gateway.publish(
        1,
        vec![single_route(path, "s", idempotent, attempts)],
        &listed,
    );
}

/// Applies a change of the platform to the record of a leaf.
pub fn apply_change(gateway: &TestGateway, change: Change, revision: u64) {
    let change_set = ChangeSet {
        changes: vec![change],
        epoch: 0,
        revision,
    };
    gateway.engine.state().catalog.apply(change_set, 0);
    gateway.engine.refresh();
}

/// Returns the fact that a failure domain is evacuated, or no longer is.
pub fn evacuation(domain: &str, revision: u64, is_active: bool) -> Fact {
    Fact::Evacuation(Evacuation {
        domain: domain.into(),
        version: Version { epoch: 0, revision },
        is_active,
    })
}

/// Opens a call to a leaf of a service, which is sent when it is run.
pub fn open_call(gateway: &TestGateway, service: &str) -> OpenCall {
    let service = gateway.engine.state().names.intern(service);
    gateway
        .engine
        .open_call(WorkKind::default(), service, &[])
        .unwrap()
}

/// Returns the request of a call.
pub fn call_spec() -> CallSpec {
    let uri = Uri::from_static("/a/x");
    let request_id = HeaderValue::from_static("assigned");
    let mut headers = HeaderMap::new();
    headers.insert("x-request", request_id.clone());
    CallSpec {
        content: Content::new(
            "desk.example",
            &Method::GET,
            &uri,
            &[],
            [127, 0, 0, 1].into(),
        ),
        method: Method::GET,
        uri,
        headers,
        body: Bytes::new(),
        request_id,
        deadline_us: cloverrack::clock::boot_us() + 2_000_000,
    }
}
