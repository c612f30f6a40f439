//! TCP stream that ends with an error once its peer has sent more bytes than allowed.
//!
//! Handles leaves that send heads, interim responses or chunk headers without end, which never
//! become a body whose size could be checked.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be received on a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    pub(super) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn add(&self, bytes: usize) {
        let rest = self.0.load(Ordering::Relaxed).saturating_add(bytes);
        self.set(rest);
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, bytes: usize) {
        let rest = self.0.load(Ordering::Relaxed).saturating_sub(bytes);
        self.set(rest);
    }
}

/// A TCP stream with an allowance for the bytes received on it.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exhausted() {
            let error = io::Error::other("peer sent more bytes than allowed");
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.take(buffer.filled().len() - filled);
        result
    }
}

impl AsyncWrite for MeteredStream {
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
        parts: &[IoSlice<'_>],
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
