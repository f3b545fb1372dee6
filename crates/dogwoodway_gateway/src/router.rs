//! Assembles a router: starts its tasks, serves its listeners and shuts it down.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_http::{Connections, ServerLimits, serve, serve_with_dynamic_limits};
use dogwoodway_routing::{
    direct::{
        distance::Regions,
        peers::{ZoneTag, rank},
    },
    drain::Drain,
    process_limits::ProcessLimits,
};
use dogwoodway_types::{AvailabilityZone, RouterName};
use futures::future::BoxFuture;
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
};

use crate::{
    checked_store::CheckedStore,
    clock,
    directory::{self, TableWatch},
    feeds::SharedFeeds,
    fleet_actor::{FleetActor, FleetChannels, FleetSignals, Tick},
    gossip::{self, GossipConfig},
    ingress, kv_follower, leader,
    leader::LeaderConfig,
    platform_api::{Directory, EngineControl, KvEventSource, RequestProtocol, RouterLog},
    quotas::SharedQuotas,
    relay::{Relay, RelayMemory},
    software_surveys::SharedSurveys,
    stream_origins::{OriginResolver, SharedOrigins},
};

/// Capacity of the queue of fingerprint events to append to the routers' log.
const FINGERPRINT_EVENT_QUEUE: usize = 64;

/// Capacity of the queue of newly announced routers.
const DISCOVERED_QUEUE: usize = 64;

/// Interval of the fleet actor's periodic work, in milliseconds.
const TICK_MS: u64 = 100;

/// Time for which new connections are still accepted after the health check starts to fail, in
/// milliseconds. The platform checks once a second and sends connections until the second failure.
const DRAIN_NOTICE_MS: u64 = 2_300;

/// Settings of a router, fixed for the life of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Name of this router, unique among the routers.
    pub name: RouterName,
    /// Zone that this router runs in.
    pub zone: AvailabilityZone,
    /// The region of each zone.
    pub regions: Regions,
    /// Address on which clients are served.
    pub listen: SocketAddr,
    /// Address on which the platform's health check is served.
    pub ready_listen: SocketAddr,
    /// UDP address on which this router receives datagrams of other routers.
    pub gossip_listen: SocketAddr,
    /// Share of a processor core that this router has, in percent. Routers with more of it do more
    /// for the others.
    pub cpu_percent: u8,
    /// What the process may use of its machine.
    pub limits: ProcessLimits,
    /// Least time between orders of different routers to the same engine, in milliseconds.
    pub lease_ms: u32,
    /// Time after the publication of new weights within which requests may start on old ones, in
    /// milliseconds.
    pub stale_weights_limit_ms: u32,
    /// Retries that all routers together may send per client request.
    pub retry_ratio: f64,
    /// Additional retries of all routers together in one window of time.
    pub retry_slack: u32,
}

/// The platform's implementations of what a router depends on.
pub struct RouterDependencies {
    /// Secret that the directory hashes together with bearer keys.
    pub key_pepper: String,
    /// The HTTP headers that clients and backend servers use.
    pub protocol: Arc<dyn RequestProtocol>,
    /// The operator's configuration and the list of backend servers.
    pub directory: Arc<dyn Directory>,
    /// The log that all routers share.
    pub log: Arc<dyn RouterLog>,
    /// Change events of the KV cache stores.
    pub kv_events: Arc<dyn KvEventSource>,
    /// Control calls to engines.
    pub control: Arc<dyn EngineControl>,
}

/// The two stages of shutdown that the process signals to the router.
pub struct ShutdownSignals {
    /// Resolves when the router should accept no new work and finish what is in progress.
    pub drain: BoxFuture<'static, ()>,
    /// Time from `drain` to `abort`, in milliseconds.
    pub grace_period_ms: u64,
    /// Resolves when requests that are still in progress should be aborted.
    pub abort: BoxFuture<'static, ()>,
}

/// Why a router cannot start.
#[derive(Debug)]
pub enum RouterError {
    /// An address could not be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for RouterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouterError::Bind(address, e) => write!(f, "cannot bind {address}: {e}"),
        }
    }
}

impl std::error::Error for RouterError {}

/// Runs a router until it is asked to stop and its requests in flight have ended.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn run(
    settings: RouterSettings,
    dependencies: RouterDependencies,
    shutdown: ShutdownSignals,
) -> Result<(), RouterError> {
    let (clients, health_checks) = bind_listeners(&settings).await?;
    let RouterTasks { relay, leader, leader_shutdown } = start_tasks(&settings, dependencies);
    serve_listeners(clients, health_checks, relay, shutdown).await;
    leader_shutdown.send_replace(true);
    leader.await.unwrap_or_else(|e| log::error!("leader task failed: {e}"));
    Ok(())
}

/// Tasks of a router whose end is awaited, and what serves its clients.
struct RouterTasks {
    relay: Arc<Relay>,
    leader: JoinHandle<()>,
    leader_shutdown: watch::Sender<bool>,
}

fn start_tasks(settings: &RouterSettings, dependencies: RouterDependencies) -> RouterTasks {
    let (fingerprint_tx, fingerprint_events) = mpsc::channel(FINGERPRINT_EVENT_QUEUE);
    let (discovered_tx, discovered) = mpsc::channel(DISCOVERED_QUEUE);
    let leader_shutdown = watch::Sender::new(false);
    let (signals, loads_changed) = (Arc::<FleetSignals>::default(), Arc::new(Notify::new()));
    let feeds = SharedFeeds::new(loads_changed.clone());
    let (origins, origin_questions) = SharedOrigins::new(loads_changed.clone());
    let (surveys, software_questions) = SharedSurveys::new(&feeds);
    let fleet = spawn_fleet(
        settings,
        FleetChannels {
            fingerprint_events: fingerprint_tx,
            control: dependencies.control.clone(),
            signals: signals.clone(),
            loads_changed: loads_changed.clone(),
        },
    );
    let store = CheckedStore::new(dependencies.directory, dependencies.log);
    let tables = directory::follow(&store, &feeds, &fleet);
    let quotas = new_quotas(settings, &tables);
    tokio::spawn(kv_follower::run(dependencies.kv_events, tables.subscribe(), fleet.clone()));
    tokio::spawn(run_gossip(GossipConfig {
        zone: ZoneTag::from(&settings.zone),
        address: settings.gossip_listen,
        cpu_percent: settings.cpu_percent,
        fleet: fleet.clone(),
        feeds: feeds.clone(),
        loads_changed,
        discovered,
        origins: origins.clone(),
        origin_questions,
        surveys: surveys.clone(),
        software_questions,
        quotas: quotas.clone(),
    }));
    let leader = tokio::spawn(leader::run(LeaderConfig {
        router: settings.name.clone(),
        address: settings.gossip_listen,
        lease_ms: u64::from(settings.lease_ms),
        store,
        control: dependencies.control,
        feeds: feeds.clone(),
        fleet: fleet.clone(),
        fingerprint_events,
        discovered: discovered_tx,
        shutdown: leader_shutdown.subscribe(),
    }));
    let relay = Arc::new(Relay {
        protocol: dependencies.protocol,
        origins: OriginResolver::new(origins, surveys, &feeds, &fleet),
        fleet,
        tables,
        key_pepper: dependencies.key_pepper,
        memory: RelayMemory::new(&settings.limits),
        quotas,
        drain: watch::Sender::new(None),
        signals,
    });
    RouterTasks { relay, leader, leader_shutdown }
}

/// Creates the quotas, which earn once this router knows the others.
fn new_quotas(settings: &RouterSettings, tables: &TableWatch) -> Arc<SharedQuotas> {
    let earns_from = clock::now() + Duration::from_millis(gossip::ROLE_DELAY_MS);
    SharedQuotas::new(rank(settings.gossip_listen), earns_from, tables.clone())
}

fn spawn_fleet(settings: &RouterSettings, channels: FleetChannels) -> ActorRef<FleetActor> {
    let fleet = FleetActor::new(settings, channels);
    // Ends of attempts are sent from destructors, which cannot wait for space in a mailbox.
    let fleet = FleetActor::spawn_with_mailbox(fleet, mailbox::unbounded());
    tokio::spawn(tick(fleet.clone()));
    fleet
}

/// Serves clients until the router has shut down, and health checks.
async fn serve_listeners(
    clients: TcpListener,
    health_checks: TcpListener,
    relay: Arc<Relay>,
    shutdown: ShutdownSignals,
) {
    let connections = relay.memory.bodies.connections().clone();
    tokio::spawn(serve_health_checks(health_checks, relay.clone(), connections.clone()));
    serve_clients(clients, connections, relay, shutdown).await;
}

async fn serve_health_checks(listener: TcpListener, relay: Arc<Relay>, clients: Arc<Connections>) {
    let tables = relay.tables.clone();
    let handler = ingress::readiness_handler(relay, tables, clients);
    serve(listener, ServerLimits::default(), handler, std::future::pending()).await;
}

/// Serves clients until the process is asked to stop, then until their requests have ended.
async fn serve_clients(
    listener: TcpListener,
    connections: Arc<Connections>,
    relay: Arc<Relay>,
    shutdown: ShutdownSignals,
) {
    let handler = ingress::client_handler(relay.clone());
    let tables = relay.tables.clone();
    let limits = move || ingress::client_limits(&tables);
    let stop = async move {
        shutdown.drain.await;
        let (now, notice) = (clock::now(), Duration::from_millis(DRAIN_NOTICE_MS));
        let drain = Drain::new(now, notice, Duration::from_millis(shutdown.grace_period_ms));
        relay.drain.send_replace(Some(drain));
        clock::sleep_until(now + notice).await;
    };
    tokio::select! {
        () = serve_with_dynamic_limits(
            listener,
            connections,
            limits,
            handler,
            stop,
        ) => {}
        () = shutdown.abort => log::warn!("shutting down; aborting requests in flight"),
    }
}

async fn tick(fleet: ActorRef<FleetActor>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Err(e) = fleet.tell(Tick).await {
            log::error!("could not run the fleet actor's periodic work: {e}");
        }
    }
}

async fn run_gossip(config: GossipConfig) {
    if let Err(e) = gossip::run(config).await {
        log::error!("gossip stopped, its socket could not be bound: {e}");
    }
}

/// Binds the addresses of the clients and of the health check.
async fn bind_listeners(
    settings: &RouterSettings,
) -> Result<(TcpListener, TcpListener), RouterError> {
    Ok((bind(settings.listen).await?, bind(settings.ready_listen).await?))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).await.map_err(|e| RouterError::Bind(address, e))
}
