//! Interface to a model engine, and the messages of its protocol.

use std::fmt;

use dogwoodway_types::{
    AttemptId, ChatMessage, EngineIncarnation, FinishReason, LogOffset, ModelName, PieceHash,
    Priority, SoftwareVersion, Token, Usage, WeightsVersion,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::{CacheEvents, KvTransferRequest, KvTransferResponse};

/// Body of `POST /v1/chat/completions` to an engine. The response is always a stream of
/// [`EngineEvent`]; `DELETE /v1/requests/{request_id}` cancels it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRequest {
    /// Identifies the request when it is cancelled.
    pub request_id: AttemptId,
    /// Model to run.
    pub model: ModelName,
    /// Weights version that the engine must have loaded. With another one loaded, it responds with
    /// status 409.
    pub version: WeightsVersion,
    /// Messages of the prompt.
    pub messages: Vec<ChatMessage>,
    /// Prefix cache keys of the prompt's pieces.
    pub cache_keys: Vec<PieceHash>,
    /// Number of tokens in each piece.
    pub piece_tokens: Vec<u32>,
    /// Maximum number of tokens to generate, including those of `resume_after`.
    pub max_tokens: u32,
    /// Tokens that an earlier attempt has already generated; generation continues after them.
    pub resume_after: Vec<Token>,
    /// Priority in the engine's scheduler.
    pub priority: Priority,
}

/// One event of the stream that answers an [`EngineRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum EngineEvent {
    /// The engine has started to run the request; first event.
    Started {
        /// Incarnation of the engine.
        engine: EngineIncarnation,
        /// Weights version that the answer is generated with.
        version: WeightsVersion,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// One generated token.
    Token {
        /// Position of the token in the answer, counted from 0 and including the tokens of
        /// `resume_after`.
        index: u32,
        /// Number of the token in the engine's vocabulary.
        token: Token,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete; last event.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// Token counts of the request.
        usage: Usage,
    },
}

/// Body of `POST /orders`: orders an engine to load other weights. The engine aborts all its
/// streams.
///
/// Status 202 means that loading has started; it is complete once [`EngineStatus::version`] has
/// changed. An engine that checks fencing tokens responds with 412 to a token that is lower than
/// the highest it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadOrder {
    /// Fencing token: the log offset of the lease under which the order is given.
    pub fencing: LogOffset,
    /// Model to load.
    pub model: ModelName,
    /// Weights version to load.
    pub version: WeightsVersion,
}

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub version: WeightsVersion,
    /// Version of the engine's software; empty for engines that do not state it.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Number of requests in the running batch. The engine may report an outdated number.
    pub running: u32,
    /// Number of queued requests. The engine may report an outdated number.
    pub waiting: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Capacity of the prefix cache, in pieces.
    pub cache_pieces: u32,
}

/// Why an engine did not execute a request, or did not complete its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The request never reached the engine, so it did not run.
    Unreachable(String),
    /// The engine refused the request without running it, or the request could not be built.
    Refused(String),
    /// The request may have reached the engine and run, but there is no complete and valid answer.
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

/// The answer to an [`EngineRequest`] while it is generated.
pub trait EngineStream: Send {
    /// Returns the next event. Fails if the stream ends before [`EngineEvent::End`] or an event is
    /// invalid.
    fn next(&mut self) -> BoxFuture<'_, Result<EngineEvent, EngineError>>;
}

/// Access to a model engine.
pub trait ModelEngine: Send + Sync {
    /// Starts a completion and returns the stream of its events.
    fn generate(
        &self,
        req: EngineRequest,
    ) -> BoxFuture<'_, Result<Box<dyn EngineStream>, EngineError>>;

    /// Cancels a completion; does nothing if the engine does not know it.
    fn cancel(&self, request_id: AttemptId) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Orders the engine to load other weights. After [`EngineError::Lost`], only the engine's
    /// status shows whether it executes the order.
    fn load_weights(&self, order: LoadOrder) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Reads the engine's incarnation, weights and load.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>>;

    /// Reads the cache events from sequence number `from` on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, EngineError>>;

    /// Makes the engine import KV cache from the KV store.
    fn import_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>>;

    /// Makes the engine export KV cache to the KV store.
    fn export_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>>;
}
