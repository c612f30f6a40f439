//! What VMs tell each other of leaves, and what they make of it, without a network.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;

use cloverrack::ServiceKey;
use cloverrack::gateway::{
    ConnectionLimits, LeafRecord, LeafReport, LeafStats, Leaves, Observation, PausePeriod,
    PausePredictor, ServiceNames, Stall,
};
use cloverrack::ids::LeafKey;

/// Time of a call to a sound leaf.
const CALL_US: u64 = 20_000;

/// Interval between the pauses of a modelled leaf, and their duration.
const PAUSE_INTERVAL_US: u64 = 4_500_000;
const PAUSE_US: u64 = 200_000;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

/// One VM's view of a service.
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

/// Guards against a VM that spends calls of its own on a leaf of which others know that it fails.
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

/// Guards against a leaf that stays out of use after it is well again.
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
        "{cleared_ppm} of {failing_ppm}"
    );
}

/// Guards against calls to a leaf of which another VM knows that it has stopped, and against one that is
/// avoided for longer than it stops.
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
    assert_eq!(vm.chosen(now_us + 90_000), address(0), "it resumed");
    vm.apply_report(
        0,
        Observation::Stalled { silent_us: 60_000 },
        now_us + 1_000_000,
    );
    assert_eq!(
        vm.chosen(now_us + 1_000_000),
        address(1),
        "the word on it is old"
    );
}

/// Guards against one VM's long call that keeps the others from a leaf which answers them.
#[test]
fn a_vm_that_has_newer_answers_ignores_a_stall() {
    let mut vm = Vm::new(2);
    let call = vm.leaf_stats(0).start_call(960_000);
    vm.leaf_stats(0).record_success(call, 980_000, 0);
    vm.apply_report(0, Observation::Stalled { silent_us: 60_000 }, 1_000_000);
    let stopped_us = vm.leaf_stats(0).expected_us(3, 1_000_000);
    assert!(stopped_us < 100_000, "{stopped_us} us");
}

/// Guards against a call with much work that makes its leaf look stopped.
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
    assert!(leaf_stats.is_stalled(300_000), "it answers nothing more");
}

/// Guards against a VM that lost its own way to the leaves and tells the others that all have stopped.
#[test]
fn a_vm_without_replies_reports_no_stall() {
    let mut vm = Vm::new(12);
    vm.leaf_stats(3).start_call(1_000_000);
    vm.leaves.record_reply(1_080_000);
    let told = vm.leaves.unreported_stalls(1_100_000);
    assert_eq!(told, [(address(3), 100_000)]);
    assert!(
        vm.leaves.unreported_stalls(1_110_000).is_empty(),
        "told already"
    );
    vm.leaves.record_reply(1_200_000);
    assert_eq!(
        vm.leaves.unreported_stalls(1_210_000).len(),
        1,
        "it goes on"
    );
    assert!(
        vm.leaves.unreported_stalls(1_400_000).is_empty(),
        "no reply since"
    );
    for number in 0..12 {
        vm.leaf_stats(number).start_call(1_400_000);
    }
    vm.leaves.record_reply(1_490_000);
    assert!(
        vm.leaves.unreported_stalls(1_500_000).is_empty(),
        "all stalled"
    );
}

/// Guards against an average that a regular pause spoils for seconds.
#[test]
fn a_predicted_pause_does_not_count_as_slowness() {
    let mut pause_period = PausePeriod::default();
    let mut rhythms = vec![PausePredictor::default(); 12];
    for pause in 1..12 {
        for (leaf, pause_predictor) in rhythms.iter_mut().enumerate() {
            let end_us = leaf as u64 * 300_000 + pause * PAUSE_INTERVAL_US;
            let start_us = end_us - PAUSE_US;
            pause_predictor.observe(Stall { start_us, end_us }, &mut pause_period);
        }
    }
    let end_us = 12 * PAUSE_INTERVAL_US;
    let started_us = end_us - 150_000;
    let ended_us = end_us + CALL_US;
    let paused_us = rhythms[0].paused_us(started_us, ended_us, &pause_period);
    assert!((140_000..=160_000).contains(&paused_us), "{paused_us} us");
    let early_us = rhythms[0].paused_us(end_us - 300_000, end_us - 250_000, &pause_period);
    assert_eq!(early_us, 0, "before the pause");
    let mut leaf_stats = LeafStats::default();
    let call = leaf_stats.start_call(started_us);
    leaf_stats.record_success(call, ended_us, paused_us);
    assert!(
        leaf_stats.average_us() < 30_000,
        "{} us",
        leaf_stats.average_us()
    );
}
