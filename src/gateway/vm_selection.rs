//! Which VMs carry the callers' load, and which of them a caller should connect to: pure choices.
//!
//! Answers the load of a fleet in which each VM's share of a leaf's connections would be too small:
//! a few VMs of each failure domain carry the requests, so that they hold enough connections and see
//! enough answers to know the leaves. All others stand by.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::membership::LiveVm;

/// Connections to one leaf that a carrier should have. Fewer than that, and calls wait behind a
/// paused leaf's connections although the leaf has slots.
const CONNECTIONS_PER_ACTIVE_VM: u32 = 12;

/// Fewest carriers of a failure domain: with one, its loss would leave callers with nothing until
/// their next question.
const MIN_ACTIVE_VMS_PER_DOMAIN: usize = 2;

/// Processor time from which more makes a VM no better a carrier, in thousandths of a core.
const AMPLE_MILLICORES: u32 = 500;

/// Link rate from which more makes a VM no better a carrier, in megabits per second: the parts of a
/// query over fifty shards then take some 5 ms.
const AMPLE_LINK_MBPS: u32 = 100;

/// Denominator of a VM's fitness.
const CAPACITY_SCALE: u32 = 1_000;

/// Returns how many VMs should carry requests when the leaf with the fewest accepts so many
/// connections.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::desired_active_vms;
/// assert_eq!(desired_active_vms(31), 2);
/// assert_eq!(desired_active_vms(77), 6);
/// ```
pub fn desired_active_vms(max_connections: u32) -> usize {
    let wanted = max_connections / CONNECTIONS_PER_ACTIVE_VM;
    usize::try_from(wanted).unwrap_or(usize::MAX).max(1)
}

/// Returns how fit a VM is to carry requests: the scarcer of processor and link decides.
fn capacity_score(member: &LiveVm) -> u32 {
    let profile = &member.profile;
    let processor = profile.millicores.min(AMPLE_MILLICORES) * CAPACITY_SCALE / AMPLE_MILLICORES;
    let link = profile.link_mbps.min(AMPLE_LINK_MBPS) * CAPACITY_SCALE / AMPLE_LINK_MBPS;
    processor.min(link)
}

/// Returns the VMs that carry requests: in each failure domain the fittest.
///
/// VMs that know the same members choose the same carriers.
///
/// # Examples
///
/// ```
/// use cloverrack::fact::Profile;
/// use cloverrack::gateway::{LiveVm, active_vms};
/// let member = |port: u16, millicores| LiveVm {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: "a".into(),
///         millicores,
///         link_mbps: 100,
///     },
/// };
/// let members = [member(10, 120), member(20, 500), member(30, 250)];
/// let chosen = active_vms(&members, 1);
/// assert_eq!(chosen.len(), 2);
/// assert!(chosen.iter().all(|member| member.profile.millicores > 120));
/// ```
pub fn active_vms(members: &[LiveVm], wanted: usize) -> Vec<LiveVm> {
    let mut domains: BTreeMap<&str, Vec<&LiveVm>> = BTreeMap::new();
    for member in members {
        let domain = &*member.profile.failure_domain;
        domains.entry(domain).or_default().push(member);
    }
    let each = wanted
        .div_ceil(domains.len().max(1))
        .max(MIN_ACTIVE_VMS_PER_DOMAIN);
    let mut chosen = Vec::new();
    for candidates in domains.values_mut() {
        let hash = |member: &LiveVm| xxh3_64(member.address.to_string().as_bytes());
        candidates.sort_by_key(|member| (std::cmp::Reverse(capacity_score(member)), hash(member)));
        chosen.extend(candidates.iter().take(each).map(|member| (*member).clone()));
    }
    chosen
}

/// Returns the addresses for a caller in a failure domain: its own carriers, and those of other
/// domains while it has fewer than two.
///
/// # Examples
///
/// ```
/// use cloverrack::fact::Profile;
/// use cloverrack::gateway::{LiveVm, caller_addresses};
/// let member = |port: u16, domain: &str| LiveVm {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: domain.into(),
///         millicores: 250,
///         link_mbps: 100,
///     },
/// };
/// let active_vms = [member(10, "a"), member(20, "a"), member(30, "b")];
/// assert_eq!(caller_addresses(&active_vms, "a", 64).len(), 2);
/// assert_eq!(caller_addresses(&active_vms, "b", 64).len(), 3);
/// ```
pub fn caller_addresses(
    active_vms: &[LiveVm],
    failure_domain: &str,
    most: usize,
) -> Vec<SocketAddr> {
    let is_local = |member: &&LiveVm| &*member.profile.failure_domain == failure_domain;
    let mut chosen: Vec<&LiveVm> = active_vms.iter().filter(is_local).collect();
    if chosen.len() < MIN_ACTIVE_VMS_PER_DOMAIN {
        chosen = active_vms.iter().collect();
    }
    let addresses = chosen.iter().map(|member| member.profile.caller_address);
    addresses.take(most).collect()
}
