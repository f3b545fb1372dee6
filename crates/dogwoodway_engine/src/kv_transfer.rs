//! Requests to an engine to transfer KV cache from or to the KV store.

use dogwoodway_types::{ModelName, PieceHash, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Body of `POST /kv/import` and `POST /kv/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvTransferRequest {
    /// Model that the pieces must have been computed with. An engine that serves other weights
    /// refuses the request.
    pub model: ModelName,
    /// Version of the model's weights that the pieces must have been computed with.
    pub version: WeightsVersion,
    /// Consecutive pieces of a prompt, from its start.
    pub keys: Vec<PieceHash>,
    /// Number of tokens in each piece.
    pub tokens: Vec<u32>,
}

/// Response to a [`KvTransferRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransferResponse {
    /// Number of pieces transferred, from the start of the prompt. It may be lower than requested,
    /// as the source may not hold all pieces.
    pub pieces: u32,
}
