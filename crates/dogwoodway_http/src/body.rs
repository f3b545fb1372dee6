//! Response bodies.

use std::{convert::Infallible, fmt};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::Serialize;
use tokio::sync::mpsc;

/// The reason why a body breaks off; the connection is then closed, so that what was sent does not
/// look complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyAborted(pub String);

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body broke off: {}", self.0)
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Sends the chunks of a streamed body; the body ends when it is dropped.
pub type BodySender = mpsc::Sender<Bytes>;

/// Chunks that a streamed body holds before its sender has to wait.
const CHANNEL_CHUNKS: usize = 16;

/// Builds a body of known content.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Builds a streamed body and its sender.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(CHANNEL_CHUNKS);
    let chunks = futures::stream::unfold(rx, |mut rx: mpsc::Receiver<Bytes>| async move {
        rx.recv().await.map(|chunk| (chunk, rx))
    });
    let frames = chunks.map(|chunk| Ok::<_, BodyAborted>(Frame::data(chunk)));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// Builds a response with a JSON body.
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
