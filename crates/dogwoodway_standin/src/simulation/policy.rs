//! Placement policies that simulations compare: the router's own decisions and baselines.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use clap::ValueEnum;
use dogwoodway_routing::{
    direct::{
        admission::{self, QueuePressure},
        cost::RECOMPUTE_MS_PER_TOKEN,
        fleet::{
            Availability, BackendKey, Fleet, PlacementRequest, PromptUpdate, RequestKey,
            ServerListing, ServerLoad,
        },
        health::HealthSignal,
        kv_stores::KvChange,
        prompt::{CacheScope, PrefixSegment, prefix_segments},
        rollout,
        table::{EngineSpec, KvStoreSpec, RoutingTable, Service, ServiceKind, TableParts},
    },
    rendezvous,
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ModelName, PieceHash, ServiceName, Timestamp,
    WeightsVersion,
};
use serde::Serialize;

use super::{
    arrivals::{Arrival, CLASSES, MODEL, parse_id},
    engine::{
        Engine, EngineRequest, KV_TOKEN_BYTES, KV_TOKENS, LINK_MBPS, SLOTS, prefill_tokens_per_ms,
    },
    pattern::SimulationConfig,
    simulator::KvStore,
};

/// Delay after which a caller is asked to retry if no engine can be used, in milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 300;

/// Policy for placing requests on engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The decisions of the router itself.
    Router,
    /// A random engine.
    Random,
    /// The engine with the fewest requests, according to its actual state.
    LeastLoaded,
    /// The engine selected by rendezvous hashing of the shared prefix.
    Rendezvous,
    /// The healthy engine with the lowest predicted cost, with load shedding as in the router, both
    /// from the actual state of engines and KV store instead of delayed reports.
    Oracle,
}

/// Decision of a [`Policy`] about a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlacementDecision {
    Run {
        engine: usize,
        fetch_from: Option<KvSource>,
        /// Whether the engine saves the prompt to the KV store.
        saves: bool,
        /// Key of the request in the router's [`Fleet`]; `None` for the other policies.
        request_key: Option<RequestKey>,
    },
    Refuse {
        retry_at: Timestamp,
    },
}

/// Source from which an engine fetches KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KvSource {
    Store,
    Engine(usize),
}

/// Gossip from one router to the others.
#[derive(Clone, Debug)]
pub(super) struct GossipUpdate {
    loads: Vec<ServerLoad>,
    prompts: Vec<PromptUpdate>,
}

/// Places requests on engines and decides which engines load new weights. The simulator reports the
/// events that routers learn of through the other methods, which only [`RouterPolicy`] implements.
pub(super) trait Policy {
    /// Chooses an engine for a request, or refuses it.
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        engines: &[Engine],
        store: &KvStore,
    ) -> PlacementDecision;

    /// Records that a router received the first output of a request.
    fn record_first_output(
        &mut self,
        _now: Timestamp,
        _router: usize,
        _request_key: Option<RequestKey>,
    ) {
    }

    /// Records that a request ended, and how.
    fn record_end(
        &mut self,
        _now: Timestamp,
        _router: usize,
        _request_key: Option<RequestKey>,
        _signal: Option<HealthSignal>,
    ) {
    }

    /// Returns what a router sends to the others now; `None` if the policy has no gossip.
    fn gossip_update(&mut self, _router: usize) -> Option<GossipUpdate> {
        None
    }

    /// Applies gossip that a router received from another one.
    fn apply_gossip(
        &mut self,
        _now: Timestamp,
        _router: usize,
        _from: usize,
        _update: &GossipUpdate,
    ) {
    }

    /// Applies changes that the KV store reports of its contents.
    fn apply_store_changes(&mut self, _now: Timestamp, _changes: &[KvChange]) {}

    /// Does periodic work.
    fn tick(&mut self, _now: Timestamp) {}

    /// Records a change of the state of an engine.
    fn record_engine_state(&mut self, _now: Timestamp, _engine: usize, _state: EngineState) {}

    /// Records that a new version of the weights was published.
    fn record_published_weights(&mut self, _now: Timestamp, _version: u32) {}

    /// Returns the engines to order now to load new weights. By default a third of the engines may
    /// load at the same time.
    fn engines_to_load(&mut self, _now: Timestamp, engines: &[Engine], version: u32) -> Vec<usize> {
        let is_due =
            |engine: &Engine| engine.is_up && !engine.is_loading && engine.version < version;
        let loading = engines.iter().filter(|engine| engine.is_loading).count();
        let available = (engines.len() / 3).saturating_sub(loading);
        (0..engines.len()).filter(|i| is_due(&engines[*i])).take(available).collect()
    }
}

/// State of an engine, as routers learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineState {
    Lost,
    Draining,
    Restored,
    Loading,
    /// New weights of this version are loaded.
    Loaded(u32),
}

/// Creates the policy of a kind.
pub(super) fn build_policy(kind: PolicyKind, config: &SimulationConfig) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Router => Box::new(RouterPolicy::new(config)),
        baseline => Box::new(BaselinePolicy { kind: baseline, pressure: QueuePressure::default() }),
    }
}

/// Returns the segments of a request's prompt, with keys for a version of the weights.
pub(super) fn prompt_segments(request: &Arrival, version: u32) -> Vec<PrefixSegment> {
    let scope = CacheScope { version: WeightsVersion(version), team: None };
    prefix_segments(&request.prompt, &scope.label())
}

/// Returns the segments that other prompts may share: all but the last one.
pub(super) fn shared_segments(segments: &[PrefixSegment]) -> &[PrefixSegment] {
    segments.split_last().map_or(&[], |(_, shared)| shared)
}

/// The policies other than that of the router. They use the actual state of the engines.
struct BaselinePolicy {
    kind: PolicyKind,
    pressure: QueuePressure,
}

impl BaselinePolicy {
    /// Predicts for a request on an engine the time in the queue, the time for its prefill, and the
    /// cost of computing its shared prefix again, all in milliseconds.
    fn predict(engine: &Engine, request: &Arrival, store: &KvStore) -> (f64, f64, f64) {
        let segments = prompt_segments(request, engine.version);
        let fetchable_segments = store.contents.matched(shared_segments(&segments));
        let engine_request = EngineRequest {
            id: 0,
            priority: CLASSES[request.class].priority,
            segments,
            output_tokens: request.prompt.output_tokens,
            fetchable_segments,
            fetch_ms_per_token: 0.0,
        };
        let (_, prefill_tokens) = engine.fetch_and_prefill_tokens(&engine_request);
        let own = request.prompt.input_tokens - request.shared_tokens();
        let recomputed = prefill_tokens.saturating_sub(own);
        let wait_ms = engine.pending_prefill_tokens(u8::MAX) as f64 / prefill_tokens_per_ms();
        let prefill_ms = f64::from(prefill_tokens) / prefill_tokens_per_ms();
        (wait_ms, prefill_ms, f64::from(recomputed) * RECOMPUTE_MS_PER_TOKEN)
    }
}

impl Policy for BaselinePolicy {
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        engines: &[Engine],
        store: &KvStore,
    ) -> PlacementDecision {
        let is_usable = |engine: &Engine| engine.is_up && !engine.is_draining && !engine.is_loading;
        let usable: Vec<_> = (0..engines.len()).filter(|i| is_usable(&engines[*i])).collect();
        let Some(&first) = usable.first() else {
            return PlacementDecision::Refuse {
                retry_at: now + Duration::from_millis(NO_ENGINE_RETRY_MS),
            };
        };
        let engine = match self.kind {
            PolicyKind::Random => usable[request.draw as usize % usable.len()],
            PolicyKind::LeastLoaded => {
                usable.iter().copied().min_by_key(|i| engines[*i].request_count()).unwrap_or(first)
            }
            PolicyKind::Rendezvous => {
                let shared = &prompt_segments(request, 1)[0];
                let piece = PieceHash(u128::from(shared.key.0));
                let cost = |i: &usize| {
                    let key = rendezvous::ServerKey::new(&engine_name(*i));
                    rendezvous::cost(piece, rendezvous::Server { key, weight: 1 })
                };
                let by_cost = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
                usable.iter().copied().min_by(by_cost).unwrap_or(first)
            }
            PolicyKind::Oracle | PolicyKind::Router => {
                let healthy = usable.iter().copied().filter(|i| !engines[*i].is_faulty);
                let cost = |i: &usize| {
                    let (wait, prefill, recompute) =
                        BaselinePolicy::predict(&engines[*i], request, store);
                    wait + prefill + recompute
                };
                let best = healthy.min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(first);
                let (wait_ms, ..) = BaselinePolicy::predict(&engines[best], request, store);
                let class = &CLASSES[request.class];
                let expected_latency = request.expected_by - now;
                self.pressure.record(now, wait_ms);
                let pressure = &self.pressure;
                if let Some(after) =
                    admission::refuse_for_wait(wait_ms, expected_latency, class.priority, pressure)
                {
                    return PlacementDecision::Refuse { retry_at: now + after };
                }
                best
            }
        };
        let segments = prompt_segments(request, engines[engine].version);
        let shared = shared_segments(&segments);
        let saves = store.contents.matched(shared) < shared.len();
        PlacementDecision::Run {
            engine,
            fetch_from: Some(KvSource::Store),
            saves,
            request_key: None,
        }
    }
}

/// The decisions of the router's own code. Each simulated router has a [`Fleet`] that knows only
/// what the router observes and what it is told.
struct RouterPolicy {
    /// Fleet of each router.
    fleets: Vec<Fleet>,
    /// For each router, the keys of the engines in its fleet.
    engine_keys: Vec<Vec<BackendKey>>,
    engine_by_address: HashMap<SocketAddr, usize>,
    /// Revision of the listing of each engine.
    revisions: Vec<u64>,
    model: ModelName,
    zone: AvailabilityZone,
}

impl RouterPolicy {
    fn new(config: &SimulationConfig) -> RouterPolicy {
        let (model, zone): (ModelName, AvailabilityZone) = (parse_id(MODEL), parse_id("a"));
        let table = table(&model);
        let now = super::arrivals::START_TIME;
        let mut policy = RouterPolicy {
            fleets: Vec::new(),
            engine_keys: Vec::new(),
            engine_by_address: (0..config.engines).map(|i| (address(i), i)).collect(),
            revisions: vec![1; config.engines],
            model,
            zone,
        };
        for _ in 0..config.routers {
            let mut fleet = Fleet::new(policy.zone.clone());
            fleet.set_table(&table);
            fleet.set_router_count(config.routers as u32);
            fleet.apply_store_changes(now, store_address(), true, &[]);
            let listed = (0..config.engines).filter_map(|i| {
                let listing = policy.listing(i, Availability::Ready, 1, 1);
                fleet.apply_listing(now, listing).map(|(key, _)| key)
            });
            let keys = listed.collect();
            policy.engine_keys.push(keys);
            policy.fleets.push(fleet);
        }
        policy
    }

    fn listing(
        &self,
        engine: usize,
        availability: Availability,
        version: u32,
        revision: u64,
    ) -> ServerListing {
        ServerListing {
            name: engine_name(engine),
            service: service(),
            address: address(engine),
            zone: self.zone.clone(),
            slots: SLOTS as u32,
            availability,
            weights: vec![(self.model.clone(), WeightsVersion(version))],
            started_at_ms: 1,
            revision,
        }
    }
}

impl Policy for RouterPolicy {
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        _: &[Engine],
        _: &KvStore,
    ) -> PlacementDecision {
        let placement_request = PlacementRequest {
            service: service(),
            prompt: Some(request.prompt.clone()),
            isolated_team: None,
            required_version: None,
            priority: CLASSES[request.class].priority,
            deadline: request.deadline,
            expected_by: request.expected_by,
            tried: Vec::new(),
            draw: request.draw,
        };
        match self.fleets[request.router].place(now, &placement_request) {
            Ok(placed) => {
                let source = |address: SocketAddr| match self.engine_by_address.get(&address) {
                    Some(engine) => KvSource::Engine(*engine),
                    None => KvSource::Store,
                };
                PlacementDecision::Run {
                    engine: self.engine_by_address[&placed.address],
                    fetch_from: placed.fetch_from.map(source),
                    saves: placed.save_to.is_some(),
                    request_key: Some(placed.request),
                }
            }
            Err(refusal) => {
                let retry_after =
                    admission::retry_after(now, refusal.retry_at, request.deadline, request.draw);
                PlacementDecision::Refuse { retry_at: now + retry_after }
            }
        }
    }

    fn record_first_output(
        &mut self,
        now: Timestamp,
        router: usize,
        request_key: Option<RequestKey>,
    ) {
        if let Some(request_key) = request_key {
            self.fleets[router].record_first_output(now, request_key);
        }
    }

    fn record_end(
        &mut self,
        now: Timestamp,
        router: usize,
        request_key: Option<RequestKey>,
        signal: Option<HealthSignal>,
    ) {
        if let Some(request_key) = request_key {
            self.fleets[router].end_request(now, request_key, signal);
        }
    }

    fn gossip_update(&mut self, router: usize) -> Option<GossipUpdate> {
        let fleet = &mut self.fleets[router];
        Some(GossipUpdate { loads: fleet.own_loads(), prompts: fleet.take_prompt_updates() })
    }

    fn apply_gossip(&mut self, now: Timestamp, router: usize, from: usize, update: &GossipUpdate) {
        let peer = from as u64 + 1;
        self.fleets[router].apply_peer_loads(now, peer, &update.loads);
        self.fleets[router].apply_prompt_updates(now, peer, &update.prompts);
    }

    fn apply_store_changes(&mut self, now: Timestamp, changes: &[KvChange]) {
        for fleet in &mut self.fleets {
            fleet.apply_store_changes(now, store_address(), false, changes);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for fleet in &mut self.fleets {
            fleet.expire_peer_loads(now);
        }
    }

    fn record_engine_state(&mut self, now: Timestamp, engine: usize, state: EngineState) {
        self.revisions[engine] += 1;
        let revision = self.revisions[engine];
        let draining = self.listing(engine, Availability::Draining, 1, revision);
        let ready = self.listing(engine, Availability::Ready, 1, revision);
        for (fleet, keys) in self.fleets.iter_mut().zip(&self.engine_keys) {
            let key = keys[engine];
            match state {
                EngineState::Lost => fleet.record_probe(now, key, false),
                EngineState::Draining => {
                    fleet.apply_listing(now, draining.clone());
                }
                EngineState::Restored => {
                    fleet.apply_listing(now, ready.clone());
                    fleet.record_probe(now, key, true);
                }
                EngineState::Loading => fleet.mark_loading(now, key),
                EngineState::Loaded(version) => {
                    fleet.record_served_version(key, Some(&self.model), WeightsVersion(version));
                }
            }
        }
    }

    fn record_published_weights(&mut self, now: Timestamp, version: u32) {
        for fleet in &mut self.fleets {
            let version = WeightsVersion(version);
            fleet.record_published_version(now, self.model.clone(), version, Duration::ZERO);
        }
    }

    fn engines_to_load(&mut self, now: Timestamp, _: &[Engine], _: u32) -> Vec<usize> {
        let weights = self.fleets[0].engine_weights(now);
        let due = rollout::engines_to_load(&weights).into_iter();
        due.filter_map(|due| self.engine_keys[0].iter().position(|key| *key == due.server))
            .collect()
    }
}

fn service() -> ServiceName {
    parse_id("llm")
}

fn engine_name(engine: usize) -> BackendServerName {
    parse_id(&format!("engine-{engine}"))
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine >> 8) as u8, engine as u8], 80))
}

fn store_address() -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], 80))
}

fn table(model: &ModelName) -> RoutingTable {
    let named = |name: &str, kind| Service { name: parse_id(name), max_connections: 360, kind };
    let engines = EngineSpec {
        slots: SLOTS as u32,
        kv_tokens: KV_TOKENS,
        kv_token_bytes: KV_TOKEN_BYTES,
        link_mbps: LINK_MBPS,
        models: vec![model.clone()],
    };
    let store = KvStoreSpec {
        address: store_address(),
        zone: None,
        kv_tokens: super::simulator::STORE_CAPACITY_TOKENS,
        link_mbps: LINK_MBPS,
    };
    let services = vec![
        named("llm", ServiceKind::Engines(engines)),
        named("keep", ServiceKind::KvStore(store)),
    ];
    RoutingTable::from(TableParts { version: 1, services, ..TableParts::default() })
}
