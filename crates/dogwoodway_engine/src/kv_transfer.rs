//! Orders to an engine to move KV cache to or from the store.

use dogwoodway_types::{ModelName, PieceHash, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Body of `POST /kv/import` and `POST /kv/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvTransferRequest {
    /// Model and weights version that the pieces must have been computed with; an engine that runs
    /// any other refuses the order.
    pub model: ModelName,
    /// See [`KvTransferRequest::model`].
    pub version: WeightsVersion,
    /// The pieces, from the start of a prompt.
    pub keys: Vec<PieceHash>,
    /// Tokens in each piece.
    pub tokens: Vec<u32>,
}

/// Answer to a [`KvTransferRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransferResponse {
    /// Pieces moved, from the start of the prompt.
    pub pieces: u32,
}
