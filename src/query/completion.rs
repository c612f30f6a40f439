//! Ends a run: cancels calls that are no longer needed and collects the result of each shard.

use super::QueryRun;
use crate::answer::{MissingShard, Reason, ShardResult};
use crate::clock::boot_us;
use crate::ids::CallId;
use crate::measurements::CallOutcome;
use crate::query_context::QueryResult;

impl QueryRun<'_> {
    /// Cancels the remaining calls of a shard that has its answer.
    pub(super) fn cancel_shard(&mut self, shard: u32) {
        let mut redundant = Vec::new();
        for (id, call) in &self.calls {
            if call.shard == shard {
                redundant.push(*id);
            }
        }
        for id in redundant {
            self.cancel(id);
        }
    }

    /// Cancels all calls in flight.
    ///
    /// Sets `may_have_run` if the shard of a cancelled call has no answer, since the call may have
    /// executed.
    pub(super) fn cancel_in_flight(&mut self) {
        let in_flight: Vec<CallId> = self.calls.keys().copied().collect();
        for id in in_flight {
            let shard = self.calls.get(&id).map(|call| call.shard);
            if let Some(shard) = shard {
                let state = &mut self.shards[shard as usize];
                if state.body.is_none() {
                    state.missing_reason = Some(Reason::Timeout);
                    self.may_have_run = true;
                }
            }
            self.cancel(id);
        }
    }

    fn cancel(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.batches[call.batch].cancel(id);
        // A call cancelled before the hedge delay passed is no evidence that its leaf is slow.
        let hedge_delay_passed = boot_us().saturating_sub(call.sent_us) >= self.hedge_delay_us;
        let outcome = if hedge_delay_passed {
            CallOutcome::LostToHedge
        } else {
            CallOutcome::Other
        };
        self.record_call_end(&call, outcome);
        self.shards[call.shard as usize].in_flight -= 1;
    }

    /// Returns the answer of each shard, or the reason why it is missing.
    pub(super) fn finish(mut self) -> QueryResult {
        let needed = self.shards.len() as u64;
        self.root
            .count_leaf_calls(&self.service().name, needed, self.calls_made);
        crate::faults::hit_fail_point("request.merged");
        let mut result = QueryResult {
            may_have_run: self.may_have_run,
            snapshot_gone: self.snapshot_gone,
            ..QueryResult::default()
        };
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let number = index as u32;
            match shard.body.take() {
                Some(body) => result.results.push(ShardResult {
                    shard: number,
                    body,
                }),
                None if crate::faults::is_check_disabled("check.coverage") => {}
                None => {
                    let reason = shard.missing_reason.unwrap_or(Reason::Unreachable);
                    result.missing.push(MissingShard {
                        shard: number,
                        reason,
                    });
                }
            }
        }
        result
    }
}
