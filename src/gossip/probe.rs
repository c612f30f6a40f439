//! Probes: direct, through relays, then suspicion and death.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::fact_table::Dissemination;
use super::{Datagram, Gossip, MessageKind, Outgoing};
use crate::fact::{Fact, FactKey, VmState};
use crate::ids::Incarnation;

/// Peers asked to probe on our behalf.
const INDIRECT_PROBE_PEERS: usize = 3;

/// Time for which the origin of a relayed probe is kept.
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
    /// Starts a probe of the next VM of the round.
    pub(super) fn start_probe(&mut self, now_ms: u64, rng: &mut impl Rng, out: &mut Outgoing) {
        let Some(target) = self.next_target(rng) else {
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

    /// Escalates the open probe: through relays after the ack timeout, then to a suspicion.
    pub(super) fn check_probe(&mut self, now_ms: u64, rng: &mut impl Rng, out: &mut Outgoing) {
        let Some(mut probe) = self.probe else {
            return;
        };
        let waited_ms = now_ms.saturating_sub(probe.sent_ms);
        if waited_ms >= self.timing.probe_interval_ms {
            self.probe = None;
            self.suspect(probe.target, now_ms, out);
            return;
        }
        if waited_ms < self.timing.ack_timeout_ms || probe.indirect_sent {
            return;
        }
        probe.indirect_sent = true;
        self.probe = Some(probe);
        let mut peers = self.live_peers();
        peers.retain(|peer| *peer != probe.target);
        for relay in peers.sample(rng, INDIRECT_PROBE_PEERS) {
            let kind = MessageKind::IndirectProbe {
                sequence: probe.sequence,
                target: probe.target,
            };
            out.push((*relay, self.datagram_with_facts(kind)));
        }
    }

    /// Suspects a VM and tells it so at once: it has the suspicion time to refute.
    fn suspect(&mut self, target: SocketAddr, now_ms: u64, out: &mut Outgoing) {
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

    /// Raises the state of a VM's current incarnation.
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

    /// Declares long suspects dead and forgets VMs that are dead and no longer listed.
    pub(super) fn expire_vms(&mut self, now_ms: u64) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (address, state, entry) in self.fact_table.vms() {
            let age_ms = now_ms.saturating_sub(entry.received_ms);
            if state == VmState::Suspect && age_ms >= self.timing.suspicion_ms {
                dead.push(address);
            }
            let listed = self.peers.contains(&address);
            if state == VmState::Dead && !listed && age_ms >= self.timing.dead_retention_ms {
                forgotten.push(FactKey::Vm(address));
            }
        }
        for address in dead {
            self.raise_state(address, VmState::Dead, now_ms);
        }
        for key in forgotten {
            self.fact_table.remove(&key);
        }
    }

    /// Restarts what time decides after this process did not run for a while: acknowledgements and
    /// refutations may have arrived unread.
    pub(super) fn reset_timers(&mut self, now_ms: u64) {
        self.probe = None;
        self.fact_table.restart_suspicions(now_ms);
    }

    /// Returns the next VM of a shuffled round over all that are not dead.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
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
            // A VM that died during the round is left to the probes of dead VMs.
            if self.vm_state(target) != Some(VmState::Dead) {
                return Some(target);
            }
        }
    }

    /// Probes a dead VM that is still listed, so that a partition heals.
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

    /// Relays a probe on a peer's behalf.
    pub(super) fn relay_probe(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u64,
        target: SocketAddr,
        now_ms: u64,
        out: &mut Outgoing,
    ) {
        let sequence = self.next_sequence_number();
        self.relayed
            .retain(|_, probe| now_ms < probe.sent_ms + RELAYED_PROBE_TTL_MS);
        let relayed = RelayedProbe {
            origin,
            origin_sequence,
            sent_ms: now_ms,
        };
        self.relayed.insert(sequence, relayed);
        out.push((
            target,
            self.datagram_with_facts(MessageKind::Probe { sequence }),
        ));
    }

    pub(super) fn acknowledge(&mut self, sequence: u64, out: &mut Outgoing) {
        if self.probe.is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
        if let Some(relayed) = self.relayed.remove(&sequence) {
            let kind = MessageKind::Ack {
                sequence: relayed.origin_sequence,
            };
            out.push((relayed.origin, self.datagram_with_facts(kind)));
        }
    }

    /// Queues what is held against a peer that is thought dead or suspect, or about its successor on
    /// the address, so that it can refute or stop.
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
