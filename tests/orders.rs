//! Weights that are loaded because the configuration asks for them, over real processes.

mod fleet;

use std::time::Duration;

use dogwoodway_peer::{AgentApi, BackendKind, TarpcAgent};
use dogwoodway_types::ConfigEdit;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, Process, chat_body};

const LIMIT_MS: u64 = 60_000;

fn chat_fleet(checks_fencing: bool) -> FleetOptions {
    FleetOptions { services: 0, entries: 1, checks_fencing, ..FleetOptions::default() }
}

async fn ask_for(fleet: &Fleet, version: u32) {
    let selector = format!(
        "- !selector {{name: chat, model: demo-model, version: {version}, labels: {{pool: engine}}}}"
    );
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&selector).unwrap();
    fleet.publish(&edits).await;
}

async fn post(fleet: &Fleet, engine: usize, path: &str, body: &Value) -> (StatusCode, Value) {
    let url = format!("{}{path}", fleet.engines[engine].url());
    let limit = Duration::from_millis(LIMIT_MS);
    let body = body.to_string().into();
    let reply = fleet.http.call(Method::POST, &url, "application/json", body, limit).await.unwrap();
    (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
}

/// Returns the orders that an engine has executed.
async fn executed(fleet: &Fleet, engine: usize) -> Vec<Value> {
    let (_, orders) = post(fleet, engine, "/control", &json!({})).await;
    orders.as_array().unwrap().clone()
}

async fn version_of(agent: &Process) -> Option<u32> {
    let description = TarpcAgent::new(agent.address).describe().await.ok()?;
    match description.kind {
        BackendKind::Engine { version, .. } => Some(version.0),
        BackendKind::Service => None,
    }
}

async fn wait_until_loaded(fleet: &Fleet, version: u32) {
    for agent in &fleet.agents {
        while version_of(agent).await != Some(version) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends a chat until it is answered; before that it may only be refused as not run.
async fn wait_for_answer(fleet: &Fleet) {
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
async fn rollout_cuts_off_no_stream_and_is_rolled_back_by_publishing() {
    let fleet = Fleet::start(FleetOptions { decode_us: 20_000, ..chat_fleet(true) }).await;
    let body = chat_body("long", 100);
    let chats = futures::future::join_all((0..4).map(|_| fleet.chat(0, &body)));
    let rollout = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        ask_for(&fleet, 2).await;
        wait_until_loaded(&fleet, 2).await;
    };
    let (replies, ()) = tokio::join!(chats, rollout);
    for reply in replies {
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(answer["usage"]["completion_tokens"], 100, "{answer}");
    }
    wait_for_answer(&fleet).await;
    ask_for(&fleet, 1).await;
    wait_until_loaded(&fleet, 1).await;
    wait_for_answer(&fleet).await;
    for engine in 0..2 {
        assert_eq!(executed(&fleet, engine).await.len(), 2);
    }
}

#[tokio::test]
async fn lost_answer_of_an_order_is_read_back_and_not_repeated() {
    let fleet = Fleet::start(chat_fleet(true)).await;
    for engine in 0..2 {
        post(&fleet, engine, "/fault", &json!({"lose_answers": 1})).await;
    }
    ask_for(&fleet, 2).await;
    wait_until_loaded(&fleet, 2).await;
    for engine in 0..2 {
        assert_eq!(executed(&fleet, engine).await.len(), 1);
    }
}

#[tokio::test]
async fn old_order_is_refused_by_one_kind_of_engine_and_undone_on_the_other() {
    for checks in [true, false] {
        let fleet = Fleet::start(chat_fleet(checks)).await;
        for engine in 0..2 {
            post(&fleet, engine, "/control", &json!({"checks_fencing": checks})).await;
        }
        ask_for(&fleet, 2).await;
        wait_until_loaded(&fleet, 2).await;
        let old = json!({"fencing": 0, "model": "demo-model", "version": 9});
        let (status, _) = post(&fleet, 0, "/orders", &old).await;
        assert_eq!(status, if checks { 412 } else { 202 });
        while !checks && executed(&fleet, 0).await.len() < 3 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        wait_until_loaded(&fleet, 2).await;
        wait_for_answer(&fleet).await;
    }
}

#[tokio::test]
async fn agents_killed_in_the_middle_of_a_rollout_end_it_after_their_return() {
    let mut fleet = Fleet::start(chat_fleet(true)).await;
    ask_for(&fleet, 2).await;
    for pause_ms in [0, 150, 400] {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        fleet.agents[0].restart();
    }
    wait_until_loaded(&fleet, 2).await;
    wait_for_answer(&fleet).await;
    let numbers = executed(&fleet, 0).await;
    let numbers: Vec<u64> = numbers.iter().map(|o| o["fencing"].as_u64().unwrap()).collect();
    assert!(numbers.is_sorted());
}

/// Stops the agent at some moment of a rollout, has another take its place beside the same engine,
/// and wakes it in the middle of the next rollout.
async fn replace_and_wake(checks: bool, stop_after_ms: u64) {
    let options = FleetOptions { engines: 1, ..chat_fleet(checks) };
    let fleet = Fleet::start(options).await;
    post(&fleet, 0, "/control", &json!({"checks_fencing": checks})).await;
    ask_for(&fleet, 2).await;
    tokio::time::sleep(Duration::from_millis(stop_after_ms)).await;
    let old = &fleet.agents[0];
    old.signal("STOP");
    let twin = old.start_twin();
    while version_of(&twin).await != Some(2) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    ask_for(&fleet, 3).await;
    old.signal("CONT");
    for agent in [&twin, old] {
        while version_of(agent).await != Some(3) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let orders = executed(&fleet, 0).await;
    let numbers: Vec<u64> = orders.iter().map(|o| o["fencing"].as_u64().unwrap()).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
}

#[tokio::test]
async fn stopped_agent_that_was_replaced_wakes_and_orders_nothing_old() {
    let runs = [(true, 0), (true, 300), (true, 600), (false, 0), (false, 300)];
    futures::future::join_all(runs.map(|(checks, ms)| replace_and_wake(checks, ms))).await;
}
