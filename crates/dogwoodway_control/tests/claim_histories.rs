//! Checks that no request runs twice when several agents claim the same keys on a faulty log.

mod claim_history;
mod claim_simulation;

use dogwoodway_control::{ClaimAttempt, ClaimDecision, ClaimRefusal, RecordedResponse};
use dogwoodway_types::{AttemptId, Timestamp};

use crate::{
    claim_history::{Event, Violation, check},
    claim_simulation::{Behavior, attempt, simulate},
};

const SEEDS: u64 = 3_000;

/// Seeds with which a request ran twice while the simulated log still dropped records within the
/// start limit, a case that the at-most-once guarantee excludes.
const REGRESSION_SEEDS: [u64; 1] = [14_551];

#[test]
fn no_request_runs_twice() {
    let (mut runs, mut replays, mut refusals) = (0, 0, 0);
    for seed in (0..SEEDS).chain(REGRESSION_SEEDS) {
        let events = simulate(seed, Behavior::Correct);
        assert_eq!(check(&events), Ok(()), "seed {seed}: {events:?}");
        for event in &events {
            match event {
                Event::Ran(..) => runs += 1,
                Event::Decided(_, ClaimDecision::Replay(_)) => replays += 1,
                Event::Decided(_, ClaimDecision::Refuse(_)) => refusals += 1,
                _ => {}
            }
        }
    }
    // Each outcome must be frequent, or the histories would cover too little.
    assert!(runs > SEEDS && replays > SEEDS && refusals > SEEDS, "{runs} {replays} {refusals}");
}

#[test]
fn checker_detects_runs_without_reading_the_claim_back() {
    let detected =
        (0..100).filter(|&seed| check(&simulate(seed, Behavior::RunWithoutReadBack)).is_err());
    assert!(detected.count() > 10);
}

#[test]
fn checker_detects_runs_after_the_start_limit() {
    let detected = (0..200).filter(|&seed| {
        matches!(check(&simulate(seed, Behavior::IgnoreStartLimit)), Err(Violation::RanLate))
    });
    assert!(detected.count() > 0);
}

#[test]
fn checker_reports_each_violation() {
    let (a, b) = (attempt(1, 0, 0), attempt(2, 0, 0));
    let response =
        RecordedResponse { status: 200, content_type: String::new(), body: "1".to_owned() };
    let other = RecordedResponse { body: "2".to_owned(), ..response.clone() };
    let decided = |x: ClaimAttempt, d| Event::Decided(x.attempt, d);
    let ran = |x: ClaimAttempt| Event::Ran(Timestamp(1), x.attempt, response.clone());
    let history =
        vec![Event::Arrived(a), decided(a, ClaimDecision::Run), ran(a), Event::Arrived(b)];
    let with = |more: &[Event]| [history.as_slice(), more].concat();
    let refuse = ClaimDecision::Refuse(ClaimRefusal::AlreadyStarted);
    assert_eq!(check(&with(&[decided(b, refuse.clone())])), Ok(()));
    assert_eq!(check(&with(&[decided(b, ClaimDecision::Replay(response.clone()))])), Ok(()));
    assert_eq!(check(&history), Err(Violation::NotDecided));
    let twice = [decided(b, ClaimDecision::Run), ran(b)];
    assert_eq!(check(&with(&twice)), Err(Violation::RanTwice));
    let forgotten = [&[Event::ClaimDropped(a.attempt)], twice.as_slice()].concat();
    assert_eq!(check(&with(&forgotten)), Err(Violation::RanTwice));
    let expired = [&[Event::ClaimDropped(a.attempt), Event::Claimed(b.attempt)], twice.as_slice()];
    assert_eq!(check(&with(&expired.concat())), Ok(()));
    assert_eq!(check(&with(&[decided(b, refuse), ran(b)])), Err(Violation::RanAfterRefusal));
    assert_eq!(check(&with(&[ran(b)])), Err(Violation::RanWithoutDecision));
    let wrong_response = with(&[decided(b, ClaimDecision::Replay(other))]);
    assert_eq!(check(&wrong_response), Err(Violation::WrongResponse));
    let decided_twice = with(&[decided(b, ClaimDecision::Run), decided(b, ClaimDecision::Run)]);
    assert_eq!(check(&decided_twice), Err(Violation::DecidedTwice));
    let late = [
        Event::Arrived(a),
        decided(a, ClaimDecision::Run),
        Event::Ran(Timestamp::MAX, AttemptId(1), response),
    ];
    assert_eq!(check(&late), Err(Violation::RanLate));
}
