//! Points in time.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the Unix epoch.
///
/// Deadlines are absolute times, too.
///
/// Only code that does I/O calls [`Timestamp::now`]; all other code takes the current time as an
/// argument, so that tests control it.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_types::Timestamp;
///
/// let now = Timestamp::from_millis(5);
/// let deadline = now + Duration::from_millis(3);
/// assert_eq!(deadline - now, Duration::from_millis(3));
/// assert_eq!(now - deadline, Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The latest time, used for "never".
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Reads the system clock.
    pub fn now() -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the time `millis` milliseconds after the Unix epoch, or [`Timestamp::MAX`] if that is
    /// later.
    ///
    /// ```
    /// use dogwoodway_types::Timestamp;
    ///
    /// assert_eq!(Timestamp::from_millis(5).as_millis(), 5);
    /// assert_eq!(Timestamp::from_millis(u64::MAX), Timestamp::MAX);
    /// ```
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(1_000))
    }

    /// Returns the time earlier by `duration`, or the Unix epoch if that is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let now = Timestamp::from_millis(5);
    /// assert_eq!(now.earlier_by(Duration::from_millis(3)), Timestamp::from_millis(2));
    /// assert_eq!(now.earlier_by(Duration::from_millis(9)), Timestamp::default());
    /// ```
    pub fn earlier_by(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Returns the milliseconds since the Unix epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Returns the duration from `rhs` to `self`, zero if `rhs` is later.
impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, rhs: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
