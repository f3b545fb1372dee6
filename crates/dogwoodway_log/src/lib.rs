//! Client of the platform log.
//!
//! The log stores records in named streams. Each record has an offset in its stream, and is deleted
//! after a limited time. The protocol is JSON over HTTP:
//!
//! - `POST /streams/{stream}/records` with `{"records": [...]}` appends records and returns
//!   `{"first": offset}`, the offset of the first one.
//! - `GET /streams/{stream}/records?from=N&limit=M&wait_ms=W` returns
//!   `{"oldest": N, "next": N, "records": [{"offset": N, "data": ...}]}`. It is a long poll that
//!   waits up to `wait_ms` milliseconds for a record at or after `from`.

mod client;
mod platform_log;

pub use crate::{
    client::HttpLog,
    platform_log::{
        AppendRequest, AppendResponse, LogError, LogRecord, PlatformLog, ReadResponse, StreamName,
    },
};
