//! Client of the platform log.
//!
//! The log keeps streams of records. An append returns the offset of its first record; records are
//! kept for a limited time only. The protocol is JSON over HTTP:
//!
//! - `POST /streams/{stream}/records` with `{"records": [...]}` answers `{"first": offset}`.
//! - `GET /streams/{stream}/records?from=N&limit=M&wait_ms=W` answers
//!   `{"oldest": N, "next": N, "records": [{"offset": N, "data": ...}]}` and waits up to `wait_ms`
//!   for a record at or after `from`.

mod client;
mod platform_log;

pub use crate::{
    client::HttpLog,
    platform_log::{
        AppendRequest, AppendResponse, LogError, LogRecord, PlatformLog, ReadResponse, StreamName,
    },
};
