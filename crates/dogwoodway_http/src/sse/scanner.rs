//! Boundaries of server-sent events in a byte stream.

/// Finds the ends of server-sent events in a byte stream that arrives in pieces.
///
/// An event ends with a blank line. Lines end with CR, LF or CRLF, as the [specification] of event
/// streams allows.
///
/// ```
/// use dogwoodway_http::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.scan(b"data: 1\n\ndata:"), Some(9));
/// assert_eq!(scanner.incomplete_bytes(), 5);
/// assert_eq!(scanner.scan(b" 2\n\n"), Some(4));
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
    has_events: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the offset in `bytes` after the last event that
    /// they complete, or `None` if they complete none.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
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
        }
        end
    }

    /// Returns the number of bytes read since the end of the last event.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    /// Returns whether an event has ended.
    pub fn has_events(&self) -> bool {
        self.has_events
    }
}
