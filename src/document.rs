//! Documents read from the platform: order, acceptance and what became of each revision.

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

/// Verdicts kept for operators.
const HISTORY_LENGTH: usize = 64;

/// Order of one document: the epoch first, then the platform's revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(Encode, Decode)]
pub struct Version {
    /// Epoch named in the file; 0 if it names none.
    pub epoch: u64,
    /// Revision that the platform gave the value.
    pub revision: u64,
}

/// One VM of the platform's list.
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
    /// Whether the platform is taking the VM away.
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
    /// Addresses of targets that the platform is taking away.
    #[serde(default)]
    pub leaving_targets: Vec<std::net::SocketAddr>,
}

/// Content of a valid document.
#[derive(Clone, Debug)]
pub enum Content {
    /// A configuration file.
    Config(Arc<ConfigFile>),
    /// The VM list.
    Vms(Arc<VmList>),
}

/// Why a document was rejected.
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
        /// Line, from 1.
        line: usize,
        /// The parser's message.
        message: Box<str>,
    },
}

/// An accepted document.
#[derive(Clone, Debug)]
pub struct Document {
    /// Order of the document.
    pub version: Version,
    /// Bytes as the platform holds them.
    pub body: Arc<[u8]>,
    /// Parsed content.
    pub content: Content,
}

/// What became of an offered document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force on this node.
    Accepted,
    /// The same version is in force already.
    Unchanged,
    /// A newer version is in force, or another body under the same version.
    Older,
    /// The file is invalid; the accepted one stays in force.
    Rejected(DocumentError),
}

/// One line of the history that operators see.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HistoryEntry {
    /// Name of the document.
    pub name: Box<str>,
    /// Version offered.
    pub version: Version,
    /// `accepted`, `rejected`, `superseded` or `older`.
    pub state: &'static str,
    /// Version that superseded it.
    pub superseded_by: Option<Version>,
    /// Reason of a rejection.
    pub reason: Option<Box<str>>,
    /// Wall-clock time of the verdict.
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

/// The last invalid body of a document.
#[derive(Clone, Debug)]
struct RejectedBody {
    revision: u64,
    body: Box<[u8]>,
    error: DocumentError,
}

/// Documents in force on this node.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    accepted: BTreeMap<Box<str>, Document>,
    rejected: BTreeMap<Box<str>, RejectedBody>,
    history: VecDeque<HistoryEntry>,
    unsent: Vec<DiscardedVersion>,
}

/// Parses a document; the result depends on its name and body alone.
///
/// # Errors
///
/// Returns why the document is invalid.
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
    /// Offers a document that the platform or a peer holds at `revision`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::{DocumentStore, OfferOutcome};
    /// let mut store = DocumentStore::default();
    /// let body = b"region = \"pnw\"";
    /// assert_eq!(store.offer("config/a", 5, body, 0), OfferOutcome::Accepted);
    /// assert_eq!(store.offer("config/a", 4, body, 0), OfferOutcome::Older);
    /// ```
    pub fn offer(
        &mut self,
        name: &str,
        revision: u64,
        body: &[u8],
        now_unix_ms: u64,
    ) -> OfferOutcome {
        if let Some(verdict) = self.previous_outcome(name, revision, body) {
            return verdict;
        }
        let (epoch, content) = match parse_document(name, body) {
            Ok(parsed) => parsed,
            Err(error) => return self.reject(name, revision, body, error, now_unix_ms),
        };
        let version = Version { epoch, revision };
        let current = self.accepted.get(name).map(|document| document.version);
        let older = current.filter(|current| *current >= version);
        if let Some(current) =
            older.filter(|_| !crate::faults::is_check_disabled("check.document_order"))
        {
            self.record_older(name, version, current, now_unix_ms);
            return OfferOutcome::Older;
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

    /// Returns the verdict on a body that was judged before; each platform read offers all again.
    fn previous_outcome(&self, name: &str, revision: u64, body: &[u8]) -> Option<OfferOutcome> {
        let accepted = self.accepted.get(name);
        if accepted.is_some_and(|held| held.version.revision == revision && *held.body == *body) {
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

    /// Records a version below the one in force; one that was in force before is only old.
    fn record_older(&mut self, name: &str, version: Version, current: Version, now_unix_ms: u64) {
        let seen = self
            .history
            .iter()
            .any(|entry| &*entry.name == name && entry.version == version);
        if seen || version == current {
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

    fn record_and_publish(&mut self, verdict: DiscardedVersion, now_unix_ms: u64) {
        self.record_discarded(&verdict, now_unix_ms);
        self.unsent.push(verdict);
    }

    /// Records a verdict of this node or of a peer in the history.
    pub fn record_discarded(&mut self, verdict: &DiscardedVersion, now_unix_ms: u64) {
        let state = match verdict.superseded_by {
            Some(_) => "superseded",
            None => "rejected",
        };
        self.record(HistoryEntry {
            superseded_by: verdict.superseded_by,
            reason: verdict
                .superseded_by
                .is_none()
                .then(|| verdict.reason.clone()),
            ..HistoryEntry::new(&verdict.name, verdict.version, state, now_unix_ms)
        });
    }

    /// Takes the verdicts that peers have not been told of.
    pub fn take_unsent(&mut self) -> Vec<DiscardedVersion> {
        std::mem::take(&mut self.unsent)
    }

    fn record(&mut self, entry: HistoryEntry) {
        let seen = self.history.iter().any(|held| {
            held.name == entry.name && held.version == entry.version && held.state == entry.state
        });
        if seen {
            return;
        }
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back(entry);
    }

    /// Returns whether a version of a document was judged invalid here.
    pub fn is_rejected(&self, name: &str, version: Version) -> bool {
        let rejected = self.rejected.get(name);
        rejected.is_some_and(|rejected| rejected.revision == version.revision)
    }

    /// Returns the document in force under a name.
    pub fn get(&self, name: &str) -> Option<&Document> {
        self.accepted.get(name)
    }

    /// Returns the documents in force, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Document)> {
        self.accepted
            .iter()
            .map(|(name, document)| (&**name, document))
    }

    /// Returns the latest verdicts, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }
}
