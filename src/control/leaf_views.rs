//! Views of leaf states and quarantined contents, updated from gossip.
//!
//! Requests read the views when they select replicas and are admitted. Leaf states that other VMs
//! report in error are corrected by the owner, and content that crashes targets is quarantined.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{MutexGuard, PoisonError};

use tracing::{debug, info};

use super::{ControlPlane, ControlState, LeafView};
use crate::clock::{boot_ms, unix_ms};
use crate::document_sync::encoded_bytes;
use crate::fact::{Fact, FactKey, LeafState};
use crate::fleet::Fleet;
use crate::ids::Snapshot;
use crate::quarantine::{LeafCrash, Quarantine};

impl ControlPlane {
    /// Returns the view of a leaf, or `None` if no state was reported.
    pub fn leaf_view(&self, address: SocketAddr) -> Option<LeafView> {
        self.with_leaf_views(|leaves| leaves.get(&address).cloned())
    }

    /// Calls `read` with all leaf views under a single read lock.
    pub fn with_leaf_views<T>(&self, read: impl FnOnce(&HashMap<SocketAddr, LeafView>) -> T) -> T {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        read(&leaves)
    }

    /// Returns the time until which a content is refused, if it is quarantined.
    pub fn quarantined_until(&self, fingerprint: u64, now_unix_ms: u64) -> Option<u64> {
        let table = self
            .quarantine_expiries
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        table
            .get(&fingerprint)
            .copied()
            .filter(|until| *until > now_unix_ms)
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined_contents(&self) -> usize {
        let now_unix_ms = unix_ms();
        let table = self
            .quarantine_expiries
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        table.values().filter(|until| **until > now_unix_ms).count()
    }

    /// Records and publishes that a leaf crashed while it ran a request content.
    pub fn record_crash(&self, fingerprint: u64, leaf: SocketAddr, shared: bool) {
        let crash = self
            .crash_evidence()
            .observe(fingerprint, leaf, shared, unix_ms());
        self.publish(Fact::LeafCrash(crash));
    }

    /// Returns whether a leaf crashed recently while it ran the content.
    pub fn has_crashed_leaf(&self, fingerprint: u64) -> bool {
        self.crash_evidence()
            .has_crashed_leaf(fingerprint, unix_ms())
    }

    fn crash_evidence(&self) -> MutexGuard<'_, Quarantine> {
        self.crash_evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a fact that this node observed.
    pub fn publish(&self, fact: Fact) {
        let mut state = self.state();
        if state.gossip.publish(fact.clone(), boot_ms()) {
            self.update_views(&mut state, &[fact]);
        }
    }

    /// Publishes this node's observation of a leaf that it owns.
    pub fn publish_leaf(&self, address: SocketAddr, leaf: LeafState, snapshots: Vec<Snapshot>) {
        let mut state = self.state();
        let observed = (leaf, snapshots.clone());
        state.own_observations.insert(address, observed);
        let fact = state
            .gossip
            .publish_leaf(address, leaf, snapshots, boot_ms());
        self.update_views(&mut state, &[fact]);
    }

    /// Announces that this VM is shutting down.
    pub fn leave(&self) {
        self.state().gossip.leave(boot_ms());
        self.recompile();
    }

    /// Merges all facts of a peer.
    pub fn merge(&self, facts: Vec<Fact>, source: SocketAddr) {
        let mut state = self.state();
        let new_facts = state.gossip.merge(facts, source, boot_ms());
        self.update_views(&mut state, &new_facts);
    }

    /// Returns all facts for a peer that joins; the state of this VM is included only after gossip
    /// has started.
    pub fn all_facts(&self) -> Vec<Fact> {
        let own_key = FactKey::Vm(self.settings.internal_address);
        let announced = self.gossip_started.load(Ordering::SeqCst);
        let mut facts = Vec::new();
        for entry in self.state().gossip.facts() {
            if announced || entry.fact.key() != own_key {
                facts.push(entry.fact.clone());
            }
        }
        self.telemetry
            .count_control_bytes("link", "sent", encoded_bytes(&facts));
        facts
    }

    /// Updates the views with new facts. The caller holds the state lock, so that an older fact
    /// never replaces a newer one.
    pub(super) fn update_views(&self, state: &mut ControlState, new_facts: &[Fact]) {
        let fleet = self.fleet();
        for fact in new_facts {
            match fact {
                Fact::Vm { address, state, .. } => {
                    info!(event = "vm_state", vm = %address, state = ?state);
                }
                Fact::Leaf {
                    address,
                    state: leaf,
                    snapshots,
                    ..
                } => {
                    self.update_leaf_view(*address, *leaf, snapshots);
                    state.track_conflict(&fleet, &self.settings.vm, *address, *leaf, snapshots);
                }
                Fact::Quarantine {
                    fingerprint,
                    until_unix_ms,
                } => self.update_quarantine(*fingerprint, *until_unix_ms),
                Fact::LeafCrash(crash) => self.apply_leaf_crash(state, *crash),
                Fact::Document { name, version } => {
                    debug!(event = "document_announced", name = %name, revision = version.revision);
                    self.document_announced.notify_one();
                }
                Fact::DiscardedVersion(version) => state.store.record_discarded(version, unix_ms()),
                // Published only by the gateway.
                Fact::Profile { .. }
                | Fact::CrashedAttempt(_)
                | Fact::ContentSuccess(_)
                | Fact::LeafDeparture(_)
                | Fact::LeafLinks { .. }
                | Fact::Evacuation(_) => {}
            }
        }
    }

    fn update_leaf_view(&self, address: SocketAddr, state: LeafState, snapshots: &[Snapshot]) {
        let view = LeafView {
            state,
            snapshots: snapshots.to_vec(),
            observed_unix_ms: unix_ms(),
        };
        let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
        leaves.insert(address, view);
    }

    fn update_quarantine(&self, fingerprint: u64, until_unix_ms: u64) {
        info!(event = "content_quarantined", fingerprint, until_unix_ms);
        let mut table = self
            .quarantine_expiries
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let now_unix_ms = unix_ms();
        table.retain(|_, until| *until > now_unix_ms);
        table.insert(fingerprint, until_unix_ms);
    }

    /// Records a leaf crash as evidence and quarantines the content if the evidence suffices. Every
    /// VM that has the same crashes reaches the same decision.
    fn apply_leaf_crash(&self, state: &mut ControlState, crash: LeafCrash) {
        let fingerprint = crash.fingerprint;
        let quarantined_until = self.crash_evidence().record(crash, unix_ms());
        let Some(until_unix_ms) = quarantined_until else {
            return;
        };
        let fact = Fact::Quarantine {
            fingerprint,
            until_unix_ms,
        };
        if state.gossip.publish(fact, boot_ms()) {
            self.update_quarantine(fingerprint, until_unix_ms);
        }
    }

    /// Removes the views and observations of leaves that no file lists any more.
    pub(super) fn remove_unlisted_leaves(&self, state: &mut ControlState) {
        let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
        leaves.retain(|address, _| state.gossip.is_leaf_listed(*address));
        state
            .own_observations
            .retain(|address, _| state.gossip.is_leaf_listed(*address));
    }

    /// Removes expired quarantines, and republishes this node's observations of leaves for which
    /// another VM reported a different state.
    pub(super) fn run_maintenance(&self) {
        let mut state = self.state();
        let state = &mut *state;
        state.gossip.set_wall_clock(unix_ms());
        let mut facts = Vec::new();
        for address in std::mem::take(&mut state.conflicting) {
            if let Some((leaf, snapshots)) = state.own_observations.get(&address).cloned() {
                info!(event = "leaf_state_republished", leaf = %address, state = ?leaf);
                let fact = state
                    .gossip
                    .publish_leaf(address, leaf, snapshots, boot_ms());
                facts.push(fact);
            }
        }
        self.update_views(state, &facts);
    }
}

impl ControlState {
    /// Records whether the reported state of a leaf that this VM owns differs from its observation.
    /// The owner's observation takes precedence, whatever sequence number the report had.
    fn track_conflict(
        &mut self,
        fleet: &Fleet,
        vm: &str,
        address: SocketAddr,
        reported: LeafState,
        snapshots: &[Snapshot],
    ) {
        // Another VM reports `Draining` after a refusal that the owner may not have observed. The
        // owner treats it as a drain signal.
        if reported == LeafState::Draining {
            return;
        }
        let owner = fleet
            .find_leaf(address)
            .and_then(|leaf| leaf.owners.primary);
        if owner.is_none_or(|owner| &*fleet.vm(owner).entry.name != vm) {
            return;
        }
        let observed = self.own_observations.get(&address);
        if observed.is_some_and(|(state, loaded)| *state != reported || loaded != snapshots) {
            self.conflicting.insert(address);
        } else {
            self.conflicting.remove(&address);
        }
    }
}
