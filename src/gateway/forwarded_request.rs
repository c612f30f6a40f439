//! Request that a VM forwards to another one, and the reasons for which that one has not run it.

use std::net::IpAddr;

use bincode::{Decode, Encode};
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, Uri};
use thiserror::Error;

use super::call::CallSpec;
use super::content::Content;
use super::routes::MAX_ROUTE_TIME_MS;
use crate::clock::boot_us;

/// Time reserved for the way of the response back, so that it arrives before the deadline.
pub(super) const RESPONSE_MARGIN_MS: u64 = 5;

/// What the VMs that had a request before have done with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct PriorCalls {
    /// Number of leaves of a shard to which the request may have been sent.
    pub sent: u32,
    /// Whether the request has been credited to the retry budget.
    pub is_credited: bool,
}

/// Request of a caller that is forwarded between VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ForwardedRequest {
    /// Host for which the caller asked.
    pub host: Box<str>,
    method: Box<str>,
    uri: Box<str>,
    headers: Vec<(Box<str>, Vec<u8>)>,
    body: Vec<u8>,
    caller: IpAddr,
    /// Time until the deadline when the request was forwarded.
    pub remaining_ms: u64,
    /// Version of the configuration on the forwarding VM. An older one must not be used.
    pub route_version: u64,
    /// What the forwarding VM has done with the request.
    pub prior_calls: PriorCalls,
}

/// A forwarded request is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("forwarded request has a malformed {0}")]
pub struct ForwardedRequestError(&'static str);

/// Reason why a VM has not run a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum NotRunReason {
    /// It reaches no leaf itself.
    #[error("links lost")]
    LinksLost,
    /// The leaves of a service that the request needs refuse its connections too.
    #[error("leaves unreachable")]
    Unreachable,
    /// It does not know the configuration that the forwarding VM uses.
    #[error("older configuration")]
    OlderConfiguration,
    /// It handles too many forwarded requests.
    #[error("busy")]
    Busy,
    /// It stops before the request would end.
    #[error("stopping")]
    Stopping,
    /// It does not accept the request, for example since it does not know the forwarding VM.
    #[error("rejected")]
    Rejected,
}

impl NotRunReason {
    /// All reasons.
    const ALL: [Self; 6] = [
        Self::LinksLost,
        Self::Unreachable,
        Self::OlderConfiguration,
        Self::Busy,
        Self::Stopping,
        Self::Rejected,
    ];

    /// Parses the text of a reason.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::NotRunReason;
    /// assert_eq!(NotRunReason::parse("busy"), Some(NotRunReason::Busy));
    /// assert_eq!(NotRunReason::parse("idle"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut reasons = Self::ALL.into_iter();
        reasons.find(|reason| reason.to_string() == text)
    }
}

impl ForwardedRequest {
    /// Creates the forwarded form of a request to a host.
    pub fn new(host: &str, spec: &CallSpec, route_version: u64, prior_calls: PriorCalls) -> Self {
        let remaining_ms = spec.deadline_us.saturating_sub(boot_us()) / 1_000;
        let headers = spec.headers.iter();
        let headers =
            headers.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()));
        Self {
            host: host.into(),
            method: spec.method.as_str().into(),
            uri: spec.uri.to_string().into(),
            headers: headers.collect(),
            body: spec.body.to_vec(),
            caller: spec.content.caller,
            remaining_ms: remaining_ms.saturating_sub(RESPONSE_MARGIN_MS),
            route_version,
            prior_calls,
        }
    }

    /// Returns the request to send to leaves, with a deadline on this VM's clock.
    ///
    /// # Errors
    ///
    /// Fails if a part of the request is malformed, or the request has no ID.
    pub fn into_call_spec(
        self,
        request_id_name: &HeaderName,
    ) -> Result<CallSpec, ForwardedRequestError> {
        let malformed = ForwardedRequestError;
        let method = Method::from_bytes(self.method.as_bytes()).map_err(|_| malformed("method"))?;
        let uri: Uri = self.uri.parse().map_err(|_| malformed("URI"))?;
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name =
                HeaderName::from_bytes(name.as_bytes()).map_err(|_| malformed("header name"))?;
            let value = HeaderValue::from_bytes(value).map_err(|_| malformed("header value"))?;
            headers.append(name, value);
        }
        let request_id = headers.get(request_id_name);
        let request_id = request_id.ok_or(malformed("request ID"))?.clone();
        Ok(CallSpec {
            content: Content::new(&self.host, &method, &uri, &self.body, self.caller),
            method,
            uri,
            headers,
            body: Bytes::from(self.body),
            request_id,
            deadline_us: boot_us() + self.remaining_ms.min(MAX_ROUTE_TIME_MS) * 1_000,
        })
    }
}
