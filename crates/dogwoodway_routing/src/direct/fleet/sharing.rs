//! What routers tell each other.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        distance::Distance,
        fleet::{Fleet, SAVED_AFTER_MS},
        load::Load,
        prompt::{PrefixKey, PrefixSegment},
    },
    rendezvous::{self, ServerKey},
};

/// News of prompts that wait to be told to other routers at most.
const MAX_PROMPT_NEWS: usize = 64;

/// Times that each piece of news is told: a hundredth of the datagrams is lost, so that one in ten
/// thousand is missed.
const TOLD_TIMES: u8 = 2;

/// Time for which another router's report counts, in milliseconds: several times that between
/// reports.
const PEER_REPORT_MS: u64 = 700;

/// Further time for each router, in milliseconds: with more routers each one is told less often.
const PEER_REPORT_PER_ROUTER_MS: u64 = 6;

/// Unread tokens are told in units of this many, so that most numbers take one byte.
const UNREAD_UNIT_TOKENS: u64 = 64;

/// Tokens held are told in units of this many.
const HELD_UNIT_TOKENS: u64 = 512;

/// Identifies a backend server among routers: part of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl From<ServerKey> for ServerTag {
    fn from(key: ServerKey) -> ServerTag {
        ServerTag((key.0 >> 32) as u32)
    }
}

/// What a router tells others of a prompt that it has placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUpdate {
    /// Number among the router's news.
    pub seq: u64,
    /// The engine.
    pub server: ServerTag,
    /// The prefixes that other prompts may share.
    pub shared: Vec<PrefixSegment>,
    /// Tokens of the rest of the prompt.
    pub own_tokens: u32,
    /// Milliseconds until the engine has computed the prompt, as predicted.
    pub ready_in_ms: u32,
    /// Whether the engine saves it at the store.
    pub is_saved: bool,
}

/// What one router tells others of its load at one server, in few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerTag,
    running: u32,
    unread_units: u64,
    held_units: u64,
}

impl ServerLoad {
    /// Rounds the load of a router's own requests.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{fleet::{ServerLoad, ServerTag}, load::Load};
    ///
    /// let load = Load { running: 3, pending_prefill_tokens: 6_410, kv_tokens: 30_000 };
    /// let told = ServerLoad::new(ServerTag(7), load);
    /// assert_eq!(told.load(), Load { pending_prefill_tokens: 6_400, kv_tokens: 30_208, ..load });
    /// ```
    pub fn new(server: ServerTag, load: Load) -> ServerLoad {
        let units = |tokens: u64, unit: u64| (tokens + unit / 2) / unit;
        ServerLoad {
            server,
            running: load.running,
            unread_units: units(load.pending_prefill_tokens, UNREAD_UNIT_TOKENS),
            held_units: units(load.kv_tokens, HELD_UNIT_TOKENS),
        }
    }

    /// Returns the load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            pending_prefill_tokens: self.unread_units.saturating_mul(UNREAD_UNIT_TOKENS),
            kv_tokens: self.held_units.saturating_mul(HELD_UNIT_TOKENS),
        }
    }
}

impl Fleet {
    /// Returns the load of this router's requests, for other routers.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let busy = self.servers.values().filter(|server| server.own != Load::default());
        busy.map(|server| ServerLoad::new(server.hash.into(), server.own)).collect()
    }

    /// Takes over the load that another router tells of; servers that it does not name are idle.
    pub fn apply_peer_loads(&mut self, now: Timestamp, peer: u64, loads: &[ServerLoad]) {
        for server in self.servers.values_mut() {
            if let Some((load, _)) = server.peers.remove(&peer) {
                server.peer_sum = server.peer_sum - load;
            }
        }
        for told in loads {
            let key = self.find_by_tag(told.server);
            let Some(server) = key.and_then(|key| self.servers.get_mut(key)) else { continue };
            server.peers.insert(peer, (told.load(), now));
            server.peer_sum = server.peer_sum + told.load();
        }
    }

    /// Forgets what peers told too long ago.
    pub fn expire_peer_loads(&mut self, now: Timestamp) {
        let per_router = PEER_REPORT_PER_ROUTER_MS * u64::from(self.routers);
        let limit = Duration::from_millis(PEER_REPORT_MS + per_router);
        for server in self.servers.values_mut() {
            server.peers.retain(|_, (_, at)| now - *at < limit);
            let fresh = server.peers.values().map(|(load, _)| *load);
            server.peer_sum = fresh.fold(Load::default(), |sum, load| sum + load);
        }
    }

    pub(super) fn queue_prompt_update(
        &mut self,
        server: ServerTag,
        levels: &[PrefixSegment],
        predicted_ms: f64,
        is_saved: bool,
    ) {
        let Some((own, shared)) = levels.split_last() else { return };
        self.next_seq += 1;
        let news = PromptUpdate {
            seq: self.next_seq,
            server,
            shared: shared.to_vec(),
            own_tokens: own.tokens,
            ready_in_ms: predicted_ms as u32,
            is_saved,
        };
        if self.prompt_news.len() >= MAX_PROMPT_NEWS {
            self.prompt_news.pop_front();
        }
        self.prompt_news.push_back((news, 0));
    }

    /// Returns the news of prompts to tell other routers; each is returned a few times.
    pub fn take_prompt_updates(&mut self) -> Vec<PromptUpdate> {
        for (_, told) in &mut self.prompt_news {
            *told += 1;
        }
        let news = self.prompt_news.iter().map(|(news, _)| news.clone()).collect();
        self.prompt_news.retain(|(_, told)| *told < TOLD_TIMES);
        news
    }

    /// Takes in another router's news of prompts.
    pub fn apply_prompt_updates(&mut self, now: Timestamp, peer: u64, all: &[PromptUpdate]) {
        let heard = self.heard_seqs.get(&peer).copied().unwrap_or_default();
        // A router that has restarted counts from the start.
        let has_restarted =
            all.last().is_some_and(|last| last.seq + MAX_PROMPT_NEWS as u64 <= heard);
        let heard = if has_restarted { 0 } else { heard };
        for news in all.iter().filter(|news| news.seq > heard) {
            self.apply_prompt_update(now, peer, news);
        }
        if let Some(last) = all.last() {
            self.heard_seqs.insert(peer, last.seq.max(heard));
        }
    }

    fn apply_prompt_update(&mut self, now: Timestamp, peer: u64, news: &PromptUpdate) {
        let Some(key) = self.find_by_tag(news.server) else { return };
        let Some(server) = self.servers.get_mut(key) else { return };
        let ready_at = now + Duration::from_millis(u64::from(news.ready_in_ms));
        let own = PrefixSegment {
            key: PrefixKey(rendezvous::mix(peer ^ news.seq)),
            tokens: news.own_tokens,
        };
        server.cached.insert(&[own], ready_at);
        server.cached.insert(&news.shared, ready_at);
        let distance = self.regions.distance(&self.zone, &server.listing.zone);
        if news.is_saved && distance < Distance::OtherRegion {
            let saved_at = ready_at + Duration::from_millis(SAVED_AFTER_MS);
            self.stores.note_saved(now, &news.shared, own, saved_at);
        }
    }
}
