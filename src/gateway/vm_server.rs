//! Internal server, which handles the calls of other VMs: requests that they forward, since they have
//! lost their links to the leaves.
//!
//! A forwarded request is run here or not at all: it is never forwarded again, so that it can't
//! circulate between VMs.

use std::net::IpAddr;
use std::sync::Arc;

use http::header::{HeaderName, HeaderValue};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tracing::info;

use super::body_memory::BodyReadError;
use super::forwarded_request::{ForwardedRequest, NotRunReason};
use super::forwarder::FORWARD_PATH;
use super::leaf_end_check::{LEAF_STATES_PATH, LeafQuestion};
use super::membership::Membership;
use super::refusal::empty_response;
use super::service::CallerService;
use super::vm_client::{MESSAGE_VERSION, VERSION_HEADER};
use crate::http_server::{CallerAddress, Handler, HttpResponse};
use crate::wire::decode;

/// Header of the response to a request that the VM has not run, with the reason.
pub(super) const NOT_RUN_HEADER: &str = "cloverrack-not-run";

/// Header of the response to a request that the VM has handled.
pub(super) const HANDLED_HEADER: &str = "cloverrack-handled";

/// Maximum number of forwarded requests that are handled at a time.
const MAX_FORWARDED_REQUESTS: usize = 256;

/// Handler of the calls of other VMs.
#[derive(Debug)]
pub struct VmServer {
    service: Arc<CallerService>,
    membership: Arc<Membership>,
    permits: Semaphore,
}

impl VmServer {
    /// Creates the handler.
    pub fn new(service: Arc<CallerService>, membership: Arc<Membership>) -> Self {
        Self {
            service,
            membership,
            permits: Semaphore::new(MAX_FORWARDED_REQUESTS),
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<HttpResponse, NotRunReason> {
        let version = request.headers().get(VERSION_HEADER);
        let version = version.and_then(|version| version.to_str().ok()?.parse().ok());
        let sender = request.extensions().get::<CallerAddress>();
        let is_known = sender.is_some_and(|sender| self.is_vm(sender.0));
        if version != Some(MESSAGE_VERSION) || !is_known {
            return Err(NotRunReason::Rejected);
        }
        let path: Box<str> = request.uri().path().into();
        let permit = self.permits.try_acquire();
        let _permit = permit.map_err(|_| NotRunReason::Busy)?;
        let body = tokio::select! {
            biased;
            body = self.service.read_message(request.into_body()) => body,
            () = self.service.answers_due() => return Err(NotRunReason::Stopping),
        };
        let body = body.map_err(|error| match error {
            BodyReadError::NoMemory => NotRunReason::Busy,
            BodyReadError::TooLarge | BodyReadError::Incomplete => NotRunReason::Rejected,
        })?;
        let malformed = |error| {
            info!(event = "forwarded_request_malformed", %error);
            NotRunReason::Rejected
        };
        match &*path {
            FORWARD_PATH => {
                let forwarded: ForwardedRequest = decode(&body).map_err(malformed)?;
                self.service.serve_forwarded(forwarded).await
            }
            LEAF_STATES_PATH => {
                let questions: Vec<LeafQuestion> = decode(&body).map_err(malformed)?;
                self.service.answer_leaf_questions(&questions).await
            }
            _ => Err(NotRunReason::Rejected),
        }
    }

    /// Returns whether a VM has this address. One that is stopping still serves its callers.
    fn is_vm(&self, ip: IpAddr) -> bool {
        let live_vms = self.membership.live_vms();
        live_vms.iter().any(|vm| vm.address.ip() == ip) || self.membership.is_leaving(ip)
    }
}

impl Handler for VmServer {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        match self.serve(request).await {
            Ok(mut response) => {
                let name = HeaderName::from_static(HANDLED_HEADER);
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert(name, value);
                response
            }
            Err(reason) => {
                let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
                if let Ok(value) = HeaderValue::from_str(&reason.to_string()) {
                    let name = HeaderName::from_static(NOT_RUN_HEADER);
                    response.headers_mut().insert(name, value);
                }
                response
            }
        }
    }
}
