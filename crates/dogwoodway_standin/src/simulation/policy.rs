//! Placement policies that simulations compare: the router's own decisions and baselines.

mod baseline;
mod router;

use clap::ValueEnum;
use dogwoodway_routing::direct::{
    admission::QueuePressure,
    fleet::{PromptUpdate, RequestKey, ServerLoad},
    health::HealthSignal,
    kv_stores::KvChange,
    prompt::{CacheScope, PrefixSegment, prefix_segments},
};
use dogwoodway_types::{BackendServerName, Timestamp, WeightsVersion};
use serde::Serialize;

use super::{
    arrivals::{Arrival, parse_id},
    engine::Engine,
    pattern::SimulationConfig,
    simulator::KvStore,
};

use self::{baseline::BaselinePolicy, router::RouterPolicy};

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

fn engine_name(engine: usize) -> BackendServerName {
    parse_id(&format!("engine-{engine}"))
}
