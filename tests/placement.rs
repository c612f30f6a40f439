//! Placement of leaves on VMs, which decides the owner that a request's calls go through.
//!
//! Covered are inputs in different orders, bounded load, the loss, removal and replacement of VMs,
//! bundles, and addresses that several files share.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::HashMap;

use cloverrack::placement::{Bundle, BundleOwners, Candidate, assign};
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

fn primary_names(vms: &[Candidate<'_>], owners: &[BundleOwners]) -> Vec<String> {
    let name = |owner: &BundleOwners| vms[owner.primary.unwrap().index()].name.to_owned();
    owners.iter().map(name).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against owners that depend on the order of the input: two VMs would then assign the
    /// same leaves to different owners.
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

    /// Guards against an owner with more leaves than the load bound, with all VMs live and after
    /// some have failed. Hashing alone spreads the leaves unevenly.
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

    /// Guards against the failure of a VM moving leaves whose owner is live, and against a standby
    /// that is the primary itself or has failed.
    #[test]
    fn a_failed_vm_moves_only_its_own_leaves(seed: u64, count in 6_usize..40, failed_vm in 0_usize..6) {
        let names = names(count, seed);
        let mut vms = candidates(&names);
        let bundles = bundles(300);
        let before = assign(&vms, &bundles);
        vms[failed_vm].live = false;
        let after = assign(&vms, &bundles);
        for (before, after) in before.iter().zip(&after) {
            let moved = before.primary != after.primary;
            prop_assert_eq!(moved, before.primary == Some(VmKey::new(failed_vm)));
            prop_assert_ne!(after.standby, after.primary);
            prop_assert_ne!(after.standby, Some(VmKey::new(failed_vm)));
        }
    }
}

/// Guards against a change of the VM list moving too many leaves. Removing a VM may move few leaves
/// beyond its own. Replacing one may move few beyond the minimum that any pure function of the
/// names can reach, `2n / (n + 1)` times the leaves of the replaced VM, where `n` is the number of
/// VMs of its failure domain.
#[test]
fn a_change_of_the_list_moves_few_leaves() {
    let bundles = bundles(1_200);
    let (mut min_moves, mut removed_moves, mut replaced_moves) = (0, 0, 0);
    for seed in 0..20 {
        let names = names(24, seed);
        let vms = candidates(&names);
        let before = primary_names(&vms, &assign(&vms, &bundles));
        let mut shorter = vms.clone();
        shorter.remove(5);
        shorter
            .iter_mut()
            .enumerate()
            .for_each(|(index, vm)| vm.vm = VmKey::new(index));
        let mut replacement = vms.clone();
        replacement[5].name = "replacement";
        min_moves += before.iter().filter(|owner| *owner == vms[5].name).count();
        let moved = |after: &[Candidate<'_>]| {
            let after = primary_names(after, &assign(after, &bundles));
            before.iter().zip(after).filter(|(a, b)| *a != b).count()
        };
        removed_moves += moved(&shorter);
        replaced_moves += moved(&replacement);
    }
    let bound = min_moves as f64 * 2.0 * 8.0 / 9.0;
    assert!(
        removed_moves as f64 <= 1.2 * min_moves as f64,
        "{removed_moves} leaves moved on removal, minimum {min_moves}"
    );
    assert!(
        replaced_moves as f64 <= 1.2 * bound,
        "{replaced_moves} leaves moved on replacement, minimum {bound}"
    );
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
        for (replica, domain) in DOMAINS.iter().enumerate() {
            text += &format!(
                "l{replica}-{shard} = {{ address = \"10.1.{replica}.{shard}:1\", \
                 failure_domain = \"{domain}\", target = \"t\" }}\n"
            );
        }
        layout += &format!("[\"l0-{shard}\", \"l1-{shard}\", \"l2-{shard}\"], ");
    }
    text + &format!("[[service.s.layout]]\nid = 1\nshards = [{layout}]\n")
}

/// Guards against `bundle_leaves` having no effect. The leaves of a bundle share an owner;
/// otherwise a query would cost one message for each leaf.
#[test]
fn leaves_of_one_replica_are_placed_together_in_shard_order() {
    let fleet = fleet(&[("config/f", file(13, 6, 3, 30))]);
    let layout = &fleet.services[0].layouts[0];
    for replica in 0..3 {
        for (shard, replicas) in layout.shards.iter().enumerate() {
            let first = &fleet.leaf(layout.shards[shard / 6 * 6][replica]).owners;
            assert_eq!(
                fleet.leaf(replicas[replica]).owners,
                *first,
                "shard {shard}, replica {replica}"
            );
        }
    }
    let owners = |replica: usize| fleet.leaf(layout.shards[0][replica]).owners.primary;
    assert_ne!(owners(0), owners(1));
}

/// Guards against an address that is listed in two files having two owners, or the limits of
/// whichever file was read last instead of the smaller ones.
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

/// Guards against callers concentrating on a few VMs, and against a list of entry addresses without
/// one outside the caller's failure domain, which leaves no fallback if the domain fails.
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
        let local_count = ranked.iter().filter(|a| &*domain_of(a) == domain).count();
        assert_eq!(ranked.len(), 4);
        assert_eq!(local_count, 3);
        assert_eq!(&*domain_of(&ranked[0]), domain);
        *first.entry(ranked[0]).or_default() += 1;
    }
    let max_load_ratio = *first.values().max().unwrap() as f64 * 18.0 / 1_000.0;
    assert!(
        max_load_ratio <= 1.4,
        "largest load is {max_load_ratio} times the mean"
    );
}
