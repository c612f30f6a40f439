//! Which VMs carry the callers' load, and which of them a caller should connect to: pure choices.
//!
//! Answers the load of a fleet in which each VM's share of a leaf's connections would be too small:
//! a few VMs of each failure domain carry the requests, so that they hold enough connections and see
//! enough answers to know the leaves. All others stand by.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::members::Member;

/// Connections to one leaf that a carrier should have. Fewer than that, and calls wait behind a
/// paused leaf's connections although the leaf has slots.
const CARRIER_CONNECTIONS: u32 = 12;

/// Fewest carriers of a failure domain: with one, its loss would leave callers with nothing until
/// their next question.
const MIN_DOMAIN_CARRIERS: usize = 2;

/// Processor time from which more makes a VM no better a carrier, in thousandths of a core.
const AMPLE_MILLICORES: u32 = 500;

/// Link rate from which more makes a VM no better a carrier, in megabits per second: the parts of a
/// query over fifty shards then take some 5 ms.
const AMPLE_LINK_MBPS: u32 = 100;

/// Denominator of a VM's fitness.
const FITNESS_SCALE: u32 = 1_000;

/// Returns how many VMs should carry requests when the leaf with the fewest accepts so many
/// connections.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::carriers_wanted;
/// assert_eq!(carriers_wanted(31), 2);
/// assert_eq!(carriers_wanted(77), 6);
/// ```
pub fn carriers_wanted(max_connections: u32) -> usize {
    let wanted = max_connections / CARRIER_CONNECTIONS;
    usize::try_from(wanted).unwrap_or(usize::MAX).max(1)
}

/// Returns how fit a VM is to carry requests: the scarcer of processor and link decides.
fn fitness(member: &Member) -> u32 {
    let profile = &member.profile;
    let processor = profile.millicores.min(AMPLE_MILLICORES) * FITNESS_SCALE / AMPLE_MILLICORES;
    let link = profile.link_mbps.min(AMPLE_LINK_MBPS) * FITNESS_SCALE / AMPLE_LINK_MBPS;
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
/// use cloverrack::gateway::{Member, carriers};
/// let member = |port: u16, millicores| Member {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: "a".into(),
///         millicores,
///         link_mbps: 100,
///     },
/// };
/// let members = [member(10, 120), member(20, 500), member(30, 250)];
/// let chosen = carriers(&members, 1);
/// assert_eq!(chosen.len(), 2);
/// assert!(chosen.iter().all(|member| member.profile.millicores > 120));
/// ```
pub fn carriers(members: &[Member], wanted: usize) -> Vec<Member> {
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members {
        let domain = &*member.profile.failure_domain;
        domains.entry(domain).or_default().push(member);
    }
    let each = wanted
        .div_ceil(domains.len().max(1))
        .max(MIN_DOMAIN_CARRIERS);
    let mut chosen = Vec::new();
    for candidates in domains.values_mut() {
        let hash = |member: &Member| xxh3_64(member.address.to_string().as_bytes());
        candidates.sort_by_key(|member| (std::cmp::Reverse(fitness(member)), hash(member)));
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
/// use cloverrack::gateway::{Member, caller_addresses};
/// let member = |port: u16, domain: &str| Member {
///     address: ([127, 0, 0, 1], port).into(),
///     profile: Profile {
///         caller_address: ([127, 0, 0, 1], port + 1).into(),
///         failure_domain: domain.into(),
///         millicores: 250,
///         link_mbps: 100,
///     },
/// };
/// let carriers = [member(10, "a"), member(20, "a"), member(30, "b")];
/// assert_eq!(caller_addresses(&carriers, "a", 64).len(), 2);
/// assert_eq!(caller_addresses(&carriers, "b", 64).len(), 3);
/// ```
pub fn caller_addresses(carriers: &[Member], failure_domain: &str, most: usize) -> Vec<SocketAddr> {
    let is_local = |member: &&Member| &*member.profile.failure_domain == failure_domain;
    let mut chosen: Vec<&Member> = carriers.iter().filter(is_local).collect();
    if chosen.len() < MIN_DOMAIN_CARRIERS {
        chosen = carriers.iter().collect();
    }
    let addresses = chosen.iter().map(|member| member.profile.caller_address);
    addresses.take(most).collect()
}
