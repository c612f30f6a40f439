//! Which entry addresses a caller is told to use, and for how long.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Fleet;

/// Addresses given to one caller.
const MAX_ENTRIES: usize = 4;

/// Answer to a caller that asks which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entries {
    /// Addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be kept.
    pub keep_ms: u64,
    /// Ticket block for requests that are not idempotent.
    pub ticket_block: Option<Box<str>>,
}

/// Ranks the live VMs for a caller: own failure domain first, then in an order that differs from
/// caller to caller, so that callers spread evenly.
///
/// The last address is one of another failure domain if there is any, so that the loss of the own
/// one does not leave the caller without an address.
pub fn rank_entry_addresses(
    fleet: &Fleet,
    failure_domain: Option<&str>,
    caller: &str,
) -> Vec<SocketAddr> {
    let seed = xxh3_64_with_seed(caller.as_bytes(), 0);
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for vm in &fleet.vms {
        if !vm.live {
            continue;
        }
        let order = xxh3_64_with_seed(vm.entry.name.as_bytes(), seed);
        let list = if failure_domain == Some(&*vm.entry.failure_domain) {
            &mut local
        } else {
            &mut remote
        };
        list.push((order, vm.entry.caller_address));
    }
    local.sort_unstable();
    remote.sort_unstable();
    if !remote.is_empty() {
        local.truncate(MAX_ENTRIES - 1);
    }
    let ranked = local.into_iter().chain(remote);
    ranked
        .take(MAX_ENTRIES)
        .map(|(_, address)| address)
        .collect()
}
