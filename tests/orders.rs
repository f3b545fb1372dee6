//! Agents order their engines to load the weights version that the configuration requests. The order
//! must be carried out despite lost responses and restarts, and an outdated order must be refused or
//! corrected.

mod fleet;

use std::time::Duration;

use dogwoodway_peer::{AgentApi, BackendKind, TarpcAgent};
use dogwoodway_types::ConfigEdit;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, Process, chat_body};

const REQUEST_TIMEOUT_MS: u64 = 60_000;

fn chat_fleet(checks_fencing: bool) -> FleetOptions {
    FleetOptions { services: 0, entries: 1, checks_fencing, ..FleetOptions::default() }
}

/// Publishes a configuration that requests a weights version of `demo-model`.
async fn request_version(fleet: &Fleet, version: u32) {
    let selector = format!(
        "- !selector {{name: chat, model: demo-model, version: {version}, labels: {{pool: engine}}}}"
    );
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&selector).unwrap();
    fleet.publish(&edits).await;
}

/// Sends a `POST` request to an engine and returns the status and the JSON body, `null` if it is not
/// JSON.
async fn post(fleet: &Fleet, engine: usize, path: &str, body: &Value) -> (StatusCode, Value) {
    let url = format!("{}{path}", fleet.engines[engine].url());
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let body = body.to_string().into();
    let reply =
        fleet.http.call(Method::POST, &url, "application/json", body, timeout).await.unwrap();
    (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
}

/// Returns the orders that an engine has executed, in order of execution.
async fn executed_orders(fleet: &Fleet, engine: usize) -> Vec<Value> {
    let (_, orders) = post(fleet, engine, "/control", &json!({})).await;
    orders.as_array().unwrap().clone()
}

/// Returns the weights version that an agent reports for its engine.
async fn loaded_version(agent: &Process) -> Option<u32> {
    let description = TarpcAgent::new(agent.address).describe().await.ok()?;
    match description.kind {
        BackendKind::Engine { version, .. } => Some(version.0),
        BackendKind::Service => None,
    }
}

/// Waits until all agents report a weights version.
async fn wait_until_loaded(fleet: &Fleet, version: u32) {
    for agent in &fleet.agents {
        while loaded_version(agent).await != Some(version) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends a chat until it succeeds; until then it may only be refused as `not-run`.
async fn wait_until_chat_succeeds(fleet: &Fleet) {
    loop {
        let reply = fleet.chat(0, &chat_body("rollout", 2)).await;
        if reply.status == 200 {
            return;
        }
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(answer["error"]["type"], "not-run");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn rollout_interrupts_no_request_and_is_rolled_back_by_publishing() {
    let fleet = Fleet::start(FleetOptions { decode_us: 20_000, ..chat_fleet(true) }).await;
    let body = chat_body("long", 100);
    let chats = futures::future::join_all((0..4).map(|_| fleet.chat(0, &body)));
    let rollout = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        request_version(&fleet, 2).await;
        wait_until_loaded(&fleet, 2).await;
    };
    let (replies, ()) = tokio::join!(chats, rollout);
    for reply in replies {
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(answer["usage"]["completion_tokens"], 100, "{answer}");
    }
    wait_until_chat_succeeds(&fleet).await;
    request_version(&fleet, 1).await;
    wait_until_loaded(&fleet, 1).await;
    wait_until_chat_succeeds(&fleet).await;
    for engine in 0..2 {
        assert_eq!(executed_orders(&fleet, engine).await.len(), 2);
    }
}

#[tokio::test]
async fn order_whose_response_is_lost_is_not_repeated() {
    let fleet = Fleet::start(chat_fleet(true)).await;
    for engine in 0..2 {
        post(&fleet, engine, "/fault", &json!({"lose_answers": 1})).await;
    }
    request_version(&fleet, 2).await;
    wait_until_loaded(&fleet, 2).await;
    for engine in 0..2 {
        assert_eq!(executed_orders(&fleet, engine).await.len(), 1);
    }
}

#[tokio::test]
async fn outdated_order_is_refused_or_corrected() {
    // An engine that checks fencing tokens refuses the order. Any other executes it, and the agent
    // has to order the requested version again, which makes three orders.
    for checks_fencing in [true, false] {
        let fleet = Fleet::start(chat_fleet(checks_fencing)).await;
        for engine in 0..2 {
            post(&fleet, engine, "/control", &json!({"checks_fencing": checks_fencing})).await;
        }
        request_version(&fleet, 2).await;
        wait_until_loaded(&fleet, 2).await;
        let outdated_order = json!({"fencing": 0, "model": "demo-model", "version": 9});
        let (status, _) = post(&fleet, 0, "/orders", &outdated_order).await;
        assert_eq!(status, if checks_fencing { 412 } else { 202 });
        while !checks_fencing && executed_orders(&fleet, 0).await.len() < 3 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        wait_until_loaded(&fleet, 2).await;
        wait_until_chat_succeeds(&fleet).await;
    }
}

#[tokio::test]
async fn agent_restarted_during_a_rollout_completes_it() {
    let mut fleet = Fleet::start(chat_fleet(true)).await;
    request_version(&fleet, 2).await;
    for pause_ms in [0, 150, 400] {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        fleet.agents[0].restart();
    }
    wait_until_loaded(&fleet, 2).await;
    wait_until_chat_succeeds(&fleet).await;
    let orders = executed_orders(&fleet, 0).await;
    let fencing_tokens: Vec<u64> = orders.iter().map(|o| o["fencing"].as_u64().unwrap()).collect();
    assert!(fencing_tokens.is_sorted());
}

/// Freezes the agent `freeze_after_ms` after a rollout was requested, starts a second agent
/// for the same engine, and resumes the first during the next rollout. The engine must execute no
/// order with a lower fencing token than an earlier one.
async fn replace_frozen_agent(checks_fencing: bool, freeze_after_ms: u64) {
    let options = FleetOptions { engines: 1, ..chat_fleet(checks_fencing) };
    let fleet = Fleet::start(options).await;
    post(&fleet, 0, "/control", &json!({"checks_fencing": checks_fencing})).await;
    request_version(&fleet, 2).await;
    tokio::time::sleep(Duration::from_millis(freeze_after_ms)).await;
    let frozen = &fleet.agents[0];
    frozen.signal("STOP");
    let replacement = frozen.start_replica();
    while loaded_version(&replacement).await != Some(2) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    request_version(&fleet, 3).await;
    frozen.signal("CONT");
    for agent in [&replacement, frozen] {
        while loaded_version(agent).await != Some(3) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let orders = executed_orders(&fleet, 0).await;
    let fencing_tokens: Vec<u64> = orders.iter().map(|o| o["fencing"].as_u64().unwrap()).collect();
    assert!(fencing_tokens.is_sorted(), "{fencing_tokens:?}");
}

#[tokio::test]
async fn outdated_orders_of_a_replaced_agent_are_not_executed() {
    let cases = [(true, 0), (true, 300), (true, 600), (false, 0), (false, 300)];
    futures::future::join_all(cases.map(|(checks_fencing, freeze_after_ms)| {
        replace_frozen_agent(checks_fencing, freeze_after_ms)
    }))
    .await;
}
