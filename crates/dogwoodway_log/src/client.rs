//! HTTP client of the platform log.

use std::time::Duration;

use dogwoodway_http::{HttpClient, HttpError};
use dogwoodway_types::LogOffset;
use futures::{FutureExt, future::BoxFuture};
use hyper::Method;
use serde_json::Value;

use crate::{AppendRequest, AppendResponse, LogError, PlatformLog, ReadResponse, StreamName};

/// Time limit for the response to an append, in milliseconds. For a read, the time that it waits
/// for records is added.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// HTTP client of the log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpClient,
    base_url: String,
}

impl HttpLog {
    /// Creates a client; `base_url` must not end with a slash. It connects on first use.
    ///
    /// ```
    /// let _log = dogwoodway_log::HttpLog::new("http://127.0.0.1:7001".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpLog {
        HttpLog { http: HttpClient::new(), base_url }
    }

    fn records_url(&self, stream: StreamName) -> String {
        format!("{}/streams/{}/records", self.base_url, stream.name())
    }
}

impl PlatformLog for HttpLog {
    fn append(
        &self,
        stream: StreamName,
        records: Vec<Value>,
    ) -> BoxFuture<'_, Result<AppendResponse, LogError>> {
        async move {
            let url = self.records_url(stream);
            let timeout = Duration::from_millis(RESPONSE_TIMEOUT_MS);
            let req = AppendRequest { records };
            self.http.json(Method::POST, &url, &req, timeout).await.map_err(log_error)
        }
        .boxed()
    }

    fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: u32,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<ReadResponse, LogError>> {
        async move {
            let url = self.records_url(stream);
            let url = format!("{url}?from={from}&limit={limit}&wait_ms={wait_ms}");
            let timeout = Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS);
            self.http.json(Method::GET, &url, &(), timeout).await.map_err(log_error)
        }
        .boxed()
    }
}

fn log_error(e: HttpError) -> LogError {
    match e {
        HttpError::InvalidRequest(_) | HttpError::Unreachable(_) => {
            LogError::Unavailable(e.to_string())
        }
        HttpError::Status(status, _) if status != hyper::StatusCode::GATEWAY_TIMEOUT => {
            LogError::Unavailable(e.to_string())
        }
        HttpError::ResponseLost(_) | HttpError::Status(..) | HttpError::InvalidResponse(_) => {
            LogError::Unknown(e.to_string())
        }
    }
}
