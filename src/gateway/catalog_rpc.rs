//! Transfers the catalog, by which requests are routed, between VMs: one HTTP/2 request with a
//! bincode-encoded response.
//!
//! Handles VMs that the platform rejects, or that start while the platform is down: they fetch the
//! configuration and the leaves from their peers. In a large fleet, most VMs always do, since only
//! a few watch the platform.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bincode::Decode;
use bytes::{Bytes, BytesMut};
use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, StatusCode};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;
use tracing::{debug, warn};

use super::catalog::CatalogUpdate;
use super::engine::Engine;
use super::evacuation::message::{decode_header, encode_header};
use super::evacuation::{Evacuation, WarmupSettings};
use crate::document::Version;
use crate::wire::{MAX_FRAME_BYTES, decode_within, encode};

/// Timeout for a peer to accept the connection and begin to respond. It is a small part of the time within
/// which a new configuration has to be in force, so that several peers can be asked.
const RESPONSE_TIMEOUT_MS: u64 = 400;

/// Time without any bytes of a response after which the peer counts as lost.
const STALL_TIMEOUT_MS: u64 = 400;

/// Timeout for a complete exchange. A catalog of a megabyte takes 0.6 s over a link of 14 Mbit/s, which
/// several peers may share.
const EXCHANGE_TIMEOUT_MS: u64 = 3_000;

/// Delay after a connection that could not be accepted.
const ACCEPT_RETRY_MS: u64 = 200;

/// HTTP/2 flow-control window, large enough that an image is sent without waiting for a window
/// update.
const FLOW_CONTROL_WINDOW_BYTES: u32 = 1_048_576;

/// Maximum size of an update in memory. The largest configuration, of a megabyte, takes about three.
const MAX_DECODED_BYTES: usize = 8 * 1_048_576;

/// Maximum number of connections served concurrently.
const MAX_CONNECTIONS: usize = 64;

const BYTES_PER_KIB: usize = 1_024;

/// Header with the version up to which the requesting VM has all changes, as `EPOCH.REVISION`.
const AFTER_HEADER: &str = "cloverrack-after";

/// Version of the format of a catalog; VMs exchange none with those of another version.
pub const CATALOG_VERSION: u16 = 2;

/// Header with that version.
const VERSION_HEADER: &str = "cloverrack-protocol";

/// Header of a response with the evacuated failure domains, if there are any. A VM that starts gets them with
/// its first leaves, although gossip may be late.
const EVACUATIONS_HEADER: &str = "cloverrack-evacuations";

/// Header of a response with the limits of cold leaves, if any are configured.
const WARMUPS_HEADER: &str = "cloverrack-warmups";

/// Response of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchedCatalog {
    /// Changes of the catalog.
    pub update: CatalogUpdate,
    /// Evacuated failure domains that the peer knows of.
    pub evacuations: Vec<Evacuation>,
    /// Limits on requests to cold leaves.
    pub warmups: Option<WarmupSettings>,
}

/// Reason why a catalog update could not be fetched from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CatalogRpcError {
    /// The peer can't be reached, or did not respond in time.
    #[error("peer is unreachable or did not respond in time")]
    Unreachable,
    /// The peer sends the catalog to too many others.
    #[error("peer has no memory for another response")]
    Busy,
    /// The response is an error, as for another protocol version, is too large or can't be decoded.
    #[error("response of the peer is malformed")]
    Malformed,
}

/// Fetches the changes after a version from a peer.
///
/// # Errors
///
/// Fails if the peer doesn't respond in time or uses another protocol version.
pub async fn fetch_update(
    peer: SocketAddr,
    after: Version,
) -> Result<FetchedCatalog, CatalogRpcError> {
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    let result = timeout(limit, fetch_update_once(peer, after)).await;
    result.map_err(|_| CatalogRpcError::Unreachable)?
}

async fn fetch_update_once(
    peer: SocketAddr,
    after: Version,
) -> Result<FetchedCatalog, CatalogRpcError> {
    let responding = async {
        let stream = TcpStream::connect(peer).await.map_err(log_unreachable)?;
        let (client, connection) = h2::client::Builder::new()
            .initial_window_size(FLOW_CONTROL_WINDOW_BYTES)
            .initial_connection_window_size(FLOW_CONTROL_WINDOW_BYTES)
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(log_unreachable)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(connection));
        let response = request_update(client, peer, after).await?;
        Ok((driver, response))
    };
    let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
    let responded = timeout(limit, responding).await;
    let (_driver, response) = responded.map_err(|_| CatalogRpcError::Unreachable)??;
    let headers = response.headers();
    let evacuations = read_header(headers, EVACUATIONS_HEADER, peer);
    let warmups = read_header(headers, WARMUPS_HEADER, peer);
    let update = read_update(response.into_body()).await?;
    Ok(FetchedCatalog {
        update,
        evacuations: evacuations.unwrap_or_default(),
        warmups,
    })
}

/// Reads what the store says beside the catalog from a header of a response. If it is malformed, the catalog is
/// still used: gossip brings evacuations, and without their limits cold leaves are called like others.
fn read_header<T: Decode<()>>(headers: &HeaderMap, name: &str, peer: SocketAddr) -> Option<T> {
    let value = headers.get(name)?;
    let message = value.to_str().ok().and_then(decode_header);
    if message.is_none() {
        warn!(event = "catalog_header_malformed", %peer, name);
    }
    message
}

/// Sends the request and returns the response.
async fn request_update(
    client: h2::client::SendRequest<Bytes>,
    peer: SocketAddr,
    after: Version,
) -> Result<Response<h2::RecvStream>, CatalogRpcError> {
    let mut client = client.ready().await.map_err(log_unreachable)?;
    let request = Request::builder()
        .uri(format!("http://{peer}/catalog"))
        .header(AFTER_HEADER, format!("{}.{}", after.epoch, after.revision))
        .header(VERSION_HEADER, CATALOG_VERSION)
        .body(())
        .map_err(|_| CatalogRpcError::Malformed)?;
    let (response, _) = client
        .send_request(request, true)
        .map_err(log_unreachable)?;
    let response = response.await.map_err(log_unreachable)?;
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::SERVICE_UNAVAILABLE => Err(CatalogRpcError::Busy),
        _ => Err(CatalogRpcError::Malformed),
    }
}

async fn read_update(mut body: h2::RecvStream) -> Result<CatalogUpdate, CatalogRpcError> {
    let limit = Duration::from_millis(STALL_TIMEOUT_MS);
    let mut bytes = BytesMut::new();
    loop {
        let received = timeout(limit, body.data()).await;
        let Some(chunk) = received.map_err(|_| CatalogRpcError::Unreachable)? else {
            break;
        };
        let chunk = chunk.map_err(log_unreachable)?;
        let released = body.flow_control().release_capacity(chunk.len());
        released.map_err(log_unreachable)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(CatalogRpcError::Malformed);
        }
    }
    decode_within::<MAX_DECODED_BYTES, _>(&bytes).map_err(|_| CatalogRpcError::Malformed)
}

/// Logs the failure of an exchange and returns it as [`CatalogRpcError::Unreachable`].
fn log_unreachable<E: std::fmt::Display>(error: E) -> CatalogRpcError {
    debug!(event = "catalog_rpc_failed", %error);
    CatalogRpcError::Unreachable
}

/// Encoded updates that are being sent. Peers that ask for the same one share it.
#[derive(Debug)]
struct OpenUpdates {
    available_kib: Arc<Semaphore>,
    /// Updates by the version of the peer and the one of the catalog.
    open: Mutex<HashMap<(Version, Version), Weak<EncodedUpdate>>>,
}

#[derive(Debug)]
struct EncodedUpdate {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

/// A response that shares an encoded update.
struct SharedUpdate(Arc<EncodedUpdate>);

impl AsRef<[u8]> for SharedUpdate {
    fn as_ref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl OpenUpdates {
    /// Creates a memory for updates. A peer that finds no room asks another VM.
    fn new(bytes: usize) -> Self {
        Self {
            available_kib: Arc::new(Semaphore::new(bytes / BYTES_PER_KIB)),
            open: Mutex::default(),
        }
    }

    /// Returns the encoded update for a peer that has all changes up to `after`, or the status of the
    /// refusal.
    fn encode(&self, engine: &Engine, after: Version) -> Result<Bytes, StatusCode> {
        let state = engine.state();
        let key = (after, state.catalog.version());
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|_, update| update.strong_count() > 0);
        if let Some(update) = open.get(&key).and_then(Weak::upgrade) {
            return Ok(Bytes::from_owner(SharedUpdate(update)));
        }
        let update = state.catalog.update_since(after);
        drop(state);
        let bytes = encode(&update).map_err(|error| {
            warn!(event = "catalog_too_large", %error);
            StatusCode::INTERNAL_SERVER_ERROR
        })?;
        let size_kib = u32::try_from(bytes.len().div_ceil(BYTES_PER_KIB)).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.available_kib).try_acquire_many_owned(size_kib);
        let permit = permit.map_err(|_| {
            engine.metrics.count_memory_refusal("catalog_update");
            StatusCode::SERVICE_UNAVAILABLE
        })?;
        let update = Arc::new(EncodedUpdate {
            bytes,
            _permit: permit,
        });
        open.insert(key, Arc::downgrade(&update));
        Ok(Bytes::from_owner(SharedUpdate(update)))
    }
}

/// Serves the catalog to peers until the task is dropped.
pub async fn serve(listener: TcpListener, engine: Arc<Engine>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let open_updates = Arc::new(OpenUpdates::new(engine.memory_limits.catalog_update_bytes));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "catalog_rpc_not_accepted", %error);
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let (engine, open_updates) = (Arc::clone(&engine), Arc::clone(&open_updates));
        tokio::spawn(async move {
            let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
            if timeout(limit, serve_connection(stream, &engine, &open_updates))
                .await
                .is_err()
            {
                debug!(event = "catalog_rpc_timed_out");
            }
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, engine: &Engine, open_updates: &OpenUpdates) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(FLOW_CONTROL_WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await;
    let Ok(mut connection) = handshake else {
        return;
    };
    while let Some(accepted) = connection.accept().await {
        let Ok((request, mut respond)) = accepted else {
            return;
        };
        let (status, body) = match handle_request(&request, engine, open_updates) {
            Ok(body) => (StatusCode::OK, body),
            Err(status) => (status, Bytes::new()),
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        if status == StatusCode::OK {
            add_headers(response.headers_mut(), engine);
        }
        let sent = respond.send_response(response, body.is_empty());
        if let Ok(mut stream) = sent
            && let Err(error) = stream.send_data(body, true)
        {
            debug!(event = "catalog_rpc_failed", %error);
        }
    }
}

/// Adds what the store says beside the catalog to the head of a response, as far as it is configured.
fn add_headers(headers: &mut HeaderMap, engine: &Engine) {
    let state = engine.state();
    let evacuations = state.evacuations.active_facts();
    let warmups = &state.warmups;
    let texts = [
        (
            EVACUATIONS_HEADER,
            !evacuations.is_empty(),
            encode_header(&evacuations),
        ),
        (
            WARMUPS_HEADER,
            state.has_had_warmups,
            encode_header(warmups),
        ),
    ];
    for (name, is_configured, text) in texts {
        let value = text.and_then(|text| HeaderValue::try_from(text).ok());
        if let Some(value) = value.filter(|_| is_configured) {
            headers.insert(name, value);
        }
    }
}

fn handle_request<B>(
    request: &Request<B>,
    engine: &Engine,
    open_updates: &OpenUpdates,
) -> Result<Bytes, StatusCode> {
    let header_text = |name| request.headers().get(name)?.to_str().ok();
    let catalog_version = header_text(VERSION_HEADER).and_then(|text| text.parse().ok());
    let (Some(after), true) = (
        header_text(AFTER_HEADER).and_then(parse_version),
        catalog_version == Some(u64::from(CATALOG_VERSION)),
    ) else {
        return Err(StatusCode::BAD_REQUEST);
    };
    open_updates.encode(engine, after)
}

/// Parses a version of the form `EPOCH.REVISION`.
fn parse_version(text: &str) -> Option<Version> {
    let (epoch, revision) = text.split_once('.')?;
    Some(Version {
        epoch: epoch.parse().ok()?,
        revision: revision.parse().ok()?,
    })
}
