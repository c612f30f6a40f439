//! Serves callers' requests: finds the route of a request, sends it to the leaves and builds the
//! response.
//!
//! Handles overload and failed leaves: rejects requests with a retry time, and distinguishes
//! requests that no leaf has executed from those that may have been.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::RngExt;
use tracing::{info, warn};

use super::call::CallSpec;
use super::capacity::CapacityError;
use super::concurrency_permit::ConcurrencyPermit;
use super::connection::Reply;
use super::content::Content;
use super::content_quarantine::ContentVerdict;
use super::engine::Engine;
use super::fanout::{Fanout, FanoutPlan, FanoutResult};
use super::fanout_schedule::FanoutSchedule;
use super::merge::merge_records;
use super::refusal::{Refusal, empty_response, failure_response, refusal_response};
use super::routes::{ResolvedDestination, Route, RouteTable, pick_weighted};
use crate::clock::boot_us;
use crate::http_server::{BodyError, CallerAddress, Handler, HttpResponse, read_body};
use crate::ids::ServiceKey;

/// One in this many successful requests is logged; the others are only counted.
const SUCCESS_LOG_SAMPLING: u32 = 32;

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
        let plan = build_plan(
            &self.engine,
            route,
            spec.deadline_us.saturating_sub(started_us),
        );
        let capacity = self.engine.check_capacity(&plan.services, plan.min_parts);
        let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
        capacity.map_err(|error| match error {
            CapacityError::Unreachable => Refusal::Unreachable { remaining_ms },
            CapacityError::RateLimited => Refusal::RateLimited { remaining_ms },
            CapacityError::RetryAfter { at_us } => Refusal::RetryAfter {
                wait_ms: at_us.saturating_sub(started_us).div_ceil(1_000),
            },
        })?;
        let request_id = spec.request_id.clone();
        let content = spec.content;
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
        let fanout_result = fanout.run().await;
        if let (Some(concurrency_permit), Some(median_call_us)) =
            (concurrency_permit, fanout_result.median_call_us)
        {
            concurrency_permit.finish(&plan, median_call_us);
        }
        let request_log = RequestLog {
            request_id: &request_id,
            content,
            route,
            elapsed_us: boot_us().saturating_sub(started_us),
        };
        request_log.log(&fanout_result, route_table.version);
        if !fanout_result.complete {
            return Ok(failure_response(&fanout_result));
        }
        if is_merged {
            return Ok(self.merge_response(route, fanout_result));
        }
        let reply = fanout_result.parts.into_iter().flatten().next();
        Ok(reply.map_or_else(|| empty_response(StatusCode::BAD_GATEWAY), relay_reply))
    }

    /// Admits a scatter-gather request, or rejects it if the leaves' queues are too long.
    fn admit(
        &self,
        plan: &FanoutPlan,
        route: &Route,
        spec: &CallSpec,
        started_us: u64,
    ) -> Result<ConcurrencyPermit, Refusal> {
        let admitted = self.engine.admit(&plan.services, route.rank);
        admitted.map_err(|(limit, pressure)| {
            let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
            Refusal::Overloaded {
                remaining_ms,
                limit,
                pressure,
            }
        })
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

    /// Builds the response from the records of all shards that replied.
    fn merge_response(&self, route: &Route, fanout_result: FanoutResult) -> HttpResponse {
        let headers = &self.engine.headers;
        let ResolvedDestination::Shards { top_records, .. } = &route.resolved_destination else {
            return empty_response(StatusCode::BAD_GATEWAY);
        };
        let shard_count = fanout_result.parts.len();
        let mut bodies = Vec::with_capacity(shard_count);
        let mut signatures: Vec<u8> = Vec::new();
        for reply in fanout_result.parts.into_iter().flatten() {
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
            return empty_response(StatusCode::BAD_GATEWAY);
        };
        let fields = response.headers_mut();
        fields.insert(&headers.part_signatures, signatures);
        fields.insert(
            &headers.missing_parts,
            HeaderValue::from(shard_count - bodies.len()),
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

/// Fields of the log event for a completed request.
struct RequestLog<'a> {
    request_id: &'a HeaderValue,
    content: Content,
    route: &'a Route,
    elapsed_us: u64,
}

impl RequestLog<'_> {
    fn log(&self, fanout_result: &FanoutResult, version: u64) {
        let parts = fanout_result.parts.iter().flatten().count();
        let all = fanout_result.parts.len();
        let is_late = self.elapsed_us > self.route.spec.target_latency_ms * 1_000;
        let succeeded = fanout_result.complete && parts == all && !is_late;
        if succeeded && !rand::rng().random_ratio(1, SUCCESS_LOG_SAMPLING) {
            return;
        }
        let request_id = self.request_id.to_str().unwrap_or("");
        let error = fanout_result.last_error.map(|error| error.to_string());
        info!(
            event = "request_ended",
            succeeded = succeeded,
            request_id,
            fingerprint = self.content.fingerprint,
            caller = %self.content.caller,
            route = %self.route.spec.name,
            version,
            elapsed_us = self.elapsed_us,
            parts,
            all,
            calls = fanout_result.sent_calls,
            denied = fanout_result.denied_retries,
            complete = fanout_result.complete,
            may_have_run = fanout_result.may_have_run,
            timed_out = fanout_result.timed_out,
            error = error.as_deref().unwrap_or("none"),
        );
    }
}

fn build_plan(engine: &Engine, route: &Route, timeout_us: u64) -> FanoutPlan {
    let spec = &route.spec;
    let target_us = spec.target_latency_ms * 1_000;
    let (services, min_parts, merges) = match &route.resolved_destination {
        ResolvedDestination::Service(service) => (vec![*service], 1, false),
        ResolvedDestination::Weighted(cumulative) => {
            (draw_service(cumulative).into_iter().collect(), 1, false)
        }
        ResolvedDestination::Shards {
            services,
            min_parts,
            ..
        } => (services.clone(), *min_parts, true),
    };
    let schedule = if merges {
        let call_latency = engine.call_latency(&spec.name, target_us);
        FanoutSchedule::gather(target_us, timeout_us, call_latency)
    } else {
        FanoutSchedule::single(target_us, timeout_us)
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

fn draw_service(cumulative: &[(ServiceKey, u64)]) -> Option<ServiceKey> {
    let total = cumulative.last().map_or(0, |(_, total)| *total);
    if total == 0 {
        return cumulative.first().map(|(service, _)| *service);
    }
    pick_weighted(cumulative, rand::rng().random_range(0..total))
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
fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
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

fn relay_reply(reply: Reply) -> HttpResponse {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = strip_hop_by_hop(reply.headers);
    response
}
