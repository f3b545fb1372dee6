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
    exchange::{Answer, ExchangeError, exchange},
    fleet_actor::{Apply, FleetActor, Place, Placed, PlacedAt, SeeWeights, WeightsState},
    metric,
    platform_api::{
        DirectoryChange, ForwardParams, NotExecuted, RequestHead, RequestProtocol, ResponseClass,
    },
    stream::{self, Ticketed},
};

/// Bytes of an answer that is read whole before its first byte goes to the caller, so that an
/// answer that breaks off can be replaced.
const WHOLE_ANSWER_BYTES: usize = 256 << 10;

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
pub(crate) struct Job {
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) facts: RequestHead,
    pub(crate) arrived: Timestamp,
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

impl Job {
    /// Returns the digest by which the request is known when it comes again.
    pub(crate) fn fingerprint(&self) -> Option<RequestFingerprint> {
        let unnamed = || TeamName::try_from("anonymous").ok();
        let team = self.team.as_ref().map(|team| team.name.clone()).or_else(unnamed)?;
        let parts = [self.head.method.as_str().as_bytes(), path(&self.head).as_bytes(), &self.body];
        Some(RequestFingerprint::new(&team, &parts))
    }

    pub(crate) fn query(&self) -> PlacementRequest {
        let isolated = self.team.as_ref().filter(|team| team.is_isolated);
        PlacementRequest {
            service: self.service.clone(),
            prompt: self.facts.prompt.clone(),
            isolated_team: isolated.map(|team| team.name.clone()),
            required_version: None,
            priority: self.route_urgency,
            deadline: self.deadline,
            expected_by: self.expected_by,
            tried: self.tried.clone(),
            draw: rand::random(),
        }
    }

    pub(crate) fn order(&self, at: &PlacedAt, resume_after: Option<String>) -> ForwardParams {
        let placement = &at.placement;
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
pub(crate) struct Answered {
    pub(crate) answer: Answer,
    pub(crate) ticket: Ticketed,
}

/// How an attempt went.
pub(crate) enum Attempt {
    /// A valid answer came; `is_error` tells that the server failed.
    Answered { answered: Box<Answered>, is_error: bool },
    /// No answer to deliver came.
    Ended { end: AttemptOutcome, why: String },
    /// The time is up.
    TimedOut,
}

/// What became of an answer.
enum Delivery {
    /// It goes to the caller.
    Done(Response<Body>),
    /// Another server is to be tried.
    TryAgain(Box<Job>),
}

impl Relay {
    /// Answers one request.
    pub(crate) async fn serve(self: Arc<Relay>, req: Request<Incoming>) -> Response<Body> {
        let arrived = clock::now();
        let (head, body) = req.into_parts();
        let mut resp = match self.admit(arrived, head, body).await {
            Ok(job) => self.clone().run(job).await,
            Err(resp) => *resp,
        };
        if self.is_leaving.load(Ordering::Relaxed) {
            let close = header::HeaderValue::from_static("close");
            resp.headers_mut().insert(header::CONNECTION, close);
        }
        resp
    }

    /// Takes a request through its attempts.
    async fn run(self: Arc<Relay>, mut job: Job) -> Response<Body> {
        loop {
            let at = match self.place(&job, job.query()).await {
                Placed::At(at) => at,
                Placed::Nowhere(refusal) => return self.give_up(&job, refusal),
            };
            match self.attempt(&mut job, at, None).await {
                Attempt::TimedOut => return self.time_out(&job),
                Attempt::Answered { answered, is_error } => {
                    match self.clone().deliver(job, answered, is_error).await {
                        Delivery::Done(resp) => return resp,
                        Delivery::TryAgain(again) => job = *again,
                    }
                }
                Attempt::Ended { end, why } => {
                    match next_step(job.kind, job.max_attempts, job.attempts, end) {
                        NextStep::Retry | NextStep::Deliver => {}
                        NextStep::Refuse(reason) => {
                            let retry_at = clock::now();
                            return self.give_up(&job, Refusal { reason, retry_at, wait_ms: 0 });
                        }
                        NextStep::Fail => return self.fail(&job, StatusCode::BAD_GATEWAY, &why),
                    }
                }
            }
        }
    }

    /// Returns the digest of a request's content if some contents are suspected of crashing servers.
    pub(crate) fn watched_fingerprint(&self, job: &Job) -> Option<RequestFingerprint> {
        match self.quarantine_in_use.load(Ordering::Relaxed) {
            true => job.fingerprint(),
            false => None,
        }
    }

    /// Asks where a request runs.
    pub(crate) async fn place(&self, job: &Job, query: PlacementRequest) -> Placed {
        let fingerprint = self.watched_fingerprint(job);
        let is_repeat = job.attempts.total > 0;
        match self.fleet.ask(Place { query, is_repeat, fingerprint }).await {
            Ok(placed) => placed,
            Err(e) => {
                log::error!("the fleet's state is not available: {e}");
                let reason = NotRunReason::Overloaded;
                Placed::Nowhere(Refusal { reason, retry_at: clock::now(), wait_ms: 0 })
            }
        }
    }

    /// Offers a request to the server that was chosen.
    pub(crate) async fn attempt(
        &self,
        job: &mut Job,
        mut at: Box<PlacedAt>,
        resume_after: Option<String>,
    ) -> Attempt {
        let order = job.order(&at, resume_after);
        let ticket = Ticketed::new(&self.fleet, &at.placement);
        job.tried.push(at.placement.name.clone());
        log_placement(job, &at);
        let head = match self.protocol.backend_head(clock::now(), &job.head, &order) {
            Ok(head) => head,
            Err(fault) => {
                ticket.end(None);
                let (end, why) = (AttemptOutcome::Unreachable, fault.to_string());
                job.attempts.record(end);
                return Attempt::Ended { end, why };
            }
        };
        let sent = exchange(at.connection.take(), at.placement.address, head, job.body.clone());
        let is_repeatable = job.kind.is_repeatable();
        let result = tokio::select! {
            result = sent => result,
            () = clock::sleep_until(job.deadline) => {
                job.attempts.record(AttemptOutcome::Lost);
                ticket.end(None);
                return Attempt::TimedOut;
            }
            () = taken_for_lost(&mut at.lost), if is_repeatable => {
                Err(ExchangeError::Lost("the server does not answer any more".to_owned()))
            }
        };
        let (end, why) = match result {
            Ok(answer) => match self.classify_response(job, &at, &answer) {
                Ok(is_error) => {
                    job.attempts.record(AttemptOutcome::Answered { is_error });
                    metrics::counter!(metric::ATTEMPTS, "end" => "answered").increment(1);
                    let answered = Box::new(Answered { answer, ticket });
                    return Attempt::Answered { answered, is_error };
                }
                Err((end, sign, why)) => {
                    ticket.end(Some(sign));
                    (end, why)
                }
            },
            Err(ExchangeError::Unreachable(why)) => {
                ticket.end(Some(HealthSignal::Unreachable));
                (AttemptOutcome::Unreachable, why)
            }
            Err(ExchangeError::Lost(why)) => {
                ticket.broken(job.fingerprint());
                (AttemptOutcome::Lost, why)
            }
        };
        job.attempts.record(end);
        metrics::counter!(metric::ATTEMPTS, "end" => end_name(end)).increment(1);
        log::info!(
            request = job.facts.id, server:% = at.placement.name, outcome = end_name(end),
            why = why, ms = (clock::now() - job.arrived).as_millis() as u64;
            "attempt ended"
        );
        Attempt::Ended { end, why }
    }

    /// Judges an answer; tells whether a valid one is the server's own failure.
    fn classify_response(
        &self,
        job: &Job,
        at: &PlacedAt,
        answer: &Answer,
    ) -> Result<bool, (AttemptOutcome, HealthSignal, String)> {
        if let Some(version) = self.protocol.weights_version(&answer.head.headers)
            && at.placement.version != Some(version)
        {
            self.see_weights(job, at, WeightsState::Serves(version));
        }
        match self.protocol.classify_response(&job.facts.id, &at.placement.name, &answer.head) {
            ResponseClass::Valid => Ok(false),
            ResponseClass::ServerError => Ok(true),
            ResponseClass::NotExecuted(why) => {
                match why {
                    NotExecuted::Busy => {}
                    NotExecuted::OtherWeights => {
                        self.see_weights(job, at, WeightsState::Mismatch);
                    }
                    NotExecuted::OtherServer => self.forget(at.placement.name.clone()),
                }
                Err((AttemptOutcome::NotExecuted, HealthSignal::Refused, format!("{why:?}")))
            }
            ResponseClass::Invalid(why) => Err((AttemptOutcome::Lost, HealthSignal::Failed, why)),
        }
    }

    /// Forgets a server whose address another one has; if it lives, it is listed again.
    fn forget(&self, name: BackendServerName) {
        if let Err(e) =
            self.fleet.tell(Apply(vec![DirectoryChange::ServerRemoved(name)])).try_send()
        {
            log::warn!("a server was not forgotten: {e}");
        }
    }

    fn see_weights(&self, job: &Job, at: &PlacedAt, state: WeightsState) {
        let model = job.facts.prompt.as_ref().map(|prompt| prompt.model.clone());
        let seen = SeeWeights { server: at.placement.server, model, state };
        if let Err(e) = self.fleet.tell(seen).try_send() {
            log::warn!("an engine's weights were not noted: {e}");
        }
    }

    /// Hands an answer to the caller.
    async fn deliver(
        self: Arc<Relay>,
        job: Job,
        answered: Box<Answered>,
        is_error: bool,
    ) -> Delivery {
        let Answered { answer, ticket } = *answered;
        let keep_alive_ms = self.protocol.keep_alive_ms(&answer.head.headers);
        let length = answer.head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let is_long = length.is_some_and(|length| length > WHOLE_ANSWER_BYTES);
        let mut resp = Response::new(());
        *resp.status_mut() = answer.head.status;
        *resp.headers_mut() = self.protocol.client_headers(&answer.head.headers);
        metrics::histogram!(metric::FIRST_BYTE_SECONDS)
            .record((clock::now() - job.arrived).as_secs_f64());
        if (job.kind.is_stream() && answer.head.status.is_success()) || is_long {
            let body = stream::body(self, job, answer, ticket, keep_alive_ms);
            return Delivery::Done(resp.map(|()| body));
        }
        let end = match self.read_whole(answer, ticket, &job, keep_alive_ms, is_error).await {
            Ok(bytes) => {
                let end = AttemptOutcome::Answered { is_error };
                let step = next_step(job.kind, job.max_attempts, job.attempts, end);
                if step == NextStep::Retry && has_time_for_another(&job) {
                    return Delivery::TryAgain(Box::new(job));
                }
                let why = if is_error { "the server's own failure" } else { "" };
                log_outcome(&job, resp.status(), "answered", why);
                return Delivery::Done(resp.map(|()| full_body(bytes)));
            }
            Err(WholeError::TimedOut) => return Delivery::Done(self.time_out(&job)),
            Err(WholeError::Broken(why)) => why,
        };
        match next_step(job.kind, job.max_attempts, job.attempts, AttemptOutcome::Lost) {
            NextStep::Retry => Delivery::TryAgain(Box::new(job)),
            _ => Delivery::Done(self.fail(&job, StatusCode::BAD_GATEWAY, &end)),
        }
    }

    /// Reads an answer to its end.
    async fn read_whole(
        &self,
        answer: Answer,
        ticket: Ticketed,
        job: &Job,
        keep_alive_ms: Option<u64>,
        is_error: bool,
    ) -> Result<Bytes, WholeError> {
        let Answer { body, connection, .. } = answer;
        let limit = clock::timer_instant(job.deadline);
        match tokio::time::timeout_at(limit, body.collect()).await {
            Ok(Ok(whole)) => {
                let sign = if is_error { HealthSignal::Failed } else { HealthSignal::Answered };
                ticket.complete(connection, keep_alive_ms, sign, self.watched_fingerprint(job));
                Ok(whole.to_bytes())
            }
            Ok(Err(e)) => {
                ticket.broken(job.fingerprint());
                Err(WholeError::Broken(format!("the answer broke off: {e}")))
            }
            Err(_) => {
                ticket.end(None);
                Err(WholeError::TimedOut)
            }
        }
    }

    /// Tells the caller that the request did not run, or that it may have.
    pub(crate) fn give_up(&self, job: &Job, refusal: Refusal) -> Response<Body> {
        if job.attempts.may_have_run > 0 {
            return self.fail(job, StatusCode::BAD_GATEWAY, refusal.reason.as_str());
        }
        let now = clock::now();
        let come_back = admission::retry_after(now, refusal.retry_at, job.deadline, rand::random());
        log::info!(
            request = job.facts.id, why = refusal.reason.as_str(), wait_ms = refusal.wait_ms,
            come_back_ms = come_back.as_millis() as u64, attempts = job.attempts.total,
            table_age_ms = self.tables.age_ms(now);
            "request refused"
        );
        log_outcome(job, StatusCode::SERVICE_UNAVAILABLE, "not-run", refusal.reason.as_str());
        self.not_run(refusal.reason, come_back)
    }

    fn not_run(&self, reason: NotRunReason, come_back: Duration) -> Response<Body> {
        let mut resp = plain(StatusCode::SERVICE_UNAVAILABLE, &format!("not run: {reason}"));
        resp.headers_mut().extend(self.protocol.retry_after_headers(come_back));
        resp
    }

    fn time_out(&self, job: &Job) -> Response<Body> {
        self.fail(job, StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    }

    fn fail(&self, job: &Job, status: StatusCode, why: &str) -> Response<Body> {
        log_outcome(job, status, "failed", why);
        plain(status, why)
    }
}

/// Tells whether a failure may be replaced by another server's answer in the time left.
fn has_time_for_another(job: &Job) -> bool {
    let now = clock::now();
    job.deadline - now > now - job.arrived
}

async fn taken_for_lost(lost: &mut tokio::sync::watch::Receiver<bool>) {
    if lost.wait_for(|is_lost| *is_lost).await.is_err() {
        // The server was forgotten or listed anew; its connections tell the rest.
        std::future::pending::<()>().await;
    }
}

/// Why an answer could not be read whole.
enum WholeError {
    TimedOut,
    Broken(String),
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    dogwoodway_http::text_response(status, text)
}

fn path(head: &http::request::Parts) -> &str {
    head.uri.path_and_query().map_or("/", |path| path.as_str())
}

fn end_name(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Answered { .. } => "answered",
        AttemptOutcome::NotExecuted => "not-executed",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Lost => "lost",
    }
}

fn log_placement(job: &Job, at: &PlacedAt) {
    let placement = &at.placement;
    log::info!(
        request = job.facts.id, route:% = job.route, table = job.table_version,
        server:% = placement.name, running = placement.in_flight,
        predicted_ms = placement.predicted_ms, weights:? = placement.version.map(|v| v.0),
        computes = placement.computed_and_fetched_tokens.0,
        fetches = placement.computed_and_fetched_tokens.1,
        fetch:? = placement.fetch_from, saves = placement.save_to.is_some(),
        attempt = job.attempts.total + 1,
        left_ms = (job.deadline - clock::now()).as_millis() as u64;
        "request placed"
    );
}

/// Writes the outcome of a request to the log and the metrics.
pub(crate) fn log_outcome(job: &Job, status: StatusCode, outcome: &'static str, why: &str) {
    let took = clock::now() - job.arrived;
    metrics::counter!(metric::REQUESTS, "outcome" => outcome).increment(1);
    metrics::histogram!(metric::REQUEST_SECONDS).record(took.as_secs_f64());
    log::info!(
        request = job.facts.id, route:% = job.route, status = status.as_u16(), outcome = outcome,
        why = why, attempts = job.attempts.total, ms = took.as_millis() as u64;
        "request ended"
    );
}
