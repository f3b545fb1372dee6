//! The KV store saves prefill work after an engine has lost its cache, and requests succeed without
//! it.

mod fleet;

use std::time::Duration;

use dogwoodway_kvstore::KvRecord;
use dogwoodway_types::WeightsVersion;
use hyper::Method;
use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, chat_body};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_fleet() -> Fleet {
    let options = FleetOptions {
        engines: 1,
        services: 0,
        entries: 1,
        kv_store: true,
        ..FleetOptions::default()
    };
    Fleet::start(options).await
}

/// Sends a chat and returns how many of its prompt tokens the engine found in its cache.
async fn cached_tokens(fleet: &Fleet, prompt: &str) -> u64 {
    let reply = fleet.chat(0, &chat_body(prompt, 2)).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(reply.status, 200, "{body}");
    body["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

/// Returns all records of the KV store.
async fn stored_records(fleet: &Fleet) -> Vec<KvRecord> {
    let url = format!("{}/kv/records", fleet.kv_store.as_ref().unwrap().url());
    fleet.http.json(Method::GET, &url, &(), REQUEST_TIMEOUT).await.unwrap()
}

/// Sends a long prompt twice, because pieces are exported at their second use, and waits until the
/// store holds three of them.
async fn fill_store(fleet: &Fleet, prompt: &str) {
    cached_tokens(fleet, prompt).await;
    cached_tokens(fleet, prompt).await;
    while stored_records(fleet).await.len() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Crashes the engine, which empties its cache, and waits until requests are served again.
async fn crash_engine(fleet: &Fleet) {
    let url = format!("{}/crash", fleet.engines[0].url());
    let body = bytes::Bytes::new();
    fleet.http.call(Method::POST, &url, "", body, REQUEST_TIMEOUT).await.unwrap();
    while !fleet.chat(0, &chat_body("again?", 1)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn prefix_is_imported_after_the_engine_lost_its_cache() {
    let fleet = start_fleet().await;
    let prompt = "billet ".repeat(4_000);
    fill_store(&fleet, &prompt).await;
    crash_engine(&fleet).await;
    assert!(cached_tokens(&fleet, &prompt).await > 6_000);
}

#[tokio::test]
async fn prefix_of_older_weights_is_not_imported() {
    let fleet = start_fleet().await;
    let prompt = "billet ".repeat(4_000);
    fill_store(&fleet, &prompt).await;
    let mut old_records = stored_records(&fleet).await;
    old_records.iter_mut().for_each(|record| record.version = WeightsVersion(0));
    let url = format!("{}/kv/records", fleet.kv_store.as_ref().unwrap().url());
    let body = serde_json::to_vec(&old_records).unwrap();
    let reply =
        fleet.http.call(Method::PUT, &url, "application/json", body.into(), REQUEST_TIMEOUT).await;
    assert!(reply.unwrap().status.is_success());
    crash_engine(&fleet).await;
    assert!(cached_tokens(&fleet, &prompt).await < 100);
}

#[tokio::test]
async fn requests_succeed_while_the_store_is_down() {
    let mut fleet = start_fleet().await;
    fleet.kv_store.as_mut().unwrap().kill();
    let prompt = "billet ".repeat(4_000);
    assert!(cached_tokens(&fleet, &prompt).await < 100);
}
