//! Load shedding: which prompts are refused while the engines are overloaded.
//!
//! The load pattern behind this: more prompts arrive than the engines can compute, because many
//! callers arrive at once or a third of the engines is lost. Queued work then delays all later
//! answers, even after the peak has passed. Therefore a prompt whose queueing time would take up a
//! large part of the time in which its answer is expected is refused at once, with a delay after
//! which to retry; the accepted prompts are answered in time.
//!
//! The limits are stricter for lower priorities, so that a prompt of the highest priority is
//! refused only when others are no longer accepted.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Priority value of the requests that go before all others of a service.
const HIGHEST_PRIORITY: u8 = 0;

/// Share of the expected time that a prompt of the highest priority may spend in the queue. The
/// rest is needed for prefill and for errors of the prediction.
const HIGHEST_PRIORITY_WAIT_SHARE: f64 = 0.8;

/// Share of the expected time that any other prompt may spend in the queue while the queue is short
/// on average. A peak of some hundred milliseconds is over before it does harm.
const SHORT_QUEUE_WAIT_SHARE: f64 = 0.5;

/// The same share while the queue stays long, so that other prompts give way to those of the
/// highest priority.
const LONG_QUEUE_WAIT_SHARE: f64 = 0.15;

/// Mean queueing time up to which the queue counts as short, in milliseconds.
const SHORT_QUEUE_MS: f64 = 20.0;

/// Mean queueing time from which the queue counts as long, in milliseconds.
const LONG_QUEUE_MS: f64 = 100.0;

/// Time constant of the mean queueing time, in milliseconds: longer than a cluster of arrivals,
/// shorter than a peak.
const MEAN_WAIT_WINDOW_MS: f64 = 1_500.0;

/// Shortest time after which a retry makes sense, in milliseconds; the queue does not get shorter
/// in less time.
const MIN_RETRY_DELAY_MS: f64 = 300.0;

/// Shortest delay that a refused caller is told, in milliseconds, however near its deadline is; an
/// earlier retry would find the same queue.
const MIN_RETRY_AFTER_MS: u64 = 60;

/// Time over which retries are spread if all refused callers are told the same time, in
/// milliseconds.
const KNOWN_RETRY_SPREAD_MS: u64 = 400;

/// Divisor of the time left to the deadline that gives the longest delay for a refused caller.
/// After a longer delay the answer would not be in time.
pub(crate) const RETRY_AFTER_DIVISOR: u32 = 4;

/// Exponentially weighted mean of the queueing time at the best engine of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePressure {
    mean_wait_ms: f64,
    updated_at: Timestamp,
}

impl QueuePressure {
    /// Records the queueing time that was predicted for one prompt, in milliseconds.
    ///
    /// ```
    /// use dogwoodway_routing::direct::admission::QueuePressure;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let mut pressure = QueuePressure::default();
    /// for n in 1..1_000 {
    ///     pressure.record(Timestamp::from_millis(10 * n), 80.0);
    /// }
    /// assert!((pressure.mean_wait_ms() - 80.0).abs() < 1.0);
    /// ```
    pub fn record(&mut self, now: Timestamp, wait_ms: f64) {
        let elapsed_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        let weight = 1.0 - (-elapsed_ms / MEAN_WAIT_WINDOW_MS).exp();
        self.mean_wait_ms += (wait_ms - self.mean_wait_ms) * weight;
        self.updated_at = now;
    }

    /// Returns the mean queueing time in milliseconds.
    pub fn mean_wait_ms(&self) -> f64 {
        self.mean_wait_ms
    }

    /// Returns the share of the expected time that a prompt below the highest priority may spend in
    /// the queue.
    fn low_priority_wait_share(&self) -> f64 {
        SHORT_QUEUE_WAIT_SHARE + (LONG_QUEUE_WAIT_SHARE - SHORT_QUEUE_WAIT_SHARE) * self.level()
    }

    /// Returns how long the queue is on average: 0 for a short one, 1 for a long one.
    pub(crate) fn level(&self) -> f64 {
        let level = (self.mean_wait_ms - SHORT_QUEUE_MS) / (LONG_QUEUE_MS - SHORT_QUEUE_MS);
        level.clamp(0.0, 1.0)
    }
}

/// Decides whether a prompt is refused because of its predicted queueing time. Returns the time
/// after which a retry makes sense, or `None` if the prompt is accepted.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::admission::{QueuePressure, refuse_for_wait};
/// use dogwoodway_types::Timestamp;
///
/// let expected = Duration::from_millis(400);
/// let mut pressure = QueuePressure::default();
/// assert_eq!(refuse_for_wait(100.0, expected, 0, &pressure), None);
/// assert_eq!(refuse_for_wait(500.0, expected, 0, &pressure), Some(Duration::from_millis(500)));
/// assert_eq!(refuse_for_wait(100.0, expected, 1, &pressure), None);
/// pressure.record(Timestamp::from_millis(9_000), 300.0);
/// assert!(refuse_for_wait(100.0, expected, 1, &pressure).is_some());
/// ```
pub fn refuse_for_wait(
    wait_ms: f64,
    expected: Duration,
    priority: u8,
    pressure: &QueuePressure,
) -> Option<Duration> {
    let share = match priority {
        HIGHEST_PRIORITY => HIGHEST_PRIORITY_WAIT_SHARE,
        _ => pressure.low_priority_wait_share(),
    };
    let is_too_long = wait_ms > expected.as_secs_f64() * 1e3 * share;
    is_too_long.then(|| Duration::from_micros((wait_ms.max(MIN_RETRY_DELAY_MS) * 1e3) as u64))
}

/// Returns the delay after which a refused caller is asked to retry. `retry_at` is when a retry
/// makes sense. `draw` is a random number that spreads the retries of callers that were refused
/// together.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::admission::retry_after;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let delay = retry_after(at(0), at(500), at(3_000), 7);
/// assert!(delay >= Duration::from_millis(500) && delay <= Duration::from_millis(560));
/// let near_deadline = retry_after(at(0), at(9_000), at(400), 7);
/// assert!(near_deadline <= Duration::from_millis(160), "later, its answer would not be in time");
/// ```
pub fn retry_after(
    now: Timestamp,
    retry_at: Timestamp,
    deadline: Timestamp,
    draw: u64,
) -> Duration {
    let min_delay = Duration::from_millis(MIN_RETRY_AFTER_MS);
    let max_delay = (deadline - now) / RETRY_AFTER_DIVISOR;
    let jitter = min_delay.mul_f64(draw as f64 / u64::MAX as f64);
    (retry_at - now).min(max_delay).max(min_delay) + jitter
}

/// Returns the delay after which a refused caller is asked to retry if any retry before `retry_at`
/// will be refused. Unlike [`retry_after`], it may exceed the caller's deadline.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::admission::known_retry_after;
/// use dogwoodway_types::Timestamp;
///
/// let delay = known_retry_after(Timestamp::from_millis(0), Timestamp::from_millis(2_000), 7);
/// assert!(delay >= Duration::from_millis(2_000) && delay <= Duration::from_millis(2_400));
/// ```
pub fn known_retry_after(now: Timestamp, retry_at: Timestamp, draw: u64) -> Duration {
    let spread = Duration::from_millis(KNOWN_RETRY_SPREAD_MS);
    (retry_at - now) + spread.mul_f64(draw as f64 / u64::MAX as f64)
}
