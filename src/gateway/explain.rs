//! Explains where a request would go now, and why, without sending it or changing any state.
//!
//! The verdicts on leaves, on admission and on forwarding come from the functions that decide them for
//! requests.

mod http_api;
mod leaves;
mod report;
mod request;

use http::StatusCode;
use thiserror::Error;
use tracing::debug;

pub use report::{
    Admission, Explanation, Forwarding, LeafExplanation, LeafReason, NoLeafReason, RouteSummary,
    ShardExplanation,
};
pub use request::ExplainRequest;

use super::admission::AdmissionRequest;
use super::engine::State;
use super::forwarded_request::PriorCalls;
use super::leaf_capacity::WorkKind;
use super::refusal::Refusal;
use super::request_run::{self, STOPPING, capacity_refusal};
use super::routes::{ResolvedDestination, Route};
use super::service::{CallerService, host_name};
use crate::clock::boot_us;
use crate::ids::ServiceKey;

/// Reason why a request can't be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ExplainError {
    /// A parameter is missing.
    #[error("parameter '{0}' is missing")]
    Missing(&'static str),
    /// A parameter is not known, or is given twice.
    #[error("parameter '{0}' is unknown or given twice")]
    Unexpected(Box<str>),
    /// A parameter can't be used.
    #[error("parameter '{0}' is malformed")]
    Malformed(Box<str>),
    /// The VM has received no configuration.
    #[error("the VM has no configuration")]
    NoConfiguration,
    /// No route has the host.
    #[error("no route has the host '{0}'")]
    UnknownHost(Box<str>),
    /// No route of the host has a prefix of the path.
    #[error("no route of the host '{host}' has a prefix of the path '{path}'")]
    UnknownPath {
        /// Host of the request.
        host: Box<str>,
        /// Path of the request.
        path: Box<str>,
    },
}

impl ExplainError {
    /// Returns the HTTP status of the error.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Missing(_) | Self::Unexpected(_) | Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownHost(_) | Self::UnknownPath { .. } => StatusCode::NOT_FOUND,
        }
    }
}

/// Services of a route, and what a request needs of them.
struct Needs<'a> {
    services: Vec<ServiceKey>,
    /// Weight of each service, if a request goes to one of them.
    weights: Option<Vec<u64>>,
    min_parts: usize,
    route: &'a Route,
    remaining_ms: u64,
    now_us: u64,
}

/// State of the gateway as far as it concerns a request.
struct View {
    refusal: Option<Refusal>,
    /// Whether requests use the leaves at this VM, for the lowest and the highest number that is drawn for
    /// one.
    uses_leaves: [bool; 2],
    shards: Vec<ShardExplanation>,
}

impl CallerService {
    /// Explains where a request would go now.
    ///
    /// # Errors
    ///
    /// Fails if no configuration is in force or no route matches the request.
    pub fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainError> {
        let engine = &self.engine;
        let route_table = engine.route_table().ok_or(ExplainError::NoConfiguration)?;
        let (host, path) = (host_name(&request.host), request.path.clone());
        if !route_table.has_host(&host) {
            return Err(ExplainError::UnknownHost(host));
        }
        let Some(route) = route_table.find(&host, &path) else {
            return Err(ExplainError::UnknownPath { host, path });
        };
        let needs = Needs::new(route, boot_us());
        let deadline_us = needs.now_us + needs.remaining_ms * 1_000;
        let has_time = request_run::has_time(engine, route, deadline_us);
        let view = engine.state().view(&needs, has_time);
        debug!(event = "request_explained", %host, route = %route.spec.name);
        Ok(Explanation {
            host,
            path,
            method: request.method.clone(),
            version: route_table.version,
            route: RouteSummary::new(route, needs.services.len(), needs.min_parts),
            admission: Admission::new(view.refusal),
            forwarding: self.forwarding(&view, route),
            shards: view.shards,
        })
    }

    /// Returns whether a request would be forwarded.
    fn forwarding(&self, view: &View, route: &Route) -> Forwarding {
        let forwarder = self.forwarder.as_ref();
        if !forwarder.is_some_and(|forwarder| forwarder.has_candidate()) {
            return Forwarding::NoVm;
        }
        let end = view
            .refusal
            .map(|refusal| request_run::refused(refusal, PriorCalls::default()));
        let is_movable = end.is_some_and(|end| {
            let may_help = end.is_unreachable && self.may_reach_elsewhere(&route.spec.name);
            end.movable.is_some() && may_help
        });
        match view.uses_leaves {
            [false, false] => Forwarding::All,
            [true, false] => Forwarding::Some,
            _ if is_movable => Forwarding::AfterRefusal,
            _ => Forwarding::None,
        }
    }
}

impl<'a> Needs<'a> {
    fn new(route: &'a Route, now_us: u64) -> Self {
        let (services, weights, min_parts) = match &route.resolved_destination {
            ResolvedDestination::Service(service) => (vec![*service], None, 1),
            ResolvedDestination::Weighted(cumulative) => {
                let services = cumulative.iter().map(|(service, _)| *service).collect();
                let mut before = 0;
                let weights = cumulative.iter().map(|(_, total)| {
                    let weight = total - before;
                    before = *total;
                    weight
                });
                (services, Some(weights.collect()), 1)
            }
            ResolvedDestination::Shards {
                services,
                min_parts,
                ..
            } => (services.clone(), None, *min_parts),
        };
        Self {
            services,
            weights,
            min_parts,
            route,
            remaining_ms: route.spec.timeout_ms,
            now_us,
        }
    }
}

impl State {
    /// Returns what concerns a request; all of it is of the same moment.
    fn view(&self, needs: &Needs<'_>, has_time: bool) -> View {
        let links = &self.link_monitor;
        View {
            refusal: if has_time {
                self.refusal(needs)
            } else {
                Some(STOPPING)
            },
            uses_leaves: [0.0, 1.0].map(|drawn| links.uses_leaves(drawn, needs.now_us)),
            shards: self.explain_shards(needs),
        }
    }

    /// Returns why a request would be refused on arrival.
    fn refusal(&self, needs: &Needs<'_>) -> Option<Refusal> {
        let capacity = self.check_capacity(&needs.services, needs.min_parts, needs.now_us);
        if let Err(error) = capacity {
            return Some(capacity_refusal(error, needs.remaining_ms, needs.now_us));
        }
        let is_merged = matches!(
            needs.route.resolved_destination,
            ResolvedDestination::Shards { .. }
        );
        if let Some(rank) = needs.route.admission_rank {
            return self.ranked_refusal(needs, rank);
        }
        if !is_merged {
            return None;
        }
        let admitted = self.check_admission(&needs.services, needs.route.rank);
        let (limit, pressure) = admitted.err()?;
        Some(Refusal::Overloaded {
            remaining_ms: needs.remaining_ms,
            limit,
            pressure,
        })
    }

    /// Returns why a request of a ranked route would be refused on arrival. One that would wait for a place is
    /// not refused.
    fn ranked_refusal(&self, needs: &Needs<'_>, rank: u32) -> Option<Refusal> {
        let target_us = needs.route.spec.target_latency_ms * 1_000;
        let refused = self.admission.limiter.refusal(&AdmissionRequest {
            group: needs.services.first().copied()?,
            rank,
            is_returning: false,
            target_us,
            due_us: needs.now_us + target_us,
            now_us: needs.now_us,
        });
        let (limit, pressure) = refused?;
        Some(Refusal::Overloaded {
            remaining_ms: needs.remaining_ms,
            limit,
            pressure,
        })
    }

    fn explain_shards(&self, needs: &Needs<'_>) -> Vec<ShardExplanation> {
        let kind = WorkKind::of_route(&needs.route.spec.name);
        let mut shards = Vec::with_capacity(needs.services.len());
        for (index, service) in needs.services.iter().enumerate() {
            let choice = self
                .leaves
                .explain_choice(kind, *service, &self.limits, needs.now_us);
            let weight = needs
                .weights
                .as_ref()
                .and_then(|weights| weights.get(index));
            shards.push(ShardExplanation {
                service: self.names.name(*service).into(),
                weight: weight.copied(),
                chosen: choice.chosen,
                no_leaf: choice.no_leaf,
                retry_budget_calls: self.available_retries(*service),
                leaves: choice.leaves,
            });
        }
        shards
    }
}
