//! Messages that carry requests and documents between VMs, encoded with bincode in length-prefixed
//! frames.
//!
//! Limits on the size of a frame and on the memory of the decoded message protect a process against
//! oversized and malformed input.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::answer::CallerRequest;
use crate::ids::{CallId, Snapshot};

/// Version of the internal protocol; streams of peers with another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of the message in a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1_048_576;

/// Size of the length prefix of a frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// One call to one leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafCall {
    /// ID of the call.
    pub call: CallId,
    /// Address of the leaf.
    pub leaf: SocketAddr,
    /// Shard that the leaf serves in this call.
    pub shard: u32,
}

/// Calls to leaves of one owner, sent in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Batch {
    /// Full name of the service.
    pub service: Box<str>,
    /// Member on whose behalf the caller sends the request.
    pub member: Box<str>,
    /// Request ID set by the caller.
    pub request_id: Box<str>,
    /// Snapshot that the request is pinned to.
    pub snapshot: Snapshot,
    /// Wall-clock deadline of the request.
    pub deadline_unix_ms: u64,
    /// Time left until the deadline when the batch was sent.
    pub remaining_ms: u64,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Fingerprint of service and payload.
    pub fingerprint: u64,
    /// Request payload that is sent to the leaves.
    pub payload: Vec<u8>,
    /// Calls to make.
    pub calls: Vec<LeafCall>,
}

/// Message from a root to an owner on a batch stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum BatchCommand {
    /// Starts the calls of a batch.
    Start(Batch),
    /// Cancels a call whose result is no longer needed.
    Cancel(CallId),
}

/// Reason why a call was not started at its leaf; each one proves that it was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Encode, Decode)]
pub enum NotStartedReason {
    /// No connection to the leaf could be established.
    Unreachable,
    /// The owner could not be reached.
    OwnerUnreachable,
    /// The deadline would have passed before the call started.
    Deadline,
    /// The leaf is draining.
    Draining,
    /// The leaf rejected the call, because of overload or without a known reason, or the owner's
    /// queue for the leaf is full.
    Shed,
    /// The call was cancelled while it waited for a slot or a connection, before it was sent.
    Cancelled,
    /// The owner has no such leaf in its configuration.
    UnknownLeaf,
    /// The leaf does not have the pinned snapshot.
    SnapshotGone,
    /// The request content is quarantined.
    Quarantined,
}

/// Result of a leaf call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum LeafResult {
    /// The leaf returned a result.
    Answered {
        /// Snapshot that the leaf reported.
        snapshot: Snapshot,
        /// Response body.
        body: Vec<u8>,
    },
    /// The call did not start.
    NotStarted(NotStartedReason),
    /// The leaf returned an error.
    Failed,
    /// The connection was lost after part of the call may have been sent.
    ConnectionLost,
    /// The connection was lost because the leaf's process terminated.
    Crashed,
    /// The leaf's response belongs to another call, shard or snapshot.
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
    /// Result of the call.
    pub result: LeafResult,
    /// Whether other calls were in flight at the leaf at any time during this call.
    pub shared_leaf: bool,
}

/// Non-idempotent request that is forwarded to the VM that issued its ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ForwardedRequest {
    /// Request as received from the caller.
    pub request: CallerRequest,
    /// Wall-clock deadline, so that an issuer that was paused does not execute the request late.
    pub deadline_unix_ms: u64,
}

/// Request for documents of a peer, such as those that gossip announced.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DocumentRequest {
    /// Names of the requested documents; empty for all.
    pub names: Vec<Box<str>>,
}

/// Document in the reply to a [`DocumentRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct DocumentBody {
    /// Name of the document.
    pub name: Box<str>,
    /// Revision assigned by the platform.
    pub revision: u64,
    /// Body compressed with DEFLATE.
    pub deflated: Vec<u8>,
}

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum WireError {
    /// The message is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {frame_bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge {
        /// Size of the message, or the size given in the length prefix.
        frame_bytes: usize,
    },
    /// The content is not a valid message.
    #[error("frame is not a valid message")]
    Malformed,
    /// The content has a variant of an enum that only a later build knows.
    #[error("message has an unknown variant")]
    UnknownVariant,
}

/// Encodes a message with bincode.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_FRAME_BYTES`].
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

/// Decodes a message at the beginning of `bytes`; returns it with its size.
///
/// # Errors
///
/// Fails on malformed content, and with [`WireError::UnknownVariant`] on content of a later build.
///
/// # Examples
///
/// ```
/// use cloverrack::wire::decode_prefix;
/// assert_eq!(decode_prefix::<u8>(&[7, 8]), Ok((7, 1)));
/// ```
pub fn decode_prefix<T: Decode<()>>(bytes: &[u8]) -> Result<(T, usize), WireError> {
    decode_limited(bytes).map_err(|error| match error {
        bincode::error::DecodeError::UnexpectedVariant { .. } => WireError::UnknownVariant,
        _ => WireError::Malformed,
    })
}

/// Decodes a message that fills `bytes` exactly and takes at most `LIMIT_BYTES` in memory.
///
/// # Errors
///
/// Fails on malformed content, on trailing bytes, and if the message is larger.
///
/// # Examples
///
/// ```
/// use cloverrack::wire::{WireError, decode_within, encode};
/// let bytes = encode(&vec![7_u64; 4]).unwrap();
/// assert_eq!(decode_within::<64, Vec<u64>>(&bytes), Ok(vec![7; 4]));
/// assert_eq!(decode_within::<16, Vec<u64>>(&bytes), Err(WireError::Malformed));
/// ```
pub fn decode_within<const LIMIT_BYTES: usize, T: Decode<()>>(
    bytes: &[u8],
) -> Result<T, WireError> {
    let config = bincode::config::standard().with_limit::<LIMIT_BYTES>();
    let decoded = bincode::decode_from_slice(bytes, config);
    let (message, used) = decoded.map_err(|_| WireError::Malformed)?;
    if used != bytes.len() {
        return Err(WireError::Malformed);
    }
    Ok(message)
}

/// Memory that decoding a message may allocate, as a multiple of its encoded size.
///
/// A collection allocates the memory of all its elements before they are read. The largest element,
/// a [`LeafCall`] of 64 bytes, takes at least 9 bytes when encoded.
const DECODE_MEMORY_FACTOR: usize = 16;

/// Decodes with a memory limit that grows with the frame, so that a length prefix inside a small
/// frame can't cause a large allocation.
///
/// The limit of bincode is a const generic parameter, so there is one match arm per size class.
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
/// Fails if the message is larger than [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Encode>(message: &T) -> Result<Bytes, WireError> {
    let content = encode(message)?;
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + content.len());
    buffer.put_u32(u32::try_from(content.len()).unwrap_or(u32::MAX));
    buffer.put_slice(&content);
    Ok(buffer.freeze())
}

/// Decodes the frames of a byte stream into messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes to the buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails on an oversized or malformed frame, after which the stream is unusable.
    pub fn next_message<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
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
