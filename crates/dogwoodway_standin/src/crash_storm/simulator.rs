//! The events of a storm, in the order of time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use dogwoodway_routing::part_blame::{PartKey, PartNotice, PartRun};
use dogwoodway_types::{EngineIncarnation, ModelName, RequestFingerprint, TeamName, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::crash_storm::{
    PolicyKind,
    policy::{LostRun, Permission, Policy},
};

const TEAMS: usize = 8;
const DOCUMENTS_PER_TEAM: usize = 6;

/// When the cause appears.
const CAUSE_FROM_MS: u64 = 5_000;

/// Time from a crash until the engine is back.
const RESTART_MS: u64 = 4_000;

/// Time after the fifth crash by which all routers must know the cause.
const KNOWN_WITHIN_MS: u64 = 3_000;

/// Time until a router notices that a connection was lost.
const NOTICE_LOSS_MS: u64 = 5;

/// Range of the time from the placement of a prompt until its answer begins.
const PREFILL_MS: std::ops::Range<u64> = 20..150;

/// Range of the time from the beginning of an answer until its cause crashes the engine.
const CRASH_MS: std::ops::Range<u64> = 20..120;

/// Durations of short and long answers, and how many in ten are long.
const ANSWER_MS: (u64, u64) = (80, 1_200);
const LONG_IN_TEN: u32 = 2;

/// Prompts that an engine may run or queue for each slot.
const QUEUED_PER_SLOT: usize = 2;

/// What crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// One document of one team.
    Document,
    /// Two documents of two teams.
    TwoDocuments,
    /// The last part of prompts, under a document that others use.
    OwnParts,
    /// All prompts, as with bad weights.
    Everything,
    /// Nothing; engines crash for reasons of their own only.
    Nothing,
}

/// A storm to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Answers that an engine gives at once.
    pub batch: usize,
    /// Requests a second, sound and others.
    pub requests_per_s: f64,
    /// Share of the requests that have the cause.
    pub cause_share: f64,
    /// Largest time that notices take between routers, in milliseconds.
    pub knowledge_ms: u64,
    /// Crashes of each engine in an hour that have other reasons.
    pub other_crashes_per_hour: f64,
    /// What crashes engines.
    pub cause: Cause,
    /// Whether the cause crashes engines while they read the prompt, otherwise once they answer it.
    pub crashes_before_answer: bool,
    /// Duration of the storm in seconds.
    pub seconds: u64,
}

/// A storm on a fleet of the usual size, in which 5% of the requests have a document that crashes
/// engines.
impl Default for Storm {
    fn default() -> Storm {
        Storm {
            routers: 4,
            engines: 18,
            batch: 16,
            requests_per_s: 140.0,
            cause_share: 0.05,
            knowledge_ms: 50,
            other_crashes_per_hour: 0.0,
            cause: Cause::Document,
            crashes_before_answer: false,
            seconds: 20,
        }
    }
}

/// What happened in a storm.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Engines that the cause has crashed.
    pub lost_engines: usize,
    /// Requests with the cause that reached engines from [`KNOWN_WITHIN_MS`] after its fifth crash
    /// on.
    pub late_requests: usize,
    /// Sound requests that arrived since the cause has appeared.
    pub sound: usize,
    /// Those of them that were refused.
    pub sound_refused: usize,
    /// Those that were refused although a part of theirs was blamed that had a complete answer in the
    /// last 10 s.
    pub refused_after_answer: usize,
    /// Those that got a complete answer.
    pub sound_answered: usize,
}

#[derive(Clone, Debug)]
struct Request {
    id: u64,
    router: usize,
    parts: Vec<PartKey>,
    is_bad: bool,
    is_long: bool,
    is_second_attempt: bool,
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    engine: usize,
    sent_at: Timestamp,
    began_at: Option<Timestamp>,
    may_repeat: bool,
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: u64,
    up_at_ms: u64,
    runs: Vec<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Attempt(Request),
    Begin(u64),
    End(u64),
    /// By the cause, which crashes only the process that answers, or for another reason.
    Crash {
        engine: usize,
        caused_in: Option<u64>,
    },
    Deliver {
        router: usize,
        notice: PartNotice,
    },
}

/// An event and its time; the earliest is the greatest. The number keeps the order stable.
struct Scheduled(u64, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        Reverse((self.0, self.1)).cmp(&Reverse((other.0, other.1)))
    }
}

struct Simulator {
    storm: Storm,
    rng: StdRng,
    now_ms: u64,
    queue: BinaryHeap<Scheduled>,
    next_number: u64,
    policies: Vec<Policy>,
    engines: Vec<Engine>,
    runs: HashMap<u64, Run>,
    documents: Vec<Vec<PartKey>>,
    team_parts: Vec<PartKey>,
    /// When a prompt with each part was last answered completely.
    answered_ms: HashMap<PartKey, u64>,
    cause_crashes_ms: Vec<u64>,
    late_ms: Vec<u64>,
    outcome: Outcome,
}

/// Simulates a storm under one policy.
///
/// ```
/// use dogwoodway_standin::crash_storm::{Cause, PolicyKind, Storm, simulate};
///
/// let storm = Storm { cause: Cause::TwoDocuments, seconds: 10, ..Storm::default() };
/// let outcome = simulate(storm, PolicyKind::PartBlame, 1);
/// assert!(outcome.late_requests <= 3);
/// ```
pub fn simulate(storm: Storm, policy: PolicyKind, seed: u64) -> Outcome {
    let mut simulator = Simulator::new(storm, policy, seed);
    simulator.run();
    let fifth = simulator.cause_crashes_ms.get(4).or(simulator.cause_crashes_ms.last());
    let known_ms = fifth.map_or(u64::MAX, |ms| ms + KNOWN_WITHIN_MS);
    let late_requests = simulator.late_ms.iter().filter(|ms| **ms > known_ms).count();
    let lost_engines = simulator.cause_crashes_ms.len();
    Outcome { lost_engines, late_requests, ..simulator.outcome }
}

impl Simulator {
    fn new(storm: Storm, policy: PolicyKind, seed: u64) -> Simulator {
        let model = ModelName::try_from("m").expect("a valid name");
        let part = |name: &str| PartKey::new(&model, None, name);
        let routers = storm.routers as u32;
        let engine = |n| Engine { incarnation: n, up_at_ms: 0, runs: Vec::new() };
        let documents =
            |team| (0..DOCUMENTS_PER_TEAM).map(|n| part(&format!("document {team} {n}"))).collect();
        Simulator {
            storm,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            next_number: storm.engines as u64,
            policies: (0..storm.routers as u64).map(|n| Policy::new(policy, n, routers)).collect(),
            engines: (0..storm.engines as u64).map(engine).collect(),
            runs: HashMap::new(),
            documents: (0..TEAMS).map(documents).collect(),
            team_parts: (0..TEAMS).map(|team| part(&format!("team {team}"))).collect(),
            answered_ms: HashMap::new(),
            cause_crashes_ms: Vec::new(),
            late_ms: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.now_ms)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.next_number += 1;
        self.queue.push(Scheduled(self.now_ms + after_ms, self.next_number, event));
    }

    fn run(&mut self) {
        let end_ms = CAUSE_FROM_MS + self.storm.seconds * 1_000;
        self.schedule(0, Event::Arrival);
        self.schedule_other_crashes(end_ms);
        while let Some(Scheduled(at_ms, _, event)) = self.queue.pop() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            match event {
                Event::Arrival => self.arrive(),
                Event::Attempt(request) => self.attempt(request),
                Event::Begin(run) => self.begin(run),
                Event::End(run) => self.end(run),
                Event::Crash { engine, caused_in } => {
                    if caused_in.is_none_or(|id| self.engines[engine].incarnation == id) {
                        self.crash(engine, caused_in.is_some());
                    }
                }
                Event::Deliver { router, notice } => {
                    let now = self.now();
                    self.policies[router].apply(now, &notice);
                    self.spread(router);
                }
            }
        }
    }

    fn schedule_other_crashes(&mut self, end_ms: u64) {
        let expected =
            self.storm.other_crashes_per_hour * self.storm.engines as f64 * end_ms as f64 / 3.6e6;
        for _ in 0..expected.round() as usize {
            let engine = self.rng.random_range(0..self.storm.engines);
            let at_ms = self.rng.random_range(0..end_ms);
            self.schedule(at_ms, Event::Crash { engine, caused_in: None });
        }
    }

    fn arrive(&mut self) {
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.storm.requests_per_s;
        self.schedule((gap_s * 1e3).round() as u64, Event::Arrival);
        let has_cause =
            self.now_ms >= CAUSE_FROM_MS && self.rng.random_bool(self.storm.cause_share);
        let (mut team, mut document) =
            (self.rng.random_range(0..TEAMS), self.rng.random_range(0..DOCUMENTS_PER_TEAM));
        let is_bad = match self.storm.cause {
            Cause::Document | Cause::TwoDocuments => {
                let first_team = usize::from(
                    self.storm.cause == Cause::TwoDocuments && self.rng.random_bool(0.5),
                );
                // No sound prompt has the document.
                document = document.max(1);
                if has_cause {
                    (team, document) = (first_team, 0);
                }
                has_cause
            }
            Cause::OwnParts => {
                if has_cause {
                    (team, document) = (0, 0);
                }
                has_cause
            }
            Cause::Everything => self.now_ms >= CAUSE_FROM_MS,
            Cause::Nothing => false,
        };
        self.next_number += 1;
        let request = Request {
            id: self.next_number,
            router: self.rng.random_range(0..self.storm.routers),
            parts: vec![self.team_parts[team], self.documents[team][document]],
            is_bad,
            is_long: self.rng.random_ratio(LONG_IN_TEN, 10),
            is_second_attempt: false,
        };
        if !is_bad && self.now_ms >= CAUSE_FROM_MS {
            self.outcome.sound += 1;
        }
        self.attempt(request);
    }

    fn attempt(&mut self, request: Request) {
        let now = self.now();
        let permission = self.policies[request.router].permission(now, &request.parts);
        let counts = !request.is_bad && self.now_ms >= CAUSE_FROM_MS && !request.is_second_attempt;
        if permission == Permission::Refuse {
            if counts {
                self.outcome.sound_refused += 1;
                let recent =
                    |part| self.answered_ms.get(part).is_some_and(|ms| ms + 10_000 > self.now_ms);
                let all_recent = request.parts.iter().all(recent);
                self.outcome.refused_after_answer += usize::from(all_recent);
            }
            return;
        }
        if request.is_second_attempt && permission == Permission::RunOnce {
            return;
        }
        let capacity = self.storm.batch * QUEUED_PER_SLOT;
        let usable = |engine: &&usize| {
            let engine = &self.engines[**engine];
            engine.up_at_ms <= self.now_ms && engine.runs.len() < capacity
        };
        let engines: Vec<_> = (0..self.storm.engines).collect();
        let engines: Vec<_> = engines.iter().filter(usable).copied().collect();
        if engines.is_empty() {
            return;
        }
        let draws = [0, 1].map(|_| engines[self.rng.random_range(0..engines.len())]);
        let [first, second] = draws;
        let is_first = self.engines[first].runs.len() <= self.engines[second].runs.len();
        let engine = if is_first { first } else { second };
        if request.is_bad {
            self.late_ms.push(self.now_ms);
        }
        let may_repeat = !request.is_second_attempt && permission == Permission::Run;
        let id = self.next_number + 1;
        let prefill_ms = self.rng.random_range(PREFILL_MS);
        if request.is_bad && self.storm.crashes_before_answer {
            let incarnation = self.engines[engine].incarnation;
            self.schedule(prefill_ms, Event::Crash { engine, caused_in: Some(incarnation) });
        } else {
            self.schedule(prefill_ms, Event::Begin(id));
        }
        self.engines[engine].runs.push(id);
        let sent_at = self.now();
        self.runs.insert(id, Run { request, engine, sent_at, began_at: None, may_repeat });
    }

    fn begin(&mut self, id: u64) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.began_at = Some(now);
        let (engine, is_bad, is_long) = (run.engine, run.request.is_bad, run.request.is_long);
        let incarnation = self.engines[engine].incarnation;
        if is_bad {
            let after_ms = self.rng.random_range(CRASH_MS);
            self.schedule(after_ms, Event::Crash { engine, caused_in: Some(incarnation) });
        } else {
            self.schedule(if is_long { ANSWER_MS.1 } else { ANSWER_MS.0 }, Event::End(id));
        }
    }

    fn end(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        self.engines[run.engine].runs.retain(|other| *other != id);
        if self.now_ms >= CAUSE_FROM_MS {
            self.outcome.sound_answered += 1;
        }
        for part in &run.request.parts {
            self.answered_ms.insert(*part, self.now_ms);
        }
        let now = self.now();
        let router = run.request.router;
        if let Some(began_at) = run.began_at {
            self.policies[router].record_answer(now, &run.request.parts, began_at);
        }
        self.spread(router);
    }

    fn crash(&mut self, engine: usize, by_cause: bool) {
        if by_cause {
            self.cause_crashes_ms.push(self.now_ms);
        }
        self.next_number += 1;
        let next = Engine {
            incarnation: self.next_number,
            up_at_ms: self.now_ms + RESTART_MS,
            runs: Vec::new(),
        };
        let old = std::mem::replace(&mut self.engines[engine], next);
        let incarnation = EngineIncarnation(old.incarnation);
        let lost: Vec<_> = old.runs.iter().filter_map(|id| self.runs.remove(id)).collect();
        let now = self.now();
        let team = TeamName::try_from("team").expect("a valid name");
        let mut by_router: HashMap<usize, Vec<LostRun<'_>>> = HashMap::new();
        for run in &lost {
            by_router.entry(run.request.router).or_default().push(LostRun {
                parts: &run.request.parts,
                request: RequestFingerprint::new(&team, &[&run.request.id.to_le_bytes()]),
                lead: PartRun::lead(now, run.sent_at, run.began_at),
            });
        }
        let mut routers: Vec<_> = by_router.into_iter().collect();
        routers.sort_by_key(|(router, _)| *router);
        for (router, runs) in routers {
            self.policies[router].record_crash(now, incarnation, &runs);
            self.spread(router);
        }
        for run in lost.into_iter().filter(|run| run.may_repeat) {
            let again = Request { is_second_attempt: true, ..run.request };
            self.schedule(NOTICE_LOSS_MS, Event::Attempt(again));
        }
    }

    /// Sends the notices of a router to all others.
    fn spread(&mut self, from: usize) {
        let now = self.now();
        for notice in self.policies[from].take_notices(now) {
            for router in (0..self.storm.routers).filter(|router| *router != from) {
                let after_ms = self.rng.random_range(0..=self.storm.knowledge_ms);
                let notice = notice.clone();
                self.schedule(after_ms, Event::Deliver { router, notice });
            }
        }
    }
}
