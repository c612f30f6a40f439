//! Pure decisions of the gateway: routes, catalog, fan-out, leaf statistics and pause prediction.
//!
//! Covered are outages of the platform, and leaves that fail, stall or pause regularly.

use std::collections::HashMap;
use std::sync::Arc;

use cloverrack::ServiceKey;
use cloverrack::document::Version;
use cloverrack::gateway::{
    CallLatency, CallerLimits, Catalog, CatalogImage, CatalogUpdate, Change, ChangeSet,
    ConnectionLimits, Destination, FanoutDecision, FanoutSchedule, LeafRecord, LeafStats, Leaves,
    NoLeafError, PausePeriod, PausePredictor, RouteDocument, RouteSpec, RouteTable, ServiceNames,
    ShardCounts, Stall, pick_weighted,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Interval between the regular pauses of the simulated leaves.
const PAUSE_PERIOD_US: u64 = 4_500_000;

/// Duration of a regular pause.
const PAUSE_US: u64 = 200_000;

fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout_ms: 1_500,
        target_latency_ms: 150,
        max_attempts: 2,
        priority: 1,
        destination: Destination::Service("sheets".into()),
    }
}

fn document(version: u64, routes: Vec<RouteSpec>) -> RouteDocument {
    RouteDocument {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: Vec::new(),
        limits: CallerLimits {
            max_body_bytes: 1_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn record(id: &str) -> LeafRecord {
    LeafRecord {
        id: id.into(),
        service: "sheets".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        warmup_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn leaves(catalog: &Catalog) -> Vec<Box<str>> {
    catalog.leaves().map(|leaf| leaf.id.clone()).collect()
}

fn changes(changes: Vec<Change>, revision: u64) -> ChangeSet {
    ChangeSet {
        changes,
        epoch: 0,
        revision,
    }
}

/// Guards against a request sent by the wrong route: one with a shorter prefix that is listed
/// first, one whose prefix ends within a path segment, or one of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("all", "/a/"), route("part", "/a/b/")];
    let table = RouteTable::compile(document(1, routes), &mut ServiceNames::default());
    let route_name = |host, path| table.find(host, path).map(|route| &*route.spec.name);
    assert_eq!(route_name("desk.example", "/a/b/c"), Some("part"));
    assert_eq!(route_name("desk.example", "/a/bc"), Some("all"));
    assert_eq!(route_name("desk.example", "/a"), None);
    assert_eq!(route_name("other.example", "/a/b/c"), None);
}

/// Guards against a weighted destination that receives another share of the requests than its
/// weight. The weights are cumulative here: the second service has 300 of 400.
#[test]
fn weighted_services_get_their_shares() {
    let parts = [(ServiceKey::new(0), 100), (ServiceKey::new(1), 400)];
    let mut counts: HashMap<ServiceKey, usize> = HashMap::new();
    for drawn in 0..400 {
        let service = pick_weighted(&parts, drawn).unwrap();
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!(counts[&ServiceKey::new(0)], 100);
    assert_eq!(counts[&ServiceKey::new(1)], 300);
}

/// Guards against an accepted configuration being replaced by an older one, by a change that
/// arrives late or by a stale image. The test image has a newer document at an older revision.
#[test]
fn a_configuration_never_reverts() {
    let mut catalog = Catalog::default();
    catalog.apply(changes(vec![Change::Document(document(7, vec![]))], 10), 0);
    catalog.apply(changes(vec![Change::Document(document(5, vec![]))], 11), 0);
    assert_eq!(catalog.document().map(|d| d.version), Some(7));
    let stale = CatalogImage {
        epoch: 0,
        revision: 4,
        document: Some(document(9, vec![])),
        leaves: vec![],
    };
    assert!(!catalog.replace(stale, 0).document);
    assert_eq!(catalog.document().map(|d| d.version), Some(7));
}

/// Guards against the removal of all leaves after an outage of the platform. Their entries expire
/// during the outage, since no leaf can renew its own, so the first image after it may be empty. A
/// draining leaf gets no such grace period.
#[test]
fn lapsed_entries_are_kept_for_a_moment_after_an_outage() {
    let mut catalog = Catalog::default();
    let mut leaving = record("leaving");
    leaving.draining = true;
    let first = vec![Change::Leaf(record("kept")), Change::Leaf(leaving)];
    catalog.apply(changes(first, 1), 0);
    catalog.platform_recovered(1_000);
    let empty = CatalogImage {
        epoch: 0,
        revision: 2,
        document: None,
        leaves: vec![],
    };
    catalog.replace(empty, 1_000);
    assert_eq!(
        leaves(&catalog),
        ["kept".into()],
        "a draining leaf is removed at once"
    );
    catalog.remove_expired(3_299);
    assert_eq!(leaves(&catalog), ["kept".into()]);
    assert!(
        catalog.remove_expired(3_300).leaves,
        "a leaf that does not register again is removed"
    );
    assert!(leaves(&catalog).is_empty());
}

/// Guards against ignoring a platform that was restored from a copy, and reverting to the copy.
#[test]
fn a_restored_platform_is_followed_and_reverts_nothing() {
    let mut catalog = Catalog::default();
    let first = ["stays", "leaves", "drains"];
    let first = first.map(|id| Change::Leaf(record(id))).to_vec();
    catalog.apply(changes(first, 10), 0);
    let copy = catalog.image();
    let mut drains = record("drains");
    drains.draining = true;
    let since = vec![
        Change::Document(document(7, vec![])),
        Change::Leaf(record("started")),
        Change::LeafRemoved("leaves".into()),
        Change::Leaf(drains.clone()),
    ];
    catalog.apply(changes(since, 900), 1_000);
    let restored = CatalogImage {
        epoch: 1,
        document: Some(document(5, vec![])),
        ..copy
    };
    let changed = catalog.replace(restored, 2_000);
    assert!(!changed.document);
    let is_draining = catalog.leaves().any(|leaf| leaf.draining);
    assert_eq!(leaves(&catalog), ["started".into(), "stays".into()]);
    assert!(!is_draining, "the draining leaf is out of use");
    let version = Version {
        epoch: 1,
        revision: 10,
    };
    assert_eq!(
        (catalog.version(), catalog.last_change()),
        (version, version)
    );
    let written_again = ChangeSet {
        changes: vec![
            Change::Leaf(record("started")),
            Change::Leaf(drains),
            Change::Leaf(record("leaves")),
        ],
        epoch: 1,
        revision: 12,
    };
    assert!(catalog.apply(written_again, 3_000).leaves);
    catalog.remove_expired(9_000);
    let all = ["drains", "leaves", "started", "stays"].map(Box::from);
    assert_eq!(leaves(&catalog), all, "leaves write their records again");
    for epoch in [0, 2] {
        let other_epoch = ChangeSet {
            epoch,
            ..changes(vec![Change::LeafRemoved("stays".into())], 950)
        };
        assert!(!catalog.apply(other_epoch, 9_000).leaves, "{epoch}");
    }
}

/// Guards against VMs that stay in an earlier epoch because its revisions were higher.
#[test]
fn a_peer_follows_into_a_new_epoch() {
    let mut ahead = Catalog::default();
    let mut behind = Catalog::default();
    for catalog in [&mut ahead, &mut behind] {
        catalog.apply(changes(vec![Change::Leaf(record("x"))], 900), 0);
    }
    let restored = CatalogImage {
        epoch: 1,
        revision: 3,
        document: None,
        leaves: vec![record("x")],
    };
    assert!(!ahead.replace(restored, 0).leaves);
    assert_eq!(
        ahead.last_change(),
        ahead.version(),
        "the epoch is announced"
    );
    assert_eq!(behind.update_since(ahead.version()), CatalogUpdate::Nothing);
    let update = ahead.update_since(behind.version());
    assert!(matches!(update, CatalogUpdate::Image(_)), "{update:?}");
    behind.update(update, 0);
    assert_eq!(behind.version(), ahead.version());
    let next = ChangeSet {
        changes: vec![Change::LeafRemoved("x".into())],
        epoch: 1,
        revision: 4,
    };
    ahead.apply(next, 9_000);
    behind.update(ahead.update_since(behind.version()), 9_000);
    assert!(leaves(&behind).is_empty());
}

/// Guards against a removed leaf that stays in use. The grace period applies only after an outage
/// of the platform.
#[test]
fn a_removed_leaf_is_gone_at_once() {
    let mut catalog = Catalog::default();
    catalog.apply(changes(vec![Change::Leaf(record("x"))], 1), 0);
    catalog.apply(changes(vec![Change::LeafRemoved("x".into())], 2), 10);
    assert!(leaves(&catalog).is_empty());
}

/// Guards against a peer whose catalog diverges. It receives updates in batches, which may repeat
/// changes or start before its own revision.
#[test]
fn a_peer_that_is_behind_ends_in_the_same_state() {
    let mut ahead = Catalog::default();
    let mut behind = Catalog::default();
    let mut rng = StdRng::seed_from_u64(7);
    for revision in 1..400_u64 {
        let id = format!("leaf-{}", rng.random_range(0..9));
        let change = if rng.random_bool(0.5) {
            Change::Leaf(record(&id))
        } else {
            Change::LeafRemoved(id.into())
        };
        ahead.apply(changes(vec![change], revision), 0);
        if rng.random_bool(0.05) {
            let update = ahead.update_since(behind.version());
            behind.update(update, 0);
            assert_eq!(leaves(&behind), leaves(&ahead));
            assert_eq!(behind.version(), ahead.version());
        }
    }
    assert_eq!(ahead.update_since(ahead.version()), CatalogUpdate::Nothing);
    assert!(
        matches!(
            ahead.update_since(Version::default()),
            CatalogUpdate::Image(_)
        ),
        "a peer that is too far behind gets an image"
    );
}

/// Guards against an answer after its target latency although enough shards have answered, and
/// against waiting for the remaining shards when they can no longer make up the minimum.
#[test]
fn an_answer_meets_its_target_latency_and_a_failure_is_immediate() {
    let schedule = FanoutSchedule::gather(150_000, 1_500_000, CallLatency::new(150_000));
    let enough = ShardCounts {
        parts: 9,
        open: 1,
        on_time: 1,
        min_parts: 9,
    };
    assert_eq!(enough.step(&schedule, 149_000), FanoutDecision::Answer);
    assert_eq!(enough.step(&schedule, 100_000), FanoutDecision::Wait);
    let unreachable = ShardCounts { parts: 7, ..enough };
    assert_eq!(unreachable.step(&schedule, 1), FanoutDecision::GiveUp);
    let late = ShardCounts { parts: 8, ..enough };
    assert_eq!(
        late.step(&schedule, 400_000),
        FanoutDecision::Wait,
        "a late answer is still useful"
    );
    assert_eq!(late.step(&schedule, 1_500_000), FanoutDecision::GiveUp);
}

/// Guards against hedges that are sent too late to affect the answer. A hedge needs the usual call
/// time before partial answers are due, yet must not be sent before most first calls have ended.
#[test]
fn hedges_leave_time_for_their_answer() {
    let mut times = CallLatency::new(150_000);
    for _ in 0..500 {
        times.record(20_000);
    }
    let schedule = FanoutSchedule::gather(150_000, 1_500_000, times);
    assert!(
        schedule.hedge_us + 20_000 < schedule.partial_response_us,
        "{schedule:?}"
    );
    assert!(schedule.hedge_us >= 40_000, "{schedule:?}");
}

/// Guards against a leaf that fails half of its calls being preferred over a loaded leaf. Its
/// errors are fast and each success resets its consecutive failures, so only the failure rate shows
/// them.
#[test]
fn a_leaf_that_fails_half_of_its_calls_costs_more_than_a_loaded_one() {
    let mut failing = LeafStats::default();
    let mut loaded = LeafStats::default();
    let mut now_us = 0;
    for number in 0..40 {
        now_us += 30_000;
        let call = failing.start_call(now_us);
        if number % 2 == 0 {
            failing.record_error_reply(call, now_us + 2_000);
        } else {
            failing.record_success(call, now_us + 20_000, 0);
        }
        let call = loaded.start_call(now_us);
        loaded.record_success(call, now_us + 25_000, 0);
    }
    loaded.start_call(now_us);
    assert!(failing.expected_us(3, now_us) > loaded.expected_us(3, now_us));
    assert!(failing.failure_rate_ppm(now_us / 1_000) > 300_000);
    let later_ms = now_us / 1_000 + 20_000;
    assert!(
        failing.failure_rate_ppm(later_ms) < 5_000,
        "the failure rate of an unused leaf decays"
    );
}

/// Guards against further calls to a stalled leaf. Its open call has not failed yet, so the age of
/// the call has to reveal the stall.
#[test]
fn a_stalled_leaf_is_avoided_before_its_call_ends() {
    let mut leaf_stats = LeafStats::default();
    for number in 0..20 {
        let call = leaf_stats.start_call(number * 30_000);
        leaf_stats.record_success(call, number * 30_000 + 20_000, 0);
    }
    leaf_stats.start_call(1_000_000);
    assert!(!leaf_stats.is_stalled(1_030_000));
    assert!(leaf_stats.is_stalled(1_070_000));
}

/// Feeds predictors with the stalls of leaves that pause regularly, 70 % of which are observed, and
/// with random stalls at probability `noise` per pause.
fn observe_simulated_stalls(
    leaf_count: usize,
    seconds: u64,
    noise: f64,
    seed: u64,
) -> (Vec<PausePredictor>, PausePeriod) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pause_period = PausePeriod::default();
    let mut predictors = vec![PausePredictor::default(); leaf_count];
    let mut stalls: Vec<(u64, usize, Stall)> = Vec::new();
    for leaf in 0..leaf_count {
        let phase_us = phase_us(leaf);
        for pause in 0..seconds * 1_000_000 / PAUSE_PERIOD_US {
            let end_us = phase_us + pause * PAUSE_PERIOD_US;
            let end_us = end_us + rng.random_range(0..15_000);
            let seen_us = rng.random_range(80_000..PAUSE_US);
            let start_us = end_us.saturating_sub(seen_us);
            if rng.random_bool(0.7) {
                stalls.push((end_us, leaf, Stall { start_us, end_us }));
            }
            if rng.random_bool(noise) {
                let end_us = end_us + rng.random_range(200_000..4_000_000);
                let start_us = end_us - 90_000;
                stalls.push((end_us, leaf, Stall { start_us, end_us }));
            }
        }
    }
    stalls.sort_by_key(|(end_us, leaf, _)| (*end_us, *leaf));
    for (_, leaf, stall) in stalls {
        predictors[leaf].observe(stall, &mut pause_period);
    }
    (predictors, pause_period)
}

fn phase_us(leaf: usize) -> u64 {
    1_000_000 + (leaf as u64 * 777_000) % PAUSE_PERIOD_US
}

/// Guards against a pause period estimated as a fraction or a multiple of the true one, which match
/// the same pauses, with and without random stalls.
#[test]
fn the_period_of_regular_pauses_is_found() {
    for (noise, seed) in [(0.0, 1), (0.3, 2), (1.0, 3), (0.3, 4)] {
        let (predictors, pause_period) = observe_simulated_stalls(12, 60, noise, seed);
        let period_us = pause_period
            .period_us()
            .expect("a pause period is estimated");
        let error_us = period_us.abs_diff(PAUSE_PERIOD_US);
        assert!(
            error_us < 10_000,
            "noise {noise}, seed {seed}: period {period_us} us"
        );
        let now_us = 63_000_000;
        let mut predicted_count = 0;
        for (leaf, pause_predictor) in predictors.iter().enumerate() {
            let since_us = (now_us - phase_us(leaf)) % PAUSE_PERIOD_US;
            let in_pause_us = now_us - since_us + PAUSE_PERIOD_US - PAUSE_US / 2;
            let predicted = pause_predictor.pause_left_us(in_pause_us, 10_000, &pause_period);
            predicted_count += usize::from(predicted.is_some());
        }
        assert!(
            predicted_count >= 9,
            "noise {noise}, seed {seed}: {predicted_count} of 12 pauses predicted"
        );
    }
}

/// Guards against a fraction of the period being estimated first, and against phases that are known
/// only after the second pause of each leaf. Single calls with much work look like pauses, but only
/// one VM observes each of them, whereas several VMs observe a pause.
#[test]
fn pauses_that_several_vms_observed_are_known_after_one_period() {
    const LEAVES: usize = 108;
    const OBSERVED_US: u64 = 6_500_000;
    let mut rng = StdRng::seed_from_u64(11);
    let mut stalls: Vec<(u64, usize, Stall)> = Vec::new();
    for leaf in 0..LEAVES {
        let mut end_us = phase_us(leaf) % PAUSE_PERIOD_US + 200_000;
        while end_us < OBSERVED_US {
            for _ in 0..rng.random_range(2..5) {
                let seen_us = end_us + rng.random_range(0..30_000);
                let start_us = end_us - rng.random_range(75_000..PAUSE_US);
                stalls.push((
                    seen_us,
                    leaf,
                    Stall {
                        start_us,
                        end_us: seen_us,
                    },
                ));
            }
            end_us += PAUSE_PERIOD_US;
        }
        // One call in a hundred takes five times as long: about two per pause period.
        for _ in 0..3 {
            let end_us = rng.random_range(200_000..OBSERVED_US);
            let start_us = end_us - 90_000;
            stalls.push((end_us, leaf, Stall { start_us, end_us }));
        }
    }
    stalls.sort_by_key(|(end_us, leaf, _)| (*end_us, *leaf));
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let records: Vec<LeafRecord> = (0..LEAVES)
        .map(|leaf| LeafRecord {
            address: ([127, 0, 0, 1], 7_000 + u16::try_from(leaf).unwrap()).into(),
            ..record(&format!("i-{leaf}"))
        })
        .collect();
    leaves.update(records.iter(), &mut names, 0);
    let mut keys = std::collections::HashMap::new();
    for (key, leaf) in leaves.iter() {
        keys.insert(leaf.address().port(), key);
    }
    for (_, leaf, stall) in stalls {
        leaves.observe_stall(keys[&(7_000 + u16::try_from(leaf).unwrap())], stall);
        if let Some(period_us) = leaves.pause_period().period_us() {
            let error_us = period_us.abs_diff(PAUSE_PERIOD_US);
            assert!(error_us < 30_000, "period {period_us} us was estimated");
        }
    }
    let mut predicted_count = 0;
    for leaf in 0..LEAVES {
        let key = keys[&(7_000 + u16::try_from(leaf).unwrap())];
        let first_end_us = phase_us(leaf) % PAUSE_PERIOD_US + 200_000;
        let pauses = (OBSERVED_US - first_end_us) / PAUSE_PERIOD_US + 1;
        let in_pause_us = first_end_us + pauses * PAUSE_PERIOD_US - PAUSE_US / 2;
        let pause_predictor = &leaves.get(key).unwrap().pause_predictor;
        let predicted = pause_predictor.pause_left_us(in_pause_us, 10_000, leaves.pause_period());
        predicted_count += usize::from(predicted.is_some());
    }
    assert!(
        predicted_count * 10 >= LEAVES * 9,
        "{predicted_count} of {LEAVES} pauses predicted"
    );
}

/// Guards against predicted pauses when all stalls are random, which would make the gateway avoid
/// healthy leaves.
#[test]
fn stalls_by_chance_predict_nothing() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut pause_period = PausePeriod::default();
    let mut predictors = vec![PausePredictor::default(); 12];
    let mut now_us = 1_000_000;
    for _ in 0..200 {
        now_us += rng.random_range(20_000..600_000);
        let stall = Stall {
            start_us: now_us - 90_000,
            end_us: now_us,
        };
        predictors[rng.random_range(0..12)].observe(stall, &mut pause_period);
    }
    assert_eq!(pause_period.period_us(), None);
}

/// Guards against calls to a leaf whose address has been taken over by another process, which a
/// change of the catalog must not put back into use, and against a restarted leaf that stays
/// unused.
#[test]
fn a_leaf_whose_address_another_has_stays_out_of_use() {
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let registered = record("i-1");
    leaves.update([&registered].into_iter(), &mut names, 0);
    let service = names.intern("sheets");
    let limits = ConnectionLimits::default();
    let choose =
        |leaves: &Leaves, now_ms: u64| leaves.choose(service, &[], &limits, now_ms * 1_000);
    let key = choose(&leaves, 50).unwrap();
    leaves.mark_misdirected(key, 100);
    assert_eq!(choose(&leaves, 150), Err(NoLeafError::NoneAvailable));
    leaves.update([&registered].into_iter(), &mut names, 200);
    assert_eq!(
        choose(&leaves, 200),
        Err(NoLeafError::NoneAvailable),
        "the record has not changed"
    );
    assert_eq!(
        choose(&leaves, 5_100),
        Ok(key),
        "the leaf is tried again later, since one answer may be wrong"
    );
    leaves.mark_misdirected(key, 6_000);
    let mut restarted = registered;
    restarted.started_unix_ms += 1;
    leaves.update([&restarted].into_iter(), &mut names, 6_100);
    assert!(choose(&leaves, 6_100).is_ok(), "the leaf was restarted");
}

/// Guards against configurations that stay in the history of the catalog, one for each change, until the
/// process exceeds its memory.
#[test]
fn history_for_peers_holds_one_configuration_and_bounded_leaf_changes() {
    let mut catalog = Catalog::default();
    for revision in 1..=100 {
        let published = Change::Document(document(revision, vec![route("all", "/a/")]));
        catalog.apply(changes(vec![published], revision), 0);
    }
    let CatalogUpdate::Changes(update) = catalog.update_since(Version {
        epoch: 0,
        revision: 10,
    }) else {
        panic!("90 changes are in the history");
    };
    assert_eq!(
        update.changes,
        [Change::Document(document(100, vec![route("all", "/a/")]))]
    );
    let mut peer = Catalog::default();
    for revision in 101..=200 {
        let ids = (0..200).map(|number| format!("{revision}-{number}-{}", "i".repeat(200)));
        let records = ids.map(|id| Change::Leaf(record(&id)));
        catalog.apply(changes(records.collect(), revision), 0);
    }
    assert!(catalog.history_bytes() <= 1_048_576);
    peer.update(
        catalog.update_since(Version {
            epoch: 0,
            revision: 10,
        }),
        0,
    );
    assert_eq!(peer.document(), catalog.document());
    assert!(peer.leaves().eq(catalog.leaves()));
}
