//! Runs followers on an in-memory log and in-memory peers, in paused tokio time.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dogwoodway_control::{ConfigChange, ConfigRecord, ConfigState, Snapshot, SnapshotKind};
use dogwoodway_follower::{ConfigHandle, ConfigPeers, NoPeers, follow};
use dogwoodway_log::{AppendResponse, LogError, LogRecord, PlatformLog, ReadResponse, StreamName};
use dogwoodway_types::{ChangeId, ConfigEdit, LogOffset, Timestamp};
use futures::{FutureExt, future::BoxFuture};
use serde_json::Value;
use tokio::time::sleep;

#[derive(Default)]
struct Inner {
    records: Vec<Value>,
    is_down: bool,
    /// Appends take effect, but their responses are lost.
    loses_responses: bool,
    /// Reads do not return.
    hangs: bool,
}

/// An in-memory log that can be down, be emptied, lose the responses to appends, or hang.
#[derive(Clone, Default)]
struct FakeLog(Arc<Mutex<Inner>>);

impl FakeLog {
    fn with<R>(&self, f: impl FnOnce(&mut Inner) -> R) -> R {
        f(&mut self.0.lock().unwrap())
    }

    fn push(&self, records: &[ConfigRecord]) {
        let records = records.iter().map(|r| serde_json::to_value(r).unwrap());
        self.with(|inner| inner.records.extend(records));
    }

    /// Appends the initial snapshot of a new deployment.
    fn initialize(&self) {
        let snapshot = Snapshot::new(&ConfigState::new_deployment());
        self.push(&snapshot.into_records(SnapshotKind::Restore, 0, None, 0));
    }

    fn len(&self) -> usize {
        self.with(|inner| inner.records.len())
    }
}

impl PlatformLog for FakeLog {
    fn append(
        &self,
        _: StreamName,
        records: Vec<Value>,
    ) -> BoxFuture<'_, Result<AppendResponse, LogError>> {
        let result = self.with(|inner| {
            if inner.is_down {
                return Err(LogError::Unavailable("down".to_owned()));
            }
            let first = LogOffset(inner.records.len() as u64 + 1);
            inner.records.extend(records);
            match inner.loses_responses {
                true => Err(LogError::Unknown("lost".to_owned())),
                false => Ok(AppendResponse { first }),
            }
        });
        async move { result }.boxed()
    }

    fn read(
        &self,
        _: StreamName,
        from: LogOffset,
        limit: u32,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<ReadResponse, LogError>> {
        async move {
            if self.with(|inner| inner.hangs) {
                sleep(Duration::from_secs(3_600)).await;
            }
            for _ in 0..=wait_ms / 10 {
                let response = self.with(|inner| {
                    if inner.is_down {
                        return Err(LogError::Unavailable("down".to_owned()));
                    }
                    let all = inner.records.iter().enumerate();
                    let all = all.map(|(i, data)| LogRecord {
                        offset: LogOffset(i as u64 + 1),
                        data: data.clone(),
                    });
                    let found = all.filter(|record| record.offset >= from).take(limit as usize);
                    let records: Vec<_> = found.collect();
                    let next = LogOffset(inner.records.len() as u64 + 1);
                    Ok(ReadResponse { oldest: LogOffset(1), next, records })
                })?;
                if !response.records.is_empty() || wait_ms == 0 {
                    return Ok(response);
                }
                sleep(Duration::from_millis(10)).await;
            }
            let next = LogOffset(self.len() as u64 + 1);
            Ok(ReadResponse { oldest: LogOffset(1), next, records: Vec::new() })
        }
        .boxed()
    }
}

/// A peer that returns one state, if it has one.
#[derive(Clone)]
struct OnePeer(Arc<Mutex<Option<ConfigState>>>);

impl OnePeer {
    fn new(state: Option<ConfigState>) -> OnePeer {
        OnePeer(Arc::new(Mutex::new(state)))
    }
}

impl ConfigPeers for OnePeer {
    fn fetch(&self, _: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        let state = self.0.lock().unwrap().clone();
        async move { state.iter().map(Snapshot::new).collect() }.boxed()
    }
}

fn change(state: &ConfigState, id: &str, limit: u32) -> ConfigRecord {
    let yaml =
        format!("- !team {{name: t, keys: [], tokens_per_minute: {limit}, max_in_flight: 1}}");
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&yaml).unwrap();
    ConfigRecord::Change(ConfigChange {
        id: ChangeId::try_from(id).unwrap(),
        author: "ana".to_owned(),
        made_at: Timestamp::default(),
        bases: state.base_versions(&edits),
        edits,
    })
}

/// Appends a change to the log and applies it to `state`.
fn publish(log: &FakeLog, state: &mut ConfigState, id: &str, limit: u32) {
    let record = change(state, id, limit);
    log.push(std::slice::from_ref(&record));
    state.apply(LogOffset(log.len() as u64), &record);
}

/// Initializes the log and returns the state after its records.
fn initialized(log: &FakeLog) -> ConfigState {
    log.initialize();
    let mut state = ConfigState::new_deployment();
    state.skip(LogOffset(1));
    state.configuration.offset = LogOffset(1);
    state
}

fn limit_of(handle: &ConfigHandle) -> Option<u64> {
    Some(handle.current()?.teams.values().next()?.tokens_per_minute)
}

async fn wait_until_settled() {
    sleep(Duration::from_secs(3)).await;
}

#[tokio::test(start_paused = true)]
async fn no_configuration_is_in_force_without_log_and_peers() {
    let log = FakeLog::default();
    log.with(|inner| inner.is_down = true);
    let handle = follow(Arc::new(log), Arc::new(NoPeers), 1);
    wait_until_settled().await;
    assert_eq!(handle.current(), None);
}

#[tokio::test(start_paused = true)]
async fn peer_is_used_while_the_log_is_down_and_the_log_afterwards() {
    let log = FakeLog::default();
    let mut state = initialized(&log);
    publish(&log, &mut state, "c1", 7);
    log.with(|inner| inner.is_down = true);
    let handle = follow(Arc::new(log.clone()), Arc::new(OnePeer::new(Some(state.clone()))), 1);
    wait_until_settled().await;
    assert_eq!(limit_of(&handle), Some(7));
    log.with(|inner| inner.is_down = false);
    publish(&log, &mut state, "c2", 8);
    wait_until_settled().await;
    assert_eq!(limit_of(&handle), Some(8));
    assert_eq!(handle.position(), state.configuration.offset);
}

#[tokio::test(start_paused = true)]
async fn emptied_log_is_restored_once_by_three_nodes() {
    let log = FakeLog::default();
    let mut state = initialized(&log);
    publish(&log, &mut state, "c1", 7);
    let nodes: Vec<_> =
        (0..3).map(|seed| follow(Arc::new(log.clone()), Arc::new(NoPeers), seed)).collect();
    wait_until_settled().await;
    let before = nodes[0].position();
    log.with(|inner| inner.records.clear());
    sleep(Duration::from_secs(10)).await;
    assert_eq!(log.len(), 1);
    for node in &nodes {
        assert_eq!(limit_of(node), Some(7));
        assert!(node.position() > before);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_append_responses_cause_no_second_restore() {
    let log = FakeLog::default();
    let mut state = initialized(&log);
    publish(&log, &mut state, "c1", 7);
    let handle = follow(Arc::new(log.clone()), Arc::new(NoPeers), 1);
    wait_until_settled().await;
    log.with(|inner| {
        inner.records.clear();
        inner.loses_responses = true;
    });
    sleep(Duration::from_secs(10)).await;
    assert_eq!(limit_of(&handle), Some(7));
    assert_eq!(log.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn node_that_is_behind_asks_a_peer_at_once() {
    let log = FakeLog::default();
    let mut state = initialized(&log);
    publish(&log, &mut state, "c1", 7);
    let known = state.clone();
    let record = change(&known, "c2", 8);
    state.apply(LogOffset(log.len() as u64 + 1), &record);
    let peer = OnePeer::new(None);
    let handle = follow(Arc::new(log.clone()), Arc::new(peer.clone()), 1);
    handle.wait_for(known.configuration.offset, Timestamp::MAX).await;
    wait_until_settled().await;
    log.with(|inner| inner.hangs = true);
    *peer.0.lock().unwrap() = Some(state.clone());
    assert_eq!(limit_of(&handle), Some(7));
    let position = state.configuration.offset;
    let limit = Timestamp::now() + Duration::from_secs(1);
    assert!(handle.wait_for(position, limit).await);
    assert_eq!(limit_of(&handle), Some(8));
}

#[tokio::test(start_paused = true)]
async fn snapshot_is_refreshed_by_one_of_many_nodes() {
    let log = FakeLog::default();
    initialized(&log);
    let _nodes: Vec<_> =
        (0..10).map(|seed| follow(Arc::new(log.clone()), Arc::new(NoPeers), seed)).collect();
    sleep(Duration::from_secs(200)).await;
    let appended = log.len() - 1;
    assert!((2..=4).contains(&appended), "{appended} snapshots in 200 s");
}
