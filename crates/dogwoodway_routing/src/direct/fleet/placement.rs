//! Chooses the backend server that runs a request.
//!
//! For each server of the service that accepts requests, the router estimates the work that the
//! request causes there and the resulting cost (see [`cost`](crate::direct::cost)), and takes the
//! cheapest. For a prompt, the work depends on the prefixes that the engine has cached and on where
//! it can fetch the others: from another engine or from a KV store.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, NotRunReason, PieceHash, ServiceName, TeamName, Timestamp,
    WeightsVersion,
};

use crate::{
    direct::{
        admission,
        cost::{self, Candidate, PrefillWork},
        distance::Distance,
        fleet::{
            Availability, BackendKey, DEFAULT_PREFILL_MS_PER_TOKEN, Fleet, RequestKey,
            STORE_SAVE_DELAY_MS, Server, requests::InFlightRequest,
        },
        health::Health,
        load::Load,
        prompt::{CacheScope, PrefixSegment, Prompt, prefix_segments},
        sampling::{self, is_sampled},
        table::EngineSpec,
    },
    rendezvous,
};

/// Share of an engine's KV cache that is assumed to hold the most recent prompts. The rest is taken
/// by generated tokens and by requests that this router learns of too late.
const USABLE_CAPACITY_SHARE: f64 = 0.85;

/// Probability that a prefix that no router has reported was computed by the engine that all
/// routers prefer for it.
const PREFERRED_SERVER_HIT_PROBABILITY: f64 = 0.5;

/// Largest number of prompt tokens queued ahead of a request at which its time to first output
/// still counts as a measurement of the engine's speed; about the first prefill chunks of a prompt.
const MAX_SAMPLE_QUEUE_TOKENS: u64 = 4_096;

/// Factor by which fetching a token must be slower than computing it for the engine to compute
/// instead of fetch. A fetch delays one request, whereas prefill delays all requests on the engine.
const RECOMPUTE_INSTEAD_FACTOR: f64 = 4.0;

/// Random difference to expect between the failure shares of equally healthy servers.
const FAILURE_SHARE_NOISE: f64 = 0.08;

/// Requests that may queue at a plain server (one without a model engine), as a multiple of its
/// slots.
const MAX_QUEUED_PER_SLOT: u32 = 4;

/// Shortest time after which a retry makes sense if no server is available or none can answer
/// before the deadline, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 300;

/// A request to be placed on a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Prompt of a request to model engines; absent for a call to plain servers.
    pub prompt: Option<Prompt>,
    /// Team that the request's KV cache must not be shared outside of; absent if it may be shared.
    pub isolated_team: Option<TeamName>,
    /// Version of the weights that must run the request; absent if any version may.
    pub required_version: Option<WeightsVersion>,
    /// Priority among the requests of the service; 0 is the highest.
    pub priority: u8,
    /// Time after which the caller has no use for the answer.
    pub deadline: Timestamp,
    /// Time by which the caller expects the answer, or the first event of a stream.
    pub expected_by: Timestamp,
    /// Servers that were already tried for this request; they are not chosen again.
    pub tried: Vec<BackendServerName>,
    /// Random number that breaks ties between servers of equal cost.
    pub draw: u64,
}

/// The server chosen for a request, and what the request is expected to cost there.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key under which to report the progress of the request.
    pub request: RequestKey,
    /// Key of the server.
    pub server: BackendKey,
    /// Name of the server.
    pub name: BackendServerName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Version of the weights that the engine is asked for; absent for a plain server.
    pub version: Option<WeightsVersion>,
    /// Label of the cache scope under which the engine keeps the prompt's KV cache; absent for a
    /// plain server.
    pub scope: Option<String>,
    /// Engine or KV store that the engine fetches missing KV cache from.
    pub fetch_from: Option<SocketAddr>,
    /// KV store that the engine saves the computed KV cache to.
    pub save_to: Option<SocketAddr>,
    /// Predicted numbers of prompt tokens that the engine computes and that it fetches, in this
    /// order; zero for a plain server.
    pub computed_and_fetched_tokens: (u32, u32),
    /// Predicted time to the first output, in milliseconds.
    pub predicted_ms: u32,
    /// Requests of all known routers in flight at the server, including this one.
    pub in_flight: u32,
}

/// Why a request was not placed, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that is reported to the caller.
    pub reason: NotRunReason,
    /// Earliest time at which a retry makes sense.
    pub retry_at: Timestamp,
    /// Predicted queueing time at the best server, in milliseconds, if the request was refused
    /// because of it; 0 for other reasons.
    pub wait_ms: u32,
}

impl Fleet {
    /// Chooses a server for a request and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Fails if no server is available, or if the predicted queueing time or time to the first
    /// output at the best one is too long.
    pub fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Result<Placement, Refusal> {
        let sample_share = self.update_sample_share(now, request);
        let keys = self.by_service.get(&request.service).map_or(&[][..], Vec::as_slice);
        let spec = self.engine_specs.get(&request.service);
        // Some requests fail on every server, so only failures beyond the usual share count. The
        // lower quartile is used because the median would hide the fault when most servers fail.
        let lower_quartile = self.quantile(keys, 4, |health| Some(health.failure_share()));
        let expected_failure_share = lower_quartile.unwrap_or(0.0) + FAILURE_SHARE_NOISE;
        // A server without measurements is assumed to be as fast as the median server.
        let slowdown = self.quantile(keys, 2, Health::slowdown).unwrap_or(1.0);
        let mut scoped_prompts = ScopedPrompts { request, by_version: Vec::new() };
        let mut best: Option<(f64, BackendKey, Candidate, Option<usize>, FetchSource)> = None;
        for &key in keys {
            let Some(server) = self.servers.get(key) else { continue };
            if !self.accepts_requests(now, server, request) {
                continue;
            }
            let (prefill, scope, fetch) = match (&request.prompt, spec) {
                (Some(prompt), Some(spec)) => {
                    let Some(serving) = server.version(&prompt.model) else { continue };
                    let (version, penalty_ms) =
                        self.version_to_request(now, &prompt.model, serving);
                    if request.required_version.is_some_and(|wanted| wanted != version) {
                        continue;
                    }
                    let scope = scoped_prompts.get_or_insert(prompt, version, |segments| {
                        (
                            self.preferred_server(keys, segments, request),
                            self.find_sources(now, keys, segments),
                        )
                    });
                    let scoped = &scoped_prompts.by_version[scope];
                    let hash = rendezvous::mix(server.hash.0.rotate_left(32) ^ request.draw);
                    if !is_sampled(hash, sample_share) && !scoped.is_attached_to(key, server) {
                        continue;
                    }
                    let (mut prefill, fetch) = self.prefill_work(now, key, spec, prompt, scoped);
                    prefill.penalty_ms += penalty_ms;
                    (Some(prefill), Some(scope), fetch)
                }
                _ => (None, None, FetchSource::Nothing),
            };
            let candidate = Candidate {
                load: server.load(),
                slots: server.listing.slots,
                distance: self.distance(&server.listing.zone),
                slowdown: server.health.slowdown().unwrap_or(slowdown),
                failure_share: (server.health.failure_share() - expected_failure_share).max(0.0),
                refusal_share: server.health.refusal_share(),
                prefill,
            };
            // Jitter of up to 1 ms makes servers of equal cost take turns.
            let jitter = (rendezvous::mix(server.hash.0 ^ request.draw) >> 54) as f64 / 1_024.0;
            let cost = cost::cost_ms(&candidate) + jitter;
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, key, candidate, scope, fetch));
            }
        }
        let Some((_, key, candidate, scope, fetch)) = best else {
            return Err(refusal(now, NotRunReason::NoBackendServer, MIN_RETRY_DELAY_MS));
        };
        let predicted_ms = self.check_wait_and_deadline(now, request, &candidate)?;
        let scope = scope.map(|i| scoped_prompts.by_version.swap_remove(i));
        Ok(self.record_placement(now, key, &candidate, scope, fetch, predicted_ms))
    }

    /// Records a prompt and returns the share of the engines to sample for it; 1 for a call to plain
    /// servers.
    fn update_sample_share(&mut self, now: Timestamp, request: &PlacementRequest) -> f64 {
        if request.prompt.is_none() {
            return 1.0;
        }
        let engines = self.by_service.get(&request.service).map_or(0, Vec::len);
        let rate = self.prompt_rates.entry(request.service.clone()).or_default();
        rate.record(now);
        sampling::sample_share(rate, self.router_count, engines)
    }

    /// Returns the predicted time to the first output in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the queueing time or the predicted time to the first output is too long.
    fn check_wait_and_deadline(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest,
        candidate: &Candidate,
    ) -> Result<f64, Refusal> {
        // The queueing time is checked on the first attempt only: a prompt that another server
        // turned down has already waited.
        if request.prompt.is_some() && request.tried.is_empty() {
            let (wait_ms, expected) = (cost::queue_wait_ms(candidate), request.expected_by - now);
            let pressure = self.queue_pressure.entry(request.service.clone()).or_default();
            pressure.record(now, wait_ms);
            let retry_after =
                admission::refuse_for_wait(wait_ms, expected, request.priority, pressure);
            if let Some(after) = retry_after {
                let reason = NotRunReason::Overloaded;
                let wait_ms = wait_ms as u32;
                return Err(Refusal { reason, retry_at: now + after, wait_ms });
            }
        }
        let predicted_ms = cost::first_output_ms(candidate);
        let remaining_ms = (request.deadline - now).as_secs_f64() * 1e3;
        if predicted_ms > remaining_ms {
            let after_ms = (predicted_ms - remaining_ms) as u64;
            return Err(refusal(now, NotRunReason::Overloaded, after_ms.max(MIN_RETRY_DELAY_MS)));
        }
        Ok(predicted_ms)
    }

    fn record_placement(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        candidate: &Candidate,
        scope: Option<ScopedPrompt>,
        fetch: FetchSource,
        predicted_ms: f64,
    ) -> Placement {
        let prefill = candidate.prefill;
        let load = Load {
            running: 1,
            pending_prefill_tokens: prefill.map_or(0, |prefill| u64::from(prefill.computed_tokens)),
            kv_tokens: prefill.map_or(0, |prefill| u64::from(prefill.new_kv_tokens)),
        };
        let segments = scope.as_ref().map(|scope| scope.segments.clone()).unwrap_or_default();
        let ready_at = now + Duration::from_micros((predicted_ms * 1e3) as u64);
        let fetch_from = self.source_address(fetch, &segments);
        let saved_at = ready_at + Duration::from_millis(STORE_SAVE_DELAY_MS);
        let save_to = self.kv_stores.plan_save(now, &segments, saved_at);
        let server = &mut self.servers[key];
        let ahead_tokens = candidate.load.pending_prefill_tokens;
        let sample = prefill.filter(|_| ahead_tokens <= MAX_SAMPLE_QUEUE_TOKENS);
        let in_flight_request = InFlightRequest {
            server: key,
            started_at_ms: server.listing.started_at_ms,
            load,
            segments,
            sent_at: now,
            predicted_latency: Duration::from_micros((predicted_ms * 1e3) as u64),
            predicted_at_nominal_speed: Duration::from_secs_f64(
                predicted_ms / candidate.slowdown / 1e3,
            ),
            speed_sample: sample.map(|prefill| (prefill, ahead_tokens)),
            has_output: false,
        };
        server.own_load = server.own_load + load;
        if let Some(prefill) = prefill {
            server
                .prefix_cache
                .set_capacity((prefill.kv_capacity_tokens as f64 * USABLE_CAPACITY_SHARE) as u64);
            server.prefix_cache.insert(&in_flight_request.segments, ready_at);
        }
        let (name, address) = (server.listing.name.clone(), server.listing.address);
        let (tag, server_in_flight) = (server.hash.into(), server.load().running);
        if !in_flight_request.segments.is_empty() {
            self.queue_prompt_update(
                tag,
                &in_flight_request.segments,
                predicted_ms,
                save_to.is_some(),
            );
        }
        let request_key = self.in_flight.insert(in_flight_request);
        self.servers[key].awaiting_output.push((request_key, now));
        Placement {
            request: request_key,
            server: key,
            name,
            address,
            version: scope.as_ref().map(|scope| scope.version),
            scope: scope.map(|scope| scope.label),
            fetch_from,
            save_to,
            computed_and_fetched_tokens: prefill
                .map_or((0, 0), |r| (r.computed_tokens, r.fetched_tokens)),
            predicted_ms: predicted_ms as u32,
            in_flight: server_in_flight,
        }
    }

    fn accepts_requests(
        &self,
        now: Timestamp,
        server: &Server,
        request: &PlacementRequest,
    ) -> bool {
        let slots = server.listing.slots.max(1);
        let is_full =
            request.prompt.is_none() && server.load().running >= slots * (1 + MAX_QUEUED_PER_SLOT);
        server.health.is_up()
            && server.listing.availability == Availability::Ready
            && server.is_retained(now)
            && now >= server.loading_until
            && !is_full
            && !request.tried.contains(&server.listing.name)
    }

    /// Returns the server that all routers of the region prefer for the longest shared prefix of a
    /// prompt, by rendezvous hashing over the servers that are up and were not tried for the
    /// request. Servers of other regions count only if the region has no such server.
    fn preferred_server(
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
    fn find_sources(
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

    fn prefill_work(
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

    fn source_address(&self, fetch: FetchSource, segments: &[PrefixSegment]) -> Option<SocketAddr> {
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
struct Sources {
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
enum FetchSource {
    Nothing,
    Store,
    Server(BackendKey),
}

/// The segments of a prompt under one cache scope, and where they are cached.
struct ScopedPrompt {
    version: WeightsVersion,
    label: String,
    segments: Vec<PrefixSegment>,
    /// Server that all routers of the region prefer for the longest shared prefix.
    preferred_server: Option<BackendKey>,
    sources: Sources,
}

impl ScopedPrompt {
    /// Returns whether a prompt has a reason to run on an engine: the engine has its shared prefix
    /// cached, or all routers prefer it.
    fn is_attached_to(&self, key: BackendKey, server: &Server) -> bool {
        let shared = &self.segments[..self.segments.len().saturating_sub(1)];
        self.preferred_server == Some(key) || server.prefix_cache.matched(shared) == shared.len()
    }
}

/// The scoped segments of one prompt, computed once per version of the weights in use.
struct ScopedPrompts<'a> {
    request: &'a PlacementRequest,
    by_version: Vec<ScopedPrompt>,
}

impl ScopedPrompts<'_> {
    fn get_or_insert<F>(&mut self, prompt: &Prompt, version: WeightsVersion, look_up: F) -> usize
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

fn refusal(now: Timestamp, reason: NotRunReason, after_ms: u64) -> Refusal {
    Refusal { reason, retry_at: now + Duration::from_millis(after_ms), wait_ms: 0 }
}

fn fetch_ms_per_token(spec: &EngineSpec) -> f64 {
    match spec.link_mbps > 0.0 {
        true => spec.kv_token_bytes as f64 * 8.0 / (spec.link_mbps * 1e3),
        false => DEFAULT_PREFILL_MS_PER_TOKEN,
    }
}
