//! Deadlines of requests that arrive during a graceful shutdown.
//!
//! The process ends after a grace period, whatever still runs. A request that is cut off then may have
//! run, and its client cannot tell. Therefore requests are answered before the grace period ends, and
//! those that arrive late are refused unless their own deadline is earlier. Late requests arrive on
//! connections that were accepted before, for example if a client is slow to send its head.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Time from the last answers to the end of the grace period, in milliseconds, so that they still reach
/// their clients.
const ANSWER_MARGIN_MS: u64 = 250;

/// A graceful shutdown.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::drain::Drain;
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
    /// Time from which requests are late, because load balancers send no new ones.
    late_from: Timestamp,
    /// Time by which all requests must be answered.
    answers_until: Timestamp,
}

impl Drain {
    /// Begins a shutdown that load balancers have noticed after `notice`, and that ends after
    /// `grace_period`.
    pub fn new(now: Timestamp, notice: Duration, grace_period: Duration) -> Drain {
        let answers_until =
            (now + grace_period).earlier_by(Duration::from_millis(ANSWER_MARGIN_MS));
        Drain { late_from: now + notice, answers_until }
    }

    /// Returns the time by which all requests must be answered.
    pub fn answers_until(&self) -> Timestamp {
        self.answers_until
    }

    /// Returns by when to answer a request that was read completely at `now`, given its own deadline;
    /// `None` if the request must be refused.
    pub fn deadline(&self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        let is_in_time = now < self.late_from || deadline <= self.answers_until;
        (is_in_time && now < self.answers_until).then(|| deadline.min(self.answers_until))
    }
}
