//! Decisions on contents that crash leaves: what is refused, for whom, and what must stay served.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

use std::net::IpAddr;

use cloverrack::gateway::content_quarantine::EVIDENCE_RETENTION_MS;
use cloverrack::gateway::{
    Content, ContentQuarantine, ContentSuccess, ContentVerdict, CrashedAttempt,
};
use cloverrack::quarantine::QUARANTINE_MS;
use http::{Method, Uri};
use proptest::prelude::*;

const NOW_MS: u64 = 1_800_000_000_000;

fn caller(number: u8) -> IpAddr {
    [10, 0, 0, number].into()
}

fn content(fingerprint: u64, number: u8) -> Content {
    Content {
        fingerprint,
        caller: caller(number),
    }
}

fn crashed(
    content: Content,
    request_hash: u64,
    leaves: &[u64],
    observed_unix_ms: u64,
) -> CrashedAttempt {
    CrashedAttempt {
        content,
        request_hash,
        leaves: leaves.to_vec(),
        alive_unix_ms: observed_unix_ms,
        observed_unix_ms,
    }
}

/// Adds attempts that crash one leaf each, all of them different.
fn add_single_crashes(quarantine: &mut ContentQuarantine, content: Content, count: u64) {
    for number in 0..count {
        let leaf = u64::from(content.fingerprint as u32) << 32 | number;
        quarantine.add_attempt(crashed(content, number, &[leaf], NOW_MS), NOW_MS);
    }
}

fn is_quarantined(quarantine: &ContentQuarantine, content: Content, now_ms: u64) -> bool {
    matches!(
        quarantine.verdict(&content, now_ms),
        ContentVerdict::Quarantined { .. }
    )
}

/// Guards against content that crashes more than three leaves.
#[test]
fn the_third_crash_quarantines() {
    let mut quarantine = ContentQuarantine::default();
    let content = content(7, 1);
    add_single_crashes(&mut quarantine, content, 2);
    assert_eq!(
        quarantine.verdict(&content, NOW_MS),
        ContentVerdict::Suspect
    );
    let end_ms = quarantine.add_attempt(crashed(content, 9, &[99], NOW_MS + 5), NOW_MS + 5);
    assert_eq!(end_ms, Some(NOW_MS + 5 + QUARANTINE_MS));
    assert!(is_quarantined(&quarantine, content, NOW_MS + 5));
}

/// Guards against refusing a healthy request over many shards that lost several leaves to one
/// failure, and a request that was sent several times at once to a leaf which crashed.
#[test]
fn one_attempt_or_few_leaves_do_not_quarantine() {
    let mut quarantine = ContentQuarantine::default();
    quarantine.add_attempt(crashed(content(1, 1), 1, &[1, 2, 3], NOW_MS), NOW_MS);
    assert!(!is_quarantined(&quarantine, content(1, 1), NOW_MS));
    for attempt in 0..5 {
        quarantine.add_attempt(crashed(content(2, 1), attempt, &[1, 2], NOW_MS), NOW_MS);
    }
    assert!(!is_quarantined(&quarantine, content(2, 1), NOW_MS));
}

/// Guards against refusing healthy content of which one outage ended several attempts.
#[test]
fn attempts_that_one_outage_explains_count_once() {
    let content = content(1, 1);
    let outage_ms = NOW_MS - 1_000;
    let mut quarantine = ContentQuarantine::default();
    for attempt in 0..5 {
        let record = CrashedAttempt {
            alive_unix_ms: outage_ms - 10 * attempt,
            ..crashed(content, attempt, &[attempt], outage_ms + 100 * attempt + 1)
        };
        quarantine.add_attempt(record, NOW_MS);
    }
    assert!(!is_quarantined(&quarantine, content, NOW_MS));
    let unknown = CrashedAttempt {
        alive_unix_ms: 0,
        ..crashed(content, 8, &[8], NOW_MS)
    };
    quarantine.add_attempt(unknown, NOW_MS);
    assert!(!is_quarantined(&quarantine, content, NOW_MS));
    quarantine.add_attempt(crashed(content, 9, &[9], NOW_MS), NOW_MS);
    assert!(is_quarantined(&quarantine, content, NOW_MS));
}

/// Guards against losing leaves of an attempt that are found to have crashed one by one.
#[test]
fn records_of_one_attempt_are_merged() {
    let content = content(1, 1);
    let records = [
        crashed(content, 1, &[1], NOW_MS - 9),
        crashed(content, 1, &[2, 1], NOW_MS - 7),
    ];
    let mut orders = vec![records.to_vec(), records.to_vec()];
    orders[1].reverse();
    for records in orders {
        let mut quarantine = ContentQuarantine::default();
        for record in records {
            quarantine.add_attempt(record, NOW_MS);
        }
        let merged = quarantine.attempt(&content, 1).unwrap();
        assert_eq!(merged.leaves, [1, 2]);
        assert_eq!(
            (merged.alive_unix_ms, merged.observed_unix_ms),
            (NOW_MS - 9, NOW_MS - 7)
        );
        quarantine.add_attempt(crashed(content, 2, &[3], NOW_MS), NOW_MS);
        assert!(is_quarantined(&quarantine, content, NOW_MS));
    }
}

/// Guards against one attempt that counts twice because gossip delivers it again.
#[test]
fn a_repeated_record_counts_once() {
    let mut quarantine = ContentQuarantine::default();
    for _ in 0..3 {
        quarantine.add_attempt(crashed(content(1, 1), 1, &[1, 2, 3], NOW_MS), NOW_MS);
    }
    assert!(!is_quarantined(&quarantine, content(1, 1), NOW_MS));
}

/// Guards against refusing other contents, and the same content of callers whose own requests
/// crashed no leaf.
#[test]
fn other_contents_and_callers_stay_served() {
    let mut quarantine = ContentQuarantine::default();
    add_single_crashes(&mut quarantine, content(7, 1), 3);
    assert!(is_quarantined(&quarantine, content(7, 1), NOW_MS));
    assert_eq!(
        quarantine.verdict(&content(8, 1), NOW_MS),
        ContentVerdict::Unsuspected
    );
    assert!(!is_quarantined(&quarantine, content(7, 2), NOW_MS));
}

/// Guards against refusing another caller's request because it ran beside a crashing one.
#[test]
fn a_crash_beside_another_caller_does_not_quarantine_for_both() {
    let mut quarantine = ContentQuarantine::default();
    add_single_crashes(&mut quarantine, content(7, 1), 3);
    quarantine.add_attempt(crashed(content(7, 2), 50, &[50], NOW_MS), NOW_MS);
    assert!(!is_quarantined(&quarantine, content(7, 2), NOW_MS));
}

/// Guards against content that comes from a different caller each time and is never stopped.
#[test]
fn crashes_for_several_callers_quarantine_for_all() {
    let mut quarantine = ContentQuarantine::default();
    for number in 1..=3 {
        let attempt = u64::from(number);
        let record = crashed(content(7, number), attempt, &[attempt], NOW_MS);
        quarantine.add_attempt(record, NOW_MS);
    }
    assert!(is_quarantined(&quarantine, content(7, 200), NOW_MS));
}

/// Guards against refusing content that leaves answer: they crashed for another reason.
#[test]
fn a_success_discards_earlier_crashes() {
    let mut quarantine = ContentQuarantine::default();
    let content = content(7, 1);
    add_single_crashes(&mut quarantine, content, 2);
    // The clock of this VM is behind that of the VM that observed the crashes.
    let success = quarantine.success(&content, NOW_MS - 2_000).unwrap();
    quarantine.add_success(success, NOW_MS);
    assert_eq!(
        quarantine.verdict(&content, NOW_MS),
        ContentVerdict::Unsuspected
    );
    quarantine.add_attempt(crashed(content, 8, &[8], NOW_MS + 1), NOW_MS + 1);
    assert_eq!(
        quarantine.verdict(&content, NOW_MS + 1),
        ContentVerdict::Suspect
    );
    assert!(quarantine.success(&content, NOW_MS + 1).is_some());
}

/// Guards against a crashing request that is never stopped because another caller's request with
/// the same path and body succeeds.
#[test]
fn a_success_of_another_caller_does_not_lift_a_quarantine() {
    let mut quarantine = ContentQuarantine::default();
    for attempt in 0..3 {
        let record = crashed(content(7, 1), attempt, &[attempt], NOW_MS + attempt);
        quarantine.add_attempt(record, NOW_MS);
        if let Some(success) = quarantine.success(&content(7, 2), NOW_MS + attempt) {
            quarantine.add_success(success, NOW_MS);
        }
    }
    assert!(is_quarantined(&quarantine, content(7, 1), NOW_MS + 3));
    assert_eq!(
        quarantine.verdict(&content(7, 2), NOW_MS + 3),
        ContentVerdict::Unsuspected
    );
}

/// Guards against records of successes for contents without evidence, which would be published for
/// each request.
#[test]
fn a_success_without_evidence_is_not_recorded() {
    let mut quarantine = ContentQuarantine::default();
    add_single_crashes(&mut quarantine, content(7, 1), 1);
    assert_eq!(quarantine.success(&content(8, 1), NOW_MS), None);
    let success = quarantine.success(&content(7, 1), NOW_MS).unwrap();
    quarantine.add_success(success, NOW_MS);
    assert_eq!(quarantine.success(&content(7, 1), NOW_MS), None);
}

/// Guards against a quarantine without an end, and against content that crashes three more leaves
/// after each end.
#[test]
fn a_quarantine_ends_and_one_crash_renews_it() {
    let mut quarantine = ContentQuarantine::default();
    let content = content(7, 1);
    add_single_crashes(&mut quarantine, content, 3);
    let ended_ms = NOW_MS + QUARANTINE_MS;
    assert_eq!(
        quarantine.verdict(&content, ended_ms),
        ContentVerdict::Suspect
    );
    let renewed = quarantine.add_attempt(crashed(content, 70, &[70], ended_ms), ended_ms);
    assert_eq!(renewed, Some(ended_ms + QUARANTINE_MS));
    let expired_ms = ended_ms + EVIDENCE_RETENTION_MS;
    assert_eq!(
        quarantine.verdict(&content, expired_ms),
        ContentVerdict::Unsuspected
    );
    quarantine.remove_expired(expired_ms);
    assert!(quarantine.is_empty());
}

/// Guards against unbounded memory, and against a quarantine that a flood of other contents ends.
#[test]
fn a_flood_of_contents_is_bounded_and_keeps_the_quarantine() {
    let mut quarantine = ContentQuarantine::default();
    add_single_crashes(&mut quarantine, content(1, 1), 3);
    for number in 0..3_000_u64 {
        let observed_ms = NOW_MS + number;
        let record = crashed(content(100 + number, 1), number, &[number], observed_ms);
        quarantine.add_attempt(record, observed_ms);
    }
    assert!(is_quarantined(&quarantine, content(1, 1), NOW_MS + 3_000));
    for attempt in 0..1_000 {
        let observed_ms = NOW_MS + 3_000 + attempt;
        let record = crashed(content(1, 2), attempt, &[attempt], observed_ms);
        quarantine.add_attempt(record, observed_ms);
    }
    assert!(quarantine.len() <= 1_000, "{} contents", quarantine.len());
    assert!(is_quarantined(&quarantine, content(1, 2), NOW_MS + 4_000));
}

/// Guards against contents that count as one although host, method, path, query or body differ.
#[test]
fn fingerprints_differ_in_each_part() {
    let uri = Uri::from_static("/orders/7?page=1");
    let fingerprint = |host, method, uri: &Uri, body: &str| {
        Content::new(host, method, uri, body.as_bytes(), caller(1)).fingerprint
    };
    let first = fingerprint("a.example", &Method::POST, &uri, "body");
    assert_eq!(first, fingerprint("a.example", &Method::POST, &uri, "body"));
    let other_query = Uri::from_static("/orders/7?page=2");
    let longer_path = Uri::from_static("/orders/7?page=1b");
    for other in [
        fingerprint("b.example", &Method::POST, &uri, "body"),
        fingerprint("a.example", &Method::PUT, &uri, "body"),
        fingerprint("a.example", &Method::POST, &other_query, "body"),
        fingerprint("a.example", &Method::POST, &uri, "other"),
        fingerprint("a.example", &Method::POST, &longer_path, "ody"),
    ] {
        assert_ne!(first, other);
    }
}

/// Order of observation, and caller, attempt, leaf and whether it is a success.
type NumberedRecord = (usize, (u8, u64, u64, bool));

proptest! {
    /// Guards against VMs that disagree on what to refuse because gossip delivers the evidence in
    /// another order.
    #[test]
    fn the_order_of_evidence_does_not_matter(
        records in prop::collection::vec((1..4_u8, 0..6_u64, 0..8_u64, any::<bool>()), 1..12),
        rotation in any::<prop::sample::Index>(),
    ) {
        let apply = |records: &[NumberedRecord]| {
            let mut quarantine = ContentQuarantine::default();
            for (number, (caller, attempt, leaf, is_success)) in records {
                let observed_ms = NOW_MS + *number as u64;
                if *is_success {
                    let success = ContentSuccess {
                        content: content(7, *caller),
                        until_unix_ms: observed_ms,
                    };
                    quarantine.add_success(success, NOW_MS);
                    continue;
                }
                let attempt = 100 * *number as u64 + attempt;
                let record = crashed(content(7, *caller), attempt, &[*leaf], observed_ms);
                quarantine.add_attempt(record, NOW_MS);
            }
            (1..5).map(|caller| quarantine.verdict(&content(7, caller), NOW_MS)).collect::<Vec<_>>()
        };
        let mut numbered: Vec<_> = records.into_iter().enumerate().collect();
        let expected = apply(&numbered);
        let middle = rotation.index(numbered.len());
        numbered.rotate_left(middle);
        prop_assert_eq!(expected, apply(&numbered));
    }
}
