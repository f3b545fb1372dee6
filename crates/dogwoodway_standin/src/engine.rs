//! Stand-in of a model engine: continuous batching, a limited prefix cache, late cache events,
//! lagging load and deterministic answers.
//!
//! Prompt computation and decoding share the engine. `POST /crash` starts a new incarnation with
//! an empty cache and cuts off all streams; `GET /journal` tells what really happened.

mod batch;
mod cache;
mod journal;
mod kv;
mod load;
mod orders;
mod server;
mod stream_fault;

pub use crate::engine::{
    batch::{Batch, BatchLimits, Plan, Scheduled},
    cache::{CacheChange, PieceCache},
    journal::{Journal, JournalKind, JournalRecord},
    server::engine_handler,
    stream_fault::StreamFault,
};

use dogwoodway_types::{ModelName, WeightsVersion};

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model loaded at the start.
    pub model: ModelName,
    /// Weights version loaded at the start.
    pub version: WeightsVersion,
    /// Requests that run together.
    pub max_batch: u32,
    /// Microseconds to compute one prompt token.
    pub prefill_us: u32,
    /// Microseconds of one decoding step of the whole batch.
    pub decode_us: u32,
    /// Pieces that the cache holds.
    pub cache_pieces: usize,
    /// Milliseconds after which a cache event can be read.
    pub event_lag_ms: u32,
    /// Every how many-th cache event is lost; 0 for none.
    pub event_gap: u32,
    /// Milliseconds by which the reported load lags.
    pub load_lag_ms: u32,
    /// Base URL of the store of kept KV cache.
    pub kv_store_url: Option<String>,
    /// Microseconds to import one prompt token.
    pub import_us: u32,
    /// Text in a prompt that crashes the engine.
    pub poison: Option<String>,
    /// Factor by which the engine runs faster than its stated times.
    pub speed: f64,
}
