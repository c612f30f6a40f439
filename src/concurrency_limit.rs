//! Limits the calls that one owner runs on one leaf at a time.
//!
//! Calls that the leaf sheds lower the limit, completed calls raise it, and a cold leaf ramps up in
//! a slow start.

/// Resolution of the limit, so that it can grow by fractions of a slot.
const MILLI_PER_SLOT: u64 = 1_000;

/// Additive increase per completed call: one slot per 10 calls.
const INCREASE_MILLI: u64 = 100;

/// Divisor applied to the limit when the leaf sheds a call (multiplicative decrease).
const DECREASE_DIVISOR: u64 = 2;

/// Time over which the limit of a cold leaf grows from one slot to all.
const SLOW_START_MS: u64 = 3_000;

/// Time after a cancelled call within which a shed call doesn't indicate load from other owners:
/// the leaf processes the cancellation later than the owner and still counts the cancelled call.
const CANCEL_GRACE_MS: u64 = 50;

/// Limit on the slots that one owner uses of one leaf, with additive increase and multiplicative
/// decrease.
///
/// Two owners with different views share the leaf's slots without coordination: each lowers its own
/// limit when the leaf sheds a call.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    configured: u32,
    limit_milli: u64,
    warming_since_ms: Option<u64>,
    last_cancellation_ms: Option<u64>,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all configured slots.
    pub fn new(configured: u32) -> Self {
        Self {
            configured,
            limit_milli: u64::from(configured) * MILLI_PER_SLOT,
            warming_since_ms: None,
            last_cancellation_ms: None,
        }
    }

    /// Sets the configured slots; added slots raise the limit at once.
    pub fn set_configured(&mut self, configured: u32) {
        if configured > self.configured {
            self.limit_milli += u64::from(configured - self.configured) * MILLI_PER_SLOT;
        }
        self.configured = configured;
        self.limit_milli = self.limit_milli.min(u64::from(configured) * MILLI_PER_SLOT);
    }

    /// Records the cancellation of a call that the leaf may still execute.
    pub fn record_cancellation(&mut self, now_ms: u64) {
        self.last_cancellation_ms = Some(now_ms);
    }

    /// Lowers the limit after the leaf shed a call, unless a call was cancelled within
    /// `CANCEL_GRACE_MS`.
    pub fn record_shed(&mut self, now_ms: u64) {
        let explained_by_cancellation = self
            .last_cancellation_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= CANCEL_GRACE_MS);
        if !explained_by_cancellation {
            self.decrease();
        }
    }

    /// Divides the limit by `DECREASE_DIVISOR`, down to one slot.
    pub fn decrease(&mut self) {
        self.limit_milli = (self.limit_milli / DECREASE_DIVISOR).max(MILLI_PER_SLOT);
    }

    /// Raises the limit after the leaf completed a call.
    pub fn record_success(&mut self) {
        let max_milli = u64::from(self.configured) * MILLI_PER_SLOT;
        self.limit_milli = (self.limit_milli + INCREASE_MILLI).min(max_milli);
    }

    /// Begins a slow start, unless one has already begun.
    pub fn start_warming(&mut self, now_ms: u64) {
        self.warming_since_ms.get_or_insert(now_ms);
    }

    /// Ends the slow start of a leaf that is warm, so that another can begin later.
    pub fn stop_warming(&mut self) {
        self.warming_since_ms = None;
    }

    /// Returns whether a slow start limits the slots now.
    pub fn is_warming(&self, now_ms: u64) -> bool {
        self.warming_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < SLOW_START_MS)
    }

    /// Returns the number of calls that may run at a time, from 1 to the configured slots.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::concurrency_limit::ConcurrencyLimit;
    /// let mut slots = ConcurrencyLimit::new(3);
    /// slots.start_warming(0);
    /// assert_eq!(slots.limit(0), 1);
    /// assert_eq!(slots.limit(10_000), 3);
    /// slots.decrease();
    /// assert_eq!(slots.limit(10_000), 1);
    /// ```
    pub fn limit(&self, now_ms: u64) -> u32 {
        let mut milli = self.limit_milli;
        if let Some(since_ms) = self.warming_since_ms.filter(|_| self.is_warming(now_ms)) {
            let growth = u64::from(self.configured.saturating_sub(1)) * MILLI_PER_SLOT;
            let ramp = MILLI_PER_SLOT + growth * now_ms.saturating_sub(since_ms) / SLOW_START_MS;
            milli = milli.min(ramp);
        }
        u32::try_from(milli / MILLI_PER_SLOT)
            .unwrap_or(u32::MAX)
            .max(1)
    }
}
