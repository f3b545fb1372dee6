//! The actor that owns a node's view of the configuration.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::{ConfigState, Snapshot};
use dogwoodway_log::ReadResponse;
use dogwoodway_types::{Configuration, LogOffset};
use kameo::{
    Actor,
    message::{Context, Message},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::{sync::watch, time::Instant};

use crate::view::{ConfigView, SnapshotAction};

/// Minimum and maximum delay before a state that the log has lost is appended, in milliseconds.
const RESTORE_DELAY_MS: (u64, u64) = (0, 300);

/// Minimum and maximum delay before dropped records are replaced by a snapshot, in milliseconds.
const REBASE_DELAY_MS: (u64, u64) = (3_000, 6_000);

/// Minimum and maximum delay before a snapshot that is needed soon, in milliseconds.
const REFRESH_SOON_DELAY_MS: (u64, u64) = (0, 500);

/// Minimum and maximum time between periodic snapshots, in milliseconds.
const REFRESH_DELAY_MS: (u64, u64) = (60_000, 90_000);

/// The configuration in force in this process; `None` until the node has an active state.
pub type ConfigWatch = watch::Receiver<Option<Arc<Configuration>>>;

/// Actor that owns a node's view of the configuration and schedules its appends.
///
/// The delay of each append is random, so that usually only one of many nodes makes it: an append
/// is rescheduled when another snapshot appears on the log first.
#[derive(Actor)]
pub struct Follower {
    view: ConfigView,
    tx: watch::Sender<Option<Arc<Configuration>>>,
    rng: StdRng,
    scheduled: Option<ScheduledAppend>,
}

/// An append that becomes due at a random time.
struct ScheduledAppend {
    action: SnapshotAction,
    /// Number of snapshots read when the append was scheduled; the append is cancelled if it grows.
    snapshots_seen: u64,
    at: Instant,
}

impl Follower {
    /// Creates a follower without an active state. `seed` seeds the random delays and must differ
    /// between nodes.
    pub fn new(seed: u64) -> (Follower, ConfigWatch) {
        let (tx, rx) = watch::channel(None);
        let rng = StdRng::seed_from_u64(seed);
        (Follower { view: ConfigView::default(), tx, rng, scheduled: None }, rx)
    }

    /// Publishes the active configuration to watchers if it has changed.
    fn publish(&self) {
        let Some(active) = self.view.active() else { return };
        let is_published = |cfg: &Option<Arc<Configuration>>| {
            cfg.as_ref().is_some_and(|cfg| cfg.offset == active.configuration.offset)
        };
        if !is_published(&self.tx.borrow()) {
            log::info!(position:% = active.configuration.offset; "configuration in force");
            metrics::gauge!("dogwoodway_config_offset").set(active.configuration.offset.0 as f64);
            self.tx.send_replace(Some(Arc::new(active.configuration.clone())));
        }
    }

    /// Returns the records to append now, if an append is due, and schedules the next append.
    fn take_due_records(&mut self) -> Vec<Value> {
        let Some(action) = self.view.pending_action() else {
            self.scheduled = None;
            return Vec::new();
        };
        let snapshots_seen = self.view.snapshots_seen();
        let is_current = |scheduled: &ScheduledAppend| {
            scheduled.action == action && scheduled.snapshots_seen == snapshots_seen
        };
        match self.scheduled.as_ref().filter(|scheduled| is_current(scheduled)) {
            Some(scheduled) if scheduled.at <= Instant::now() => {
                self.scheduled = None;
                log::info!("appending a snapshot of the configuration: {action:?}");
                self.view.records_for(action, self.rng.random())
            }
            Some(_) => Vec::new(),
            None => {
                let (min, max) = delay_ms(action);
                let delay = Duration::from_millis(self.rng.random_range(min..=max));
                self.scheduled =
                    Some(ScheduledAppend { action, snapshots_seen, at: Instant::now() + delay });
                Vec::new()
            }
        }
    }
}

/// Returns the minimum and maximum delay before a snapshot is appended, in milliseconds.
fn delay_ms(action: SnapshotAction) -> (u64, u64) {
    match action {
        SnapshotAction::Restore => RESTORE_DELAY_MS,
        SnapshotAction::Rebase => REBASE_DELAY_MS,
        SnapshotAction::RefreshSoon => REFRESH_SOON_DELAY_MS,
        SnapshotAction::Refresh => REFRESH_DELAY_MS,
    }
}

/// Gets the next read to make.
pub(crate) struct GetReadPlan;

/// The next read of the log.
pub(crate) struct ReadPlan {
    pub(crate) from: LogOffset,
    /// Offset of a record to read again afterwards, to detect a lost log.
    pub(crate) verify: Option<LogOffset>,
    /// Whether the log was read to its end, so that the read may wait for a new record.
    pub(crate) is_caught_up: bool,
    /// Time at which the scheduled append becomes due; a read must not wait longer.
    pub(crate) until: Option<Instant>,
}

impl Message<GetReadPlan> for Follower {
    type Reply = Box<ReadPlan>;

    async fn handle(&mut self, _: GetReadPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Box::new(ReadPlan {
            from: self.view.next_offset(),
            verify: self.view.verify_offset(),
            is_caught_up: self.view.is_caught_up(),
            until: self.scheduled.as_ref().map(|scheduled| scheduled.at),
        })
    }
}

/// Applies the result of a read, and replies with the records to append.
pub(crate) struct ApplyRead {
    pub(crate) response: ReadResponse,
    pub(crate) verification: Option<ReadResponse>,
}

impl Message<ApplyRead> for Follower {
    type Reply = Vec<Value>;

    async fn handle(&mut self, msg: ApplyRead, _: &mut Context<Self, Self::Reply>) -> Vec<Value> {
        self.view.apply_read(&msg.response, msg.verification.as_ref());
        self.publish();
        self.take_due_records()
    }
}

/// Applies a peer's state; one that is damaged or older than the active one is ignored.
pub struct ApplyPeerSnapshot(pub Snapshot);

impl Message<ApplyPeerSnapshot> for Follower {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyPeerSnapshot, _: &mut Context<Self, Self::Reply>) {
        match msg.0.state() {
            Ok(state) => self.view.apply_peer_state(state),
            Err(e) => log::warn!("rejected a configuration snapshot from a peer: {e}"),
        }
        self.publish();
    }
}

/// Gets a snapshot of the active state, if its position is greater than `newer_than`.
pub struct GetSnapshot {
    /// Packed position that the returned state must exceed.
    pub newer_than: LogOffset,
}

impl Message<GetSnapshot> for Follower {
    type Reply = Option<Snapshot>;

    async fn handle(
        &mut self,
        msg: GetSnapshot,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<Snapshot> {
        let active: &ConfigState =
            self.view.active().filter(|active| active.applied > msg.newer_than)?;
        Some(Snapshot::new(active))
    }
}
