//! Passive outlier detection for one agent: ejects it after repeated failures or when it is much
//! slower than the others, and takes it back after one successful trial.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Failures in a row after which an agent is ejected.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Length of the first ejection; each further one is twice as long.
pub const BASE_EJECTION_MS: u64 = 1_000;

/// Longest ejection.
pub const MAX_EJECTION_MS: u64 = 30_000;

/// Time without a failure after which earlier ejections no longer lengthen the next.
pub const EJECTION_RESET_MS: u64 = 60_000;

/// Latency below which an agent is never slow.
pub const MIN_SLOW_LATENCY_MS: u64 = 100;

/// An agent is slow if its mean latency is this many times the median of all agents.
pub const SLOW_FACTOR: u64 = 5;

/// Replies that are needed before an agent can be slow.
pub const MIN_REPLIES_FOR_SLOW: u32 = 5;

/// Weight of the newest latency in the moving mean, as a divisor.
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
    /// The caller stopped waiting.
    Abandoned {
        /// Time for which it waited.
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
    /// Notes the result of a call; `slow_threshold_us` is the latency above which agents are slow.
    ///
    /// While the agent is ejected, results only update the time of its last reply: a trial alone
    /// brings it back.
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

    /// Begins the trial if one is due; returns whether it was.
    pub fn begin_trial(&mut self, now: Timestamp) -> bool {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::Trial;
                true
            }
            _ => false,
        }
    }

    /// Notes the result of the trial; has no effect unless one has begun.
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

    /// Tells whether the agent is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    /// Returns when the trial of an ejected agent is due; `None` if it is healthy or on trial.
    pub fn trial_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Ejected { until } => Some(until),
            State::Healthy | State::Trial => None,
        }
    }

    /// Returns when the agent replied last.
    pub fn last_reply_at(&self) -> Timestamp {
        self.last_reply_at
    }

    /// Returns the mean latency of a healthy agent, once it is known well enough.
    pub fn mean_us(&self) -> Option<u64> {
        let known = self.state == State::Healthy && self.replies >= MIN_REPLIES_FOR_SLOW;
        known.then_some(self.mean_us)
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

/// Returns the latency in microseconds above which agents are slow, given the mean latencies of the
/// healthy ones; with fewer than three of them, none is slow.
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
