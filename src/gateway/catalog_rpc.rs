//! Exchange of the catalog between VMs: HTTP/2 with one bincode message each way.
//!
//! A VM that the platform turns away, or that starts while the platform is down, learns the
//! configuration and the leaves from its peers; in a large fleet most VMs do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tracing::{debug, warn};

use super::catalog::CatalogUpdate;
use super::engine::Engine;
use crate::wire::{MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};

/// Time allowed for a whole exchange: a way there and back, and an image of some hundred kilobytes.
const EXCHANGE_TIMEOUT_MS: u64 = 900;

/// Flow-control window, so that an image needs no second round.
const WINDOW_BYTES: u32 = 1_048_576;

/// Exchanges served at a time.
const MAX_EXCHANGES: usize = 64;

/// Header with the revision up to which the asking VM knows everything.
const AFTER_HEADER: &str = "cloverrack-after";

/// Header with the version of the internal protocol.
const VERSION_HEADER: &str = "cloverrack-protocol";

/// A peer did not give its catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CatalogRpcError {
    /// The peer can't be reached, or did not answer in time.
    #[error("peer did not answer")]
    Unreachable,
    /// The answer is not one of this protocol version.
    #[error("answer of the peer is malformed")]
    Malformed,
}

/// Asks a peer for what it knows beyond a revision.
///
/// # Errors
///
/// Fails if the peer can't be reached in time or answers in another version.
pub async fn fetch_update(peer: SocketAddr, after: u64) -> Result<CatalogUpdate, CatalogRpcError> {
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    let asked = timeout(limit, fetch_update_once(peer, after)).await;
    asked.map_err(|_| CatalogRpcError::Unreachable)?
}

async fn fetch_update_once(peer: SocketAddr, after: u64) -> Result<CatalogUpdate, CatalogRpcError> {
    let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(unreachable)?;
    let driver = tokio::spawn(connection);
    let result = fetch_update_on(client, peer, after).await;
    driver.abort();
    result
}

async fn fetch_update_on(
    client: h2::client::SendRequest<Bytes>,
    peer: SocketAddr,
    after: u64,
) -> Result<CatalogUpdate, CatalogRpcError> {
    let mut client = client.ready().await.map_err(unreachable)?;
    let request = Request::builder()
        .uri(format!("http://{peer}/catalog"))
        .header(AFTER_HEADER, after)
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(())
        .map_err(|_| CatalogRpcError::Malformed)?;
    let (response, _) = client.send_request(request, true).map_err(unreachable)?;
    let response = response.await.map_err(unreachable)?;
    if response.status() != StatusCode::OK {
        return Err(CatalogRpcError::Malformed);
    }
    let mut body = response.into_body();
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(unreachable)?;
        let released = body.flow_control().release_capacity(chunk.len());
        released.map_err(unreachable)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(CatalogRpcError::Malformed);
        }
    }
    decode(&bytes).map_err(|_| CatalogRpcError::Malformed)
}

fn unreachable<E: std::fmt::Display>(error: E) -> CatalogRpcError {
    debug!(event = "catalog_rpc_failed", %error);
    CatalogRpcError::Unreachable
}

/// Serves peers until the task is dropped.
pub async fn serve(listener: TcpListener, engine: Arc<Engine>) {
    let permits = Arc::new(Semaphore::new(MAX_EXCHANGES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "catalog_rpc_not_accepted", %error);
                tokio::time::sleep(Duration::from_millis(EXCHANGE_TIMEOUT_MS)).await;
                continue;
            }
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
            if timeout(limit, serve_connection(stream, engine))
                .await
                .is_err()
            {
                debug!(event = "catalog_rpc_timed_out");
            }
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, engine: Arc<Engine>) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await;
    let Ok(mut connection) = handshake else {
        return;
    };
    while let Some(accepted) = connection.accept().await {
        let Ok((request, mut respond)) = accepted else {
            return;
        };
        let (status, body) = answer(&request, &engine);
        let mut response = Response::new(());
        *response.status_mut() = status;
        let sent = respond.send_response(response, body.is_empty());
        if let Ok(mut stream) = sent
            && let Err(error) = stream.send_data(body, true)
        {
            debug!(event = "catalog_rpc_failed", %error);
        }
    }
}

fn answer<B>(request: &Request<B>, engine: &Engine) -> (StatusCode, Bytes) {
    let number = |name| request.headers().get(name)?.to_str().ok()?.parse().ok();
    let version: Option<u64> = number(VERSION_HEADER);
    let (Some(after), true) = (
        number(AFTER_HEADER),
        version == Some(u64::from(PROTOCOL_VERSION)),
    ) else {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    };
    let update = engine.state().catalog.since(after);
    match encode(&update) {
        Ok(bytes) => (StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            warn!(event = "catalog_too_large", %error);
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}
