//! Which VMs carry the callers' load, as VMs come, leave and differ.

use cloverrack::fact::Profile;
use cloverrack::gateway::{
    LiveVm, active_vms, caller_addresses, connection_share, watches_platform,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// A fleet of 90 VMs in 3 failure domains, of which each third is small.
fn fleet() -> Vec<LiveVm> {
    let mut members = Vec::new();
    for number in 0..90_u8 {
        let domain = ["a", "b", "c"][usize::from(number) % 3];
        let is_small = number % 9 < 3;
        members.push(LiveVm {
            address: ([10, 0, 0, number], 7_740).into(),
            profile: Profile {
                caller_address: ([10, 0, 0, number], 8_226).into(),
                failure_domain: domain.into(),
                millicores: if is_small { 120 } else { 500 },
                link_mbps: if is_small { 14 } else { 140 },
            },
        });
    }
    members
}

/// Guards against VMs that disagree on the carriers because they list the members in another order.
#[test]
fn all_vms_choose_the_same_carriers() {
    let mut members = fleet();
    let expected = active_vms(&members, 12);
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..20 {
        members.shuffle(&mut rng);
        assert_eq!(active_vms(&members, 12), expected);
    }
}

/// Guards against small VMs that carry the load although larger ones are free, and against a failure
/// domain whose callers have to go elsewhere.
#[test]
fn carriers_are_fit_and_in_every_failure_domain() {
    let chosen = active_vms(&fleet(), 12);
    assert_eq!(chosen.len(), 12);
    assert!(chosen.iter().all(|member| member.profile.link_mbps == 140));
    for domain in ["a", "b", "c"] {
        let addresses = caller_addresses(&chosen, domain, 64);
        assert_eq!(addresses.len(), 4, "failure domain {domain}");
    }
}

/// Guards against a loss that moves callers of VMs which live on.
#[test]
fn the_loss_of_a_carrier_replaces_only_it() {
    let members = fleet();
    let before = active_vms(&members, 12);
    for lost in &before {
        let mut rest = members.clone();
        rest.retain(|member| member != lost);
        let after = active_vms(&rest, 12);
        let kept = before.iter().filter(|member| after.contains(member));
        assert_eq!(kept.count(), 11);
        assert_eq!(after.len(), 12);
    }
}

/// Guards against more connections to a leaf than it accepts, over all carriers and over VMs that
/// still see an older number of carriers.
#[test]
fn carriers_share_a_leafs_connections() {
    for (all, vms) in [(31, 7), (40, 8), (77, 6), (64, 10), (100, 7)] {
        let used = connection_share(all, vms) * vms;
        assert!(used <= all, "{vms} VMs use {used} of {all}");
    }
}

/// Guards against a large fleet in which every VM, or none, watches the platform.
#[test]
fn a_few_vms_of_a_large_fleet_watch_the_platform() {
    let members = fleet();
    let watching = |live: &[LiveVm]| {
        let watching = live.iter().filter(|m| watches_platform(live, m.address));
        watching.count()
    };
    assert_eq!(watching(&members), 5);
    assert_eq!(watching(&members[..10]), 10);
}
