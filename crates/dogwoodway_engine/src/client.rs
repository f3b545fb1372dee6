//! HTTP client of a model engine.

use std::time::Duration;

use bytes::Bytes;
use dogwoodway_http::{HttpClient, HttpError, SseReader};
use dogwoodway_types::AttemptId;
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, StatusCode};

use crate::{
    CacheEvents, EngineError, EngineEvent, EngineRequest, EngineStatus, EngineStream,
    KvTransferRequest, KvTransferResponse, LoadOrder, ModelEngine,
};

/// Time limit for status requests, cache events, cancels and load orders, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 1_000;

/// Time limit for a transfer of KV cache between the engine and the KV store, in milliseconds.
const KV_TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// HTTP client of one engine.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    /// Reads the state of the engine.
    http: HttpClient,
    /// Makes calls that have an effect. An answer left over from another call would be taken for
    /// theirs, and a refusal for the promise that a request does not run.
    effects: HttpClient,
    base_url: String,
}

impl HttpEngine {
    /// Creates a client; `base_url` must not end with a slash. It connects on first use.
    ///
    /// ```
    /// let _engine = dogwoodway_engine::HttpEngine::new("http://127.0.0.1:8000".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpEngine {
        HttpEngine { http: HttpClient::new(), effects: HttpClient::without_reuse(), base_url }
    }
}

impl HttpEngine {
    async fn transfer_kv(
        &self,
        direction: &str,
        req: KvTransferRequest,
    ) -> Result<KvTransferResponse, EngineError> {
        let url = format!("{}/kv/{direction}", self.base_url);
        let timeout = Duration::from_millis(KV_TRANSFER_TIMEOUT_MS);
        self.effects.json(Method::POST, &url, &req, timeout).await.map_err(engine_error)
    }
}

impl ModelEngine for HttpEngine {
    fn generate(
        &self,
        req: EngineRequest,
    ) -> BoxFuture<'_, Result<Box<dyn EngineStream>, EngineError>> {
        async move {
            let url = format!("{}/v1/chat/completions", self.base_url);
            let body = serde_json::to_vec(&req).map_err(|e| EngineError::Refused(e.to_string()))?;
            let resp = self
                .effects
                .send(Method::POST, &url, "application/json", Bytes::from(body), &[])
                .await
                .map_err(engine_error)?;
            match resp.status() {
                StatusCode::OK => {
                    let stream: Box<dyn EngineStream> =
                        Box::new(HttpEngineStream { events: SseReader::new(resp.into_body()) });
                    Ok(stream)
                }
                status if status.is_client_error() => {
                    Err(EngineError::Refused(format!("status {status}")))
                }
                status => Err(EngineError::Lost(format!("status {status}"))),
            }
        }
        .boxed()
    }

    fn cancel(&self, request_id: AttemptId) -> BoxFuture<'_, Result<(), EngineError>> {
        async move {
            let url = format!("{}/v1/requests/{request_id}", self.base_url);
            let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
            let resp = self.effects.call(Method::DELETE, &url, "", Bytes::new(), timeout).await;
            resp.map(|_| ()).map_err(engine_error)
        }
        .boxed()
    }

    fn load_weights(&self, order: LoadOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        async move {
            let url = format!("{}/orders", self.base_url);
            let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
            let body =
                serde_json::to_vec(&order).map_err(|e| EngineError::Refused(e.to_string()))?;
            let body = Bytes::from(body);
            let resp =
                self.effects.call(Method::POST, &url, "application/json", body, timeout).await;
            match resp.map_err(engine_error)?.status {
                status if status.is_success() => Ok(()),
                status if status.is_client_error() => {
                    Err(EngineError::Refused(format!("status {status}")))
                }
                status => Err(EngineError::Lost(format!("status {status}"))),
            }
        }
        .boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        async move {
            let url = format!("{}/status", self.base_url);
            let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
            self.http.json(Method::GET, &url, &(), timeout).await.map_err(engine_error)
        }
        .boxed()
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, EngineError>> {
        async move {
            let url = format!("{}/events?from={from}", self.base_url);
            let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
            self.http.json(Method::GET, &url, &(), timeout).await.map_err(engine_error)
        }
        .boxed()
    }

    fn import_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>> {
        self.transfer_kv("import", req).boxed()
    }

    fn export_kv(
        &self,
        req: KvTransferRequest,
    ) -> BoxFuture<'_, Result<KvTransferResponse, EngineError>> {
        self.transfer_kv("export", req).boxed()
    }
}

struct HttpEngineStream {
    events: SseReader,
}

impl EngineStream for HttpEngineStream {
    fn next(&mut self) -> BoxFuture<'_, Result<EngineEvent, EngineError>> {
        async move {
            let Some(data) = self.events.next().await.map_err(engine_error)? else {
                return Err(EngineError::Lost("the answer ended too early".to_owned()));
            };
            serde_json::from_str(&data).map_err(|e| EngineError::Lost(e.to_string()))
        }
        .boxed()
    }
}

fn engine_error(e: HttpError) -> EngineError {
    match e {
        HttpError::Unreachable(_) => EngineError::Unreachable(e.to_string()),
        HttpError::InvalidRequest(_) => EngineError::Refused(e.to_string()),
        HttpError::ResponseLost(_) | HttpError::Status(..) | HttpError::InvalidResponse(_) => {
            EngineError::Lost(e.to_string())
        }
    }
}
