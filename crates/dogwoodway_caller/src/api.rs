//! Routes, authentication and request limits of the HTTP interface.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use dogwoodway_http::{Body, Handler, full_body, json_response, text_response};
use dogwoodway_types::{
    ClassName, IdempotencyKey, NotRunReason, Outcome, RequestId, ServiceWork, TeamName, Timestamp,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header,
};
use serde_json::json;

use crate::{
    AnswerEvent, CallerRequest, CallerWork, Dispatcher, Readiness, ReadyReport, chat,
    error::{error_response, invalid_request},
};

/// Path prefix of calls to plain services; the rest of the path is passed to the service.
const SERVICES_PATH: &str = "/services";

/// Value of `retry-after` for a request with an idempotency key whose outcome is unknown, in
/// seconds. By then the outcome of the first copy may be known, and a retry can return it.
const KEYED_RETRY_AFTER_SECONDS: u16 = 2;

/// Time after which a caller may retry at a node that has not received a configuration yet.
const NO_CONFIGURATION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits on the request bodies of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Size of the largest accepted request body, in bytes. Larger ones get status 413.
    pub max_body_bytes: usize,
    /// Time within which a caller must send the whole body, in milliseconds. Slower ones get
    /// status 408.
    pub body_read_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { max_body_bytes: 8 << 20, body_read_timeout_ms: 30_000 }
    }
}

/// HTTP interface for callers, which passes valid requests to a [`Dispatcher`].
pub struct CallerApi {
    dispatcher: Arc<dyn Dispatcher>,
    limits: CallerLimits,
    generate_id: Box<dyn Fn() -> RequestId + Send + Sync>,
}

impl CallerApi {
    /// Creates the interface. `generate_id` returns a new id for each request.
    pub fn new<F>(
        dispatcher: Arc<dyn Dispatcher>,
        limits: CallerLimits,
        generate_id: F,
    ) -> CallerApi
    where
        F: Fn() -> RequestId + Send + Sync + 'static,
    {
        CallerApi { dispatcher, limits, generate_id: Box::new(generate_id) }
    }

    /// Converts the interface into the request handler of an HTTP server.
    pub fn into_handler(self) -> Handler {
        let api = Arc::new(self);
        Arc::new(move |req| {
            let api = api.clone();
            Box::pin(async move { api.handle(req).await })
        })
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => self.readyz().await,
            (&Method::GET, "/v1/models") => self.models(&req).await,
            (&Method::POST, "/v1/chat/completions") => self.chat(req).await,
            (_, path) if path.starts_with(SERVICES_PATH) => self.service(req).await,
            _ => invalid_request(StatusCode::NOT_FOUND, "not-found", "there is no such path"),
        }
    }

    async fn readyz(&self) -> Response<Body> {
        let (status, reason) = match self.dispatcher.readiness().await {
            Readiness::Ready => (StatusCode::OK, None),
            Readiness::NotReady(reason) => (StatusCode::SERVICE_UNAVAILABLE, Some(reason)),
        };
        let configuration = self.dispatcher.config_offset();
        json_response(status, &ReadyReport { ready: reason.is_none(), reason, configuration })
    }

    async fn models(&self, req: &Request<Incoming>) -> Response<Body> {
        let team = match self.authenticate(req.headers()).await {
            Ok(team) => team,
            Err(resp) => return *resp,
        };
        let models = self.dispatcher.models(team).await;
        let data: Vec<_> = models
            .iter()
            .map(|m| json!({"id": m, "object": "model", "created": 0, "owned_by": "dogwoodway"}))
            .collect();
        json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
    }

    async fn chat(&self, req: Request<Incoming>) -> Response<Body> {
        let (mut caller, body) = match self.receive(req).await {
            Ok(received) => received,
            Err(resp) => return *resp,
        };
        let chat = match chat::parse(&body) {
            Ok(chat) => chat,
            Err(e) => {
                return invalid_request(StatusCode::BAD_REQUEST, "bad-request", &e.to_string());
            }
        };
        if !self.dispatcher.models(caller.team.clone()).await.contains(&chat.model) {
            let message = format!("model: {} is not offered to the team", chat.model);
            return invalid_request(StatusCode::NOT_FOUND, "model-not-found", &message);
        }
        caller.work = CallerWork::Chat {
            model: chat.model.clone(),
            messages: chat.messages.clone(),
            max_tokens: chat.max_tokens,
        };
        let id = caller.id;
        let events = self.dispatcher.submit(caller);
        chat::respond(id, &chat, events).await
    }

    async fn service(&self, req: Request<Incoming>) -> Response<Body> {
        let method = req.method().as_str().to_owned();
        let path = req.uri().path_and_query().map_or("", |p| p.as_str());
        let path = path[SERVICES_PATH.len()..].to_owned();
        let content_type = header_text(req.headers(), header::CONTENT_TYPE.as_str());
        let content_type = content_type.unwrap_or_default().to_owned();
        let (mut caller, body) = match self.receive(req).await {
            Ok(received) => received,
            Err(resp) => return *resp,
        };
        let body = body.to_vec();
        caller.work = CallerWork::Service(ServiceWork { method, path, content_type, body });
        let id = caller.id;
        let is_keyed = caller.idempotency_key.is_some();
        let mut events = self.dispatcher.submit(caller);
        let mut response = None;
        while let Some(event) = events.recv().await {
            match event {
                AnswerEvent::Response { status, content_type, body } => {
                    response = Some(service_response(status, &content_type, body, id));
                }
                AnswerEvent::End { .. } => break,
                AnswerEvent::Error(outcome) => {
                    let resp = error_response(&outcome, id, Timestamp::now());
                    let is_unknown = matches!(outcome, Outcome::Unknown { .. });
                    return if is_keyed && is_unknown { with_retry_after(resp) } else { resp };
                }
                AnswerEvent::Started { .. } | AnswerEvent::Text(_) => {}
            }
        }
        response.unwrap_or_else(|| chat::incomplete_response(id))
    }

    /// Authenticates a request, parses its headers and reads its body. The returned request has a
    /// placeholder for its work, which the route replaces once the body is parsed.
    async fn receive(
        &self,
        req: Request<Incoming>,
    ) -> Result<(CallerRequest, Bytes), Box<Response<Body>>> {
        let (parts, body) = req.into_parts();
        let team = self.authenticate(&parts.headers).await?;
        let caller = CallerRequest {
            id: (self.generate_id)(),
            team,
            class: parse_header::<ClassName>(&parts.headers, "x-dogwoodway-class")?,
            idempotency_key: parse_header::<IdempotencyKey>(&parts.headers, "idempotency-key")?,
            deadline: parse_deadline(&parts.headers)?,
            work: CallerWork::Service(ServiceWork {
                method: String::new(),
                path: String::new(),
                content_type: String::new(),
                body: Vec::new(),
            }),
        };
        let body = self.read_body(body).await?;
        // The key may have been revoked while the body arrived.
        let team = self.authenticate(&parts.headers).await?;
        Ok((CallerRequest { team, ..caller }, body))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Box<Response<Body>>> {
        let limit = self.limits.max_body_bytes;
        let too_large = || {
            let message = format!("the body may have at most {limit} bytes");
            Box::new(invalid_request(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", &message))
        };
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        let read = join_frames(Limited::new(body, limit));
        let timeout_ms = self.limits.body_read_timeout_ms;
        match tokio::time::timeout(Duration::from_millis(timeout_ms), read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => {
                let message = format!("the body broke off: {e}");
                Err(Box::new(invalid_request(StatusCode::BAD_REQUEST, "body-not-read", &message)))
            }
            Err(_) => {
                let message = "the body was not sent in time";
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(Box::new(invalid_request(status, "body-too-slow", message)))
            }
        }
    }

    async fn authenticate(&self, headers: &HeaderMap) -> Result<TeamName, Box<Response<Body>>> {
        let value = header_text(headers, header::AUTHORIZATION.as_str());
        let key = value.and_then(|v| v.strip_prefix("Bearer "));
        let team = match key {
            Some(key) => self.dispatcher.authenticate(key.to_owned()).await,
            None => None,
        };
        match team {
            Some(team) => Ok(team),
            None if key.is_some() && self.dispatcher.readiness().await != Readiness::Ready => {
                let retry_at = Some(Timestamp::now() + NO_CONFIGURATION_RETRY_DELAY);
                let reason = NotRunReason::NoConfiguration;
                let outcome = Outcome::NotRun { reason, retry_at };
                Err(Box::new(error_response(&outcome, (self.generate_id)(), Timestamp::now())))
            }
            None => {
                let message = "the bearer key is missing or unknown";
                Err(Box::new(invalid_request(StatusCode::UNAUTHORIZED, "bad-key", message)))
            }
        }
    }
}

/// Reads a body into one buffer. Frames that are kept until the end take many times their size if a
/// caller sends chunks of one byte.
async fn join_frames<B>(mut body: B) -> Result<Bytes, B::Error>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Adds a `retry-after` header to the response to a request with an idempotency key, which is safe
/// to send again.
fn with_retry_after(mut resp: Response<Body>) -> Response<Body> {
    let seconds = header::HeaderValue::from(KEYED_RETRY_AFTER_SECONDS);
    resp.headers_mut().insert(header::RETRY_AFTER, seconds);
    resp
}

fn service_response(
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    id: RequestId,
) -> Response<Body> {
    let mut resp = Response::new(full_body(body));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = header::HeaderValue::from_str(&id.to_string()) {
        resp.headers_mut().insert("x-request-id", value);
    }
    resp
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Box<Response<Body>>>
where
    T: for<'a> TryFrom<&'a str, Error = dogwoodway_types::IdError>,
{
    let Some(text) = header_text(headers, name) else { return Ok(None) };
    match T::try_from(text) {
        Ok(value) => Ok(Some(value)),
        Err(e) => {
            let message = format!("header {name}: {e}");
            Err(Box::new(invalid_request(StatusCode::BAD_REQUEST, "bad-header", &message)))
        }
    }
}

/// Parses the `x-dogwoodway-deadline-ms` header: milliseconds since the Unix epoch.
fn parse_deadline(headers: &HeaderMap) -> Result<Option<Timestamp>, Box<Response<Body>>> {
    const NAME: &str = "x-dogwoodway-deadline-ms";
    let Some(text) = header_text(headers, NAME) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(millis) if millis < u64::MAX / 1_000 => Ok(Some(Timestamp::from_millis(millis))),
        _ => {
            let message = format!("header {NAME}: {text:?} is no number of milliseconds");
            Err(Box::new(invalid_request(StatusCode::BAD_REQUEST, "bad-header", &message)))
        }
    }
}
