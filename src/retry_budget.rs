//! Budget that hedges and retries share.

/// Tokens that an idle service saves up.
const MAX_TOKENS_PPM: u64 = 20_000_000;

/// Price of one extra call.
const TOKENS_PPM_PER_CALL: u64 = 1_000_000;

/// Full rate of earning, in parts per thousand.
const MAX_EARN_RATE_PERMILLE: u64 = 1_000;

/// Lowest rate of earning under overload, in parts per thousand.
const MIN_EARN_RATE_PERMILLE: u64 = 50;

/// Share of the rate of earning that a shed call takes away, as a divisor.
const SHED_DIVISOR: u64 = 128;

/// First calls after which the rate of earning rises by one part per thousand.
const CALLS_PER_EARN_RATE_STEP: u64 = 4;

/// Token bucket: each first call earns a fraction of an extra call.
///
/// Each call that a leaf sheds lowers the rate of earning, since extra calls to overloaded leaves
/// take slots from first calls. A shed call for each 32 first calls leaves the rate as it is: a
/// leaf sheds now and then because its owner frees the slot of a cancelled call before the leaf.
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
            tokens_ppm: MAX_TOKENS_PPM / 2,
            capacity_ppm: MAX_TOKENS_PPM,
            earn_rate_permille: MAX_EARN_RATE_PERMILLE,
            calls_towards_step: 0,
        }
    }
}

impl RetryBudget {
    /// Makes an empty budget that saves up at most `calls` extra calls.
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

    /// Changes how many extra calls are saved up at most.
    pub fn set_capacity(&mut self, calls: u64) {
        self.capacity_ppm = calls.saturating_mul(TOKENS_PPM_PER_CALL);
        self.tokens_ppm = self.tokens_ppm.min(self.capacity_ppm);
    }

    /// Returns whether at least half of what can be saved up is there.
    pub fn is_half_full(&self) -> bool {
        self.tokens_ppm >= (self.capacity_ppm / 2).max(TOKENS_PPM_PER_CALL)
    }

    /// Earns for `calls` first calls at `budget_ppm` extra calls per million.
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

    /// Lowers the budget after a leaf shed a call.
    pub fn reduce_earn_rate(&mut self) {
        self.earn_rate_permille = (self.earn_rate_permille
            - self.earn_rate_permille / SHED_DIVISOR)
            .max(MIN_EARN_RATE_PERMILLE);
    }

    /// Returns the extra calls that there are.
    pub fn available_calls(&self) -> u64 {
        self.tokens_ppm / TOKENS_PPM_PER_CALL
    }

    /// Takes one extra call from the budget, if it has one.
    pub fn try_spend(&mut self) -> bool {
        if self.available_calls() == 0 {
            return false;
        }
        self.tokens_ppm -= TOKENS_PPM_PER_CALL;
        true
    }
}
