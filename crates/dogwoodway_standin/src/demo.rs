//! Client of the demo, which sends requests through entries and checks the answers.
//!
//! It checks that a shared prompt prefix is cached from the second request on, also across entries,
//! and that a reservation sent under one idempotency key through each entry is executed once.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodway_http::{HttpResponse, SseReader};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// Longest wait for an entry to answer a first request.
const READY_TIMEOUT_MS: u64 = 10_000;

/// Length of each answer, in tokens.
const ANSWER_TOKENS: u32 = 20;

/// Processes that the demo sends requests to.
#[derive(Clone, Debug)]
pub struct DemoTargets {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Base URLs of the stand-ins for plain services, which count the calls that they executed.
    pub services: Vec<String>,
    /// Bearer key of the team.
    pub key: String,
    /// Model to request.
    pub model: String,
}

/// Result of one request, a row of the printed table.
#[derive(Clone, Debug)]
struct Row {
    request: &'static str,
    entry: String,
    /// Whether some prompt tokens were cached; `None` if unknown or not applicable.
    cached: Option<bool>,
    first_token_ms: Option<u128>,
    outcome: String,
    is_expected: bool,
}

struct DemoClient {
    http: Client<HttpConnector, Full<Bytes>>,
    targets: DemoTargets,
}

/// Runs the demo and prints a table of the results; returns whether all of them are as expected.
pub async fn run_demo(targets: DemoTargets) -> bool {
    let http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let client = DemoClient { http, targets };
    let mut rows = Vec::new();
    for entry in client.targets.entries.clone() {
        if !client.wait_until_ready(&entry).await {
            let limit_s = READY_TIMEOUT_MS / 1_000;
            eprintln!("{entry} did not answer a request within {limit_s} s");
            return false;
        }
    }
    let catalogue = "spruce wedge, quarter sawn, 4 mm; ".repeat(2_000);
    for (i, entry) in client.targets.entries.clone().into_iter().enumerate() {
        for round in 0..2 {
            let expect_hit = i + round > 0;
            let case = format!("compare for build {i}-{round}");
            rows.push(
                client.chat("chat, shared prefix", &entry, &catalogue, &case, expect_hit).await,
            );
        }
    }
    let executed_before = client.executed_calls().await;
    let entries = client.targets.entries.clone();
    for entry in &entries {
        rows.push(client.reserve(entry).await);
    }
    let executed = client.executed_calls().await - executed_before;
    print_rows(&rows);
    println!("reservation under one key: sent {} times, run {executed} times", entries.len());
    rows.iter().all(|row| row.is_expected) && executed == 1
}

impl DemoClient {
    async fn wait_until_ready(&self, entry: &str) -> bool {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        while Instant::now() < deadline {
            let row = self.chat("ready?", entry, "warm-up", "hello", false).await;
            if row.outcome == "answered" {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn chat(
        &self,
        request: &'static str,
        entry: &str,
        catalogue: &str,
        case: &str,
        expect_hit: bool,
    ) -> Row {
        let body = json!({
            "model": self.targets.model, "stream": true, "max_tokens": ANSWER_TOKENS,
            "messages": [
                {"role": "system", "content": catalogue}, {"role": "user", "content": case},
            ],
        });
        let sent_at = Instant::now();
        let mut row = Row {
            request,
            entry: entry.to_owned(),
            cached: None,
            first_token_ms: None,
            outcome: "no answer".to_owned(),
            is_expected: false,
        };
        let url = format!("{entry}/v1/chat/completions");
        let resp = match self.send(Method::POST, &url, None, body.to_string()).await {
            Ok(resp) => resp,
            Err(e) => return Row { outcome: e, ..row },
        };
        let cached = resp.headers().get("x-dogwoodway-cached-tokens");
        row.cached = cached.map(|tokens| tokens != "0");
        if !resp.status().is_success() {
            return Row { outcome: resp.status().to_string(), ..row };
        }
        let mut events = SseReader::new(resp.into_body());
        let mut tokens = 0;
        while let Ok(Some(data)) = events.next().await {
            if data == "[DONE]" {
                row.outcome = "answered".to_owned();
                break;
            }
            let event: Value = serde_json::from_str(&data).unwrap_or_default();
            if let Some(error) = event.get("error") {
                row.outcome = error["type"].to_string();
            }
            if event["choices"][0]["delta"]["content"].as_str().is_some_and(|t| !t.is_empty()) {
                row.first_token_ms.get_or_insert(sent_at.elapsed().as_millis());
                tokens += 1;
            }
        }
        row.is_expected =
            row.outcome == "answered" && tokens == ANSWER_TOKENS && row.cached == Some(expect_hit);
        row
    }

    async fn reserve(&self, entry: &str) -> Row {
        let url = format!("{entry}/services/reservations");
        let body = r#"{"billet":"maple-17"}"#.to_owned();
        let resp = match self.send(Method::POST, &url, Some("demo-reservation-1"), body).await {
            Ok(resp) => read(resp).await,
            Err(e) => Err(e),
        };
        let (outcome, is_expected) = match resp {
            Ok(resp) if resp.status.is_success() => ("answered".to_owned(), true),
            Ok(resp) => (resp.status.to_string(), false),
            Err(e) => (e, false),
        };
        let entry = entry.to_owned();
        Row {
            request: "reservation",
            entry,
            cached: None,
            first_token_ms: None,
            outcome,
            is_expected,
        }
    }

    /// Returns the number of calls that the services have executed.
    async fn executed_calls(&self) -> usize {
        let mut total = 0;
        for service in &self.targets.services {
            let url = format!("{service}/calls");
            let Ok(resp) = self.send(Method::GET, &url, None, String::new()).await else {
                continue;
            };
            let Ok(resp) = read(resp).await else { continue };
            total += serde_json::from_slice::<Vec<Value>>(&resp.body).map_or(0, |c| c.len());
        }
        total
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        idempotency_key: Option<&str>,
        body: String,
    ) -> Result<Response<Incoming>, String> {
        let mut req = Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.targets.key));
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        let req = req.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())?;
        self.http.request(req).await.map_err(|e| e.to_string())
    }
}

async fn read(resp: Response<Incoming>) -> Result<HttpResponse, String> {
    let status = resp.status();
    let body = resp.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
    Ok(HttpResponse {
        status,
        content_type: String::new(),
        etag: String::new(),
        headers: hyper::HeaderMap::new(),
        body,
    })
}

fn print_rows(rows: &[Row]) {
    println!(
        "{:20} {:28} {:6} {:>11}  {:10} ok",
        "request", "entry", "prefix", "first token", "outcome"
    );
    for row in rows {
        let cached = match row.cached {
            Some(true) => "hit",
            Some(false) => "miss",
            None => "-",
        };
        let first = row.first_token_ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
        println!(
            "{:20} {:28} {:6} {:>11}  {:10} {}",
            row.request, row.entry, cached, first, row.outcome, row.is_expected
        );
    }
}
