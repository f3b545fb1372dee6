//! Passive outlier detection: ejects an agent that fails repeatedly or is much slower than others.
//!
//! An ejected agent gets no work until its ejection ends. One trial call then decides: if it
//! succeeds, the agent is healthy again, otherwise it is ejected for longer.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Failures in a row after which an agent is ejected.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Duration of the first ejection; each further one is twice as long, up to [`MAX_EJECTION_MS`].
pub const BASE_EJECTION_MS: u64 = 1_000;

/// Longest duration of an ejection.
pub const MAX_EJECTION_MS: u64 = 30_000;

/// Time without an ejection after a successful trial; the next reply then resets the duration of
/// ejections to [`BASE_EJECTION_MS`].
pub const EJECTION_RESET_MS: u64 = 60_000;

/// Latency up to which an agent is never considered slow, whatever the median. An abandoned call
/// counts as a failure only if the caller waited at least this long.
pub const MIN_SLOW_LATENCY_MS: u64 = 100;

/// Multiple of the median latency of all agents above which an agent is considered slow.
pub const SLOW_FACTOR: u64 = 5;

/// Replies that are needed before the mean latency of an agent is used.
pub const MIN_REPLIES_FOR_SLOW: u32 = 5;

/// Divisor of the newest latency in the exponential moving average.
const MEAN_DIVISOR: u64 = 4;

/// How a call to an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The agent replied.
    Replied {
        /// Time from the call to the reply.
        latency: Duration,
    },
    /// The agent could not be reached, or its reply was lost.
    Failed,
    /// The caller stopped waiting before a reply arrived.
    Abandoned {
        /// Time from the call until the caller stopped waiting.
        waited: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Healthy,
    Ejected {
        until: Timestamp,
    },
    Trial,
}

/// Health of one agent as seen by one entry.
///
/// ```
/// use dogwoodway_routing::outlier::{CallResult, AgentHealth};
/// use dogwoodway_types::Timestamp;
///
/// let (now, limit_us) = (Timestamp::from_millis(5), u64::MAX);
/// let mut health = AgentHealth::default();
/// health.record_call(now, CallResult::Failed, limit_us);
/// assert!(!health.is_ejected());
/// health.record_call(now, CallResult::Failed, limit_us);
/// assert!(health.is_ejected());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AgentHealth {
    state: State,
    consecutive_failures: u32,
    ejections: u32,
    reset_ejections_at: Timestamp,
    replies: u32,
    mean_us: u64,
    last_reply_at: Timestamp,
}

impl AgentHealth {
    /// Records the result of a call; `slow_threshold_us` comes from [`slow_threshold_us`].
    ///
    /// While the agent is ejected, results only update the time of its last reply, because only a
    /// successful trial ends an ejection.
    pub fn record_call(&mut self, now: Timestamp, result: CallResult, slow_threshold_us: u64) {
        if let CallResult::Replied { .. } = result {
            self.last_reply_at = now;
        }
        if self.state != State::Healthy {
            return;
        }
        match result {
            CallResult::Replied { latency } => self.record_latency(now, latency, slow_threshold_us),
            CallResult::Abandoned { waited }
                if waited.as_millis() < u128::from(MIN_SLOW_LATENCY_MS) => {}
            CallResult::Failed | CallResult::Abandoned { .. } => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    self.eject(now);
                }
            }
        }
    }

    /// Starts the trial if the ejection is over; returns whether it did.
    pub fn begin_trial(&mut self, now: Timestamp) -> bool {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::Trial;
                true
            }
            _ => false,
        }
    }

    /// Records the result of the trial; has no effect unless one is running.
    pub fn end_trial(&mut self, now: Timestamp, result: CallResult, slow_threshold_us: u64) {
        if self.state != State::Trial {
            return;
        }
        match result {
            CallResult::Replied { latency } if as_micros(latency) <= slow_threshold_us => {
                self.state = State::Healthy;
                self.reset_ejections_at = now + Duration::from_millis(EJECTION_RESET_MS);
            }
            _ => self.eject(now),
        }
    }

    /// Returns whether the agent is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    /// Returns when the current ejection ends; `None` if the agent is healthy or on trial.
    pub fn trial_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Ejected { until } => Some(until),
            State::Healthy | State::Trial => None,
        }
    }

    /// Returns the time of the last reply, zero if there was none.
    pub fn last_reply_at(&self) -> Timestamp {
        self.last_reply_at
    }

    /// Returns the mean latency in microseconds; `None` unless the agent is healthy and has sent
    /// [`MIN_REPLIES_FOR_SLOW`] replies since its last ejection.
    pub fn mean_us(&self) -> Option<u64> {
        let is_known = self.state == State::Healthy && self.replies >= MIN_REPLIES_FOR_SLOW;
        is_known.then_some(self.mean_us)
    }

    fn record_latency(&mut self, now: Timestamp, latency: Duration, slow_threshold_us: u64) {
        self.consecutive_failures = 0;
        if now >= self.reset_ejections_at {
            self.ejections = 0;
        }
        let latency_us = as_micros(latency);
        self.mean_us = match self.replies {
            0 => latency_us,
            _ => (self.mean_us * (MEAN_DIVISOR - 1) + latency_us) / MEAN_DIVISOR,
        };
        self.replies = self.replies.saturating_add(1);
        if self.mean_us().is_some_and(|mean| mean > slow_threshold_us) {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let ejection_ms = BASE_EJECTION_MS.checked_shl(self.ejections).unwrap_or(MAX_EJECTION_MS);
        let until = now + Duration::from_millis(ejection_ms.min(MAX_EJECTION_MS));
        let ejections = (self.ejections + 1).min(u64::BITS - 1);
        let (state, last_reply_at) = (State::Ejected { until }, self.last_reply_at);
        *self = AgentHealth { state, ejections, last_reply_at, ..AgentHealth::default() };
    }
}

/// Returns the latency in microseconds above which agents are considered slow.
///
/// `means_us` are the mean latencies of the healthy agents. With fewer than three of them, the
/// median says nothing about outliers and no agent is considered slow.
///
/// ```
/// use dogwoodway_routing::outlier::slow_threshold_us;
///
/// assert_eq!(slow_threshold_us(vec![900, 1_000, 900_000]), 100_000);
/// assert_eq!(slow_threshold_us(vec![900, 900_000]), u64::MAX);
/// ```
pub fn slow_threshold_us(mut means_us: Vec<u64>) -> u64 {
    if means_us.len() < 3 {
        return u64::MAX;
    }
    let middle = (means_us.len() - 1) / 2;
    let (_, median, _) = means_us.select_nth_unstable(middle);
    median.saturating_mul(SLOW_FACTOR).max(MIN_SLOW_LATENCY_MS * 1_000)
}

fn as_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
