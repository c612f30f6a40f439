//! Forwards requests to VMs that reach the leaves, over HTTP/2 and bincode.
//!
//! Handles requests that arrive at a VM which is cut off from the leaves, since callers use its
//! address for some time after it was withdrawn. Errors before a request is sent are distinct from
//! later ones, so that a request that must not run twice is not sent to a second VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tracing::{debug, info};

use super::call::CallSpec;
use super::engine::Engine;
use super::forwarded_request::{ForwardedRequest, NotRunReason, PriorCalls, RESPONSE_MARGIN_MS};
use super::membership::Membership;
use super::refusal::empty_response;
use super::reply_memory::ReplyReceiver;
use super::service::strip_hop_by_hop;
use crate::clock::boot_ms;
use crate::fact::LeafLinks;
use crate::http_server::HttpResponse;
use crate::wire::encode;

/// Path of forwarded requests.
pub(super) const FORWARD_PATH: &str = "/forward";

/// Version of the format of forwarded requests, and the header that carries it.
pub(super) const FORWARD_VERSION: u16 = 1;
pub(super) const VERSION_HEADER: &str = "cloverrack-forward-version";

/// Header of the response to a request that the VM has not run, with the reason.
pub(super) const NOT_RUN_HEADER: &str = "cloverrack-forward-not-run";

/// Header of the response to a request that the VM has handled.
pub(super) const HANDLED_HEADER: &str = "cloverrack-forward-handled";

/// Timeout for connecting to a VM: a network round trip, with a margin for a loaded VM.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Interval between pings on a connection with requests, and timeout for the reply. A VM that is
/// suspended is found before gossip declares it dead.
const PING_INTERVAL_MS: u64 = 200;
const PING_TIMEOUT_MS: u64 = 400;

/// Number of VMs to which a request is offered.
const MAX_OFFERS: usize = 3;

/// Time for which a VM is not used after it has failed or not run a request.
const AVOID_MS: u64 = 500;

/// Maximum size of the requests that are forwarded at a time. Each is held twice, as received and
/// as sent.
const MAX_FORWARDED_KIB: usize = 8_192;

const BYTES_PER_KIB: usize = 1_024;

/// Time for which requests of a route are not forwarded after another VM did not reach its leaves
/// either.
const UNREACHABLE_MS: u64 = 300;

/// Failure of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
enum ForwardError {
    #[error("VM can't be reached")]
    NotSent,
    #[error("connection to the VM broke off")]
    Broken,
}

/// End of a forwarded request at a VM.
enum ForwardEnd {
    Handled(HttpResponse),
    NotRun(NotRunReason),
}

/// Another VM, as seen by the forwarder.
#[derive(Debug, Default)]
struct Peer {
    connection: tokio::sync::Mutex<Option<SendRequest<Full<Bytes>>>>,
    in_flight: AtomicUsize,
    avoided_until_ms: AtomicU64,
}

/// Client that forwards requests, with one connection to each VM.
#[derive(Debug)]
pub struct Forwarder {
    engine: Arc<Engine>,
    membership: Arc<Membership>,
    /// Port of the listeners for forwarded requests, which is the same on all VMs.
    port: u16,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    forwarded_kib: Semaphore,
    /// Routes whose leaves another VM does not reach either, until a time since boot.
    unreachable_until_ms: Mutex<HashMap<Box<str>, u64>>,
}

/// Counts a request that is in flight at a VM.
struct InFlight<'a>(&'a AtomicUsize);

impl<'a> InFlight<'a> {
    fn start(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Forwarder {
    /// Creates a forwarder to the live VMs.
    pub fn new(engine: Arc<Engine>, membership: Arc<Membership>, port: u16) -> Self {
        Self {
            engine,
            membership,
            port,
            peers: Mutex::default(),
            forwarded_kib: Semaphore::new(MAX_FORWARDED_KIB),
            unreachable_until_ms: Mutex::default(),
        }
    }

    /// Returns whether there is another VM that reaches the leaves.
    pub(super) fn has_candidate(&self) -> bool {
        self.choose(&[]).is_some()
    }

    /// Returns whether requests of a route are worth forwarding although this VM has links to
    /// leaves: no other VM has failed to reach the leaves of the route a moment ago.
    pub(super) fn may_reach(&self, route: &str) -> bool {
        let until_ms = lock(&self.unreachable_until_ms).get(route).copied();
        until_ms.is_none_or(|until_ms| until_ms <= boot_ms())
    }

    /// Sends a request to another VM that reaches the leaves.
    ///
    /// Returns `None` if no VM takes it: it has not run then. Dropping the future cancels the
    /// request.
    pub(super) async fn forward(
        &self,
        route: &str,
        host: &str,
        spec: &CallSpec,
        route_version: u64,
        prior_calls: PriorCalls,
    ) -> Option<HttpResponse> {
        let size_kib = u32::try_from(spec.body.len() / BYTES_PER_KIB + 1).ok()?;
        let _permit = self.forwarded_kib.try_acquire_many(size_kib).ok()?;
        let mut offered = Vec::new();
        while offered.len() < MAX_OFFERS {
            let (address, peer) = self.choose(&offered)?;
            offered.push(address);
            let request = ForwardedRequest::new(host, spec, route_version, prior_calls);
            let remaining_ms = request.remaining_ms;
            if remaining_ms == 0 {
                return None;
            }
            let body = Bytes::from(encode(&request).ok()?);
            let _in_flight = InFlight::start(&peer.in_flight);
            // The other VM answers before its own, earlier deadline.
            let limit = Duration::from_millis(remaining_ms + RESPONSE_MARGIN_MS);
            let Ok(result) = timeout(limit, self.exchange(&peer, address, body)).await else {
                self.engine.metrics.count_forwarded("timed out");
                return Some(empty_response(StatusCode::GATEWAY_TIMEOUT));
            };
            match result {
                Ok(ForwardEnd::Handled(response)) => {
                    self.engine.metrics.count_forwarded("handled");
                    return Some(response);
                }
                Ok(ForwardEnd::NotRun(reason)) => {
                    self.engine.metrics.count_forwarded("not run");
                    debug!(event = "request_not_forwarded", vm = %address, %reason);
                    if reason == NotRunReason::Unreachable {
                        let until_ms = boot_ms() + UNREACHABLE_MS;
                        lock(&self.unreachable_until_ms).insert(route.into(), until_ms);
                        return None;
                    }
                    peer.avoid();
                }
                Err(error) => {
                    self.engine.metrics.count_forwarded("failed");
                    info!(event = "forward_failed", vm = %address, %error);
                    peer.avoid();
                    if error == ForwardError::Broken {
                        return Some(empty_response(StatusCode::BAD_GATEWAY));
                    }
                }
            }
        }
        None
    }

    /// Chooses a VM that reaches the leaves: the one with fewer requests of two random ones.
    fn choose(&self, offered: &[SocketAddr]) -> Option<(SocketAddr, Arc<Peer>)> {
        let now_ms = boot_ms();
        let own = self.membership.address();
        let mut peers = lock(&self.peers);
        let live_vms = self.membership.live_vms();
        let active_vms = self.engine.active_vms(&live_vms);
        for vms in [active_vms, live_vms] {
            let mut candidates = Vec::new();
            for vm in vms.iter() {
                if vm.address == own
                    || vm.leaf_links != LeafLinks::Connected
                    || offered.contains(&vm.address)
                {
                    continue;
                }
                let peer = peers.entry(vm.address).or_default();
                if now_ms >= peer.avoided_until_ms.load(Ordering::Relaxed) {
                    candidates.push((vm.address, Arc::clone(peer)));
                }
            }
            let two = candidates.sample(&mut rand::rng(), 2);
            let chosen = two.min_by_key(|(_, peer)| peer.in_flight.load(Ordering::Relaxed));
            if let Some(chosen) = chosen {
                return Some(chosen.clone());
            }
        }
        None
    }

    async fn exchange(
        &self,
        peer: &Peer,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<ForwardEnd, ForwardError> {
        let mut connection = self.connection(peer, address).await?;
        let request = Request::post(format!("http://{address}{FORWARD_PATH}"))
            .header(VERSION_HEADER, FORWARD_VERSION)
            .body(Full::new(body))
            .map_err(|_| ForwardError::NotSent)?;
        let response = connection.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            let is_unsent = error.take_message().is_some() || was_refused(error.error());
            if is_unsent {
                ForwardError::NotSent
            } else {
                ForwardError::Broken
            }
        })?;
        self.read_response(response).await
    }

    async fn read_response(
        &self,
        response: Response<Incoming>,
    ) -> Result<ForwardEnd, ForwardError> {
        let (head, mut body) = response.into_parts();
        if !head.headers.contains_key(HANDLED_HEADER) {
            let reason = head.headers.get(NOT_RUN_HEADER);
            let reason = reason.and_then(|reason| NotRunReason::parse(reason.to_str().ok()?));
            return Ok(ForwardEnd::NotRun(reason.unwrap_or(NotRunReason::Rejected)));
        }
        let mut receiver = ReplyReceiver::new(Arc::clone(&self.engine.reply_memory));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ForwardError::Broken)?;
            let Some(part) = frame.data_ref() else {
                continue;
            };
            if !receiver.append(part).await {
                return Err(ForwardError::Broken);
            }
        }
        let body = Bytes::from_owner(receiver.finish());
        let mut handled = Response::new(Full::new(body));
        *handled.status_mut() = head.status;
        *handled.headers_mut() = strip_hop_by_hop(head.headers);
        handled.headers_mut().remove(HANDLED_HEADER);
        Ok(ForwardEnd::Handled(handled))
    }

    /// Returns the connection to a VM, and opens one if there is none.
    async fn connection(
        &self,
        peer: &Peer,
        address: SocketAddr,
    ) -> Result<SendRequest<Full<Bytes>>, ForwardError> {
        let mut open = peer.connection.lock().await;
        if let Some(connection) = &*open
            && !connection.is_closed()
        {
            return Ok(connection.clone());
        }
        let to = SocketAddr::new(address.ip(), self.port);
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = connect(self.membership.address(), to);
        let connected = timeout(limit, connecting).await.ok().flatten();
        let connection = connected.ok_or(ForwardError::NotSent)?;
        *open = Some(connection.clone());
        Ok(connection)
    }

    /// Closes the connections that carry no request, and forgets VMs and routes, once this VM has
    /// links again.
    pub(super) fn close_idle(&self) {
        lock(&self.peers).retain(|_, peer| peer.in_flight.load(Ordering::Relaxed) > 0);
        lock(&self.unreachable_until_ms).clear();
    }
}

impl Peer {
    fn avoid(&self) {
        let until_ms = boot_ms() + AVOID_MS;
        self.avoided_until_ms.store(until_ms, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the VM has refused the stream without handling it.
fn was_refused(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let error = source.and_then(|source| source.downcast_ref::<h2::Error>());
    error.and_then(h2::Error::reason) == Some(h2::Reason::REFUSED_STREAM)
}

/// Connects from this VM's own address, by which the other VM recognises it.
async fn connect(own: SocketAddr, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let socket = match own {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(own.ip(), 0)).ok()?;
    let stream = socket.connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS));
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(event = "forward_connection_ended", vm = %to, %error);
        }
    });
    Some(sender)
}
