//! Which facts are worth holding: leaves that a file lists, quarantines that have not ended.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::fact::Fact;

/// Facts kept about leaves that no file lists yet: the file may still be on its way.
const MAX_DEFERRED_FACTS: usize = 8_192;

/// What files list and the time.
#[derive(Debug, Default)]
pub(super) struct FactFilter {
    leaves: Option<BTreeSet<SocketAddr>>,
    deferred: BTreeMap<SocketAddr, Fact>,
    now_unix_ms: u64,
}

impl FactFilter {
    pub(super) fn is_leaf_listed(&self, leaf: SocketAddr) -> bool {
        self.leaves
            .as_ref()
            .is_none_or(|leaves| leaves.contains(&leaf))
    }

    pub(super) fn contains(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Leaf { address, .. } => self.is_leaf_listed(*address),
            _ => !fact.is_expired(self.now_unix_ms),
        }
    }

    /// Returns whether a fact is in scope; one about an unlisted leaf is kept for its file.
    pub(super) fn accept_or_defer(&mut self, fact: &Fact) -> bool {
        if self.contains(fact) {
            return true;
        }
        let Fact::Leaf { address, .. } = fact else {
            return false;
        };
        let held = self.deferred.get(address);
        let newer = held.is_none_or(|held| held.precedence() < fact.precedence());
        if newer && (held.is_some() || self.deferred.len() < MAX_DEFERRED_FACTS) {
            self.deferred.insert(*address, fact.clone());
        }
        false
    }

    /// Replaces the listed leaves; returns the facts kept about leaves that are listed now.
    pub(super) fn set_leaves(&mut self, leaves: BTreeSet<SocketAddr>) -> Vec<Fact> {
        let deferred = std::mem::take(&mut self.deferred);
        let listed = deferred
            .into_iter()
            .filter(|(leaf, _)| leaves.contains(leaf));
        let arrived = listed.map(|(_, fact)| fact).collect();
        self.leaves = Some(leaves);
        arrived
    }

    pub(super) fn set_wall_clock(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = now_unix_ms;
    }
}
