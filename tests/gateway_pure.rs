//! Decisions of the gateway that need no network.

use std::collections::HashMap;

use cloverrack::ServiceKey;
use cloverrack::gateway::{
    CallLatency, CallerLimits, Catalog, CatalogImage, CatalogUpdate, Change, ChangeSet,
    ConnectionLimits, Destination, FanoutDecision, FanoutSchedule, LeafRecord, LeafStats, Leaves,
    NoLeafError, PausePeriod, PausePredictor, RouteDocument, RouteSpec, RouteTable, ServiceNames,
    ShardCounts, Stall, pick_weighted,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Interval between the pauses of the modelled leaves.
const PAUSE_INTERVAL_US: u64 = 4_500_000;

/// Duration of a modelled pause.
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
        routes,
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
    ChangeSet { changes, revision }
}

/// Guards against a shorter prefix that hides a longer one, and against a prefix that matches within
/// a segment.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("all", "/a/"), route("part", "/a/b/")];
    let table = RouteTable::compile(document(1, routes), &mut ServiceNames::default());
    let found = |host, path| table.find(host, path).map(|route| &*route.spec.name);
    assert_eq!(found("desk.example", "/a/b/c"), Some("part"));
    assert_eq!(found("desk.example", "/a/bc"), Some("all"));
    assert_eq!(found("desk.example", "/a"), None);
    assert_eq!(found("other.example", "/a/b/c"), None);
}

/// Guards against parts that get another share than their weight.
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

/// Guards against an accepted configuration that reverts, by a late change or by a stale image.
#[test]
fn a_configuration_never_reverts() {
    let mut catalog = Catalog::default();
    catalog.apply(changes(vec![Change::Document(document(7, vec![]))], 10), 0);
    catalog.apply(changes(vec![Change::Document(document(5, vec![]))], 11), 0);
    assert_eq!(catalog.document().map(|d| d.version), Some(7));
    let stale = CatalogImage {
        revision: 4,
        document: Some(document(9, vec![])),
        leaves: vec![],
    };
    assert!(!catalog.replace(stale, 0).document);
    assert_eq!(catalog.document().map(|d| d.version), Some(7));
}

/// Guards against the loss of all leaves when their entries lapsed while the platform was away.
#[test]
fn lapsed_entries_are_kept_for_a_moment_after_an_outage() {
    let mut catalog = Catalog::default();
    let mut leaving = record("leaving");
    leaving.draining = true;
    let first = vec![Change::Leaf(record("kept")), Change::Leaf(leaving)];
    catalog.apply(changes(first, 1), 0);
    catalog.platform_recovered(1_000);
    let empty = CatalogImage {
        revision: 2,
        document: None,
        leaves: vec![],
    };
    catalog.replace(empty, 1_000);
    assert_eq!(
        leaves(&catalog),
        ["kept".into()],
        "a draining leaf is gone at once"
    );
    catalog.expire(3_299);
    assert_eq!(leaves(&catalog), ["kept".into()]);
    assert!(
        catalog.expire(3_300).leaves,
        "a leaf that does not come back is gone"
    );
    assert!(leaves(&catalog).is_empty());
}

/// Guards against a removed leaf that stays in use without an outage.
#[test]
fn a_removed_leaf_is_gone_at_once() {
    let mut catalog = Catalog::default();
    catalog.apply(changes(vec![Change::Leaf(record("x"))], 1), 0);
    catalog.apply(changes(vec![Change::LeafRemoved("x".into())], 2), 10);
    assert!(leaves(&catalog).is_empty());
}

/// Guards against a peer that ends in another state because changes come to it twice or begin before
/// its own revision.
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
            let update = ahead.since(behind.revision());
            behind.update(update, 0);
            assert_eq!(leaves(&behind), leaves(&ahead));
            assert_eq!(behind.revision(), ahead.revision());
        }
    }
    assert_eq!(ahead.since(ahead.revision()), CatalogUpdate::Nothing);
    assert!(
        matches!(ahead.since(0), CatalogUpdate::Image(_)),
        "old changes are dropped"
    );
}

/// Guards against a late answer although enough shards are there, and against a wait for shards that
/// can no longer make up enough.
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
    let hopeless = ShardCounts { parts: 7, ..enough };
    assert_eq!(hopeless.step(&schedule, 1), FanoutDecision::GiveUp);
    let late = ShardCounts { parts: 8, ..enough };
    assert_eq!(
        late.step(&schedule, 400_000),
        FanoutDecision::Wait,
        "a late answer still has a worth"
    );
    assert_eq!(late.step(&schedule, 1_500_000), FanoutDecision::GiveUp);
}

/// Guards against second calls that come too late to change the answer.
#[test]
fn hedges_leave_time_for_their_answer() {
    let mut times = CallLatency::new(150_000);
    for _ in 0..500 {
        times.record(20_000);
    }
    let schedule = FanoutSchedule::gather(150_000, 1_500_000, times);
    assert!(
        schedule.hedge_us + 20_000 < schedule.partial_us,
        "{schedule:?}"
    );
    assert!(schedule.hedge_us >= 40_000, "{schedule:?}");
}

/// Guards against a leaf that fails a share of its calls and looks sound after each success.
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
        "an unused leaf is tried again"
    );
}

/// Guards against further calls to a leaf that has stopped.
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

/// Feeds the stalls of leaves that pause regularly, of which a share is seen, and stalls by chance.
fn observe_simulated_stalls(
    leaf_count: usize,
    seconds: u64,
    noise: f64,
    seed: u64,
) -> (Vec<PausePredictor>, PausePeriod) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pause_period = PausePeriod::default();
    let mut rhythms = vec![PausePredictor::default(); leaf_count];
    let mut stalls: Vec<(u64, usize, Stall)> = Vec::new();
    for leaf in 0..leaf_count {
        let phase_us = phase_us(leaf);
        for pause in 0..seconds * 1_000_000 / PAUSE_INTERVAL_US {
            let end_us = phase_us + pause * PAUSE_INTERVAL_US;
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
        rhythms[leaf].observe(stall, &mut pause_period);
    }
    (rhythms, pause_period)
}

fn phase_us(leaf: usize) -> u64 {
    1_000_000 + (leaf as u64 * 777_000) % PAUSE_INTERVAL_US
}

/// Guards against an interval that wanders to a part or a multiple of the true one, with and without
/// stalls by chance.
#[test]
fn the_interval_of_regular_pauses_is_found() {
    for (noise, seed) in [(0.0, 1), (0.3, 2), (1.0, 3), (0.3, 4)] {
        let (rhythms, pause_period) = observe_simulated_stalls(12, 60, noise, seed);
        let period_us = pause_period.period_us().expect("an interval is believed");
        let off_us = period_us.abs_diff(PAUSE_INTERVAL_US);
        assert!(off_us < 10_000, "noise {noise}, seed {seed}: {period_us}");
        let now_us = 63_000_000;
        let mut right = 0;
        for (leaf, pause_predictor) in rhythms.iter().enumerate() {
            let since_us = (now_us - phase_us(leaf)) % PAUSE_INTERVAL_US;
            let in_pause_us = now_us - since_us + PAUSE_INTERVAL_US - PAUSE_US / 2;
            let predicted = pause_predictor.pause_left_us(in_pause_us, 10_000, &pause_period);
            right += usize::from(predicted.is_some());
        }
        assert!(right >= 9, "noise {noise}, seed {seed}: {right} of 12");
    }
}

/// Guards against a part of the interval that is believed first, and against phases that are known
/// only after the second pause of each leaf, while single calls with much work look like pauses.
#[test]
fn pauses_that_several_vms_saw_are_known_after_one_interval() {
    const LEAVES: usize = 108;
    const LEARNED_US: u64 = 6_500_000;
    let mut rng = StdRng::seed_from_u64(11);
    let mut stalls: Vec<(u64, usize, Stall)> = Vec::new();
    for leaf in 0..LEAVES {
        let mut end_us = phase_us(leaf) % PAUSE_INTERVAL_US + 200_000;
        while end_us < LEARNED_US {
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
            end_us += PAUSE_INTERVAL_US;
        }
        // One call in a hundred takes five times as long: some two in an interval.
        for _ in 0..3 {
            let end_us = rng.random_range(200_000..LEARNED_US);
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
            let off_us = period_us.abs_diff(PAUSE_INTERVAL_US);
            assert!(off_us < 30_000, "{period_us} is believed");
        }
    }
    let mut right = 0;
    for leaf in 0..LEAVES {
        let key = keys[&(7_000 + u16::try_from(leaf).unwrap())];
        let first_end_us = phase_us(leaf) % PAUSE_INTERVAL_US + 200_000;
        let pauses = (LEARNED_US - first_end_us) / PAUSE_INTERVAL_US + 1;
        let in_pause_us = first_end_us + pauses * PAUSE_INTERVAL_US - PAUSE_US / 2;
        let pause_predictor = &leaves.get(key).unwrap().pause_predictor;
        let predicted = pause_predictor.pause_left_us(in_pause_us, 10_000, leaves.pause_period());
        right += usize::from(predicted.is_some());
    }
    assert!(right * 10 >= LEAVES * 9, "{right} of {LEAVES}");
}

/// Guards against predictions where stalls come by chance only.
#[test]
fn stalls_by_chance_predict_nothing() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut pause_period = PausePeriod::default();
    let mut rhythms = vec![PausePredictor::default(); 12];
    let mut now_us = 1_000_000;
    for _ in 0..200 {
        now_us += rng.random_range(20_000..600_000);
        let stall = Stall {
            start_us: now_us - 90_000,
            end_us: now_us,
        };
        rhythms[rng.random_range(0..12)].observe(stall, &mut pause_period);
    }
    assert_eq!(pause_period.period_us(), None);
}

/// Guards against calls to a leaf whose address another process has, after each change of the
/// catalog, and against a leaf that started anew and stays out of use.
#[test]
fn a_leaf_whose_address_another_has_stays_out_of_use() {
    let mut names = ServiceNames::default();
    let mut leaves = Leaves::new("a".into());
    let held = record("i-1");
    leaves.update([&held].into_iter(), &mut names, 0);
    let service = names.intern("sheets");
    let limits = ConnectionLimits::default();
    let choose =
        |leaves: &Leaves, now_ms: u64| leaves.choose(service, &[], &limits, now_ms * 1_000);
    let key = choose(&leaves, 50).unwrap();
    leaves.mark_misdirected(key, 100);
    assert_eq!(choose(&leaves, 150), Err(NoLeafError::None));
    leaves.update([&held].into_iter(), &mut names, 200);
    assert_eq!(
        choose(&leaves, 200),
        Err(NoLeafError::None),
        "the same record"
    );
    assert_eq!(choose(&leaves, 5_100), Ok(key), "one answer may be false");
    leaves.mark_misdirected(key, 6_000);
    let mut restarted = held;
    restarted.started_unix_ms += 1;
    leaves.update([&restarted].into_iter(), &mut names, 6_100);
    assert!(choose(&leaves, 6_100).is_ok(), "another process");
}
