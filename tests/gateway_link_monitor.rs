//! Decision whether a VM has lost its links to the leaves, on a virtual clock.

use cloverrack::LeafKey;
use cloverrack::gateway::{CheckResult, LinkChange, LinkMonitor, LinkState};

const MS: u64 = 1_000;
const LEAVES: usize = 45;

/// Time at which the links of a VM are lost, without a reply before.
const START_US: u64 = 1_000 * MS;

fn leaf(index: usize) -> LeafKey {
    LeafKey::new(index)
}

/// Returns the result of a check of `checked` leaves, of which some answered and the others sent
/// nothing.
fn check(answered: usize, checked: usize) -> CheckResult {
    CheckResult {
        answered,
        silent: checked - answered,
        ..CheckResult::default()
    }
}

fn refused() -> CheckResult {
    CheckResult {
        refused: 6,
        ..CheckResult::default()
    }
}

fn none_silent() -> usize {
    0
}

/// Returns a monitor of a VM that has lost its links at `lost_us`.
fn lost(lost_us: u64) -> LinkMonitor {
    let mut link_monitor = LinkMonitor::default();
    link_monitor.set_replaceable(true);
    let change = link_monitor.record_check(check(0, 6), lost_us);
    assert!(matches!(change, Some(LinkChange::Lost { .. })));
    link_monitor
}

/// Guards against leaves that have ended being taken for lost links while other leaves reply.
#[test]
fn failing_leaves_beside_replies_are_no_loss() {
    let mut link_monitor = LinkMonitor::default();
    for step in 0..1_000 {
        let now_us = step * 5 * MS;
        link_monitor.record_call(now_us);
        link_monitor.record_failure(leaf(step as usize % 30), now_us);
        link_monitor.record_reply(now_us);
        assert!(!link_monitor.is_check_due(LEAVES, || 30, now_us + MS));
    }
}

/// Guards against checks for a few slow or failed leaves, which cost connections.
#[test]
fn two_failed_leaves_are_not_checked() {
    let mut link_monitor = LinkMonitor::default();
    link_monitor.record_call(500 * MS);
    link_monitor.record_no_connection(leaf(1), 500 * MS);
    link_monitor.record_no_connection(leaf(2), 500 * MS);
    assert!(!link_monitor.is_check_due(LEAVES, || 2, 5_000 * MS));
    link_monitor.record_no_connection(leaf(3), 500 * MS);
    assert!(link_monitor.is_check_due(LEAVES, none_silent, 5_000 * MS));
}

/// Guards against a loss that goes unnoticed because connections hang, are reset, or are refused
/// while open ones still carry replies.
#[test]
fn each_kind_of_loss_is_checked() {
    let mut hanging = LinkMonitor::default();
    hanging.record_reply(1_000 * MS);
    hanging.record_call(1_001 * MS);
    assert!(!hanging.is_check_due(LEAVES, || 10, 1_050 * MS));
    assert!(hanging.is_check_due(LEAVES, || 10, 1_101 * MS));
    let mut reset = LinkMonitor::default();
    reset.record_reply(1_000 * MS);
    reset.record_call(1_001 * MS);
    for index in 0..10 {
        reset.record_failure(leaf(index), 1_002 * MS);
    }
    assert!(reset.is_check_due(LEAVES, none_silent, 1_102 * MS));
    let mut refused = LinkMonitor::default();
    for index in 0..3 {
        refused.record_no_connection(leaf(index), 1_000 * MS);
    }
    refused.record_reply(1_099 * MS);
    assert!(refused.is_check_due(LEAVES, none_silent, 1_100 * MS));
}

/// Guards against checks on standby VMs, which call no leaf for minutes.
#[test]
fn a_vm_without_calls_is_not_checked() {
    let mut link_monitor = LinkMonitor::default();
    link_monitor.record_call(1_000 * MS);
    link_monitor.record_reply(1_010 * MS);
    assert!(!link_monitor.is_check_due(LEAVES, || 40, 100_000 * MS));
}

/// Guards against a loss that is assumed although a leaf answers a status check.
#[test]
fn one_answer_disproves_a_loss() {
    let mut link_monitor = LinkMonitor::default();
    assert_eq!(link_monitor.record_check(check(1, 6), 1_000 * MS), None);
    assert_eq!(link_monitor.state(), LinkState::Connected);
}

/// Guards against using links that come and go for parts of a second.
#[test]
fn flapping_links_stay_lost() {
    let mut link_monitor = lost(START_US);
    for round in 1..100 {
        let answered = usize::from(round % 3 != 0) * 3;
        link_monitor.record_check(check(answered, 3), START_US + round * 200 * MS);
        assert!(link_monitor.is_lost(), "round {round}");
    }
}

/// Guards against a rush of all VMs of a partition when it heals, and against a recovery that never
/// ends.
#[test]
fn requests_return_gradually() {
    let mut link_monitor = lost(START_US);
    assert!(!link_monitor.uses_leaves(0.0, START_US + 100 * MS));
    for round in 1..=3 {
        link_monitor.record_check(check(3, 3), START_US + round * 200 * MS);
    }
    let healed_us = START_US + 600 * MS;
    let share_after = |link_monitor: &LinkMonitor, after_ms: u64| {
        let now_us = healed_us + after_ms * MS;
        let drawn = (0..100).map(|percent| f64::from(percent) / 100.0);
        drawn
            .filter(|drawn| link_monitor.uses_leaves(*drawn, now_us))
            .count()
    };
    assert_eq!(share_after(&link_monitor, 0), 0);
    assert!((20..=30).contains(&share_after(&link_monitor, 250)));
    assert!((70..=80).contains(&share_after(&link_monitor, 750)));
    assert_eq!(
        link_monitor.update(healed_us + 1_000 * MS),
        LinkState::Connected
    );
    assert_eq!(share_after(&link_monitor, 1_000), 100);
}

/// Guards against a loss during the recovery that goes unnoticed.
#[test]
fn links_can_be_lost_again_while_they_recover() {
    let mut link_monitor = lost(START_US);
    for round in 1..=3 {
        link_monitor.record_check(check(3, 3), START_US + round * 200 * MS);
    }
    link_monitor.record_call(START_US + 700 * MS);
    assert!(link_monitor.is_check_due(LEAVES, || 10, START_US + 1_000 * MS));
    let change = link_monitor.record_check(check(0, 6), START_US + 1_000 * MS);
    assert!(matches!(change, Some(LinkChange::Lost { .. })));
}

/// Guards against slow status checks of a loaded machine, or leaves that have just ended together,
/// being taken for lost links while open connections carry replies.
#[test]
fn replies_disprove_a_loss_unless_all_connections_are_refused() {
    let mut link_monitor = LinkMonitor::default();
    for round in 0..10 {
        let now_us = START_US + round * 300 * MS;
        link_monitor.record_reply(now_us);
        assert_eq!(link_monitor.record_check(check(0, 6), now_us), None);
    }
    link_monitor.record_reply(START_US + 4_000 * MS);
    assert_eq!(
        link_monitor.record_check(refused(), START_US + 4_010 * MS),
        None
    );
    link_monitor.record_reply(START_US + 4_300 * MS);
    let change = link_monitor.record_check(refused(), START_US + 4_310 * MS);
    assert!(matches!(change, Some(LinkChange::Lost { .. })));
}

/// Guards against VMs that all keep refusing requests although leaves answer: without another VM that
/// serves, there is nothing to wait for.
#[test]
fn one_answer_ends_a_loss_if_no_other_vm_has_links() {
    let mut link_monitor = lost(START_US);
    link_monitor.set_replaceable(false);
    let change = link_monitor.record_check(check(1, 3), START_US + 200 * MS);
    assert!(matches!(change, Some(LinkChange::Answering { .. })));
}
