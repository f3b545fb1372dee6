//! Messages that exchange state with other routers.

use std::time::Duration;

use dogwoodway_routing::{
    direct::fleet::{
        LeavingServer, LimitNotice, OriginPrompt, PromptUpdate, ServerLoad, VersionAge,
    },
    part_blame::PartNotice,
};
use kameo::{
    Reply,
    message::{Context, Message},
};

use crate::{
    clock,
    fleet_actor::{FingerprintEvent, FleetActor, LoadStage, WeightsUpdate},
};

/// Interval at which the ages of published versions are sent to other routers, in milliseconds. A
/// router needs them only shortly after its start.
const VERSION_AGES_INTERVAL_MS: u64 = 300;

/// Time after a router has appeared for which all others repeat what it may not know, in milliseconds.
/// It may become the aggregator of its zone, and then the one before, which repeats it at all times, is
/// none any more.
const REPETITION_MS: u64 = 3_000;

/// State of this router to send to the others.
#[derive(Clone, Debug, Default, Reply)]
pub(crate) struct RouterUpdate {
    /// Load of the sender's requests at each server; other servers are idle for this sender.
    pub(crate) loads: Vec<ServerLoad>,
    /// Engines that were recently ordered to load new weights or have loaded them.
    pub(crate) weights: Vec<WeightsUpdate>,
    /// Recently placed prompts, and the engines that hold their KV cache once it is computed.
    pub(crate) prompts: Vec<PromptUpdate>,
    /// Ages of recently published versions; sent only every [`VERSION_AGES_INTERVAL_MS`].
    pub(crate) versions: Vec<VersionAge>,
    /// Servers that have recently announced that they are shutting down.
    pub(crate) leaving: Vec<LeavingServer>,
    /// Evidence of prompt parts that crash engines.
    pub(crate) parts: Vec<PartNotice>,
    /// Limits that servers state.
    pub(crate) limits: Vec<LimitNotice>,
}

/// Builds the update to send to other routers.
pub(crate) struct CollectRouterUpdate {
    /// Whether this router aggregates the state of its zone.
    pub(crate) is_aggregator: bool,
}

impl Message<CollectRouterUpdate> for FleetActor {
    type Reply = RouterUpdate;

    async fn handle(
        &mut self,
        msg: CollectRouterUpdate,
        _: &mut Context<Self, Self::Reply>,
    ) -> RouterUpdate {
        let now = clock::now();
        self.weights_updates.retain(|(_, until)| *until > now);
        let weights = self.weights_updates.iter().map(|(change, _)| *change).collect();
        let prompts = self.fleet.take_prompt_updates();
        let versions = match now >= self.next_version_ages_at {
            true => self.fleet.recent_versions(now),
            false => Vec::new(),
        };
        if !versions.is_empty() {
            self.next_version_ages_at = now + Duration::from_millis(VERSION_AGES_INTERVAL_MS);
        }
        self.leaving_notices.retain(|(_, until)| *until > now);
        let leaving = self.leaving_notices.iter().map(|(leaving, _)| *leaving).collect();
        let repeats = msg.is_aggregator || now < self.repeats_until;
        let parts = self.part_evidence.take_notices(now, repeats);
        let limits = self.limit_reports.take_notices(now, &self.fleet, repeats);
        let loads = self.fleet.own_loads();
        RouterUpdate { loads, weights, prompts, versions, leaving, parts, limits }
    }
}

/// Applies what another router reports of itself, or the digest of several routers.
pub(crate) struct ApplyPeerUpdate {
    /// Id of the router that sent it; its previous loads are replaced.
    pub(crate) peer: u64,
    pub(crate) loads: Vec<ServerLoad>,
    pub(crate) prompts: Vec<OriginPrompt>,
}

impl Message<ApplyPeerUpdate> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyPeerUpdate, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.apply_peer_loads(now, msg.peer, &msg.loads);
        self.fleet.apply_origin_prompts(now, &msg.prompts);
    }
}

/// Drops the loads that other routers have reported, before they are reported in another way.
pub(crate) struct ClearPeerLoads;

impl Message<ClearPeerLoads> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _: ClearPeerLoads, _: &mut Context<Self, Self::Reply>) {
        self.fleet.clear_peer_loads();
    }
}

/// Applies what another router reports of the weights of engines.
pub(crate) struct ApplyWeightsNotices {
    pub(crate) weights: Vec<WeightsUpdate>,
    pub(crate) versions: Vec<VersionAge>,
}

impl Message<ApplyWeightsNotices> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyWeightsNotices, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        for age in &msg.versions {
            self.fleet.apply_version_age(now, age);
        }
        self.publish_start_limits();
        for change in msg.weights {
            let Some(key) = self.fleet.find_by_tag(change.server) else { continue };
            let is_behind = self.fleet.listing(key).is_some_and(|listing| {
                listing.weights.iter().any(|(_, version)| *version < change.version)
            });
            match change.stage {
                LoadStage::Loading if is_behind => self.fleet.mark_loading(now, key),
                LoadStage::Loading => {}
                LoadStage::Loaded => self.fleet.record_served_version(key, None, change.version),
            }
        }
    }
}

/// Applies what another router reports of prompt parts that crash engines.
pub(crate) struct ApplyPartNotices(pub(crate) Vec<PartNotice>);

impl Message<ApplyPartNotices> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyPartNotices, _: &mut Context<Self, Self::Reply>) {
        self.part_evidence.apply(clock::now(), &msg.0);
    }
}

/// Sets the routers that this one knows.
pub(crate) struct SetRouters {
    /// Number of routers, this one included.
    pub(crate) count: u32,
    /// Rank of this router.
    pub(crate) own: u64,
    /// Ranks of those that are alive, this one included, in ascending order.
    pub(crate) alive: Vec<u64>,
}

impl Message<SetRouters> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetRouters, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        if msg.alive.iter().any(|rank| !self.routers_alive.contains(rank)) {
            self.repeats_until = now + Duration::from_millis(REPETITION_MS);
        }
        self.routers_alive.clone_from(&msg.alive);
        self.router_count = msg.count.max(1);
        let position = msg.alive.iter().position(|rank| *rank == msg.own);
        self.router_position = position.unwrap_or_default() as u32;
        self.fleet.set_router_count(msg.count);
        self.fleet.set_routers(now, msg.own, msg.alive);
        self.part_evidence.set_router_count(msg.count);
    }
}

/// Applies an event about a request fingerprint, read from the routers' log.
pub(crate) struct ApplyFingerprintEvent(pub(crate) FingerprintEvent);

impl Message<ApplyFingerprintEvent> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyFingerprintEvent, _: &mut Context<Self, Self::Reply>) {
        self.crash_tracker.apply(clock::now(), &msg.0);
    }
}
