//! Sends batches to owners, in this process or over the link, with the same messages.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::info;

use crate::ids::CallId;
use crate::owner::{Owner, RunningBatch};
use crate::peer_client::{PeerCallError, PeerClient};
use crate::wire::{Batch, BatchCommand, LeafReply, LeafResult, NotStartedReason};

/// Replies buffered for the wrapper of a remote batch.
const REPLY_BUFFER: usize = 256;

/// A batch that was sent; dropping it cancels the calls that have not ended.
#[derive(Debug)]
pub enum SentBatch {
    /// Runs in this process.
    Local(RunningBatch),
    /// Runs at a peer.
    Remote(mpsc::UnboundedSender<BatchCommand>),
}

impl SentBatch {
    /// Cancels one call.
    pub fn cancel(&self, call: CallId) {
        match self {
            Self::Local(running) => running.cancel(call),
            Self::Remote(commands) => {
                let _ = commands.send(BatchCommand::Cancel(call));
            }
        }
    }
}

/// Sends batches to owners.
#[derive(Clone)]
pub struct Dispatcher {
    own_address: SocketAddr,
    owner: Arc<Owner>,
    peer_client: Arc<PeerClient>,
}

impl Dispatcher {
    /// Makes a dispatcher of the process on `own_address`.
    pub fn new(own_address: SocketAddr, owner: Arc<Owner>, peer_client: Arc<PeerClient>) -> Self {
        Self {
            own_address,
            owner,
            peer_client,
        }
    }

    /// Sends a batch to the owner at an internal address; each call gets exactly one reply.
    pub fn send(
        &self,
        to: SocketAddr,
        batch: Batch,
        replies: mpsc::Sender<LeafReply>,
    ) -> SentBatch {
        if to == self.own_address {
            return SentBatch::Local(self.owner.submit(batch, replies));
        }
        let (sender, commands) = mpsc::unbounded_channel();
        let peer_client = Arc::clone(&self.peer_client);
        tokio::spawn(run_remote(peer_client, to, batch, commands, replies));
        SentBatch::Remote(sender)
    }
}

/// Runs a batch at a peer and answers for the calls that the peer left without a reply.
async fn run_remote(
    peer_client: Arc<PeerClient>,
    to: SocketAddr,
    batch: Batch,
    commands: mpsc::UnboundedReceiver<BatchCommand>,
    replies: mpsc::Sender<LeafReply>,
) {
    let mut open: HashSet<CallId> = batch.calls.iter().map(|call| call.call).collect();
    let (sender, mut received) = mpsc::channel(REPLY_BUFFER);
    let exchange = peer_client.batch(to, BatchCommand::Start(batch), commands, sender);
    tokio::pin!(exchange);
    let mut result = None;
    loop {
        tokio::select! {
            ended = &mut exchange, if result.is_none() => result = Some(ended),
            reply = received.recv() => {
                let Some(reply) = reply else {
                    break;
                };
                if open.remove(&reply.call) && replies.send(reply).await.is_err() {
                    return;
                }
            }
            () = replies.closed() => return,
        }
    }
    let result = match result {
        Some(result) => result,
        None => exchange.await,
    };
    if let Err(error) = &result {
        info!(event = "owner_failed", owner = %to, %error, open_calls = open.len());
    }
    for call in open {
        let reply = LeafReply {
            call,
            result: unanswered_call_result(&result),
            shared_leaf: true,
        };
        let _ = replies.send(reply).await;
    }
}

/// Returns what became of a call that the owner did not answer.
fn unanswered_call_result(result: &Result<(), PeerCallError>) -> LeafResult {
    match result {
        Err(PeerCallError::Connect { .. } | PeerCallError::Refused { .. }) => {
            LeafResult::NotStarted(NotStartedReason::OwnerUnreachable)
        }
        _ => LeafResult::ConnectionLost,
    }
}
