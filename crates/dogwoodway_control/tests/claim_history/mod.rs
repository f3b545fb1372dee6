//! A checker for the at-most-once guarantee, given the decisions on attempts and the attempts
//! that ran.

use std::collections::{HashMap, HashSet};

use dogwoodway_control::{ClaimAttempt, ClaimDecision, RecordedResponse};
use dogwoodway_types::{AttemptId, ClaimKey, Timestamp};

/// One event of a history.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An attempt arrived at an agent.
    Arrived(ClaimAttempt),
    /// The claim of an attempt was appended to the log.
    Claimed(AttemptId),
    /// An agent decided on an attempt.
    Decided(AttemptId, ClaimDecision),
    /// An attempt was sent to the backend server.
    Ran(Timestamp, AttemptId, RecordedResponse),
    /// The log dropped the last copy of an attempt's claim.
    ClaimDropped(AttemptId),
    /// The agent crashed before it decided on an attempt.
    AgentLost(AttemptId),
}

/// A way in which a history breaks the guarantee or leaves an attempt without a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    RanTwice,
    RanAfterRefusal,
    RanLate,
    RanWithoutDecision,
    WrongResponse,
    DecidedTwice,
    NotDecided,
}

/// Returns the first violation in a complete history, whose events are in the order of occurrence.
pub(crate) fn check(events: &[Event]) -> Result<(), Violation> {
    let mut arrived: HashMap<AttemptId, ClaimAttempt> = HashMap::new();
    let mut claimed: HashMap<AttemptId, usize> = HashMap::new();
    let mut decided: HashMap<AttemptId, ClaimDecision> = HashMap::new();
    let mut lost = HashSet::new();
    let mut dropped: HashMap<AttemptId, usize> = HashMap::new();
    let mut runs: HashMap<ClaimKey, Vec<(ClaimAttempt, RecordedResponse)>> = HashMap::new();
    for (at, event) in events.iter().enumerate() {
        match event {
            Event::Arrived(attempt) => drop(arrived.insert(attempt.attempt, *attempt)),
            Event::Claimed(attempt) => drop(claimed.entry(*attempt).or_insert(at)),
            Event::AgentLost(attempt) => drop(lost.insert(*attempt)),
            Event::ClaimDropped(attempt) => drop(dropped.insert(*attempt, at)),
            Event::Decided(attempt, decision) => {
                if decided.insert(*attempt, decision.clone()).is_some() {
                    return Err(Violation::DecidedTwice);
                }
                let submitted = arrived[attempt];
                let ClaimDecision::Replay(response) = decision else { continue };
                let mut runs = runs.get(&submitted.request.key).into_iter().flatten();
                let is_recorded = runs.any(|(ran, recorded)| {
                    recorded == response && ran.request.fingerprint == submitted.request.fingerprint
                });
                if !is_recorded {
                    return Err(Violation::WrongResponse);
                }
            }
            Event::Ran(now, attempt, response) => {
                let submitted = arrived[attempt];
                match decided.get(attempt) {
                    Some(ClaimDecision::Run) => {}
                    Some(_) => return Err(Violation::RanAfterRefusal),
                    None => return Err(Violation::RanWithoutDecision),
                }
                if *now > submitted.start_before {
                    return Err(Violation::RanLate);
                }
                let runs = runs.entry(submitted.request.key).or_default();
                let claimed_at = claimed.get(attempt).copied().unwrap_or_default();
                // A request may run again only if the log dropped the earlier claim before the later
                // one was appended.
                let is_claim_kept = |(ran, _): &(ClaimAttempt, _)| {
                    dropped.get(&ran.attempt).is_none_or(|dropped_at| *dropped_at > claimed_at)
                };
                if runs.iter().any(is_claim_kept) {
                    return Err(Violation::RanTwice);
                }
                runs.push((submitted, response.clone()));
            }
        }
    }
    let is_undecided = |id: &&AttemptId| !decided.contains_key(id) && !lost.contains(*id);
    match arrived.keys().find(is_undecided) {
        Some(_) => Err(Violation::NotDecided),
        None => Ok(()),
    }
}
