//! Which facts are worth holding: leaves that a file lists, quarantines that have not ended.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::fact::Fact;

/// Facts kept about leaves that no file lists yet: the file may still be on its way.
const MAX_EARLY_FACTS: usize = 8_192;

/// What files list and the time.
#[derive(Debug, Default)]
pub(super) struct Scope {
    leaves: Option<BTreeSet<SocketAddr>>,
    early: BTreeMap<SocketAddr, Fact>,
    now_unix_ms: u64,
}

impl Scope {
    pub(super) fn lists(&self, leaf: SocketAddr) -> bool {
        self.leaves
            .as_ref()
            .is_none_or(|leaves| leaves.contains(&leaf))
    }

    pub(super) fn contains(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Leaf { address, .. } => self.lists(*address),
            _ => !fact.is_expired(self.now_unix_ms),
        }
    }

    /// Returns whether a fact is in scope; one about an unlisted leaf is kept for its file.
    pub(super) fn admits(&mut self, fact: &Fact) -> bool {
        if self.contains(fact) {
            return true;
        }
        let Fact::Leaf { address, .. } = fact else {
            return false;
        };
        let held = self.early.get(address);
        let newer = held.is_none_or(|held| held.rank() < fact.rank());
        if newer && (held.is_some() || self.early.len() < MAX_EARLY_FACTS) {
            self.early.insert(*address, fact.clone());
        }
        false
    }

    /// Replaces the listed leaves; returns the facts kept about leaves that are listed now.
    pub(super) fn set_leaves(&mut self, leaves: BTreeSet<SocketAddr>) -> Vec<Fact> {
        let early = std::mem::take(&mut self.early);
        let listed = early.into_iter().filter(|(leaf, _)| leaves.contains(leaf));
        let arrived = listed.map(|(_, fact)| fact).collect();
        self.leaves = Some(leaves);
        arrived
    }

    pub(super) fn set_wall_clock(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = now_unix_ms;
    }
}
