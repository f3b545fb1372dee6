//! Client of a plain service beside an agent.

use std::time::Duration;

use bytes::Bytes;
use dogwoodway_http::{HttpClient, HttpError, HttpResponse};
use dogwoodway_types::ServiceWork;
use futures::{FutureExt, future::BoxFuture};
use hyper::Method;

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Makes one call and returns its answer, whatever its status.
    fn call(
        &self,
        work: ServiceWork,
        limit: Duration,
    ) -> BoxFuture<'_, Result<HttpResponse, HttpError>>;
}

/// A plain service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpService {
    http: HttpClient,
    base_url: String,
}

impl HttpService {
    /// Builds a client; `base_url` has no slash at its end.
    ///
    /// ```
    /// let _service = dogwoodway_service::HttpService::new("http://127.0.0.1:9000".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpService {
        HttpService { http: HttpClient::new(), base_url }
    }
}

impl PlainService for HttpService {
    fn call(
        &self,
        work: ServiceWork,
        limit: Duration,
    ) -> BoxFuture<'_, Result<HttpResponse, HttpError>> {
        async move {
            let method = Method::from_bytes(work.method.as_bytes())
                .map_err(|e| HttpError::InvalidRequest(e.to_string()))?;
            let url = format!("{}{}", self.base_url, work.path);
            self.http.call(method, &url, &work.content_type, Bytes::from(work.body), limit).await
        }
        .boxed()
    }
}
