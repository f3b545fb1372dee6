//! Measures how fast a change is in force at many nodes, and how fast a node recovers its state.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dogwoodway_control::{
    ConfigChange, ConfigRecord, ConfigState, Position, Snapshot, SnapshotCoverage, SnapshotKind,
};
use dogwoodway_follower::{ConfigHandle, ConfigPeers, NoPeers, follow};
use dogwoodway_http::{HttpClient, ServerLimits, serve};
use dogwoodway_log::{HttpLog, LogError, PlatformLog, StreamName};
use dogwoodway_types::{ChangeId, ConfigEdit, KeyHash, LogOffset, Team, TeamName, Timestamp};
use futures::{FutureExt, future::BoxFuture};
use hdrhistogram::Histogram;
use hyper::Method;
use serde::Serialize;
use serde_json::{Value, json};

use crate::log_handler;

/// Longest wait for a state; a longer one fails the measurement.
const LIMIT: Duration = Duration::from_secs(30);

/// Time after a restore in which further restores would come.
const RESTORES_SETTLE: Duration = Duration::from_secs(5);

/// Records that the log of a measurement keeps.
const RETAINED: usize = 100_000;

/// Times from publishing to in force, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigPropagation {
    /// Nodes that followed.
    pub followers: usize,
    /// Changes published.
    pub publishes: usize,
    /// Median over changes and nodes.
    pub node_p50_ms: f64,
    /// 99th percentile over changes and nodes.
    pub node_p99_ms: f64,
    /// Median over changes of the time until the last node had it.
    pub everywhere_p50_ms: f64,
    /// Longest time until the last node had a change.
    pub everywhere_max_ms: f64,
    /// Time from the loss of the whole log until all nodes follow the restored one.
    pub restored_everywhere_ms: f64,
    /// Records on the log some seconds after it was restored, one of which is needed.
    pub restore_records: u64,
}

/// Time to recover a state of one size.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRecovery {
    /// Teams in the configuration.
    pub teams: u32,
    /// Length of the snapshot.
    pub snapshot_bytes: usize,
    /// Records that the snapshot is cut into.
    pub snapshot_records: usize,
    /// Milliseconds until a cold node holds the state that it reads from the log.
    pub from_log_ms: f64,
    /// Milliseconds until a cold node holds the state of a peer in this process, the log being down.
    pub from_peer_ms: f64,
}

/// Publishes changes one after the other to followers in this process over a log on loopback.
///
/// # Errors
///
/// Fails if the log cannot be reached or a change is not in force in time.
pub async fn measure_config_propagation(
    followers: usize,
    publishes: usize,
) -> Result<ConfigPropagation, String> {
    let url = start_log().await?;
    let log = HttpLog::new(url.clone());
    let mut state = begin(&log).await.map_err(|e| e.to_string())?;
    let nodes: Vec<_> = (0..followers)
        .map(|seed| follow(Arc::new(log.clone()), Arc::new(NoPeers), seed as u64))
        .collect();
    wait_all(&nodes, state.configuration.offset).await?;
    let mut node_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut everywhere_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for i in 0..publishes {
        let started_at = Instant::now();
        publish(&log, &mut state, vec![team(1, i as u64)]).await?;
        let all = wait_all(&nodes, state.configuration.offset).await?;
        let times = all.iter().map(|at| (*at - started_at).as_micros() as u64);
        let times: Vec<_> = times.collect();
        times.iter().for_each(|us| node_us += *us);
        everywhere_us += times.into_iter().max().unwrap_or_default();
    }
    let (restored_everywhere_ms, restore_records) = lose_log(&url, &log, &nodes).await?;
    let ms = |us: u64| us as f64 / 1_000.0;
    Ok(ConfigPropagation {
        followers,
        publishes,
        node_p50_ms: ms(node_us.value_at_quantile(0.5)),
        node_p99_ms: ms(node_us.value_at_quantile(0.99)),
        everywhere_p50_ms: ms(everywhere_us.value_at_quantile(0.5)),
        everywhere_max_ms: ms(everywhere_us.max()),
        restored_everywhere_ms,
        restore_records,
    })
}

/// Empties the log; returns the time until all nodes follow the restored one, and its records.
async fn lose_log(url: &str, log: &HttpLog, nodes: &[ConfigHandle]) -> Result<(f64, u64), String> {
    let started_at = Instant::now();
    let fault = format!("{url}/fault");
    let wipe = json!({"wipe": true});
    let http = HttpClient::new();
    let answer = http.json::<_, Value>(Method::POST, &fault, &wipe, LIMIT).await;
    answer.map_err(|e| e.to_string())?;
    let next_epoch = Position { epoch: 1, offset: LogOffset(0) }.pack();
    wait_all(nodes, next_epoch).await?;
    let restored_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    tokio::time::sleep(RESTORES_SETTLE).await;
    let answer = log.read(StreamName::Config, LogOffset(1), 1, 0).await;
    Ok((restored_ms, answer.map_err(|e| e.to_string())?.next.0 - 1))
}

/// Measures the recovery of a cold node for several sizes of the state.
///
/// # Errors
///
/// Fails if the log cannot be reached or a state is not recovered in time.
pub async fn measure_config_recovery(sizes: &[u32]) -> Result<Vec<ConfigRecovery>, String> {
    let mut found = Vec::new();
    for &teams in sizes {
        let log = HttpLog::new(start_log().await?);
        let mut state = begin(&log).await.map_err(|e| e.to_string())?;
        publish(&log, &mut state, (0..teams).map(|i| team(i, 1)).collect()).await?;
        let snapshot = Snapshot::new(&state);
        let snapshot_bytes = snapshot.text.len();
        let covers = SnapshotCoverage { offset: state.position().offset, anchor: None };
        let records = snapshot.clone().into_records(SnapshotKind::Refresh, 0, Some(covers), 1);
        append(&log, &records).await.map_err(|e| e.to_string())?;
        let from_log_ms = recover(Arc::new(log), Arc::new(NoPeers), &state).await?;
        let down = Arc::new(HttpLog::new("http://127.0.0.1:9".to_owned()));
        let from_peer_ms = recover(down, Arc::new(OnePeer(snapshot)), &state).await?;
        let snapshot_records = records.len();
        found.push(ConfigRecovery {
            teams,
            snapshot_bytes,
            snapshot_records,
            from_log_ms,
            from_peer_ms,
        });
    }
    Ok(found)
}

/// A peer that always answers the same state.
struct OnePeer(Snapshot);

impl ConfigPeers for OnePeer {
    fn fetch(&self, _: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async { vec![self.0.clone()] }.boxed()
    }
}

async fn recover(
    log: Arc<dyn PlatformLog>,
    peers: Arc<dyn ConfigPeers>,
    state: &ConfigState,
) -> Result<f64, String> {
    let started_at = Instant::now();
    let node = follow(log, peers, 1);
    wait_all(std::slice::from_ref(&node), state.configuration.offset).await?;
    Ok(started_at.elapsed().as_secs_f64() * 1_000.0)
}

/// Waits until all nodes have a configuration; returns when each had it.
async fn wait_all(nodes: &[ConfigHandle], position: LogOffset) -> Result<Vec<Instant>, String> {
    let waits = nodes.iter().map(|node| async move {
        let mut watch = node.watch();
        let reached = watch.wait_for(|cfg| cfg.as_ref().is_some_and(|c| c.offset >= position));
        let result = tokio::time::timeout(LIMIT, reached).await;
        result.is_ok_and(|r| r.is_ok()).then(Instant::now)
    });
    let times = futures::future::join_all(waits).await;
    let times: Option<Vec<_>> = times.into_iter().collect();
    times.ok_or_else(|| format!("{position} was not in force in time"))
}

async fn start_log() -> Result<String, String> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio::net::TcpListener::bind(listen).await.map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let handler = log_handler(RETAINED);
    tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));
    Ok(format!("http://{address}"))
}

async fn begin(log: &HttpLog) -> Result<ConfigState, LogError> {
    let genesis = Snapshot::new(&ConfigState::new_deployment());
    let records = genesis.into_records(SnapshotKind::Restore, 0, None, 0);
    append(log, &records).await?;
    let mut state = ConfigState::default();
    for (i, record) in records.iter().enumerate() {
        state.apply(LogOffset(i as u64 + 1), record);
    }
    Ok(state)
}

async fn publish(
    log: &HttpLog,
    state: &mut ConfigState,
    edits: Vec<ConfigEdit>,
) -> Result<(), String> {
    let id = format!("change-{}", state.position().offset);
    let change = ConfigRecord::Change(ConfigChange {
        id: ChangeId::try_from(id).map_err(|e| e.to_string())?,
        author: "bench".to_owned(),
        made_at: Timestamp::now(),
        bases: state.base_versions(&edits),
        edits,
    });
    let first = append(log, std::slice::from_ref(&change)).await.map_err(|e| e.to_string())?;
    state.apply(first, &change);
    Ok(())
}

async fn append(log: &HttpLog, records: &[ConfigRecord]) -> Result<LogOffset, LogError> {
    let values: Vec<Value> =
        records.iter().filter_map(|record| serde_json::to_value(record).ok()).collect();
    Ok(log.append(StreamName::Config, values).await?.first)
}

fn team(i: u32, tokens_per_minute: u64) -> ConfigEdit {
    let text = format!("team-{i}");
    let name = TeamName::try_from(text.as_str()).expect("the name has letters and digits only");
    let keys = vec![KeyHash::new("pepper", &text)];
    ConfigEdit::Team(Team { name, keys, tokens_per_minute, max_in_flight: 100 })
}
