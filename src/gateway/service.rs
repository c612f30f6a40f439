//! Serves callers' requests: finds the route of a request, sends it to the leaves and builds the
//! response.
//!
//! Handles overload and failed leaves: rejects requests with a retry time, and distinguishes
//! requests that no leaf has executed from those that may have been.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tracing::{info, warn};

use super::body_memory::BodyReadError;
use super::call::CallSpec;
use super::content::Content;
use super::content_quarantine::ContentVerdict;
use super::engine::Engine;
use super::forwarded_request::{ForwardedRequest, NotRunReason, PriorCalls};
use super::forwarder::Forwarder;
use super::leaf_end_check::LeafQuestion;
use super::link_check::LINK_CHECK_WAIT;
use super::open_requests::OpenRequest;
use super::refusal::{Refusal, empty_response, refusal_response};
use super::request_run;
use super::routes::{CallerLimits, Route};
use crate::clock::boot_us;
use crate::head_memory::RequestHeadMemory;
use crate::http_server::{CallerAddress, CutOffCause, Handler, HttpResponse, ResponseMemory};
use crate::wire::{MAX_FRAME_BYTES, encode};

/// Time reserved for sending the response before the caller's deadline.
const END_MARGIN_MS: u64 = 10;

/// Range of the idle timeout of callers' connections. The configuration names a time within it.
const MIN_IDLE_TIMEOUT_MS: u64 = 5_000;
const MAX_IDLE_TIMEOUT_MS: u64 = 60_000;

/// Statuses by which callers know that a request has not run and will not.
pub(super) const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

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
    pub(super) engine: Arc<Engine>,
    pub(super) forwarder: Option<Arc<Forwarder>>,
}

impl CallerService {
    /// Creates the service of a VM without others.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self {
            engine,
            forwarder: None,
        }
    }

    /// Lets other VMs serve requests while this one reaches no leaf.
    pub fn with_forwarder(mut self, forwarder: Arc<Forwarder>) -> Self {
        self.forwarder = Some(forwarder);
        self
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<HttpResponse, Refusal> {
        let started_us = boot_us();
        let route_table = self.engine.route_table().ok_or(Refusal::NoConfiguration)?;
        let host = request_host(&request);
        let route = route_table.find(&host, request.uri().path());
        let route = &*Arc::clone(route.ok_or(Refusal::NoRoute)?);
        let (version, limits) = (route_table.version, route_table.limits);
        drop(route_table);
        let spec = self.call_spec(request, limits, route, started_us).await?;
        self.check_quarantine(&spec)?;
        let spec = Arc::new(spec);
        let mut prior_calls = PriorCalls::default();
        let forward = async |prior_calls| {
            let forwarder = self.forwarder.as_ref()?;
            if !request_run::has_time(&self.engine, route, spec.deadline_us) {
                return None;
            }
            let name = &route.spec.name;
            let forwarding = forwarder.forward(name, &host, &spec, version, prior_calls);
            tokio::select! {
                biased;
                response = forwarding => response,
                // The other VM may run the request.
                () = self.engine.answers_due() => Some(empty_response(StatusCode::BAD_GATEWAY)),
            }
        };
        let uses_leaves = self.engine.uses_leaves();
        if !uses_leaves && let Some(response) = forward(prior_calls).await {
            return Ok(response);
        }
        let engine = &self.engine;
        let run = request_run::run(engine, version, route, &spec, prior_calls, started_us);
        let end = run.await;
        if matches!(end.response, Err(Refusal::Stopping { .. })) {
            return Err(self.stopping_refusal());
        }
        let Some(calls) = end.movable.filter(|_| uses_leaves) else {
            return end.response;
        };
        prior_calls = calls;
        let checking = async {
            self.links_are_lost(&spec).await
                || (end.is_unreachable && self.may_reach_elsewhere(&route.spec.name))
        };
        let may_help = tokio::select! {
            biased;
            may_help = checking => may_help,
            () = self.engine.answers_due() => false,
        };
        if may_help && let Some(response) = forward(prior_calls).await {
            return Ok(without_refusal(response, prior_calls));
        }
        end.response
    }

    /// Returns the refusal of a request that this VM can't run before it stops.
    fn stopping_refusal(&self) -> Refusal {
        let forwarder = self.forwarder.as_ref();
        let has_other_vm = forwarder.is_some_and(|forwarder| forwarder.has_serving_vm());
        Refusal::Stopping { has_other_vm }
    }

    fn check_quarantine(&self, spec: &CallSpec) -> Result<(), Refusal> {
        match self.engine.content_verdict(&spec.content) {
            ContentVerdict::Quarantined { until_unix_ms } => {
                Err(Refusal::Quarantined { until_unix_ms })
            }
            _ => Ok(()),
        }
    }

    /// Returns whether this VM reaches no leaf. If calls fail in a way that may be due to its links,
    /// waits until they have been checked.
    async fn links_are_lost(&self, spec: &CallSpec) -> bool {
        let remaining_us = spec.deadline_us.saturating_sub(boot_us());
        let limit = Duration::from_micros(remaining_us / 2);
        self.forwarder.is_some() && self.engine.links_are_lost(limit.min(LINK_CHECK_WAIT)).await
    }

    pub(super) fn may_reach_elsewhere(&self, route: &str) -> bool {
        let forwarder = self.forwarder.as_ref();
        forwarder.is_some_and(|forwarder| forwarder.may_reach(route))
    }

    /// Reads the body of a message of another VM, in the memory that all request bodies share.
    pub(super) async fn read_message(&self, body: Incoming) -> Result<Bytes, BodyReadError> {
        self.engine.body_memory.read(body, MAX_FRAME_BYTES).await
    }

    /// Waits until this VM stops and has to answer all requests.
    pub(super) async fn answers_due(&self) {
        self.engine.answers_due().await;
    }

    /// Tells another VM which leaves this one reaches.
    pub(super) async fn answer_leaf_questions(
        &self,
        questions: &[LeafQuestion],
    ) -> Result<HttpResponse, NotRunReason> {
        if self.engine.state().link_monitor.is_lost() {
            return Err(NotRunReason::LinksLost);
        }
        let answers = self.engine.leaf_answers(questions).await;
        let answers = encode(&answers).map_err(|_| NotRunReason::Rejected)?;
        Ok(Response::new(Full::new(answers.into())))
    }

    /// Runs a request that another VM has read.
    ///
    /// # Errors
    ///
    /// Fails if this VM has not run it and another one may.
    pub(super) async fn serve_forwarded(
        &self,
        forwarded: ForwardedRequest,
    ) -> Result<HttpResponse, NotRunReason> {
        let started_us = boot_us();
        let route_table = self.engine.route_table();
        let route_table = route_table.filter(|table| table.version >= forwarded.route_version);
        let route_table = route_table.ok_or(NotRunReason::OlderConfiguration)?;
        if self.engine.state().link_monitor.is_lost() {
            return Err(NotRunReason::LinksLost);
        }
        let (host, prior_calls) = (forwarded.host.clone(), forwarded.prior_calls);
        let spec = forwarded.into_call_spec(&self.engine.headers.request_id);
        let spec = Arc::new(spec.map_err(|error| {
            info!(event = "forwarded_request_malformed", %error);
            NotRunReason::Rejected
        })?);
        let request_id = Some(&spec.request_id);
        let Some(route) = route_table.find(&host, spec.uri.path()) else {
            return Ok(refuse(request_id, Refusal::NoRoute));
        };
        let (version, route) = (route_table.version, &*Arc::clone(route));
        drop(route_table);
        if let Err(refusal) = self.check_quarantine(&spec) {
            return Ok(refuse(request_id, refusal));
        }
        let engine = &self.engine;
        let open_request = OpenRequest::new(engine, request_id, started_us);
        let run = request_run::run(engine, version, route, &spec, prior_calls, started_us);
        let end = run.await;
        open_request.finish();
        let has_not_run = end
            .movable
            .is_some_and(|calls| calls.sent == prior_calls.sent);
        if has_not_run && engine.state().link_monitor.is_lost() {
            return Err(NotRunReason::LinksLost);
        }
        if has_not_run && end.is_unreachable {
            return Err(NotRunReason::Unreachable);
        }
        if has_not_run && engine.is_stopping() && end.response.is_err() {
            return Err(NotRunReason::Stopping);
        }
        Ok(end
            .response
            .unwrap_or_else(|refusal| refuse(request_id, refusal)))
    }

    /// Reads the body of a request, and limits its deadline by the timeout of the route.
    async fn call_spec(
        &self,
        request: Request<Incoming>,
        limits: CallerLimits,
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
        if !self.engine.response_memory.has_room() {
            self.engine.metrics.count_memory_refusal("response");
            return Err(Refusal::NoResponseMemory { remaining_ms });
        }
        let limit_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
        let body = tokio::select! {
            biased;
            body = self.engine.body_memory.read(body, limit_bytes) => body,
            () = self.engine.answers_due() => return Err(self.stopping_refusal()),
        };
        let body = match body {
            Ok(body) => body,
            Err(BodyReadError::TooLarge) => return Err(Refusal::BodyTooLarge),
            Err(BodyReadError::Incomplete) => return Err(Refusal::BodyIncomplete),
            Err(BodyReadError::NoMemory) => {
                self.engine.metrics.count_memory_refusal("request_body");
                return Err(Refusal::NoBodyMemory { remaining_ms });
            }
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
    fn idle_timeout(&self) -> Duration {
        let route_table = self.engine.route_table();
        let idle_ms = route_table.map_or(0, |table| table.limits.idle_timeout_ms);
        Duration::from_millis(idle_ms.clamp(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS))
    }

    fn max_connections(&self) -> usize {
        self.engine.memory_limits.caller_connections
    }

    fn head_memory(&self) -> RequestHeadMemory {
        self.engine.request_heads.clone()
    }

    fn record_refused_head(&self) {
        self.engine.metrics.count_memory_refusal("request_head");
    }

    fn response_memory(&self) -> Option<ResponseMemory> {
        Some(self.engine.response_memory.clone())
    }

    fn record_cut_off(&self, cause: CutOffCause) {
        self.engine.metrics.count_cut_off(cause);
    }

    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let started_us = boot_us();
        let request_id = request.headers().get(&self.engine.headers.request_id);
        let request_id = request_id.cloned();
        let open_request = OpenRequest::new(&self.engine, request_id.as_ref(), started_us);
        let answer = tokio::select! {
            biased;
            answer = self.answer(request) => answer,
            // A leaf may have run the request.
            () = self.engine.answers_overdue() => Ok(empty_response(StatusCode::BAD_GATEWAY)),
        };
        let response = match answer {
            Ok(response) => response,
            Err(refusal) => refuse(request_id.as_ref(), refusal),
        };
        let elapsed_us = boot_us().saturating_sub(started_us);
        self.engine
            .metrics
            .count_answer(response.status().as_u16(), elapsed_us);
        open_request.finish();
        response
    }
}

/// Replaces the refusal of a request that leaves may have run before it was forwarded: it would say that
/// the request has not run.
fn without_refusal(response: HttpResponse, prior_calls: PriorCalls) -> HttpResponse {
    if prior_calls.sent > 0 && NOT_RUN_STATUSES.contains(&response.status()) {
        return empty_response(StatusCode::BAD_GATEWAY);
    }
    response
}

/// Logs a refusal and returns its response.
fn refuse(request_id: Option<&HeaderValue>, refusal: Refusal) -> HttpResponse {
    let request_id = request_id.and_then(|id| id.to_str().ok());
    warn!(event = "request_refused", request_id, reason = %refusal);
    refusal_response(refusal.status(), refusal.retry_wait_ms())
}

fn request_host(request: &Request<Incoming>) -> Box<str> {
    let host = request.headers().get(http::header::HOST);
    host_name(host.and_then(|host| host.to_str().ok()).unwrap_or(""))
}

/// Returns the name of a host without its port, in lowercase.
pub(super) fn host_name(host: &str) -> Box<str> {
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
