//! Retry budget: limits retries to a fixed share of first attempts.
//!
//! Without such a limit, retries would multiply the load on servers that already fail under load.

use std::time::Duration;

use dogwoodway_types::Timestamp;

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

/// Part of [`RetryBounds::slack`] that routers use in the first window after their start, in
/// thousandths. It is taken from what [`USED_PERMILLE`] leaves, because earlier processes of the routers
/// may have used their whole part in the same window. Each router may start twice in one window.
const START_PERMILLE: u32 = (1_000 - USED_PERMILLE) / 2;

/// Span of time in which the retries of all routers are bounded, in seconds.
const WINDOW_SECONDS: usize = 10;

/// Limits on the retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in one window of time.
    pub slack: u32,
}

/// Part of the retries of all routers that one of them may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimits {
    /// Limits once the process has run for a whole window.
    pub retries: RetryLimits,
    /// Used instead of [`RetryLimits::max_saved`] until then.
    pub max_saved_at_start: u32,
}

impl RetryBounds {
    /// Returns the part of the limits that the router at `position`, from 0, among `routers` routers may
    /// use. The parts add up to no more than the limits.
    ///
    /// ```
    /// use dogwoodway_routing::retry_budget::{RetryBounds, RetryLimits};
    ///
    /// let bounds = RetryBounds { ratio: 0.2, slack: 54 };
    /// let share = bounds.share(4, 1);
    /// assert_eq!(share.retries, RetryLimits { earned_millis: 150, max_saved: 10 });
    /// assert_eq!(share.max_saved_at_start, 1);
    /// let saved: u32 = (0..103).map(|position| bounds.share(103, position).retries.max_saved).sum();
    /// assert_eq!(saved, 40);
    /// ```
    pub fn share(&self, routers: u32, position: u32) -> ShareLimits {
        let part = |permille: u32| {
            let saved = (f64::from(self.slack) * f64::from(permille) / 1e3) as u64;
            // Rounding up favors the first position, which a router has until it knows the others.
            let saved_before =
                |position: u32| (saved * u64::from(position)).div_ceil(u64::from(routers.max(1)));
            (saved_before(position + 1) - saved_before(position)) as u32
        };
        let earned_millis = (self.ratio * f64::from(USED_PERMILLE)) as u32;
        ShareLimits {
            retries: RetryLimits { earned_millis, max_saved: part(USED_PERMILLE) },
            max_saved_at_start: part(START_PERMILLE),
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

    fn return_retry(&mut self) {
        let saved = self.saved_millis + RETRY_COST_MILLIS;
        self.saved_millis = saved.min(self.limits.max_saved * RETRY_COST_MILLIS);
    }
}

/// The part that one router uses of a retry budget of many routers.
///
/// A router whose part is less than one retry still sends the retries that its requests earn. It must
/// not save one, since all such routers may send theirs at once. A process that has just started does
/// not know which retries an earlier process of the router has sent, and sends few beyond those that its
/// requests earn.
///
/// ```
/// use dogwoodway_routing::retry_budget::{RetryBounds, RetryShare};
/// use dogwoodway_types::Timestamp;
///
/// let now = Timestamp::from_millis(1);
/// let mut share = RetryShare::new(now, RetryBounds { ratio: 0.2, slack: 54 }.share(380, 1));
/// assert!(!share.try_take_retry(now));
/// (0..7).for_each(|_| share.record_first_attempt(now));
/// assert!(share.try_take_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryShare {
    limits: ShareLimits,
    /// Time from which this process has sent all retries of the router in the last window.
    window_known_from: Timestamp,
    budget: RetryBudget,
    recent: RecentAttempts,
}

impl RetryShare {
    /// Creates a share with all saved retries, of a process that started at `started_at`.
    pub fn new(started_at: Timestamp, limits: ShareLimits) -> RetryShare {
        RetryShare {
            limits,
            window_known_from: started_at + Duration::from_secs(WINDOW_SECONDS as u64),
            budget: RetryBudget::new(bucket_limits(limits.retries)),
            recent: RecentAttempts::default(),
        }
    }

    /// Changes the limits; saved retries beyond the new capacity are dropped.
    pub fn set_limits(&mut self, limits: ShareLimits) {
        self.limits = limits;
        self.budget.set_limits(bucket_limits(limits.retries));
    }

    /// Adds to the share what the first attempt of a request earns.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.budget.record_first_attempt();
        self.recent.slot(now).first_attempts += 1;
    }

    /// Takes one retry; returns false, without taking any, if none is left.
    pub fn try_take_retry(&mut self, now: Timestamp) -> bool {
        let AttemptCount { first_attempts, retries, .. } = self.recent.sum(now);
        let RetryLimits { earned_millis, max_saved } = self.limits.retries;
        let max_saved = match now < self.window_known_from {
            true => self.limits.max_saved_at_start,
            false => max_saved,
        };
        let allowed_millis = u64::from(earned_millis) * u64::from(first_attempts)
            + u64::from(max_saved * RETRY_COST_MILLIS);
        let taken_millis = (u64::from(retries) + 1) * u64::from(RETRY_COST_MILLIS);
        let is_allowed = taken_millis <= allowed_millis && self.budget.try_take_retry();
        if is_allowed {
            self.recent.slot(now).retries += 1;
        }
        is_allowed
    }

    /// Returns a retry that was taken at `taken_at` and not sent.
    ///
    /// ```
    /// use dogwoodway_routing::retry_budget::{RetryBounds, RetryShare};
    /// use dogwoodway_types::Timestamp;
    ///
    /// let now = Timestamp::from_millis(20_000);
    /// let limits = RetryBounds { ratio: 0.0, slack: 2 }.share(1, 0);
    /// let mut share = RetryShare::new(Timestamp::default(), limits);
    /// assert!(share.try_take_retry(now) && !share.try_take_retry(now));
    /// share.return_retry(now);
    /// assert!(share.try_take_retry(now) && !share.try_take_retry(now));
    /// ```
    pub fn return_retry(&mut self, taken_at: Timestamp) {
        self.budget.return_retry();
        self.recent.remove_retry(taken_at);
    }
}

/// Returns the limits of the bucket of a share, which must hold one retry for any to be taken.
fn bucket_limits(share: RetryLimits) -> RetryLimits {
    RetryLimits { max_saved: share.max_saved.max(1), ..share }
}

/// Counts of attempts in one second.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCount {
    /// Seconds of the clock.
    second: u64,
    first_attempts: u32,
    retries: u32,
}

/// Counts of the attempts in the last [`WINDOW_SECONDS`].
#[derive(Clone, Debug, Default)]
struct RecentAttempts {
    /// The second that is running and those of the window before it, in turn.
    slots: [AttemptCount; WINDOW_SECONDS + 1],
}

impl RecentAttempts {
    fn slot(&mut self, now: Timestamp) -> &mut AttemptCount {
        let second = now.as_millis() / 1_000;
        let slot = &mut self.slots[second as usize % (WINDOW_SECONDS + 1)];
        if slot.second != second {
            *slot = AttemptCount { second, ..AttemptCount::default() };
        }
        slot
    }

    /// Removes a retry of `taken_at`, unless its second is no longer counted.
    fn remove_retry(&mut self, taken_at: Timestamp) {
        let second = taken_at.as_millis() / 1_000;
        let slot = &mut self.slots[second as usize % (WINDOW_SECONDS + 1)];
        if slot.second == second {
            slot.retries = slot.retries.saturating_sub(1);
        }
    }

    fn sum(&self, now: Timestamp) -> AttemptCount {
        let second = now.as_millis() / 1_000;
        let recent = self.slots.iter().filter(|slot| slot.second + WINDOW_SECONDS as u64 >= second);
        recent.fold(AttemptCount { second, ..AttemptCount::default() }, |sum, slot| AttemptCount {
            second,
            first_attempts: sum.first_attempts + slot.first_attempts,
            retries: sum.retries + slot.retries,
        })
    }
}
