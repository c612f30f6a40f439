//! Executes an admitted request at the newest available snapshot and builds its final answer.
//!
//! If the snapshot disappears from the leaves while the request runs, the whole request restarts at
//! another snapshot, unless it is not idempotent and a part of it may have executed.

use std::sync::Arc;

use tracing::info;

use crate::answer::{Answer, CallerRequest, Outcome, Reason};
use crate::clock::boot_ms;
use crate::config::Policy;
use crate::fleet::Fleet;
use crate::ids::{Snapshot, fingerprint};
use crate::query::QueryRun;
use crate::query_context::{QueryContext, QueryResult};
use crate::root::{RETRY_AFTER_MS, Root};
use crate::snapshot::{PinnedSnapshot, choose_snapshot};

/// Maximum number of restarts of one request at another snapshot.
const MAX_RESTARTS: usize = 8;

impl Root {
    /// Executes an admitted request and returns its final answer.
    pub(crate) async fn execute(&self, request: &CallerRequest) -> Answer {
        let fleet = self.control.fleet();
        let Some(service) = fleet.find_service(&request.service) else {
            return Answer::without_results(
                &request.request_id,
                Outcome::NotRun,
                Reason::UnknownService,
            );
        };
        let policy = request
            .prefer
            .map_or(fleet.service(service).policy, Policy::from);
        let query_context = QueryContext {
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
        crate::faults::hit_fail_point("request.admitted");
        self.run_at_snapshots(request, fleet, query_context).await
    }

    /// Runs a request at the newest available snapshot, and restarts all of it at another one if
    /// the first disappears.
    async fn run_at_snapshots(
        &self,
        request: &CallerRequest,
        mut fleet: Arc<Fleet>,
        mut query_context: QueryContext,
    ) -> Answer {
        let mut may_have_run = false;
        while let Some(PinnedSnapshot { snapshot, .. }) = self.pin_snapshot(&fleet, &query_context)
        {
            info!(event = "pin", request = %request.request_id, snapshot = %snapshot);
            crate::faults::hit_fail_point("request.pinned");
            let Some(result) =
                QueryRun::run(self, Arc::clone(&fleet), &query_context, snapshot).await
            else {
                break;
            };
            may_have_run |= result.may_have_run;
            // A request that is not idempotent restarts only if no part of it executed.
            let may_restart =
                query_context.idempotent || (!may_have_run && result.results.is_empty());
            let within_limits = boot_ms() < query_context.answer_by_ms()
                && query_context.excluded.len() < MAX_RESTARTS;
            if !result.snapshot_gone || !may_restart || !within_limits {
                let answer = build_answer(request, &query_context, snapshot, result, may_have_run);
                return self.refuse_if_quarantined(request, &query_context, answer);
            }
            // Leaves that answered have executed the request, even if a restart drops their answers.
            may_have_run |= !result.results.is_empty();
            info!(event = "snapshot_gone", request = %request.request_id, snapshot = %snapshot);
            query_context.excluded.push(snapshot);
            // The data may now be in a layout that a newer configuration file declares.
            let newer_fleet = self.control.fleet();
            if let Some(service) = newer_fleet.find_service(&request.service) {
                query_context.service = service;
                fleet = newer_fleet;
            }
        }
        let (outcome, reason) = match (may_have_run, query_context.excluded.is_empty()) {
            (true, _) => (Outcome::Unknown, Reason::SnapshotGone),
            (false, true) => (Outcome::NotRun, Reason::Unreachable),
            (false, false) => (Outcome::NotRun, Reason::SnapshotGone),
        };
        Answer::without_results(&request.request_id, outcome, reason).retry_after(RETRY_AFTER_MS)
    }

    fn pin_snapshot(&self, fleet: &Fleet, query_context: &QueryContext) -> Option<PinnedSnapshot> {
        let service = fleet.service(query_context.service);
        self.control.with_leaf_views(|views| {
            choose_snapshot(fleet, service, views, &query_context.excluded)
        })
    }

    /// Returns whether a snapshot other than `gone_snapshot` and those excluded covers all shards.
    pub(crate) fn has_other_snapshot(
        &self,
        query_context: &QueryContext,
        name: &str,
        gone_snapshot: Snapshot,
    ) -> bool {
        let fleet = self.control.fleet();
        let Some(service) = fleet.find_service(name) else {
            return false;
        };
        let mut excluded = query_context.excluded.clone();
        excluded.push(gone_snapshot);
        let other = self.control.with_leaf_views(|views| {
            choose_snapshot(&fleet, fleet.service(service), views, &excluded)
        });
        other.is_some_and(|other| other.covers_all)
    }
}

/// Builds the final answer from the result of a run.
fn build_answer(
    request: &CallerRequest,
    query_context: &QueryContext,
    snapshot: Snapshot,
    result: QueryResult,
    may_have_run: bool,
) -> Answer {
    let covered: Vec<u32> = result.results.iter().map(|result| result.shard).collect();
    let first_missing = result
        .missing
        .first()
        .map(|missing_shard| missing_shard.reason);
    let outcome = match (covered.is_empty(), result.missing.is_empty(), may_have_run) {
        (_, true, _) => Outcome::Complete,
        (_, false, true) if !query_context.idempotent => Outcome::Unknown,
        (true, false, true) => Outcome::Unknown,
        (true, false, false) => Outcome::NotRun,
        (false, false, _) => Outcome::Partial,
    };
    let retry_after_ms = (outcome != Outcome::Complete).then_some(RETRY_AFTER_MS);
    Answer {
        request_id: request.request_id.clone(),
        outcome,
        reason: first_missing,
        snapshot: Some(snapshot),
        shards: (result.results.len() + result.missing.len()) as u32,
        covered,
        missing: result.missing,
        results: result.results,
        retry_after_ms,
        ticket_block: None,
    }
}
