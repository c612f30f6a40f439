//! Filter of the facts to store: facts about leaves only if a file lists the leaf, and all other
//! facts unless they have expired.
//!
//! Facts may arrive before the configuration file that lists their leaf. They are deferred up to a
//! limit, so that requests are routed by them as soon as the file is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::fact::Fact;

/// Maximum number of deferred facts about leaves that no file lists yet, since the file may arrive
/// later.
const MAX_DEFERRED_FACTS: usize = 8_192;

/// Listed leaves, deferred facts about unlisted ones, and the wall-clock time for expiry.
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

    pub(super) fn accepts(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Leaf { address, .. } => self.is_leaf_listed(*address),
            _ => !fact.is_expired(self.now_unix_ms),
        }
    }

    /// Returns whether a fact is accepted; one about an unlisted leaf is deferred until a file
    /// lists the leaf.
    pub(super) fn accept_or_defer(&mut self, fact: &Fact) -> bool {
        if self.accepts(fact) {
            return true;
        }
        let Fact::Leaf { address, .. } = fact else {
            return false;
        };
        let existing = self.deferred.get(address);
        let newer = existing.is_none_or(|existing| existing.precedence() < fact.precedence());
        if newer && (existing.is_some() || self.deferred.len() < MAX_DEFERRED_FACTS) {
            self.deferred.insert(*address, fact.clone());
        }
        false
    }

    /// Replaces the listed leaves; returns the deferred facts about leaves that are now listed.
    pub(super) fn set_leaves(&mut self, leaves: BTreeSet<SocketAddr>) -> Vec<Fact> {
        let deferred = std::mem::take(&mut self.deferred);
        let listed = deferred
            .into_iter()
            .filter(|(leaf, _)| leaves.contains(leaf));
        let newly_listed = listed.map(|(_, fact)| fact).collect();
        self.leaves = Some(leaves);
        newly_listed
    }

    pub(super) fn set_wall_clock(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = now_unix_ms;
    }
}
