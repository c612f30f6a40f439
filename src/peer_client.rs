//! Client side of the internal transport: h2 streams of bincode frames between the VMs.

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

use crate::faults::is_cut;
use crate::ids::Incarnation;
use crate::wire::{BatchCommand, FrameDecoder, LeafReply, PROTOCOL_VERSION, WireError, frame};

/// Time allowed for setting up a connection to a peer.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Flow-control window of a connection and of a stream, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1_048_576;

/// Time allowed for a peer to set up HTTP/2, and for it to send its first message.
pub(crate) const FIRST_MESSAGE_TIMEOUT_MS: u64 = 5_000;

pub(crate) const PROTOCOL_VERSION_HEADER: &str = "x-protocol-version";
const INCARNATION_HEADER: &str = "x-incarnation";
pub(crate) const INTERNAL_ADDRESS_HEADER: &str = "x-internal-address";

/// An exchange with a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum PeerCallError {
    /// No connection could be set up; nothing was sent.
    #[error("peer {peer} can't be reached")]
    Connect {
        /// Internal address of the peer.
        peer: SocketAddr,
    },
    /// The peer refused the stream without handling it.
    #[error("peer {peer} refused with status {status}")]
    Refused {
        /// Internal address of the peer.
        peer: SocketAddr,
        /// Status of the refusal.
        status: u16,
    },
    /// The stream broke after the request may have been handled.
    #[error("stream to peer {peer} broke")]
    Broken {
        /// Internal address of the peer.
        peer: SocketAddr,
    },
    /// A frame could not be read or written.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Client side: one connection to each peer, set up on first use.
#[derive(Debug)]
pub struct PeerClient {
    incarnation: Incarnation,
    internal_address: SocketAddr,
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Makes the client side of the process `incarnation`.
    pub fn new(incarnation: Incarnation, internal_address: SocketAddr) -> Self {
        Self {
            incarnation,
            internal_address,
            connections: Mutex::default(),
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, PeerCallError> {
        let known = self.connections.lock().await.get(&peer).cloned();
        if let Some(known) = known {
            if let Ok(ready) = known.ready().await {
                return Ok(ready);
            }
            self.connections.lock().await.remove(&peer);
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let own = self.internal_address.ip();
        let fresh = timeout(limit, connect(own, peer)).await.ok().flatten();
        let fresh = fresh.ok_or(PeerCallError::Connect { peer })?;
        self.connections.lock().await.insert(peer, fresh.clone());
        Ok(fresh)
    }

    /// Opens a stream to a peer.
    async fn open(
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
        if is_cut(peer) {
            return Err(PeerCallError::Connect { peer });
        }
        let mut connection = self.connection(peer).await?;
        connection
            .send_request(request, false)
            .map_err(|_| PeerCallError::Connect { peer })
    }

    /// Sends one message and waits for one reply.
    ///
    /// # Errors
    ///
    /// `Connect` and `Refused` prove that the peer did not handle the message.
    pub async fn call<Q: Encode, A: Decode<()>>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A, PeerCallError> {
        let content = frame(message)?;
        let broken = |_| PeerCallError::Broken { peer };
        let (response, mut stream) = self.open(peer, path).await?;
        stream.send_data(content, true).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(PeerCallError::Refused {
                peer,
                status: status.as_u16(),
            });
        }
        let mut frames = MessageStream::new(response.into_body());
        frames.next().await?.ok_or(PeerCallError::Broken { peer })
    }

    /// Runs a batch at a peer: commands go out, replies come back until the peer has answered all.
    ///
    /// # Errors
    ///
    /// `Connect` and `Refused` prove that no call of the batch started.
    pub async fn batch(
        &self,
        peer: SocketAddr,
        first: BatchCommand,
        mut commands: mpsc::UnboundedReceiver<BatchCommand>,
        replies: mpsc::Sender<LeafReply>,
    ) -> Result<(), PeerCallError> {
        let broken = |_| PeerCallError::Broken { peer };
        let content = frame(&first)?;
        let (response, mut stream) = self.open(peer, "/batch").await?;
        stream.send_data(content, false).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(PeerCallError::Refused {
                peer,
                status: status.as_u16(),
            });
        }
        let mut frames = MessageStream::new(response.into_body());
        let mut open = true;
        loop {
            tokio::select! {
                reply = frames.next::<LeafReply>() => {
                    let Some(reply) = reply? else {
                        return Ok(());
                    };
                    if replies.send(reply).await.is_err() {
                        return Ok(());
                    }
                }
                () = replies.closed() => return Ok(()),
                command = commands.recv(), if open => match command {
                    // The peer may have answered all calls and closed the stream; its replies are
                    // still to be read.
                    Some(command) => open = stream.send_data(frame(&command)?, false).is_ok(),
                    None => {
                        open = false;
                        let _ = stream.send_data(Bytes::new(), true);
                    }
                },
            }
        }
    }
}

async fn connect(own: IpAddr, peer: SocketAddr) -> Option<SendRequest<Bytes>> {
    // Peers admit the address that a stream claims only from its own IP address.
    let socket = match own {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(own, 0)).ok()?;
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

/// Reads the messages of one stream.
pub(crate) struct MessageStream {
    body: RecvStream,
    reader: FrameDecoder,
}

impl MessageStream {
    pub(crate) fn new(body: RecvStream) -> Self {
        Self {
            body,
            reader: FrameDecoder::default(),
        }
    }

    /// Takes the first message, which must arrive within [`FIRST_MESSAGE_TIMEOUT_MS`].
    pub(crate) async fn first<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        let limit = Duration::from_millis(FIRST_MESSAGE_TIMEOUT_MS);
        timeout(limit, self.next()).await.unwrap_or(Ok(None))
    }

    pub(crate) async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        loop {
            if let Some(message) = self.reader.take()? {
                return Ok(Some(message));
            }
            let Some(Ok(data)) = self.body.data().await else {
                return Ok(None);
            };
            let _ = self.body.flow_control().release_capacity(data.len());
            self.reader.push(&data);
        }
    }
}
