//! HTTP client with pooled connections.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// Largest answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Idle connections to one server that are kept at most, where no limit is set.
const MAX_IDLE: usize = usize::MAX;

/// Limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Milliseconds in which a connection must be made.
    pub connect_timeout_ms: u64,
    /// Idle connections to one server that are kept.
    pub max_idle_connections: usize,
    /// Milliseconds without a sign of life after which a connection is given up; `None` for ever.
    pub silence_timeout_ms: Option<u64>,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_idle_connections: MAX_IDLE,
            silence_timeout_ms: None,
        }
    }
}

/// The reason why a call has no usable answer.
#[derive(Debug)]
pub enum HttpError {
    /// The call could not be built.
    InvalidRequest(String),
    /// No connection was made; the call never reached the server.
    Unreachable(String),
    /// The connection was lost or the deadline passed; the call may have taken effect.
    ResponseLost(String),
    /// The server answered with an error status.
    Status(StatusCode, String),
    /// The answer could not be decoded.
    InvalidResponse(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::InvalidRequest(e) => write!(f, "bad request: {e}"),
            HttpError::Unreachable(e) => write!(f, "unreachable: {e}"),
            HttpError::ResponseLost(e) => write!(f, "connection lost: {e}"),
            HttpError::Status(status, body) => write!(f, "status {status}: {body}"),
            HttpError::InvalidResponse(e) => write!(f, "bad answer: {e}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Content type, empty if the server named none.
    pub content_type: String,
    /// Version tag of the content, empty if the server named none.
    pub etag: String,
    /// Body of the answer.
    pub body: Bytes,
}

/// A client that keeps connections open between calls.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Builds a client.
    ///
    /// ```
    /// let client = dogwoodway_http::HttpClient::new();
    /// let _second = client.clone();
    /// ```
    pub fn new() -> HttpClient {
        HttpClient::with_limits(ClientLimits::default())
    }

    /// Builds a client with limits of its own.
    pub fn with_limits(limits: ClientLimits) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_timeout_ms)));
        if let Some(ms) = limits.silence_timeout_ms {
            let silent_for = Duration::from_millis(ms);
            connector.set_tcp_user_timeout(Some(silent_for));
            connector.set_keepalive(Some(silent_for / 2));
            connector.set_keepalive_interval(Some(silent_for / 2));
            connector.set_keepalive_retries(Some(1));
        }
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_max_idle_per_host(limits.max_idle_connections);
        HttpClient { client: builder.build(connector) }
    }

    /// Sends a request and returns as soon as the answer's headers are there.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unreachable`] only if the request cannot have reached the server.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        body: Bytes,
        headers: &[(&str, String)],
    ) -> Result<Response<Incoming>, HttpError> {
        let mut req = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        if !content_type.is_empty() {
            req = req.header(header::CONTENT_TYPE, content_type);
        }
        let req =
            req.body(Full::new(body)).map_err(|e| HttpError::InvalidRequest(e.to_string()))?;
        self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => HttpError::Unreachable(e.to_string()),
            false => HttpError::ResponseLost(e.to_string()),
        })
    }

    /// Sends a request and reads the whole answer, whatever its status, within `limit`.
    ///
    /// # Errors
    ///
    /// [`HttpError::ResponseLost`] when the limit has passed.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.call_with_headers(method, url, content_type, body, &[], limit).await
    }

    /// Does what [`HttpClient::call`] does, with further headers.
    ///
    /// # Errors
    ///
    /// [`HttpError::ResponseLost`] when the limit has passed.
    pub async fn call_with_headers(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        body: Bytes,
        headers: &[(&str, String)],
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let exchange = async {
            let resp = self.send(method, url, content_type, body, headers).await?;
            read_reply(resp).await
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(HttpError::ResponseLost("no answer in time".to_owned())),
        }
    }

    /// Sends a JSON value and decodes the JSON answer within `limit`.
    ///
    /// # Errors
    ///
    /// [`HttpError::Status`] when the server answers with any but a 2xx status.
    pub async fn json<Req, Resp>(
        &self,
        method: Method,
        url: &str,
        req: &Req,
        limit: Duration,
    ) -> Result<Resp, HttpError>
    where
        Req: Serialize + Sync + ?Sized,
        Resp: DeserializeOwned,
    {
        let body = match method {
            Method::GET => Bytes::new(),
            _ => encode(req)?,
        };
        let reply = self.call(method, url, "application/json", body, limit).await?;
        if !reply.status.is_success() {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(HttpError::Status(reply.status, text));
        }
        serde_json::from_slice(&reply.body).map_err(|e| HttpError::InvalidResponse(e.to_string()))
    }
}

fn encode<T>(value: &T) -> Result<Bytes, HttpError>
where
    T: Serialize + ?Sized,
{
    match serde_json::to_vec(value) {
        Ok(json) => Ok(Bytes::from(json)),
        Err(e) => Err(HttpError::InvalidRequest(e.to_string())),
    }
}

async fn read_reply(resp: Response<Incoming>) -> Result<HttpResponse, HttpError> {
    let status = resp.status();
    let text = |name: header::HeaderName| {
        let value = resp.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (content_type, etag) = (text(header::CONTENT_TYPE), text(header::ETAG));
    let body = Limited::new(resp.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| HttpError::ResponseLost(e.to_string()))?.to_bytes();
    Ok(HttpResponse { status, content_type, etag, body })
}
