//! Histories of several agents that claim the same keys on a log with faults.

mod claim_history;
mod claim_world;

use dogwoodway_control::{ClaimAttempt, ClaimDecision, ClaimRefusal, RecordedResponse};
use dogwoodway_types::{AttemptId, Timestamp};

use crate::{
    claim_history::{Event, Violation, check},
    claim_world::{Plan, attempt, run_world},
};

const SEEDS: u64 = 3_000;

/// Seeds that ran a request twice while the log of the worlds dropped records within the start
/// limit, which the promise excludes.
const REGRESSION_SEEDS: [u64; 1] = [14_551];

#[test]
fn no_seed_runs_a_request_twice() {
    let (mut runs, mut replays, mut refusals) = (0, 0, 0);
    for seed in (0..SEEDS).chain(REGRESSION_SEEDS) {
        let events = run_world(seed, Plan::Sound);
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
    // Each kind of end must be common, or the histories prove little.
    assert!(runs > SEEDS && replays > SEEDS && refusals > SEEDS, "{runs} {replays} {refusals}");
}

#[test]
fn run_without_reading_the_claim_back_is_caught() {
    let caught = (0..100).filter(|&seed| check(&run_world(seed, Plan::RunOnAppend)).is_err());
    assert!(caught.count() > 10);
}

#[test]
fn run_after_the_start_limit_is_caught() {
    let caught = (0..200).filter(|&seed| {
        matches!(check(&run_world(seed, Plan::IgnoreStartLimit)), Err(Violation::RanLate))
    });
    assert!(caught.count() > 0);
}

#[test]
fn checker_rejects_planted_violations() {
    let (a, b) = (attempt(1, 0, 0), attempt(2, 0, 0));
    let answer =
        RecordedResponse { status: 200, content_type: String::new(), body: "1".to_owned() };
    let other = RecordedResponse { body: "2".to_owned(), ..answer.clone() };
    let told = |x: ClaimAttempt, d| Event::Decided(x.attempt, d);
    let ran = |x: ClaimAttempt| Event::Ran(Timestamp(1), x.attempt, answer.clone());
    let good = vec![Event::Arrived(a), told(a, ClaimDecision::Run), ran(a), Event::Arrived(b)];
    let with = |more: &[Event]| [good.as_slice(), more].concat();
    let refuse = ClaimDecision::Refuse(ClaimRefusal::AlreadyStarted);
    assert_eq!(check(&with(&[told(b, refuse.clone())])), Ok(()));
    assert_eq!(check(&with(&[told(b, ClaimDecision::Replay(answer.clone()))])), Ok(()));
    assert_eq!(check(&good), Err(Violation::NotDecided));
    let twice = [told(b, ClaimDecision::Run), ran(b)];
    assert_eq!(check(&with(&twice)), Err(Violation::RanTwice));
    let forgotten = [&[Event::Forgotten(a.attempt)], twice.as_slice()].concat();
    assert_eq!(check(&with(&forgotten)), Err(Violation::RanTwice));
    let expired = [&[Event::Forgotten(a.attempt), Event::Claimed(b.attempt)], twice.as_slice()];
    assert_eq!(check(&with(&expired.concat())), Ok(()));
    assert_eq!(check(&with(&[told(b, refuse), ran(b)])), Err(Violation::RanAfterRefusal));
    assert_eq!(check(&with(&[ran(b)])), Err(Violation::RanUntold));
    let wrong = with(&[told(b, ClaimDecision::Replay(other))]);
    assert_eq!(check(&wrong), Err(Violation::WrongAnswer));
    let again = with(&[told(b, ClaimDecision::Run), told(b, ClaimDecision::Run)]);
    assert_eq!(check(&again), Err(Violation::DecidedTwice));
    let late = [
        Event::Arrived(a),
        told(a, ClaimDecision::Run),
        Event::Ran(Timestamp::MAX, AttemptId(1), answer),
    ];
    assert_eq!(check(&late), Err(Violation::RanLate));
}
