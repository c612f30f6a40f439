//! Client for the internal server of other VMs, over HTTP/2, with one connection to each VM.
//!
//! Errors before a request is sent are distinct from later ones, so that a request that must not run
//! twice is not sent to a second VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::time::timeout;
use tracing::debug;

use super::engine::Engine;
use super::membership::{LiveVm, Membership};
use crate::clock::boot_ms;
use crate::fact::LeafLinks;
use crate::response_status::is_final_status;

/// Version of the messages between VMs, and the header that carries it.
pub const MESSAGE_VERSION: u16 = 1;
pub(super) const VERSION_HEADER: &str = "cloverrack-message-version";

/// Timeout for connecting to a VM: a network round trip, with a margin for a loaded VM.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Interval between pings on a connection with requests, and timeout for the reply. A VM that is
/// suspended is found before gossip declares it dead.
const PING_INTERVAL_MS: u64 = 200;
const PING_TIMEOUT_MS: u64 = 400;

/// Time for which a VM is not used after it has failed or not run a request.
const AVOID_MS: u64 = 500;

/// Failure of a call to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum VmCallError {
    /// The request was not sent, or the VM has refused it without handling it.
    #[error("VM can't be reached")]
    NotSent,
    /// The connection broke off, or the status of the response is none that a response can have; the VM may
    /// have handled the request.
    #[error("connection to the VM broke off")]
    Broken,
}

/// Another VM, as seen by the client.
#[derive(Debug, Default)]
struct Peer {
    connection: tokio::sync::Mutex<Option<SendRequest<Full<Bytes>>>>,
    in_flight: AtomicUsize,
    avoided_until_ms: AtomicU64,
}

/// Client for calls to other VMs.
#[derive(Debug)]
pub struct VmClient {
    engine: Arc<Engine>,
    membership: Arc<Membership>,
    /// Port of the internal server, which is the same on all VMs.
    port: u16,
    /// Time for which VMs serve after they have announced that they are stopping.
    drain_ms: u64,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

/// A chosen VM. Until it is dropped, it counts as having a request in flight.
#[derive(Debug)]
pub struct ChosenVm {
    /// Internal address.
    pub address: SocketAddr,
    peer: Arc<Peer>,
}

impl ChosenVm {
    fn new(address: SocketAddr, peer: Arc<Peer>) -> Self {
        peer.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { address, peer }
    }

    /// Keeps the VM from being chosen for some time.
    pub fn avoid(&self) {
        let until_ms = boot_ms() + AVOID_MS;
        self.peer
            .avoided_until_ms
            .store(until_ms, Ordering::Relaxed);
    }
}

impl Drop for ChosenVm {
    fn drop(&mut self) {
        self.peer.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl VmClient {
    /// Creates a client of the live VMs.
    pub fn new(engine: Arc<Engine>, membership: Arc<Membership>, port: u16, drain_ms: u64) -> Self {
        Self {
            engine,
            membership,
            port,
            drain_ms,
            peers: Mutex::default(),
        }
    }

    /// Chooses a VM that reaches the leaves: an active one if possible, and one that is stopping only if
    /// there is no other.
    pub fn choose(&self, excluded: &[SocketAddr]) -> Option<ChosenVm> {
        self.choose_serving(excluded)
            .or_else(|| self.choose_of(&self.membership.leaving_vms(self.drain_ms), excluded))
    }

    /// Chooses a VM that reaches the leaves and is not stopping: an active one if possible.
    pub fn choose_serving(&self, excluded: &[SocketAddr]) -> Option<ChosenVm> {
        let live_vms = self.membership.live_vms();
        let active_vms = self.engine.active_vms(&live_vms);
        self.choose_of(&active_vms, excluded)
            .or_else(|| self.choose_of(&live_vms, excluded))
    }

    /// Returns whether [`Self::choose`] would find a VM, without choosing one.
    pub fn has_candidate(&self) -> bool {
        let (own, now_ms) = (self.membership.address(), boot_ms());
        let live_vms = self.membership.live_vms();
        let leaving_vms = self.membership.leaving_vms(self.drain_ms);
        let peers = self.peers();
        let mut vms = live_vms.iter().chain(leaving_vms.iter());
        vms.any(|vm| is_candidate(vm, own, &peers, now_ms))
    }

    /// Chooses the VM with fewer requests in flight of two random ones that reach the leaves.
    fn choose_of(&self, vms: &[LiveVm], excluded: &[SocketAddr]) -> Option<ChosenVm> {
        let now_ms = boot_ms();
        let own = self.membership.address();
        let mut peers = self.peers();
        let mut candidates = Vec::new();
        for vm in vms {
            if excluded.contains(&vm.address) || !is_candidate(vm, own, &peers, now_ms) {
                continue;
            }
            let peer = peers.entry(vm.address).or_default();
            candidates.push((vm.address, Arc::clone(peer)));
        }
        let two = candidates.sample(&mut rand::rng(), 2);
        let (address, peer) = two.min_by_key(|(_, peer)| peer.in_flight.load(Ordering::Relaxed))?;
        Some(ChosenVm::new(*address, Arc::clone(peer)))
    }

    /// Sends a request to a VM and waits for the head of the response. Dropping the future cancels the
    /// request.
    ///
    /// # Errors
    ///
    /// `NotSent` guarantees that the VM has not handled the request.
    pub async fn call(
        &self,
        vm: &ChosenVm,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, VmCallError> {
        let mut connection = self.connection(vm).await?;
        let request = Request::post(format!("http://{}{path}", vm.address))
            .header(VERSION_HEADER, MESSAGE_VERSION)
            .body(Full::new(body))
            .map_err(|_| VmCallError::NotSent)?;
        let response = connection.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() || was_refused(error.error()) {
                VmCallError::NotSent
            } else {
                VmCallError::Broken
            }
        })?;
        if !is_final_status(response.status()) {
            return Err(VmCallError::Broken);
        }
        Ok(response)
    }

    /// Returns the connection to a VM, and opens one if there is none.
    async fn connection(&self, vm: &ChosenVm) -> Result<SendRequest<Full<Bytes>>, VmCallError> {
        let mut open = vm.peer.connection.lock().await;
        if let Some(connection) = &*open
            && !connection.is_closed()
        {
            return Ok(connection.clone());
        }
        let to = SocketAddr::new(vm.address.ip(), self.port);
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = connect(self.membership.address(), to);
        let connected = timeout(limit, connecting).await.ok().flatten();
        let connection = connected.ok_or(VmCallError::NotSent)?;
        *open = Some(connection.clone());
        Ok(connection)
    }

    /// Closes the connections that carry no request.
    pub fn close_idle(&self) {
        self.peers()
            .retain(|_, peer| peer.in_flight.load(Ordering::Relaxed) > 0);
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a VM is another one than `own`, reaches the leaves and need not be avoided.
fn is_candidate(
    vm: &LiveVm,
    own: SocketAddr,
    peers: &HashMap<SocketAddr, Arc<Peer>>,
    now_ms: u64,
) -> bool {
    let avoided_until_ms = peers
        .get(&vm.address)
        .map_or(0, |peer| peer.avoided_until_ms.load(Ordering::Relaxed));
    vm.address != own && vm.leaf_links == LeafLinks::Connected && now_ms >= avoided_until_ms
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
            debug!(event = "vm_connection_ended", vm = %to, %error);
        }
    });
    Some(sender)
}
