//! Serves callers' requests: finds the route of a request, sends it to the leaves and builds the
//! response.
//!
//! Handles overload and failed leaves: rejects requests with a retry time, and distinguishes
//! requests that no leaf has executed from those that may have been.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use http::header::HeaderName;
use http::{HeaderMap, Request};
use hyper::body::Incoming;
use tracing::warn;

use super::call::CallSpec;
use super::content::Content;
use super::content_quarantine::ContentVerdict;
use super::engine::Engine;
use super::refusal::{Refusal, refusal_response};
use super::request_run;
use super::routes::{Route, RouteTable};
use crate::clock::boot_us;
use crate::http_server::{BodyError, CallerAddress, Handler, HttpResponse, read_body};

/// Time reserved for sending the response before the caller's deadline.
const END_MARGIN_MS: u64 = 10;

/// Hop-by-hop headers and `Content-Length`, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Serves callers' requests with the current routes.
#[derive(Debug)]
pub struct CallerService {
    engine: Arc<Engine>,
}

impl CallerService {
    /// Creates the service.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<HttpResponse, Refusal> {
        let started_us = boot_us();
        let route_table = self.engine.route_table().ok_or(Refusal::NoConfiguration)?;
        let host = request_host(&request);
        let route = route_table.find(&host, request.uri().path());
        let route = route.ok_or(Refusal::NoRoute)?;
        let spec = self
            .call_spec(request, &route_table, route, started_us)
            .await?;
        if let ContentVerdict::Quarantined { until_unix_ms } =
            self.engine.content_verdict(&spec.content)
        {
            return Err(Refusal::Quarantined { until_unix_ms });
        }
        request_run::run(&self.engine, &route_table, route, spec, started_us).await
    }

    /// Reads the body of a request, and limits its deadline by the timeout of the route.
    async fn call_spec(
        &self,
        request: Request<Incoming>,
        route_table: &RouteTable,
        route: &Route,
        started_us: u64,
    ) -> Result<CallSpec, Refusal> {
        let headers = &self.engine.headers;
        let host = request_host(&request);
        let caller = request.extensions().get::<CallerAddress>();
        let caller = caller.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |caller| caller.0);
        let (head, body) = request.into_parts();
        let request_id = head.headers.get(&headers.request_id);
        let request_id = request_id.ok_or(Refusal::NoRequestId)?.clone();
        let requested_ms = time_left_ms(&head.headers, &headers.time_left_ms);
        let remaining_ms = requested_ms.unwrap_or(route.spec.timeout_ms);
        let remaining_ms = remaining_ms.min(route.spec.timeout_ms);
        let remaining_ms = remaining_ms.saturating_sub(END_MARGIN_MS.min(remaining_ms / 8));
        let limit_bytes = usize::try_from(route_table.limits.max_body_bytes).unwrap_or(usize::MAX);
        let body = match read_body(body, limit_bytes).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return Err(Refusal::BodyTooLarge),
            Err(BodyError::Incomplete) => return Err(Refusal::BodyIncomplete),
        };
        let content = Content::new(&host, &head.method, &head.uri, &body, caller);
        Ok(CallSpec {
            content,
            method: head.method,
            uri: head.uri,
            headers: strip_hop_by_hop(head.headers),
            body,
            request_id,
            deadline_us: started_us + remaining_ms * 1_000,
        })
    }
}

impl Handler for CallerService {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let started_us = boot_us();
        let request_id = request.headers().get(&self.engine.headers.request_id);
        let request_id = request_id.cloned();
        let response = match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => {
                let request_id = request_id.as_ref().and_then(|id| id.to_str().ok());
                warn!(event = "request_refused", request_id, reason = %refusal);
                refusal_response(refusal.status(), refusal.retry_wait_ms())
            }
        };
        let elapsed_us = boot_us().saturating_sub(started_us);
        self.engine
            .metrics
            .count_answer(response.status().as_u16(), elapsed_us);
        response
    }
}

fn request_host(request: &Request<Incoming>) -> Box<str> {
    let host = request.headers().get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase().into_boxed_str()
}

fn time_left_ms(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Removes the hop-by-hop headers, including those named in `Connection`.
pub(super) fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
