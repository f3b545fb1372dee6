//! Chat completions and service calls from end to end, through an entry, an agent and a stand-in.

mod fleet;

use dogwoodway_types::Timestamp;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, chat_body};

#[tokio::test]
async fn repeated_chat_gets_the_same_answer_from_the_cache() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let prompt = format!("{} {}", Timestamp::now(), "billet ".repeat(4_000));
    let first = fleet.chat(0, &chat_body(&prompt, 30)).await;
    let second = fleet.chat(1, &chat_body(&prompt, 30)).await;
    let (first, second): (Value, Value) = (
        serde_json::from_slice(&first.body).unwrap(),
        serde_json::from_slice(&second.body).unwrap(),
    );
    assert_eq!(first["usage"]["completion_tokens"], 30);
    let text = |response: &Value| {
        response["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
    };
    assert_eq!(text(&first).split_whitespace().count(), 30);
    assert_eq!(text(&first), text(&second));
    let cached_tokens = |response: &Value| {
        response["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
    };
    assert!(cached_tokens(&first) < 10);
    assert_eq!(cached_tokens(&second), second["usage"]["prompt_tokens"].as_u64().unwrap());
}

#[tokio::test]
async fn service_call_runs_once() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let reply = fleet.post(0, "/services/reservations", &json!({"billet": 17}), &[]).await;
    assert_eq!(reply.status, 200);
    let calls = fleet.service_calls().await;
    assert_eq!(calls.iter().filter(|body| body.contains("17")).count(), 1);
}
