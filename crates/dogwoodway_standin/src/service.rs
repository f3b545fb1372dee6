//! Stand-in of a plain service with calls that must not be repeated.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_http::{Body, Handler, json_response};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::fault::FaultSwitch;

#[derive(Debug, Default)]
struct Service {
    calls: Mutex<Vec<String>>,
    faults: FaultSwitch,
}

/// Builds the handler of a service that records the body of each `POST`; `GET /calls` lists them.
///
/// ```
/// let _handler = dogwoodway_standin::service_handler();
/// ```
pub fn service_handler() -> Handler {
    let service = Arc::new(Service::default());
    Arc::new(move |req| {
        let service = service.clone();
        Box::pin(async move { service.handle(req).await })
    })
}

impl Service {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/fault" {
            return self.faults.set(req).await;
        }
        if req.uri().path() == "/calls" {
            let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return json_response(StatusCode::OK, &calls);
        }
        if let Err(resp) = self.faults.before().await {
            return *resp;
        }
        if *req.method() != Method::POST {
            return json_response(StatusCode::OK, &json!({"path": req.uri().path()}));
        }
        let body = match req.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => return json_response(StatusCode::BAD_REQUEST, "the body broke off"),
        };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(body);
        let number = calls.len();
        drop(calls);
        self.faults.after(json_response(StatusCode::OK, &json!({"confirmation": number})))
    }
}
