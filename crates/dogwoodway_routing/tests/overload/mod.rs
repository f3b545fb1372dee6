//! A seeded replay of overload without a network: routers that know the others' load some 100 ms
//! late, engines with slots, KV memory and a prefill speed, and clients that retry. It advances in
//! steps of 1 ms.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use dogwoodway_routing::direct::{
    admission::{QueuePressure, refuse_for_wait, retry_after},
    cost::{Candidate, PrefillWork, cost_ms, first_output_ms, queue_wait_ms},
    distance::Distance,
    fair_admission::{AdmissionRequest, RoomShares, TeamKey, Verdict},
    load::Load,
};
use dogwoodway_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ROUTERS: usize = 6;
const ZONES: usize = 3;
const ENGINES: usize = 9;
pub(crate) const TEAMS: u64 = 16;
const SLOTS: usize = 128;
const KV_TOKENS: u64 = 296_594;
const PREFILL_MS_PER_TOKEN: f64 = 0.018;
const STEP_MS: u64 = 20;
const RETRIES: u32 = 3;
/// Half of the period of the load reports, so that what a router knows is 70 to 140 ms old.
const REPORT_MS: u64 = 70;
pub(crate) const START_MS: u64 = 4_000;
pub(crate) const RUN_MS: u64 = 16_000;
/// Time for which other routers send to an engine that is lost.
const LOSS_NOTICE_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pattern {
    Surge,
    ZoneWave,
    OneTeam,
    HastyRetries,
    EnginesLost,
    Normal,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    FirstCome,
    StrictPriority,
    WaitLimit,
    FairShares,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Long,
    Short,
}

impl Class {
    /// Priority, computed tokens, output tokens, time to first token and deadline in ms, rate per s.
    fn traits(self) -> (u8, u32, u64, u64, u64, f64) {
        match self {
            Class::Long => (1, 8_800, 55, 1_500, 15_000, 14.0),
            Class::Short => (0, 2_300, 3, 500, 3_000, 130.0),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) team: u64,
    pub(crate) is_large: bool,
    tokens: u32,
    router: usize,
    pub(crate) arrived_ms: u64,
    attempts: u32,
    pub(crate) first_output_ms: Option<u64>,
    pub(crate) is_served: bool,
    /// Whether an engine held it until its deadline.
    pub(crate) is_late: bool,
}

impl Call {
    fn deadline_ms(&self) -> u64 {
        self.arrived_ms + self.class.traits().4
    }

    pub(crate) fn is_in_time(&self) -> bool {
        let expected_ms = self.class.traits().3;
        self.is_served && self.first_output_ms.is_some_and(|at| at <= self.arrived_ms + expected_ms)
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    call: usize,
    order: (u8, u64),
    left: f64,
    ends_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    queue: Vec<Job>,
    running: Vec<Job>,
    lost_ms: Option<u64>,
}

/// Load of each engine by one router, as it is and as the others saw it last and before that.
#[derive(Clone, Debug, Default)]
struct Router {
    loads: [Load; ENGINES],
    reports: [[Load; ENGINES]; 2],
    pressure: QueuePressure,
    shares: RoomShares,
}

struct Replay {
    policy: Policy,
    pattern: Pattern,
    calls: Vec<Call>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    rng: StdRng,
}

/// Time at which the load of a pattern is normal again.
pub(crate) fn end_ms(pattern: Pattern) -> u64 {
    match pattern {
        Pattern::Surge | Pattern::HastyRetries | Pattern::Normal => START_MS + 3_000,
        Pattern::ZoneWave | Pattern::OneTeam | Pattern::EnginesLost => START_MS + 6_000,
    }
}

fn load_factor(pattern: Pattern, now_ms: u64, zone: usize, team: u64) -> f64 {
    let zone_start_ms = START_MS + 2_000 * zone as u64;
    match pattern {
        Pattern::ZoneWave if (zone_start_ms..zone_start_ms + 2_000).contains(&now_ms) => 2.5,
        _ if !(START_MS..end_ms(pattern)).contains(&now_ms) => 1.0,
        Pattern::Surge | Pattern::HastyRetries => 1.7,
        Pattern::OneTeam if team == 0 => 8.0,
        Pattern::EnginesLost => 1.3,
        Pattern::OneTeam | Pattern::ZoneWave | Pattern::Normal => 1.0,
    }
}

fn generate_calls(pattern: Pattern, rng: &mut StdRng) -> Vec<Call> {
    let mut calls = Vec::new();
    let sources = (0..ROUTERS).flat_map(|router| (0..TEAMS).map(move |team| (router, team)));
    for (router, team) in sources {
        for class in [Class::Long, Class::Short] {
            let rate = class.traits().5 / (ROUTERS as f64 * TEAMS as f64);
            for arrived_ms in 0..RUN_MS {
                let factor = load_factor(pattern, arrived_ms, router % ZONES, team);
                if rng.random::<f64>() < rate * factor / 1e3 {
                    let is_large = rng.random::<f64>() < 0.1;
                    let scale = if is_large { 3.0 } else { 0.78 };
                    let tokens = (f64::from(class.traits().1) * scale) as u32;
                    calls.push(Call {
                        class,
                        team,
                        is_large,
                        tokens,
                        router,
                        arrived_ms,
                        attempts: 0,
                        first_output_ms: None,
                        is_served: false,
                        is_late: false,
                    });
                }
            }
        }
    }
    calls
}

impl Replay {
    fn candidate(&self, router: usize, engine: usize, tokens: u32) -> Candidate {
        let others = self.routers.iter().enumerate().filter(|(i, _)| *i != router);
        let load = others.map(|(_, other)| other.reports[1][engine]);
        let load = load.fold(self.routers[router].loads[engine], |sum, load| sum + load);
        let prefill = PrefillWork {
            computed_tokens: tokens,
            fetched_tokens: 0,
            recomputed_tokens: 0.0,
            new_kv_tokens: tokens,
            kv_capacity_tokens: KV_TOKENS,
            fetch_ms_per_token: 0.0,
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            penalty_ms: 0.0,
        };
        Candidate {
            load,
            slots: SLOTS as u32,
            distance: Distance::SameZone,
            slowdown: 1.0,
            failure_share: 0.0,
            refusal_share: 0.0,
            prefill: Some(prefill),
        }
    }

    /// Places a call, or returns the delay that a refused client is told.
    fn place(&mut self, now_ms: u64, index: usize) -> Option<Duration> {
        let call = self.calls[index];
        let (priority, _, _, expected_ms, ..) = call.class.traits();
        let is_known_lost = |e: &Engine| e.lost_ms.is_some_and(|at| now_ms > at + LOSS_NOTICE_MS);
        let jitter: [f64; ENGINES] = std::array::from_fn(|_| self.rng.random());
        let usable = (0..ENGINES).filter(|e| !is_known_lost(&self.engines[*e]));
        let candidates = usable.map(|e| (e, self.candidate(call.router, e, call.tokens)));
        let jittered = candidates.map(|(e, c)| (cost_ms(&c) + jitter[e], e, c));
        let (_, engine, candidate) = jittered.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let (now, deadline) =
            (Timestamp::from_millis(now_ms), Timestamp::from_millis(call.deadline_ms()));
        let wait_ms = queue_wait_ms(&candidate);
        let expected = Duration::from_millis(expected_ms);
        let draw = self.rng.random();
        let router = &mut self.routers[call.router];
        match self.policy {
            Policy::FirstCome | Policy::StrictPriority => {}
            Policy::WaitLimit => {
                router.pressure.record(now, wait_ms);
                if let Some(after) = refuse_for_wait(wait_ms, expected, priority, &router.pressure)
                {
                    return Some(retry_after(now, now + after, deadline, draw));
                }
            }
            Policy::FairShares => {
                let request = AdmissionRequest {
                    team: TeamKey(call.team),
                    priority,
                    tokens: call.tokens,
                    wait_ms,
                    expected_by: now + expected,
                    deadline,
                    draw,
                };
                if let Verdict::Refuse { retry_at } = router.shares.decide(now, &request) {
                    return Some(retry_after(now, retry_at, deadline, draw.rotate_left(32)));
                }
            }
        }
        if first_output_ms(&candidate) > (deadline - now).as_secs_f64() * 1e3 {
            return Some(retry_after(now, now + Duration::from_millis(300), deadline, draw));
        }
        router.loads[engine] = router.loads[engine] + added_load(&call);
        let priority = if self.policy == Policy::FirstCome { 0 } else { priority };
        let order = (priority, now_ms);
        let job = Job { call: index, order, left: f64::from(call.tokens), ends_ms: 0 };
        let queue = &mut self.engines[engine].queue;
        queue.insert(queue.partition_point(|other| other.order <= order), job);
        None
    }

    fn release(&mut self, engine: usize, call: usize, load: Load) {
        let router = &mut self.routers[self.calls[call].router];
        router.loads[engine] = router.loads[engine] - load;
    }

    /// Computes prompts for 1 ms, and ends what is finished or has passed its deadline.
    fn advance_engine(&mut self, now_ms: u64, index: usize) {
        let mut engine = std::mem::take(&mut self.engines[index]);
        let is_lost = engine.lost_ms.is_some_and(|at| now_ms == at + LOSS_NOTICE_MS);
        let jobs = engine.queue.iter().chain(&engine.running).copied().collect::<Vec<_>>();
        for job in jobs {
            let call = &mut self.calls[job.call];
            let (is_expired, has_output) = (now_ms >= call.deadline_ms(), job.ends_ms > 0);
            let is_finished = has_output && now_ms >= job.ends_ms;
            if !(is_lost || is_expired || is_finished) {
                continue;
            }
            call.is_served = is_finished && engine.lost_ms.is_none();
            call.is_late = is_expired && !call.is_served;
            if is_lost {
                call.first_output_ms = None;
                self.due.push(Reverse((now_ms + 1, job.call)));
            }
            let mut load = added_load(&self.calls[job.call]);
            load.pending_prefill_tokens *= u64::from(!has_output);
            self.release(index, job.call, load);
            engine.queue.retain(|other| other.call != job.call);
            engine.running.retain(|other| other.call != job.call);
        }
        let mut budget = 1.0 / PREFILL_MS_PER_TOKEN;
        let mut kv: u64 =
            engine.running.iter().map(|job| u64::from(self.calls[job.call].tokens)).sum();
        while budget > 0.0 && engine.running.len() < SLOTS && engine.lost_ms.is_none() {
            let Some(job) = engine.queue.first_mut() else { break };
            let call = &mut self.calls[job.call];
            if kv + u64::from(call.tokens) > KV_TOKENS {
                break;
            }
            let done = job.left.min(budget);
            (job.left, budget) = (job.left - done, budget - done);
            if job.left <= 0.0 {
                kv += u64::from(call.tokens);
                call.first_output_ms = Some(now_ms);
                job.ends_ms = now_ms + call.class.traits().2 * STEP_MS;
                let job = engine.queue.remove(0);
                engine.running.push(job);
                let pending_prefill_tokens =
                    added_load(&self.calls[job.call]).pending_prefill_tokens;
                self.release(index, job.call, Load { pending_prefill_tokens, ..Load::default() });
            }
        }
        self.engines[index] = engine;
    }

    fn step(&mut self, now_ms: u64) {
        if self.pattern == Pattern::EnginesLost && now_ms == START_MS + 2_000 {
            self.engines[..ENGINES / 3].iter_mut().for_each(|e| e.lost_ms = Some(now_ms));
        }
        if now_ms.is_multiple_of(REPORT_MS) {
            for router in &mut self.routers {
                router.reports = [router.loads, router.reports[0]];
            }
        }
        while let Some(Reverse((_, index))) = self.due.pop_if_due(now_ms) {
            self.calls[index].attempts += 1;
            if now_ms < self.calls[index].deadline_ms()
                && let Some(delay) = self.place(now_ms, index)
                && self.calls[index].attempts <= RETRIES
            {
                let delay_ms = match self.pattern {
                    Pattern::HastyRetries => 1,
                    _ => delay.as_millis() as u64 + 1,
                };
                self.due.push(Reverse((now_ms + delay_ms, index)));
            }
        }
        (0..ENGINES).for_each(|engine| self.advance_engine(now_ms, engine));
    }
}

trait PopIfDue {
    fn pop_if_due(&mut self, now_ms: u64) -> Option<Reverse<(u64, usize)>>;
}

impl PopIfDue for BinaryHeap<Reverse<(u64, usize)>> {
    fn pop_if_due(&mut self, now_ms: u64) -> Option<Reverse<(u64, usize)>> {
        if self.peek()?.0.0 <= now_ms { self.pop() } else { None }
    }
}

fn added_load(call: &Call) -> Load {
    let tokens = u64::from(call.tokens);
    Load { running: 1, pending_prefill_tokens: tokens, kv_tokens: tokens }
}

/// Replays a pattern and returns all calls with their ends.
pub(crate) fn replay(pattern: Pattern, policy: Policy, seed: u64) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let calls = generate_calls(pattern, &mut rng);
    let due = calls.iter().enumerate().map(|(i, call)| Reverse((call.arrived_ms, i))).collect();
    let routers = vec![Router::default(); ROUTERS];
    let engines = vec![Engine::default(); ENGINES];
    let mut replay = Replay { policy, pattern, calls, due, routers, engines, rng };
    (0..RUN_MS + 15_000).for_each(|now_ms| replay.step(now_ms));
    replay.calls
}
