//! Splitting of a byte stream into complete events.

use bytes::{Bytes, BytesMut};

use crate::{EventScanner, EventStreamError};

/// Splits a byte stream into complete server-sent events and remembers the id of the last one, so
/// that another server can continue the stream after it.
///
/// ```
/// use dogwoodway_http::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push("id: 1\ndata: a\n\nid: 2\nda".into());
/// assert_eq!(events, Ok("id: 1\ndata: a\n\n".into()));
/// assert_eq!(splitter.restart().as_deref(), Some("1"));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scanner: EventScanner,
    /// Id of the last event that was returned and has one, or that the stream goes on after.
    passed_on_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter of a stream that goes on after the event `last_id`, or of one that begins.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        let scanner = EventScanner::after(last_id.clone());
        EventSplitter { partial: BytesMut::new(), scanner, passed_on_id: last_id }
    }

    /// Adds received bytes and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`EventScanner::scan`]. None of the bytes can be passed on then.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventStreamError> {
        let Some(end) = self.scanner.scan(&bytes)? else {
            self.partial.extend_from_slice(&bytes);
            return Ok(Bytes::new());
        };
        let events = match self.partial.is_empty() {
            true => bytes.slice(..end),
            false => {
                self.partial.extend_from_slice(&bytes[..end]);
                self.partial.split().freeze()
            }
        };
        self.partial.extend_from_slice(&bytes[end..]);
        self.passed_on_id = self.scanner.last_id().map(str::to_owned);
        Ok(events)
    }

    /// Returns the scanner of the stream that is being read.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Prepares for another stream that continues this one: drops the incomplete event, which the
    /// other stream contains in full, and returns the id of the event that it must go on after.
    pub fn restart(&mut self) -> Option<String> {
        self.partial.clear();
        self.scanner = EventScanner::after(self.passed_on_id.clone());
        self.passed_on_id.clone()
    }
}
