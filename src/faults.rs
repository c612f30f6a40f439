//! Injected faults of test builds: cut links. Without the feature `fault-injection` nothing is cut.

use std::net::SocketAddr;

#[cfg(feature = "fault-injection")]
static CUT: std::sync::RwLock<Vec<SocketAddr>> = std::sync::RwLock::new(Vec::new());

/// Cuts the links to exactly these internal, leaf or platform addresses.
#[cfg(feature = "fault-injection")]
pub fn set_cut(peers: Vec<SocketAddr>) {
    *CUT.write()
        .unwrap_or_else(std::sync::PoisonError::into_inner) = peers;
}

/// Returns whether the link to a peer is cut.
#[cfg(feature = "fault-injection")]
pub fn is_cut(peer: SocketAddr) -> bool {
    CUT.read()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .contains(&peer)
}

/// Returns whether the link to a peer is cut: never in this build.
#[cfg(not(feature = "fault-injection"))]
pub fn is_cut(_peer: SocketAddr) -> bool {
    false
}
