//! The callers' interface: finds the route of a request, runs it and forms the answer.

use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::RngExt;
use thiserror::Error;
use tracing::{info, warn};

use super::call::CallSpec;
use super::concurrency_permit::ConcurrencyPermit;
use super::connection::Reply;
use super::engine::Engine;
use super::fanout::{Fanout, FanoutPlan, FanoutResult};
use super::fanout_schedule::FanoutSchedule;
use super::merge::merge_records;
use super::routes::{ResolvedDestination, Route, RouteTable, pick_weighted};
use crate::clock::boot_us;
use crate::http_server::{BodyError, Handler, HttpResponse, read_body};
use crate::ids::ServiceKey;

/// Time after which a caller may come back when nothing can serve its request, in milliseconds.
const RETRY_WAIT_MS: Range<u64> = 200..500;

/// Latest time at which a caller comes back after an overload, as a divisor of the time that it has
/// left: callers wait no longer than that.
const RETRY_WAIT_DIVISOR: u64 = 3;

/// The same for callers with hardly any time left.
const MIN_RETRY_WAIT_MS: u64 = 10;

/// One in this many sound answers is logged; the others are only counted.
const SUCCESS_LOG_SAMPLING: u32 = 32;

/// Time by which the answer leaves before the caller's time is over.
const END_MARGIN_MS: u64 = 10;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Answers callers' requests by the routes in force.
#[derive(Debug)]
pub struct CallerService {
    engine: Arc<Engine>,
}

/// A request that is refused before any leaf gets it.
#[derive(Clone, Copy, Debug)]
#[derive(Error)]
enum Refusal {
    #[error("no configuration is in force")]
    NoConfiguration,
    #[error("no route has this host and path")]
    NoRoute,
    #[error("request has no identity")]
    NoRequestId,
    #[error("body is larger than the limit")]
    BodyTooLarge,
    #[error("body did not arrive whole")]
    BodyIncomplete,
    /// `pressure` is the usual call time as a multiple of what is bearable.
    #[error("queues of the leaves are too long: limit {limit:.1}, pressure {pressure:.2}")]
    Overloaded {
        left_ms: u64,
        limit: f64,
        pressure: f64,
    },
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::Overloaded { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoRequestId => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns when the caller may come back.
    ///
    /// Queues that are too long stay so for a while: the later a caller comes, the sooner it is served
    /// then, and the spread keeps callers that were refused together from coming back together.
    fn retry_wait_ms(self) -> Range<u64> {
        match self {
            Self::Overloaded { left_ms, .. } => {
                let latest_ms = left_ms / RETRY_WAIT_DIVISOR;
                latest_ms / 2..latest_ms.max(MIN_RETRY_WAIT_MS)
            }
            _ => RETRY_WAIT_MS,
        }
    }
}

impl CallerService {
    /// Makes the service.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<HttpResponse, Refusal> {
        let started_us = boot_us();
        let table = self.engine.table().ok_or(Refusal::NoConfiguration)?;
        let host = request_host(&request);
        let route = table.find(&host, request.uri().path());
        let route = route.ok_or(Refusal::NoRoute)?;
        let spec = self.call_spec(request, &table, route, started_us).await?;
        let plan = build_plan(&self.engine, route, spec.end_us.saturating_sub(started_us));
        let request_id = spec.request_id.clone();
        let is_merged = !plan.relays_errors;
        let concurrency_permit = if is_merged {
            Some(self.admit(&plan, route, &spec, started_us)?)
        } else {
            None
        };
        let plan = Arc::new(plan);
        let fanout = Fanout::new(
            Arc::clone(&self.engine),
            Arc::clone(&plan),
            spec,
            started_us,
        );
        let gathered = fanout.run().await;
        if let (Some(concurrency_permit), Some(median_call_us)) =
            (concurrency_permit, gathered.median_call_us)
        {
            concurrency_permit.finish(&plan, median_call_us);
        }
        let outcome = RequestLog {
            request_id: &request_id,
            route,
            elapsed_us: boot_us().saturating_sub(started_us),
        };
        outcome.log(&gathered, table.version);
        if !gathered.complete {
            return Ok(failure(&gathered));
        }
        if is_merged {
            return Ok(self.merged(route, gathered));
        }
        let reply = gathered.parts.into_iter().flatten().next();
        Ok(reply.map_or_else(|| empty(StatusCode::BAD_GATEWAY), relay_reply))
    }

    /// Takes in a gathering request, or refuses it since the leaves' queues are too long.
    fn admit(
        &self,
        plan: &FanoutPlan,
        route: &Route,
        spec: &CallSpec,
        started_us: u64,
    ) -> Result<ConcurrencyPermit, Refusal> {
        let admitted = self.engine.admit(&plan.services, route.rank);
        admitted.map_err(|(limit, pressure)| {
            let left_ms = spec.end_us.saturating_sub(started_us) / 1_000;
            Refusal::Overloaded {
                left_ms,
                limit,
                pressure,
            }
        })
    }

    async fn call_spec(
        &self,
        request: Request<Incoming>,
        table: &RouteTable,
        route: &Route,
        started_us: u64,
    ) -> Result<CallSpec, Refusal> {
        let headers = &self.engine.headers;
        let (head, body) = request.into_parts();
        let request_id = head.headers.get(&headers.request_id);
        let request_id = request_id.ok_or(Refusal::NoRequestId)?.clone();
        let given_ms = time_left_ms(&head.headers, &headers.time_left_ms);
        let left_ms = given_ms.unwrap_or(route.spec.timeout_ms);
        let left_ms = left_ms.min(route.spec.timeout_ms);
        let left_ms = left_ms.saturating_sub(END_MARGIN_MS.min(left_ms / 8));
        let limit_bytes = usize::try_from(table.limits.max_body_bytes).unwrap_or(usize::MAX);
        let body = match read_body(body, limit_bytes).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return Err(Refusal::BodyTooLarge),
            Err(BodyError::Incomplete) => return Err(Refusal::BodyIncomplete),
        };
        Ok(CallSpec {
            method: head.method,
            uri: head.uri,
            headers: end_to_end(head.headers),
            body,
            request_id,
            end_us: started_us + left_ms * 1_000,
        })
    }

    /// Forms the answer from the records of all shards that answered.
    fn merged(&self, route: &Route, gathered: FanoutResult) -> HttpResponse {
        let headers = &self.engine.headers;
        let ResolvedDestination::Shards { top_records, .. } = &route.resolved_destination else {
            return empty(StatusCode::BAD_GATEWAY);
        };
        let all = gathered.parts.len();
        let mut bodies = Vec::with_capacity(all);
        let mut signatures: Vec<u8> = Vec::new();
        for reply in gathered.parts.into_iter().flatten() {
            let Some(signature) = reply.headers.get(&headers.signature) else {
                continue;
            };
            if !signatures.is_empty() {
                signatures.extend_from_slice(b", ");
            }
            signatures.extend_from_slice(signature.as_bytes());
            bodies.push(reply.body);
        }
        let mut response = Response::new(Full::new(merge_records(&bodies, *top_records)));
        let Ok(signatures) = HeaderValue::from_bytes(&signatures) else {
            return empty(StatusCode::BAD_GATEWAY);
        };
        let fields = response.headers_mut();
        fields.insert(&headers.part_signatures, signatures);
        fields.insert(
            &headers.missing_parts,
            HeaderValue::from(all - bodies.len()),
        );
        response
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
                refused(refusal.status(), refusal.retry_wait_ms())
            }
        };
        let elapsed_us = boot_us().saturating_sub(started_us);
        self.engine
            .gateway_metrics
            .count_answer(response.status().as_u16(), elapsed_us);
        response
    }
}

/// What is logged about a request at its end.
struct RequestLog<'a> {
    request_id: &'a HeaderValue,
    route: &'a Route,
    elapsed_us: u64,
}

impl RequestLog<'_> {
    fn log(&self, gathered: &FanoutResult, version: u64) {
        let parts = gathered.parts.iter().flatten().count();
        let all = gathered.parts.len();
        let late = self.elapsed_us > self.route.spec.target_latency_ms * 1_000;
        let succeeded = gathered.complete && parts == all && !late;
        if succeeded && !rand::rng().random_ratio(1, SUCCESS_LOG_SAMPLING) {
            return;
        }
        let request_id = self.request_id.to_str().unwrap_or("");
        let error = gathered.last_error.map(|error| error.to_string());
        info!(
            event = "request_ended",
            succeeded = succeeded,
            request_id,
            route = %self.route.spec.name,
            version,
            elapsed_us = self.elapsed_us,
            parts,
            all,
            calls = gathered.sent_calls,
            denied = gathered.denied_retries,
            complete = gathered.complete,
            may_have_run = gathered.may_have_run,
            timed_out = gathered.timed_out,
            error = error.as_deref().unwrap_or("none"),
        );
    }
}

fn build_plan(engine: &Engine, route: &Route, end_us: u64) -> FanoutPlan {
    let spec = &route.spec;
    let target_us = spec.target_latency_ms * 1_000;
    let (services, min_parts, merges) = match &route.resolved_destination {
        ResolvedDestination::Service(service) => (vec![*service], 1, false),
        ResolvedDestination::Weighted(parts) => (weighted(parts).into_iter().collect(), 1, false),
        ResolvedDestination::Shards {
            services,
            min_parts,
            ..
        } => (services.clone(), *min_parts, true),
    };
    let schedule = if merges {
        let times = engine.call_latency(&spec.name, target_us);
        FanoutSchedule::gather(target_us, end_us, times)
    } else {
        FanoutSchedule::single(target_us, end_us)
    };
    FanoutPlan {
        route: spec.name.clone(),
        budget: services.first().copied().unwrap_or(ServiceKey::new(0)),
        services,
        min_parts,
        max_attempts: usize::try_from(spec.max_attempts).unwrap_or(1).max(1),
        idempotent: spec.idempotent,
        relays_errors: !merges,
        target_us,
        schedule,
    }
}

fn weighted(parts: &[(ServiceKey, u64)]) -> Option<ServiceKey> {
    let total = parts.last().map_or(0, |(_, total)| *total);
    if total == 0 {
        return parts.first().map(|(service, _)| *service);
    }
    pick_weighted(parts, rand::rng().random_range(0..total))
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

/// Removes the headers that concern one connection only, those that `Connection` names included.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Forms the answer to a request that failed: "not run" only if no leaf may have run it.
fn failure(gathered: &FanoutResult) -> HttpResponse {
    if !gathered.may_have_run {
        return refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_WAIT_MS);
    }
    if gathered.timed_out {
        return empty(StatusCode::GATEWAY_TIMEOUT);
    }
    empty(StatusCode::BAD_GATEWAY)
}

fn relay_reply(reply: Reply) -> HttpResponse {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = end_to_end(reply.headers);
    response
}

fn refused(status: StatusCode, retry_wait_ms: Range<u64>) -> HttpResponse {
    let mut response = empty(status);
    let retry_wait_ms = rand::rng().random_range(retry_wait_ms);
    let seconds = format!("{}.{:03}", retry_wait_ms / 1_000, retry_wait_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}

fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
