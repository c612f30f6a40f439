//! Decides whether a reply is the answer to the request that awaits one on its connection.
//!
//! Handles extra answers: a leaf may send more than one answer to a request, and the second one may
//! arrive where the answer to the next request is expected. Nothing that it says of a request is
//! true of the next one.

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use xxhash_rust::xxh3::xxh3_64;

/// Names of the headers by which leaves identify their replies.
#[derive(Clone, Copy, Debug)]
pub struct OriginHeaders<'a> {
    /// ID of the request.
    pub request_id: &'a HeaderName,
    /// Signature of the run.
    pub signature: &'a HeaderName,
}

/// Replies that were received on a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyHistory {
    has_replies: bool,
    /// Whether a reply echoed the ID of its request. The leaf's later ones do as well then.
    echoes_ids: bool,
    last_signature_hash: Option<u64>,
}

impl ReplyHistory {
    /// Returns whether a reply is the answer to a request, as far as its headers tell.
    ///
    /// A reply without an ID is, if no earlier request on the connection can be its origin. On the
    /// connection of a leaf that echoes no IDs, a signature other than the last one
    /// distinguishes it from a copy, since a leaf signs each run differently.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{OriginHeaders, ReplyHistory};
    /// use http::HeaderMap;
    /// use http::header::{HeaderName, HeaderValue};
    /// let names = OriginHeaders {
    ///     request_id: &HeaderName::from_static("x-request"),
    ///     signature: &HeaderName::from_static("x-signature"),
    /// };
    /// let (id, reply) = (HeaderValue::from_static("7"), HeaderMap::new());
    /// let mut history = ReplyHistory::default();
    /// assert!(history.is_answer_to(&id, &reply, names));
    /// history.record(&reply, names);
    /// assert!(!history.is_answer_to(&id, &reply, names));
    /// ```
    pub fn is_answer_to(
        &self,
        request_id: &HeaderValue,
        reply: &HeaderMap,
        names: OriginHeaders<'_>,
    ) -> bool {
        let mut echoed = reply.get_all(names.request_id).iter().peekable();
        if echoed.peek().is_some() {
            return echoed.all(|echoed| echoed == request_id);
        }
        let signature_hash = signature_hash(reply, names);
        let is_new_run = signature_hash.is_some() && signature_hash != self.last_signature_hash;
        !self.has_replies || (!self.echoes_ids && is_new_run)
    }

    /// Records the answer to a request.
    pub fn record(&mut self, reply: &HeaderMap, names: OriginHeaders<'_>) {
        self.has_replies = true;
        self.echoes_ids |= reply.contains_key(names.request_id);
        self.last_signature_hash = signature_hash(reply, names).or(self.last_signature_hash);
    }
}

fn signature_hash(reply: &HeaderMap, names: OriginHeaders<'_>) -> Option<u64> {
    let signature = reply.get(names.signature)?;
    Some(xxh3_64(signature.as_bytes()))
}
