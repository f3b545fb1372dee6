//! Shutdown of entries and agents while requests run.

mod fleet;

use std::time::Duration;

use dogwoodway_http::HttpClient;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Fleet, FleetOptions, chat_body, stream::CallerStream};

const OPTIONS: FleetOptions = FleetOptions {
    engines: 2,
    services: 1,
    entries: 1,
    decode_us: 15_000,
    kv_store: false,
    links: false,
    checks_fencing: true,
};

/// Tokens of a stream that outlasts the shutdown of the process that serves it.
const MANY_TOKENS: u32 = 300;

/// Tokens of a stream that never ends by itself within a test.
const ENDLESS_TOKENS: u32 = 100_000;

async fn get(stream: &mut TcpStream, path: &str) -> String {
    let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut buf = vec![0; 4_096];
    let n = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

#[tokio::test]
async fn an_entry_finishes_its_streams_and_takes_no_new_connections() {
    let mut fleet = Fleet::start(OPTIONS).await;
    let mut stream = CallerStream::open(&fleet, 0, &chat_body("entry", MANY_TOKENS));
    stream.has_read(3).await;
    let address = fleet.entries[0].address;
    let _never_used = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    assert!(get(&mut idle, "/readyz").await.starts_with("HTTP/1.1 200"));
    fleet.entries[0].signal("TERM");
    while get(&mut idle, "/readyz").await.starts_with("HTTP/1.1 200") {}
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let seen = stream.ended().await;
    assert_eq!((seen.tokens.len(), seen.is_done), (MANY_TOKENS as usize, true));
    assert!(fleet.entries[0].wait());
}

#[tokio::test]
async fn an_entry_finishes_a_call_that_may_not_be_repeated() {
    let mut fleet = Fleet::start(OPTIONS).await;
    let url = format!("{}/fault", fleet.services[0].url());
    let limit = Duration::from_secs(30);
    let fault = json!({"delay_ms": 3_000});
    let set: Result<serde_json::Value, _> =
        fleet.http.json(hyper::Method::POST, &url, &fault, limit).await;
    set.unwrap();
    let billet = json!({"billet": 1});
    let (reply, ()) = tokio::join!(fleet.post(0, "/services/reservations", &billet, &[]), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.entries[0].signal("TERM");
        fleet.agents[2].signal("TERM");
    });
    assert_eq!(reply.status, 200);
    assert!(fleet.entries[0].wait());
    assert!(fleet.agents[2].wait());
    assert_eq!(fleet.service_calls().await.iter().filter(|c| c.contains("billet")).count(), 1);
}

#[tokio::test]
async fn an_agent_finishes_its_streams_and_takes_no_new_work() {
    let mut fleet = Fleet::start(OPTIONS).await;
    fleet.wait_until_used(0, 0).await;
    fleet.wait_until_used(0, 1).await;
    let mut stream = CallerStream::open(&fleet, 0, &chat_body("agent", MANY_TOKENS));
    let at = fleet.busy_engine().await;
    stream.has_read(3).await;
    fleet.agents[at].signal("TERM");
    for number in 0..20 {
        let reply = fleet.chat(0, &chat_body(&format!("new {number}"), 2)).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(fleet.engine_number(at, "/status", "running").await, 1);
    let seen = stream.ended().await;
    assert_eq!((seen.tokens.len(), seen.is_done), (MANY_TOKENS as usize, true));
    assert!(fleet.agents[at].wait());
}

#[tokio::test]
async fn a_second_signal_ends_an_entry_with_typed_errors() {
    let mut fleet = Fleet::start(OPTIONS).await;
    let mut stream =
        CallerStream::open_in_class(&fleet, 0, &chat_body("second", ENDLESS_TOKENS), "long");
    stream.has_read(3).await;
    fleet.entries[0].signal("TERM");
    stream.has_read(10).await;
    fleet.entries[0].signal("TERM");
    let seen = stream.ended().await;
    assert_eq!(seen.error.as_deref(), Some("failed"));
    assert!(!seen.is_done && seen.tokens.len() >= 10);
    assert!(fleet.entries[0].wait());
    fleet.wait_until_idle().await;
}

#[tokio::test]
async fn a_second_signal_moves_an_agents_streams_elsewhere() {
    let mut fleet = Fleet::start(OPTIONS).await;
    let body = chat_body("moved", MANY_TOKENS);
    let wanted = CallerStream::open(&fleet, 0, &body).ended().await;
    fleet.wait_until_used(0, 0).await;
    fleet.wait_until_used(0, 1).await;
    let mut stream = CallerStream::open(&fleet, 0, &body);
    let at = fleet.busy_engine().await;
    stream.has_read(3).await;
    fleet.agents[at].signal("TERM");
    fleet.agents[at].signal("INT");
    let seen = stream.ended().await;
    assert_eq!((seen.tokens, seen.is_done), (wanted.tokens, true));
    assert!(fleet.agents[at].wait());
}

#[tokio::test]
async fn the_platforms_limit_ends_an_entry_with_typed_errors() {
    let mut fleet = Fleet::start(OPTIONS).await;
    fleet.entries[0].restart_with_setting("shutdown_limit_ms: 200");
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("up?", 1)).await.status.is_success() {}
    let mut stream =
        CallerStream::open_in_class(&fleet, 0, &chat_body("limit", ENDLESS_TOKENS), "long");
    stream.has_read(3).await;
    fleet.entries[0].signal("TERM");
    let seen = stream.ended().await;
    assert_eq!((seen.error.as_deref(), seen.is_done), (Some("failed"), false));
    assert!(fleet.entries[0].wait());
}
