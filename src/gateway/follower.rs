//! Keeps the catalog that requests are routed by up to date with the platform: one full read, then
//! a long poll for changes.
//!
//! Handles platform outages and lost history: retries with backoff and reads everything again.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tracing::{debug, info, warn};

use super::catalog::ChangeSummary;
use super::catalog_sources::spot_check_interval_ms;
use super::catalog_sync::MAX_VMS_ALL_WATCH;
use super::engine::Engine;
use super::evacuation::{SourceChanges, SourceImage};
use crate::clock::boot_ms;
use crate::document::Version;

/// Timeout of one long poll. A connection may go silent without being closed. Together with the time that the
/// platform has to answer, the poll ends before the 4 s after which VMs whose connections were lost have to follow
/// new configurations again.
const LONG_POLL_MS: u64 = 2_800;

/// Delay after a long poll that ended early, which batches further changes to save platform calls. It
/// applies to changes without effect as well, such as those of entries that other writers repeat.
const BATCH_DELAY_MS: u64 = 250;

/// Time after which a long poll counts as one that reached its timeout.
const EARLY_END: Duration = Duration::from_millis(LONG_POLL_MS - BATCH_DELAY_MS);

/// Interval at which a VM that does not watch the platform checks whether it has to; it makes only spot
/// checks meanwhile.
const STANDBY_POLL_MS: u64 = 100;

/// Time for which a spot check waits for a change: none, since it asks for earlier ones.
const SPOT_CHECK_WAIT_MS: u64 = 1;

/// Minimum and maximum backoff after failed calls. The maximum is short enough for a new
/// configuration to take effect in time once the platform has recovered.
const BACKOFF_MS: std::ops::RangeInclusive<u64> = 50..=600;

/// Failure of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CatalogSourceError {
    /// The history since the revision has been dropped; a full read is needed.
    #[error("platform no longer has the history since the requested revision")]
    HistoryLost,
    /// The platform rejected the call with an HTTP status.
    #[error("platform rejected the call with status {0}")]
    Refused(u16),
    /// The platform can't be reached or did not respond in time.
    #[error("platform is unreachable or did not respond in time")]
    Unreachable,
    /// The response can't be parsed.
    #[error("platform response is malformed")]
    Malformed,
}

/// Source of the catalog: the platform's API as the gateway uses it.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads the whole catalog and all evacuated failure domains.
    fn read_all(&self) -> impl Future<Output = Result<SourceImage, CatalogSourceError>> + Send;

    /// Waits up to `wait_ms` for changes after a version.
    ///
    /// # Errors
    ///
    /// Fails with [`CatalogSourceError::HistoryLost`] if the platform is in another epoch.
    fn changes(
        &self,
        after: Version,
        wait_ms: u64,
    ) -> impl Future<Output = Result<SourceChanges, CatalogSourceError>> + Send;
}

/// Applies the changes of one platform to an engine's catalog.
pub struct Follower<S> {
    source: S,
    engine: Arc<Engine>,
    failures: u32,
    has_read: bool,
    /// Whether the history was lost and no change has been read since.
    has_lost_history: bool,
}

impl<S: CatalogSource> Follower<S> {
    /// Creates a follower that starts with a full read.
    pub fn new(source: S, engine: Arc<Engine>) -> Self {
        Self {
            source,
            engine,
            failures: 0,
            has_read: false,
            has_lost_history: false,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            if !self.engine.is_platform_watcher() {
                self.has_read = false;
                self.spot_check_at_random().await;
                sleep(Duration::from_millis(STANDBY_POLL_MS)).await;
                continue;
            }
            let early_end = self.has_read.then(|| Instant::now() + EARLY_END);
            let result = if self.has_read {
                self.poll_changes().await
            } else {
                self.read_all().await
            };
            self.engine.metrics.count_platform_call(result.is_ok());
            self.engine.set_platform_reachable(result.is_ok());
            let delay_ms = match result {
                Ok(changed) => {
                    let is_early = early_end.is_some_and(|early_end| Instant::now() < early_end);
                    self.handle_success(changed, is_early)
                }
                Err(error) => self.handle_failure(error),
            };
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Checks from time to time that the VMs which watch the platform have not missed a change.
    async fn spot_check_at_random(&mut self) {
        let vms = self.engine.live_vms();
        if vms <= MAX_VMS_ALL_WATCH || self.engine.route_table().is_none() {
            return;
        }
        // Drawn anew each time, since a VM that has just started knows only some of the others.
        let interval_ms = spot_check_interval_ms(vms);
        if rand::rng().random_range(0..interval_ms) >= STANDBY_POLL_MS {
            return;
        }
        let after = self.engine.state().catalog.version();
        let mut result = match self.source.changes(after, SPOT_CHECK_WAIT_MS).await {
            Ok(changes) => Ok(self.engine.apply_source_changes(after, changes)),
            Err(error) => Err(error),
        };
        self.engine.metrics.count_platform_call(result.is_ok());
        if result == Err(CatalogSourceError::HistoryLost) {
            result = self.read_all().await;
            self.engine.metrics.count_platform_call(result.is_ok());
            self.has_read = false;
        }
        match result {
            Ok(changed) if changed.document || changed.leaves => {
                info!(
                    event = "platform_spot_check",
                    configuration = changed.document
                );
                self.engine.refresh();
            }
            Ok(_) => {}
            Err(error) => debug!(event = "platform_spot_check_failed", %error),
        }
    }

    async fn read_all(&mut self) -> Result<ChangeSummary, CatalogSourceError> {
        let image = self.source.read_all().await?;
        self.has_read = true;
        info!(
            event = "platform_read",
            epoch = image.catalog.epoch,
            revision = image.catalog.revision,
            leaves = image.catalog.leaves.len(),
            evacuated = image.evacuated_domains.len()
        );
        self.record_recovery();
        Ok(self.engine.apply_source_image(image))
    }

    async fn poll_changes(&mut self) -> Result<ChangeSummary, CatalogSourceError> {
        let after = {
            let state = self.engine.state();
            state.evacuations.watch_after(state.catalog.version())
        };
        let changes = self.source.changes(after, LONG_POLL_MS).await?;
        self.has_lost_history = false;
        self.record_recovery();
        Ok(self.engine.apply_source_changes(after, changes))
    }

    fn record_recovery(&mut self) {
        if self.failures == 0 {
            return;
        }
        info!(event = "platform_recovered", failed_calls = self.failures);
        self.failures = 0;
        self.engine.state().catalog.platform_recovered(boot_ms());
    }

    /// Refreshes the engine after changes, and returns the delay before the next call.
    fn handle_success(&self, changed: ChangeSummary, is_early: bool) -> u64 {
        let has_changed = changed.document || changed.leaves;
        if has_changed {
            self.engine.refresh();
        }
        if has_changed || is_early {
            BATCH_DELAY_MS
        } else {
            0
        }
    }

    /// Handles a failed call and returns the backoff. The next call is a full read: an interrupted
    /// long poll may have missed changes whose history has been dropped, and a new one would never
    /// return them.
    fn handle_failure(&mut self, error: CatalogSourceError) -> u64 {
        self.has_read = false;
        if error == CatalogSourceError::HistoryLost {
            info!(event = "platform_history_lost");
            let is_repeated = std::mem::replace(&mut self.has_lost_history, true);
            return if is_repeated { *BACKOFF_MS.end() } else { 0 };
        }
        if self.failures == 0 {
            warn!(event = "platform_lost", %error);
        }
        let max_backoff_ms = (*BACKOFF_MS.start() << self.failures.min(6)).min(*BACKOFF_MS.end());
        self.failures = self.failures.saturating_add(1);
        rand::rng().random_range(max_backoff_ms / 2..=max_backoff_ms)
    }
}
