//! Decides whether and when a request has another attempt.

use std::time::Duration;

use dogwoodway_types::{NotRunReason, Timestamp};

use crate::entry::dispatch::attempt::AttemptEnd;

/// Attempts that one request may lose, or have refused before it has begun.
const MAX_ATTEMPTS: u32 = 4;

/// Time after a loss in which a server must be found that goes on with the answer.
const RESUME_TIMEOUT_MS: u64 = 3_000;

/// Longest pause before the second retry in a row; that of each further one is twice as long.
const RETRY_PAUSE_MS: u64 = 50;

/// Doublings after which the pause grows no more.
const MAX_DOUBLINGS: u32 = 3;

/// The unsuccessful attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retries {
    lost: u32,
    refused: u32,
    /// Times that the request waited for another suspect to leave an engine.
    waited: u32,
    /// Set while a begun answer waits for a server that goes on with it.
    resume_until: Option<Timestamp>,
}

impl Retries {
    /// Notes the end of an unsuccessful attempt; returns whether there may be another one.
    pub(super) fn note(&mut self, now: Timestamp, end: &AttemptEnd) -> bool {
        match end {
            AttemptEnd::Done(_) | AttemptEnd::NoBudget => false,
            AttemptEnd::Lost(_) => {
                self.lost += 1;
                self.refused = 0;
                self.resume_until = Some(now + Duration::from_millis(RESUME_TIMEOUT_MS));
                self.lost < MAX_ATTEMPTS
            }
            AttemptEnd::NotRun { reason: NotRunReason::Quarantined, .. } => {
                self.waited += 1;
                true
            }
            AttemptEnd::NotRun { .. } | AttemptEnd::NoServer | AttemptEnd::Behind(_) => {
                self.refused += 1;
                match self.resume_until {
                    Some(until) => now < until,
                    None => !matches!(end, AttemptEnd::NoServer) && self.refused < MAX_ATTEMPTS,
                }
            }
        }
    }

    /// Tells whether the next attempt is a retry.
    pub(super) fn is_retry(&self) -> bool {
        self.lost + self.refused > 0
    }

    /// Draws the pause before the next attempt: none before the first retry after a loss.
    pub(super) fn pause(&self) -> Duration {
        let in_a_row = self.refused + self.waited + u32::from(self.lost > 0);
        match in_a_row {
            0 | 1 => Duration::ZERO,
            n => {
                let base_ms = rand::random_range(RETRY_PAUSE_MS / 2..RETRY_PAUSE_MS);
                Duration::from_millis(base_ms << (n - 2).min(MAX_DOUBLINGS))
            }
        }
    }
}
