//! Reader of the events in a response body.

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::HttpError;

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads server-sent events from the body of a response. Lines end with CR, LF or CRLF.
#[derive(Debug)]
pub struct SseReader {
    body: Incoming,
    buf: Vec<u8>,
}

impl SseReader {
    /// Creates a reader of `body`.
    pub fn new(body: Incoming) -> SseReader {
        SseReader { body, buf: Vec::new() }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::ResponseLost`] if the connection is lost or the body ends within an
    /// event, and with [`HttpError::InvalidResponse`] if an event is not UTF-8 or exceeds 1 MiB.
    pub async fn next(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            if let Some(data) = self.take_event()? {
                return Ok(Some(data));
            }
            let Some(frame) = self.body.frame().await else {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => {
                        Err(HttpError::ResponseLost("the stream ended inside an event".to_owned()))
                    }
                };
            };
            let frame = frame.map_err(|e| HttpError::ResponseLost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(HttpError::InvalidResponse("an event is too large".to_owned()));
            }
        }
    }

    fn take_event(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            let Some(end) = event_end(&self.buf) else { return Ok(None) };
            let event: Vec<u8> = self.buf.drain(..end).collect();
            // A blank line alone is no event, such as the second half of a CRLF that came later.
            if event.iter().all(|byte| is_line_end(*byte)) {
                continue;
            }
            let event =
                String::from_utf8(event).map_err(|e| HttpError::InvalidResponse(e.to_string()))?;
            let lines = event.split(['\r', '\n']);
            let data = lines.filter_map(|line| line.strip_prefix("data:"));
            return Ok(Some(data.map(str::trim_start).collect::<Vec<_>>().join("\n")));
        }
    }
}

/// Returns the offset after the blank line that ends the first event.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut is_line_blank = true;
    let mut rest = buf.iter().enumerate().peekable();
    while let Some((i, byte)) = rest.next() {
        if !is_line_end(*byte) {
            is_line_blank = false;
            continue;
        }
        let is_crlf = *byte == b'\r' && rest.next_if(|(_, next)| **next == b'\n').is_some();
        if is_line_blank {
            return Some(i + 1 + usize::from(is_crlf));
        }
        is_line_blank = true;
    }
    None
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
