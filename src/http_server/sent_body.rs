//! Body of a response that counts as held until its last part has been written to the connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::HttpResponse;
use super::response_memory::{CutOffSender, HeldResponse, ResponseMemory};
use crate::full_body;

/// Size of a part. The end of each shows progress; usual responses have one.
const PART_BYTES: usize = 16 * 1_024;

/// Body of a response as it is sent.
#[derive(Debug)]
pub(super) struct SentBody {
    rest: Bytes,
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
    memory: Option<&ResponseMemory>,
    connection: &CutOffSender,
) -> http::Response<SentBody> {
    response.map(|body| {
        let rest = full_body::into_bytes(body);
        let memory = memory.filter(|_| !rest.is_empty());
        let held = memory.map(|memory| Arc::new(memory.hold(connection, rest.len())));
        SentBody { rest, held }
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
        let length = self.rest.len().min(PART_BYTES);
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
