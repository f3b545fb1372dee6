//! Load and prompt updates that routers exchange by gossip.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        distance::Distance,
        fleet::{Fleet, STORE_SAVE_DELAY_MS},
        load::Load,
        prompt::{PrefixKey, PrefixSegment},
    },
    rendezvous::{self, ServerKey},
};

/// Most prompt updates that wait to be sent to other routers; the oldest are dropped first.
const MAX_PENDING_PROMPT_UPDATES: usize = 64;

/// Times that each update is sent. About 1% of the datagrams are lost, so two sends miss about one
/// update in ten thousand.
const SENDS_PER_UPDATE: u8 = 2;

/// Time for which the load reported by another router counts, in milliseconds; several times the
/// interval between reports.
const PEER_LOAD_TTL_MS: u64 = 700;

/// Additional time for each router, in milliseconds, because routers report less often the more of
/// them there are.
const PEER_LOAD_TTL_PER_ROUTER_MS: u64 = 6;

/// Unit in which pending prompt tokens are reported, so that most values are encoded in one byte.
const PENDING_PREFILL_UNIT_TOKENS: u64 = 64;

/// Unit in which tokens of KV cache are reported.
const KV_UNIT_TOKENS: u64 = 512;

/// Identifies a backend server in messages between routers: the upper half of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl From<ServerKey> for ServerTag {
    fn from(key: ServerKey) -> ServerTag {
        ServerTag((key.0 >> 32) as u32)
    }
}

/// Tells other routers that a prompt was placed on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUpdate {
    /// Sequence number among the sender's updates.
    pub seq: u64,
    /// Engine that the prompt was placed on.
    pub server: ServerTag,
    /// Prefix segments that other prompts may share.
    pub shared: Vec<PrefixSegment>,
    /// Tokens of the last part of the prompt, which no other prompt shares.
    pub own_tokens: u32,
    /// Predicted time until the engine has computed the prompt, in milliseconds.
    pub ready_in_ms: u32,
    /// Whether the engine saves the prompt to the KV store.
    pub is_saved: bool,
}

/// Load of one router at one server, rounded so that it is encoded in few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Server that the load is at.
    pub server: ServerTag,
    running: u32,
    #[serde(rename = "unread_units")]
    pending_prefill_units: u64,
    #[serde(rename = "held_units")]
    kv_units: u64,
}

impl ServerLoad {
    /// Rounds the load of a router's own requests.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{fleet::{ServerLoad, ServerTag}, load::Load};
    ///
    /// let load = Load { running: 3, pending_prefill_tokens: 6_410, kv_tokens: 30_000 };
    /// let rounded = ServerLoad::new(ServerTag(7), load);
    /// assert_eq!(rounded.load(), Load { pending_prefill_tokens: 6_400, kv_tokens: 30_208, ..load });
    /// ```
    pub fn new(server: ServerTag, load: Load) -> ServerLoad {
        let units = |tokens: u64, unit: u64| (tokens + unit / 2) / unit;
        ServerLoad {
            server,
            running: load.running,
            pending_prefill_units: units(load.pending_prefill_tokens, PENDING_PREFILL_UNIT_TOKENS),
            kv_units: units(load.kv_tokens, KV_UNIT_TOKENS),
        }
    }

    /// Returns the rounded load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            pending_prefill_tokens: self
                .pending_prefill_units
                .saturating_mul(PENDING_PREFILL_UNIT_TOKENS),
            kv_tokens: self.kv_units.saturating_mul(KV_UNIT_TOKENS),
        }
    }
}

impl Fleet {
    /// Returns the load of this router's requests at each server that has any, for other routers.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let loaded_servers =
            self.servers.values().filter(|server| server.own_load != Load::default());
        loaded_servers.map(|server| ServerLoad::new(server.hash.into(), server.own_load)).collect()
    }

    /// Replaces the load reported by another router. Servers that are not named have none.
    pub fn apply_peer_loads(&mut self, now: Timestamp, peer: u64, loads: &[ServerLoad]) {
        for server in self.servers.values_mut() {
            if let Some((load, _)) = server.peer_loads.remove(&peer) {
                server.peer_load_sum = server.peer_load_sum - load;
            }
        }
        for server_load in loads {
            let key = self.find_by_tag(server_load.server);
            let Some(server) = key.and_then(|key| self.servers.get_mut(key)) else { continue };
            server.peer_loads.insert(peer, (server_load.load(), now));
            server.peer_load_sum = server.peer_load_sum + server_load.load();
        }
    }

    /// Drops loads whose report is too old.
    pub fn expire_peer_loads(&mut self, now: Timestamp) {
        let per_router = PEER_LOAD_TTL_PER_ROUTER_MS * u64::from(self.router_count);
        let ttl = Duration::from_millis(PEER_LOAD_TTL_MS + per_router);
        for server in self.servers.values_mut() {
            server.peer_loads.retain(|_, (_, received_at)| now - *received_at < ttl);
            let fresh = server.peer_loads.values().map(|(load, _)| *load);
            server.peer_load_sum = fresh.fold(Load::default(), |sum, load| sum + load);
        }
    }

    pub(super) fn queue_prompt_update(
        &mut self,
        server: ServerTag,
        segments: &[PrefixSegment],
        predicted_ms: f64,
        is_saved: bool,
    ) {
        let Some((own_segment, shared)) = segments.split_last() else { return };
        self.last_update_seq += 1;
        let update = PromptUpdate {
            seq: self.last_update_seq,
            server,
            shared: shared.to_vec(),
            own_tokens: own_segment.tokens,
            ready_in_ms: predicted_ms as u32,
            is_saved,
        };
        if self.prompt_updates.len() >= MAX_PENDING_PROMPT_UPDATES {
            self.prompt_updates.pop_front();
        }
        self.prompt_updates.push_back((update, 0));
    }

    /// Returns the prompt updates to send to other routers. Each is returned by several consecutive
    /// calls because datagrams may be lost.
    pub fn take_prompt_updates(&mut self) -> Vec<PromptUpdate> {
        for (_, sends) in &mut self.prompt_updates {
            *sends += 1;
        }
        let updates = self.prompt_updates.iter().map(|(update, _)| update.clone()).collect();
        self.prompt_updates.retain(|(_, sends)| *sends < SENDS_PER_UPDATE);
        updates
    }

    /// Applies the prompt updates of another router that were not applied before.
    pub fn apply_prompt_updates(&mut self, now: Timestamp, peer: u64, updates: &[PromptUpdate]) {
        let last_applied = self.peer_update_seqs.get(&peer).copied().unwrap_or_default();
        // Sequence numbers far below the last one mean that the router has restarted and counts
        // anew.
        let has_restarted = updates
            .last()
            .is_some_and(|last| last.seq + MAX_PENDING_PROMPT_UPDATES as u64 <= last_applied);
        let last_applied = if has_restarted { 0 } else { last_applied };
        for update in updates.iter().filter(|update| update.seq > last_applied) {
            self.apply_prompt_update(now, peer, update);
        }
        if let Some(last) = updates.last() {
            self.peer_update_seqs.insert(peer, last.seq.max(last_applied));
        }
    }

    fn apply_prompt_update(&mut self, now: Timestamp, peer: u64, update: &PromptUpdate) {
        let Some(key) = self.find_by_tag(update.server) else { return };
        let Some(server) = self.servers.get_mut(key) else { return };
        let ready_at = now + Duration::from_millis(u64::from(update.ready_in_ms));
        let own_segment = PrefixSegment {
            key: PrefixKey(rendezvous::mix(peer ^ update.seq)),
            tokens: update.own_tokens,
        };
        server.prefix_cache.insert(&[own_segment], ready_at);
        server.prefix_cache.insert(&update.shared, ready_at);
        let distance = self.regions.distance(&self.zone, &server.listing.zone);
        if update.is_saved && distance < Distance::OtherRegion {
            let saved_at = ready_at + Duration::from_millis(STORE_SAVE_DELAY_MS);
            self.kv_stores.record_peer_save(now, &update.shared, own_segment, saved_at);
        }
    }
}
