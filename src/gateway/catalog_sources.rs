//! Decides from which peer this VM fetches the catalog, and when it reads the platform itself instead. Pure
//! functions without I/O.
//!
//! Handles peers that freeze, die or are cut off right after they have announced a version: several
//! peers have it, so that none of them is waited for.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::document::Version;

/// Time for which a peer that brought nothing is asked after all others.
const AVOID_MS: u64 = 1_000;

/// Maximum number of peers whose announcements are kept.
const MAX_PEERS: usize = 4_096;

/// Time for which a VM may be behind a version that it knows of before it reads the platform itself.
pub const MAX_BEHIND_MS: u64 = 1_000;

/// Time without a datagram of any peer after which a VM counts as cut off from all of them. Each VM gets
/// an acknowledgement per probe interval otherwise.
pub const ISOLATED_MS: u64 = 1_200;

/// Mean interval between the spot checks of the whole fleet, whatever its size.
///
/// VMs that don't watch the platform check it at random times, so that a version is found although all watchers are
/// lost, and the number of platform calls does not grow with the fleet.
const SPOT_CHECK_INTERVAL_MS: u64 = 500;

/// Returns the mean time between two spot checks of one VM in a fleet of `vms`.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::catalog_sources::spot_check_interval_ms;
/// assert_eq!(spot_check_interval_ms(64), 32_000);
/// ```
pub fn spot_check_interval_ms(vms: usize) -> u64 {
    (vms.max(1) as u64).saturating_mul(SPOT_CHECK_INTERVAL_MS)
}

/// What a peer is known for.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Newest version that it has announced.
    announced: Version,
    /// Time until which it is asked after all others.
    avoided_until_ms: u64,
}

/// Peers from which the catalog can be fetched.
#[derive(Debug, Default)]
pub struct CatalogSources {
    peers: HashMap<SocketAddr, Peer>,
}

impl CatalogSources {
    /// Records that a peer has the catalog up to a version.
    pub fn record_announcement(&mut self, peer: SocketAddr, version: Version) {
        if let Some(peer) = self.peer(peer) {
            peer.announced = peer.announced.max(version);
        }
    }

    /// Records that a peer did not respond, or had no newer version.
    pub fn record_failure(&mut self, peer: SocketAddr, now_ms: u64) {
        if let Some(peer) = self.peer(peer) {
            peer.announced = Version::default();
            peer.avoided_until_ms = now_ms + AVOID_MS;
        }
    }

    fn peer(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&address) {
            return None;
        }
        Some(self.peers.entry(address).or_default())
    }

    /// Forgets the peers that are not in `live`.
    pub fn retain(&mut self, live: impl Fn(&SocketAddr) -> bool) {
        self.peers.retain(|address, _| live(address));
    }

    /// Returns the peer to ask for a version after `own`, given all live peers: one that has announced such a
    /// version, or else any other. Peers that brought nothing lately come last.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::document::Version;
    /// use cloverrack::gateway::CatalogSources;
    /// let own = Version { epoch: 0, revision: 7 };
    /// let newer = Version { epoch: 0, revision: 8 };
    /// let peers = [([10, 0, 0, 1], 7_740).into(), ([10, 0, 0, 2], 7_740).into()];
    /// let mut sources = CatalogSources::default();
    /// sources.record_announcement(peers[0], newer);
    /// assert_eq!(sources.choose(own, &peers, 0, &mut rand::rng()), Some(peers[0]));
    /// sources.record_failure(peers[0], 0);
    /// assert_eq!(sources.choose(own, &peers, 0, &mut rand::rng()), Some(peers[1]));
    /// ```
    pub fn choose(
        &self,
        own: Version,
        live: &[SocketAddr],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let known = |address: &SocketAddr| self.peers.get(address).copied().unwrap_or_default();
        let announced = live.iter().filter(|address| known(address).announced > own);
        if let Some(peer) = announced.choose(rng) {
            return Some(*peer);
        }
        let untried = live
            .iter()
            .filter(|address| known(address).avoided_until_ms <= now_ms);
        untried.choose(rng).or_else(|| live.choose(rng)).copied()
    }
}
