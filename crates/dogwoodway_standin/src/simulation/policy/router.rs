//! The router's own placement.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use dogwoodway_routing::direct::{
    admission::{self},
    fleet::{Availability, BackendKey, Fleet, PlacementRequest, RequestKey, ServerListing},
    health::HealthSignal,
    kv_stores::KvChange,
    rollout,
    table::{EngineSpec, KvStoreSpec, RoutingTable, Service, ServiceKind, TableParts},
};
use dogwoodway_types::{
    AvailabilityZone, ModelName, ServiceName, SoftwareVersion, Timestamp, WeightsVersion,
};

use crate::simulation::{
    arrivals::{Arrival, CLASSES, MODEL, parse_id},
    engine::{Engine, KV_TOKEN_BYTES, KV_TOKENS, LINK_MBPS, SLOTS},
    pattern::SimulationConfig,
    policy::{EngineState, GossipUpdate, KvSource, PlacementDecision, Policy, engine_name},
    simulator::KvStore,
};

/// The decisions of the router's own code. Each simulated router has a [`Fleet`] that knows only
/// what the router observes and what it is told.
pub(super) struct RouterPolicy {
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
    pub(super) fn new(config: &SimulationConfig) -> RouterPolicy {
        let (model, zone): (ModelName, AvailabilityZone) = (parse_id(MODEL), parse_id("a"));
        let table = table(&model);
        let now = crate::simulation::arrivals::START_TIME;
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
            software: SoftwareVersion::from("v1"),
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
            preferred_version: None,
            required_software: None,
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
        kv_tokens: crate::simulation::simulator::STORE_CAPACITY_TOKENS,
        link_mbps: LINK_MBPS,
    };
    let services = vec![
        named("llm", ServiceKind::Engines(engines)),
        named("keep", ServiceKind::KvStore(store)),
    ];
    RoutingTable::from(TableParts { version: 1, services, ..TableParts::default() })
}
