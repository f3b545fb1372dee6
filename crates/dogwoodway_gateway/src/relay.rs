//! Forwards one client request to a backend server and its response back to the client.
//!
//! Each request is checked against the routing table, placed on a server by the
//! [fleet actor](crate::fleet_actor), and retried on another server where the route allows it.

mod admit;
mod deliver;
mod outcome;
mod refusal;
mod request_body;
mod response_head;
mod start_limit;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use dogwoodway_http::{Body, ClientConnection, Connections, text_response};
use dogwoodway_routing::direct::{
    fleet::{PlacementRequest, Refusal},
    health::HealthSignal,
    prompt::Prompt,
    retry::{AttemptCounts, AttemptOutcome, NextStep, next_step},
    stream_origin::{StreamKey, StreamOrigin},
    table::{RouteKind, TeamRule},
};
use dogwoodway_routing::{drain::Drain, part_blame::PartKey, process_limits::ProcessLimits};
use dogwoodway_types::{
    BackendServerName, NotRunReason, RequestFingerprint, RouteName, ServiceName, TeamName,
    Timestamp,
};
use hyper::{Request, Response, StatusCode, body::Incoming, header, http};
use kameo::actor::ActorRef;
use tokio::sync::watch;

pub(crate) use self::{
    outcome::{log_outcome, log_outdated_start},
    request_body::{BodyMemory, BodyReservation},
};
use crate::{
    attempt_guard::AttemptGuard,
    clock,
    directory::TableWatch,
    exchange::{BackendResponse, ExchangeError, exchange},
    fleet_actor::{AssignedServer, FleetActor, FleetSignals, PlaceRequest, PlacementReply},
    metric,
    platform_api::{ForwardParams, RequestHead, RequestProtocol},
    quotas::{QuotaCharge, SharedQuotas},
    relay::{
        deliver::Delivery,
        outcome::{log_attempt_end, log_placement, log_resumption},
    },
    response_memory::ResponseMemory,
    segmented_bytes::SegmentedBytes,
    stream_origins::{OriginResolver, TakenUpStream},
};

/// Delay after which a client may take up a stream of unknown origin again, in milliseconds. Another
/// router may know it.
const UNKNOWN_ORIGIN_RETRY_MS: u64 = 200;

/// Memory that requests and responses share.
pub(crate) struct RelayMemory {
    /// Memory for the bodies of all requests.
    pub(crate) bodies: Arc<BodyMemory>,
    /// Memory for the responses that clients have not taken.
    pub(crate) responses: Arc<ResponseMemory>,
}

impl RelayMemory {
    pub(crate) fn new(limits: &ProcessLimits) -> RelayMemory {
        let connections = Connections::new(limits.max_client_connections());
        let bodies = BodyMemory::new(limits.body_memory(), connections);
        RelayMemory { bodies, responses: ResponseMemory::new(limits.response_memory()) }
    }
}

/// Serves client requests. Shared by all connections.
pub(crate) struct Relay {
    pub(crate) protocol: Arc<dyn RequestProtocol>,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) tables: TableWatch,
    pub(crate) origins: OriginResolver,
    /// Secret that is hashed together with bearer keys.
    pub(crate) key_pepper: String,
    pub(crate) memory: RelayMemory,
    /// Quotas of teams over all routers.
    pub(crate) quotas: Arc<SharedQuotas>,
    /// Present during a graceful shutdown; responses then carry `Connection: close`.
    pub(crate) drain: watch::Sender<Option<Drain>>,
    pub(crate) signals: Arc<FleetSignals>,
}

/// An admitted client request and the state of its attempts.
pub(crate) struct ClientRequest {
    pub(crate) http_head: http::request::Parts,
    pub(crate) body: SegmentedBytes,
    /// Keeps the memory of `body` reserved.
    pub(crate) _reservation: BodyReservation,
    /// The fields that the router parsed from `http_head`.
    pub(crate) head: RequestHead,
    pub(crate) arrived_at: Timestamp,
    /// When the response must be complete: the client's deadline or the route's limit, whichever
    /// is earlier.
    pub(crate) deadline: Timestamp,
    /// When the route's clients expect the response, or the first event of a stream.
    pub(crate) expected_by: Timestamp,
    pub(crate) route: RouteName,
    pub(crate) kind: RouteKind,
    /// Maximum number of backend servers on which the request may run, at least 1. Attempts that
    /// certainly did not run it are not counted.
    pub(crate) max_attempts: u32,
    /// Priority at the engine, computed from the team's and the route's; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Priority of the route alone, used for placement.
    pub(crate) route_priority: u8,
    pub(crate) service: ServiceName,
    /// All services that the route distributes requests over.
    pub(crate) services: Vec<ServiceName>,
    /// Absent on anonymous routes.
    pub(crate) team: Option<TeamRule>,
    /// Parts of the prompt that other requests may share, in order.
    pub(crate) shared_parts: Arc<[PartKey]>,
    /// Where the stream began that the request continues; absent if it begins one.
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) attempts: AttemptCounts,
    /// Servers that the request was sent to so far.
    pub(crate) tried: Vec<BackendServerName>,
    pub(crate) table_version: u64,
    /// What the request takes of its team's quota.
    pub(crate) quota: QuotaCharge,
}

impl ClientRequest {
    /// Returns a digest of team, method, path and body, which identifies the same request when it
    /// is sent again.
    pub(crate) fn fingerprint(&self) -> Option<RequestFingerprint> {
        let anonymous = || TeamName::try_from("anonymous").ok();
        let team = self.team.as_ref().map(|team| team.name.clone()).or_else(anonymous)?;
        let parts = [self.http_head.method.as_str().as_bytes(), path(&self.http_head).as_bytes()];
        Some(RequestFingerprint::with_segments(&team, &parts, self.body.segments()))
    }

    /// Returns whether nobody awaits the response any more: the deadline has passed or the client has
    /// left.
    pub(crate) fn is_abandoned(&self) -> bool {
        let client = self.http_head.extensions.get::<ClientConnection>();
        clock::now() >= self.deadline || client.is_some_and(ClientConnection::is_closed)
    }

    /// Returns the id of the last event that the client has of a stream that it takes up.
    pub(crate) fn last_event_id(&self) -> Option<String> {
        let after = self.head.resumption.as_ref()?.after.clone();
        after.filter(|id| !id.is_empty())
    }

    /// Builds the placement request, which allows any version of the weights.
    ///
    /// A client's response names its weights itself, so that a stream that the client takes up may go
    /// on at other ones than it began.
    pub(crate) fn placement_request(&self) -> PlacementRequest {
        let isolated = self.team.as_ref().filter(|team| team.is_isolated);
        PlacementRequest {
            service: self.service.clone(),
            prompt: self.head.prompt.clone(),
            isolated_team: isolated.map(|team| team.name.clone()),
            required_version: None,
            preferred_version: self.origin.and_then(|origin| origin.weights),
            required_software: self.origin.map(|origin| origin.software),
            priority: self.route_priority,
            deadline: self.deadline,
            expected_by: self.expected_by,
            tried: self.tried.clone(),
            draw: rand::random(),
        }
    }

    /// Builds the values that are added to the request for the chosen server.
    pub(crate) fn forward_params(
        &self,
        target: &AssignedServer,
        resume_after: Option<String>,
    ) -> ForwardParams {
        let placement = &target.placement;
        ForwardParams {
            target: placement.name.clone(),
            team: self.team.as_ref().map(|team| team.name.clone()),
            // The engine refuses a request whose time has passed in its queue, and has not run it then.
            deadline: placement.refused_after.map_or(self.deadline, |at| at.min(self.deadline)),
            priority: self.priority,
            version: placement.version,
            cache_scope: placement.scope.clone(),
            fetch_from: placement.fetch_from,
            save_to: placement.save_to,
            resume_after,
        }
    }
}

/// A valid response of which the head has arrived, and the attempt that it belongs to.
pub(crate) struct AttemptResponse {
    pub(crate) upstream: BackendResponse,
    pub(crate) guard: AttemptGuard,
}

/// Result of one attempt at a backend server.
pub(crate) enum Attempt {
    /// A valid response head arrived; `is_error` marks a failure reported by the server itself.
    Responded { response: Box<AttemptResponse>, is_error: bool },
    /// There is no response that could be sent to the client.
    Failed { outcome: AttemptOutcome, why: String },
    /// The request's deadline has passed, or its client has left.
    TimedOut,
}

impl Relay {
    /// Handles one client request from its head to the response.
    pub(crate) async fn serve(self: Arc<Relay>, req: Request<Incoming>) -> Response<Body> {
        let arrived_at = clock::now();
        let (head, body) = req.into_parts();
        let respond = async {
            match self.admit(arrived_at, head, body).await {
                Ok(request) => self.clone().run(request).await,
                Err(resp) => *resp,
            }
        };
        let mut resp = tokio::select! {
            resp = respond => resp,
            () = self.answers_due() => {
                log::warn!("request aborted, no response before the end of the grace period");
                text_response(StatusCode::GATEWAY_TIMEOUT, "no answer before the process ends")
            }
        };
        if self.drain.borrow().is_some() {
            let close = header::HeaderValue::from_static("close");
            resp.headers_mut().insert(header::CONNECTION, close);
        }
        resp
    }

    /// Resolves at the time in a graceful shutdown by which all requests must be answered.
    async fn answers_due(&self) {
        let mut drain = self.drain.subscribe();
        let drain = drain.wait_for(Option::is_some).await.ok().and_then(|drain| *drain);
        match drain {
            Some(drain) => clock::sleep_until(drain.answers_until()).await,
            None => std::future::pending().await,
        }
    }

    /// Places and sends a request until there is a response or no further attempt is allowed.
    async fn run(self: Arc<Relay>, mut request: ClientRequest) -> Response<Body> {
        // The configuration may have changed while the body arrived.
        if let Err(resp) = self.apply_current_table(&mut request) {
            return *resp;
        }
        if let Err(resp) = self.find_origin(&mut request).await {
            return *resp;
        }
        if let Err(resp) = self.charge_quota(&mut request).await {
            return *resp;
        }
        loop {
            if let Err(resp) = self.apply_current_table(&mut request) {
                return *resp;
            }
            let target = match self.place(&request, request.placement_request()).await {
                PlacementReply::Assigned(target) => target,
                PlacementReply::Refused(refusal) => {
                    return self.refusal_response(&request, refusal);
                }
                PlacementReply::PartBlamed { part, retry_at } => {
                    return self.part_blamed_response(&request, part, retry_at);
                }
            };
            match self.attempt(&mut request, target, None).await {
                Attempt::TimedOut => return self.timeout_response(&request),
                Attempt::Responded { response, is_error } => {
                    match self.clone().deliver(request, response, is_error).await {
                        Delivery::Respond(resp) => return resp,
                        Delivery::Retry(again) => request = *again,
                    }
                }
                Attempt::Failed { outcome, why } => {
                    match next_step(request.kind, request.max_attempts, request.attempts, outcome) {
                        NextStep::Retry | NextStep::Deliver => {}
                        NextStep::Refuse(reason) => {
                            let retry_at = clock::now();
                            return self.refusal_response(
                                &request,
                                Refusal { reason, retry_at, is_retry_at_known: false, wait_ms: 0 },
                            );
                        }
                        NextStep::Fail => {
                            return self.error_response(&request, StatusCode::BAD_GATEWAY, &why);
                        }
                    }
                }
            }
        }
    }

    /// Charges a request to its team's quota. `Err` holds the response to a request beyond it.
    async fn charge_quota(&self, request: &mut ClientRequest) -> Result<(), Box<Response<Body>>> {
        let prompt = request.head.prompt.as_ref();
        let counts = prompt.map(|prompt| (prompt.input_tokens, prompt.output_tokens));
        let admitted = self.quotas.admit(request.team.as_ref(), counts, request.deadline).await;
        match admitted {
            Ok(charge) => {
                request.quota = charge;
                Ok(())
            }
            Err(retry_at) => Err(Box::new(self.over_quota_response(request, retry_at))),
        }
    }

    /// Finds out where the stream began that a client takes up. `Err` holds the response that refuses
    /// to continue a stream of unknown origin.
    async fn find_origin(&self, request: &mut ClientRequest) -> Result<(), Box<Response<Body>>> {
        if request.kind != RouteKind::ResumableStream {
            return Ok(());
        }
        let Some(resumption) = request.head.resumption.clone() else { return Ok(()) };
        let team = request.team.as_ref().map(|team| &team.name);
        let key = resumption.first_attempt.as_deref().map(|id| StreamKey::new(team, id));
        let is_only_service = request.services.len() == 1;
        let stream = TakenUpStream {
            key,
            service: &request.service,
            is_only_service,
            arrived_at: request.arrived_at,
            deadline: request.deadline,
        };
        let resolution = self.origins.resolve(&stream).await;
        log_resumption(request, &resumption, key, &resolution);
        let Some((origin, _)) = resolution.found else {
            let reason = NotRunReason::UnknownStreamOrigin;
            let retry_at = clock::now() + Duration::from_millis(UNKNOWN_ORIGIN_RETRY_MS);
            let refusal = Refusal { reason, retry_at, is_retry_at_known: false, wait_ms: 0 };
            return Err(Box::new(self.refusal_response(request, refusal)));
        };
        request.origin = Some(origin);
        if !is_only_service
            && let Some(service) = self.origins.service_of(origin.software, &request.services).await
        {
            request.service = service;
        }
        Ok(())
    }

    /// Returns the request's fingerprint, or `None` as long as no request has been linked to a
    /// server crash: hashing each body would be wasted work until then.
    pub(crate) fn fingerprint_if_tracked(
        &self,
        request: &ClientRequest,
    ) -> Option<RequestFingerprint> {
        match self.signals.quarantine_in_use.load(Ordering::Relaxed) {
            true => request.fingerprint(),
            false => None,
        }
    }

    /// Asks the fleet actor to choose a server for a request.
    pub(crate) async fn place(
        &self,
        request: &ClientRequest,
        placement_request: PlacementRequest,
    ) -> PlacementReply {
        let fingerprint = self.fingerprint_if_tracked(request);
        let is_retry = request.attempts.total > 0;
        let msg = PlaceRequest {
            placement_request,
            is_retry,
            may_have_run: request.attempts.may_have_run > 0,
            shared_parts: request.shared_parts.clone(),
            fingerprint,
        };
        match self.fleet.ask(msg).await {
            Ok(reply) => reply,
            Err(e) => {
                log::error!("fleet actor did not answer a placement request: {e}");
                let reason = NotRunReason::Overloaded;
                PlacementReply::Refused(Refusal {
                    reason,
                    retry_at: clock::now(),
                    is_retry_at_known: false,
                    wait_ms: 0,
                })
            }
        }
    }

    /// Sends a request to the chosen server and waits for the head of its response.
    pub(crate) async fn attempt(
        &self,
        request: &mut ClientRequest,
        target: Box<AssignedServer>,
        resume_after: Option<String>,
    ) -> Attempt {
        // The request may have waited for the processor or the fleet actor.
        if request.is_abandoned() {
            log::info!(request = request.head.id; "request not sent on: nobody awaits its response");
            return Attempt::TimedOut;
        }
        self.send(request, target, resume_after).await
    }

    async fn send(
        &self,
        request: &mut ClientRequest,
        mut target: Box<AssignedServer>,
        resume_after: Option<String>,
    ) -> Attempt {
        let params = request.forward_params(&target, resume_after);
        let mut guard = AttemptGuard::new(&self.fleet, &target.placement, request);
        let had_run = request.attempts.may_have_run > 0;
        request.quota.begin_attempt();
        request.tried.push(target.placement.name.clone());
        log_placement(request, &target);
        let head = match self.protocol.backend_head(clock::now(), &request.http_head, &params) {
            Ok(head) => head,
            Err(error) => {
                guard.end(None);
                let (outcome, why) = (AttemptOutcome::Unreachable, error.to_string());
                request.attempts.record(outcome);
                request.quota.end_attempt(outcome, had_run);
                return Attempt::Failed { outcome, why };
            }
        };
        let (connection, address) = (target.claim.hand_over(), target.placement.address);
        let sent = exchange(connection, address, head, request.body.clone());
        let is_repeatable = request.kind.is_repeatable();
        let result = tokio::select! {
            // If the process has stood still past the deadline, nothing is sent.
            biased;
            () = clock::sleep_until(request.deadline) => {
                request.attempts.record(AttemptOutcome::Lost);
                guard.end(None);
                return Attempt::TimedOut;
            }
            result = sent => result,
            () = server_marked_lost(&mut target.lost), if is_repeatable => {
                Err(ExchangeError::ResponseLost("the server does not answer any more".to_owned()))
            }
            () = self.start_overdue(request, target.placement.version) => {
                Err(ExchangeError::Withdrawn)
            }
        };
        let (outcome, why) = match result {
            Ok(upstream) => match self.classify_response(request, &target, &upstream) {
                Ok(is_error) => {
                    guard.record_answer_start();
                    request.attempts.record(AttemptOutcome::Answered { is_error });
                    metrics::counter!(metric::ATTEMPTS, "end" => "answered").increment(1);
                    let response = Box::new(AttemptResponse { upstream, guard });
                    return Attempt::Responded { response, is_error };
                }
                Err((outcome, signal, why)) => {
                    guard.end(Some(signal));
                    (outcome, why)
                }
            },
            Err(error) => end_without_response(guard, error, request),
        };
        request.attempts.record(outcome);
        request.quota.end_attempt(outcome, had_run);
        log_attempt_end(request, &target, outcome, &why);
        Attempt::Failed { outcome, why }
    }
}

/// Ends an attempt at a request that has brought no response. Returns its outcome, and why there is no
/// response.
fn end_without_response(
    guard: AttemptGuard,
    error: ExchangeError,
    request: &ClientRequest,
) -> (AttemptOutcome, String) {
    match error {
        ExchangeError::Unreachable(why) => {
            guard.end(Some(HealthSignal::Unreachable));
            (AttemptOutcome::Unreachable, why)
        }
        ExchangeError::ConnectionRejected(why) => {
            guard.end(Some(HealthSignal::ConnectionRejected));
            (AttemptOutcome::Unreachable, why)
        }
        ExchangeError::ResponseLost(why) => {
            guard.connection_lost(request.fingerprint());
            (AttemptOutcome::Lost, why)
        }
        ExchangeError::Withdrawn => {
            metrics::counter!(metric::WITHDRAWN_REQUESTS).increment(1);
            guard.end(None);
            (AttemptOutcome::Lost, error.to_string())
        }
    }
}

/// Returns the keys of the parts of a prompt that other requests may share: all but the last.
fn shared_parts(prompt: Option<&Prompt>, team: Option<&TeamRule>) -> Arc<[PartKey]> {
    let Some(prompt) = prompt else { return Arc::default() };
    let isolated = team.filter(|team| team.is_isolated).map(|team| &team.name);
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartKey::new(&prompt.model, isolated, &part.id)).collect()
}

/// Resolves when the fleet marks the server of an attempt as lost.
async fn server_marked_lost(lost: &mut tokio::sync::watch::Receiver<bool>) {
    if lost.wait_for(|is_lost| *is_lost).await.is_err() {
        // The sender is gone: the server was removed or listed again. From here on only the
        // connection itself shows how the attempt ends.
        std::future::pending::<()>().await;
    }
}

fn path(head: &http::request::Parts) -> &str {
    head.uri.path_and_query().map_or("/", |path| path.as_str())
}
