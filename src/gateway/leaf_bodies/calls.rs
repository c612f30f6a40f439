//! Opens calls only to leaves that have room for the body of the request.

use std::sync::Arc;

use tracing::info;

use super::bound::BodyBound;
use crate::clock::boot_ms;
use crate::gateway::call::OpenCall;
use crate::gateway::engine::{Engine, State};
use crate::gateway::leaf_capacity::WorkKind;
use crate::gateway::leaves::NoLeafError;
use crate::ids::{LeafKey, ServiceKey};

/// Body of a call, which counts as in flight to the leaf until this is dropped.
#[derive(Debug)]
pub struct HeldLeafBody {
    engine: Arc<Engine>,
    leaf: LeafKey,
    body_bytes: u64,
}

impl Drop for HeldLeafBody {
    fn drop(&mut self) {
        let state = &mut *self.engine.state();
        state.leaf_bodies.remove(self.leaf, self.body_bytes);
    }
}

impl State {
    /// Returns the bound if it applies to a body.
    fn body_bound(&self, body_bytes: u64) -> Option<BodyBound> {
        let route_table = self.route_table.as_ref()?;
        let bound = BodyBound {
            max_body_bytes: route_table.limits.max_body_bytes,
            vms: self.vms,
        };
        bound.applies_to(body_bytes).then_some(bound)
    }

    /// Returns the leaves of a service that have no room for a body.
    fn leaves_without_room(
        &self,
        service: ServiceKey,
        bound: &BodyBound,
        body_bytes: u64,
    ) -> Vec<LeafKey> {
        let mut full = Vec::new();
        for key in self.leaves.of_service(service) {
            let Some(leaf) = self.leaves.get(*key) else {
                continue;
            };
            let in_flight_bytes = self.leaf_bodies.bytes(*key);
            if !bound.has_room(leaf.record.slots, in_flight_bytes, body_bytes) {
                full.push(*key);
            }
        }
        full
    }
}

impl Engine {
    /// Chooses a leaf that has room for a body, and opens a call to it. Small bodies go to any leaf.
    ///
    /// # Errors
    ///
    /// Fails as [`Engine::open_call`] does, and as if no connection were free if only leaves without room are
    /// left: they are worth waiting for.
    pub fn open_call_with_body(
        self: &Arc<Self>,
        kind: WorkKind,
        service: ServiceKey,
        tried: &[LeafKey],
        body_bytes: usize,
    ) -> Result<OpenCall, NoLeafError> {
        if body_bytes == 0 {
            return self.open_call(kind, service, tried);
        }
        let body_bytes = u64::try_from(body_bytes).unwrap_or(u64::MAX);
        let state = &mut *self.state();
        let Some(bound) = state.body_bound(body_bytes) else {
            return self.open_chosen(state, kind, service, tried);
        };
        let mut excluded = state.leaves_without_room(service, &bound, body_bytes);
        excluded.retain(|key| !tried.contains(key));
        let waits_for_room = !excluded.is_empty();
        excluded.extend_from_slice(tried);
        match self.open_chosen(state, kind, service, &excluded) {
            Ok(mut call) => {
                call.body = Some(self.hold_leaf_body(state, call.leaf, body_bytes));
                Ok(call)
            }
            Err(_) if waits_for_room => {
                self.metrics.count_leaf_body_wait();
                if let Some(attempts) = state.leaf_bodies.record_wait(boot_ms()) {
                    info!(
                        event = "leaf_body_waits",
                        body_bytes,
                        vms = bound.vms,
                        attempts
                    );
                }
                Err(NoLeafError::NoConnection)
            }
            Err(error) => Err(error),
        }
    }

    fn hold_leaf_body(
        self: &Arc<Self>,
        state: &mut State,
        leaf: LeafKey,
        body_bytes: u64,
    ) -> HeldLeafBody {
        state.leaf_bodies.add(leaf, body_bytes);
        HeldLeafBody {
            engine: Arc::clone(self),
            leaf,
            body_bytes,
        }
    }
}
