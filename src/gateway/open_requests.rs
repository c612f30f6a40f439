//! Counts the requests that this VM has read and not answered, and logs those that end without a
//! response.
//!
//! Handles ends of connections and of the process, of which no other module learns: they drop the
//! request in whatever state it is.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use http::header::HeaderValue;
use tracing::{debug, warn};

use super::engine::Engine;
use crate::clock::{boot_ms, boot_us};

/// Time of the stop signal while there was none.
const NOT_STOPPING: u64 = u64::MAX;

/// Requests in progress on this VM.
#[derive(Debug)]
pub struct OpenRequests {
    count: AtomicUsize,
    unanswered: AtomicUsize,
    stopping_since_ms: AtomicU64,
    is_exiting: AtomicBool,
}

impl Default for OpenRequests {
    fn default() -> Self {
        Self {
            count: AtomicUsize::new(0),
            unanswered: AtomicUsize::new(0),
            stopping_since_ms: AtomicU64::new(NOT_STOPPING),
            is_exiting: AtomicBool::new(false),
        }
    }
}

impl OpenRequests {
    /// Returns the number of requests that are not answered.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that ended without a response.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }

    /// Records that this VM was asked to stop.
    pub(super) fn record_stop(&self) {
        self.stopping_since_ms.store(boot_ms(), Ordering::Relaxed);
    }

    /// Records that the process ends.
    pub(super) fn record_exit(&self) {
        self.is_exiting.store(true, Ordering::Relaxed);
    }
}

/// A request in progress. Dropping it before it is answered counts it as unanswered.
#[derive(Debug)]
pub(super) struct OpenRequest<'a> {
    engine: &'a Engine,
    request_id: Option<HeaderValue>,
    started_us: u64,
    is_answered: bool,
}

impl<'a> OpenRequest<'a> {
    pub(super) fn new(
        engine: &'a Engine,
        request_id: Option<&HeaderValue>,
        started_us: u64,
    ) -> Self {
        engine.open_requests.count.fetch_add(1, Ordering::Relaxed);
        Self {
            engine,
            request_id: request_id.cloned(),
            started_us,
            is_answered: false,
        }
    }

    /// Ends the request with a response.
    pub(super) fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let requests = &self.engine.open_requests;
        requests.count.fetch_sub(1, Ordering::Relaxed);
        if self.is_answered {
            return;
        }
        requests.unanswered.fetch_add(1, Ordering::Relaxed);
        let cause = if requests.is_exiting.load(Ordering::Relaxed) {
            "process exits"
        } else {
            "connection closed"
        };
        self.engine.metrics.count_unanswered(cause);
        let request_id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        let elapsed_us = boot_us().saturating_sub(self.started_us);
        let stopping_since_ms = requests.stopping_since_ms.load(Ordering::Relaxed);
        // Callers leave at all times; only a VM that stops closes connections with requests.
        if stopping_since_ms == NOT_STOPPING {
            debug!(event = "request_unanswered", request_id, cause, elapsed_us);
            return;
        }
        let stopping_ms = boot_ms().saturating_sub(stopping_since_ms);
        warn!(
            event = "request_unanswered",
            request_id, cause, elapsed_us, stopping_ms
        );
    }
}
