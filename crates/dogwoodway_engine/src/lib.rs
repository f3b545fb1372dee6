//! Client of the model engine beside an agent.
//!
//! The protocol is the OpenAI chat completion with server-sent events, plus a few fields that
//! engines offer beyond it: see [`EngineRequest`] and [`EngineEvent`].

mod cache_event;
mod client;
mod model_engine;

pub use crate::{
    cache_event::{CacheEvent, CacheEventKind, CacheEvents},
    client::HttpEngine,
    model_engine::{
        EngineError, EngineEvent, EngineRequest, EngineStatus, EngineStream, ModelEngine,
    },
};
