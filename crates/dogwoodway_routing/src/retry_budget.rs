//! Retry budget: limits retries to a fixed share of first attempts.
//!
//! Without such a limit, retries would multiply the load on servers that already fail under load.

/// Default for [`RetryLimits::earned_millis`]: one retry for five first attempts.
const DEFAULT_EARNED_MILLIS: u32 = 200;

/// Default for [`RetryLimits::max_saved`], which allows for the loss of many backend servers at
/// once.
const DEFAULT_MAX_SAVED: u32 = 128;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLIS: u32 = 1_000;

/// Refill rate and capacity of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Thousandths of a retry that each first attempt adds to the budget.
    pub earned_millis: u32,
    /// Capacity of the budget in retries, the largest burst of retries.
    pub max_saved: u32,
}

/// Part of the allowed retries that routers use, in thousandths. The margin is needed because routers
/// count requests at slightly different times.
const USED_PERMILLE: u32 = 750;

/// Limits on the retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in one window of time.
    pub slack: u32,
}

impl RetryBounds {
    /// Returns the part of the limits that one of `routers` routers may use.
    ///
    /// ```
    /// use dogwoodway_routing::retry_budget::{RetryBounds, RetryLimits};
    ///
    /// let share = RetryBounds { ratio: 0.2, slack: 54 }.share(4);
    /// assert_eq!(share, RetryLimits { earned_millis: 150, max_saved: 10 });
    /// ```
    pub fn share(&self, routers: u32) -> RetryLimits {
        let used_share = f64::from(USED_PERMILLE) / 1e3;
        let max_saved = f64::from(self.slack) * used_share / f64::from(routers);
        RetryLimits {
            earned_millis: (self.ratio * 1e3 * used_share) as u32,
            max_saved: (max_saved as u32).max(1),
        }
    }
}

/// A token bucket of retries that is refilled by first attempts and starts full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved_millis: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryLimits {
            earned_millis: DEFAULT_EARNED_MILLIS,
            max_saved: DEFAULT_MAX_SAVED,
        })
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget { limits, saved_millis: limits.max_saved * RETRY_COST_MILLIS }
    }

    /// Changes the limits; saved retries beyond the new capacity are dropped.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.saved_millis = self.saved_millis.min(limits.max_saved * RETRY_COST_MILLIS);
    }

    /// Adds to the budget what the first attempt of a request earns.
    pub fn record_first_attempt(&mut self) {
        let saved = self.saved_millis + self.limits.earned_millis;
        self.saved_millis = saved.min(self.limits.max_saved * RETRY_COST_MILLIS);
    }

    /// Takes one retry from the budget; returns false, without taking any, if less than one is
    /// left.
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
