//! Health of one backend server, as observed through the router's own requests.
//!
//! There are three kinds of faults, and each is treated differently:
//!
//! - A server that cannot be reached gets no requests until a probe connection succeeds.
//! - A server that fails some of its requests stays in use at a higher cost, since it may still be
//!   the best choice under load.
//! - For a server that is slower than predicted, the predictions are scaled up.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Weight of the newest sample in the moving averages. With one tenth, a fault is forgotten within
/// about 25 requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Interval before the first probe of an unreachable server, in milliseconds; it doubles with each
/// failed probe. A crashed server takes at least some seconds to come back.
const INITIAL_PROBE_INTERVAL_MS: u64 = 150;

/// Longest interval between probes, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 1_000;

/// Time without a byte from a server that owes an answer after which it is probed, in milliseconds.
/// Servers that stream an answer send some bytes every few tens of milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 350;

/// Range of the slowdown factor. The lower bound keeps a server from attracting all requests after
/// a few quick answers.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 12.0);

/// How a request ended, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The server answered.
    Answered,
    /// The server answered with an error of its own or with an invalid answer.
    Failed,
    /// The server refused the request without running it.
    Refused,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
    /// A new connection was closed before a request was sent on it. The requests that the server runs go
    /// on.
    ConnectionRejected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Up,
    Down { next_probe_at: Timestamp, failed_probes: u32 },
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
    /// When the server last sent some bytes or accepted a probe connection.
    last_activity_at: Timestamp,
    /// When the server last sent some bytes.
    last_output_at: Timestamp,
    /// When an output was due of a request that ended without any, if nothing was sent since.
    unanswered_since: Option<Timestamp>,
}

impl Health {
    /// Creates the state of a server that is assumed to be healthy.
    pub fn new(now: Timestamp) -> Health {
        Health {
            reachability: Reachability::Up,
            failure_share: 0.0,
            refusal_share: 0.0,
            slowdown: None,
            last_activity_at: now,
            last_output_at: now,
            unanswered_since: None,
        }
    }

    /// Records how a request ended.
    pub fn record(&mut self, now: Timestamp, signal: HealthSignal) {
        match signal {
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
            HealthSignal::Unreachable | HealthSignal::ConnectionRejected => {
                self.mark_unreachable(now);
            }
        }
    }

    /// Records that the server sent some bytes.
    pub fn record_activity(&mut self, now: Timestamp) {
        self.last_activity_at = self.last_activity_at.max(now);
        self.last_output_at = self.last_output_at.max(now);
        self.unanswered_since = None;
    }

    /// Records that a request ended without any output, which was due at `due_at`.
    pub fn record_unanswered(&mut self, now: Timestamp, due_at: Timestamp) {
        if due_at < now {
            self.unanswered_since = Some(self.unanswered_since.map_or(due_at, |at| at.min(due_at)));
        }
    }

    /// Updates the slowdown factor from the time that a first output took and the prediction for
    /// it.
    pub fn record_first_output(&mut self, now: Timestamp, latency: Duration, predicted: Duration) {
        self.record_activity(now);
        let ratio = latency.as_secs_f64() / predicted.as_secs_f64().max(0.010);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let known = self.slowdown.unwrap_or(1.0);
        self.slowdown = Some(known + (ratio - known) * SAMPLE_WEIGHT);
    }

    /// Records whether a probe connection succeeded.
    pub fn record_probe(&mut self, now: Timestamp, is_reachable: bool) {
        match is_reachable {
            true => {
                self.reachability = Reachability::Up;
                self.last_activity_at = self.last_activity_at.max(now);
            }
            false => self.mark_unreachable(now),
        }
    }

    /// Takes the server out of use until a probe connection succeeds.
    pub fn mark_unreachable(&mut self, now: Timestamp) {
        let failed_probes = match self.reachability {
            Reachability::Up => 0,
            Reachability::Down { failed_probes, .. } => failed_probes + 1,
        };
        let interval_ms =
            INITIAL_PROBE_INTERVAL_MS.checked_shl(failed_probes).unwrap_or(MAX_PROBE_INTERVAL_MS);
        let next_probe_at = now + Duration::from_millis(interval_ms.min(MAX_PROBE_INTERVAL_MS));
        self.reachability = Reachability::Down { next_probe_at, failed_probes };
    }

    /// Returns whether requests may be sent to the server.
    pub fn is_up(&self) -> bool {
        self.reachability == Reachability::Up
    }

    /// Returns whether a probe is due. If so, the probe counts as started, and the next one is due
    /// after the longest interval unless a result is recorded earlier.
    pub fn start_probe(&mut self, now: Timestamp) -> bool {
        match &mut self.reachability {
            Reachability::Down { next_probe_at, .. } if *next_probe_at <= now => {
                *next_probe_at = now + Duration::from_millis(MAX_PROBE_INTERVAL_MS);
                true
            }
            _ => false,
        }
    }

    /// Returns whether the server has been silent for too long, given that an output is overdue
    /// since `due_since`.
    pub fn is_unresponsive(&self, now: Timestamp, due_since: Timestamp) -> bool {
        now - self.last_activity_at.max(due_since) >= Duration::from_millis(SILENCE_TIMEOUT_MS)
    }

    /// Returns whether the server has sent nothing for too long, although an output has been due since
    /// `due_since` or a request ended without any. Its machine may go on accepting connections while
    /// the process stands still.
    pub fn is_stalled(&self, now: Timestamp, due_since: Option<Timestamp>) -> bool {
        let due_since = due_since.into_iter().chain(self.unanswered_since).min();
        due_since.is_some_and(|due_since| {
            let silent_since = self.last_output_at.max(due_since);
            now - silent_since >= Duration::from_millis(SILENCE_TIMEOUT_MS)
        })
    }

    /// Returns the moving average of the share of requests that failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the moving average of the share of requests that the server refused.
    pub fn refusal_share(&self) -> f64 {
        self.refusal_share
    }

    /// Returns the factor by which to scale predictions; `None` before the first output.
    pub fn slowdown(&self) -> Option<f64> {
        self.slowdown
    }
}
