//! HTTP client for requests to a node.
//!
//! Each request uses a new connection and has a time limit, so that a node that does not answer
//! can't block the command.

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

/// Time allowed for an exchange beyond the deadline of the request that it carries.
const EXCHANGE_MARGIN_MS: u64 = 5_000;

/// Sends a request and parses the JSON body of the response, whatever its status code.
pub async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
    deadline_ms: u64,
) -> Result<T, CliError> {
    let time_limit = Duration::from_millis(deadline_ms.saturating_add(EXCHANGE_MARGIN_MS));
    let answer = timeout(time_limit, send(address, method, path, body)).await;
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
