//! Failure detection: direct probes, indirect probes through peers, suspicion and death.
//!
//! A VM that does not answer stops receiving requests once it is declared dead. Indirect probes and
//! the suspicion time keep a lossy path or a short pause from having that effect.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::fact_table::Dissemination;
use super::{Datagram, Gossip, MessageKind, Outgoing};
use crate::fact::{Fact, FactKey, VmState};
use crate::ids::Incarnation;

/// Number of peers through which an indirect probe is sent.
const INDIRECT_PROBE_PEERS: usize = 3;

/// Time for which the origin of a relayed probe is stored.
const RELAYED_PROBE_TTL_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) sequence: u64,
    pub(super) target: SocketAddr,
    pub(super) sent_ms: u64,
    pub(super) indirect_sent: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    origin: SocketAddr,
    origin_sequence: u64,
    sent_ms: u64,
}

impl Gossip {
    /// Sends a probe to the next VM of the probe queue.
    pub(super) fn start_probe(&mut self, now_ms: u64, rng: &mut impl Rng, out: &mut Outgoing) {
        let Some(target) = self.next_probe_target(rng) else {
            return;
        };
        let sequence = self.next_sequence_number();
        self.probe = Some(Probe {
            sequence,
            target,
            sent_ms: now_ms,
            indirect_sent: false,
        });
        out.push((
            target,
            self.datagram_with_facts(MessageKind::Probe { sequence }),
        ));
    }

    /// Escalates the pending probe: to indirect probes after the ack timeout, and to a suspicion
    /// after the probe interval.
    pub(super) fn escalate_probe(&mut self, now_ms: u64, rng: &mut impl Rng, out: &mut Outgoing) {
        let Some(mut probe) = self.probe else {
            return;
        };
        let waited_ms = now_ms.saturating_sub(probe.sent_ms);
        if waited_ms >= self.timing.probe_interval_ms {
            self.probe = None;
            self.mark_suspect(probe.target, now_ms, out);
            return;
        }
        if waited_ms < self.timing.ack_timeout_ms || probe.indirect_sent {
            return;
        }
        probe.indirect_sent = true;
        self.probe = Some(probe);
        let mut peers = self.non_dead_peers();
        peers.retain(|peer| *peer != probe.target);
        for relay in peers.sample(rng, INDIRECT_PROBE_PEERS) {
            let kind = MessageKind::IndirectProbe {
                sequence: probe.sequence,
                target: probe.target,
            };
            out.push((*relay, self.datagram_with_facts(kind)));
        }
    }

    /// Marks a VM as suspect and notifies it immediately, so that it can refute the suspicion
    /// before the suspicion time ends.
    fn mark_suspect(&mut self, target: SocketAddr, now_ms: u64, out: &mut Outgoing) {
        self.raise_state(target, VmState::Suspect, now_ms);
        let Some(entry) = self.fact_table.get(&FactKey::Vm(target)) else {
            return;
        };
        let message = Datagram {
            facts: vec![entry.fact.clone()],
            ..self.datagram_without_facts(MessageKind::Push)
        };
        out.push((target, message));
    }

    /// Raises the state of a VM's current incarnation, unless it is as high already.
    fn raise_state(&mut self, target: SocketAddr, to: VmState, now_ms: u64) {
        let Some(entry) = self.fact_table.get(&FactKey::Vm(target)) else {
            return;
        };
        let mut fact = entry.fact.clone();
        let Fact::Vm { state, .. } = &mut fact else {
            return;
        };
        if *state < to {
            *state = to;
            self.insert(fact, None, Dissemination::Enqueue, now_ms);
        }
    }

    /// Declares VMs dead after the suspicion time, and removes dead VMs that are no longer listed
    /// after the retention time.
    pub(super) fn expire_vms(&mut self, now_ms: u64) {
        let mut dead = Vec::new();
        let mut removed = Vec::new();
        for (address, state, entry) in self.fact_table.vms() {
            let age_ms = now_ms.saturating_sub(entry.received_ms);
            if state == VmState::Suspect && age_ms >= self.timing.suspicion_ms {
                dead.push(address);
            }
            let listed = self.peers.contains(&address);
            if state == VmState::Dead && !listed && age_ms >= self.timing.dead_retention_ms {
                removed.push(FactKey::Vm(address));
            }
        }
        for address in dead {
            self.raise_state(address, VmState::Dead, now_ms);
        }
        for key in removed {
            self.fact_table.remove(&key);
        }
    }

    /// Drops the pending probe and restarts suspicions after this process was paused, since
    /// acknowledgements and refutations may have arrived that are not processed yet.
    pub(super) fn reset_after_pause(&mut self, now_ms: u64) {
        self.probe = None;
        self.fact_table.restart_suspicions(now_ms);
    }

    /// Returns the next VM to probe. An empty queue is refilled in random order with all VMs that
    /// are not dead, so that each of them is probed once per round.
    fn next_probe_target(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.probe_queue.is_empty() {
            self.probe_queue = self.peers_in_state(|state| state != VmState::Dead);
            for peer in &self.peers {
                if self.fact_table.get(&FactKey::Vm(*peer)).is_none() {
                    self.probe_queue.push(*peer);
                }
            }
            self.probe_queue.shuffle(rng);
        }
        loop {
            let target = self.probe_queue.pop()?;
            // VMs that were declared dead during the round are probed by `probe_dead` instead.
            if self.vm_state(target) != Some(VmState::Dead) {
                return Some(target);
            }
        }
    }

    /// Probes a random dead VM that is still listed, so that membership recovers after a partition.
    pub(super) fn probe_dead(&mut self, rng: &mut impl Rng, out: &mut Outgoing) {
        let mut dead = self.peers_in_state(|state| state == VmState::Dead);
        dead.retain(|peer| self.peers.contains(peer));
        if let Some(target) = dead.choose(rng).copied() {
            let sequence = self.next_sequence_number();
            out.push((
                target,
                self.datagram_with_facts(MessageKind::Probe { sequence }),
            ));
        }
    }

    /// Probes a VM on a peer's behalf; the acknowledgement is relayed to the peer.
    pub(super) fn relay_probe(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u64,
        target: SocketAddr,
        now_ms: u64,
        out: &mut Outgoing,
    ) {
        let sequence = self.next_sequence_number();
        self.relayed_probes
            .retain(|_, probe| now_ms < probe.sent_ms + RELAYED_PROBE_TTL_MS);
        let relayed = RelayedProbe {
            origin,
            origin_sequence,
            sent_ms: now_ms,
        };
        self.relayed_probes.insert(sequence, relayed);
        out.push((
            target,
            self.datagram_with_facts(MessageKind::Probe { sequence }),
        ));
    }

    /// Ends the pending probe, or relays the acknowledgement to the origin of a relayed probe.
    pub(super) fn handle_ack(&mut self, sequence: u64, out: &mut Outgoing) {
        if self.probe.is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            let kind = MessageKind::Ack {
                sequence: relayed.origin_sequence,
            };
            out.push((relayed.origin, self.datagram_with_facts(kind)));
        }
    }

    /// Queues the state of a peer that is stored as suspect or dead, or with another incarnation
    /// than `sender`, so that the peer can refute the state or stop.
    pub(super) fn queue_state_of(&mut self, peer: SocketAddr, sender: Incarnation) {
        let key = FactKey::Vm(peer);
        let Some(entry) = self.fact_table.get(&key) else {
            return;
        };
        let Fact::Vm {
            incarnation, state, ..
        } = entry.fact
        else {
            return;
        };
        if incarnation != sender || state >= VmState::Suspect {
            self.fact_table.enqueue(&key);
        }
    }
}
