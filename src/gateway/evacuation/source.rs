//! What a source of the catalog returns: the catalog, whose format earlier builds read, and the evacuated
//! failure domains and the limits of cold leaves beside it.

use super::warmups::WarmupSettings;
use crate::gateway::catalog::{CatalogImage, ChangeSet};

/// Result of a full read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceImage {
    /// Configuration and leaves.
    pub catalog: CatalogImage,
    /// All failure domains that are evacuated.
    pub evacuated_domains: Vec<Box<str>>,
    /// Limits on requests to cold leaves, if a configuration was read.
    pub warmups: Option<WarmupSettings>,
}

/// Changes after a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceChanges {
    /// Changes of the configuration and the leaves.
    pub catalog: ChangeSet,
    /// Evacuations that began or ended, in the order of their revisions.
    pub evacuations: Vec<DomainChange>,
    /// Limits on requests to cold leaves, if a configuration was published.
    pub warmups: Option<WarmupSettings>,
}

/// Beginning or end of the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainChange {
    /// Name of the failure domain.
    pub domain: Box<str>,
    /// Whether the domain is evacuated from now on.
    pub is_evacuated: bool,
}

impl From<CatalogImage> for SourceImage {
    fn from(catalog: CatalogImage) -> Self {
        Self {
            catalog,
            evacuated_domains: Vec::new(),
            warmups: None,
        }
    }
}

impl From<ChangeSet> for SourceChanges {
    fn from(catalog: ChangeSet) -> Self {
        Self {
            catalog,
            evacuations: Vec::new(),
            warmups: None,
        }
    }
}
