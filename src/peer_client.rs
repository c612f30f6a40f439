//! Client side of the internal transport: sends batches and calls to other VMs over HTTP/2 streams
//! of bincode frames.
//!
//! Each peer has one multiplexed connection. Errors before a stream is accepted are distinct from
//! later ones, so that the caller can distinguish a message that was certainly not handled from one
//! that may have been.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Request, StatusCode};
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::{Mutex, mpsc};
use tokio::time::timeout;
use tracing::debug;

use crate::faults::is_link_cut;
use crate::ids::Incarnation;
use crate::response_status::is_final_status;
use crate::wire::{
    BatchCommand, FrameDecoder, LeafReply, PROTOCOL_VERSION, WireError, encode_frame,
};

/// Timeout for establishing a connection to a peer.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// HTTP/2 flow-control window of a connection and of a stream, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1_048_576;

/// Timeout for the HTTP/2 handshake of a peer, and for the first message of a stream.
pub(crate) const FIRST_MESSAGE_TIMEOUT_MS: u64 = 5_000;

pub(crate) const PROTOCOL_VERSION_HEADER: &str = "x-protocol-version";
const INCARNATION_HEADER: &str = "x-incarnation";
pub(crate) const INTERNAL_ADDRESS_HEADER: &str = "x-internal-address";

/// Error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum PeerCallError {
    /// No connection or stream could be opened; nothing was sent.
    #[error("failed to connect to peer {peer}")]
    Connect {
        /// Internal address of the peer.
        peer: SocketAddr,
    },
    /// The peer rejected the stream without handling it.
    #[error("peer {peer} rejected the stream with HTTP status {status}")]
    Rejected {
        /// Internal address of the peer.
        peer: SocketAddr,
        /// HTTP status of the response.
        status: u16,
    },
    /// The stream was interrupted; the peer may have handled the message.
    #[error("stream to peer {peer} was interrupted")]
    Interrupted {
        /// Internal address of the peer.
        peer: SocketAddr,
    },
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Client for calls to peers, with one connection per peer that is opened on first use.
#[derive(Debug)]
pub struct PeerClient {
    incarnation: Incarnation,
    internal_address: SocketAddr,
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Creates a client that identifies itself by `incarnation` and `internal_address`.
    pub fn new(incarnation: Incarnation, internal_address: SocketAddr) -> Self {
        Self {
            incarnation,
            internal_address,
            connections: Mutex::default(),
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, PeerCallError> {
        let existing = self.connections.lock().await.get(&peer).cloned();
        if let Some(existing) = existing {
            if let Ok(ready) = existing.ready().await {
                return Ok(ready);
            }
            self.connections.lock().await.remove(&peer);
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let local_ip = self.internal_address.ip();
        let opened = timeout(limit, connect(local_ip, peer)).await.ok().flatten();
        let opened = opened.ok_or(PeerCallError::Connect { peer })?;
        self.connections.lock().await.insert(peer, opened.clone());
        Ok(opened)
    }

    /// Opens a stream to a peer, with the headers by which the peer authorizes it.
    async fn open_stream(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>), PeerCallError> {
        let request = Request::post(path)
            .header(PROTOCOL_VERSION_HEADER, PROTOCOL_VERSION)
            .header(INCARNATION_HEADER, self.incarnation.to_string())
            .header(INTERNAL_ADDRESS_HEADER, self.internal_address.to_string())
            .body(())
            .map_err(|_| PeerCallError::Connect { peer })?;
        if is_link_cut(peer) {
            return Err(PeerCallError::Connect { peer });
        }
        let mut connection = self.connection(peer).await?;
        connection
            .send_request(request, false)
            .map_err(|_| PeerCallError::Connect { peer })
    }

    /// Sends one message and waits for the reply.
    ///
    /// # Errors
    ///
    /// `Connect` and `Rejected` guarantee that the peer did not handle the message.
    pub async fn call<Q: Encode, A: Decode<()>>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A, PeerCallError> {
        let content = encode_frame(message)?;
        let interrupted = |_| PeerCallError::Interrupted { peer };
        let (response, mut stream) = self.open_stream(peer, path).await?;
        stream.send_data(content, true).map_err(interrupted)?;
        let response = response.await.map_err(interrupted)?;
        check_status(peer, response.status())?;
        let mut messages = MessageStream::new(response.into_body());
        messages
            .next()
            .await?
            .ok_or(PeerCallError::Interrupted { peer })
    }

    /// Runs a batch at a peer: sends commands and receives replies until the peer closes the stream
    /// or the receiver of the replies is dropped.
    ///
    /// # Errors
    ///
    /// `Connect` and `Rejected` guarantee that no call of the batch was started.
    pub async fn batch(
        &self,
        peer: SocketAddr,
        first: BatchCommand,
        mut commands: mpsc::UnboundedReceiver<BatchCommand>,
        replies: mpsc::Sender<LeafReply>,
    ) -> Result<(), PeerCallError> {
        let interrupted = |_| PeerCallError::Interrupted { peer };
        let content = encode_frame(&first)?;
        let (response, mut stream) = self.open_stream(peer, "/batch").await?;
        stream.send_data(content, false).map_err(interrupted)?;
        let response = response.await.map_err(interrupted)?;
        check_status(peer, response.status())?;
        let mut messages = MessageStream::new(response.into_body());
        let mut is_sending = true;
        loop {
            tokio::select! {
                reply = messages.next::<LeafReply>() => {
                    let Some(reply) = reply? else {
                        return Ok(());
                    };
                    if replies.send(reply).await.is_err() {
                        return Ok(());
                    }
                }
                () = replies.closed() => return Ok(()),
                command = commands.recv(), if is_sending => match command {
                    // If the peer has answered all calls and closed the stream, sending fails, but
                    // its replies are still read.
                    Some(command) => is_sending = stream
                        .send_data(encode_frame(&command)?, false)
                        .is_ok(),
                    None => {
                        is_sending = false;
                        let _ = stream.send_data(Bytes::new(), true);
                    }
                },
            }
        }
    }
}

/// Checks that a peer has accepted a stream. A status that no response can have doesn't tell whether the peer
/// has handled the message.
fn check_status(peer: SocketAddr, status: StatusCode) -> Result<(), PeerCallError> {
    if status == StatusCode::OK {
        return Ok(());
    }
    if !is_final_status(status) {
        return Err(PeerCallError::Interrupted { peer });
    }
    Err(PeerCallError::Rejected {
        peer,
        status: status.as_u16(),
    })
}

async fn connect(local_ip: IpAddr, peer: SocketAddr) -> Option<SendRequest<Bytes>> {
    // Peers accept the internal address in a stream's headers only from the same IP address.
    let socket = match local_ip {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(local_ip, 0)).ok()?;
    let stream = socket.connect(peer).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await
        .ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(event = "peer_connection_ended", %peer, %error);
        }
    });
    sender.ready().await.ok()
}

/// Decodes the messages that are received on one stream.
pub(crate) struct MessageStream {
    body: RecvStream,
    decoder: FrameDecoder,
}

impl MessageStream {
    pub(crate) fn new(body: RecvStream) -> Self {
        Self {
            body,
            decoder: FrameDecoder::default(),
        }
    }

    /// Returns the first message, or `None` if the stream ends first or
    /// [`FIRST_MESSAGE_TIMEOUT_MS`] passes.
    pub(crate) async fn first<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        let limit = Duration::from_millis(FIRST_MESSAGE_TIMEOUT_MS);
        timeout(limit, self.next()).await.unwrap_or(Ok(None))
    }

    pub(crate) async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        loop {
            if let Some(message) = self.decoder.next_message()? {
                return Ok(Some(message));
            }
            let Some(Ok(data)) = self.body.data().await else {
                return Ok(None);
            };
            let _ = self.body.flow_control().release_capacity(data.len());
            self.decoder.extend(&data);
        }
    }
}
