//! The border trait of the model engine and its messages.

use std::fmt;

use dogwoodway_types::{
    AttemptId, ChatMessage, EngineIncarnation, FinishReason, LogOffset, ModelName, PieceHash,
    Priority, Token, Usage, WeightsVersion,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::{CacheEvents, KvTransferRequest, KvTransferResponse};

/// Body of `POST /v1/chat/completions` to an engine; always answered as a stream of
/// [`EngineEvent`]. `DELETE /v1/requests/{request_id}` cancels it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRequest {
    /// Identifies the request for a cancel.
    pub request_id: AttemptId,
    /// Model to run.
    pub model: ModelName,
    /// Weights version that must be loaded; any other is refused with status 409.
    pub version: WeightsVersion,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// Keys under which the engine caches the prompt's pieces.
    pub cache_keys: Vec<PieceHash>,
    /// Tokens in each piece.
    pub piece_tokens: Vec<u32>,
    /// Most tokens to generate, those of `resume_after` included.
    pub max_tokens: u32,
    /// Tokens already generated; generation goes on after them.
    pub resume_after: Vec<Token>,
    /// Scheduling priority.
    pub priority: Priority,
}

/// One event of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum EngineEvent {
    /// The request was scheduled.
    Started {
        /// The engine's incarnation.
        engine: EngineIncarnation,
        /// Weights version in use.
        version: WeightsVersion,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// One generated token.
    Token {
        /// Its position in the answer, resumed tokens included.
        index: u32,
        /// Its number.
        token: Token,
        /// Its text.
        text: String,
    },
    /// The answer is complete.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// Tokens counted.
        usage: Usage,
    },
}

/// Body of `POST /orders`: load other weights. All streams of the engine are cut off.
///
/// Status 202 means that loading has begun; [`EngineStatus::version`] tells when it is done. An
/// engine that checks fencing numbers answers 412 to one below the highest it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadOrder {
    /// Offset of the lease under which the order is given.
    pub fencing: LogOffset,
    /// Model to load.
    pub model: ModelName,
    /// Weights version to load.
    pub version: WeightsVersion,
}

/// Answer of `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's incarnation.
    pub incarnation: EngineIncarnation,
    /// Model loaded.
    pub model: ModelName,
    /// Weights version loaded.
    pub version: WeightsVersion,
    /// Requests running, as of some time ago.
    pub running: u32,
    /// Requests waiting, as of some time ago.
    pub waiting: u32,
    /// Most requests that run together.
    pub max_batch: u32,
    /// Pieces that the prefix cache holds.
    pub cache_pieces: u32,
}

/// The reason why an engine gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The request never reached the engine.
    Unreachable(String),
    /// The engine refused the request before running it.
    Refused(String),
    /// The connection was lost after the request may have reached the engine.
    Lost(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::Unreachable(e) => write!(f, "the engine is unreachable: {e}"),
            EngineError::Refused(e) => write!(f, "the engine refused the request: {e}"),
            EngineError::Lost(e) => write!(f, "the engine was lost: {e}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// An answer being generated.
pub trait EngineStream: Send {
    /// Returns the next event, or an error if the answer cannot be completed.
    fn next(&mut self) -> BoxFuture<'_, Result<EngineEvent, EngineError>>;
}

/// A model engine.
pub trait ModelEngine: Send + Sync {
    /// Starts a completion.
    fn generate(
        &self,
        req: EngineRequest,
    ) -> BoxFuture<'_, Result<Box<dyn EngineStream>, EngineError>>;

    /// Cancels a completion; an unknown one is no error.
    fn cancel(&self, request_id: AttemptId) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Orders the engine to load weights. A lost answer tells nothing: read the status.
    fn load_weights(&self, order: LoadOrder) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Asks for the engine's identity and load.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>>;

    /// Asks for cache events from number `from` on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, EngineError>>;

    /// Orders the engine to import pieces from the store of kept KV cache.
    fn import_kv(
        &self,
        order: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>>;

    /// Orders the engine to export pieces to the store of kept KV cache.
    fn export_kv(
        &self,
        order: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>>;
}
