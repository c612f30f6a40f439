//! Properties of the pure parts: snapshot choice, hedge budget and admission.

use std::collections::HashMap;

use cloverrack::admission::{Admission, Arrival, Departure, ServiceCapacity};
use cloverrack::control::LeafView;
use cloverrack::fact::LeafState;
use cloverrack::replica_selection::{LeafLoad, ReplicaSelector};
use cloverrack::snapshot::{choose_snapshot, serves};
use cloverrack::{DocumentStore, Fleet, OfferOutcome, RetryBudget, Snapshot};
use proptest::prelude::*;

const SHARDS: usize = 3;
const REPLICAS: usize = 3;

fn fleet() -> Fleet {
    let mut text = "region = \"r\"\n[service.s]\nleaf_slots = 3\nleaf_connections = 30\n\
                    [service.s.leaf]\n"
        .to_owned();
    let mut shards = String::new();
    for shard in 0..SHARDS {
        let mut names = Vec::new();
        for replica in 0..REPLICAS {
            let name = format!("s{shard}r{replica}");
            let port = 1_000 + shard * REPLICAS + replica;
            text += &format!(
                "{name} = {{ address = \"127.0.0.1:{port}\", failure_domain = \"a\", target = \"t\" }}\n"
            );
            names.push(format!("\"{name}\""));
        }
        shards += &format!("[{}],", names.join(","));
    }
    text += &format!("[[service.s.layout]]\nid = 1\nshards = [{shards}]\n");
    let mut store = DocumentStore::default();
    let verdict = store.offer("config/f", 1, text.as_bytes(), 0);
    assert_eq!(verdict, OfferOutcome::Accepted);
    Fleet::compile(&store, "r", |_| true)
}

/// For each leaf: whether it is up, and a set of versions as bits.
fn views(fleet: &Fleet, leaves: &[(bool, u8)]) -> HashMap<std::net::SocketAddr, LeafView> {
    let mut views = HashMap::new();
    for (leaf, (up, held)) in fleet.leaves.iter().zip(leaves) {
        let snapshots = (0..4).filter(|bit| held & (1 << bit) != 0);
        let view = LeafView {
            state: if *up { LeafState::Up } else { LeafState::Down },
            snapshots: snapshots
                .map(|version| Snapshot { version, layout: 1 })
                .collect(),
            observed_unix_ms: 0,
        };
        views.insert(leaf.address, view);
    }
    views
}

/// Mostly live leaves that hold most versions, so that some versions have enough copies.
fn leaf() -> impl Strategy<Value = (bool, u8)> {
    let held = prop::collection::vec(prop::bool::weighted(0.7), 4)
        .prop_map(|held| (0..4).fold(0, |bits, bit| bits | u8::from(held[bit]) << bit));
    (prop::bool::weighted(0.95), held)
}

proptest! {
    /// Guards against a pinned snapshot with too few copies while a better one exists, and against
    /// an older one among equals.
    #[test]
    fn the_newest_snapshot_with_enough_replicas_is_chosen(
        leaves in prop::collection::vec(leaf(), SHARDS * REPLICAS),
        excluded in 0_u64..5,
    ) {
        let fleet = fleet();
        let service = &fleet.services[0];
        let views = views(&fleet, &leaves);
        let rank = |version| {
            let snapshot = Snapshot { version, layout: 1 };
            let mut least = usize::MAX;
            let mut covered = 0;
            for shard in &service.layouts[0].shards {
                let copies = shard
                    .iter()
                    .filter(|leaf| serves(&views[&fleet.leaf(**leaf).address], snapshot))
                    .count();
                least = least.min(copies);
                covered += usize::from(copies > 0);
            }
            (least >= 2, covered, version)
        };
        let held = |version: u64| leaves.iter().any(|(_, held)| held & (1 << version) != 0);
        let best = (0..4).filter(|v| held(*v) && *v != excluded).map(rank).max();
        let excluded = [Snapshot { version: excluded, layout: 1 }];
        let chosen = choose_snapshot(&fleet, service, &views, &excluded);
        prop_assert_eq!(chosen.map(|c| c.snapshot.version), best.map(|best| best.2));
        prop_assert_eq!(chosen.map(|c| c.covers_all), best.map(|best| best.1 == SHARDS));
    }

    /// Guards against more extra calls than the budget's share plus what it saves up.
    #[test]
    fn extra_calls_stay_within_the_budget(
        steps in prop::collection::vec((0_u64..200, 0_u32..20, any::<bool>()), 1..200),
        budget_ppm in 0_u32..200_000,
    ) {
        let mut budget = RetryBudget::default();
        let (mut calls, mut extra) = (0, 0);
        for (first_calls, wanted, shed) in steps {
            budget.earn(first_calls, budget_ppm);
            calls += first_calls;
            if shed {
                budget.reduce_earn_rate();
            }
            extra += (0..wanted).filter(|_| budget.try_spend()).count() as u64;
            prop_assert!(extra * 1_000_000 <= calls * u64::from(budget_ppm) + 10_000_000);
        }
    }

    /// Guards against places that are never given back, a member that holds more than its share
    /// while another asks, and a service that admits nothing after it was congested.
    #[test]
    fn admission_slots_are_shared_and_released(
        steps in prop::collection::vec((0_usize..2, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let members = ["a", "b"];
        let capacity = ServiceCapacity { slots: 90, shards: 10, vms: 8 };
        let mut admission = Admission::default();
        let mut held = [0_usize; 2];
        let mut now_ms = 0;
        for (member, ends, starved) in steps {
            now_ms += 10;
            let arrival = Arrival { service: "s", member: members[member], deadline_ms: 300, now_ms };
            if !ends {
                held[member] += usize::from(admission.admit(arrival, capacity).is_ok());
            } else if held[member] > 0 {
                held[member] -= 1;
                admission.release("s", members[member]);
                admission.record_completion(Departure {
                    service: "s", deadline_ms: 300, elapsed_ms: 20, starved, now_ms,
                });
            }
            prop_assert_eq!(admission.in_flight(), held[0] + held[1]);
        }
        for (member, name) in members.iter().enumerate() {
            for _ in 0..held[member] {
                admission.release("s", name);
            }
        }
        let arrival = Arrival { service: "s", member: "a", deadline_ms: 300, now_ms };
        prop_assert!(admission.admit(arrival, capacity).is_ok());
    }
}

/// Guards against one member that takes all places while another one asks.
#[test]
fn a_second_member_gets_half_of_the_admission_slots() {
    let capacity = ServiceCapacity {
        slots: 90,
        shards: 10,
        vms: 1,
    };
    let mut admission = Admission::default();
    let mut held = [0; 2];
    for now_ms in 0..400 {
        for (index, member) in ["busy", "other"].into_iter().enumerate() {
            let tries = if index == 0 { 10 } else { 1 };
            for _ in 0..tries {
                let arrival = Arrival {
                    service: "s",
                    member,
                    deadline_ms: 300,
                    now_ms,
                };
                held[index] += usize::from(admission.admit(arrival, capacity).is_ok());
            }
        }
    }
    assert!(held[1] * 2 >= held[0], "places held: {held:?}");
}

/// Guards against a slow leaf that keeps a good average, because each of its calls is given up when
/// a hedge answers first, and so goes on being chosen.
#[test]
fn a_leaf_that_loses_to_hedges_is_avoided() {
    let fleet = fleet();
    let views = views(&fleet, &[(true, 2); SHARDS * REPLICAS]);
    let replicas = &fleet.services[0].layouts[0].shards[0][..2];
    let mut loads = HashMap::new();
    for leaf in replicas {
        let mut load = LeafLoad::default();
        load.record(10_000, 0);
        load.in_flight = 3;
        loads.insert(fleet.leaf(*leaf).address, load);
    }
    let slow = fleet.leaf(replicas[0]).address;
    if let Some(load) = loads.get_mut(&slow) {
        load.in_flight = 0;
        for _ in 0..5 {
            load.record_lost_to_hedge(9_000, 0);
        }
    }
    let choice = ReplicaSelector {
        fleet: &fleet,
        views: &views,
        loads: &loads,
        snapshot: Snapshot {
            version: 1,
            layout: 1,
        },
        now_ms: 0,
    };
    for _ in 0..20 {
        let picked = choice.select_replica(replicas, &[], &mut rand::rng());
        assert_eq!(picked, Some(replicas[1]));
    }
}
