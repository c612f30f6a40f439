//! Follows the platform: one full read, then changes as they come.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use thiserror::Error;
use tokio::time::sleep;
use tracing::{info, warn};

use super::catalog::{CatalogImage, ChangeSet, ChangeSummary};
use super::engine::Engine;
use crate::clock::boot_ms;

/// Time for which one watch waits. A connection may go silent without an end; the next watch finds
/// out within the 7 s after which a VM has to know of a new configuration again.
const WATCH_MS: u64 = 5_000;

/// Pause after changes, in which further ones gather: each call has a price.
const BATCH_DELAY_MS: u64 = 250;

/// Pause of a VM that leaves the watch to others.
const STANDBY_POLL_MS: u64 = 100;

/// Shortest and longest pause after a failed call; the longest is short enough for a configuration
/// to be in force in time once the platform is back.
const BACKOFF_MS: std::ops::RangeInclusive<u64> = 50..=600;

/// The platform did not answer as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CatalogSourceError {
    /// The history since the revision is gone; a full read is needed.
    #[error("history is no longer available")]
    HistoryLost,
    /// The platform refused the call.
    #[error("platform refused the call with status {0}")]
    Refused(u16),
    /// The platform can't be reached or did not answer in time.
    #[error("platform did not answer")]
    Unreachable,
    /// The answer can't be read.
    #[error("answer of the platform is malformed")]
    Malformed,
}

/// The platform as the gateway sees it.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads everything.
    fn read_all(&self) -> impl Future<Output = Result<CatalogImage, CatalogSourceError>> + Send;

    /// Waits for changes after a revision, for at most `wait_ms`.
    fn changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<ChangeSet, CatalogSourceError>> + Send;
}

/// Follows one platform into an engine's catalog.
pub struct Follower<S> {
    source: S,
    engine: Arc<Engine>,
    failures: u32,
    read: bool,
}

impl<S: CatalogSource> Follower<S> {
    /// Makes a follower that has read nothing yet.
    pub fn new(source: S, engine: Arc<Engine>) -> Self {
        Self {
            source,
            engine,
            failures: 0,
            read: false,
        }
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        loop {
            if !self.engine.is_watching() {
                self.read = false;
                sleep(Duration::from_millis(STANDBY_POLL_MS)).await;
                continue;
            }
            let result = if self.read {
                self.follow().await
            } else {
                self.read_all().await
            };
            self.engine
                .gateway_metrics
                .count_platform_call(result.is_ok());
            self.engine.set_platform_answers(result.is_ok());
            let pause_ms = match result {
                Ok(changed) => self.succeeded(changed),
                Err(error) => self.failed(error),
            };
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn read_all(&mut self) -> Result<ChangeSummary, CatalogSourceError> {
        let image = self.source.read_all().await?;
        self.read = true;
        info!(
            event = "platform_read",
            revision = image.revision,
            leaves = image.leaves.len()
        );
        self.record_recovery();
        let mut state = self.engine.state();
        Ok(state.catalog.replace(image, boot_ms()))
    }

    async fn follow(&mut self) -> Result<ChangeSummary, CatalogSourceError> {
        let after = self.engine.state().catalog.revision();
        let found = self.source.changes(after, WATCH_MS).await?;
        self.record_recovery();
        let mut state = self.engine.state();
        let catalog = &mut state.catalog;
        Ok(catalog.apply(found, boot_ms()))
    }

    fn record_recovery(&mut self) {
        if self.failures == 0 {
            return;
        }
        info!(event = "platform_recovered", failed_calls = self.failures);
        self.failures = 0;
        self.engine.state().catalog.platform_recovered(boot_ms());
    }

    fn succeeded(&self, changed: ChangeSummary) -> u64 {
        if !changed.document && !changed.leaves {
            return 0;
        }
        self.engine.refresh();
        BATCH_DELAY_MS
    }

    /// Takes a failure: everything is read again, since a watch that was cut may have missed changes
    /// whose history is gone, and a new one then waits in vain.
    fn failed(&mut self, error: CatalogSourceError) -> u64 {
        self.read = false;
        if error == CatalogSourceError::HistoryLost {
            info!(event = "platform_history_lost");
            return 0;
        }
        if self.failures == 0 {
            warn!(event = "platform_lost", %error);
        }
        let longest_ms = (*BACKOFF_MS.start() << self.failures.min(6)).min(*BACKOFF_MS.end());
        self.failures = self.failures.saturating_add(1);
        rand::rng().random_range(longest_ms / 2..=longest_ms)
    }
}
