//! Response bodies that are passed on as they arrive, and their resumption on another server.
//!
//! A resumable stream consists of server-sent events with ids. If its server fails, the request is
//! sent to another one together with the id of the last complete event, and the client sees one
//! uninterrupted stream.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;
use dogwoodway_http::{Body, BodyAborted, StreamPosition};
use dogwoodway_routing::direct::{
    health::HealthSignal,
    retry::{AttemptOutcome, NextStep, next_step},
    stream_origin::{StreamBeginning, StreamKey, StreamOrigin},
};
use dogwoodway_types::WeightsVersion;
use http_body_util::{BodyExt, StreamBody};
use hyper::{StatusCode, body::Frame, header, http};

use crate::{
    attempt_guard::AttemptGuard,
    clock,
    connection::Connection,
    exchange::ExchangeError,
    fleet_actor::PlacementReply,
    metric,
    relay::{Attempt, AttemptResponse, ClientRequest, Relay, log_outcome, log_outdated_start},
    response_body::ResponseBody,
    response_memory::ResponseReservation,
};

/// Time after its deadline for which a client may still take up a stream, in milliseconds; its clock
/// started earlier than the router's.
const RESUMPTION_MARGIN_MS: u64 = 1_000;

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take_if(|guard| guard.is_silent(clock::now())) {
            guard.abandon(self.request.fingerprint());
        }
    }
}

/// Properties of a response head that all runs of one stream share. A server that reports a failure
/// instead of continuing the stream sends others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamHead {
    pub(crate) status: StatusCode,
    /// Content type without parameters, in lower case.
    media_type: String,
}

impl From<&http::response::Parts> for StreamHead {
    fn from(head: &http::response::Parts) -> StreamHead {
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let media_type = content_type.split(';').next().unwrap_or_default();
        StreamHead { status: head.status, media_type: media_type.trim().to_ascii_lowercase() }
    }
}

/// State of a response body that is passed on as it arrives.
struct ResponseStream {
    relay: Arc<Relay>,
    request: ClientRequest,
    head: StreamHead,
    /// Bytes that were read and not passed on yet.
    pieces: VecDeque<Bytes>,
    reservation: ResponseReservation,
    body: ResponseBody,
    connection: Option<Connection>,
    guard: Option<AttemptGuard>,
    keep_alive_ms: Option<u64>,
    /// Where the stream began; absent until an event was passed on.
    origin: Option<StreamOrigin>,
    is_ended: bool,
}

/// A response whose body is passed on to the client as it arrives.
pub(crate) struct StreamedResponse {
    pub(crate) head: StreamHead,
    /// Pieces of the body that were already read; may be empty.
    pub(crate) prefix: VecDeque<Bytes>,
    pub(crate) reservation: ResponseReservation,
    pub(crate) body: ResponseBody,
    pub(crate) connection: Connection,
    pub(crate) guard: AttemptGuard,
    pub(crate) keep_alive_ms: Option<u64>,
}

/// Builds a body that passes a backend response on to the client.
pub(crate) fn body(relay: Arc<Relay>, request: ClientRequest, response: StreamedResponse) -> Body {
    let stream = ResponseStream {
        relay,
        request,
        head: response.head,
        pieces: response.prefix,
        reservation: response.reservation,
        body: response.body,
        connection: Some(response.connection),
        guard: Some(response.guard),
        keep_alive_ms: response.keep_alive_ms,
        origin: None,
        is_ended: false,
    };
    let frames = futures::stream::unfold(stream, |mut stream| async move {
        let frame = stream.next().await?;
        Some((frame.map(Frame::data), stream))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl ResponseStream {
    /// Returns the next bytes for the client, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if let Some(piece) = self.pieces.pop_front() {
            return Some(Ok(piece));
        }
        while !self.is_ended {
            let limit = clock::timer_instant(self.request.deadline);
            let waiting = self.guard.as_ref().filter(|guard| !guard.has_output);
            let version = waiting.and_then(|guard| guard.version);
            let read = async {
                self.reservation.room().await;
                self.body.next().await
            };
            let bytes = tokio::select! {
                biased;
                bytes = tokio::time::timeout_at(limit, read) => bytes,
                () = self.relay.start_overdue(&self.request, version), if waiting.is_some() => {
                    metrics::counter!(metric::WITHDRAWN_REQUESTS).increment(1);
                    return self.fail(&ExchangeError::Withdrawn.to_string(), None);
                }
            };
            let Ok(bytes) = bytes else {
                return self.fail("the time for the answer is up", None);
            };
            let Some(bytes) = bytes else { return self.finish() };
            if let Some(guard) = &mut self.guard
                && guard.record_bytes()
            {
                self.log_start();
            }
            match bytes {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => {
                    self.record_origin();
                    self.reservation.record_read(bytes.len());
                    self.pieces = self.reservation.hold(bytes);
                    return self.pieces.pop_front().map(Ok);
                }
                Err(e) => {
                    let why = e.to_string();
                    if !self.resume(&why).await {
                        return self.fail(&why, Some(HealthSignal::ConnectionLost));
                    }
                }
            }
        }
        None
    }

    /// Logs the start of a stream on weights of which a newer version has been published.
    fn log_start(&self) {
        let Some(guard) = &self.guard else { return };
        if let Some(latest_start) = self.relay.latest_start(&self.request, guard.version) {
            log_outdated_start(&self.request, guard, latest_start);
        }
    }

    /// Records, before the first event is passed on, which software and weights bring it.
    fn record_origin(&mut self) {
        if self.origin.is_some() || !self.body.can_be_resumed() {
            return;
        }
        let Some(guard) = &self.guard else { return };
        let request = &self.request;
        let team = request.team.as_ref().map(|team| &team.name);
        let key = StreamKey::new(team, &request.head.id);
        let began = Some(StreamBeginning { server: guard.server_tag, at: clock::now() });
        let origin = StreamOrigin { software: guard.software, weights: guard.version, began };
        self.origin = Some(origin);
        let until = request.head.deadline.unwrap_or(request.deadline);
        let until = until + Duration::from_millis(RESUMPTION_MARGIN_MS);
        self.relay.origins.record(key, origin, until);
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        self.is_ended = true;
        if let (Some(guard), Some(connection)) = (self.guard.take(), self.connection.take()) {
            let fingerprint = self.relay.fingerprint_if_tracked(&self.request);
            guard.complete(connection, self.keep_alive_ms, HealthSignal::Answered, fingerprint);
        }
        log_outcome(&self.request, self.head.status, "answered", "", Some(self.body.end()));
        None
    }

    fn fail(
        &mut self,
        why: &str,
        signal: Option<HealthSignal>,
    ) -> Option<Result<Bytes, BodyAborted>> {
        self.is_ended = true;
        self.end_attempt(signal);
        log_outcome(&self.request, self.head.status, "broken-off", why, Some(self.body.end()));
        Some(Err(BodyAborted(why.to_owned())))
    }

    fn end_attempt(&mut self, signal: Option<HealthSignal>) {
        self.connection = None;
        if let Some(guard) = self.guard.take() {
            match signal {
                Some(HealthSignal::ConnectionLost) => {
                    guard.connection_lost(self.request.fingerprint());
                }
                signal => guard.end(signal),
            }
        }
    }

    /// Prepares the body for a resumption, and returns the id of the event to go on after: none if the
    /// request itself says where to begin. `None` if the stream cannot be continued.
    fn prepare_resumption(&mut self, why: &str) -> Option<Option<String>> {
        match self.body.prepare_resumption()? {
            StreamPosition::Start => Some(None),
            StreamPosition::After(id) => Some(Some(id)),
            StreamPosition::Unknown => {
                log::info!(
                    request = self.request.head.id, why = why;
                    "stream cannot be continued: its last event has no id"
                );
                None
            }
        }
    }

    /// Returns whether a response with this head may continue the stream, whose weights have this
    /// version.
    fn is_continued_by(
        &self,
        head: &http::response::Parts,
        version: Option<WeightsVersion>,
    ) -> bool {
        let served = self.relay.protocol.weights_version(&head.headers);
        let has_other_weights = served.is_some() && version.is_some() && served != version;
        self.head == StreamHead::from(head) && !has_other_weights
    }

    /// Continues with the response of another server.
    fn continue_with(&mut self, response: AttemptResponse) {
        let AttemptResponse { upstream, guard } = response;
        self.keep_alive_ms = self.relay.protocol.keep_alive_ms(&upstream.head.headers);
        let framing = upstream.framing();
        self.body.resume_with(upstream.body, framing, guard.server_check());
        (self.connection, self.guard) = (Some(upstream.connection), Some(guard));
    }

    /// Resumes a broken stream on another server; returns whether that succeeded.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(resume_after) = self.prepare_resumption(why) else { return false };
        let version = self.guard.as_ref().and_then(|guard| guard.version);
        // A stream begins with its first event; until then, any software may begin it.
        let origin = match self.origin {
            Some(origin) => match self.relay.origins.check(origin).await {
                Some(origin) => Some(origin),
                None => return false,
            },
            None => self.request.origin,
        };
        let software = origin.map(|origin| origin.software);
        self.end_attempt(Some(HealthSignal::ConnectionLost));
        log::info!(
            request = self.request.head.id, why = why, framing = self.body.framing().as_str(),
            after:? = resume_after;
            "stream to be continued elsewhere"
        );
        let mut outcome = AttemptOutcome::Lost;
        loop {
            let request = &mut self.request;
            if next_step(request.kind, request.max_attempts, request.attempts, outcome)
                != NextStep::Retry
            {
                return false;
            }
            let mut placement_request = request.placement_request();
            // Output of other weights would not continue the text sent so far.
            placement_request.required_version = version;
            placement_request.preferred_version = None;
            placement_request.required_software = software;
            let PlacementReply::Assigned(target) =
                self.relay.place(request, placement_request).await
            else {
                return false;
            };
            match self.relay.attempt(request, target, resume_after.clone()).await {
                Attempt::Responded { response, is_error: false }
                    if self.is_continued_by(&response.upstream.head, version) =>
                {
                    self.continue_with(*response);
                    return true;
                }
                Attempt::Responded { response, .. } => {
                    log::info!(
                        request = self.request.head.id,
                        head:? = StreamHead::from(&response.upstream.head);
                        "response does not continue the stream"
                    );
                    response.guard.end(Some(HealthSignal::Failed));
                    outcome = AttemptOutcome::Lost;
                }
                Attempt::Failed { outcome: failed, .. } => outcome = failed,
                Attempt::TimedOut => return false,
            }
        }
    }
}
