//! Which VMs a caller should connect to: pure choice among live VMs.
//!
//! Answers the load in which callers of one failure domain move, or its VMs are lost: callers stay in
//! their own domain as long as it has at least two VMs.

use std::net::SocketAddr;

use super::members::Member;

/// VMs below which a failure domain's callers also get VMs of other domains: with one VM, its loss
/// would leave callers with nothing until their next question.
const MIN_LOCAL_VMS: usize = 2;

/// Returns the addresses for a caller in a failure domain.
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
///     },
/// };
/// let members = [member(10, "a"), member(20, "a"), member(30, "b")];
/// assert_eq!(caller_addresses(&members, "a", 64).len(), 2);
/// assert_eq!(caller_addresses(&members, "b", 64).len(), 3);
/// ```
pub fn caller_addresses(members: &[Member], failure_domain: &str, most: usize) -> Vec<SocketAddr> {
    let is_local = |member: &&Member| &*member.profile.failure_domain == failure_domain;
    let mut chosen: Vec<&Member> = members.iter().filter(is_local).collect();
    if chosen.len() < MIN_LOCAL_VMS {
        chosen = members.iter().collect();
    }
    let addresses = chosen.iter().map(|member| member.profile.caller_address);
    addresses.take(most).collect()
}
