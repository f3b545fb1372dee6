//! The actor that owns the router's state of all backend servers and its idle connections to them.
//!
//! Placement needs a consistent view of all servers, so every change goes through this actor's
//! mailbox: directory changes, results of attempts and probes, and updates from other routers.

mod crash_tracker;
mod notices;
mod routers;
mod weights;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use dogwoodway_routing::{
    direct::{
        distance::Regions,
        fleet::{
            BackendKey, Fleet, LeavingServer, Placement, PlacementRequest, Refusal, RequestKey,
            ServerTag,
        },
        health::HealthSignal,
        kv_stores::KvChange,
    },
    retry_budget::{RetryBudget, RetryLimits},
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, NotRunReason, RequestFingerprint, ServiceName, Timestamp,
    WeightsVersion,
};
use kameo::{
    Actor, Reply,
    actor::ActorRef,
    message::{Context, Message},
};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    clock,
    connection::Connection,
    metric,
    platform_api::{DirectoryChange, EngineControl},
};

use self::crash_tracker::CrashTracker;
pub(crate) use self::{
    crash_tracker::FingerprintEvent,
    notices::{ApplyLeavingServers, ApplyServerNotice},
    routers::{
        ApplyFingerprintEvent, ApplyPeerUpdate, ApplyWeightsNotices, ClearPeerLoads,
        CollectRouterUpdate, SetRouterCount,
    },
    weights::{EngineTarget, GetRolloutState, UpdateWeightsState, WeightsState},
};

/// Maximum number of idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A router keeps at most its share of a server's connection limit, divided by this number, as idle
/// connections; the rest is for requests in flight.
const IDLE_SHARE_DIVISOR: u32 = 2;

/// Time for which a change in the loading of weights is repeated to other routers, in milliseconds.
const WEIGHTS_UPDATE_TTL_MS: u64 = 3_000;

/// Time for which a server that is about to stop is reported to other routers, in milliseconds.
const LEAVING_NOTICE_TTL_MS: u64 = 1_000;

/// Part of the allowed retry budget that is used, in thousandths. The margin is needed because
/// routers count requests at slightly different times.
const RETRY_BUDGET_USE_PERMILLE: u32 = 750;

/// Number of routers that are assumed to share the retry budget until the actual number is known.
const ASSUMED_ROUTERS: u32 = 24;

/// Limits that the platform sets on the retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBounds {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// Additional retries in one window of time.
    pub(crate) slack: u32,
}

/// A change in an engine's weights, as one router reports it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WeightsUpdate {
    pub(crate) server: ServerTag,
    pub(crate) version: WeightsVersion,
    pub(crate) stage: LoadStage,
}

/// Progress of an engine in loading new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LoadStage {
    /// The engine was ordered to load them.
    Loading,
    /// The engine has loaded them.
    Loaded,
}

/// Owner of the router's state of all backend servers.
#[derive(Actor)]
pub(crate) struct FleetActor {
    fleet: Fleet,
    /// The most recently used connection is last.
    idle_connections: SecondaryMap<BackendKey, Vec<Connection>>,
    /// Signals the loss of a server to the attempts at it. Removed once the server is up again, so
    /// that later attempts start with a new signal.
    lost_signals: SecondaryMap<BackendKey, watch::Sender<bool>>,
    retry_bounds: RetryBounds,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    /// Number of routers that share the retry budget and the connection limits.
    router_count: u32,
    crash_tracker: CrashTracker,
    control: Arc<dyn EngineControl>,
    /// Changes to report to other routers, each until the time given.
    weights_updates: Vec<(WeightsUpdate, Timestamp)>,
    /// Servers that are about to stop, to report to other routers, each until the time given.
    leaving_notices: Vec<(LeavingServer, Timestamp)>,
    /// When the ages of published versions are next reported to other routers.
    next_version_ages_at: Timestamp,
    /// Connections that a server of each service accepts from all routers together.
    max_connections: HashMap<ServiceName, u32>,
    loads_changed: Arc<Notify>,
}

/// Settings and channels of a [`FleetActor`].
pub(crate) struct FleetConfig {
    pub(crate) zone: AvailabilityZone,
    pub(crate) regions: Regions,
    pub(crate) retry_bounds: RetryBounds,
    /// Time after the publication of new weights within which requests may start on old ones, in
    /// milliseconds.
    pub(crate) stale_weights_limit_ms: u32,
    /// Receives the events that are shared with other routers.
    pub(crate) fingerprint_events: mpsc::Sender<FingerprintEvent>,
    pub(crate) control: Arc<dyn EngineControl>,
    /// Set by the actor once any request has been linked to a crash.
    pub(crate) quarantine_in_use: Arc<AtomicBool>,
    /// Notified when there are new loads to report to other routers.
    pub(crate) loads_changed: Arc<Notify>,
}

impl FleetActor {
    pub(crate) fn new(config: FleetConfig) -> FleetActor {
        let mut fleet = Fleet::new(config.zone);
        fleet.set_regions(config.regions);
        fleet.set_stale_weights_limit(config.stale_weights_limit_ms);
        FleetActor {
            fleet,
            idle_connections: SecondaryMap::new(),
            lost_signals: SecondaryMap::new(),
            retry_bounds: config.retry_bounds,
            retry_budgets: HashMap::new(),
            router_count: ASSUMED_ROUTERS,
            crash_tracker: CrashTracker::new(config.fingerprint_events, config.quarantine_in_use),
            control: config.control,
            weights_updates: Vec::new(),
            leaving_notices: Vec::new(),
            next_version_ages_at: Timestamp::default(),
            max_connections: HashMap::new(),
            loads_changed: config.loads_changed,
        }
    }

    /// Returns the part of the common retry limits that this router may use.
    fn retry_limits(&self) -> RetryLimits {
        let used_share = f64::from(RETRY_BUDGET_USE_PERMILLE) / 1e3;
        let max_saved =
            f64::from(self.retry_bounds.slack) * used_share / f64::from(self.router_count);
        RetryLimits {
            earned_millis: (self.retry_bounds.ratio * 1e3 * used_share) as u32,
            max_saved: (max_saved as u32).max(1),
        }
    }

    fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.retry_limits();
        let budget =
            self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits));
        budget.set_limits(limits);
        budget
    }

    fn take_idle(&mut self, now: Timestamp, key: BackendKey) -> Option<Connection> {
        let idle = self.idle_connections.get_mut(key)?;
        idle.retain(|connection| connection.is_reusable(now));
        let newest = idle.iter().rposition(|connection| connection.is_usable(now))?;
        Some(idle.remove(newest))
    }

    fn store_idle(&mut self, now: Timestamp, key: BackendKey, connection: Connection) {
        let max_idle = match self.fleet.leaving_server(key) {
            Some(_) => 0,
            None => self.max_idle(key),
        };
        let Some(idle) = self.idle_connections.get_mut(key) else { return };
        if idle.len() < max_idle && connection.is_reusable(now) {
            idle.push(connection);
        }
    }

    /// Returns the maximum number of idle connections to a server.
    fn max_idle(&self, key: BackendKey) -> usize {
        let service = self.fleet.listing(key).map(|listing| &listing.service);
        match service.and_then(|service| self.max_connections.get(service)) {
            Some(limit) => (limit / self.router_count / IDLE_SHARE_DIVISOR)
                .clamp(1, MAX_IDLE_CONNECTIONS as u32) as usize,
            None => MAX_IDLE_CONNECTIONS,
        }
    }

    fn subscribe_lost(&mut self, key: BackendKey) -> watch::Receiver<bool> {
        match self.lost_signals.get(key) {
            Some(tx) => tx.subscribe(),
            None => {
                let (tx, rx) = watch::channel(false);
                self.lost_signals.insert(key, tx);
                rx
            }
        }
    }

    /// Opens a connection to a server whose health is in doubt; the result arrives as
    /// [`ProbeCompleted`].
    fn probe(&self, key: BackendKey, actor: &ActorRef<FleetActor>) {
        let Some(listing) = self.fleet.listing(key) else { return };
        let (address, actor) = (listing.address, actor.clone());
        tokio::spawn(async move {
            let connection = Connection::open(address).await;
            let is_refused = connection
                .as_ref()
                .is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused);
            let result = ProbeCompleted { key, connection: connection.ok(), is_refused };
            if let Err(e) = actor.tell(result).await {
                log::debug!("could not deliver the result of a probe: {e}");
            }
        });
    }

    /// Signals the loss of a server to the attempts that wait for it, and closes its idle
    /// connections.
    fn mark_lost(&mut self, key: BackendKey) {
        if let Some(tx) = self.lost_signals.get(key) {
            tx.send_replace(true);
        }
        if let Some(idle) = self.idle_connections.get_mut(key) {
            idle.clear();
        }
    }

    fn apply(&mut self, now: Timestamp, change: DirectoryChange) {
        match change {
            DirectoryChange::TableUpdated(table) => {
                self.fleet.set_table(&table);
                let services = table.services();
                let limits =
                    services.map(|service| (service.name.clone(), service.max_connections));
                self.max_connections = limits.collect();
            }
            DirectoryChange::VersionPublished { model, version, is_new } => {
                let age = if is_new { Duration::ZERO } else { Fleet::assumed_version_age() };
                self.fleet.record_published_version(now, model, version, age);
            }
            DirectoryChange::ServerUpdated(listing) => {
                let name = listing.name.clone();
                // `true` means that the server is new or has restarted. Attempts, connections and
                // suspects of an earlier process are then settled as after a crash.
                if let Some((key, true)) = self.fleet.apply_listing(now, listing) {
                    self.idle_connections.insert(key, Vec::new());
                    self.mark_lost(key);
                    self.lost_signals.remove(key);
                    self.crash_tracker.confirm_crash(now, key);
                    log::info!(server:% = name; "backend server listed");
                }
            }
            DirectoryChange::ServerRemoved(name) => {
                if let Some(key) = self.fleet.remove(&name) {
                    self.remove_connections(key);
                    log::info!(server:% = name; "backend server gone");
                }
            }
            DirectoryChange::InvalidEntry(what) => log::warn!("directory entry ignored: {what}"),
        }
    }

    fn remove_connections(&mut self, key: BackendKey) {
        self.idle_connections.remove(key);
        self.lost_signals.remove(key);
    }
}

/// Chooses a server for a request and registers the attempt in the fleet.
pub(crate) struct PlaceRequest {
    pub(crate) placement_request: PlacementRequest,
    /// Whether the request was sent to a server before; a retry is taken from the retry budget.
    pub(crate) is_retry: bool,
    /// Present while requests are tracked for crashes.
    pub(crate) fingerprint: Option<RequestFingerprint>,
}

/// Reply to [`PlaceRequest`].
#[derive(Reply)]
pub(crate) enum PlacementReply {
    /// The server to send the request to.
    Assigned(Box<AssignedServer>),
    /// The request must not be sent to any server now.
    Refused(Refusal),
}

/// The server chosen for a request.
pub(crate) struct AssignedServer {
    pub(crate) placement: Placement,
    /// An idle connection to it, if there is one.
    pub(crate) connection: Option<Connection>,
    /// Turns true when the server is marked as lost.
    pub(crate) lost: watch::Receiver<bool>,
}

impl Message<PlaceRequest> for FleetActor {
    type Reply = PlacementReply;

    async fn handle(
        &mut self,
        msg: PlaceRequest,
        _: &mut Context<Self, Self::Reply>,
    ) -> PlacementReply {
        let now = clock::now();
        if let Some(fingerprint) = msg.fingerprint
            && let Some(until) = self.crash_tracker.quarantined_until(now, &fingerprint)
        {
            return PlacementReply::Refused(Refusal {
                reason: NotRunReason::Quarantined,
                retry_at: until,
                is_retry_at_known: false,
                wait_ms: 0,
            });
        }
        let budget = self.retry_budget(&msg.placement_request.service);
        if !msg.is_retry {
            budget.record_first_attempt();
        } else if !budget.try_take_retry() {
            metrics::counter!(metric::RETRIES_DENIED).increment(1);
            let retry_at = now + Duration::from_secs(1);
            return PlacementReply::Refused(Refusal {
                reason: NotRunReason::Overloaded,
                retry_at,
                is_retry_at_known: false,
                wait_ms: 0,
            });
        }
        match self.fleet.place(now, &msg.placement_request) {
            Ok(placement) => {
                self.loads_changed.notify_one();
                let connection = self.take_idle(now, placement.server);
                let lost = self.subscribe_lost(placement.server);
                PlacementReply::Assigned(Box::new(AssignedServer { placement, connection, lost }))
            }
            Err(refusal) => PlacementReply::Refused(refusal),
        }
    }
}

/// The first bytes of a response body have arrived. For a response that is read completely before
/// it is passed on, this is sent at its end.
pub(crate) struct FirstOutputReceived(pub(crate) RequestKey);

impl Message<FirstOutputReceived> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstOutputReceived, _: &mut Context<Self, Self::Reply>) {
        self.fleet.record_first_output(clock::now(), msg.0);
        self.loads_changed.notify_one();
    }
}

/// Further bytes have arrived from a server, which shows that it is alive.
pub(crate) struct BytesReceived(pub(crate) BackendKey);

impl Message<BytesReceived> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: BytesReceived, _: &mut Context<Self, Self::Reply>) {
        self.fleet.record_activity(clock::now(), msg.0);
    }
}

/// Ends an attempt and releases its place in the fleet.
pub(crate) struct EndAttempt {
    /// Identifies the request in the fleet.
    pub(crate) request_key: RequestKey,
    pub(crate) server: BackendKey,
    /// How it ended; absent if that says nothing about the server's health, such as when the client
    /// disconnected.
    pub(crate) signal: Option<HealthSignal>,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
    /// Present if the connection was lost, or while requests are tracked for crashes.
    pub(crate) fingerprint: Option<RequestFingerprint>,
}

impl Message<EndAttempt> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndAttempt, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.end_request(now, msg.request_key, msg.signal);
        self.loads_changed.notify_one();
        if let Some(connection) = msg.connection {
            self.store_idle(now, msg.server, connection);
        }
        match msg.signal {
            Some(HealthSignal::Unreachable) => {
                self.mark_lost(msg.server);
                self.probe(msg.server, cx.actor_ref());
            }
            Some(HealthSignal::ConnectionLost) => {
                let listing = self.fleet.listing(msg.server);
                if let (Some(listing), Some(fingerprint)) = (listing, msg.fingerprint) {
                    self.crash_tracker.add_suspect(now, msg.server, listing, fingerprint);
                }
                self.probe(msg.server, cx.actor_ref());
            }
            Some(HealthSignal::Answered | HealthSignal::Failed) => {
                if let Some(fingerprint) = msg.fingerprint {
                    self.crash_tracker.record_response(fingerprint);
                }
            }
            _ => {}
        }
    }
}

/// Result of a probe.
struct ProbeCompleted {
    key: BackendKey,
    /// Absent if the probe failed.
    connection: Option<Connection>,
    /// Whether the connection was refused: no process listens at the address, so the server has
    /// crashed or stopped.
    is_refused: bool,
}

impl Message<ProbeCompleted> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ProbeCompleted, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let was_up = self.fleet.is_up(msg.key);
        self.fleet.record_probe(now, msg.key, msg.connection.is_some());
        let server = self.fleet.listing(msg.key).map(|listing| listing.name.clone());
        match msg.connection {
            Some(connection) => {
                if !was_up {
                    self.lost_signals.remove(msg.key);
                    log::info!(server:? = server; "backend server reached again");
                }
                self.store_idle(now, msg.key, connection);
            }
            None => {
                self.mark_lost(msg.key);
                if was_up {
                    log::warn!(server:? = server, refused = msg.is_refused;
                        "backend server lost");
                }
                if msg.is_refused {
                    self.crash_tracker.confirm_crash(now, msg.key);
                }
            }
        }
    }
}

/// Applies changes of the directory, in order.
pub(crate) struct ApplyDirectoryChanges(pub(crate) Vec<DirectoryChange>);

impl Message<ApplyDirectoryChanges> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyDirectoryChanges, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        for change in msg.0 {
            self.apply(now, change);
        }
        metrics::gauge!(metric::SERVERS).set(self.fleet.server_names().len() as f64);
    }
}

/// Marks servers as missing from the directory. They stay in use until `until`, since the directory
/// may be incomplete until then.
pub(crate) struct MarkServersMissing {
    pub(crate) names: Vec<BackendServerName>,
    pub(crate) until: Timestamp,
}

impl Message<MarkServersMissing> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: MarkServersMissing, _: &mut Context<Self, Self::Reply>) {
        for name in &msg.names {
            self.fleet.mark_missing(name, msg.until);
        }
    }
}

/// Returns the names of all known servers.
pub(crate) struct GetServerNames;

impl Message<GetServerNames> for FleetActor {
    type Reply = Vec<BackendServerName>;

    async fn handle(
        &mut self,
        _: GetServerNames,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<BackendServerName> {
        self.fleet.server_names()
    }
}

/// Runs periodic work: expires peers and missing servers, and probes servers that are down or that
/// owe a response and have been silent for too long.
pub(crate) struct Tick;

impl Message<Tick> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.expire_peer_loads(now);
        for (name, key) in self.fleet.remove_unlisted(now) {
            self.remove_connections(key);
            log::info!(server:% = name; "backend server gone: not listed again in time");
        }
        let silent = self.fleet.unresponsive_servers(now);
        for key in silent.into_iter().chain(self.fleet.start_probes(now)) {
            self.probe(key, cx.actor_ref());
        }
    }
}

/// Applies changes in the contents of a KV cache store.
pub(crate) struct UpdateKvStore {
    pub(crate) address: SocketAddr,
    /// Whether everything known of the store's contents is discarded first.
    pub(crate) is_reset: bool,
    /// Absent if the store cannot be reached.
    pub(crate) changes: Option<Vec<KvChange>>,
}

impl Message<UpdateKvStore> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: UpdateKvStore, _: &mut Context<Self, Self::Reply>) {
        match msg.changes {
            Some(changes) => {
                self.fleet.apply_store_changes(clock::now(), msg.address, msg.is_reset, &changes);
            }
            None => self.fleet.mark_store_unreachable(msg.address),
        }
    }
}
