//! The tasks that read the log and ask peers for a follower.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::Snapshot;
use dogwoodway_log::{LogError, PlatformLog, ReadAnswer, StreamName};
use dogwoodway_types::{Configuration, LogOffset, Timestamp};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::{ActorRef, Spawn};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep},
};

use crate::follower::{
    ApplyPeerSnapshot, ApplyRead, ConfigWatch, Follower, GetReadPlan, GetSnapshot,
};

/// Longest wait of one read for a new record.
const READ_WAIT_MS: u64 = 2_000;

/// Pause after a failed read.
const RETRY_MS: u64 = 250;

/// Pause after a read that did not wait and found nothing. It is short, so that nodes that noticed
/// the same loss together keep the spread of their appends.
const IDLE_PAUSE_MS: u64 = 10;

/// Pause between questions to peers while the log does not answer.
const PEERS_MS: u64 = 250;

/// Most records of one read.
const READ_RECORDS: u32 = 500;

/// Other nodes that can be asked for their configuration.
pub trait ConfigPeers: Send + Sync {
    /// Asks peers for states newer than a position.
    fn fetch(&self, newer_than: LogOffset) -> BoxFuture<'_, Vec<Snapshot>>;
}

/// Stands for a node that knows no peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ConfigPeers for NoPeers {
    fn fetch(&self, _: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async { Vec::new() }.boxed()
    }
}

/// Gives access to a running follower.
#[derive(Clone)]
pub struct ConfigHandle {
    actor: ActorRef<Follower>,
    watch: ConfigWatch,
    pull: Arc<Pull>,
}

/// Wakes the tasks that read the log and ask peers; a wake-up that finds one busy is kept for it.
#[derive(Default)]
struct Pull {
    log: Notify,
    peers: Notify,
}

impl ConfigHandle {
    /// Returns the configuration in force, as it changes.
    pub fn watch(&self) -> ConfigWatch {
        self.watch.clone()
    }

    /// Tells that a peer serves under the configuration at `position`; if it is newer, the log and
    /// the peers are asked at once.
    pub fn observe_position(&self, position: LogOffset) {
        if self.position() < position {
            self.pull.log.notify_one();
            self.pull.peers.notify_one();
        }
    }

    /// Returns the configuration in force, `None` until a state is held.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.watch.borrow().clone()
    }

    /// Returns the position of the configuration in force, 0 if there is none.
    pub fn position(&self) -> LogOffset {
        self.watch.borrow().as_ref().map_or(LogOffset(0), |cfg| cfg.offset)
    }

    /// Returns the held state if it is newer than a position.
    pub async fn snapshot(&self, newer_than: LogOffset) -> Option<Snapshot> {
        self.actor.ask(GetSnapshot { newer_than }).await.ok()?
    }

    /// Waits until the configuration at `position` or a later one is in force here; returns whether
    /// it is before `deadline`.
    pub async fn wait_for(&self, position: LogOffset, deadline: Timestamp) -> bool {
        let mut watch = self.watch.clone();
        let limit = deadline - Timestamp::now();
        self.observe_position(position);
        let reached = watch.wait_for(|cfg| cfg.as_ref().is_some_and(|c| c.offset >= position));
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }
}

/// Starts to follow the configuration on the log and at peers.
pub fn follow(log: Arc<dyn PlatformLog>, peers: Arc<dyn ConfigPeers>, seed: u64) -> ConfigHandle {
    let (follower, watch) = Follower::new(seed);
    let handle = ConfigHandle { actor: Follower::spawn(follower), watch, pull: Arc::default() };
    let (tx, rx) = watch::channel(false);
    tokio::spawn(follow_log(handle.clone(), log, tx));
    tokio::spawn(follow_peers(handle.clone(), peers, rx));
    handle
}

/// Reads the log until the actor stops; `healthy` tells whether it answers.
async fn follow_log(handle: ConfigHandle, log: Arc<dyn PlatformLog>, healthy: watch::Sender<bool>) {
    while handle.actor.is_alive() {
        match read_once(&handle, &*log).await {
            Ok(()) => drop(healthy.send_replace(true)),
            Err(e) => {
                healthy.send_replace(false);
                log::warn!("the configuration could not be read: {e}");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn read_once(handle: &ConfigHandle, log: &dyn PlatformLog) -> Result<(), LogError> {
    let Ok(plan) = handle.actor.ask(GetReadPlan).await else { return Ok(()) };
    let wait_ms = match plan.until {
        _ if !plan.is_caught_up => 0,
        None => READ_WAIT_MS,
        Some(until) => {
            let left = until.saturating_duration_since(Instant::now());
            READ_WAIT_MS.min(left.as_millis() as u64)
        }
    };
    let answer = tokio::select! {
        answer = log.read(StreamName::Config, plan.from, READ_RECORDS, wait_ms) => answer?,
        () = handle.pull.log.notified() => {
            log.read(StreamName::Config, plan.from, READ_RECORDS, 0).await?
        }
    };
    let check = match plan.check {
        None => None,
        Some(last) => Some(log.read(StreamName::Config, last, 1, 0).await?),
    };
    let is_idle = wait_ms == 0 && answer.records.is_empty();
    let Some(records) = see(handle, answer, check).await else { return Ok(()) };
    if !records.is_empty() {
        log.append(StreamName::Config, records).await?;
    } else if is_idle {
        sleep(Duration::from_millis(IDLE_PAUSE_MS)).await;
    }
    Ok(())
}

async fn see(
    handle: &ConfigHandle,
    answer: ReadAnswer,
    check: Option<ReadAnswer>,
) -> Option<Vec<serde_json::Value>> {
    handle.actor.ask(ApplyRead { answer, check }).await.ok()
}

/// Asks peers while the log does not answer or nothing is held, and whenever one is ahead.
async fn follow_peers(
    handle: ConfigHandle,
    peers: Arc<dyn ConfigPeers>,
    mut healthy: watch::Receiver<bool>,
) {
    while handle.actor.is_alive() {
        let is_needed = !*healthy.borrow_and_update() || handle.watch.borrow().is_none();
        if is_needed {
            for snapshot in peers.fetch(handle.position()).await {
                let _ = handle.actor.ask(ApplyPeerSnapshot(snapshot)).await;
            }
            sleep(Duration::from_millis(PEERS_MS)).await;
            continue;
        }
        tokio::select! {
            _ = healthy.changed() => {}
            () = handle.pull.peers.notified() => {
                for snapshot in peers.fetch(handle.position()).await {
                    let _ = handle.actor.ask(ApplyPeerSnapshot(snapshot)).await;
                }
            }
        }
    }
}
