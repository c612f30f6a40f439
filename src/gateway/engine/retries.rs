//! Charges extra calls to the retry budgets of services.

use super::{Engine, State};
use crate::clock::boot_ms;
use crate::ids::ServiceKey;

impl Engine {
    /// Credits the retry budget of a service for one request.
    pub fn earn_retry(&self, service: ServiceKey) {
        self.state().retry_budgets.earn(service, boot_ms());
    }

    /// Returns whether an extra call is allowed for a request that needs `needed` of them to
    /// succeed, and counts a denial in the metrics.
    pub fn allows_retry(&self, service: ServiceKey, needed: usize) -> bool {
        let allowed = self.state().retry_budgets.allows(service, needed);
        if !allowed {
            self.metrics.count_retry(false);
        }
        allowed
    }

    /// Deducts an allowed extra call from the retry budget of a service.
    pub fn spend_retry(&self, service: ServiceKey) {
        let spent = self.state().retry_budgets.spend(service, boot_ms());
        self.metrics.count_retry(spent);
    }
}

impl State {
    /// Returns the number of extra calls that the retry budget of a service allows now.
    pub(in crate::gateway) fn available_retries(&self, service: ServiceKey) -> u64 {
        self.retry_budgets.available_calls(service)
    }
}
