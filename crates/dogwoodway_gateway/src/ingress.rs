//! Connection limits and handlers of the two listeners: for clients, and for the platform's health
//! check.

use std::sync::Arc;

use dogwoodway_http::{Connections, Handler, ServerLimits, text_response};
use hyper::StatusCode;

use crate::{directory::TableWatch, relay::Relay};

/// Time without any packet from a client after which its connection is closed, in milliseconds.
const CLIENT_SILENCE_TIMEOUT_MS: u64 = 8_000;

/// Time for which a connection may stay idle if the configuration sets none, in milliseconds. It is
/// long enough that clients close their idle connections first.
const DEFAULT_IDLE_MS: u64 = 30_000;

/// Time within which a head must arrive after its first bytes if the configuration sets none, in
/// milliseconds. Heads usually arrive in one piece, or within a few repetitions of a lost packet.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 10_000;

/// Largest request head if the configuration sets no limit, in bytes.
const DEFAULT_HEAD_BYTES: usize = 32 << 10;

/// Smallest limit for a request head that a connection supports, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Returns the limits for client connections that are accepted now. How many there may be is up to
/// their [`Connections`].
///
/// The time limit for reading a head equals the idle limit, because it also covers the wait for the
/// next request. A head that has begun to arrive has a shorter one, so that clients that send heads
/// without end do not keep all connections.
pub(crate) fn client_limits(tables: &TableWatch) -> ServerLimits {
    let limits = tables.current().and_then(|table| table.limits());
    let max_header_bytes =
        limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_header_bytes as usize);
    ServerLimits {
        header_read_timeout_ms: limits
            .map_or(DEFAULT_IDLE_MS, |limits| u64::from(limits.idle_timeout_ms)),
        head_timeout_ms: Some(
            limits.map_or(DEFAULT_HEAD_TIMEOUT_MS, |limits| u64::from(limits.header_timeout_ms)),
        ),
        max_header_bytes: max_header_bytes.max(MIN_HEAD_BYTES),
        silence_timeout_ms: Some(CLIENT_SILENCE_TIMEOUT_MS),
        ..ServerLimits::default()
    }
}

/// Builds the handler of client requests.
pub(crate) fn client_handler(relay: Arc<Relay>) -> Handler {
    Arc::new(move |req| Box::pin(relay.clone().serve(req)))
}

/// Builds the handler of the health check, which responds on any path. A router that can accept no
/// further client is not ready.
pub(crate) fn readiness_handler(
    relay: Arc<Relay>,
    tables: TableWatch,
    clients: Arc<Connections>,
) -> Handler {
    Arc::new(move |_| {
        let is_draining = relay.drain.borrow().is_some();
        let resp = match tables.is_ready() && !is_draining && !clients.is_full() {
            true => text_response(StatusCode::OK, "ready"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
        Box::pin(std::future::ready(resp))
    })
}
