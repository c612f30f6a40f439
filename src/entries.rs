//! Selection of the entry addresses that a caller receives for its requests.
//!
//! Callers are spread over the VMs of their failure domain. They also receive an address in another
//! failure domain in case their own one is lost.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Fleet;

/// Maximum number of addresses returned to one caller.
const MAX_ENTRIES: usize = 4;

/// Response with the entry addresses of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entries {
    /// Addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the response.
    pub keep_ms: u64,
    /// Ticket block for requests that are not idempotent.
    pub ticket_block: Option<Box<str>>,
}

/// Ranks the live VMs for a caller: those of its failure domain first, each group in a hash order
/// that differs from caller to caller, so that callers spread evenly.
///
/// The last address is in another failure domain if any has a live VM, so that the loss of the
/// caller's own failure domain does not leave it without an address.
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
        let hash = xxh3_64_with_seed(vm.entry.name.as_bytes(), seed);
        let candidates = if failure_domain == Some(&*vm.entry.failure_domain) {
            &mut local
        } else {
            &mut remote
        };
        candidates.push((hash, vm.entry.caller_address));
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
