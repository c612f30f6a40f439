//! Charges extra calls to the retry budgets of services.

use super::{Engine, State};
use crate::clock::boot_ms;
use crate::ids::ServiceKey;

impl Engine {
    /// Credits the retry budgets of the services of one request.
    pub fn earn_retries(&self, services: &[ServiceKey]) {
        let now_ms = boot_ms();
        let state = &mut *self.state();
        for service in services {
            state.retry_budgets.earn(*service, now_ms);
        }
    }

    /// Returns whether an extra call to a service is allowed, and counts a denial in the metrics.
    ///
    /// A call without which the request would still be answered needs a plentiful budget.
    pub fn allows_retry(&self, service: ServiceKey, is_required: bool) -> bool {
        let needed = usize::from(is_required);
        let allowed = self.state().retry_budgets.allows(service, needed);
        if !allowed {
            self.metrics.count_retry(false);
        }
        allowed
    }

    /// Returns how many of the services have budget for an extra call that a request needs.
    pub fn affordable_retries(&self, services: impl Iterator<Item = ServiceKey>) -> usize {
        let retry_budgets = &self.state().retry_budgets;
        services
            .filter(|service| retry_budgets.allows(*service, 1))
            .count()
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
