//! Quarantine of requests that crash each engine that runs them. A single one must crash no more than
//! two of three engines, and streams that run beside it must complete. Requests that share the message
//! that crashes engines must not each crash further ones.

mod fleet;

use std::{net::TcpListener, time::Duration};

use dogwoodway_http::HttpClient;
use hyper::Method;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, POISON, chat_body, stream::CallerStream};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Tokens of each unrelated stream, which is in progress when the engines crash.
const STREAM_TOKENS: u32 = 60;

/// Number of unrelated streams.
const STREAM_COUNT: usize = 9;

/// Returns how often the engines have crashed, according to their journals.
async fn crash_count(fleet: &Fleet) -> usize {
    let mut crash_count = 0;
    for engine in &fleet.engines {
        let url = format!("{}/journal", engine.url());
        let journal: Vec<Value> =
            fleet.http.json(Method::GET, &url, &(), REQUEST_TIMEOUT).await.unwrap();
        // Matches the kind of the record, whether or not it is capitalized.
        crash_count +=
            journal.iter().filter(|record| record.to_string().contains("rashed")).count();
    }
    crash_count
}

/// Returns whether the metrics of an entry show one quarantined request.
async fn has_quarantined_request(fleet: &Fleet, metrics_url: &str) -> bool {
    let page =
        fleet.http.call(Method::GET, metrics_url, "", Vec::new().into(), REQUEST_TIMEOUT).await;
    let page = String::from_utf8_lossy(&page.unwrap().body).into_owned();
    page.lines().any(|line| line == "dogwoodway_quarantined_requests 1")
}

#[tokio::test]
async fn request_that_crashes_engines_is_quarantined_after_two_crashes() {
    let options = FleetOptions {
        engines: 3,
        services: 0,
        entries: 2,
        decode_us: 20_000,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    let metrics_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.entries[1].restart_with_setting(&format!("metrics_listen: {metrics_address}"));
    fleet.http = HttpClient::new();
    while !fleet.chat(1, &chat_body("up?", 1)).await.status.is_success() {}
    for engine in 0..3 {
        fleet.wait_until_routed_to(0, engine).await;
    }
    let prompt = |i: usize| chat_body(&format!("innocent {i}"), STREAM_TOKENS);
    let mut streams: Vec<_> = (0..STREAM_COUNT)
        .map(|i| CallerStream::open_with_class(&fleet, 0, &prompt(i), "long"))
        .collect();
    for stream in &mut streams {
        stream.wait_for_tokens(2).await;
    }
    let poison = chat_body(&format!("compare {POISON}"), 10);
    let reply = fleet.chat(0, &poison).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["error"]["type"], "failed", "{body}");
    assert_eq!(crash_count(&fleet).await, 2);

    let metrics_url = format!("http://{metrics_address}/metrics");
    while !has_quarantined_request(&fleet, &metrics_url).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for entry in [0, 1, 0, 1] {
        let reply = fleet.chat(entry, &poison).await;
        let body: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(body["error"]["code"], "quarantined", "{body}");
    }
    assert_eq!(crash_count(&fleet).await, 2);
    for (i, stream) in streams.into_iter().enumerate() {
        let received = stream.finish().await;
        assert_eq!(
            (received.tokens.len(), received.is_done),
            (STREAM_TOKENS as usize, true),
            "{i}: {received:?}"
        );
    }
}

/// Builds a chat whose first two messages other chats share.
fn chat_with_shared_messages(shared: &str, question: &str) -> Value {
    json!({
        "model": "demo-model", "max_tokens": 3,
        "messages": [
            { "role": "system", "content": "be brief" },
            { "role": "user", "content": shared },
            { "role": "user", "content": question },
        ],
    })
}

#[tokio::test]
async fn requests_that_share_a_message_that_crashes_engines_are_quarantined() {
    let options = FleetOptions { engines: 3, services: 0, entries: 2, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    for entry in 0..2 {
        while !fleet.chat(entry, &chat_body("up?", 1)).await.status.is_success() {}
    }
    for engine in 0..3 {
        fleet.wait_until_routed_to(0, engine).await;
    }
    for n in 0..10 {
        let poison = chat_with_shared_messages(POISON, &format!("question {n}"));
        fleet.chat(n % 2, &poison).await;
        for (i, shared) in ["catalogue", "price list"].into_iter().enumerate() {
            let sound = chat_with_shared_messages(shared, &format!("question {n}"));
            let reply = fleet.chat((n + i) % 2, &sound).await;
            assert!(reply.status.is_success(), "{n}: {}", String::from_utf8_lossy(&reply.body));
        }
    }
    let crashes = crash_count(&fleet).await;
    assert!(crashes <= 5, "{crashes} engines crashed under ten requests that share a message");
    let reply = fleet.chat(0, &chat_with_shared_messages(POISON, "another question")).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["error"]["code"], "quarantined", "{body}");
}
