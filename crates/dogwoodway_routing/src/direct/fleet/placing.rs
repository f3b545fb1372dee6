//! Where a request runs.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, NotRunReason, PieceHash, ServiceName, TeamName, Timestamp,
    WeightsVersion,
};

use crate::{
    direct::{
        admission,
        cost::{self, Candidate, Reading},
        distance::Distance,
        fleet::{
            ASSUMED_READ_MS_PER_TOKEN, Availability, BackendKey, Fleet, RequestKey, SAVED_AFTER_MS,
            Server, requests::Running,
        },
        health::Health,
        load::Load,
        prompt::{CacheScope, PrefixSegment, Prompt, prefix_segments},
        table::EngineSpec,
    },
    rendezvous,
};

/// Share of a memory that is relied on to hold what it was given last; the rest goes to answers and
/// to requests that the router does not hear of in time.
const RELIABLE_SHARE: f64 = 0.85;

/// Chance that a prefix of which the router has not heard was computed by the engine that all
/// routers prefer for it.
const READ_AT_HOME_CHANCE: f64 = 0.5;

/// Prompt tokens ahead of a request up to which its time tells how fast the server is: the first
/// pieces of one prompt.
const NEARLY_ALONE_TOKENS: u64 = 4_096;

/// Factor by which fetching must take longer than reading for a prompt to be read instead. A fetch
/// delays one request, and reading delays all on the engine.
const READ_INSTEAD_FACTOR: f64 = 4.0;

/// Difference between the failure shares of equal servers, by chance.
const FAILURE_NOISE: f64 = 0.08;

/// Requests that wait at a plain server at most, in multiples of its places.
const QUEUED_PER_PLACE: u32 = 4;

/// Soonest time to come back for a caller that found no server, in milliseconds.
const COME_BACK_MS: u64 = 300;

/// A request that looks for a server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Service that runs it.
    pub service: ServiceName,
    /// Its prompt; absent for a call.
    pub prompt: Option<Prompt>,
    /// Team that its KV cache must not be shared beyond, if any.
    pub isolated_team: Option<TeamName>,
    /// The only version of the weights that may run it, if any.
    pub required_version: Option<WeightsVersion>,
    /// Its urgency among the service's requests, 0 first.
    pub priority: u8,
    /// When its answer is of no use any more.
    pub deadline: Timestamp,
    /// When callers expect its answer, or the first event of it.
    pub expected_by: Timestamp,
    /// Servers that were tried.
    pub tried: Vec<BackendServerName>,
    /// Random number, to spread equal choices.
    pub draw: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Identifies the request in later reports.
    pub request: RequestKey,
    /// The server.
    pub server: BackendKey,
    /// Its name.
    pub name: BackendServerName,
    /// Its address.
    pub address: SocketAddr,
    /// Version of the weights that the request is placed for.
    pub version: Option<WeightsVersion>,
    /// Text under which the engine keeps the prompt's KV cache.
    pub scope: Option<String>,
    /// Where the engine fetches KV cache that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the engine saves KV cache that it computed.
    pub save_to: Option<SocketAddr>,
    /// Prompt tokens that the engine computes, and that it fetches, as predicted.
    pub computed_and_fetched_tokens: (u32, u32),
    /// Milliseconds to the first output, as predicted.
    pub predicted_ms: u32,
    /// Requests that all routers have at the server, this one included.
    pub in_flight: u32,
}

/// Why a request finds no server, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When a retry makes sense.
    pub retry_at: Timestamp,
    /// Milliseconds that the request would have waited at the best server, as predicted.
    pub wait_ms: u32,
}

impl Fleet {
    /// Chooses a server for a request and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails if no server can run the request in time.
    pub fn place(
        &mut self,
        now: Timestamp,
        query: &PlacementRequest,
    ) -> Result<Placement, Refusal> {
        let keys = self.by_service.get(&query.service).map_or(&[][..], Vec::as_slice);
        let spec = self.engines.get(&query.service);
        // Some requests fail at every server. With most servers failing, the median would hide it.
        let failures = self.quantile(keys, 4, |health| Some(health.failure_share()));
        let usual_failures = failures.unwrap_or(0.0) + FAILURE_NOISE;
        // A server that has not answered yet is taken for as fast as the others.
        let slowdown = self.quantile(keys, 2, Health::slowdown).unwrap_or(1.0);
        let mut scopes = Scopes { query, known: Vec::new() };
        let mut best: Option<(f64, BackendKey, Candidate, Option<usize>, Fetch)> = None;
        for &key in keys {
            let Some(server) = self.servers.get(key) else { continue };
            if !self.takes_requests(now, server, query) {
                continue;
            }
            let (reading, scope, fetch) = match (&query.prompt, spec) {
                (Some(prompt), Some(spec)) => {
                    let Some(serves) = server.version(&prompt.model) else { continue };
                    let (version, surcharge) = self.version_to_request(now, &prompt.model, serves);
                    if query.required_version.is_some_and(|wanted| wanted != version) {
                        continue;
                    }
                    let scope = scopes.of(prompt, version, |levels| {
                        (self.home(keys, levels, query), self.sources(now, keys, levels))
                    });
                    let (mut reading, fetch) =
                        self.reading(now, key, spec, prompt, &scopes.known[scope]);
                    reading.surcharge_ms += surcharge;
                    (Some(reading), Some(scope), fetch)
                }
                _ => (None, None, Fetch::Nothing),
            };
            let candidate = Candidate {
                load: server.load(),
                slots: server.listing.slots,
                distance: self.distance(&server.listing.zone),
                slowdown: server.health.slowdown().unwrap_or(slowdown),
                failure_share: (server.health.failure_share() - usual_failures).max(0.0),
                refusal_share: server.health.refusal_share(),
                reading,
            };
            // Equal servers are taken in an order that differs from request to request.
            let jitter = (rendezvous::mix(server.hash.0 ^ query.draw) >> 54) as f64 / 1_024.0;
            let cost = cost::cost_ms(&candidate) + jitter;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, key, candidate, scope, fetch));
            }
        }
        let Some((_, key, candidate, scope, fetch)) = best else {
            return Err(refusal(now, NotRunReason::NoBackendServer, COME_BACK_MS));
        };
        let predicted_ms = self.check_time(now, query, &candidate)?;
        let scope = scope.map(|i| scopes.known.swap_remove(i));
        Ok(self.send(now, key, &candidate, scope, fetch, predicted_ms))
    }

    /// Refuses a request that the best server cannot run in time; returns the milliseconds to the
    /// first output, as predicted.
    fn check_time(
        &mut self,
        now: Timestamp,
        query: &PlacementRequest,
        candidate: &Candidate,
    ) -> Result<f64, Refusal> {
        // A prompt that a server has refused has waited already.
        if query.prompt.is_some() && query.tried.is_empty() {
            let (wait_ms, expected) = (cost::wait_ms(candidate), query.expected_by - now);
            let pressure = self.pressure.entry(query.service.clone()).or_default();
            pressure.record(now, wait_ms);
            let refused = admission::refuse_for_wait(wait_ms, expected, query.priority, pressure);
            if let Some(after) = refused {
                let reason = NotRunReason::Overloaded;
                let wait_ms = wait_ms as u32;
                return Err(Refusal { reason, retry_at: now + after, wait_ms });
            }
        }
        let predicted_ms = cost::first_output_ms(candidate);
        let left_ms = (query.deadline - now).as_secs_f64() * 1e3;
        if predicted_ms > left_ms {
            let after_ms = (predicted_ms - left_ms) as u64;
            return Err(refusal(now, NotRunReason::Overloaded, after_ms.max(COME_BACK_MS)));
        }
        Ok(predicted_ms)
    }

    fn send(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        candidate: &Candidate,
        scope: Option<Scope>,
        fetch: Fetch,
        predicted_ms: f64,
    ) -> Placement {
        let reading = candidate.reading;
        let load = Load {
            running: 1,
            pending_prefill_tokens: reading.map_or(0, |reading| u64::from(reading.computed_tokens)),
            kv_tokens: reading.map_or(0, |reading| u64::from(reading.needed_tokens)),
        };
        let levels = scope.as_ref().map(|scope| scope.levels.clone()).unwrap_or_default();
        let ready_at = now + Duration::from_micros((predicted_ms * 1e3) as u64);
        let fetch_from = self.address(fetch, &levels);
        let saved_at = ready_at + Duration::from_millis(SAVED_AFTER_MS);
        let save_to = self.stores.save(now, &levels, saved_at);
        let server = &mut self.servers[key];
        let ahead_tokens = candidate.load.pending_prefill_tokens;
        let alone = reading.filter(|_| ahead_tokens <= NEARLY_ALONE_TOKENS);
        let running = Running {
            server: key,
            started_at_ms: server.listing.started_at_ms,
            load,
            levels,
            sent_at: now,
            predicted: Duration::from_micros((predicted_ms * 1e3) as u64),
            predicted_at_par: Duration::from_secs_f64(predicted_ms / candidate.slowdown / 1e3),
            alone: alone.map(|reading| (reading, ahead_tokens)),
            has_output: false,
        };
        server.own = server.own + load;
        if let Some(reading) = reading {
            server.cached.set_capacity((reading.kv_tokens as f64 * RELIABLE_SHARE) as u64);
            server.cached.insert(&running.levels, ready_at);
        }
        let (name, address) = (server.listing.name.clone(), server.listing.address);
        let (tag, all_running) = (server.hash.into(), server.load().running);
        if !running.levels.is_empty() {
            self.queue_prompt_update(tag, &running.levels, predicted_ms, save_to.is_some());
        }
        let ticket = self.running.insert(running);
        self.servers[key].owed.push((ticket, now));
        Placement {
            request: ticket,
            server: key,
            name,
            address,
            version: scope.as_ref().map(|scope| scope.version),
            scope: scope.map(|scope| scope.label),
            fetch_from,
            save_to,
            computed_and_fetched_tokens: reading
                .map_or((0, 0), |r| (r.computed_tokens, r.fetched_tokens)),
            predicted_ms: predicted_ms as u32,
            in_flight: all_running,
        }
    }

    fn takes_requests(&self, now: Timestamp, server: &Server, query: &PlacementRequest) -> bool {
        let slots = server.listing.slots.max(1);
        let is_full =
            query.prompt.is_none() && server.load().running >= slots * (1 + QUEUED_PER_PLACE);
        server.health.is_up()
            && server.listing.availability == Availability::Ready
            && server.is_listed(now)
            && now >= server.loading_until
            && !is_full
            && !query.tried.contains(&server.listing.name)
    }

    /// Returns the server that all routers of the region prefer for a prompt's deepest shared prefix.
    fn home(
        &self,
        keys: &[BackendKey],
        levels: &[PrefixSegment],
        query: &PlacementRequest,
    ) -> Option<BackendKey> {
        let shared = levels.len().checked_sub(2).and_then(|i| levels.get(i))?;
        let piece = PieceHash(u128::from(shared.key.0));
        let is_usable = |key: &&BackendKey| {
            self.servers.get(**key).is_some_and(|server| {
                server.health.is_up() && !query.tried.contains(&server.listing.name)
            })
        };
        let is_in_region = |key: &&BackendKey| {
            self.distance(&self.servers[**key].listing.zone) < Distance::OtherRegion
        };
        let has_region = keys.iter().filter(is_usable).any(|key| is_in_region(&key));
        let up = keys.iter().filter(is_usable).filter(|key| !has_region || is_in_region(key));
        let cost = |key: &BackendKey| {
            rendezvous::cost(piece, rendezvous::Server { key: self.servers[*key].hash, weight: 1 })
        };
        up.copied().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Finds where a prompt's shared prefixes can be fetched.
    fn sources(&self, now: Timestamp, keys: &[BackendKey], levels: &[PrefixSegment]) -> Sources {
        let shared = &levels[..levels.len().saturating_sub(1)];
        let mut sources = Sources {
            kept: self.stores.ready(shared, now),
            store_zone: self.stores.zone_for(shared).cloned(),
            ..Sources::default()
        };
        for &key in keys {
            let Some(server) = self.servers.get(key).filter(|s| s.health.is_up()) else { continue };
            sources.known = sources.known.max(server.cached.matched(shared));
            let ready = server.cached.ready(shared, now);
            if ready > 0 {
                sources.servers.push((key, ready));
            }
        }
        sources.known = sources.known.max(self.stores.matched(shared));
        sources
    }

    fn reading(
        &self,
        now: Timestamp,
        key: BackendKey,
        spec: &EngineSpec,
        prompt: &Prompt,
        scope: &Scope,
    ) -> (Reading, Fetch) {
        let server = &self.servers[key];
        let mut fetch_ms_per_token = fetch_ms_per_token(spec) * server.link.factor(now);
        let tokens =
            |levels: &[PrefixSegment]| levels.iter().map(|level| level.tokens).sum::<u32>();
        let levels = &scope.levels;
        let total = tokens(levels).max(prompt.input_tokens);
        let shared = &levels[..levels.len().saturating_sub(1)];
        let held = server.cached.matched(levels);
        let is_slow = fetch_ms_per_token > self.read_ms_per_token * READ_INSTEAD_FACTOR;
        let (fetched_to, fetch) = match is_slow {
            true => (held, Fetch::Nothing),
            false => self.best_source(key, server, shared.len(), held, scope),
        };
        fetch_ms_per_token *= self.fetch_distance(fetch, &scope.sources, server).transfer_factor();
        let repeated = &shared[fetched_to.min(shared.len())..];
        let known = scope.sources.known.max(fetched_to) - fetched_to;
        let unknown_chance = match scope.home {
            Some(home) if home != key => READ_AT_HOME_CHANCE,
            _ => 0.0,
        };
        let repeated_tokens = f64::from(tokens(&repeated[..known]))
            + f64::from(tokens(&repeated[known..])) * unknown_chance;
        let held_tokens = tokens(&levels[..held]);
        let fetched_tokens = tokens(&levels[held..fetched_to.max(held)]);
        let reading = Reading {
            computed_tokens: total - held_tokens - fetched_tokens,
            fetched_tokens,
            repeated_tokens,
            needed_tokens: total - held_tokens + prompt.output_tokens,
            kv_tokens: spec.kv_tokens,
            fetch_ms_per_token,
            read_ms_per_token: self.read_ms_per_token,
            surcharge_ms: 0.0,
        };
        (reading, fetch)
    }

    /// Chooses where a server fetches the prefixes that it lacks; returns how many it then has.
    fn best_source(
        &self,
        key: BackendKey,
        server: &Server,
        shared: usize,
        held: usize,
        scope: &Scope,
    ) -> (usize, Fetch) {
        // An engine may have forgotten what it is believed to hold: a source is named all the same,
        // and costs nothing if it is not needed.
        let lacking = held.min(shared.saturating_sub(1));
        let mut best = (lacking, Fetch::Nothing);
        if scope.sources.kept > lacking {
            best = (scope.sources.kept, Fetch::Store);
        }
        // Engines of the same zone are as good as the store, and others only if it has less.
        let mut nearest = Distance::SameRegion;
        for &(other, ready) in &scope.sources.servers {
            if other == key || ready <= lacking || ready < best.0 {
                continue;
            }
            let other_zone = &self.servers[other].listing.zone;
            let distance = self.regions.distance(other_zone, &server.listing.zone);
            if ready > best.0 || distance < nearest {
                best = (ready, Fetch::Server(other));
                nearest = distance;
            }
        }
        match (best.1, scope.home) {
            // The engine that others prefer may have what nobody told of.
            (Fetch::Nothing, Some(home)) if home != key => (held, Fetch::Server(home)),
            (Fetch::Nothing, _) => (held, Fetch::Store),
            (fetch, _) => (best.0.max(held), fetch),
        }
    }

    /// Returns how far a server is from where it fetches.
    fn fetch_distance(&self, fetch: Fetch, sources: &Sources, server: &Server) -> Distance {
        let source = match fetch {
            Fetch::Nothing => None,
            Fetch::Store => sources.store_zone.as_ref(),
            Fetch::Server(key) => self.servers.get(key).map(|source| &source.listing.zone),
        };
        match source {
            Some(zone) => self.regions.distance(zone, &server.listing.zone),
            None => Distance::SameRegion,
        }
    }

    fn address(&self, fetch: Fetch, levels: &[PrefixSegment]) -> Option<SocketAddr> {
        match fetch {
            Fetch::Nothing => None,
            Fetch::Store => self.stores.address_for(&levels[..levels.len().saturating_sub(1)]),
            Fetch::Server(key) => self.servers.get(key).map(|server| server.listing.address),
        }
    }
}

/// Where a prompt's shared prefixes can be fetched.
#[derive(Clone, Debug, Default)]
struct Sources {
    /// Prefixes that the store keeps.
    kept: usize,
    /// The store's zone, if it is known.
    store_zone: Option<AvailabilityZone>,
    /// Engines that hold some, and how many.
    servers: Vec<(BackendKey, usize)>,
    /// Prefixes that some memory holds or is about to.
    known: usize,
}

/// Where an engine gets the KV cache that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fetch {
    Nothing,
    Store,
    Server(BackendKey),
}

/// A prompt's prefixes under one scope.
struct Scope {
    version: WeightsVersion,
    label: String,
    levels: Vec<PrefixSegment>,
    /// The server that all routers prefer for the deepest shared prefix.
    home: Option<BackendKey>,
    sources: Sources,
}

/// The prompt's prefixes for each version in use.
struct Scopes<'a> {
    query: &'a PlacementRequest,
    known: Vec<Scope>,
}

impl Scopes<'_> {
    fn of<F>(&mut self, prompt: &Prompt, version: WeightsVersion, look_up: F) -> usize
    where
        F: FnOnce(&[PrefixSegment]) -> (Option<BackendKey>, Sources),
    {
        if let Some(i) = self.known.iter().position(|scope| scope.version == version) {
            return i;
        }
        let scope = CacheScope { version, team: self.query.isolated_team.clone() };
        let label = scope.label();
        let levels = prefix_segments(prompt, &label);
        let (home, sources) = look_up(&levels);
        self.known.push(Scope { version, label, levels, home, sources });
        self.known.len() - 1
    }
}

fn refusal(now: Timestamp, reason: NotRunReason, after_ms: u64) -> Refusal {
    Refusal { reason, retry_at: now + Duration::from_millis(after_ms), wait_ms: 0 }
}

fn fetch_ms_per_token(spec: &EngineSpec) -> f64 {
    match spec.link_mbps > 0.0 {
        true => spec.kv_token_bytes as f64 * 8.0 / (spec.link_mbps * 1e3),
        false => ASSUMED_READ_MS_PER_TOKEN,
    }
}
