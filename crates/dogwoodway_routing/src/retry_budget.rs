//! Limits retries to a share of first attempts.

/// Thousandths of a retry that each first attempt earns.
const EARNED_PER_FIRST_MILLIS: u32 = 200;

/// Retries that can be saved up, for the loss of many backend servers at once.
const MAX_SAVED_RETRIES: u32 = 128;

/// Thousandths of a retry that one retry costs.
const RETRY_COST_MILLIS: u32 = 1_000;

/// A token bucket of retries; full at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    saved_millis: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved_millis: MAX_SAVED_RETRIES * RETRY_COST_MILLIS }
    }
}

impl RetryBudget {
    /// Notes the first attempt of a request.
    pub fn note_first(&mut self) {
        let saved = self.saved_millis + EARNED_PER_FIRST_MILLIS;
        self.saved_millis = saved.min(MAX_SAVED_RETRIES * RETRY_COST_MILLIS);
    }

    /// Takes one retry from the budget; returns false if it is used up.
    ///
    /// ```
    /// use dogwoodway_routing::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// while budget.take_retry() {}
    /// for _ in 0..5 {
    ///     budget.note_first();
    /// }
    /// assert!(budget.take_retry());
    /// assert!(!budget.take_retry());
    /// ```
    pub fn take_retry(&mut self) -> bool {
        match self.saved_millis.checked_sub(RETRY_COST_MILLIS) {
            Some(left) => {
                self.saved_millis = left;
                true
            }
            None => false,
        }
    }
}
