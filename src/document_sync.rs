//! Exchange of documents with peers: at start, after a pause, and when gossip announces one.

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
use crate::config::MAX_FILE_BYTES;
use crate::control::{ControlPlane, PeerCheck, WatchCursor};
use crate::fact::Fact;
use crate::peer_client::PeerCallError;
use crate::watcher::RetryBackoff;
use crate::wire::{DocumentBody, DocumentRequest};

/// Shortest delay after a fetch that left a document missing; it doubles up to 32 times this.
const FETCH_RETRY_BASE_MS: u64 = 50;

/// Time between two looks whether announced documents are still missing.
const MISSING_POLL_INTERVAL_MS: u64 = 5;

/// Answers awaited from the peers asked.
const SYNC_RESPONSES: usize = 2;

/// Pause between two attempts to join, so that nodes started together don't ask in step.
const JOIN_RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;

/// Time after which a node that met no peer yields its address to a process that claims it.
const ADDRESS_CONFIRM_DELAY_MS: u64 = 3_000;

/// Peers asked when joining or after a pause.
const SYNC_FAN_OUT: usize = 3;

/// Time allowed for the exchange after a pause. On a busy machine 300 ms passed without an answer of
/// any peer, and the node acted on its old documents.
const PAUSE_SYNC_TIMEOUT_MS: u64 = 1_500;

/// Time allowed for the exchange with one group of peers after a pause.
const PAUSE_SYNC_GROUP_TIMEOUT_MS: u64 = 500;

/// Time allowed for the exchange with one peer when joining.
const JOIN_TIMEOUT_MS: u64 = 1_000;

/// Compresses a document for the wire.
pub(crate) fn deflate(body: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    let _ = encoder.write_all(body);
    encoder.finish().unwrap_or_default()
}

/// Restores a document; `None` if it is malformed or over the limit.
pub(crate) fn inflate(deflated: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = DeflateDecoder::new(deflated).take(MAX_FILE_BYTES as u64 + 1);
    reader.read_to_end(&mut body).ok()?;
    (body.len() <= MAX_FILE_BYTES).then_some(body)
}

impl ControlPlane {
    /// Learns documents and facts before the node serves: from peers, and from the platform only if
    /// it takes the platform to find a peer.
    ///
    /// Returns once a peer answered, or once the platform answered and no peer could be reached.
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
        peers.extend(self.state().gossip.live_peers());
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.settings.internal_address);
        peers
    }

    /// Takes facts and documents from a few peers at once; returns whether any answered.
    ///
    /// Two answers are awaited if two peers are asked: one peer alone may have been paused too.
    async fn sync_with_peers(&self, timeout_ms: u64) -> bool {
        let mut peers = self.known_peers();
        peers.shuffle(&mut rand::rng());
        let limit = Duration::from_millis(timeout_ms);
        for group in peers.chunks(SYNC_FAN_OUT) {
            let mut exchanges: FuturesUnordered<_> = group
                .iter()
                .map(|peer| timeout(limit, self.sync_with_peer(*peer)))
                .collect();
            let mut answers = 0;
            while let Some(result) = exchanges.next().await {
                answers += usize::from(result.unwrap_or(false));
                if answers == SYNC_RESPONSES {
                    break;
                }
            }
            if answers > 0 {
                return true;
            }
        }
        false
    }

    /// Takes a peer's facts, and the documents that it announces and this node lacks.
    async fn sync_with_peer(&self, peer: SocketAddr) -> bool {
        let mut facts = self
            .peer_client
            .call::<_, Vec<Fact>>(peer, "/facts", &())
            .await;
        if matches!(facts, Err(PeerCallError::Broken { .. })) {
            // A connection from before a pause may be dead; the second call sets up a new one.
            facts = self.peer_client.call(peer, "/facts", &()).await;
        }
        let Ok(facts) = facts else {
            return false;
        };
        self.count_received(&facts);
        self.merge(facts, peer);
        let mut names = Vec::new();
        for (name, _) in self.missing_documents() {
            names.push(name);
        }
        names.is_empty() || self.fetch_documents(peer, names).await
    }

    /// Waits until all announced documents are in force here: the peers that were asked may have
    /// heard of one that they do not hold yet.
    async fn wait_for_announced_documents(&self, limit_ms: u64) {
        let until_ms = boot_ms() + limit_ms;
        while !self.missing_documents().is_empty() && boot_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(MISSING_POLL_INTERVAL_MS)).await;
        }
    }

    /// Counts a message of a control stream that was received.
    fn count_received(&self, message: &impl Encode) {
        self.telemetry
            .count_control_bytes("link", "received", encoded_bytes(message));
    }

    /// Fetches documents from a peer; no names means all.
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
        self.count_received(&bodies);
        for document in bodies {
            let Some(body) = inflate(&document.deflated) else {
                warn!(event = "document_malformed", %peer, name = %document.name);
                continue;
            };
            self.offer(&document.name, document.revision, &body, "peer");
        }
        true
    }

    /// Fetches announced documents until they are in force here: from the peer that announced them,
    /// then from any.
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
            let peers = self.state().gossip.live_peers();
            for (name, source) in missing {
                let source = source.filter(|_| failures == 0);
                let any = peers.choose(&mut rand::rng()).copied();
                if let Some(peer) = source.or(any) {
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
            let ceiling_ms = FETCH_RETRY_BASE_MS.saturating_mul(1 << failures.min(5));
            let delay_ms = rand::random_range(FETCH_RETRY_BASE_MS / 2..=ceiling_ms);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Asks peers for newer documents if the process may have been paused.
    pub async fn sync_after_pause(&self) {
        while let Some(pause) = self.pause_detector.unsynced_pause(boot_ms()) {
            let _turn = self.pause_sync_lock.lock().await;
            if self.pause_detector.unsynced_pause(boot_ms()) != Some(pause) {
                continue;
            }
            let limit = Duration::from_millis(PAUSE_SYNC_TIMEOUT_MS);
            let refresh = async {
                let answered = self.sync_with_peers(PAUSE_SYNC_GROUP_TIMEOUT_MS).await;
                self.wait_for_announced_documents(PAUSE_SYNC_TIMEOUT_MS)
                    .await;
                answered
            };
            let asked = timeout(limit, refresh).await;
            // A document that is still missing counts as no answer.
            let answered = asked.unwrap_or(false);
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
