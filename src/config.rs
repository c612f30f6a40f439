//! Configuration files: types, parsing and validation.
//!
//! The file sets the services, leaves and shard layouts by which requests are routed. A file with
//! any fault is rejected as a whole. Errors in its text name the line, and invalid values also the
//! key.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest configuration file accepted, in bytes; the platform stores values up to this size.
pub const MAX_CONFIG_FILE_BYTES: usize = 1_048_576;

/// One configuration file: a namespace of services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// Orders files after the platform was restored from a backup: a file of a higher epoch
    /// supersedes one of a lower epoch whatever their revisions.
    #[serde(default)]
    pub epoch: u64,
    /// Region whose VMs serve the services.
    pub region: Box<str>,
    /// Services by name.
    #[serde(default, rename = "service")]
    pub services: BTreeMap<Box<str>, ServiceConfig>,
}

/// What a service prefers when shards are slow or lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Answers early, if need be with some shards missing; the answer states its coverage.
    #[default]
    Latency,
    /// Waits and retries until the deadline to cover all shards.
    Coverage,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Preference between latency and coverage.
    #[serde(default)]
    pub policy: Policy,
    /// Longest deadline that a request may have.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Largest payload that a request may have.
    #[serde(default = "default_max_payload_bytes")]
    pub max_payload_bytes: usize,
    /// Calls that one leaf executes concurrently.
    pub leaf_slots: u32,
    /// Connections that one leaf accepts in total, from all VMs.
    pub leaf_connections: u32,
    /// Expected time to set up one connection.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
    /// Share of leaf calls that may be hedges or retries, in parts per million.
    #[serde(default = "default_hedge_budget_ppm")]
    pub hedge_budget_ppm: u32,
    /// Largest difference between the wall clocks of VMs and targets.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: u64,
    /// Number of leaves of one replica that are assigned to a VM as one bundle.
    #[serde(default = "default_bundle_leaves")]
    pub bundle_leaves: u32,
    /// Leaves by name.
    #[serde(rename = "leaf")]
    pub leaves: BTreeMap<Box<str>, LeafConfig>,
    /// Shard layouts; more than one while data is repartitioned.
    #[serde(rename = "layout")]
    pub layouts: Vec<LayoutConfig>,
}

/// Configuration of one leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafConfig {
    /// Address that the leaf listens on.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: Box<str>,
    /// Target that the leaf belongs to.
    pub target: Box<str>,
    /// Whether the leaf is being removed: it gets no new calls.
    #[serde(default)]
    pub leaving: bool,
}

/// Assignment of leaves to the shards of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayoutConfig {
    /// Layout id, to which snapshots refer.
    pub id: u32,
    /// For each shard, the names of the leaves that serve a replica of it.
    pub shards: Vec<Vec<Box<str>>>,
}

fn default_max_deadline_ms() -> u64 {
    30_000
}

fn default_max_payload_bytes() -> usize {
    65_536
}

fn default_connect_ms() -> u64 {
    6
}

fn default_hedge_budget_ppm() -> u32 {
    30_000
}

fn default_clock_skew_ms() -> u64 {
    250
}

fn default_bundle_leaves() -> u32 {
    1
}

/// Why a configuration file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ConfigError {
    /// The file is larger than [`MAX_CONFIG_FILE_BYTES`].
    #[error("file has {actual_bytes} bytes; expected at most {MAX_CONFIG_FILE_BYTES}")]
    TooLarge {
        /// Size of the file.
        actual_bytes: usize,
    },
    /// The file is not UTF-8 text.
    #[error("file is not UTF-8 text")]
    NotText,
    /// The file is not valid TOML or has an unknown, missing or mistyped key.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// The parser's message, which names the key.
        message: Box<str>,
    },
    /// A key has a value outside its range.
    #[error("line {line}: key {key}: expected {expected}")]
    Value {
        /// Line, from 1.
        line: usize,
        /// Dotted path of the key.
        key: Box<str>,
        /// Values that the key accepts.
        expected: &'static str,
    },
}

impl ConfigFile {
    /// Parses and validates a whole file. The result depends on `body` only, so all VMs reach the
    /// same one.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with its line and key where they apply.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ConfigFile;
    /// let file = ConfigFile::parse(b"region = \"pnw\"").unwrap();
    /// assert_eq!(&*file.region, "pnw");
    /// assert!(ConfigFile::parse(b"regio = \"pnw\"").is_err());
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, ConfigError> {
        if body.len() > MAX_CONFIG_FILE_BYTES {
            return Err(ConfigError::TooLarge {
                actual_bytes: body.len(),
            });
        }
        let text = std::str::from_utf8(body).map_err(|_| ConfigError::NotText)?;
        let file: Self = toml::from_str(text).map_err(|error| ConfigError::Syntax {
            line: error.span().map_or(1, |span| line_at(text, span.start)),
            message: message_with_key(text, &error),
        })?;
        for (name, service) in &file.services {
            service.validate(text, name)?;
        }
        Ok(file)
    }
}

/// Validation rule of a service: key, predicate and description of the accepted values.
type ValidationRule = (&'static str, fn(&ServiceConfig) -> bool, &'static str);

const VALIDATION_RULES: &[ValidationRule] = &[
    (
        "max_deadline_ms",
        |s| (1..=600_000).contains(&s.max_deadline_ms),
        "1 to 600000",
    ),
    (
        "max_payload_bytes",
        |s| (1..=1_048_576).contains(&s.max_payload_bytes),
        "1 to 1048576",
    ),
    (
        "leaf_slots",
        |s| (1..=1_024).contains(&s.leaf_slots),
        "1 to 1024",
    ),
    (
        "leaf_connections",
        |s| (3..=65_535).contains(&s.leaf_connections),
        "3 to 65535",
    ),
    ("connect_ms", |s| s.connect_ms <= 10_000, "0 to 10000"),
    (
        "hedge_budget_ppm",
        |s| s.hedge_budget_ppm <= 1_000_000,
        "0 to 1000000",
    ),
    ("clock_skew_ms", |s| s.clock_skew_ms <= 60_000, "0 to 60000"),
    (
        "bundle_leaves",
        |s| (1..=64).contains(&s.bundle_leaves),
        "1 to 64",
    ),
    ("leaf", |s| !s.leaves.is_empty(), "at least one leaf"),
    ("layout", |s| !s.layouts.is_empty(), "at least one layout"),
    (
        "layout",
        |s| all_unique(s.layouts.iter().map(|l| l.id)),
        "layout ids that differ",
    ),
    (
        "leaf",
        |s| all_unique(s.leaves.values().map(|l| l.address)),
        "leaf addresses that differ",
    ),
    (
        "layout",
        |s| s.layouts.iter().all(|l| !l.shards.is_empty()),
        "at least one shard in each layout",
    ),
    (
        "layout",
        |s| shards(s).all(|shard| !shard.is_empty()),
        "at least one leaf for each shard",
    ),
    (
        "layout",
        |s| shards(s).all(|shard| all_unique(shard.iter())),
        "leaves of a shard that differ",
    ),
    (
        "layout",
        |s| shards(s).flatten().all(|leaf| s.leaves.contains_key(leaf)),
        "names of declared leaves",
    ),
];

fn shards(service: &ServiceConfig) -> impl Iterator<Item = &Vec<Box<str>>> {
    service
        .layouts
        .iter()
        .flat_map(|layout| layout.shards.iter())
}

fn all_unique<T: Ord>(items: impl Iterator<Item = T>) -> bool {
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(item) {
            return false;
        }
    }
    true
}

impl ServiceConfig {
    fn validate(&self, text: &str, name: &str) -> Result<(), ConfigError> {
        for (key, is_valid, expected) in VALIDATION_RULES {
            if is_valid(self) {
                continue;
            }
            return Err(ConfigError::Value {
                line: line_of_key(text, name, key),
                key: format!("service.{name}.{key}").into(),
                expected,
            });
        }
        Ok(())
    }
}

/// Replacements for messages of value parsers that don't name the expected format.
const MESSAGE_OVERRIDES: &[(&str, &str)] = &[("invalid socket address syntax", "expected IP:PORT")];

/// Returns the parser's message, prefixed with the key whose value it rejects.
fn message_with_key(text: &str, error: &toml::de::Error) -> Box<str> {
    let replacement = MESSAGE_OVERRIDES
        .iter()
        .find(|(message, _)| *message == error.message());
    let message = replacement.map_or(error.message(), |(_, expected)| expected);
    let start = error.span().map_or(0, |span| span.start);
    match key_before(text, start) {
        Some(key) => format!("key {key}: {message}").into(),
        None => message.into(),
    }
}

/// Returns the key on the line of `offset` whose value starts at or before it.
fn key_before(text: &str, offset: usize) -> Option<&str> {
    let before = text.get(..offset)?;
    let line = &before[before.rfind('\n').map_or(0, |end| end + 1)..];
    let (left, _) = line.rsplit_once('=')?;
    let key = left.trim_end().rsplit([' ', '\t', ',', '{']).next()?;
    (!key.is_empty()).then_some(key)
}

/// Returns the line, from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// Returns the line of `key` in the tables of a service, or the line of the first of these tables.
fn line_of_key(text: &str, service: &str, key: &str) -> usize {
    let bare_header = format!("[service.{service}");
    let quoted_header = format!("[service.\"{service}\"");
    let mut in_service = false;
    let mut first_table_line = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim_start();
        if line.starts_with('[') {
            let header = line.trim_start_matches('[');
            in_service =
                header.starts_with(&bare_header[1..]) || header.starts_with(&quoted_header[1..]);
            if in_service {
                first_table_line.get_or_insert(index + 1);
                if header.contains(&format!(".{key}")) {
                    return index + 1;
                }
            }
            continue;
        }
        if in_service
            && line
                .split('=')
                .next()
                .is_some_and(|left| left.trim() == key)
        {
            return index + 1;
        }
    }
    first_table_line.unwrap_or(1)
}
