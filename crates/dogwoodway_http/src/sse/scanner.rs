//! Boundaries of server-sent events in a byte stream, and whether its end is that of the stream.

use std::fmt;

use crate::BodyFraming;

/// Largest event that is accepted, in bytes. Servers that fail may send bytes without end.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Why the bytes of a response are not a complete stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStreamError {
    /// The stream ended after this many bytes of an event.
    EndedInsideEvent(usize),
    /// The connection ended before the first event.
    EndedBeforeFirstEvent,
    /// An event is larger than 64 KiB.
    EventTooLarge,
}

impl fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventStreamError::EndedInsideEvent(bytes) => {
                write!(f, "the stream ended after {bytes} bytes of an event")
            }
            EventStreamError::EndedBeforeFirstEvent => {
                write!(f, "the connection ended before the first event")
            }
            EventStreamError::EventTooLarge => {
                write!(f, "an event is larger than {MAX_EVENT_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for EventStreamError {}

/// Finds the ends of server-sent events in a byte stream that arrives in pieces.
///
/// An event ends with a blank line. Lines end with CR, LF or CRLF, as the [specification] of event
/// streams allows.
///
/// ```
/// use dogwoodway_http::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.scan(b"data: 1\n\ndata:"), Ok(Some(9)));
/// assert_eq!(scanner.incomplete_bytes(), 5);
/// assert_eq!(scanner.scan(b" 2\n\n"), Ok(Some(4)));
/// assert_eq!(scanner.incomplete_bytes(), 0);
/// ```
///
/// [specification]: https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    /// Bytes of the incomplete event.
    incomplete_bytes: usize,
    /// Whether the current line has any content.
    is_in_line: bool,
    /// Whether the last byte was CR. An LF that follows belongs to the same line end.
    is_after_cr: bool,
    /// Whether an event has ended.
    has_events: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the offset in `bytes` after the last event that
    /// they complete, or `None` if they complete none.
    ///
    /// # Errors
    ///
    /// Fails with [`EventStreamError::EventTooLarge`] if an event is larger than 64 KiB.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, EventStreamError> {
        let mut end = None;
        for (i, byte) in bytes.iter().enumerate() {
            let is_second_half_of_crlf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            match byte {
                b'\n' if is_second_half_of_crlf && self.incomplete_bytes == 0 => end = Some(i + 1),
                b'\n' if is_second_half_of_crlf => self.incomplete_bytes += 1,
                b'\n' | b'\r' if !self.is_in_line => {
                    self.has_events |= self.incomplete_bytes > 0;
                    self.incomplete_bytes = 0;
                    end = Some(i + 1);
                }
                b'\n' | b'\r' => {
                    self.is_in_line = false;
                    self.incomplete_bytes += 1;
                }
                _ => {
                    self.is_in_line = true;
                    self.incomplete_bytes += 1;
                }
            }
            if self.incomplete_bytes > MAX_EVENT_BYTES {
                return Err(EventStreamError::EventTooLarge);
            }
        }
        Ok(end)
    }

    /// Checks that a stream whose body has ended without an error is complete.
    ///
    /// The end of an event proves it, unless nothing but the end of the connection marks the end of
    /// a body without events: a server that crashes closes its connections as well.
    ///
    /// ```
    /// use dogwoodway_http::{BodyFraming, EventScanner, EventStreamError};
    ///
    /// let mut scanner = EventScanner::default();
    /// assert_eq!(scanner.scan(b"data: 1\n"), Ok(None));
    /// assert_eq!(
    ///     scanner.check_end(BodyFraming::CloseDelimited),
    ///     Err(EventStreamError::EndedInsideEvent(8))
    /// );
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the stream ended inside an event or before its first one.
    pub fn check_end(&self, framing: BodyFraming) -> Result<(), EventStreamError> {
        match self.incomplete_bytes {
            0 if !self.has_events && framing == BodyFraming::CloseDelimited => {
                Err(EventStreamError::EndedBeforeFirstEvent)
            }
            0 => Ok(()),
            bytes => Err(EventStreamError::EndedInsideEvent(bytes)),
        }
    }

    /// Returns the number of bytes read since the end of the last event.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }
}
