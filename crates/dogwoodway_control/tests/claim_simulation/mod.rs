//! A seeded in-memory simulation of agents, a faulty log and callers that retry requests.

use std::time::Duration;

use dogwoodway_control::{
    AppendOutcome, AttemptOutcome, ClaimAttempt, ClaimDecision, ClaimReadResponse, ClaimRecord,
    Claimer, LogCall, RecordedResponse,
};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, ClaimKey, ClaimRequest, IdempotencyKey, LogOffset,
    RequestFingerprint, TeamName, Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::claim_history::Event;

const AGENTS: usize = 3;

const KEYS: u8 = 3;

const STEPS: usize = 400;

/// Time from arrival within which an attempt may start.
const START_LIMIT: Duration = Duration::from_millis(500);

/// Time for which the log keeps every record. The at-most-once guarantee requires it to be longer
/// than the start limit.
const RETENTION: Duration = Duration::from_millis(1_000);

/// Behavior of the simulated agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// The behavior of the real agent.
    Correct,
    /// Runs an attempt as soon as its claim was appended, without reading it back.
    RunWithoutReadBack,
    /// Runs attempts even after the start limit.
    IgnoreStartLimit,
}

struct Agent {
    claimer: Claimer,
    call: Option<LogCall>,
    paused_until: Timestamp,
    /// Attempts decided to run that were not yet sent to the backend server.
    to_run: Vec<ClaimAttempt>,
    running: Vec<(ClaimAttempt, RecordedResponse)>,
    undecided: Vec<ClaimAttempt>,
}

struct Simulation {
    rng: StdRng,
    behavior: Behavior,
    now: Timestamp,
    agents: Vec<Agent>,
    oldest: u64,
    log: Vec<ClaimRecord>,
    /// Time at which each record of the log was appended.
    appended_at: Vec<Timestamp>,
    /// Appends whose response was lost and that take effect later.
    delayed: Vec<Vec<ClaimRecord>>,
    next_id: u128,
    events: Vec<Event>,
    /// Whether faults have ended, so that all attempts can be settled.
    healthy: bool,
}

/// Creates an attempt at the request with the given key and content.
pub(crate) fn attempt(id: u128, key: u8, content: u8) -> ClaimAttempt {
    let team = TeamName::try_from("demo").unwrap();
    let name = IdempotencyKey::try_from(format!("key-{key}")).unwrap();
    let fingerprint = RequestFingerprint::new(&team, &[&[content]]);
    let request = ClaimRequest { key: ClaimKey::new(&team, &name), fingerprint };
    let start_before = Timestamp(0) + START_LIMIT;
    ClaimAttempt { attempt: AttemptId(id), request, start_before, deadline: start_before }
}

/// Runs a simulation and returns its history.
pub(crate) fn simulate(seed: u64, behavior: Behavior) -> Vec<Event> {
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(seed),
        behavior,
        now: Timestamp::from_millis(1_000),
        agents: (0..AGENTS).map(|i| Agent::new(i as u64 + 1)).collect(),
        oldest: 1,
        log: Vec::new(),
        appended_at: Vec::new(),
        delayed: Vec::new(),
        next_id: 1,
        events: Vec::new(),
        healthy: false,
    };
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation.healthy = true;
    for _ in 0..STEPS {
        simulation.now = simulation.now + Duration::from_millis(20);
        (0..AGENTS).for_each(|i| simulation.advance(i));
    }
    simulation.events
}

impl Agent {
    fn new(incarnation: u64) -> Agent {
        Agent {
            claimer: Claimer::new(AgentIncarnation(incarnation)),
            call: None,
            paused_until: Timestamp(0),
            to_run: Vec::new(),
            running: Vec::new(),
            undecided: Vec::new(),
        }
    }
}

impl Simulation {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..30));
        let i = self.rng.random_range(0..AGENTS);
        match self.rng.random_range(0..100) {
            0..12 => self.arrive(i),
            12 => self.crash(i),
            13 => {
                let span = Duration::from_millis(self.rng.random_range(0..900));
                self.agents[i].paused_until = self.now + span;
            }
            14 => self.drop_old_records(),
            15..18 => {
                if let Some(batch) = self.delayed.pop() {
                    self.append(batch);
                }
            }
            _ => self.advance(i),
        }
    }

    fn arrive(&mut self, i: usize) {
        let (key, content) = (self.rng.random_range(0..KEYS), self.rng.random_range(0..10) / 9);
        let mut submitted = attempt(self.next_id, key, content);
        self.next_id += 1;
        submitted.start_before = self.now + START_LIMIT;
        submitted.deadline = self.now + START_LIMIT * 4;
        self.events.push(Event::Arrived(submitted));
        self.agents[i].undecided.push(submitted);
        self.agents[i].claimer.claim(self.now, submitted);
    }

    fn crash(&mut self, i: usize) {
        let agent = std::mem::replace(&mut self.agents[i], Agent::new(self.rng.random()));
        self.events.extend(agent.undecided.iter().map(|a| Event::AgentLost(a.attempt)));
        if let Some(LogCall::Append(batch)) = agent.call {
            self.delayed.push(batch);
        }
    }

    fn drop_old_records(&mut self) {
        let min_kept = self.rng.random_range(0..20);
        let next = self.oldest + self.log.len() as u64;
        let excess = next.saturating_sub(min_kept).saturating_sub(self.oldest) as usize;
        let now = self.now;
        let expired = self.appended_at.iter().take_while(|at| **at + RETENTION < now).count();
        let count = excess.min(expired);
        let oldest = self.oldest + count as u64;
        self.appended_at.drain(..count);
        let dropped = self.log.drain(..count);
        let dropped: Vec<_> = dropped.collect();
        for record in dropped {
            if let ClaimRecord::Claim(claim) = &record
                && !self.log.contains(&record)
            {
                self.events.push(Event::ClaimDropped(claim.attempt));
            }
        }
        self.oldest = oldest;
    }

    /// Advances one agent: handles the result of its call, decides and runs attempts, makes the
    /// next call.
    fn advance(&mut self, i: usize) {
        let now = self.now;
        if now < self.agents[i].paused_until && !self.healthy {
            return;
        }
        if let Some(call) = self.agents[i].call.take() {
            self.complete_call(i, call);
        }
        self.agents[i].claimer.expire(now);
        self.collect_decisions(i);
        if !self.healthy && self.rng.random_bool(0.2) {
            return;
        }
        self.run_attempts(i);
        self.agents[i].call = self.agents[i].claimer.next_call(now);
    }

    fn complete_call(&mut self, i: usize, call: LogCall) {
        let fault = if self.healthy { 9 } else { self.rng.random_range(0..10) };
        let now = self.now;
        match call {
            LogCall::Read(from) => match fault {
                0 => self.agents[i].claimer.read_failed(now),
                _ => {
                    let read = self.read(from);
                    self.agents[i].claimer.read_finished(now, &read);
                }
            },
            LogCall::Append(batch) => {
                let first = LogOffset(self.oldest + self.log.len() as u64);
                let outcome = match fault {
                    0 => AppendOutcome::NotAppended,
                    1 => AppendOutcome::Unknown,
                    2 => {
                        self.delayed.push(batch.clone());
                        AppendOutcome::Unknown
                    }
                    3 => {
                        self.append(batch.clone());
                        AppendOutcome::Unknown
                    }
                    _ => {
                        self.append(batch.clone());
                        AppendOutcome::Appended(first)
                    }
                };
                self.agents[i].claimer.append_finished(now, outcome);
                if self.behavior == Behavior::RunWithoutReadBack
                    && matches!(outcome, AppendOutcome::Appended(_))
                {
                    self.run_without_read_back(i, &batch);
                }
            }
        }
    }

    fn append(&mut self, batch: Vec<ClaimRecord>) {
        for record in &batch {
            if let ClaimRecord::Claim(claim) = record {
                self.events.push(Event::Claimed(claim.attempt));
            }
        }
        self.appended_at.resize(self.log.len() + batch.len(), self.now);
        self.log.extend(batch);
    }

    fn read(&mut self, from: LogOffset) -> ClaimReadResponse {
        let limit = if self.healthy { 1_000 } else { self.rng.random_range(1..20) };
        let records = (self.oldest..).map(LogOffset).zip(self.log.iter().cloned());
        ClaimReadResponse {
            oldest: LogOffset(self.oldest),
            next: LogOffset(self.oldest + self.log.len() as u64),
            records: records.filter(|(offset, _)| *offset >= from).take(limit).collect(),
        }
    }

    fn run_without_read_back(&mut self, i: usize, batch: &[ClaimRecord]) {
        for record in batch {
            let ClaimRecord::Claim(claim) = record else { continue };
            let index = self.agents[i].undecided.iter().position(|a| a.attempt == claim.attempt);
            let Some(index) = index else { continue };
            let submitted = self.agents[i].undecided.remove(index);
            self.events.push(Event::Decided(submitted.attempt, ClaimDecision::Run));
            self.agents[i].to_run.push(submitted);
        }
    }

    fn collect_decisions(&mut self, i: usize) {
        for (id, decision) in self.agents[i].claimer.take_decisions() {
            let Some(index) = self.agents[i].undecided.iter().position(|a| a.attempt == id) else {
                continue;
            };
            let submitted = self.agents[i].undecided.remove(index);
            if decision == ClaimDecision::Run {
                self.agents[i].to_run.push(submitted);
            }
            self.events.push(Event::Decided(id, decision));
        }
    }

    /// Finishes running attempts and sends decided ones to the backend server.
    fn run_attempts(&mut self, i: usize) {
        let now = self.now;
        for (submitted, response) in std::mem::take(&mut self.agents[i].running) {
            let outcome = match self.rng.random_range(0..4) {
                0 => AttemptOutcome::Unknown,
                _ => AttemptOutcome::Completed(Some(response)),
            };
            self.agents[i].claimer.finish(now, submitted.request.key, outcome);
        }
        for submitted in std::mem::take(&mut self.agents[i].to_run) {
            let is_late =
                now > submitted.start_before && self.behavior != Behavior::IgnoreStartLimit;
            if is_late || self.rng.random_bool(0.1) {
                self.agents[i].claimer.finish(now, submitted.request.key, AttemptOutcome::NotRun);
                continue;
            }
            let body = format!("{}", submitted.attempt);
            let response = RecordedResponse { status: 200, content_type: String::new(), body };
            self.events.push(Event::Ran(now, submitted.attempt, response.clone()));
            self.agents[i].running.push((submitted, response));
        }
        self.collect_decisions(i);
    }
}
