//! Stand-in for the platform log.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dogwoodway_http::{Body, Handler, json_response, text_response};
use dogwoodway_log::{AppendRequest, AppendResponse, LogRecord, ReadResponse};
use dogwoodway_types::{LogOffset, Timestamp};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::sync::Notify;

use crate::{
    fault::{FaultInjector, Faults},
    read_json,
};

#[derive(Debug, Default)]
struct Stream {
    /// Number of the oldest records that were deleted. Offsets start at 1, so the offset of the
    /// oldest retained record is one more.
    deleted: u64,
    records: VecDeque<LogRecord>,
}

/// Faults that only the log has; `POST /fault` takes them together with [`Faults`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Delete all streams once, so that offsets start at 1 again.
    pub wipe: bool,
    /// Delete this many of the oldest records of each stream once, as if their retention had ended.
    pub drop_records: usize,
    /// Maximum number of appends to all streams in one second; any further ones in that second are
    /// refused with status 503. 0 means no limit.
    pub appends_per_s: u32,
}

/// Counts the appends of the current second, refused ones included, against a limit.
#[derive(Debug, Default)]
struct AppendRateLimit {
    limit: u32,
    second: u64,
    appends: u32,
}

#[derive(Debug, Default)]
struct LogService {
    streams: Mutex<HashMap<String, Stream>>,
    rate_limit: Mutex<AppendRateLimit>,
    /// Wakes reads that wait for records of any stream.
    appended: Notify,
    faults: FaultInjector,
}

/// Creates the handler of an empty log that retains the newest `retained` records of each stream.
///
/// ```
/// let _handler = dogwoodway_standin::log_handler(10);
/// ```
pub fn log_handler(retained: usize) -> Handler {
    let log = Arc::new(LogService::default());
    Arc::new(move |req| {
        let log = log.clone();
        Box::pin(async move { log.handle(req, retained).await })
    })
}

impl LogService {
    async fn handle(&self, req: Request<Incoming>, retained: usize) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/fault" {
            return self.set_faults(req).await;
        }
        if let Err(resp) = self.faults.before_call().await {
            return *resp;
        }
        let stream = path.strip_prefix("/streams/").and_then(|p| p.strip_suffix("/records"));
        let Some(stream) = stream else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        match *req.method() {
            Method::POST => match read_json::<AppendRequest>(req).await {
                Ok(append) => self.faults.after_call(self.append(stream, append, retained)),
                Err(resp) => *resp,
            },
            _ => self.read(stream, req.uri().query().unwrap_or_default()).await,
        }
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let mut common = match read_json::<Map<String, Value>>(req).await {
            Ok(fields) => fields,
            Err(resp) => return *resp,
        };
        let log_only = ["wipe", "drop_records", "appends_per_s"];
        let log_only = log_only.iter().filter_map(|name| common.remove_entry(*name)).collect();
        let log_only = serde_json::from_value::<LogFaults>(Value::Object(log_only));
        let common = serde_json::from_value::<Faults>(Value::Object(common));
        match (log_only, common) {
            (Ok(log_only), Ok(common)) => {
                self.faults.set(common);
                self.apply_faults(log_only);
                json_response(StatusCode::OK, &log_only)
            }
            (Err(e), _) | (_, Err(e)) => text_response(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn apply_faults(&self, faults: LogFaults) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.wipe {
            streams.clear();
        }
        for stream in streams.values_mut() {
            let count = faults.drop_records.min(stream.records.len());
            stream.records.drain(..count);
            stream.deleted += count as u64;
        }
        drop(streams);
        self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner).limit = faults.appends_per_s;
        self.appended.notify_waiters();
    }

    /// Counts an append and returns whether it exceeds the rate limit.
    fn exceeds_rate_limit(&self) -> bool {
        let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        let second = Timestamp::now().as_millis() / 1_000;
        if rate_limit.second != second {
            (rate_limit.second, rate_limit.appends) = (second, 0);
        }
        rate_limit.appends += 1;
        rate_limit.limit > 0 && rate_limit.appends > rate_limit.limit
    }

    fn append(&self, stream: &str, append: AppendRequest, retained: usize) -> Response<Body> {
        if self.exceeds_rate_limit() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "too many appends");
        }
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.next_offset();
        for data in append.records {
            let offset = LogOffset(stream.next_offset());
            stream.records.push_back(LogRecord { offset, data });
        }
        while stream.records.len() > retained {
            stream.records.pop_front();
            stream.deleted += 1;
        }
        drop(streams);
        self.appended.notify_waiters();
        json_response(StatusCode::OK, &AppendResponse { first: LogOffset(first) })
    }

    /// Reads records, waiting up to the query's `wait_ms` for the first.
    async fn read(&self, stream: &str, query: &str) -> Response<Body> {
        let param = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name);
            pair.and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let from = param("from").unwrap_or(1);
        let limit = param("limit").unwrap_or(100) as usize;
        let wait = Duration::from_millis(param("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            // Registered before the stream is read, so that an append in between is not missed.
            let mut appended = std::pin::pin!(self.appended.notified());
            appended.as_mut().enable();
            let resp = self.read_available(stream, from, limit);
            if !resp.records.is_empty()
                || tokio::time::timeout_at(deadline, appended).await.is_err()
            {
                return json_response(StatusCode::OK, &resp);
            }
        }
    }

    fn read_available(&self, stream: &str, from: u64, limit: usize) -> ReadResponse {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(stream.to_owned()).or_default();
        let skipped = from.saturating_sub(stream.deleted + 1) as usize;
        let records = stream.records.iter().skip(skipped).take(limit);
        ReadResponse {
            oldest: LogOffset(stream.deleted + 1),
            next: LogOffset(stream.next_offset()),
            records: records.cloned().collect(),
        }
    }
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.deleted + self.records.len() as u64 + 1
    }
}
