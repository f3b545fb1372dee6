//! The border trait of the platform log and its messages.

use std::fmt;

use dogwoodway_types::{ClaimPartition, LogOffset};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Streams that the system keeps on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamName {
    /// Changes and snapshots of the configuration.
    Config,
    /// One partition of the claims of requests that must not run twice.
    Claims(ClaimPartition),
    /// Leases of agents and of loading slots.
    Leases,
    /// Quarantined requests.
    Quarantine,
}

impl StreamName {
    /// Returns the name used in the protocol.
    ///
    /// ```
    /// assert_eq!(dogwoodway_log::StreamName::Config.name(), "config");
    /// ```
    pub fn name(self) -> String {
        match self {
            StreamName::Config => "config".to_owned(),
            StreamName::Claims(partition) => format!("claims-{}", partition.0),
            StreamName::Leases => "leases".to_owned(),
            StreamName::Quarantine => "quarantine".to_owned(),
        }
    }
}

/// One record as read from a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Content of the record.
    pub data: Value,
}

/// Body of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Contents of the records, appended together.
    pub records: Vec<Value>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record; the others follow without gaps.
    pub first: LogOffset,
}

/// Answer to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Offset of the oldest record that is kept, or `next` if there is none.
    pub oldest: LogOffset,
    /// Offset that the next append will get.
    pub next: LogOffset,
    /// Records found, in order.
    pub records: Vec<LogRecord>,
}

/// The reason why a call to the log has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The call cannot have taken effect.
    Unavailable(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Unavailable(e) => write!(f, "the log is unavailable: {e}"),
            LogError::Unknown(e) => write!(f, "the log's answer was lost: {e}"),
        }
    }
}

impl std::error::Error for LogError {}

/// The platform log.
pub trait PlatformLog: Send + Sync {
    /// Appends records to a stream as one group.
    fn append(
        &self,
        stream: StreamName,
        records: Vec<Value>,
    ) -> BoxFuture<'_, Result<AppendResponse, LogError>>;

    /// Reads at most `limit` records from offset `from` on, waiting up to `wait_ms` milliseconds
    /// for the first.
    fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: u32,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<ReadResponse, LogError>>;
}
