//! Requests that come while a router is being stopped as planned.
//!
//! The platform ends the process after a grace period, whatever still runs. A request that is cut off
//! then may have run, and its client cannot tell. Therefore no request is passed on that may be
//! cut off: early ones are answered by the end of the grace, and late ones are refused unless their own
//! deadline is earlier. Late ones come on connections that were accepted before, for example if the
//! rest of a head arrives late.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Time before the end of the grace by which a request must be answered, in milliseconds, so that the
/// answer still reaches its client.
const ANSWER_MARGIN_MS: u64 = 250;

/// A planned stop of a router.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::drain::Drain;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let drain = Drain::new(at(10_000), Duration::from_millis(2_000), Duration::from_millis(8_000));
/// assert_eq!(drain.deadline(at(11_000), at(90_000)), Some(at(17_750)));
/// assert_eq!(drain.deadline(at(13_000), at(14_000)), Some(at(14_000)));
/// assert_eq!(drain.deadline(at(13_000), at(90_000)), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time from which requests are late: the platform sends no new ones any more.
    late_from: Timestamp,
    /// Time by which all requests must be answered.
    answers_until: Timestamp,
}

impl Drain {
    /// Begins a stop of which the platform has heard after `notice`, and that ends after `grace`.
    pub fn new(now: Timestamp, notice: Duration, grace: Duration) -> Drain {
        let answers_until = (now + grace).earlier_by(Duration::from_millis(ANSWER_MARGIN_MS));
        Drain { late_from: now + notice, answers_until }
    }

    /// Returns the time by which all requests must be answered.
    pub fn answers_until(&self) -> Timestamp {
        self.answers_until
    }

    /// Returns by when a request that has been read at `now` is to be answered, given its own deadline;
    /// `None` if it must not be passed on.
    pub fn deadline(&self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        let is_in_time = now < self.late_from || deadline <= self.answers_until;
        (is_in_time && now < self.answers_until).then(|| deadline.min(self.answers_until))
    }
}
