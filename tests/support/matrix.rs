//! Defines the fault matrix, with faults as rows and steps as columns, and runs single cells: each
//! runs a cluster under load, injects its faults, heals them and checks the history.

use std::collections::BTreeMap;

use super::checker::Violation;
use super::fault_run::{FaultLocation, FaultRun};
use super::history::History;
use super::load::unix_ms;

/// Calls that a run waits for in each phase: before the faults, during them and after recovery.
pub const CALLS_PER_PHASE: usize = 40;

/// Fault that is injected into a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Freeze,
    FreezeUntilDead,
    CutLink,
    Partition,
    PlatformDown,
    PlatformStale,
    ConcurrentPublishes,
    Straggler,
    ReplicaLost,
    TargetDraining,
    TargetListedLeaving,
    TargetCold,
    VersionChange,
    Repartitioning,
    CrashingRequest,
    LaggingVmList,
    PlannedStop,
}

/// Rows of the matrix.
pub const ROWS: &[(&str, Fault)] = &[
    ("kill", Fault::Kill),
    ("freeze", Fault::Freeze),
    ("freeze_until_dead", Fault::FreezeUntilDead),
    ("cut_link", Fault::CutLink),
    ("cut_side", Fault::Partition),
    ("platform_down", Fault::PlatformDown),
    ("platform_stale", Fault::PlatformStale),
    ("operators_racing", Fault::ConcurrentPublishes),
    ("straggler", Fault::Straggler),
    ("replica_lost", Fault::ReplicaLost),
    ("target_draining", Fault::TargetDraining),
    ("target_listed_leaving", Fault::TargetListedLeaving),
    ("target_cold", Fault::TargetCold),
    ("version_change", Fault::VersionChange),
    ("repartitioning", Fault::Repartitioning),
    ("crashing_request", Fault::CrashingRequest),
    ("lagging_vm_list", Fault::LaggingVmList),
    ("planned_stop", Fault::PlannedStop),
];

/// Columns of the matrix. At `config.published` no reader sees the new revision yet.
pub const COLUMNS: &[&str] = &[
    "request.asked",
    "request.admitted",
    "request.forwarded",
    "request.pinned",
    "request.planned",
    "request.sent",
    "request.running",
    "request.answered",
    "request.merged",
    "request.delivered",
    "config.published",
    "config.read",
    "config.spread",
    "config.in_force",
];

/// One fault at one step and one location.
#[derive(Clone, Copy, Debug)]
pub struct Injection {
    pub fault: Fault,
    pub step: &'static str,
    pub location: FaultLocation,
}

/// Result of one cell.
#[derive(Debug)]
pub struct Cell {
    pub name: String,
    pub seed: u64,
    pub calls: usize,
    /// Number of calls by outcome, with `none` for calls without an answer.
    pub outcomes: BTreeMap<String, usize>,
    pub executions: usize,
    /// Durations of the phases: injection of all faults, load until they are healed, and recovery of
    /// all VMs.
    pub phases_ms: [u64; 3],
    /// Steps that no process reached in time. Their faults were applied outside of the step.
    pub not_reached: Vec<&'static str>,
    pub violations: Vec<Violation>,
}

impl Cell {
    /// Returns `violated`, or `proved` if all steps were reached, or `not_proved` otherwise.
    pub fn verdict(&self) -> &'static str {
        if !self.violations.is_empty() {
            "violated"
        } else if self.not_reached.is_empty() {
            "proved"
        } else {
            "not_proved"
        }
    }
}

/// Runs a cluster under load, injects each fault at its step, heals all faults and checks the
/// history.
pub async fn run(name: String, seed: u64, faults: &[(Fault, &'static str)]) -> Cell {
    let mut fault_run = FaultRun::start(seed).await;
    fault_run.publish_config();
    fault_run.wait_for_calls(CALLS_PER_PHASE).await;
    let mut marks_ms = vec![unix_ms()];
    let mut not_reached = Vec::new();
    let mut injections: Vec<Injection> = Vec::new();
    for (fault, step) in faults {
        let mut location = fault_run.choose_location(step);
        while injections
            .iter()
            .any(|other| other.location.vm == location.vm)
        {
            location.vm = (location.vm + 1) % fault_run.cluster.spec.vms;
        }
        let injection = Injection {
            fault: *fault,
            step,
            location,
        };
        if !fault_run.inject(injection).await {
            not_reached.push(*step);
        }
        injections.push(injection);
    }
    marks_ms.push(unix_ms());
    fault_run.publish_config();
    fault_run.wait_for_calls(CALLS_PER_PHASE).await;
    for injection in &injections {
        fault_run.heal(*injection).await;
    }
    marks_ms.push(unix_ms());
    let recovered = fault_run.wait_until_recovered().await;
    marks_ms.push(unix_ms());
    fault_run.wait_for_calls(CALLS_PER_PHASE).await;
    let (history, mut violations) = fault_run.check_history().await;
    if let Err(excerpt) = recovered {
        let invariant = "recovery";
        violations.push(Violation { invariant, excerpt });
    }
    Cell {
        name,
        seed,
        calls: history.calls.len(),
        outcomes: outcomes(&history),
        executions: history.executions.len(),
        phases_ms: [1, 2, 3].map(|mark| marks_ms[mark] - marks_ms[mark - 1]),
        not_reached,
        violations,
    }
}

fn outcomes(history: &History) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in &history.calls {
        let outcome = call.answer.as_ref().map(|answer| answer.outcome);
        let name = outcome.map_or("none".to_owned(), |outcome| format!("{outcome:?}"));
        *counts.entry(name.to_lowercase()).or_default() += 1;
    }
    counts
}
