//! Bounds the memory of the heads of requests that an HTTP/1.1 server receives.
//!
//! Handles callers that send long heads, or heads that they never complete, on many connections at the same
//! time. A head that fits the first read buffer takes nothing: the number of connections bounds these.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const BYTES_PER_KIB: usize = 1_024;

/// Maximum number of bytes that one read takes. `hyper` doubles its read buffer of 8 KiB after a read that fills
/// it.
const MAX_READ_BYTES: usize = 8 * BYTES_PER_KIB - 1;

/// Memory of a head that exceeds the first read buffer.
const LONG_HEAD_KIB: u32 = 40;

/// Memory that long heads share.
#[derive(Clone, Debug)]
pub struct RequestHeadMemory {
    available_kib: Arc<Semaphore>,
}

impl RequestHeadMemory {
    /// Creates a memory of `bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::head_memory::RequestHeadMemory;
    /// assert_eq!(RequestHeadMemory::new(65_536).available_bytes(), 65_536);
    /// ```
    pub fn new(bytes: usize) -> Self {
        Self {
            available_kib: Arc::new(Semaphore::new(bytes / BYTES_PER_KIB)),
        }
    }

    /// Returns the bytes that further heads may take.
    pub fn available_bytes(&self) -> usize {
        self.available_kib.available_permits() * BYTES_PER_KIB
    }
}

/// Bytes that a connection has received since its latest request.
#[derive(Debug)]
pub(crate) struct HeadMeter {
    memory: RequestHeadMemory,
    received_bytes: AtomicUsize,
    requests: AtomicUsize,
    permit: Mutex<Option<OwnedSemaphorePermit>>,
    is_http2: AtomicBool,
    is_refused: AtomicBool,
}

/// A request whose head is complete. Its memory is released when this is dropped.
#[derive(Debug)]
pub(crate) struct OpenHead(Arc<HeadMeter>);

impl HeadMeter {
    pub(crate) fn new(memory: RequestHeadMemory) -> Self {
        Self {
            memory,
            received_bytes: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            permit: Mutex::default(),
            is_http2: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
        }
    }

    /// Records that the head of a request is complete; what follows is its body.
    pub(crate) fn begin_request(self: &Arc<Self>) -> OpenHead {
        self.requests.fetch_add(1, Ordering::Relaxed);
        OpenHead(Arc::clone(self))
    }

    /// Ends the limit: `h2` has one of its own on the size of heads.
    pub(crate) fn set_http2(&self) {
        self.is_http2.store(true, Ordering::Relaxed);
    }

    /// Returns whether a head found no memory.
    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }

    fn is_reading_head(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.is_http2.load(Ordering::Relaxed)
    }

    /// Returns whether more of a head may be received.
    fn admit(&self) -> bool {
        if !self.is_reading_head() || self.received_bytes.load(Ordering::Relaxed) < MAX_READ_BYTES {
            return true;
        }
        let mut permit = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        if permit.is_none() {
            let available_kib = Arc::clone(&self.memory.available_kib);
            *permit = available_kib.try_acquire_many_owned(LONG_HEAD_KIB).ok();
        }
        self.is_refused.store(permit.is_none(), Ordering::Relaxed);
        permit.is_some()
    }

    fn record(&self, bytes: usize) {
        if self.is_reading_head() {
            self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

impl Drop for OpenHead {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.received_bytes.store(0, Ordering::Relaxed);
        let mut permit = self.0.permit.lock().unwrap_or_else(PoisonError::into_inner);
        *permit = None;
    }
}

/// Stream that ends with an error if a head finds no memory.
#[derive(Debug)]
pub(crate) struct HeadMeteredStream<S> {
    stream: S,
    meter: Arc<HeadMeter>,
}

impl<S> HeadMeteredStream<S> {
    pub(crate) fn new(stream: S, meter: Arc<HeadMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadMeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.meter.admit() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let limit = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        self.meter.record(bytes);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadMeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
