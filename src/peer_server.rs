//! Server side of the internal transport: authorizes streams of peers and passes their messages to
//! the components that handle them.
//!
//! Limits on connections, streams, headers and waiting times bound the resources that faulty peers
//! can use. A stopping node finishes the streams in flight before it closes a connection.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bincode::Encode;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::answer::Answer;
use crate::component_registry::{CONTROL, ComponentRegistry, OWNER, ROOT};
use crate::control::ControlPlane;
use crate::faults::is_link_cut;
use crate::owner::Owner;
use crate::peer_client::{
    FIRST_MESSAGE_TIMEOUT_MS, INTERNAL_ADDRESS_HEADER, MessageStream, PROTOCOL_VERSION_HEADER,
    WINDOW_BYTES,
};
use crate::root::Root;
use crate::wire::{
    BatchCommand, DocumentRequest, ForwardedRequest, PROTOCOL_VERSION, WireError, encode_frame,
};

/// Time for which a stopping node keeps a connection open after its last stream has ended.
///
/// In this time replies reach the peer, and streams that the peer opened before it received the
/// `GOAWAY` frame arrive.
const LINGER_MS: u64 = 500;

/// Capacity of the channel for replies from an owner to the stream of a root.
const REPLY_CHANNEL_CAPACITY: usize = 256;

/// Maximum number of open connections from peers; the planned number of VMs is 760.
const MAX_CONNECTIONS: usize = 2_048;

/// Maximum number of concurrent streams on a connection; a VM runs at most 2,000 requests.
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;

/// Maximum size of the headers of a stream, in bytes; the three headers take about 200.
const MAX_HEADER_BYTES: u32 = 4_096;

/// Server that accepts connections of peers and dispatches their streams to the components.
#[derive(Clone)]
pub struct PeerServer {
    component_registry: Arc<ComponentRegistry>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl PeerServer {
    /// Serves a bound listener until `stop` is cancelled; streams in flight are finished first.
    pub fn spawn(
        component_registry: Arc<ComponentRegistry>,
        listener: TcpListener,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let server = Self {
            component_registry,
            stop,
            tasks,
        };
        let acceptor = server.clone();
        server
            .tasks
            .spawn(async move { acceptor.accept(listener).await });
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
                if let Err(error) = server.serve_connection(stream, from.ip()).await {
                    debug!(event = "internal_connection_ended", %from, %error);
                }
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream, from: IpAddr) -> Result<(), h2::Error> {
        let handshake_future = h2::server::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
            .max_header_list_size(MAX_HEADER_BYTES)
            .handshake(stream);
        let limit = Duration::from_millis(FIRST_MESSAGE_TIMEOUT_MS);
        let Ok(handshake_result) = timeout(limit, handshake_future).await else {
            return Ok(());
        };
        let mut connection = handshake_result?;
        let streams = TaskTracker::new();
        let ended = self.wait_for_last_stream(&streams);
        tokio::pin!(ended);
        let mut stopping = false;
        loop {
            tokio::select! {
                accepted = connection.accept() => {
                    let Some(accepted) = accepted else {
                        return Ok(());
                    };
                    let (request, respond) = accepted?;
                    let server = self.clone();
                    let handling = async move { server.handle(from, request, respond).await };
                    self.tasks.spawn(streams.track_future(handling));
                }
                () = self.stop.cancelled(), if !stopping => {
                    stopping = true;
                    connection.graceful_shutdown();
                }
                () = &mut ended => return Ok(()),
            }
        }
    }

    /// Waits until the node is stopping and the connection has had no streams for [`LINGER_MS`].
    ///
    /// A peer that is paused never closes its side of the connection and would otherwise delay the
    /// shutdown.
    async fn wait_for_last_stream(&self, streams: &TaskTracker) {
        self.stop.cancelled().await;
        loop {
            streams.close();
            streams.wait().await;
            tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
            if streams.is_empty() {
                return;
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
        if let Err(status) = self.authorize(from, &request) {
            warn!(
                event = "internal_stream_refused",
                path,
                status = status.as_u16()
            );
            refuse(&mut respond, status);
            return;
        }
        let messages = MessageStream::new(request.into_body());
        let result = match &*path {
            "/batch" => self.batch(messages, &mut respond).await,
            "/documents" => self.documents(messages, &mut respond).await,
            "/facts" => self.facts(&mut respond).await,
            "/forward" => self.forward(messages, &mut respond).await,
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

    /// Checks the protocol version and the sender of a stream.
    fn authorize(&self, from: IpAddr, request: &Request<RecvStream>) -> Result<(), StatusCode> {
        let header = |name| request.headers().get(name)?.to_str().ok();
        let version: Option<u16> =
            header(PROTOCOL_VERSION_HEADER).and_then(|text| text.parse().ok());
        if version != Some(PROTOCOL_VERSION) {
            return Err(StatusCode::UPGRADE_REQUIRED);
        }
        let address: Option<SocketAddr> =
            header(INTERNAL_ADDRESS_HEADER).and_then(|text| text.parse().ok());
        let address = address.ok_or(StatusCode::BAD_REQUEST)?;
        if address.ip() != from || is_link_cut(address) {
            return Err(StatusCode::FORBIDDEN);
        }
        let control: Arc<ControlPlane> = self
            .component_registry
            .find(CONTROL)
            .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        if control.is_superseded() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if control.is_known_peer(address) {
            Ok(())
        } else {
            Err(StatusCode::FORBIDDEN)
        }
    }

    async fn batch(
        &self,
        mut messages: MessageStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerStreamError> {
        let owner: Arc<Owner> = self.component_registry.find(OWNER)?;
        let Some(BatchCommand::Start(batch)) = messages.first().await? else {
            return Err(PeerStreamError::Unexpected);
        };
        let control: Arc<ControlPlane> = self.component_registry.find(CONTROL)?;
        control.sync_after_pause().await;
        if control.is_superseded() {
            refuse(respond, StatusCode::SERVICE_UNAVAILABLE);
            return Ok(());
        }
        let mut stream = respond.send_response(Response::new(()), false)?;
        let (sender, mut replies) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
        let batch_handle = owner.submit(batch, sender);
        let mut is_receiving = true;
        loop {
            tokio::select! {
                reply = replies.recv() => match reply {
                    Some(reply) => stream.send_data(encode_frame(&reply)?, false)?,
                    None => break,
                },
                command = messages.next::<BatchCommand>(), if is_receiving => match command? {
                    Some(BatchCommand::Cancel(call)) => batch_handle.cancel(call),
                    Some(BatchCommand::Start(_)) => return Err(PeerStreamError::Unexpected),
                    None => is_receiving = false,
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
        mut messages: MessageStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerStreamError> {
        let control: Arc<ControlPlane> = self.component_registry.find(CONTROL)?;
        let request: DocumentRequest =
            messages.first().await?.ok_or(PeerStreamError::Unexpected)?;
        reply(respond, &control.document_bodies(&request))
    }

    async fn facts(&self, respond: &mut SendResponse<Bytes>) -> Result<(), PeerStreamError> {
        let control: Arc<ControlPlane> = self.component_registry.find(CONTROL)?;
        reply(respond, &control.all_facts())
    }

    async fn forward(
        &self,
        mut messages: MessageStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), PeerStreamError> {
        let root: Arc<Root> = self.component_registry.find(ROOT)?;
        let forwarded: ForwardedRequest =
            messages.first().await?.ok_or(PeerStreamError::Unexpected)?;
        let answer: Answer = root.run_forwarded(forwarded).await;
        reply(respond, &answer)
    }
}

/// Error of serving a peer's stream.
#[derive(Debug)]
#[derive(Error)]
enum PeerStreamError {
    #[error(transparent)]
    ComponentRegistry(#[from] crate::component_registry::ComponentRegistryError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Stream(#[from] h2::Error),
    #[error("unexpected or missing message")]
    Unexpected,
}

fn reply<T: Encode>(respond: &mut SendResponse<Bytes>, message: &T) -> Result<(), PeerStreamError> {
    let content = encode_frame(message)?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(content, true)?;
    Ok(())
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = respond.send_response(response, true);
}
