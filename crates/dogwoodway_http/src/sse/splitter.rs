//! Splitting of a byte stream into complete events.

use bytes::{Bytes, BytesMut};

use crate::EventScanner;

/// Largest incomplete event that is held back, in bytes; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Splits a byte stream into complete server-sent events and remembers the id of the last one, so
/// that another server can continue the stream after it.
///
/// ```
/// use dogwoodway_http::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push("id: 1\ndata: a\n\nid: 2\nda".into()), "id: 1\ndata: a\n\n");
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
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let Some(end) = self.scanner.scan(&bytes) else {
            self.partial.extend_from_slice(&bytes);
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => self.partial.split().freeze(),
                false => Bytes::new(),
            };
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
        events
    }

    /// Returns the scanner of the stream that is being read.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Returns the incomplete event that is left at the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
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
