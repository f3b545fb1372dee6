//! Agents, a log with faults and callers that repeat themselves, all in memory and seeded.

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

const START_LIMIT: Duration = Duration::from_millis(500);

/// Time for which the log keeps every record, longer than the start limit as the promise requires.
const RETENTION: Duration = Duration::from_millis(1_000);

/// How the agents of a world behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    /// As the product does.
    Sound,
    /// Runs as soon as the append is answered.
    RunOnAppend,
    /// Runs although the start limit has passed.
    IgnoreStartLimit,
}

struct Agent {
    claimer: Claimer,
    call: Option<LogCall>,
    frozen_until: Timestamp,
    /// Decided to run, not yet handed to the backend server.
    to_run: Vec<ClaimAttempt>,
    running: Vec<(ClaimAttempt, RecordedResponse)>,
    open: Vec<ClaimAttempt>,
}

struct World {
    rng: StdRng,
    plan: Plan,
    now: Timestamp,
    agents: Vec<Agent>,
    oldest: u64,
    log: Vec<ClaimRecord>,
    /// When each record of the log was appended.
    appended_at: Vec<Timestamp>,
    /// Appends whose answer was lost and that take effect later.
    delayed: Vec<Vec<ClaimRecord>>,
    next_id: u128,
    events: Vec<Event>,
    healthy: bool,
}

/// Builds an attempt at a request.
pub(crate) fn attempt(id: u128, key: u8, content: u8) -> ClaimAttempt {
    let team = TeamName::try_from("demo").unwrap();
    let name = IdempotencyKey::try_from(format!("key-{key}")).unwrap();
    let fingerprint = RequestFingerprint::new(&team, &[&[content]]);
    let request = ClaimRequest { key: ClaimKey::new(&team, &name), fingerprint };
    let start_before = Timestamp(0) + START_LIMIT;
    ClaimAttempt { attempt: AttemptId(id), request, start_before, deadline: start_before }
}

/// Runs a world and returns its history.
pub(crate) fn run_world(seed: u64, plan: Plan) -> Vec<Event> {
    let mut world = World {
        rng: StdRng::seed_from_u64(seed),
        plan,
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
        world.step();
    }
    world.healthy = true;
    for _ in 0..STEPS {
        world.now = world.now + Duration::from_millis(20);
        (0..AGENTS).for_each(|i| world.drive(i));
    }
    world.events
}

impl Agent {
    fn new(incarnation: u64) -> Agent {
        Agent {
            claimer: Claimer::new(AgentIncarnation(incarnation)),
            call: None,
            frozen_until: Timestamp(0),
            to_run: Vec::new(),
            running: Vec::new(),
            open: Vec::new(),
        }
    }
}

impl World {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..30));
        let i = self.rng.random_range(0..AGENTS);
        match self.rng.random_range(0..100) {
            0..12 => self.arrive(i),
            12 => self.crash(i),
            13 => {
                let span = Duration::from_millis(self.rng.random_range(0..900));
                self.agents[i].frozen_until = self.now + span;
            }
            14 => self.drop_old_records(),
            15..18 => {
                if let Some(batch) = self.delayed.pop() {
                    self.append(batch);
                }
            }
            _ => self.drive(i),
        }
    }

    fn arrive(&mut self, i: usize) {
        let (key, content) = (self.rng.random_range(0..KEYS), self.rng.random_range(0..10) / 9);
        let mut asked = attempt(self.next_id, key, content);
        self.next_id += 1;
        asked.start_before = self.now + START_LIMIT;
        asked.deadline = self.now + START_LIMIT * 4;
        self.events.push(Event::Arrived(asked));
        self.agents[i].open.push(asked);
        self.agents[i].claimer.claim(self.now, asked);
    }

    fn crash(&mut self, i: usize) {
        let agent = std::mem::replace(&mut self.agents[i], Agent::new(self.rng.random()));
        self.events.extend(agent.open.iter().map(|a| Event::Lost(a.attempt)));
        if let Some(LogCall::Append(batch)) = agent.call {
            self.delayed.push(batch);
        }
    }

    fn drop_old_records(&mut self) {
        let kept = self.rng.random_range(0..20);
        let next = self.oldest + self.log.len() as u64;
        let beyond_kept = next.saturating_sub(kept).saturating_sub(self.oldest) as usize;
        let now = self.now;
        let expired = self.appended_at.iter().take_while(|at| **at + RETENTION < now).count();
        let count = beyond_kept.min(expired);
        let oldest = self.oldest + count as u64;
        self.appended_at.drain(..count);
        let dropped = self.log.drain(..count);
        let dropped: Vec<_> = dropped.collect();
        for record in dropped {
            if let ClaimRecord::Claim(claim) = &record
                && !self.log.contains(&record)
            {
                self.events.push(Event::Forgotten(claim.attempt));
            }
        }
        self.oldest = oldest;
    }

    /// Lets one agent do its next piece of work.
    fn drive(&mut self, i: usize) {
        let now = self.now;
        if now < self.agents[i].frozen_until && !self.healthy {
            return;
        }
        if let Some(call) = self.agents[i].call.take() {
            self.answer(i, call);
        }
        self.agents[i].claimer.expire(now);
        self.collect(i);
        if !self.healthy && self.rng.random_bool(0.2) {
            return;
        }
        self.work(i);
        self.agents[i].call = self.agents[i].claimer.next_call(now);
    }

    fn answer(&mut self, i: usize, call: LogCall) {
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
                let appended = match fault {
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
                self.agents[i].claimer.append_finished(now, appended);
                if self.plan == Plan::RunOnAppend && matches!(appended, AppendOutcome::Appended(_))
                {
                    self.run_unread(i, &batch);
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

    fn run_unread(&mut self, i: usize, batch: &[ClaimRecord]) {
        for record in batch {
            let ClaimRecord::Claim(claim) = record else { continue };
            let open = self.agents[i].open.iter().position(|a| a.attempt == claim.attempt);
            let Some(open) = open else { continue };
            let asked = self.agents[i].open.remove(open);
            self.events.push(Event::Decided(asked.attempt, ClaimDecision::Run));
            self.agents[i].to_run.push(asked);
        }
    }

    fn collect(&mut self, i: usize) {
        for (id, decision) in self.agents[i].claimer.take_decisions() {
            let Some(open) = self.agents[i].open.iter().position(|a| a.attempt == id) else {
                continue;
            };
            let asked = self.agents[i].open.remove(open);
            if decision == ClaimDecision::Run {
                self.agents[i].to_run.push(asked);
            }
            self.events.push(Event::Decided(id, decision));
        }
    }

    /// Hands decided attempts to the backend server and ends running ones.
    fn work(&mut self, i: usize) {
        let now = self.now;
        for (asked, answer) in std::mem::take(&mut self.agents[i].running) {
            let finish = match self.rng.random_range(0..4) {
                0 => AttemptOutcome::Unknown,
                _ => AttemptOutcome::Completed(Some(answer)),
            };
            self.agents[i].claimer.finish(now, asked.request.key, finish);
        }
        for asked in std::mem::take(&mut self.agents[i].to_run) {
            let is_late = now > asked.start_before && self.plan != Plan::IgnoreStartLimit;
            if is_late || self.rng.random_bool(0.1) {
                self.agents[i].claimer.finish(now, asked.request.key, AttemptOutcome::NotRun);
                continue;
            }
            let body = format!("{}", asked.attempt);
            let answer = RecordedResponse { status: 200, content_type: String::new(), body };
            self.events.push(Event::Ran(now, asked.attempt, answer.clone()));
            self.agents[i].running.push((asked, answer));
        }
        self.collect(i);
    }
}
