//! The addresses on which the router is reached: by callers, and by the platform's health check.

use std::sync::Arc;

use dogwoodway_http::{Handler, ServerLimits, text_response};
use hyper::StatusCode;

use crate::{directory::TableWatch, relay::Relay};

/// Milliseconds without a sign of life after which a caller's connection is given up.
const CLIENT_SILENCE_TIMEOUT_MS: u64 = 8_000;

/// Milliseconds for which a connection may stay idle where the configuration does not say; idle
/// connections are closed by callers first.
const IDLE_MS: u64 = 30_000;

/// Bytes of a request's head where the configuration does not say.
const DEFAULT_HEAD_BYTES: usize = 32 << 10;

/// Connections of callers at once; the rest of the process needs some descriptors too.
pub(crate) const MAX_CLIENT_CONNECTIONS: usize = 2_000;

/// Least bytes of a request's head that a connection can be limited to.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Returns the limits for callers' connections that begin now. A connection waits for the next
/// request as long as it may be idle; heads arrive in one piece as a rule, so that this bounds them
/// as well.
pub(crate) fn client_limits(tables: &TableWatch) -> ServerLimits {
    let bounds = tables.current().and_then(|table| table.bounds());
    let max_header_bytes = bounds.map_or(DEFAULT_HEAD_BYTES, |bounds| bounds.max_header_bytes as usize);
    ServerLimits {
        connections: MAX_CLIENT_CONNECTIONS,
        header_read_ms: bounds.map_or(IDLE_MS, |bounds| u64::from(bounds.idle_timeout_ms)),
        header_bytes: max_header_bytes.max(MIN_HEAD_BYTES),
        silent_for_ms: Some(CLIENT_SILENCE_TIMEOUT_MS),
    }
}

/// Builds the handler of callers' requests.
pub(crate) fn client_handler(relay: Arc<Relay>) -> Handler {
    Arc::new(move |req| Box::pin(relay.clone().serve(req)))
}

/// Builds the handler of the health check, which may be asked at any path.
pub(crate) fn readiness_handler(relay: Arc<Relay>, tables: TableWatch) -> Handler {
    Arc::new(move |_| {
        let is_draining = relay.is_draining.load(std::sync::atomic::Ordering::Relaxed);
        let resp = match tables.is_ready() && !is_draining {
            true => text_response(StatusCode::OK, "ready"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
        Box::pin(std::future::ready(resp))
    })
}
