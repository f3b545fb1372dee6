//! Which prompts are turned away while the engines are behind.
//!
//! The load pattern that this answers: more prompts come than the engines can compute, because many
//! callers come at once or a third of the engines is gone. Work that waits in line makes all later
//! answers late, also after the peak. A prompt whose wait would use up a good part of the time in
//! which its answer is expected is refused at once, and told to come back when the line is shorter;
//! those that are taken are answered in time. The line counts for patient requests first, so that
//! an urgent request is refused only when patient ones no longer come in.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Urgency of requests that go before all others of a service.
const HIGHEST_PRIORITY: u8 = 0;

/// Part of the expected time for which an urgent prompt may wait. Reading the prompt and the
/// prediction's error take the rest.
const HIGH_PRIORITY_WAIT_SHARE: f64 = 0.8;

/// Part of the expected time for which any other prompt may wait while the line is short on the
/// whole: a peak of some hundred milliseconds is over before it does harm.
const SHORT_QUEUE_WAIT_SHARE: f64 = 0.5;

/// The same while the line stays long: patient prompts give way to urgent ones then.
const LONG_QUEUE_WAIT_SHARE: f64 = 0.15;

/// Mean wait up to which the line counts as short, in milliseconds.
const SHORT_QUEUE_MS: f64 = 20.0;

/// Mean wait from which on it counts as long, in milliseconds.
const LONG_QUEUE_MS: f64 = 100.0;

/// Time over which waits are averaged, in milliseconds: longer than a clump of arrivals, shorter
/// than a peak.
const MEAN_WAIT_WINDOW_MS: f64 = 1_500.0;

/// Soonest time to come back, in milliseconds: the line does not get shorter within less.
const MIN_RETRY_DELAY_MS: f64 = 300.0;

/// Soonest time at which a refused caller is asked to come back, in milliseconds: what comes back
/// earlier finds the same line.
const MIN_RETRY_AFTER_MS: u64 = 60;

/// Part of the time left after which a refused caller comes back at the latest, as a divisor: later,
/// its answer would not be in time.
const RETRY_AFTER_DIVISOR: u32 = 4;

/// How long prompts wait at the best engine of a service, on the mean of the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePressure {
    mean_wait_ms: f64,
    updated_at: Timestamp,
}

impl QueuePressure {
    /// Takes in the wait that was predicted for one prompt.
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
        let passed_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        let newest = 1.0 - (-passed_ms / MEAN_WAIT_WINDOW_MS).exp();
        self.mean_wait_ms += (wait_ms - self.mean_wait_ms) * newest;
        self.updated_at = now;
    }

    /// Returns the mean wait in milliseconds.
    pub fn mean_wait_ms(&self) -> f64 {
        self.mean_wait_ms
    }

    /// Returns the part of the expected time for which a patient prompt may wait.
    fn low_priority_wait_share(&self) -> f64 {
        let long = (self.mean_wait_ms - SHORT_QUEUE_MS) / (LONG_QUEUE_MS - SHORT_QUEUE_MS);
        SHORT_QUEUE_WAIT_SHARE
            + (LONG_QUEUE_WAIT_SHARE - SHORT_QUEUE_WAIT_SHARE) * long.clamp(0.0, 1.0)
    }
}

/// Decides whether a prompt is refused because of the line in front of it, and returns the time
/// after which it may come back.
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
    urgency: u8,
    pressure: &QueuePressure,
) -> Option<Duration> {
    let part = match urgency {
        HIGHEST_PRIORITY => HIGH_PRIORITY_WAIT_SHARE,
        _ => pressure.low_priority_wait_share(),
    };
    let is_too_long = wait_ms > expected.as_secs_f64() * 1e3 * part;
    is_too_long.then(|| Duration::from_micros((wait_ms.max(MIN_RETRY_DELAY_MS) * 1e3) as u64))
}

/// Returns when a refused caller is asked to come back, from `now`; `retry_at` is when a retry makes
/// sense, and `draw` a random number. Callers that were refused together come back at different
/// times.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::admission::retry_after;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let wait = retry_after(at(0), at(500), at(3_000), 7);
/// assert!(wait >= Duration::from_millis(500) && wait <= Duration::from_millis(560));
/// let short = retry_after(at(0), at(9_000), at(400), 7);
/// assert!(short <= Duration::from_millis(160), "later, its answer would not be in time");
/// ```
pub fn retry_after(
    now: Timestamp,
    retry_at: Timestamp,
    deadline: Timestamp,
    draw: u64,
) -> Duration {
    let soonest = Duration::from_millis(MIN_RETRY_AFTER_MS);
    let latest = (deadline - now) / RETRY_AFTER_DIVISOR;
    let spread = soonest.mul_f64(draw as f64 / u64::MAX as f64);
    (retry_at - now).min(latest).max(soonest) + spread
}
