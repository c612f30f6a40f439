//! Watches the platform, on the VMs that are chosen to.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tracing::warn;

use super::ControlPlane;
use crate::clock::boot_ms;
use crate::document::OfferOutcome;
use crate::platform::PlatformError;
use crate::watcher::{RetryBackoff, select_watchers, watch_wait_ms};

/// Time between two checks of a VM that does not watch.
const WATCHER_CHECK_INTERVAL_MS: u64 = 500;

/// Time after the start within which membership becomes known.
const MEMBERSHIP_SETTLE_MS: u64 = 5_000;

/// Where a watch goes on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchCursor {
    index: u64,
    response_bytes: u64,
}

impl ControlPlane {
    /// Returns whether this VM is one of those that watch the platform.
    ///
    /// Shortly after the start, listed VMs of which nothing is known yet count as live: otherwise
    /// each VM of a fleet that starts together would find itself to be the only watcher.
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
        // The join reads the platform itself, if it has to.
        self.joined.cancelled().await;
        let mut position = WatchCursor::default();
        let mut backoff = RetryBackoff::default();
        loop {
            if !self.is_watcher() {
                position = WatchCursor::default();
                tokio::time::sleep(Duration::from_millis(WATCHER_CHECK_INTERVAL_MS)).await;
                continue;
            }
            match self.read_platform(position).await {
                Ok(next) => {
                    backoff.reset();
                    position = next;
                }
                Err(error) => {
                    let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                    warn!(event = "platform_read_failed", %error, delay_ms);
                    position = WatchCursor::default();
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Reads the platform once, offers what it holds and returns the position to watch from.
    pub(crate) async fn read_platform(
        &self,
        position: WatchCursor,
    ) -> Result<WatchCursor, PlatformError> {
        let wait_ms = match position.index {
            0 => 0,
            _ => watch_wait_ms(position.response_bytes, &mut rand::rng()),
        };
        let read = self.platform.read(position.index, wait_ms).await;
        let response_bytes = read.as_ref().map_or(0, |read| read.response_bytes);
        self.telemetry
            .count_platform_call(read.is_ok(), response_bytes);
        let read = read?;
        crate::faults::hit_fail_point("config.read");
        let mut behind = false;
        for value in &read.values {
            let verdict = self.offer(&value.name, value.revision, &value.body, "platform");
            behind |= verdict == OfferOutcome::Older;
        }
        self.platform_behind.store(behind, Ordering::Relaxed);
        Ok(WatchCursor {
            index: read.index,
            response_bytes,
        })
    }
}
