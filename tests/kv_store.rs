//! The store of kept KV cache saves computation and is never relied on.

mod fleet;

use std::time::Duration;

use dogwoodway_kvstore::KvRecord;
use dogwoodway_types::WeightsVersion;
use hyper::Method;
use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, chat_body};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> Fleet {
    let options = FleetOptions {
        engines: 1,
        services: 0,
        entries: 1,
        kv_store: true,
        ..FleetOptions::default()
    };
    Fleet::start(options).await
}

async fn cached_tokens(fleet: &Fleet, prompt: &str) -> u64 {
    let reply = fleet.chat(0, &chat_body(prompt, 2)).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(reply.status, 200, "{body}");
    body["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

async fn records(fleet: &Fleet) -> Vec<KvRecord> {
    let url = format!("{}/kv/records", fleet.kv_store.as_ref().unwrap().url());
    fleet.http.json(Method::GET, &url, &(), TIMEOUT).await.unwrap()
}

/// Sends a long prompt twice and waits until its pieces are in the store.
async fn fill_store(fleet: &Fleet, prompt: &str) {
    cached_tokens(fleet, prompt).await;
    cached_tokens(fleet, prompt).await;
    while records(fleet).await.len() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Empties the engine's cache; requests are served again when this returns.
async fn crash_engine(fleet: &Fleet) {
    let url = format!("{}/crash", fleet.engines[0].url());
    let body = bytes::Bytes::new();
    fleet.http.call(Method::POST, &url, "", body, TIMEOUT).await.unwrap();
    while !fleet.chat(0, &chat_body("again?", 1)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn prefix_is_imported_after_the_engine_lost_its_cache() {
    let fleet = start().await;
    let prompt = "billet ".repeat(4_000);
    fill_store(&fleet, &prompt).await;
    crash_engine(&fleet).await;
    assert!(cached_tokens(&fleet, &prompt).await > 6_000);
}

#[tokio::test]
async fn prefix_of_older_weights_is_not_imported() {
    let fleet = start().await;
    let prompt = "billet ".repeat(4_000);
    fill_store(&fleet, &prompt).await;
    let mut older = records(&fleet).await;
    older.iter_mut().for_each(|record| record.version = WeightsVersion(0));
    let url = format!("{}/kv/records", fleet.kv_store.as_ref().unwrap().url());
    let body = serde_json::to_vec(&older).unwrap();
    let put = fleet.http.call(Method::PUT, &url, "application/json", body.into(), TIMEOUT).await;
    assert!(put.unwrap().status.is_success());
    crash_engine(&fleet).await;
    assert!(cached_tokens(&fleet, &prompt).await < 100);
}

#[tokio::test]
async fn store_that_is_down_costs_no_request() {
    let mut fleet = start().await;
    fleet.kv_store.as_mut().unwrap().kill();
    let prompt = "billet ".repeat(4_000);
    assert!(cached_tokens(&fleet, &prompt).await < 100);
}
