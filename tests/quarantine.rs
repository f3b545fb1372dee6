//! A request that crashes each engine that runs it, among innocent ones.

mod fleet;

use std::{net::TcpListener, time::Duration};

use dogwoodway_http::HttpClient;
use hyper::Method;
use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, POISON, chat_body, stream::CallerStream};

const LIMIT: Duration = Duration::from_secs(30);

/// Tokens of an innocent stream, which is open when the engines crash.
const TOKENS: u32 = 60;

const INNOCENT: usize = 9;

async fn crashes(fleet: &Fleet) -> usize {
    let mut crashes = 0;
    for engine in &fleet.engines {
        let url = format!("{}/journal", engine.url());
        let journal: Vec<Value> = fleet.http.json(Method::GET, &url, &(), LIMIT).await.unwrap();
        crashes += journal.iter().filter(|record| record.to_string().contains("rashed")).count();
    }
    crashes
}

async fn is_quarantined_at(fleet: &Fleet, metrics_url: &str) -> bool {
    let page = fleet.http.call(Method::GET, metrics_url, "", Vec::new().into(), LIMIT).await;
    let page = String::from_utf8_lossy(&page.unwrap().body).into_owned();
    page.lines().any(|line| line == "dogwoodway_quarantined_requests 1")
}

#[tokio::test]
async fn a_request_that_crashes_engines_takes_down_two_and_the_innocent_finish() {
    let options = FleetOptions {
        engines: 3,
        services: 0,
        entries: 2,
        decode_us: 20_000,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.entries[1].restart_with_setting(&format!("metrics_listen: {free}"));
    fleet.http = HttpClient::new();
    while !fleet.chat(1, &chat_body("up?", 1)).await.status.is_success() {}
    for engine in 0..3 {
        fleet.wait_until_used(0, engine).await;
    }
    let prompt = |i: usize| chat_body(&format!("innocent {i}"), TOKENS);
    let mut streams: Vec<_> =
        (0..INNOCENT).map(|i| CallerStream::open_in_class(&fleet, 0, &prompt(i), "long")).collect();
    for stream in &mut streams {
        stream.has_read(2).await;
    }
    let poison = chat_body(&format!("compare {POISON}"), 10);
    let reply = fleet.chat(0, &poison).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["error"]["type"], "failed", "{body}");
    assert_eq!(crashes(&fleet).await, 2);

    let metrics_url = format!("http://{free}/metrics");
    while !is_quarantined_at(&fleet, &metrics_url).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for entry in [0, 1, 0, 1] {
        let reply = fleet.chat(entry, &poison).await;
        let body: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(body["error"]["code"], "quarantined", "{body}");
    }
    assert_eq!(crashes(&fleet).await, 2);
    for (i, stream) in streams.into_iter().enumerate() {
        let seen = stream.ended().await;
        assert_eq!((seen.tokens.len(), seen.is_done), (TOKENS as usize, true), "{i}: {seen:?}");
    }
}
