//! What a router believes of one backend server's health, from its own requests.
//!
//! Three things go wrong in different ways. A server that cannot be reached takes no request until
//! a trial connection succeeds. A server that fails part of its requests stays in use, but costs
//! more, since it may still be the best choice under load. A server that is slower than predicted
//! has its predictions stretched.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Share of the newest result in the moving means; one in ten forgets a fault within some 25
/// requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Length of the first pause between trial connections, in milliseconds; each further one is twice
/// as long. A crashed server is back after some seconds at the soonest.
const INITIAL_PROBE_INTERVAL_MS: u64 = 150;

/// Longest pause between trial connections, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 1_000;

/// Time without a byte from a server that owes an answer after which it is asked for a sign of
/// life, in milliseconds. Servers that answer streams send some bytes every few tens of
/// milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 350;

/// Bounds of the factor by which predictions are stretched. The lower one keeps a lucky server from
/// attracting all requests.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 12.0);

/// How a request at a backend server ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered.
    Answered,
    /// It answered with an error of its own, or with something that is no valid answer.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Up,
    Down { retry_at: Timestamp, trials: u32 },
}

/// Health of one backend server as seen by one router.
///
/// ```
/// use dogwoodway_routing::direct::health::{Health, HealthSignal};
/// use dogwoodway_types::Timestamp;
///
/// let now = Timestamp::from_millis(5);
/// let mut health = Health::new(now);
/// health.record(now, HealthSignal::Unreachable);
/// assert!(!health.is_up());
/// health.record_probe(now, true);
/// assert!(health.is_up());
/// ```
#[derive(Clone, Debug)]
pub struct Health {
    reachability: Reachability,
    failure_share: f64,
    refusal_share: f64,
    slowdown: Option<f64>,
    last_activity_at: Timestamp,
}

impl Health {
    /// Builds the health of a server of which nothing is known yet.
    pub fn new(now: Timestamp) -> Health {
        Health {
            reachability: Reachability::Up,
            failure_share: 0.0,
            refusal_share: 0.0,
            slowdown: None,
            last_activity_at: now,
        }
    }

    /// Notes how a request ended.
    pub fn record(&mut self, now: Timestamp, sign: HealthSignal) {
        match sign {
            HealthSignal::Answered => {
                self.record_activity(now);
                self.failure_share -= self.failure_share * SAMPLE_WEIGHT;
                self.refusal_share -= self.refusal_share * SAMPLE_WEIGHT;
            }
            HealthSignal::Failed | HealthSignal::ConnectionLost => {
                self.failure_share += (1.0 - self.failure_share) * SAMPLE_WEIGHT;
            }
            HealthSignal::Refused => {
                self.record_activity(now);
                self.refusal_share += (1.0 - self.refusal_share) * SAMPLE_WEIGHT;
            }
            HealthSignal::Unreachable => self.mark_unreachable(now),
        }
    }

    /// Notes that some bytes came from the server.
    pub fn record_activity(&mut self, now: Timestamp) {
        self.last_activity_at = self.last_activity_at.max(now);
    }

    /// Notes how long a first event took, against the prediction.
    pub fn record_first_output(&mut self, now: Timestamp, took: Duration, predicted: Duration) {
        self.record_activity(now);
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(0.010);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let known = self.slowdown.unwrap_or(1.0);
        self.slowdown = Some(known + (ratio - known) * SAMPLE_WEIGHT);
    }

    /// Notes the result of a trial connection.
    pub fn record_probe(&mut self, now: Timestamp, is_reached: bool) {
        match is_reached {
            true => {
                self.reachability = Reachability::Up;
                self.record_activity(now);
            }
            false => self.mark_unreachable(now),
        }
    }

    /// Takes the server out of use until a trial connection succeeds.
    pub fn mark_unreachable(&mut self, now: Timestamp) {
        let trials = match self.reachability {
            Reachability::Up => 0,
            Reachability::Down { trials, .. } => trials + 1,
        };
        let pause_ms =
            INITIAL_PROBE_INTERVAL_MS.checked_shl(trials).unwrap_or(MAX_PROBE_INTERVAL_MS);
        let retry_at = now + Duration::from_millis(pause_ms.min(MAX_PROBE_INTERVAL_MS));
        self.reachability = Reachability::Down { retry_at, trials };
    }

    /// Tells whether requests may be sent to the server.
    pub fn is_up(&self) -> bool {
        self.reachability == Reachability::Up
    }

    /// Tells whether a trial connection is due, and notes that it is made.
    pub fn start_probe(&mut self, now: Timestamp) -> bool {
        match &mut self.reachability {
            Reachability::Down { retry_at, .. } if *retry_at <= now => {
                *retry_at = now + Duration::from_millis(MAX_PROBE_INTERVAL_MS);
                true
            }
            _ => false,
        }
    }

    /// Tells whether the server owes an answer since `owed_since` and has been silent for too long.
    pub fn is_unresponsive(&self, now: Timestamp, owed_since: Timestamp) -> bool {
        now - self.last_activity_at.max(owed_since) >= Duration::from_millis(SILENCE_TIMEOUT_MS)
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the share of recent requests that the server refused.
    pub fn refusal_share(&self) -> f64 {
        self.refusal_share
    }

    /// Returns the factor by which predictions are to be stretched, once the server has answered.
    pub fn slowdown(&self) -> Option<f64> {
        self.slowdown
    }
}
