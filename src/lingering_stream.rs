//! Keeps a stream open after its HTTP connection has ended, until the client has closed it too.
//!
//! Handles clients that have sent more than the server reads, such as a second request behind one whose
//! response closes the connection: closing a socket with unread bytes resets it, and the client loses
//! the part of the response that it has not received.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Longest time for which a client may take to receive the response and to close its side.
const LINGER_MS: u64 = 5_000;

/// Size of the buffer for the bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// Stream of a server's connection. When it is dropped after its write side was shut down, it is handed
/// to the [`ClosingStream`].
#[derive(Debug)]
pub(crate) struct LingeringStream<S> {
    stream: Option<S>,
    is_shut_down: bool,
    released: Option<oneshot::Sender<S>>,
}

/// Stream whose connection has ended.
#[derive(Debug)]
pub(crate) struct ClosingStream<S>(oneshot::Receiver<S>);

impl<S: AsyncRead + Unpin> LingeringStream<S> {
    pub(crate) fn new(stream: S) -> (Self, ClosingStream<S>) {
        let (released, receiver) = oneshot::channel();
        let lingering = Self {
            stream: Some(stream),
            is_shut_down: false,
            released: Some(released),
        };
        (lingering, ClosingStream(receiver))
    }
}

impl<S: AsyncRead + Unpin> ClosingStream<S> {
    /// Discards what the client sends until it closes the stream. Returns at once if the connection
    /// still holds the stream or has ended without a shutdown.
    pub(crate) async fn wait_for_client(mut self) {
        let Ok(mut stream) = self.0.try_recv() else {
            return;
        };
        let discarding = async {
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            while stream
                .read(&mut buffer)
                .await
                .is_ok_and(|length| length > 0)
            {}
        };
        // A client that takes longer loses what it has not received.
        let _ = timeout(Duration::from_millis(LINGER_MS), discarding).await;
    }
}

impl<S> Drop for LingeringStream<S> {
    fn drop(&mut self) {
        if !self.is_shut_down {
            return;
        }
        if let (Some(stream), Some(released)) = (self.stream.take(), self.released.take()) {
            // Without a receiver the stream is dropped, which closes it.
            let _ = released.send(stream);
        }
    }
}

impl<S: Unpin> LingeringStream<S> {
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut();
        stream
            .map(Pin::new)
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().stream()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .stream()?
            .poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let shutdown = this.stream()?.poll_shutdown(context);
        this.is_shut_down |= matches!(shutdown, Poll::Ready(Ok(())));
        shutdown
    }
}
