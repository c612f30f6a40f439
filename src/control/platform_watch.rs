//! Watch of the platform's documents, on the VMs that are selected as watchers.
//!
//! Requests are routed by these documents; other VMs receive them from their peers. While reads
//! fail, the documents in force remain and the reads are retried with backoff.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tracing::warn;

use super::ControlPlane;
use crate::clock::boot_ms;
use crate::document::OfferOutcome;
use crate::platform::PlatformError;
use crate::watcher::{RetryBackoff, select_watchers, watch_wait_ms};

/// Interval at which a VM that does not watch checks whether it has become a watcher.
const WATCHER_CHECK_INTERVAL_MS: u64 = 500;

/// Time after the start within which gossip discovers the live VMs.
const MEMBERSHIP_SETTLE_MS: u64 = 5_000;

/// Position from which a watch continues.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchCursor {
    index: u64,
    response_bytes: u64,
}

impl ControlPlane {
    /// Returns whether this VM is one of those that watch the platform.
    ///
    /// Shortly after the start, listed VMs without a known state count as live. Otherwise, each VM
    /// of a fleet that starts at the same time would select itself as the only watcher.
    pub fn is_watcher(&self) -> bool {
        let settling = boot_ms() < self.started_ms + MEMBERSHIP_SETTLE_MS;
        let fleet = self.fleet();
        let state = self.state();
        let mut vms = Vec::new();
        for vm in &fleet.vms {
            let unknown = state.gossip.vm_state(vm.entry.internal_address).is_none();
            if vm.live || (settling && unknown && !vm.entry.leaving) {
                vms.push((&*vm.entry.name, &*vm.entry.failure_domain));
            }
        }
        vms.is_empty() || select_watchers(&vms).contains(&&*self.settings.vm)
    }

    pub(super) async fn run_watch(self: Arc<Self>) {
        // The join reads the platform itself if necessary.
        self.joined.cancelled().await;
        let mut cursor = WatchCursor::default();
        let mut backoff = RetryBackoff::default();
        loop {
            if !self.is_watcher() {
                cursor = WatchCursor::default();
                tokio::time::sleep(Duration::from_millis(WATCHER_CHECK_INTERVAL_MS)).await;
                continue;
            }
            match self.read_platform(cursor).await {
                Ok(next) => {
                    backoff.reset();
                    cursor = next;
                }
                Err(error) => {
                    let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                    warn!(event = "platform_read_failed", %error, delay_ms);
                    cursor = WatchCursor::default();
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Reads the platform once, applies its documents and returns the cursor for the next watch.
    pub(crate) async fn read_platform(
        &self,
        cursor: WatchCursor,
    ) -> Result<WatchCursor, PlatformError> {
        let wait_ms = match cursor.index {
            0 => 0,
            _ => watch_wait_ms(cursor.response_bytes, &mut rand::rng()),
        };
        let read = self.platform.read(cursor.index, wait_ms).await;
        let response_bytes = read.as_ref().map_or(0, |read| read.response_bytes);
        self.telemetry
            .count_platform_call(read.is_ok(), response_bytes);
        let read = read?;
        crate::faults::hit_fail_point("config.read");
        let mut behind = false;
        for value in &read.values {
            let outcome = self.offer(&value.name, value.revision, &value.body, "platform");
            behind |= outcome == OfferOutcome::Outdated;
        }
        self.platform_behind.store(behind, Ordering::Relaxed);
        Ok(WatchCursor {
            index: read.index,
            response_bytes,
        })
    }
}
