//! The actor that owns a node's view of the configuration.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::{ConfigState, Snapshot};
use dogwoodway_log::ReadAnswer;
use dogwoodway_types::{Configuration, LogOffset};
use kameo::{
    Actor,
    message::{Context, Message},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::{sync::watch, time::Instant};

use crate::view::{ConfigView, SnapshotAction};

/// Earliest and latest pause before a state that the log has lost is appended, in milliseconds.
const RESTORE_PAUSE_MS: (u64, u64) = (0, 300);

/// Earliest and latest pause before dropped records are replaced, in milliseconds.
const REBASE_PAUSE_MS: (u64, u64) = (3_000, 6_000);

/// Earliest and latest pause before a snapshot that is needed soon, in milliseconds.
const REFRESH_SOON_PAUSE_MS: (u64, u64) = (0, 500);

/// Earliest and latest time between snapshots, in milliseconds.
const REFRESH_PAUSE_MS: (u64, u64) = (60_000, 90_000);

/// The configuration in force at this process; `None` until a state is held.
pub type ConfigWatch = watch::Receiver<Option<Arc<Configuration>>>;

/// Owns a node's view of the configuration.
#[derive(Actor)]
pub struct Follower {
    view: ConfigView,
    tx: watch::Sender<Option<Arc<Configuration>>>,
    rng: StdRng,
    due: Option<Due>,
}

/// An append that becomes due.
struct Due {
    wish: SnapshotAction,
    snapshots_seen: u64,
    at: Instant,
}

impl Follower {
    /// Builds a follower that holds nothing; `seed` spreads the appends of different nodes.
    pub fn new(seed: u64) -> (Follower, ConfigWatch) {
        let (tx, rx) = watch::channel(None);
        let rng = StdRng::seed_from_u64(seed);
        (Follower { view: ConfigView::default(), tx, rng, due: None }, rx)
    }

    fn publish(&self) {
        let Some(held) = self.view.active() else { return };
        let is_seen = |cfg: &Option<Arc<Configuration>>| {
            cfg.as_ref().is_some_and(|cfg| cfg.offset == held.configuration.offset)
        };
        if !is_seen(&self.tx.borrow()) {
            log::info!(position:% = held.configuration.offset; "configuration in force");
            metrics::gauge!("dogwoodway_config_offset").set(held.configuration.offset.0 as f64);
            self.tx.send_replace(Some(Arc::new(held.configuration.clone())));
        }
    }

    /// Returns the records to append now, if any.
    fn due_records(&mut self) -> Vec<Value> {
        let Some(wish) = self.view.pending_action() else {
            self.due = None;
            return Vec::new();
        };
        let snapshots_seen = self.view.snapshots_seen();
        let same = |due: &Due| due.wish == wish && due.snapshots_seen == snapshots_seen;
        match self.due.as_ref().filter(|due| same(due)) {
            Some(due) if due.at <= Instant::now() => {
                self.due = None;
                log::info!("appending a snapshot of the configuration: {wish:?}");
                self.view.records_for(wish, self.rng.random())
            }
            Some(_) => Vec::new(),
            None => {
                let (least, most) = pause_ms(wish);
                let pause = Duration::from_millis(self.rng.random_range(least..=most));
                self.due = Some(Due { wish, snapshots_seen, at: Instant::now() + pause });
                Vec::new()
            }
        }
    }
}

fn pause_ms(wish: SnapshotAction) -> (u64, u64) {
    match wish {
        SnapshotAction::Restore => RESTORE_PAUSE_MS,
        SnapshotAction::Rebase => REBASE_PAUSE_MS,
        SnapshotAction::RefreshSoon => REFRESH_SOON_PAUSE_MS,
        SnapshotAction::Refresh => REFRESH_PAUSE_MS,
    }
}

/// Tells the offset to read from, and the offset to read again afterwards.
pub(crate) struct GetReadPlan;

/// What to read next.
pub(crate) struct ReadPlan {
    pub(crate) from: LogOffset,
    pub(crate) check: Option<LogOffset>,
    /// Whether the log was read to its end, so that a read may wait for a new record.
    pub(crate) is_caught_up: bool,
    /// Time at which an append becomes due.
    pub(crate) until: Option<Instant>,
}

impl Message<GetReadPlan> for Follower {
    type Reply = Box<ReadPlan>;

    async fn handle(&mut self, _: GetReadPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Box::new(ReadPlan {
            from: self.view.next_offset(),
            check: self.view.verify_offset(),
            is_caught_up: self.view.is_caught_up(),
            until: self.due.as_ref().map(|due| due.at),
        })
    }
}

/// Tells an answer of the log; returns records to append.
pub(crate) struct ApplyRead {
    pub(crate) answer: ReadAnswer,
    pub(crate) check: Option<ReadAnswer>,
}

impl Message<ApplyRead> for Follower {
    type Reply = Vec<Value>;

    async fn handle(&mut self, msg: ApplyRead, _: &mut Context<Self, Self::Reply>) -> Vec<Value> {
        self.view.apply_read(&msg.answer, msg.check.as_ref());
        self.publish();
        self.due_records()
    }
}

/// Tells a peer's state; one that is damaged or older than the held one is ignored.
pub struct ApplyPeerSnapshot(pub Snapshot);

impl Message<ApplyPeerSnapshot> for Follower {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyPeerSnapshot, _: &mut Context<Self, Self::Reply>) {
        match msg.0.state() {
            Ok(state) => self.view.apply_peer_state(state),
            Err(e) => log::warn!("a peer's configuration is refused: {e}"),
        }
        self.publish();
    }
}

/// Asks for the held state, if it is newer than a position.
pub struct GetSnapshot {
    /// Position that the answer must exceed.
    pub newer_than: LogOffset,
}

impl Message<GetSnapshot> for Follower {
    type Reply = Option<Snapshot>;

    async fn handle(
        &mut self,
        msg: GetSnapshot,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<Snapshot> {
        let held: &ConfigState = self.view.active().filter(|held| held.applied > msg.newer_than)?;
        Some(Snapshot::new(held))
    }
}
