//! What this VM says of itself, and how it contends with another process on its address.

use super::Gossip;
use super::fact_table::Dissemination;
use crate::fact::{Fact, VmState};
use crate::ids::Incarnation;

impl Gossip {
    /// Returns whether another process has taken this VM's address.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Ends the start: from now on a later process on this address supersedes this one.
    ///
    /// Before, this process is the later one, whatever the start times say: the wall clock of a
    /// predecessor may have been ahead.
    pub fn confirm_address(&mut self) {
        self.address_confirmed = true;
    }

    /// Announces that this VM is stopping.
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

    /// Handles a fact about this VM itself; a false suspicion is refuted.
    pub(super) fn refute(&mut self, fact: &Fact, now_ms: u64) -> bool {
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
            self.refutation = refutation + 1;
            self.announce_self(now_ms);
        }
        true
    }

    /// Decides between this process and another one on its address.
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
