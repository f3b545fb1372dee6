//! Leader election over the routers' shared log, and the leader's roll-out of new weights.
//!
//! The log also announces routers that have started, and carries events about requests that crash
//! servers. Every router follows the log and tries to become the leader. Only the leader orders
//! engines to load new weights.

mod log_reader;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::direct::{
    fleet::BackendKey,
    leadership::{LeaderRecord, Leadership, LeadershipAction},
    own_records::OwnRecords,
    rollout::{EngineWeights, engines_to_load},
    server_notice::ServerNotice,
};
use dogwoodway_types::{
    LogOffset, LogPosition, ModelName, RouterName, StoreEra, Timestamp, WeightsVersion,
};
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use self::log_reader::LogReader;
use crate::{
    checked_store::CheckedStore,
    clock,
    feeds::SharedFeeds,
    fleet_actor::{
        ApplyFingerprintEvent, ApplyServerNotice, EngineTarget, FingerprintEvent, FleetActor,
        GetRolloutState, UpdateWeightsState, WeightsState,
    },
    metric,
    platform_api::{
        ControlAnswer, EngineControl, EngineReport, LoadOrder, OrderOutcome, RecordPage, StoreError,
    },
};

/// Pause after a failed call to the log, in milliseconds.
const FAILED_PAUSE_MS: u64 = 150;

/// Pause after a failed attempt to become the leader, in milliseconds. It may be long, because any
/// other router can become the leader meanwhile.
const CLAIM_PAUSE_MS: u64 = 500;

/// Interval at which leadership and pending loads are checked, in milliseconds.
const TICK_MS: u64 = 50;

/// Time from an accepted order to the first check whether the weights are loaded, in milliseconds.
/// A load takes at least some 430 ms, and reports are 100 ms old.
const FIRST_POLL_DELAY_MS: u64 = 540;

/// Interval between further checks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Time after which an accepted order is considered to have had no effect, in milliseconds. It
/// includes the requests in progress, which the engine finishes first.
const LOAD_TIMEOUT_MS: u64 = 6_000;

/// Time after which an order without a response is considered to have had no effect, in
/// milliseconds. It is shorter than [`LOAD_TIMEOUT_MS`], because the order may have been lost.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 900;

/// Pause before the next try if an engine is busy, refuses an order or does not report, in
/// milliseconds.
const RETRY_PAUSE_MS: u64 = 250;

/// Time limit for releasing the leadership when the process stops, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 300;

/// Own records that are written again if the store loses them.
const MAX_OWN_RECORDS: usize = 64;

/// Consecutive reports of an engine that may fail before its load is given up.
const MAX_FAILED_REPORTS: u32 = 4;

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

/// How far a [`PendingLoad`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStep {
    /// Waiting for a report that says how many orders the engine has accepted.
    Querying,
    /// Waiting for the response to the order.
    Ordering,
    /// The engine is loading, or may be.
    Loading { poll_at: Timestamp, give_up_at: Timestamp },
    /// Waiting for a report that says whether the weights are loaded.
    Verifying { give_up_at: Timestamp },
    /// Waiting before the next try.
    BackingOff { until: Timestamp },
}

/// A load of new weights by one engine, from the first report to the loaded weights.
#[derive(Debug)]
struct PendingLoad {
    target: EngineTarget,
    step: LoadStep,
    /// Orders that the engine had accepted at its last report; the precondition of the next order.
    accepted_orders: u64,
    /// Consecutive reports that failed.
    failures: u32,
}

impl PendingLoad {
    fn version(&self) -> WeightsVersion {
        self.target.weights.newest
    }

    fn model(&self) -> &ModelName {
        &self.target.weights.model
    }
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
    let leadership = Leadership::new(config.router.clone(), config.lease_ms);
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
        let notice = ApplyServerNotice { server, started_at_ms, notice };
        if let Err(e) = self.config.fleet.tell(notice).await {
            log::error!("could not apply what an engine says about requests: {e}");
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
                        "record that the store had lost was written again");
                }
                Err(e) => {
                    log::warn!("could not write a lost record again: {e}");
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
            Ok(offset) => {
                self.leadership.record_append(now, offset, &record);
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
        let bytes = encode(&RouterRecord::Leader(record));
        let append = self.config.store.append_to_log(bytes, Some(at));
        match tokio::time::timeout(Duration::from_millis(RELEASE_TIMEOUT_MS), append).await {
            Ok(Ok(_)) => log::info!("leadership handed back"),
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

    /// Gives up all pending loads, since this router leads no longer.
    async fn abandon_loads(&mut self) {
        for (server, _) in std::mem::take(&mut self.pending_loads) {
            self.update_weights_state(server, None, WeightsState::LoadFailed).await;
        }
    }

    /// Starts the loads that are due, and drops those of engines that have left the fleet or want no
    /// calls. The latter begin anew once they accept calls again.
    async fn start_due_loads(&mut self) {
        let targets = match self.config.fleet.ask(GetRolloutState).await {
            Ok(targets) => targets,
            Err(e) => {
                log::error!("fleet actor did not return the roll-out state: {e}");
                return;
            }
        };
        self.pending_loads.retain(|key, load| {
            let target = targets.iter().find(|target| target.weights.server == *key);
            if let (Some(target), LoadStep::Querying | LoadStep::BackingOff { .. }) =
                (target, load.step)
            {
                load.target = target.clone();
            }
            target.is_some_and(|target| target.accepts_calls)
        });
        let engines: Vec<_> = targets
            .iter()
            .map(|target| EngineWeights {
                is_loading: self.pending_loads.contains_key(&target.weights.server),
                ..target.weights.clone()
            })
            .collect();
        let due: Vec<_> =
            engines_to_load(&engines).into_iter().map(|engine| engine.server).collect();
        for server in due {
            let target = targets.iter().find(|target| target.weights.server == server);
            let Some(target) = target.cloned() else { continue };
            let load =
                PendingLoad { target, step: LoadStep::Querying, accepted_orders: 0, failures: 0 };
            self.request_report(&load);
            self.pending_loads.insert(server, load);
        }
    }

    /// Requests a report for each load that is due for one.
    fn poll_loads(&mut self) {
        let now = clock::now();
        let mut due = Vec::new();
        for (server, load) in &mut self.pending_loads {
            match load.step {
                LoadStep::Loading { poll_at, give_up_at } if poll_at <= now => {
                    load.step = LoadStep::Verifying { give_up_at };
                    due.push(*server);
                }
                LoadStep::BackingOff { until } if until <= now => {
                    load.step = LoadStep::Querying;
                    due.push(*server);
                }
                _ => {}
            }
        }
        for server in due {
            self.request_report(&self.pending_loads[&server]);
        }
    }

    fn request_report(&self, load: &PendingLoad) {
        let (control, events) = (self.config.control.clone(), self.events.clone());
        let target = Box::new(load.target.clone());
        tokio::spawn(async move {
            let answer = control.report(&target.name, target.address).await;
            send_event(&events, Event::Reported { target, answer }).await;
        });
    }

    async fn handle_report(&mut self, server: BackendKey, report: Result<EngineReport, String>) {
        let now = clock::now();
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        let report = match report {
            Ok(report) => report,
            Err(why) => return self.handle_report_error(server, why).await,
        };
        load.failures = 0;
        let serves = report.weights.iter().find(|(model, _)| model == load.model());
        let is_loaded = serves.is_some_and(|(_, version)| *version >= load.version());
        if is_loaded && !report.is_busy {
            let (model, version) = (load.model().clone(), load.version());
            log::info!(server:% = load.target.name, version = version.0; "weights loaded");
            self.pending_loads.remove(&server);
            return self
                .update_weights_state(server, Some(model), WeightsState::Loaded(version))
                .await;
        }
        match load.step {
            LoadStep::Querying if report.is_busy => {
                let until = now + Duration::from_millis(RETRY_PAUSE_MS);
                load.step = LoadStep::BackingOff { until };
            }
            LoadStep::Querying => {
                load.accepted_orders = report.accepted_orders;
                self.send_order(now, server).await;
            }
            LoadStep::Verifying { give_up_at } if now < give_up_at || report.is_busy => {
                let poll_at = now + Duration::from_millis(POLL_INTERVAL_MS);
                load.step = LoadStep::Loading { poll_at, give_up_at };
            }
            LoadStep::Verifying { .. } => {
                log::warn!(server:% = load.target.name;
                    "order to load new weights had no effect, sending it again");
                load.accepted_orders = report.accepted_orders;
                self.send_order(now, server).await;
            }
            LoadStep::Ordering | LoadStep::Loading { .. } | LoadStep::BackingOff { .. } => {}
        }
    }

    async fn handle_report_error(&mut self, server: BackendKey, why: String) {
        let now = clock::now();
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        log::debug!("no weights report from {}: {why}", load.target.name);
        load.failures += 1;
        let pause = Duration::from_millis(RETRY_PAUSE_MS);
        match load.step {
            _ if load.failures > MAX_FAILED_REPORTS => {
                self.pending_loads.remove(&server);
                self.update_weights_state(server, None, WeightsState::LoadFailed).await;
            }
            LoadStep::Verifying { give_up_at } => {
                load.step = LoadStep::Loading { poll_at: now + pause, give_up_at };
            }
            _ => load.step = LoadStep::BackingOff { until: now + pause },
        }
    }

    /// Orders an engine to load new weights, if this router still leads.
    async fn send_order(&mut self, now: Timestamp, server: BackendKey) {
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        let Some(fence) = self.leadership.fencing_token(now) else {
            self.pending_loads.remove(&server);
            return;
        };
        self.leadership.record_order(now);
        load.step = LoadStep::Ordering;
        let order = LoadOrder {
            server: load.target.name.clone(),
            address: load.target.address,
            model: load.model().clone(),
            version: load.version(),
            holder: self.config.router.to_string(),
            fencing_token: fence.ordinal(),
            expected_orders: load.accepted_orders,
        };
        log::info!(server:% = order.server, version = order.version.0, fence = order.fencing_token,
            after = order.expected_orders, running = load.target.weights.running;
            "engine ordered to load new weights");
        let state = WeightsState::Loading(load.version());
        let (control, events) = (self.config.control.clone(), self.events.clone());
        let target = Box::new(load.target.clone());
        self.update_weights_state(server, None, state).await;
        tokio::spawn(async move {
            let answer = control.load_weights(order).await;
            send_event(&events, Event::Ordered { target, answer }).await;
        });
    }

    async fn handle_order_outcome(&mut self, server: BackendKey, outcome: OrderOutcome) {
        let now = clock::now();
        metrics::counter!(metric::ORDERS, "answer" => outcome_label(outcome)).increment(1);
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        log::info!(server:% = load.target.name, version = load.version().0, answer:? = outcome;
            "order answered");
        let after = |ms| now + Duration::from_millis(ms);
        match outcome {
            OrderOutcome::Accepted => {
                let (poll_at, give_up_at) = (after(FIRST_POLL_DELAY_MS), after(LOAD_TIMEOUT_MS));
                load.step = LoadStep::Loading { poll_at, give_up_at };
            }
            OrderOutcome::AlreadyHolds => {
                load.step = LoadStep::Loading { poll_at: now, give_up_at: after(LOAD_TIMEOUT_MS) };
            }
            OrderOutcome::Unknown => {
                let (poll_at, give_up_at) =
                    (after(FIRST_POLL_DELAY_MS), after(UNACKNOWLEDGED_TIMEOUT_MS));
                load.step = LoadStep::Loading { poll_at, give_up_at };
            }
            OrderOutcome::Conflict => {
                load.step = LoadStep::BackingOff { until: after(RETRY_PAUSE_MS) };
            }
            OrderOutcome::Fenced | OrderOutcome::Rejected(_) => {
                self.pending_loads.remove(&server);
                self.update_weights_state(server, None, WeightsState::LoadFailed).await;
            }
        }
    }

    async fn update_weights_state(
        &self,
        server: BackendKey,
        model: Option<ModelName>,
        state: WeightsState,
    ) {
        if let Err(e) = self.config.fleet.tell(UpdateWeightsState { server, model, state }).await {
            log::error!("could not update the weights state of an engine: {e}");
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

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already-holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Rejected(_) => "rejected",
        OrderOutcome::Unknown => "unknown",
    }
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
