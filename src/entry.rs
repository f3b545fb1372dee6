//! The entry role: serves callers and runs their requests on the agents of the fleet.

mod dispatch;
mod team_limits;
mod idempotency;
mod membership;
mod observed_agent;
mod quarantine;
mod retry_budget;
mod agent_registry;

use std::{
    path::Path,
    process::ExitCode,
    sync::{Arc, OnceLock},
    time::Duration,
};

use dogwoodway_caller::{CallerApi, CallerLimits};
use dogwoodway_http::{ServerLimits, serve};
use dogwoodway_routing::drain::Drain;
use dogwoodway_types::{RequestId, Timestamp};
use dogwoodway_vms::HttpVmList;
use kameo::actor::Spawn;
use tokio::net::TcpListener;

use crate::{
    cli::EXIT_FAILURE,
    config_follower,
    entry::{agent_registry::AgentRegistry, dispatch::EntryDispatcher},
    metrics_server, settings,
    shutdown::{Shutdown, ShutdownPhase},
};

/// Time in milliseconds for which an entry that drains still accepts connections, while `/readyz`
/// already reports that it is not ready.
const DRAIN_NOTICE_MS: u64 = 1_000;

/// Time in milliseconds for the errors of aborted requests to reach their callers before the
/// process exits.
const ABORT_GRACE_MS: u64 = 2_000;

/// Runs an entry until it is asked to stop and its requests have ended.
pub(crate) async fn run(path: &Path) -> ExitCode {
    let settings = match settings::load_entry(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            return EXIT_FAILURE;
        }
    };
    let listener = match TcpListener::bind(settings.listen).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("dogwoodway: cannot bind {}: {e}", settings.listen);
            return EXIT_FAILURE;
        }
    };
    match listener.local_addr() {
        Ok(address) => println!("listening on {address}"),
        Err(e) => log::warn!("cannot determine the bound address: {e}"),
    }
    let config = config_follower::follow(&settings.log_url, Some(&settings.vms_url));
    let agents = AgentRegistry::spawn(AgentRegistry::new(settings.zone.clone(), config.watch()));
    membership::spawn_pollers(Arc::new(HttpVmList::new(settings.vms_url.clone())), &agents);
    if let Err(e) = metrics_server::start(settings.metrics_listen).await {
        eprintln!("dogwoodway: cannot serve metrics: {e}");
        return EXIT_FAILURE;
    }
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    let shutdown_limit = Duration::from_millis(settings.shutdown_limit_ms);
    let drain = Arc::new(OnceLock::new());
    let dispatcher =
        EntryDispatcher::new(settings, config, agents, shutdown.clone(), drain.clone());
    let new_request_id = || RequestId(rand::random());
    let api = CallerApi::new(Arc::new(dispatcher), CallerLimits::default(), new_request_id);
    let handler = api.into_handler();
    let stop_accepting = async {
        shutdown.reached(ShutdownPhase::Draining).await;
        let notice = Duration::from_millis(DRAIN_NOTICE_MS);
        drain.get_or_init(|| Drain::new(Timestamp::now(), notice, shutdown_limit));
        tokio::time::sleep(notice).await;
    };
    let aborted = async {
        shutdown.reached(ShutdownPhase::Aborting).await;
        tokio::time::sleep(Duration::from_millis(ABORT_GRACE_MS)).await;
    };
    tokio::select! {
        () = serve(listener, ServerLimits::default(), handler, stop_accepting) => {}
        () = aborted => {}
    }
    ExitCode::SUCCESS
}
