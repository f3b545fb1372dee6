//! What to do after an attempt at a request.
//!
//! Three rules hold for callers: a request that may have run is never reported as "not run"; a
//! request that must not be repeated is never sent again after it may have run; and a request that
//! is given up gets its final answer at once.

use dogwoodway_types::NotRunReason;

use crate::direct::table::RouteKind;

/// Maximum number of attempts at a request, including refused ones; a route with a higher
/// `max_attempts` raises it. Each attempt costs part of the retry budget, and after three refusals
/// it is better to tell the caller when to retry.
pub const MAX_SERVERS_TRIED: u32 = 3;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered {
        /// Whether the answer is an error of the server, so that another server may succeed.
        is_error: bool,
    },
    /// The server reported that it did not run the request.
    NotExecuted,
    /// No connection could be made.
    Unreachable,
    /// The request was sent, and its answer was lost or invalid.
    Lost,
}

/// Counts of the attempts at one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts in total, including those that were refused.
    pub total: u32,
    /// Attempts in which the request may have run.
    pub may_have_run: u32,
}

impl AttemptCounts {
    /// Counts an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        self.total += 1;
        match outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Lost => self.may_have_run += 1,
            AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable => {}
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Deliver the answer to the caller.
    Deliver,
    /// Try another server, if the retry budget allows it.
    Retry,
    /// Tell the caller that the request did not run.
    Refuse(NotRunReason),
    /// Tell the caller that the request may have run.
    Fail,
}

/// Decides what to do after an attempt, which `attempts` already includes.
///
/// ```
/// use dogwoodway_routing::direct::{retry::{AttemptCounts, AttemptOutcome, NextStep, next_step}, table::RouteKind};
///
/// let mut attempts = AttemptCounts::default();
/// attempts.record(AttemptOutcome::Lost);
/// assert_eq!(next_step(RouteKind::AtMostOnce, 2, attempts, AttemptOutcome::Lost), NextStep::Fail);
/// assert_eq!(next_step(RouteKind::Idempotent, 2, attempts, AttemptOutcome::Lost), NextStep::Retry);
/// ```
pub fn next_step(
    kind: RouteKind,
    max_attempts: u32,
    attempts: AttemptCounts,
    outcome: AttemptOutcome,
) -> NextStep {
    let may_run_again = attempts.may_have_run == 0
        || (kind.is_repeatable() && attempts.may_have_run < max_attempts);
    let may_retry = may_run_again && attempts.total < MAX_SERVERS_TRIED.max(max_attempts);
    match outcome {
        AttemptOutcome::Answered { is_error: true }
            if may_retry && kind == RouteKind::Idempotent =>
        {
            NextStep::Retry
        }
        AttemptOutcome::Answered { .. } => NextStep::Deliver,
        AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable | AttemptOutcome::Lost
            if may_retry =>
        {
            NextStep::Retry
        }
        _ if attempts.may_have_run > 0 => NextStep::Fail,
        _ => NextStep::Refuse(NotRunReason::Overloaded),
    }
}
