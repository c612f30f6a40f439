//! Reports on leaves that VMs exchange, and their effect on the choice of a leaf for a request.
//!
//! Covered are leaves that fail, stall or pause regularly; there is no network.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;

use cloverrack::ServiceKey;
use cloverrack::gateway::{
    ConnectionLimits, LeafRecord, LeafReport, LeafStats, Leaves, Observation, PausePeriod,
    PausePredictor, ServiceNames, Stall,
};
use cloverrack::ids::LeafKey;

/// Latency of a call to a healthy leaf.
const CALL_US: u64 = 20_000;

/// Interval between the regular pauses of a simulated leaf.
const PAUSE_PERIOD_US: u64 = 4_500_000;

/// Duration of a regular pause.
const PAUSE_US: u64 = 200_000;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

/// The leaves of one service as seen by one VM.
struct Vm {
    leaves: Leaves,
    service: ServiceKey,
}

impl Vm {
    fn new(leaf_count: u16) -> Self {
        let mut names = ServiceNames::default();
        let mut leaves = Leaves::new("a".into());
        let records: Vec<LeafRecord> = (0..leaf_count)
            .map(|number| LeafRecord {
                id: format!("i-{number}").into(),
                service: "sheets".into(),
                address: address(number),
                failure_domain: "a".into(),
                slots: 3,
                draining: false,
                warmup_left_ms: 0,
                started_unix_ms: 1,
            })
            .collect();
        leaves.update(records.iter(), &mut names, 0);
        let service = names.intern("sheets");
        Self { leaves, service }
    }

    /// Returns the address of the leaf that the next call would use.
    fn chosen(&self, now_us: u64) -> SocketAddr {
        let limits = ConnectionLimits::default();
        let chosen = self.leaves.choose(self.service, &[], &limits, now_us);
        self.leaves.get(chosen.unwrap()).unwrap().address()
    }

    fn apply_report(&mut self, number: u16, observation: Observation, now_us: u64) {
        let report = LeafReport {
            leaf: address(number),
            age_us: 1_000,
            observation,
        };
        self.leaves.apply_report(&report, now_us);
    }

    fn key(&self, number: u16) -> LeafKey {
        let mut all = self.leaves.iter();
        let found = all.find(|(_, leaf)| leaf.address() == address(number));
        found.unwrap().0
    }

    fn leaf_stats(&mut self, number: u16) -> &mut LeafStats {
        let key = self.key(number);
        &mut self.leaves.get_mut(key).unwrap().leaf_stats
    }
}

/// Guards against a VM that sends calls to a failing leaf although its peers have reported the
/// failures, which happens if each VM has to observe a failure itself.
#[test]
fn a_leaf_that_failed_for_peers_is_not_chosen() {
    let mut vm = Vm::new(2);
    for failing in [0, 1] {
        let now_us = 1_000_000 + u64::from(failing) * 60_000_000;
        for _ in 0..4 {
            vm.apply_report(failing, Observation::Failed, now_us);
        }
        assert_ne!(vm.chosen(now_us), address(failing));
    }
}

/// Guards against a recovered leaf that stays unused. A VM that avoids the leaf makes no calls to
/// it, so the successes that its peers report have to lower the failure rate.
#[test]
fn successes_at_peers_clear_a_failed_leaf() {
    let mut vm = Vm::new(1);
    for _ in 0..4 {
        vm.apply_report(0, Observation::Failed, 1_000_000);
    }
    let failing_ppm = vm.leaf_stats(0).failure_rate_ppm(1_000);
    for _ in 0..24 {
        vm.apply_report(0, Observation::Answered, 1_000_000);
    }
    let cleared_ppm = vm.leaf_stats(0).failure_rate_ppm(1_000);
    assert!(
        cleared_ppm < failing_ppm / 10,
        "failure rate {cleared_ppm} ppm after successes, {failing_ppm} ppm before"
    );
}

/// Guards against calls to a leaf whose stall a peer has reported, and against a leaf that is
/// avoided after the stall. A report of a resumed leaf ends the stall, and a report that isn't
/// repeated expires.
#[test]
fn a_leaf_that_stalled_for_peers_is_avoided_until_it_resumes() {
    let mut vm = Vm::new(2);
    let now_us = 1_000_000;
    vm.apply_report(0, Observation::Stalled { silent_us: 60_000 }, now_us);
    assert_eq!(vm.chosen(now_us), address(1));
    vm.apply_report(1, Observation::Stalled { silent_us: 60_000 }, now_us);
    vm.apply_report(
        0,
        Observation::Resumed { stall_us: 150_000 },
        now_us + 90_000,
    );
    assert_eq!(vm.chosen(now_us + 90_000), address(0), "the leaf resumed");
    vm.apply_report(
        0,
        Observation::Stalled { silent_us: 60_000 },
        now_us + 1_000_000,
    );
    assert_eq!(
        vm.chosen(now_us + 1_000_000),
        address(1),
        "the report on the other leaf has expired"
    );
}

/// Guards against a peer's long call making this VM avoid a leaf that answers it. A reported stall
/// that began before the leaf's last answer to this VM must have no effect.
#[test]
fn a_vm_that_has_newer_answers_ignores_a_stall() {
    let mut vm = Vm::new(2);
    let call = vm.leaf_stats(0).start_call(960_000);
    vm.leaf_stats(0).record_success(call, 980_000, 0);
    vm.apply_report(0, Observation::Stalled { silent_us: 60_000 }, 1_000_000);
    let latency_us = vm.leaf_stats(0).expected_us(3, 1_000_000);
    assert!(latency_us < 100_000, "expected latency {latency_us} us");
}

/// Guards against a leaf being marked as stalled because one call with much work stays open while
/// the leaf answers other calls.
#[test]
fn a_leaf_that_answers_other_calls_is_not_stalled() {
    let mut leaf_stats = LeafStats::default();
    leaf_stats.start_call(0);
    for number in 1..20 {
        let call = leaf_stats.start_call(number * 10_000);
        let ended = leaf_stats.record_success(call, number * 10_000 + 8_000, 0);
        assert_eq!(ended, None);
        assert!(!leaf_stats.is_stalled(number * 10_000 + 9_000));
    }
    assert!(
        leaf_stats.is_stalled(300_000),
        "the leaf answers no more calls"
    );
}

/// Guards against a VM that reports healthy leaves as stalled because it was itself disconnected.
/// It must report nothing while no leaf has replied for a while or too many leaves are stalled, and
/// it repeats a report only after an interval.
#[test]
fn a_vm_without_replies_reports_no_stall() {
    let mut vm = Vm::new(12);
    vm.leaf_stats(3).start_call(1_000_000);
    vm.leaves.record_reply(1_080_000);
    let reported = vm.leaves.unreported_stalls(1_100_000);
    assert_eq!(reported, [(address(3), 100_000)]);
    assert!(
        vm.leaves.unreported_stalls(1_110_000).is_empty(),
        "the stall was just reported"
    );
    vm.leaves.record_reply(1_200_000);
    assert_eq!(
        vm.leaves.unreported_stalls(1_210_000).len(),
        1,
        "a lasting stall is reported again"
    );
    assert!(
        vm.leaves.unreported_stalls(1_400_000).is_empty(),
        "no leaf has replied for too long"
    );
    for number in 0..12 {
        vm.leaf_stats(number).start_call(1_400_000);
    }
    vm.leaves.record_reply(1_490_000);
    assert!(
        vm.leaves.unreported_stalls(1_500_000).is_empty(),
        "all leaves are stalled"
    );
}

/// Guards against a regular pause raising the average latency of a leaf for seconds. The part of a
/// call that falls into a predicted pause must not count.
#[test]
fn a_predicted_pause_does_not_count_as_slowness() {
    let mut pause_period = PausePeriod::default();
    let mut predictors = vec![PausePredictor::default(); 12];
    for pause in 1..12 {
        for (leaf, pause_predictor) in predictors.iter_mut().enumerate() {
            let end_us = leaf as u64 * 300_000 + pause * PAUSE_PERIOD_US;
            let start_us = end_us - PAUSE_US;
            pause_predictor.observe(Stall { start_us, end_us }, &mut pause_period);
        }
    }
    let end_us = 12 * PAUSE_PERIOD_US;
    let started_us = end_us - 150_000;
    let ended_us = end_us + CALL_US;
    let paused_us = predictors[0].paused_us(started_us, ended_us, &pause_period);
    assert!(
        (140_000..=160_000).contains(&paused_us),
        "{paused_us} us counted as pause"
    );
    let early_us = predictors[0].paused_us(end_us - 300_000, end_us - 250_000, &pause_period);
    assert_eq!(early_us, 0, "a call before the pause");
    let mut leaf_stats = LeafStats::default();
    let call = leaf_stats.start_call(started_us);
    leaf_stats.record_success(call, ended_us, paused_us);
    assert!(
        leaf_stats.average_us() < 30_000,
        "average latency {} us",
        leaf_stats.average_us()
    );
}
