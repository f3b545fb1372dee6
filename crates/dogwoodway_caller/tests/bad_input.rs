//! Malformed, oversized and unauthenticated requests get an error with a specific code, and the
//! server then still answers valid requests.

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

/// Answers every request with the text "w".
struct FixedAnswer;

impl Dispatcher for FixedAnswer {
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

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = CallerLimits { max_body_bytes: 1_000, body_read_timeout_ms: 200 };
    let api = CallerApi::new(Arc::new(FixedAnswer), limits, || RequestId(1));
    let server =
        serve(listener, ServerLimits::default(), api.into_handler(), std::future::pending());
    tokio::spawn(server);
    address
}

/// Sends raw bytes and returns the status and the JSON body of the response.
async fn send_raw(address: SocketAddr, request: &str) -> (u16, Value) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).await.unwrap_or(0);
        response.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&response).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(n > 0, "connection closed before the end of the response head: {text:?}");
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

const VALID_BODY: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;

async fn assert_rejected(request: &str, status: u16, code: &str) {
    let address = start_server().await;
    let (got, body) = send_raw(address, request).await;
    assert_eq!((got, body["error"]["code"].as_str()), (status, Some(code)), "{body}");
    let (got, body) = send_raw(address, &chat("sk-1", "", VALID_BODY)).await;
    assert_eq!((got, body["choices"][0]["message"]["content"].as_str()), (200, Some("w")));
}

#[tokio::test]
async fn malformed_json_is_rejected() {
    assert_rejected(&chat("sk-1", "", "{\"model\":"), 400, "bad-request").await;
    assert_rejected(&chat("sk-1", "", r#"{"model":"m"}"#), 400, "bad-request").await;
    let no_messages = r#"{"model":"m","messages":[]}"#;
    assert_rejected(&chat("sk-1", "", no_messages), 400, "bad-request").await;
}

#[tokio::test]
async fn wrong_or_missing_key_is_rejected() {
    assert_rejected(&chat("sk-2", "", VALID_BODY), 401, "bad-key").await;
    let bare = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{VALID_BODY}",
        VALID_BODY.len()
    );
    assert_rejected(&bare, 401, "bad-key").await;
}

#[tokio::test]
async fn unknown_model_is_rejected() {
    let body = VALID_BODY.replace("\"m\"", "\"other\"");
    assert_rejected(&chat("sk-1", "", &body), 404, "model-not-found").await;
}

#[tokio::test]
async fn body_is_rejected_by_its_content_length_before_it_is_sent() {
    assert_rejected(&post("sk-1", "", 100_000_000, "{"), 413, "body-too-large").await;
}

#[tokio::test]
async fn large_chunked_body_is_rejected() {
    let chunk = format!("{:x}\r\n{}\r\n", 2_000, "x".repeat(2_000));
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-1\r\n\
         transfer-encoding: chunked\r\n\r\n{chunk}"
    );
    assert_rejected(&request, 413, "body-too-large").await;
}

#[tokio::test]
async fn incomplete_body_times_out() {
    assert_rejected(&post("sk-1", "", 50, "{"), 408, "body-too-slow").await;
}

#[tokio::test]
async fn invalid_headers_are_rejected() {
    let header = "idempotency-key: not allowed!\r\n";
    assert_rejected(&chat("sk-1", header, VALID_BODY), 400, "bad-header").await;
    let header = "x-dogwoodway-deadline-ms: soon\r\n";
    assert_rejected(&chat("sk-1", header, VALID_BODY), 400, "bad-header").await;
}

#[tokio::test]
async fn too_large_headers_are_rejected() {
    let address = start_server().await;
    let headers = (0..5_000).map(|i| format!("x-{i}: y\r\n")).collect::<String>();
    let (status, _) = send_raw(address, &chat("sk-1", &headers, VALID_BODY)).await;
    assert_eq!(status, 431);
    let (status, _) = send_raw(address, &chat("sk-1", "", VALID_BODY)).await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn unknown_path_is_rejected() {
    assert_rejected("GET /v2 HTTP/1.1\r\nhost: x\r\n\r\n", 404, "not-found").await;
}
