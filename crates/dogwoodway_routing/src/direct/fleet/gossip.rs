//! Load and prompt updates that routers exchange by gossip.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        distance::Distance,
        fleet::{Fleet, PeerLoads, STORE_SAVE_DELAY_MS},
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

/// A prompt update, and the router that it is from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginPrompt {
    /// Identifies the router that placed the prompt.
    pub origin: u64,
    /// What the router reports.
    pub update: PromptUpdate,
}

/// Recognizes prompt updates that arrive more than once, by their sequence numbers.
#[derive(Clone, Debug, Default)]
pub struct PromptFilter {
    last_seqs: HashMap<u64, u64>,
}

impl PromptFilter {
    /// Returns whether an update is new. Sequence numbers far below the last one mean that the
    /// router has restarted and counts anew.
    ///
    /// ```
    /// use dogwoodway_routing::direct::fleet::PromptFilter;
    ///
    /// let mut filter = PromptFilter::default();
    /// assert!(filter.is_new(7, 1_000) && filter.is_new(7, 1_001) && filter.is_new(8, 1_001));
    /// assert!(!filter.is_new(7, 1_001));
    /// assert!(filter.is_new(7, 1), "the router has restarted");
    /// ```
    pub fn is_new(&mut self, origin: u64, seq: u64) -> bool {
        let last = self.last_seqs.entry(origin).or_default();
        let has_restarted = seq + MAX_PENDING_PROMPT_UPDATES as u64 <= *last;
        let is_new = seq > *last || has_restarted;
        if is_new {
            *last = seq;
        }
        is_new
    }

    /// Returns those of the prompts that are new.
    pub fn retain_new(&mut self, prompts: Vec<OriginPrompt>) -> Vec<OriginPrompt> {
        prompts.into_iter().filter(|p| self.is_new(p.origin, p.update.seq)).collect()
    }
}

/// Sums loads by server, in ascending order of the servers' tags.
pub(crate) fn sum_loads<'a, L>(loads: L) -> Vec<ServerLoad>
where
    L: IntoIterator<Item = &'a ServerLoad>,
{
    let mut sums = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(load.server.0).or_insert(ServerLoad {
            running: 0,
            pending_prefill_units: 0,
            kv_units: 0,
            ..*load
        });
        sum.running = sum.running.saturating_add(load.running);
        sum.pending_prefill_units =
            sum.pending_prefill_units.saturating_add(load.pending_prefill_units);
        sum.kv_units = sum.kv_units.saturating_add(load.kv_units);
    }
    sums.into_values().collect()
}

/// Subtracts loads from sums that contain them.
pub(crate) fn subtract_loads(sums: &[ServerLoad], part: &[ServerLoad]) -> Vec<ServerLoad> {
    let part: HashMap<_, _> = part.iter().map(|load| (load.server, load)).collect();
    let rest = sums.iter().map(|sum| match part.get(&sum.server) {
        Some(load) => ServerLoad {
            server: sum.server,
            running: sum.running.saturating_sub(load.running),
            pending_prefill_units: sum
                .pending_prefill_units
                .saturating_sub(load.pending_prefill_units),
            kv_units: sum.kv_units.saturating_sub(load.kv_units),
        },
        None => *sum,
    });
    rest.collect()
}

/// Load of one router at one server, or the sum over several routers, rounded so that it is encoded
/// in few bytes.
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

    /// Replaces the load reported by another router or by a digest. Servers that are not named have
    /// none.
    pub fn apply_peer_loads(&mut self, now: Timestamp, peer: u64, loads: &[ServerLoad]) {
        let known = loads.iter().filter_map(|load| Some((self.find_by_tag(load.server)?, load)));
        let by_server: Vec<_> = known.map(|(key, load)| (key, load.load())).collect();
        for (key, load) in &by_server {
            let server = &mut self.servers[*key];
            server.peer_load_sum = server.peer_load_sum + *load;
        }
        let previous = self.peer_loads.insert(peer, PeerLoads { received_at: now, by_server });
        self.subtract_peer_loads(previous);
    }

    /// Drops loads whose report is too old.
    pub fn expire_peer_loads(&mut self, now: Timestamp) {
        let per_router = PEER_LOAD_TTL_PER_ROUTER_MS * u64::from(self.router_count);
        let ttl = Duration::from_millis(PEER_LOAD_TTL_MS + per_router);
        let expired = self.peer_loads.extract_if(|_, report| now - report.received_at >= ttl);
        let expired: Vec<_> = expired.map(|(_, report)| report).collect();
        self.subtract_peer_loads(expired);
    }

    /// Drops all loads that others have reported, before they are reported in another way.
    pub fn clear_peer_loads(&mut self) {
        self.peer_loads.clear();
        for server in self.servers.values_mut() {
            server.peer_load_sum = Load::default();
        }
    }

    fn subtract_peer_loads<R>(&mut self, reports: R)
    where
        R: IntoIterator<Item = PeerLoads>,
    {
        for (key, load) in reports.into_iter().flat_map(|report| report.by_server) {
            if let Some(server) = self.servers.get_mut(key) {
                server.peer_load_sum = server.peer_load_sum - load;
            }
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
        for update in updates {
            if self.prompt_filter.is_new(peer, update.seq) {
                self.apply_prompt_update(now, peer, update);
            }
        }
    }

    /// Applies prompt updates of several routers, as a digest contains them.
    pub fn apply_origin_prompts(&mut self, now: Timestamp, prompts: &[OriginPrompt]) {
        for prompt in prompts {
            if self.prompt_filter.is_new(prompt.origin, prompt.update.seq) {
                self.apply_prompt_update(now, prompt.origin, &prompt.update);
            }
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
