//! Messages about other routers: what they are told, and what they tell.

use std::time::Duration;

use dogwoodway_routing::direct::fleet::{PromptUpdate, ServerLoad, VersionAge};
use kameo::{
    Reply,
    message::{Context, Message},
};
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    fleet_actor::{ContentNote, FleetActor, LoadStage, WeightsNews},
};

/// Time between two times that the ages of versions are told, in milliseconds: a router needs them
/// soon after its start only.
const TELL_VERSIONS_EVERY_MS: u64 = 300;

/// What a router tells others.
#[derive(Clone, Debug, Default, Reply, Serialize, Deserialize)]
pub(crate) struct RouterNews {
    pub(crate) loads: Vec<ServerLoad>,
    pub(crate) weights: Vec<WeightsNews>,
    pub(crate) prompts: Vec<PromptUpdate>,
    pub(crate) versions: Vec<VersionAge>,
}

/// Asks what to tell other routers.
pub(crate) struct AskNews;

impl Message<AskNews> for FleetActor {
    type Reply = RouterNews;

    async fn handle(&mut self, _: AskNews, _: &mut Context<Self, Self::Reply>) -> RouterNews {
        let now = clock::now();
        self.news.retain(|(_, until)| *until > now);
        let weights = self.news.iter().map(|(news, _)| *news).collect();
        let prompts = self.fleet.take_prompt_updates();
        let versions = match now >= self.versions_due_at {
            true => self.fleet.recent_versions(now),
            false => Vec::new(),
        };
        if !versions.is_empty() {
            self.versions_due_at = now + Duration::from_millis(TELL_VERSIONS_EVERY_MS);
        }
        RouterNews { loads: self.fleet.own_loads(), weights, prompts, versions }
    }
}

/// Tells what another router said.
pub(crate) struct SeePeer {
    pub(crate) peer: u64,
    pub(crate) news: RouterNews,
}

impl Message<SeePeer> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeePeer, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.apply_peer_loads(now, msg.peer, &msg.news.loads);
        self.fleet.apply_prompt_updates(now, msg.peer, &msg.news.prompts);
        for told in &msg.news.versions {
            self.fleet.apply_version_age(now, told);
        }
        for news in msg.news.weights {
            let Some(key) = self.fleet.find_by_tag(news.server) else { continue };
            let is_behind = self.fleet.listing(key).is_some_and(|listing| {
                listing.weights.iter().any(|(_, version)| *version < news.version)
            });
            match news.stage {
                LoadStage::Loading if is_behind => self.fleet.mark_loading(now, key),
                LoadStage::Loading => {}
                LoadStage::Loaded => self.fleet.record_served_version(key, None, news.version),
            }
        }
    }
}

/// Tells how many routers there are.
pub(crate) struct SetRouters(pub(crate) u32);

impl Message<SetRouters> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetRouters, _: &mut Context<Self, Self::Reply>) {
        self.routers = msg.0.max(1);
        self.fleet.set_router_count(msg.0);
    }
}

/// Tells what a router saw of a request's content.
pub(crate) struct SeeContent(pub(crate) ContentNote);

impl Message<SeeContent> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeContent, _: &mut Context<Self, Self::Reply>) {
        self.contents.see(clock::now(), &msg.0);
    }
}
