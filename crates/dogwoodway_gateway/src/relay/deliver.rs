//! Delivery of a backend server's response to the client.

use std::{collections::VecDeque, sync::Arc};

use dogwoodway_http::{Body, BodyFraming, ClientConnection, pieces_body};
use dogwoodway_routing::direct::{
    health::HealthSignal,
    retry::{AttemptOutcome, NextStep, next_step},
};
use dogwoodway_types::Timestamp;
use hyper::{Response, StatusCode, Version, header};

use crate::{
    clock, metric,
    relay::{AttemptResponse, ClientRequest, Relay, outcome::log_outcome},
    response_body::{BodyContent, BodyError, ResponseBody},
    response_memory::ResponseBuffer,
    stream::{self, StreamHead, StreamedResponse},
};

/// Largest response, in bytes, that is buffered completely before its first byte is sent to the
/// client. If the server fails while sending such a response, the request can still be retried.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;

/// What to do after a response head has arrived.
pub(super) enum Delivery {
    /// Send this response to the client.
    Respond(Response<Body>),
    /// Try another server.
    Retry(Box<ClientRequest>),
}

/// What was read of a body before anything is sent to the client.
enum Buffered {
    /// The body, which is complete.
    Complete(ResponseBuffer),
    /// The first bytes, perhaps none, of a body that is not buffered.
    Prefix(ResponseBuffer),
    BrokenOff(BodyError),
    TimedOut,
}

impl Relay {
    /// Turns a backend response into the client's. Successful streams and responses longer than
    /// [`MAX_BUFFERED_RESPONSE_BYTES`] are passed on as they arrive; all others are read completely
    /// first, so that a failure can still be retried.
    pub(super) async fn deliver(
        self: Arc<Relay>,
        request: ClientRequest,
        response: Box<AttemptResponse>,
        is_error: bool,
    ) -> Delivery {
        let AttemptResponse { upstream, guard } = *response;
        let framing = upstream.framing();
        let mut resp = Response::new(());
        *resp.status_mut() = upstream.head.status;
        *resp.headers_mut() = self.protocol.client_headers(&upstream.head.headers);
        metrics::histogram!(metric::FIRST_BYTE_SECONDS)
            .record((clock::now() - request.arrived_at).as_secs_f64());
        let content =
            BodyContent::of_response(request.kind, upstream.head.status, request.last_event_id());
        let client = request.http_head.extensions.get::<ClientConnection>().cloned();
        let mut response = StreamedResponse {
            head: StreamHead::from(&upstream.head),
            prefix: VecDeque::new(),
            reservation: self.memory.responses.open(&request.head.id, client),
            body: ResponseBody::new(upstream.body, framing, content, guard.server_check()),
            connection: upstream.connection,
            guard,
            keep_alive_ms: self.protocol.keep_alive_ms(&upstream.head.headers),
        };
        let body = &response.body;
        let is_long = body.length().is_some_and(|bytes| bytes > MAX_BUFFERED_RESPONSE_BYTES as u64);
        // The run that continues a stream may differ in length from the rest of the first one.
        let states_length = framing == BodyFraming::Length && !body.can_be_resumed();
        if !states_length {
            resp.headers_mut().remove(header::CONTENT_LENGTH);
        }
        let can_break_off = can_break_off(&request, states_length);
        let buffered = match can_break_off && (body.is_events() || is_long) {
            true => Buffered::Prefix(ResponseBuffer::default()),
            false => buffer_body(&mut response, &request, can_break_off).await,
        };
        match buffered {
            Buffered::Prefix(prefix) if can_break_off => {
                response.prefix = prefix.hold(&mut response.reservation);
                let body = stream::body(self, request, response);
                Delivery::Respond(resp.map(|()| body))
            }
            Buffered::Prefix(_) => {
                response.guard.end(None);
                let why = "the response is too long to buffer for an HTTP/1.0 client";
                Delivery::Respond(self.error_response(&request, StatusCode::BAD_GATEWAY, why))
            }
            Buffered::Complete(bytes) => {
                self.deliver_complete(request, resp, response, bytes, is_error)
            }
            Buffered::TimedOut => {
                response.guard.end(None);
                Delivery::Respond(self.timeout_response(&request))
            }
            Buffered::BrokenOff(e) => {
                response.guard.connection_lost(request.fingerprint());
                self.retry_or_fail(request, &e)
            }
        }
    }

    /// Delivers a response that was read completely, or decides on another attempt if it reports a
    /// failure of the server.
    fn deliver_complete(
        &self,
        request: ClientRequest,
        resp: Response<()>,
        mut response: StreamedResponse,
        bytes: ResponseBuffer,
        is_error: bool,
    ) -> Delivery {
        let signal = if is_error { HealthSignal::Failed } else { HealthSignal::Answered };
        let fingerprint = self.fingerprint_if_tracked(&request);
        response.guard.complete(response.connection, response.keep_alive_ms, signal, fingerprint);
        let outcome = AttemptOutcome::Answered { is_error };
        let step = next_step(request.kind, request.max_attempts, request.attempts, outcome);
        if step == NextStep::Retry && has_time_for_retry(clock::now(), &request) {
            return Delivery::Retry(Box::new(request));
        }
        let why = if is_error { "the server's own failure" } else { "" };
        log_outcome(&request, resp.status(), "answered", why, Some(response.body.end()));
        let pieces = bytes.hold(&mut response.reservation);
        Delivery::Respond(resp.map(|()| pieces_body(pieces)))
    }

    /// Decides what follows an attempt whose response broke off before anything was sent to the
    /// client.
    fn retry_or_fail(&self, request: ClientRequest, e: &BodyError) -> Delivery {
        let outcome = AttemptOutcome::Lost;
        match next_step(request.kind, request.max_attempts, request.attempts, outcome) {
            NextStep::Retry => Delivery::Retry(Box::new(request)),
            _ => {
                let status = StatusCode::BAD_GATEWAY;
                Delivery::Respond(self.error_response(&request, status, &e.to_string()))
            }
        }
    }
}

/// Reads a body to its end, within the request's deadline, unless it turns out to be longer than
/// [`MAX_BUFFERED_RESPONSE_BYTES`] or, if it `can_break_off`, there is no memory for it.
async fn buffer_body(
    response: &mut StreamedResponse,
    request: &ClientRequest,
    can_break_off: bool,
) -> Buffered {
    let StreamedResponse { body, reservation, .. } = response;
    let limit = clock::timer_instant(request.deadline);
    let mut buf = ResponseBuffer::default();
    loop {
        // Responses that are half buffered would otherwise wait for each other.
        if can_break_off && !reservation.has_room() {
            return Buffered::Prefix(buf);
        }
        let read = async {
            reservation.room().await;
            body.next().await
        };
        match tokio::time::timeout_at(limit, read).await {
            Ok(Some(Ok(bytes))) => {
                reservation.record_read(bytes.len());
                buf.push(&bytes);
            }
            Ok(Some(Err(e))) => return Buffered::BrokenOff(e),
            Ok(None) => return Buffered::Complete(buf),
            Err(_) => return Buffered::TimedOut,
        }
        if buf.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Buffered::Prefix(buf);
        }
    }
}

/// Returns whether the client of a response notices that its body broke off. Clients of HTTP/1.0
/// take the end of the connection for the end of a body without a length.
fn can_break_off(request: &ClientRequest, states_length: bool) -> bool {
    states_length || request.http_head.version >= Version::HTTP_11
}

/// Returns whether at least as much time is left until the deadline as was already spent, so that
/// a retry after a server error is likely to finish in time.
fn has_time_for_retry(now: Timestamp, request: &ClientRequest) -> bool {
    request.deadline - now > now - request.arrived_at
}
