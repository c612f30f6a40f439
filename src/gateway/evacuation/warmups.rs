//! Limits on requests to cold leaves, as operators configure them for each service.

use bincode::{Decode, Encode};

/// Maximum number of services whose cold leaves are limited. The limits of all of them are in a header of the
/// catalog response.
pub const MAX_LIMITED_SERVICES: usize = 256;

/// Limit on requests to the cold leaves of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct Warmup {
    /// Time for which a leaf is cold after it is used again.
    pub duration_ms: u64,
    /// Requests to one cold leaf from all VMs, in thousandths of a request per second; never 0.
    pub rate_milli: u64,
}

/// Limits on requests to cold leaves in a version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct WarmupSettings {
    /// Version of the configuration.
    pub version: u64,
    /// Names of the limited services with their limits.
    pub services: Vec<(Box<str>, Warmup)>,
}

impl WarmupSettings {
    /// Returns whether these settings replace others, and keeps the first services if there are too many.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::evacuation::WarmupSettings;
    /// let mut current = WarmupSettings::default();
    /// assert!(current.replace(WarmupSettings { version: 2, services: vec![] }));
    /// assert!(!current.replace(WarmupSettings { version: 1, services: vec![] }));
    /// ```
    pub fn replace(&mut self, mut newer: Self) -> bool {
        if newer.version <= self.version {
            return false;
        }
        newer.services.truncate(MAX_LIMITED_SERVICES);
        *self = newer;
        true
    }
}
