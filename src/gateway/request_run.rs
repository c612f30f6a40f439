//! Runs a request at the leaves and builds the response from their replies.
//!
//! Handles overload: rejects a request that can't be served now before it is sent to any leaf.

use std::sync::Arc;

use http::header::HeaderValue;
use http::{Response, StatusCode};
use http_body_util::Full;
use rand::RngExt;
use tracing::info;

use super::admission::AdmissionPermit;
use super::call::CallSpec;
use super::capacity::CapacityError;
use super::concurrency_permit::ConcurrencyPermit;
use super::connection::Reply;
use super::content::Content;
use super::engine::Engine;
use super::fanout::{Fanout, FanoutPlan, FanoutResult};
use super::fanout_schedule::FanoutSchedule;
use super::forwarded_request::PriorCalls;
use super::merge::merge_records;
use super::refusal::{Refusal, empty_response, failure_response};
use super::routes::{ResolvedDestination, Route, pick_weighted};
use super::service::{NOT_RUN_STATUSES, strip_hop_by_hop};
use crate::clock::boot_us;
use crate::http_server::HttpResponse;
use crate::ids::ServiceKey;

/// One in this many successful requests is logged; the others are only counted.
const SUCCESS_LOG_SAMPLING: u32 = 32;

/// Factor by which the time of the latest calls is extended for requests that must not run twice.
const ONCE_TIME_FACTOR: u64 = 2;

/// Least expected time of such a request, as a divisor of the target latency: leaves may work longer than
/// lately.
const ONCE_TARGET_DIVISOR: u64 = 4;

/// Refusal of a request that this VM has no time for.
pub(super) const STOPPING: Refusal = Refusal::Stopping { has_other_vm: true };

/// End of a request at the leaves of this VM.
pub(super) struct RunEnd {
    pub(super) response: Result<HttpResponse, Refusal>,
    /// Calls after which another VM may run the request, or `None` if it must not or need not.
    pub(super) movable: Option<PriorCalls>,
    /// Whether the leaves of a service refuse connections.
    pub(super) is_unreachable: bool,
}

impl From<HttpResponse> for RunEnd {
    fn from(response: HttpResponse) -> Self {
        Self {
            response: Ok(response),
            movable: None,
            is_unreachable: false,
        }
    }
}

/// Runs a request that arrived at `started_us` with a route of configuration `version`, and with which
/// other VMs have done `prior_calls`.
pub(super) async fn run(
    engine: &Arc<Engine>,
    version: u64,
    route: &Route,
    spec: &Arc<CallSpec>,
    prior_calls: PriorCalls,
    started_us: u64,
) -> RunEnd {
    // Checked first: another VM can serve what this one has no time for, whatever else stands against it.
    if !has_time(engine, route, spec.deadline_us) {
        return refused(STOPPING, prior_calls);
    }
    let timeout_us = spec.deadline_us.saturating_sub(started_us);
    let plan = build_plan(engine, route, timeout_us, prior_calls);
    let is_merged = !plan.relays_errors;
    if let Err(refusal) = check_capacity(engine, &plan, spec, started_us) {
        return refused(refusal, prior_calls);
    }
    let permit = match admit(engine, &plan, route, spec, started_us).await {
        Ok(permit) => permit,
        Err(refusal) => return refused(refusal, prior_calls),
    };
    let plan = Arc::new(plan);
    let fanout = Fanout::new(
        Arc::clone(engine),
        Arc::clone(&plan),
        Arc::clone(spec),
        started_us,
    );
    let fanout_result = fanout.run().await;
    if !engine.state().link_monitor.distorts_call(started_us) {
        permit.finish(&plan, &fanout_result, started_us);
    }
    let request_log = RequestLog {
        request_id: &spec.request_id,
        content: spec.content,
        route,
        elapsed_us: boot_us().saturating_sub(started_us),
    };
    request_log.log(&fanout_result, version);
    if !fanout_result.complete {
        let is_refused = fanout_result.is_stopping && !fanout_result.may_have_run;
        return RunEnd {
            response: if is_refused {
                Err(STOPPING)
            } else {
                Ok(failure_response(&fanout_result))
            },
            movable: fanout_result.movable,
            is_unreachable: fanout_result.is_unreachable,
        };
    }
    if is_merged {
        return merge_response(engine, route, fanout_result).into();
    }
    let reply = fanout_result.parts.into_iter().flatten().next();
    let response = reply.map_or_else(|| empty_response(StatusCode::BAD_GATEWAY), relay_reply);
    response.into()
}

/// Returns whether a leaf can answer a request before this VM stops.
pub(super) fn has_time(engine: &Engine, route: &Route, deadline_us: u64) -> bool {
    let Some(stop) = *engine.stop_schedule().borrow() else {
        return true;
    };
    let expected_us = expected_us(engine, route);
    stop.allows_call(boot_us(), expected_us, deadline_us)
}

/// Returns the time within which a leaf is expected to answer a request.
///
/// It is longer for a request that must not run twice: its caller can't repeat it if this VM stops first. The
/// target latency may be far above what leaves need, so it counts in full only before some calls have
/// ended, and late in a stop.
fn expected_us(engine: &Engine, route: &Route) -> u64 {
    let target_us = route.spec.target_latency_ms * 1_000;
    let latency = engine.call_latency(&route.spec.name, target_us);
    if route.spec.idempotent {
        return latency.slow_us();
    }
    let stop = *engine.stop_schedule().borrow();
    let is_late = stop.is_some_and(|stop| boot_us() >= stop.estimate_until_us);
    match latency.longest_us() {
        Some(longest_us) if !is_late => {
            let min_us = target_us / ONCE_TARGET_DIVISOR;
            min_us.max(longest_us.saturating_mul(ONCE_TIME_FACTOR))
        }
        _ => target_us.max(latency.slow_us() * ONCE_TIME_FACTOR),
    }
}

/// Returns the end of a request that is refused on arrival. Another VM may have what this one lacks,
/// unless the leaves refuse requests of all VMs.
pub(super) fn refused(refusal: Refusal, prior_calls: PriorCalls) -> RunEnd {
    let is_unreachable = matches!(refusal, Refusal::Unreachable { .. });
    let is_local = matches!(
        refusal,
        Refusal::Overloaded { .. }
            | Refusal::NotAdmitted { .. }
            | Refusal::LinksLost { .. }
            | Refusal::Stopping { .. }
    );
    let is_movable = is_unreachable || is_local;
    RunEnd {
        response: Err(refusal),
        movable: is_movable.then_some(prior_calls),
        is_unreachable,
    }
}

fn check_capacity(
    engine: &Engine,
    plan: &FanoutPlan,
    spec: &CallSpec,
    started_us: u64,
) -> Result<(), Refusal> {
    let capacity = engine.check_capacity(&plan.services, plan.min_parts);
    let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
    capacity.map_err(|error| capacity_refusal(error, remaining_ms, started_us))
}

/// Returns the refusal of a request that arrived at `started_us` and can't be served.
pub(super) fn capacity_refusal(
    error: CapacityError,
    remaining_ms: u64,
    started_us: u64,
) -> Refusal {
    match error {
        CapacityError::Unreachable => Refusal::Unreachable { remaining_ms },
        CapacityError::LinksLost => Refusal::LinksLost { remaining_ms },
        CapacityError::RateLimited => Refusal::RateLimited { remaining_ms },
        CapacityError::RetryAfter { at_us } => Refusal::RetryAfter {
            wait_ms: at_us.saturating_sub(started_us).div_ceil(1_000),
        },
    }
}

/// Permit of a running request, released on drop.
enum Permit {
    /// The route is ranked.
    Ranked(AdmissionPermit),
    Concurrency(ConcurrencyPermit),
    /// The requests of the route are not limited.
    Unlimited,
}

impl Permit {
    /// Adjusts the limits by the latency of the request.
    fn finish(self, plan: &FanoutPlan, fanout_result: &FanoutResult, started_us: u64) {
        match (self, fanout_result.median_call_us) {
            (Self::Ranked(permit), _) => permit.finish(plan, fanout_result, started_us),
            (Self::Concurrency(permit), Some(median_call_us)) => {
                permit.finish(plan, median_call_us);
            }
            _ => {}
        }
    }
}

/// Admits a request, or rejects it if the leaves' queues are too long.
async fn admit(
    engine: &Arc<Engine>,
    plan: &FanoutPlan,
    route: &Route,
    spec: &CallSpec,
    started_us: u64,
) -> Result<Permit, Refusal> {
    if let Some(rank) = route.admission_rank {
        let permit = engine.admit_ranked(plan, rank, spec, started_us).await?;
        return Ok(Permit::Ranked(permit));
    }
    if plan.relays_errors {
        return Ok(Permit::Unlimited);
    }
    let admitted = engine.admit(&plan.services, route.rank);
    let admitted = admitted.map_err(|(limit, pressure)| {
        let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
        Refusal::Overloaded {
            remaining_ms,
            limit,
            pressure,
        }
    });
    admitted.map(Permit::Concurrency)
}

/// Builds the response from the records of all shards that replied.
fn merge_response(engine: &Engine, route: &Route, fanout_result: FanoutResult) -> HttpResponse {
    let headers = &engine.headers;
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
    let parts = bodies.len();
    let merged = merge_records(&bodies, *top_records);
    drop(bodies);
    let mut response = Response::new(Full::new(engine.reply_memory.hold(merged)));
    let Ok(signatures) = HeaderValue::from_bytes(&signatures) else {
        return empty_response(StatusCode::BAD_GATEWAY);
    };
    let fields = response.headers_mut();
    fields.insert(&headers.part_signatures, signatures);
    fields.insert(
        &headers.missing_parts,
        HeaderValue::from(shard_count - parts),
    );
    response
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

fn build_plan(
    engine: &Engine,
    route: &Route,
    timeout_us: u64,
    prior_calls: PriorCalls,
) -> FanoutPlan {
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
        services,
        min_parts,
        max_attempts: usize::try_from(spec.max_attempts).unwrap_or(1).max(1),
        idempotent: spec.idempotent,
        relays_errors: !merges,
        target_us,
        expected_us: expected_us(engine, route),
        schedule,
        prior_calls,
    }
}

fn draw_service(cumulative: &[(ServiceKey, u64)]) -> Option<ServiceKey> {
    let total = cumulative.last().map_or(0, |(_, total)| *total);
    if total == 0 {
        return cumulative.first().map(|(service, _)| *service);
    }
    pick_weighted(cumulative, rand::rng().random_range(0..total))
}

/// Builds the response from the answer of a leaf. The leaf may have run the request although its status
/// tells callers otherwise: one that has not run it says so by a header, and gives no answer.
fn relay_reply(reply: Reply) -> HttpResponse {
    if NOT_RUN_STATUSES.contains(&reply.status) {
        return empty_response(StatusCode::BAD_GATEWAY);
    }
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = strip_hop_by_hop(reply.headers);
    response
}
