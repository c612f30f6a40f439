//! Budget that hedges and retries share.

/// Tokens that an idle service saves up.
const MAX_TOKENS_PPM: u64 = 20_000_000;

/// Price of one extra call.
const CALL_PPM: u64 = 1_000_000;

/// Token bucket: each first call earns a fraction of an extra call.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens_ppm: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens_ppm: MAX_TOKENS_PPM / 2,
        }
    }
}

impl Budget {
    /// Earns for `calls` first calls at `budget_ppm` extra calls per million.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut budget = cloverrack::Budget::default();
    /// budget.earn(100, 30_000);
    /// assert!(budget.try_spend());
    /// ```
    pub fn earn(&mut self, calls: u64, budget_ppm: u32) {
        let earned = calls.saturating_mul(u64::from(budget_ppm));
        self.tokens_ppm = self.tokens_ppm.saturating_add(earned).min(MAX_TOKENS_PPM);
    }

    /// Takes one extra call from the budget, if it has one.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens_ppm < CALL_PPM {
            return false;
        }
        self.tokens_ppm -= CALL_PPM;
        true
    }
}
