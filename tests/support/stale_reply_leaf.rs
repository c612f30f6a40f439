//! Serves a leaf that answers each call with the response to the previous call, headers included.
//! The first call fails, as there is no previous response.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

/// Status response of a leaf that serves snapshot 1.1.
const STATUS: &str =
    r#"{"draining": false, "cold": false, "snapshots": [{"version": 1, "layout": 1}]}"#;

/// Headers that identify the call.
const CALL_HEADERS: [&str; 3] = ["x-call-id", "x-shard", "x-snapshot"];

/// Response to the previous call.
type LastResponse = Arc<Mutex<Option<(HeaderMap, Bytes)>>>;

/// Binds the leaf's address and serves until the runtime shuts down. Returns the number of calls,
/// which grows.
pub async fn serve(address: SocketAddr) -> std::io::Result<Arc<AtomicUsize>> {
    let listener = TcpListener::bind(address).await?;
    let last = LastResponse::default();
    let calls = Arc::new(AtomicUsize::new(0));
    let served_calls = Arc::clone(&calls);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let (last, calls) = (Arc::clone(&last), Arc::clone(&served_calls));
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    handle(Arc::clone(&last), Arc::clone(&calls), request)
                });
                let _ = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(calls)
}

async fn handle(
    last: LastResponse,
    calls: Arc<AtomicUsize>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == "/v1/status" {
        return Ok(Response::new(Full::new(Bytes::from(STATUS))));
    }
    calls.fetch_add(1, Ordering::SeqCst);
    let (parts, body) = request.into_parts();
    let payload = body.collect().await.map(|body| body.to_bytes());
    let text = |name: &str| parts.headers[name].to_str().unwrap_or("").to_owned();
    let body = format!(
        "{}:{}:{}",
        text("x-snapshot"),
        text("x-shard"),
        String::from_utf8_lossy(&payload.unwrap_or_default())
    );
    let mut headers = HeaderMap::new();
    for name in CALL_HEADERS {
        headers.insert(name, parts.headers[name].clone());
    }
    let current = (headers, Bytes::from(body));
    let mut previous = last.lock().unwrap_or_else(PoisonError::into_inner);
    let Some((headers, body)) = previous.replace(current) else {
        let mut failed = Response::new(Full::default());
        *failed.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(failed);
    };
    let mut response = Response::new(Full::new(body));
    *response.headers_mut() = headers;
    Ok(response)
}
