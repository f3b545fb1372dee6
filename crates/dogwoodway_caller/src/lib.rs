//! HTTP interface towards callers.
//!
//! Callers speak the OpenAI chat-completion protocol, streamed or not, or call a plain service
//! through `/services/`. What a request is worth and where it runs is decided behind
//! [`Dispatcher`].

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
