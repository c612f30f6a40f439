//! Acquires the place of a request, for which it may wait, and releases it when the request ends or its
//! caller leaves.
//!
//! Connects the engine to the admission limiter, which handles overload of the leaves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

use super::group::LimitChange;
use super::limiter::{AdmissionDecision, AdmissionLimiter, AdmissionRequest, EndedRequest, Place};
use super::pressure::ReplyTimes;
use super::returning_callers::ReturningCallers;
use crate::clock::boot_us;
use crate::gateway::call::CallSpec;
use crate::gateway::connection::CallError;
use crate::gateway::engine::{Engine, State};
use crate::gateway::fanout::{FanoutPlan, FanoutResult};
use crate::gateway::refusal::Refusal;
use crate::ids::ServiceKey;

/// Admission of the requests of ranked routes on this VM.
#[derive(Debug, Default)]
pub struct Admission {
    pub(in crate::gateway) limiter: AdmissionLimiter,
    returning_callers: ReturningCallers,
    /// Requests that wait for a place, by ID.
    waiting: HashMap<u64, oneshot::Sender<()>>,
}

impl Admission {
    /// Returns whether requests of a group are limited, since their answers would be late otherwise.
    pub fn is_limited(&self, group: ServiceKey) -> bool {
        self.limiter.is_limited(group)
    }

    /// Returns the number of requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Removes the limits and forgets the pressure, which did not tell of queues.
    pub fn forget_pressure(&mut self) {
        self.limiter.forget_pressure(boot_us());
        self.notify_granted();
    }

    /// Wakes the requests whose places were granted.
    fn notify_granted(&mut self) {
        for id in self.limiter.take_granted() {
            if let Some(sender) = self.waiting.remove(&id) {
                // The place of a request that has gone is released by its permit.
                let _ = sender.send(());
            }
        }
    }
}

/// Permit of one request, released on drop.
#[derive(Debug)]
pub struct AdmissionPermit {
    engine: Arc<Engine>,
    place: Place,
    admitted_us: u64,
}

impl Engine {
    /// Admits a request of a ranked route that arrived at `started_us`, if necessary after a short wait.
    /// Dropping the future gives up the place.
    ///
    /// # Errors
    ///
    /// Fails if the leaves can't answer the request in time.
    pub(in crate::gateway) async fn admit_ranked(
        self: &Arc<Self>,
        plan: &FanoutPlan,
        rank: u32,
        spec: &CallSpec,
        started_us: u64,
    ) -> Result<AdmissionPermit, Refusal> {
        let (place, wait) = self.ask_for_place(plan, rank, spec, started_us)?;
        let mut permit = AdmissionPermit {
            engine: Arc::clone(self),
            place,
            admitted_us: boot_us(),
        };
        let Some((granted, until_us)) = wait else {
            return Ok(permit);
        };
        let limit = Duration::from_micros(until_us.saturating_sub(permit.admitted_us));
        let is_granted = matches!(timeout(limit, granted).await, Ok(Ok(())));
        self.metrics
            .count_admission(rank, if is_granted { "waited" } else { "expired" });
        if is_granted {
            permit.admitted_us = boot_us();
            return Ok(permit);
        }
        drop(permit);
        let (limit, pressure) = self.limit_and_pressure(plan, rank);
        Err(self.refuse_unadmitted(spec, started_us, limit, pressure))
    }

    /// Asks for a place, which is granted at once or later.
    #[expect(clippy::type_complexity)]
    fn ask_for_place(
        &self,
        plan: &FanoutPlan,
        rank: u32,
        spec: &CallSpec,
        started_us: u64,
    ) -> Result<(Place, Option<(oneshot::Receiver<()>, u64)>), Refusal> {
        let now_us = boot_us();
        let state = &mut *self.state();
        let decision = {
            let admission = &mut state.admission;
            admission.limiter.arrive(AdmissionRequest {
                group: group_of(plan),
                rank,
                is_returning: admission.returning_callers.take(&spec.content, now_us),
                target_us: plan.target_us,
                due_us: started_us + due_us(plan),
                now_us,
            })
        };
        state.adjust_admission(plan, now_us);
        match decision {
            AdmissionDecision::Admitted(place) => Ok((place, None)),
            AdmissionDecision::Waiting(place, until_us) => {
                let (sender, receiver) = oneshot::channel();
                state.admission.waiting.insert(place.id, sender);
                state.admission.notify_granted();
                Ok((place, Some((receiver, until_us))))
            }
            AdmissionDecision::Refused { limit, pressure } => {
                self.metrics.count_admission(rank, "refused");
                let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
                let refusal = state.refuse_unadmitted(spec, remaining_ms, limit, pressure);
                Err(refusal)
            }
        }
    }

    fn limit_and_pressure(&self, plan: &FanoutPlan, rank: u32) -> (f64, f64) {
        let state = self.state();
        let mut levels = state.admission.limiter.levels(group_of(plan));
        let level = levels.find(|(level_rank, ..)| *level_rank == rank);
        level.map_or((f64::INFINITY, 0.0), |(_, limit, pressure)| {
            (limit, pressure)
        })
    }

    fn refuse_unadmitted(
        &self,
        spec: &CallSpec,
        started_us: u64,
        limit: f64,
        pressure: f64,
    ) -> Refusal {
        let remaining_ms = spec.deadline_us.saturating_sub(started_us) / 1_000;
        self.state()
            .refuse_unadmitted(spec, remaining_ms, limit, pressure)
    }
}

impl State {
    /// Refuses a request, and remembers when its caller comes back.
    fn refuse_unadmitted(
        &mut self,
        spec: &CallSpec,
        remaining_ms: u64,
        limit: f64,
        pressure: f64,
    ) -> Refusal {
        let overloaded = Refusal::Overloaded {
            remaining_ms,
            limit,
            pressure,
        };
        let wait_ms = rand::rng().random_range(overloaded.retry_wait_ms());
        let callers = &mut self.admission.returning_callers;
        callers.record(spec.content, wait_ms * 1_000, boot_us());
        Refusal::NotAdmitted {
            wait_ms,
            limit,
            pressure,
        }
    }

    /// Adjusts the limits of a group if it is time, and logs when they begin and end.
    fn adjust_admission(&mut self, plan: &FanoutPlan, now_us: u64) {
        let (leaves, vms) = (&self.leaves, self.vms.max(1));
        let limiter = &mut self.admission.limiter;
        let group = group_of(plan);
        let slots = || leaves.min_slots(&plan.services) / vms;
        let change = limiter.adjust(group, slots, now_us);
        if let Some(change) = change {
            let name = self.names.name(group);
            let levels: Vec<(u32, f64, f64)> = limiter.levels(group).collect();
            match change {
                LimitChange::Began => {
                    info!(event = "admission_limited", group = name, ?levels);
                }
                LimitChange::Ended => {
                    info!(event = "admission_unlimited", group = name);
                }
            }
        }
        self.admission.notify_granted();
    }
}

impl AdmissionPermit {
    /// Records how the request ended, and adjusts the limits.
    pub(in crate::gateway) fn finish(
        self,
        plan: &FanoutPlan,
        result: &FanoutResult,
        started_us: u64,
    ) {
        let now_us = boot_us();
        let waited_us = self.admitted_us.saturating_sub(started_us);
        let mut replied_us: Vec<u64> = Vec::with_capacity(result.replied_us.len());
        for replied in &result.replied_us {
            replied_us.push(replied.saturating_sub(waited_us));
        }
        let times = ReplyTimes {
            replied_us: &replied_us,
            shards: plan.services.len(),
            min_parts: plan.min_parts,
            ended_us: now_us.saturating_sub(self.admitted_us),
            due_us: due_us(plan).saturating_sub(waited_us).max(1),
            is_overloaded: !result.complete
                && (result.timed_out || result.last_error == Some(CallError::Refused)),
        };
        // Other failures are fast and tell nothing of queues.
        if !result.complete && !times.is_overloaded {
            return;
        }
        let state = &mut *self.engine.state();
        state.admission.limiter.record_end(&EndedRequest {
            place: self.place,
            route: &plan.route,
            times,
            now_us,
        });
        state.adjust_admission(plan, now_us);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let admission = &mut self.engine.state().admission;
        admission.waiting.remove(&self.place.id);
        admission.limiter.release(self.place, boot_us());
        admission.notify_granted();
    }
}

/// Returns the group of a request: its first shard, or its service.
fn group_of(plan: &FanoutPlan) -> ServiceKey {
    plan.services.first().copied().unwrap_or(ServiceKey::new(0))
}

/// Returns the time from the arrival of a request until its answer is due.
fn due_us(plan: &FanoutPlan) -> u64 {
    plan.schedule.partial_response_us.min(plan.target_us)
}
