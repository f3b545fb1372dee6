//! Stand-in for a model engine, with continuous batching, a bounded prefix cache and deterministic
//! output.
//!
//! Prefill and decode share the engine's steps. As with real engines, cache events are published
//! late and may have gaps, and the reported load is outdated. `GET /journal` returns what actually
//! happened, without delay or gaps, for tests and for the load tool's cache audit. `POST /crash`
//! starts a new incarnation with an empty cache and cuts off all streams.

mod batch;
mod cache;
mod journal;
mod kv_transfer;
mod load_history;
mod server;
mod stream_fault;
mod weights;

pub use crate::engine::{
    batch::{Batch, BatchLimits, ScheduledRequest, StepPlan},
    cache::{CacheChange, PieceCache},
    journal::{Journal, JournalKind, JournalRecord},
    server::engine_handler,
    stream_fault::StreamFault,
};

use dogwoodway_types::{ModelName, SoftwareVersion, WeightsVersion};

/// Configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model that the engine runs; it cannot be changed later.
    pub model: ModelName,
    /// Weights version that is loaded at the start.
    pub version: WeightsVersion,
    /// Version of the software that the engine states.
    pub software: SoftwareVersion,
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Prefill time of one prompt token, in microseconds.
    pub prefill_us: u32,
    /// Time of one decode step of the whole batch, in microseconds.
    pub decode_us: u32,
    /// Capacity of the prefix cache, in prompt pieces.
    pub cache_pieces: usize,
    /// Delay before a cache event is published, in milliseconds.
    pub event_lag_ms: u32,
    /// Interval of lost cache events: every `event_gap`-th event is not published; 0 for none.
    pub event_gap: u32,
    /// Age of the load that `GET /status` reports, in milliseconds.
    pub load_lag_ms: u32,
    /// Base URL of the external KV store; without it, imports and exports are refused.
    pub kv_store_url: Option<String>,
    /// Time to import the KV cache of one prompt token, in microseconds.
    pub import_us: u32,
    /// Text that crashes the engine: after each step, the engine crashes if the prompt of a request
    /// that is still running contains it.
    pub poison: Option<String>,
    /// Factor by which steps and imports are faster than the times given here.
    pub speed: f64,
}
