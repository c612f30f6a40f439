//! Messages between the system's own processes: bincode in length-prefixed frames.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::answer::CallerRequest;
use crate::ids::{CallId, Snapshot};

/// Version of the internal protocol; a peer with another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1_048_576;

/// Length prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// One call to one leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafCall {
    /// Identity of the call.
    pub call: CallId,
    /// Leaf to call.
    pub leaf: SocketAddr,
    /// Shard that the leaf answers for.
    pub shard: u32,
}

/// Calls to leaves behind one owner, which travel together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Batch {
    /// Full name of the service.
    pub service: Box<str>,
    /// Member that the caller asks for.
    pub member: Box<str>,
    /// Caller's id of the request.
    pub request_id: Box<str>,
    /// Pinned snapshot.
    pub snapshot: Snapshot,
    /// Deadline on the wall clock.
    pub deadline_unix_ms: u64,
    /// Time left when the batch was sent.
    pub remaining_ms: u64,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Fingerprint of service and payload.
    pub fingerprint: u64,
    /// Request content for the leaves.
    pub payload: Vec<u8>,
    /// Calls to make.
    pub calls: Vec<LeafCall>,
}

/// Message from a root to an owner on a batch stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum BatchCommand {
    /// Makes calls.
    Start(Batch),
    /// Cancels a call whose answer is no longer needed.
    Cancel(CallId),
}

/// Why a call was not started at its leaf; each is proof that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Encode, Decode)]
pub enum NotStartedReason {
    /// No connection to the leaf could be set up.
    Unreachable,
    /// The owner could not be reached.
    OwnerUnreachable,
    /// The deadline would pass first.
    Deadline,
    /// The leaf is leaving.
    Draining,
    /// The leaf shed the call.
    Shed,
    /// The call was cancelled while it waited.
    Cancelled,
    /// The owner does not know the leaf.
    UnknownLeaf,
    /// The leaf does not hold the pinned snapshot.
    SnapshotGone,
    /// The content is quarantined.
    Quarantined,
}

/// What became of a leaf call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum LeafResult {
    /// The leaf answered.
    Done {
        /// Snapshot that the leaf named.
        snapshot: Snapshot,
        /// Content of the answer.
        body: Vec<u8>,
    },
    /// The call did not start.
    NotStarted(NotStartedReason),
    /// The leaf answered with a failure.
    Failed,
    /// The connection broke after bytes may have left.
    ConnectionLost,
    /// The connection broke because the leaf's process ended.
    Crashed,
    /// The leaf's answer named another call, shard or snapshot.
    Mismatch,
    /// The deadline passed after the call was sent.
    Timeout,
}

/// Message from an owner to a root on a batch stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafReply {
    /// Call that the reply belongs to.
    pub call: CallId,
    /// What became of it.
    pub result: LeafResult,
    /// Whether the call shared its leaf with others at any time.
    pub shared_leaf: bool,
}

/// Request that is not idempotent, on its way to the VM that issued its ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ForwardedRequest {
    /// Request as the caller sent it.
    pub request: CallerRequest,
    /// Deadline on the wall clock, so that an issuer that was paused does not run it late.
    pub deadline_unix_ms: u64,
}

/// Request for a document that gossip announced.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DocumentRequest {
    /// Names wanted; empty for all.
    pub names: Vec<Box<str>>,
}

/// One document of a reply, with a deflated body.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DocumentBody {
    /// Name of the document.
    pub name: Box<str>,
    /// Revision that the platform gave it.
    pub revision: u64,
    /// Deflated bytes.
    pub deflated: Vec<u8>,
}

/// A frame could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum WireError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {frame_bytes} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Announced size.
        frame_bytes: usize,
    },
    /// The content is not a valid message.
    #[error("frame is not a valid message")]
    Malformed,
}

/// Encodes a message with bincode.
///
/// # Errors
///
/// Fails if the message is over [`MAX_FRAME_BYTES`].
pub fn encode<T: Encode>(message: &T) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::encode_to_vec(message, bincode::config::standard())
        .map_err(|_| WireError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge {
            frame_bytes: bytes.len(),
        });
    }
    Ok(bytes)
}

/// Decodes a message that fills `bytes` exactly.
///
/// # Errors
///
/// Fails on malformed content and on trailing bytes.
///
/// # Examples
///
/// ```
/// use cloverrack::wire::{decode, encode};
/// let bytes = encode(&7_u32).unwrap();
/// assert_eq!(decode::<u32>(&bytes), Ok(7));
/// ```
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, WireError> {
    let (message, used) = decode_limited(bytes).map_err(|_| WireError::Malformed)?;
    if used != bytes.len() {
        return Err(WireError::Malformed);
    }
    Ok(message)
}

/// Memory that a message may claim, as a multiple of its encoded size.
///
/// A collection claims the memory of all its elements before they are read. The largest element,
/// a [`LeafCall`] of 64 bytes, takes at least 9 bytes on the wire.
const DECODE_MEMORY_FACTOR: usize = 16;

/// Decodes with a limit that grows with the frame, so that a length prefix in a small frame can't
/// claim the memory of a large one; the limit of bincode is a constant, hence the table.
fn decode_limited<T: Decode<()>>(bytes: &[u8]) -> Result<(T, usize), bincode::error::DecodeError> {
    macro_rules! by_size {
        ($($limit_bytes:literal),*) => {
            match bytes.len() {
                $(0..=$limit_bytes => {
                    const LIMIT: usize = DECODE_MEMORY_FACTOR * $limit_bytes;
                    let config = bincode::config::standard().with_limit::<LIMIT>();
                    bincode::decode_from_slice(bytes, config)
                })*
                _ => Err(bincode::error::DecodeError::LimitExceeded),
            }
        };
    }
    by_size!(
        64, 256, 1_024, 4_096, 16_384, 65_536, 262_144, 1_048_576, 4_194_304
    )
}

/// Encodes a message as one length-prefixed frame.
///
/// # Errors
///
/// Fails if the message is over [`MAX_FRAME_BYTES`].
pub fn frame<T: Encode>(message: &T) -> Result<Bytes, WireError> {
    let content = encode(message)?;
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + content.len());
    buffer.put_u32(u32::try_from(content.len()).unwrap_or(u32::MAX));
    buffer.put_slice(&content);
    Ok(buffer.freeze())
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole message, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails on an oversized or malformed frame; the stream is unusable then.
    pub fn take<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        if self.buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let mut prefix = &self.buffer[..PREFIX_BYTES];
        let frame_bytes = prefix.get_u32() as usize;
        if frame_bytes > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge { frame_bytes });
        }
        if self.buffer.len() < PREFIX_BYTES + frame_bytes {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let content = self.buffer.split_to(frame_bytes);
        decode(&content).map(Some)
    }
}
