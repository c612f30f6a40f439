//! Exchange of documents with peers: at start, after a pause, and when gossip announces one.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::timeout;
use tracing::{debug, info, warn};

use crate::clock::boot_ms;
use crate::config::MAX_FILE_BYTES;
use crate::control::{Control, PeerCheck};
use crate::fact::Fact;
use crate::wire::{DocumentBody, DocumentRequest};

/// Time between two looks for documents that are missing.
const REPAIR_INTERVAL_MS: u64 = 100;

/// Peers asked when joining or after a pause.
const PEERS_ASKED: usize = 3;

/// Time allowed for the exchange after a pause.
const REFRESH_TIMEOUT_MS: u64 = 300;

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

impl Control {
    /// Learns documents and facts before the node serves: from peers, and from the platform.
    ///
    /// Returns once a peer answered, or once the platform answered and no peer could be reached.
    pub async fn join(self: &Arc<Self>) {
        loop {
            let from_platform = match self.read_platform(0).await {
                Ok(_) => true,
                Err(error) => {
                    warn!(event = "platform_read_failed", %error);
                    false
                }
            };
            if self.ask_peers(JOIN_TIMEOUT_MS).await {
                self.peer_check
                    .store(PeerCheck::Done as u64, Ordering::Relaxed);
                info!(event = "joined", peer_check = "done", from_platform);
                return;
            }
            if from_platform {
                self.peer_check
                    .store(PeerCheck::None as u64, Ordering::Relaxed);
                info!(event = "joined", peer_check = "none", from_platform);
                return;
            }
            let delay_ms = rand::random_range(100..500);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
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

    /// Takes documents and facts from a few peers at once; returns whether any answered.
    async fn ask_peers(&self, timeout_ms: u64) -> bool {
        let mut peers = self.known_peers();
        peers.shuffle(&mut rand::rng());
        for group in peers.chunks(PEERS_ASKED) {
            let limit = Duration::from_millis(timeout_ms);
            let exchanges = group
                .iter()
                .map(|peer| timeout(limit, self.exchange(*peer)));
            let results = futures_util::future::join_all(exchanges).await;
            if results.into_iter().any(|result| result.unwrap_or(false)) {
                return true;
            }
        }
        false
    }

    async fn exchange(&self, peer: SocketAddr) -> bool {
        let Ok(facts) = self.link.call::<_, Vec<Fact>>(peer, "/facts", &()).await else {
            return false;
        };
        self.merge(facts);
        self.fetch(peer, Vec::new()).await
    }

    /// Fetches documents from a peer; no names means all.
    async fn fetch(&self, peer: SocketAddr, names: Vec<Box<str>>) -> bool {
        let request = DocumentRequest { names };
        let bodies: Vec<DocumentBody> = match self.link.call(peer, "/documents", &request).await {
            Ok(bodies) => bodies,
            Err(error) => {
                debug!(event = "document_fetch_failed", %peer, %error);
                return false;
            }
        };
        crate::faults::step("config.spread");
        for document in bodies {
            let Some(body) = inflate(&document.deflated) else {
                warn!(event = "document_malformed", %peer, name = %document.name);
                continue;
            };
            self.offer(&document.name, document.revision, &body, "peer");
        }
        true
    }

    /// Fetches announced documents from peers until they are in force here.
    pub(crate) async fn run_repair(self: Arc<Self>) {
        let mut interval = tokio::time::interval(Duration::from_millis(REPAIR_INTERVAL_MS));
        loop {
            interval.tick().await;
            let missing = self.missing_documents();
            if missing.is_empty() {
                continue;
            }
            let peers = self.state().gossip.live_peers();
            let Some(peer) = peers.choose(&mut rand::rng()).copied() else {
                continue;
            };
            self.fetch(peer, missing).await;
        }
    }

    /// Asks peers for newer documents if the process may have been paused.
    pub async fn ensure_fresh(&self) {
        if !self.stale.load(Ordering::SeqCst) && !self.is_paused(boot_ms()) {
            return;
        }
        let answered = self.ask_peers(REFRESH_TIMEOUT_MS).await;
        info!(event = "refreshed_after_pause", answered);
        self.stale.store(false, Ordering::SeqCst);
    }
}
