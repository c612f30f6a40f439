//! HTTP interface for operators: serves status, metrics, service reports and a dry-run check of a
//! configuration file.
//!
//! The interface is read-only; only builds with the `fault-injection` feature add endpoints that
//! cut links and inject faults.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;

use crate::config::{ConfigFile, MAX_CONFIG_FILE_BYTES};
use crate::control::{ControlPlane, PeerCheck};
use crate::document::{HistoryEntry, Version};
use crate::fact::{LeafState, VmState};
use crate::http_server::{BodyError, ErrorBody, Handler, HttpResponse, json, read_body};
use crate::ids::Snapshot;
use crate::root::Root;
use crate::telemetry::Telemetry;

/// Status of one node.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct NodeStatus {
    /// Name of the VM.
    pub vm: Box<str>,
    /// Incarnation of the process.
    pub incarnation: Box<str>,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Number of request contents that are quarantined because they crashed targets.
    pub quarantined_contents: usize,
    /// Result of the latest synchronization of documents with peers: `pending` (not done yet),
    /// `none` (no peer responded, or announced documents were still missing) or `done`.
    pub peer_check: &'static str,
    /// Number of detected pauses of this process; documents are synchronized again after each one.
    pub pauses: u64,
    /// Whether another process has taken over this VM's address, which makes this process stop.
    pub superseded: bool,
    /// Whether this VM watches the platform.
    pub is_watcher: bool,
    /// Whether the platform serves older documents than those in force; only watchers detect this.
    pub platform_behind: bool,
    /// Documents in force, with the versions last announced by peers.
    pub documents: Vec<DocumentStatus>,
    /// Most recent outcomes of document versions, including versions that peers rejected or
    /// superseded.
    pub history: Vec<HistoryEntry>,
    /// VMs in the gossip membership.
    pub vms: Vec<VmStatus>,
    /// Leaves with their owners.
    pub leaves: Vec<LeafSummary>,
}

/// Status of one document.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DocumentStatus {
    /// Name of the document.
    pub name: Box<str>,
    /// Version in force here.
    pub version: Version,
    /// Newest version announced by gossip.
    pub announced: Option<Version>,
}

/// Status of one VM.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct VmStatus {
    /// Internal address.
    pub address: SocketAddr,
    /// State.
    pub state: VmState,
    /// Incarnation of the process at that address.
    pub incarnation: Box<str>,
    /// Age of the gossip fact that gives the state.
    pub age_ms: u64,
}

/// Status of one leaf.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LeafSummary {
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Full name of its service.
    pub service: Box<str>,
    /// Name of the VM that owns it.
    pub owner: Option<Box<str>>,
    /// State, if known.
    pub state: Option<LeafState>,
    /// Snapshots available on the leaf.
    pub snapshots: Vec<Snapshot>,
}

#[derive(Serialize)]
struct CheckResponse {
    valid: bool,
    error: Option<Box<str>>,
}

/// HTTP handler for the operators of one node.
pub struct OperatorApi {
    control: Arc<ControlPlane>,
    root: Arc<Root>,
    telemetry: Arc<Telemetry>,
}

impl OperatorApi {
    /// Creates the handler.
    pub fn new(control: Arc<ControlPlane>, root: Arc<Root>, telemetry: Arc<Telemetry>) -> Self {
        Self {
            control,
            root,
            telemetry,
        }
    }

    /// Returns the status of this node.
    pub fn status(&self) -> NodeStatus {
        let control = &self.control;
        let mut documents = Vec::new();
        for (name, version) in control.versions() {
            let announced = control.announced_version(&name);
            documents.push(DocumentStatus {
                name,
                version,
                announced,
            });
        }
        NodeStatus {
            vm: control.settings.vm.clone(),
            incarnation: control.incarnation().to_string().into(),
            in_flight: self.root.in_flight(),
            quarantined_contents: control.quarantined_contents(),
            peer_check: match control.peer_check() {
                PeerCheck::Pending => "pending",
                PeerCheck::None => "none",
                PeerCheck::Done => "done",
            },
            pauses: control.pauses(),
            superseded: control.is_superseded(),
            is_watcher: control.is_watcher(),
            platform_behind: control.is_platform_behind(),
            documents,
            history: control.history(),
            vms: control.vm_statuses(),
            leaves: self.leaf_summaries(),
        }
    }

    fn leaf_summaries(&self) -> Vec<LeafSummary> {
        let fleet = self.control.fleet();
        let mut summaries = Vec::with_capacity(fleet.leaves.len());
        for leaf in &fleet.leaves {
            let view = self.control.leaf_view(leaf.address);
            summaries.push(LeafSummary {
                address: leaf.address,
                service: fleet.service(leaf.service).name.clone(),
                owner: leaf
                    .owners
                    .primary
                    .map(|vm| fleet.vm(vm).entry.name.clone()),
                state: view.as_ref().map(|view| view.state),
                snapshots: view.map(|view| view.snapshots).unwrap_or_default(),
            });
        }
        summaries
    }

    fn metrics(&self) -> HttpResponse {
        match self.telemetry.text() {
            Ok(text) => Response::new(Full::new(Bytes::from(text))),
            Err(_) => {
                let error = ErrorBody {
                    error: "metrics_failed",
                };
                json(StatusCode::INTERNAL_SERVER_ERROR, &error)
            }
        }
    }

    async fn check_config_file(&self, request: Request<Incoming>) -> HttpResponse {
        let body = match read_body(request.into_body(), MAX_CONFIG_FILE_BYTES + 1).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => {
                let error = ErrorBody { error: "too_large" };
                return json(StatusCode::PAYLOAD_TOO_LARGE, &error);
            }
            Err(BodyError::Incomplete) => {
                return json(
                    StatusCode::BAD_REQUEST,
                    &ErrorBody {
                        error: "incomplete",
                    },
                );
            }
        };
        let error = ConfigFile::parse(&body)
            .err()
            .map(|error| error.to_string().into());
        json(
            StatusCode::OK,
            &CheckResponse {
                valid: error.is_none(),
                error,
            },
        )
    }
}

impl Handler for OperatorApi {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let method = request.method().clone();
        match (method, request.uri().path()) {
            (Method::GET, "/v1/status") => json(StatusCode::OK, &self.status()),
            (Method::GET, "/v1/services") => {
                json(StatusCode::OK, &self.telemetry.service_reports())
            }
            (Method::GET, "/metrics") => self.metrics(),
            (Method::POST, "/v1/check") => self.check_config_file(request).await,
            #[cfg(feature = "fault-injection")]
            (Method::POST, "/v1/faults/cut") => set_cut_links(request).await,
            #[cfg(feature = "fault-injection")]
            (Method::POST, "/v1/faults/step") => inject_fault(request).await,
            #[cfg(feature = "fault-injection")]
            (Method::GET, "/v1/faults") => {
                json(StatusCode::OK, &crate::faults::fail_point_report())
            }
            _ => json(StatusCode::NOT_FOUND, &ErrorBody { error: "not_found" }),
        }
    }
}

/// Replaces the set of cut links with the JSON list of addresses in the body.
#[cfg(feature = "fault-injection")]
async fn set_cut_links(request: Request<Incoming>) -> HttpResponse {
    let body = read_body(request.into_body(), MAX_CONFIG_FILE_BYTES)
        .await
        .unwrap_or_default();
    match serde_json::from_slice::<Vec<SocketAddr>>(&body) {
        Ok(peers) => {
            crate::faults::set_cut(peers);
            json(StatusCode::OK, &ErrorBody { error: "none" })
        }
        Err(_) => json(StatusCode::BAD_REQUEST, &ErrorBody { error: "malformed" }),
    }
}

/// Sets the action of a fail point, or disables or enables a check, according to the JSON
/// [`crate::faults::FaultRequest`] in the body.
#[cfg(feature = "fault-injection")]
async fn inject_fault(request: Request<Incoming>) -> HttpResponse {
    let body = read_body(request.into_body(), MAX_CONFIG_FILE_BYTES)
        .await
        .unwrap_or_default();
    let Ok(fault_request) = serde_json::from_slice(&body) else {
        return json(StatusCode::BAD_REQUEST, &ErrorBody { error: "malformed" });
    };
    match crate::faults::apply(fault_request) {
        Ok(()) => json(StatusCode::OK, &ErrorBody { error: "none" }),
        Err(_) => json(StatusCode::BAD_REQUEST, &ErrorBody { error: "unknown" }),
    }
}
