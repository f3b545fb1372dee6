//! Client that an agent uses to call its model engine.
//!
//! The protocol is based on streamed OpenAI chat completions, with additional fields in the request
//! and an event format of its own: see [`EngineRequest`] and [`EngineEvent`].

mod cache_event;
mod client;
mod kv_transfer;
mod model_engine;

pub use crate::{
    cache_event::{CacheEvent, CacheEventKind, CacheEvents},
    client::HttpEngine,
    kv_transfer::{KvTransferRequest, KvTransferResponse},
    model_engine::{
        EngineError, EngineEvent, EngineRequest, EngineStatus, EngineStream, LoadOrder, ModelEngine,
    },
};
