//! Store of the documents that requests are routed by: configuration files and the VM list.
//!
//! Documents arrive from the platform and from peers in any order. An invalid or outdated one never
//! replaces the document in force, and the outcome for each version is recorded for operators.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::{ConfigError, ConfigFile};
use crate::fact::{DiscardedVersion, MAX_REASON_BYTES};

/// Name of the document that lists the VMs.
pub const VM_LIST: &str = "vms";

/// Prefix of the names of configuration documents.
pub const CONFIG_PREFIX: &str = "config/";

/// Maximum number of history entries, the oldest of which are evicted first.
const MAX_HISTORY_ENTRIES: usize = 64;

/// Version of a document or of the platform's state, ordered by epoch and then by the platform's
/// revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Version {
    /// Epoch set in the file, or of the platform's history; 0 if there is none.
    pub epoch: u64,
    /// Revision that the platform assigned to the value.
    pub revision: u64,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: Box<str>,
    /// Region of the VM.
    pub region: Box<str>,
    /// Failure domain of the VM.
    pub failure_domain: Box<str>,
    /// Address of the listener for callers.
    pub caller_address: std::net::SocketAddr,
    /// Address of the internal listener.
    pub internal_address: std::net::SocketAddr,
    /// Whether the platform is removing the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// VMs of all regions.
    pub vms: Vec<VmEntry>,
    /// Addresses of targets that the platform is removing.
    #[serde(default)]
    pub leaving_targets: Vec<std::net::SocketAddr>,
}

/// Parsed content of a valid document.
#[derive(Clone, Debug)]
pub enum Content {
    /// A configuration file.
    Config(Arc<ConfigFile>),
    /// The VM list.
    Vms(Arc<VmList>),
}

/// Reason why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DocumentError {
    /// The name is neither the VM list nor a configuration file.
    #[error("document name is not known")]
    UnknownName,
    /// The configuration file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The VM list is not valid JSON of the expected shape.
    #[error("line {line}: {message}")]
    VmList {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the JSON parser.
        message: Box<str>,
    },
}

/// An accepted document.
#[derive(Clone, Debug)]
pub struct Document {
    /// Version of the document.
    pub version: Version,
    /// Raw bytes, as read from the platform.
    pub body: Arc<[u8]>,
    /// Parsed content.
    pub content: Content,
}

/// Outcome of offering a document to a [`DocumentStore`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is now in force on this node.
    Accepted,
    /// The same version and body are already in force.
    Unchanged,
    /// A newer version is in force, or another body under the same version.
    Outdated,
    /// The document is invalid; the accepted version stays in force.
    Rejected(DocumentError),
}

/// Entry of the document history for operators.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HistoryEntry {
    /// Name of the document.
    pub name: Box<str>,
    /// Version that was offered.
    pub version: Version,
    /// `accepted`, `rejected`, `superseded` or `older`.
    pub state: &'static str,
    /// Version that superseded it.
    pub superseded_by: Option<Version>,
    /// Reason for a rejection.
    pub reason: Option<Box<str>>,
    /// Wall-clock time at which the outcome was recorded.
    pub at_unix_ms: u64,
}

impl HistoryEntry {
    fn new(name: &str, version: Version, state: &'static str, at_unix_ms: u64) -> Self {
        Self {
            name: name.into(),
            version,
            state,
            superseded_by: None,
            reason: None,
            at_unix_ms,
        }
    }
}

/// The most recently rejected body of a document.
#[derive(Clone, Debug)]
struct RejectedBody {
    revision: u64,
    body: Box<[u8]>,
    error: DocumentError,
}

/// Documents in force on this node, with their history.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    accepted: BTreeMap<Box<str>, Document>,
    rejected: BTreeMap<Box<str>, RejectedBody>,
    history: VecDeque<HistoryEntry>,
    unpublished: Vec<DiscardedVersion>,
}

/// Parses a document; the result depends on its name and body alone.
///
/// # Errors
///
/// Fails if the name is unknown or the body is invalid.
pub fn parse_document(name: &str, body: &[u8]) -> Result<(u64, Content), DocumentError> {
    if name == VM_LIST {
        let list: VmList = serde_json::from_slice(body).map_err(|error| DocumentError::VmList {
            line: error.line(),
            message: error.to_string().into(),
        })?;
        return Ok((0, Content::Vms(Arc::new(list))));
    }
    if !name.starts_with(CONFIG_PREFIX) {
        return Err(DocumentError::UnknownName);
    }
    let file = ConfigFile::parse(body)?;
    Ok((file.epoch, Content::Config(Arc::new(file))))
}

impl DocumentStore {
    /// Offers a document that the platform or a peer has at `revision`.
    ///
    /// The document is accepted if it is valid and newer than the one in force.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::{DocumentStore, OfferOutcome};
    /// let mut store = DocumentStore::default();
    /// let body = b"region = \"pnw\"";
    /// assert_eq!(store.offer("config/a", 5, body, 0), OfferOutcome::Accepted);
    /// assert_eq!(store.offer("config/a", 4, body, 0), OfferOutcome::Outdated);
    /// ```
    pub fn offer(
        &mut self,
        name: &str,
        revision: u64,
        body: &[u8],
        now_unix_ms: u64,
    ) -> OfferOutcome {
        if let Some(outcome) = self.previous_outcome(name, revision, body) {
            return outcome;
        }
        let (epoch, content) = match parse_document(name, body) {
            Ok(parsed) => parsed,
            Err(error) => return self.reject(name, revision, body, error, now_unix_ms),
        };
        let version = Version { epoch, revision };
        let current = self.accepted.get(name).map(|document| document.version);
        let newer_or_equal = current.filter(|current| *current >= version);
        if let Some(current) =
            newer_or_equal.filter(|_| !crate::faults::is_check_disabled("check.document_order"))
        {
            self.record_older(name, version, current, now_unix_ms);
            return OfferOutcome::Outdated;
        }
        if let Some(previous) = current {
            self.supersede(name, previous, version, now_unix_ms);
        }
        let document = Document {
            version,
            body: body.into(),
            content,
        };
        self.accepted.insert(name.into(), document);
        self.rejected.remove(name);
        self.record(HistoryEntry::new(name, version, "accepted", now_unix_ms));
        OfferOutcome::Accepted
    }

    /// Returns the outcome for a body that was offered before.
    ///
    /// This avoids parsing it again, since each platform read offers all documents again.
    fn previous_outcome(&self, name: &str, revision: u64, body: &[u8]) -> Option<OfferOutcome> {
        let accepted = self.accepted.get(name);
        if accepted
            .is_some_and(|current| current.version.revision == revision && *current.body == *body)
        {
            return Some(OfferOutcome::Unchanged);
        }
        let rejected = self.rejected.get(name)?;
        (rejected.revision == revision && *rejected.body == *body)
            .then(|| OfferOutcome::Rejected(rejected.error.clone()))
    }

    fn reject(
        &mut self,
        name: &str,
        revision: u64,
        body: &[u8],
        error: DocumentError,
        now_unix_ms: u64,
    ) -> OfferOutcome {
        let mut reason = error.to_string();
        reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
        self.record_and_publish(
            DiscardedVersion {
                name: name.into(),
                version: Version { epoch: 0, revision },
                superseded_by: None,
                reason: reason.into(),
            },
            now_unix_ms,
        );
        let rejected = RejectedBody {
            revision,
            body: body.into(),
            error: error.clone(),
        };
        self.rejected.insert(name.into(), rejected);
        OfferOutcome::Rejected(error)
    }

    /// Records a version that is not newer than the one in force.
    ///
    /// It is `older` if it was in force before or is already in the history, or else `superseded`.
    fn record_older(&mut self, name: &str, version: Version, current: Version, now_unix_ms: u64) {
        let is_recorded = self
            .history
            .iter()
            .any(|entry| &*entry.name == name && entry.version == version);
        if is_recorded || version == current {
            self.record(HistoryEntry::new(name, version, "older", now_unix_ms));
        } else {
            self.supersede(name, version, current, now_unix_ms);
        }
    }

    fn supersede(&mut self, name: &str, version: Version, by: Version, now_unix_ms: u64) {
        self.record_and_publish(
            DiscardedVersion {
                name: name.into(),
                version,
                superseded_by: Some(by),
                reason: Box::default(),
            },
            now_unix_ms,
        );
    }

    fn record_and_publish(&mut self, discarded: DiscardedVersion, now_unix_ms: u64) {
        self.record_discarded(&discarded, now_unix_ms);
        self.unpublished.push(discarded);
    }

    /// Adds a version that this node or a peer discarded to the history.
    pub fn record_discarded(&mut self, discarded: &DiscardedVersion, now_unix_ms: u64) {
        let state = match discarded.superseded_by {
            Some(_) => "superseded",
            None => "rejected",
        };
        self.record(HistoryEntry {
            superseded_by: discarded.superseded_by,
            reason: discarded
                .superseded_by
                .is_none()
                .then(|| discarded.reason.clone()),
            ..HistoryEntry::new(&discarded.name, discarded.version, state, now_unix_ms)
        });
    }

    /// Returns and clears the discarded versions that have not been published to peers.
    pub fn take_unpublished(&mut self) -> Vec<DiscardedVersion> {
        std::mem::take(&mut self.unpublished)
    }

    fn record(&mut self, entry: HistoryEntry) {
        let is_recorded = self.history.iter().any(|recorded| {
            recorded.name == entry.name
                && recorded.version == entry.version
                && recorded.state == entry.state
        });
        if is_recorded {
            return;
        }
        if self.history.len() == MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
        self.history.push_back(entry);
    }

    /// Returns whether this node rejected a version of a document as invalid.
    pub fn is_rejected(&self, name: &str, version: Version) -> bool {
        let rejected = self.rejected.get(name);
        rejected.is_some_and(|rejected| rejected.revision == version.revision)
    }

    /// Returns the document in force under a name.
    pub fn get(&self, name: &str) -> Option<&Document> {
        self.accepted.get(name)
    }

    /// Returns the documents in force, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.accepted
            .iter()
            .map(|(name, document)| (&**name, document))
    }

    /// Returns the most recent history entries, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }
}
