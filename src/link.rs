//! Internal transport: h2 streams of bincode frames between the VMs.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::client::SendRequest;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Mutex, Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::answer::Answer;
use crate::control::Control;
use crate::faults::is_cut;
use crate::ids::Incarnation;
use crate::kernel::{CONTROL, Kernel, OWNER, ROOT};
use crate::owner::Owner;
use crate::root::Root;
use crate::wire::{
    BatchCommand, DocumentRequest, Forwarded, FrameReader, LeafReply, PROTOCOL_VERSION, WireError,
    frame,
};

/// Time allowed for setting up a connection to a peer.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Replies buffered between an owner and the stream to a root.
const REPLY_BUFFER: usize = 256;

/// Flow-control window of a connection and of a stream, in bytes.
const WINDOW_BYTES: u32 = 4 * 1_048_576;

/// Time allowed for a peer to set up HTTP/2, and for it to send its first message.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Connections of peers held at a time; planned are 760 VMs.
const MAX_CONNECTIONS: usize = 2_048;

/// Streams of one connection handled at a time; a VM runs at most 2,000 requests.
const MAX_STREAMS: u32 = 4_096;

/// Largest header list of a stream, in bytes; the three headers take about 200.
const MAX_HEADER_BYTES: u32 = 4_096;

const VERSION_HEADER: &str = "x-protocol-version";
const INCARNATION_HEADER: &str = "x-incarnation";
const ADDRESS_HEADER: &str = "x-internal-address";

/// An exchange with a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
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
pub struct Link {
    incarnation: Incarnation,
    internal_address: SocketAddr,
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl Link {
    /// Makes the client side of the process `incarnation`.
    pub fn new(incarnation: Incarnation, internal_address: SocketAddr) -> Self {
        Self {
            incarnation,
            internal_address,
            connections: Mutex::default(),
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, LinkError> {
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
        let fresh = fresh.ok_or(LinkError::Connect { peer })?;
        self.connections.lock().await.insert(peer, fresh.clone());
        Ok(fresh)
    }

    /// Opens a stream to a peer.
    async fn open(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>), LinkError> {
        let request = Request::post(path)
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .header(INCARNATION_HEADER, self.incarnation.to_string())
            .header(ADDRESS_HEADER, self.internal_address.to_string())
            .body(())
            .map_err(|_| LinkError::Connect { peer })?;
        if is_cut(peer) {
            return Err(LinkError::Connect { peer });
        }
        let mut connection = self.connection(peer).await?;
        connection
            .send_request(request, false)
            .map_err(|_| LinkError::Connect { peer })
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
    ) -> Result<A, LinkError> {
        let content = frame(message)?;
        let broken = |_| LinkError::Broken { peer };
        let (response, mut stream) = self.open(peer, path).await?;
        stream.send_data(content, true).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(LinkError::Refused {
                peer,
                status: status.as_u16(),
            });
        }
        let mut frames = Frames::new(response.into_body());
        frames.next().await?.ok_or(LinkError::Broken { peer })
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
    ) -> Result<(), LinkError> {
        let broken = |_| LinkError::Broken { peer };
        let content = frame(&first)?;
        let (response, mut stream) = self.open(peer, "/batch").await?;
        stream.send_data(content, false).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(LinkError::Refused {
                peer,
                status: status.as_u16(),
            });
        }
        let mut frames = Frames::new(response.into_body());
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
struct Frames {
    body: RecvStream,
    reader: FrameReader,
}

impl Frames {
    fn new(body: RecvStream) -> Self {
        Self {
            body,
            reader: FrameReader::default(),
        }
    }

    /// Takes the first message, which must arrive within [`READ_TIMEOUT_MS`].
    async fn first<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        let limit = Duration::from_millis(READ_TIMEOUT_MS);
        timeout(limit, self.next()).await.unwrap_or(Ok(None))
    }

    async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
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

/// Server side: accepts connections of peers and hands their streams to the services.
#[derive(Clone)]
pub struct LinkServer {
    kernel: Arc<Kernel>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl LinkServer {
    /// Serves a bound listener until `stop`; streams in flight are finished first.
    pub fn spawn(
        kernel: Arc<Kernel>,
        listener: TcpListener,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let server = Self {
            kernel,
            stop,
            tasks,
        };
        let accepting = server.clone();
        server
            .tasks
            .spawn(async move { accepting.accept(listener).await });
        server
    }

    async fn accept(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            let Ok((stream, from)) = accepted else {
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                warn!(event = "internal_connection_refused", %from);
                continue;
            };
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            self.tasks.spawn(async move {
                let _permit = permit;
                if let Err(error) = server.serve(stream, from.ip()).await {
                    debug!(event = "internal_connection_ended", %from, %error);
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream, from: IpAddr) -> Result<(), h2::Error> {
        let shaking_hands = h2::server::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .handshake(stream);
        let limit = Duration::from_millis(READ_TIMEOUT_MS);
        let Ok(shaken) = timeout(limit, shaking_hands).await else {
            return Ok(());
        };
        let mut connection = shaken?;
        let mut stopping = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => {
                    let Some(accepted) = accepted else {
                        return Ok(());
                    };
                    let (request, respond) = accepted?;
                    let server = self.clone();
                    self.tasks
                        .spawn(async move { server.handle(from, request, respond).await });
                }
                () = self.stop.cancelled(), if !stopping => {
                    stopping = true;
                    connection.graceful_shutdown();
                }
            }
        }
    }

    async fn handle(
        &self,
        from: IpAddr,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let path = request.uri().path().to_owned();
        if let Err(status) = self.admit(from, &request) {
            warn!(
                event = "internal_stream_refused",
                path,
                status = status.as_u16()
            );
            refuse(&mut respond, status);
            return;
        }
        let frames = Frames::new(request.into_body());
        let result = match &*path {
            "/batch" => self.batch(frames, &mut respond).await,
            "/documents" => self.documents(frames, &mut respond).await,
            "/facts" => self.facts(&mut respond).await,
            "/forward" => self.forward(frames, &mut respond).await,
            _ => {
                refuse(&mut respond, StatusCode::NOT_FOUND);
                return;
            }
        };
        if let Err(error) = result {
            info!(event = "internal_stream_failed", path, %error);
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
        }
    }

    /// Checks protocol version and sender of a stream.
    fn admit(&self, from: IpAddr, request: &Request<RecvStream>) -> Result<(), StatusCode> {
        let header = |name| request.headers().get(name)?.to_str().ok();
        let version: Option<u16> = header(VERSION_HEADER).and_then(|text| text.parse().ok());
        if version != Some(PROTOCOL_VERSION) {
            return Err(StatusCode::UPGRADE_REQUIRED);
        }
        let address: Option<SocketAddr> = header(ADDRESS_HEADER).and_then(|text| text.parse().ok());
        let address = address.ok_or(StatusCode::BAD_REQUEST)?;
        if address.ip() != from || is_cut(address) {
            return Err(StatusCode::FORBIDDEN);
        }
        let control: Arc<Control> = self
            .kernel
            .find(CONTROL)
            .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        if control.is_superseded() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if control.admits(address) {
            Ok(())
        } else {
            Err(StatusCode::FORBIDDEN)
        }
    }

    async fn batch(
        &self,
        mut frames: Frames,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), LinkStreamError> {
        let owner: Arc<Owner> = self.kernel.find(OWNER)?;
        let Some(BatchCommand::Start(batch)) = frames.first().await? else {
            return Err(LinkStreamError::Unexpected);
        };
        let control: Arc<Control> = self.kernel.find(CONTROL)?;
        control.ensure_fresh().await;
        if control.is_superseded() {
            refuse(respond, StatusCode::SERVICE_UNAVAILABLE);
            return Ok(());
        }
        let mut stream = respond.send_response(Response::new(()), false)?;
        let (sender, mut replies) = mpsc::channel(REPLY_BUFFER);
        let running = owner.submit(batch, sender);
        let mut open = true;
        loop {
            tokio::select! {
                reply = replies.recv() => match reply {
                    Some(reply) => stream.send_data(frame(&reply)?, false)?,
                    None => break,
                },
                command = frames.next::<BatchCommand>(), if open => match command? {
                    Some(BatchCommand::Cancel(call)) => running.cancel(call),
                    Some(BatchCommand::Start(_)) => return Err(LinkStreamError::Unexpected),
                    None => open = false,
                },
                reset = std::future::poll_fn(|context| stream.poll_reset(context)) => {
                    let _ = reset;
                    return Ok(());
                }
            }
        }
        stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    async fn documents(
        &self,
        mut frames: Frames,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), LinkStreamError> {
        let control: Arc<Control> = self.kernel.find(CONTROL)?;
        let request: DocumentRequest = frames.first().await?.ok_or(LinkStreamError::Unexpected)?;
        reply(respond, &control.document_bodies(&request))
    }

    async fn facts(&self, respond: &mut SendResponse<Bytes>) -> Result<(), LinkStreamError> {
        let control: Arc<Control> = self.kernel.find(CONTROL)?;
        reply(respond, &control.all_facts())
    }

    async fn forward(
        &self,
        mut frames: Frames,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), LinkStreamError> {
        let root: Arc<Root> = self.kernel.find(ROOT)?;
        let forwarded: Forwarded = frames.first().await?.ok_or(LinkStreamError::Unexpected)?;
        let answer: Answer = root.run_forwarded(forwarded).await;
        reply(respond, &answer)
    }
}

/// A stream of a peer could not be served.
#[derive(Debug, Error)]
enum LinkStreamError {
    #[error(transparent)]
    Kernel(#[from] crate::kernel::KernelError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Stream(#[from] h2::Error),
    #[error("unexpected message")]
    Unexpected,
}

fn reply<T: Encode>(respond: &mut SendResponse<Bytes>, message: &T) -> Result<(), LinkStreamError> {
    let content = frame(message)?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(content, true)?;
    Ok(())
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = respond.send_response(response, true);
}
