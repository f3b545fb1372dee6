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
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails with [`EventStreamError::EventTooLarge`] if an event is larger than 64 KiB.
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
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Returns the scanner of the stream that is being read.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Prepares for another stream that continues this one: drops the incomplete event, which the
    /// other stream contains in full, and returns the id of the last complete one.
    pub fn restart(&mut self) -> Option<String> {
        self.partial.clear();
        self.scanner = EventScanner::default();
        self.last_id.clone()
    }
}

/// Returns the value of the last `id:` field.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
