//! Reads the documents that requests are routed by from the platform's configuration service.
//!
//! The client uses reads and blocking queries of Consul's KV HTTP API, never writes. A service that
//! is unreachable or slow, or a response that is malformed or too large, fails the read; the caller
//! decides when to retry.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use flate2::read::GzDecoder;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::faults::is_link_cut;

/// Prefix of all keys that are read.
pub const KEY_PREFIX: &str = "cloverrack/";

/// Maximum size of a response, before and after decompression, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1_048_576;

/// Timeout of a read, in addition to the time for which a watch blocks.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;

/// Error of a read or watch.
#[derive(Debug)]
#[derive(Error)]
pub enum PlatformError {
    /// No connection could be established.
    #[error("failed to connect to the platform at {address}")]
    Connect {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The request failed or timed out.
    #[error("request to the platform at {address} failed or timed out")]
    Request {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The service returned a status other than 200 and 404.
    #[error("platform returned HTTP status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The response does not conform to the API.
    #[error("response of the platform is malformed")]
    Malformed,
}

/// Key-value pair of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Key without [`KEY_PREFIX`].
    pub name: Box<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// Decoded value.
    pub body: Vec<u8>,
}

/// Result of one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSnapshot {
    /// Index that a later watch starts from.
    pub index: u64,
    /// All values under [`KEY_PREFIX`].
    pub values: Vec<PlatformValue>,
    /// Size of the response body as transferred, which may be compressed.
    pub response_bytes: u64,
}

#[derive(Deserialize)]
struct KvEntry {
    #[serde(rename = "Key")]
    key: Box<str>,
    #[serde(rename = "ModifyIndex")]
    modify_index: u64,
    #[serde(rename = "Value")]
    value: Option<Box<str>>,
}

/// Client of the configuration service.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads all values. With a non-zero `index`, blocks until a value changes after that index or
    /// `wait_ms` has passed.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached, does not respond in time, or returns an unexpected
    /// status or a malformed response.
    pub async fn read(&self, index: u64, wait_ms: u64) -> Result<PlatformSnapshot, PlatformError> {
        let limit = Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS);
        let fetch = self.fetch(index, wait_ms);
        let address = self.address;
        timeout(limit, fetch)
            .await
            .unwrap_or(Err(PlatformError::Request { address }))
    }

    async fn fetch(&self, index: u64, wait_ms: u64) -> Result<PlatformSnapshot, PlatformError> {
        let address = self.address;
        if is_link_cut(address) {
            return Err(PlatformError::Connect { address });
        }
        let request_error = |_| PlatformError::Request { address };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| PlatformError::Connect { address })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(request_error)?;
        // Dropping the set aborts the connection's task, also when the request times out.
        let mut connection_tasks = JoinSet::new();
        connection_tasks.spawn(connection);
        let path = format!("/v1/kv/{KEY_PREFIX}?recurse=true&index={index}&wait={wait_ms}ms");
        let request = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::ACCEPT_ENCODING, "gzip")
            .body(Empty::<Bytes>::new())
            .map_err(|_| PlatformError::Malformed)?;
        let response = sender.send_request(request).await.map_err(request_error)?;
        let result = parse_response(response).await;
        if is_link_cut(address) {
            return Err(PlatformError::Request { address });
        }
        result
    }
}

/// Decompresses a gzip response body of at most [`MAX_RESPONSE_BYTES`].
fn gunzip(compressed: &[u8]) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    let mut reader = GzDecoder::new(compressed).take(MAX_RESPONSE_BYTES as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|_| PlatformError::Malformed)?;
    if body.len() > MAX_RESPONSE_BYTES {
        return Err(PlatformError::Malformed);
    }
    Ok(body)
}

async fn parse_response(
    response: http::Response<hyper::body::Incoming>,
) -> Result<PlatformSnapshot, PlatformError> {
    let status = response.status().as_u16();
    let index = response
        .headers()
        .get("x-consul-index")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    if status != 200 && status != 404 {
        return Err(PlatformError::Status { status });
    }
    let index = index.ok_or(PlatformError::Malformed)?;
    if status == 404 {
        return Ok(PlatformSnapshot {
            index,
            values: Vec::new(),
            response_bytes: 0,
        });
    }
    let encoding = response.headers().get(http::header::CONTENT_ENCODING);
    let compressed = encoding.is_some_and(|encoding| encoding.as_bytes() == b"gzip");
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|_| PlatformError::Malformed)?
        .to_bytes();
    let body_bytes = body.len() as u64;
    let body = if compressed {
        gunzip(&body)?
    } else {
        body.into()
    };
    let entries: Vec<KvEntry> =
        serde_json::from_slice(&body).map_err(|_| PlatformError::Malformed)?;
    let mut values = Vec::with_capacity(entries.len());
    for entry in entries {
        let Some(name) = entry.key.strip_prefix(KEY_PREFIX) else {
            continue;
        };
        let encoded = entry.value.unwrap_or_default();
        let body = STANDARD
            .decode(&*encoded)
            .map_err(|_| PlatformError::Malformed)?;
        values.push(PlatformValue {
            name: name.into(),
            revision: entry.modify_index,
            body,
        });
    }
    Ok(PlatformSnapshot {
        index,
        values,
        response_bytes: body_bytes,
    })
}
