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
const FAILURE_COST_MS: f64 = 1_500.0;

/// Cost of a refusal, in milliseconds: one more round trip and part of the retry budget.
const REFUSAL_COST_MS: f64 = 150.0;

/// Fixed time of a transfer of KV cache, in milliseconds.
const FETCH_SETUP_MS: f64 = 5.0;

/// Cost of a prompt to an engine of another zone, in milliseconds: latency and traffic.
const OTHER_ZONE_PROMPT_MS: f64 = 10.0;

/// Cost of a call to a server of another zone, in milliseconds.
const OTHER_ZONE_CALL_MS: f64 = 2.0;

/// Cost of a request to another region, in milliseconds: a round trip of some 40, and traffic.
const OTHER_REGION_MS: f64 = 60.0;

/// Time that a call holds a place of a plain server, in milliseconds, where nothing was measured.
const DEFAULT_CALL_MS: f64 = 20.0;

/// Time for which a place of an engine's full batch is waited for, in milliseconds per request
/// beyond the batch.
const BATCH_SLOT_WAIT_MS: f64 = 60.0;

/// Share of an engine's memory above which requests preempt each other.
const PREEMPTION_MEMORY_SHARE: f64 = 0.92;

/// Price of each token of KV cache beyond that, in milliseconds: it is computed twice.
const PREEMPTION_MS_PER_TOKEN: f64 = 0.05;

/// Time that each running request adds to a first event, in milliseconds: it shares the steps.
const MS_PER_RUNNING_REQUEST: f64 = 0.8;

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
    pub prefill: Option<PrefillWork>,
}

/// What an engine has to do for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillWork {
    /// Tokens that it has to compute.
    pub computed_tokens: u32,
    /// Tokens that it fetches from elsewhere.
    pub fetched_tokens: u32,
    /// Of the tokens to compute, those that were computed elsewhere for the same scope, weighed by
    /// how likely that is.
    pub recomputed_tokens: f64,
    /// Tokens of KV cache that the request needs besides what the engine holds already.
    pub new_kv_tokens: u32,
    /// Tokens of KV cache that the engine has room for.
    pub kv_capacity_tokens: u64,
    /// Milliseconds to fetch one token.
    pub fetch_ms_per_token: f64,
    /// Milliseconds to compute one token.
    pub prefill_ms_per_token: f64,
    /// Further cost, such as that of old weights, in milliseconds.
    pub penalty_ms: f64,
}

/// Predicts the milliseconds until a server begins with a request.
pub fn queue_wait_ms(candidate: &Candidate) -> f64 {
    let read_ms = candidate.prefill.map_or(0.0, |prefill| prefill.prefill_ms_per_token);
    candidate.load.pending_prefill_tokens as f64 * read_ms * candidate.slowdown
}

/// Predicts the milliseconds to the answer of a call or the first event of a stream.
pub fn first_output_ms(candidate: &Candidate) -> f64 {
    let running = f64::from(candidate.load.running);
    let places = f64::from(candidate.slots.max(1));
    let beyond = (running + 1.0 - places).max(0.0);
    let ms = match &candidate.prefill {
        None => DEFAULT_CALL_MS * (1.0 + beyond / places),
        Some(prefill) => {
            let ahead =
                candidate.load.pending_prefill_tokens as f64 + f64::from(prefill.computed_tokens);
            ahead * prefill.prefill_ms_per_token
                + fetch_ms(prefill)
                + running * MS_PER_RUNNING_REQUEST
                + beyond * BATCH_SLOT_WAIT_MS
        }
    };
    ms * candidate.slowdown
}

/// Predicts the milliseconds to fetch what a prompt needs.
pub fn fetch_ms(prefill: &PrefillWork) -> f64 {
    match prefill.fetched_tokens {
        0 => 0.0,
        tokens => FETCH_SETUP_MS + f64::from(tokens) * prefill.fetch_ms_per_token,
    }
}

/// Returns the cost of a candidate in milliseconds.
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
/// let holder = Candidate {
///     load: Load { running: 3, pending_prefill_tokens: 5_000, kv_tokens: 30_000 },
///     slots: 64,
///     distance: Distance::SameZone,
///     slowdown: 1.0,
///     failure_share: 0.0,
///     refusal_share: 0.0,
///     prefill: Some(prefill),
/// };
/// let prefill = PrefillWork { computed_tokens: 11_000, recomputed_tokens: 5_000.0, ..prefill };
/// let idle = Candidate { load: Load::default(), prefill: Some(prefill), ..holder };
/// assert!(cost_ms(&holder) < cost_ms(&idle));
/// ```
pub fn cost_ms(candidate: &Candidate) -> f64 {
    let far_ms = match (candidate.distance, &candidate.prefill) {
        (Distance::SameZone, _) => 0.0,
        (Distance::SameRegion, None) => OTHER_ZONE_CALL_MS,
        (Distance::SameRegion, Some(_)) => OTHER_ZONE_PROMPT_MS,
        (Distance::OtherRegion, _) => OTHER_REGION_MS,
    };
    let shared_ms = match &candidate.prefill {
        None => {
            f64::from(candidate.load.running) / f64::from(candidate.slots.max(1)) * DEFAULT_CALL_MS
        }
        Some(prefill) => {
            let needed = candidate.load.kv_tokens as f64 + f64::from(prefill.new_kv_tokens);
            let room = prefill.kv_capacity_tokens as f64 * PREEMPTION_MEMORY_SHARE;
            let preempted = (needed - room).clamp(0.0, f64::from(prefill.new_kv_tokens));
            preempted * PREEMPTION_MS_PER_TOKEN
                + prefill.recomputed_tokens * RECOMPUTE_MS_PER_TOKEN
                + f64::from(prefill.fetched_tokens) * prefill.fetch_ms_per_token
                + prefill.penalty_ms
        }
    };
    first_output_ms(candidate)
        + shared_ms
        + far_ms
        + candidate.failure_share * FAILURE_COST_MS
        + candidate.refusal_share * REFUSAL_COST_MS
}
