//! Decides which failure domains are evacuated, without I/O.
//!
//! Handles facts of other VMs that arrive late or out of order, evacuations that end while no VM watches the
//! store, and a store that was restored from an older copy, which may lack the key of an evacuation.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{Evacuation, MAX_DOMAIN_BYTES};
use super::source::DomainChange;
use crate::document::Version;
use crate::gateway::catalog::RECOVERY_GRACE_MS;

/// Maximum number of evacuated domains. Deployments have a few; the bound limits what a faulty writer of
/// keys costs each VM.
pub const MAX_DOMAINS: usize = 64;

/// Maximum number of ended evacuations that are kept, by which older facts are recognised.
const MAX_ENDED: usize = 64;

/// Newest that is known of a domain.
#[derive(Clone, Copy, Debug)]
struct Known {
    version: Version,
    is_active: bool,
    /// Time at which the evacuation ends unless its key is written again.
    ends_at_ms: Option<u64>,
}

/// Evacuated domains that this VM has read from the store itself.
#[derive(Debug)]
struct StoreView {
    version: Version,
    domains: BTreeSet<Box<str>>,
    /// Whether all domains are listed, so that a missing one is not evacuated.
    is_complete: bool,
}

/// What a VM knows of evacuated failure domains.
///
/// # Examples
///
/// ```
/// use cloverrack::document::Version;
/// use cloverrack::gateway::evacuation::Evacuations;
/// let mut evacuations = Evacuations::default();
/// evacuations.read_image(Version { epoch: 1, revision: 7 }, vec!["b".into()], 0);
/// assert!(evacuations.active().eq(["b"]));
/// evacuations.read_image(Version { epoch: 1, revision: 8 }, vec![], 0);
/// assert_eq!(evacuations.active().count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Evacuations {
    known: BTreeMap<Box<str>, Known>,
    view: Option<StoreView>,
    /// Domains whose newest fact this VM has to publish.
    unpublished: BTreeSet<Box<str>>,
    refused: BTreeSet<Box<str>>,
    unlogged_refusals: Vec<Box<str>>,
}

impl StoreView {
    fn new(version: Version, listed: Vec<Box<str>>) -> Self {
        let mut view = Self {
            version,
            domains: BTreeSet::new(),
            is_complete: true,
        };
        for domain in listed {
            view.add(domain);
        }
        view
    }

    fn add(&mut self, domain: Box<str>) {
        if self.domains.len() < MAX_DOMAINS || self.domains.contains(&domain) {
            self.domains.insert(domain);
        } else {
            self.is_complete = false;
        }
    }
}

impl Known {
    fn precedence(&self) -> (Version, bool) {
        (self.version, self.is_active)
    }
}

impl Evacuations {
    /// Returns the evacuated domains.
    pub fn active(&self) -> impl Iterator<Item = &str> {
        let active = self.known.iter().filter(|(_, known)| known.is_active);
        active.map(|(domain, _)| &**domain)
    }

    /// Returns the facts on the evacuated domains.
    pub fn active_facts(&self) -> Vec<Evacuation> {
        self.active()
            .filter_map(|domain| self.fact(domain))
            .collect()
    }

    fn fact(&self, domain: &str) -> Option<Evacuation> {
        let known = self.known.get(domain)?;
        Some(Evacuation {
            domain: domain.into(),
            version: known.version,
            is_active: known.is_active,
        })
    }

    /// Returns the version after which this VM has to watch the store, given the version of its catalog.
    ///
    /// The catalog may be newer than what this VM has read itself, since peers send it without evacuations.
    pub fn watch_after(&self, catalog_version: Version) -> Version {
        let view = self.view.as_ref();
        view.map_or(catalog_version, |view| view.version.min(catalog_version))
    }

    /// Applies the fact of another VM.
    pub fn apply(&mut self, fact: Evacuation, now_ms: u64) {
        self.record(fact);
        self.compare_with_view(now_ms);
    }

    /// Applies a full read of the store, which lists all evacuated domains.
    pub fn read_image(&mut self, version: Version, domains: Vec<Box<str>>, now_ms: u64) {
        if self
            .view
            .as_ref()
            .is_some_and(|view| version < view.version)
        {
            return;
        }
        self.view = Some(StoreView::new(version, domains));
        self.compare_with_view(now_ms);
    }

    /// Applies changes that the store reported for the versions after `after`, up to `version`.
    pub fn read_changes(
        &mut self,
        after: Version,
        version: Version,
        changes: Vec<DomainChange>,
        now_ms: u64,
    ) {
        // Only the last change of a domain is its state at `version`.
        let mut states: BTreeMap<Box<str>, bool> = BTreeMap::new();
        for change in changes {
            states.insert(change.domain, change.is_evacuated);
        }
        let view = self.view.as_mut();
        if let Some(view) = view.filter(|view| view.version >= after && version >= view.version) {
            view.version = version;
            for (domain, is_evacuated) in &states {
                if *is_evacuated {
                    view.add(domain.clone());
                } else {
                    view.domains.remove(domain);
                }
            }
        }
        for (domain, is_active) in states {
            self.record_own(domain, version, is_active);
        }
        self.compare_with_view(now_ms);
    }

    /// Ends the evacuations whose keys a restored store lacks and that were not written again in time.
    pub fn end_due(&mut self, now_ms: u64) {
        self.compare_with_view(now_ms);
    }

    /// Removes and returns the facts that this VM has to publish.
    pub fn take_unpublished(&mut self) -> Vec<Evacuation> {
        let domains = std::mem::take(&mut self.unpublished);
        domains
            .iter()
            .filter_map(|domain| self.fact(domain))
            .collect()
    }

    /// Returns whether this VM has facts to publish.
    pub fn has_unpublished(&self) -> bool {
        !self.unpublished.is_empty()
    }

    /// Removes and returns the domains that were refused since the last call, since too many are evacuated
    /// or the name has an unusable length.
    pub fn take_refused(&mut self) -> Vec<Box<str>> {
        std::mem::take(&mut self.unlogged_refusals)
    }

    /// Brings what is known in line with a newer state that this VM has read from the store itself.
    fn compare_with_view(&mut self, now_ms: u64) {
        let Some(view) = &self.view else {
            return;
        };
        let version = view.version;
        let mut started: Vec<Box<str>> = Vec::new();
        for domain in &view.domains {
            let is_known = self.known.get(domain).is_some_and(|known| {
                let is_current = known.is_active && known.version.epoch >= version.epoch;
                is_current || known.precedence() >= (version, true)
            });
            if !is_known {
                started.push(domain.clone());
            }
        }
        let mut ended: Vec<Box<str>> = Vec::new();
        for (domain, known) in &mut self.known {
            let is_outdated = known.is_active && known.version < version;
            if !is_outdated || !view.is_complete || view.domains.contains(domain) {
                continue;
            }
            let ends_at_ms = known.ends_at_ms.get_or_insert(now_ms + RECOVERY_GRACE_MS);
            if known.version.epoch == version.epoch || now_ms >= *ends_at_ms {
                ended.push(domain.clone());
            }
        }
        // The ended ones first, since they make room.
        for domain in ended {
            self.record_own(domain, version, false);
        }
        for domain in started {
            self.record_own(domain, version, true);
        }
    }

    /// Records what this VM has read from the store, which it publishes.
    fn record_own(&mut self, domain: Box<str>, version: Version, is_active: bool) {
        let recorded = self.record(Evacuation {
            domain: domain.clone(),
            version,
            is_active,
        });
        if recorded {
            self.unpublished.insert(domain);
        }
    }

    /// Records a fact; returns whether it is newer than the known one.
    fn record(&mut self, fact: Evacuation) -> bool {
        let Evacuation {
            domain,
            version,
            is_active,
        } = fact;
        let known = self.known.get(&domain);
        if known.is_some_and(|known| known.precedence() >= (version, is_active)) {
            return false;
        }
        let was_active = known.is_some_and(|known| known.is_active);
        let has_room = was_active || !is_active || self.active().count() < MAX_DOMAINS;
        if !has_room || !(1..=MAX_DOMAIN_BYTES).contains(&domain.len()) {
            self.refuse(domain);
            return false;
        }
        self.refused.remove(&domain);
        let newest = Known {
            version,
            is_active,
            ends_at_ms: None,
        };
        self.known.insert(domain, newest);
        self.forget_oldest_ended();
        true
    }

    fn refuse(&mut self, domain: Box<str>) {
        if self.refused.len() < MAX_DOMAINS && self.refused.insert(domain.clone()) {
            self.unlogged_refusals.push(domain);
        }
    }

    fn forget_oldest_ended(&mut self) {
        let ended = self.known.iter().filter(|(_, known)| !known.is_active);
        if ended.clone().count() <= MAX_ENDED {
            return;
        }
        let oldest = ended.min_by_key(|(domain, known)| (known.version, (*domain).clone()));
        if let Some(domain) = oldest.map(|(domain, _)| domain.clone()) {
            self.known.remove(&domain);
        }
    }
}
