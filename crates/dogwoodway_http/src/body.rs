//! Response bodies, and functions that build responses.

use std::{
    collections::VecDeque,
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header,
};
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

/// Sends the chunks of a streamed body.
///
/// The body is complete only after [`BodySender::finish`]. If the sender is dropped before, for
/// example because its task panics, the body is aborted.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<BodyPart>,
}

/// Error of a write to a body whose client has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnected;

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

impl BodySender {
    /// Sends a chunk, once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the client has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ClientDisconnected> {
        self.tx.send(BodyPart::Chunk(chunk)).await.map_err(|_| ClientDisconnected)
    }

    /// Marks the body as complete. If the client has disconnected, this has no effect.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// use http_body_util::BodyExt;
    ///
    /// let (tx, body) = dogwoodway_http::channel_body();
    /// tx.send("whole".into()).await.unwrap();
    /// tx.finish().await;
    /// assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
    /// # }
    /// ```
    pub async fn finish(self) {
        // Fails only if the client has disconnected.
        let _ = self.tx.send(BodyPart::End).await;
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Number of chunks buffered in a streamed body before its sender has to wait.
const BUFFERED_CHUNKS: usize = 16;

/// Builds a body whose content is complete.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Builds a body whose content is complete, in pieces that are dropped one by one when they are sent.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use http_body_util::BodyExt;
///
/// let body = dogwoodway_http::pieces_body(["who".into(), "le".into()].into());
/// assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
/// # }
/// ```
pub fn pieces_body(pieces: VecDeque<Bytes>) -> Body {
    Pieces(pieces).boxed_unsync()
}

struct Pieces(VecDeque<Bytes>);

impl HttpBody for Pieces {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Poll::Ready(self.0.pop_front().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.iter().map(|piece| piece.len() as u64).sum())
    }
}

/// Builds a streamed body and the sender of its chunks.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(BUFFERED_CHUNKS);
    let frames = futures::stream::unfold(Some(rx), |rx: Option<mpsc::Receiver<BodyPart>>| async {
        let mut rx = rx?;
        match rx.recv().await {
            Some(BodyPart::Chunk(chunk)) => Some((Ok(Frame::data(chunk)), Some(rx))),
            Some(BodyPart::End) => None,
            None => Some((Err(BodyAborted("its sender was dropped".to_owned())), None)),
        }
    });
    (BodySender { tx }, StreamBody::new(frames).boxed_unsync())
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
