//! Decides whether a request gets another attempt, and after which delay.

use std::time::Duration;

use dogwoodway_types::{NotRunReason, Timestamp};

use crate::entry::dispatch::attempt::AttemptResult;

/// Maximum number of lost attempts of a request, and of refused attempts before the first loss.
const MAX_ATTEMPTS: u32 = 4;

/// Time in milliseconds after a loss in which an agent must be found that resumes the request.
const RESUME_TIMEOUT_MS: u64 = 3_000;

/// Maximum backoff in milliseconds before the second retry in a row; it doubles with each further
/// one.
const MAX_BASE_BACKOFF_MS: u64 = 50;

/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// The unsuccessful attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetryState {
    lost: u32,
    /// Refused attempts since the last loss.
    refused: u32,
    /// Attempts that were refused because the agent had accepted another suspect request, which
    /// was running or queued.
    waits: u32,
    /// End of the time to resume the request after its last loss, `None` before the first loss.
    resume_until: Option<Timestamp>,
}

impl RetryState {
    /// Records the result of an unsuccessful attempt; returns whether another one may follow.
    pub(super) fn record(&mut self, now: Timestamp, result: &AttemptResult) -> bool {
        match result {
            AttemptResult::Final(_) | AttemptResult::RetryDenied => false,
            AttemptResult::Lost(_) => {
                self.lost += 1;
                self.refused = 0;
                self.resume_until = Some(now + Duration::from_millis(RESUME_TIMEOUT_MS));
                self.lost < MAX_ATTEMPTS
            }
            AttemptResult::NotRun { reason: NotRunReason::Quarantined, .. } => {
                self.waits += 1;
                true
            }
            AttemptResult::NotRun { .. }
            | AttemptResult::NoServer
            | AttemptResult::ConfigBehind(_) => {
                self.refused += 1;
                match self.resume_until {
                    Some(until) => now < until,
                    None => {
                        !matches!(result, AttemptResult::NoServer) && self.refused < MAX_ATTEMPTS
                    }
                }
            }
        }
    }

    /// Returns whether the next attempt is a retry, which must be taken from the retry budget.
    ///
    /// Refusals because of another suspect request do not make it one.
    pub(super) fn is_retry(&self) -> bool {
        self.lost + self.refused > 0
    }

    /// Returns the random delay before the next attempt, zero before the first retry and
    /// before the first one after each loss.
    pub(super) fn backoff(&self) -> Duration {
        let consecutive = self.refused + self.waits + u32::from(self.lost > 0);
        match consecutive {
            0 | 1 => Duration::ZERO,
            n => {
                let base_ms = rand::random_range(MAX_BASE_BACKOFF_MS / 2..MAX_BASE_BACKOFF_MS);
                Duration::from_millis(base_ms << (n - 2).min(MAX_DOUBLINGS))
            }
        }
    }
}
