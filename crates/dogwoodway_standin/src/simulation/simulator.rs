//! The event loop of a simulation: a queue of events in the order of simulated time.

mod disturbances;
mod kv_store;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use dogwoodway_routing::direct::{
    fleet::RequestKey, health::HealthSignal, prompt::PrefixKey, token_lru::TokenLru,
};
use dogwoodway_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    arrivals::{Arrival, CLASSES, START_TIME, generate_arrivals, mean_own_tokens},
    engine::{Engine, EngineRequest, StepOutput, fetch_ms_per_token, prefill_tokens_per_ms},
    pattern::{LoadPattern, SimulationConfig},
    policy::{
        GossipUpdate, KvSource, PlacementDecision, Policy, PolicyKind, build_policy,
        prompt_segments, shared_segments,
    },
    summary::{RequestOutcome, Summary},
};

use self::disturbances::FleetEvent;
pub(super) use self::kv_store::KvStore;

/// Capacity of the KV store, in tokens.
pub(super) const STORE_CAPACITY_TOKENS: u64 = 972_571;

/// Time of a message between VMs, in microseconds.
const NETWORK_DELAY_US: u64 = 700;

/// Interval at which routers poll the KV store for changes of its contents, in milliseconds.
const STORE_POLL_INTERVAL_MS: u64 = 120;

/// Delay until a change of the KV store's contents can be polled, in milliseconds.
const STORE_REPORT_DELAY_MS: u64 = 80;

/// Interval of the periodic work of the policy and of the check for engines to load new weights, in
/// milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Share of datagrams that are lost.
const DATAGRAM_LOSS_SHARE: f64 = 0.01;

/// Share of the requests that a faulty engine fails.
const GRAY_FAILURE_SHARE: f64 = 0.6;

/// Time after which a faulty engine fails a request, in milliseconds.
const GRAY_FAILURE_DELAY_MS: u64 = 5;

/// Time from the first output of a request until the KV store holds its prompt, in milliseconds.
const SAVE_DELAY_MS: u64 = 40;

/// Interval between the retries of a refused caller in [`LoadPattern::ImmediateRetries`], in
/// milliseconds.
const IMMEDIATE_RETRY_DELAY_MS: u64 = 20;

/// Time after which such a caller drops the retries beyond the first one, in milliseconds.
const EXTRA_RETRY_LIFETIME_MS: u64 = 100;

/// Time from the crash of an engine until routers detect it, in milliseconds. Requests sent to the
/// engine meanwhile fail after the same time.
const LOSS_DETECTION_MS: u64 = 250;

/// Events that follow from a step carry the incarnation of the engine, and are ignored if the
/// engine has crashed since.
enum Event {
    RequestArrived(usize),
    StepStarted {
        engine: usize,
        incarnation: u64,
    },
    StepFinished {
        engine: usize,
        incarnation: u64,
    },
    FirstOutput {
        request: usize,
        engine: usize,
        incarnation: u64,
    },
    PromptSaved(EngineRequest),
    /// A crashed or faulty engine fails a request.
    RequestFailed {
        request: usize,
    },
    /// A caller closes the connection of a retry whose answer it does not need.
    ExtraRetryDropped {
        router: usize,
        request_key: Option<RequestKey>,
    },
    /// The router with this index sends gossip.
    GossipDue(usize),
    GossipReceived {
        router: usize,
        from: usize,
        update: GossipUpdate,
    },
    StorePollDue,
    TickDue,
    Fleet(FleetEvent),
}

/// A request that was sent to an engine.
struct InFlightRequest {
    engine: usize,
    /// Key of the request in the router's fleet.
    request_key: Option<RequestKey>,
    /// Whether the engine saves the prompt to the KV store.
    saves: bool,
    has_output: bool,
}

struct Simulator {
    config: SimulationConfig,
    policy: Box<dyn Policy>,
    engines: Vec<Engine>,
    store: KvStore,
    requests: Vec<Arrival>,
    /// By index into `requests`. Answered requests stay, failed ones are removed.
    in_flight: HashMap<usize, InFlightRequest>,
    outcomes: Vec<RequestOutcome>,
    /// All scheduled events; `None` for those handled.
    events: Vec<Option<Event>>,
    /// Time and index of the events to handle.
    queue: BinaryHeap<Reverse<(Timestamp, usize)>>,
    rng: StdRng,
    /// Newest published version of the weights.
    published_version: u32,
    /// Prefixes of the prompts sent to any engine so far; they count as computed.
    computed_prefixes: HashSet<PrefixKey>,
    /// Tokens of shared prefixes that were computed although an engine had computed them before.
    recomputed_tokens: u64,
    /// Engines that have emptied their batch and are loading new weights.
    loading_engines: HashSet<usize>,
}

/// Simulates a load on engines under a policy, until all requests have ended or 20 seconds after
/// the last arrivals. The result is deterministic.
///
/// ```
/// use dogwoodway_standin::simulation::{PolicyKind, SimulationConfig, simulate};
///
/// let config = SimulationConfig { seconds: 2.0, load: 0.4, ..SimulationConfig::default() };
/// let summary = simulate(&config, PolicyKind::Router);
/// assert!(summary.relative_utility > 0.9, "{summary:?}");
/// assert_eq!(summary, simulate(&config, PolicyKind::Router), "a simulation is deterministic");
/// ```
pub fn simulate(config: &SimulationConfig, kind: PolicyKind) -> Summary {
    let mut simulator = Simulator::new(config, kind);
    let end = START_TIME + Duration::from_secs_f64(config.seconds + 20.0);
    while let Some(Reverse((now, event_index))) = simulator.queue.pop() {
        if now > end {
            break;
        }
        if let Some(event) = simulator.events[event_index].take() {
            simulator.handle(now, event);
        }
        if simulator.outcomes.len() == simulator.requests.len() {
            break;
        }
    }
    simulator.into_summary()
}

impl Simulator {
    fn new(config: &SimulationConfig, kind: PolicyKind) -> Simulator {
        let capacity = config.engines as f64 * prefill_tokens_per_ms() * 1e3 / mean_own_tokens();
        let requests = generate_arrivals(config, capacity * config.load);
        let mut simulator = Simulator {
            config: *config,
            policy: build_policy(kind, config),
            engines: vec![Engine::new(); config.engines],
            store: KvStore {
                contents: TokenLru::new(STORE_CAPACITY_TOKENS),
                changes: Vec::new(),
                stored_keys: HashSet::new(),
            },
            requests,
            in_flight: HashMap::new(),
            outcomes: Vec::new(),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(config.seed ^ 0x5eed),
            published_version: 1,
            computed_prefixes: HashSet::new(),
            recomputed_tokens: 0,
            loading_engines: HashSet::new(),
        };
        for i in 0..simulator.requests.len() {
            simulator.schedule(simulator.requests[i].at, Event::RequestArrived(i));
        }
        if let Some(ms) = config.gossip_ms {
            for router in 0..config.routers {
                // The routers' intervals are offset, because real routers are not synchronized.
                let offset = Duration::from_millis(ms * router as u64 / config.routers as u64);
                simulator.schedule(START_TIME + offset, Event::GossipDue(router));
            }
        }
        simulator.schedule(START_TIME, Event::StorePollDue);
        simulator.schedule(START_TIME, Event::TickDue);
        simulator.schedule_disturbances();
        simulator
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::RequestArrived(request) => self.handle_arrival(now, request),
            Event::StepStarted { engine, incarnation } => self.start_step(now, engine, incarnation),
            Event::StepFinished { engine, incarnation } => {
                self.finish_step(now, engine, incarnation);
            }
            Event::FirstOutput { request, engine, incarnation } => {
                if self.engines[engine].incarnation == incarnation {
                    self.record_first_output(now, request);
                }
            }
            Event::PromptSaved(engine_request) => self.store.save(now, &engine_request),
            Event::ExtraRetryDropped { router, request_key } => {
                self.policy.record_end(now, router, request_key, None);
            }
            Event::RequestFailed { request } => {
                self.fail_request(now, request, HealthSignal::Failed);
            }
            Event::GossipDue(router) => self.send_gossip(now, router),
            Event::GossipReceived { router, from, update } => {
                self.policy.apply_gossip(now, router, from, &update);
            }
            Event::StorePollDue => {
                let until = now.earlier_by(Duration::from_millis(STORE_REPORT_DELAY_MS));
                let changes = self.store.take_changes(until);
                self.policy.apply_store_changes(now, &changes);
                self.schedule(
                    now + Duration::from_millis(STORE_POLL_INTERVAL_MS),
                    Event::StorePollDue,
                );
            }
            Event::TickDue => {
                self.policy.tick(now);
                self.load_published_weights(now);
                self.schedule(now + Duration::from_millis(TICK_INTERVAL_MS), Event::TickDue);
            }
            Event::Fleet(event) => self.handle_fleet_event(now, event),
        }
    }

    fn handle_arrival(&mut self, now: Timestamp, request_index: usize) {
        let request = &self.requests[request_index];
        match self.policy.place(now, request, &self.engines, &self.store) {
            PlacementDecision::Refuse { retry_at } => {
                self.refuse_request(now, request_index, retry_at);
            }
            PlacementDecision::Run { engine, fetch_from, saves, request_key } => {
                let in_flight = InFlightRequest { engine, request_key, saves, has_output: false };
                let request = request.clone();
                self.in_flight.insert(request_index, in_flight);
                self.send(now, request_index, &request, engine, fetch_from);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        request_index: usize,
        request: &Arrival,
        engine: usize,
        fetch_from: Option<KvSource>,
    ) {
        if !self.engines[engine].is_up {
            let delay = Duration::from_millis(LOSS_DETECTION_MS);
            return self.schedule(now + delay, Event::RequestFailed { request: request_index });
        }
        if self.engines[engine].is_faulty && self.rng.random::<f64>() < GRAY_FAILURE_SHARE {
            let delay = Duration::from_millis(GRAY_FAILURE_DELAY_MS);
            return self.schedule(now + delay, Event::RequestFailed { request: request_index });
        }
        let segments = prompt_segments(request, self.engines[engine].version);
        let fetchable_segments = match fetch_from {
            None => 0,
            Some(KvSource::Store) => self.store.contents.matched(shared_segments(&segments)),
            Some(KvSource::Engine(other)) => {
                self.engines[other].cached_segments(shared_segments(&segments))
            }
        };
        let link_slowdown = if self.config.pattern == LoadPattern::SlowLinks { 10.0 } else { 1.0 };
        let engine_request = EngineRequest {
            id: request_index,
            priority: CLASSES[request.class].priority,
            segments,
            output_tokens: request.prompt.output_tokens,
            fetchable_segments,
            fetch_ms_per_token: fetch_ms_per_token(link_slowdown),
        };
        let (_, prefill_tokens) = self.engines[engine].fetch_and_prefill_tokens(&engine_request);
        let own = request.prompt.input_tokens - request.shared_tokens();
        let was_prefix_computed = shared_segments(&engine_request.segments)
            .iter()
            .all(|segment| self.computed_prefixes.contains(&segment.key));
        if was_prefix_computed {
            self.recomputed_tokens += u64::from(prefill_tokens.saturating_sub(own));
        }
        self.computed_prefixes.extend(engine_request.segments.iter().map(|segment| segment.key));
        self.engines[engine].enqueue(engine_request);
        self.wake(now + Duration::from_micros(NETWORK_DELAY_US), engine);
    }

    /// Schedules a step of an engine at `at`, unless one is already scheduled or under way.
    fn wake(&mut self, at: Timestamp, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        if !self.engines[engine].is_stepping {
            self.engines[engine].is_stepping = true;
            self.schedule(at, Event::StepStarted { engine, incarnation });
        }
    }

    fn start_step(&mut self, now: Timestamp, engine: usize, incarnation: u64) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation {
            return;
        }
        if state.is_idle() {
            state.is_stepping = false;
            return;
        }
        let duration = state.start_step(now);
        self.schedule(now + duration, Event::StepFinished { engine, incarnation });
    }

    fn finish_step(&mut self, now: Timestamp, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for output in self.engines[engine].finish_step(now) {
            match output {
                StepOutput::FirstToken { request, delay } => {
                    self.schedule(now + delay, Event::FirstOutput { request, engine, incarnation });
                }
                StepOutput::LastToken { request } => self.record_last_token(now, request),
            }
        }
        self.start_step(now, engine, incarnation);
    }

    fn record_first_output(&mut self, now: Timestamp, request_index: usize) {
        let router = self.requests[request_index].router;
        let Some(in_flight) = self.in_flight.get_mut(&request_index) else { return };
        in_flight.has_output = true;
        let (request_key, saves, engine) =
            (in_flight.request_key, in_flight.saves, in_flight.engine);
        let received_at = now + Duration::from_micros(NETWORK_DELAY_US);
        self.policy.record_first_output(received_at, router, request_key);
        let is_in_time = received_at <= self.requests[request_index].expected_by;
        self.outcomes.push(RequestOutcome::answered(
            &self.requests[request_index],
            received_at,
            is_in_time,
        ));
        if saves {
            let segments =
                prompt_segments(&self.requests[request_index], self.engines[engine].version);
            let engine_request = EngineRequest {
                id: request_index,
                priority: 0,
                segments,
                output_tokens: 0,
                fetchable_segments: 0,
                fetch_ms_per_token: 0.0,
            };
            self.schedule(
                now + Duration::from_millis(SAVE_DELAY_MS),
                Event::PromptSaved(engine_request),
            );
        }
    }

    fn record_last_token(&mut self, now: Timestamp, request_index: usize) {
        // The entry is kept: a request for one token ends with its first output, which may not have
        // been received yet.
        let router = self.requests[request_index].router;
        if let Some(in_flight) = self.in_flight.get(&request_index) {
            self.policy.record_end(
                now,
                router,
                in_flight.request_key,
                Some(HealthSignal::Answered),
            );
        }
    }

    fn fail_request(&mut self, now: Timestamp, request_index: usize, signal: HealthSignal) {
        let router = self.requests[request_index].router;
        let Some(in_flight) = self.in_flight.remove(&request_index) else { return };
        self.policy.record_end(now, router, in_flight.request_key, Some(signal));
        if !in_flight.has_output {
            self.outcomes.push(RequestOutcome::failed(&self.requests[request_index]));
        }
    }

    fn refuse_request(&mut self, now: Timestamp, request_index: usize, retry_at: Timestamp) {
        let request = &self.requests[request_index];
        let retries_at_once = self.config.pattern == LoadPattern::ImmediateRetries;
        let interval = Duration::from_millis(IMMEDIATE_RETRY_DELAY_MS);
        let arrives_at = if retries_at_once { now + interval } else { retry_at };
        if request.is_retry || arrives_at >= request.deadline {
            self.outcomes.push(RequestOutcome::refused(request));
            return;
        }
        let retry = Arrival { is_retry: true, at: arrives_at, ..request.clone() };
        if retries_at_once {
            // The caller sends two more requests; only the answer to the first one counts.
            for n in 1..3_u32 {
                let extra = Arrival { draw: retry.draw ^ u64::from(n), ..retry.clone() };
                let at = arrives_at + interval * n;
                let decision = self.policy.place(at, &extra, &self.engines, &self.store);
                if let PlacementDecision::Run { request_key, .. } = decision {
                    let router = extra.router;
                    let dropped_at = at + Duration::from_millis(EXTRA_RETRY_LIFETIME_MS);
                    self.schedule(dropped_at, Event::ExtraRetryDropped { router, request_key });
                }
            }
        }
        self.requests[request_index] = retry;
        self.schedule(arrives_at, Event::RequestArrived(request_index));
    }

    fn send_gossip(&mut self, now: Timestamp, router: usize) {
        let Some(ms) = self.config.gossip_ms else { return };
        if let Some(update) = self.policy.gossip_update(router) {
            for other in (0..self.config.routers).filter(|other| *other != router) {
                if self.rng.random::<f64>() >= DATAGRAM_LOSS_SHARE {
                    let update = update.clone();
                    let at = now + Duration::from_micros(NETWORK_DELAY_US);
                    self.schedule(
                        at,
                        Event::GossipReceived { router: other, from: router, update },
                    );
                }
            }
        }
        self.schedule(now + Duration::from_millis(ms), Event::GossipDue(router));
    }

    fn into_summary(mut self) -> Summary {
        // A request without an outcome was not served before the end of the simulation.
        let unanswered = self.requests.len().saturating_sub(self.outcomes.len());
        let computed_tokens = self.engines.iter().map(|engine| engine.computed_tokens).sum();
        let preemptions = self.engines.iter().map(|engine| engine.preemptions).sum();
        self.outcomes.sort_by_key(|outcome| outcome.class);
        Summary::new(
            &self.outcomes,
            &self.requests,
            unanswered,
            computed_tokens,
            self.recomputed_tokens,
            preemptions,
        )
    }
}
