//! Limits that leaves name on the rate of their calls: how several VMs share them, and what callers
//! get who exceed them.

#![allow(clippy::unwrap_used, reason = "an unexpected error fails the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use cloverrack::gateway::rate_limit::{MAX_WAIT_US, parse_rate};
use cloverrack::gateway::{RateLimit, RateReport, RateUsage, SharingVms};
use gateway::{Leaf, LeafBehaviour, TestGateway, gather_route, single_route};
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Window in which the platform counts the requests to a leaf.
const WINDOW_MS: u64 = 4_000;

/// Calls allowed in a window: one and a half times the rate, and five.
const WINDOW_RATE_PERCENT: u64 = 150;
const WINDOW_SLACK_CALLS: u64 = 5;

/// Time after the limit was named from which it counts: `StableMs`.
const STABLE_MS: u64 = 4_000;

/// Interval and delay of the reports between VMs, and share of them that is lost.
const REPORT_INTERVAL_MS: u64 = 60;
const REPORT_DELAY_MS: u64 = 2;
const REPORT_LOSS: f64 = 0.1;

/// Share of the rate that VMs have to use if their callers send enough.
const MIN_USED_PERCENT: u64 = 85;

/// State of a VM at a time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Condition {
    Running,
    /// Neither sends calls nor hears or sends reports.
    Frozen,
    /// Sends calls, and neither hears nor sends reports.
    CutOff,
}

/// VMs that share the rate of one leaf, on a virtual clock in milliseconds.
struct Fleet {
    limits: Vec<RateLimit>,
    sharing: Vec<SharingVms>,
    conditions: Vec<Condition>,
    /// Requests per second of the callers of each VM.
    demands: Vec<f64>,
    /// Send times of the calls of each VM.
    sent_ms: Vec<Vec<u64>>,
    in_transit: Vec<(u64, usize, usize, RateUsage)>,
    rng: StdRng,
}

impl Fleet {
    fn new(demands: &[f64], rate_per_s: u64, seed: u64) -> Self {
        let vms = demands.len();
        let mut sharing = vec![SharingVms::default(); vms];
        for shared in &mut sharing {
            shared.set_live(vms as u32, 0);
        }
        Self {
            limits: vec![RateLimit::new(rate_per_s * 1_000, 0); vms],
            sharing,
            conditions: vec![Condition::Running; vms],
            demands: demands.to_vec(),
            sent_ms: vec![Vec::new(); vms],
            in_transit: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays the time from `from_ms` to `to_ms`.
    fn play(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in from_ms..to_ms {
            self.exchange_reports(now_ms);
            for vm in 0..self.limits.len() {
                if self.conditions[vm] == Condition::Frozen
                    || !self.rng.random_bool(self.demands[vm] / 1_000.0)
                {
                    continue;
                }
                let vms = self.sharing[vm].count();
                let wait_us = self.limits[vm].wait_us(now_ms * 1_000, vms);
                if let Some(wait_us) = wait_us.filter(|wait_us| *wait_us <= MAX_WAIT_US) {
                    self.limits[vm].reserve(now_ms * 1_000, vms);
                    self.sent_ms[vm].push(now_ms + wait_us / 1_000);
                }
            }
        }
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        let vms = self.limits.len();
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            for from in 0..vms {
                if self.conditions[from] != Condition::Running {
                    continue;
                }
                let usage = self.limits[from].usage(now_ms * 1_000);
                for to in (0..vms).filter(|to| *to != from) {
                    if !self.rng.random_bool(REPORT_LOSS) {
                        self.in_transit
                            .push((now_ms + REPORT_DELAY_MS, from, to, usage));
                    }
                }
            }
        }
        let arrived = self
            .in_transit
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms);
        for (_, from, to, usage) in arrived.collect::<Vec<_>>() {
            if self.conditions[to] == Condition::Running {
                let peer = IpAddr::from([10, 0, 0, from as u8]);
                let count = self.sharing[to].count();
                self.limits[to].apply_usage(peer, &usage, now_ms * 1_000, count);
            }
        }
    }

    /// Tells each VM which others are live: all in the same condition as itself.
    fn detect_failures(&mut self, now_ms: u64) {
        for vm in 0..self.limits.len() {
            let mut conditions = self.conditions.iter();
            let live = match self.conditions[vm] {
                Condition::CutOff => 1,
                _ => conditions
                    .by_ref()
                    .filter(|condition| **condition == Condition::Running)
                    .count(),
            };
            self.sharing[vm].set_live(live as u32, now_ms);
        }
    }

    /// Returns the calls that arrive between two times.
    fn calls(&self, from_ms: u64, to_ms: u64) -> u64 {
        let sent = self.sent_ms.iter().flatten();
        sent.filter(|at_ms| (from_ms..to_ms).contains(*at_ms))
            .count() as u64
    }

    /// Asserts that no window from `from_ms` on holds more calls than allowed.
    fn assert_within(&self, rate_per_s: u64, from_ms: u64, to_ms: u64) {
        let allowed =
            rate_per_s * WINDOW_MS / 1_000 * WINDOW_RATE_PERCENT / 100 + WINDOW_SLACK_CALLS;
        for start_ms in from_ms..to_ms.saturating_sub(WINDOW_MS) {
            let calls = self.calls(start_ms, start_ms + WINDOW_MS);
            assert!(
                calls <= allowed,
                "{calls} calls from {start_ms} ms on, {allowed} allowed"
            );
        }
    }

    /// Asserts that callers get most of the rate between two times.
    fn assert_used(&self, rate_per_s: u64, from_ms: u64, to_ms: u64) {
        let wanted = rate_per_s * (to_ms - from_ms) / 1_000 * MIN_USED_PERCENT / 100;
        let calls = self.calls(from_ms, to_ms);
        assert!(calls >= wanted, "{calls} calls, {wanted} wanted");
    }
}

/// Guards against VMs that each use the whole rate, and against a rate that stays unused.
#[test]
fn all_vms_together_keep_to_the_rate_and_use_it() {
    for (vms, rate_per_s) in [(1, 30), (7, 30), (7, 3), (12, 16), (12, 200), (30, 40)] {
        // Enough that a caller comes soon after a call has become available.
        let demand = 2.5 * rate_per_s as f64 + 20.0;
        let demands = vec![demand / f64::from(vms); vms as usize];
        let mut fleet = Fleet::new(&demands, rate_per_s, 1);
        fleet.play(0, 20_000);
        fleet.assert_within(rate_per_s, STABLE_MS, 20_000);
        fleet.assert_used(rate_per_s, STABLE_MS, 20_000);
    }
}

/// Guards against fixed shares: the VM that has the callers gets the rate.
#[test]
fn the_rate_follows_the_callers() {
    let mut fleet = Fleet::new(&[90.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], 30, 2);
    fleet.play(0, 10_000);
    fleet.assert_used(30, 2_000, 10_000);
    fleet.demands = vec![0.0, 0.0, 0.0, 0.0, 90.0, 0.0, 0.0];
    fleet.play(10_000, 20_000);
    fleet.assert_used(30, 11_000, 20_000);
    fleet.assert_within(30, STABLE_MS, 20_000);
}

/// Guards against VMs on both sides of a cut that use the whole rate.
#[test]
fn vms_that_are_cut_off_keep_to_their_shares() {
    for cut_off in [1, 3] {
        let mut fleet = Fleet::new(&[30.0; 7], 30, 3);
        fleet.play(0, 6_000);
        for vm in 0..cut_off {
            fleet.conditions[vm] = Condition::CutOff;
        }
        fleet.play(6_000, 7_200);
        fleet.detect_failures(7_200);
        fleet.play(7_200, 18_000);
        fleet.conditions = vec![Condition::Running; 7];
        fleet.detect_failures(18_000);
        fleet.play(18_000, 26_000);
        fleet.assert_within(30, STABLE_MS, 26_000);
        fleet.assert_used(30, 8_000, 26_000);
    }
}

/// Guards against calls that are saved during a freeze, and a share that nobody uses.
#[test]
fn frozen_vms_save_no_calls() {
    let mut fleet = Fleet::new(&[30.0; 7], 30, 4);
    fleet.play(0, 6_000);
    fleet.conditions[0] = Condition::Frozen;
    fleet.conditions[1] = Condition::Frozen;
    fleet.play(6_000, 7_200);
    fleet.detect_failures(7_200);
    fleet.play(7_200, 12_000);
    fleet.assert_used(30, 7_500, 12_000);
    fleet.conditions = vec![Condition::Running; 7];
    fleet.play(12_000, 13_000);
    fleet.detect_failures(13_000);
    fleet.play(13_000, 20_000);
    fleet.assert_within(30, STABLE_MS, 20_000);
}

/// Guards against calls by restarted VMs that know nothing of the calls of the others.
#[test]
fn restarted_vms_start_without_calls() {
    let mut fleet = Fleet::new(&[30.0; 7], 30, 5);
    for (vm, at_ms) in (0..7).zip((6_000..).step_by(800)) {
        fleet.play(at_ms - 800, at_ms);
        fleet.limits[vm] = RateLimit::new(30_000, at_ms * 1_000);
    }
    fleet.play(10_800, 18_000);
    fleet.assert_within(30, 6_000, 18_000);
    fleet.assert_used(30, 6_000, 18_000);
}

/// Guards against calls that are saved while callers send none.
#[test]
fn an_idle_time_saves_few_calls() {
    let mut fleet = Fleet::new(&[0.0; 7], 30, 7);
    fleet.play(0, 8_000);
    fleet.demands = vec![60.0; 7];
    fleet.play(8_000, 14_000);
    fleet.assert_within(30, STABLE_MS, 14_000);
}

/// Guards against calls after the end of a limit that are deducted from it once it is named again.
#[test]
fn calls_between_two_limits_do_not_count() {
    let mut limit = RateLimit::new(30_000, 0);
    limit.record_answer(None, 1_000_000, 1);
    for number in 0..1_000 {
        limit.reserve(1_000_000 + number * 1_000, 1);
    }
    limit.record_answer(Some(30_000), 3_000_000, 1);
    let wait_us = limit.wait_us(3_000_000, 1).unwrap();
    assert!(wait_us <= 40_000, "{wait_us}");
}

/// Guards against VMs that keep a limit which has changed or ended, although other VMs know so.
#[test]
fn a_change_reaches_all_vms() {
    let mut fleet = Fleet::new(&[40.0; 7], 60, 6);
    fleet.play(0, 8_000);
    let vms = 7;
    fleet.limits[3].record_answer(Some(20_000), 8_000_000, vms);
    fleet.play(8_000, 16_000);
    fleet.assert_within(20, 8_500, 16_000);
    fleet.assert_used(20, 8_500, 16_000);
    fleet.limits[5].record_answer(None, 16_000_000, vms);
    fleet.play(16_000, 20_000);
    for limit in &fleet.limits {
        assert!(!limit.is_active());
    }
    assert!(fleet.calls(17_000, 20_000) > 700, "the limit has ended");
}

/// Guards against malformed limits that stop all calls, or count as none although they are large.
#[test]
fn malformed_rates_are_ignored() {
    for text in ["", "nan", "inf", "-0.5", "1,5", "12/s"] {
        assert_eq!(parse_rate(text), None, "{text}");
    }
    assert_eq!(parse_rate(" 0.25 "), Some(250));
    assert!(parse_rate("1e300").unwrap() >= 1_000_000_000);
    assert_eq!(parse_rate("0"), Some(0));
    let limit = RateLimit::new(0, 0);
    assert_eq!(limit.wait_us(5_000_000, 1), None);
}

/// Returns a gateway with a service of one leaf that has named a limit of `rate_per_s`, and the leaf.
async fn limited_gateway(rate_per_s: u64, idempotent: bool) -> (TestGateway, Leaf) {
    let test_gateway = TestGateway::spawn().await;
    let leaf = Leaf::spawn("limited", 1, LeafBehaviour::Answer).await;
    leaf.set_rate_limit(Some(&rate_per_s.to_string()));
    let routes = vec![
        single_route("/a/", "s", idempotent, 3),
        gather_route("/g/", &["s", "other"], 1_000_000),
    ];
    let other = Leaf::spawn("other", 1, LeafBehaviour::Answer).await;
    test_gateway.publish(1, routes, &[("s", &leaf), ("other", &other)]);
    assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    (test_gateway, leaf)
}

/// Guards against calls beyond the rate, and requests that wait although they fail in the end.
#[tokio::test]
async fn requests_beyond_the_rate_are_rejected_at_once() {
    for path in ["/a/x", "/g/x"] {
        let (test_gateway, leaf) = limited_gateway(10, true).await;
        let before = leaf.executed();
        let started = Instant::now();
        let mut rejected = 0;
        while started.elapsed() < Duration::from_secs(2) {
            let sent = Instant::now();
            let reply = test_gateway.get(path).await;
            if reply.status == StatusCode::OK {
                continue;
            }
            assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let retry_after = reply.headers["retry-after"].to_str().unwrap();
            assert!(retry_after.parse::<f64>().unwrap() > 0.0);
            assert!(sent.elapsed() < Duration::from_millis(250), "{path}");
            rejected += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let executed = leaf.executed() - before;
        assert!(rejected > 0);
        assert!((16..=24).contains(&executed), "{path}: {executed} in 2 s");
    }
}

/// Guards against retries and hedges that exceed the limit of the leaf which gets them.
#[tokio::test]
async fn extra_calls_keep_to_the_rate() {
    for behaviour in [LeafBehaviour::Fail, LeafBehaviour::Slow(400)] {
        let (test_gateway, limited) = limited_gateway(5, true).await;
        let preferred = Leaf::spawn("preferred", 1, LeafBehaviour::Answer).await;
        let leaves = [("s", &limited), ("s", &preferred)];
        let routes = vec![single_route("/a/", "s", true, 3)];
        test_gateway.publish(2, routes, &leaves);
        // Earns the budget for extra calls.
        for _ in 0..40 {
            test_gateway.get("/a/x").await;
        }
        preferred.set(behaviour);
        let before = limited.executed();
        let started = Instant::now();
        let requests = (0..24).map(|_| test_gateway.get("/a/x"));
        futures_util::future::join_all(requests).await;
        let allowed = 5 * started.elapsed().as_millis() as usize / 1_000 + 2;
        let executed = limited.executed() - before;
        assert!(executed <= allowed, "{behaviour:?}: {executed}, {allowed}");
    }
}

/// Guards against limits that outlast their naming or process, or that other VMs do not learn.
#[tokio::test]
async fn limits_are_shared_and_end() {
    let (test_gateway, leaf) = limited_gateway(5, false).await;
    let other_vm = TestGateway::spawn().await;
    let routes = vec![single_route("/a/", "s", false, 1)];
    other_vm.publish(1, routes.clone(), &[("s", &leaf)]);
    let address = IpAddr::from([10, 0, 0, 9]);
    let now_us = cloverrack::clock::boot_us();
    let reports: Vec<RateReport> = test_gateway.engine.rate_reports();
    assert_eq!(reports.len(), 1);
    other_vm
        .engine
        .apply_rate_reports(address, &reports, now_us);
    let statuses = futures_util::future::join_all((0..10).map(|_| other_vm.get("/a/x"))).await;
    let rejected = statuses
        .iter()
        .filter(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE);
    assert!(rejected.count() >= 8, "the other VM has no answer yet");
    leaf.set_rate_limit(None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
    for _ in 0..10 {
        assert_eq!(other_vm.get("/a/x").await.status, StatusCode::OK);
    }
    let reports = other_vm.engine.rate_reports();
    test_gateway
        .engine
        .apply_rate_reports(address, &reports, cloverrack::clock::boot_us());
    for _ in 0..10 {
        assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    }
    leaf.set_rate_limit(Some("0"));
    assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
    let refused = test_gateway.get("/a/x").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let successor = Leaf::spawn("successor", 1, LeafBehaviour::Answer).await;
    let removed = cloverrack::gateway::ChangeSet {
        changes: vec![
            cloverrack::gateway::Change::LeafRemoved("limited".into()),
            cloverrack::gateway::Change::Leaf(successor.record("s")),
        ],
        epoch: 0,
        revision: 5,
    };
    test_gateway.engine.state().catalog.apply(removed, 0);
    test_gateway.engine.refresh();
    assert_eq!(test_gateway.get("/a/x").await.status, StatusCode::OK);
}
