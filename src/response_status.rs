//! Decides which statuses a response can have.
//!
//! Handles senders in trouble, whose responses have a status that HTTP does not define as the end of an
//! exchange. Such a response is a failure of the exchange, and nothing in it is believed.

use std::ops::Range;

use http::StatusCode;

/// Statuses of final responses. RFC 9110 defines the classes 2 to 5; HTTP libraries also accept 6 to 9.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Returns whether a response that ends an exchange can have a status.
///
/// Interim responses are skipped before. Status 101 ends an exchange by a switch of protocols, for which no
/// request asks.
///
/// # Examples
///
/// ```
/// use cloverrack::response_status::is_final_status;
/// use http::StatusCode;
/// assert!(is_final_status(StatusCode::BAD_GATEWAY));
/// assert!(!is_final_status(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!is_final_status(StatusCode::from_u16(600)?));
/// # Ok::<(), http::status::InvalidStatusCode>(())
/// ```
pub fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}
