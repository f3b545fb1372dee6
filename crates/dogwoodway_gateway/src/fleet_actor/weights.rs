//! Messages about the weights that engines serve and load.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::{
    direct::{
        fleet::{BackendKey, ServerTag},
        rollout::EngineWeights,
    },
    rendezvous::ServerKey,
};
use dogwoodway_types::{BackendServerName, ModelName, WeightsVersion};
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};

use crate::{
    clock,
    fleet_actor::{ApplyServerNotice, FleetActor, LoadStage, WEIGHTS_UPDATE_TTL_MS, WeightsUpdate},
};

/// Returns the state of the roll-out of new weights, by engine.
pub(crate) struct GetRolloutState;

impl Message<GetRolloutState> for FleetActor {
    type Reply = Vec<EngineTarget>;

    async fn handle(
        &mut self,
        _: GetRolloutState,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<EngineTarget> {
        let now = clock::now();
        let engines = self.fleet.engine_weights(now).into_iter();
        let targets = engines.filter_map(|weights| {
            let listing = self.fleet.listing(weights.server)?;
            Some(EngineTarget {
                name: listing.name.clone(),
                address: listing.address,
                started_at_ms: listing.started_at_ms,
                accepts_calls: self.fleet.wants_requests(now, weights.server),
                weights,
            })
        });
        targets.collect()
    }
}

/// An engine, where to reach it, and the state of its weights.
#[derive(Clone, Debug)]
pub(crate) struct EngineTarget {
    pub(crate) name: BackendServerName,
    pub(crate) address: SocketAddr,
    /// Start time of the engine's process.
    pub(crate) started_at_ms: u64,
    /// Whether the engine is not leaving and has not asked for a pause.
    pub(crate) accepts_calls: bool,
    pub(crate) weights: EngineWeights,
}

/// Updates what the fleet knows of an engine's weights.
pub(crate) struct UpdateWeightsState {
    pub(crate) server: BackendKey,
    /// The model that `state` is about; absent if that is not known.
    pub(crate) model: Option<ModelName>,
    pub(crate) state: WeightsState,
}

/// State of an engine's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WeightsState {
    /// It was ordered to load this version. Shared with other routers.
    Loading(WeightsVersion),
    /// It reports that it has loaded this version. Shared with other routers.
    Loaded(WeightsVersion),
    /// A response or report names this version.
    Serving(WeightsVersion),
    /// The order to load new weights has ended without effect.
    LoadFailed,
    /// It refused a request because it serves another version.
    Mismatch,
}

impl Message<UpdateWeightsState> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: UpdateWeightsState, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let Some(listing) = self.fleet.listing(msg.server) else { return };
        let tag = ServerTag::from(ServerKey::new(&listing.name));
        let announce = |version, stage| WeightsUpdate { server: tag, version, stage };
        let announced = match msg.state {
            WeightsState::Loading(version) => {
                self.fleet.mark_loading(now, msg.server);
                Some(announce(version, LoadStage::Loading))
            }
            WeightsState::Loaded(version) => {
                self.fleet.record_served_version(msg.server, msg.model.as_ref(), version);
                Some(announce(version, LoadStage::Loaded))
            }
            WeightsState::Serving(version) => {
                self.fleet.record_served_version(msg.server, msg.model.as_ref(), version);
                None
            }
            WeightsState::Mismatch => {
                if self.fleet.record_version_mismatch(now, msg.server) {
                    self.query_weights(msg.server, msg.model, cx.actor_ref());
                }
                None
            }
            WeightsState::LoadFailed => {
                self.fleet.clear_loading(msg.server);
                self.weights_updates.retain(|(update, _)| update.server != tag);
                None
            }
        };
        if let Some(update) = announced {
            self.weights_updates.retain(|(other, _)| other.server != tag);
            self.weights_updates.push((update, now + Duration::from_millis(WEIGHTS_UPDATE_TTL_MS)));
            self.loads_changed.notify_one();
        }
    }
}

impl FleetActor {
    /// Publishes until when requests may start on outdated weights, if that has changed.
    pub(super) fn publish_start_limits(&self) {
        let limits = self.fleet.start_limits();
        self.signals.start_limits.send_if_modified(|known| {
            let has_changed = **known != limits;
            if has_changed {
                *known = Arc::new(limits);
            }
            has_changed
        });
    }

    /// Asks an engine which versions it serves, and records the reply.
    fn query_weights(&self, server: BackendKey, model: Option<ModelName>, actor: &ActorRef<Self>) {
        if !self.fleet.wants_requests(clock::now(), server) {
            return;
        }
        let Some(listing) = self.fleet.listing(server) else { return };
        let (name, address, started_at_ms) =
            (listing.name.clone(), listing.address, listing.started_at_ms);
        let (control, actor) = (self.control.clone(), actor.clone());
        tokio::spawn(async move {
            let answer = control.report(&name, address).await;
            let notice =
                ApplyServerNotice { server, started_at_ms, notice: answer.notice, sent_at: None };
            if !notice.notice.is_empty()
                && let Err(e) = actor.tell(notice).await
            {
                log::error!("could not apply the notice of an engine: {e}");
            }
            let report = match answer.result {
                Ok(report) => report,
                Err(why) => return log::debug!("no weights report from {name}: {why}"),
            };
            for (served, version) in report.weights {
                if model.as_ref().is_none_or(|model| *model == served) {
                    let state = WeightsState::Serving(version);
                    let update = UpdateWeightsState { server, model: Some(served), state };
                    if let Err(e) = actor.tell(update).await {
                        log::error!("could not update the weights state of an engine: {e}");
                    }
                }
            }
        });
    }
}
