//! The decision after an attempt, for every kind of route.

use dogwoodway_routing::direct::{
    retry::{AttemptCounts, AttemptOutcome, MAX_SERVERS_TRIED, NextStep, next_step},
    table::RouteKind,
};

const KINDS: [RouteKind; 4] =
    [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream, RouteKind::ResumableStream];

const OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Answered { is_error: false },
    AttemptOutcome::Answered { is_error: true },
    AttemptOutcome::NotExecuted,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Lost,
];

/// Tries all sequences of outcomes up to a length, and checks what callers are told.
fn check_outcomes(kind: RouteKind, max_attempts: u32, attempts: AttemptCounts, depth: u32) {
    for outcome in OUTCOMES {
        let mut attempts = attempts;
        attempts.record(outcome);
        let step = next_step(kind, max_attempts, attempts, outcome);
        match step {
            NextStep::Refuse(_) => assert_eq!(attempts.may_have_run, 0, "{kind:?} {outcome:?}"),
            NextStep::Fail => assert!(attempts.may_have_run > 0, "{kind:?} {outcome:?}"),
            NextStep::Deliver => assert!(matches!(outcome, AttemptOutcome::Answered { .. })),
            NextStep::Retry => {
                assert!(attempts.may_have_run == 0 || kind.is_repeatable(), "{kind:?} {outcome:?}");
                assert!(attempts.may_have_run < max_attempts.max(1));
                assert!(attempts.total < MAX_SERVERS_TRIED.max(max_attempts));
                assert!(depth > 0, "the attempts are not bounded");
                check_outcomes(kind, max_attempts, attempts, depth - 1);
            }
        }
    }
}

#[test]
fn refusals_are_truthful_and_attempts_are_bounded() {
    for kind in KINDS {
        for max_attempts in 1..=4 {
            check_outcomes(kind, max_attempts, AttemptCounts::default(), 6);
        }
    }
}
