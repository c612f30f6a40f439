//! Documents that this node and its peers hold: what one lacks and the other can give.

use std::net::SocketAddr;

use super::ControlPlane;
use crate::document::Version;
use crate::document_sync::encoded_bytes;
use crate::fact::{Fact, FactKey};
use crate::wire::{DocumentBody, DocumentRequest, MAX_FRAME_BYTES};

impl ControlPlane {
    /// Returns deflated bodies of the documents asked for.
    pub fn document_bodies(&self, request: &DocumentRequest) -> Vec<DocumentBody> {
        let store = self.state().store.clone();
        let mut bodies: Vec<DocumentBody> = Vec::new();
        let mut total_bytes = 0;
        for (name, document) in store.iter() {
            if !request.names.is_empty() && !request.names.iter().any(|wanted| &**wanted == name) {
                continue;
            }
            bodies.push(DocumentBody {
                name: name.into(),
                revision: document.version.revision,
                deflated: crate::document_sync::deflate(&document.body),
            });
            total_bytes += bodies.last().map_or(0, |body| body.deflated.len());
            // The peer asks again for what it lacks, so one frame need not hold all.
            if total_bytes > MAX_FRAME_BYTES / 2 {
                break;
            }
        }
        self.telemetry
            .count_control_bytes("link", "sent", encoded_bytes(&bodies));
        bodies
    }

    /// Returns the documents that a peer announced and this node lacks, with the peer.
    pub(crate) fn missing_documents(&self) -> Vec<(Box<str>, Option<SocketAddr>)> {
        let state = self.state();
        let mut missing = Vec::new();
        for entry in state.gossip.documents() {
            let Fact::Document { name, version } = &entry.fact else {
                continue;
            };
            let held = state.store.get(name).map(|document| document.version);
            if held.is_none_or(|held| held < *version) && !state.store.is_rejected(name, *version) {
                missing.push((name.clone(), entry.source));
            }
        }
        missing
    }

    /// Returns the version of a document that gossip last announced.
    pub fn announced_version(&self, name: &str) -> Option<Version> {
        match &self
            .state()
            .gossip
            .fact(&FactKey::Document(name.into()))?
            .fact
        {
            Fact::Document { version, .. } => Some(*version),
            _ => None,
        }
    }
}
