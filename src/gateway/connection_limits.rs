//! Divides the connections that leaves accept among the VMs that send requests to them.

use std::collections::HashMap;

use super::routes::RouteTable;
use crate::ids::ServiceKey;

/// Maximum number of connections to a leaf whose service has no configured limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// Fraction of a leaf's connections reserved for VMs that join or are discovered late, as a
/// divisor.
const SPARE_DIVISOR: u32 = 8;

/// Maximum number of connections that this VM may open to one leaf of each service.
#[derive(Debug, Default)]
pub struct ConnectionLimits {
    shares: HashMap<ServiceKey, u32>,
}

impl ConnectionLimits {
    /// Divides the connections that the leaves accept among the active VMs.
    pub fn new(table: &RouteTable, services: impl Iterator<Item = ServiceKey>, vms: u32) -> Self {
        let mut shares = HashMap::new();
        for service in services {
            let max_connections = table
                .max_connections(service)
                .unwrap_or(DEFAULT_MAX_CONNECTIONS);
            shares.insert(service, connection_share(max_connections, vms));
        }
        Self { shares }
    }

    /// Returns the maximum number of connections that this VM may open to one leaf of a service.
    pub fn per_leaf(&self, service: ServiceKey) -> u32 {
        self.shares.get(&service).copied().unwrap_or(1)
    }
}

/// Returns one VM's share of a leaf's connections, at least one.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::connection_share;
/// assert_eq!(connection_share(31, 7), 4);
/// assert_eq!(connection_share(31, 90), 1);
/// ```
pub fn connection_share(max_connections: u32, vms: u32) -> u32 {
    let usable = max_connections - max_connections / SPARE_DIVISOR;
    (usable.div_ceil(vms.max(1))).max(1)
}
