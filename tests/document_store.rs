//! Document store without processes: the order of versions, rejected documents and the limits of
//! the reports about them.

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
    /// Guards against a version in force that depends on the order in which versions arrive, and
    /// against a lower version that replaces the one in force.
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

/// Guards against nodes with different content under the same version: a platform restored from a
/// backup assigns the revision in force to other content.
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
        OfferOutcome::Outdated
    );
    assert_eq!(&*store.get("config/a").unwrap().body, body(0, 1).as_bytes());
    assert_eq!(
        store.offer("config/a", 2, body(1, 2).as_bytes(), 0),
        OfferOutcome::Accepted
    );
}

/// Guards against a lost write that is listed only as old, without the version that superseded it:
/// the earlier of two concurrent writes is read after the later one.
#[test]
fn a_version_below_the_one_in_force_names_its_successor() {
    let mut store = DocumentStore::default();
    store.offer("config/a", 7, body(0, 7).as_bytes(), 0);
    assert_eq!(
        store.offer("config/a", 6, body(0, 6).as_bytes(), 0),
        OfferOutcome::Outdated
    );
    let superseded = entries(&store, "superseded");
    assert_eq!(superseded.len(), 1);
    assert_eq!(superseded[0].version.revision, 6);
    assert_eq!(superseded[0].superseded_by.unwrap().revision, 7);
    // A version that was in force and that a stale platform returns again is listed as older.
    store.offer("config/a", 8, body(0, 8).as_bytes(), 0);
    store.offer("config/a", 7, body(0, 7).as_bytes(), 0);
    assert_eq!(entries(&store, "superseded").len(), 2);
    assert_eq!(entries(&store, "older").len(), 1);
}

/// Guards against rejection reports that exceed the size of a datagram, and against reports and
/// history entries that accumulate on every node while the platform keeps sending invalid
/// documents.
#[test]
fn discarded_versions_are_bounded() {
    let mut store = DocumentStore::default();
    let mut keys = std::collections::BTreeSet::new();
    for revision in 1..100 {
        // The rejection reason contains the unknown key and would exceed the limit.
        let text = format!("\"{}\" = 1\n", "é".repeat(500));
        let rejection = store.offer("config/a", revision, text.as_bytes(), 0);
        assert!(matches!(rejection, OfferOutcome::Rejected(_)));
        for rejection in store.take_unpublished() {
            assert!(rejection.reason.len() <= MAX_REASON_BYTES);
            assert!(rejection.reason.len() > MAX_REASON_BYTES / 2);
            keys.insert(Fact::DiscardedVersion(rejection).key());
        }
    }
    assert_eq!(keys.len(), 4);
    assert!(store.history().count() <= 64);
}

/// Guards against a rejected document that is parsed and reported again at every platform read.
#[test]
fn a_rejected_file_is_reported_once() {
    let mut store = DocumentStore::default();
    for _ in 0..3 {
        let rejection = store.offer("config/a", 4, b"region =", 0);
        assert!(matches!(rejection, OfferOutcome::Rejected(_)));
    }
    assert_eq!(store.take_unpublished().len(), 1);
    assert_eq!(entries(&store, "rejected").len(), 1);
}
