//! Expires evidence on request contents, and sends it to VMs that may have missed it.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::anti_entropy::chunk_facts;
use super::fact_table::StoredFact;
use super::{Datagram, Gossip, MessageKind, Outgoing};
use crate::fact::{Fact, VmState};

/// Maximum amount of evidence that is sent to a VM which has just started.
const MAX_PUSHED_EVIDENCE: usize = 64;

impl Gossip {
    /// Sets the wall-clock time for expiry and removes the quarantines and evidence that have
    /// expired.
    pub fn set_wall_clock(&mut self, now_unix_ms: u64) {
        self.fact_filter.set_wall_clock(now_unix_ms);
        let mut expired = Vec::new();
        for (key, entry) in self.fact_table.expiring() {
            if !self.fact_filter.accepts(&entry.fact) {
                expired.push(key.clone());
            }
        }
        for key in expired {
            self.fact_table.remove(&key);
        }
    }

    /// Sends the evacuations and the newest evidence on contents to a VM that has just started or was cut
    /// off. It would send requests to evacuated leaves, and a content that others have quarantined, until
    /// anti-entropy delivers these facts.
    pub(super) fn send_evidence(&self, to: SocketAddr, out: &mut Outgoing) {
        let mut evidence: Vec<(u64, &StoredFact)> = Vec::new();
        for (_, entry) in self.fact_table.expiring() {
            if let Some(observed_unix_ms) = entry.fact.evidence_unix_ms() {
                evidence.push((observed_unix_ms, entry));
            }
        }
        evidence.sort_by_key(|(observed_unix_ms, _)| Reverse(*observed_unix_ms));
        let newest = evidence.iter().take(MAX_PUSHED_EVIDENCE);
        let newest = newest.map(|(_, entry)| *entry);
        let evacuations = self.fact_table.evacuations().map(|(_, entry)| entry);
        for facts in chunk_facts(evacuations.chain(newest)) {
            let message = Datagram {
                facts,
                ..self.datagram_without_facts(MessageKind::MissingFacts)
            };
            out.push((to, message));
        }
    }
}

/// Returns whether facts that were new include that the VM at `address` is alive.
pub(super) fn announces_vm(new_facts: &[Fact], address: SocketAddr) -> bool {
    let mut vms = new_facts.iter();
    vms.any(|fact| {
        matches!(fact, Fact::Vm { address: vm, state: VmState::Alive, .. } if *vm == address)
    })
}
