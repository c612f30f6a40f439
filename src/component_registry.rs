//! Registry of the components of a process, which find each other by name.
//!
//! The listeners look up the component that handles a request, such as the root. A component that
//! is missing, for example during shutdown, is reported as an error.

use std::any::Any;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use thiserror::Error;

/// Name of the component that manages configuration and membership.
pub const CONTROL: &str = "control";
/// Name of the component that executes callers' requests.
pub const ROOT: &str = "root";
/// Name of the component that executes leaf calls.
pub const OWNER: &str = "owner";
/// Name of the component that sends calls to other VMs.
pub const PEER_CLIENT: &str = "link";
/// Name of the component that records metrics.
pub const TELEMETRY: &str = "telemetry";

/// Error of a component lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ComponentRegistryError {
    /// No component is registered under the name.
    #[error("component `{0}` is not registered")]
    NotRegistered(&'static str),
    /// The component registered under the name has another type.
    #[error("component `{0}` has another type")]
    WrongType(&'static str),
}

/// Maps names to the components of one process.
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
    components: RwLock<HashMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl ComponentRegistry {
    /// Registers a component, replacing an earlier one of the same name.
    pub fn register<T: Any + Send + Sync>(&self, name: &'static str, component: Arc<T>) {
        let mut components = self
            .components
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        components.insert(name, component);
    }

    /// Returns the component that is registered under a name.
    ///
    /// # Errors
    ///
    /// Fails if no component has the name or if the component has another type.
    pub fn find<T: Any + Send + Sync>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, ComponentRegistryError> {
        let components = self
            .components
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let component = components
            .get(name)
            .ok_or(ComponentRegistryError::NotRegistered(name))?
            .clone();
        component
            .downcast()
            .map_err(|_| ComponentRegistryError::WrongType(name))
    }

    /// Removes all components, so that those without other references are dropped.
    pub fn clear(&self) {
        self.components
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl std::fmt::Debug for ComponentRegistry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let components = self
            .components
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        f.debug_set().entries(components.keys()).finish()
    }
}
