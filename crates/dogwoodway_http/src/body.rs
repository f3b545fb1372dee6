//! Response bodies, and functions that build responses.

use std::{convert::Infallible, fmt};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::Serialize;
use tokio::sync::mpsc;

/// Why a body ends before it is complete. The server then closes the connection without ending the
/// body, so that the client does not take a truncated body for a complete one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyAborted(pub String);

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body broke off: {}", self.0)
    }
}

impl std::error::Error for BodyAborted {}

/// Response body; an error of its stream aborts the response.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Sends the chunks of a streamed body. The body ends when the sender is dropped, and the sender is
/// closed when the client disconnects.
pub type BodySender = mpsc::Sender<Bytes>;

/// Number of chunks buffered in a streamed body before its sender has to wait.
const BUFFERED_CHUNKS: usize = 16;

/// Builds a body whose content is complete.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Builds a streamed body and the sender of its chunks.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(BUFFERED_CHUNKS);
    let chunks = futures::stream::unfold(rx, |mut rx: mpsc::Receiver<Bytes>| async move {
        rx.recv().await.map(|chunk| (chunk, rx))
    });
    let frames = chunks.map(|chunk| Ok::<_, BodyAborted>(Frame::data(chunk)));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// Builds a response with a JSON body. A value that cannot be serialized gets status 500.
///
/// ```
/// let resp = dogwoodway_http::json_response(hyper::StatusCode::OK, &[1, 2]);
/// assert_eq!(resp.headers()["content-type"], "application/json");
/// ```
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize + ?Sized,
{
    match serde_json::to_vec(value) {
        Ok(json) => response(status, "application/json", json),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Builds a response with a plain-text body.
///
/// ```
/// let resp = dogwoodway_http::text_response(hyper::StatusCode::OK, "ready");
/// assert_eq!(resp.status(), 200);
/// ```
pub fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", text.to_owned())
}

fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut resp = Response::new(full_body(body));
    *resp.status_mut() = status;
    resp.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    resp
}
