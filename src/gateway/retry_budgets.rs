//! Limits the retries and hedged calls that this VM sends for requests to a service, within the
//! budget that all VMs share.
//!
//! Handles the load in which leaves fail, pause or are slow, so that one more call would speed up
//! every request. In any window, the platform allows a ratio of the requests plus a fixed number of
//! extra calls, the slack. Each VM limits its calls in two ways: in each window to the ratio of its own
//! requests and its share of the slack, and by a bucket. The bucket starts empty, so that VMs which replace
//! others don't repeat what these have used of a window, and earns most of the slack evenly, since one that
//! saved all of it would cover one burst and leave nothing for a lasting fault. It holds what several
//! requests need at the same moment, as pauses and lost replies come in bursts.

use std::collections::HashMap;

use super::usage_window::UsageWindow;
use crate::ids::ServiceKey;
use crate::retry_budget::RetryBudget;

/// Share of the ratio that a VM uses in a window. The rest covers requests that are still in flight
/// when a window ends.
const WINDOW_RATIO_PERCENT: u64 = 90;

/// Share of the ratio that a bucket earns with each request, and share that it can hold for the requests of
/// the latest window. A full bucket may be spent just before a restart and its successor's earnings after it,
/// so the two together are at most the ratio.
const EARNED_RATIO_PERCENT: u64 = 85;
const BURST_RATIO_PERCENT: u64 = 15;

/// Share of the slack that is earned evenly over a window.
const SLACK_EVEN_PERCENT: u64 = 58;

/// Share of the slack that can accumulate for a burst. What this and [`SLACK_EVEN_PERCENT`] leave
/// covers VMs that have not discovered all other VMs yet.
const SLACK_BURST_PERCENT: u64 = 22;

/// Divisor for the reserve: a request that needs `n` extra calls gets one only if at least
/// `(n - 1) / RESERVE_DIVISOR` calls would be left in the budget after all `n`.
const RESERVE_DIVISOR: u64 = 2;

/// Budget units per call.
const PPM_PER_CALL: u64 = 1_000_000;

/// Limits on the extra calls that all VMs together may send to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetLimits {
    /// Extra calls allowed per million requests.
    pub ratio_ppm: u32,
    /// Extra calls allowed in a window in addition to the ratio.
    pub slack_calls: u64,
    /// Length of the window.
    pub window_ms: u64,
}

impl RetryBudgetLimits {
    /// Returns the maximum number of calls that each of `vms` VMs can accumulate after a window with
    /// `requests` of its own.
    fn capacity(&self, vms: u32, requests: u64) -> u64 {
        let burst = self.slack_calls * SLACK_BURST_PERCENT / 100;
        let slack_share = (burst / u64::from(vms.max(1))).max(1);
        slack_share + self.ratio_calls(requests, BURST_RATIO_PERCENT)
    }

    /// Returns the maximum number of extra calls of each of `vms` VMs in a window with `requests` of its own.
    fn window_calls(&self, vms: u32, requests: u64) -> u64 {
        let slack = self.slack_calls * (SLACK_EVEN_PERCENT + SLACK_BURST_PERCENT) / 100;
        let slack_share = (slack / u64::from(vms.max(1))).max(1);
        slack_share + self.ratio_calls(requests, WINDOW_RATIO_PERCENT)
    }

    /// Returns a share of the extra calls that the ratio allows for `requests`.
    fn ratio_calls(&self, requests: u64, percent: u64) -> u64 {
        requests * u64::from(self.ratio_ppm) * percent / 100 / PPM_PER_CALL
    }

    /// Returns the budget that each of `vms` VMs earns in `elapsed_ms`, in millionths of a call.
    fn earned_ppm(&self, vms: u32, elapsed_ms: u64) -> u64 {
        let window_ppm = self.slack_calls * SLACK_EVEN_PERCENT * PPM_PER_CALL / 100;
        let elapsed_ms = elapsed_ms.min(self.window_ms);
        window_ppm * elapsed_ms / self.window_ms.max(1) / u64::from(vms.max(1))
    }
}

#[derive(Clone, Debug)]
struct ServiceBudget {
    budget: RetryBudget,
    window: UsageWindow,
    last_earned_ms: u64,
}

impl ServiceBudget {
    fn new(limits: &RetryBudgetLimits, now_ms: u64) -> Self {
        Self {
            budget: RetryBudget::with_capacity(0),
            window: UsageWindow::new(limits.window_ms),
            last_earned_ms: now_ms,
        }
    }

    /// Returns the extra calls that are allowed now.
    fn available_calls(&self, limits: &RetryBudgetLimits, vms: u32) -> u64 {
        let window_calls = limits.window_calls(vms, self.window.requests());
        let unused_calls = window_calls.saturating_sub(self.window.extra_calls());
        self.budget.available_calls().min(unused_calls)
    }
}

/// Retry budgets of the services that this VM calls.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    limits: RetryBudgetLimits,
    vms: u32,
    service_budgets: HashMap<ServiceKey, ServiceBudget>,
}

impl RetryBudgets {
    /// Creates empty budgets for a VM that has discovered no other VM yet.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            vms: 1,
            service_budgets: HashMap::new(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits) {
        if limits.window_ms != self.limits.window_ms {
            self.service_budgets.clear();
        }
        self.limits = limits;
        self.set_capacities();
    }

    /// Changes the number of VMs that share the limits.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms;
        self.set_capacities();
    }

    fn set_capacities(&mut self) {
        for service_budget in self.service_budgets.values_mut() {
            let requests = service_budget.window.requests();
            let capacity = self.limits.capacity(self.vms, requests);
            service_budget.budget.set_capacity(capacity);
        }
    }

    /// Credits the budget of a service for one request and for the time since the previous one.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ids::ServiceKey;
    /// use cloverrack::gateway::{RetryBudgetLimits, RetryBudgets};
    /// let limits = RetryBudgetLimits { ratio_ppm: 200_000, slack_calls: 100, window_ms: 10_000 };
    /// let mut retry_budgets = RetryBudgets::new(limits);
    /// let service = ServiceKey::new(0);
    /// retry_budgets.earn(service, 0);
    /// assert!(!retry_budgets.allows(service, 1));
    /// retry_budgets.earn(service, 1_000);
    /// assert!(retry_budgets.allows(service, 1) && retry_budgets.spend(service, 1_000));
    /// ```
    pub fn earn(&mut self, service: ServiceKey, now_ms: u64) {
        let service_budget = self
            .service_budgets
            .entry(service)
            .or_insert_with(|| ServiceBudget::new(&self.limits, now_ms));
        service_budget.window.record_request(now_ms);
        let requests = service_budget.window.requests();
        let capacity = self.limits.capacity(self.vms, requests);
        service_budget.budget.set_capacity(capacity);
        let elapsed_ms = now_ms.saturating_sub(service_budget.last_earned_ms);
        service_budget.last_earned_ms = now_ms;
        let ratio_ppm = u64::from(self.limits.ratio_ppm) * EARNED_RATIO_PERCENT / 100;
        let earned_ppm = ratio_ppm + self.limits.earned_ppm(self.vms, elapsed_ms);
        let earned_ppm = u32::try_from(earned_ppm).unwrap_or(u32::MAX);
        service_budget.budget.earn(1, earned_ppm);
    }

    /// Returns the extra calls that the budget of a service has now.
    pub fn available_calls(&self, service: ServiceKey) -> u64 {
        let service_budget = self.service_budgets.get(&service);
        service_budget.map_or(0, |budget| budget.available_calls(&self.limits, self.vms))
    }

    /// Returns whether an extra call is allowed for a request that needs `needed` of them to
    /// succeed.
    ///
    /// A request that needs none gets one only while the budget is at least half full. A request
    /// that needs three or more gets one only if a reserve beyond those is available (see
    /// `RESERVE_DIVISOR`): a scarce budget completes more requests that need one call each, and
    /// calls spent on a request that then runs out of budget are wasted.
    pub fn allows(&self, service: ServiceKey, needed: usize) -> bool {
        let Some(service_budget) = self.service_budgets.get(&service) else {
            return false;
        };
        let available_calls = self.available_calls(service);
        if needed == 0 {
            return available_calls > 0 && service_budget.budget.is_half_full();
        }
        let needed = u64::try_from(needed).unwrap_or(u64::MAX);
        available_calls >= needed.saturating_add((needed - 1) / RESERVE_DIVISOR)
    }

    /// Deducts an extra call from the budget and returns whether one was available.
    pub fn spend(&mut self, service: ServiceKey, now_ms: u64) -> bool {
        let Some(service_budget) = self.service_budgets.get_mut(&service) else {
            return false;
        };
        service_budget.window.record_extra_call(now_ms);
        service_budget.budget.try_spend()
    }
}
