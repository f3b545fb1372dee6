//! The agent of a backend server. All requests to the server pass through its agent.

mod actor;
mod admission;
mod attempt;
mod budgets;
mod claims;
mod kv_transfer_engine;
mod rpc_handler;
mod running_attempts;
mod weight_loader;

use std::{path::Path, process::ExitCode, sync::Arc, time::Duration};

use dogwoodway_engine::{EngineStatus, HttpEngine, ModelEngine};
use dogwoodway_kvstore::HttpKvStore;
use dogwoodway_log::{HttpLog, PlatformLog};
use dogwoodway_peer::AgentListener;
use dogwoodway_service::{HttpService, PlainService};
use dogwoodway_types::AgentIncarnation;
use kameo::actor::{ActorRef, Spawn};

use crate::{
    agent::{
        actor::{
            AbortAll, AgentActor, CacheEventsRead, ConfigChanged, EngineStatusRead, IsDrained,
            StartDrain, Sweep,
        },
        attempt::Backend,
        claims::ClaimsActor,
        kv_transfer_engine::KvTransferEngine,
        rpc_handler::AgentRpcHandler,
    },
    cli::EXIT_FAILURE,
    config_follower::{self, ConfigWatch},
    metrics_server,
    settings::{self, AgentSettings, BackendServerKind},
    shutdown::{Shutdown, ShutdownPhase},
};

const ENGINE_STATUS_INTERVAL_MS: u64 = 250;

const CACHE_EVENTS_INTERVAL_MS: u64 = 250;

const SWEEP_INTERVAL_MS: u64 = 250;

const DRAIN_CHECK_INTERVAL_MS: u64 = 50;

/// Time that entries have to read the last frames after all attempts have ended.
const LAST_FRAMES_READ_MS: u64 = 1_000;

/// Maximum time that a shutdown waits for the outcomes of claimed attempts to be appended to the
/// log.
const CLAIMS_FLUSH_TIMEOUT_MS: u64 = 2_000;

/// Runs an agent until a shutdown was requested and its attempts have ended.
pub(crate) async fn run(path: &Path) -> ExitCode {
    let settings = match settings::load_agent(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            return EXIT_FAILURE;
        }
    };
    let listener = match AgentListener::bind(settings.listen).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("dogwoodway: cannot bind {}: {e}", settings.listen);
            return EXIT_FAILURE;
        }
    };
    println!("listening on {}", listener.address());
    if let Err(e) = metrics_server::start(settings.metrics_listen).await {
        eprintln!("dogwoodway: cannot serve metrics: {e}");
        return EXIT_FAILURE;
    }
    let log: Arc<dyn PlatformLog> = Arc::new(HttpLog::new(settings.log_url.clone()));
    let config = config_follower::follow(&settings.log_url, settings.vms_url.as_deref());
    let incarnation = AgentIncarnation(rand::random());
    let claims = ClaimsActor::start(incarnation, log.clone());
    let backend = create_backend(&settings);
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    let actor = AgentActor::spawn(AgentActor::new(
        settings.clone(),
        backend.clone(),
        incarnation,
        claims.clone(),
    ));
    if let Backend::Engine(engine) = backend.clone() {
        weight_loader::spawn(settings, incarnation, engine, log, config.watch(), actor.clone());
    }
    spawn_background_tasks(&actor, config.watch(), backend);
    let handler = Arc::new(AgentRpcHandler::new(actor.clone(), config));
    listener.serve(handler, drain(actor, shutdown, claims)).await;
    ExitCode::SUCCESS
}

fn create_backend(settings: &AgentSettings) -> Backend {
    let url = settings.backend_url.clone();
    match settings.kind {
        BackendServerKind::Engine => {
            let mut engine: Arc<dyn ModelEngine> = Arc::new(HttpEngine::new(url));
            if let Some(url) = settings.kv_store_url.clone() {
                engine = Arc::new(KvTransferEngine::new(engine, Arc::new(HttpKvStore::new(url))));
            }
            Backend::Engine(engine)
        }
        BackendServerKind::Service => {
            let service: Arc<dyn PlainService> = Arc::new(HttpService::new(url));
            Backend::Service(service)
        }
    }
}

fn spawn_background_tasks(actor: &ActorRef<AgentActor>, mut config: ConfigWatch, backend: Backend) {
    let agent = actor.clone();
    tokio::spawn(async move {
        loop {
            let current = config.borrow_and_update().clone();
            if let Some(cfg) = current
                && agent.tell(ConfigChanged(cfg)).await.is_err()
            {
                return;
            }
            if config.changed().await.is_err() {
                return;
            }
        }
    });
    let agent = actor.clone();
    if let Backend::Engine(engine) = backend {
        tokio::spawn(poll_cache_events(engine.clone(), agent.clone()));
        tokio::spawn(async move {
            while agent.tell(EngineStatusRead(engine_status(&*engine).await)).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(ENGINE_STATUS_INTERVAL_MS)).await;
            }
        });
    }
    let agent = actor.clone();
    tokio::spawn(async move {
        while agent.tell(Sweep).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        }
    });
}

/// Reads the engine's status, and tries a second time if the first call fails.
///
/// If the agent's process is suspended for longer than the timeout of the call, the call fails when
/// the process resumes, although the engine is healthy.
async fn engine_status(engine: &dyn ModelEngine) -> Option<EngineStatus> {
    match engine.status().await {
        Ok(status) => Some(status),
        Err(_) => engine.status().await.ok(),
    }
}

/// Polls the engine's cache events; starts again at the first event when its incarnation changes.
async fn poll_cache_events(engine: Arc<dyn ModelEngine>, agent: ActorRef<AgentActor>) {
    let mut next = 0;
    let mut incarnation = None;
    loop {
        tokio::time::sleep(Duration::from_millis(CACHE_EVENTS_INTERVAL_MS)).await;
        let Ok(events) = engine.cache_events(next).await else { continue };
        let is_same = incarnation.replace(events.engine) == Some(events.engine);
        if !is_same && next > 0 {
            next = 0;
            continue;
        }
        next = events.next;
        if agent.tell(CacheEventsRead(events)).await.is_err() {
            return;
        }
    }
}

/// Resolves when a shutdown was requested and the agent may stop.
///
/// Attempts that are still running at the shutdown limit or at a second signal are aborted. Then
/// the outcomes of claimed attempts are flushed, and entries get time to read the last frames.
async fn drain(actor: ActorRef<AgentActor>, shutdown: Shutdown, claims: ActorRef<ClaimsActor>) {
    shutdown.reached(ShutdownPhase::Draining).await;
    let _ = actor.tell(StartDrain).await;
    tokio::select! {
        () = wait_until_drained(&actor) => {}
        () = shutdown.reached(ShutdownPhase::Aborting) => {
            let _ = actor.tell(AbortAll).await;
        }
    }
    claims::flush(&claims, Duration::from_millis(CLAIMS_FLUSH_TIMEOUT_MS)).await;
    tokio::time::sleep(Duration::from_millis(LAST_FRAMES_READ_MS)).await;
}

async fn wait_until_drained(actor: &ActorRef<AgentActor>) {
    while let Ok(false) = actor.ask(IsDrained).await {
        tokio::time::sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
    }
}
