//! Service that runs callers' requests from admission to the final answer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::ThreadRng;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::admission::{Admission, RETRY_AFTER_MS};
use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::clock::{boot_ms, unix_ms};
use crate::control::{Control, LeafView};
use crate::dispatch::Dispatcher;
use crate::fleet::Fleet;
use crate::hedge::Budget;
use crate::ids::{CallId, CallIds, ServiceKey, Snapshot, fingerprint};
use crate::latency::Distribution;
use crate::link::Link;
use crate::plan::{Choice, LeafLoad};
use crate::quarantine::QUARANTINE_MS;
use crate::query::{Run, RunResult, Work, bounded_hedge_delay_us};
use crate::snapshot::choose;
use crate::telemetry::Telemetry;
use crate::ticket::Tickets;

/// Runs of one request at different snapshots.
const MAX_RUNS: usize = 3;

/// Share of calls that end before the hedge delay.
const HEDGE_QUANTILE: f64 = 0.95;

/// Samples before the observed distribution decides the hedge delay.
const MIN_SAMPLES: u64 = 50;

/// Hedge delay without enough samples.
const DEFAULT_HEDGE_DELAY_US: u64 = 20_000;

/// Longest member name and request id.
const MAX_NAME_BYTES: usize = 128;

/// Time for which an owner that could not be reached is avoided.
const AVOID_MS: u64 = 1_000;

#[derive(Default)]
struct ServiceState {
    latency: Distribution,
    budget: Budget,
}

#[derive(Default)]
pub(crate) struct State {
    services: HashMap<Box<str>, ServiceState>,
    loads: HashMap<SocketAddr, LeafLoad>,
    avoided: HashMap<SocketAddr, u64>,
    in_flight_ids: HashSet<(Box<str>, Box<str>)>,
    admission: Admission,
    pub(crate) tickets: Option<Tickets>,
}

/// Service that runs callers' requests.
pub struct Root {
    pub(crate) control: Arc<Control>,
    dispatcher: Dispatcher,
    pub(crate) link: Arc<Link>,
    telemetry: Arc<Telemetry>,
    call_ids: CallIds,
    state: Mutex<State>,
    draining: AtomicBool,
    pub(crate) tasks: TaskTracker,
}

/// A place in admission and a request id in flight; dropping it gives both back.
pub(crate) struct Place<'a> {
    root: &'a Root,
    member: Box<str>,
    request_id: Box<str>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.root.state();
        state.admission.release(&self.member);
        let id = (
            std::mem::take(&mut self.member),
            std::mem::take(&mut self.request_id),
        );
        state.in_flight_ids.remove(&id);
    }
}

impl Root {
    /// Starts the service.
    pub fn spawn(
        control: Arc<Control>,
        dispatcher: Dispatcher,
        link: Arc<Link>,
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
            link,
            telemetry,
            call_ids: CallIds::new(incarnation),
            state: Mutex::new(State {
                tickets: Some(tickets),
                ..State::default()
            }),
            draining: AtomicBool::new(false),
            tasks: tasks.clone(),
            control,
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> usize {
        self.state().admission.in_flight()
    }

    /// Issues a ticket block.
    pub fn issue_block(&self) -> Option<Box<str>> {
        let block = self.state().tickets.as_mut()?.issue(boot_ms());
        Some(block.to_string().into())
    }

    /// Runs a request of a caller to its final answer.
    pub async fn run(self: &Arc<Self>, request: CallerRequest) -> Answer {
        let started_ms = boot_ms();
        let answer = if request.idempotent {
            match self.admit(&request).await {
                Ok(_place) => self.execute(&request).await,
                Err(answer) => answer,
            }
        } else {
            self.run_once(request.clone()).await
        };
        self.telemetry.count_answer(&answer, boot_ms() - started_ms);
        if self
            .control
            .fleet()
            .find_service(&request.service)
            .is_some()
        {
            let elapsed_us = (boot_ms() - started_ms) * 1_000;
            self.telemetry
                .report_answer(&request.service, &answer, elapsed_us);
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

    /// Checks a request and takes a place for it.
    pub(crate) async fn admit(&self, request: &CallerRequest) -> Result<Place<'_>, Answer> {
        let refuse = |reason| {
            let answer = Answer::empty(&request.request_id, Outcome::NotRun, reason);
            answer.retry_after(RETRY_AFTER_MS)
        };
        if self.draining.load(Ordering::SeqCst) {
            return Err(refuse(Reason::Draining));
        }
        self.control.ensure_fresh().await;
        if self.control.is_superseded() {
            return Err(refuse(Reason::Draining));
        }
        self.check(request).map_err(|reason| match reason {
            Reason::Quarantined => self.refuse_quarantined(request),
            reason => refuse(reason),
        })?;
        let mut state = self.state();
        let id = (request.member.clone(), request.request_id.clone());
        if !request.request_id.is_empty() && state.in_flight_ids.contains(&id) && request.idempotent
        {
            return Err(refuse(Reason::DuplicateRequestId));
        }
        state.admission.admit(&request.member).map_err(refuse)?;
        state.in_flight_ids.insert(id);
        Ok(Place {
            root: self,
            member: request.member.clone(),
            request_id: request.request_id.clone(),
        })
    }

    fn check(&self, request: &CallerRequest) -> Result<(), Reason> {
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
        Answer::empty(&request.request_id, Outcome::Refused, Reason::Quarantined)
            .retry_after(wait_ms)
    }

    /// Makes an answer without coverage final if the content was blamed while it ran.
    ///
    /// A request that is not idempotent stays `unknown`: a refused ticket could be redeemed again.
    fn refuse_if_blamed(&self, request: &CallerRequest, work: &Work, answer: Answer) -> Answer {
        let lost = work.idempotent && answer.covered.is_empty();
        if lost && answer.outcome == Outcome::Unknown && self.is_quarantined(work) {
            return self.refuse_quarantined(request);
        }
        answer
    }

    /// Runs a request at one snapshot, and at another if the first vanishes.
    pub(crate) async fn execute(&self, request: &CallerRequest) -> Answer {
        let fleet = self.control.fleet();
        let Some(service) = fleet.find_service(&request.service) else {
            return Answer::empty(&request.request_id, Outcome::NotRun, Reason::UnknownService);
        };
        let work = Work {
            service,
            member: request.member.clone(),
            request_id: request.request_id.clone(),
            payload: request.payload.as_bytes().to_vec(),
            fingerprint: fingerprint(&request.service, request.payload.as_bytes()),
            idempotent: request.idempotent,
            deadline_ms: boot_ms() + request.deadline_ms,
        };
        let mut excluded = Vec::new();
        let mut uncertain = false;
        crate::faults::step("request.admitted");
        for _ in 0..MAX_RUNS {
            let snapshot = self
                .control
                .with_leaf_views(|views| choose(&fleet, fleet.service(service), views, &excluded));
            let Some(snapshot) = snapshot else {
                break;
            };
            info!(event = "pin", request = %request.request_id, snapshot = %snapshot);
            crate::faults::step("request.pinned");
            let Some(result) = Run::run(self, Arc::clone(&fleet), &work, snapshot).await else {
                break;
            };
            uncertain |= result.uncertain;
            let restart = result.snapshot_gone && work.idempotent;
            if !restart || boot_ms() >= work.deadline_ms {
                let answer = answer(request, &work, snapshot, result, uncertain);
                return self.refuse_if_blamed(request, &work, answer);
            }
            // Leaves that answered ran the request, even if their answers are dropped now.
            uncertain |= !result.results.is_empty();
            excluded.push(snapshot);
        }
        let outcome = if uncertain {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let reason = if excluded.is_empty() {
            Reason::Unreachable
        } else {
            Reason::SnapshotGone
        };
        Answer::empty(&request.request_id, outcome, reason).retry_after(RETRY_AFTER_MS)
    }

    pub(crate) fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    pub(crate) fn next_call(&self) -> CallId {
        self.call_ids.next()
    }

    /// Calls `choose` with the state that replica choice reads.
    pub(crate) fn with_choice(
        &self,
        fleet: &Fleet,
        snapshot: Snapshot,
        choose: impl FnOnce(Choice<'_>, &mut ThreadRng),
    ) {
        let state = self.state();
        let loads = &state.loads;
        self.control
            .with_leaf_views(|views: &HashMap<SocketAddr, LeafView>| {
                choose(
                    Choice {
                        fleet,
                        views,
                        loads,
                        snapshot,
                    },
                    &mut rand::rng(),
                );
            });
    }

    pub(crate) fn call_started(&self, leaf: SocketAddr) {
        self.state().loads.entry(leaf).or_default().in_flight += 1;
    }

    pub(crate) fn call_cancelled(&self, leaf: SocketAddr) {
        let mut state = self.state();
        let load = state.loads.entry(leaf).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    pub(crate) fn call_ended(
        &self,
        service: ServiceKey,
        fleet: &Fleet,
        leaf: SocketAddr,
        latency_us: u64,
        done: bool,
    ) {
        let mut state = self.state();
        let load = state.loads.entry(leaf).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        if !done {
            return;
        }
        load.latency.record(latency_us);
        let name = fleet.service(service).name.clone();
        state
            .services
            .entry(name)
            .or_default()
            .latency
            .record(latency_us);
    }

    pub(crate) fn hedge_delay_us(&self, service: ServiceKey, fleet: &Fleet) -> u64 {
        let state = self.state();
        let latency = state
            .services
            .get(&fleet.service(service).name)
            .map(|s| &s.latency);
        let observed = latency
            .filter(|latency| latency.samples() >= MIN_SAMPLES)
            .and_then(|latency| latency.quantile_us(HEDGE_QUANTILE));
        let limit_ms = fleet.service(service).max_deadline_ms;
        bounded_hedge_delay_us(observed.unwrap_or(DEFAULT_HEDGE_DELAY_US), limit_ms)
    }

    pub(crate) fn earn_budget(&self, service: ServiceKey, fleet: &Fleet, calls: u64) {
        let service = fleet.service(service);
        let mut state = self.state();
        let budget = &mut state
            .services
            .entry(service.name.clone())
            .or_default()
            .budget;
        budget.earn(calls, service.hedge_budget_ppm);
    }

    pub(crate) fn spend_budget(&self, service: ServiceKey, fleet: &Fleet) -> bool {
        let name = fleet.service(service).name.clone();
        let spent = self
            .state()
            .services
            .entry(name)
            .or_default()
            .budget
            .try_spend();
        self.telemetry.count_extra_call(spent);
        spent
    }

    pub(crate) fn count_calls(&self, service: &str, needed: u64, made: u64) {
        self.telemetry.count_calls(service, needed, made);
    }

    pub(crate) fn count_unexpected_reply(&self) {
        self.telemetry.count_unexpected_reply();
    }

    /// Avoids an owner that could not be reached for a while.
    pub(crate) fn avoid(&self, owner: SocketAddr) {
        info!(event = "owner_avoided", owner = %owner);
        self.state().avoided.insert(owner, boot_ms() + AVOID_MS);
    }

    pub(crate) fn is_avoided(&self, owner: SocketAddr) -> bool {
        let state = self.state();
        state
            .avoided
            .get(&owner)
            .is_some_and(|until_ms| boot_ms() < *until_ms)
    }

    /// Records that a leaf was lost while it ran the request.
    pub(crate) fn record_loss(&self, work: &Work, leaf: SocketAddr, shared: bool) {
        self.control.record_loss(work.fingerprint, leaf, shared);
        let blamed = self.is_quarantined(work);
        warn!(event = "leaf_lost", leaf = %leaf, fingerprint = work.fingerprint, shared, blamed);
    }

    /// Returns whether a leaf crashed while it ran the content of a request.
    pub(crate) fn is_suspect(&self, work: &Work) -> bool {
        self.control.has_evidence(work.fingerprint)
    }

    /// Returns whether the content of a request is refused by now.
    pub(crate) fn is_quarantined(&self, work: &Work) -> bool {
        let until = self.control.quarantined_until(work.fingerprint, unix_ms());
        until.is_some()
    }
}

/// Returns whether a name can be carried in a header: 1 to 128 visible ASCII characters.
fn is_token(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Makes the final answer of a run.
fn answer(
    request: &CallerRequest,
    work: &Work,
    snapshot: Snapshot,
    result: RunResult,
    uncertain: bool,
) -> Answer {
    let covered: Vec<u32> = result.results.iter().map(|result| result.shard).collect();
    let first_lack = result.lacking.first().map(|lack| lack.reason);
    let outcome = match (covered.is_empty(), result.lacking.is_empty(), uncertain) {
        (_, true, _) => Outcome::Complete,
        (_, false, true) if !work.idempotent => Outcome::Unknown,
        (true, false, true) => Outcome::Unknown,
        (true, false, false) => Outcome::NotRun,
        (false, false, _) => Outcome::Partial,
    };
    let retry_after_ms = (outcome != Outcome::Complete).then_some(RETRY_AFTER_MS);
    Answer {
        request_id: request.request_id.clone(),
        outcome,
        reason: first_lack,
        snapshot: Some(snapshot),
        shards: (result.results.len() + result.lacking.len()) as u32,
        covered,
        lacking: result.lacking,
        results: result.results,
        retry_after_ms,
        ticket_block: None,
    }
}
