//! Benchmarks of the configuration: the time until a change is in force at many nodes, and the time
//! until a new node has the whole configuration.

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

/// Longest wait for a configuration to be in force; after it the measurement fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time to wait after the configuration was restored, so that redundant restores by other nodes are
/// counted too.
const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Records that the log retains of each stream.
const RETAINED_RECORDS: usize = 100_000;

/// Times from the publication of a change until it is in force.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigPropagation {
    /// Number of nodes that follow the log.
    pub followers: usize,
    /// Number of changes published.
    pub publishes: usize,
    /// Median over all changes and nodes, in milliseconds.
    pub node_p50_ms: f64,
    /// 99th percentile over all changes and nodes, in milliseconds.
    pub node_p99_ms: f64,
    /// Median over all changes of the time until a change is in force at all nodes, in
    /// milliseconds.
    pub everywhere_p50_ms: f64,
    /// Longest time until a change is in force at all nodes, in milliseconds.
    pub everywhere_max_ms: f64,
    /// Time from the loss of all records of the log until all nodes follow the restored
    /// configuration, in milliseconds.
    pub restored_everywhere_ms: f64,
    /// Records in the log some seconds after the configuration was restored. One is needed; further
    /// ones are redundant restores.
    pub restore_records: u64,
}

/// Time until a new node has a configuration of a given size.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRecovery {
    /// Number of teams in the configuration.
    pub teams: u32,
    /// Length of the encoded snapshot in bytes.
    pub snapshot_bytes: usize,
    /// Number of log records into which the snapshot is split.
    pub snapshot_records: usize,
    /// Time until a new node has the configuration from the log, in milliseconds.
    pub from_log_ms: f64,
    /// Time until a new node has the configuration from a peer in the same process while the log
    /// cannot be reached, in milliseconds.
    pub from_peer_ms: f64,
}

/// Publishes changes one after the other over a log on loopback, and measures when they are in
/// force at followers in the same process.
///
/// # Errors
///
/// Fails if the log cannot be reached, or if a change is not in force at all nodes within 30
/// seconds.
pub async fn measure_config_propagation(
    followers: usize,
    publishes: usize,
) -> Result<ConfigPropagation, String> {
    let url = start_log().await?;
    let log = HttpLog::new(url.clone());
    let mut state = initialize_log(&log).await.map_err(|e| e.to_string())?;
    let nodes: Vec<_> = (0..followers)
        .map(|seed| follow(Arc::new(log.clone()), Arc::new(NoPeers), seed as u64))
        .collect();
    wait_for_all(&nodes, state.configuration.offset).await?;
    let mut node_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut everywhere_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for i in 0..publishes {
        let started_at = Instant::now();
        publish(&log, &mut state, vec![team_edit(1, i as u64)]).await?;
        let in_force_at = wait_for_all(&nodes, state.configuration.offset).await?;
        let times = in_force_at.iter().map(|at| (*at - started_at).as_micros() as u64);
        let times: Vec<_> = times.collect();
        times.iter().for_each(|us| node_us += *us);
        everywhere_us += times.into_iter().max().unwrap_or_default();
    }
    let (restored_everywhere_ms, restore_records) = wipe_log(&url, &log, &nodes).await?;
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

/// Wipes the log. Returns the time until all nodes follow the restored configuration, in
/// milliseconds, and the number of records in the log some seconds later.
async fn wipe_log(url: &str, log: &HttpLog, nodes: &[ConfigHandle]) -> Result<(f64, u64), String> {
    let started_at = Instant::now();
    let fault = format!("{url}/fault");
    let wipe = json!({"wipe": true});
    let http = HttpClient::new();
    let resp = http.json::<_, Value>(Method::POST, &fault, &wipe, TIMEOUT).await;
    resp.map_err(|e| e.to_string())?;
    let next_epoch = Position { epoch: 1, offset: LogOffset(0) }.pack();
    wait_for_all(nodes, next_epoch).await?;
    let restored_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    tokio::time::sleep(RESTORE_SETTLE_TIME).await;
    let resp = log.read(StreamName::Config, LogOffset(1), 1, 0).await;
    Ok((restored_ms, resp.map_err(|e| e.to_string())?.next.0 - 1))
}

/// Measures how long a new node takes to get the configuration, for several numbers of teams.
///
/// # Errors
///
/// Fails if the log cannot be reached, or if the configuration is not in force within 30 seconds.
pub async fn measure_config_recovery(sizes: &[u32]) -> Result<Vec<ConfigRecovery>, String> {
    let mut results = Vec::new();
    for &teams in sizes {
        let log = HttpLog::new(start_log().await?);
        let mut state = initialize_log(&log).await.map_err(|e| e.to_string())?;
        publish(&log, &mut state, (0..teams).map(|i| team_edit(i, 1)).collect()).await?;
        let snapshot = Snapshot::new(&state);
        let snapshot_bytes = snapshot.text.len();
        let covers = SnapshotCoverage { offset: state.position().offset, anchor: None };
        let records = snapshot.clone().into_records(SnapshotKind::Refresh, 0, Some(covers), 1);
        append(&log, &records).await.map_err(|e| e.to_string())?;
        let from_log_ms = time_recovery(Arc::new(log), Arc::new(NoPeers), &state).await?;
        let unreachable = Arc::new(HttpLog::new("http://127.0.0.1:9".to_owned()));
        let from_peer_ms =
            time_recovery(unreachable, Arc::new(FixedPeer(snapshot)), &state).await?;
        let snapshot_records = records.len();
        results.push(ConfigRecovery {
            teams,
            snapshot_bytes,
            snapshot_records,
            from_log_ms,
            from_peer_ms,
        });
    }
    Ok(results)
}

/// Peers that always answer with the same snapshot.
struct FixedPeer(Snapshot);

impl ConfigPeers for FixedPeer {
    fn fetch(&self, _: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async { vec![self.0.clone()] }.boxed()
    }
}

/// Starts a node and returns the time until it has the configuration of `state`, in milliseconds.
async fn time_recovery(
    log: Arc<dyn PlatformLog>,
    peers: Arc<dyn ConfigPeers>,
    state: &ConfigState,
) -> Result<f64, String> {
    let started_at = Instant::now();
    let node = follow(log, peers, 1);
    wait_for_all(std::slice::from_ref(&node), state.configuration.offset).await?;
    Ok(started_at.elapsed().as_secs_f64() * 1_000.0)
}

/// Waits until the configuration of all nodes has reached a position; returns when each did.
async fn wait_for_all(nodes: &[ConfigHandle], position: LogOffset) -> Result<Vec<Instant>, String> {
    let waits = nodes.iter().map(|node| async move {
        let mut watch = node.watch();
        let reached = watch.wait_for(|cfg| cfg.as_ref().is_some_and(|c| c.offset >= position));
        let result = tokio::time::timeout(TIMEOUT, reached).await;
        result.is_ok_and(|r| r.is_ok()).then(Instant::now)
    });
    let times = futures::future::join_all(waits).await;
    let times: Option<Vec<_>> = times.into_iter().collect();
    times.ok_or_else(|| {
        let limit_s = TIMEOUT.as_secs();
        format!("log position {position} was not in force at all nodes within {limit_s} s")
    })
}

/// Starts a log on loopback and returns its base URL.
async fn start_log() -> Result<String, String> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio::net::TcpListener::bind(address).await.map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let handler = log_handler(RETAINED_RECORDS);
    tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));
    Ok(format!("http://{address}"))
}

/// Publishes the initial configuration and returns it.
async fn initialize_log(log: &HttpLog) -> Result<ConfigState, LogError> {
    let snapshot = Snapshot::new(&ConfigState::new_deployment());
    let records = snapshot.into_records(SnapshotKind::Restore, 0, None, 0);
    append(log, &records).await?;
    let mut state = ConfigState::default();
    for (i, record) in records.iter().enumerate() {
        state.apply(LogOffset(i as u64 + 1), record);
    }
    Ok(state)
}

/// Publishes a change and applies it to `state`.
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

/// Appends records to the configuration stream; returns the offset of the first one.
async fn append(log: &HttpLog, records: &[ConfigRecord]) -> Result<LogOffset, LogError> {
    let values: Vec<Value> =
        records.iter().filter_map(|record| serde_json::to_value(record).ok()).collect();
    Ok(log.append(StreamName::Config, values).await?.first)
}

fn team_edit(i: u32, tokens_per_minute: u64) -> ConfigEdit {
    let text = format!("team-{i}");
    let name =
        TeamName::try_from(text.as_str()).expect("letters, digits and hyphens are valid in a name");
    let keys = vec![KeyHash::new("pepper", &text)];
    ConfigEdit::Team(Team { name, keys, tokens_per_minute, max_in_flight: 100 })
}
