//! Cost of running a request on one backend server.
//!
//! All costs are in milliseconds of waiting time for callers, so that queueing, the prefill of the
//! prompt and work that must be repeated can be weighed against each other.
//!
//! The load pattern behind this model: a few prefixes account for much of the traffic, and
//! computing one of them again takes longer than most requests wait in the queue.

use crate::direct::{distance::Distance, load::Load};

/// Cost of computing one prompt token again that some engine has already computed for the same
/// cache scope, in milliseconds. This is about ten times the computing time, because prefill delays
/// all requests on the engine.
pub const RECOMPUTE_MS_PER_TOKEN: f64 = 0.15;

/// Cost of a request that fails and has to be sent again, in milliseconds. A failed call costs a
/// round trip, its time in the queue, and part of the shared retry budget.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Cost of a request that the server refuses, in milliseconds: another round trip and part of the
/// retry budget.
const REFUSAL_COST_MS: f64 = 150.0;

/// Fixed part of the time to transfer KV cache, in milliseconds.
const FETCH_SETUP_MS: f64 = 5.0;

/// Cost of sending a prompt to an engine in another zone, in milliseconds: latency and traffic.
const OTHER_ZONE_PROMPT_MS: f64 = 10.0;

/// Cost of sending a call to a server in another zone, in milliseconds.
const OTHER_ZONE_CALL_MS: f64 = 2.0;

/// Cost of sending a request to another region, in milliseconds: a round trip of about 40 ms, and
/// traffic.
const OTHER_REGION_MS: f64 = 60.0;

/// Time for which a call is assumed to occupy a slot of a plain server, in milliseconds.
const DEFAULT_CALL_MS: f64 = 20.0;

/// Expected wait for a slot in the batch of an engine, in milliseconds for each request beyond the
/// batch size.
const BATCH_SLOT_WAIT_MS: f64 = 60.0;

/// Share of an engine's KV cache above which requests are assumed to preempt each other.
const PREEMPTION_MEMORY_SHARE: f64 = 0.92;

/// Cost of each token of KV cache above that share, in milliseconds, because a preempted request is
/// computed twice.
const PREEMPTION_MS_PER_TOKEN: f64 = 0.05;

/// Time that each running request adds to the first output of a new one, in milliseconds, because
/// they share the steps of the batch.
const MS_PER_RUNNING_REQUEST: f64 = 0.8;

/// A backend server considered for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of all known routers at the server.
    pub load: Load,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Distance between the server and the router.
    pub distance: Distance,
    /// Factor by which the server is slower than the predictions; 1 if it matches them.
    pub slowdown: f64,
    /// Share of the server's requests that fail, in excess of the usual share for the service.
    pub failure_share: f64,
    /// Share of the server's requests that it refuses.
    pub refusal_share: f64,
    /// The work for the prompt; absent for a call to a plain server.
    pub prefill: Option<PrefillWork>,
}

/// The work that an engine has to do for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillWork {
    /// Prompt tokens that the engine computes.
    pub computed_tokens: u32,
    /// Prompt tokens whose KV cache the engine fetches from another engine or a KV store.
    pub fetched_tokens: u32,
    /// Those of the computed tokens that are already cached elsewhere for the same cache scope,
    /// weighted by the probability that they are.
    pub recomputed_tokens: f64,
    /// Tokens of KV cache that the request adds to what the engine already holds.
    pub new_kv_tokens: u32,
    /// Capacity of the engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Time to fetch the KV cache of one token, in milliseconds.
    pub fetch_ms_per_token: f64,
    /// Time to compute one token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Additional cost in milliseconds, for example for running on old weights.
    pub penalty_ms: f64,
}

/// Predicts the time until the server starts to compute a prompt, in milliseconds; 0 for a call to
/// a plain server.
pub fn queue_wait_ms(candidate: &Candidate) -> f64 {
    let prefill_ms_per_token =
        candidate.prefill.map_or(0.0, |prefill| prefill.prefill_ms_per_token);
    candidate.load.pending_prefill_tokens as f64 * prefill_ms_per_token * candidate.slowdown
}

/// Predicts the time to the answer of a call or to the first event of a stream, in milliseconds.
pub fn first_output_ms(candidate: &Candidate) -> f64 {
    let running = f64::from(candidate.load.running);
    let slots = f64::from(candidate.slots.max(1));
    let excess = (running + 1.0 - slots).max(0.0);
    let ms = match &candidate.prefill {
        None => DEFAULT_CALL_MS * (1.0 + excess / slots),
        Some(prefill) => {
            let queued_tokens =
                candidate.load.pending_prefill_tokens as f64 + f64::from(prefill.computed_tokens);
            queued_tokens * prefill.prefill_ms_per_token
                + fetch_ms(prefill)
                + running * MS_PER_RUNNING_REQUEST
                + excess * BATCH_SLOT_WAIT_MS
        }
    };
    ms * candidate.slowdown
}

/// Predicts the time to fetch the KV cache for a prompt, in milliseconds.
pub fn fetch_ms(prefill: &PrefillWork) -> f64 {
    match prefill.fetched_tokens {
        0 => 0.0,
        tokens => FETCH_SETUP_MS + f64::from(tokens) * prefill.fetch_ms_per_token,
    }
}

/// Returns the cost of a candidate in milliseconds: the predicted time to the first output plus the
/// costs of distance, of expected failures, and of the work imposed on others.
///
/// ```
/// use dogwoodway_routing::direct::{
///     cost::{Candidate, PrefillWork, cost_ms},
///     distance::Distance,
///     load::Load,
/// };
///
/// let prefill = PrefillWork {
///     computed_tokens: 6_000,
///     fetched_tokens: 0,
///     recomputed_tokens: 0.0,
///     new_kv_tokens: 6_000,
///     kv_capacity_tokens: 200_000,
///     fetch_ms_per_token: 0.004,
///     prefill_ms_per_token: 0.015,
///     penalty_ms: 0.0,
/// };
/// let caching = Candidate {
///     load: Load { running: 3, pending_prefill_tokens: 5_000, kv_tokens: 30_000 },
///     slots: 64,
///     distance: Distance::SameZone,
///     slowdown: 1.0,
///     failure_share: 0.0,
///     refusal_share: 0.0,
///     prefill: Some(prefill),
/// };
/// let prefill = PrefillWork { computed_tokens: 11_000, recomputed_tokens: 5_000.0, ..prefill };
/// let idle = Candidate { load: Load::default(), prefill: Some(prefill), ..caching };
/// assert!(cost_ms(&caching) < cost_ms(&idle));
/// ```
pub fn cost_ms(candidate: &Candidate) -> f64 {
    let distance_ms = match (candidate.distance, &candidate.prefill) {
        (Distance::SameZone, _) => 0.0,
        (Distance::SameRegion, None) => OTHER_ZONE_CALL_MS,
        (Distance::SameRegion, Some(_)) => OTHER_ZONE_PROMPT_MS,
        (Distance::OtherRegion, _) => OTHER_REGION_MS,
    };
    let side_effect_ms = match &candidate.prefill {
        None => {
            f64::from(candidate.load.running) / f64::from(candidate.slots.max(1)) * DEFAULT_CALL_MS
        }
        Some(prefill) => {
            let needed_tokens = candidate.load.kv_tokens as f64 + f64::from(prefill.new_kv_tokens);
            let usable_tokens = prefill.kv_capacity_tokens as f64 * PREEMPTION_MEMORY_SHARE;
            let preempted_tokens =
                (needed_tokens - usable_tokens).clamp(0.0, f64::from(prefill.new_kv_tokens));
            preempted_tokens * PREEMPTION_MS_PER_TOKEN
                + prefill.recomputed_tokens * RECOMPUTE_MS_PER_TOKEN
                + f64::from(prefill.fetched_tokens) * prefill.fetch_ms_per_token
                + prefill.penalty_ms
        }
    };
    first_output_ms(candidate)
        + side_effect_ms
        + distance_ms
        + candidate.failure_share * FAILURE_COST_MS
        + candidate.refusal_share * REFUSAL_COST_MS
}
