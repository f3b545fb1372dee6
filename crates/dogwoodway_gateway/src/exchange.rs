//! One request to a backend server, up to the head of its answer.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, body::Incoming, http};

use crate::connection::Connection;

/// The head of an answer, and what brings the rest of it.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// Nothing was sent.
    Unreachable(String),
    /// The request may have run.
    ResponseLost(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Unreachable(e) => write!(f, "not reached: {e}"),
            ExchangeError::ResponseLost(e) => write!(f, "connection lost: {e}"),
        }
    }
}

/// Sends a request, on an idle connection if there is one, and waits for the head of the answer.
pub(crate) async fn exchange(
    idle: Option<Connection>,
    address: SocketAddr,
    head: http::request::Parts,
    body: Bytes,
) -> Result<BackendResponse, ExchangeError> {
    let mut req = Request::from_parts(head, Full::new(body));
    if let Some(mut connection) = idle {
        match connection.sender.try_send_request(req).await {
            Ok(resp) => return Ok(backend_response(resp, connection)),
            // The connection was closed before anything was written to it.
            Err(mut e) => match e.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(ExchangeError::ResponseLost(e.into_error().to_string())),
            },
        }
    }
    let mut connection =
        Connection::open(address).await.map_err(|e| ExchangeError::Unreachable(e.to_string()))?;
    match connection.sender.try_send_request(req).await {
        Ok(resp) => Ok(backend_response(resp, connection)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::Unreachable(e.into_error().to_string())),
            None => Err(ExchangeError::ResponseLost(e.into_error().to_string())),
        },
    }
}

fn backend_response(resp: http::Response<Incoming>, connection: Connection) -> BackendResponse {
    let (head, body) = resp.into_parts();
    BackendResponse { head, body, connection }
}
