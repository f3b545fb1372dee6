//! The path of one request: from the caller to a backend server, and the answer back.

mod admit;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dogwoodway_http::{Body, full_body};
use dogwoodway_routing::direct::{
    admission,
    fleet::{PlacementRequest, Refusal},
    health::HealthSignal,
    retry::{AttemptCounts, AttemptOutcome, NextStep, next_step},
    table::{RouteKind, TeamRule},
};
use dogwoodway_types::{
    BackendServerName, NotRunReason, RequestFingerprint, RouteName, ServiceName, TeamName,
    Timestamp,
};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming, header, http};
use kameo::actor::ActorRef;

use crate::{
    clock,
    directory::TableWatch,
    exchange::{BackendResponse, ExchangeError, exchange},
    fleet_actor::{
        ApplyDirectoryChanges, Assignment, FleetActor, PlaceRequest, PlacementReply,
        UpdateWeightsState, WeightsState,
    },
    metric,
    platform_api::{
        DirectoryChange, ForwardParams, NotExecuted, RequestHead, RequestProtocol, ResponseClass,
    },
    stream::{self, AttemptGuard},
};

/// Bytes of an answer that is read whole before its first byte goes to the caller, so that an
/// answer that breaks off can be replaced.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;

/// Serves callers' requests.
pub(crate) struct Relay {
    pub(crate) protocol: Arc<dyn RequestProtocol>,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) tables: TableWatch,
    pub(crate) key_pepper: String,
    pub(crate) is_leaving: Arc<AtomicBool>,
    pub(crate) quarantine_in_use: Arc<AtomicBool>,
}

/// A request on its way.
pub(crate) struct ClientRequest {
    pub(crate) http_head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) head: RequestHead,
    pub(crate) arrived_at: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) expected_by: Timestamp,
    pub(crate) route: RouteName,
    pub(crate) kind: RouteKind,
    pub(crate) max_attempts: u32,
    pub(crate) urgency: u8,
    pub(crate) route_urgency: u8,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamRule>,
    pub(crate) attempts: AttemptCounts,
    pub(crate) tried: Vec<BackendServerName>,
    pub(crate) table_version: u64,
}

impl ClientRequest {
    /// Returns the digest by which the request is known when it comes again.
    pub(crate) fn fingerprint(&self) -> Option<RequestFingerprint> {
        let unnamed = || TeamName::try_from("anonymous").ok();
        let team = self.team.as_ref().map(|team| team.name.clone()).or_else(unnamed)?;
        let parts = [
            self.http_head.method.as_str().as_bytes(),
            path(&self.http_head).as_bytes(),
            &self.body,
        ];
        Some(RequestFingerprint::new(&team, &parts))
    }

    pub(crate) fn query(&self) -> PlacementRequest {
        let isolated = self.team.as_ref().filter(|team| team.is_isolated);
        PlacementRequest {
            service: self.service.clone(),
            prompt: self.head.prompt.clone(),
            isolated_team: isolated.map(|team| team.name.clone()),
            required_version: None,
            priority: self.route_urgency,
            deadline: self.deadline,
            expected_by: self.expected_by,
            tried: self.tried.clone(),
            draw: rand::random(),
        }
    }

    pub(crate) fn forward_params(
        &self,
        assignment: &Assignment,
        resume_after: Option<String>,
    ) -> ForwardParams {
        let placement = &assignment.placement;
        ForwardParams {
            target: placement.name.clone(),
            team: self.team.as_ref().map(|team| team.name.clone()),
            deadline: self.deadline,
            urgency: self.urgency,
            version: placement.version,
            cache_scope: placement.scope.clone(),
            fetch_from: placement.fetch_from,
            save_to: placement.save_to,
            resume_after,
        }
    }
}

/// An attempt that brought the head of a valid answer.
pub(crate) struct AttemptResponse {
    pub(crate) backend_response: BackendResponse,
    pub(crate) guard: AttemptGuard,
}

/// How an attempt went.
pub(crate) enum Attempt {
    /// A valid answer came; `is_error` tells that the server failed.
    Responded { response: Box<AttemptResponse>, is_error: bool },
    /// No answer to deliver came.
    Failed { end: AttemptOutcome, why: String },
    /// The time is up.
    TimedOut,
}

/// What became of an answer.
enum Delivery {
    /// It goes to the caller.
    Respond(Response<Body>),
    /// Another server is to be tried.
    Retry(Box<ClientRequest>),
}

impl Relay {
    /// Answers one request.
    pub(crate) async fn serve(self: Arc<Relay>, req: Request<Incoming>) -> Response<Body> {
        let arrived_at = clock::now();
        let (head, body) = req.into_parts();
        let mut resp = match self.admit(arrived_at, head, body).await {
            Ok(request) => self.clone().run(request).await,
            Err(resp) => *resp,
        };
        if self.is_leaving.load(Ordering::Relaxed) {
            let close = header::HeaderValue::from_static("close");
            resp.headers_mut().insert(header::CONNECTION, close);
        }
        resp
    }

    /// Takes a request through its attempts.
    async fn run(self: Arc<Relay>, mut request: ClientRequest) -> Response<Body> {
        loop {
            let assignment = match self.place(&request, request.query()).await {
                PlacementReply::Assigned(assignment) => assignment,
                PlacementReply::Refused(refusal) => return self.refuse(&request, refusal),
            };
            match self.attempt(&mut request, assignment, None).await {
                Attempt::TimedOut => return self.timeout_response(&request),
                Attempt::Responded { response, is_error } => {
                    match self.clone().deliver(request, response, is_error).await {
                        Delivery::Respond(resp) => return resp,
                        Delivery::Retry(again) => request = *again,
                    }
                }
                Attempt::Failed { end, why } => {
                    match next_step(request.kind, request.max_attempts, request.attempts, end) {
                        NextStep::Retry | NextStep::Deliver => {}
                        NextStep::Refuse(reason) => {
                            let retry_at = clock::now();
                            return self.refuse(&request, Refusal { reason, retry_at, wait_ms: 0 });
                        }
                        Step::Fail => {
                            return self.error_response(&request, StatusCode::BAD_GATEWAY, &why);
                        }
                    }
                }
            }
        }
    }

    /// Returns the digest of a request's content if some contents are suspected of crashing servers.
    pub(crate) fn fingerprint_if_tracked(
        &self,
        request: &ClientRequest,
    ) -> Option<RequestFingerprint> {
        match self.quarantine_in_use.load(Ordering::Relaxed) {
            true => request.fingerprint(),
            false => None,
        }
    }

    /// Asks where a request runs.
    pub(crate) async fn place(&self, request: &ClientRequest, query: PlacementRequest) -> PlacementReply {
        let fingerprint = self.fingerprint_if_tracked(request);
        let is_retry = request.attempts.offered > 0;
        match self.fleet.ask(PlaceRequest { query, is_retry, fingerprint }).await {
            Ok(placed) => placed,
            Err(e) => {
                log::error!("the fleet's state is not available: {e}");
                let reason = NotRunReason::Overloaded;
                PlacementReply::Refused(Refusal { reason, retry_at: clock::now(), wait_ms: 0 })
            }
        }
    }

    /// Offers a request to the server that was chosen.
    pub(crate) async fn attempt(
        &self,
        request: &mut ClientRequest,
        mut assignment: Box<Assignment>,
        resume_after: Option<String>,
    ) -> Attempt {
        let params = request.forward_params(&assignment, resume_after);
        let guard = AttemptGuard::new(&self.fleet, &assignment.placement);
        request.tried.push(assignment.placement.name.clone());
        log_placement(request, &assignment);
        let head = match self.protocol.backend_head(clock::now(), &request.http_head, &params) {
            Ok(head) => head,
            Err(error) => {
                guard.end(None);
                let (end, why) = (AttemptOutcome::Unreachable, error.to_string());
                request.attempts.note(end);
                return Attempt::Failed { end, why };
            }
        };
        let sent = exchange(
            assignment.connection.take(),
            assignment.placement.address,
            head,
            request.body.clone(),
        );
        let is_repeatable = request.kind.is_repeatable();
        let result = tokio::select! {
            result = sent => result,
            () = clock::sleep_until(request.deadline) => {
                request.attempts.note(AttemptOutcome::Lost);
                guard.end(None);
                return Attempt::TimedOut;
            }
            () = server_marked_lost(&mut assignment.lost), if is_repeatable => {
                Err(ExchangeError::ResponseLost("the server does not answer any more".to_owned()))
            }
        };
        let (end, why) = match result {
            Ok(backend_response) => {
                match self.classify_response(request, &assignment, &backend_response) {
                    Ok(is_error) => {
                        request.attempts.note(AttemptOutcome::Answered { is_error });
                        metrics::counter!(metric::ATTEMPTS, "end" => "answered").increment(1);
                        let response = Box::new(AttemptResponse { backend_response, guard });
                        return Attempt::Responded { response, is_error };
                    }
                    Err((end, sign, why)) => {
                        guard.end(Some(sign));
                        (end, why)
                    }
                }
            }
            Err(ExchangeError::Unreachable(why)) => {
                guard.end(Some(HealthSignal::Unreachable));
                (AttemptOutcome::Unreachable, why)
            }
            Err(ExchangeError::ResponseLost(why)) => {
                guard.connection_lost(request.fingerprint());
                (AttemptOutcome::Lost, why)
            }
        };
        request.attempts.note(end);
        metrics::counter!(metric::ATTEMPTS, "end" => attempt_end_label(end)).increment(1);
        log::info!(
            request = request.head.id, server:% = assignment.placement.name, outcome = attempt_end_label(end),
            why = why, ms = (clock::now() - request.arrived_at).as_millis() as u64;
            "attempt ended"
        );
        Attempt::Failed { end, why }
    }

    /// Judges an answer; tells whether a valid one is the server's own failure.
    fn classify_response(
        &self,
        request: &ClientRequest,
        assignment: &Assignment,
        backend_response: &BackendResponse,
    ) -> Result<bool, (AttemptOutcome, HealthSignal, String)> {
        if let Some(version) = self.protocol.weights_version(&backend_response.head.headers)
            && assignment.placement.version != Some(version)
        {
            self.report_weights(request, assignment, WeightsState::Serving(version));
        }
        match self.protocol.classify_response(
            &request.head.id,
            &assignment.placement.name,
            &backend_response.head,
        ) {
            ResponseClass::Valid => Ok(false),
            ResponseClass::ServerError => Ok(true),
            ResponseClass::NotExecuted(why) => {
                match why {
                    NotExecuted::Busy => {}
                    NotExecuted::OtherWeights => {
                        self.report_weights(request, assignment, WeightsState::Mismatch);
                    }
                    NotExecuted::OtherServer => {
                        self.remove_server(assignment.placement.name.clone())
                    }
                }
                Err((AttemptOutcome::NotExecuted, HealthSignal::Refused, format!("{why:?}")))
            }
            ResponseClass::Invalid(why) => Err((AttemptOutcome::Lost, HealthSignal::Failed, why)),
        }
    }

    /// Forgets a server whose address another one has; if it lives, it is listed again.
    fn remove_server(&self, name: BackendServerName) {
        if let Err(e) = self
            .fleet
            .tell(ApplyDirectoryChanges(vec![DirectoryChange::ServerRemoved(name)]))
            .try_send()
        {
            log::warn!("a server was not forgotten: {e}");
        }
    }

    fn report_weights(
        &self,
        request: &ClientRequest,
        assignment: &Assignment,
        state: WeightsState,
    ) {
        let model = request.head.prompt.as_ref().map(|prompt| prompt.model.clone());
        let seen = UpdateWeightsState { server: assignment.placement.server, model, state };
        if let Err(e) = self.fleet.tell(seen).try_send() {
            log::warn!("an engine's weights were not noted: {e}");
        }
    }

    /// Hands an answer to the caller.
    async fn deliver(
        self: Arc<Relay>,
        request: ClientRequest,
        response: Box<AttemptResponse>,
        is_error: bool,
    ) -> Delivery {
        let AttemptResponse { backend_response, guard } = *response;
        let keep_alive_ms = self.protocol.keep_alive_ms(&backend_response.head.headers);
        let length = backend_response.head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let is_long = length.is_some_and(|length| length > MAX_BUFFERED_RESPONSE_BYTES);
        let mut resp = Response::new(());
        *resp.status_mut() = backend_response.head.status;
        *resp.headers_mut() = self.protocol.client_headers(&backend_response.head.headers);
        metrics::histogram!(metric::FIRST_BYTE_SECONDS)
            .record((clock::now() - request.arrived_at).as_secs_f64());
        if (request.kind.is_stream() && backend_response.head.status.is_success()) || is_long {
            let body = stream::body(self, request, backend_response, guard, keep_alive_ms);
            return Delivery::Respond(resp.map(|()| body));
        }
        let end = match self
            .read_full(backend_response, guard, &request, keep_alive_ms, is_error)
            .await
        {
            Ok(bytes) => {
                let end = AttemptOutcome::Answered { is_error };
                let step = next_step(request.kind, request.max_attempts, request.attempts, end);
                if step == NextStep::Retry && has_time_for_retry(&request) {
                    return Delivery::Retry(Box::new(request));
                }
                let why = if is_error { "the server's own failure" } else { "" };
                log_outcome(&request, resp.status(), "answered", why);
                return Delivery::Respond(resp.map(|()| full_body(bytes)));
            }
            Err(ReadError::TimedOut) => return Delivery::Respond(self.timeout_response(&request)),
            Err(ReadError::ConnectionLost(why)) => why,
        };
        match next_step(request.kind, request.max_attempts, request.attempts, AttemptOutcome::Lost) {
            NextStep::Retry => Delivery::Retry(Box::new(request)),
            _ => Delivery::Respond(self.error_response(&request, StatusCode::BAD_GATEWAY, &end)),
        }
    }

    /// Reads an answer to its end.
    async fn read_full(
        &self,
        backend_response: BackendResponse,
        guard: AttemptGuard,
        request: &ClientRequest,
        keep_alive_ms: Option<u64>,
        is_error: bool,
    ) -> Result<Bytes, ReadError> {
        let BackendResponse { body, connection, .. } = backend_response;
        let limit = clock::timer_instant(request.deadline);
        match tokio::time::timeout_at(limit, body.collect()).await {
            Ok(Ok(whole)) => {
                let sign = if is_error { HealthSignal::Failed } else { HealthSignal::Answered };
                guard.complete(
                    connection,
                    keep_alive_ms,
                    sign,
                    self.fingerprint_if_tracked(request),
                );
                Ok(whole.to_bytes())
            }
            Ok(Err(e)) => {
                guard.connection_lost(request.fingerprint());
                Err(ReadError::ConnectionLost(format!("the answer broke off: {e}")))
            }
            Err(_) => {
                guard.end(None);
                Err(ReadError::TimedOut)
            }
        }
    }

    /// Tells the caller that the request did not run, or that it may have.
    pub(crate) fn refuse(&self, request: &ClientRequest, refusal: Refusal) -> Response<Body> {
        if request.attempts.may_have_run > 0 {
            return self.error_response(request, StatusCode::BAD_GATEWAY, refusal.reason.as_str());
        }
        let now = clock::now();
        let retry_after =
            admission::retry_after(now, refusal.retry_at, request.deadline, rand::random());
        log::info!(
            request = request.head.id, why = refusal.reason.as_str(), wait_ms = refusal.wait_ms,
            come_back_ms = retry_after.as_millis() as u64, attempts = request.attempts.offered,
            table_age_ms = self.tables.age_ms(now);
            "request refused"
        );
        log_outcome(request, StatusCode::SERVICE_UNAVAILABLE, "not-run", refusal.reason.as_str());
        self.not_run_response(refusal.reason, retry_after)
    }

    fn not_run_response(&self, reason: NotRunReason, retry_after: Duration) -> Response<Body> {
        let mut resp =
            text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("not run: {reason}"));
        resp.headers_mut().extend(self.protocol.retry_after_headers(retry_after));
        resp
    }

    fn timeout_response(&self, request: &ClientRequest) -> Response<Body> {
        self.error_response(request, StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    }

    fn error_response(
        &self,
        request: &ClientRequest,
        status: StatusCode,
        why: &str,
    ) -> Response<Body> {
        log_outcome(request, status, "failed", why);
        text_response(status, why)
    }
}

/// Tells whether a failure may be replaced by another server's answer in the time left.
fn has_time_for_retry(request: &ClientRequest) -> bool {
    let now = clock::now();
    request.deadline - now > now - request.arrived_at
}

async fn server_marked_lost(lost: &mut tokio::sync::watch::Receiver<bool>) {
    if lost.wait_for(|is_lost| *is_lost).await.is_err() {
        // The server was forgotten or listed anew; its connections tell the rest.
        std::future::pending::<()>().await;
    }
}

/// Why an answer could not be read whole.
enum ReadError {
    TimedOut,
    ConnectionLost(String),
}

fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    dogwoodway_http::text_response(status, text)
}

fn path(head: &http::request::Parts) -> &str {
    head.uri.path_and_query().map_or("/", |path| path.as_str())
}

fn attempt_end_label(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Answered { .. } => "answered",
        AttemptOutcome::NotExecuted => "not-executed",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Lost => "lost",
    }
}

fn log_placement(request: &ClientRequest, assignment: &Assignment) {
    let placement = &assignment.placement;
    log::info!(
        request = request.head.id, route:% = request.route, table = request.table_version,
        server:% = placement.name, running = placement.running,
        predicted_ms = placement.predicted_ms, weights:? = placement.version.map(|v| v.0),
        computes = placement.reads.0, fetches = placement.reads.1,
        fetch:? = placement.fetch_from, saves = placement.save_to.is_some(), attempt = request.attempts.offered + 1,
        left_ms = (request.deadline - clock::now()).as_millis() as u64;
        "request placed"
    );
}

/// Writes the outcome of a request to the log and the metrics.
pub(crate) fn log_outcome(
    request: &ClientRequest,
    status: StatusCode,
    outcome: &'static str,
    why: &str,
) {
    let took = clock::now() - request.arrived_at;
    metrics::counter!(metric::REQUESTS, "outcome" => outcome).increment(1);
    metrics::histogram!(metric::REQUEST_SECONDS).record(took.as_secs_f64());
    log::info!(
        request = request.head.id, route:% = request.route, status = status.as_u16(), outcome = outcome,
        why = why, attempts = request.attempts.offered, ms = took.as_millis() as u64;
        "request ended"
    );
}
