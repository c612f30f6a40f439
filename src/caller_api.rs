//! HTTP interface for callers: serves entry addresses, ticket blocks and queries.
//!
//! Every query outcome is mapped to an HTTP status, with a `Retry-After` header where the answer
//! gives a time; malformed or oversized requests are refused before they reach a leaf.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tracing::info;

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::control::ControlPlane;
use crate::entries::{Entries, rank_entry_addresses};
use crate::http_server::{BodyError, ErrorBody, Handler, HttpResponse, json, read_body};
use crate::root::Root;

/// Maximum size of the request body of a query.
const MAX_BODY_BYTES: usize = 2 * 1_048_576;

/// HTTP status of each outcome.
const OUTCOME_STATUS: &[(Outcome, StatusCode)] = &[
    (Outcome::Complete, StatusCode::OK),
    (Outcome::Partial, StatusCode::OK),
    (Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE),
    (Outcome::Unknown, StatusCode::BAD_GATEWAY),
    (Outcome::Refused, StatusCode::UNPROCESSABLE_ENTITY),
];

/// HTTP status of requests that did not run, for reasons that have a more specific status than
/// their outcome.
const REASON_STATUS: &[(Reason, StatusCode)] = &[
    (Reason::BadRequest, StatusCode::BAD_REQUEST),
    (Reason::BadDeadline, StatusCode::BAD_REQUEST),
    (Reason::TooLarge, StatusCode::PAYLOAD_TOO_LARGE),
    (Reason::UnknownService, StatusCode::NOT_FOUND),
    (Reason::DuplicateRequestId, StatusCode::CONFLICT),
    (Reason::TicketOtherContent, StatusCode::CONFLICT),
    (Reason::TicketRequired, StatusCode::PRECONDITION_REQUIRED),
    (Reason::Overloaded, StatusCode::TOO_MANY_REQUESTS),
];

/// Response to a request for a ticket block.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct TicketBlockResponse {
    ticket_block: Option<Box<str>>,
    numbers: u32,
    valid_ms: u64,
}

/// HTTP handler for the callers of one node.
pub struct CallerApi {
    control: Arc<ControlPlane>,
    root: Arc<Root>,
}

impl CallerApi {
    /// Creates the handler.
    pub fn new(control: Arc<ControlPlane>, root: Arc<Root>) -> Self {
        Self { control, root }
    }

    fn entries(&self, request: &Request<Incoming>) -> HttpResponse {
        let query = request.uri().query().unwrap_or("");
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        crate::faults::hit_fail_point("request.asked");
        let domain = parameter("failure_domain");
        let caller = parameter("caller").unwrap_or("");
        let addresses = if caller.is_empty() {
            // With a constant key, all unnamed callers would get the same address order.
            let random_key = rand::random::<u64>().to_string();
            rank_entry_addresses(&self.control.fleet(), domain, &random_key)
        } else {
            rank_entry_addresses(&self.control.fleet(), domain, caller)
        };
        info!(
            event = "entries",
            caller,
            domain,
            addresses = addresses.len()
        );
        let keep_ms = self.control.settings.keep_ms;
        json(
            StatusCode::OK,
            &Entries {
                addresses,
                keep_ms,
                ticket_block: self.root.issue_ticket_block(),
            },
        )
    }

    fn tickets(&self) -> HttpResponse {
        let ticket_block = self.root.issue_ticket_block();
        let numbers = crate::ticket::TICKETS_PER_BLOCK;
        let valid_ms = crate::ticket::TICKET_BLOCK_TTL_MS;
        json(
            StatusCode::OK,
            &TicketBlockResponse {
                ticket_block,
                numbers,
                valid_ms,
            },
        )
    }

    async fn query(&self, request: Request<Incoming>) -> HttpResponse {
        let refuse = |reason| to_response(&Answer::without_results("", Outcome::NotRun, reason));
        let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return refuse(Reason::TooLarge),
            Err(BodyError::Incomplete) => return refuse(Reason::BadRequest),
        };
        match serde_json::from_slice::<CallerRequest>(&body) {
            Ok(request) => to_response(&crate::faults::with_delivery_fail_point(
                self.root.run(request).await,
            )),
            Err(error) => {
                info!(
                    event = "query_malformed",
                    line = error.line(),
                    column = error.column()
                );
                refuse(Reason::BadRequest)
            }
        }
    }
}

impl Handler for CallerApi {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let method = request.method().clone();
        match (method, request.uri().path()) {
            (Method::GET, "/v1/entries") => self.entries(&request),
            (Method::POST, "/v1/tickets") => self.tickets(),
            (Method::POST, "/v1/query") => self.query(request).await,
            (_, "/v1/entries" | "/v1/tickets" | "/v1/query") => json(
                StatusCode::METHOD_NOT_ALLOWED,
                &ErrorBody {
                    error: "method_not_allowed",
                },
            ),
            _ => json(StatusCode::NOT_FOUND, &ErrorBody { error: "not_found" }),
        }
    }
}

/// Converts an answer into an HTTP response.
fn to_response(answer: &Answer) -> HttpResponse {
    let by_reason = REASON_STATUS
        .iter()
        .find(|(reason, _)| Some(*reason) == answer.reason);
    let by_outcome = OUTCOME_STATUS
        .iter()
        .find(|(outcome, _)| *outcome == answer.outcome);
    let status = match (answer.outcome, by_reason) {
        (Outcome::NotRun, Some((_, status))) => *status,
        _ => by_outcome.map_or(StatusCode::INTERNAL_SERVER_ERROR, |(_, status)| *status),
    };
    let mut response = json(status, answer);
    if let Some(retry_after_ms) = answer.retry_after_ms.filter(|_| status != StatusCode::OK) {
        let value = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}
