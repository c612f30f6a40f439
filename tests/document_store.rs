//! Acceptance of documents without processes: order, rejection, bounded verdicts.

use cloverrack::document::HistoryEntry;
use cloverrack::fact::{Fact, MAX_REASON_BYTES};
use cloverrack::{DocumentStore, OfferOutcome, Version};
use proptest::prelude::*;

fn body(epoch: u64, number: u64) -> String {
    format!("epoch = {epoch}\nregion = \"r{number}\"\n")
}

fn entries<'a>(store: &'a DocumentStore, state: &'a str) -> Vec<&'a HistoryEntry> {
    store.history().filter(|e| e.state == state).collect()
}

proptest! {
    /// Guards against a result that depends on the order in which versions arrive, and against a
    /// version in force that is followed by a lower one.
    #[test]
    fn the_highest_version_wins_in_any_order(
        versions in prop::collection::btree_set((0_u64..3, 1_u64..30), 1..12),
        seed in any::<u64>(),
    ) {
        let highest = versions.last().copied().unwrap();
        let mut order: Vec<(u64, u64)> = versions.into_iter().collect();
        order.sort_by_key(|(epoch, revision)| (epoch * 31 + revision).wrapping_mul(seed | 1));
        let mut store = DocumentStore::default();
        let mut last = Version::default();
        for (epoch, revision) in order {
            store.offer("config/a", revision, body(epoch, revision).as_bytes(), 0);
            let version = store.get("config/a").unwrap().version;
            prop_assert!(version >= last);
            last = version;
        }
        prop_assert_eq!((last.epoch, last.revision), highest);
    }
}

/// Guards against a restored platform that gives a revision in force to other content: nodes would
/// hold different files under one version.
#[test]
fn other_content_under_the_version_in_force_is_not_taken() {
    let mut store = DocumentStore::default();
    assert_eq!(
        store.offer("config/a", 5, body(0, 1).as_bytes(), 0),
        OfferOutcome::Accepted
    );
    assert_eq!(
        store.offer("config/a", 5, body(0, 1).as_bytes(), 0),
        OfferOutcome::Unchanged
    );
    assert_eq!(
        store.offer("config/a", 5, body(0, 2).as_bytes(), 0),
        OfferOutcome::Older
    );
    assert_eq!(&*store.get("config/a").unwrap().body, body(0, 1).as_bytes());
    assert_eq!(
        store.offer("config/a", 2, body(1, 2).as_bytes(), 0),
        OfferOutcome::Accepted
    );
}

/// Guards against a late read of the loser of two writes being listed as nothing but old, without
/// the version that superseded it.
#[test]
fn a_version_below_the_one_in_force_names_its_successor() {
    let mut store = DocumentStore::default();
    store.offer("config/a", 7, body(0, 7).as_bytes(), 0);
    assert_eq!(
        store.offer("config/a", 6, body(0, 6).as_bytes(), 0),
        OfferOutcome::Older
    );
    let superseded = entries(&store, "superseded");
    assert_eq!(superseded.len(), 1);
    assert_eq!(superseded[0].version.revision, 6);
    assert_eq!(superseded[0].superseded_by.unwrap().revision, 7);
    // A version that was in force and is shown again by a stale platform is only old.
    store.offer("config/a", 8, body(0, 8).as_bytes(), 0);
    store.offer("config/a", 7, body(0, 7).as_bytes(), 0);
    assert_eq!(entries(&store, "superseded").len(), 2);
    assert_eq!(entries(&store, "older").len(), 1);
}

/// Guards against verdicts that outgrow a datagram or pile up on every node.
#[test]
fn verdicts_are_bounded() {
    let mut store = DocumentStore::default();
    let mut keys = std::collections::BTreeSet::new();
    for revision in 1..100 {
        // The reason of the rejection names the unknown key.
        let text = format!("\"{}\" = 1\n", "é".repeat(500));
        let verdict = store.offer("config/a", revision, text.as_bytes(), 0);
        assert!(matches!(verdict, OfferOutcome::Rejected(_)));
        for verdict in store.take_unsent() {
            assert!(verdict.reason.len() <= MAX_REASON_BYTES);
            assert!(verdict.reason.len() > MAX_REASON_BYTES / 2);
            keys.insert(Fact::DiscardedVersion(verdict).key());
        }
    }
    assert_eq!(keys.len(), 4);
    assert!(store.history().count() <= 64);
}

/// Guards against a platform read that parses, and reports, a rejected file again each time.
#[test]
fn a_rejected_file_is_reported_once() {
    let mut store = DocumentStore::default();
    for _ in 0..3 {
        let verdict = store.offer("config/a", 4, b"region =", 0);
        assert!(matches!(verdict, OfferOutcome::Rejected(_)));
    }
    assert_eq!(store.take_unsent().len(), 1);
    assert_eq!(entries(&store, "rejected").len(), 1);
}
