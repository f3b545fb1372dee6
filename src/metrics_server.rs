//! Metrics in the Prometheus text format, on an address for operators.

use std::{fmt, net::SocketAddr, sync::Arc};

use dogwoodway_http::{Handler, ServerLimits, serve, text_response};
use hyper::StatusCode;
use metrics::{Unit, describe_counter, describe_gauge};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};
use tokio::net::TcpListener;

/// Requests of callers that have ended, by outcome.
pub(crate) const REQUESTS: &str = "dogwoodway_requests_total";

/// Tokens that teams have used, by team and kind.
pub(crate) const TEAM_TOKENS: &str = "dogwoodway_team_tokens_total";
/// Attempts that were made, first ones and retries.
pub(crate) const ATTEMPTS: &str = "dogwoodway_attempts_total";

/// Appends to the log for requests that must not run twice.
pub(crate) const CLAIM_APPENDS: &str = "dogwoodway_claim_appends_total";

/// Requests that may not run, because they were there when backend servers crashed.
pub(crate) const QUARANTINED: &str = "dogwoodway_quarantined_requests";

/// Retries that the retry budget did not allow.
pub(crate) const RETRIES_DENIED: &str = "dogwoodway_retries_denied_total";

/// The reason why metrics cannot be served.
#[derive(Debug)]
pub(crate) enum MetricsError {
    /// A recorder is installed already.
    Recorder(BuildError),
    /// The address could not be bound.
    Bind(std::io::Error),
}

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MetricsError::Recorder(e) => write!(f, "{e}"),
            MetricsError::Bind(e) => write!(f, "the address could not be bound: {e}"),
        }
    }
}

/// Installs the process-wide recorder and serves `GET /metrics` at `address`, if one is set.
pub(crate) async fn start(address: Option<SocketAddr>) -> Result<(), MetricsError> {
    let page = PrometheusBuilder::new().install_recorder().map_err(MetricsError::Recorder)?;
    describe();
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(address).await.map_err(MetricsError::Bind)?;
    let handler: Handler = Arc::new(move |req| {
        let resp = match req.uri().path() {
            "/metrics" => text_response(StatusCode::OK, &page.render()),
            _ => text_response(StatusCode::NOT_FOUND, "metrics are at /metrics"),
        };
        Box::pin(std::future::ready(resp))
    });
    let limits = ServerLimits::default();
    tokio::spawn(serve(listener, limits, handler, std::future::pending()));
    Ok(())
}

fn describe() {
    describe_counter!(CLAIM_APPENDS, Unit::Count, "Appends to the log for claims");
    describe_gauge!(QUARANTINED, Unit::Count, "Requests in quarantine after crashes");
    describe_counter!(REQUESTS, Unit::Count, "Requests of callers that have ended, by outcome");
    describe_counter!(TEAM_TOKENS, Unit::Count, "Tokens that teams have used, by team and kind");
    describe_counter!(ATTEMPTS, Unit::Count, "Attempts that were made, first ones and retries");
    describe_counter!(RETRIES_DENIED, Unit::Count, "Retries that the retry budget did not allow");
}
