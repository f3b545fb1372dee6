//! Change events of an engine's prefix cache.
//!
//! Engines publish them with a delay and may lose some, so an index built from them is approximate.

use dogwoodway_types::{EngineIncarnation, PieceHash};
use serde::{Deserialize, Serialize};

/// Response to `GET /events?from=N`: cache events from sequence number N on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine that the events belong to. The sequence numbers of a restarted
    /// engine start at 0 again.
    pub engine: EngineIncarnation,
    /// Sequence number to read from next.
    pub next: u64,
    /// The events in order. Missing sequence numbers are those of lost events.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, counted from 0 in each incarnation of the engine.
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
