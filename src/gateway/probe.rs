//! Status checks that find the pauses of leaves before callers come.
//!
//! Answers the load right after a start, or after a new set of shards: without them the first seconds
//! of queries meet pauses that nobody knows. A leaf is checked only for a little longer than one
//! interval between pauses, by one carrier, and only while it gets no calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderValue};
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};
use xxhash_rust::xxh3::xxh3_64;

use super::engine::{Engine, OpenCall};
use super::members::{Member, Members};
use crate::clock::boot_ms;
use crate::ids::LeafKey;

/// Time between two checks of one leaf: short enough that a pause holds up a check for most of its
/// duration.
const CHECK_EVERY_MS: u64 = 110;

/// Time for which one leaf is checked, unless the interval is known.
const CHECK_FOR_MS: u64 = 5_500;

/// Longest time for which a leaf is checked while too few pauses are known for their interval.
const CHECK_FOR_INTERVAL_MS: u64 = 10_500;

/// Share of the leaves that are checked until the interval is known: one in this many.
const INTERVAL_SHARE: u64 = 4;

/// Time after which a check is given up.
const CHECK_TIMEOUT_MS: u64 = 1_000;

/// Time without calls after which a leaf counts as unused.
const UNUSED_MS: u64 = 300;

/// What decides whether a leaf is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Time for which the leaf is known.
    pub known_ms: u64,
    /// Time since its last answer to a caller's request.
    pub unused_ms: u64,
    /// Whether a pause of the leaf was seen.
    pub pause_seen: bool,
    /// Whether the interval between pauses is known.
    pub interval_known: bool,
    /// Hash of the leaf's identity.
    pub hash: u64,
}

impl Candidate {
    /// Returns whether the leaf is checked now.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::Candidate;
    /// let fresh = Candidate {
    ///     known_ms: 1_000,
    ///     unused_ms: 1_000,
    ///     pause_seen: false,
    ///     interval_known: false,
    ///     hash: 1,
    /// };
    /// assert!(fresh.is_checked());
    /// assert!(!Candidate { pause_seen: true, ..fresh }.is_checked());
    /// assert!(!Candidate { unused_ms: 10, ..fresh }.is_checked());
    /// assert!(!Candidate { known_ms: 60_000, ..fresh }.is_checked());
    /// ```
    pub fn is_checked(&self) -> bool {
        if self.unused_ms < UNUSED_MS {
            return false;
        }
        let samples_interval = self.hash.is_multiple_of(INTERVAL_SHARE);
        if samples_interval && !self.interval_known && self.known_ms < CHECK_FOR_INTERVAL_MS {
            return true;
        }
        !self.pause_seen && self.known_ms < CHECK_FOR_MS
    }
}

/// Checks this VM's share of the leaves until the task is dropped.
pub async fn run(engine: Arc<Engine>, members: Arc<Members>) {
    loop {
        sleep(Duration::from_millis(CHECK_EVERY_MS)).await;
        let leaves = engine.leaves_to_check(boot_ms());
        if leaves.is_empty() {
            continue;
        }
        let carriers = engine.carriers(&members.live());
        for (leaf, hash, path) in leaves {
            if checker(&carriers, hash) != Some(members.address()) {
                continue;
            }
            if let Some(call) = engine.open_check(leaf) {
                tokio::spawn(check(call, path));
            }
        }
    }
}

/// Returns the carrier that checks a leaf: the one with the greatest hash of both.
fn checker(carriers: &[Member], leaf_hash: u64) -> Option<SocketAddr> {
    let weight = |member: &&Member| {
        let address = member.address.to_string();
        xxh3_64(address.as_bytes()).wrapping_mul(leaf_hash | 1)
    };
    carriers
        .iter()
        .max_by_key(weight)
        .map(|member| member.address)
}

async fn check(call: OpenCall, path: Box<str>) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    let Ok(uri) = path.parse() else {
        info!(event = "status_path_malformed", %path);
        return;
    };
    *request.uri_mut() = uri;
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_static("leaf"));
    let limit = Duration::from_millis(CHECK_TIMEOUT_MS);
    if timeout(limit, call.run_check(request)).await.is_err() {
        debug!(event = "status_check_timed_out");
    }
}

/// Returns the hash that spreads a leaf over carriers.
pub fn leaf_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A leaf to check: its key, its hash and its status path.
pub type LeafToCheck = (LeafKey, u64, Box<str>);
