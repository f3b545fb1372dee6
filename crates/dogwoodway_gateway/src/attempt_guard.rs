//! Guard of one attempt at a backend server, which reports how the attempt goes and ends.

use std::{mem, net::SocketAddr, time::Duration};

use dogwoodway_routing::{
    direct::{
        fleet::{BackendKey, Placement, RequestKey, ServerTag},
        health::HealthSignal,
        software::SoftwareTag,
    },
    part_blame::{AnswerProgress, PartKey},
};
use dogwoodway_types::{BackendServerName, RequestFingerprint, Timestamp, WeightsVersion};
use kameo::actor::ActorRef;

use crate::{
    clock,
    connection::Connection,
    fleet_actor::{
        AttemptedRequest, BytesReceived, EndAttempt, FirstOutputReceived, FleetActor, ServerProcess,
    },
    relay::ClientRequest,
    server_check::ServerCheck,
};

/// Time without bytes after which a client that leaves a stream may do so because the server's machine
/// fell silent, in milliseconds; some intervals between the events of a stream.
const ABANDONED_SILENCE_MS: u64 = 500;

/// Guard of one attempt at a backend server.
///
/// Dropping it reports the end of the attempt to the fleet actor, so that the server's slot is also
/// released when the client disconnects.
pub(crate) struct AttemptGuard {
    fleet: ActorRef<FleetActor>,
    request_key: RequestKey,
    pub(crate) server: BackendKey,
    address: SocketAddr,
    process: ServerProcess,
    /// Version of the weights that the server was asked to use.
    pub(crate) version: Option<WeightsVersion>,
    /// From when on the server refuses or stops the request, if that is before its deadline.
    refused_after: Option<Timestamp>,
    /// Identifies the server to other routers.
    pub(crate) server_tag: ServerTag,
    /// Software version of the server.
    pub(crate) software: SoftwareTag,
    /// Result to report; absent if the client disconnected or the deadline passed.
    signal: Option<HealthSignal>,
    connection: Option<Connection>,
    fingerprint: Option<RequestFingerprint>,
    request: AttemptedRequest,
    /// Whether any bytes of the response body have arrived.
    pub(crate) has_output: bool,
    progress: AnswerProgress,
}

impl AttemptGuard {
    pub(crate) fn new(
        fleet: &ActorRef<FleetActor>,
        placement: &Placement,
        request: &ClientRequest,
    ) -> AttemptGuard {
        AttemptGuard {
            fleet: fleet.clone(),
            request_key: placement.request,
            server: placement.server,
            address: placement.address,
            process: ServerProcess {
                name: placement.name.clone(),
                started_at_ms: placement.started_at_ms,
            },
            version: placement.version,
            refused_after: placement.refused_after,
            server_tag: placement.server_tag,
            software: placement.software_tag,
            signal: None,
            connection: None,
            fingerprint: None,
            request: AttemptedRequest {
                id: request.head.id.clone(),
                shared_parts: request.shared_parts.clone(),
                model: request.head.prompt.as_ref().map(|prompt| PartKey::of_model(&prompt.model)),
                sent_at: clock::now(),
                answer_started_at: None,
                was_abandoned: false,
            },
            has_output: false,
            progress: AnswerProgress::new(clock::now()),
        }
    }

    /// Returns the name of the server.
    pub(crate) fn server_name(&self) -> &BackendServerName {
        &self.process.name
    }

    /// Returns when the request was sent to the server.
    pub(crate) fn sent_at(&self) -> Timestamp {
        self.request.sent_at
    }

    /// Returns the check of the server at the end of its response.
    pub(crate) fn server_check(&self) -> ServerCheck {
        ServerCheck {
            fleet: self.fleet.clone(),
            server: self.server,
            started_at_ms: self.process.started_at_ms,
            address: self.address,
        }
    }

    /// Records that the head of a valid answer has arrived.
    pub(crate) fn record_answer_start(&mut self) {
        self.request.answer_started_at = Some(clock::now());
    }

    /// Reports received bytes to the fleet: the first ones at once, later ones when [`AnswerProgress`]
    /// says so. Returns whether they are the first ones.
    pub(crate) fn record_bytes(&mut self) -> bool {
        let now = clock::now();
        let is_first = !mem::replace(&mut self.has_output, true);
        if is_first {
            self.progress = AnswerProgress::new(now);
            self.report_first_output();
        } else if let Some(alive_at) = self.progress.record(now) {
            let bytes = BytesReceived {
                server: self.server,
                alive_at,
                answer_started_at: self.request.answer_started_at,
                shared_parts: self.request.shared_parts.clone(),
            };
            if let Err(e) = self.fleet.tell(bytes).try_send() {
                log::debug!("could not report received bytes to the fleet: {e}");
            }
        }
        is_first
    }

    fn report_first_output(&self) {
        if let Err(e) = self.fleet.tell(FirstOutputReceived(self.request_key)).try_send() {
            log::warn!("could not report the first output to the fleet: {e}");
        }
    }

    /// Ends an attempt whose response was read completely. The connection is returned to the pool
    /// unless `keep_alive_ms`, the server's keep-alive time, is 0. `fingerprint` is set while
    /// requests are tracked for crashes.
    pub(crate) fn complete(
        mut self,
        mut connection: Connection,
        keep_alive_ms: Option<u64>,
        signal: HealthSignal,
        fingerprint: Option<RequestFingerprint>,
    ) {
        self.fingerprint = fingerprint;
        connection.mark_idle(keep_alive_ms);
        self.connection = (keep_alive_ms != Some(0)).then_some(connection);
        self.signal = Some(signal);
    }

    /// Ends the attempt and closes its connection.
    pub(crate) fn end(mut self, signal: Option<HealthSignal>) {
        let is_out_of_time = self.is_out_of_time(clock::now());
        self.signal = signal.filter(|_| !is_out_of_time);
    }

    /// Returns whether the time that the server was given has passed, so that it refuses or stops the
    /// request whatever its health.
    fn is_out_of_time(&self, now: Timestamp) -> bool {
        self.refused_after.is_some_and(|at| now >= at)
    }

    /// Ends an attempt whose client has left while the server, which had begun to answer, was silent.
    /// The fingerprint counts against the request if the server turns out to have crashed.
    pub(crate) fn abandon(mut self, fingerprint: Option<RequestFingerprint>) {
        self.request.was_abandoned = true;
        self.fingerprint = fingerprint;
    }

    /// Returns whether the server has begun to answer and then sent nothing for long.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let silence = now - self.progress.reported_at();
        self.has_output && silence >= Duration::from_millis(ABANDONED_SILENCE_MS)
    }

    /// Ends an attempt whose connection was lost. The fingerprint counts against the request if the
    /// server turns out to have crashed.
    pub(crate) fn connection_lost(mut self, fingerprint: Option<RequestFingerprint>) {
        if self.is_out_of_time(clock::now()) {
            return;
        }
        self.signal = Some(HealthSignal::ConnectionLost);
        self.fingerprint = fingerprint;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        // Not reported yet if the response was buffered or has no body.
        if !self.has_output && self.signal == Some(HealthSignal::Answered) {
            self.report_first_output();
        }
        let end = EndAttempt {
            request_key: self.request_key,
            server: self.server,
            process: self.process.clone(),
            signal: self.signal,
            connection: self.connection.take(),
            fingerprint: self.fingerprint,
            request: mem::take(&mut self.request),
        };
        if let Err(e) = self.fleet.tell(end).try_send() {
            log::warn!("could not report the end of an attempt to the fleet: {e}");
        }
    }
}
