//! One HTTP exchange with a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::CliError;

/// Time allowed for an exchange beyond the deadline of the request in it.
const EXCHANGE_TIMEOUT_MS: u64 = 5_000;

/// Sends a request and parses the JSON answer, whatever its status.
pub async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
    deadline_ms: u64,
) -> Result<T, CliError> {
    let limit = Duration::from_millis(deadline_ms.saturating_add(EXCHANGE_TIMEOUT_MS));
    let answer = timeout(limit, send(address, method, path, body)).await;
    let bytes = answer.ok().flatten().ok_or(CliError::NoAnswer(address))?;
    serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(address))
}

async fn send(address: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Option<Bytes> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}
