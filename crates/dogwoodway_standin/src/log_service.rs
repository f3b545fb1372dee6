//! Stand-in of the platform's log.

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
    fault::{FaultSwitch, Faults},
    read_json,
};

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<LogRecord>,
}

/// Faults of the log only; `POST /fault` takes them together with [`Faults`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Forget all streams once, so that offsets start anew.
    pub wipe: bool,
    /// Drop this many of the oldest records of each stream once, as retention does.
    pub drop_records: usize,
    /// Refuse appends beyond this many a second with status 503; 0 means no limit.
    pub appends_per_s: u32,
}

/// Appends taken in the current second.
#[derive(Debug, Default)]
struct AppendRate {
    limit: u32,
    second: u64,
    taken: u32,
}

#[derive(Debug, Default)]
struct LogService {
    streams: Mutex<HashMap<String, Stream>>,
    rate: Mutex<AppendRate>,
    appended: Notify,
    faults: FaultSwitch,
}

/// Builds the handler of a log that keeps the newest `retained` records of each stream.
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
        if let Err(resp) = self.faults.before().await {
            return *resp;
        }
        let stream = path.strip_prefix("/streams/").and_then(|p| p.strip_suffix("/records"));
        let Some(stream) = stream else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        match *req.method() {
            Method::POST => match read_json::<AppendRequest>(req).await {
                Ok(append) => self.faults.after(self.append(stream, append, retained)),
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
        let own = ["wipe", "drop_records", "appends_per_s"];
        let own = own.iter().filter_map(|name| common.remove_entry(*name)).collect();
        let own = serde_json::from_value::<LogFaults>(Value::Object(own));
        let common = serde_json::from_value::<Faults>(Value::Object(common));
        match (own, common) {
            (Ok(own), Ok(common)) => {
                self.faults.replace(common);
                self.apply_faults(own);
                json_response(StatusCode::OK, &own)
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
            let dropped = faults.drop_records.min(stream.records.len());
            stream.records.drain(..dropped);
            stream.oldest += dropped as u64;
        }
        drop(streams);
        self.rate.lock().unwrap_or_else(PoisonError::into_inner).limit = faults.appends_per_s;
        self.appended.notify_waiters();
    }

    fn is_over_rate(&self) -> bool {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let second = Timestamp::now().as_millis() / 1_000;
        if rate.second != second {
            (rate.second, rate.taken) = (second, 0);
        }
        rate.taken += 1;
        rate.limit > 0 && rate.taken > rate.limit
    }

    fn append(&self, stream: &str, append: AppendRequest, retained: usize) -> Response<Body> {
        if self.is_over_rate() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "too many appends");
        }
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.next();
        for data in append.records {
            let offset = LogOffset(stream.next());
            stream.records.push_back(LogRecord { offset, data });
        }
        while stream.records.len() > retained {
            stream.records.pop_front();
            stream.oldest += 1;
        }
        drop(streams);
        self.appended.notify_waiters();
        json_response(StatusCode::OK, &AppendResponse { first: LogOffset(first) })
    }

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
            let mut appended = std::pin::pin!(self.appended.notified());
            appended.as_mut().enable();
            let answer = self.read_now(stream, from, limit);
            if !answer.records.is_empty()
                || tokio::time::timeout_at(deadline, appended).await.is_err()
            {
                return json_response(StatusCode::OK, &answer);
            }
        }
    }

    fn read_now(&self, stream: &str, from: u64, limit: usize) -> ReadResponse {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(stream.to_owned()).or_default();
        let skipped = from.saturating_sub(stream.oldest + 1) as usize;
        let found = stream.records.iter().skip(skipped).take(limit);
        ReadResponse {
            oldest: LogOffset(stream.oldest + 1),
            next: LogOffset(stream.next()),
            records: found.cloned().collect(),
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64 + 1
    }
}
