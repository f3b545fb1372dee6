//! Bodies of backend servers' responses, checked for completeness.

use std::fmt;

use bytes::Bytes;
use dogwoodway_http::{BodyFraming, EventScanner, EventSplitter, EventStreamError, StreamPosition};
use dogwoodway_routing::direct::table::RouteKind;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as _, Incoming},
};

use crate::server_check::ServerCheck;

/// What the router knows of the content of a body.
#[derive(Debug)]
pub(crate) enum BodyContent {
    /// Events of a stream that another server can continue.
    ResumableEvents(EventSplitter),
    /// Events of a stream that cannot be continued.
    Events(EventScanner),
    /// Anything else.
    Opaque,
}

impl BodyContent {
    /// Returns the content of a response with `status` to a request of a route of this kind. The
    /// client that takes up a stream has its events up to `last_id`.
    pub(crate) fn of_response(
        kind: RouteKind,
        status: StatusCode,
        last_id: Option<String>,
    ) -> BodyContent {
        match kind {
            _ if !status.is_success() => BodyContent::Opaque,
            RouteKind::ResumableStream => {
                BodyContent::ResumableEvents(EventSplitter::after(last_id))
            }
            RouteKind::Stream => BodyContent::Events(EventScanner::default()),
            RouteKind::Idempotent | RouteKind::AtMostOnce => BodyContent::Opaque,
        }
    }

    pub(crate) fn is_events(&self) -> bool {
        !matches!(self, BodyContent::Opaque)
    }

    /// Adds received bytes and returns those that can be passed on.
    fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventStreamError> {
        match self {
            BodyContent::ResumableEvents(splitter) => splitter.push(bytes),
            BodyContent::Events(scanner) => scanner.scan(&bytes).map(|_| bytes),
            BodyContent::Opaque => Ok(bytes),
        }
    }

    fn scanner(&self) -> Option<&EventScanner> {
        match self {
            BodyContent::ResumableEvents(splitter) => Some(splitter.scanner()),
            BodyContent::Events(scanner) => Some(scanner),
            BodyContent::Opaque => None,
        }
    }
}

/// Why a body broke off.
#[derive(Debug)]
pub(crate) enum BodyError {
    ConnectionLost(hyper::Error),
    Incomplete(EventStreamError),
    /// The connection ended in good order, but the process at its other end is gone.
    ServerCrashed,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the server's answer broke off: ")?;
        match self {
            BodyError::ConnectionLost(e) => write!(f, "{e}"),
            BodyError::Incomplete(e) => write!(f, "{e}"),
            BodyError::ServerCrashed => write!(f, "the server crashed"),
        }
    }
}

/// How the body of a backend server's response ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyEnd {
    pub(crate) framing: BodyFraming,
    /// Bytes of an event stream after the end of its last event.
    pub(crate) incomplete_bytes: usize,
}

/// A response body that ends without an error only if it is complete.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    incoming: Incoming,
    framing: BodyFraming,
    content: BodyContent,
    server: ServerCheck,
}

impl ResponseBody {
    pub(crate) fn new(
        incoming: Incoming,
        framing: BodyFraming,
        content: BodyContent,
        server: ServerCheck,
    ) -> ResponseBody {
        ResponseBody { incoming, framing, content, server }
    }

    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    pub(crate) fn is_events(&self) -> bool {
        self.content.is_events()
    }

    /// Returns whether another server can continue the body.
    pub(crate) fn can_be_resumed(&self) -> bool {
        matches!(self.content, BodyContent::ResumableEvents(_))
    }

    /// Returns the length in bytes, if the head states it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Waits for the next bytes and returns those that can be passed on, which may be none. `None`
    /// is the end of a complete body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let frame = match self.incoming.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => return Some(Err(BodyError::ConnectionLost(e))),
            None => return self.check_end().await.err().map(Err),
        };
        // Trailers are not passed on.
        let bytes = frame.into_data().unwrap_or_default();
        Some(self.content.push(bytes).map_err(BodyError::Incomplete))
    }

    /// Checks that a body is complete whose end has arrived.
    async fn check_end(&self) -> Result<(), BodyError> {
        if let Some(scanner) = self.content.scanner() {
            scanner.check_end(self.framing).map_err(BodyError::Incomplete)?;
        }
        match self.framing == BodyFraming::CloseDelimited && self.server.has_crashed().await {
            true => Err(BodyError::ServerCrashed),
            false => Ok(()),
        }
    }

    /// Prepares for the body of another server that continues the stream, and returns where it must
    /// go on. `None` if the stream is of a kind that cannot be continued.
    pub(crate) fn prepare_resumption(&mut self) -> Option<StreamPosition> {
        match &mut self.content {
            BodyContent::ResumableEvents(splitter) => Some(splitter.restart()),
            BodyContent::Events(_) | BodyContent::Opaque => None,
        }
    }

    /// Continues with the body of another server.
    pub(crate) fn resume_with(
        &mut self,
        incoming: Incoming,
        framing: BodyFraming,
        server: ServerCheck,
    ) {
        (self.incoming, self.framing, self.server) = (incoming, framing, server);
    }

    /// Returns how the body has ended.
    pub(crate) fn end(&self) -> BodyEnd {
        let incomplete_bytes = self.content.scanner().map_or(0, EventScanner::incomplete_bytes);
        BodyEnd { framing: self.framing, incomplete_bytes }
    }
}
