//! Chooses the backend server that runs a request.
//!
//! For each server of the service that accepts requests, the router estimates the work that the
//! request causes there and the resulting cost (see [`cost`](crate::direct::cost)), and takes the
//! cheapest. For a prompt, the work depends on the prefixes that the engine has cached and on where
//! it can fetch the others: from another engine or from a KV store.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_types::{
    BackendServerName, NotRunReason, ServiceName, SoftwareVersion, TeamName, Timestamp,
    WeightsVersion,
};

use crate::{
    direct::{
        admission,
        cost::{self, Candidate, PrefillWork},
        fleet::{
            Availability, BackendKey, Fleet, RequestKey, STORE_SAVE_DELAY_MS, Server, ServerTag,
            prefix_sources::{FetchSource, ScopedPrompt, ScopedPrompts},
            requests::InFlightRequest,
        },
        health::Health,
        load::Load,
        prompt::{PrefixSegment, Prompt},
        sampling::{self, is_sampled},
        software::SoftwareTag,
    },
    rendezvous,
};

/// Share of an engine's KV cache that is assumed to hold the most recent prompts. The rest is taken
/// by generated tokens and by requests that this router learns of too late.
const USABLE_CAPACITY_SHARE: f64 = 0.85;

/// Largest number of prompt tokens queued ahead of a request at which its time to first output
/// still counts as a measurement of the engine's speed; about the first prefill chunks of a prompt.
const MAX_SAMPLE_QUEUE_TOKENS: u64 = 4_096;

/// Random difference to expect between the failure shares of equally healthy servers.
const FAILURE_SHARE_NOISE: f64 = 0.08;

/// Requests that may queue at a plain server (one without a model engine), as a multiple of its
/// slots.
const MAX_QUEUED_PER_SLOT: u32 = 4;

/// Share of the engines that are considered if all of them are.
const EVERY_ENGINE: f64 = 1.0;

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
    /// Version of the weights that runs the request if any server that accepts it serves that one.
    pub preferred_version: Option<WeightsVersion>,
    /// Software version that must run the request; present if the request continues a stream.
    pub required_software: Option<SoftwareTag>,
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
    /// Identifies the server to other routers.
    pub server_tag: ServerTag,
    /// Name of the server.
    pub name: BackendServerName,
    /// Start time of the server's process.
    pub started_at_ms: u64,
    /// Version of the server's software.
    pub software: SoftwareVersion,
    /// Identifies that version.
    pub software_tag: SoftwareTag,
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
    /// Until when the request may start on the weights that it names, and from when on the engine is to
    /// refuse it; absent if no newer ones are known, or if the output may take longer.
    pub refused_after: Option<Timestamp>,
    /// Predicted time to the first output, in milliseconds.
    pub predicted_ms: u32,
    /// Requests of all known routers in flight at the server, including this one.
    pub in_flight: u32,
    /// When the request was placed.
    pub sent_at: Timestamp,
    /// Whether the server has stated a limit.
    pub has_limit: bool,
}

/// Why a request was not placed, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that is reported to the caller.
    pub reason: NotRunReason,
    /// Earliest time at which a retry makes sense.
    pub retry_at: Timestamp,
    /// Whether any retry before `retry_at` will be refused; otherwise `retry_at` is an estimate.
    pub is_retry_at_known: bool,
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
        // A server that stands still would read a retry later, when another one has answered it.
        let is_retry = !request.tried.is_empty();
        let choice = is_retry
            .then(|| self.choose_by_version(now, request, sample_share, true))
            .flatten()
            .or_else(|| self.choose_by_version(now, request, sample_share, false))
            .ok_or_else(|| self.refusal_without_server(now, request))?;
        let predicted_ms = self.check_wait_and_deadline(now, request, &choice.candidate)?;
        let scoped = request.prompt.as_ref().zip(choice.scope.as_ref());
        let refused_after =
            scoped.and_then(|(prompt, scope)| self.refused_after(now, prompt, scope.version));
        let placement = self.record_placement(now, choice, predicted_ms);
        Ok(Placement { refused_after, ..placement })
    }

    /// Builds the refusal of a request that no server accepts. If servers are only paused or at their
    /// limits, the time at which the first one accepts requests again is known.
    fn refusal_without_server(&self, now: Timestamp, request: &PlacementRequest) -> Refusal {
        match self.first_acceptance(now, request) {
            Some(retry_at) => Refusal {
                reason: NotRunReason::Overloaded,
                retry_at,
                is_retry_at_known: true,
                wait_ms: 0,
            },
            None => refusal(now, NotRunReason::NoBackendServer, MIN_RETRY_DELAY_MS),
        }
    }

    /// Returns the cheapest of the servers that accept a request, among those of the preferred version
    /// if there are any.
    fn choose_by_version(
        &self,
        now: Timestamp,
        request: &PlacementRequest,
        sample_share: f64,
        avoids_stalled: bool,
    ) -> Option<Choice> {
        let versions = request.preferred_version.map(Some).into_iter();
        let mut versions = versions.chain([request.required_version]);
        versions.find_map(|version| {
            // The engines of the sample may all be loading weights or have other versions.
            self.choose(now, request, version, sample_share, avoids_stalled)
                .or_else(|| self.choose(now, request, version, EVERY_ENGINE, avoids_stalled))
        })
    }

    /// Returns the cheapest of the servers that accept a request, among those that the prompt is
    /// attached to and a sample of the others; `None` if there is none.
    fn choose(
        &self,
        now: Timestamp,
        request: &PlacementRequest,
        required_version: Option<WeightsVersion>,
        share: f64,
        avoids_stalled: bool,
    ) -> Option<Choice> {
        let keys = self.by_service.get(&request.service)?.as_slice();
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
            if !self.accepts_requests(now, server, request)
                || (avoids_stalled && self.is_stalled(now, server))
            {
                continue;
            }
            let (prefill, scope, fetch) = match (&request.prompt, spec) {
                (Some(prompt), Some(spec)) => {
                    let Some(serving) = server.version(&prompt.model) else { continue };
                    let (version, penalty_ms) = self.version_to_request(now, prompt, serving);
                    if required_version.is_some_and(|wanted| wanted != version) {
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
                    if !is_sampled(hash, share) && !scoped.is_attached_to(key, server) {
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
        let (_, key, candidate, scope, fetch) = best?;
        let scope = scope.map(|i| scoped_prompts.by_version.swap_remove(i));
        Some(Choice { key, candidate, scope, fetch })
    }

    /// Records a prompt and returns the share of the engines to sample for it; 1 for a call to plain
    /// servers.
    fn update_sample_share(&mut self, now: Timestamp, request: &PlacementRequest) -> f64 {
        if request.prompt.is_none() {
            return EVERY_ENGINE;
        }
        let keys = self.by_service.get(&request.service).map_or(&[][..], Vec::as_slice);
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let usable = servers.filter(|server| self.accepts_requests(now, server, request)).count();
        let rate = self.prompt_rates.entry(request.service.clone()).or_default();
        rate.record(now);
        sampling::sample_share(rate, self.router_count, usable)
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
        // turned down, and a stream that goes on, have already waited.
        let is_first_attempt = request.tried.is_empty() && request.required_software.is_none();
        if request.prompt.is_some() && is_first_attempt {
            let (wait_ms, expected) = (cost::queue_wait_ms(candidate), request.expected_by - now);
            let pressure = self.queue_pressure.entry(request.service.clone()).or_default();
            pressure.record(now, wait_ms);
            let retry_after =
                admission::refuse_for_wait(wait_ms, expected, request.priority, pressure);
            if let Some(after) = retry_after {
                let reason = NotRunReason::Overloaded;
                let wait_ms = wait_ms as u32;
                return Err(Refusal { wait_ms, ..refusal(now, reason, after.as_millis() as u64) });
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

    fn record_placement(&mut self, now: Timestamp, choice: Choice, predicted_ms: f64) -> Placement {
        let Choice { key, candidate, scope, fetch } = choice;
        let prefill = candidate.prefill;
        let load = added_load(prefill.as_ref());
        let segments = scope.as_ref().map(|scope| scope.segments.clone()).unwrap_or_default();
        let predicted_latency = Duration::from_micros((predicted_ms * 1e3) as u64);
        let ready_at = now + predicted_latency;
        let fetch_from = self.source_address(fetch, &segments);
        let save_delay = Duration::from_millis(STORE_SAVE_DELAY_MS);
        let save_to = self.kv_stores.plan_save(now, &segments, ready_at + save_delay);
        let server = &mut self.servers[key];
        let in_flight_request = InFlightRequest {
            server: key,
            started_at_ms: server.listing.started_at_ms,
            load,
            segments,
            sent_at: now,
            predicted_latency,
            predicted_at_nominal_speed: Duration::from_secs_f64(
                predicted_ms / candidate.slowdown / 1e3,
            ),
            speed_sample: speed_sample(&candidate),
            has_output: false,
        };
        server.own_load = server.own_load + load;
        server.limit.record_request(now);
        if let Some(prefill) = prefill {
            server.expect_prompt(&prefill, &in_flight_request.segments, ready_at);
        }
        let (listing, has_limit) = (&server.listing, server.limit.is_stated());
        let (name, software) = (listing.name.clone(), listing.software.clone());
        let (address, started_at_ms) = (listing.address, listing.started_at_ms);
        let (tag, software_tag, in_flight) =
            (server.hash.into(), server.software, server.load().running);
        let segments = &in_flight_request.segments;
        if !segments.is_empty() {
            self.queue_prompt_update(tag, segments, predicted_ms, save_to.is_some());
        }
        let request_key = self.in_flight.insert(in_flight_request);
        self.servers[key].awaiting_output.push((request_key, now));
        Placement {
            request: request_key,
            server: key,
            server_tag: tag,
            name,
            started_at_ms,
            software,
            software_tag,
            address,
            version: scope.as_ref().map(|scope| scope.version),
            refused_after: None,
            scope: scope.map(|scope| scope.label),
            fetch_from,
            save_to,
            computed_and_fetched_tokens: prefill
                .map_or((0, 0), |r| (r.computed_tokens, r.fetched_tokens)),
            predicted_ms: predicted_ms as u32,
            in_flight,
            sent_at: now,
            has_limit,
        }
    }

    pub(super) fn accepts_requests(
        &self,
        now: Timestamp,
        server: &Server,
        request: &PlacementRequest,
    ) -> bool {
        let places = server.listing.slots.max(1).saturating_mul(1 + MAX_QUEUED_PER_SLOT);
        let is_full = request.prompt.is_none() && server.load().running >= places;
        server.health.is_up()
            && request.required_software.is_none_or(|software| software == server.software)
            && server.listing.availability == Availability::Ready
            && server.is_retained(now)
            && server.wants_requests(now)
            && server.limit.next_send_at(now).is_some_and(|at| at <= now)
            && now >= server.loading_until
            && !is_full
            && !request.tried.contains(&server.listing.name)
    }
}

impl Server {
    /// Records that the server holds a prompt from `ready_at` on.
    fn expect_prompt(
        &mut self,
        prefill: &PrefillWork,
        segments: &[PrefixSegment],
        ready_at: Timestamp,
    ) {
        let usable_tokens = prefill.kv_capacity_tokens as f64 * USABLE_CAPACITY_SHARE;
        self.prefix_cache.set_capacity(usable_tokens as u64);
        self.prefix_cache.insert(segments, ready_at);
    }
}

/// Returns the load that a request adds to its server; `prefill` is absent at a plain server.
fn added_load(prefill: Option<&PrefillWork>) -> Load {
    Load {
        running: 1,
        pending_prefill_tokens: prefill.map_or(0, |prefill| u64::from(prefill.computed_tokens)),
        kv_tokens: prefill.map_or(0, |prefill| u64::from(prefill.new_kv_tokens)),
    }
}

/// Returns the work for a prompt and the prompt tokens queued ahead of it, if these are so few that the
/// time to its first output measures the engine's speed.
fn speed_sample(candidate: &Candidate) -> Option<(PrefillWork, u64)> {
    let ahead_tokens = candidate.load.pending_prefill_tokens;
    let prefill = candidate.prefill.filter(|_| ahead_tokens <= MAX_SAMPLE_QUEUE_TOKENS);
    Some((prefill?, ahead_tokens))
}

/// The server chosen for a request, before the request counts as in flight there.
struct Choice {
    key: BackendKey,
    candidate: Candidate,
    /// Absent for a call to plain servers.
    scope: Option<ScopedPrompt>,
    fetch: FetchSource,
}

fn refusal(now: Timestamp, reason: NotRunReason, after_ms: u64) -> Refusal {
    let retry_at = now + Duration::from_millis(after_ms);
    Refusal { reason, retry_at, is_retry_at_known: false, wait_ms: 0 }
}
