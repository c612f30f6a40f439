//! Runs callers' requests from admission to the final answer.
//!
//! Requests are refused before they execute if they are invalid, quarantined or duplicates, if the
//! limits on concurrent requests are reached, or while the process drains.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::ThreadRng;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::admission::{Admission, Arrival, Refusal, ServiceCapacity};
use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::capacity::add_jitter;
use crate::clock::{boot_ms, unix_ms};
use crate::control::ControlPlane;
use crate::dispatch::Dispatcher;
use crate::fleet::Fleet;
use crate::ids::{CallId, CallIdGenerator, Snapshot, fingerprint};
use crate::measurements::Measurements;
use crate::peer_client::PeerClient;
use crate::quarantine::QUARANTINE_MS;
use crate::query_context::QueryContext;
use crate::replica_selection::ReplicaSelector;
use crate::telemetry::Telemetry;
use crate::ticket::Tickets;

/// Time after which a caller should retry if its request was refused for a reason other than load,
/// or ran without a complete answer.
pub(crate) const RETRY_AFTER_MS: u64 = 500;

/// Maximum length of a member name or request id.
const MAX_TOKEN_BYTES: usize = 128;

/// Mutable state of the root, guarded by one lock.
#[derive(Default)]
pub(crate) struct RootState {
    in_flight_ids: HashSet<(Box<str>, Box<str>)>,
    pub(crate) admission: Admission,
    pub(crate) capacities: HashMap<Box<str>, (ServiceCapacity, u64)>,
    pub(crate) tickets: Option<Tickets>,
}

/// Service that runs callers' requests.
pub struct Root {
    pub(crate) control: Arc<ControlPlane>,
    dispatcher: Dispatcher,
    pub(crate) peer_client: Arc<PeerClient>,
    telemetry: Arc<Telemetry>,
    call_ids: CallIdGenerator,
    measurements: Measurements,
    state: Mutex<RootState>,
    draining: AtomicBool,
    pub(crate) tasks: TaskTracker,
}

/// Admission of one request and its request id in flight; dropping it releases both.
pub(crate) struct AdmissionPermit<'a> {
    root: &'a Root,
    service: Box<str>,
    member: Box<str>,
    request_id: Box<str>,
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.root.state();
        state.admission.release(&self.service, &self.member);
        let id = (
            std::mem::take(&mut self.member),
            std::mem::take(&mut self.request_id),
        );
        state.in_flight_ids.remove(&id);
    }
}

impl Root {
    /// Creates the service.
    pub fn spawn(
        control: Arc<ControlPlane>,
        dispatcher: Dispatcher,
        peer_client: Arc<PeerClient>,
        telemetry: Arc<Telemetry>,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let incarnation = control.incarnation();
        let tickets = Tickets::new(
            incarnation,
            control.settings.internal_address,
            rand::random(),
        );
        Arc::new(Self {
            dispatcher,
            peer_client,
            telemetry,
            call_ids: CallIdGenerator::new(incarnation),
            measurements: Measurements::default(),
            state: Mutex::new(RootState {
                tickets: Some(tickets),
                ..RootState::default()
            }),
            draining: AtomicBool::new(false),
            tasks: tasks.clone(),
            control,
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, RootState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.state().admission.in_flight()
    }

    /// Issues a block of tickets for requests that are not idempotent.
    pub fn issue_ticket_block(&self) -> Option<Box<str>> {
        let block = self.state().tickets.as_mut()?.issue(boot_ms());
        Some(block.to_string().into())
    }

    /// Runs a request of a caller to its final answer.
    pub async fn run(self: &Arc<Self>, mut request: CallerRequest) -> Answer {
        let started_ms = boot_ms();
        let answer = if request.idempotent {
            match self.admit(&request).await {
                Ok(_permit) => {
                    // Admission may have waited for the control plane to sync after a pause.
                    let waited_ms = boot_ms() - started_ms;
                    request.deadline_ms = request.deadline_ms.saturating_sub(waited_ms).max(1);
                    self.execute(&request).await
                }
                Err(answer) => answer,
            }
        } else {
            self.run_at_most_once(request.clone()).await
        };
        if !answer.results.is_empty() || !answer.missing.is_empty() {
            self.record_completion(&request, &answer, boot_ms() - started_ms);
        }
        self.telemetry.count_answer(&answer, boot_ms() - started_ms);
        if self
            .control
            .fleet()
            .find_service(&request.service)
            .is_some()
        {
            let elapsed_us = (boot_ms() - started_ms) * 1_000;
            self.telemetry
                .record_service_answer(&request.service, &answer, elapsed_us);
        }
        info!(
            event = "answer",
            request = %answer.request_id,
            service = %request.service,
            outcome = ?answer.outcome,
            reason = ?answer.reason,
            snapshot = answer.snapshot.map(|s| s.to_string()),
            covered = answer.covered.len(),
            shards = answer.shards,
            elapsed_ms = boot_ms() - started_ms,
        );
        answer
    }

    /// Validates a request and admits it within the limits on concurrent requests.
    pub(crate) async fn admit(
        &self,
        request: &CallerRequest,
    ) -> Result<AdmissionPermit<'_>, Answer> {
        let refuse = |reason| {
            let answer = Answer::without_results(&request.request_id, Outcome::NotRun, reason);
            answer.retry_after(RETRY_AFTER_MS)
        };
        let refuse_overloaded = |refusal: Refusal| {
            let answer =
                Answer::without_results(&request.request_id, Outcome::NotRun, refusal.reason);
            answer.retry_after(add_jitter(refusal.retry_after_ms))
        };
        if self.draining.load(Ordering::SeqCst) {
            return Err(refuse(Reason::Draining));
        }
        let deadline = Duration::from_millis(request.deadline_ms);
        if timeout(deadline, self.control.sync_after_pause())
            .await
            .is_err()
        {
            return Err(refuse(Reason::Starting));
        }
        if self.control.is_superseded() {
            return Err(refuse(Reason::Draining));
        }
        self.validate(request).map_err(|reason| match reason {
            Reason::Quarantined => self.refuse_quarantined(request),
            reason => refuse(reason),
        })?;
        let mut state = self.state();
        let id = (request.member.clone(), request.request_id.clone());
        if !request.request_id.is_empty() && state.in_flight_ids.contains(&id) && request.idempotent
        {
            return Err(refuse(Reason::DuplicateRequestId));
        }
        let arrival = Arrival {
            service: &request.service,
            member: &request.member,
            deadline_ms: request.deadline_ms,
            now_ms: boot_ms(),
        };
        let capacity = self.capacity(&mut state, &request.service);
        state
            .admission
            .admit(arrival, capacity)
            .map_err(refuse_overloaded)?;
        state.in_flight_ids.insert(id);
        Ok(AdmissionPermit {
            root: self,
            service: request.service.clone(),
            member: request.member.clone(),
            request_id: request.request_id.clone(),
        })
    }

    fn validate(&self, request: &CallerRequest) -> Result<(), Reason> {
        if !is_token(&request.member) || !is_token(&request.request_id) {
            return Err(Reason::BadRequest);
        }
        let fleet = self.control.fleet();
        let key = fleet
            .find_service(&request.service)
            .ok_or(Reason::UnknownService)?;
        let service = fleet.service(key);
        if request.deadline_ms == 0 || request.deadline_ms > service.max_deadline_ms {
            return Err(Reason::BadDeadline);
        }
        if request.payload.len() > service.max_payload_bytes {
            return Err(Reason::TooLarge);
        }
        let content = fingerprint(&request.service, request.payload.as_bytes());
        if self.control.quarantined_until(content, unix_ms()).is_some() {
            return Err(Reason::Quarantined);
        }
        Ok(())
    }

    fn refuse_quarantined(&self, request: &CallerRequest) -> Answer {
        let content = fingerprint(&request.service, request.payload.as_bytes());
        let now_unix_ms = unix_ms();
        let until = self.control.quarantined_until(content, now_unix_ms);
        let wait_ms = until.map_or(QUARANTINE_MS, |until| until - now_unix_ms);
        Answer::without_results(&request.request_id, Outcome::Refused, Reason::Quarantined)
            .retry_after(wait_ms)
    }

    /// Turns an `unknown` answer without coverage into a final refusal if the content was
    /// quarantined while the request ran.
    ///
    /// A request that is not idempotent stays `unknown`: a refused ticket could be redeemed again.
    pub(crate) fn refuse_if_quarantined(
        &self,
        request: &CallerRequest,
        query_context: &QueryContext,
        answer: Answer,
    ) -> Answer {
        let without_coverage = query_context.idempotent && answer.covered.is_empty();
        if without_coverage
            && answer.outcome == Outcome::Unknown
            && self.is_quarantined(query_context)
        {
            return self.refuse_quarantined(request);
        }
        answer
    }

    pub(crate) fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    pub(crate) fn current_fleet(&self) -> Arc<Fleet> {
        self.control.fleet()
    }

    pub(crate) fn next_call(&self) -> CallId {
        self.call_ids.next_id()
    }

    pub(crate) fn measurements(&self) -> &Measurements {
        &self.measurements
    }

    /// Calls `choose` with a replica selector, a predicate for owners to avoid, and a random
    /// number generator.
    pub(crate) fn with_replica_selector(
        &self,
        fleet: &Fleet,
        snapshot: Snapshot,
        choose: impl FnOnce(ReplicaSelector<'_>, &dyn Fn(SocketAddr) -> bool, &mut ThreadRng),
    ) {
        self.control.with_leaf_views(|views| {
            self.measurements
                .with_replica_selector(fleet, views, snapshot, choose);
        });
    }

    /// Takes one extra call from the service's retry budget; returns whether one was left.
    pub(crate) fn try_spend(&self, service: &str) -> bool {
        let spent = self.measurements.try_spend(service);
        self.telemetry.count_extra_call(spent);
        spent
    }

    pub(crate) fn count_leaf_calls(&self, service: &str, needed: u64, made: u64) {
        self.telemetry.count_leaf_calls(service, needed, made);
    }

    pub(crate) fn count_unexpected_reply(&self) {
        self.telemetry.count_unexpected_reply();
    }

    /// Avoids an unreachable owner for a limited time.
    pub(crate) fn avoid(&self, owner: SocketAddr) {
        info!(event = "owner_avoided", owner = %owner);
        self.measurements.avoid(owner);
    }

    /// Records that a leaf crashed while it executed the request.
    pub(crate) fn record_crash(
        &self,
        query_context: &QueryContext,
        leaf: SocketAddr,
        shared: bool,
    ) {
        self.control
            .record_crash(query_context.fingerprint, leaf, shared);
        let quarantined = self.is_quarantined(query_context);
        warn!(event = "leaf_crashed", leaf = %leaf, fingerprint = query_context.fingerprint, shared, quarantined);
    }

    /// Returns whether a leaf crashed while it executed the content of a request.
    pub(crate) fn has_crashed_leaf(&self, query_context: &QueryContext) -> bool {
        self.control.has_crashed_leaf(query_context.fingerprint)
    }

    /// Returns whether the content of a request is quarantined now.
    pub(crate) fn is_quarantined(&self, query_context: &QueryContext) -> bool {
        let until = self
            .control
            .quarantined_until(query_context.fingerprint, unix_ms());
        until.is_some()
    }
}

/// Returns whether a name can be sent as a header value: 1 to 128 visible ASCII characters.
fn is_token(text: &str) -> bool {
    (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}
