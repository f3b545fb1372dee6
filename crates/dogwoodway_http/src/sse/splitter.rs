//! Splitting of a byte stream into complete events.

use std::mem;

use bytes::{Bytes, BytesMut};

use crate::{EventScanner, EventStreamError, StreamPosition};

/// Splits a byte stream into complete server-sent events and remembers the position after the last
/// one, so that another server can continue the stream there.
///
/// ```
/// use dogwoodway_http::{EventSplitter, StreamPosition};
///
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push("id: 1\ndata: a\n\nid: 2\nda".into());
/// assert_eq!(events, Ok("id: 1\ndata: a\n\n".into()));
/// assert_eq!(splitter.restart(), StreamPosition::After("1".to_owned()));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scanner: EventScanner,
    /// Scanner of a stream that continues this one after the events that were returned.
    continuation: EventScanner,
    /// Whether the last byte that was returned is a CR.
    ends_with_cr: bool,
    /// Whether the stream that was continued broke off after a CR. Receivers that know only CRLF wait
    /// for its LF.
    owes_lf: bool,
}

impl EventSplitter {
    /// Creates a splitter of a stream that goes on after the event `last_id`, or of one that begins.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        let scanner = EventScanner::after(last_id);
        let continuation = scanner.clone();
        EventSplitter { scanner, continuation, ..EventSplitter::default() }
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
        if mem::take(&mut self.owes_lf) {
            self.partial = [b"\n", &self.partial[..]].concat().as_slice().into();
        }
        let events = match self.partial.is_empty() {
            true => bytes.slice(..end),
            false => {
                self.partial.extend_from_slice(&bytes[..end]);
                self.partial.split().freeze()
            }
        };
        self.partial.extend_from_slice(&bytes[end..]);
        self.continuation = self.scanner.restarted();
        self.ends_with_cr = events.ends_with(b"\r");
        Ok(events)
    }

    /// Returns the scanner of the stream that is being read.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Prepares for another stream that continues this one: drops the incomplete event, which the
    /// other stream contains in full, and returns the position after the last event that was returned.
    pub fn restart(&mut self) -> StreamPosition {
        self.partial.clear();
        self.owes_lf = self.ends_with_cr;
        self.scanner = self.continuation.clone();
        self.scanner.position().clone()
    }
}
