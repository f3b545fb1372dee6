//! Change events of an engine's prefix cache.
//!
//! Engines publish them with a delay and may lose some, so an index built from them is approximate.

use dogwoodway_types::{EngineIncarnation, PieceHash};
use serde::{Deserialize, Serialize};

/// Response to `GET /events?from=N`: cache events from number N on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine that the events belong to. A restarted engine counts its events
    /// from 0 again.
    pub engine: EngineIncarnation,
    /// Event number to read from next.
    pub next: u64,
    /// The events in order. Gaps in their numbers are events that were lost.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, counted from 0 in each incarnation of the engine.
    pub seq: u64,
    /// The change.
    pub kind: CacheEventKind,
}

/// A change of one prompt piece in the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The piece was stored.
    Stored(PieceHash),
    /// The piece was evicted.
    Evicted(PieceHash),
}
