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
pub const MAX_OFFERS: u32 = 3;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
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

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Servers that it was offered to.
    pub offered: u32,
    /// Servers that may have run it.
    pub may_have_run: u32,
}

impl Attempts {
    /// Counts an attempt.
    pub fn note(&mut self, end: AttemptEnd) {
        self.offered += 1;
        match end {
            AttemptEnd::Answered { .. } | AttemptEnd::Lost => self.may_have_run += 1,
            AttemptEnd::NotExecuted | AttemptEnd::Unreachable => {}
        }
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer goes to the caller.
    Deliver,
    /// Another server is tried, if the retry budget allows.
    TryAgain,
    /// The caller is told that the request did not run.
    Refuse(NotRunReason),
    /// The caller is told that the request may have run.
    Fail,
}

/// Decides what follows an attempt; `attempts` counts it already.
///
/// ```
/// use dogwoodway_routing::direct::{retry::{AttemptEnd, Attempts, Step, next_step}, table::RouteKind};
///
/// let mut attempts = Attempts::default();
/// attempts.note(AttemptEnd::Lost);
/// assert_eq!(next_step(RouteKind::AtMostOnce, 2, attempts, AttemptEnd::Lost), Step::Fail);
/// assert_eq!(next_step(RouteKind::Idempotent, 2, attempts, AttemptEnd::Lost), Step::TryAgain);
/// ```
pub fn next_step(kind: RouteKind, max_attempts: u32, attempts: Attempts, end: AttemptEnd) -> Step {
    let may_run_again = attempts.may_have_run == 0
        || (kind.is_repeatable() && attempts.may_have_run < max_attempts);
    let may_try = may_run_again && attempts.offered < MAX_OFFERS.max(max_attempts);
    match end {
        AttemptEnd::Answered { is_error: true } if may_try && kind == RouteKind::Idempotent => {
            Step::TryAgain
        }
        AttemptEnd::Answered { .. } => Step::Deliver,
        AttemptEnd::NotExecuted | AttemptEnd::Unreachable | AttemptEnd::Lost if may_try => {
            Step::TryAgain
        }
        _ if attempts.may_have_run > 0 => Step::Fail,
        _ => Step::Refuse(NotRunReason::Overloaded),
    }
}
