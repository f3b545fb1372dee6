//! The course of a replay.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use dogwoodway_routing::direct::{
    fleet::RequestKey, health::HealthSignal, kv_stores::KvChange, prompt::PrefixKey,
    token_lru::TokenLru,
};
use dogwoodway_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    arrivals::{Arrival, KINDS, START, draw, mean_own_tokens},
    engine::{Engine, LOAD_MS, Output, Run, fetch_ms_per_token, read_tokens_per_ms},
    pattern::{BEGINS_S, ENDS_S, LoadPattern, SimulationConfig},
    policy::{Choice, EngineState, News, Policy, PolicyKind, Source, build, levels_for, shared},
    summary::{Ended, Summary},
};

/// Tokens that the store of kept KV cache has room for.
pub(super) const STORE_TOKENS: u64 = 972_571;

/// Microseconds of a message between VMs.
const HOP_US: u64 = 700;

/// Milliseconds between two looks of the routers at the store's changes.
const STORE_EVERY_MS: u64 = 120;

/// Milliseconds by which the store tells of changes late.
const STORE_LAG_MS: u64 = 80;

/// Milliseconds between two ticks.
const TICK_MS: u64 = 50;

/// Share of datagrams that are lost.
const LOST_DATAGRAMS: f64 = 0.01;

/// Share of the requests that a grey engine fails.
const GREY_FAILURES: f64 = 0.6;

/// Milliseconds after which a grey engine fails a request.
const GREY_MS: u64 = 5;

/// Milliseconds from the first output to the moment at which the store has a prompt.
const SAVED_AFTER_MS: u64 = 40;

/// Milliseconds after which a caller repeats at once, and repeats again.
const REPEAT_AFTER_MS: u64 = 20;

/// Milliseconds from the loss of an engine to the moment when routers know of it.
const LOSS_SEEN_MS: u64 = 250;

/// The store of kept KV cache.
pub(super) struct Store {
    pub(super) kept: TokenLru,
    changes: Vec<(Timestamp, KvChange)>,
    known: HashSet<PrefixKey>,
}

impl Store {
    fn save(&mut self, now: Timestamp, run: &Run) {
        self.kept.insert(&run.levels, now);
        self.known.extend(run.levels.iter().map(|level| level.key));
        for level in &run.levels {
            self.changes.push((now, KvChange::Stored(*level)));
        }
        let dropped: Vec<_> = self.known.extract_if(|key| !self.kept.contains(*key)).collect();
        self.changes.extend(dropped.into_iter().map(|key| (now, KvChange::Evicted(key))));
    }

    fn take_changes(&mut self, until: Timestamp) -> Vec<KvChange> {
        let told = self.changes.partition_point(|(at, _)| *at <= until);
        self.changes.drain(..told).map(|(_, change)| change).collect()
    }
}

enum Event {
    Arrive(usize),
    Begin { engine: usize, life: u64 },
    End { engine: usize, life: u64 },
    FirstOutput { request: usize, engine: usize, life: u64 },
    Saved(Run),
    GreyFailure { request: usize },
    Tell(usize),
    Hear { router: usize, from: usize, news: News },
    SeeStore,
    Tick,
    Trouble(Step),
}

/// What befalls the engines.
#[derive(Clone, Copy)]
enum Step {
    Lose(usize),
    SeeLost(usize),
    Restore(usize),
    Drain(usize),
    Grey(usize, bool),
    NameWeights(u32),
    Loaded(usize, u32),
}

struct Sent {
    engine: usize,
    ticket: Option<RequestKey>,
    saves: bool,
    has_output: bool,
}

struct World {
    setting: SimulationConfig,
    policy: Box<dyn Policy>,
    engines: Vec<Engine>,
    store: Store,
    requests: Vec<Arrival>,
    sent: HashMap<usize, Sent>,
    ended: Vec<Ended>,
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(Timestamp, usize)>>,
    rng: StdRng,
    version: u32,
    /// Prefixes that some engine has computed.
    computed: HashSet<PrefixKey>,
    repeated: u64,
    /// Engines whose runs have ended and that load new weights.
    loading: HashSet<usize>,
}

/// Replays a setting under a policy.
///
/// ```
/// use dogwoodway_standin::simulation::{PolicyKind, SimulationConfig, simulate};
///
/// let config = SimulationConfig { seconds: 2.0, load: 0.4, ..SimulationConfig::default() };
/// let summary = simulate(&config, PolicyKind::Router);
/// assert!(summary.relative_utility > 0.9, "{summary:?}");
/// assert_eq!(summary, simulate(&config, PolicyKind::Router), "a replay repeats");
/// ```
pub fn simulate(setting: &SimulationConfig, kind: PolicyKind) -> Summary {
    let mut world = World::new(setting, kind);
    let last = START + Duration::from_secs_f64(setting.seconds + 20.0);
    while let Some(Reverse((now, place))) = world.queue.pop() {
        if now > last {
            break;
        }
        if let Some(event) = world.events[place].take() {
            world.handle(now, event);
        }
        if world.ended.len() == world.requests.len() {
            break;
        }
    }
    world.summary()
}

impl World {
    fn new(setting: &SimulationConfig, kind: PolicyKind) -> World {
        let capacity = setting.engines as f64 * read_tokens_per_ms() * 1e3 / mean_own_tokens();
        let requests = draw(setting, capacity * setting.load);
        let mut world = World {
            setting: *setting,
            policy: build(kind, setting),
            engines: vec![Engine::new(); setting.engines],
            store: Store {
                kept: TokenLru::new(STORE_TOKENS),
                changes: Vec::new(),
                known: HashSet::new(),
            },
            requests,
            sent: HashMap::new(),
            ended: Vec::new(),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(setting.seed ^ 0x5eed),
            version: 1,
            computed: HashSet::new(),
            repeated: 0,
            loading: HashSet::new(),
        };
        for i in 0..world.requests.len() {
            world.plan(world.requests[i].at, Event::Arrive(i));
        }
        if let Some(ms) = setting.gossip_ms {
            for router in 0..setting.routers {
                // Routers do not tell in step.
                let offset = Duration::from_millis(ms * router as u64 / setting.routers as u64);
                world.plan(START + offset, Event::Tell(router));
            }
        }
        world.plan(START, Event::SeeStore);
        world.plan(START, Event::Tick);
        world.plan_trouble();
        world
    }

    fn plan(&mut self, at: Timestamp, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn plan_trouble(&mut self) {
        let engines = self.setting.engines;
        let at = |s: f64| START + Duration::from_secs_f64(s);
        let third = engines / 3;
        match self.setting.pattern {
            LoadPattern::EngineLoss => {
                for engine in 0..third {
                    self.plan(at(BEGINS_S), Event::Trouble(Step::Lose(engine)));
                    self.plan(at(ENDS_S), Event::Trouble(Step::Restore(engine)));
                }
            }
            LoadPattern::GrayFailures => {
                for engine in 0..third.div_ceil(2) {
                    self.plan(at(BEGINS_S), Event::Trouble(Step::Grey(engine, true)));
                    self.plan(at(ENDS_S), Event::Trouble(Step::Grey(engine, false)));
                }
            }
            LoadPattern::RollingDrain => {
                for engine in 0..third {
                    let begins = BEGINS_S + 2.0 * engine as f64;
                    self.plan(at(begins), Event::Trouble(Step::Drain(engine)));
                    self.plan(at(begins + 3.0), Event::Trouble(Step::Restore(engine)));
                }
            }
            LoadPattern::WeightsRollout => {
                for (n, s) in [BEGINS_S, BEGINS_S + 3.5, BEGINS_S + 7.0].into_iter().enumerate() {
                    self.plan(at(s), Event::Trouble(Step::NameWeights(n as u32 + 2)));
                }
            }
            _ => {}
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::Begin { engine, life } => self.begin(now, engine, life),
            Event::End { engine, life } => self.end_step(now, engine, life),
            Event::FirstOutput { request, engine, life } => {
                if self.engines[engine].life == life {
                    self.first_output(now, request);
                }
            }
            Event::Saved(run) => self.store.save(now, &run),
            Event::GreyFailure { request } => self.fail(now, request, HealthSignal::Failed),
            Event::Tell(router) => self.tell(now, router),
            Event::Hear { router, from, news } => self.policy.hear(now, router, from, &news),
            Event::SeeStore => {
                let until = now.earlier_by(Duration::from_millis(STORE_LAG_MS));
                let changes = self.store.take_changes(until);
                self.policy.see_store(now, &changes);
                self.plan(now + Duration::from_millis(STORE_EVERY_MS), Event::SeeStore);
            }
            Event::Tick => {
                self.policy.tick(now);
                self.order_loads(now);
                self.plan(now + Duration::from_millis(TICK_MS), Event::Tick);
            }
            Event::Trouble(step) => self.trouble(now, step),
        }
    }

    fn arrive(&mut self, now: Timestamp, place: usize) {
        let request = &self.requests[place];
        match self.policy.place(now, request, &self.engines, &self.store) {
            Choice::Refuse { come_back_at } => self.refuse(now, place, come_back_at),
            Choice::Run { engine, fetch_from, saves, ticket } => {
                let sent = Sent { engine, ticket, saves, has_output: false };
                let request = request.clone();
                self.sent.insert(place, sent);
                self.send(now, place, &request, engine, fetch_from);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        place: usize,
        request: &Arrival,
        engine: usize,
        fetch_from: Option<Source>,
    ) {
        if !self.engines[engine].is_up {
            let after = Duration::from_millis(LOSS_SEEN_MS);
            return self.plan(now + after, Event::GreyFailure { request: place });
        }
        if self.engines[engine].is_grey && self.rng.random::<f64>() < GREY_FAILURES {
            let after = Duration::from_millis(GREY_MS);
            return self.plan(now + after, Event::GreyFailure { request: place });
        }
        let levels = levels_for(request, self.engines[engine].version);
        let fetchable = match fetch_from {
            None => 0,
            Some(Source::Store) => self.store.kept.matched(shared(&levels)),
            Some(Source::Engine(other)) => self.engines[other].held(shared(&levels)),
        };
        let slow = if self.setting.pattern == LoadPattern::SlowLinks { 10.0 } else { 1.0 };
        let run = Run {
            request: place,
            urgency: KINDS[request.kind].urgency,
            levels,
            output_tokens: request.prompt.output_tokens,
            fetchable,
            fetch_ms_per_token: fetch_ms_per_token(slow),
        };
        let (_, unread) = self.engines[engine].to_read(&run);
        let own = request.prompt.input_tokens - request.shared_tokens();
        let shared_again =
            shared(&run.levels).iter().all(|level| self.computed.contains(&level.key));
        if shared_again {
            self.repeated += u64::from(unread.saturating_sub(own));
        }
        self.computed.extend(run.levels.iter().map(|level| level.key));
        self.engines[engine].take(run);
        self.wake(now + Duration::from_micros(HOP_US), engine);
    }

    fn wake(&mut self, at: Timestamp, engine: usize) {
        let life = self.engines[engine].life;
        if !self.engines[engine].is_stepping {
            self.engines[engine].is_stepping = true;
            self.plan(at, Event::Begin { engine, life });
        }
    }

    fn begin(&mut self, now: Timestamp, engine: usize, life: u64) {
        let state = &mut self.engines[engine];
        if state.life != life {
            return;
        }
        if state.is_idle() {
            state.is_stepping = false;
            return;
        }
        let takes = state.begin(now);
        self.plan(now + takes, Event::End { engine, life });
    }

    fn end_step(&mut self, now: Timestamp, engine: usize, life: u64) {
        if self.engines[engine].life != life {
            return;
        }
        for output in self.engines[engine].end(now) {
            match output {
                Output::First { request, after } => {
                    self.plan(now + after, Event::FirstOutput { request, engine, life });
                }
                Output::Last { request } => self.finish(now, request),
            }
        }
        self.begin(now, engine, life);
    }

    fn first_output(&mut self, now: Timestamp, place: usize) {
        let router = self.requests[place].router;
        let Some(sent) = self.sent.get_mut(&place) else { return };
        sent.has_output = true;
        let (ticket, saves, engine) = (sent.ticket, sent.saves, sent.engine);
        let seen_at = now + Duration::from_micros(HOP_US);
        self.policy.note_output(seen_at, router, ticket);
        let is_in_time = seen_at <= self.requests[place].expected_by;
        self.ended.push(Ended::answered(&self.requests[place], seen_at, is_in_time));
        if saves {
            let levels = levels_for(&self.requests[place], self.engines[engine].version);
            let run = Run {
                request: place,
                urgency: 0,
                levels,
                output_tokens: 0,
                fetchable: 0,
                fetch_ms_per_token: 0.0,
            };
            self.plan(now + Duration::from_millis(SAVED_AFTER_MS), Event::Saved(run));
        }
    }

    fn finish(&mut self, now: Timestamp, place: usize) {
        // A request of one token ends with its first output, which is on its way.
        let router = self.requests[place].router;
        if let Some(sent) = self.sent.get(&place) {
            self.policy.end(now, router, sent.ticket, HealthSignal::Answered);
        }
    }

    fn fail(&mut self, now: Timestamp, place: usize, sign: HealthSignal) {
        let router = self.requests[place].router;
        let Some(sent) = self.sent.remove(&place) else { return };
        self.policy.end(now, router, sent.ticket, sign);
        if !sent.has_output {
            self.ended.push(Ended::failed(&self.requests[place]));
        }
    }

    fn refuse(&mut self, now: Timestamp, place: usize, come_back_at: Timestamp) {
        let request = &self.requests[place];
        let abuses = self.setting.pattern == LoadPattern::ImmediateRetries;
        let at_once = Duration::from_millis(REPEAT_AFTER_MS);
        let back_at = if abuses { now + at_once } else { come_back_at };
        if request.is_return || back_at >= request.deadline {
            self.ended.push(Ended::refused(request));
            return;
        }
        let again = Arrival { is_return: true, at: back_at, ..request.clone() };
        if abuses {
            // The same caller asks twice more; only its first answer counts.
            for n in 1..3_u32 {
                let extra = Arrival { draw: again.draw ^ u64::from(n), ..again.clone() };
                let at = back_at + at_once * n;
                self.policy.place(at, &extra, &self.engines, &self.store);
            }
        }
        self.requests[place] = again;
        self.plan(back_at, Event::Arrive(place));
    }

    fn tell(&mut self, now: Timestamp, router: usize) {
        let Some(ms) = self.setting.gossip_ms else { return };
        if let Some(news) = self.policy.tell(router) {
            for other in (0..self.setting.routers).filter(|other| *other != router) {
                if self.rng.random::<f64>() >= LOST_DATAGRAMS {
                    let news = news.clone();
                    let at = now + Duration::from_micros(HOP_US);
                    self.plan(at, Event::Hear { router: other, from: router, news });
                }
            }
        }
        self.plan(now + Duration::from_millis(ms), Event::Tell(router));
    }

    fn trouble(&mut self, now: Timestamp, step: Step) {
        match step {
            Step::Lose(engine) => {
                self.engines[engine].is_up = false;
                for request in self.engines[engine].crash() {
                    self.fail(now, request, HealthSignal::ConnectionLost);
                }
                let seen_at = now + Duration::from_millis(LOSS_SEEN_MS);
                self.plan(seen_at, Event::Trouble(Step::SeeLost(engine)));
            }
            Step::SeeLost(engine) => self.policy.see_engine(now, engine, EngineState::Lost),
            Step::Restore(engine) => {
                let version = self.engines[engine].version;
                let mut restored = Engine::new();
                (restored.version, restored.life) = (version, self.engines[engine].life + 1);
                for request in self.engines[engine].crash() {
                    self.fail(now, request, HealthSignal::ConnectionLost);
                }
                self.engines[engine] = restored;
                self.policy.see_engine(now, engine, EngineState::Back);
            }
            Step::Drain(engine) => {
                self.engines[engine].is_draining = true;
                self.policy.see_engine(now, engine, EngineState::Draining);
            }
            Step::Grey(engine, is_grey) => self.engines[engine].is_grey = is_grey,
            Step::NameWeights(version) => {
                self.version = version;
                self.policy.name_weights(now, version);
            }
            Step::Loaded(engine, version) => {
                let state = &mut self.engines[engine];
                state.version = version;
                state.is_loading = false;
                state.cached.clear();
                self.loading.remove(&engine);
                self.policy.see_engine(now, engine, EngineState::Loaded(version));
                self.wake(now, engine);
            }
        }
    }

    /// Orders engines to load new weights; each loads once its runs have ended.
    fn order_loads(&mut self, now: Timestamp) {
        for engine in self.policy.orders(now, &self.engines, self.version) {
            let state = &mut self.engines[engine];
            if state.is_up && !state.is_loading {
                state.is_loading = true;
                self.policy.see_engine(now, engine, EngineState::Loading);
            }
        }
        let together = self.engines.iter().filter(|engine| engine.is_loading).count();
        for engine in 0..self.engines.len() {
            let state = &mut self.engines[engine];
            let is_due = state.is_loading && state.has_finished() && state.version < self.version;
            if is_due && self.loading.insert(engine) {
                // Engines that load together share what they read from.
                let slower = (together as f64 / 2.0).max(1.0).sqrt();
                let takes = Duration::from_millis(LOAD_MS).mul_f64(slower);
                self.plan(now + takes, Event::Trouble(Step::Loaded(engine, self.version)));
            }
        }
    }

    fn summary(mut self) -> Summary {
        // What is neither answered nor refused by the end was not served.
        let unanswered = self.requests.len().saturating_sub(self.ended.len());
        let computed = self.engines.iter().map(|engine| engine.computed).sum();
        let preempted = self.engines.iter().map(|engine| engine.preempted).sum();
        self.ended.sort_by_key(|ended| ended.kind);
        Summary::new(&self.ended, &self.requests, unanswered, computed, self.repeated, preempted)
    }
}
