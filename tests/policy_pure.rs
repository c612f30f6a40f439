//! Properties of the pure decisions on a request: snapshot choice, retry budget, admission and
//! replica choice.
//!
//! Covered are missing replicas, overload, members that compete for admission, and slow leaves.

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
    let outcome = store.offer("config/f", 1, text.as_bytes(), 0);
    assert_eq!(outcome, OfferOutcome::Accepted);
    Fleet::compile(&store, "r", |_| true)
}

/// Builds the views of all leaves from pairs: whether the leaf is up, and its versions as a bit
/// set.
fn views(fleet: &Fleet, leaves: &[(bool, u8)]) -> HashMap<std::net::SocketAddr, LeafView> {
    let mut views = HashMap::new();
    for (leaf, (up, versions)) in fleet.leaves.iter().zip(leaves) {
        let snapshots = (0..4).filter(|bit| versions & (1 << bit) != 0);
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

/// Generates a leaf that is likely up and has most versions, so that some versions have enough
/// replicas.
fn leaf() -> impl Strategy<Value = (bool, u8)> {
    let versions = prop::collection::vec(prop::bool::weighted(0.7), 4)
        .prop_map(|versions| (0..4).fold(0, |bits, bit| bits | u8::from(versions[bit]) << bit));
    (prop::bool::weighted(0.95), versions)
}

proptest! {
    /// Guards against pinning a snapshot with too few live replicas while a better one exists, and
    /// against an older one among equals. A reference ranking checks the choice for random leaves.
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
            let mut min_live_replicas = usize::MAX;
            let mut covered = 0;
            for shard in &service.layouts[0].shards {
                let live_replicas = shard
                    .iter()
                    .filter(|leaf| serves(&views[&fleet.leaf(**leaf).address], snapshot))
                    .count();
                min_live_replicas = min_live_replicas.min(live_replicas);
                covered += usize::from(live_replicas > 0);
            }
            (min_live_replicas >= 2, covered, version)
        };
        let has_version =
            |version: u64| leaves.iter().any(|(_, versions)| versions & (1 << version) != 0);
        let best = (0..4).filter(|v| has_version(*v) && *v != excluded).map(rank).max();
        let excluded = [Snapshot { version: excluded, layout: 1 }];
        let chosen = choose_snapshot(&fleet, service, &views, &excluded);
        prop_assert_eq!(chosen.map(|c| c.snapshot.version), best.map(|best| best.2));
        prop_assert_eq!(chosen.map(|c| c.covers_all), best.map(|best| best.1 == SHARDS));
    }

    /// Guards against more extra calls than the budget's ratio of first calls plus what it may save
    /// up, in any order of first calls, extra calls and shed calls.
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

    /// Guards against admission slots that are never released, and against a service that admits
    /// nothing once it has been congested. Two members admit and finish requests in random order,
    /// some of which are reported as starved.
    #[test]
    fn admission_slots_are_shared_and_released(
        steps in prop::collection::vec((0_usize..2, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let members = ["a", "b"];
        let capacity = ServiceCapacity { slots: 90, shards: 10, vms: 8 };
        let mut admission = Admission::default();
        let mut in_flight = [0_usize; 2];
        let mut now_ms = 0;
        for (member, ends, starved) in steps {
            now_ms += 10;
            let arrival = Arrival { service: "s", member: members[member], deadline_ms: 300, now_ms };
            if !ends {
                in_flight[member] += usize::from(admission.admit(arrival, capacity).is_ok());
            } else if in_flight[member] > 0 {
                in_flight[member] -= 1;
                admission.release("s", members[member]);
                admission.record_completion(Departure {
                    service: "s", deadline_ms: 300, elapsed_ms: 20, starved, now_ms,
                });
            }
            prop_assert_eq!(admission.in_flight(), in_flight[0] + in_flight[1]);
        }
        for (member, name) in members.iter().enumerate() {
            for _ in 0..in_flight[member] {
                admission.release("s", name);
            }
        }
        let arrival = Arrival { service: "s", member: "a", deadline_ms: 300, now_ms };
        prop_assert!(admission.admit(arrival, capacity).is_ok());
    }
}

/// Guards against one member occupying all admission slots while another member sends requests,
/// which happens if slots go to whoever arrives first.
#[test]
fn a_second_member_gets_half_of_the_admission_slots() {
    let capacity = ServiceCapacity {
        slots: 90,
        shards: 10,
        vms: 1,
    };
    let mut admission = Admission::default();
    let mut in_flight = [0; 2];
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
                in_flight[index] += usize::from(admission.admit(arrival, capacity).is_ok());
            }
        }
    }
    assert!(
        in_flight[1] * 2 >= in_flight[0],
        "admission slots in use: {in_flight:?}"
    );
}

/// Guards against a slow leaf that is still chosen because its average latency stays low: its calls
/// are cancelled when a hedge answers first, so their true latency is never recorded.
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
    let selector = ReplicaSelector {
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
        let selected = selector.select_replica(replicas, &[], &mut rand::rng());
        assert_eq!(selected, Some(replicas[1]));
    }
}
