//! Boundaries of server-sent events in a byte stream, and whether its end is that of the stream.

use std::{fmt, mem};

use crate::BodyFraming;

/// Largest event that is accepted, in bytes. Servers that fail may send bytes without end.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Bytes that are kept of a line that is no id, enough to recognise its field.
const LINE_PREFIX_BYTES: usize = 8;

/// Begins the head of an HTTP/1 response.
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";

/// Begins the line with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Where a stream goes on that has broken off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has ended yet.
    #[default]
    Start,
    /// After the event with this id.
    After(String),
    /// After an event without an id. No server can be told where to go on.
    Unknown,
}

/// Why the bytes of a response are not a complete stream of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventStreamError {
    /// The stream ended after this many bytes of an event.
    EndedInsideEvent(usize),
    /// The connection ended before the first event.
    EndedBeforeFirstEvent,
    /// A stream that continues another one ended before its first event.
    EmptyContinuation,
    /// The first event of a stream that continues another one has no id.
    UnnamedContinuation,
    /// An event is larger than 64 KiB.
    EventTooLarge,
    /// The head of a response came where an event should begin.
    SecondResponse,
    /// The id of an event does not follow the last one, so that the event is not the next one of the
    /// stream.
    IdNotIncreasing {
        /// Id of the last event that has one.
        last: String,
        /// Id of the event.
        next: String,
    },
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
            EventStreamError::EmptyContinuation => {
                write!(f, "the stream that continues another one ended before its first event")
            }
            EventStreamError::UnnamedContinuation => {
                write!(f, "the first event of the stream that continues another one has no id")
            }
            EventStreamError::EventTooLarge => {
                write!(f, "an event is larger than {MAX_EVENT_BYTES} bytes")
            }
            EventStreamError::SecondResponse => {
                write!(f, "the head of another response came after the last event")
            }
            EventStreamError::IdNotIncreasing { last, next } => {
                write!(f, "the event {next:?} came after the event {last:?}")
            }
        }
    }
}

impl std::error::Error for EventStreamError {}

/// Finds the ends of server-sent events in a byte stream that arrives in pieces, and checks that their
/// ids increase.
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
/// Events may lack an id. Numbers increase if each is greater than the last one; of other ids only
/// those that equal the last one are known not to.
///
/// [specification]: https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    /// Bytes of the incomplete event.
    incomplete_bytes: usize,
    /// Whether the current line has any content.
    is_in_line: bool,
    /// Whether the last byte was CR. An LF that follows belongs to the same line end.
    is_after_cr: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// Whether the stream continues another one after an event with an id, and has had no such event
    /// itself.
    awaits_continuation: bool,
    /// Start of the current line; the whole line if it holds an id.
    line: Vec<u8>,
    /// Id of the incomplete event. An empty one ends the validity of earlier ids.
    id: Option<String>,
    /// Whether the incomplete event has fields other than `id` and `retry`.
    has_content: bool,
    /// Id of the last event that has one, in this stream or the one that it continues.
    last_id: Option<String>,
    position: StreamPosition,
}

impl EventScanner {
    /// Creates a scanner of a stream that goes on after the event `last_id`, or of one that begins.
    ///
    /// ```
    /// use dogwoodway_http::EventScanner;
    ///
    /// let mut scanner = EventScanner::after(Some("7".to_owned()));
    /// assert!(scanner.scan(b"id: 7\ndata: a\n\n").is_err());
    /// ```
    pub fn after(last_id: Option<String>) -> EventScanner {
        EventScanner { last_id, ..EventScanner::default() }
    }

    /// Reads the next bytes of the stream. Returns the offset in `bytes` after the last event that
    /// they complete, or `None` if they complete none.
    ///
    /// # Errors
    ///
    /// Fails with [`EventStreamError::EventTooLarge`] if an event is larger than 64 KiB, with
    /// [`EventStreamError::SecondResponse`] if the head of a response begins like an event, with
    /// [`EventStreamError::IdNotIncreasing`] if the id of an event does not follow the last one, and
    /// with [`EventStreamError::UnnamedContinuation`] if the first event of a continuation has no id.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, EventStreamError> {
        let mut end = None;
        for (i, byte) in bytes.iter().enumerate() {
            let is_second_half_of_crlf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            match byte {
                b'\n' if is_second_half_of_crlf && self.incomplete_bytes == 0 => end = Some(i + 1),
                b'\n' if is_second_half_of_crlf => self.incomplete_bytes += 1,
                b'\n' | b'\r' if !self.is_in_line => {
                    self.end_event()?;
                    self.has_events |= self.incomplete_bytes > 0;
                    self.incomplete_bytes = 0;
                    end = Some(i + 1);
                }
                b'\n' | b'\r' => {
                    self.end_line();
                    self.is_in_line = false;
                    self.incomplete_bytes += 1;
                }
                _ => {
                    if self.line.len() < LINE_PREFIX_BYTES || self.line.starts_with(ID_FIELD) {
                        self.line.push(*byte);
                    }
                    self.is_in_line = true;
                    self.incomplete_bytes += 1;
                    if self.incomplete_bytes == STATUS_LINE_PREFIX.len()
                        && self.line == STATUS_LINE_PREFIX
                    {
                        return Err(EventStreamError::SecondResponse);
                    }
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
    /// Fails if the stream ended inside an event or before its first one. A server that fails may also
    /// end a continuation before its first event.
    pub fn check_end(&self, framing: BodyFraming) -> Result<(), EventStreamError> {
        match self.incomplete_bytes {
            0 if self.awaits_continuation => Err(EventStreamError::EmptyContinuation),
            0 if !self.has_events && framing == BodyFraming::CloseDelimited => {
                Err(EventStreamError::EndedBeforeFirstEvent)
            }
            0 => Ok(()),
            bytes => Err(EventStreamError::EndedInsideEvent(bytes)),
        }
    }

    /// Creates a scanner of a stream that continues the one that this scanner has read.
    ///
    /// ```
    /// use dogwoodway_http::{EventScanner, StreamPosition};
    ///
    /// let mut scanner = EventScanner::default();
    /// assert!(scanner.scan(b"id: 1\ndata: a\n\nid: 2\ndata").is_ok());
    /// let mut scanner = scanner.restarted();
    /// assert_eq!(scanner.position(), &StreamPosition::After("1".to_owned()));
    /// assert!(scanner.scan(b"id: 1\ndata: a\n\n").is_err());
    /// ```
    pub fn restarted(&self) -> EventScanner {
        let (last_id, position) = (self.last_id.clone(), self.position.clone());
        let awaits_continuation = matches!(position, StreamPosition::After(_));
        EventScanner { last_id, position, awaits_continuation, ..EventScanner::default() }
    }

    /// Returns the position after the last event that has ended. Comments are no events.
    pub fn position(&self) -> &StreamPosition {
        &self.position
    }

    /// Returns the number of bytes read since the end of the last event.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    fn end_line(&mut self) {
        let line = mem::take(&mut self.line);
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        match line.strip_prefix(ID_FIELD) {
            // The specification ignores such ids.
            Some(id) if id.contains(&0) => {}
            Some(id) => self.id = Some(String::from_utf8_lossy(id).trim().to_owned()),
            None if name == b"id" => self.id = Some(String::new()),
            None => self.has_content |= !matches!(name, b"" | b"retry"),
        }
    }

    fn end_event(&mut self) -> Result<(), EventStreamError> {
        let id = self.id.take().filter(|id| !id.is_empty());
        let has_content = mem::take(&mut self.has_content);
        let Some(next) = id else {
            if has_content && self.awaits_continuation {
                return Err(EventStreamError::UnnamedContinuation);
            }
            if has_content {
                self.position = StreamPosition::Unknown;
            }
            return Ok(());
        };
        if let Some(last) = self.last_id.as_ref().filter(|last| !follows(&next, last)) {
            return Err(EventStreamError::IdNotIncreasing { last: last.clone(), next });
        }
        self.position = StreamPosition::After(next.clone());
        self.last_id = Some(next);
        self.awaits_continuation = false;
        Ok(())
    }
}

/// Returns whether the event `next` may come after the event `last`.
fn follows(next: &str, last: &str) -> bool {
    match (next.parse::<u128>(), last.parse::<u128>()) {
        (Ok(next), Ok(last)) => next > last,
        _ => next != last,
    }
}
