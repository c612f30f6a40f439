//! Takes the bytes out of a body that consists of one part.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;

/// Returns the bytes of a body.
pub(crate) fn into_bytes(mut body: Full<Bytes>) -> Bytes {
    let mut context = Context::from_waker(Waker::noop());
    match Pin::new(&mut body).poll_frame(&mut context) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        _ => Bytes::new(),
    }
}
