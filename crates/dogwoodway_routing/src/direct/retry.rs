//! What follows an attempt that brought no answer to deliver.
//!
//! The rule for callers: a request that may have run is never called "not run", a request that may
//! not be repeated is never sent again after it may have run, and what is given up gets its final
//! answer at once.

use dogwoodway_types::NotRunReason;

use crate::direct::table::RouteKind;

/// Backend servers that a request is offered to at most, counting those that refuse it. Each one
/// costs part of the retry budget, and a request that three servers refused is better told when to
/// come back.
pub const MAX_SERVERS_TRIED: u32 = 3;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered; `is_error` tells that it failed on its side.
    Answered {
        /// Whether the answer is a failure that another server may not repeat.
        is_error: bool,
    },
    /// The server said that it did not run the request.
    NotExecuted,
    /// No connection could be made.
    Unreachable,
    /// The request was sent, and its answer is lost or is none.
    Lost,
}

/// AttemptCounts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Servers that it was offered to.
    pub total: u32,
    /// Servers that may have run it.
    pub may_have_run: u32,
}

impl AttemptCounts {
    /// Counts an attempt.
    pub fn record(&mut self, end: AttemptOutcome) {
        self.total += 1;
        match end {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Lost => self.may_have_run += 1,
            AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable => {}
        }
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer goes to the caller.
    Deliver,
    /// Another server is tried, if the retry budget allows.
    Retry,
    /// The caller is told that the request did not run.
    Refuse(NotRunReason),
    /// The caller is told that the request may have run.
    Fail,
}

/// Decides what follows an attempt; `attempts` counts it already.
///
/// ```
/// use dogwoodway_routing::direct::{retry::{AttemptOutcome, AttemptCounts, NextStep, next_step}, table::RouteKind};
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
    end: AttemptOutcome,
) -> NextStep {
    let may_run_again = attempts.may_have_run == 0
        || (kind.is_repeatable() && attempts.may_have_run < max_attempts);
    let may_try = may_run_again && attempts.total < MAX_SERVERS_TRIED.max(max_attempts);
    match end {
        AttemptOutcome::Answered { is_error: true } if may_try && kind == RouteKind::Idempotent => {
            NextStep::Retry
        }
        AttemptOutcome::Answered { .. } => NextStep::Deliver,
        AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable | AttemptOutcome::Lost
            if may_try =>
        {
            NextStep::Retry
        }
        _ if attempts.may_have_run > 0 => NextStep::Fail,
        _ => NextStep::Refuse(NotRunReason::Overloaded),
    }
}
