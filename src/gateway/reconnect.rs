//! Connects again to leaves whose addresses refuse connections, so that requests need not find out
//! whether these leaves are back.
//!
//! Handles leaves that crash, alone or all of a service: without this, each request would try their
//! addresses itself, until its deadline.

use std::sync::Weak;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;
use tracing::debug;

use super::connection::{CallError, Connection};
use super::engine::Engine;
use crate::clock::{boot_ms, boot_us};
use crate::ids::LeafKey;

/// Range of the interval between two attempts. An address without a process refuses at once, and a
/// leaf that is back is used after half of the interval on average.
const INTERVAL_MS: std::ops::Range<u64> = 25..50;

/// Keeps trying to connect to a leaf that has refused connections since `since_us`, until it accepts
/// one, is no longer listed or has announced its end, the refusal is forgotten, or the engine is
/// dropped.
pub(super) async fn run(engine: Weak<Engine>, leaf: LeafKey, since_us: u64) {
    loop {
        let interval_ms = rand::rng().random_range(INTERVAL_MS);
        sleep(Duration::from_millis(interval_ms)).await;
        let address = {
            let Some(engine) = engine.upgrade() else {
                return;
            };
            let state = engine.state();
            let Some(leaf) = state.leaves.get(leaf) else {
                return;
            };
            if leaf.unreachable_since_us != Some(since_us) || leaf.retired || leaf.is_departing() {
                return;
            }
            leaf.address()
        };
        let connected = Connection::open(address).await;
        if connected.as_ref().err() == Some(&CallError::ConnectRefused) {
            continue;
        }
        debug!(event = "leaf_reconnected", leaf = %address, succeeded = connected.is_ok());
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let state = &mut *engine.state();
        if connected.is_ok() {
            state.link_monitor.record_connection();
        }
        state.leaves.record_reachable(leaf, boot_us());
        let Some(leaf) = state.leaves.get_mut(leaf) else {
            return;
        };
        if let Ok(connection) = connected
            && !leaf.retired
            && !leaf.is_departing()
        {
            engine.metrics.count_connection();
            leaf.connections += 1;
            leaf.idle.push(connection.into_unused(boot_ms()));
        }
        return;
    }
}
