//! Synchronizes documents and facts with peers, so that requests are routed by current documents.
//!
//! A node synchronizes before it serves requests, after a pause in which it may have missed
//! changes, and when gossip announces a document that it is missing.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bincode::Encode;
use bincode::enc::EncoderImpl;
use bincode::enc::write::SizeWriter;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::timeout;
use tracing::{debug, info, warn};

use crate::clock::boot_ms;
use crate::config::MAX_CONFIG_FILE_BYTES;
use crate::control::{ControlPlane, PeerCheck, WatchCursor};
use crate::fact::Fact;
use crate::peer_client::PeerCallError;
use crate::watcher::RetryBackoff;
use crate::wire::{DocumentBody, DocumentRequest};

/// Base of the retry delay after a fetch that left a document missing.
///
/// The delay is random between half of this and an upper bound that doubles with each failure, up
/// to 32 times this.
const FETCH_RETRY_BASE_MS: u64 = 50;

/// Interval of the checks whether announced documents are still missing.
const MISSING_POLL_INTERVAL_MS: u64 = 5;

/// Number of responses after which no further peers of a group are waited for.
const SYNC_RESPONSES: usize = 2;

/// Delay between attempts to join, random so that nodes started together don't retry in lockstep.
const JOIN_RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;

/// Time after which a node that reached no peer confirms its address.
///
/// From then on, another process that claims the address supersedes the node.
const ADDRESS_CONFIRM_DELAY_MS: u64 = 3_000;

/// Number of peers contacted at a time when joining or after a pause.
const SYNC_FAN_OUT: usize = 3;

/// Timeout for the synchronization after a pause.
///
/// With 300 ms, no peer responded in time on a busy machine, and the node used outdated documents.
const PAUSE_SYNC_TIMEOUT_MS: u64 = 1_500;

/// Timeout for the synchronization with one group of peers after a pause.
const PAUSE_SYNC_GROUP_TIMEOUT_MS: u64 = 500;

/// Timeout for each exchange with a peer when joining, and for fetching announced documents.
const JOIN_TIMEOUT_MS: u64 = 1_000;

/// Compresses a document body with DEFLATE.
pub(crate) fn deflate(body: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    let _ = encoder.write_all(body);
    encoder.finish().unwrap_or_default()
}

/// Decompresses a document body; returns `None` if it is malformed or over
/// [`MAX_CONFIG_FILE_BYTES`].
pub(crate) fn inflate(deflated: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = DeflateDecoder::new(deflated).take(MAX_CONFIG_FILE_BYTES as u64 + 1);
    reader.read_to_end(&mut body).ok()?;
    (body.len() <= MAX_CONFIG_FILE_BYTES).then_some(body)
}

impl ControlPlane {
    /// Loads documents and facts before the node serves requests.
    ///
    /// They are fetched from peers; the platform is read only if no known peer responds. Returns
    /// once a peer has responded, or once the platform has responded and no peer could be reached.
    pub async fn join(self: &Arc<Self>) {
        let mut backoff = RetryBackoff::default();
        let mut next_read_ms = 0;
        let check = loop {
            if self.sync_with_peers(JOIN_TIMEOUT_MS).await {
                self.wait_for_announced_documents(JOIN_TIMEOUT_MS).await;
                break PeerCheck::Done;
            }
            if boot_ms() >= next_read_ms {
                match self.read_platform(WatchCursor::default()).await {
                    Ok(_) if self.sync_with_peers(JOIN_TIMEOUT_MS).await => {
                        self.wait_for_announced_documents(JOIN_TIMEOUT_MS).await;
                        break PeerCheck::Done;
                    }
                    Ok(_) => break PeerCheck::None,
                    Err(error) => {
                        let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                        warn!(event = "platform_read_failed", %error, delay_ms);
                        next_read_ms = boot_ms() + delay_ms;
                    }
                }
            }
            let delay_ms = rand::random_range(JOIN_RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        };
        self.ensure_compiled();
        self.peer_check.store(check as u64, Ordering::Relaxed);
        self.joined.cancel();
        info!(event = "joined", peer_check = ?check);
        if check == PeerCheck::Done {
            self.state().gossip.confirm_address();
            return;
        }
        let control = Arc::clone(self);
        let confirm_delay = Duration::from_millis(ADDRESS_CONFIRM_DELAY_MS);
        tokio::spawn(async move {
            tokio::time::sleep(confirm_delay).await;
            control.state().gossip.confirm_address();
        });
    }

    fn known_peers(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.settings.peers.clone();
        for vm in &self.fleet().vms {
            peers.push(vm.entry.internal_address);
        }
        peers.extend(self.state().gossip.non_dead_peers());
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.settings.internal_address);
        peers
    }

    /// Fetches facts and documents from one group of peers after another until a peer responds;
    /// returns whether any did.
    ///
    /// If a group has at least two peers, two responses are waited for, because a single peer may
    /// have been paused too.
    async fn sync_with_peers(&self, timeout_ms: u64) -> bool {
        let mut peers = self.known_peers();
        peers.shuffle(&mut rand::rng());
        let limit = Duration::from_millis(timeout_ms);
        for group in peers.chunks(SYNC_FAN_OUT) {
            let mut pending_syncs: FuturesUnordered<_> = group
                .iter()
                .map(|peer| timeout(limit, self.sync_with_peer(*peer)))
                .collect();
            let mut responses = 0;
            while let Some(result) = pending_syncs.next().await {
                responses += usize::from(result.unwrap_or(false));
                if responses == SYNC_RESPONSES {
                    break;
                }
            }
            if responses > 0 {
                return true;
            }
        }
        false
    }

    /// Fetches a peer's facts, and then the announced documents that this node is missing; returns
    /// whether the peer responded.
    async fn sync_with_peer(&self, peer: SocketAddr) -> bool {
        let mut facts = self
            .peer_client
            .call::<_, Vec<Fact>>(peer, "/facts", &())
            .await;
        if matches!(facts, Err(PeerCallError::Interrupted { .. })) {
            // A connection from before a pause may be broken; the second call opens a new one.
            facts = self.peer_client.call(peer, "/facts", &()).await;
        }
        let Ok(facts) = facts else {
            return false;
        };
        self.count_received_bytes(&facts);
        self.merge(facts, peer);
        let mut names = Vec::new();
        for (name, _) in self.missing_documents() {
            names.push(name);
        }
        names.is_empty() || self.fetch_documents(peer, names).await
    }

    /// Waits up to `timeout_ms` until all announced documents are in force on this node.
    ///
    /// A peer may have received the announcement of a document but not yet the document itself.
    async fn wait_for_announced_documents(&self, timeout_ms: u64) {
        let deadline_ms = boot_ms() + timeout_ms;
        while !self.missing_documents().is_empty() && boot_ms() < deadline_ms {
            tokio::time::sleep(Duration::from_millis(MISSING_POLL_INTERVAL_MS)).await;
        }
    }

    /// Counts the bytes of a message received on a control stream.
    fn count_received_bytes(&self, message: &impl Encode) {
        self.telemetry
            .count_control_bytes("link", "received", encoded_bytes(message));
    }

    /// Fetches documents from a peer, all if `names` is empty; returns whether the peer responded.
    async fn fetch_documents(&self, peer: SocketAddr, names: Vec<Box<str>>) -> bool {
        let request = DocumentRequest { names };
        self.telemetry
            .count_control_bytes("link", "sent", encoded_bytes(&request));
        let bodies: Vec<DocumentBody> =
            match self.peer_client.call(peer, "/documents", &request).await {
                Ok(bodies) => bodies,
                Err(error) => {
                    debug!(event = "document_fetch_failed", %peer, %error);
                    return false;
                }
            };
        crate::faults::hit_fail_point("config.spread");
        self.count_received_bytes(&bodies);
        for document in bodies {
            let Some(body) = inflate(&document.deflated) else {
                warn!(event = "document_malformed", %peer, name = %document.name);
                continue;
            };
            self.offer(&document.name, document.revision, &body, "peer");
        }
        true
    }

    /// Fetches announced documents until they are in force on this node: from the peer that
    /// announced them, or after a failure from random peers that are not dead.
    pub(crate) async fn run_document_fetch(self: Arc<Self>) {
        let mut failures = 0_u32;
        loop {
            let missing = self.missing_documents();
            if missing.is_empty() {
                failures = 0;
                self.document_announced.notified().await;
                continue;
            }
            let mut by_peer: BTreeMap<SocketAddr, Vec<Box<str>>> = BTreeMap::new();
            let peers = self.state().gossip.non_dead_peers();
            for (name, source) in missing {
                let source = source.filter(|_| failures == 0);
                let random_peer = peers.choose(&mut rand::rng()).copied();
                if let Some(peer) = source.or(random_peer) {
                    by_peer.entry(peer).or_default().push(name);
                }
            }
            let limit = Duration::from_millis(JOIN_TIMEOUT_MS);
            let fetches = by_peer
                .into_iter()
                .map(|(peer, names)| timeout(limit, self.fetch_documents(peer, names)));
            futures_util::future::join_all(fetches).await;
            if self.missing_documents().is_empty() {
                continue;
            }
            failures = failures.saturating_add(1);
            let max_delay_ms = FETCH_RETRY_BASE_MS.saturating_mul(1 << failures.min(5));
            let delay_ms = rand::random_range(FETCH_RETRY_BASE_MS / 2..=max_delay_ms);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Fetches newer documents from peers if the process may have been paused.
    pub async fn sync_after_pause(&self) {
        while let Some(pause) = self.pause_detector.unsynced_pause(boot_ms()) {
            let _guard = self.pause_sync_lock.lock().await;
            if self.pause_detector.unsynced_pause(boot_ms()) != Some(pause) {
                continue;
            }
            let limit = Duration::from_millis(PAUSE_SYNC_TIMEOUT_MS);
            let sync = async {
                let answered = self.sync_with_peers(PAUSE_SYNC_GROUP_TIMEOUT_MS).await;
                self.wait_for_announced_documents(PAUSE_SYNC_TIMEOUT_MS)
                    .await;
                answered
            };
            let result = timeout(limit, sync).await;
            // The timeout passes if a document is still missing, which counts as no response.
            let answered = result.unwrap_or(false);
            self.ensure_compiled();
            info!(event = "documents_synced_after_pause", answered);
            let check = if answered {
                PeerCheck::Done
            } else {
                PeerCheck::None
            };
            self.peer_check.store(check as u64, Ordering::Relaxed);
            self.pause_detector.mark_synced(pause);
        }
    }
}

/// Returns the encoded size of a message without encoding it.
pub(crate) fn encoded_bytes(message: &impl Encode) -> usize {
    let mut size = EncoderImpl::new(SizeWriter::default(), bincode::config::standard());
    let _ = message.encode(&mut size);
    size.into_writer().bytes_written
}
