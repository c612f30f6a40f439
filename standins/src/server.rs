//! Small HTTP helpers that the stand-ins share.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;

/// Body of all answers.
pub type Body = Full<Bytes>;

/// Makes a JSON answer.
pub fn json<T: Serialize>(content: &T) -> Response<Body> {
    Response::new(Full::new(
        serde_json::to_vec(content).unwrap_or_default().into(),
    ))
}

/// Makes an empty answer.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Reads a whole body; a broken one is empty.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}
