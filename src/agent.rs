//! The agent beside a backend server: the only door to it.

mod actor;
mod admission;
mod budgets;
mod claims;
mod front;
mod kv_engine;
mod orders;
mod run;
mod runs;

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
        actor::{AgentActor, Drained, EndAll, Leave, SeeConfig, SeeEngine, SeeEvents, Sweep},
        claims::Claims,
        front::AgentFront,
        kv_engine::KvEngine,
        run::Backend,
    },
    cli::EXIT_FAILURE,
    config_follower::{self, ConfigWatch},
    metrics_server,
    settings::{self, AgentSettings, BackendServerKind},
    shutdown::{Shutdown, ShutdownPhase},
};

const ENGINE_STATUS_MS: u64 = 250;

const CACHE_EVENTS_MS: u64 = 250;

const SWEEP_MS: u64 = 250;

const DRAIN_CHECK_MS: u64 = 50;

/// Time that entries have to read the last frames of ended attempts.
const LAST_FRAMES_MS: u64 = 1_000;

/// Time for the ends of claimed attempts to reach the log.
const CLAIMS_FLUSH_MS: u64 = 2_000;

/// Runs an agent until it is asked to stop and its attempts have ended.
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
            eprintln!("dogwoodway: {} could not be bound: {e}", settings.listen);
            return EXIT_FAILURE;
        }
    };
    println!("listening on {}", listener.address());
    if let Err(e) = metrics_server::start(settings.metrics_listen).await {
        eprintln!("dogwoodway: metrics could not be served: {e}");
        return EXIT_FAILURE;
    }
    let log: Arc<dyn PlatformLog> = Arc::new(HttpLog::new(settings.log_url.clone()));
    let config = config_follower::follow(&settings.log_url, settings.vms_url.as_deref());
    let incarnation = AgentIncarnation(rand::random());
    let claims = Claims::start(incarnation, log.clone());
    let backend = backend(&settings);
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    let actor = AgentActor::spawn(AgentActor::new(
        settings.clone(),
        backend.clone(),
        incarnation,
        claims.clone(),
    ));
    if let Backend::Engine(engine) = backend.clone() {
        orders::follow(settings, incarnation, engine, log, config.watch(), actor.clone());
    }
    spawn_watchers(&actor, config.watch(), backend);
    let front = Arc::new(AgentFront::new(actor.clone(), config));
    listener.serve(front, drained(actor, shutdown, claims)).await;
    ExitCode::SUCCESS
}

fn backend(settings: &AgentSettings) -> Backend {
    let url = settings.backend_url.clone();
    match settings.kind {
        BackendServerKind::Engine => {
            let mut engine: Arc<dyn ModelEngine> = Arc::new(HttpEngine::new(url));
            if let Some(url) = settings.kv_store_url.clone() {
                engine = Arc::new(KvEngine::new(engine, Arc::new(HttpKvStore::new(url))));
            }
            Backend::Engine(engine)
        }
        BackendServerKind::Service => {
            let service: Arc<dyn PlainService> = Arc::new(HttpService::new(url));
            Backend::Service(service)
        }
    }
}

fn spawn_watchers(actor: &ActorRef<AgentActor>, mut config: ConfigWatch, backend: Backend) {
    let agent = actor.clone();
    tokio::spawn(async move {
        loop {
            let seen = config.borrow_and_update().clone();
            if let Some(cfg) = seen
                && agent.tell(SeeConfig(cfg)).await.is_err()
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
        tokio::spawn(follow_cache(engine.clone(), agent.clone()));
        tokio::spawn(async move {
            while agent.tell(SeeEngine(engine_status(&*engine).await)).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(ENGINE_STATUS_MS)).await;
            }
        });
    }
    let agent = actor.clone();
    tokio::spawn(async move {
        while agent.tell(Sweep).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
        }
    });
}

/// Asks for the engine's status, a second time if the first has no answer.
///
/// An agent that was stopped for longer than the question's limit finds it timed out when it goes
/// on, although the engine is well.
async fn engine_status(engine: &dyn ModelEngine) -> Option<EngineStatus> {
    match engine.status().await {
        Ok(status) => Some(status),
        Err(_) => engine.status().await.ok(),
    }
}

/// Follows the engine's cache events; starts over when its incarnation changes.
async fn follow_cache(engine: Arc<dyn ModelEngine>, agent: ActorRef<AgentActor>) {
    let mut next = 0;
    let mut incarnation = None;
    loop {
        tokio::time::sleep(Duration::from_millis(CACHE_EVENTS_MS)).await;
        let Ok(events) = engine.cache_events(next).await else { continue };
        let is_same = incarnation.replace(events.engine) == Some(events.engine);
        if !is_same && next > 0 {
            next = 0;
            continue;
        }
        next = events.next;
        if agent.tell(SeeEvents(events)).await.is_err() {
            return;
        }
    }
}

/// Resolves when shutdown was requested and no attempt runs any more.
async fn drained(actor: ActorRef<AgentActor>, shutdown: Shutdown, claims: ActorRef<Claims>) {
    shutdown.reached(ShutdownPhase::Draining).await;
    let _ = actor.tell(Leave).await;
    tokio::select! {
        () = until_drained(&actor) => {}
        () = shutdown.reached(ShutdownPhase::Aborting) => {
            let _ = actor.tell(EndAll).await;
        }
    }
    claims::flush(&claims, Duration::from_millis(CLAIMS_FLUSH_MS)).await;
    tokio::time::sleep(Duration::from_millis(LAST_FRAMES_MS)).await;
}

async fn until_drained(actor: &ActorRef<AgentActor>) {
    while let Ok(false) = actor.ask(Drained).await {
        tokio::time::sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
}
