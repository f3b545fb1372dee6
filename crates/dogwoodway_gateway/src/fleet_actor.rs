//! The actor that owns the router's state of all backend servers and its idle connections to them.
//!
//! Placement needs a consistent view of all servers, so every change goes through this actor's
//! mailbox: directory changes, results of attempts and probes, and updates from other routers.

mod attempts;
mod crash_tracker;
mod limit_reports;
mod notices;
mod part_evidence;
mod placement_claim;
mod probes;
mod routers;
mod software;
mod unnamed_responses;
mod weights;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use dogwoodway_routing::{
    direct::{
        fleet::{BackendKey, Fleet, LeavingServer, ServerTag, StartLimits},
        kv_stores::KvChange,
        load::router_id,
        process_end::EndSign,
    },
    retry_budget::{RetryBounds, RetryShare},
};
use dogwoodway_types::{BackendServerName, ServiceName, Timestamp, WeightsVersion};
use kameo::{
    Actor,
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
    router::RouterSettings,
};

pub(crate) use self::{
    attempts::{
        AssignedServer, AttemptedRequest, BytesReceived, EndAttempt, FirstOutputReceived,
        PlaceRequest, PlacementReply, ServerReplaced,
    },
    crash_tracker::{FingerprintEvent, ServerProcess},
    limit_reports::ApplyLimitNotices,
    notices::{ApplyLeavingServers, ApplyServerNotice},
    probes::{IsExpectedToStop, ProbeCompleted},
    routers::{
        ApplyFingerprintEvent, ApplyPartNotices, ApplyPeerUpdate, ApplyWeightsNotices,
        ClearPeerLoads, CollectRouterUpdate, SetRouters,
    },
    software::{CheckOrigin, GetServiceSoftware, InterruptSoftwareHistories},
    unnamed_responses::RecordUnnamedResponse,
    weights::{EngineTarget, GetRolloutState, UpdateWeightsState, WeightsState},
};
use self::{crash_tracker::CrashTracker, limit_reports::LimitReports, part_evidence::PartEvidence};

/// Maximum number of idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A router keeps at most its share of a server's connection limit, divided by this number, as idle
/// connections; the rest is for requests in flight.
const IDLE_SHARE_DIVISOR: u32 = 2;

/// Time for which a change in the loading of weights is repeated to other routers, in milliseconds.
const WEIGHTS_UPDATE_TTL_MS: u64 = 3_000;

/// Time for which a server that is shutting down is reported to other routers, in milliseconds.
const LEAVING_NOTICE_TTL_MS: u64 = 1_000;

/// Number of routers that are assumed to share the retry budget until the actual number is known.
const ASSUMED_ROUTERS: u32 = 24;

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
    /// Servers that have sent a response that names no request. Their connections are not reused.
    unnamed_responses: SecondaryMap<BackendKey, ()>,
    /// Signals the loss of a server to the attempts at it. Removed once the server is up again, so
    /// that later attempts start with a new signal.
    lost_signals: SecondaryMap<BackendKey, watch::Sender<bool>>,
    /// When this process started.
    started_at: Timestamp,
    retry_bounds: RetryBounds,
    retry_shares: HashMap<ServiceName, RetryShare>,
    /// Number of routers that share the retry budget and the connection limits.
    router_count: u32,
    /// Position of this router among those that are alive.
    router_position: u32,
    /// Ranks of the routers that are alive.
    routers_alive: Vec<u64>,
    /// Until when this router repeats what routers that have just started do not know.
    repeats_until: Timestamp,
    crash_tracker: CrashTracker,
    part_evidence: PartEvidence,
    limit_reports: LimitReports,
    control: Arc<dyn EngineControl>,
    /// Changes to report to other routers, each until the time given.
    weights_updates: Vec<(WeightsUpdate, Timestamp)>,
    /// Servers that are shutting down, to report to other routers, each until the time given.
    leaving_notices: Vec<(LeavingServer, Timestamp)>,
    /// When the ages of published versions are next reported to other routers.
    next_version_ages_at: Timestamp,
    /// Connections that a server of each service accepts from all routers together.
    max_connections: HashMap<ServiceName, u32>,
    signals: Arc<FleetSignals>,
    loads_changed: Arc<Notify>,
}

/// What a [`FleetActor`] tells the tasks that serve requests.
#[derive(Debug, Default)]
pub(crate) struct FleetSignals {
    /// Set once any request has been linked to a server crash. Until then, fingerprints are only
    /// computed for requests whose connection was lost.
    pub(crate) quarantine_in_use: Arc<AtomicBool>,
    /// Until when requests may start on outdated weights.
    pub(crate) start_limits: watch::Sender<Arc<StartLimits>>,
}

/// What a [`FleetActor`] shares with other tasks.
pub(crate) struct FleetChannels {
    /// Receives the events that are shared with other routers.
    pub(crate) fingerprint_events: mpsc::Sender<FingerprintEvent>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) signals: Arc<FleetSignals>,
    /// Notified when there are new loads to report to other routers.
    pub(crate) loads_changed: Arc<Notify>,
}

impl FleetActor {
    pub(crate) fn new(settings: &RouterSettings, channels: FleetChannels) -> FleetActor {
        let mut fleet = Fleet::new(settings.zone.clone());
        fleet.set_regions(settings.regions.clone());
        fleet.set_stale_weights_limit(settings.stale_weights_limit_ms);
        let seed = router_id(settings.gossip_listen);
        let quarantine_in_use = channels.signals.quarantine_in_use.clone();
        let crash_tracker = CrashTracker::new(channels.fingerprint_events, quarantine_in_use);
        FleetActor {
            fleet,
            idle_connections: SecondaryMap::new(),
            unnamed_responses: SecondaryMap::new(),
            lost_signals: SecondaryMap::new(),
            started_at: clock::now(),
            retry_bounds: RetryBounds { ratio: settings.retry_ratio, slack: settings.retry_slack },
            retry_shares: HashMap::new(),
            router_count: ASSUMED_ROUTERS,
            router_position: 0,
            routers_alive: Vec::new(),
            repeats_until: Timestamp::default(),
            crash_tracker,
            part_evidence: PartEvidence::new(seed, ASSUMED_ROUTERS),
            limit_reports: LimitReports::default(),
            control: channels.control,
            weights_updates: Vec::new(),
            leaving_notices: Vec::new(),
            next_version_ages_at: Timestamp::default(),
            max_connections: HashMap::new(),
            signals: channels.signals,
            loads_changed: channels.loads_changed,
        }
    }

    fn retry_share(&mut self, service: &ServiceName) -> &mut RetryShare {
        let limits = self.retry_bounds.share(self.router_count, self.router_position);
        let share = self.retry_shares.entry(service.clone());
        let share = share.or_insert_with(|| RetryShare::new(self.started_at, limits));
        share.set_limits(limits);
        share
    }

    fn take_idle(&mut self, now: Timestamp, key: BackendKey) -> Option<Connection> {
        let idle = self.idle_connections.get_mut(key)?;
        idle.retain(|connection| connection.is_reusable(now));
        let newest = idle.iter().rposition(|connection| connection.is_usable(now))?;
        Some(idle.remove(newest))
    }

    fn store_idle(&mut self, now: Timestamp, key: BackendKey, connection: Connection) {
        let is_reusable =
            self.fleet.leaving_server(key).is_none() && !self.unnamed_responses.contains_key(key);
        let max_idle = if is_reusable { self.max_idle(key) } else { 0 };
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
            DirectoryChange::VersionPublished { model, version } => {
                self.fleet.record_listed_version(now, model, version);
            }
            DirectoryChange::ServerUpdated(listing) if !listing.has_possible_start(now) => {
                let (name, start) = (&listing.name, listing.started_at_ms);
                log::warn!(
                    "directory entry ignored: \"{name}\": it starts at {start}, in the future"
                );
                self.apply(now, DirectoryChange::ServerRemoved(listing.name));
            }
            DirectoryChange::ServerUpdated(listing) => {
                let (name, address) = (listing.name.clone(), listing.address);
                let new_start = listing.started_at_ms;
                let known = self.fleet.find(&name).and_then(|key| self.fleet.listing(key));
                let known_start = known.map(|known| known.started_at_ms);
                // `true` means that the server is new or has restarted. Attempts, connections and
                // suspects of an earlier process are then settled as after a crash.
                if let Some((key, true)) = self.fleet.apply_listing(now, listing) {
                    self.idle_connections.insert(key, Vec::new());
                    self.unnamed_responses.remove(key);
                    self.mark_lost(key);
                    self.lost_signals.remove(key);
                    if let Some(started_at_ms) = known_start
                        && self.crash_tracker.record_restart(key, started_at_ms, new_start)
                    {
                        self.confirm_crash(now, key, started_at_ms, EndSign::Restarted);
                    }
                    // Another writer may have left the entry, so that the servers stay in use. One that
                    // has been replaced is removed once the other server answers for it.
                    for (key, started_at_ms) in self.fleet.processes_replaced_at(address) {
                        self.confirm_crash(now, key, started_at_ms, EndSign::OtherServerListed);
                    }
                    log::info!(server:% = name; "backend server listed");
                }
            }
            DirectoryChange::ServerRemoved(name) => {
                if let Some(key) = self.fleet.remove(&name) {
                    self.remove_connections(key);
                    log::info!(server:% = name; "backend server gone");
                    self.record_removal(now, key);
                }
            }
            DirectoryChange::InvalidEntry(what) => log::warn!("directory entry ignored: {what}"),
        }
    }

    /// Records that a process of a server has ended, as `sign` shows, against the requests and the
    /// prompt parts that it was running.
    fn confirm_crash(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        started_at_ms: u64,
        sign: EndSign,
    ) {
        if let Some(crash) = self.crash_tracker.confirm_crash(now, key, started_at_ms, sign) {
            log::info!(engine = crash.engine.0, sign:? = sign; "backend server crashed");
            self.part_evidence.record_crash(now, crash);
            self.loads_changed.notify_one();
        }
    }

    /// Records that a server whose entry is gone has left requests without an end.
    fn record_removal(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(crash) = self.crash_tracker.take_runs_of_removed(now, key) {
            log::info!(engine = crash.engine.0; "backend server gone with requests");
            self.part_evidence.record_crash(now, crash);
            self.loads_changed.notify_one();
        }
    }

    fn remove_connections(&mut self, key: BackendKey) {
        self.idle_connections.remove(key);
        self.unnamed_responses.remove(key);
        self.lost_signals.remove(key);
    }
}

/// Applies changes of the directory, in order.
pub(crate) struct ApplyDirectoryChanges {
    pub(crate) changes: Vec<DirectoryChange>,
    /// When the directory was last known to be without these changes; absent if it was not read before.
    pub(crate) absent_at: Option<Timestamp>,
}

impl Message<ApplyDirectoryChanges> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyDirectoryChanges, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        for change in msg.changes {
            match (change, msg.absent_at) {
                (DirectoryChange::VersionPublished { model, version, .. }, Some(absent_at)) => {
                    self.fleet.record_published_version(now, model, version, now - absent_at);
                }
                (change, _) => self.apply(now, change),
            }
        }
        self.publish_start_limits();
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
        metrics::gauge!(metric::IN_FLIGHT).set(self.fleet.in_flight_count() as f64);
        self.fleet.expire_peer_loads(now);
        self.fleet.observe_software(now);
        for (name, key) in self.fleet.remove_unlisted(now) {
            self.remove_connections(key);
            log::info!(server:% = name; "backend server gone: not listed again in time");
        }
        let silent = self.fleet.unresponsive_servers(now);
        let doubtful = self.crash_tracker.start_probes(now);
        for key in silent.into_iter().chain(self.fleet.start_probes(now)).chain(doubtful) {
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
