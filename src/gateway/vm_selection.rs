//! Selects the active VMs, which handle requests, and those of them to which a caller should
//! connect. Pure functions without I/O.
//!
//! Handles fleets in which each VM's share of a leaf's connections would be too small: a few
//! VMs of each failure domain handle the requests, so that they have enough connections and
//! observe enough replies to estimate the state of the leaves. All others are on standby. VMs that
//! are cut off from the leaves are not selected while there are others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::membership::LiveVm;
use crate::fact::LeafLinks;

/// Connections to one leaf that an active VM should have. With fewer, calls wait for connections to
/// a paused leaf although the leaf has free slots.
const CONNECTIONS_PER_ACTIVE_VM: u32 = 12;

/// Minimum number of active VMs in a failure domain: if there were only one, its loss would leave
/// callers without an address until they resolve again.
const MIN_ACTIVE_VMS_PER_DOMAIN: usize = 2;

/// Fraction of the active VMs that have to be left for them to take the load of all, as a divisor.
const MIN_USABLE_DIVISOR: usize = 3;

/// Processor capacity above which the score doesn't increase, in thousandths of a core.
const MAX_SCORED_MILLICORES: u32 = 500;

/// Link rate above which the score doesn't increase, in megabits per second: at this rate, the
/// replies to a query over fifty shards take about 5 ms to transfer.
const MAX_SCORED_LINK_MBPS: u32 = 100;

/// Maximum capacity score of a VM.
const CAPACITY_SCALE: u32 = 1_000;

/// Returns the desired number of active VMs, given the lowest connection limit of a leaf.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::desired_active_vms;
/// assert_eq!(desired_active_vms(31), 2);
/// assert_eq!(desired_active_vms(77), 6);
/// ```
pub fn desired_active_vms(max_connections: u32) -> usize {
    let desired = max_connections / CONNECTIONS_PER_ACTIVE_VM;
    usize::try_from(desired).unwrap_or(usize::MAX).max(1)
}

/// Returns the capacity score of a VM, limited by the scarcer of processor and link.
fn capacity_score(vm: &LiveVm) -> u32 {
    let profile = &vm.profile;
    let processor_score =
        profile.millicores.min(MAX_SCORED_MILLICORES) * CAPACITY_SCALE / MAX_SCORED_MILLICORES;
    let link_score =
        profile.link_mbps.min(MAX_SCORED_LINK_MBPS) * CAPACITY_SCALE / MAX_SCORED_LINK_MBPS;
    processor_score.min(link_score)
}

/// Returns the active VMs: in each failure domain, those with the highest capacity scores.
///
/// VMs with the same view of the live VMs select the same active VMs.
///
/// # Examples
///
/// ```
/// use cloverrack::fact::{LeafLinks, Profile};
/// use cloverrack::gateway::{LiveVm, active_vms};
/// let vm = |port: u16, millicores| LiveVm {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: "a".into(),
///         millicores,
///         link_mbps: 100,
///     },
///     leaf_links: LeafLinks::Connected,
/// };
/// let vms = [vm(10, 120), vm(20, 500), vm(30, 250)];
/// let selected = active_vms(&vms, 1);
/// assert_eq!(selected.len(), 2);
/// assert!(selected.iter().all(|vm| vm.profile.millicores > 120));
/// ```
pub fn active_vms(vms: &[LiveVm], desired: usize) -> Vec<LiveVm> {
    usual_or_replaced(vms, desired, |vm| vm.leaf_links == LeafLinks::Connected)
}

/// Returns the VMs that use the leaves: the active VMs, and those that would be active if their links
/// were not recovering.
pub fn leaf_using_vms(vms: &[LiveVm], desired: usize) -> Vec<LiveVm> {
    usual_or_replaced(vms, desired, |vm| vm.leaf_links != LeafLinks::Lost)
}

/// Selects the usable ones of the VMs that are active while all are usable. Others replace them only if
/// too few are left: they have no connections yet, and have observed nothing of the leaves.
fn usual_or_replaced(
    vms: &[LiveVm],
    desired: usize,
    is_usable: impl Fn(&LiveVm) -> bool,
) -> Vec<LiveVm> {
    let mut selected = select(vms, desired, |_| true);
    let usual = selected.len();
    selected.retain(&is_usable);
    if selected.len() * MIN_USABLE_DIVISOR >= usual {
        return selected;
    }
    select(vms, desired, |vm| is_usable(vm))
}

/// Selects VMs among those that are usable, or among all if none is. The others of a failure domain,
/// and those of other domains, take the place of VMs that are not.
fn select(vms: &[LiveVm], desired: usize, is_usable: impl Fn(&&LiveVm) -> bool) -> Vec<LiveVm> {
    let all_domains: BTreeSet<&str> = vms.iter().map(|vm| &*vm.profile.failure_domain).collect();
    let mut usable: Vec<&LiveVm> = vms.iter().filter(is_usable).collect();
    if usable.is_empty() {
        usable = vms.iter().collect();
    }
    let mut domains: BTreeMap<&str, Vec<&LiveVm>> = BTreeMap::new();
    for vm in usable {
        let domain = &*vm.profile.failure_domain;
        domains.entry(domain).or_default().push(vm);
    }
    let wanted = desired.max(MIN_ACTIVE_VMS_PER_DOMAIN * all_domains.len());
    let per_domain = wanted.div_ceil(domains.len().max(1));
    let mut selected = Vec::new();
    for candidates in domains.values_mut() {
        let hash = |vm: &LiveVm| xxh3_64(vm.address.to_string().as_bytes());
        candidates.sort_by_cached_key(|vm| (std::cmp::Reverse(capacity_score(vm)), hash(vm)));
        selected.extend(candidates.iter().take(per_domain).map(|vm| (*vm).clone()));
    }
    selected
}

/// Returns the addresses for a caller in a failure domain: those of the domain's active VMs, and of
/// all domains if it has fewer than two.
///
/// # Examples
///
/// ```
/// use cloverrack::fact::{LeafLinks, Profile};
/// use cloverrack::gateway::{LiveVm, caller_addresses};
/// let vm = |port: u16, domain: &str| LiveVm {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: domain.into(),
///         millicores: 250,
///         link_mbps: 100,
///     },
///     leaf_links: LeafLinks::Connected,
/// };
/// let active_vms = [vm(10, "a"), vm(20, "a"), vm(30, "b")];
/// assert_eq!(caller_addresses(&active_vms, "a", 64).len(), 2);
/// assert_eq!(caller_addresses(&active_vms, "b", 64).len(), 3);
/// ```
pub fn caller_addresses(
    active_vms: &[LiveVm],
    failure_domain: &str,
    max_addresses: usize,
) -> Vec<SocketAddr> {
    let is_local = |vm: &&LiveVm| &*vm.profile.failure_domain == failure_domain;
    let mut selected: Vec<&LiveVm> = active_vms.iter().filter(is_local).collect();
    if selected.len() < MIN_ACTIVE_VMS_PER_DOMAIN {
        selected = active_vms.iter().collect();
    }
    let addresses = selected.iter().map(|vm| vm.profile.caller_address);
    addresses.take(max_addresses).collect()
}
