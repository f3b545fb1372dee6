//! How one agent claims keys in one partition: what to append, what to read and what to decide.
//!
//! An attempt runs only after its own claim was read back as the first of its key, before its
//! `start_before`. An append whose answer was lost is resolved by reading and repeated until it is
//! read; a claim that is given up is withdrawn, so that it never counts.

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

/// Most records of one append.
const BATCH_RECORDS: usize = 200;

/// Time from the start of one append to the start of the next.
const APPEND_INTERVAL: Duration = Duration::from_millis(40);

/// Pause after a call that the log did not answer as asked.
const OUTAGE_PAUSE: Duration = Duration::from_millis(250);

/// Time for which a key that was free at the last read is claimed without a further read.
const READ_VALID: Duration = Duration::from_secs(10);

/// Largest body of an answer that is recorded.
const ANSWER_BYTES: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a read.
    New,
    /// Waits for a read that tells how the holder's attempt ended.
    HeldElsewhere,
    /// Its claim waits in the queue or was appended.
    Claiming {
        maybe_logged: bool,
    },
    Running,
}

#[derive(Clone, Debug)]
struct Owner {
    attempt: ClaimAttempt,
    phase: Phase,
    joined: Vec<ClaimAttempt>,
}

/// One agent's view of one partition.
#[derive(Clone, Debug)]
pub struct Claimer {
    agent: AgentIncarnation,
    table: ClaimTable,
    owners: HashMap<ClaimKey, Owner>,
    /// Withdrawn attempts whose release has not been read back.
    releasing: HashSet<AttemptId>,
    queue: VecDeque<ClaimRecord>,
    in_flight: Option<Vec<ClaimRecord>>,
    must_read: bool,
    regressed: bool,
    free_until: Timestamp,
    append_at: Timestamp,
    call_at: Timestamp,
    down_until: Timestamp,
    decisions: Vec<(AttemptId, ClaimDecision)>,
}

impl Claimer {
    /// Builds the view of an agent that has read nothing.
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
            owners: HashMap::new(),
            releasing: HashSet::new(),
            queue: VecDeque::new(),
            in_flight: None,
            must_read: false,
            regressed: false,
            free_until: Timestamp(0),
            append_at: Timestamp(0),
            call_at: Timestamp(0),
            down_until: Timestamp(0),
            decisions: Vec::new(),
        }
    }

    /// Takes an attempt; its decision comes from [`Claimer::take_decisions`].
    pub fn claim(&mut self, now: Timestamp, attempt: ClaimAttempt) {
        let key = attempt.request.key;
        if let Some(owner) = self.owners.get_mut(&key) {
            match owner.attempt.request.fingerprint == attempt.request.fingerprint {
                true => owner.joined.push(attempt),
                false => self.refuse(attempt.attempt, ClaimRefusal::KeyReused),
            }
            return;
        }
        if let KeyState::Completed(claim, answer) = self.table.state(key) {
            let decision = decide_ended(&claim, answer, &attempt);
            self.decisions.push((attempt.attempt, decision));
            return;
        }
        if self.regressed || now < self.down_until {
            self.refuse(attempt.attempt, self.refusal_without_log(key));
            return;
        }
        if now > attempt.start_before {
            self.refuse(attempt.attempt, ClaimRefusal::TooLate);
            return;
        }
        self.owners.insert(key, Owner { attempt, phase: Phase::New, joined: Vec::new() });
        if now < self.free_until {
            self.judge_waiting(key, false);
        }
    }

    /// Notes how a running attempt ended.
    pub fn finish(&mut self, now: Timestamp, key: ClaimKey, finish: AttemptOutcome) {
        let Some(owner) = self.owners.remove(&key) else { return };
        let attempt = owner.attempt.attempt;
        match finish {
            AttemptOutcome::Completed(answer) => {
                let kept = answer.clone().filter(|a| a.body.len() <= ANSWER_BYTES);
                let end = ClaimCompletion { key, attempt, response: kept };
                self.table.complete(&end);
                self.queue.push_back(ClaimRecord::Done(end));
                for joined in owner.joined {
                    let decision = match answer.clone() {
                        Some(answer) => ClaimDecision::Replay(answer),
                        None => ClaimDecision::Refuse(ClaimRefusal::ResponseNotRecorded),
                    };
                    self.decisions.push((joined.attempt, decision));
                }
            }
            AttemptOutcome::NotRun => {
                self.withdraw(key, attempt);
                owner.joined.into_iter().for_each(|joined| self.claim(now, joined));
            }
            AttemptOutcome::Unknown => {
                for joined in owner.joined {
                    self.refuse(joined.attempt, ClaimRefusal::AlreadyStarted);
                }
            }
        }
    }

    /// Returns the next call to make, if there is one.
    pub fn next_call(&mut self, now: Timestamp) -> Option<LogCall> {
        if self.in_flight.is_some() || now < self.call_at {
            return None;
        }
        if self.must_read || self.owners.values().any(|owner| owner.waits_for_read()) {
            self.in_flight = Some(Vec::new());
            return Some(LogCall::Read(self.table.next_offset()));
        }
        if self.queue.is_empty() || now < self.append_at {
            return None;
        }
        let batch: Vec<_> = self.queue.drain(..self.queue.len().min(BATCH_RECORDS)).collect();
        for record in &batch {
            if let ClaimRecord::Claim(claim) = record
                && let Some(owner) = self.owners.get_mut(&claim.key)
                && owner.attempt.attempt == claim.attempt
            {
                owner.phase = Phase::Claiming { maybe_logged: true };
            }
        }
        self.append_at = now + APPEND_INTERVAL;
        self.in_flight = Some(batch.clone());
        Some(LogCall::Append(batch))
    }

    /// Notes how an append ended.
    pub fn append_finished(&mut self, now: Timestamp, appended: AppendOutcome) {
        let sent = self.in_flight.take().unwrap_or_default();
        match appended {
            AppendOutcome::Appended(first) if first < self.table.next_offset() => self.regress(),
            AppendOutcome::Appended(_) => {
                self.must_read |= sent.iter().any(|r| matches!(r, ClaimRecord::Claim(_)));
            }
            AppendOutcome::Unknown => {
                self.requeue(sent);
                self.must_read = true;
            }
            AppendOutcome::NotAppended => {
                self.requeue(sent);
                self.pause(now);
                self.refuse_waiting(|phase| matches!(phase, Phase::Claiming { .. }));
            }
        }
    }

    /// Notes that a read failed.
    pub fn read_failed(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.pause(now);
        self.refuse_waiting(|phase| matches!(phase, Phase::New | Phase::HeldElsewhere));
    }

    /// Applies what was read.
    pub fn read_finished(&mut self, now: Timestamp, read: &ClaimReadResponse) {
        self.in_flight = None;
        if read.next < self.table.next_offset() || self.regressed {
            self.regress();
            return;
        }
        if read.oldest > self.table.next_offset() {
            self.refuse_waiting(|phase| matches!(phase, Phase::Claiming { .. }));
        }
        self.table.observe_log_start(read.oldest);
        for (offset, record) in &read.records {
            self.table.apply(now, *offset, record);
            if let ClaimRecord::Release(release) = record {
                self.releasing.remove(&release.attempt);
            }
        }
        let is_complete = self.table.next_offset() >= read.next;
        let claiming = self.keys_of(Owner::waits_for_claim);
        claiming.into_iter().for_each(|key| self.judge_claim(now, key, is_complete));
        if !is_complete {
            self.must_read = true;
            return;
        }
        self.must_read = self.queue.is_empty() && self.owners.values().any(Owner::waits_for_claim);
        if self.must_read {
            self.call_at = now + APPEND_INTERVAL;
        }
        self.free_until = now + READ_VALID;
        let waiting = self.keys_of(Owner::waits_for_read);
        waiting.into_iter().for_each(|key| self.judge_waiting(key, true));
    }

    /// Gives up on attempts whose time has passed, and forgets old keys.
    pub fn expire(&mut self, now: Timestamp) {
        let expired = self.keys_of(|o| o.phase != Phase::Running && now > o.attempt.start_before);
        expired.into_iter().for_each(|key| self.give_up(key));
        for owner in self.owners.values_mut() {
            owner.joined.retain(|joined| {
                if now > joined.deadline {
                    let refused = ClaimDecision::Refuse(ClaimRefusal::AlreadyStarted);
                    self.decisions.push((joined.attempt, refused));
                }
                now <= joined.deadline
            });
        }
    }

    /// Forgets keys that the log has dropped long ago.
    pub fn evict_expired(&mut self, now: Timestamp) {
        self.table.evict_expired(now);
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<(AttemptId, ClaimDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Tells whether nothing is left to append and no attempt is under way.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.owners.is_empty() && self.in_flight.is_none()
    }

    /// Returns the number of keys remembered.
    pub fn key_count(&self) -> usize {
        self.table.len()
    }

    /// Decides on an attempt whose claim was read back; a claim that does not hold the key is
    /// withdrawn once everything was read.
    fn judge_claim(&mut self, now: Timestamp, key: ClaimKey, is_complete: bool) {
        let Some(owner) = self.owners.get_mut(&key) else { return };
        let attempt = owner.attempt;
        if !self.table.has_claim(key, attempt.attempt) {
            return;
        }
        match self.table.state(key) {
            KeyState::Held(holder) if holder.attempt == attempt.attempt => {
                if now > attempt.start_before {
                    self.give_up(key);
                    return;
                }
                owner.phase = Phase::Running;
                self.decisions.push((attempt.attempt, ClaimDecision::Run));
                self.unqueue(attempt.attempt);
            }
            KeyState::Free | KeyState::Held(_) | KeyState::Completed(..) if is_complete => {
                self.unqueue(attempt.attempt);
                self.withdraw(key, attempt.attempt);
                self.decide_taken(key);
            }
            KeyState::Free | KeyState::Held(_) | KeyState::Completed(..) => {}
        }
    }

    /// Decides on an attempt by what is known, or queues its claim.
    fn judge_waiting(&mut self, key: ClaimKey, is_read: bool) {
        let Some(owner) = self.owners.get_mut(&key) else { return };
        let attempt = owner.attempt;
        match self.table.state(key) {
            KeyState::Held(claim) if !self.releasing.contains(&claim.attempt) => match is_read {
                true => self.decide_taken(key),
                false => owner.phase = Phase::HeldElsewhere,
            },
            KeyState::Free | KeyState::Held(_) => {
                owner.phase = Phase::Claiming { maybe_logged: false };
                let claim = Claim::new(attempt.request, attempt.attempt, self.agent);
                self.queue.push_back(ClaimRecord::Claim(claim));
            }
            KeyState::Completed(..) => self.decide_taken(key),
        }
    }

    /// Decides on an attempt whose key is held by another.
    fn decide_taken(&mut self, key: ClaimKey) {
        let state = self.table.state(key);
        let Some(owner) = self.owners.remove(&key) else { return };
        for attempt in owner.joined.iter().chain([&owner.attempt]) {
            let decision = match &state {
                KeyState::Completed(claim, answer) => decide_ended(claim, answer.clone(), attempt),
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

    fn keys_of<F>(&self, is_meant: F) -> Vec<ClaimKey>
    where
        F: Fn(&Owner) -> bool,
    {
        let owners = self.owners.iter().filter(|(_, owner)| is_meant(owner));
        owners.map(|(key, _)| *key).collect()
    }

    fn regress(&mut self) {
        self.regressed = true;
        self.must_read = false;
        self.refuse_waiting(|phase| phase != Phase::Running);
        self.queue.clear();
    }

    fn refuse_waiting<F>(&mut self, is_refused: F)
    where
        F: Fn(Phase) -> bool,
    {
        let refused = self.keys_of(|owner| is_refused(owner.phase));
        refused.into_iter().for_each(|key| self.give_up(key));
    }

    /// Gives up on an attempt that has not run.
    fn give_up(&mut self, key: ClaimKey) {
        let Some(owner) = self.owners.get(&key) else { return };
        let id = owner.attempt.attempt;
        match owner.phase {
            Phase::Running => {}
            Phase::HeldElsewhere => self.end_owner(key, ClaimRefusal::AlreadyStarted),
            Phase::New => self.end_owner(key, self.refusal_without_log(key)),
            Phase::Claiming { maybe_logged } => {
                self.unqueue(id);
                if maybe_logged {
                    self.withdraw(key, id);
                }
                self.end_owner(key, ClaimRefusal::LogUnavailable);
            }
        }
    }

    fn withdraw(&mut self, key: ClaimKey, attempt: AttemptId) {
        self.releasing.insert(attempt);
        self.queue.push_back(ClaimRecord::Release(ClaimRelease { key, attempt }));
    }

    /// Refuses the attempt that waits for a key and all that joined it.
    fn end_owner(&mut self, key: ClaimKey, refusal: ClaimRefusal) {
        let Some(owner) = self.owners.remove(&key) else { return };
        for attempt in owner.joined.iter().chain([&owner.attempt]) {
            self.refuse(attempt.attempt, refusal);
        }
    }

    fn refuse(&mut self, attempt: AttemptId, refusal: ClaimRefusal) {
        self.decisions.push((attempt, ClaimDecision::Refuse(refusal)));
    }

    /// The refusal of an attempt whose key cannot be looked up on the log.
    fn refusal_without_log(&self, key: ClaimKey) -> ClaimRefusal {
        match self.table.state(key) {
            KeyState::Held(claim) if !self.releasing.contains(&claim.attempt) => {
                ClaimRefusal::AlreadyStarted
            }
            _ => ClaimRefusal::LogUnavailable,
        }
    }

    fn pause(&mut self, now: Timestamp) {
        self.call_at = now + OUTAGE_PAUSE;
        self.down_until = self.call_at;
    }

    /// Puts records that may not be on the log back to the front of the queue.
    fn requeue(&mut self, sent: Vec<ClaimRecord>) {
        for record in sent.into_iter().rev() {
            let is_wanted = match &record {
                ClaimRecord::Claim(claim) => {
                    let owner = self.owners.get(&claim.key);
                    owner.is_some_and(|o| o.attempt.attempt == claim.attempt)
                }
                ClaimRecord::Done(_) | ClaimRecord::Release(_) => true,
            };
            if is_wanted {
                self.queue.push_front(record);
            }
        }
    }

    fn unqueue(&mut self, attempt: AttemptId) {
        self.queue.retain(|r| !matches!(r, ClaimRecord::Claim(c) if c.attempt == attempt));
    }
}

impl Owner {
    fn waits_for_read(&self) -> bool {
        matches!(self.phase, Phase::New | Phase::HeldElsewhere)
    }

    fn waits_for_claim(&self) -> bool {
        matches!(self.phase, Phase::Claiming { maybe_logged: true })
    }
}

fn decide_ended(
    claim: &Claim,
    answer: Option<RecordedResponse>,
    attempt: &ClaimAttempt,
) -> ClaimDecision {
    match answer {
        _ if claim.fingerprint != attempt.request.fingerprint => {
            ClaimDecision::Refuse(ClaimRefusal::KeyReused)
        }
        Some(answer) => ClaimDecision::Replay(answer),
        None => ClaimDecision::Refuse(ClaimRefusal::ResponseNotRecorded),
    }
}
