//! Sends a request to one leaf, validates the reply and records the outcome for the leaf.
//!
//! Handles leaves that fail, refuse the request or don't reply, and replies that come from another
//! leaf or belong to another request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use tokio::time::{sleep, timeout};
use tracing::debug;

use super::connection::{CallError, Connection, Reply};
use super::content::Content;
use super::engine::{Engine, Headers, State};
use super::leaf_bodies::{HeldLeafBody, SendBy};
use super::leaf_capacity::{EndedCall, WorkKind};
use super::leaf_notices::NoticeReader;
use super::leaf_reports::Observation;
use super::rate_limit::parse_rate;
use super::reconnect;
use crate::clock::boot_us;
use crate::ids::LeafKey;

/// Age from which an abandoned call without a reply counts as a failure of the leaf.
const UNANSWERED_FAILURE_AGE_US: u64 = 350_000;

/// Delay before a leaf that broke off an exchange is connected to again. A process that ends may
/// close its connections shortly before its listener.
const RECONNECT_DELAY_MS: u64 = 2;

/// Timeout for that connection. An address without a process refuses it within a round trip.
const RECONNECT_TIMEOUT_MS: u64 = 30;

/// Request that is sent to each leaf.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller that are forwarded to leaves.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// ID of the request, taken from the caller's header; leaves echo it.
    pub request_id: HeaderValue,
    /// What the caller asks for, which is the same in all its attempts.
    pub content: Content,
    /// Deadline of the request on the boot clock.
    pub deadline_us: u64,
}

/// A call in flight, which occupies a connection to its leaf until it ends.
#[derive(Debug)]
pub struct OpenCall {
    engine: Arc<Engine>,
    /// Leaf that receives the call.
    pub leaf: LeafKey,
    /// Time on the boot clock at which the request is sent, which may lie ahead.
    pub started_us: u64,
    /// Whether the leaf may have ended before the call began.
    pub leaf_may_have_ended: bool,
    /// Kind of the work.
    pub kind: WorkKind,
    /// Calls of all VMs to the leaf in flight when the call was opened, or 0 if they are not counted.
    pub(super) in_flight: f64,
    /// Time that it took to connect.
    connect_us: u64,
    call_number: u64,
    connection: Option<Connection>,
    /// Body that counts as in flight to the leaf.
    pub(super) body: Option<HeldLeafBody>,
    finished: bool,
}

impl OpenCall {
    /// Creates a call that `LeafStats` tracks under `call_number`.
    ///
    /// Without a connection, the call opens one when it runs.
    pub(super) fn new(
        engine: Arc<Engine>,
        leaf: LeafKey,
        call_number: u64,
        started_us: u64,
        leaf_may_have_ended: bool,
        connection: Option<Connection>,
    ) -> Self {
        Self {
            engine,
            leaf,
            started_us,
            leaf_may_have_ended,
            kind: WorkKind::default(),
            in_flight: 0.0,
            connect_us: 0,
            call_number,
            connection,
            body: None,
            finished: false,
        }
    }

    /// Sends the request and reads the reply.
    ///
    /// # Errors
    ///
    /// Fails if the leaf doesn't send a complete and valid reply to this request, or refuses it.
    pub async fn run(mut self, spec: &CallSpec) -> Result<Reply, CallError> {
        let mut exchange_result = self.send_request(spec).await;
        if let Err(error @ (CallError::Broken | CallError::ImpossibleStatus)) = exchange_result {
            exchange_result = Err(self.reconnect(spec, error).await);
        }
        let result = exchange_result.and_then(|reply| match self.validate_reply(spec, &reply) {
            Some(error) => {
                self.finish(Err(error), Some(&reply));
                Err(error)
            }
            None => Ok(reply),
        });
        if !self.finished {
            let outcome = result.as_ref().map(|reply| reply.status);
            self.finish(outcome.map_err(|error| *error), result.as_ref().ok());
        }
        result
    }

    async fn send_request(&mut self, spec: &CallSpec) -> Result<Reply, CallError> {
        let wait_us = self.started_us.saturating_sub(boot_us());
        if wait_us > 0 {
            sleep(Duration::from_micros(wait_us)).await;
        }
        let (address, id) = {
            let state = self.engine.state();
            let leaf = state.leaves.get(self.leaf).ok_or(CallError::Connect)?;
            let id = HeaderValue::from_str(&leaf.record.id).map_err(|_| CallError::Connect)?;
            (leaf.address(), id)
        };
        if self.connection.is_some() {
            let result = self.exchange(spec, &id).await;
            if result.as_ref().err() != Some(&CallError::Unsent) {
                return result;
            }
        }
        // Closed first, since it counts towards the connections that the leaf accepts.
        self.connection = None;
        let connect_started_us = boot_us();
        self.connection = Some(Connection::open(address).await?);
        self.connect_us = boot_us().saturating_sub(connect_started_us);
        self.engine.state().link_monitor.record_connection();
        self.exchange(spec, &id).await
    }

    /// Sends the request on the connection of the call, unless the leaf has announced its end or a
    /// time without calls while the call waited for its turn or the connection.
    async fn exchange(&mut self, spec: &CallSpec, id: &HeaderValue) -> Result<Reply, CallError> {
        let connection = self.connection.as_mut().ok_or(CallError::Unsent)?;
        if !self.engine.state().leaves.may_send(self.leaf, boot_us()) {
            return Err(CallError::Withheld);
        }
        let reader = NoticeReader {
            engine: Arc::downgrade(&self.engine),
            leaf: self.leaf,
            request_id: spec.request_id.clone(),
            reply_history: connection.reply_history,
        };
        let late_reader = reader.clone();
        connection.observe_late_head(Box::new(move |status, headers| {
            late_reader.read(status, headers);
        }));
        let mut request = build_request(&self.engine.headers, spec, id);
        if !spec.body.is_empty() {
            // Read by the connection if the leaf does not read the body.
            request.extensions_mut().insert(SendBy {
                engine: Arc::downgrade(&self.engine),
                leaf: self.leaf,
                deadline_us: spec.deadline_us,
            });
        }
        let observe_head = |status: StatusCode, headers: &HeaderMap| reader.read(status, headers);
        connection
            .exchange_within(request, &self.engine.reply_memory, observe_head)
            .await
    }

    /// Connects again to a leaf that ended the exchange with `error`, and returns whether it crashed or only
    /// the exchange failed. The new connection replaces the earlier one.
    async fn reconnect(&mut self, spec: &CallSpec, error: CallError) -> CallError {
        self.connection = None;
        sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
        let Some(address) = self.address_unless_leaving() else {
            return error;
        };
        let limit = Duration::from_millis(RECONNECT_TIMEOUT_MS);
        match timeout(limit, Connection::open(address)).await {
            Ok(Ok(connection)) => {
                self.engine.metrics.count_connection();
                self.engine.state().link_monitor.record_connection();
                self.connection = Some(connection);
                error
            }
            Ok(Err(CallError::ConnectRefused)) => {
                self.log_refusal(spec, address);
                CallError::LeafCrashed
            }
            _ => error,
        }
    }

    /// Returns the address of the leaf, or `None` if it has announced its end.
    fn address_unless_leaving(&self) -> Option<SocketAddr> {
        let state = self.engine.state();
        let leaf = state.leaves.get(self.leaf)?;
        let is_leaving = leaf.retired || leaf.is_departing();
        (!is_leaving).then(|| leaf.address())
    }

    fn log_refusal(&self, spec: &CallSpec, address: SocketAddr) {
        let state = self.engine.state();
        let Some(leaf) = state.leaves.get(self.leaf) else {
            return;
        };
        let request_id = spec.request_id.to_str().unwrap_or("");
        let Content {
            fingerprint,
            caller,
        } = spec.content;
        debug!(
            event = "leaf_refuses_after_call",
            leaf = %address,
            id = %leaf.record.id,
            request_id,
            fingerprint,
            %caller,
            open_calls = leaf.leaf_stats.open_calls()
        );
    }

    /// Applies the rate limit that a reply names. A refusal does not end a limit, since a leaf that
    /// is full may leave out the header.
    fn record_rate_limit(
        &self,
        state: &mut State,
        outcome: Result<StatusCode, CallError>,
        reply: &Reply,
        now_us: u64,
    ) {
        let named = reply.headers.get(&self.engine.headers.rate_limit);
        let rate = named.and_then(|value| parse_rate(value.to_str().ok()?));
        let applies = match outcome {
            Ok(_) => true,
            Err(CallError::Refused) => rate.is_some(),
            Err(_) => false,
        };
        if applies {
            state.leaves.record_rate(self.leaf, rate, now_us);
        }
    }

    /// Returns the error if a complete reply is not a valid reply of this leaf to this request. Nothing
    /// of a reply is believed before it is known to be the answer to this request.
    fn validate_reply(&mut self, spec: &CallSpec, reply: &Reply) -> Option<CallError> {
        let headers = &self.engine.headers;
        let names = headers.origin();
        let Some(connection) = &mut self.connection else {
            return Some(CallError::Broken);
        };
        let history = &mut connection.reply_history;
        if !history.is_answer_to(&spec.request_id, &reply.headers, names) {
            return Some(CallError::RequestIdMismatch);
        }
        history.record(&reply.headers, names);
        if reply.status == StatusCode::MISDIRECTED_REQUEST {
            return Some(CallError::WrongLeaf);
        }
        if reply.headers.contains_key(&headers.not_run) {
            return Some(CallError::Refused);
        }
        let signature = reply.headers.get(&headers.signature);
        let is_unsigned = signature.is_none_or(|value| value.as_bytes().trim_ascii().is_empty());
        (reply.status.is_success() && is_unsigned).then_some(CallError::Unsigned)
    }

    /// Adds what the end of the call shows of the leaf's capacity, with the calls of all VMs in flight
    /// before it ended. Calls during which this process did not run show nothing.
    fn observe_capacity(&self, state: &mut State, in_flight: f64, is_answered: bool, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.started_us);
        let running_us = state.process_delays.running_us(self.started_us, now_us);
        if !state.leaves.estimates_capacity() || running_us < elapsed_us {
            return;
        }
        // A leaf that is rarely called has no open connection, which does not make it slow.
        let started_us = self.started_us + self.connect_us;
        let ended_call = EndedCall {
            kind: self.kind,
            in_flight: (self.in_flight + in_flight) / 2.0,
            started_us,
            ended_us: now_us,
            paused_us: state.leaves.paused_us(self.leaf, started_us, now_us),
            is_answered,
        };
        state.leaves.observe_ended_call(self.leaf, &ended_call);
    }

    fn finish(&mut self, outcome: Result<StatusCode, CallError>, reply: Option<&Reply>) {
        self.finished = true;
        if outcome == Err(CallError::NoReplyMemory) {
            self.engine.metrics.count_memory_refusal("reply");
        }
        let now_us = boot_us();
        let connection = self.connection.take();
        let state = &mut *self.engine.state();
        let links = &mut state.link_monitor;
        match outcome {
            _ if reply.is_some() => links.record_reply(now_us),
            Err(CallError::Connect | CallError::ConnectRefused) => {
                links.record_no_connection(self.leaf, now_us);
            }
            Err(CallError::Unsent | CallError::Broken | CallError::LeafCrashed) => {
                links.record_failure(self.leaf, now_us);
            }
            _ => {}
        }
        if let Some(reply) = reply {
            state.leaves.record_reply(now_us);
            self.record_rate_limit(state, outcome, reply, now_us);
        }
        match outcome {
            Err(CallError::WrongLeaf) => state.leaves.record_end(self.leaf),
            // An extra answer may have been sent before the process ended.
            Err(CallError::RequestIdMismatch) => {}
            Err(CallError::ConnectRefused | CallError::LeafCrashed) => {
                state.leaves.record_refusal(self.leaf, None, now_us);
                self.engine.refusal_recorded.notify_one();
                if state.leaves.record_unreachable(self.leaf, now_us) {
                    tokio::spawn(reconnect::run(
                        Arc::downgrade(&self.engine),
                        self.leaf,
                        now_us,
                    ));
                }
            }
            _ if reply.is_some() => {
                state.leaves.record_reachable(self.leaf, now_us);
                state
                    .leaves
                    .record_alive(self.leaf, self.started_us, now_us);
            }
            _ => {}
        }
        let is_distorted = state.link_monitor.distorts_call(self.started_us);
        let paused_us = state.leaves.paused_us(self.leaf, self.started_us, now_us);
        let in_flight = state.leaves.calls_in_flight(self.leaf, now_us);
        let Some(leaf) = state.leaves.get_mut(self.leaf) else {
            return;
        };
        let mut stall = None;
        if outcome.is_ok() {
            leaf.retry_after.record_answer(now_us);
        }
        match outcome {
            _ if is_distorted => leaf.leaf_stats.record_abandoned(self.call_number),
            Ok(status) if status.is_success() => {
                stall = leaf
                    .leaf_stats
                    .record_success(self.call_number, now_us, paused_us);
            }
            Ok(_) | Err(CallError::Refused) => {
                leaf.leaf_stats.record_error_reply(self.call_number, now_us)
            }
            // Other leaves may have sent what takes the memory.
            Err(CallError::RequestIdMismatch | CallError::Withheld | CallError::NoReplyMemory) => {
                leaf.leaf_stats.record_abandoned(self.call_number);
            }
            Err(_) => leaf.leaf_stats.record_failure(self.call_number, now_us),
        }
        let is_failed = match outcome {
            Err(CallError::Withheld | CallError::NoReplyMemory) => false,
            _ => reply.is_none(),
        };
        if is_failed && !is_distorted {
            leaf.record_failed_call(now_us);
        }
        let no_headers = HeaderMap::new();
        let reply_headers = match outcome {
            Ok(_) | Err(CallError::Refused) => reply.map(|reply| &reply.headers),
            // The connection was opened after the failed exchange, or nothing was sent on it.
            Err(CallError::Broken | CallError::ImpossibleStatus | CallError::Withheld) => {
                Some(&no_headers)
            }
            Err(_) => None,
        };
        let reusable = connection.zip(reply_headers);
        let idle = reusable.and_then(|(c, headers)| c.into_idle(headers, now_us / 1_000));
        match idle {
            Some(idle) if !leaf.retired && !leaf.is_departing() => leaf.idle.push(idle),
            _ => leaf.connections = leaf.connections.saturating_sub(1),
        }
        state.record_stall(self.leaf, stall);
        if outcome.is_ok_and(|status| status.is_success()) && !is_distorted {
            self.observe_capacity(state, in_flight, true, now_us);
        }
        if let Some(observation) = observation_of(outcome) {
            state.report_outcome(self.leaf, observation, now_us);
        }
        if outcome == Err(CallError::WrongLeaf) {
            state.leaves.mark_misdirected(self.leaf, now_us / 1_000);
        }
        self.engine.record_ended_runs(state);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now_us = boot_us();
        let state = &mut *self.engine.state();
        let is_distorted = state.link_monitor.distorts_call(self.started_us);
        let age_us = state.process_delays.running_us(self.started_us, now_us);
        let counts_as_failure = age_us >= UNANSWERED_FAILURE_AGE_US && !is_distorted;
        if !counts_as_failure && !is_distorted {
            let in_flight = state.leaves.calls_in_flight(self.leaf, now_us);
            self.observe_capacity(state, in_flight, false, now_us);
        }
        if let Some(leaf) = state.leaves.get_mut(self.leaf) {
            leaf.connections = leaf.connections.saturating_sub(1);
            if counts_as_failure {
                leaf.leaf_stats.record_failure(self.call_number, now_us);
                leaf.record_failed_call(now_us);
            } else {
                leaf.leaf_stats.record_abandoned(self.call_number);
            }
        }
    }
}

/// Returns the observation of the leaf that is reported to other VMs for an outcome, if any.
///
/// A connection that can't be opened may be due to the network path instead of the leaf, so it is
/// not reported and other VMs detect it themselves.
fn observation_of(outcome: Result<StatusCode, CallError>) -> Option<Observation> {
    match outcome {
        Ok(status) if status.is_success() => Some(Observation::Answered),
        Ok(_)
        | Err(
            CallError::Refused
            | CallError::Broken
            | CallError::ImpossibleStatus
            | CallError::RecordCut
            | CallError::ReplyTooLarge
            | CallError::LeafCrashed
            | CallError::Unsigned,
        ) => Some(Observation::Failed),
        Err(
            CallError::Connect
            | CallError::ConnectRefused
            | CallError::Unsent
            | CallError::Withheld
            | CallError::NoReplyMemory
            | CallError::RequestIdMismatch
            | CallError::WrongLeaf,
        ) => None,
    }
}

fn build_request(headers: &Headers, spec: &CallSpec, leaf: &HeaderValue) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(spec.body.clone()));
    *request.method_mut() = spec.method.clone();
    *request.uri_mut() = spec.uri.clone();
    *request.headers_mut() = spec.headers.clone();
    let remaining_ms = spec.deadline_us.saturating_sub(boot_us()) / 1_000;
    let fields = request.headers_mut();
    fields.insert(
        &headers.time_left_ms,
        HeaderValue::from(remaining_ms.max(1)),
    );
    fields.insert(&headers.expected_leaf, leaf.clone());
    request
}
