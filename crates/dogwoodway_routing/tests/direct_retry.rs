//! What follows an attempt, for every kind of route.

use dogwoodway_routing::direct::{
    retry::{AttemptCounts, AttemptOutcome, MAX_SERVERS_TRIED, NextStep, next_step},
    table::RouteKind,
};

const KINDS: [RouteKind; 4] =
    [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream, RouteKind::ResumableStream];

const ENDS: [AttemptOutcome; 5] = [
    AttemptOutcome::Answered { is_error: false },
    AttemptOutcome::Answered { is_error: true },
    AttemptOutcome::NotExecuted,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Lost,
];

/// Plays all sequences of ends up to a length, and checks what callers are told.
fn check(kind: RouteKind, max_attempts: u32, attempts: AttemptCounts, depth: u32) {
    for end in ENDS {
        let mut attempts = attempts;
        attempts.record(end);
        let step = next_step(kind, max_attempts, attempts, end);
        match step {
            NextStep::Refuse(_) => assert_eq!(attempts.may_have_run, 0, "{kind:?} {end:?}"),
            NextStep::Fail => assert!(attempts.may_have_run > 0, "{kind:?} {end:?}"),
            NextStep::Deliver => assert!(matches!(end, AttemptOutcome::Answered { .. })),
            NextStep::Retry => {
                assert!(attempts.may_have_run == 0 || kind.is_repeatable(), "{kind:?} {end:?}");
                assert!(attempts.may_have_run < max_attempts.max(1));
                assert!(attempts.total < MAX_SERVERS_TRIED.max(max_attempts));
                assert!(depth > 0, "no end of attempts");
                check(kind, max_attempts, attempts, depth - 1);
            }
        }
    }
}

#[test]
fn refusals_are_true_and_attempts_are_bounded() {
    for kind in KINDS {
        for max_attempts in 1..=4 {
            check(kind, max_attempts, AttemptCounts::default(), 6);
        }
    }
}
