//! What this VM knows of the platform: the newest configuration and the leaves, by revision.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::routes::RouteDocument;

/// Time for which a leaf whose entry vanished during an outage of the platform stays in use after
/// the return of the platform: live leaves write their entries again within two seconds.
pub const RECOVERY_GRACE_MS: u64 = 2_300;

/// Batches of changes kept for peers that are behind.
const MAX_BATCHES: usize = 128;

/// A leaf as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafRecord {
    /// Identity that the leaf checks on each call.
    pub id: Box<str>,
    /// Service that it serves.
    pub service: Box<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time for which it stays slow after its start.
    pub warmup_left_ms: u64,
    /// Wall-clock time of its start; tells two processes with one identity apart.
    pub started_unix_ms: u64,
}

/// One change that the platform reports.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Change {
    /// The operators published a configuration.
    Document(RouteDocument),
    /// A leaf wrote its entry.
    Leaf(LeafRecord),
    /// The entry of a leaf was removed, or names no leaf that can be used.
    LeafRemoved(Box<str>),
}

/// A leaf entry with the time until which it is kept although the platform no longer has it.
#[derive(Clone, Debug)]
struct CatalogEntry {
    record: LeafRecord,
    removed_after_ms: Option<u64>,
}

/// Copy of the platform's state, for peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CatalogImage {
    /// Revision of the platform.
    pub revision: u64,
    /// Configuration, if one is known.
    pub document: Option<RouteDocument>,
    /// Leaves.
    pub leaves: Vec<LeafRecord>,
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ChangeSet {
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub revision: u64,
}

/// What a VM tells a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum CatalogUpdate {
    /// The peer has everything.
    Nothing,
    /// Changes that may begin before the peer's revision.
    Changes(ChangeSet),
    /// Everything.
    Image(CatalogImage),
}

/// Changes between two revisions, as they came.
#[derive(Clone, Debug)]
struct Batch {
    after: u64,
    found: ChangeSet,
}

/// What changed in the catalog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// A newer configuration is in force.
    pub document: bool,
    /// Leaves came, left or changed.
    pub leaves: bool,
}

/// Configuration and leaves, by the platform's revision.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: u64,
    changed_at: u64,
    document: Option<RouteDocument>,
    leaves: BTreeMap<Box<str>, CatalogEntry>,
    grace_until_ms: u64,
    recent: VecDeque<Batch>,
}

impl Catalog {
    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision at which the configuration or a leaf last changed.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Returns the newest configuration.
    pub fn document(&self) -> Option<&RouteDocument> {
        self.document.as_ref()
    }

    /// Returns the leaves, those kept for a grace time included.
    pub fn leaves(&self) -> impl Iterator<Item = &LeafRecord> {
        self.leaves.values().map(|known| &known.record)
    }

    /// Takes note that the platform answers again after an outage.
    ///
    /// Entries that it lacks now may have lapsed meanwhile, so they are kept for a short time.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Catalog, CatalogImage};
    /// let mut catalog = Catalog::default();
    /// catalog.platform_recovered(1_000);
    /// let image = CatalogImage { revision: 7, document: None, leaves: vec![] };
    /// catalog.replace(image, 1_000);
    /// assert_eq!(catalog.revision(), 7);
    /// ```
    pub fn platform_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + RECOVERY_GRACE_MS;
    }

    /// Applies changes in the order of their revisions, up to `revision`.
    pub fn apply(&mut self, found: ChangeSet, now_ms: u64) -> ChangeSummary {
        let mut changed = ChangeSummary::default();
        if found.revision < self.revision {
            return changed;
        }
        let revision = found.revision;
        self.record_history(found.clone());
        for change in found.changes {
            match change {
                Change::Document(document) => changed.document |= self.take_document(document),
                Change::Leaf(record) => changed.leaves |= self.take_leaf(record),
                Change::LeafRemoved(id) => changed.leaves |= self.remove_leaf(&id, now_ms),
            }
        }
        self.advance_to(revision, changed);
        changed
    }

    fn advance_to(&mut self, revision: u64, changed: ChangeSummary) {
        self.revision = revision;
        if changed.document || changed.leaves {
            self.changed_at = revision;
        }
    }

    /// Keeps changes for peers that are behind.
    fn record_history(&mut self, found: ChangeSet) {
        let after = self.revision;
        self.recent.push_back(Batch { after, found });
        if self.recent.len() > MAX_BATCHES {
            self.recent.pop_front();
        }
    }

    /// Returns what a peer lacks that knows everything up to `after`.
    ///
    /// Changes that it has already may come again: they end in the same state.
    pub fn since(&self, after: u64) -> CatalogUpdate {
        if after >= self.revision {
            return CatalogUpdate::Nothing;
        }
        let mut changes = Vec::new();
        let mut begins = u64::MAX;
        for batch in &self.recent {
            if batch.found.revision <= after {
                continue;
            }
            begins = begins.min(batch.after);
            changes.extend(batch.found.changes.iter().cloned());
        }
        if begins > after {
            return CatalogUpdate::Image(self.image());
        }
        CatalogUpdate::Changes(ChangeSet {
            changes,
            revision: self.revision,
        })
    }

    /// Takes what a peer knows.
    pub fn update(&mut self, update: CatalogUpdate, now_ms: u64) -> ChangeSummary {
        match update {
            CatalogUpdate::Nothing => ChangeSummary::default(),
            CatalogUpdate::Changes(found) => self.apply(found, now_ms),
            CatalogUpdate::Image(image) => self.replace(image, now_ms),
        }
    }

    /// Replaces everything by a whole image; an image of an older revision is ignored.
    pub fn replace(&mut self, image: CatalogImage, now_ms: u64) -> ChangeSummary {
        let mut changed = ChangeSummary::default();
        if image.revision < self.revision {
            return changed;
        }
        if let Some(document) = image.document {
            changed.document = self.take_document(document);
        }
        let listed: BTreeSet<&str> = image.leaves.iter().map(|record| &*record.id).collect();
        let mut missing: Vec<Box<str>> = Vec::new();
        for id in self.leaves.keys() {
            if !listed.contains(&**id) {
                missing.push(id.clone());
            }
        }
        for id in missing {
            changed.leaves |= self.remove_leaf(&id, now_ms);
        }
        for record in image.leaves {
            changed.leaves |= self.take_leaf(record);
        }
        if image.revision > self.revision {
            self.recent.clear();
        }
        self.advance_to(image.revision, changed);
        changed
    }

    /// Drops leaves whose grace time is over.
    pub fn expire(&mut self, now_ms: u64) -> ChangeSummary {
        let before = self.leaves.len();
        self.leaves
            .retain(|_, known| known.removed_after_ms.is_none_or(|end_ms| now_ms < end_ms));
        ChangeSummary {
            document: false,
            leaves: self.leaves.len() != before,
        }
    }

    /// Returns a copy for a peer, without leaves that are only kept for a grace time.
    pub fn image(&self) -> CatalogImage {
        let listed = self.leaves.values();
        let listed = listed.filter(|known| known.removed_after_ms.is_none());
        CatalogImage {
            revision: self.revision,
            document: self.document.clone(),
            leaves: listed.map(|known| known.record.clone()).collect(),
        }
    }

    /// Takes a configuration unless a newer one is in force: an accepted version never reverts.
    fn take_document(&mut self, document: RouteDocument) -> bool {
        let held = self.document.as_ref();
        if held.is_some_and(|held| held.version >= document.version) {
            return false;
        }
        self.document = Some(document);
        true
    }

    fn take_leaf(&mut self, record: LeafRecord) -> bool {
        let known = CatalogEntry {
            record,
            removed_after_ms: None,
        };
        let held = self.leaves.get(&known.record.id);
        let same = held.is_some_and(|held| held.record == known.record);
        self.leaves.insert(known.record.id.clone(), known);
        !same
    }

    fn remove_leaf(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(known) = self.leaves.get_mut(id) else {
            return false;
        };
        if now_ms < self.grace_until_ms && !known.record.draining {
            known.removed_after_ms.get_or_insert(self.grace_until_ms);
            return false;
        }
        self.leaves.remove(id);
        true
    }
}
