//! Documents read from the platform: order, acceptance and what became of each revision.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::{ConfigError, ConfigFile};

/// Name of the document that lists the VMs.
pub const VM_LIST: &str = "vms";

/// Prefix of the names of configuration documents.
pub const CONFIG_PREFIX: &str = "config/";

/// Verdicts kept for operators.
const HISTORY_LENGTH: usize = 64;

/// Order of one document: the epoch first, then the platform's revision.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
pub struct Version {
    /// Epoch named in the file; 0 if it names none.
    pub epoch: u64,
    /// Revision that the platform gave the value.
    pub revision: u64,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Error)]
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
pub enum Verdict {
    /// It is in force on this node.
    Accepted,
    /// The same version is in force already.
    Unchanged,
    /// A newer version is in force.
    Older,
    /// The file is invalid; the accepted one stays in force.
    Rejected(DocumentError),
}

/// One line of the history that operators see.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryEntry {
    /// Name of the document.
    pub name: Box<str>,
    /// Version offered.
    pub version: Version,
    /// `accepted`, `rejected`, `superseded` or `older`.
    pub state: &'static str,
    /// Reason of a rejection.
    pub reason: Option<Box<str>>,
    /// Wall-clock time of the verdict.
    pub at_unix_ms: u64,
}

/// Documents in force on this node.
#[derive(Debug, Default)]
pub struct DocumentStore {
    accepted: BTreeMap<Box<str>, Document>,
    history: VecDeque<HistoryEntry>,
}

/// Parses a document; the result depends on its name and body alone.
///
/// # Errors
///
/// Returns why the document is invalid.
pub fn parse(name: &str, body: &[u8]) -> Result<(u64, Content), DocumentError> {
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
    /// use cloverrack::{DocumentStore, Verdict};
    /// let mut store = DocumentStore::default();
    /// let body = b"region = \"pnw\"";
    /// assert_eq!(store.offer("config/a", 5, body, 0), Verdict::Accepted);
    /// assert_eq!(store.offer("config/a", 4, body, 0), Verdict::Older);
    /// ```
    pub fn offer(&mut self, name: &str, revision: u64, body: &[u8], now_unix_ms: u64) -> Verdict {
        let (epoch, content) = match parse(name, body) {
            Ok(parsed) => parsed,
            Err(error) => return self.reject(name, revision, error, now_unix_ms),
        };
        let version = Version { epoch, revision };
        let current = self.accepted.get(name).map(|document| document.version);
        if current == Some(version) {
            return Verdict::Unchanged;
        }
        if current.is_some_and(|current| current > version)
            && !crate::faults::is_off("check.document_order")
        {
            self.record(name, version, "older", None, now_unix_ms);
            return Verdict::Older;
        }
        if let Some(previous) = current {
            self.record(name, previous, "superseded", None, now_unix_ms);
        }
        let document = Document {
            version,
            body: body.into(),
            content,
        };
        self.accepted.insert(name.into(), document);
        self.record(name, version, "accepted", None, now_unix_ms);
        Verdict::Accepted
    }

    fn reject(
        &mut self,
        name: &str,
        revision: u64,
        error: DocumentError,
        now_unix_ms: u64,
    ) -> Verdict {
        let version = Version { epoch: 0, revision };
        let reason = Some(error.to_string().into());
        self.record(name, version, "rejected", reason, now_unix_ms);
        Verdict::Rejected(error)
    }

    fn record(
        &mut self,
        name: &str,
        version: Version,
        state: &'static str,
        reason: Option<Box<str>>,
        at_unix_ms: u64,
    ) {
        let seen = self
            .history
            .iter()
            .any(|entry| &*entry.name == name && entry.version == version && entry.state == state);
        if seen {
            return;
        }
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back(HistoryEntry {
            name: name.into(),
            version,
            state,
            reason,
            at_unix_ms,
        });
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
