//! Which prompts are turned away while the engines are behind.
//!
//! The load pattern that this answers: more prompts come than the engines can compute, because many
//! callers come at once or a third of the engines is gone. Work that waits in line makes all later
//! answers late, also after the peak. A prompt whose wait would use up a good part of the time in
//! which its answer is expected is refused at once, and told to come back when the line is shorter;
//! those that are taken are answered in time. The line counts for patient requests first, so that
//! an urgent request is refused only when patient ones no longer come in.

use std::time::Duration;

/// Urgency of requests that go before all others of a service.
const MOST_URGENT: u8 = 0;

/// Part of the expected time for which an urgent prompt may wait. Reading the prompt and the
/// prediction's error take the rest.
const URGENT_WAIT_PART: f64 = 0.8;

/// Part of the expected time for which any other prompt may wait. Patient prompts are expected
/// within about twice the time of urgent ones, so this makes them give way first.
const PATIENT_WAIT_PART: f64 = 0.2;

/// Soonest time to come back, in milliseconds: the line does not get shorter within less.
const SOONEST_MS: f64 = 300.0;

/// Decides whether a prompt is refused because of the line in front of it, and returns the time
/// after which it may come back.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::admission::refuse_for_wait;
///
/// let expected = Duration::from_millis(400);
/// assert_eq!(refuse_for_wait(100.0, expected, 0), None);
/// assert_eq!(refuse_for_wait(500.0, expected, 0), Some(Duration::from_millis(500)));
/// assert!(refuse_for_wait(100.0, expected, 1).is_some());
/// ```
pub fn refuse_for_wait(wait_ms: f64, expected: Duration, urgency: u8) -> Option<Duration> {
    let part = match urgency {
        MOST_URGENT => URGENT_WAIT_PART,
        _ => PATIENT_WAIT_PART,
    };
    let is_too_long = wait_ms > expected.as_secs_f64() * 1e3 * part;
    is_too_long.then(|| Duration::from_micros((wait_ms.max(SOONEST_MS) * 1e3) as u64))
}
