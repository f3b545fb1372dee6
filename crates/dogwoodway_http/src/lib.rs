//! Small HTTP client and server helpers over hyper.

mod body;
mod client;
mod server;
mod sse;

pub use crate::{
    body::{Body, BodySender, channel_body, full_body, json_response, text_response},
    client::{HttpClient, HttpError, HttpReply},
    server::{Handler, ServerLimits, serve},
    sse::{SseReader, sse_event},
};
