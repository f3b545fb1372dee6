//! Leader election over the routers' shared log, and the leader's roll-out of new weights.
//!
//! The log also announces routers that have started, and carries events about requests that crash
//! servers. Every router follows the log and tries to become the leader. Only the leader orders
//! engines to load new weights.

mod log_reader;
mod rollout;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::direct::{
    fleet::BackendKey,
    leadership::{LeaderRecord, Leadership, LeadershipAction},
    own_records::OwnRecords,
    server_notice::ServerNotice,
};
use dogwoodway_types::{LogOffset, LogPosition, RouterName, StoreEra};
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use self::{log_reader::LogReader, rollout::PendingLoad};
use crate::{
    checked_store::CheckedStore,
    clock,
    feeds::SharedFeeds,
    fleet_actor::{
        ApplyFingerprintEvent, ApplyServerNotice, EngineTarget, FingerprintEvent, FleetActor,
    },
    metric,
    platform_api::{
        ControlAnswer, EngineControl, EngineReport, OrderOutcome, RecordPage, StoreError,
    },
};

/// Pause after a failed call to the log, in milliseconds.
const FAILED_PAUSE_MS: u64 = 150;

/// Pause after a failed attempt to become the leader, in milliseconds. It may be long, because any
/// other router can become the leader meanwhile.
const CLAIM_PAUSE_MS: u64 = 500;

/// Interval at which leadership and pending loads are checked, in milliseconds.
const TICK_MS: u64 = 50;

/// Time limit for releasing the leadership when the process stops, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 300;

/// Own records that are written again if the store loses them.
const MAX_OWN_RECORDS: usize = 64;

/// A record of the routers' log.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum RouterRecord {
    /// A router has started and receives datagrams at `address`.
    Started { router: RouterName, address: SocketAddr },
    /// A claim, renewal or release of the leadership.
    Leader(LeaderRecord),
    /// An event about a request that may crash servers.
    #[serde(rename = "Content")]
    Fingerprint(FingerprintEvent),
}

/// Settings and channels of the leader task.
pub(crate) struct LeaderConfig {
    pub(crate) router: RouterName,
    /// Where this router receives datagrams of other routers.
    pub(crate) address: SocketAddr,
    /// Least time between orders of different routers to one engine, in milliseconds.
    pub(crate) lease_ms: u64,
    pub(crate) store: CheckedStore,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) fleet: ActorRef<FleetActor>,
    /// Says whether this router is a watcher. Only watchers claim the leadership, and they follow
    /// the log without pauses.
    pub(crate) feeds: SharedFeeds,
    /// Events to append to the log.
    pub(crate) fingerprint_events: mpsc::Receiver<FingerprintEvent>,
    /// Receives the addresses of routers that have started.
    pub(crate) discovered: mpsc::Sender<SocketAddr>,
    /// Turns true when the router has finished all requests and stops.
    pub(crate) shutdown: watch::Receiver<bool>,
}

/// Result of a task that the leader has started.
enum Event {
    Page(RecordPage),
    EraBegan(Option<StoreEra>),
    Reported { target: Box<EngineTarget>, answer: ControlAnswer<Result<EngineReport, String>> },
    Ordered { target: Box<EngineTarget>, answer: ControlAnswer<OrderOutcome> },
}

struct Leader {
    config: LeaderConfig,
    leadership: Leadership,
    pending_loads: HashMap<BackendKey, PendingLoad>,
    own_records: OwnRecords,
    events: mpsc::Sender<Event>,
    /// Set while the log reader has to read without pauses.
    eager: watch::Sender<bool>,
    was_leading: bool,
    is_log_lost: bool,
}

/// Follows the log, claims the leadership when it is free and rolls out new weights while leading,
/// until the process stops.
pub(crate) async fn run(config: LeaderConfig) {
    let (events, mut inbox) = mpsc::channel(64);
    let (eager, is_eager) = watch::channel(true);
    let reader = LogReader {
        store: config.store.clone(),
        shared_feeds: config.feeds.clone(),
        feeds: config.feeds.subscribe(),
        is_eager,
    };
    tokio::spawn(reader.run(events.clone()));
    let announcement =
        encode(&RouterRecord::Started { router: config.router.clone(), address: config.address });
    tokio::spawn(announce(config.store.clone(), announcement.clone()));
    let mut own_records = OwnRecords::new(MAX_OWN_RECORDS);
    own_records.remember(announcement);
    let leadership = Leadership::new(clock::now(), config.router.clone(), config.lease_ms);
    let mut shutdown = config.shutdown.clone();
    let mut leader = Leader {
        config,
        leadership,
        pending_loads: HashMap::new(),
        own_records,
        events,
        eager,
        was_leading: false,
        is_log_lost: false,
    };
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = inbox.recv() => leader.handle_event(event).await,
            Some(event) = leader.config.fingerprint_events.recv() => {
                leader.publish_fingerprint_event(event).await;
            }
            _ = ticks.tick() => leader.tick().await,
            Ok(()) = shutdown.changed() => {
                leader.release().await;
                return;
            }
        }
    }
}

/// Announces this router's address to the other routers.
async fn announce(store: CheckedStore, record: Vec<u8>) {
    while let Err(e) = store.append_to_log(record.clone(), None).await {
        log::debug!("could not announce this router in the routers' log, retrying: {e}");
        // A failed append may have taken effect; a second record of the same router does no harm.
        tokio::time::sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
    }
}

impl Leader {
    async fn handle_event(&mut self, event: Event) {
        match event {
            Event::Page(page) => self.apply_page(page).await,
            Event::EraBegan(era) => {
                self.leadership.begin_era(clock::now(), era);
                self.own_records.begin_era();
            }
            Event::Reported { target, answer } => {
                self.apply_notice(&target, answer.notice).await;
                self.handle_report(target.weights.server, answer.result).await;
            }
            Event::Ordered { target, answer } => {
                self.apply_notice(&target, answer.notice).await;
                self.handle_order_outcome(target.weights.server, answer.result).await;
            }
        }
    }

    /// Forwards the notice of an engine to the fleet.
    async fn apply_notice(&self, target: &EngineTarget, notice: ServerNotice) {
        if notice.is_empty() {
            return;
        }
        let (server, started_at_ms) = (target.weights.server, target.started_at_ms);
        let notice = ApplyServerNotice { server, started_at_ms, notice, sent_at: None };
        if let Err(e) = self.config.fleet.tell(notice).await {
            log::error!("could not apply the notice of an engine: {e}");
        }
    }

    async fn apply_page(&mut self, page: RecordPage) {
        let now = clock::now();
        for (i, bytes) in page.records.iter().enumerate() {
            let position = page.base.after(i);
            self.own_records.observe(bytes);
            match decode(bytes) {
                Ok(RouterRecord::Leader(record)) => {
                    self.leadership.apply_record(now, position, &record);
                }
                Ok(RouterRecord::Started { address, .. }) => {
                    if self.config.discovered.send(address).await.is_err() {
                        log::error!("could not pass on the address of a router that has started");
                    }
                }
                Ok(RouterRecord::Fingerprint(event)) => {
                    if let Err(e) = self.config.fleet.tell(ApplyFingerprintEvent(event)).await {
                        log::error!(
                            "could not apply a fingerprint event from the routers' log: {e}"
                        );
                    }
                }
                Err(e) => {
                    log::warn!(offset = position.offset.0;
                        "skipped an invalid record of the log: {e}");
                }
            }
        }
        let read_to = page.base.after(page.records.len());
        if read_to.offset >= page.end_offset {
            // If the log still holds its first record, no router has led unless a record says so.
            let is_whole = page.start_offset == LogOffset(0);
            let end = LogPosition { offset: page.end_offset, ..read_to };
            self.leadership.record_log_end(now, end, is_whole);
            self.restore_own_records().await;
        }
    }

    /// Appends own records again that the store has lost. Stops at the first failure, since each
    /// failed append delays renewals and orders; the next complete read of the log continues.
    async fn restore_own_records(&mut self) {
        let mut is_reachable = true;
        for bytes in self.own_records.take_missing() {
            if !is_reachable {
                self.own_records.mark_missing(&bytes);
                continue;
            }
            match self.config.store.append_to_log(bytes.clone(), None).await {
                Ok(position) => {
                    log::info!(offset = position.offset.0;
                        "lost record appended again");
                }
                Err(e) => {
                    log::warn!("could not append a lost record again: {e}");
                    self.own_records.mark_missing(&bytes);
                    is_reachable = false;
                }
            }
        }
    }

    async fn tick(&mut self) {
        let is_watcher = self.config.feeds.is_watcher();
        self.leadership.set_candidate(is_watcher);
        self.claim_or_renew().await;
        let leads = self.leadership.is_leader(clock::now());
        // A leader learns the log's end from its own appends, unless another router appends too.
        let is_eager = (leads || is_watcher) && !self.leadership.knows_log_end();
        self.eager.send_if_modified(|was| std::mem::replace(was, is_eager) != is_eager);
        if leads != self.was_leading {
            self.was_leading = leads;
            log::info!(leads = leads; "leadership changed");
            if !leads {
                self.abandon_loads().await;
            }
        }
        if leads {
            // Must precede the polls: it drops the loads of engines that accept no calls.
            self.start_due_loads().await;
            self.poll_loads();
        }
    }

    async fn claim_or_renew(&mut self) {
        let now = clock::now();
        let LeadershipAction::Append { record, at } = self.leadership.next_action(now) else {
            return;
        };
        let leads = self.leadership.is_leader(now);
        let bytes = encode(&RouterRecord::Leader(record.clone()));
        match self.config.store.append_to_log(bytes, Some(at)).await {
            Ok(position) => {
                if let LeaderRecord::Claim { .. } = &record {
                    let predecessor = self.leadership.last_holder();
                    let predecessor = predecessor.map_or("none", RouterName::as_str);
                    log::info!(fence = position.ordinal(), predecessor; "leadership claimed");
                }
                self.leadership.record_append(now, position, &record);
                if std::mem::take(&mut self.is_log_lost) {
                    log::info!("routers' log reached again");
                }
            }
            Err(StoreError::EraChanged(era)) => self.leadership.begin_era(clock::now(), era),
            // The log reader delivers the records that were appended meanwhile.
            Err(StoreError::Conflict(end)) => {
                log::debug!("conditional append at offset {at} failed, the log ends at {end}");
                self.leadership.invalidate_log_end();
            }
            Err(e) => {
                if !std::mem::replace(&mut self.is_log_lost, true) {
                    log::warn!(leads = self.was_leading; "routers' log lost: {e}");
                }
                metrics::counter!(metric::STORE_FAILURES).increment(1);
                let pause_ms = match leads {
                    true => FAILED_PAUSE_MS,
                    false => CLAIM_PAUSE_MS,
                };
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    async fn release(&mut self) {
        let Some(LeadershipAction::Append { record, at }) = self.leadership.release(clock::now())
        else {
            return;
        };
        let quiet_ms = record.quiet_ms().unwrap_or_default();
        let bytes = encode(&RouterRecord::Leader(record));
        let append = self.config.store.append_to_log(bytes, Some(at));
        match tokio::time::timeout(Duration::from_millis(RELEASE_TIMEOUT_MS), append).await {
            Ok(Ok(_)) => log::info!(quiet_ms; "leadership handed back"),
            Ok(Err(e)) => log::warn!("could not release the leadership, it expires instead: {e}"),
            Err(_) => log::warn!(
                "leadership was not released within {RELEASE_TIMEOUT_MS} ms, it expires instead"
            ),
        }
    }

    async fn publish_fingerprint_event(&mut self, event: FingerprintEvent) {
        let bytes = encode(&RouterRecord::Fingerprint(event));
        self.own_records.remember(bytes.clone());
        if let Err(e) = self.config.store.append_to_log(bytes, None).await {
            log::warn!("could not append a fingerprint event to the routers' log: {e}");
        }
    }
}

fn send_event(events: &mpsc::Sender<Event>, event: Event) -> BoxFuture<'_, ()> {
    Box::pin(async move {
        if events.send(event).await.is_err() {
            log::debug!("dropped the response of an engine after shutdown");
        }
    })
}

fn decode(bytes: &[u8]) -> Result<RouterRecord, bincode::Error> {
    bincode::deserialize(bytes)
}

fn encode(record: &RouterRecord) -> Vec<u8> {
    match bincode::serialize(record) {
        Ok(bytes) => bytes,
        Err(e) => unreachable!("records of plain fields can always be serialized: {e}"),
    }
}
