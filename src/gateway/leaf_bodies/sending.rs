//! Ends a connection to a leaf that does not read the body of a request in time.
//!
//! Handles leaves that answer before they have read the request, or never read it: the connection would hold
//! the body for as long as the leaf keeps it open.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::Body;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::clock::boot_us;
use crate::full_body;
use crate::gateway::engine::Engine;
use crate::gateway::leaves::Leaf;
use crate::ids::LeafKey;

/// Time after the end of a call, or until the deadline of the request if that is earlier, in which a leaf may read
/// the rest of the body. One that answers early and reads on does so within a few round trips.
const MAX_SENDING_US: u64 = 500_000;

/// Size up to which a body is not watched: the send buffer of a connection that is ready for a request takes it at
/// once, and the memory of a connection to a leaf counts with a buffer of this size.
const SMALL_BODY_BYTES: usize = 4 * 1_024;

/// Ends a connection.
pub(in crate::gateway) type StopSignal = CancellationToken;

/// Leaf and deadline of a request, as an extension of the request.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct SendBy {
    pub(in crate::gateway) engine: Weak<Engine>,
    pub(in crate::gateway) leaf: LeafKey,
    /// Deadline on the boot clock.
    pub(in crate::gateway) deadline_us: u64,
}

impl SendBy {
    fn record_unread_body(&self) {
        let Some(engine) = self.engine.upgrade() else {
            return;
        };
        engine.metrics.count_unread_body();
        let address = engine.state().leaves.get(self.leaf).map(Leaf::address);
        info!(event = "leaf_did_not_read_body", leaf = ?address);
    }
}

/// Body that shows whether the connection still holds it.
struct WatchedBody {
    bytes: Bytes,
    _held: Arc<()>,
}

impl AsRef<[u8]> for WatchedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body of a request that a connection sends. If the connection holds it when the call ends, the leaf has
/// little time left to read it.
#[derive(Debug)]
pub(in crate::gateway) struct Sending {
    stop: StopSignal,
    held: Weak<()>,
    send_by: Option<SendBy>,
}

impl Sending {
    /// Watches the body of a request, unless it is small.
    pub(in crate::gateway) fn watch(
        request: Request<Full<Bytes>>,
        stop: &StopSignal,
    ) -> (Request<Full<Bytes>>, Option<Self>) {
        let body_bytes = request.body().size_hint().exact().unwrap_or(0);
        if body_bytes <= SMALL_BODY_BYTES as u64 {
            return (request, None);
        }
        let (head, body) = request.into_parts();
        let bytes = full_body::into_bytes(body);
        let held = Arc::new(());
        let sending = Self {
            stop: stop.clone(),
            held: Arc::downgrade(&held),
            send_by: head.extensions.get().cloned(),
        };
        let watched = Bytes::from_owner(WatchedBody { bytes, _held: held });
        let request = Request::from_parts(head, Full::new(watched));
        (request, Some(sending))
    }

    fn is_sent(&self) -> bool {
        self.held.strong_count() == 0
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        // Without a runtime, the process ends.
        let (false, Ok(runtime)) = (self.is_sent(), Handle::try_current()) else {
            return;
        };
        let (stop, held) = (self.stop.clone(), self.held.clone());
        let send_by = self.send_by.take();
        let deadline_us = send_by.as_ref().map_or(u64::MAX, |by| by.deadline_us);
        let left_us = deadline_us.saturating_sub(boot_us());
        let limit = Duration::from_micros(left_us.min(MAX_SENDING_US));
        runtime.spawn(async move {
            tokio::time::sleep(limit).await;
            if held.strong_count() == 0 {
                return;
            }
            stop.cancel();
            if let Some(send_by) = send_by {
                send_by.record_unread_body();
            }
        });
    }
}
