//! Extra calls of this VM: repeats and second calls within the bound that all VMs share.
//!
//! Answers the load in which leaves fail, pause or are slow and each request would be served sooner by
//! one more call. In any window the platform allows a ratio of the requests and a fixed number, the
//! slack. The slack is mostly spent evenly over the window: a bucket that saved all of it would serve
//! one burst and leave nothing for a fault that lasts.

use std::collections::HashMap;

use crate::ids::ServiceKey;
use crate::retry_budget::RetryBudget;

/// Share of the ratio that all VMs together use; the rest covers requests that are still under way when
/// a window ends.
const RATIO_USED_PERCENT: u64 = 90;

/// Share of the slack that is earned evenly over a window.
const SLACK_EVEN_PERCENT: u64 = 50;

/// Share of the slack that is saved up for a burst. What this and [`SLACK_EVEN_PERCENT`] leave covers
/// VMs that don't know all others yet.
const SLACK_BURST_PERCENT: u64 = 30;

/// Extra calls that have to be left after a request took its second and further ones, as a divisor of
/// their number.
const RESERVE_DIVISOR: u64 = 2;

/// Parts per million in one call.
const CALL_PPM: u64 = 1_000_000;

/// Bounds of the extra calls that all VMs together may make to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetLimits {
    /// Extra calls allowed for each million requests.
    pub ratio_ppm: u32,
    /// Extra calls allowed in a window without any request.
    pub slack_calls: u64,
    /// Length of the window.
    pub window_ms: u64,
}

impl RetryBudgetLimits {
    /// Returns how many calls one of so many VMs saves up at most.
    fn capacity(&self, vms: u32) -> u64 {
        let burst = self.slack_calls * SLACK_BURST_PERCENT / 100;
        (burst / u64::from(vms.max(1))).max(1)
    }

    /// Returns what one of so many VMs earns in a time, in millionths of a call.
    fn earned_ppm(&self, vms: u32, elapsed_ms: u64) -> u64 {
        let window_ppm = self.slack_calls * SLACK_EVEN_PERCENT * CALL_PPM / 100;
        let elapsed_ms = elapsed_ms.min(self.window_ms);
        window_ppm * elapsed_ms / self.window_ms.max(1) / u64::from(vms.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Account {
    budget: RetryBudget,
    earned_at_ms: u64,
}

/// Budgets of the services that this VM calls.
#[derive(Debug)]
pub struct RetryBudgets {
    bounds: RetryBudgetLimits,
    vms: u32,
    accounts: HashMap<ServiceKey, Account>,
}

impl RetryBudgets {
    /// Makes empty budgets of a VM that knows no other.
    pub fn new(bounds: RetryBudgetLimits) -> Self {
        Self {
            bounds,
            vms: 1,
            accounts: HashMap::new(),
        }
    }

    /// Changes the bounds.
    pub fn set_bounds(&mut self, bounds: RetryBudgetLimits) {
        self.bounds = bounds;
        self.set_capacities();
    }

    /// Changes the number of VMs that share the bounds.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms;
        self.set_capacities();
    }

    fn set_capacities(&mut self) {
        let capacity = self.bounds.capacity(self.vms);
        for account in self.accounts.values_mut() {
            account.budget.set_capacity(capacity);
        }
    }

    /// Earns for one request to a service, and for the time since the request before it.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::ids::ServiceKey;
    /// use cloverrack::gateway::{RetryBudgetLimits, RetryBudgets};
    /// let bounds = RetryBudgetLimits { ratio_ppm: 200_000, slack_calls: 100, window_ms: 10_000 };
    /// let mut retry_budgets = RetryBudgets::new(bounds);
    /// let service = ServiceKey::new(0);
    /// retry_budgets.earn(service, 0);
    /// assert!(!retry_budgets.allows(service, 1));
    /// retry_budgets.earn(service, 1_000);
    /// assert!(retry_budgets.allows(service, 1) && retry_budgets.spend(service));
    /// ```
    pub fn earn(&mut self, service: ServiceKey, now_ms: u64) {
        let capacity = self.bounds.capacity(self.vms);
        let account = self.accounts.entry(service).or_insert_with(|| Account {
            budget: RetryBudget::with_capacity(capacity),
            earned_at_ms: now_ms,
        });
        let elapsed_ms = now_ms.saturating_sub(account.earned_at_ms);
        account.earned_at_ms = now_ms;
        let ratio_ppm = u64::from(self.bounds.ratio_ppm) * RATIO_USED_PERCENT / 100;
        let earned_ppm = ratio_ppm + self.bounds.earned_ppm(self.vms, elapsed_ms);
        let earned_ppm = u32::try_from(earned_ppm).unwrap_or(u32::MAX);
        account.budget.earn(1, earned_ppm);
    }

    /// Returns whether an extra call is allowed to a request that fails without so many of them.
    ///
    /// A request that needs none takes one only while they are ample. One that needs several has to find
    /// more than it needs: while they are scarce, they serve more requests that need one each, and those
    /// spent on a request that runs out of them are lost.
    pub fn allows(&self, service: ServiceKey, needed: usize) -> bool {
        let Some(account) = self.accounts.get(&service) else {
            return false;
        };
        if needed == 0 {
            return account.budget.is_half_full();
        }
        let needed = u64::try_from(needed).unwrap_or(u64::MAX);
        account.budget.available_calls() >= needed.saturating_add((needed - 1) / RESERVE_DIVISOR)
    }

    /// Takes an extra call, if there is one.
    pub fn spend(&mut self, service: ServiceKey) -> bool {
        let account = self.accounts.get_mut(&service);
        account.is_some_and(|account| account.budget.try_spend())
    }
}
