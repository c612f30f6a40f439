//! Admission by priority: a burst that exceeds what the leaves can serve, and normal load.
//!
//! Plays shards as queues with known work on a virtual clock, with six VMs that decide alone.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use cloverrack::ServiceKey;
use cloverrack::gateway::admission::{
    AdmissionDecision, AdmissionLimiter, AdmissionRequest, EndedRequest, Place, ReplyTimes,
};
use cloverrack::gateway::{CompletedRequest, ConcurrencyLimiter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const VMS: usize = 6;
const LEAF_SPEEDS: [f64; 3] = [0.8, 1.0, 1.3];
const LEAF_QUEUE: usize = 24;
const ROUND_TRIP_US: u64 = 1_000;

struct Route {
    name: &'static str,
    group: usize,
    rank: u32,
    per_s: f64,
    work_us: f64,
    target_us: u64,
    due_us: u64,
    deadline_us: u64,
    min_parts: usize,
}

/// Routes of the deployment `cards` in docs/hard-load.md.
const ROUTES: [Route; 3] = [
    Route {
        name: "urgent",
        group: 0,
        rank: 0,
        per_s: 36.4,
        work_us: 5e3,
        target_us: 50_000,
        due_us: 37_500,
        deadline_us: 600_000,
        min_parts: 31,
    },
    Route {
        name: "wide",
        group: 0,
        rank: 1,
        per_s: 62.9,
        work_us: 15e3,
        target_us: 150_000,
        due_us: 134_000,
        deadline_us: 1_200_000,
        min_parts: 35,
    },
    Route {
        name: "single",
        group: 1,
        rank: 2,
        per_s: 21.0,
        work_us: 120e3,
        target_us: 1_000_000,
        due_us: 1_000_000,
        deadline_us: 5_000_000,
        min_parts: 1,
    },
];

#[derive(Clone)]
struct Leaf {
    free_us: Vec<u64>,
    starts_us: Vec<u64>,
    speed: f64,
    slow_factor: f64,
    phase_us: u64,
}

impl Leaf {
    /// Returns the start and the end of a call that arrives now, or `None` if the queue is full.
    fn plan(&self, now_us: u64, work_us: f64, pauses: bool) -> Option<(u64, u64)> {
        let waiting = self
            .starts_us
            .iter()
            .filter(|start| **start > now_us)
            .count();
        if waiting >= LEAF_QUEUE {
            return None;
        }
        let mut start_us = now_us.max(*self.free_us.iter().min().unwrap());
        let in_cycle_us = (start_us + self.phase_us) % 3_600_000;
        if pauses && in_cycle_us < 150_000 {
            start_us += 150_000 - in_cycle_us;
        }
        Some((
            start_us,
            start_us + (work_us / self.speed * self.slow_factor) as u64,
        ))
    }

    fn take(&mut self, now_us: u64, (start_us, end_us): (u64, u64)) -> u64 {
        *self.free_us.iter_mut().min().unwrap() = end_us;
        self.starts_us.retain(|start| *start > now_us);
        self.starts_us.push(start_us);
        end_us + ROUND_TRIP_US - now_us
    }
}

/// Limiters of a VM: of this build, or the one for other configurations.
enum Limiter {
    Ranked(AdmissionLimiter),
    Unranked(ConcurrencyLimiter),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        route: usize,
        first_us: u64,
        is_retry: bool,
        is_returning: bool,
    },
    End {
        request: usize,
    },
    Expiry {
        request: usize,
    },
}

struct Request {
    route: usize,
    vm: usize,
    first_us: u64,
    arrived_us: u64,
    admitted_us: u64,
    is_retry: bool,
    place: Option<Place>,
    replied_us: Vec<u64>,
    is_waiting: bool,
}

/// Counts of requests by route.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    offered: u32,
    in_time: u32,
    late: u32,
    failed: u32,
    refused: u32,
    queued: u32,
}

/// A load that begins at 0 and ends after some seconds.
#[derive(Clone, Copy)]
struct Load {
    factor: f64,
    slow_share: f64,
    seconds: u64,
    ranked: bool,
    seed: u64,
}

struct Model {
    load: Load,
    rng: StdRng,
    groups: [Vec<Vec<Leaf>>; 2],
    limiters: Vec<Limiter>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    requests: Vec<Request>,
    waiting: HashMap<(usize, u64), usize>,
    outcomes: [Outcomes; 3],
    now_us: u64,
    sequence: usize,
}

impl Model {
    fn new(load: Load) -> Self {
        let mut rng = StdRng::seed_from_u64(load.seed);
        let mut leaf = |speed: f64, slots: usize| Leaf {
            free_us: vec![0; slots],
            starts_us: Vec::new(),
            speed,
            slow_factor: if rng.random_bool(load.slow_share) {
                6.0
            } else {
                1.0
            },
            phase_us: rng.random_range(0..3_600_000),
        };
        let shards = (0..36)
            .map(|_| LEAF_SPEEDS.map(|speed| leaf(speed, 4)).to_vec())
            .collect();
        let single = vec![
            (0..8)
                .map(|index| leaf(LEAF_SPEEDS[index % 3], 6))
                .collect(),
        ];
        let limiter = |_| match load.ranked {
            true => Limiter::Ranked(AdmissionLimiter::default()),
            false => Limiter::Unranked(ConcurrencyLimiter::default()),
        };
        Self {
            groups: [shards, single],
            limiters: (0..VMS).map(limiter).collect(),
            rng,
            load,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            waiting: HashMap::new(),
            outcomes: Default::default(),
            now_us: 0,
            sequence: 0,
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn play(mut self) -> [Outcomes; 3] {
        for (index, route) in ROUTES.iter().enumerate() {
            let mut at_us = 0;
            while at_us < self.load.seconds * 1_000_000 {
                let gap_s =
                    -self.rng.random::<f64>().max(1e-9).ln() / (route.per_s * self.load.factor);
                at_us += (gap_s * 1e6) as u64;
                self.outcomes[index].offered += 1;
                self.push(
                    at_us,
                    Event::Arrival {
                        route: index,
                        first_us: at_us,
                        is_retry: false,
                        is_returning: false,
                    },
                );
            }
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            match event {
                Event::Arrival {
                    route,
                    first_us,
                    is_retry,
                    is_returning,
                } => self.arrive(route, first_us, is_retry, is_returning),
                Event::End { request } => self.end(request),
                Event::Expiry { request } => self.expire(request),
            }
        }
        self.outcomes
    }

    fn slots(group: usize) -> u32 {
        [12, 48][group] / VMS as u32
    }

    fn arrive(&mut self, route_index: usize, first_us: u64, is_retry: bool, is_returning: bool) {
        let route = &ROUTES[route_index];
        let vm = self.rng.random_range(0..VMS);
        let now_us = self.now_us;
        let request = self.requests.len();
        self.requests.push(Request {
            route: route_index,
            vm,
            first_us,
            arrived_us: now_us,
            admitted_us: now_us,
            is_retry,
            place: None,
            replied_us: Vec::new(),
            is_waiting: false,
        });
        let group = ServiceKey::new(route.group);
        match &mut self.limiters[vm] {
            Limiter::Ranked(limiter) => {
                let decision = limiter.arrive(AdmissionRequest {
                    group,
                    rank: route.rank,
                    is_returning,
                    target_us: route.target_us,
                    due_us: now_us + route.due_us,
                    now_us,
                });
                limiter.adjust(group, || Self::slots(route.group), now_us);
                match decision {
                    AdmissionDecision::Admitted(place) => {
                        self.requests[request].place = Some(place);
                        self.send(request);
                    }
                    AdmissionDecision::Waiting(place, until_us) => {
                        self.outcomes[route_index].queued += 1;
                        self.requests[request].place = Some(place);
                        self.requests[request].is_waiting = true;
                        self.waiting.insert((vm, place.id), request);
                        self.push(until_us, Event::Expiry { request });
                    }
                    AdmissionDecision::Refused { .. } => self.refuse(request),
                }
                self.grant(vm);
            }
            Limiter::Unranked(limiter) => {
                if route.group == 0 && !limiter.admit(group, route.rank) {
                    self.refuse(request);
                } else {
                    self.send(request);
                }
            }
        }
    }

    fn grant(&mut self, vm: usize) {
        let Limiter::Ranked(limiter) = &mut self.limiters[vm] else {
            return;
        };
        for id in limiter.take_granted() {
            let request = self.waiting.remove(&(vm, id)).unwrap();
            self.requests[request].is_waiting = false;
            self.send(request);
        }
    }

    fn expire(&mut self, request: usize) {
        if !self.requests[request].is_waiting {
            return;
        }
        self.requests[request].is_waiting = false;
        let vm = self.requests[request].vm;
        let place = self.requests[request].place.unwrap();
        self.waiting.remove(&(vm, place.id));
        if let Limiter::Ranked(limiter) = &mut self.limiters[vm] {
            limiter.release(place, self.now_us);
        }
        self.grant(vm);
        self.refuse(request);
    }

    /// Refuses a request. Its caller comes back once: 30 % at once, the others as told.
    fn refuse(&mut self, request: usize) {
        let Request {
            route,
            first_us,
            is_retry,
            ..
        } = self.requests[request];
        let deadline_us = ROUTES[route].deadline_us;
        let third_us = (first_us + deadline_us).saturating_sub(self.now_us) / 3;
        let is_patient = !self.rng.random_bool(0.3);
        let wait_us = self.rng.random_range(third_us / 2..third_us);
        if is_retry {
            self.outcomes[route].refused += 1;
            return;
        }
        let at_us = self.now_us + if is_patient { wait_us } else { ROUND_TRIP_US };
        self.push(
            at_us,
            Event::Arrival {
                route,
                first_us,
                is_retry: true,
                is_returning: is_patient,
            },
        );
    }

    /// Sends a call to a leaf of each shard, the one that ends it first.
    fn send(&mut self, request: usize) {
        let route = &ROUTES[self.requests[request].route];
        let now_us = self.now_us;
        let mut replied_us = Vec::new();
        for shard in &mut self.groups[route.group] {
            let work_us = route.work_us * self.rng.random_range(0.5..1.5);
            let planned = shard
                .iter_mut()
                .filter_map(|leaf| Some((leaf.plan(now_us, work_us, true)?, leaf)));
            if let Some((times, leaf)) = planned.min_by_key(|((_, end_us), _)| *end_us) {
                replied_us.push(leaf.take(now_us, times));
            }
        }
        replied_us.sort_unstable();
        let remaining_us =
            (self.requests[request].first_us + route.deadline_us).saturating_sub(now_us);
        let waited_us = now_us - self.requests[request].arrived_us;
        let partial_us = route.due_us.saturating_sub(waited_us);
        let end_us = match (replied_us.get(route.min_parts - 1), replied_us.last()) {
            (Some(needed_us), Some(last_us)) => {
                partial_us.max(*needed_us).min(*last_us).min(remaining_us)
            }
            _ => ROUND_TRIP_US,
        };
        replied_us.retain(|replied_us| *replied_us <= end_us);
        self.requests[request].admitted_us = now_us;
        self.requests[request].replied_us = replied_us;
        self.push(now_us + end_us, Event::End { request });
    }

    fn end(&mut self, index: usize) {
        let request = &self.requests[index];
        let route = &ROUTES[request.route];
        let now_us = self.now_us;
        let ended_us = now_us - request.admitted_us;
        let is_complete = request.replied_us.len() >= route.min_parts;
        let outcomes = &mut self.outcomes[request.route];
        let is_in_time = now_us - request.first_us <= route.target_us;
        match (is_complete, is_in_time) {
            (true, true) => outcomes.in_time += 1,
            (true, false) => outcomes.late += 1,
            (false, _) => outcomes.failed += 1,
        }
        let group = ServiceKey::new(route.group);
        let (vm, place) = (request.vm, request.place);
        match &mut self.limiters[vm] {
            Limiter::Ranked(limiter) => {
                let waited_us = request.admitted_us - request.arrived_us;
                let times = ReplyTimes {
                    replied_us: &request.replied_us,
                    shards: self.groups[route.group].len(),
                    min_parts: route.min_parts,
                    ended_us,
                    due_us: route.due_us - waited_us,
                    is_overloaded: !is_complete,
                };
                let place = place.unwrap();
                limiter.record_end(&EndedRequest {
                    place,
                    route: route.name,
                    times,
                    now_us,
                });
                limiter.adjust(group, || Self::slots(route.group), now_us);
                limiter.release(place, now_us);
                self.grant(vm);
            }
            Limiter::Unranked(limiter) if route.group == 0 => {
                let median_call_us = request.replied_us.get(18).copied().unwrap_or(ended_us);
                let completed = CompletedRequest {
                    route: route.name,
                    target_us: route.target_us,
                    median_call_us,
                    now_ms: now_us / 1_000,
                };
                limiter.observe(group, completed, || Self::slots(route.group));
                limiter.release(group);
            }
            Limiter::Unranked(_) => {}
        }
    }
}

const SEEDS: std::ops::Range<u64> = 1..13;

/// Nine times the load while 40 % of the leaves are 6 times slower.
const BURST: Load = Load {
    factor: 9.0,
    slow_share: 0.4,
    seconds: 2,
    ranked: true,
    seed: 0,
};

/// Plays a load with several seeds and adds up the outcomes.
fn play(load: Load) -> [Outcomes; 3] {
    let mut sums = [Outcomes::default(); 3];
    for seed in SEEDS {
        let outcomes = Model::new(Load { seed, ..load }).play();
        for (sum, outcomes) in sums.iter_mut().zip(outcomes) {
            sum.offered += outcomes.offered;
            sum.in_time += outcomes.in_time;
            sum.late += outcomes.late;
            sum.failed += outcomes.failed;
            sum.refused += outcomes.refused;
            sum.queued += outcomes.queued;
        }
    }
    println!("{sums:?}");
    sums
}

fn share(outcomes: &[Outcomes], count: impl Fn(&Outcomes) -> u32) -> f64 {
    let offered: u32 = outcomes.iter().map(|outcomes| outcomes.offered).sum();
    f64::from(outcomes.iter().map(count).sum::<u32>()) / f64::from(offered)
}

/// Guards against a burst in which less urgent requests fill the queues of the leaves, so that urgent
/// ones, which alone would fit, are late, and in which most of the work ends late or fails.
#[test]
fn a_burst_is_served_by_priority() {
    let without = play(Load {
        ranked: false,
        ..BURST
    });
    let with = play(BURST);
    let in_time = |outcomes: &Outcomes| outcomes.in_time;
    let urgent = share(&with[..1], in_time);
    assert!(
        urgent >= 0.9,
        "{urgent} of the urgent requests are answered in time"
    );
    let ratio = share(&with, in_time) / share(&without, in_time);
    assert!(
        ratio >= 2.0,
        "{ratio} times as many requests are answered in time"
    );
    let answered = |outcomes: &Outcomes| outcomes.in_time + outcomes.late;
    for (outcomes, route) in with.iter().zip(&ROUTES) {
        let answered_share = share(std::slice::from_ref(outcomes), answered);
        assert!(
            answered_share >= share(&with, answered) / 4.0,
            "{} is starved",
            route.name
        );
    }
}

/// Guards against limits under a normal load, in whose waves leaves pause and some are slow: nothing of
/// this is pressure.
#[test]
fn a_normal_load_is_neither_refused_nor_queued() {
    let load = Load {
        factor: 1.27,
        slow_share: 0.03,
        seconds: 20,
        ..BURST
    };
    for outcomes in play(load) {
        assert_eq!(
            (outcomes.refused, outcomes.queued, outcomes.failed),
            (0, 0, 0)
        );
    }
}

/// Guards against limits under a few requests whose answers are late because of slow leaves: no limit makes
/// these leaves faster, and refused requests would have been answered.
#[test]
fn late_answers_of_a_few_requests_begin_no_limits() {
    const IN_SERVICE: usize = 8;
    const SLOTS: u32 = 2;
    let group = ServiceKey::new(0);
    let mut limiter = AdmissionLimiter::default();
    let mut open: Vec<(Place, u64)> = Vec::new();
    for now_us in (0..20_000_000).step_by(20_000) {
        let rank = u32::from(now_us % 40_000 == 0);
        let request = AdmissionRequest {
            group,
            rank,
            is_returning: false,
            target_us: 150_000,
            due_us: now_us + 134_000,
            now_us,
        };
        let AdmissionDecision::Admitted(place) = limiter.arrive(request) else {
            panic!("request at {now_us} us was not admitted");
        };
        open.push((place, now_us));
        if open.len() == IN_SERVICE {
            let (place, started_us) = open.remove(0);
            // The leaves turn slow after a second.
            let ended_us = if now_us < 1_000_000 {
                30_000
            } else {
                now_us - started_us
            };
            let replied_us = [vec![20_000; 30], vec![ended_us; 6]].concat();
            limiter.record_end(&EndedRequest {
                place,
                route: "wide",
                times: ReplyTimes {
                    replied_us: &replied_us,
                    shards: 36,
                    min_parts: 35,
                    ended_us,
                    due_us: 134_000,
                    is_overloaded: false,
                },
                now_us,
            });
            limiter.release(place, now_us);
        }
        limiter.adjust(group, || SLOTS, now_us);
        let limits: Vec<f64> = limiter.levels(group).map(|(_, limit, _)| limit).collect();
        assert!(limits.iter().all(|limit| limit.is_infinite()), "{limits:?}");
    }
}
