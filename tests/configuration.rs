//! The configuration of a running fleet under races and faults of the log.

mod fleet;

use std::{
    process::{Command, Output, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_http::HttpClient;
use dogwoodway_peer::{AgentApi, TarpcAgent};
use dogwoodway_types::LogOffset;
use hyper::Method;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, chat_body};

fn small() -> FleetOptions {
    FleetOptions { services: 0, decode_us: 100, ..FleetOptions::default() }
}

async fn fault(fleet: &Fleet, fault: Value) {
    let url = format!("{}/fault", fleet.log.url());
    let limit = Duration::from_secs(10);
    let _: Value = fleet.http.json(Method::POST, &url, &fault, limit).await.unwrap();
}

fn publish_command(fleet: &Fleet, limit: u32, more: &[&str]) -> Command {
    let path = std::env::temp_dir().join(format!("edits-{:016x}.yaml", rand::random::<u64>()));
    let text = format!(
        "- !team {{name: raced, keys: [], tokens_per_minute: {limit}, max_in_flight: 1}}\n"
    );
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.args(["publish", "--author", &format!("operator-{limit}"), "-o", "json"]);
    command.args(["--log-url", &fleet.log.url(), "-f"]).arg(path).args(more);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

fn publish(fleet: &Fleet, limit: u32, more: &[&str]) -> Output {
    publish_command(fleet, limit, more).output().unwrap()
}

fn operator(fleet: &Fleet, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.args(args).args(["--log-url", &fleet.log.url()]).output().unwrap()
}

fn raced_limit(fleet: &Fleet) -> Option<u64> {
    let output = operator(fleet, &["get", "-o", "json"]);
    let cfg: Value = serde_json::from_slice(&output.stdout).ok()?;
    cfg["teams"]["raced"]["tokens_per_minute"].as_u64()
}

fn links(fleet: &Fleet) -> Vec<TarpcAgent> {
    fleet.agents.iter().map(|agent| TarpcAgent::new(agent.address)).collect()
}

async fn offset_of_entry(http: &HttpClient, url: &str) -> Option<LogOffset> {
    let url = format!("{url}/readyz");
    let limit = Duration::from_secs(1);
    let report: Value = http.json(Method::GET, &url, &(), limit).await.ok()?;
    report["configuration"].as_u64().map(LogOffset)
}

async fn offset_of(agent: &TarpcAgent) -> Option<LogOffset> {
    agent.describe().await.ok().map(|description| description.config_offset)
}

/// Watches all nodes until told to stop; returns which went back to an older configuration.
fn watch(fleet: &Fleet, stop: Arc<AtomicBool>) -> tokio::task::JoinHandle<Vec<String>> {
    let agents = links(fleet);
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.url()).collect();
    tokio::spawn(async move {
        let http = HttpClient::new();
        let mut newest = vec![LogOffset(0); agents.len() + entries.len()];
        let mut reverted = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let of_agents = futures::future::join_all(agents.iter().map(offset_of)).await;
            let of_entries = entries.iter().map(|url| offset_of_entry(&http, url));
            let of_entries = futures::future::join_all(of_entries).await;
            for (i, offset) in of_agents.into_iter().chain(of_entries).enumerate() {
                let Some(offset) = offset else { continue };
                if offset < newest[i] {
                    reverted.push(format!("node {i}: {} -> {offset}", newest[i]));
                }
                newest[i] = offset;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        reverted
    })
}

async fn wait_for_status(fleet: &Fleet) {
    let vms = fleet.vms.url();
    while !operator(fleet, &["status", "--vms-url", &vms]).status.success() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn racing_operators_get_verdicts_and_no_agent_goes_back() {
    let fleet = Fleet::start(small()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch(&fleet, stop.clone());
    let mut accepted = 0;
    for round in 0..4u32 {
        let children: Vec<_> = (0..4u32)
            .map(|i| publish_command(&fleet, round * 10 + i, &[]).spawn().unwrap())
            .collect();
        for child in children {
            let output = child.wait_with_output().unwrap();
            let code = output.status.code();
            assert!(code == Some(0) || code == Some(3), "{code:?}");
            accepted += usize::from(code == Some(0));
        }
    }
    assert!(accepted >= 4);
    wait_for_status(&fleet).await;
    let audit = operator(&fleet, &["audit", "-o", "json"]);
    let trail: Vec<Value> = serde_json::from_slice(&audit.stdout).unwrap();
    let raced = trail.iter().filter(|e| e["bases"][0]["object"]["name"] == "raced");
    let raced: Vec<_> = raced.collect();
    assert_eq!(raced.len(), 16);
    let wins = raced.iter().filter(|e| e["verdict"].get("accepted").is_some());
    let wins: Vec<_> = wins.map(|e| e["bases"][0]["version"].as_u64().unwrap()).collect();
    assert_eq!(wins.len(), accepted);
    assert!(wins.is_sorted_by(|a, b| a < b), "two changes won against one version: {wins:?}");
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn lost_append_answer_is_resolved_and_a_repeat_is_harmless() {
    let fleet = Fleet::start(small()).await;
    fault(&fleet, json!({"lose_answers": 1})).await;
    let first = publish(&fleet, 7, &["--change-id", "once"]);
    assert_eq!(first.status.code(), Some(0));
    assert_eq!(publish(&fleet, 8, &[]).status.code(), Some(0));
    let repeat = publish(&fleet, 7, &["--change-id", "once"]);
    assert_eq!(repeat.stdout, first.stdout);
    let asked = publish(&fleet, 7, &["--change-id", "once", "--ask"]);
    assert_eq!(asked.stdout, first.stdout);
    assert_eq!(raced_limit(&fleet), Some(8));
}

#[tokio::test]
async fn emptied_log_is_restored_and_nothing_reverts() {
    let fleet = Fleet::start(small()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_for_status(&fleet).await;
    let before = offset_of(&links(&fleet)[0]).await.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch(&fleet, stop.clone());
    fault(&fleet, json!({"wipe": true})).await;
    while raced_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(raced_limit(&fleet), Some(7));
    assert_eq!(publish(&fleet, 9, &[]).status.code(), Some(0));
    wait_for_status(&fleet).await;
    assert!(offset_of(&links(&fleet)[0]).await.unwrap() > before);
    assert!(fleet.chat(0, &chat_body("hello", 2)).await.status.is_success());
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn frozen_agent_that_missed_dropped_records_does_not_go_back() {
    let fleet = Fleet::start(small()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_for_status(&fleet).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch(&fleet, stop.clone());
    fleet.agents[0].signal("STOP");
    assert_eq!(publish(&fleet, 8, &[]).status.code(), Some(0));
    assert_eq!(publish(&fleet, 9, &[]).status.code(), Some(0));
    fault(&fleet, json!({"drop_records": 1000})).await;
    while raced_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.agents[0].signal("CONT");
    wait_for_status(&fleet).await;
    assert_eq!(raced_limit(&fleet), Some(9));
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn cold_entry_serves_from_peers_while_the_log_is_too_slow() {
    let mut fleet = Fleet::start(small()).await;
    fault(&fleet, json!({"delay_ms": 600_000})).await;
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn dropped_records_are_covered_by_a_snapshot() {
    let mut fleet = Fleet::start(small()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_for_status(&fleet).await;
    fault(&fleet, json!({"drop_records": 1000})).await;
    while raced_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(raced_limit(&fleet), Some(7));
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn cold_entry_serves_from_peers_while_the_log_is_down() {
    let mut fleet = Fleet::start(small()).await;
    fault(&fleet, json!({"down": true})).await;
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn cold_entry_without_log_and_peers_says_so() {
    let mut fleet = Fleet::start(small()).await;
    fault(&fleet, json!({"down": true})).await;
    fleet.agents.iter_mut().for_each(|agent| agent.kill());
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    let url = format!("{}/readyz", fleet.entries[0].url());
    let limit = Duration::from_secs(10);
    let ready = fleet.http.call(Method::GET, &url, "text/plain", "".into(), limit).await.unwrap();
    assert_eq!(ready.status, 503);
    let reply = fleet.chat(0, &chat_body("hello", 2)).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(reply.status, 503, "{body}");
    assert_eq!(body["error"]["type"], "not-run", "{body}");
    assert_eq!(body["error"]["code"], "no-configuration", "{body}");
}
