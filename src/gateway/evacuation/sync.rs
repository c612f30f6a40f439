//! Applies what the store and other VMs say about evacuations to the leaves of this VM.

use std::collections::{BTreeSet, HashMap};

use tracing::{info, warn};

use super::evacuations::Evacuations;
use super::message::Evacuation;
use super::source::{SourceChanges, SourceImage};
use super::warmups::WarmupSettings;
use crate::clock::{boot_ms, boot_us};
use crate::document::Version;
use crate::gateway::catalog::ChangeSummary;
use crate::gateway::engine::{Engine, State};

impl Engine {
    /// Applies a full read of the store. Evacuations come first, so that no new leaf of an evacuated domain
    /// is used.
    pub fn apply_source_image(&self, image: SourceImage) -> ChangeSummary {
        let state = &mut *self.state();
        let version = image.catalog.version();
        state.apply_warmups(image.warmups);
        self.change_evacuations(state, |evacuations, now_ms| {
            evacuations.read_image(version, image.evacuated_domains, now_ms);
        });
        state.catalog.replace(image.catalog, boot_ms())
    }

    /// Applies the changes of the store after a version.
    pub(in crate::gateway) fn apply_source_changes(
        &self,
        after: Version,
        changes: SourceChanges,
    ) -> ChangeSummary {
        let state = &mut *self.state();
        let version = changes.catalog.version();
        state.apply_warmups(changes.warmups);
        self.change_evacuations(state, |evacuations, now_ms| {
            evacuations.read_changes(after, version, changes.evacuations, now_ms);
        });
        state.catalog.apply(changes.catalog, boot_ms())
    }

    /// Applies the facts of other VMs.
    pub(in crate::gateway) fn apply_evacuations(
        &self,
        state: &mut State,
        facts: impl IntoIterator<Item = Evacuation>,
    ) {
        self.change_evacuations(state, |evacuations, now_ms| {
            for fact in facts {
                evacuations.apply(fact, now_ms);
            }
        });
    }

    /// Ends the evacuations whose grace period after a restored store is over.
    pub fn end_due_evacuations(&self) {
        let state = &mut *self.state();
        self.change_evacuations(state, Evacuations::end_due);
    }

    /// Changes what is known of evacuations, and which leaves are withheld from requests by it.
    fn change_evacuations(&self, state: &mut State, change: impl FnOnce(&mut Evacuations, u64)) {
        change(&mut state.evacuations, boot_ms());
        if state.evacuations.has_unpublished() {
            self.evidence_queued.notify_one();
        }
        for domain in state.evacuations.take_refused() {
            warn!(event = "evacuation_refused", %domain);
        }
        let active: BTreeSet<Box<str>> = state.evacuations.active().map(Box::from).collect();
        let before = state.leaves.evacuated_domains();
        if active == *before {
            return;
        }
        for domain in active.difference(before) {
            info!(event = "evacuation_started", %domain);
        }
        for domain in before.difference(&active) {
            info!(event = "evacuation_ended", %domain);
        }
        self.metrics.record_evacuated_domains(active.len());
        state.leaves.set_evacuated_domains(active, boot_us());
    }

    /// Ends the limits of leaves that are no longer cold, and reports how many are.
    pub fn update_cold_leaves(&self) {
        let state = &mut *self.state();
        state.leaves.update_cold(boot_us());
        let leaves = state.leaves.cold_leaves();
        if std::mem::replace(&mut state.recorded_cold_leaves, leaves) != leaves {
            info!(event = "cold_leaves", leaves);
            self.metrics.record_cold_leaves(leaves);
        }
    }
}

impl State {
    /// Applies the limits on requests to cold leaves of a newer configuration.
    pub fn apply_warmups(&mut self, settings: Option<WarmupSettings>) {
        if !settings.is_some_and(|settings| self.warmups.replace(settings)) {
            return;
        }
        self.has_had_warmups |= !self.warmups.services.is_empty();
        let mut warmups = HashMap::new();
        for (service, warmup) in &self.warmups.services {
            if warmup.rate_milli > 0 {
                warmups.insert(self.names.intern(service), *warmup);
            }
        }
        self.leaves.set_warmups(warmups, boot_us());
    }
}
