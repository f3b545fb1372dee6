//! Where the prefixes of a prompt are cached, and from where an engine can fetch those that it
//! lacks.

use std::net::SocketAddr;

use dogwoodway_types::{AvailabilityZone, PieceHash, Timestamp, WeightsVersion};

use crate::{
    direct::{
        cost::PrefillWork,
        distance::Distance,
        fleet::{BackendKey, DEFAULT_PREFILL_MS_PER_TOKEN, Fleet, PlacementRequest, Server},
        prompt::{CacheScope, PrefixSegment, Prompt, prefix_segments},
        table::EngineSpec,
    },
    rendezvous,
};

/// Probability that a prefix that no router has reported was computed by the engine that all
/// routers prefer for it.
const PREFERRED_SERVER_HIT_PROBABILITY: f64 = 0.5;

/// Factor by which fetching a token must be slower than computing it for the engine to compute
/// instead of fetch. A fetch delays one request, whereas prefill delays all requests on the engine.
const RECOMPUTE_INSTEAD_FACTOR: f64 = 4.0;

impl Fleet {
    /// Returns the server that all routers of the region prefer for the longest shared prefix of a
    /// prompt, by rendezvous hashing over the servers that are up and were not tried for the
    /// request. Servers of other regions count only if the region has no such server.
    pub(super) fn preferred_server(
        &self,
        keys: &[BackendKey],
        segments: &[PrefixSegment],
        request: &PlacementRequest,
    ) -> Option<BackendKey> {
        let shared = segments.len().checked_sub(2).and_then(|i| segments.get(i))?;
        let placement_key = PieceHash(u128::from(shared.key.0));
        let is_usable = |key: &&BackendKey| {
            self.servers.get(**key).is_some_and(|server| {
                server.health.is_up() && !request.tried.contains(&server.listing.name)
            })
        };
        let is_in_region = |key: &&BackendKey| {
            self.distance(&self.servers[**key].listing.zone) < Distance::OtherRegion
        };
        let has_region = keys.iter().filter(is_usable).any(|key| is_in_region(&key));
        let candidates =
            keys.iter().filter(is_usable).filter(|key| !has_region || is_in_region(key));
        let cost = |key: &BackendKey| {
            rendezvous::cost(
                placement_key,
                rendezvous::Server { key: self.servers[*key].hash, weight: 1 },
            )
        };
        candidates.copied().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Finds where the shared prefixes of a prompt can be fetched.
    pub(super) fn find_sources(
        &self,
        now: Timestamp,
        keys: &[BackendKey],
        segments: &[PrefixSegment],
    ) -> Sources {
        let shared = &segments[..segments.len().saturating_sub(1)];
        let mut sources = Sources {
            in_store: self.kv_stores.ready(shared, now),
            store_zone: self.kv_stores.zone_for(shared).cloned(),
            ..Sources::default()
        };
        for &key in keys {
            let Some(server) = self.servers.get(key).filter(|s| s.health.is_up()) else { continue };
            sources.cached_anywhere =
                sources.cached_anywhere.max(server.prefix_cache.matched(shared));
            let ready = server.prefix_cache.ready(shared, now);
            if ready > 0 {
                sources.servers.push((key, ready));
            }
        }
        sources.cached_anywhere = sources.cached_anywhere.max(self.kv_stores.matched(shared));
        sources
    }

    pub(super) fn prefill_work(
        &self,
        now: Timestamp,
        key: BackendKey,
        spec: &EngineSpec,
        prompt: &Prompt,
        scope: &ScopedPrompt,
    ) -> (PrefillWork, FetchSource) {
        let server = &self.servers[key];
        let mut fetch_ms_per_token = fetch_ms_per_token(spec) * server.link_slowdown.factor(now);
        let tokens =
            |segments: &[PrefixSegment]| segments.iter().map(|segment| segment.tokens).sum::<u32>();
        let segments = &scope.segments;
        let total = tokens(segments).max(prompt.input_tokens);
        let shared = &segments[..segments.len().saturating_sub(1)];
        let cached = server.prefix_cache.matched(segments);
        let is_fetch_slow =
            fetch_ms_per_token > self.prefill_ms_per_token * RECOMPUTE_INSTEAD_FACTOR;
        let (available, fetch) = match is_fetch_slow {
            true => (cached, FetchSource::Nothing),
            false => self.choose_source(key, server, shared.len(), cached, scope),
        };
        fetch_ms_per_token *= self.fetch_distance(fetch, &scope.sources, server).transfer_factor();
        let recomputed = &shared[available.min(shared.len())..];
        let cached_elsewhere = scope.sources.cached_anywhere.max(available) - available;
        let unreported_probability = match scope.preferred_server {
            Some(preferred) if preferred != key => PREFERRED_SERVER_HIT_PROBABILITY,
            _ => 0.0,
        };
        let recomputed_tokens = f64::from(tokens(&recomputed[..cached_elsewhere]))
            + f64::from(tokens(&recomputed[cached_elsewhere..])) * unreported_probability;
        let cached_tokens = tokens(&segments[..cached]);
        let fetched_tokens = tokens(&segments[cached..available.max(cached)]);
        let prefill = PrefillWork {
            computed_tokens: total - cached_tokens - fetched_tokens,
            fetched_tokens,
            recomputed_tokens,
            new_kv_tokens: total - cached_tokens + prompt.output_tokens,
            kv_capacity_tokens: spec.kv_tokens,
            fetch_ms_per_token,
            prefill_ms_per_token: self.prefill_ms_per_token,
            penalty_ms: 0.0,
        };
        (prefill, fetch)
    }

    /// Chooses where an engine fetches the prefixes that it lacks. Returns the number of prefix
    /// segments that the engine has after the fetch, and the source.
    fn choose_source(
        &self,
        key: BackendKey,
        server: &Server,
        shared_count: usize,
        cached: usize,
        scope: &ScopedPrompt,
    ) -> (usize, FetchSource) {
        // The engine may have evicted prefixes that it is believed to hold, so a source is named
        // even if nothing seems to be missing. This costs nothing if the source is not needed.
        let reliably_cached = cached.min(shared_count.saturating_sub(1));
        let mut best = (reliably_cached, FetchSource::Nothing);
        if scope.sources.in_store > reliably_cached {
            best = (scope.sources.in_store, FetchSource::Store);
        }
        // Engines of the same zone are preferred over the store at equal length; engines of other
        // zones are used only if they hold more than the store does.
        let mut nearest = Distance::SameRegion;
        for &(other, ready) in &scope.sources.servers {
            if other == key || ready <= reliably_cached || ready < best.0 {
                continue;
            }
            let other_zone = &self.servers[other].listing.zone;
            let distance = self.regions.distance(other_zone, &server.listing.zone);
            if ready > best.0 || distance < nearest {
                best = (ready, FetchSource::Server(other));
                nearest = distance;
            }
        }
        match (best.1, scope.preferred_server) {
            // The preferred engine may hold the prefixes even though no router has reported them.
            (FetchSource::Nothing, Some(preferred)) if preferred != key => {
                (cached, FetchSource::Server(preferred))
            }
            (FetchSource::Nothing, _) => (cached, FetchSource::Store),
            (fetch, _) => (best.0.max(cached), fetch),
        }
    }

    /// Returns the distance between a server and the source that it fetches from. An unknown zone
    /// counts as another zone of the same region.
    fn fetch_distance(&self, fetch: FetchSource, sources: &Sources, server: &Server) -> Distance {
        let source = match fetch {
            FetchSource::Nothing => None,
            FetchSource::Store => sources.store_zone.as_ref(),
            FetchSource::Server(key) => self.servers.get(key).map(|source| &source.listing.zone),
        };
        match source {
            Some(zone) => self.regions.distance(zone, &server.listing.zone),
            None => Distance::SameRegion,
        }
    }

    pub(super) fn source_address(
        &self,
        fetch: FetchSource,
        segments: &[PrefixSegment],
    ) -> Option<SocketAddr> {
        match fetch {
            FetchSource::Nothing => None,
            FetchSource::Store => {
                self.kv_stores.address_for(&segments[..segments.len().saturating_sub(1)])
            }
            FetchSource::Server(key) => self.servers.get(key).map(|server| server.listing.address),
        }
    }
}

/// Where the shared prefixes of a prompt can be fetched, as numbers of leading segments.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    /// Segments that can be fetched from the KV store.
    in_store: usize,
    /// Zone of the store, if it is known.
    store_zone: Option<AvailabilityZone>,
    /// Engines that other engines can fetch from, and the segments that each holds.
    servers: Vec<(BackendKey, usize)>,
    /// Largest number of segments that any engine or the store holds or is about to hold.
    cached_anywhere: usize,
}

/// Source from which an engine gets the KV cache that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchSource {
    Nothing,
    Store,
    Server(BackendKey),
}

/// The segments of a prompt under one cache scope, and where they are cached.
pub(super) struct ScopedPrompt {
    pub(super) version: WeightsVersion,
    pub(super) label: String,
    pub(super) segments: Vec<PrefixSegment>,
    /// Server that all routers of the region prefer for the longest shared prefix.
    preferred_server: Option<BackendKey>,
    sources: Sources,
}

impl ScopedPrompt {
    /// Returns whether a prompt has a reason to run on an engine: the engine has its shared prefix
    /// cached, or all routers prefer it.
    pub(super) fn is_attached_to(&self, key: BackendKey, server: &Server) -> bool {
        let shared = &self.segments[..self.segments.len().saturating_sub(1)];
        self.preferred_server == Some(key) || server.prefix_cache.matched(shared) == shared.len()
    }
}

/// The scoped segments of one prompt, computed once per version of the weights in use.
pub(super) struct ScopedPrompts<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) by_version: Vec<ScopedPrompt>,
}

impl ScopedPrompts<'_> {
    pub(super) fn get_or_insert<F>(
        &mut self,
        prompt: &Prompt,
        version: WeightsVersion,
        look_up: F,
    ) -> usize
    where
        F: FnOnce(&[PrefixSegment]) -> (Option<BackendKey>, Sources),
    {
        if let Some(i) = self.by_version.iter().position(|scope| scope.version == version) {
            return i;
        }
        let scope = CacheScope { version, team: self.request.isolated_team.clone() };
        let label = scope.label();
        let segments = prefix_segments(prompt, &label);
        let (preferred_server, sources) = look_up(&segments);
        self.by_version.push(ScopedPrompt { version, label, segments, preferred_server, sources });
        self.by_version.len() - 1
    }
}

fn fetch_ms_per_token(spec: &EngineSpec) -> f64 {
    match spec.link_mbps > 0.0 {
        true => spec.kv_token_bytes as f64 * 8.0 / (spec.link_mbps * 1e3),
        false => DEFAULT_PREFILL_MS_PER_TOKEN,
    }
}
