//! Placement of leaves: purity, bounded load, small movement, bundles and shared addresses.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::collections::HashMap;

use cloverrack::placement::{Bundle, Candidate, Owners, assign};
use cloverrack::{DocumentStore, Fleet, VmKey};
use proptest::prelude::*;
use serde_json::json;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn names(count: usize, seed: u64) -> Vec<String> {
    (0..count).map(|vm| format!("vm-{seed}-{vm}")).collect()
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let candidate = |(index, name): (usize, &'static str)| Candidate {
        vm: VmKey::new(index),
        name,
        failure_domain: DOMAINS[index % 3],
        live: true,
    };
    let leaked = names.iter().map(|name| &*name.clone().leak());
    leaked.enumerate().map(candidate).collect()
}

fn bundles(count: u64) -> Vec<Bundle<'static>> {
    let bundle = |number: u64| Bundle {
        hash: number.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        failure_domain: DOMAINS[(number % 3) as usize],
        leaves: 1,
    };
    (0..count).map(bundle).collect()
}

fn by_name(vms: &[Candidate<'_>], owners: &[Owners]) -> Vec<String> {
    let name = |owner: &Owners| vms[owner.primary.unwrap().index()].name.to_owned();
    owners.iter().map(name).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against owners that depend on the order of the input: two VMs would then place the
    /// same leaves differently.
    #[test]
    fn the_order_of_the_input_has_no_influence(seed: u64, count in 3_usize..30, leaves in 1_u64..200) {
        let names = names(count, seed);
        let mut vms = candidates(&names);
        vms[0].live = false;
        let mut forward = bundles(leaves);
        for (number, bundle) in forward.iter_mut().enumerate() {
            bundle.leaves = 1 + number as u32 % 6;
        }
        let mut backward = forward.clone();
        backward.reverse();
        let mut owners = assign(&vms, &backward);
        owners.reverse();
        prop_assert_eq!(assign(&vms, &forward), owners);
    }

    /// Guards against an overloaded owner, with all VMs live and after losses.
    #[test]
    fn no_load_is_above_the_bound(seed: u64, count in 6_usize..40, leaves in 60_u64..400, dead in 0_usize..3) {
        let names = names(count, seed);
        let mut vms = candidates(&names);
        vms.iter_mut().take(dead).for_each(|vm| vm.live = false);
        let bundles = bundles(leaves);
        let owners = assign(&vms, &bundles);
        for domain in DOMAINS {
            let live = vms.iter().filter(|vm| vm.live && vm.failure_domain == domain).count() as u64;
            let total = bundles.iter().filter(|bundle| bundle.failure_domain == domain).count() as u64;
            let bound = total.div_ceil(live).max(total * 115 / 100 / live) as usize;
            let mut load: HashMap<VmKey, usize> = HashMap::new();
            for (bundle, owner) in bundles.iter().zip(&owners) {
                if bundle.failure_domain == domain {
                    prop_assert_eq!(vms[owner.primary.unwrap().index()].failure_domain, domain);
                    *load.entry(owner.primary.unwrap()).or_default() += 1;
                }
            }
            prop_assert!(load.values().all(|load| *load <= bound), "{load:?} over {bound}");
        }
    }

    /// Guards against movement of leaves whose owner is live, and against a standby that is the
    /// primary itself or is not live.
    #[test]
    fn a_failed_vm_moves_only_its_own_leaves(seed: u64, count in 6_usize..40, victim in 0_usize..6) {
        let names = names(count, seed);
        let mut vms = candidates(&names);
        let bundles = bundles(300);
        let before = assign(&vms, &bundles);
        vms[victim].live = false;
        let after = assign(&vms, &bundles);
        for (before, after) in before.iter().zip(&after) {
            let moved = before.primary != after.primary;
            prop_assert_eq!(moved, before.primary == Some(VmKey::new(victim)));
            prop_assert_ne!(after.standby, after.primary);
            prop_assert_ne!(after.standby, Some(VmKey::new(victim)));
        }
    }
}

/// Guards against movement beyond the leaves of a VM that vanishes from the list, and on
/// replacement beyond the least that any pure function of the names can reach, `2n / (n + 1)`.
#[test]
fn a_change_of_the_list_moves_few_leaves() {
    let bundles = bundles(1_200);
    let (mut least, mut unlisted, mut replaced) = (0, 0, 0);
    for seed in 0..20 {
        let names = names(24, seed);
        let vms = candidates(&names);
        let before = by_name(&vms, &assign(&vms, &bundles));
        let mut shorter = vms.clone();
        shorter.remove(5);
        shorter
            .iter_mut()
            .enumerate()
            .for_each(|(index, vm)| vm.vm = VmKey::new(index));
        let mut other = vms.clone();
        other[5].name = "replacement";
        least += before.iter().filter(|owner| *owner == vms[5].name).count();
        let moved = |after: &[Candidate<'_>]| {
            let after = by_name(after, &assign(after, &bundles));
            before.iter().zip(after).filter(|(a, b)| *a != b).count()
        };
        unlisted += moved(&shorter);
        replaced += moved(&other);
    }
    let bound = least as f64 * 2.0 * 8.0 / 9.0;
    assert!(
        unlisted as f64 <= 1.2 * least as f64,
        "{unlisted} of {least}"
    );
    assert!(replaced as f64 <= 1.2 * bound, "{replaced} of {bound}");
}

fn fleet(files: &[(&str, String)]) -> Fleet {
    let mut store = DocumentStore::default();
    let mut vms = Vec::new();
    for vm in 0..18 {
        vms.push(json!({
            "name": format!("vm-{vm}"), "region": "r", "failure_domain": DOMAINS[vm % 3],
            "caller_address": format!("10.0.0.{vm}:1"), "internal_address": format!("10.0.0.{vm}:2"),
        }));
    }
    store.offer("vms", 1, json!({ "vms": vms }).to_string().as_bytes(), 0);
    for (name, body) in files {
        store.offer(name, 1, body.as_bytes(), 0);
    }
    Fleet::compile(&store, "r", |_| true)
}

fn file(shards: usize, bundle_leaves: u32, slots: u32, connections: u32) -> String {
    let mut text = format!(
        "region = \"r\"\n[service.s]\nleaf_slots = {slots}\nleaf_connections = {connections}\n\
         bundle_leaves = {bundle_leaves}\n[service.s.leaf]\n"
    );
    let mut layout = String::new();
    for shard in 0..shards {
        for (copy, domain) in DOMAINS.iter().enumerate() {
            text += &format!(
                "l{copy}-{shard} = {{ address = \"10.1.{copy}.{shard}:1\", \
                 failure_domain = \"{domain}\", target = \"t\" }}\n"
            );
        }
        layout += &format!("[\"l0-{shard}\", \"l1-{shard}\", \"l2-{shard}\"], ");
    }
    text + &format!("[[service.s.layout]]\nid = 1\nshards = [{layout}]\n")
}

/// Guards against `bundle_leaves` without effect: a query would cost one message for each leaf.
#[test]
fn leaves_of_one_replica_are_placed_together_in_shard_order() {
    let fleet = fleet(&[("config/f", file(13, 6, 3, 30))]);
    let layout = &fleet.services[0].layouts[0];
    for copy in 0..3 {
        for (shard, replicas) in layout.shards.iter().enumerate() {
            let first = &fleet.leaf(layout.shards[shard / 6 * 6][copy]).owners;
            assert_eq!(
                fleet.leaf(replicas[copy]).owners,
                *first,
                "shard {shard} copy {copy}"
            );
        }
    }
    let owners = |copy: usize| fleet.leaf(layout.shards[0][copy]).owners.primary;
    assert_ne!(owners(0), owners(1));
}

/// Guards against an address in two files that has two owners, or the limits of the last file.
#[test]
fn a_shared_address_has_the_smallest_limits_and_one_owner() {
    let files = [
        ("config/f", file(12, 6, 2, 40)),
        ("config/g", file(12, 1, 3, 12)),
    ];
    for files in [&files, &[files[1].clone(), files[0].clone()]] {
        let fleet = fleet(files);
        for leaf in &fleet.leaves {
            let found = fleet.find_leaf(leaf.address).unwrap();
            assert_eq!((leaf.slots, leaf.connections), (2, 12));
            assert_eq!((found.slots, found.connections), (2, 12));
            assert_eq!(leaf.owners, found.owners);
        }
    }
}

/// Guards against callers that gather at a few VMs, and against an answer that names only the own
/// failure domain.
#[test]
fn callers_spread_over_the_vms() {
    let fleet = fleet(&[]);
    let mut first: HashMap<_, usize> = HashMap::new();
    for caller in 0..1_000 {
        let domain = DOMAINS[caller % 3];
        let ranked = cloverrack::entries::rank_entry_addresses(
            &fleet,
            Some(domain),
            &format!("caller-{caller}"),
        );
        let domain_of = |address: &std::net::SocketAddr| {
            let mut vms = fleet.vms.iter();
            let vm = vms.find(|vm| vm.entry.caller_address == *address);
            vm.unwrap().entry.failure_domain.clone()
        };
        let near = ranked.iter().filter(|a| &*domain_of(a) == domain).count();
        assert_eq!(ranked.len(), 4);
        assert_eq!(near, 3);
        assert_eq!(&*domain_of(&ranked[0]), domain);
        *first.entry(ranked[0]).or_default() += 1;
    }
    let most = *first.values().max().unwrap() as f64 * 18.0 / 1_000.0;
    assert!(most <= 1.4, "max over mean {most}");
}
