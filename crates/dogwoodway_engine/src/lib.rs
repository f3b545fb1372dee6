//! Client of the model engine beside an agent.
//!
//! The protocol is the OpenAI chat completion with server-sent events, plus a few fields that
//! engines offer beyond it: see [`EngineRequest`] and [`EngineEvent`].

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
