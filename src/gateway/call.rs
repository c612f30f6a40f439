//! Sends a request to one leaf, validates the reply and records the outcome for the leaf.
//!
//! Handles leaves that fail, refuse the request or don't reply, and replies that come from another
//! leaf or belong to another request.

mod outcome;

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
use super::engine::{Engine, Headers};
use super::leaf_bodies::{HeldLeafBody, SendBy};
use super::leaf_capacity::WorkKind;
use super::leaf_notices::NoticeReader;
use crate::clock::boot_us;
use crate::ids::LeafKey;

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
