//! Answers that go to the caller as they come, and their continuation on another server.

use std::{mem, sync::Arc};

use bytes::{Bytes, BytesMut};
use dogwoodway_http::{Body, BrokenBody};
use dogwoodway_routing::direct::{
    fleet::{BackendKey, Placement, RequestKey},
    health::HealthSignal,
    retry::{AttemptOutcome, NextStep, next_step},
    table::RouteKind,
};
use dogwoodway_types::{RequestFingerprint, Timestamp, WeightsVersion};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use kameo::actor::ActorRef;

use crate::{
    clock,
    connection::Connection,
    exchange::BackendResponse,
    fleet_actor::{BytesReceived, EndAttempt, FirstOutputReceived, FleetActor, PlacementReply},
    relay::{Attempt, ClientRequest, Relay, log_outcome},
};

/// Time between two signs of life that are told of one stream, in milliseconds.
const ACTIVITY_INTERVAL_MS: u64 = 150;

/// Bytes of an event that is not complete at most; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// A request's entry in the fleet; ended when dropped, so that a caller who leaves frees its place.
pub(crate) struct AttemptGuard {
    fleet: ActorRef<FleetActor>,
    ticket: RequestKey,
    pub(crate) server: BackendKey,
    pub(crate) version: Option<WeightsVersion>,
    sign: Option<HealthSignal>,
    connection: Option<Connection>,
    fingerprint: Option<RequestFingerprint>,
    has_output: bool,
    activity_reported_at: Timestamp,
}

impl AttemptGuard {
    pub(crate) fn new(fleet: &ActorRef<FleetActor>, placement: &Placement) -> AttemptGuard {
        AttemptGuard {
            fleet: fleet.clone(),
            ticket: placement.request,
            server: placement.server,
            version: placement.version,
            sign: None,
            connection: None,
            fingerprint: None,
            has_output: false,
            activity_reported_at: clock::now(),
        }
    }

    /// Notes that some bytes of the answer came.
    fn note_bytes(&mut self) {
        let now = clock::now();
        if !mem::replace(&mut self.has_output, true) {
            self.activity_reported_at = now;
            self.report_first_output();
        } else if (now - self.activity_reported_at).as_millis() as u64 >= ACTIVITY_INTERVAL_MS {
            self.activity_reported_at = now;
            if let Err(e) = self.fleet.tell(BytesReceived(self.server)).try_send() {
                log::debug!("a sign of life was not noted: {e}");
            }
        }
    }

    fn report_first_output(&self) {
        if let Err(e) = self.fleet.tell(FirstOutputReceived(self.ticket)).try_send() {
            log::warn!("a first output was not noted: {e}");
        }
    }

    /// Ends an attempt whose answer was read whole, and hands back the connection unless the server
    /// closes it; `keep_alive_ms` is what the server said of it, `fingerprint` the request's content
    /// if contents are watched.
    pub(crate) fn complete(
        mut self,
        mut connection: Connection,
        keep_alive_ms: Option<u64>,
        sign: HealthSignal,
        fingerprint: Option<RequestFingerprint>,
    ) {
        self.fingerprint = fingerprint;
        connection.mark_idle(keep_alive_ms);
        self.connection = (keep_alive_ms != Some(0)).then_some(connection);
        self.sign = Some(sign);
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, sign: Option<HealthSignal>) {
        self.sign = sign;
    }

    /// Ends an attempt whose connection broke.
    pub(crate) fn connection_lost(mut self, fingerprint: Option<RequestFingerprint>) {
        self.sign = Some(HealthSignal::Broken);
        self.fingerprint = fingerprint;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.has_output && self.sign == Some(HealthSignal::Answered) {
            self.report_first_output();
        }
        let end = EndAttempt {
            ticket: self.ticket,
            server: self.server,
            sign: self.sign,
            connection: self.connection.take(),
            fingerprint: self.fingerprint,
        };
        if let Err(e) = self.fleet.tell(end).try_send() {
            log::warn!("the end of an attempt was not noted: {e}");
        }
    }
}

/// Cuts a stream into whole events, and remembers the id of the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => self.partial.split().freeze(),
                false => Bytes::new(),
            };
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns what is left at the end of the stream.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the part of an event that another server will send whole; returns the id of the last
    /// whole event.
    pub(crate) fn discard_partial(&mut self) -> Option<String> {
        self.partial.clear();
        self.last_id.clone()
    }
}

fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let blank = |pattern: &[u8]| {
        bytes
            .windows(pattern.len())
            .rposition(|window| window == pattern)
            .map(|i| i + pattern.len())
    };
    blank(b"\n\n").max(blank(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

struct ResponseStream {
    relay: Arc<Relay>,
    request: ClientRequest,
    incoming: Incoming,
    connection: Option<Connection>,
    guard: Option<AttemptGuard>,
    keep_alive_ms: Option<u64>,
    splitter: Option<EventSplitter>,
    is_ended: bool,
}

/// Builds the body that brings an answer to the caller.
pub(crate) fn body(
    relay: Arc<Relay>,
    request: ClientRequest,
    backend_response: BackendResponse,
    guard: AttemptGuard,
    keep_alive_ms: Option<u64>,
) -> Body {
    let is_resumable = request.kind == RouteKind::ResumableStream;
    let stream = ResponseStream {
        relay,
        request,
        incoming: backend_response.body,
        connection: Some(backend_response.connection),
        guard: Some(guard),
        keep_alive_ms,
        splitter: is_resumable.then(EventSplitter::default),
        is_ended: false,
    };
    let frames = futures::stream::unfold(stream, |mut stream| async move {
        let frame = stream.next().await?;
        Some((frame.map(Frame::data), stream))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl ResponseStream {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        while !self.is_ended {
            let limit = clock::timer_instant(self.request.deadline);
            let Ok(frame) = tokio::time::timeout_at(limit, self.incoming.frame()).await else {
                return self.fail("the time for the answer is up", None);
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(guard) = &mut self.guard {
                        guard.note_bytes();
                    }
                    let out = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => bytes,
                    };
                    if !out.is_empty() {
                        return Some(Ok(out));
                    }
                }
                None => return self.finish(),
                Some(Err(e)) => {
                    let why = format!("the server's answer broke off: {e}");
                    if !self.resume(&why).await {
                        return self.fail(&why, Some(HealthSignal::ConnectionLost));
                    }
                }
            }
        }
        None
    }

    fn finish(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        self.is_ended = true;
        if let (Some(guard), Some(connection)) = (self.guard.take(), self.connection.take()) {
            let fingerprint = self.relay.fingerprint_if_tracked(&self.request);
            guard.complete(connection, self.keep_alive_ms, HealthSignal::Answered, fingerprint);
        }
        log_outcome(&self.request, hyper::StatusCode::OK, "answered", "");
        let remainder =
            self.splitter.as_mut().map(EventSplitter::take_remainder).unwrap_or_default();
        (!remainder.is_empty()).then_some(Ok(remainder))
    }

    fn fail(&mut self, why: &str, sign: Option<HealthSignal>) -> Option<Result<Bytes, BrokenBody>> {
        self.is_ended = true;
        self.end_attempt(sign);
        log_outcome(&self.request, hyper::StatusCode::OK, "broken-off", why);
        Some(Err(BrokenBody(why.to_owned())))
    }

    fn end_attempt(&mut self, sign: Option<HealthSignal>) {
        self.connection = None;
        if let Some(guard) = self.guard.take() {
            match sign {
                Some(HealthSignal::Broken) => guard.connection_lost(self.request.fingerprint()),
                sign => guard.end(sign),
            }
        }
    }

    /// Continues a broken stream on another server; returns whether it goes on.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(splitter) = &mut self.splitter else { return false };
        let resume_after = splitter.discard_partial();
        let version = self.guard.as_ref().and_then(|guard| guard.version);
        self.end_attempt(Some(HealthSignal::Broken));
        log::info!(request = self.request.head.id, why = why, after:? = resume_after;
            "stream to be continued elsewhere");
        let mut end = AttemptOutcome::Lost;
        loop {
            let request = &mut self.request;
            if next_step(request.kind, request.max_attempts, request.attempts, end)
                != NextStep::Retry
            {
                return false;
            }
            let mut query = request.query();
            // A stream is continued on the weights that it began on only.
            query.version = version;
            let PlacementReply::Assigned(assignment) = self.relay.place(request, query).await
            else {
                return false;
            };
            match self.relay.attempt(request, assignment, resume_after.clone()).await {
                Attempt::Responded { response, is_error: false }
                    if response.backend_response.head.status.is_success() =>
                {
                    let headers = &response.backend_response.head.headers;
                    self.keep_alive_ms = self.relay.protocol.keep_alive_ms(headers);
                    self.incoming = response.backend_response.body;
                    self.connection = Some(response.backend_response.connection);
                    self.guard = Some(response.guard);
                    return true;
                }
                Attempt::Responded { response, .. } => {
                    response.guard.end(Some(HealthSignal::Failed));
                    end = AttemptOutcome::Lost;
                }
                Attempt::Failed { end: ended, .. } => end = ended,
                Attempt::TimedOut => return false,
            }
        }
    }
}
