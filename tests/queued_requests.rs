//! Requests that wait in an agent's queue while the configuration changes.

mod fleet;

use std::time::Duration;

use dogwoodway_types::ConfigEdit;
use hyper::Method;
use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, chat_body};

const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// Chats that are sent at once; more than an engine runs at a time.
const CHATS: usize = 20;

/// Tokens of each chat, enough that those of the queue start only after the change.
const TOKENS: u32 = 300;

/// Publishes that chats run on the backend server in a zone, on any weights.
async fn select_zone(fleet: &Fleet, zone: &str) {
    let selector =
        format!("- !selector {{name: chat, model: demo-model, labels: {{zone: {zone}}}}}");
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&selector).unwrap();
    fleet.publish(&edits).await;
}

/// Returns how many requests an engine has scheduled.
async fn scheduled_count(fleet: &Fleet, engine: usize) -> usize {
    let url = format!("{}/journal", fleet.engines[engine].url());
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let journal: Vec<Value> = fleet.http.json(Method::GET, &url, &(), timeout).await.unwrap();
    journal.iter().filter(|record| record.to_string().contains("cheduled")).count()
}

async fn start_fleet() -> Fleet {
    let options = FleetOptions {
        engines: 2,
        services: 0,
        entries: 1,
        decode_us: 10_000,
        ..FleetOptions::default()
    };
    Fleet::start(options).await
}

fn long_chats() -> Vec<Value> {
    (0..CHATS).map(|i| chat_body(&format!("chat {i}"), TOKENS)).collect()
}

// Guards against attempts that start from a queue by a configuration that was replaced meanwhile.
#[tokio::test]
async fn queued_request_does_not_start_on_a_server_that_its_selector_has_left() {
    let fleet = start_fleet().await;
    select_zone(&fleet, "zone-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bodies = long_chats();
    let chats = futures::future::join_all(bodies.iter().map(|body| fleet.chat(0, body)));
    let change = async {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        select_zone(&fleet, "zone-1").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        scheduled_count(&fleet, 0).await
    };
    let (replies, count_after_change) = tokio::join!(chats, change);
    for reply in &replies {
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    }
    let started_later = scheduled_count(&fleet, 0).await - count_after_change;
    assert_eq!(started_later, 0, "chats started on the server that the selector has left");
}

// Guards against attempts that start from a queue though their team has been removed meanwhile.
#[tokio::test]
async fn queued_request_of_a_removed_team_does_not_start() {
    let fleet = start_fleet().await;
    select_zone(&fleet, "zone-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bodies = long_chats();
    let chats = futures::future::join_all(bodies.iter().map(|body| fleet.chat(0, body)));
    let change = async {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let edit = "- !remove {kind: team, name: demo}";
        let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(edit).unwrap();
        fleet.publish(&edits).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        scheduled_count(&fleet, 0).await
    };
    let (replies, count_after_change) = tokio::join!(chats, change);
    let started_later = scheduled_count(&fleet, 0).await - count_after_change;
    assert_eq!(started_later, 0, "chats of the removed team started");
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status != 200).collect();
    assert!(!refused.is_empty());
    for reply in refused {
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(answer["error"]["type"], "not-run", "{answer}");
    }
}
