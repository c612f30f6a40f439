//! Decision which failure domains are evacuated, without network.

use cloverrack::document::Version;
use cloverrack::gateway::catalog::RECOVERY_GRACE_MS;
use cloverrack::gateway::evacuation::evacuations::MAX_DOMAINS;
use cloverrack::gateway::{DomainChange, Evacuation, Evacuations};

fn version(epoch: u64, revision: u64) -> Version {
    Version { epoch, revision }
}

fn fact(epoch: u64, revision: u64, is_active: bool) -> Evacuation {
    Evacuation {
        domain: "b".into(),
        version: version(epoch, revision),
        is_active,
    }
}

fn change(is_evacuated: bool) -> DomainChange {
    DomainChange {
        domain: "b".into(),
        is_evacuated,
    }
}

fn is_active(evacuations: &Evacuations) -> bool {
    evacuations.active().any(|domain| domain == "b")
}

/// Guards against VMs that disagree since they receive facts in different orders, or more than once.
#[test]
fn the_newest_fact_wins_in_any_order() {
    let facts = [
        fact(1, 9, true),
        fact(1, 12, false),
        fact(2, 3, true),
        fact(2, 3, false),
    ];
    for order in 0..64 {
        let mut evacuations = Evacuations::default();
        for index in [order % 4, order / 4 % 4, order / 16, 0, 1, 2, 3] {
            evacuations.apply(facts[index].clone(), 0);
        }
        assert_eq!(evacuations.active_facts(), [fact(2, 3, true)]);
        assert!(!evacuations.has_unpublished(), "facts of others");
    }
}

/// Guards against an evacuation that never ends, since its key was removed while no VM watched the store, and
/// against a late fact that begins it again.
#[test]
fn a_full_read_without_the_key_ends_the_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(fact(1, 9, true), 0);
    evacuations.read_image(version(1, 9), vec![], 0);
    assert!(is_active(&evacuations), "the read may be the older one");
    evacuations.read_image(version(1, 11), vec![], 0);
    assert!(!is_active(&evacuations));
    assert_eq!(evacuations.take_unpublished(), [fact(1, 11, false)]);
    evacuations.apply(fact(1, 10, true), 0);
    assert!(!is_active(&evacuations));
    let mut started = Evacuations::default();
    started.read_image(version(1, 11), vec![], 0);
    started.apply(fact(1, 10, true), 0);
    assert_eq!(started.take_unpublished(), [fact(1, 11, false)]);
    started.apply(fact(1, 12, true), 0);
    assert!(is_active(&started), "the key was written after the read");
}

/// Guards against changes of a watch that are lost: those of one batch, and those before a version that a
/// peer's catalog has brought.
#[test]
fn changes_of_a_watch_are_applied() {
    let mut evacuations = Evacuations::default();
    evacuations.read_image(version(1, 5), vec![], 0);
    assert_eq!(evacuations.watch_after(version(1, 8)), version(1, 5));
    assert_eq!(evacuations.watch_after(version(1, 4)), version(1, 4));
    let batch = vec![change(false), change(true)];
    evacuations.read_changes(version(1, 5), version(1, 9), batch, 0);
    assert_eq!(evacuations.take_unpublished(), [fact(1, 9, true)]);
    evacuations.apply(fact(1, 7, false), 0);
    assert!(is_active(&evacuations));
    let batch = vec![change(false), change(true), change(false)];
    evacuations.read_changes(version(1, 9), version(1, 12), batch, 0);
    assert_eq!(evacuations.take_unpublished(), [fact(1, 12, false)]);
    // A check without a continuous watch tells of what it reports only.
    evacuations.apply(fact(1, 20, true), 0);
    evacuations.read_changes(version(1, 25), version(1, 30), vec![], 0);
    assert!(is_active(&evacuations));
}

/// Guards against an evacuation that ends since the store was restored from a copy that lacks its key, while
/// the operators write it again; and against one that never ends if they do not.
#[test]
fn a_restored_store_ends_evacuations_after_the_grace_time() {
    for (is_written_again, is_removed) in [(false, false), (true, false), (false, true)] {
        let mut evacuations = Evacuations::default();
        evacuations.read_image(version(1, 9), vec!["b".into()], 0);
        evacuations.read_image(version(2, 4), vec![], 1_000);
        assert!(is_active(&evacuations));
        if is_written_again {
            evacuations.read_changes(version(2, 4), version(2, 6), vec![change(true)], 2_000);
        }
        if is_removed {
            evacuations.read_changes(version(2, 4), version(2, 6), vec![change(false)], 2_000);
            assert!(!is_active(&evacuations), "the operators have ended it");
            continue;
        }
        evacuations.read_image(version(2, 4), vec![], 2_500);
        evacuations.end_due(1_000 + RECOVERY_GRACE_MS - 1);
        assert!(is_active(&evacuations));
        evacuations.end_due(1_000 + RECOVERY_GRACE_MS);
        assert_eq!(is_active(&evacuations), is_written_again);
    }
}

/// Guards against memory that grows with the keys that are written, and against a log line for each read.
#[test]
fn a_bounded_number_of_domains_is_evacuated() {
    let domains = |count: usize| (0..count).map(|index| format!("d{index:03}").into_boxed_str());
    let mut evacuations = Evacuations::default();
    evacuations.read_image(version(1, 2), domains(MAX_DOMAINS).collect(), 0);
    for revision in 3..5 {
        evacuations.apply(fact(1, revision, true), 0);
    }
    assert_eq!(evacuations.take_refused(), ["b".into()]);
    assert_eq!(evacuations.active().count(), MAX_DOMAINS);
    assert!(!is_active(&evacuations));
    // A read of too many domains ends none of those that are known.
    evacuations.read_image(version(1, 6), domains(200).skip(100).collect(), 0);
    assert!(evacuations.active().any(|domain| domain == "d000"));
    evacuations.read_image(version(1, 7), vec!["b".into()], 0);
    assert!(evacuations.active().eq(["b"]));
    for revision in 8..300 {
        let mut ended = fact(1, revision, false);
        ended.domain = format!("e{revision}").into();
        evacuations.apply(ended, 0);
    }
    assert!(format!("{evacuations:?}").len() < 30_000, "ended ones");
    let mut unnamed = fact(1, 300, true);
    unnamed.domain = "".into();
    evacuations.apply(unnamed, 0);
    assert!(evacuations.active().eq(["b"]));
}
