//! A checker of what attempts at claimed requests were told and what ran.

use std::collections::{HashMap, HashSet};

use dogwoodway_control::{ClaimAttempt, ClaimDecision, RecordedResponse};
use dogwoodway_types::{AttemptId, ClaimKey, Timestamp};

/// One event of a history, in the order in which it happened.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An attempt reached an agent.
    Arrived(ClaimAttempt),
    /// The claim of an attempt came onto the log.
    Claimed(AttemptId),
    /// An agent decided on an attempt.
    Decided(AttemptId, ClaimDecision),
    /// An attempt was handed to the backend server.
    Ran(Timestamp, AttemptId, RecordedResponse),
    /// The log dropped the last copy of an attempt's claim.
    Forgotten(AttemptId),
    /// The agent of an attempt was lost.
    Lost(AttemptId),
}

/// What a history does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    RanTwice,
    RanAfterRefusal,
    RanLate,
    RanUntold,
    WrongAnswer,
    DecidedTwice,
    NotDecided,
}

/// Checks a complete history.
pub(crate) fn check(events: &[Event]) -> Result<(), Violation> {
    let mut arrived: HashMap<AttemptId, ClaimAttempt> = HashMap::new();
    let mut claimed: HashMap<AttemptId, usize> = HashMap::new();
    let mut decided: HashMap<AttemptId, ClaimDecision> = HashMap::new();
    let mut lost = HashSet::new();
    let mut forgotten: HashMap<AttemptId, usize> = HashMap::new();
    let mut runs: HashMap<ClaimKey, Vec<(ClaimAttempt, RecordedResponse)>> = HashMap::new();
    for (at, event) in events.iter().enumerate() {
        match event {
            Event::Arrived(attempt) => drop(arrived.insert(attempt.attempt, *attempt)),
            Event::Claimed(attempt) => drop(claimed.entry(*attempt).or_insert(at)),
            Event::Lost(attempt) => drop(lost.insert(*attempt)),
            Event::Forgotten(attempt) => drop(forgotten.insert(*attempt, at)),
            Event::Decided(attempt, decision) => {
                if decided.insert(*attempt, decision.clone()).is_some() {
                    return Err(Violation::DecidedTwice);
                }
                let asked = arrived[attempt];
                let ClaimDecision::Replay(answer) = decision else { continue };
                let mut runs = runs.get(&asked.request.key).into_iter().flatten();
                let is_right = runs.any(|(ran, given)| {
                    given == answer && ran.request.fingerprint == asked.request.fingerprint
                });
                if !is_right {
                    return Err(Violation::WrongAnswer);
                }
            }
            Event::Ran(now, attempt, answer) => {
                let asked = arrived[attempt];
                match decided.get(attempt) {
                    Some(ClaimDecision::Run) => {}
                    Some(_) => return Err(Violation::RanAfterRefusal),
                    None => return Err(Violation::RanUntold),
                }
                if *now > asked.start_before {
                    return Err(Violation::RanLate);
                }
                let runs = runs.entry(asked.request.key).or_default();
                let claimed_at = claimed.get(attempt).copied().unwrap_or_default();
                let is_remembered = |(ran, _): &(ClaimAttempt, _)| {
                    forgotten.get(&ran.attempt).is_none_or(|dropped_at| *dropped_at > claimed_at)
                };
                if runs.iter().any(is_remembered) {
                    return Err(Violation::RanTwice);
                }
                runs.push((asked, answer.clone()));
            }
        }
    }
    let is_open = |id: &&AttemptId| !decided.contains_key(id) && !lost.contains(*id);
    match arrived.keys().find(is_open) {
        Some(_) => Err(Violation::NotDecided),
        None => Ok(()),
    }
}
