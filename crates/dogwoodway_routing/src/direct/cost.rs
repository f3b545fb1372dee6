//! What it costs to run a request on one backend server.
//!
//! All costs are in milliseconds of the caller's waiting, so that the wait for a busy server, the
//! computation of a prompt, and work that others have to do again can be weighed against each
//! other. The pattern that this answers: a few prefixes draw much of the traffic, and reading one
//! of them again takes longer than most waits.

use crate::direct::{distance::Distance, load::Load};

/// Price of computing one prompt token that an engine has computed before for the same scope, in
/// milliseconds; about ten times its own time, since it delays everyone on the engine.
pub const RECOMPUTE_MS_PER_TOKEN: f64 = 0.15;

/// Cost of a request that fails and has to be sent again, in milliseconds; a failed call costs a
/// round trip, its time in the queue, and part of the shared retry budget.
const FAILURE_MS: f64 = 1_500.0;

/// Cost of a refusal, in milliseconds: one more round trip and part of the retry budget.
const REFUSAL_MS: f64 = 150.0;

/// Fixed time of a transfer of KV cache, in milliseconds.
const FETCH_SETUP_MS: f64 = 5.0;

/// Cost of a prompt to an engine of another zone, in milliseconds: latency and traffic.
const FAR_PROMPT_MS: f64 = 10.0;

/// Cost of a call to a server of another zone, in milliseconds.
const FAR_CALL_MS: f64 = 2.0;

/// Cost of a request to another region, in milliseconds: a round trip of some 40, and traffic.
const OTHER_REGION_MS: f64 = 60.0;

/// Time that a call holds a place of a plain server, in milliseconds, where nothing was measured.
const CALL_MS: f64 = 20.0;

/// Time for which a place of an engine's full batch is waited for, in milliseconds per request
/// beyond the batch.
const FULL_BATCH_MS: f64 = 60.0;

/// Share of an engine's memory above which requests preempt each other.
const MEMORY_SHARE: f64 = 0.92;

/// Price of each token of KV cache beyond that, in milliseconds: it is computed twice.
const PREEMPTED_MS_PER_TOKEN: f64 = 0.05;

/// Time that each running request adds to a first event, in milliseconds: it shares the steps.
const NEIGHBOUR_MS: f64 = 0.8;

/// A backend server as a candidate for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of all routers at the server.
    pub load: Load,
    /// Requests that it runs together.
    pub slots: u32,
    /// How far it is from the router.
    pub distance: Distance,
    /// Factor by which the server is slower than predicted.
    pub slowdown: f64,
    /// Share of its requests that fail, beyond that of the service's other servers.
    pub failure_share: f64,
    /// Share of its requests that it refuses.
    pub refusal_share: f64,
    /// What the server has to do for the prompt; absent for a call.
    pub reading: Option<Reading>,
}

/// What an engine has to do for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Tokens that it has to compute.
    pub computed_tokens: u32,
    /// Tokens that it fetches from elsewhere.
    pub fetched_tokens: u32,
    /// Of the tokens to compute, those that were computed elsewhere for the same scope, weighed by
    /// how likely that is.
    pub repeated_tokens: f64,
    /// Tokens of KV cache that the request needs besides what the engine holds already.
    pub needed_tokens: u32,
    /// Tokens of KV cache that the engine has room for.
    pub kv_tokens: u64,
    /// Milliseconds to fetch one token.
    pub fetch_ms_per_token: f64,
    /// Milliseconds to compute one token.
    pub read_ms_per_token: f64,
    /// Further cost, such as that of old weights, in milliseconds.
    pub surcharge_ms: f64,
}

/// Predicts the milliseconds until a server begins with a request.
pub fn wait_ms(candidate: &Candidate) -> f64 {
    let read_ms = candidate.reading.map_or(0.0, |reading| reading.read_ms_per_token);
    candidate.load.pending_prefill_tokens as f64 * read_ms * candidate.slowdown
}

/// Predicts the milliseconds to the answer of a call or the first event of a stream.
pub fn first_output_ms(candidate: &Candidate) -> f64 {
    let running = f64::from(candidate.load.running);
    let places = f64::from(candidate.slots.max(1));
    let beyond = (running + 1.0 - places).max(0.0);
    let ms = match &candidate.reading {
        None => CALL_MS * (1.0 + beyond / places),
        Some(reading) => {
            let ahead =
                candidate.load.pending_prefill_tokens as f64 + f64::from(reading.computed_tokens);
            ahead * reading.read_ms_per_token
                + fetch_ms(reading)
                + running * NEIGHBOUR_MS
                + beyond * FULL_BATCH_MS
        }
    };
    ms * candidate.slowdown
}

/// Predicts the milliseconds to fetch what a prompt needs.
pub fn fetch_ms(reading: &Reading) -> f64 {
    match reading.fetched_tokens {
        0 => 0.0,
        tokens => FETCH_SETUP_MS + f64::from(tokens) * reading.fetch_ms_per_token,
    }
}

/// Returns the cost of a candidate in milliseconds.
///
/// ```
/// use dogwoodway_routing::direct::{
///     cost::{Candidate, Reading, cost_ms},
///     distance::Distance,
///     load::Load,
/// };
///
/// let reading = Reading {
///     computed_tokens: 6_000,
///     fetched_tokens: 0,
///     repeated_tokens: 0.0,
///     needed_tokens: 6_000,
///     kv_tokens: 200_000,
///     fetch_ms_per_token: 0.004,
///     read_ms_per_token: 0.015,
///     surcharge_ms: 0.0,
/// };
/// let holder = Candidate {
///     load: Load { running: 3, pending_prefill_tokens: 5_000, kv_tokens: 30_000 },
///     slots: 64,
///     distance: Distance::SameZone,
///     slowdown: 1.0,
///     failure_share: 0.0,
///     refusal_share: 0.0,
///     reading: Some(reading),
/// };
/// let reading = Reading { computed_tokens: 11_000, repeated_tokens: 5_000.0, ..reading };
/// let idle = Candidate { load: Load::default(), reading: Some(reading), ..holder };
/// assert!(cost_ms(&holder) < cost_ms(&idle));
/// ```
pub fn cost_ms(candidate: &Candidate) -> f64 {
    let far_ms = match (candidate.distance, &candidate.reading) {
        (Distance::SameZone, _) => 0.0,
        (Distance::SameRegion, None) => FAR_CALL_MS,
        (Distance::SameRegion, Some(_)) => FAR_PROMPT_MS,
        (Distance::OtherRegion, _) => OTHER_REGION_MS,
    };
    let shared_ms = match &candidate.reading {
        None => f64::from(candidate.load.running) / f64::from(candidate.slots.max(1)) * CALL_MS,
        Some(reading) => {
            let needed = candidate.load.kv_tokens as f64 + f64::from(reading.needed_tokens);
            let room = reading.kv_tokens as f64 * MEMORY_SHARE;
            let preempted = (needed - room).clamp(0.0, f64::from(reading.needed_tokens));
            preempted * PREEMPTED_MS_PER_TOKEN
                + reading.repeated_tokens * RECOMPUTE_MS_PER_TOKEN
                + f64::from(reading.fetched_tokens) * reading.fetch_ms_per_token
                + reading.surcharge_ms
        }
    };
    first_output_ms(candidate)
        + shared_ms
        + far_ms
        + candidate.failure_share * FAILURE_MS
        + candidate.refusal_share * REFUSAL_MS
}
