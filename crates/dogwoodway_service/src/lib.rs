//! Client that an agent uses to call its plain service.
//!
//! A plain service is any HTTP service other than a model engine. It receives the calls that
//! callers make below `/services/`.

use std::time::Duration;

use bytes::Bytes;
use dogwoodway_http::{HttpClient, HttpError, HttpResponse};
use dogwoodway_types::ServiceWork;
use futures::{FutureExt, future::BoxFuture};
use hyper::Method;

/// Access to a plain service.
pub trait PlainService: Send + Sync {
    /// Makes one call and returns the response, whatever its status. Fails if the response is not
    /// complete within `timeout`.
    fn call(
        &self,
        work: ServiceWork,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<HttpResponse, HttpError>>;
}

/// HTTP client of one plain service. It opens a connection for each call: responses of a plain service
/// name no call, and one that is left over from another call must not be passed on.
#[derive(Clone, Debug)]
pub struct HttpService {
    http: HttpClient,
    base_url: String,
}

impl HttpService {
    /// Creates a client; `base_url` must not end with a slash. It connects on first use.
    ///
    /// ```
    /// let _service = dogwoodway_service::HttpService::new("http://127.0.0.1:9000".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpService {
        HttpService { http: HttpClient::without_reuse(), base_url }
    }
}

impl PlainService for HttpService {
    fn call(
        &self,
        work: ServiceWork,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<HttpResponse, HttpError>> {
        async move {
            let method = Method::from_bytes(work.method.as_bytes())
                .map_err(|e| HttpError::InvalidRequest(e.to_string()))?;
            let url = format!("{}{}", self.base_url, work.path);
            self.http.call(method, &url, &work.content_type, Bytes::from(work.body), timeout).await
        }
        .boxed()
    }
}
