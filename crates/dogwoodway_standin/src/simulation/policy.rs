//! The ways to choose an engine that are weighed against each other.

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
        rollout::engines_to_load,
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
    arrivals::{Arrival, KINDS, MODEL, plain},
    engine::{Engine, KV_TOKEN_BYTES, KV_TOKENS, LINK_MBPS, Run, SLOTS, read_tokens_per_ms},
    pattern::SimulationConfig,
    simulator::Store,
};

/// Soonest time to come back for a caller that found no engine, in milliseconds.
const COME_BACK_MS: u64 = 300;

/// A way to choose an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The router's own decisions.
    Router,
    /// Any engine.
    Random,
    /// The engine with the fewest requests, as it truly is.
    LeastLoaded,
    /// The engine that the shared prefix hashes to.
    Rendezvous,
    /// The router's rules on the engines' true state, without delay.
    Oracle,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Choice {
    Run { engine: usize, fetch_from: Option<Source>, saves: bool, ticket: Option<RequestKey> },
    Refuse { come_back_at: Timestamp },
}

/// Where KV cache is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    Engine(usize),
}

/// What a router tells others.
#[derive(Clone, Debug)]
pub(super) struct News {
    loads: Vec<ServerLoad>,
    prompts: Vec<PromptUpdate>,
}

/// What decides, on the state of the world.
pub(super) trait Policy {
    /// Chooses for a request.
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        engines: &[Engine],
        store: &Store,
    ) -> Choice;

    /// Notes a first output.
    fn note_output(&mut self, _now: Timestamp, _router: usize, _ticket: Option<RequestKey>) {}

    /// Notes the end of a request.
    fn end(
        &mut self,
        _now: Timestamp,
        _router: usize,
        _ticket: Option<RequestKey>,
        _sign: HealthSignal,
    ) {
    }

    /// Returns what a router tells the others now.
    fn tell(&mut self, _router: usize) -> Option<News> {
        None
    }

    /// Takes in what another router told.
    fn hear(&mut self, _now: Timestamp, _router: usize, _from: usize, _news: &News) {}

    /// Takes in what the store tells of itself.
    fn see_store(&mut self, _now: Timestamp, _changes: &[KvChange]) {}

    /// Does what is due from time to time.
    fn tick(&mut self, _now: Timestamp) {}

    /// Notes that an engine was lost, is emptied, or is back.
    fn see_engine(&mut self, _now: Timestamp, _engine: usize, _state: EngineState) {}

    /// Notes that new weights were named.
    fn name_weights(&mut self, _now: Timestamp, _version: u32) {}

    /// Names the engines that are to load new weights.
    fn orders(&mut self, _now: Timestamp, engines: &[Engine], version: u32) -> Vec<usize> {
        let due = |engine: &Engine| engine.is_up && !engine.is_loading && engine.version < version;
        let loading = engines.iter().filter(|engine| engine.is_loading).count();
        let room = (engines.len() / 3).saturating_sub(loading);
        (0..engines.len()).filter(|i| due(&engines[*i])).take(room).collect()
    }
}

/// How an engine stands with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineState {
    Lost,
    Draining,
    Back,
    Loading,
    Loaded(u32),
}

/// Builds a policy.
pub(super) fn build(kind: PolicyKind, setting: &SimulationConfig) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Router => Box::new(Routers::new(setting)),
        simple => Box::new(Simple { kind: simple, pressure: QueuePressure::default() }),
    }
}

/// Returns the prefixes of a request's prompt under a version of the weights.
pub(super) fn levels_for(request: &Arrival, version: u32) -> Vec<PrefixSegment> {
    let scope = CacheScope { version: WeightsVersion(version), team: None };
    prefix_segments(&request.prompt, &scope.label())
}

/// Returns the prefixes that other prompts may share.
pub(super) fn shared(levels: &[PrefixSegment]) -> &[PrefixSegment] {
    levels.split_last().map_or(&[], |(_, shared)| shared)
}

/// Choices that need little state.
struct Simple {
    kind: PolicyKind,
    pressure: QueuePressure,
}

impl Simple {
    /// Predicts the milliseconds that a request waits at an engine, and that it is read for, with
    /// the price of what is computed again.
    fn predict(engine: &Engine, request: &Arrival, store: &Store) -> (f64, f64, f64) {
        let levels = levels_for(request, engine.version);
        let kept = store.kept.matched(shared(&levels));
        let run = Run {
            request: 0,
            urgency: KINDS[request.kind].urgency,
            levels,
            output_tokens: request.prompt.output_tokens,
            fetchable: kept,
            fetch_ms_per_token: 0.0,
        };
        let (_, unread) = engine.to_read(&run);
        let own = request.prompt.input_tokens - request.shared_tokens();
        let again = unread.saturating_sub(own);
        let wait_ms = engine.unread_before(u8::MAX) as f64 / read_tokens_per_ms();
        let read_ms = f64::from(unread) / read_tokens_per_ms();
        (wait_ms, read_ms, f64::from(again) * RECOMPUTE_MS_PER_TOKEN)
    }
}

impl Policy for Simple {
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        engines: &[Engine],
        store: &Store,
    ) -> Choice {
        let is_usable = |engine: &Engine| engine.is_up && !engine.is_draining && !engine.is_loading;
        let usable: Vec<_> = (0..engines.len()).filter(|i| is_usable(&engines[*i])).collect();
        let Some(&first) = usable.first() else {
            return Choice::Refuse { come_back_at: now + Duration::from_millis(COME_BACK_MS) };
        };
        let engine = match self.kind {
            PolicyKind::Random => usable[request.draw as usize % usable.len()],
            PolicyKind::LeastLoaded => {
                usable.iter().copied().min_by_key(|i| engines[*i].requests()).unwrap_or(first)
            }
            PolicyKind::Rendezvous => {
                let shared = &levels_for(request, 1)[0];
                let piece = PieceHash(u128::from(shared.key.0));
                let cost = |i: &usize| {
                    let key = rendezvous::ServerKey::new(&engine_name(*i));
                    rendezvous::cost(piece, rendezvous::Server { key, weight: 1 })
                };
                let by_cost = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
                usable.iter().copied().min_by(by_cost).unwrap_or(first)
            }
            PolicyKind::Oracle | PolicyKind::Router => {
                let sound = usable.iter().copied().filter(|i| !engines[*i].is_grey);
                let cost = |i: &usize| {
                    let (wait, read, again) = Simple::predict(&engines[*i], request, store);
                    wait + read + again
                };
                let best = sound.min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(first);
                let (wait_ms, ..) = Simple::predict(&engines[best], request, store);
                let kind = &KINDS[request.kind];
                let expected = request.expected_by - now;
                self.pressure.record(now, wait_ms);
                let pressure = &self.pressure;
                if let Some(after) =
                    admission::refuse_for_wait(wait_ms, expected, kind.urgency, pressure)
                {
                    return Choice::Refuse { come_back_at: now + after };
                }
                best
            }
        };
        let levels = levels_for(request, engines[engine].version);
        let shared = shared(&levels);
        let saves = store.kept.matched(shared) < shared.len();
        Choice::Run { engine, fetch_from: Some(Source::Store), saves, ticket: None }
    }
}

/// Routers as they are, each with what it knows.
struct Routers {
    fleets: Vec<Fleet>,
    keys: Vec<Vec<BackendKey>>,
    engines: HashMap<SocketAddr, usize>,
    revisions: Vec<u64>,
    model: ModelName,
    zone: AvailabilityZone,
}

impl Routers {
    fn new(setting: &SimulationConfig) -> Routers {
        let (model, zone): (ModelName, AvailabilityZone) = (plain(MODEL), plain("a"));
        let table = table(&model);
        let now = super::arrivals::START;
        let mut routers = Routers {
            fleets: Vec::new(),
            keys: Vec::new(),
            engines: (0..setting.engines).map(|i| (address(i), i)).collect(),
            revisions: vec![1; setting.engines],
            model,
            zone,
        };
        for _ in 0..setting.routers {
            let mut fleet = Fleet::new(routers.zone.clone());
            fleet.set_table(&table);
            fleet.set_router_count(setting.routers as u32);
            fleet.apply_store_changes(now, store_address(), true, &[]);
            let listed = (0..setting.engines).filter_map(|i| {
                let listing = routers.listing(i, Availability::Ready, 1, 1);
                fleet.apply_listing(now, listing).map(|(key, _)| key)
            });
            let keys = listed.collect();
            routers.keys.push(keys);
            routers.fleets.push(fleet);
        }
        routers
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

impl Policy for Routers {
    fn place(&mut self, now: Timestamp, request: &Arrival, _: &[Engine], _: &Store) -> Choice {
        let query = PlacementRequest {
            service: service(),
            prompt: Some(request.prompt.clone()),
            isolated_team: None,
            required_version: None,
            priority: KINDS[request.kind].urgency,
            deadline: request.deadline,
            expected_by: request.expected_by,
            tried: Vec::new(),
            draw: request.draw,
        };
        match self.fleets[request.router].place(now, &query) {
            Ok(placed) => {
                let source = |address: SocketAddr| match self.engines.get(&address) {
                    Some(engine) => Source::Engine(*engine),
                    None => Source::Store,
                };
                Choice::Run {
                    engine: self.engines[&placed.address],
                    fetch_from: placed.fetch_from.map(source),
                    saves: placed.save_to.is_some(),
                    ticket: Some(placed.request),
                }
            }
            Err(refusal) => {
                let come_back =
                    admission::retry_after(now, refusal.retry_at, request.deadline, request.draw);
                Choice::Refuse { come_back_at: now + come_back }
            }
        }
    }

    fn note_output(&mut self, now: Timestamp, router: usize, ticket: Option<RequestKey>) {
        if let Some(ticket) = ticket {
            self.fleets[router].record_first_output(now, ticket);
        }
    }

    fn end(
        &mut self,
        now: Timestamp,
        router: usize,
        ticket: Option<RequestKey>,
        sign: HealthSignal,
    ) {
        if let Some(ticket) = ticket {
            self.fleets[router].end_request(now, ticket, Some(sign));
        }
    }

    fn tell(&mut self, router: usize) -> Option<News> {
        let fleet = &mut self.fleets[router];
        Some(News { loads: fleet.own_loads(), prompts: fleet.take_prompt_updates() })
    }

    fn hear(&mut self, now: Timestamp, router: usize, from: usize, news: &News) {
        let peer = from as u64 + 1;
        self.fleets[router].apply_peer_loads(now, peer, &news.loads);
        self.fleets[router].apply_prompt_updates(now, peer, &news.prompts);
    }

    fn see_store(&mut self, now: Timestamp, changes: &[KvChange]) {
        for fleet in &mut self.fleets {
            fleet.apply_store_changes(now, store_address(), false, changes);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for fleet in &mut self.fleets {
            fleet.expire_peer_loads(now);
        }
    }

    fn see_engine(&mut self, now: Timestamp, engine: usize, state: EngineState) {
        self.revisions[engine] += 1;
        let revision = self.revisions[engine];
        let draining = self.listing(engine, Availability::Draining, 1, revision);
        let ready = self.listing(engine, Availability::Ready, 1, revision);
        for (fleet, keys) in self.fleets.iter_mut().zip(&self.keys) {
            let key = keys[engine];
            match state {
                EngineState::Lost => fleet.record_probe(now, key, false),
                EngineState::Draining => {
                    fleet.apply_listing(now, draining.clone());
                }
                EngineState::Back => {
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

    fn name_weights(&mut self, now: Timestamp, version: u32) {
        for fleet in &mut self.fleets {
            let version = WeightsVersion(version);
            fleet.record_published_version(now, self.model.clone(), version, Duration::ZERO);
        }
    }

    fn orders(&mut self, now: Timestamp, _: &[Engine], _: u32) -> Vec<usize> {
        let weights = self.fleets[0].engine_weights(now);
        let due = engines_to_load(&weights).into_iter();
        due.filter_map(|due| self.keys[0].iter().position(|key| *key == due.server)).collect()
    }
}

fn service() -> ServiceName {
    plain("llm")
}

fn engine_name(engine: usize) -> BackendServerName {
    plain(&format!("engine-{engine}"))
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine >> 8) as u8, engine as u8], 80))
}

fn store_address() -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], 80))
}

fn table(model: &ModelName) -> RoutingTable {
    let named = |name: &str, kind| Service { name: plain(name), max_connections: 360, kind };
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
        kv_tokens: super::simulator::STORE_TOKENS,
        link_mbps: LINK_MBPS,
    };
    let services = vec![
        named("llm", ServiceKind::Engines(engines)),
        named("keep", ServiceKind::KvStore(store)),
    ];
    RoutingTable::from(TableParts { version: 1, services, ..TableParts::default() })
}
