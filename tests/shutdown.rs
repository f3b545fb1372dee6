//! Shutdown of entries and agents by signals while requests run.
//!
//! After the first signal a process finishes the requests in progress and takes no new ones. After
//! a second signal, or after the shutdown limit, it ends the remaining requests.

mod fleet;

use std::time::Duration;

use dogwoodway_http::HttpClient;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{API_KEY, Fleet, FleetOptions, chat_body, stream::CallerStream};

const FLEET_OPTIONS: FleetOptions = FleetOptions {
    engines: 2,
    services: 1,
    entries: 1,
    decode_us: 15_000,
    kv_store: false,
    proxies: false,
    stray_proxies: false,
    checks_fencing: true,
};

/// Tokens of a stream that is still in progress when its process is told to shut down, and ends by
/// itself a few seconds later.
const MANY_TOKENS: u32 = 300;

/// Tokens of a stream that does not end by itself during a test.
const ENDLESS_TOKENS: u32 = 100_000;

/// Sends a `GET` request on an open connection and returns the start of the response.
async fn get(stream: &mut TcpStream, path: &str) -> String {
    let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut buf = vec![0; 4_096];
    let n = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

#[tokio::test]
async fn terminated_entry_finishes_its_streams_and_refuses_connections() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    let mut stream = CallerStream::open(&fleet, 0, &chat_body("entry", MANY_TOKENS));
    stream.wait_for_tokens(3).await;
    let address = fleet.entries[0].address;
    let _unused = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    assert!(get(&mut idle, "/readyz").await.starts_with("HTTP/1.1 200"));
    fleet.entries[0].signal("TERM");
    while get(&mut idle, "/readyz").await.starts_with("HTTP/1.1 200") {}
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let received = stream.finish().await;
    assert_eq!((received.tokens.len(), received.is_done), (MANY_TOKENS as usize, true));
    assert!(fleet.entries[0].exits_successfully());
}

#[tokio::test]
async fn terminated_entry_and_agent_finish_a_non_repeatable_call() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    let url = format!("{}/fault", fleet.services[0].url());
    let timeout = Duration::from_secs(30);
    let fault = json!({"delay_ms": 3_000});
    let set: Result<serde_json::Value, _> =
        fleet.http.json(hyper::Method::POST, &url, &fault, timeout).await;
    set.unwrap();
    // The agents of the two engines come first, so `agents[2]` is that of the service.
    let billet = json!({"billet": 1});
    let (reply, ()) = tokio::join!(fleet.post(0, "/services/reservations", &billet, &[]), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.entries[0].signal("TERM");
        fleet.agents[2].signal("TERM");
    });
    assert_eq!(reply.status, 200);
    assert!(fleet.entries[0].exits_successfully());
    assert!(fleet.agents[2].exits_successfully());
    assert_eq!(fleet.service_calls().await.iter().filter(|c| c.contains("billet")).count(), 1);
}

#[tokio::test]
async fn terminated_agent_finishes_its_streams_and_gets_no_new_requests() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    fleet.wait_until_routed_to(0, 0).await;
    fleet.wait_until_routed_to(0, 1).await;
    let mut stream = CallerStream::open(&fleet, 0, &chat_body("agent", MANY_TOKENS));
    let engine = fleet.wait_for_busy_engine().await;
    stream.wait_for_tokens(3).await;
    fleet.agents[engine].signal("TERM");
    for number in 0..20 {
        let reply = fleet.chat(0, &chat_body(&format!("new {number}"), 2)).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(fleet.engine_field(engine, "/status", "running").await, 1);
    let received = stream.finish().await;
    assert_eq!((received.tokens.len(), received.is_done), (MANY_TOKENS as usize, true));
    assert!(fleet.agents[engine].exits_successfully());
}

#[tokio::test]
async fn second_signal_ends_the_streams_of_an_entry_with_an_error() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    let mut stream =
        CallerStream::open_with_class(&fleet, 0, &chat_body("second", ENDLESS_TOKENS), "long");
    stream.wait_for_tokens(3).await;
    fleet.entries[0].signal("TERM");
    stream.wait_for_tokens(10).await;
    fleet.entries[0].signal("TERM");
    let received = stream.finish().await;
    assert_eq!(received.error.as_deref(), Some("failed"));
    assert!(!received.is_done && received.tokens.len() >= 10);
    assert!(fleet.entries[0].exits_successfully());
    fleet.wait_until_idle().await;
}

#[tokio::test]
async fn second_signal_moves_the_streams_of_an_agent_to_another_engine() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    let body = chat_body("moved", MANY_TOKENS);
    let expected = CallerStream::open(&fleet, 0, &body).finish().await;
    fleet.wait_until_routed_to(0, 0).await;
    fleet.wait_until_routed_to(0, 1).await;
    let mut stream = CallerStream::open(&fleet, 0, &body);
    let engine = fleet.wait_for_busy_engine().await;
    stream.wait_for_tokens(3).await;
    fleet.agents[engine].signal("TERM");
    fleet.agents[engine].signal("INT");
    let received = stream.finish().await;
    assert_eq!((received.tokens, received.is_done), (expected.tokens, true));
    assert!(fleet.agents[engine].exits_successfully());
}

#[tokio::test]
async fn shutdown_limit_ends_the_streams_of_an_entry_with_an_error() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    fleet.entries[0].restart_with_setting("shutdown_limit_ms: 200");
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("up?", 1)).await.status.is_success() {}
    let mut stream =
        CallerStream::open_with_class(&fleet, 0, &chat_body("limit", ENDLESS_TOKENS), "long");
    stream.wait_for_tokens(3).await;
    fleet.entries[0].signal("TERM");
    let received = stream.finish().await;
    assert_eq!((received.error.as_deref(), received.is_done), (Some("failed"), false));
    assert!(fleet.entries[0].exits_successfully());
}

// Guards against calls that are passed on late in the grace period, so that its end aborts them.
#[tokio::test]
async fn call_that_arrives_late_in_the_grace_period_is_refused_without_running() {
    let mut fleet = Fleet::start(FLEET_OPTIONS).await;
    fleet.entries[0].restart_with_setting("shutdown_limit_ms: 3000");
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("up?", 1)).await.status.is_success() {}
    let url = format!("{}/fault", fleet.services[0].url());
    let (fault, timeout) = (json!({"delay_ms": 4_000}), Duration::from_secs(30));
    let set: Result<serde_json::Value, _> =
        fleet.http.json(hyper::Method::POST, &url, &fault, timeout).await;
    set.unwrap();
    let body = r#"{"billet": 7}"#;
    let req = format!(
        "POST /services/reservations HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (early, late) = req.split_at(req.len() / 2);
    let mut stream = TcpStream::connect(fleet.entries[0].address).await.unwrap();
    stream.write_all(early.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.entries[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    stream.write_all(late.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).await.unwrap();
    let reply = String::from_utf8_lossy(&reply);
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    let calls = fleet.service_calls().await;
    assert!(!calls.iter().any(|call| call.contains("billet")), "{calls:?}");
}
