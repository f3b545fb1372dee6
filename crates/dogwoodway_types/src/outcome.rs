//! Final outcome of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Outcome of a request, as reported to its caller.
///
/// The messages, and the error texts that they quote, are sent to callers as they are. Do not reword
/// them: callers may search for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The request was never passed to a backend server, and never will be.
    NotRun {
        /// Why it was refused.
        reason: NotRunReason,
        /// Earliest time at which a retry may succeed, `None` if there is none or it is not known.
        retry_at: Option<Timestamp>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why it is not known.
        message: String,
    },
    /// The request ran, at least in part, but has no complete answer.
    Failed {
        /// What went wrong.
        message: String,
    },
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No known backend server satisfies the selector that applies to the request.
    NoBackendServer,
    /// Every eligible backend server is at capacity or could not be reached.
    Overloaded,
    /// The deadline has passed, or would pass before the answer is complete.
    DeadlinePassed,
    /// The team has reached its token budget or its limit of requests in flight.
    TeamLimit,
    /// The process has not received a configuration yet.
    NoConfiguration,
    /// The request was routed under a configuration that is no longer in force.
    StaleConfiguration,
    /// The backend server restarted or serves other weights than the request was routed for.
    StaleBackendServer,
    /// The backend server or the process that handles the request is shutting down.
    Leaving,
    /// The platform log is unavailable; without it, the request could run twice.
    LogUnavailable,
    /// Another copy of the request, with the same idempotency key, is running or has run.
    Duplicate,
    /// The idempotency key was already used for a request with different content.
    KeyReused,
    /// The request is suspected of crashing backend servers.
    Quarantined,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// It is not known which software version began the stream that the request continues, and the
    /// service has several.
    UnknownStreamOrigin,
}

impl NotRunReason {
    /// Returns the machine-readable code that errors and metrics use for the reason.
    ///
    /// ```
    /// assert_eq!(dogwoodway_types::NotRunReason::TeamLimit.as_str(), "team-limit");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::NoBackendServer => "no-backend-server",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::DeadlinePassed => "deadline-passed",
            NotRunReason::TeamLimit => "team-limit",
            NotRunReason::NoConfiguration => "no-configuration",
            NotRunReason::StaleConfiguration => "stale-configuration",
            NotRunReason::StaleBackendServer => "stale-backend-server",
            NotRunReason::Leaving => "leaving",
            NotRunReason::LogUnavailable => "log-unavailable",
            NotRunReason::Duplicate => "duplicate",
            NotRunReason::KeyReused => "key-reused",
            NotRunReason::Quarantined => "quarantined",
            NotRunReason::Cancelled => "cancelled",
            NotRunReason::UnknownStreamOrigin => "unknown-stream-origin",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
