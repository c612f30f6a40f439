//! Sends batches of leaf calls to their owners, in this process or on a peer, with the same
//! messages.
//!
//! If a peer ends a batch early, each call without a reply gets one that shows whether the call may
//! have executed.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::info;

use crate::ids::CallId;
use crate::owner::{Owner, RunningBatch};
use crate::peer_client::{PeerCallError, PeerClient};
use crate::wire::{Batch, BatchCommand, LeafReply, LeafResult, NotStartedReason};

/// Capacity of the channel that carries the replies of a remote batch.
const REPLY_BUFFER: usize = 256;

/// A batch that was sent; dropping it cancels the calls that have not ended.
#[derive(Debug)]
pub enum SentBatch {
    /// Runs in this process.
    Local(RunningBatch),
    /// Runs on a peer.
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
    /// Creates a dispatcher for the process at `own_address`.
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
        owner_address: SocketAddr,
        batch: Batch,
        replies: mpsc::Sender<LeafReply>,
    ) -> SentBatch {
        if owner_address == self.own_address {
            return SentBatch::Local(self.owner.submit(batch, replies));
        }
        let (sender, commands) = mpsc::unbounded_channel();
        let peer_client = Arc::clone(&self.peer_client);
        tokio::spawn(run_remote(
            peer_client,
            owner_address,
            batch,
            commands,
            replies,
        ));
        SentBatch::Remote(sender)
    }
}

/// Runs a batch on a peer and sends a reply for each call that the peer left without one.
async fn run_remote(
    peer_client: Arc<PeerClient>,
    owner_address: SocketAddr,
    batch: Batch,
    commands: mpsc::UnboundedReceiver<BatchCommand>,
    replies: mpsc::Sender<LeafReply>,
) {
    let mut unanswered: HashSet<CallId> = batch.calls.iter().map(|call| call.call).collect();
    let (sender, mut received) = mpsc::channel(REPLY_BUFFER);
    let peer_call = peer_client.batch(owner_address, BatchCommand::Start(batch), commands, sender);
    tokio::pin!(peer_call);
    let mut result = None;
    loop {
        tokio::select! {
            ended = &mut peer_call, if result.is_none() => result = Some(ended),
            reply = received.recv() => {
                let Some(reply) = reply else {
                    break;
                };
                if unanswered.remove(&reply.call) && replies.send(reply).await.is_err() {
                    return;
                }
            }
            () = replies.closed() => return,
        }
    }
    let result = match result {
        Some(result) => result,
        None => peer_call.await,
    };
    if let Err(error) = &result {
        info!(event = "owner_failed", owner = %owner_address, %error, open_calls = unanswered.len());
    }
    for call in unanswered {
        let reply = LeafReply {
            call,
            result: unanswered_call_result(&result),
            shared_leaf: true,
        };
        let _ = replies.send(reply).await;
    }
}

/// Returns the result of a call without a reply from its owner.
///
/// The call provably did not start if the owner could not be reached or refused the batch;
/// otherwise it may have executed.
fn unanswered_call_result(result: &Result<(), PeerCallError>) -> LeafResult {
    match result {
        Err(PeerCallError::Connect { .. } | PeerCallError::Rejected { .. }) => {
            LeafResult::NotStarted(NotStartedReason::OwnerUnreachable)
        }
        _ => LeafResult::ConnectionLost,
    }
}
