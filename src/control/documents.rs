//! Exchange of documents with peers: the bodies that this node serves, and the versions that it is
//! missing.
//!
//! By this exchange, a node puts the same configuration in force as its peers while the platform
//! cannot be read.

use std::net::SocketAddr;

use super::ControlPlane;
use crate::document::Version;
use crate::document_sync::encoded_bytes;
use crate::fact::{Fact, FactKey};
use crate::wire::{DocumentBody, DocumentRequest, MAX_FRAME_BYTES};

impl ControlPlane {
    /// Returns the requested documents with deflated bodies, or all documents if none are named.
    pub fn document_bodies(&self, request: &DocumentRequest) -> Vec<DocumentBody> {
        let store = self.state().store.clone();
        let mut bodies: Vec<DocumentBody> = Vec::new();
        let mut total_bytes = 0;
        for (name, document) in store.iter() {
            if !request.names.is_empty()
                && !request.names.iter().any(|requested| &**requested == name)
            {
                continue;
            }
            bodies.push(DocumentBody {
                name: name.into(),
                revision: document.version.revision,
                deflated: crate::document_sync::deflate(&document.body),
            });
            total_bytes += bodies.last().map_or(0, |body| body.deflated.len());
            // The peer requests missing documents again, so one frame need not contain all of them.
            if total_bytes > MAX_FRAME_BYTES / 2 {
                break;
            }
        }
        self.telemetry
            .count_control_bytes("link", "sent", encoded_bytes(&bodies));
        bodies
    }

    /// Returns the documents whose announced version is newer than the stored one and was not
    /// rejected, each with the peer that announced it.
    pub(crate) fn missing_documents(&self) -> Vec<(Box<str>, Option<SocketAddr>)> {
        let state = self.state();
        let mut missing = Vec::new();
        for entry in state.gossip.documents() {
            let Fact::Document { name, version } = &entry.fact else {
                continue;
            };
            let stored = state.store.get(name).map(|document| document.version);
            if stored.is_none_or(|stored| stored < *version)
                && !state.store.is_rejected(name, *version)
            {
                missing.push((name.clone(), entry.source));
            }
        }
        missing
    }

    /// Returns the newest version of a document that was announced by gossip.
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
