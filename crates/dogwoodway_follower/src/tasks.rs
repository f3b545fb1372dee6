//! The tasks of a follower that read the log and ask peers.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::Snapshot;
use dogwoodway_log::{LogError, PlatformLog, ReadResponse, StreamName};
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

/// Maximum time in milliseconds that one read waits for a new record.
const READ_WAIT_MS: u64 = 2_000;

/// Delay in milliseconds after a failed read or append.
const RETRY_DELAY_MS: u64 = 250;

/// Delay in milliseconds after a read that did not wait and returned no records.
///
/// It is short, so that nodes that detected the same loss at the same time still append at their
/// different random times.
const IDLE_DELAY_MS: u64 = 10;

/// Interval in milliseconds between requests to peers while the log is unavailable or nothing is
/// active.
const PEER_POLL_INTERVAL_MS: u64 = 250;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// Other nodes that can be asked for their configuration.
pub trait ConfigPeers: Send + Sync {
    /// Asks peers for snapshots of states whose packed position is greater than `newer_than`.
    fn fetch(&self, newer_than: LogOffset) -> BoxFuture<'_, Vec<Snapshot>>;
}

/// No peers: the log is the only source of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ConfigPeers for NoPeers {
    fn fetch(&self, _: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async { Vec::new() }.boxed()
    }
}

/// A handle to a running follower; it can be cloned.
#[derive(Clone)]
pub struct ConfigHandle {
    actor: ActorRef<Follower>,
    watch: ConfigWatch,
    wakeups: Arc<Wakeups>,
}

/// Wakes the tasks that read the log and ask peers. A wake-up is kept until a busy task waits for
/// it.
#[derive(Default)]
struct Wakeups {
    log: Notify,
    peers: Notify,
}

impl ConfigHandle {
    /// Returns a receiver of the configuration in force and its changes.
    pub fn watch(&self) -> ConfigWatch {
        self.watch.clone()
    }

    /// Reports that a peer uses the configuration at `position`. If that is newer than the one in
    /// force here, the log is read and the peers are asked at once.
    pub fn observe_position(&self, position: LogOffset) {
        if self.position() < position {
            self.wakeups.log.notify_one();
            self.wakeups.peers.notify_one();
        }
    }

    /// Returns the configuration in force, `None` until there is one.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.watch.borrow().clone()
    }

    /// Returns the packed position of the configuration in force, 0 if there is none.
    pub fn position(&self) -> LogOffset {
        self.watch.borrow().as_ref().map_or(LogOffset(0), |cfg| cfg.offset)
    }

    /// Returns a snapshot of the active state if its packed position is greater than `newer_than`.
    pub async fn snapshot(&self, newer_than: LogOffset) -> Option<Snapshot> {
        self.actor.ask(GetSnapshot { newer_than }).await.ok()?
    }

    /// Waits until the configuration at `position` or a later one is in force here. Returns false
    /// if it is not by `deadline`.
    pub async fn wait_for(&self, position: LogOffset, deadline: Timestamp) -> bool {
        let mut watch = self.watch.clone();
        let limit = deadline - Timestamp::now();
        self.observe_position(position);
        let reached = watch.wait_for(|cfg| cfg.as_ref().is_some_and(|c| c.offset >= position));
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }
}

/// Starts a follower of the configuration on the log and at peers. `seed` seeds the random delays
/// of its appends and must differ between nodes.
pub fn follow(log: Arc<dyn PlatformLog>, peers: Arc<dyn ConfigPeers>, seed: u64) -> ConfigHandle {
    let (follower, watch) = Follower::new(seed);
    let handle = ConfigHandle { actor: Follower::spawn(follower), watch, wakeups: Arc::default() };
    let (tx, rx) = watch::channel(false);
    tokio::spawn(follow_log(handle.clone(), log, tx));
    tokio::spawn(follow_peers(handle.clone(), peers, rx));
    handle
}

/// Reads the log until the actor stops, and reports through `healthy` whether the log is available.
async fn follow_log(handle: ConfigHandle, log: Arc<dyn PlatformLog>, healthy: watch::Sender<bool>) {
    while handle.actor.is_alive() {
        match read_once(&handle, &*log).await {
            Ok(()) => drop(healthy.send_replace(true)),
            Err(e) => {
                healthy.send_replace(false);
                log::warn!(
                    "reading or appending configuration records failed: {e}; \
                     retrying in {RETRY_DELAY_MS} ms"
                );
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Makes one read and the append that is due after it, if any.
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
    let response = tokio::select! {
        response = log.read(StreamName::Config, plan.from, MAX_READ_RECORDS, wait_ms) => response?,
        () = handle.wakeups.log.notified() => {
            log.read(StreamName::Config, plan.from, MAX_READ_RECORDS, 0).await?
        }
    };
    let verification = match plan.verify {
        None => None,
        Some(last) => Some(log.read(StreamName::Config, last, 1, 0).await?),
    };
    let is_idle = wait_ms == 0 && response.records.is_empty();
    let Some(records) = apply_read(handle, response, verification).await else { return Ok(()) };
    if !records.is_empty() {
        log.append(StreamName::Config, records).await?;
    } else if is_idle {
        sleep(Duration::from_millis(IDLE_DELAY_MS)).await;
    }
    Ok(())
}

async fn apply_read(
    handle: &ConfigHandle,
    response: ReadResponse,
    verification: Option<ReadResponse>,
) -> Option<Vec<serde_json::Value>> {
    handle.actor.ask(ApplyRead { response, verification }).await.ok()
}

/// Asks peers while the log is unavailable or no configuration is in force, and whenever a peer is
/// ahead.
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
            sleep(Duration::from_millis(PEER_POLL_INTERVAL_MS)).await;
            continue;
        }
        tokio::select! {
            _ = healthy.changed() => {}
            () = handle.wakeups.peers.notified() => {
                for snapshot in peers.fetch(handle.position()).await {
                    let _ = handle.actor.ask(ApplyPeerSnapshot(snapshot)).await;
                }
            }
        }
    }
}
