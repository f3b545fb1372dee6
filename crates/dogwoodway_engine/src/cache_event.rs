//! Events of an engine's prefix cache, published late and with gaps.

use dogwoodway_types::{EngineIncarnation, PieceHash};
use serde::{Deserialize, Serialize};

/// Answer of `GET /events?from=N`: cache events from number N on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation that the events are of.
    pub engine: EngineIncarnation,
    /// Number to ask for next.
    pub next: u64,
    /// The events; numbers that are missing were lost.
    pub events: Vec<CacheEvent>,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, counted from 0 for each incarnation.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
}

/// What happened to a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored(PieceHash),
    /// It was evicted.
    Evicted(PieceHash),
}
