//! Small HTTP client and server helpers over hyper.

mod body;
mod client;
mod server;
mod sse;

pub use crate::{
    body::{Body, BodySender, BrokenBody, channel_body, full_body, json_response, text_response},
    client::{ClientLimits, HttpClient, HttpError, HttpReply},
    server::{Handler, ServerLimits, give_up_when_silent, serve, serve_within},
    sse::{SseReader, sse_event},
};
