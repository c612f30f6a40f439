//! Leaves of known speed and knee, callers, VMs and their reports, simulated on a virtual clock.

use std::net::{IpAddr, SocketAddr};

use cloverrack::ServiceKey;
use cloverrack::gateway::leaf_capacity::{CapacityReport, EndedCall, WorkKind};
use cloverrack::gateway::{ConnectionLimits, LeafRecord, Leaves, ServiceNames, Stall};
use cloverrack::ids::LeafKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the virtual clock, and delay of reports.
pub const STEP_US: u64 = 500;
pub const REPORT_DELAY_US: u64 = 2_000;

/// Callers that may arrive in a step, each with the same probability.
pub const ARRIVALS_PER_STEP: u32 = 5;

/// Turn of the sender of reports.
pub const TURN_US: u64 = 20_000;

/// Speeds and knees of ten leaves; all of them name eight slots.
pub const SPEEDS: [f64; 10] = [0.5, 0.7, 0.8, 1.0, 1.0, 1.1, 1.3, 1.5, 1.8, 2.2];
pub const KNEES: [f64; 10] = [2.0, 6.0, 4.0, 8.0, 3.0, 5.0, 2.0, 6.0, 3.0, 4.0];
pub const SLOTS: u32 = 8;

/// Work of a call at a leaf of speed 1.
pub const WORK_US: f64 = 20_000.0;

/// Share of the leaves' capacity that callers use.
pub const LOAD: f64 = 0.6;

/// Time of the change of speeds, and end of a run.
pub const CHANGE_US: u64 = 8_000_000;
pub const END_US: u64 = 13_000_000;

/// Seeds over which means are taken: single runs differ by some 3 %, also with the same seed, since the
/// order of equal leaves is random.
pub const SEEDS: u64 = 6;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Today,
    Estimates,
    /// Knows speeds and knees, and the calls in flight of all VMs.
    Oracle,
}

/// What a run simulates.
#[derive(Clone)]
pub struct Setup {
    pub policy: Policy,
    pub vms: usize,
    pub report_loss: f64,
    pub speeds: [f64; 10],
    pub knees: [f64; 10],
    /// Speeds after the change.
    pub changed: [f64; 10],
    pub load: f64,
    /// Routes with their work.
    pub works_us: Vec<f64>,
    /// Share of the calls whose replies are lost; they are given up after 300 ms.
    pub reply_loss: f64,
    /// Whether leaf 9 pauses for 150 ms every 2 s.
    pub pauses: bool,
    /// Whether leaf 9 resets the connections of its calls.
    pub fails: bool,
    pub seed: u64,
    /// Number of seeds over which the means are taken.
    pub seeds: u64,
}

impl Setup {
    pub fn new(policy: Policy, vms: usize) -> Self {
        Self {
            policy,
            vms,
            report_loss: 0.0,
            speeds: SPEEDS,
            knees: KNEES,
            changed: SPEEDS,
            load: LOAD,
            works_us: vec![WORK_US],
            reply_loss: 0.0,
            pauses: false,
            fails: false,
            seed: 1,
            seeds: SEEDS,
        }
    }
}

pub struct Vm {
    pub leaves: Leaves,
    pub keys: Vec<LeafKey>,
    pub service: ServiceKey,
}

pub struct Call {
    pub vm: usize,
    pub number: u64,
    pub kind: usize,
    pub left_us: f64,
    pub started_us: u64,
    pub in_flight: f64,
    pub is_lost: bool,
}

pub fn kind(route: usize) -> WorkKind {
    WorkKind::of_route(&format!("route-{route}"))
}

impl Vm {
    pub fn new(index: usize, estimates: bool) -> Self {
        let mut names = ServiceNames::default();
        let mut leaves = Leaves::new("a".into());
        let record = |number: u16| LeafRecord {
            id: format!("i-{number}").into(),
            service: "sheets".into(),
            address: ([127, 0, 0, 1], 7_000 + number).into(),
            failure_domain: "a".into(),
            slots: SLOTS,
            draining: false,
            warmup_left_ms: 0,
            started_unix_ms: 1,
        };
        let records: Vec<LeafRecord> = (0..10).map(record).collect();
        leaves.update(records.iter(), &mut names, 0);
        if estimates {
            leaves.estimate_capacity(index as u64);
        }
        let address = |record: &LeafRecord| -> SocketAddr { record.address };
        let key_of = |record: &LeafRecord| {
            let found = leaves
                .iter()
                .find(|(_, leaf)| leaf.address() == address(record));
            found.unwrap().0
        };
        let keys = records.iter().map(key_of).collect();
        let service = names.intern("sheets");
        Self {
            leaves,
            keys,
            service,
        }
    }

    pub fn choose(&self, route: usize, now_us: u64) -> usize {
        let limits = ConnectionLimits::default();
        let chosen = self
            .leaves
            .choose_for(kind(route), self.service, &[], &limits, now_us);
        let chosen = chosen.unwrap();
        self.keys.iter().position(|key| *key == chosen).unwrap()
    }

    /// Ends a call as `OpenCall` does.
    pub fn end(&mut self, leaf: usize, call: &Call, now_us: u64) {
        let key = self.keys[leaf];
        let in_flight = self.leaves.calls_in_flight(key, now_us);
        let leaf_stats = &mut self.leaves.get_mut(key).unwrap().leaf_stats;
        let stall: Option<Stall> = if call.is_lost {
            leaf_stats.record_abandoned(call.number);
            None
        } else {
            leaf_stats.record_success(call.number, now_us, 0)
        };
        if let Some(stall) = stall {
            self.leaves.observe_held_up_calls(key, stall);
        }
        let ended = EndedCall {
            kind: kind(call.kind),
            in_flight: (call.in_flight + in_flight) / 2.0,
            started_us: call.started_us,
            ended_us: now_us,
            paused_us: 0,
            is_answered: !call.is_lost,
        };
        self.leaves.observe_ended_call(key, &ended);
    }
}

/// Leaves that share their speed among the calls in flight above the knee.
pub struct Simulation {
    pub setup: Setup,
    pub vms: Vec<Vm>,
    pub calls: Vec<Vec<Call>>,
    pub in_transit: Vec<(u64, usize, CapacityReport)>,
    pub rng: StdRng,
    /// Begin, latency relative to the work, and leaf of each ended call.
    pub ended: Vec<(u64, f64, usize)>,
    pub failed_calls: usize,
    /// Paces of the leaves at VM 0, every 100 ms of the last 8 s.
    pub paces: Vec<[f64; 10]>,
}

impl Simulation {
    pub fn run(setup: Setup) -> Self {
        let vms = 0..setup.vms;
        let estimates = setup.policy == Policy::Estimates;
        let mut simulation = Self {
            vms: vms.map(|index| Vm::new(index, estimates)).collect(),
            calls: (0..10).map(|_| Vec::new()).collect(),
            in_transit: Vec::new(),
            rng: StdRng::seed_from_u64(setup.seed),
            ended: Vec::new(),
            failed_calls: 0,
            paces: Vec::new(),
            setup,
        };
        for now_us in (0..END_US).step_by(STEP_US as usize) {
            simulation.step(now_us);
            if now_us > END_US - 8_000_000 && now_us.is_multiple_of(100_000) {
                simulation.record_paces(now_us);
            }
        }
        simulation
    }

    fn step(&mut self, now_us: u64) {
        self.work(now_us);
        if now_us.is_multiple_of(TURN_US) {
            self.report(now_us);
        }
        let works_us = &self.setup.works_us;
        let mean_us = works_us.iter().sum::<f64>() / works_us.len() as f64;
        let capacity: f64 = (0..10)
            .map(|leaf| SPEEDS[leaf] * self.setup.knees[leaf])
            .sum();
        let arrivals = self.setup.load * capacity / mean_us * STEP_US as f64;
        for _ in 0..ARRIVALS_PER_STEP {
            if self.rng.random_range(0.0..1.0) < arrivals / f64::from(ARRIVALS_PER_STEP) {
                self.begin(now_us);
            }
        }
    }

    fn record_paces(&mut self, now_us: u64) {
        let vm = &self.vms[0];
        let pace = |key: &LeafKey| Some(vm.leaves.pace_and_knee(*key, now_us)?.0);
        let mut paces = [1.0; 10];
        for (recorded, key) in paces.iter_mut().zip(&vm.keys) {
            *recorded = pace(key).unwrap_or(1.0);
        }
        self.paces.push(paces);
    }

    fn speed(&self, leaf: usize, now_us: u64) -> f64 {
        if leaf == 9 && self.setup.pauses && now_us % 2_000_000 < 150_000 && now_us > 500_000 {
            return 0.0;
        }
        let speeds = if now_us < CHANGE_US {
            &self.setup.speeds
        } else {
            &self.setup.changed
        };
        speeds[leaf]
    }

    fn work(&mut self, now_us: u64) {
        for leaf in 0..10 {
            let speed = self.speed(leaf, now_us);
            let calls = &mut self.calls[leaf];
            let share = speed / (calls.len() as f64 / self.setup.knees[leaf]).max(1.0);
            let mut index = 0;
            while index < calls.len() {
                let call = &mut calls[index];
                call.left_us -= share * STEP_US as f64;
                let is_given_up = call.is_lost && now_us >= call.started_us + 300_000;
                if (call.is_lost || call.left_us > 0.0) && !is_given_up {
                    index += 1;
                    continue;
                }
                let call = calls.swap_remove(index);
                self.vms[call.vm].end(leaf, &call, now_us);
                if !call.is_lost {
                    let latency_us = (now_us - call.started_us) as f64;
                    let relative = latency_us / self.setup.works_us[call.kind];
                    self.ended.push((call.started_us, relative, leaf));
                }
            }
        }
    }

    fn begin(&mut self, now_us: u64) {
        let vm = self.rng.random_range(0..self.setup.vms);
        let route = self.rng.random_range(0..self.setup.works_us.len());
        let leaf = match self.setup.policy {
            Policy::Oracle => self.fastest(now_us),
            _ => self.vms[vm].choose(route, now_us),
        };
        let Vm { leaves, keys, .. } = &mut self.vms[vm];
        let in_flight = leaves.begin_call(keys[leaf], now_us);
        let leaf_stats = &mut leaves.get_mut(keys[leaf]).unwrap().leaf_stats;
        let number = leaf_stats.start_call(now_us);
        let factor = self.rng.random_range(0.5..1.5);
        let call = Call {
            vm,
            number,
            kind: route,
            left_us: self.setup.works_us[route] * factor,
            started_us: now_us,
            in_flight,
            is_lost: self.rng.random_range(0.0..1.0) < self.setup.reply_loss,
        };
        if leaf == 9 && self.setup.fails {
            leaf_stats.record_failure(number, now_us);
            self.failed_calls += 1;
            return;
        }
        self.calls[leaf].push(call);
    }

    /// Returns the leaf that would answer a further call first.
    fn fastest(&self, now_us: u64) -> usize {
        let latency = |leaf: &usize| {
            let in_flight = self.calls[*leaf].len() as f64 + 1.0;
            (in_flight / self.setup.knees[*leaf]).max(1.0) / self.speed(*leaf, now_us)
        };
        (0..10)
            .min_by(|a, b| latency(a).total_cmp(&latency(b)))
            .unwrap()
    }

    fn report(&mut self, now_us: u64) {
        for (sent_us, from, report) in std::mem::take(&mut self.in_transit) {
            for to in (0..self.vms.len()).filter(|to| *to != from) {
                if self.rng.random_range(0.0..1.0) >= self.setup.report_loss {
                    let peer: IpAddr = [127, 0, 1, from as u8].into();
                    let leaves = &mut self.vms[to].leaves;
                    leaves.apply_capacity_report(peer, &report, sent_us + REPORT_DELAY_US);
                }
            }
        }
        for from in 0..self.vms.len() {
            let reports = self.vms[from]
                .leaves
                .capacity_reports(self.setup.vms, now_us);
            let sent = reports.into_iter().map(|report| (now_us, from, report));
            self.in_transit.extend(sent);
        }
    }

    /// Returns the mean latency relative to the work of the calls that began in a time.
    pub fn mean(&self, from_us: u64, to_us: u64) -> f64 {
        let in_time = |begin_us: &u64| (from_us..to_us).contains(begin_us);
        let ended = self.ended.iter().filter(|(begin_us, ..)| in_time(begin_us));
        let latencies: Vec<f64> = ended.map(|(_, relative, ..)| *relative).collect();
        latencies.iter().sum::<f64>() / latencies.len() as f64
    }

    /// Returns the mean pace of a leaf at VM 0 in the last seconds.
    pub fn mean_pace(&self, leaf: usize) -> f64 {
        let paces = self.paces.iter().map(|paces| paces[leaf]);
        paces.sum::<f64>() / self.paces.len() as f64
    }

    /// Returns the share of a leaf of the calls that began in a time.
    pub fn share_of_calls(&self, leaf: usize, from_us: u64, to_us: u64) -> f64 {
        let in_time = |begin_us: u64| (from_us..to_us).contains(&begin_us);
        let ended = self
            .ended
            .iter()
            .filter(|(begin_us, ..)| in_time(*begin_us));
        let (mut all, mut at_leaf) = (0.0, 0.0);
        for (_, _, ended_at) in ended {
            all += 1.0;
            at_leaf += f64::from(u8::from(*ended_at == leaf));
        }
        at_leaf / all
    }
}
