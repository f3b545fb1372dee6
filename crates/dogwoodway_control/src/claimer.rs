//! The protocol by which one agent claims idempotency keys in one claim partition of the log: which
//! records to append, when to read and how to decide on attempts.
//!
//! An attempt runs only if its claim was read back as the first of its key, no later than the
//! attempt's `start_before`. When the response to an append is lost, the claimer reads the log and
//! repeats the append until it has read the claim. The claim of an abandoned attempt is released,
//! so that it never holds the key.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use dogwoodway_types::{AgentIncarnation, AttemptId, ClaimKey, Timestamp};

use crate::{
    claim::{
        Claim, ClaimCompletion, ClaimReadResponse, ClaimRecord, ClaimRelease, ClaimTable, KeyState,
        RecordedResponse,
    },
    claim_message::{
        AppendOutcome, AttemptOutcome, ClaimAttempt, ClaimDecision, ClaimRefusal, LogCall,
    },
};

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 200;

/// Minimum time between the starts of two appends, and the delay before the next read if a complete
/// read did not return an appended claim.
const APPEND_INTERVAL: Duration = Duration::from_millis(40);

/// Delay before the next call after a failed call to the log; new attempts are refused meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after a complete read for which a key that is free in the table is claimed without another
/// read.
const READ_FRESHNESS: Duration = Duration::from_secs(10);

/// Maximum size of a recorded response body, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 4_096;

/// Progress of an attempt towards its decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a read that shows whether the key is free.
    AwaitingRead,
    /// Another attempt holds the key; waits for a read that shows whether it has completed.
    AwaitingHolder,
    /// Its claim is queued or was appended.
    Claiming {
        /// Whether the claim was part of an append, which may have put it on the log.
        maybe_logged: bool,
    },
    Running,
}

/// The attempt of this agent that claims or holds a key.
#[derive(Clone, Debug)]
struct ActiveAttempt {
    attempt: ClaimAttempt,
    phase: Phase,
    /// Later attempts at the same request, which share its outcome.
    waiters: Vec<ClaimAttempt>,
}

/// The state of one agent in one claim partition.
///
/// The caller makes the calls that [`Claimer::next_call`] returns, reports their results, and
/// collects the decisions from [`Claimer::take_decisions`].
#[derive(Clone, Debug)]
pub struct Claimer {
    agent: AgentIncarnation,
    table: ClaimTable,
    active: HashMap<ClaimKey, ActiveAttempt>,
    /// Attempts whose release has not been read back; a key held by one of them counts as free.
    releasing: HashSet<AttemptId>,
    /// Records to be appended.
    queue: VecDeque<ClaimRecord>,
    /// Records of the append in flight; empty during a read.
    in_flight: Option<Vec<ClaimRecord>>,
    read_needed: bool,
    /// Whether the offsets of the log went back, so that claims may be lost. From then on, attempts
    /// are refused unless their key is known to be completed.
    log_regressed: bool,
    /// Time until which a free key is claimed without another read.
    fresh_until: Timestamp,
    /// Earliest time of the next append.
    next_append_at: Timestamp,
    /// Earliest time of the next call of any kind.
    next_call_at: Timestamp,
    /// Time until which the log counts as unavailable after a failed call.
    unavailable_until: Timestamp,
    decisions: Vec<(AttemptId, ClaimDecision)>,
}

impl Claimer {
    /// Creates the state of an agent that has not read the partition yet.
    ///
    /// ```
    /// use dogwoodway_control::Claimer;
    /// use dogwoodway_types::{AgentIncarnation, Timestamp};
    ///
    /// let mut claimer = Claimer::new(AgentIncarnation(1));
    /// assert_eq!(claimer.next_call(Timestamp(0)), None);
    /// ```
    pub fn new(agent: AgentIncarnation) -> Claimer {
        Claimer {
            agent,
            table: ClaimTable::default(),
            active: HashMap::new(),
            releasing: HashSet::new(),
            queue: VecDeque::new(),
            in_flight: None,
            read_needed: false,
            log_regressed: false,
            fresh_until: Timestamp(0),
            next_append_at: Timestamp(0),
            next_call_at: Timestamp(0),
            unavailable_until: Timestamp(0),
            decisions: Vec::new(),
        }
    }

    /// Adds an attempt; [`Claimer::take_decisions`] returns its decision when it is made.
    pub fn claim(&mut self, now: Timestamp, attempt: ClaimAttempt) {
        let key = attempt.request.key;
        if let Some(active) = self.active.get_mut(&key) {
            match active.attempt.request.fingerprint == attempt.request.fingerprint {
                true => active.waiters.push(attempt),
                false => self.refuse(attempt.attempt, ClaimRefusal::KeyReused),
            }
            return;
        }
        if let KeyState::Completed(claim, response) = self.table.state(key) {
            let decision = decide_completed(&claim, response, &attempt);
            self.decisions.push((attempt.attempt, decision));
            return;
        }
        if self.log_regressed || now < self.unavailable_until {
            self.refuse(attempt.attempt, self.refusal_without_log(key));
            return;
        }
        if now > attempt.start_before {
            self.refuse(attempt.attempt, ClaimRefusal::TooLate);
            return;
        }
        self.active.insert(
            key,
            ActiveAttempt { attempt, phase: Phase::AwaitingRead, waiters: Vec::new() },
        );
        if now < self.fresh_until {
            self.resolve_unclaimed(key, false);
        }
    }

    /// Reports the outcome of a running attempt.
    pub fn finish(&mut self, now: Timestamp, key: ClaimKey, outcome: AttemptOutcome) {
        let Some(active) = self.active.remove(&key) else { return };
        let attempt = active.attempt.attempt;
        match outcome {
            AttemptOutcome::Completed(response) => {
                let recorded = response.clone().filter(|r| r.body.len() <= MAX_RECORDED_BODY_BYTES);
                let completion = ClaimCompletion { key, attempt, response: recorded };
                self.table.complete(&completion);
                self.queue.push_back(ClaimRecord::Done(completion));
                for waiter in active.waiters {
                    let decision = match response.clone() {
                        Some(response) => ClaimDecision::Replay(response),
                        None => ClaimDecision::Refuse(ClaimRefusal::ResponseNotRecorded),
                    };
                    self.decisions.push((waiter.attempt, decision));
                }
            }
            AttemptOutcome::NotRun => {
                self.release(key, attempt);
                active.waiters.into_iter().for_each(|waiter| self.claim(now, waiter));
            }
            AttemptOutcome::Unknown => {
                for waiter in active.waiters {
                    self.refuse(waiter.attempt, ClaimRefusal::AlreadyStarted);
                }
            }
        }
    }

    /// Returns the next call to the log, if one is due and none is in flight.
    pub fn next_call(&mut self, now: Timestamp) -> Option<LogCall> {
        if self.in_flight.is_some() || now < self.next_call_at {
            return None;
        }
        if self.read_needed || self.active.values().any(|active| active.awaits_read()) {
            self.in_flight = Some(Vec::new());
            return Some(LogCall::Read(self.table.next_offset()));
        }
        if self.queue.is_empty() || now < self.next_append_at {
            return None;
        }
        let batch: Vec<_> = self.queue.drain(..self.queue.len().min(MAX_BATCH_RECORDS)).collect();
        for record in &batch {
            if let ClaimRecord::Claim(claim) = record
                && let Some(active) = self.active.get_mut(&claim.key)
                && active.attempt.attempt == claim.attempt
            {
                active.phase = Phase::Claiming { maybe_logged: true };
            }
        }
        self.next_append_at = now + APPEND_INTERVAL;
        self.in_flight = Some(batch.clone());
        Some(LogCall::Append(batch))
    }

    /// Reports the outcome of the append in flight.
    pub fn append_finished(&mut self, now: Timestamp, outcome: AppendOutcome) {
        let sent = self.in_flight.take().unwrap_or_default();
        match outcome {
            AppendOutcome::Appended(first) if first < self.table.next_offset() => {
                self.handle_log_regression();
            }
            AppendOutcome::Appended(_) => {
                self.read_needed |= sent.iter().any(|r| matches!(r, ClaimRecord::Claim(_)));
            }
            AppendOutcome::Unknown => {
                self.requeue(sent);
                self.read_needed = true;
            }
            AppendOutcome::NotAppended => {
                self.requeue(sent);
                self.back_off(now);
                self.abandon_where(|phase| matches!(phase, Phase::Claiming { .. }));
            }
        }
    }

    /// Reports that the read in flight failed.
    pub fn read_failed(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.back_off(now);
        self.abandon_where(|phase| matches!(phase, Phase::AwaitingRead | Phase::AwaitingHolder));
    }

    /// Applies the result of the read in flight and decides on the attempts that waited for it.
    pub fn read_finished(&mut self, now: Timestamp, response: &ClaimReadResponse) {
        self.in_flight = None;
        if response.next < self.table.next_offset() || self.log_regressed {
            self.handle_log_regression();
            return;
        }
        if response.oldest > self.table.next_offset() {
            self.abandon_where(|phase| matches!(phase, Phase::Claiming { .. }));
        }
        self.table.observe_log_start(response.oldest);
        for (offset, record) in &response.records {
            self.table.apply(now, *offset, record);
            if let ClaimRecord::Release(release) = record {
                self.releasing.remove(&release.attempt);
            }
        }
        let is_complete = self.table.next_offset() >= response.next;
        let claiming = self.keys_where(ActiveAttempt::awaits_claim);
        claiming.into_iter().for_each(|key| self.resolve_claim(now, key, is_complete));
        if !is_complete {
            self.read_needed = true;
            return;
        }
        self.read_needed =
            self.queue.is_empty() && self.active.values().any(ActiveAttempt::awaits_claim);
        if self.read_needed {
            self.next_call_at = now + APPEND_INTERVAL;
        }
        self.fresh_until = now + READ_FRESHNESS;
        let waiting = self.keys_where(ActiveAttempt::awaits_read);
        waiting.into_iter().for_each(|key| self.resolve_unclaimed(key, true));
    }

    /// Abandons attempts that have not started by their `start_before`, and refuses waiters whose
    /// deadline has passed.
    pub fn expire(&mut self, now: Timestamp) {
        let expired = self.keys_where(|active| {
            active.phase != Phase::Running && now > active.attempt.start_before
        });
        expired.into_iter().for_each(|key| self.abandon(key));
        for active in self.active.values_mut() {
            active.waiters.retain(|waiter| {
                if now > waiter.deadline {
                    let refused = ClaimDecision::Refuse(ClaimRefusal::AlreadyStarted);
                    self.decisions.push((waiter.attempt, refused));
                }
                now <= waiter.deadline
            });
        }
    }

    /// Evicts keys whose claims the log has dropped and whose retention time has passed.
    pub fn evict_expired(&mut self, now: Timestamp) {
        self.table.evict_expired(now);
    }

    /// Removes and returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<(AttemptId, ClaimDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether nothing is left to append, no call is in flight and no attempt is active.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.active.is_empty() && self.in_flight.is_none()
    }

    /// Returns the number of keys that the agent keeps.
    pub fn key_count(&self) -> usize {
        self.table.len()
    }

    /// Decides on an attempt whose claim was read back. A claim that does not hold the key is
    /// released once the log was read to its end.
    fn resolve_claim(&mut self, now: Timestamp, key: ClaimKey, is_complete: bool) {
        let Some(active) = self.active.get_mut(&key) else { return };
        let attempt = active.attempt;
        if !self.table.has_claim(key, attempt.attempt) {
            return;
        }
        match self.table.state(key) {
            KeyState::Held(holder) if holder.attempt == attempt.attempt => {
                if now > attempt.start_before {
                    self.abandon(key);
                    return;
                }
                active.phase = Phase::Running;
                self.decisions.push((attempt.attempt, ClaimDecision::Run));
                self.remove_queued_claim(attempt.attempt);
            }
            KeyState::Free | KeyState::Held(_) | KeyState::Completed(..) if is_complete => {
                self.remove_queued_claim(attempt.attempt);
                self.release(key, attempt.attempt);
                self.resolve_held_by_other(key);
            }
            KeyState::Free | KeyState::Held(_) | KeyState::Completed(..) => {}
        }
    }

    /// Decides on an attempt by the state of its key, or queues its claim if the key is free.
    ///
    /// `is_current` tells whether the log was just read to its end.
    fn resolve_unclaimed(&mut self, key: ClaimKey, is_current: bool) {
        let Some(active) = self.active.get_mut(&key) else { return };
        let attempt = active.attempt;
        match self.table.state(key) {
            KeyState::Held(claim) if !self.releasing.contains(&claim.attempt) => match is_current {
                true => self.resolve_held_by_other(key),
                false => active.phase = Phase::AwaitingHolder,
            },
            KeyState::Free | KeyState::Held(_) => {
                active.phase = Phase::Claiming { maybe_logged: false };
                let claim = Claim::new(attempt.request, attempt.attempt, self.agent);
                self.queue.push_back(ClaimRecord::Claim(claim));
            }
            KeyState::Completed(..) => self.resolve_held_by_other(key),
        }
    }

    /// Refuses or replays an attempt, and its waiters, whose key another attempt holds.
    fn resolve_held_by_other(&mut self, key: ClaimKey) {
        let state = self.table.state(key);
        let Some(active) = self.active.remove(&key) else { return };
        for attempt in active.waiters.iter().chain([&active.attempt]) {
            let decision = match &state {
                KeyState::Completed(claim, response) => {
                    decide_completed(claim, response.clone(), attempt)
                }
                KeyState::Held(claim) if claim.fingerprint != attempt.request.fingerprint => {
                    ClaimDecision::Refuse(ClaimRefusal::KeyReused)
                }
                KeyState::Held(_) | KeyState::Free => {
                    ClaimDecision::Refuse(ClaimRefusal::AlreadyStarted)
                }
            };
            self.decisions.push((attempt.attempt, decision));
        }
    }

    fn keys_where<F>(&self, predicate: F) -> Vec<ClaimKey>
    where
        F: Fn(&ActiveAttempt) -> bool,
    {
        let matching = self.active.iter().filter(|(_, active)| predicate(active));
        matching.map(|(key, _)| *key).collect()
    }

    /// Abandons all attempts that do not run yet, after the offsets of the log went back.
    fn handle_log_regression(&mut self) {
        self.log_regressed = true;
        self.read_needed = false;
        self.abandon_where(|phase| phase != Phase::Running);
        self.queue.clear();
    }

    fn abandon_where<F>(&mut self, predicate: F)
    where
        F: Fn(Phase) -> bool,
    {
        let abandoned = self.keys_where(|active| predicate(active.phase));
        abandoned.into_iter().for_each(|key| self.abandon(key));
    }

    /// Abandons an attempt that does not run yet, and releases its claim if it may be on the log.
    fn abandon(&mut self, key: ClaimKey) {
        let Some(active) = self.active.get(&key) else { return };
        let id = active.attempt.attempt;
        match active.phase {
            Phase::Running => {}
            Phase::AwaitingHolder => self.refuse_active(key, ClaimRefusal::AlreadyStarted),
            Phase::AwaitingRead => self.refuse_active(key, self.refusal_without_log(key)),
            Phase::Claiming { maybe_logged } => {
                self.remove_queued_claim(id);
                if maybe_logged {
                    self.release(key, id);
                }
                self.refuse_active(key, ClaimRefusal::LogUnavailable);
            }
        }
    }

    fn release(&mut self, key: ClaimKey, attempt: AttemptId) {
        self.releasing.insert(attempt);
        self.queue.push_back(ClaimRecord::Release(ClaimRelease { key, attempt }));
    }

    /// Refuses the active attempt of a key and its waiters.
    fn refuse_active(&mut self, key: ClaimKey, refusal: ClaimRefusal) {
        let Some(active) = self.active.remove(&key) else { return };
        for attempt in active.waiters.iter().chain([&active.attempt]) {
            self.refuse(attempt.attempt, refusal);
        }
    }

    fn refuse(&mut self, attempt: AttemptId, refusal: ClaimRefusal) {
        self.decisions.push((attempt, ClaimDecision::Refuse(refusal)));
    }

    /// Returns the reason for refusing an attempt whose key cannot be looked up on the log.
    fn refusal_without_log(&self, key: ClaimKey) -> ClaimRefusal {
        match self.table.state(key) {
            KeyState::Held(claim) if !self.releasing.contains(&claim.attempt) => {
                ClaimRefusal::AlreadyStarted
            }
            _ => ClaimRefusal::LogUnavailable,
        }
    }

    /// Delays further calls after a failed one.
    fn back_off(&mut self, now: Timestamp) {
        self.next_call_at = now + RETRY_DELAY;
        self.unavailable_until = self.next_call_at;
    }

    /// Puts records that may not be on the log back to the front of the queue, except claims of
    /// attempts that are no longer active.
    fn requeue(&mut self, sent: Vec<ClaimRecord>) {
        for record in sent.into_iter().rev() {
            let is_needed = match &record {
                ClaimRecord::Claim(claim) => {
                    let active = self.active.get(&claim.key);
                    active.is_some_and(|active| active.attempt.attempt == claim.attempt)
                }
                ClaimRecord::Done(_) | ClaimRecord::Release(_) => true,
            };
            if is_needed {
                self.queue.push_front(record);
            }
        }
    }

    fn remove_queued_claim(&mut self, attempt: AttemptId) {
        self.queue.retain(|r| !matches!(r, ClaimRecord::Claim(c) if c.attempt == attempt));
    }
}

impl ActiveAttempt {
    fn awaits_read(&self) -> bool {
        matches!(self.phase, Phase::AwaitingRead | Phase::AwaitingHolder)
    }

    fn awaits_claim(&self) -> bool {
        matches!(self.phase, Phase::Claiming { maybe_logged: true })
    }
}

fn decide_completed(
    claim: &Claim,
    response: Option<RecordedResponse>,
    attempt: &ClaimAttempt,
) -> ClaimDecision {
    match response {
        _ if claim.fingerprint != attempt.request.fingerprint => {
            ClaimDecision::Refuse(ClaimRefusal::KeyReused)
        }
        Some(response) => ClaimDecision::Replay(response),
        None => ClaimDecision::Refuse(ClaimRefusal::ResponseNotRecorded),
    }
}
