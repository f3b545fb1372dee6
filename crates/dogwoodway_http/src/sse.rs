//! Encoding and decoding of server-sent events.

mod reader;
mod scanner;
mod splitter;

use bytes::Bytes;

pub use self::{
    reader::SseReader,
    scanner::{EventScanner, EventStreamError, StreamPosition},
    splitter::EventSplitter,
};

/// Encodes one event.
///
/// ```
/// assert_eq!(dogwoodway_http::sse_event("[DONE]"), "data: [DONE]\n\n");
/// ```
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
