//! Forwards requests to VMs that reach the leaves.
//!
//! Handles requests that arrive at a VM which is cut off from the leaves, since callers use its
//! address for some time after it was withdrawn. A request that may have run on a VM which then fails
//! is not sent to another one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tracing::{debug, info};

use super::call::CallSpec;
use super::engine::Engine;
use super::forwarded_request::{ForwardedRequest, NotRunReason, PriorCalls, RESPONSE_MARGIN_MS};
use super::refusal::empty_response;
use super::reply_memory::ReplyReceiver;
use super::service::strip_hop_by_hop;
use super::vm_client::{ChosenVm, VmCallError, VmClient};
use super::vm_server::{HANDLED_HEADER, NOT_RUN_HEADER};
use crate::clock::boot_ms;
use crate::http_server::HttpResponse;
use crate::wire::encode;

/// Path of forwarded requests.
pub(super) const FORWARD_PATH: &str = "/forward";

/// Number of VMs to which a request is offered.
const MAX_OFFERS: usize = 3;

const BYTES_PER_KIB: usize = 1_024;

/// Time for which requests of a route are not forwarded after another VM did not reach its leaves
/// either.
const UNREACHABLE_MS: u64 = 300;

/// End of a forwarded request at a VM.
enum ForwardEnd {
    Handled(HttpResponse),
    NotRun(NotRunReason),
}

/// Sends requests to other VMs.
#[derive(Debug)]
pub struct Forwarder {
    engine: Arc<Engine>,
    vm_client: Arc<VmClient>,
    /// Memory of the requests that are being forwarded. Each is held twice, as received and as sent.
    available_kib: Semaphore,
    /// Routes whose leaves another VM does not reach either, until a time since boot.
    unreachable_until_ms: Mutex<HashMap<Box<str>, u64>>,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(engine: Arc<Engine>, vm_client: Arc<VmClient>) -> Self {
        let available_kib = engine.memory_limits.forwarded_bytes / BYTES_PER_KIB;
        Self {
            engine,
            vm_client,
            available_kib: Semaphore::new(available_kib),
            unreachable_until_ms: Mutex::default(),
        }
    }

    /// Returns whether there is another VM that reaches the leaves.
    pub(super) fn has_candidate(&self) -> bool {
        self.vm_client.has_candidate()
    }

    /// Returns whether there is another VM that reaches the leaves and is not stopping.
    pub(super) fn has_serving_vm(&self) -> bool {
        self.vm_client.choose_serving(&[]).is_some()
    }

    /// Returns whether requests of a route are worth forwarding although this VM has links to
    /// leaves: no other VM has failed to reach the leaves of the route a moment ago.
    pub(super) fn may_reach(&self, route: &str) -> bool {
        let until_ms = self.unreachable().get(route).copied();
        until_ms.is_none_or(|until_ms| until_ms <= boot_ms())
    }

    /// Sends a request to another VM that reaches the leaves.
    ///
    /// Returns `None` if no VM takes it: it has not run then. Dropping the future cancels the
    /// request.
    pub(super) async fn forward(
        &self,
        route: &str,
        host: &str,
        spec: &CallSpec,
        route_version: u64,
        prior_calls: PriorCalls,
    ) -> Option<HttpResponse> {
        let size_kib = u32::try_from(spec.body.len() / BYTES_PER_KIB + 1).ok()?;
        let _permit = self.available_kib.try_acquire_many(size_kib).ok()?;
        let mut offered = Vec::new();
        while offered.len() < MAX_OFFERS {
            let vm = self.vm_client.choose(&offered)?;
            let address = vm.address;
            offered.push(address);
            let request = ForwardedRequest::new(host, spec, route_version, prior_calls);
            let remaining_ms = request.remaining_ms;
            if remaining_ms == 0 {
                return None;
            }
            let body = Bytes::from(encode(&request).ok()?);
            // The other VM answers before its own, earlier deadline.
            let limit = Duration::from_millis(remaining_ms + RESPONSE_MARGIN_MS);
            let Ok(result) = timeout(limit, self.exchange(&vm, body)).await else {
                self.engine.metrics.count_forwarded("timed out");
                return Some(empty_response(StatusCode::GATEWAY_TIMEOUT));
            };
            match result {
                Ok(ForwardEnd::Handled(response)) => {
                    self.engine.metrics.count_forwarded("handled");
                    return Some(response);
                }
                Ok(ForwardEnd::NotRun(reason)) => {
                    self.engine.metrics.count_forwarded("not run");
                    debug!(event = "request_not_forwarded", vm = %address, %reason);
                    if reason == NotRunReason::Unreachable {
                        let until_ms = boot_ms() + UNREACHABLE_MS;
                        self.unreachable().insert(route.into(), until_ms);
                        return None;
                    }
                    vm.avoid();
                }
                Err(error) => {
                    self.engine.metrics.count_forwarded("failed");
                    info!(event = "forward_failed", vm = %address, %error);
                    vm.avoid();
                    if error == VmCallError::Broken {
                        return Some(empty_response(StatusCode::BAD_GATEWAY));
                    }
                }
            }
        }
        None
    }

    async fn exchange(&self, vm: &ChosenVm, body: Bytes) -> Result<ForwardEnd, VmCallError> {
        let response = self.vm_client.call(vm, FORWARD_PATH, body).await?;
        self.read_response(response).await
    }

    async fn read_response(&self, response: Response<Incoming>) -> Result<ForwardEnd, VmCallError> {
        let (head, mut body) = response.into_parts();
        if !head.headers.contains_key(HANDLED_HEADER) {
            // Without either header, the VM may have run the request.
            let reason = head.headers.get(NOT_RUN_HEADER);
            let reason = reason.ok_or(VmCallError::Broken)?.to_str();
            let reason = reason.ok().and_then(NotRunReason::parse);
            return Ok(ForwardEnd::NotRun(reason.unwrap_or(NotRunReason::Rejected)));
        }
        let mut receiver = ReplyReceiver::new(Arc::clone(&self.engine.reply_memory));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| VmCallError::Broken)?;
            let Some(part) = frame.data_ref() else {
                continue;
            };
            if let Err(error) = receiver.append(part).await {
                debug!(event = "forwarded_response_not_received", %error);
                return Err(VmCallError::Broken);
            }
        }
        // The body ends without an error if the VM resets the stream with `NO_ERROR`, or announces with
        // this code that it closes the connection.
        if !body.is_end_stream() {
            return Err(VmCallError::Broken);
        }
        let body = Bytes::from_owner(receiver.finish());
        let mut handled = Response::new(Full::new(body));
        *handled.status_mut() = head.status;
        *handled.headers_mut() = strip_hop_by_hop(head.headers);
        handled.headers_mut().remove(HANDLED_HEADER);
        Ok(ForwardEnd::Handled(handled))
    }

    /// Closes the connections without requests, and forgets the routes whose leaves other VMs did not
    /// reach.
    pub(super) fn clear(&self) {
        self.vm_client.close_idle();
        self.unreachable().clear();
    }

    fn unreachable(&self) -> MutexGuard<'_, HashMap<Box<str>, u64>> {
        let unreachable = self.unreachable_until_ms.lock();
        unreachable.unwrap_or_else(PoisonError::into_inner)
    }
}
