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
    exchange::Answer,
    fleet_actor::{EndAttempt, FleetActor, NoteBytes, NoteOutput, Placed},
    relay::{Attempt, Job, Relay, log_outcome},
};

/// Time between two signs of life that are told of one stream, in milliseconds.
const SIGN_EVERY_MS: u64 = 150;

/// Bytes of an event that is not complete at most; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// A request's entry in the fleet; ended when dropped, so that a caller who leaves frees its place.
pub(crate) struct Ticketed {
    fleet: ActorRef<FleetActor>,
    ticket: RequestKey,
    pub(crate) server: BackendKey,
    pub(crate) version: Option<WeightsVersion>,
    sign: Option<HealthSignal>,
    connection: Option<Connection>,
    fingerprint: Option<RequestFingerprint>,
    has_output: bool,
    signed_at: Timestamp,
}

impl Ticketed {
    pub(crate) fn new(fleet: &ActorRef<FleetActor>, placement: &Placement) -> Ticketed {
        Ticketed {
            fleet: fleet.clone(),
            ticket: placement.request,
            server: placement.server,
            version: placement.version,
            sign: None,
            connection: None,
            fingerprint: None,
            has_output: false,
            signed_at: clock::now(),
        }
    }

    /// Notes that some bytes of the answer came.
    fn note_bytes(&mut self) {
        let now = clock::now();
        if !mem::replace(&mut self.has_output, true) {
            self.signed_at = now;
            self.tell_output();
        } else if (now - self.signed_at).as_millis() as u64 >= SIGN_EVERY_MS {
            self.signed_at = now;
            if let Err(e) = self.fleet.tell(NoteBytes(self.server)).try_send() {
                log::debug!("a sign of life was not noted: {e}");
            }
        }
    }

    fn tell_output(&self) {
        if let Err(e) = self.fleet.tell(NoteOutput(self.ticket)).try_send() {
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
        connection.rest(keep_alive_ms);
        self.connection = (keep_alive_ms != Some(0)).then_some(connection);
        self.sign = Some(sign);
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, sign: Option<HealthSignal>) {
        self.sign = sign;
    }

    /// Ends an attempt whose connection broke.
    pub(crate) fn broken(mut self, fingerprint: Option<RequestFingerprint>) {
        self.sign = Some(HealthSignal::ConnectionLost);
        self.fingerprint = fingerprint;
    }
}

impl Drop for Ticketed {
    fn drop(&mut self) {
        if !self.has_output && self.sign == Some(HealthSignal::Answered) {
            self.tell_output();
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
pub(crate) struct EventCutter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventCutter {
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
    pub(crate) fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the part of an event that another server will send whole; returns the id of the last
    /// whole event.
    pub(crate) fn cut(&mut self) -> Option<String> {
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

struct Flow {
    relay: Arc<Relay>,
    job: Job,
    incoming: Incoming,
    connection: Option<Connection>,
    ticket: Option<Ticketed>,
    keep_alive_ms: Option<u64>,
    cutter: Option<EventCutter>,
    is_ended: bool,
}

/// Builds the body that brings an answer to the caller.
pub(crate) fn body(
    relay: Arc<Relay>,
    job: Job,
    answer: Answer,
    ticket: Ticketed,
    keep_alive_ms: Option<u64>,
) -> Body {
    let is_resumable = job.kind == RouteKind::ResumableStream;
    let flow = Flow {
        relay,
        job,
        incoming: answer.body,
        connection: Some(answer.connection),
        ticket: Some(ticket),
        keep_alive_ms,
        cutter: is_resumable.then(EventCutter::default),
        is_ended: false,
    };
    let frames = futures::stream::unfold(flow, |mut flow| async move {
        let frame = flow.next().await?;
        Some((frame.map(Frame::data), flow))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Flow {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        while !self.is_ended {
            let limit = clock::timer_instant(self.job.deadline);
            let Ok(frame) = tokio::time::timeout_at(limit, self.incoming.frame()).await else {
                return self.fail("the time for the answer is up", None);
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(ticket) = &mut self.ticket {
                        ticket.note_bytes();
                    }
                    let out = match &mut self.cutter {
                        Some(cutter) => cutter.push(&bytes),
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
        if let (Some(ticket), Some(connection)) = (self.ticket.take(), self.connection.take()) {
            let fingerprint = self.relay.watched_fingerprint(&self.job);
            ticket.complete(connection, self.keep_alive_ms, HealthSignal::Answered, fingerprint);
        }
        log_outcome(&self.job, hyper::StatusCode::OK, "answered", "");
        let rest = self.cutter.as_mut().map(EventCutter::rest).unwrap_or_default();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, why: &str, sign: Option<HealthSignal>) -> Option<Result<Bytes, BrokenBody>> {
        self.is_ended = true;
        self.end_ticket(sign);
        log_outcome(&self.job, hyper::StatusCode::OK, "broken-off", why);
        Some(Err(BrokenBody(why.to_owned())))
    }

    fn end_ticket(&mut self, sign: Option<HealthSignal>) {
        self.connection = None;
        if let Some(ticket) = self.ticket.take() {
            match sign {
                Some(HealthSignal::ConnectionLost) => ticket.broken(self.job.fingerprint()),
                sign => ticket.end(sign),
            }
        }
    }

    /// Continues a broken stream on another server; returns whether it goes on.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(cutter) = &mut self.cutter else { return false };
        let resume_after = cutter.cut();
        let version = self.ticket.as_ref().and_then(|ticket| ticket.version);
        self.end_ticket(Some(HealthSignal::ConnectionLost));
        log::info!(request = self.job.facts.id, why = why, after:? = resume_after;
            "stream to be continued elsewhere");
        let mut end = AttemptOutcome::Lost;
        loop {
            let job = &mut self.job;
            if next_step(job.kind, job.max_attempts, job.attempts, end) != NextStep::Retry {
                return false;
            }
            let mut query = job.query();
            // A stream is continued on the weights that it began on only.
            query.required_version = version;
            let Placed::At(at) = self.relay.place(job, query).await else { return false };
            match self.relay.attempt(job, at, resume_after.clone()).await {
                Attempt::Answered { answered, is_error: false }
                    if answered.answer.head.status.is_success() =>
                {
                    let headers = &answered.answer.head.headers;
                    self.keep_alive_ms = self.relay.protocol.keep_alive_ms(headers);
                    self.incoming = answered.answer.body;
                    self.connection = Some(answered.answer.connection);
                    self.ticket = Some(answered.ticket);
                    return true;
                }
                Attempt::Answered { answered, .. } => {
                    answered.ticket.end(Some(HealthSignal::Failed));
                    end = AttemptOutcome::Lost;
                }
                Attempt::Ended { end: ended, .. } => end = ended,
                Attempt::TimedOut => return false,
            }
        }
    }
}
