//! Limits the hedges and retries of a service to a fraction of its first calls.
//!
//! Under overload the budget shrinks, so that extra calls don't amplify the load.

/// Default capacity of the bucket: 20 extra calls.
const DEFAULT_CAPACITY_PPM: u64 = 20_000_000;

/// Cost of one extra call in millionths of a token.
const TOKENS_PPM_PER_CALL: u64 = 1_000_000;

/// Earn rate without overload, in parts per thousand of the configured budget.
const MAX_EARN_RATE_PERMILLE: u64 = 1_000;

/// Lowest earn rate under overload, in parts per thousand of the configured budget.
const MIN_EARN_RATE_PERMILLE: u64 = 50;

/// Divisor for the share of the earn rate that each shed call removes.
const SHED_DIVISOR: u64 = 128;

/// First calls after which the earn rate rises by one part per thousand.
const CALLS_PER_EARN_RATE_STEP: u64 = 4;

/// Token bucket in which each first call earns a fraction of an extra call.
///
/// Each call that a leaf sheds lowers the earn rate, since extra calls to overloaded leaves take
/// slots from first calls. One shed call per 32 first calls leaves the rate unchanged: a leaf
/// occasionally sheds without overload, because its owner frees the slot of a cancelled call before
/// the leaf does.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens_ppm: u64,
    capacity_ppm: u64,
    earn_rate_permille: u64,
    calls_towards_step: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens_ppm: DEFAULT_CAPACITY_PPM / 2,
            capacity_ppm: DEFAULT_CAPACITY_PPM,
            earn_rate_permille: MAX_EARN_RATE_PERMILLE,
            calls_towards_step: 0,
        }
    }
}

impl RetryBudget {
    /// Creates an empty budget with a capacity of `calls` extra calls.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut budget = cloverrack::RetryBudget::with_capacity(2);
    /// budget.earn(100, 200_000);
    /// assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
    /// ```
    pub fn with_capacity(calls: u64) -> Self {
        Self {
            tokens_ppm: 0,
            capacity_ppm: calls.saturating_mul(TOKENS_PPM_PER_CALL),
            ..Self::default()
        }
    }

    /// Sets the capacity in extra calls and discards tokens in excess of it.
    pub fn set_capacity(&mut self, calls: u64) {
        self.capacity_ppm = calls.saturating_mul(TOKENS_PPM_PER_CALL);
        self.tokens_ppm = self.tokens_ppm.min(self.capacity_ppm);
    }

    /// Returns whether the budget holds at least half of its capacity, and at least one call.
    pub fn is_half_full(&self) -> bool {
        self.tokens_ppm >= (self.capacity_ppm / 2).max(TOKENS_PPM_PER_CALL)
    }

    /// Adds tokens for `calls` first calls at `budget_ppm` extra calls per million, and raises the
    /// earn rate.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut budget = cloverrack::RetryBudget::default();
    /// budget.earn(100, 30_000);
    /// assert!(budget.try_spend());
    /// ```
    pub fn earn(&mut self, calls: u64, budget_ppm: u32) {
        let earned = calls
            .saturating_mul(u64::from(budget_ppm))
            .saturating_mul(self.earn_rate_permille)
            / MAX_EARN_RATE_PERMILLE;
        let towards_step = self.calls_towards_step.saturating_add(calls);
        self.calls_towards_step = towards_step % CALLS_PER_EARN_RATE_STEP;
        self.earn_rate_permille = (self.earn_rate_permille
            + towards_step / CALLS_PER_EARN_RATE_STEP)
            .min(MAX_EARN_RATE_PERMILLE);
        self.tokens_ppm = self
            .tokens_ppm
            .saturating_add(earned)
            .min(self.capacity_ppm);
    }

    /// Lowers the earn rate after a leaf shed a call.
    pub fn reduce_earn_rate(&mut self) {
        self.earn_rate_permille = (self.earn_rate_permille
            - self.earn_rate_permille / SHED_DIVISOR)
            .max(MIN_EARN_RATE_PERMILLE);
    }

    /// Returns the number of extra calls that the budget allows now.
    pub fn available_calls(&self) -> u64 {
        self.tokens_ppm / TOKENS_PPM_PER_CALL
    }

    /// Spends one extra call, or returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.available_calls() == 0 {
            return false;
        }
        self.tokens_ppm -= TOKENS_PPM_PER_CALL;
        true
    }
}
