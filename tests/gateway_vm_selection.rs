//! Selection of the active VMs, which take the callers' requests, and of the platform's watchers.
//!
//! Pure functions of the live VMs; covered are VMs that fail and VMs of different capacity.

use cloverrack::fact::{LeafLinks, Profile};
use cloverrack::gateway::{
    LiveVm, active_vms, caller_addresses, connection_share, leaf_using_vms, watches_platform,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Returns 90 VMs in 3 failure domains; a third of the VMs of each domain are small.
fn fleet() -> Vec<LiveVm> {
    let mut live_vms = Vec::new();
    for number in 0..90_u8 {
        let domain = ["a", "b", "c"][usize::from(number) % 3];
        let is_small = number % 9 < 3;
        live_vms.push(LiveVm {
            address: ([10, 0, 0, number], 7_740).into(),
            profile: Profile {
                caller_address: ([10, 0, 0, number], 8_226).into(),
                failure_domain: domain.into(),
                millicores: if is_small { 120 } else { 500 },
                link_mbps: if is_small { 14 } else { 140 },
            },
            leaf_links: LeafLinks::Connected,
        });
    }
    live_vms
}

/// Guards against VMs that select different active VMs. Each VM may hold the live VMs in another
/// order, which must not affect the selection.
#[test]
fn all_vms_choose_the_same_carriers() {
    let mut live_vms = fleet();
    let expected = active_vms(&live_vms, 12);
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..20 {
        live_vms.shuffle(&mut rng);
        assert_eq!(active_vms(&live_vms, 12), expected);
    }
}

/// Guards against small VMs being selected while larger ones are available, and against a failure
/// domain without active VMs, whose callers would have to use another domain. Both happen if the
/// selection ignores capacity or failure domains.
#[test]
fn carriers_are_fit_and_in_every_failure_domain() {
    let chosen = active_vms(&fleet(), 12);
    assert_eq!(chosen.len(), 12);
    assert!(chosen.iter().all(|vm| vm.profile.link_mbps == 140));
    for domain in ["a", "b", "c"] {
        let addresses = caller_addresses(&chosen, domain, 64);
        assert_eq!(addresses.len(), 4, "failure domain {domain}");
    }
}

/// Guards against the failure of one active VM moving callers away from the others, which happens
/// if the selection isn't a stable ranking of the VMs.
#[test]
fn the_loss_of_a_carrier_replaces_only_it() {
    let live_vms = fleet();
    let before = active_vms(&live_vms, 12);
    for failed in &before {
        let mut rest = live_vms.clone();
        rest.retain(|vm| vm != failed);
        let after = active_vms(&rest, 12);
        let kept = before.iter().filter(|vm| after.contains(vm));
        assert_eq!(kept.count(), 11);
        assert_eq!(after.len(), 12);
    }
}

/// Guards against more connections to a leaf than it accepts. The shares of all active VMs together
/// have to stay within the leaf's limit, also while some VMs still use an older number of active
/// VMs.
#[test]
fn carriers_share_a_leafs_connections() {
    for (all, vms) in [(31, 7), (40, 8), (77, 6), (64, 10), (100, 7)] {
        let used = connection_share(all, vms) * vms;
        assert!(used <= all, "{vms} VMs use {used} of {all} connections");
    }
}

/// Guards against every VM of a large fleet, or none, watching the platform. Each VM decides on its
/// own from the live VMs; in a small fleet all of them watch.
#[test]
fn a_few_vms_of_a_large_fleet_watch_the_platform() {
    let live_vms = fleet();
    let watching = |live: &[LiveVm]| {
        let watching = live.iter().filter(|m| watches_platform(live, m.address));
        watching.count()
    };
    assert_eq!(watching(&live_vms), 5);
    assert_eq!(watching(&live_vms[..10]), 10);
}

/// Marks the VMs for which `is_lost` holds as cut off from the leaves.
fn cut_off(vms: &mut [LiveVm], is_lost: impl Fn(&LiveVm) -> bool) {
    for vm in vms.iter_mut().filter(|vm| is_lost(vm)) {
        vm.leaf_links = LeafLinks::Lost;
    }
}

/// Guards against standby VMs, which have observed nothing of the leaves, taking the place of VMs that
/// are cut off while a third of the active VMs is left.
#[test]
fn the_other_active_vms_take_the_load_of_those_without_links() {
    let mut live_vms = fleet();
    let before = active_vms(&live_vms, 12);
    cut_off(&mut live_vms, |vm| before[..8].contains(vm));
    assert_eq!(active_vms(&live_vms, 12), before[8..]);
}

/// Guards against callers being sent to VMs that are cut off from the leaves while others are not,
/// and against too few VMs taking the load.
#[test]
fn vms_without_links_to_leaves_are_replaced() {
    let mut live_vms = fleet();
    let before = active_vms(&live_vms, 12);
    cut_off(&mut live_vms, |vm| before[1..].contains(vm));
    let after = active_vms(&live_vms, 12);
    assert_eq!(after.len(), 12);
    assert!(after.iter().all(|vm| vm.leaf_links == LeafLinks::Connected));
    cut_off(&mut live_vms, |vm| {
        &*vm.profile.failure_domain != "c" || before.contains(vm)
    });
    let after = active_vms(&live_vms, 12);
    assert_eq!(after.len(), 12);
    assert!(after.iter().all(|vm| &*vm.profile.failure_domain == "c"));
    assert_eq!(caller_addresses(&after, "a", 64).len(), 12);
}

/// Guards against callers getting no address because all VMs are cut off from the leaves.
#[test]
fn all_vms_are_candidates_if_none_has_links() {
    let mut live_vms = fleet();
    let before = active_vms(&live_vms, 12);
    for vm in &mut live_vms {
        vm.leaf_links = LeafLinks::Lost;
    }
    let addresses = |vms: &[LiveVm]| vms.iter().map(|vm| vm.address).collect::<Vec<_>>();
    assert_eq!(addresses(&active_vms(&live_vms, 12)), addresses(&before));
}

/// Guards against VMs whose links recover using a leaf's connections that others have been promised,
/// and against callers being sent to them before they are ready.
#[test]
fn recovering_vms_share_connections_and_get_no_callers() {
    let mut live_vms = fleet();
    let recovering = active_vms(&live_vms, 12)[0].address;
    for vm in &mut live_vms {
        if vm.address == recovering {
            vm.leaf_links = LeafLinks::Recovering;
        }
    }
    let is_recovering = |vm: &LiveVm| vm.address == recovering;
    assert!(!active_vms(&live_vms, 12).iter().any(is_recovering));
    assert!(leaf_using_vms(&live_vms, 12).iter().any(is_recovering));
}
