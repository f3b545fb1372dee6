//! HTTP interface for callers.
//!
//! Callers use the OpenAI chat-completion protocol, with or without streaming, or call a plain
//! service below `/services/`. This crate authenticates and parses their requests and formats the
//! responses; the [`Dispatcher`] admits, prioritises and places the requests.

mod api;
mod chat;
mod dispatcher;
mod error;

pub use crate::{
    api::{CallerApi, CallerLimits},
    dispatcher::{
        AnswerEvent, AnswerReceiver, CallerRequest, CallerWork, Dispatcher, Readiness, ReadyReport,
    },
    error::error_response,
};
