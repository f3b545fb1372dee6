//! The actor that owns what the router knows of backend servers, and its idle connections to them.

mod contents;
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
        fleet::{BackendKey, Fleet, Placement, PlacementRequest, Refusal, RequestKey, ServerTag},
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

use self::contents::Contents;
pub(crate) use self::{
    contents::ContentNote,
    routers::{AskNews, RouterNews, SeeContent, SeePeer, SetRouters},
    weights::{AskWeights, EngineTarget, SeeWeights, WeightsState},
};

/// Idle connections to one server that are kept at most.
const MAX_IDLE: usize = 64;

/// Part of a router's share of a server's connections that may be idle, as a divisor; the rest is for
/// requests in flight.
const IDLE_PART: u32 = 2;

/// Time for which a finished load of weights is told to other routers, in milliseconds.
const TELL_LOADED_FOR_MS: u64 = 3_000;

/// Share of the retry budget that is used, in thousandths: routers count requests at slightly
/// different times.
const BUDGET_USED_MILLIS: u32 = 750;

/// Routers that share the retry budget as long as it is not known how many there are.
const ASSUMED_ROUTERS: u32 = 24;

/// How the platform bounds retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBounds {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// Retries beyond that in one window.
    pub(crate) slack: u32,
}

/// What a router says of an engine's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WeightsNews {
    pub(crate) server: ServerTag,
    pub(crate) version: WeightsVersion,
    pub(crate) stage: LoadStage,
}

/// How far an engine is with new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LoadStage {
    /// It was ordered to load them.
    Loading,
    /// It has loaded them.
    Loaded,
}

/// What the router knows of backend servers; only this actor changes it.
#[derive(Actor)]
pub(crate) struct FleetActor {
    fleet: Fleet,
    idle: SecondaryMap<BackendKey, Vec<Connection>>,
    lost: SecondaryMap<BackendKey, watch::Sender<bool>>,
    retry_bounds: RetryBounds,
    budgets: HashMap<ServiceName, RetryBudget>,
    routers: u32,
    contents: Contents,
    control: Arc<dyn EngineControl>,
    news: Vec<(WeightsNews, Timestamp)>,
    versions_due_at: Timestamp,
    /// Connections that a server of each service accepts from all routers together.
    connections: HashMap<ServiceName, u32>,
    loads_changed: Arc<Notify>,
}

/// What an actor is built from.
pub(crate) struct FleetParts {
    pub(crate) zone: AvailabilityZone,
    pub(crate) regions: Regions,
    pub(crate) retry_bounds: RetryBounds,
    pub(crate) contents: mpsc::Sender<ContentNote>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) quarantine_in_use: Arc<AtomicBool>,
    pub(crate) loads_changed: Arc<Notify>,
}

impl FleetActor {
    pub(crate) fn new(parts: FleetParts) -> FleetActor {
        let mut fleet = Fleet::new(parts.zone);
        fleet.set_regions(parts.regions);
        FleetActor {
            fleet,
            idle: SecondaryMap::new(),
            lost: SecondaryMap::new(),
            retry_bounds: parts.retry_bounds,
            budgets: HashMap::new(),
            routers: ASSUMED_ROUTERS,
            contents: Contents::new(parts.contents, parts.quarantine_in_use),
            control: parts.control,
            news: Vec::new(),
            versions_due_at: Timestamp::default(),
            connections: HashMap::new(),
            loads_changed: parts.loads_changed,
        }
    }

    fn retry_limits(&self) -> RetryLimits {
        let used = f64::from(BUDGET_USED_MILLIS) / 1e3;
        let saved = f64::from(self.retry_bounds.slack) * used / f64::from(self.routers);
        RetryLimits {
            earned_millis: (self.retry_bounds.ratio * 1e3 * used) as u32,
            max_saved: (saved as u32).max(1),
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.retry_limits();
        let budget =
            self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits));
        budget.set_limits(limits);
        budget
    }

    fn take_idle(&mut self, now: Timestamp, key: BackendKey) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        idle.retain(|connection| connection.is_worth_keeping(now));
        let newest = idle.iter().rposition(|connection| connection.is_usable(now))?;
        Some(idle.remove(newest))
    }

    fn keep_idle(&mut self, now: Timestamp, key: BackendKey, connection: Connection) {
        let max_idle = self.max_idle(key);
        let Some(idle) = self.idle.get_mut(key) else { return };
        if idle.len() < max_idle && connection.is_worth_keeping(now) {
            idle.push(connection);
        }
    }

    /// Returns how many idle connections to a server are kept.
    fn max_idle(&self, key: BackendKey) -> usize {
        let service = self.fleet.listing(key).map(|listing| &listing.service);
        match service.and_then(|service| self.connections.get(service)) {
            Some(all) => (all / self.routers / IDLE_PART).clamp(1, MAX_IDLE as u32) as usize,
            None => MAX_IDLE,
        }
    }

    fn lost_signal(&mut self, key: BackendKey) -> watch::Receiver<bool> {
        match self.lost.get(key) {
            Some(tx) => tx.subscribe(),
            None => {
                let (tx, rx) = watch::channel(false);
                self.lost.insert(key, tx);
                rx
            }
        }
    }

    /// Tries to connect to a server whose health is in doubt.
    fn try_server(&self, key: BackendKey, actor: &ActorRef<FleetActor>) {
        let Some(listing) = self.fleet.listing(key) else { return };
        let (address, actor) = (listing.address, actor.clone());
        tokio::spawn(async move {
            let connection = Connection::open(address).await;
            let is_refused = connection
                .as_ref()
                .is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused);
            let trial = SeeTrial { key, connection: connection.ok(), is_refused };
            if let Err(e) = actor.tell(trial).await {
                log::debug!("a trial's result was not taken: {e}");
            }
        });
    }

    fn lose(&mut self, key: BackendKey) {
        if let Some(tx) = self.lost.get(key) {
            tx.send_replace(true);
        }
        if let Some(idle) = self.idle.get_mut(key) {
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
                self.connections = limits.collect();
            }
            DirectoryChange::VersionPublished { model, version, is_new } => {
                let age = if is_new { Duration::ZERO } else { Fleet::assumed_version_age() };
                self.fleet.record_published_version(now, model, version, age);
            }
            DirectoryChange::ServerUpdated(listing) => {
                let name = listing.name.clone();
                if let Some((key, true)) = self.fleet.apply_listing(now, listing) {
                    self.idle.insert(key, Vec::new());
                    self.lose(key);
                    self.lost.remove(key);
                    self.contents.confirm_crash(now, key);
                    log::info!(server:% = name; "backend server listed");
                }
            }
            DirectoryChange::ServerRemoved(name) => {
                if let Some(key) = self.fleet.remove(&name) {
                    self.remove(key);
                    log::info!(server:% = name; "backend server gone");
                }
            }
            DirectoryChange::InvalidEntry(what) => log::warn!("entry ignored: {what}"),
        }
    }

    fn remove(&mut self, key: BackendKey) {
        self.idle.remove(key);
        self.lost.remove(key);
    }
}

/// Asks where a request runs.
pub(crate) struct Place {
    pub(crate) query: PlacementRequest,
    /// Whether a server was offered the request before.
    pub(crate) is_repeat: bool,
    /// Content of the request, if requests are in quarantine.
    pub(crate) fingerprint: Option<RequestFingerprint>,
}

/// Where a request runs, if anywhere.
#[derive(Reply)]
pub(crate) enum Placed {
    /// On a server.
    At(Box<PlacedAt>),
    /// Nowhere.
    Nowhere(Refusal),
}

/// A server for a request, and the means to reach it.
pub(crate) struct PlacedAt {
    pub(crate) placement: Placement,
    pub(crate) connection: Option<Connection>,
    /// Turns true when the server is taken for lost.
    pub(crate) lost: watch::Receiver<bool>,
}

impl Message<Place> for FleetActor {
    type Reply = Placed;

    async fn handle(&mut self, msg: Place, _: &mut Context<Self, Self::Reply>) -> Placed {
        let now = clock::now();
        if let Some(fingerprint) = msg.fingerprint
            && let Some(until) = self.contents.quarantined_until(now, &fingerprint)
        {
            return Placed::Nowhere(Refusal {
                reason: NotRunReason::Quarantined,
                retry_at: until,
                wait_ms: 0,
            });
        }
        let budget = self.budget(&msg.query.service);
        if !msg.is_repeat {
            budget.record_first_attempt();
        } else if !budget.try_take_retry() {
            metrics::counter!(metric::RETRIES_DENIED).increment(1);
            let retry_at = now + Duration::from_secs(1);
            return Placed::Nowhere(Refusal {
                reason: NotRunReason::Overloaded,
                retry_at,
                wait_ms: 0,
            });
        }
        match self.fleet.place(now, &msg.query) {
            Ok(placement) => {
                self.loads_changed.notify_one();
                let connection = self.take_idle(now, placement.server);
                let lost = self.lost_signal(placement.server);
                Placed::At(Box::new(PlacedAt { placement, connection, lost }))
            }
            Err(refusal) => Placed::Nowhere(refusal),
        }
    }
}

/// Tells that a request brought its first output.
pub(crate) struct NoteOutput(pub(crate) RequestKey);

impl Message<NoteOutput> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: NoteOutput, _: &mut Context<Self, Self::Reply>) {
        self.fleet.record_first_output(clock::now(), msg.0);
        self.loads_changed.notify_one();
    }
}

/// Tells that some bytes came from a server.
pub(crate) struct NoteBytes(pub(crate) BackendKey);

impl Message<NoteBytes> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: NoteBytes, _: &mut Context<Self, Self::Reply>) {
        self.fleet.record_activity(clock::now(), msg.0);
    }
}

/// Tells that an attempt has ended.
pub(crate) struct EndAttempt {
    pub(crate) ticket: RequestKey,
    pub(crate) server: BackendKey,
    /// How it ended; absent if the caller left.
    pub(crate) sign: Option<HealthSignal>,
    /// The connection, if it can be used again.
    pub(crate) connection: Option<Connection>,
    /// Content of the request, if the connection broke or contents are watched.
    pub(crate) fingerprint: Option<RequestFingerprint>,
}

impl Message<EndAttempt> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndAttempt, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.end_request(now, msg.ticket, msg.sign);
        self.loads_changed.notify_one();
        if let Some(connection) = msg.connection {
            self.keep_idle(now, msg.server, connection);
        }
        match msg.sign {
            Some(HealthSignal::Unreachable) => {
                self.lose(msg.server);
                self.try_server(msg.server, cx.actor_ref());
            }
            Some(HealthSignal::ConnectionLost) => {
                let listing = self.fleet.listing(msg.server);
                if let (Some(listing), Some(fingerprint)) = (listing, msg.fingerprint) {
                    self.contents.suspect(now, msg.server, listing, fingerprint);
                }
                self.try_server(msg.server, cx.actor_ref());
            }
            Some(HealthSignal::Answered | HealthSignal::Failed) => {
                if let Some(fingerprint) = msg.fingerprint {
                    self.contents.note_answered(fingerprint);
                }
            }
            _ => {}
        }
    }
}

/// Tells the result of a trial connection.
struct SeeTrial {
    key: BackendKey,
    connection: Option<Connection>,
    /// Whether nobody listens at the address.
    is_refused: bool,
}

impl Message<SeeTrial> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeTrial, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let was_up = self.fleet.is_up(msg.key);
        self.fleet.record_probe(now, msg.key, msg.connection.is_some());
        let server = self.fleet.listing(msg.key).map(|listing| listing.name.clone());
        match msg.connection {
            Some(connection) => {
                if !was_up {
                    self.lost.remove(msg.key);
                    log::info!(server:? = server; "backend server reached again");
                }
                self.keep_idle(now, msg.key, connection);
            }
            None => {
                self.lose(msg.key);
                if was_up {
                    log::warn!(server:? = server, refused = msg.is_refused;
                        "backend server lost");
                }
                if msg.is_refused {
                    self.contents.confirm_crash(now, msg.key);
                }
            }
        }
    }
}

/// Takes in changes of the directory.
pub(crate) struct Apply(pub(crate) Vec<DirectoryChange>);

impl Message<Apply> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Apply, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        for change in msg.0 {
            self.apply(now, change);
        }
        metrics::gauge!(metric::SERVERS).set(self.fleet.server_names().len() as f64);
    }
}

/// Tells that servers are missing from the list, which may not be whole before `until`.
pub(crate) struct Miss {
    pub(crate) names: Vec<BackendServerName>,
    pub(crate) until: Timestamp,
}

impl Message<Miss> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Miss, _: &mut Context<Self, Self::Reply>) {
        for name in &msg.names {
            self.fleet.mark_missing(name, msg.until);
        }
    }
}

/// Asks for the names of all servers known.
pub(crate) struct AskNames;

impl Message<AskNames> for FleetActor {
    type Reply = Vec<BackendServerName>;

    async fn handle(
        &mut self,
        _: AskNames,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<BackendServerName> {
        self.fleet.server_names()
    }
}

/// Does what is due from time to time.
pub(crate) struct Tick;

impl Message<Tick> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.expire_peer_loads(now);
        for (name, key) in self.fleet.remove_unlisted(now) {
            self.remove(key);
            log::info!(server:% = name; "backend server gone: not listed again in time");
        }
        let silent = self.fleet.unresponsive_servers(now);
        for key in silent.into_iter().chain(self.fleet.start_probes(now)) {
            self.try_server(key, cx.actor_ref());
        }
    }
}

/// Tells what a store of kept KV cache says of itself.
pub(crate) struct ObserveStore {
    pub(crate) address: SocketAddr,
    /// Whether what was known of it is no longer true.
    pub(crate) is_whole: bool,
    /// The changes; absent if the store cannot be reached.
    pub(crate) changes: Option<Vec<KvChange>>,
}

impl Message<ObserveStore> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ObserveStore, _: &mut Context<Self, Self::Reply>) {
        match msg.changes {
            Some(changes) => {
                self.fleet.apply_store_changes(clock::now(), msg.address, msg.is_whole, &changes);
            }
            None => self.fleet.mark_store_unreachable(msg.address),
        }
    }
}
