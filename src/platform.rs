//! Client of the platform's configuration service: Consul's published KV HTTP API, reads and
//! blocking watches only.

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

use crate::faults::is_cut;

/// Prefix of all keys of the system.
pub const KEY_PREFIX: &str = "cloverrack/";

/// Largest answer of the service, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1_048_576;

/// Longest wait for an answer beyond the time that a watch was asked to block.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;

/// A read or watch failed.
#[derive(Debug)]
#[derive(Error)]
pub enum PlatformError {
    /// No connection could be set up.
    #[error("cannot connect to the platform at {address}")]
    Connect {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The exchange failed or took too long.
    #[error("exchange with the platform at {address} failed")]
    Exchange {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The service answered with another status.
    #[error("platform answered with status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not in the published form.
    #[error("platform's answer is malformed")]
    Malformed,
}

/// One value as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Key without [`KEY_PREFIX`].
    pub name: Box<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// Content.
    pub body: Vec<u8>,
}

/// Answer of one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSnapshot {
    /// Index to watch from.
    pub index: u64,
    /// All values.
    pub values: Vec<PlatformValue>,
    /// Size of the answer as it was sent, which may be compressed.
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
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads all values; with an `index`, blocks until one changed after it or `wait_ms` passed.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached, is late or answers out of form.
    pub async fn read(&self, index: u64, wait_ms: u64) -> Result<PlatformSnapshot, PlatformError> {
        let limit = Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS);
        let fetch = self.fetch(index, wait_ms);
        let address = self.address;
        timeout(limit, fetch)
            .await
            .unwrap_or(Err(PlatformError::Exchange { address }))
    }

    async fn fetch(&self, index: u64, wait_ms: u64) -> Result<PlatformSnapshot, PlatformError> {
        let address = self.address;
        if is_cut(address) {
            return Err(PlatformError::Connect { address });
        }
        let failed = |_| PlatformError::Exchange { address };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| PlatformError::Connect { address })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(failed)?;
        // The driver ends with the set, also when the exchange times out.
        let mut driver = JoinSet::new();
        driver.spawn(connection);
        let path = format!("/v1/kv/{KEY_PREFIX}?recurse=true&index={index}&wait={wait_ms}ms");
        let request = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::ACCEPT_ENCODING, "gzip")
            .body(Empty::<Bytes>::new())
            .map_err(|_| PlatformError::Malformed)?;
        let response = sender.send_request(request).await.map_err(failed)?;
        let read = parse_response(response).await;
        if is_cut(address) {
            return Err(PlatformError::Exchange { address });
        }
        read
    }
}

/// Restores a compressed answer.
fn inflate(compressed: &[u8]) -> Result<Vec<u8>, PlatformError> {
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
        inflate(&body)?
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
