//! Notices in backend servers' responses: that the server is shutting down, asks for a pause, or takes
//! only so many requests a second.
//!
//! A server that is shutting down says so in each response, often before the platform's list does. A
//! server that refuses a request because of its load may ask for a pause. A notice applies to the
//! process that sent it; a server that has restarted accepts requests again.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Longest pause that is kept, in milliseconds. A server that asks for a longer one is asked again
/// after this time.
pub const MAX_PAUSE_MS: u64 = 600_000;

/// Pause that is kept if a server asks for one of unreadable length, in milliseconds.
pub const DEFAULT_PAUSE_MS: u64 = 1_000;

/// A pause that a server asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseRequest {
    /// The server wants no requests for this long.
    For(Duration),
    /// The length is a date, negative or no number.
    Unreadable,
}

impl PauseRequest {
    /// Returns the end of the pause, or `None` if it has no length.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_routing::direct::server_notice::PauseRequest;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let now = Timestamp::from_millis(1_000);
    /// let pause = PauseRequest::For(Duration::from_millis(2_500));
    /// assert_eq!(pause.deadline(now), Some(Timestamp::from_millis(3_500)));
    /// assert_eq!(PauseRequest::For(Duration::ZERO).deadline(now), None);
    /// assert_eq!(PauseRequest::Unreadable.deadline(now), Some(Timestamp::from_millis(2_000)));
    /// ```
    pub fn deadline(self, now: Timestamp) -> Option<Timestamp> {
        let pause = match self {
            PauseRequest::For(pause) => pause.min(Duration::from_millis(MAX_PAUSE_MS)),
            PauseRequest::Unreadable => Duration::from_millis(DEFAULT_PAUSE_MS),
        };
        (!pause.is_zero()).then(|| now + pause)
    }
}

/// Requests a second, from all routers together.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

/// Unit of a [`RequestRate`], in requests a second.
const RATE_UNIT: f64 = 1e-3;

/// Highest [`RequestRate`], in requests a second; no server takes that many.
const MAX_RATE: f64 = 1e9;

impl RequestRate {
    /// Returns the rate in requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 * RATE_UNIT
    }
}

/// Rounds down to thousandths of a request a second. Fails for negative numbers and NaN.
impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<RequestRate, InvalidRate> {
        match per_second >= 0.0 {
            true => Ok(RequestRate((per_second.min(MAX_RATE) / RATE_UNIT) as u64)),
            false => Err(InvalidRate),
        }
    }
}

/// A number of requests a second that is negative or not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

/// Limit that a server states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedLimit {
    /// The server takes so many requests.
    Rate(RequestRate),
    /// The limit is negative or no number.
    Unreadable,
}

/// Notice in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// Pause that the server asks for; present only in responses that refuse a request.
    pub pause: Option<PauseRequest>,
    /// Limit that the server states.
    pub limit: Option<StatedLimit>,
}

impl ServerNotice {
    /// Returns whether the response contains no notice.
    ///
    /// ```
    /// use dogwoodway_routing::direct::server_notice::ServerNotice;
    ///
    /// assert!(ServerNotice::default().is_empty());
    /// ```
    pub fn is_empty(self) -> bool {
        self == ServerNotice::default()
    }
}
