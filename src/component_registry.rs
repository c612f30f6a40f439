//! Micro-kernel: services register under a name and find each other by it.

use std::any::Any;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use thiserror::Error;

/// Name of the service that decides on configuration and membership.
pub const CONTROL: &str = "control";
/// Name of the service that runs callers' requests.
pub const ROOT: &str = "root";
/// Name of the service that runs leaf calls.
pub const OWNER: &str = "owner";
/// Name of the service that talks to other VMs.
pub const PEER_CLIENT: &str = "link";
/// Name of the service that counts and measures.
pub const TELEMETRY: &str = "telemetry";

/// A service could not be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ComponentRegistryError {
    /// No service has the name.
    #[error("service {0} is not registered")]
    NotRegistered(&'static str),
    /// The service under the name is of another type.
    #[error("service {0} is of another type")]
    WrongType(&'static str),
}

/// Registry of the services of one process.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use cloverrack::ComponentRegistry;
/// let component_registry = ComponentRegistry::default();
/// component_registry.register("answer", Arc::new(42_u32));
/// assert_eq!(*component_registry.find::<u32>("answer").unwrap(), 42);
/// ```
#[derive(Default)]
pub struct ComponentRegistry {
    services: RwLock<HashMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl ComponentRegistry {
    /// Registers a service, in place of an earlier one of the same name.
    pub fn register<T: Any + Send + Sync>(&self, name: &'static str, service: Arc<T>) {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        services.insert(name, service);
    }

    /// Finds a service.
    ///
    /// # Errors
    ///
    /// Fails if no service has the name or if it is of another type.
    pub fn find<T: Any + Send + Sync>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, ComponentRegistryError> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services
            .get(name)
            .ok_or(ComponentRegistryError::NotRegistered(name))?
            .clone();
        service
            .downcast()
            .map_err(|_| ComponentRegistryError::WrongType(name))
    }

    /// Removes all services, so that they can end.
    pub fn clear(&self) {
        self.services
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl std::fmt::Debug for ComponentRegistry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        f.debug_set().entries(services.keys()).finish()
    }
}
