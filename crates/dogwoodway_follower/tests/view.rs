//! Checks the views of several nodes on a log that drops and loses records, and with delayed
//! appends.

use std::collections::BTreeMap;

use dogwoodway_control::{
    ConfigChange, ConfigRecord, ConfigState, Snapshot, SnapshotCoverage, SnapshotKind,
};
use dogwoodway_follower::{ConfigView, SnapshotAction};
use dogwoodway_log::{LogRecord, ReadResponse};
use dogwoodway_types::{ChangeId, ConfigEdit, LogOffset, ObjectId, Timestamp};
use proptest::prelude::*;
use serde_json::Value;

/// An in-memory log.
#[derive(Default)]
struct Log {
    /// Number of records dropped from the start.
    dropped: u64,
    records: Vec<Value>,
}

impl Log {
    fn read(&self, from: LogOffset, limit: usize) -> ReadResponse {
        let all = self.records.iter().enumerate().map(|(i, data)| LogRecord {
            offset: LogOffset(self.dropped + i as u64 + 1),
            data: data.clone(),
        });
        ReadResponse {
            oldest: LogOffset(self.dropped + 1),
            next: LogOffset(self.dropped + self.records.len() as u64 + 1),
            records: all.filter(|record| record.offset >= from).take(limit).collect(),
        }
    }

    fn drop_records(&mut self, n: usize) {
        let n = n.min(self.records.len());
        self.records.drain(..n);
        self.dropped += n as u64;
    }

    /// Appends the initial snapshot of a new deployment.
    fn initialize(&mut self) {
        let records = Snapshot::new(&ConfigState::new_deployment()).into_records(
            SnapshotKind::Restore,
            0,
            None,
            0,
        );
        self.records.extend(records.iter().map(|r| serde_json::to_value(r).unwrap()));
    }

    fn publish(&mut self, state: &ConfigState, id: &str, team: u8, limit: u8) {
        let yaml = format!(
            "- !team {{name: t{team}, keys: [], tokens_per_minute: {limit}, max_in_flight: 1}}"
        );
        let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&yaml).unwrap();
        let change = ConfigChange {
            id: ChangeId::try_from(id).unwrap(),
            author: "ana".to_owned(),
            made_at: Timestamp::default(),
            bases: state.base_versions(&edits),
            edits,
        };
        self.records.push(serde_json::to_value(ConfigRecord::Change(change)).unwrap());
    }
}

/// Reads the log to its end, as the reading task does.
fn catch_up(view: &mut ConfigView, log: &Log) {
    for _ in 0..4 {
        let response = log.read(view.next_offset(), 500);
        let verification = view.verify_offset().map(|offset| log.read(offset, 1));
        view.apply_read(&response, verification.as_ref());
    }
}

/// Lets the nodes in turn append the snapshots they need, except periodic ones, and read the log.
fn settle(nodes: &mut [ConfigView], log: &mut Log) {
    for _ in 0..8 {
        for view in nodes.iter_mut() {
            catch_up(view, log);
            if let Some(action) =
                view.pending_action().filter(|action| *action != SnapshotAction::Refresh)
            {
                let nonce = 1_000 + log.records.len() as u64;
                log.records.extend(view.records_for(action, nonce));
            }
        }
    }
    nodes.iter_mut().for_each(|view| catch_up(view, log));
}

fn versions(view: &ConfigView) -> BTreeMap<ObjectId, LogOffset> {
    view.active().map(|active| active.versions().collect()).unwrap_or_default()
}

fn limit_of(view: &ConfigView, team: &str) -> u64 {
    let active = view.active().expect("the node has an active state");
    active.configuration.teams.values().find(|t| t.name.as_str() == team).unwrap().tokens_per_minute
}

/// Returns an initialized log and a view that has read it.
fn initialized() -> (Log, ConfigView) {
    let (mut log, mut view) = (Log::default(), ConfigView::default());
    log.initialize();
    catch_up(&mut view, &log);
    (log, view)
}

fn publish_and_read(log: &mut Log, view: &mut ConfigView, id: &str, team: u8, limit: u8) {
    log.publish(view.active().unwrap(), id, team, limit);
    catch_up(view, log);
}

#[test]
fn emptied_log_is_restored_and_positions_increase() {
    let (mut log, mut view) = initialized();
    publish_and_read(&mut log, &mut view, "c1", 1, 7);
    let before = view.active().unwrap().configuration.offset;
    log = Log::default();
    catch_up(&mut view, &log);
    assert_eq!(limit_of(&view, "t1"), 7);
    assert_eq!(view.pending_action(), Some(SnapshotAction::Restore));
    log.records.extend(view.records_for(SnapshotAction::Restore, 1));
    catch_up(&mut view, &log);
    assert_eq!(limit_of(&view, "t1"), 7);
    assert!(view.active().unwrap().configuration.offset > before);
    let mut cold = ConfigView::default();
    catch_up(&mut cold, &log);
    assert_eq!(cold.active(), view.active());
}

#[test]
fn restore_by_a_lagging_node_does_not_revert_another() {
    let (mut log, mut ahead) = initialized();
    publish_and_read(&mut log, &mut ahead, "c1", 1, 7);
    let mut lagging = ahead.clone();
    publish_and_read(&mut log, &mut ahead, "c2", 1, 8);
    log = Log::default();
    catch_up(&mut lagging, &log);
    log.records.extend(lagging.records_for(SnapshotAction::Restore, 1));
    catch_up(&mut lagging, &log);
    publish_and_read(&mut log, &mut lagging, "c3", 2, 9);
    catch_up(&mut ahead, &log);
    assert_eq!(limit_of(&ahead, "t1"), 8);
    let mut nodes = [ahead, lagging];
    settle(&mut nodes, &mut log);
    for view in &nodes {
        assert_eq!((limit_of(view, "t1"), limit_of(view, "t2")), (8, 9));
    }
}

#[test]
fn paused_node_detects_a_lost_log_that_has_grown_past_its_offset() {
    let (mut log, mut view) = initialized();
    publish_and_read(&mut log, &mut view, "c1", 1, 7);
    let mut paused = view.clone();
    log = Log::default();
    let mut nodes = [view];
    settle(&mut nodes, &mut log);
    for i in 0..5 {
        publish_and_read(&mut log, &mut nodes[0], &format!("d{i}"), 2, i);
    }
    catch_up(&mut paused, &log);
    assert_eq!(paused.active(), nodes[0].active());
}

#[test]
fn paused_node_that_missed_dropped_records_starts_from_a_snapshot() {
    let (mut log, mut view) = initialized();
    let mut paused = view.clone();
    for i in 0..5 {
        publish_and_read(&mut log, &mut view, &format!("c{i}"), 1, i);
    }
    log.drop_records(3);
    catch_up(&mut paused, &log);
    assert_eq!(paused.pending_action(), Some(SnapshotAction::Rebase));
    catch_up(&mut view, &log);
    assert_eq!(view.pending_action(), Some(SnapshotAction::RefreshSoon));
    log.records.extend(view.records_for(SnapshotAction::RefreshSoon, 1));
    log.drop_records(2);
    publish_and_read(&mut log, &mut view, "c9", 1, 99);
    catch_up(&mut paused, &log);
    assert_eq!(paused.active(), view.active());
}

#[test]
fn log_that_dropped_all_records_during_an_outage_reverts_nothing() {
    let (mut log, mut view) = initialized();
    publish_and_read(&mut log, &mut view, "c1", 1, 7);
    log.drop_records(2);
    catch_up(&mut view, &log);
    assert_eq!(view.pending_action(), Some(SnapshotAction::Rebase));
    let mut cold = ConfigView::default();
    catch_up(&mut cold, &log);
    assert_eq!(cold.active(), None);
    log.records.extend(view.records_for(SnapshotAction::Rebase, 1));
    log.publish(view.active().unwrap(), "c2", 2, 9);
    catch_up(&mut view, &log);
    catch_up(&mut cold, &log);
    assert_eq!(cold.active(), view.active());
    assert_eq!(limit_of(&cold, "t2"), 9);
    assert_eq!(limit_of(&cold, "t1"), 7);
}

#[test]
fn duplicate_snapshot_changes_nothing() {
    let (mut log, mut view) = initialized();
    publish_and_read(&mut log, &mut view, "c1", 1, 7);
    let records = view.records_for(SnapshotAction::Refresh, 1);
    let before = view.active().unwrap().configuration.clone();
    log.records.extend([records.clone(), records].concat());
    catch_up(&mut view, &log);
    assert_eq!(view.active().unwrap().configuration, before);
}

#[test]
fn cold_node_that_used_an_outdated_peer_follows_the_log() {
    let (mut log, mut view) = initialized();
    publish_and_read(&mut log, &mut view, "c1", 1, 7);
    let old = ConfigState::clone(view.active().unwrap());
    publish_and_read(&mut log, &mut view, "c2", 1, 8);
    let mut cold = ConfigView::default();
    cold.apply_peer_state(old.clone());
    assert_eq!(limit_of(&cold, "t1"), 7);
    catch_up(&mut cold, &log);
    assert_eq!(limit_of(&cold, "t1"), 8);
    cold.apply_peer_state(old);
    assert_eq!(limit_of(&cold, "t1"), 8);
}

#[derive(Clone, Debug)]
enum Event {
    /// A change based on a node's active state is appended.
    Publish { node: usize, team: u8, limit: u8 },
    /// A node reads the log to its end.
    CatchUp(usize),
    /// A node appends the snapshot that it needs.
    AppendSnapshot(usize),
    /// A node appends a snapshot that was meant for another log.
    AppendForeignSnapshot(usize),
    /// The log drops records from its start.
    Drop(usize),
    /// The log loses all records.
    Lose,
    /// A node receives the active state of another node.
    Peer { from: usize, to: usize },
    /// A node restarts without any state.
    ColdStart(usize),
}

const NODES: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), 0..4u8, any::<u8>())
            .prop_map(|(node, team, limit)| Event::Publish { node, team, limit }),
        8 => node.clone().prop_map(Event::CatchUp),
        4 => node.clone().prop_map(Event::AppendSnapshot),
        1 => node.clone().prop_map(Event::AppendForeignSnapshot),
        1 => (1..6usize).prop_map(Event::Drop),
        1 => Just(Event::Lose),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Event::Peer { from, to }),
        1 => node.prop_map(Event::ColdStart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Node 0 never restarts and reads each record at once, so that no accepted change can be lost.
    /// The other nodes pause, restart and append late.
    #[test]
    fn no_node_reverts_and_all_nodes_converge(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut log = Log::default();
        log.initialize();
        let mut nodes = vec![ConfigView::default(); NODES];
        nodes.iter_mut().for_each(|view| catch_up(view, &log));
        let mut last_versions: Vec<_> = nodes.iter().map(versions).collect();
        let mut last_offsets = [LogOffset(0); NODES];
        for (i, event) in events.into_iter().enumerate() {
            match event {
                Event::Publish { node, team, limit } => {
                    if let Some(active) = nodes[node].active() {
                        log.publish(active, &format!("c{i}"), team, limit);
                    }
                }
                Event::CatchUp(node) => catch_up(&mut nodes[node], &log),
                Event::AppendSnapshot(node) => {
                    if let Some(action) = nodes[node].pending_action() {
                        log.records.extend(nodes[node].records_for(action, i as u64));
                    }
                }
                Event::AppendForeignSnapshot(node) => {
                    let active = nodes[node].active().cloned().unwrap_or_default();
                    let at = active.position();
                    let foreign = Snapshot::new(&active).into_records(
                        SnapshotKind::Refresh,
                        at.epoch,
                        Some(SnapshotCoverage { offset: at.offset, anchor: Some(String::new()) }),
                        i as u64,
                    );
                    log.records.extend(foreign.iter().map(|r| serde_json::to_value(r).unwrap()));
                }
                Event::Drop(n) => log.drop_records(n),
                Event::Lose => log = Log::default(),
                Event::Peer { from, to } => {
                    if let Some(active) = nodes[from].active().cloned() {
                        nodes[to].apply_peer_state(ConfigState::clone(&active));
                    }
                }
                Event::ColdStart(0) => {}
                Event::ColdStart(node) => {
                    nodes[node] = ConfigView::default();
                    last_versions[node].clear();
                    last_offsets[node] = LogOffset(0);
                }
            }
            catch_up(&mut nodes[0], &log);
            for (node, view) in nodes.iter().enumerate() {
                let current = versions(view);
                for (object, version) in &last_versions[node] {
                    prop_assert!(current.get(object) >= Some(version), "node {} reverted", node);
                }
                let offset = view.active().map_or(LogOffset(0), |active| active.configuration.offset);
                prop_assert!(
                    offset >= last_offsets[node],
                    "the configuration offset of node {} decreased",
                    node
                );
                (last_versions[node], last_offsets[node]) = (current, offset);
            }
        }
        settle(&mut nodes, &mut log);
        for node in 1..NODES {
            let (a, b) = (nodes[0].active().unwrap(), nodes[node].active().unwrap());
            prop_assert_eq!(&a.configuration, &b.configuration);
            for (object, version) in &last_versions[0] {
                prop_assert!(b.version_of(object) >= *version);
            }
        }
    }
}
