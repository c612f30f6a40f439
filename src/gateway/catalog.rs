//! Stores the newest configuration and the leaf records of the platform, from which the routes and
//! leaves of each request are taken.
//!
//! Handles VMs that are behind, which get the changes since their version or a full image from a
//! peer, outages of the platform, during which leaf records may lapse although the leaves run, and a
//! platform that is restored from an older copy, which begins a new epoch and repeats revisions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::routes::RouteDocument;
use crate::document::Version;

/// Grace period after the platform recovers from an outage. Leaves whose records have
/// disappeared stay in use for this time, since live leaves write their records again within two
/// seconds.
pub const RECOVERY_GRACE_MS: u64 = 2_300;

/// Time for which leaves that have left are remembered. A copy from which the platform is restored is
/// some seconds old and may list them.
const DEPARTURE_RETENTION_MS: u64 = 30_000;

/// Maximum number of leaves that are remembered after they have left.
const MAX_DEPARTURES: usize = 1_024;

/// Maximum number and size of the change batches kept for peers that are behind. A peer that is further
/// behind gets the whole state, which takes less than a megabyte for 4,400 leaves.
const MAX_HISTORY_BATCHES: usize = 128;
const MAX_HISTORY_BYTES: usize = 1_048_576;

/// Record that a leaf publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct LeafRecord {
    /// ID that the leaf checks on each call.
    pub id: Box<str>,
    /// Service that the leaf serves.
    pub service: Box<str>,
    /// Address for calls.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Maximum number of requests that the leaf processes concurrently.
    pub slots: u32,
    /// Whether the leaf is draining and takes no new requests.
    pub draining: bool,
    /// Remaining time for which the leaf is slow after its start.
    pub warmup_left_ms: u64,
    /// Wall-clock start time, which distinguishes processes that use the same ID.
    pub started_unix_ms: u64,
}

impl LeafRecord {
    /// Returns a hash that identifies the process of the leaf on all VMs.
    pub fn process_hash(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.started_unix_ms)
    }
}

/// A single change reported by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Change {
    /// A new configuration was published.
    Document(RouteDocument),
    /// A leaf wrote its record.
    Leaf(LeafRecord),
    /// The record of a leaf was removed, or doesn't describe a usable leaf.
    LeafRemoved(Box<str>),
}

/// A leaf record and, if the platform no longer has it, the time at which it expires.
#[derive(Clone, Debug)]
struct CatalogEntry {
    record: LeafRecord,
    expires_at_ms: Option<u64>,
}

/// Full copy of the platform's state, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CatalogImage {
    /// Epoch of the platform's history, which rises when the platform is restored from a copy.
    pub epoch: u64,
    /// Revision of the platform.
    pub revision: u64,
    /// Configuration, if one was published.
    pub document: Option<RouteDocument>,
    /// Leaf records.
    pub leaves: Vec<LeafRecord>,
}

/// Ordered changes up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ChangeSet {
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// Epoch of the platform's history.
    pub epoch: u64,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// Catalog update for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum CatalogUpdate {
    /// The peer is up to date.
    Nothing,
    /// Changes since the peer's revision; they may include some that it already has.
    Changes(ChangeSet),
    /// Full copy of the state.
    Image(CatalogImage),
}

impl CatalogImage {
    /// Returns the version of the platform's state.
    pub fn version(&self) -> Version {
        Version {
            epoch: self.epoch,
            revision: self.revision,
        }
    }
}

impl ChangeSet {
    /// Returns the version up to which the changes are complete.
    pub fn version(&self) -> Version {
        Version {
            epoch: self.epoch,
            revision: self.revision,
        }
    }
}

/// Changes of leaves between two versions, in the order in which they were received.
///
/// Configurations are left out, since each one replaces those before it: a peer gets the current one.
#[derive(Clone, Debug)]
struct ChangeBatch {
    base: Version,
    version: Version,
    leaf_changes: Vec<Change>,
    has_document: bool,
    bytes: usize,
}

impl Change {
    /// Returns the memory that the change of a leaf takes.
    fn leaf_bytes(&self) -> usize {
        let texts = match self {
            Self::Leaf(record) => {
                record.id.len() + record.service.len() + record.failure_domain.len()
            }
            Self::LeafRemoved(id) => id.len(),
            Self::Document(_) => 0,
        };
        size_of::<Self>() + texts
    }
}

/// Parts of the catalog that an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// A newer configuration was applied.
    pub document: bool,
    /// Leaves were added, removed or changed.
    pub leaves: bool,
}

/// Configuration and leaves at a revision of the platform, with the recent changes.
#[derive(Debug, Default)]
pub struct Catalog {
    version: Version,
    last_change: Version,
    document: Option<RouteDocument>,
    leaves: BTreeMap<Box<str>, CatalogEntry>,
    /// Processes of leaves that have left or announced their end, with the time of this.
    departures: HashMap<u64, u64>,
    grace_until_ms: u64,
    history: VecDeque<ChangeBatch>,
    history_bytes: usize,
}

impl Catalog {
    /// Returns the version of the platform's state up to which all changes were applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the version at which the configuration or a leaf last changed.
    pub fn last_change(&self) -> Version {
        self.last_change
    }

    /// Returns the current configuration.
    pub fn document(&self) -> Option<&RouteDocument> {
        self.document.as_ref()
    }

    /// Returns the leaves, including those kept for the grace period.
    pub fn leaves(&self) -> impl Iterator<Item = &LeafRecord> {
        self.leaves.values().map(|entry| &entry.record)
    }

    /// Starts the grace period after the platform has recovered from an outage.
    ///
    /// Records that are missing on the platform may have lapsed during the outage, so they are kept
    /// until the end of the grace period.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{Catalog, CatalogImage};
    /// let mut catalog = Catalog::default();
    /// catalog.platform_recovered(1_000);
    /// let image = CatalogImage { epoch: 0, revision: 7, document: None, leaves: vec![] };
    /// catalog.replace(image, 1_000);
    /// assert_eq!(catalog.version().revision, 7);
    /// ```
    pub fn platform_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + RECOVERY_GRACE_MS;
    }

    /// Applies changes in the order of their revisions; a set up to an older version, or of an epoch
    /// that is not the current one, is ignored.
    pub fn apply(&mut self, change_set: ChangeSet, now_ms: u64) -> ChangeSummary {
        let mut changed = ChangeSummary::default();
        let version = change_set.version();
        if version.epoch != self.version.epoch || version < self.version {
            return changed;
        }
        self.record_history(&change_set);
        for change in change_set.changes {
            match change {
                Change::Document(document) => changed.document |= self.apply_document(document),
                Change::Leaf(record) => changed.leaves |= self.upsert_leaf(record, now_ms),
                Change::LeafRemoved(id) => changed.leaves |= self.remove_leaf(&id, now_ms),
            }
        }
        self.advance_to(version, changed);
        changed
    }

    /// Sets the version. The beginning of an epoch counts as a change: other VMs have to leave the
    /// previous one.
    fn advance_to(&mut self, version: Version, changed: ChangeSummary) {
        let is_new_epoch = version.epoch != self.version.epoch;
        self.version = version;
        if changed.document || changed.leaves || is_new_epoch {
            self.last_change = version;
        }
    }

    /// Adds changes to the history for peers that are behind.
    fn record_history(&mut self, change_set: &ChangeSet) {
        let is_document = |change: &Change| matches!(change, Change::Document(_));
        let changes = change_set.changes.iter();
        let leaf_changes: Vec<Change> = changes
            .filter(|change| !is_document(change))
            .cloned()
            .collect();
        let leaf_bytes: usize = leaf_changes.iter().map(Change::leaf_bytes).sum();
        let batch = ChangeBatch {
            base: self.version,
            version: change_set.version(),
            has_document: change_set.changes.iter().any(is_document),
            leaf_changes,
            bytes: size_of::<ChangeBatch>() + leaf_bytes,
        };
        self.history_bytes += batch.bytes;
        self.history.push_back(batch);
        while self.history.len() > MAX_HISTORY_BATCHES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= oldest.bytes;
        }
    }

    /// Returns the memory of the changes that are kept for peers.
    pub fn history_bytes(&self) -> usize {
        self.history_bytes
    }

    /// Returns the update for a peer that has applied all changes up to version `after`.
    ///
    /// It may include changes that the peer already has, since applying them again is idempotent.
    pub fn update_since(&self, after: Version) -> CatalogUpdate {
        if after >= self.version {
            return CatalogUpdate::Nothing;
        }
        let mut changes = Vec::new();
        let mut base = None;
        let mut has_document = false;
        for batch in &self.history {
            if batch.version <= after {
                continue;
            }
            base = base.or(Some(batch.base));
            has_document |= batch.has_document;
            changes.extend(batch.leaf_changes.iter().cloned());
        }
        if base.is_none_or(|base| base.epoch != after.epoch || base > after) {
            return CatalogUpdate::Image(self.image());
        }
        if has_document {
            changes.extend(self.document.clone().map(Change::Document));
        }
        CatalogUpdate::Changes(ChangeSet {
            changes,
            epoch: self.version.epoch,
            revision: self.version.revision,
        })
    }

    /// Applies an update from a peer.
    pub fn update(&mut self, update: CatalogUpdate, now_ms: u64) -> ChangeSummary {
        match update {
            CatalogUpdate::Nothing => ChangeSummary::default(),
            CatalogUpdate::Changes(change_set) => self.apply(change_set, now_ms),
            CatalogUpdate::Image(image) => self.replace(image, now_ms),
        }
    }

    /// Replaces the state with a full image; an image of an older version is ignored.
    ///
    /// The first image of an epoch lacks what was written shortly before. Missing leaves are kept
    /// until they have written their records again, and leaves that have left stay out of use.
    pub fn replace(&mut self, mut image: CatalogImage, now_ms: u64) -> ChangeSummary {
        let mut changed = ChangeSummary::default();
        let version = image.version();
        if version < self.version {
            return changed;
        }
        let is_restored = version.epoch != self.version.epoch && self.version != Version::default();
        if is_restored {
            self.platform_recovered(now_ms);
            self.remove_departed(&mut image, now_ms);
        }
        if let Some(document) = image.document {
            changed.document = self.apply_document(document);
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
            changed.leaves |= self.upsert_leaf(record, now_ms);
        }
        if version > self.version {
            self.history.clear();
            self.history_bytes = 0;
        }
        self.advance_to(version, changed);
        changed
    }

    /// Removes the records of leaves from the first image of an epoch that have left or announced
    /// their end since the image was copied. A leaf that lives writes its record again.
    fn remove_departed(&self, image: &mut CatalogImage, now_ms: u64) {
        image.leaves.retain(|record| {
            let departed_ms = self.departures.get(&record.process_hash());
            record.draining
                || departed_ms
                    .is_none_or(|departed_ms| now_ms >= departed_ms + DEPARTURE_RETENTION_MS)
        });
    }

    /// Remembers that a leaf has left or announced its end.
    fn record_departure(&mut self, record: &LeafRecord, now_ms: u64) {
        self.departures
            .retain(|_, departed_ms| now_ms < *departed_ms + DEPARTURE_RETENTION_MS);
        if self.departures.len() < MAX_DEPARTURES {
            self.departures.insert(record.process_hash(), now_ms);
        }
    }

    /// Removes leaves whose grace period has ended.
    pub fn remove_expired(&mut self, now_ms: u64) -> ChangeSummary {
        let before = self.leaves.len();
        self.leaves
            .retain(|_, entry| entry.expires_at_ms.is_none_or(|end_ms| now_ms < end_ms));
        ChangeSummary {
            document: false,
            leaves: self.leaves.len() != before,
        }
    }

    /// Returns a full copy for a peer, without leaves that are only kept for the grace period.
    pub fn image(&self) -> CatalogImage {
        let entries = self.leaves.values();
        let entries = entries.filter(|entry| entry.expires_at_ms.is_none());
        CatalogImage {
            epoch: self.version.epoch,
            revision: self.version.revision,
            document: self.document.clone(),
            leaves: entries.map(|entry| entry.record.clone()).collect(),
        }
    }

    /// Stores a configuration only if it is newer than the current one, so that an accepted version
    /// is never reverted.
    fn apply_document(&mut self, document: RouteDocument) -> bool {
        let current = self.document.as_ref();
        if current.is_some_and(|current| current.version >= document.version) {
            return false;
        }
        self.document = Some(document);
        true
    }

    /// Stores the record of a leaf, and returns whether it is new or changed.
    fn upsert_leaf(&mut self, record: LeafRecord, now_ms: u64) -> bool {
        if record.draining {
            self.record_departure(&record, now_ms);
        }
        let entry = CatalogEntry {
            record,
            expires_at_ms: None,
        };
        let previous = self.leaves.get(&entry.record.id);
        let unchanged = previous.is_some_and(|previous| previous.record == entry.record);
        self.leaves.insert(entry.record.id.clone(), entry);
        !unchanged
    }

    /// Removes a leaf, and returns whether it was removed: in the grace period, a leaf that is not
    /// draining is kept until the end of the period.
    fn remove_leaf(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(entry) = self.leaves.get_mut(id) else {
            return false;
        };
        if now_ms < self.grace_until_ms && !entry.record.draining {
            entry.expires_at_ms.get_or_insert(self.grace_until_ms);
            return false;
        }
        if let Some(removed) = self.leaves.remove(id) {
            self.record_departure(&removed.record, now_ms);
        }
        true
    }
}
