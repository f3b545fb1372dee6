//! Puts the parts of a router together.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_http::{ServerLimits, serve, serve_within};
use dogwoodway_routing::direct::{distance::Regions, peers::ZoneTag};
use dogwoodway_types::{AvailabilityZone, RouterName};
use futures::future::BoxFuture;
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc, watch},
};

use crate::{
    clock, directory,
    feeds::SharedFeeds,
    fleet_actor::{FleetActor, FleetConfig, RetryBounds, Tick},
    gossip::Gossip,
    ingress, kv_follower, leader,
    leader::LeaderConfig,
    platform_api::{Directory, EngineControl, KvEventSource, RequestProtocol, RouterLog},
    relay::Relay,
};

/// Notes of crashes and their ends that wait to be told to other routers.
const FINGERPRINT_EVENT_QUEUE: usize = 64;

/// Routers found that wait to be told of loads.
const DISCOVERED_QUEUE: usize = 64;

/// Pause between two looks at what is due in the fleet, in milliseconds.
const TICK_MS: u64 = 100;

/// Time from the first word that the router leaves to the end of new connections, in milliseconds:
/// the platform asks once a second, and sends connections until the second refusal.
const DRAIN_NOTICE_MS: u64 = 2_300;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Its name.
    pub name: RouterName,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// The regions of all zones.
    pub regions: Regions,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the platform's health check.
    pub ready_listen: SocketAddr,
    /// Address for datagrams of other routers.
    pub gossip_listen: SocketAddr,
    /// Time that orders of different routers to one engine must be apart, in milliseconds.
    pub lease_ms: u32,
    /// Retries that all routers together may send for each request.
    pub retry_ratio: f64,
    /// Retries beyond that in one window.
    pub retry_slack: u32,
}

/// The outside of a router.
pub struct RouterDependencies {
    /// Secret under which the directory hashes bearer keys.
    pub key_pepper: String,
    /// What callers and backend servers speak.
    pub protocol: Arc<dyn RequestProtocol>,
    /// The platform's directory.
    pub directory: Arc<dyn Directory>,
    /// The routers' own log.
    pub log: Arc<dyn RouterLog>,
    /// What the stores of kept KV cache tell.
    pub kv_events: Arc<dyn KvEventSource>,
    /// Calls to engines.
    pub control: Arc<dyn EngineControl>,
}

/// Resolves as the process is asked to stop.
pub struct ShutdownSignals {
    /// Resolves when no new work is to be taken.
    pub drain: BoxFuture<'static, ()>,
    /// Resolves when what is left is to be ended.
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
            RouterError::Bind(address, e) => write!(f, "{address} could not be bound: {e}"),
        }
    }
}

impl std::error::Error for RouterError {}

/// Serves until the process is asked to stop and the requests in flight have ended.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn run(
    settings: RouterSettings,
    dependencies: RouterDependencies,
    shutdown: ShutdownSignals,
) -> Result<(), RouterError> {
    let callers = bind(settings.listen).await?;
    let checks = bind(settings.ready_listen).await?;
    let (fingerprint_tx, fingerprint_events) = mpsc::channel(FINGERPRINT_EVENT_QUEUE);
    let (discovered_tx, discovered) = mpsc::channel(DISCOVERED_QUEUE);
    let (leader_shutdown_tx, leader_shutdown) = watch::channel(false);
    let quarantine_in_use = Arc::new(AtomicBool::new(false));
    let loads_changed = Arc::new(Notify::new());
    let fleet = FleetActor::new(FleetConfig {
        zone: settings.zone.clone(),
        regions: settings.regions.clone(),
        retry_bounds: RetryBounds { ratio: settings.retry_ratio, slack: settings.retry_slack },
        fingerprint_events: fingerprint_tx,
        control: dependencies.control.clone(),
        quarantine_in_use: quarantine_in_use.clone(),
        loads_changed: loads_changed.clone(),
    });
    // Ends of attempts are told from destructors, which cannot wait for room.
    let fleet = FleetActor::spawn_with_mailbox(fleet, mailbox::unbounded());
    tokio::spawn(tick(fleet.clone()));
    let store = SharedFeeds::new();
    let tables = directory::follow(dependencies.directory, store.clone(), &fleet);
    tokio::spawn(kv_follower::run(dependencies.kv_events, tables.subscribe(), fleet.clone()));
    let gossip = Gossip {
        zone: ZoneTag::from(&settings.zone),
        address: settings.gossip_listen,
        fleet: fleet.clone(),
        store: store.clone(),
        loads_changed,
        discovered,
    };
    tokio::spawn(run_gossip(gossip));
    let leader = tokio::spawn(leader::run(LeaderConfig {
        router: settings.name.clone(),
        address: settings.gossip_listen,
        lease_ms: u64::from(settings.lease_ms),
        log: dependencies.log,
        control: dependencies.control,
        feeds: store.subscribe(),
        fleet: fleet.clone(),
        fingerprint_events,
        discovered: discovered_tx,
        shutdown: leader_shutdown,
    }));
    let relay = Arc::new(Relay {
        protocol: dependencies.protocol,
        fleet,
        tables: tables.clone(),
        key_pepper: dependencies.key_pepper,
        is_draining: Arc::new(AtomicBool::new(false)),
        quarantine_in_use,
    });
    let ready = ingress::readiness_handler(relay.clone(), tables);
    tokio::spawn(serve(checks, ServerLimits::default(), ready, std::future::pending()));
    serve_clients(callers, relay, shutdown).await;
    leader_shutdown_tx.send_replace(true);
    if let Err(e) = leader.await {
        log::error!("the leader's task failed: {e}");
    }
    Ok(())
}

/// Serves callers until the process is asked to stop, then until their requests have ended.
async fn serve_clients(listener: TcpListener, relay: Arc<Relay>, shutdown: ShutdownSignals) {
    let handler = ingress::client_handler(relay.clone());
    let tables = relay.tables.clone();
    let limits = move || ingress::client_limits(&tables);
    let notice = async move {
        shutdown.drain.await;
        relay.is_draining.store(true, Ordering::Relaxed);
        clock::sleep_until(clock::now() + Duration::from_millis(DRAIN_NOTICE_MS)).await;
    };
    tokio::select! {
        () = serve_within(listener, ingress::MAX_CLIENT_CONNECTIONS, limits, handler, notice) => {}
        () = shutdown.abort => log::warn!("ended with requests in flight"),
    }
}

async fn tick(fleet: ActorRef<FleetActor>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Err(e) = fleet.tell(Tick).await {
            log::error!("the fleet's state is not kept up: {e}");
        }
    }
}

async fn run_gossip(gossip: Gossip) {
    if let Err(e) = gossip.run().await {
        log::error!("no datagrams from other routers: {e}");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).await.map_err(|e| RouterError::Bind(address, e))
}
