//! State that this VM publishes about itself, and conflicts with other processes on its address.
//!
//! A false suspicion is refuted, so that the VM continues to receive requests. Of two processes on
//! one address, only the later one may serve requests.

use super::Gossip;
use super::fact_table::Dissemination;
use crate::fact::{Fact, VmState};
use crate::ids::Incarnation;

impl Gossip {
    /// Returns whether another process has taken this VM's address.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Ends the startup phase: from now on a later process on this address supersedes this one.
    ///
    /// During startup, this process counts as the later one regardless of the start times, since
    /// the wall clock of a predecessor may have been ahead.
    pub fn confirm_address(&mut self) {
        self.address_confirmed = true;
    }

    /// Announces that this VM is shutting down.
    pub fn leave(&mut self, now_ms: u64) {
        self.own_state = VmState::Leaving;
        self.announce_self(now_ms);
    }

    pub(super) fn announce_self(&mut self, now_ms: u64) {
        let fact = Fact::Vm {
            address: self.address,
            generation: self.generation,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.own_state,
        };
        self.insert(fact, None, Dissemination::Enqueue, now_ms);
    }

    /// Handles a fact about this VM itself, and refutes a false state. Returns whether the fact is
    /// about this VM.
    pub(super) fn handle_self_fact(&mut self, fact: &Fact, now_ms: u64) -> bool {
        let Fact::Vm {
            address,
            generation,
            incarnation,
            refutation,
            state,
        } = fact
        else {
            return false;
        };
        if *address != self.address {
            return false;
        }
        if *incarnation != self.incarnation {
            self.resolve_address_conflict(*generation, *incarnation, now_ms);
            return true;
        }
        if *state == self.own_state {
            return true;
        }
        if *refutation >= self.refutation {
            self.refutation = refutation.saturating_add(1);
            self.announce_self(now_ms);
        }
        true
    }

    /// Resolves a conflict with another process on this address. An earlier process is ignored; a
    /// later one supersedes this process, or during startup is outranked by a higher generation.
    fn resolve_address_conflict(&mut self, generation: u32, incarnation: Incarnation, now_ms: u64) {
        if (generation, incarnation) < (self.generation, self.incarnation) {
            return;
        }
        if self.address_confirmed {
            self.superseded = true;
            return;
        }
        self.generation = generation.saturating_add(1);
        self.announce_self(now_ms);
    }
}
