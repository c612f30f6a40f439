//! HTTP helpers shared by the stand-ins.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;

/// Body type of all responses.
pub type Body = Full<Bytes>;

/// Creates a JSON response.
pub fn json<T: Serialize>(content: &T) -> Response<Body> {
    Response::new(Full::new(
        serde_json::to_vec(content).unwrap_or_default().into(),
    ))
}

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Reads a complete body; returns an empty one on a read error.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}
