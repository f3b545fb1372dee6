//! Names of the metrics, and the HTTP server that exposes them in the Prometheus text format.

use std::{fmt, net::SocketAddr, sync::Arc};

use dogwoodway_http::{Handler, ServerLimits, serve, text_response};
use hyper::StatusCode;
use metrics::{Unit, describe_counter, describe_gauge};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};
use tokio::net::TcpListener;

/// Counter of callers' requests that have ended, by outcome.
pub(crate) const REQUESTS: &str = "dogwoodway_requests_total";

/// Counter of tokens that teams have used, by team and kind.
pub(crate) const TEAM_TOKENS: &str = "dogwoodway_team_tokens_total";

/// Counter of attempts, including retries.
pub(crate) const ATTEMPTS: &str = "dogwoodway_attempts_total";

/// Counter of append calls to the log for requests that must not run twice. One call may carry
/// several claims and outcomes.
pub(crate) const CLAIM_APPENDS: &str = "dogwoodway_claim_appends_total";

/// Gauge of the requests that must not run at present, because engines crashed while they ran them.
pub(crate) const QUARANTINED_REQUESTS: &str = "dogwoodway_quarantined_requests";

/// Counter of retries that were denied because the retry budget was exhausted.
pub(crate) const RETRIES_DENIED: &str = "dogwoodway_retries_denied_total";

/// Reason why metrics cannot be served.
#[derive(Debug)]
pub(crate) enum MetricsError {
    /// A metrics recorder is already installed in the process.
    Recorder(BuildError),
    /// The listen address cannot be bound.
    Bind(std::io::Error),
}

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MetricsError::Recorder(e) => write!(f, "{e}"),
            MetricsError::Bind(e) => write!(f, "cannot bind the listen address: {e}"),
        }
    }
}

/// Installs the process-wide metrics recorder and, if an address is given, serves `GET /metrics`
/// there.
pub(crate) async fn start(address: Option<SocketAddr>) -> Result<(), MetricsError> {
    let handle = PrometheusBuilder::new().install_recorder().map_err(MetricsError::Recorder)?;
    describe_metrics();
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(address).await.map_err(MetricsError::Bind)?;
    let handler: Handler = Arc::new(move |req| {
        let resp = match req.uri().path() {
            "/metrics" => text_response(StatusCode::OK, &handle.render()),
            _ => text_response(StatusCode::NOT_FOUND, "metrics are at /metrics"),
        };
        Box::pin(std::future::ready(resp))
    });
    let limits = ServerLimits::default();
    tokio::spawn(serve(listener, limits, handler, std::future::pending()));
    Ok(())
}

fn describe_metrics() {
    describe_counter!(CLAIM_APPENDS, Unit::Count, "Appends to the log for claims");
    describe_gauge!(QUARANTINED_REQUESTS, Unit::Count, "Requests in quarantine after crashes");
    describe_counter!(REQUESTS, Unit::Count, "Requests of callers that have ended, by outcome");
    describe_counter!(TEAM_TOKENS, Unit::Count, "Tokens that teams have used, by team and kind");
    describe_counter!(ATTEMPTS, Unit::Count, "Attempts that were made, first ones and retries");
    describe_counter!(RETRIES_DENIED, Unit::Count, "Retries that the retry budget did not allow");
}
