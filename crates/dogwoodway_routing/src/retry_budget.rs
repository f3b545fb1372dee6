//! Limits retries to a share of first attempts.

/// Thousandths of a retry that each first attempt earns.
const EARNED_PER_FIRST_MILLIS: u32 = 200;

/// Retries that can be saved up, for the loss of many backend servers at once.
const MAX_SAVED_RETRIES: u32 = 128;

/// Thousandths of a retry that one retry costs.
const RETRY_COST_MILLIS: u32 = 1_000;

/// How fast a budget fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Thousandths of a retry that each first attempt earns.
    pub earned_millis: u32,
    /// Retries that can be saved up.
    pub max_saved: u32,
}

/// A token bucket of retries; full at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved_millis: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryLimits {
            earned_millis: EARNED_PER_FIRST_MILLIS,
            max_saved: MAX_SAVED_RETRIES,
        })
    }
}

impl RetryBudget {
    /// Builds a full budget.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget { limits, saved_millis: limits.max_saved * RETRY_COST_MILLIS }
    }

    /// Changes the limits; what is saved beyond them is lost.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.saved_millis = self.saved_millis.min(limits.max_saved * RETRY_COST_MILLIS);
    }

    /// Notes the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        let saved = self.saved_millis + self.limits.earned_millis;
        self.saved_millis = saved.min(self.limits.max_saved * RETRY_COST_MILLIS);
    }

    /// Takes one retry from the budget; returns false if it is used up.
    ///
    /// ```
    /// use dogwoodway_routing::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// while budget.try_take_retry() {}
    /// for _ in 0..5 {
    ///     budget.record_first_attempt();
    /// }
    /// assert!(budget.try_take_retry());
    /// assert!(!budget.try_take_retry());
    /// ```
    pub fn try_take_retry(&mut self) -> bool {
        match self.saved_millis.checked_sub(RETRY_COST_MILLIS) {
            Some(left) => {
                self.saved_millis = left;
                true
            }
            None => false,
        }
    }
}
