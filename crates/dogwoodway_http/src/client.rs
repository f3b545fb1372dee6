//! HTTP client with a connection pool.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// Size of the largest response body that is read into memory if the client sets no limit, in
/// bytes.
const DEFAULT_MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Largest response head that is accepted, in bytes; also the size of a connection's read buffer.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of idle connections to one server if the client sets no limit.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = usize::MAX;

/// Limits on the connections and responses of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Time limit for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of idle connections to one server that stay open for reuse; with 0, each
    /// request gets a new connection.
    pub max_idle_connections: usize,
    /// Time without any packet from the server after which a connection is closed, in
    /// milliseconds; `None` for no limit.
    pub silence_timeout_ms: Option<u64>,
    /// Size of the largest response body that is read into memory, in bytes.
    pub max_response_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            max_idle_connections: DEFAULT_MAX_IDLE_CONNECTIONS,
            silence_timeout_ms: None,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
        }
    }
}

/// Why a request has no usable response.
#[derive(Debug)]
pub enum HttpError {
    /// The request could not be built, so it was not sent.
    InvalidRequest(String),
    /// No connection could be established, so the request never reached the server.
    Unreachable(String),
    /// The connection was lost, the time limit expired or the response is too large; the server may
    /// have executed the request.
    ResponseLost(String),
    /// The server responded with this status, which is not 2xx, and this body.
    Status(StatusCode, String),
    /// The response could not be decoded.
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

/// A response whose body has been read into memory.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Content type, empty if the response has none.
    pub content_type: String,
    /// Entity tag of the content, empty if the response has none.
    pub etag: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// HTTP client that keeps connections open between requests. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Creates a client with default limits; it connects on first use.
    ///
    /// ```
    /// let client = dogwoodway_http::HttpClient::new();
    /// let _second = client.clone();
    /// ```
    pub fn new() -> HttpClient {
        HttpClient::with_limits(ClientLimits::default())
    }

    /// Creates a client with default limits that opens a connection for each request.
    ///
    /// HTTP/1.1 matches responses to requests by their order on a connection. If a response could be
    /// taken for one that an earlier request has left over, and that must not happen, the connection
    /// must not have carried an earlier request.
    ///
    /// ```
    /// let _client = dogwoodway_http::HttpClient::without_reuse();
    /// ```
    pub fn without_reuse() -> HttpClient {
        HttpClient::with_limits(ClientLimits { max_idle_connections: 0, ..ClientLimits::default() })
    }

    /// Creates a client with the given limits.
    pub fn with_limits(limits: ClientLimits) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_timeout_ms)));
        if let Some(ms) = limits.silence_timeout_ms {
            let timeout = Duration::from_millis(ms);
            connector.set_tcp_user_timeout(Some(timeout));
            connector.set_keepalive(Some(timeout / 2));
            connector.set_keepalive_interval(Some(timeout / 2));
            connector.set_keepalive_retries(Some(1));
        }
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_max_idle_per_host(limits.max_idle_connections);
        builder.http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let max_response_bytes = limits.max_response_bytes;
        HttpClient { client: builder.build(connector), max_response_bytes }
    }

    /// Sends a request and returns as soon as the head of the response has arrived. There is no
    /// time limit for the response.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::Unreachable`] only if the request cannot have reached the server.
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

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::ResponseLost`] if the response is not complete within `timeout` or
    /// its body is larger than [`ClientLimits::max_response_bytes`].
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.call_with_headers(method, url, content_type, body, &[], timeout).await
    }

    /// Like [`HttpClient::call`], with additional request headers.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`HttpClient::call`].
    pub async fn call_with_headers(
        &self,
        method: Method,
        url: &str,
        content_type: &str,
        body: Bytes,
        headers: &[(&str, String)],
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let exchange = async {
            let resp = self.send(method, url, content_type, body, headers).await?;
            read_response(resp, self.max_response_bytes).await
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::ResponseLost("no answer in time".to_owned())),
        }
    }

    /// Sends a value as JSON and decodes the JSON response. A `GET` request has no body; its value
    /// is ignored.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::Status`] if the status is not 2xx, with
    /// [`HttpError::InvalidResponse`] if the body does not decode to `Resp`, and in the same cases
    /// as [`HttpClient::call`].
    pub async fn json<Req, Resp>(
        &self,
        method: Method,
        url: &str,
        req: &Req,
        timeout: Duration,
    ) -> Result<Resp, HttpError>
    where
        Req: Serialize + Sync + ?Sized,
        Resp: DeserializeOwned,
    {
        let body = match method {
            Method::GET => Bytes::new(),
            _ => encode(req)?,
        };
        let resp = self.call(method, url, "application/json", body, timeout).await?;
        if !resp.status.is_success() {
            let text = String::from_utf8_lossy(&resp.body).into_owned();
            return Err(HttpError::Status(resp.status, text));
        }
        serde_json::from_slice(&resp.body).map_err(|e| HttpError::InvalidResponse(e.to_string()))
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

async fn read_response(
    resp: Response<Incoming>,
    max_bytes: usize,
) -> Result<HttpResponse, HttpError> {
    let (head, body) = resp.into_parts();
    let header_text = |name: header::HeaderName| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (content_type, etag) = (header_text(header::CONTENT_TYPE), header_text(header::ETAG));
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|e| HttpError::ResponseLost(e.to_string()))?.to_bytes();
    Ok(HttpResponse { status: head.status, content_type, etag, headers: head.headers, body })
}
