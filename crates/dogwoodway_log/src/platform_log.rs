//! Interface to the platform log, and the messages of its protocol.

use std::fmt;

use dogwoodway_types::{ClaimPartition, LogOffset};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stream of the log that the system uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamName {
    /// Changes of the configuration, and snapshots of it.
    Config,
    /// Claims on requests that must not run twice, in one of several partitions.
    Claims(ClaimPartition),
    /// Leases of agents on their backend servers, and leases of loading slots.
    Leases,
    /// Crashes and answers that decide which requests are quarantined.
    Quarantine,
}

impl StreamName {
    /// Returns the name of the stream in the protocol.
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

/// A record read from a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: LogOffset,
    /// Content of the record.
    pub data: Value,
}

/// Body of an append request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Contents of the records, which are appended as one batch.
    pub records: Vec<Value>,
}

/// Response to an append request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first appended record; the others follow without gaps.
    pub first: LogOffset,
}

/// Response to a read request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Offset of the oldest record in the stream that has not been deleted, or `next` if there is
    /// none.
    pub oldest: LogOffset,
    /// Offset that the next appended record will have.
    pub next: LogOffset,
    /// Records at or after the requested offset, in order.
    pub records: Vec<LogRecord>,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log cannot be reached or rejected the call, so the call had no effect.
    Unavailable(String),
    /// There was no valid response, so the call may have taken effect.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Unavailable(e) => write!(f, "log unavailable: {e}"),
            LogError::Unknown(e) => write!(f, "no valid response from the log: {e}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Access to the platform log.
pub trait PlatformLog: Send + Sync {
    /// Appends records to a stream as one batch.
    fn append(
        &self,
        stream: StreamName,
        records: Vec<Value>,
    ) -> BoxFuture<'_, Result<AppendResponse, LogError>>;

    /// Reads at most `limit` records from offset `from` on; a long poll that waits up to `wait_ms`
    /// milliseconds for the first one.
    fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: u32,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<ReadResponse, LogError>>;
}
