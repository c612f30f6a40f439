//! Which entry addresses a caller is told to use, and for how long.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Fleet;

/// Addresses given to one caller.
const MAX_ENTRIES: usize = 4;

/// Answer to a caller that asks which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
pub fn rank(fleet: &Fleet, failure_domain: Option<&str>, caller: &str) -> Vec<SocketAddr> {
    let mut ranked = Vec::new();
    for vm in &fleet.vms {
        if !vm.live {
            continue;
        }
        let distant = failure_domain != Some(&*vm.entry.failure_domain);
        let order = xxh3_64_with_seed(
            vm.entry.name.as_bytes(),
            xxh3_64_with_seed(caller.as_bytes(), 0),
        );
        ranked.push((distant, order, vm.entry.caller_address));
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(MAX_ENTRIES)
        .map(|(_, _, address)| address)
        .collect()
}
