//! Runs of one request at one snapshot after another, and its final answer.

use std::sync::Arc;

use tracing::info;

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::clock::boot_ms;
use crate::config::Policy;
use crate::fleet::Fleet;
use crate::ids::{Snapshot, fingerprint};
use crate::query::Run;
use crate::root::{RETRY_AFTER_MS, Root};
use crate::snapshot::{Pinned, choose};
use crate::work::{RunResult, Work};

/// Restarts of one request at another snapshot.
const MAX_RESTARTS: usize = 8;

impl Root {
    /// Runs a request at one snapshot, and at another if the first vanishes.
    pub(crate) async fn execute(&self, request: &CallerRequest) -> Answer {
        let fleet = self.control.fleet();
        let Some(service) = fleet.find_service(&request.service) else {
            return Answer::empty(&request.request_id, Outcome::NotRun, Reason::UnknownService);
        };
        let policy = request
            .prefer
            .map_or(fleet.service(service).policy, Policy::from);
        let work = Work {
            service,
            member: request.member.clone(),
            request_id: request.request_id.clone(),
            payload: request.payload.as_bytes().to_vec(),
            fingerprint: fingerprint(&request.service, request.payload.as_bytes()),
            idempotent: request.idempotent,
            policy,
            excluded: Vec::new(),
            deadline_ms: boot_ms() + request.deadline_ms,
        };
        crate::faults::step("request.admitted");
        self.run_at_snapshots(request, fleet, work).await
    }

    /// Runs a request at the newest snapshot, and as a whole at another one if that vanishes.
    async fn run_at_snapshots(
        &self,
        request: &CallerRequest,
        mut fleet: Arc<Fleet>,
        mut work: Work,
    ) -> Answer {
        let mut uncertain = false;
        while let Some(Pinned { snapshot, .. }) = self.pin(&fleet, &work) {
            info!(event = "pin", request = %request.request_id, snapshot = %snapshot);
            crate::faults::step("request.pinned");
            let Some(result) = Run::run(self, Arc::clone(&fleet), &work, snapshot).await else {
                break;
            };
            uncertain |= result.uncertain;
            // A request that must not run twice starts again only if nothing of it ran.
            let may_restart = work.idempotent || (!uncertain && result.results.is_empty());
            let in_time = boot_ms() < work.answer_by_ms() && work.excluded.len() < MAX_RESTARTS;
            if !result.vanished || !may_restart || !in_time {
                let answer = answer(request, &work, snapshot, result, uncertain);
                return self.refuse_if_blamed(request, &work, answer);
            }
            // Leaves that answered ran the request, even if their answers are dropped now.
            uncertain |= !result.results.is_empty();
            info!(event = "snapshot_vanished", request = %request.request_id, snapshot = %snapshot);
            work.excluded.push(snapshot);
            // A layout that a newer file declares may hold the data now.
            let newer = self.control.fleet();
            if let Some(service) = newer.find_service(&request.service) {
                work.service = service;
                fleet = newer;
            }
        }
        let (outcome, reason) = match (uncertain, work.excluded.is_empty()) {
            (true, _) => (Outcome::Unknown, Reason::SnapshotGone),
            (false, true) => (Outcome::NotRun, Reason::Unreachable),
            (false, false) => (Outcome::NotRun, Reason::SnapshotGone),
        };
        Answer::empty(&request.request_id, outcome, reason).retry_after(RETRY_AFTER_MS)
    }

    fn pin(&self, fleet: &Fleet, work: &Work) -> Option<Pinned> {
        let service = fleet.service(work.service);
        self.control
            .with_leaf_views(|views| choose(fleet, service, views, &work.excluded))
    }

    /// Returns whether another snapshot than `vanished` covers all shards.
    pub(crate) fn has_other_snapshot(&self, work: &Work, name: &str, vanished: Snapshot) -> bool {
        let fleet = self.control.fleet();
        let Some(service) = fleet.find_service(name) else {
            return false;
        };
        let mut excluded = work.excluded.clone();
        excluded.push(vanished);
        let other = self
            .control
            .with_leaf_views(|views| choose(&fleet, fleet.service(service), views, &excluded));
        other.is_some_and(|other| other.covers_all)
    }
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
