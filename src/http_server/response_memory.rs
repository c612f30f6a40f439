//! Counts the responses that a listener sends, over all its connections, and tells the connections of those
//! that are cut off.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::open_responses::{CutOff, OpenResponses};
use crate::clock::boot_ms;

/// Interval between checks for responses without progress.
const CHECK_INTERVAL_MS: u64 = 250;

/// Delay of a check from which the process counts as not having run.
const MIN_DELAY_MS: u64 = 250;

/// Tells a connection that one of its responses is cut off, which ends it.
pub(super) type CutOffSender = watch::Sender<Option<CutOff>>;

/// Memory that the responses of a listener share while they are sent.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    responses: Arc<Mutex<OpenResponses<CutOffSender>>>,
}

/// A response that is being sent. It counts until this is dropped.
#[derive(Debug)]
pub(super) struct HeldResponse {
    memory: ResponseMemory,
    number: u64,
}

impl ResponseMemory {
    /// Creates a memory of `bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::http_server::ResponseMemory;
    /// assert!(ResponseMemory::new(65_536).has_room());
    /// ```
    pub fn new(bytes: usize) -> Self {
        Self {
            responses: Arc::new(Mutex::new(OpenResponses::new(bytes))),
        }
    }

    /// Returns whether requests may be taken whose responses will be held.
    pub fn has_room(&self) -> bool {
        self.responses().has_room()
    }

    /// Returns the number of responses that are being sent.
    pub fn count(&self) -> usize {
        self.responses().count()
    }

    /// Counts a response until the returned value is dropped. Without room, others are cut off for it.
    pub(super) fn hold(&self, connection: &CutOffSender, response_bytes: usize) -> HeldResponse {
        let now_ms = boot_ms();
        let mut responses = self.responses();
        let number = responses.add(connection.clone(), response_bytes, now_ms);
        let cut_off = if responses.exceeds_limit() {
            responses.take_cut_off(now_ms)
        } else {
            Vec::new()
        };
        drop(responses);
        notify(cut_off);
        HeldResponse {
            memory: self.clone(),
            number,
        }
    }

    /// Cuts off responses without progress until it is dropped.
    pub(super) async fn check(self) {
        let mut checked_ms = boot_ms();
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let now_ms = boot_ms();
            let delay_ms = now_ms.saturating_sub(checked_ms + CHECK_INTERVAL_MS);
            checked_ms = now_ms;
            let mut responses = self.responses();
            if delay_ms >= MIN_DELAY_MS {
                responses.record_delay(delay_ms);
            }
            let cut_off = responses.take_cut_off(now_ms);
            drop(responses);
            notify(cut_off);
        }
    }

    fn responses(&self) -> MutexGuard<'_, OpenResponses<CutOffSender>> {
        let responses = self.responses.lock();
        responses.unwrap_or_else(PoisonError::into_inner)
    }
}

fn notify(cut_off: Vec<(CutOffSender, CutOff)>) {
    for (connection, cut_off) in cut_off {
        connection.send_replace(Some(cut_off));
    }
}

impl HeldResponse {
    /// Records that the caller has read a part.
    pub(super) fn record_progress(&self) {
        let mut responses = self.memory.responses();
        responses.record_progress(self.number, boot_ms());
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.memory.responses().remove(self.number);
    }
}
