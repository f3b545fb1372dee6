//! Stand-in for a plain service whose calls are not idempotent.
//!
//! It records every executed call, so that tests can detect one that was executed twice.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_http::{Body, Handler, json_response};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::fault::FaultInjector;

#[derive(Debug, Default)]
struct Service {
    calls: Mutex<Vec<String>>,
    faults: FaultInjector,
}

/// Creates the handler of a service that records the body of each `POST`.
///
/// `GET /calls` lists the recorded bodies in order of execution and is not subject to faults.
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
            return self.faults.handle_request(req).await;
        }
        if req.uri().path() == "/calls" {
            let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return json_response(StatusCode::OK, &calls);
        }
        if let Err(resp) = self.faults.before_call().await {
            return *resp;
        }
        if *req.method() != Method::POST {
            return json_response(StatusCode::OK, &json!({"path": req.uri().path()}));
        }
        let body = match req.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => {
                return json_response(StatusCode::BAD_REQUEST, "the body broke off");
            }
        };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(body);
        let confirmation = calls.len();
        drop(calls);
        self.faults
            .after_call(json_response(StatusCode::OK, &json!({"confirmation": confirmation})))
    }
}
