//! Body of a response that counts as held until its last part has been written to the connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Version;
use hyper::body::{Body, Frame, SizeHint};

use super::HttpResponse;
use super::response_memory::{CutOffSender, HeldResponse, ResponseMemory};
use crate::full_body;

/// Size of a part, whose end shows progress. With HTTP/1.1, `hyper` writes each part by itself, and the kernel
/// reports free space in steps of this order; with HTTP/2, it is the size of a frame.
const PART_BYTES: usize = 64 * 1_024;
const HTTP2_PART_BYTES: usize = 16 * 1_024;

/// Size up to which a response is not counted with HTTP/1.1. A connection has one at a time, beside an unused read
/// buffer of 8 KiB, and the kernel takes it at once unless the caller has left 128 KiB unread.
const SMALL_RESPONSE_BYTES: usize = 4 * 1_024;

/// Body of a response as it is sent.
#[derive(Debug)]
pub(super) struct SentBody {
    rest: Bytes,
    part_bytes: usize,
    held: Option<Arc<HeldResponse>>,
}

/// A part of a body, which `hyper` drops after it has been written.
struct SentPart {
    bytes: Bytes,
    held: Arc<HeldResponse>,
}

impl AsRef<[u8]> for SentPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for SentPart {
    fn drop(&mut self) {
        self.held.record_progress();
    }
}

/// Counts a response in a memory, if the listener has one, while it is sent on a connection.
pub(super) fn hold(
    response: HttpResponse,
    version: Version,
    memory: Option<&ResponseMemory>,
    connection: &CutOffSender,
) -> http::Response<SentBody> {
    let (uncounted_bytes, part_bytes) = if version == Version::HTTP_2 {
        (0, HTTP2_PART_BYTES)
    } else {
        (SMALL_RESPONSE_BYTES, PART_BYTES)
    };
    response.map(|body| {
        let rest = full_body::into_bytes(body);
        let memory = memory.filter(|_| rest.len() > uncounted_bytes);
        let held = memory.map(|memory| Arc::new(memory.hold(connection, rest.len())));
        SentBody {
            rest,
            part_bytes,
            held,
        }
    })
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let Some(held) = self.held.clone() else {
            let rest = std::mem::take(&mut self.rest);
            return Poll::Ready(Some(Ok(Frame::data(rest))));
        };
        let length = self.rest.len().min(self.part_bytes);
        let bytes = self.rest.split_to(length);
        let part = Bytes::from_owner(SentPart { bytes, held });
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
