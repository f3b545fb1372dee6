//! Sends one HTTP request to a backend server and receives the head of its response.

use std::{fmt, net::SocketAddr};

use dogwoodway_http::BodyFraming;
use hyper::{Request, body::Incoming, http};

use crate::{
    connection::{Connection, was_accepted},
    segmented_bytes::{SegmentedBody, SegmentedBytes},
};

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    /// Whether the request was the first one on the connection.
    pub(crate) is_first_on_connection: bool,
}

impl BackendResponse {
    /// Returns how the end of the body is marked.
    pub(crate) fn framing(&self) -> BodyFraming {
        BodyFraming::of_response(&self.head.headers, &self.body)
    }
}

/// Why there is no response. The difference decides whether the request may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No connection could be made; the server cannot have run the request.
    Unreachable(String),
    /// A new connection was closed before any part of the request was sent; the server cannot have run
    /// it.
    ConnectionRejected(String),
    /// The request was sent, at least in part; the server may have run it.
    ResponseLost(String),
    /// The request was withdrawn from an engine because it had not started when its weights became too
    /// old; the engine may have started it just before.
    Withdrawn,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Unreachable(e) => write!(f, "backend server could not be reached: {e}"),
            ExchangeError::ConnectionRejected(e) => {
                write!(f, "backend server took no connection: {e}")
            }
            ExchangeError::ResponseLost(e) => write!(f, "connection lost before the response: {e}"),
            ExchangeError::Withdrawn => {
                write!(f, "request not started before its weights became too old")
            }
        }
    }
}

/// Sends a request and waits for the head of the response. Uses the idle connection if there is
/// one, and opens a new one if that turns out to be closed.
pub(crate) async fn exchange(
    idle: Option<Connection>,
    address: SocketAddr,
    head: http::request::Parts,
    body: SegmentedBytes,
) -> Result<BackendResponse, ExchangeError> {
    let mut req = Request::from_parts(head, SegmentedBody::new(body));
    if let Some(mut connection) = idle {
        match connection.send(req).await {
            Ok(resp) => return Ok(backend_response(resp, connection, false)),
            // The request comes back only if the connection was closed before anything was written
            // to it; it can then be sent again on a new one.
            Err(mut e) => match e.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(ExchangeError::ResponseLost(e.into_error().to_string())),
            },
        }
    }
    let mut connection = Connection::open(address).await.map_err(|e| match was_accepted(&e) {
        true => ExchangeError::ConnectionRejected(e.to_string()),
        false => ExchangeError::Unreachable(e.to_string()),
    })?;
    match connection.send(req).await {
        Ok(resp) => Ok(backend_response(resp, connection, true)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::ConnectionRejected(e.into_error().to_string())),
            None => Err(ExchangeError::ResponseLost(e.into_error().to_string())),
        },
    }
}

fn backend_response(
    resp: http::Response<Incoming>,
    connection: Connection,
    is_first_on_connection: bool,
) -> BackendResponse {
    let (head, body) = resp.into_parts();
    BackendResponse { head, body, connection, is_first_on_connection }
}
