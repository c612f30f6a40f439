//! Reads what a leaf says of itself in the head of a reply, by which later requests avoid it.
//!
//! Handles leaves that leave before their record says so, and leaves that refuse requests for a
//! while. A reply that fails or breaks off may tell as well.

use std::sync::Weak;

use http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

use super::engine::Engine;
use super::reply_origin::ReplyHistory;
use super::retry_after::parse_retry_after_ms;
use crate::ids::LeafKey;

/// Value by which a leaf says that it leaves.
const LEAVING_VALUE: &str = "1";

/// What a leaf says of itself in a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeafNotices {
    /// Whether the leaf leaves: it finishes its requests and then ends.
    pub is_leaving: bool,
    /// Time for which the leaf wants no calls from this VM, if it has refused one.
    pub retry_after_ms: Option<u64>,
}

impl LeafNotices {
    /// Reads the head of a reply, in which `leaving` is the header of a leaf that leaves.
    ///
    /// A reply that another leaf has the address says nothing of the leaf that was called.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::LeafNotices;
    /// use http::header::HeaderName;
    /// use http::{HeaderMap, StatusCode};
    /// let leaving = HeaderName::from_static("x-leaving");
    /// let mut headers = HeaderMap::new();
    /// headers.insert(&leaving, "1".parse()?);
    /// assert!(LeafNotices::read(StatusCode::OK, &headers, &leaving).is_leaving);
    /// # Ok::<(), http::header::InvalidHeaderValue>(())
    /// ```
    pub fn read(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Self {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Self::default();
        }
        let mut values = headers.get_all(leaving).iter();
        let is_leaving =
            values.any(|value| value.as_bytes().trim_ascii() == LEAVING_VALUE.as_bytes());
        let named = headers.get_all(RETRY_AFTER).iter();
        let named_ms = named.filter_map(|value| parse_retry_after_ms(value.to_str().ok()?));
        let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
        Self {
            is_leaving,
            retry_after_ms: named_ms.max().filter(|wait_ms| is_refusal && *wait_ms > 0),
        }
    }
    /// Returns what a reply to another request says that is still true: a process that leaves does not
    /// return, but the time for which it wanted no calls may be over.
    pub fn of_other_request(self) -> Self {
        Self {
            is_leaving: self.is_leaving,
            retry_after_ms: None,
        }
    }
}

/// Reads what a leaf says of itself in the reply to a request.
#[derive(Clone, Debug)]
pub(super) struct NoticeReader {
    pub(super) engine: Weak<Engine>,
    pub(super) leaf: LeafKey,
    pub(super) request_id: HeaderValue,
    /// Replies that were received before the request was sent.
    pub(super) reply_history: ReplyHistory,
}

impl NoticeReader {
    /// Records the notices in the head of a reply.
    pub(super) fn read(&self, status: StatusCode, headers: &HeaderMap) {
        let Some(engine) = self.engine.upgrade() else {
            return;
        };
        let names = engine.headers.origin();
        let history = self.reply_history;
        let notices = LeafNotices::read(status, headers, &engine.headers.leaving);
        let notices = if history.is_answer_to(&self.request_id, headers, names) {
            notices
        } else {
            notices.of_other_request()
        };
        engine.record_notices(self.leaf, notices);
    }
}
