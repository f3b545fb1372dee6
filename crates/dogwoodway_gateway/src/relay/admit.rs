//! Admission of client requests: parsing, routing, authentication and reading of the body.

use std::{sync::Arc, time::Duration};

use dogwoodway_http::{Body, RequestGuard};
use dogwoodway_routing::direct::{
    admission,
    retry::AttemptCounts,
    table::{Route, RouteKey, RouteKind, RoutingTable, TeamRule},
};
use dogwoodway_types::{KeyHash, NotRunReason, Timestamp};
use hyper::{Response, StatusCode, body::Incoming, header, http};

use crate::{
    clock, metric,
    platform_api::{HeadError, RequestHead},
    quotas::QuotaCharge,
    relay::{
        ClientRequest, Relay, path,
        refusal::text_response,
        request_body::{BodyError, RequestBody, discard},
        shared_parts,
    },
};

/// Largest request body, in bytes, if the configuration sets no limit.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// Number of route priorities that are distinguished within each team priority; less urgent routes
/// share the last one. Engines know only ten priorities in all.
const ROUTE_PRIORITIES: u8 = 3;

/// `Retry-After` for clients while the router has no configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;

/// `Retry-After` for requests that arrive too late in a graceful shutdown, in milliseconds. Another
/// router can serve them at once.
const LEAVING_RETRY_AFTER_MS: u64 = 50;

/// `Retry-After` for requests whose bodies find no memory, in milliseconds. Those that are being read
/// then take about this long.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Longest request path that is written to the log, in bytes.
const MAX_LOGGED_PATH_BYTES: usize = 80;

/// Route and team of a request, as one routing table has them.
struct Routing {
    table: Arc<RoutingTable>,
    key: RouteKey,
    /// Absent on anonymous routes.
    team: Option<TeamRule>,
}

impl Routing {
    fn route(&self) -> &Route {
        self.table.route(self.key)
    }
}

impl Relay {
    /// Checks a request against the routing table and reads its body. `Err` holds the response
    /// that rejects it.
    pub(super) async fn admit(
        &self,
        arrived_at: Timestamp,
        mut http_head: http::request::Parts,
        body: Incoming,
    ) -> Result<ClientRequest, Box<Response<Body>>> {
        let head = match self.protocol.parse_head(arrived_at, &http_head) {
            Ok(head) => head,
            Err(error) => {
                return Err(self.reject_malformed(&http_head, StatusCode::BAD_REQUEST, &error));
            }
        };
        let routing = self.find_route(arrived_at, &http_head, &head)?;
        let route = routing.route();
        let Some(service) = route.service(rand::random()).cloned() else {
            return Err(self.no_configuration_response(arrived_at, &head));
        };
        let limit = arrived_at + Duration::from_millis(u64::from(route.timeout_ms));
        let deadline = head.deadline.map_or(limit, |deadline| deadline.min(limit));
        let body =
            self.read_body(body, &http_head, &head, &routing.table, route.kind, deadline).await?;
        let deadline = self.deadline_during_shutdown(&head, deadline)?;
        // The connection is idle once the response is delivered, whoever still holds the head.
        http_head.extensions.remove::<Arc<RequestGuard>>();
        Ok(ClientRequest {
            http_head,
            body: body.bytes,
            _reservation: body.reservation,
            arrived_at,
            deadline,
            expected_by: arrived_at + Duration::from_millis(u64::from(route.target_latency_ms)),
            route: route.name.clone(),
            kind: route.kind,
            max_attempts: route.max_attempts.max(1),
            priority: engine_priority(route, routing.team.as_ref()),
            route_priority: route.priority,
            service,
            services: route.services(),
            shared_parts: shared_parts(head.prompt.as_ref(), routing.team.as_ref()),
            table_version: routing.table.version(),
            quota: QuotaCharge::default(),
            team: routing.team,
            origin: None,
            attempts: AttemptCounts::default(),
            tried: Vec::new(),
            head,
        })
    }

    /// Applies the routing table in force to a request that was admitted by an earlier one, before it is
    /// sent to a server. `Err` holds the response to a request that is no longer allowed.
    pub(super) fn apply_current_table(
        &self,
        request: &mut ClientRequest,
    ) -> Result<(), Box<Response<Body>>> {
        let is_current = |table: &RoutingTable| table.version() == request.table_version;
        if self.tables.current().is_some_and(|table| is_current(&table)) {
            return Ok(());
        }
        let result = self.update_rules(request);
        let may_have_run = request.attempts.may_have_run;
        let may_run_again =
            result.is_ok() && request.kind.is_repeatable() && may_have_run < request.max_attempts;
        if may_have_run == 0 || may_run_again {
            return result;
        }
        // A refusal would tell the client that the request has not run.
        let why = "the configuration allows no further attempt";
        Err(Box::new(self.error_response(request, StatusCode::BAD_GATEWAY, why)))
    }

    /// Replaces what an earlier routing table said of a request. `Err` holds the response to a request
    /// that is no longer allowed.
    fn update_rules(&self, request: &mut ClientRequest) -> Result<(), Box<Response<Body>>> {
        let routing = self.find_route(clock::now(), &request.http_head, &request.head)?;
        let route = routing.route();
        let services = route.services();
        if !services.contains(&request.service) {
            let service = route.service(rand::random()).cloned();
            request.service = service
                .ok_or_else(|| self.no_configuration_response(clock::now(), &request.head))?;
        }
        let since_arrival = |ms| request.arrived_at + Duration::from_millis(u64::from(ms));
        // The body was read, or an attempt made, by the earlier deadline.
        request.deadline = request.deadline.min(since_arrival(route.timeout_ms));
        request.expected_by = since_arrival(route.target_latency_ms);
        request.route = route.name.clone();
        request.kind = route.kind;
        request.max_attempts = route.max_attempts.max(1);
        request.priority = engine_priority(route, routing.team.as_ref());
        request.route_priority = route.priority;
        request.services = services;
        request.shared_parts = shared_parts(request.head.prompt.as_ref(), routing.team.as_ref());
        request.table_version = routing.table.version();
        request.team = routing.team;
        Ok(())
    }

    /// Finds the route and the team of a request in the routing table in force. `Err` holds the
    /// response that rejects it.
    ///
    /// With a stale table, an unknown route or key may have been added since, so the client is
    /// told to retry instead of getting a final 404 or 401.
    fn find_route(
        &self,
        now: Timestamp,
        http_head: &http::request::Parts,
        head: &RequestHead,
    ) -> Result<Routing, Box<Response<Body>>> {
        let Some(table) = self.tables.current() else {
            return Err(self.no_configuration_response(now, head));
        };
        let is_stale = self.tables.is_stale(now);
        let Some(key) = table.find(&head.host, http_head.uri.path()) else {
            if is_stale {
                return Err(self.no_configuration_response(now, head));
            }
            return Err(self.reject_with_status(head, http_head, StatusCode::NOT_FOUND, &table));
        };
        match self.authenticate(&table, table.route(key), head) {
            Ok(team) => Ok(Routing { table, key, team }),
            Err(_) if is_stale => Err(self.no_configuration_response(now, head)),
            Err(status) => Err(self.reject_with_status(head, http_head, status, &table)),
        }
    }

    /// Reads the body of a request on a route of this kind. `Err` holds the response that rejects it.
    async fn read_body(
        &self,
        mut body: Incoming,
        http_head: &http::request::Parts,
        head: &RequestHead,
        table: &RoutingTable,
        kind: RouteKind,
        deadline: Timestamp,
    ) -> Result<RequestBody, Box<Response<Body>>> {
        let limits = table.limits();
        let max_bytes = limits.map_or(DEFAULT_BODY_BYTES, |l| l.max_body_bytes as usize);
        match self.memory.bodies.read(&mut body, max_bytes, deadline, kind.is_repeatable()).await {
            Ok(body) => Ok(body),
            Err(BodyError::Rejected(status)) => {
                Err(self.reject_with_status(head, http_head, status, table))
            }
            Err(BodyError::NoRoom) => {
                // A client that expects to be asked sends no body after a refusal.
                if !http_head.headers.contains_key(header::EXPECT) {
                    let guard = http_head.extensions.get::<Arc<RequestGuard>>().cloned();
                    discard(body, deadline, guard);
                }
                Err(self.no_memory_response(head, deadline))
            }
        }
    }

    /// Returns by when to answer a request, given its own deadline. During a graceful shutdown that may
    /// be earlier; `Err` holds the response to a request that arrives too late.
    fn deadline_during_shutdown(
        &self,
        head: &RequestHead,
        deadline: Timestamp,
    ) -> Result<Timestamp, Box<Response<Body>>> {
        let Some(drain) = *self.drain.borrow() else { return Ok(deadline) };
        if let Some(deadline) = drain.deadline(clock::now(), deadline) {
            return Ok(deadline);
        }
        let reason = NotRunReason::Leaving;
        metrics::counter!(metric::REQUESTS, "outcome" => "not-run").increment(1);
        log::info!(request = head.id, why = reason.as_str(); "request refused");
        let retry_after = Duration::from_millis(LEAVING_RETRY_AFTER_MS);
        Err(Box::new(self.not_run_response(reason, retry_after)))
    }

    /// Refuses a request for whose body there is no memory.
    fn no_memory_response(&self, head: &RequestHead, deadline: Timestamp) -> Box<Response<Body>> {
        let reason = NotRunReason::Overloaded;
        let now = clock::now();
        let retry_at = now + Duration::from_millis(NO_MEMORY_RETRY_AFTER_MS);
        let retry_after = admission::retry_after(now, retry_at, deadline, rand::random());
        metrics::counter!(metric::REQUESTS, "outcome" => "no-memory").increment(1);
        log::info!(request = head.id, why = "no memory for its body",
            come_back_ms = retry_after.as_millis() as u64; "request refused");
        Box::new(self.not_run_response(reason, retry_after))
    }

    /// Finds the team that owns the request's bearer key. Anonymous routes have no team.
    fn authenticate(
        &self,
        table: &RoutingTable,
        route: &Route,
        head: &RequestHead,
    ) -> Result<Option<TeamRule>, StatusCode> {
        if route.is_anonymous {
            return Ok(None);
        }
        let key = head.bearer_key.as_ref().ok_or(StatusCode::UNAUTHORIZED)?;
        let team = table.team_of(&KeyHash::new(&self.key_pepper, key));
        let team = team.ok_or(StatusCode::UNAUTHORIZED)?;
        Ok(Some(table.team(team).clone()))
    }

    fn reject_malformed(
        &self,
        http_head: &http::request::Parts,
        status: StatusCode,
        error: &HeadError,
    ) -> Box<Response<Body>> {
        log::info!(path = truncate(path(http_head)), status = status.as_u16(), why:% = error;
            "request rejected");
        metrics::counter!(metric::REQUESTS, "outcome" => "rejected").increment(1);
        let mut resp = text_response(status, &error.to_string());
        let close = header::HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
        Box::new(resp)
    }

    fn reject_with_status(
        &self,
        head: &RequestHead,
        http_head: &http::request::Parts,
        status: StatusCode,
        table: &RoutingTable,
    ) -> Box<Response<Body>> {
        log::info!(request = head.id, host = head.host, path = truncate(path(http_head)),
            status = status.as_u16(), table = table.version(); "request turned away");
        metrics::counter!(metric::REQUESTS, "outcome" => "turned-away").increment(1);
        Box::new(text_response(status, status.canonical_reason().unwrap_or("refused")))
    }

    fn no_configuration_response(&self, now: Timestamp, head: &RequestHead) -> Box<Response<Body>> {
        let retry_after = Duration::from_millis(NO_CONFIG_RETRY_AFTER_MS);
        log::info!(request = head.id, status = 503, why = "no-configuration",
            age_ms = self.tables.age_ms(now); "request refused");
        metrics::counter!(metric::REQUESTS, "outcome" => "no-configuration").increment(1);
        Box::new(self.not_run_response(NotRunReason::NoConfiguration, retry_after))
    }
}

/// Returns the priority at the engine, to which the team's contributes more than the route's.
fn engine_priority(route: &Route, team: Option<&TeamRule>) -> u8 {
    match team.and_then(|team| team.priority) {
        Some(priority) => {
            let route_priority = route.priority.min(ROUTE_PRIORITIES - 1);
            priority.saturating_mul(ROUTE_PRIORITIES).saturating_add(route_priority)
        }
        None => route.priority,
    }
}

fn truncate(path: &str) -> &str {
    path.get(..MAX_LOGGED_PATH_BYTES).unwrap_or(path)
}
