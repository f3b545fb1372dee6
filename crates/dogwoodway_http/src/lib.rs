//! HTTP client and server helpers on top of hyper.
//!
//! They add what all processes of the system need: time limits, size limits, a handler type for
//! servers, and server-sent events.

mod body;
mod client;
mod client_connection;
mod connections;
mod framing;
mod server;
mod silence;
mod sse;

pub use crate::{
    body::{
        Body, BodyAborted, BodySender, ClientDisconnected, channel_body, full_body, json_response,
        pieces_body, text_response,
    },
    client::{ClientLimits, HttpClient, HttpError, HttpResponse},
    client_connection::ClientConnection,
    connections::{Connections, RequestGuard},
    framing::BodyFraming,
    server::{Handler, ServerLimits, serve, serve_with_dynamic_limits},
    silence::{TcpSocketStream, WatchedStream},
    sse::{EventScanner, EventSplitter, EventStreamError, SseReader, StreamPosition, sse_event},
};
