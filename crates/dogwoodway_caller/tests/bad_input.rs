//! Malformed, oversized and unauthenticated requests get a typed error and harm nothing.

use std::{net::SocketAddr, sync::Arc};

use dogwoodway_caller::{
    AnswerEvent, AnswerReceiver, CallerApi, CallerLimits, CallerRequest, Dispatcher, Readiness,
};
use dogwoodway_http::{ServerLimits, serve};
use dogwoodway_types::{FinishReason, ModelName, RequestId, TeamName, Usage};
use futures::{FutureExt, future::BoxFuture};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Answers every request with one word.
struct OneWord;

impl Dispatcher for OneWord {
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>> {
        async move { (key == "sk-1").then(|| TeamName::try_from("t").unwrap()) }.boxed()
    }

    fn models(&self, _: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async { vec![ModelName::try_from("m").unwrap()] }.boxed()
    }

    fn submit(&self, _: CallerRequest) -> AnswerReceiver {
        let (tx, rx) = mpsc::channel(4);
        let end = AnswerEvent::End { finish: FinishReason::Stop, usage: Usage::default() };
        for event in [AnswerEvent::Started { cached_tokens: 0 }, AnswerEvent::Text("w".into()), end]
        {
            tx.try_send(event).unwrap();
        }
        rx
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async { Readiness::Ready }.boxed()
    }
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = CallerLimits { max_body_bytes: 1_000, body_read_timeout_ms: 200 };
    let api = CallerApi::new(Arc::new(OneWord), limits, || RequestId(1));
    let server =
        serve(listener, ServerLimits::default(), api.into_handler(), std::future::pending());
    tokio::spawn(server);
    address
}

/// Sends raw bytes and returns the status and the body of the answer.
async fn exchange(address: SocketAddr, request: &str) -> (u16, Value) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).await.unwrap_or(0);
        answer.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(n > 0, "the server closed without an answer: {text:?}");
            continue;
        };
        let length = head.to_lowercase().lines().find_map(|line| {
            line.strip_prefix("content-length: ").and_then(|n| n.parse::<usize>().ok())
        });
        if n == 0 || length.is_some_and(|length| body.len() >= length) {
            let status = head.split(' ').nth(1).unwrap().parse().unwrap();
            return (status, serde_json::from_str(body).unwrap_or_default());
        }
    }
}

fn post(key: &str, headers: &str, length: usize, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn chat(key: &str, headers: &str, body: &str) -> String {
    post(key, headers, body.len(), body)
}

const GOOD: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;

async fn assert_refused(request: &str, status: u16, code: &str) {
    let address = start().await;
    let (got, body) = exchange(address, request).await;
    assert_eq!((got, body["error"]["code"].as_str()), (status, Some(code)), "{body}");
    let (got, body) = exchange(address, &chat("sk-1", "", GOOD)).await;
    assert_eq!((got, body["choices"][0]["message"]["content"].as_str()), (200, Some("w")));
}

#[tokio::test]
async fn malformed_json_is_named() {
    assert_refused(&chat("sk-1", "", "{\"model\":"), 400, "bad-request").await;
    assert_refused(&chat("sk-1", "", r#"{"model":"m"}"#), 400, "bad-request").await;
    let no_messages = r#"{"model":"m","messages":[]}"#;
    assert_refused(&chat("sk-1", "", no_messages), 400, "bad-request").await;
}

#[tokio::test]
async fn wrong_or_missing_key_is_refused() {
    assert_refused(&chat("sk-2", "", GOOD), 401, "bad-key").await;
    let bare = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{GOOD}",
        GOOD.len()
    );
    assert_refused(&bare, 401, "bad-key").await;
}

#[tokio::test]
async fn unknown_model_is_refused() {
    let body = GOOD.replace("\"m\"", "\"other\"");
    assert_refused(&chat("sk-1", "", &body), 404, "model-not-found").await;
}

#[tokio::test]
async fn announced_large_body_is_refused_before_it_is_sent() {
    assert_refused(&post("sk-1", "", 100_000_000, "{"), 413, "body-too-large").await;
}

#[tokio::test]
async fn chunked_large_body_is_refused() {
    let chunk = format!("{:x}\r\n{}\r\n", 2_000, "x".repeat(2_000));
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-1\r\n\
         transfer-encoding: chunked\r\n\r\n{chunk}"
    );
    assert_refused(&request, 413, "body-too-large").await;
}

#[tokio::test]
async fn body_that_stops_is_refused() {
    assert_refused(&post("sk-1", "", 50, "{"), 408, "body-too-slow").await;
}

#[tokio::test]
async fn bad_headers_are_named() {
    let header = "idempotency-key: not allowed!\r\n";
    assert_refused(&chat("sk-1", header, GOOD), 400, "bad-header").await;
    let header = "x-dogwoodway-deadline-ms: soon\r\n";
    assert_refused(&chat("sk-1", header, GOOD), 400, "bad-header").await;
}

#[tokio::test]
async fn header_flood_is_refused() {
    let address = start().await;
    let flood = (0..5_000).map(|i| format!("x-{i}: y\r\n")).collect::<String>();
    let (status, _) = exchange(address, &chat("sk-1", &flood, GOOD)).await;
    assert_eq!(status, 431);
    let (status, _) = exchange(address, &chat("sk-1", "", GOOD)).await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn unknown_path_is_refused() {
    assert_refused("GET /v2 HTTP/1.1\r\nhost: x\r\n\r\n", 404, "not-found").await;
}
