//! Error responses: status, machine-readable code and time for a retry.

use dogwoodway_http::{Body, json_response};
use dogwoodway_types::{NotRunReason, Outcome, RequestId, Timestamp};
use hyper::{Response, StatusCode, header};
use serde_json::{Value, json};

/// Builds the error response for a request that ended without an answer. It has a `retry-after`
/// header, counted from `now`, if the outcome states when a retry may succeed.
///
/// ```
/// use dogwoodway_types::{NotRunReason, Outcome, RequestId, Timestamp};
///
/// let outcome = Outcome::NotRun { reason: NotRunReason::TeamLimit, retry_at: Some(Timestamp(1)) };
/// let resp = dogwoodway_caller::error_response(&outcome, RequestId(1), Timestamp(0));
/// assert_eq!(resp.status(), 429);
/// assert_eq!(resp.headers()["retry-after"], "1");
/// ```
pub fn error_response(outcome: &Outcome, id: RequestId, now: Timestamp) -> Response<Body> {
    let mut resp = json_response(status_of(outcome), &error_body(outcome, id));
    if let Some(seconds) = retry_after(outcome, now) {
        resp.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    resp
}

/// Builds the JSON error object of an outcome: the body of an error response, or the last event of
/// a stream that has already begun.
pub(crate) fn error_body(outcome: &Outcome, id: RequestId) -> Value {
    let (kind, message) = match outcome {
        Outcome::Answered => ("answered", String::new()),
        Outcome::NotRun { reason, .. } => ("not-run", format!("the request was not run: {reason}")),
        Outcome::Unknown { message } => ("unknown", message.clone()),
        Outcome::Failed { message } => ("failed", message.clone()),
    };
    let code = match outcome {
        Outcome::NotRun { reason, .. } => reason.as_str(),
        _ => kind,
    };
    json!({"error": {
        "message": message, "type": kind, "code": code, "request_id": id.to_string(),
    }})
}

/// Builds the response to a request that is rejected before it is dispatched, such as a malformed
/// or unauthenticated one.
pub(crate) fn invalid_request(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let body = json!({"error": {
        "message": message, "type": "invalid_request_error", "code": code,
    }});
    json_response(status, &body)
}

fn status_of(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun { reason: NotRunReason::TeamLimit, .. } => StatusCode::TOO_MANY_REQUESTS,
        Outcome::NotRun { reason: NotRunReason::Duplicate, .. } => StatusCode::CONFLICT,
        Outcome::NotRun { reason: NotRunReason::KeyReused, .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Failed { .. } => StatusCode::BAD_GATEWAY,
    }
}

fn retry_after(outcome: &Outcome, now: Timestamp) -> Option<u64> {
    let Outcome::NotRun { retry_at: Some(retry_at), .. } = outcome else { return None };
    Some((*retry_at - now).as_secs_f64().ceil().max(1.0) as u64)
}
