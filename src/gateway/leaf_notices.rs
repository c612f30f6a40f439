//! Reads what a leaf says of itself in the head of a reply, by which later requests avoid it.
//!
//! Handles leaves that leave before their record says so, and leaves that refuse requests for a
//! while: any reply may tell, also one that fails, breaks off or is not the one that was awaited.

use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

use super::retry_after::parse_retry_after_ms;

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
}
