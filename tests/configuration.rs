//! The configuration of a running fleet when operators publish at the same time, and when the log is
//! slow, down, emptied or has dropped records.

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

fn small_fleet() -> FleetOptions {
    FleetOptions { services: 0, decode_us: 100, ..FleetOptions::default() }
}

/// Replaces the faults that the log stand-in injects.
async fn set_log_fault(fleet: &Fleet, fault: Value) {
    let url = format!("{}/fault", fleet.log.url());
    let timeout = Duration::from_secs(10);
    let _: Value = fleet.http.json(Method::POST, &url, &fault, timeout).await.unwrap();
}

/// Builds a command that publishes the team `raced`.
fn publish_command(fleet: &Fleet, tokens_per_minute: u32, extra_args: &[&str]) -> Command {
    let path = std::env::temp_dir().join(format!("edits-{:016x}.yaml", rand::random::<u64>()));
    let text = format!(
        "- !team {{name: raced, keys: [], tokens_per_minute: {tokens_per_minute}, max_in_flight: 1}}\n"
    );
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.args(["publish", "--author", &format!("operator-{tokens_per_minute}"), "-o", "json"]);
    command.args(["--log-url", &fleet.log.url(), "-f"]).arg(path).args(extra_args);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

fn publish(fleet: &Fleet, tokens_per_minute: u32, extra_args: &[&str]) -> Output {
    publish_command(fleet, tokens_per_minute, extra_args).output().unwrap()
}

fn run_operator_command(fleet: &Fleet, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.args(args).args(["--log-url", &fleet.log.url()]).output().unwrap()
}

/// Returns the tokens per minute of the team `raced`, as read from the log; `None` if the
/// configuration cannot be read or does not contain the team.
fn published_token_limit(fleet: &Fleet) -> Option<u64> {
    let output = run_operator_command(fleet, &["get", "-o", "json"]);
    let cfg: Value = serde_json::from_slice(&output.stdout).ok()?;
    cfg["teams"]["raced"]["tokens_per_minute"].as_u64()
}

fn agent_clients(fleet: &Fleet) -> Vec<TarpcAgent> {
    fleet.agents.iter().map(|agent| TarpcAgent::new(agent.address)).collect()
}

async fn entry_config_offset(http: &HttpClient, url: &str) -> Option<LogOffset> {
    let url = format!("{url}/readyz");
    let timeout = Duration::from_secs(1);
    let report: Value = http.json(Method::GET, &url, &(), timeout).await.ok()?;
    report["configuration"].as_u64().map(LogOffset)
}

async fn agent_config_offset(agent: &TarpcAgent) -> Option<LogOffset> {
    agent.describe().await.ok().map(|description| description.config_offset)
}

/// Polls the configuration offsets of all agents and entries until `stop` is set. Returns a
/// description of each decrease, by which a node reverted to an older configuration.
fn watch_for_reverts(fleet: &Fleet, stop: Arc<AtomicBool>) -> tokio::task::JoinHandle<Vec<String>> {
    let agents = agent_clients(fleet);
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.url()).collect();
    tokio::spawn(async move {
        let http = HttpClient::new();
        let mut latest = vec![LogOffset(0); agents.len() + entries.len()];
        let mut reverted = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let agent_offsets =
                futures::future::join_all(agents.iter().map(agent_config_offset)).await;
            let entry_offsets = entries.iter().map(|url| entry_config_offset(&http, url));
            let entry_offsets = futures::future::join_all(entry_offsets).await;
            for (i, offset) in agent_offsets.into_iter().chain(entry_offsets).enumerate() {
                let Some(offset) = offset else { continue };
                if offset < latest[i] {
                    reverted.push(format!("node {i}: {} -> {offset}", latest[i]));
                }
                latest[i] = offset;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        reverted
    })
}

/// Waits until all listed nodes apply the latest accepted configuration, as `dogwoodway status`
/// reports.
async fn wait_until_applied_everywhere(fleet: &Fleet) {
    let vms = fleet.vms.url();
    while !run_operator_command(fleet, &["status", "--vms-url", &vms]).status.success() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn concurrent_changes_get_verdicts_and_no_node_reverts() {
    let fleet = Fleet::start(small_fleet()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_for_reverts(&fleet, stop.clone());
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
    wait_until_applied_everywhere(&fleet).await;
    let audit = run_operator_command(&fleet, &["audit", "-o", "json"]);
    let trail: Vec<Value> = serde_json::from_slice(&audit.stdout).unwrap();
    let changes = trail.iter().filter(|e| e["bases"][0]["object"]["name"] == "raced");
    let changes: Vec<_> = changes.collect();
    assert_eq!(changes.len(), 16);
    let accepted_bases = changes.iter().filter(|e| e["verdict"].get("accepted").is_some());
    let accepted_bases: Vec<_> =
        accepted_bases.map(|e| e["bases"][0]["version"].as_u64().unwrap()).collect();
    assert_eq!(accepted_bases.len(), accepted);
    assert!(
        accepted_bases.is_sorted_by(|a, b| a < b),
        "two changes of the same version were accepted: {accepted_bases:?}"
    );
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn lost_append_response_is_resolved_and_republishing_has_no_effect() {
    let fleet = Fleet::start(small_fleet()).await;
    set_log_fault(&fleet, json!({"lose_answers": 1})).await;
    let first = publish(&fleet, 7, &["--change-id", "once"]);
    assert_eq!(first.status.code(), Some(0));
    assert_eq!(publish(&fleet, 8, &[]).status.code(), Some(0));
    let repeat = publish(&fleet, 7, &["--change-id", "once"]);
    assert_eq!(repeat.stdout, first.stdout);
    let queried = publish(&fleet, 7, &["--change-id", "once", "--ask"]);
    assert_eq!(queried.stdout, first.stdout);
    assert_eq!(published_token_limit(&fleet), Some(8));
}

#[tokio::test]
async fn emptied_log_is_restored_without_reverting_any_node() {
    let fleet = Fleet::start(small_fleet()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_until_applied_everywhere(&fleet).await;
    let before = agent_config_offset(&agent_clients(&fleet)[0]).await.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_for_reverts(&fleet, stop.clone());
    set_log_fault(&fleet, json!({"wipe": true})).await;
    while published_token_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(published_token_limit(&fleet), Some(7));
    assert_eq!(publish(&fleet, 9, &[]).status.code(), Some(0));
    wait_until_applied_everywhere(&fleet).await;
    assert!(agent_config_offset(&agent_clients(&fleet)[0]).await.unwrap() > before);
    assert!(fleet.chat(0, &chat_body("hello", 2)).await.status.is_success());
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn frozen_agent_that_missed_dropped_records_does_not_revert() {
    let fleet = Fleet::start(small_fleet()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_until_applied_everywhere(&fleet).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_for_reverts(&fleet, stop.clone());
    fleet.agents[0].signal("STOP");
    assert_eq!(publish(&fleet, 8, &[]).status.code(), Some(0));
    assert_eq!(publish(&fleet, 9, &[]).status.code(), Some(0));
    set_log_fault(&fleet, json!({"drop_records": 1000})).await;
    while published_token_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.agents[0].signal("CONT");
    wait_until_applied_everywhere(&fleet).await;
    assert_eq!(published_token_limit(&fleet), Some(9));
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watcher.await.unwrap(), Vec::<String>::new());
}

#[tokio::test]
async fn restarted_entry_gets_its_configuration_from_peers_while_the_log_is_too_slow() {
    let mut fleet = Fleet::start(small_fleet()).await;
    set_log_fault(&fleet, json!({"delay_ms": 600_000})).await;
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn dropped_records_are_replaced_by_a_snapshot() {
    let mut fleet = Fleet::start(small_fleet()).await;
    assert_eq!(publish(&fleet, 7, &[]).status.code(), Some(0));
    wait_until_applied_everywhere(&fleet).await;
    set_log_fault(&fleet, json!({"drop_records": 1000})).await;
    while published_token_limit(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(published_token_limit(&fleet), Some(7));
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn restarted_entry_gets_its_configuration_from_peers_while_the_log_is_down() {
    let mut fleet = Fleet::start(small_fleet()).await;
    set_log_fault(&fleet, json!({"down": true})).await;
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("hello", 2)).await.status.is_success() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn restarted_entry_without_log_and_peers_refuses_requests() {
    let mut fleet = Fleet::start(small_fleet()).await;
    set_log_fault(&fleet, json!({"down": true})).await;
    fleet.agents.iter_mut().for_each(|agent| agent.kill());
    fleet.entries[0].restart();
    fleet.http = HttpClient::new();
    let url = format!("{}/readyz", fleet.entries[0].url());
    let timeout = Duration::from_secs(10);
    let ready = fleet.http.call(Method::GET, &url, "text/plain", "".into(), timeout).await.unwrap();
    assert_eq!(ready.status, 503);
    let reply = fleet.chat(0, &chat_body("hello", 2)).await;
    let body: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(reply.status, 503, "{body}");
    assert_eq!(body["error"]["type"], "not-run", "{body}");
    assert_eq!(body["error"]["code"], "no-configuration", "{body}");
}
