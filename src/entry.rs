//! The entry: serves callers, decides, streams answers back.

mod dispatch;
mod limits;
mod idempotency;
mod membership;
mod observed_agent;
mod quarantine;
mod retry_budget;
mod router;

use std::{path::Path, process::ExitCode, sync::Arc, time::Duration};

use dogwoodway_caller::{CallerApi, CallerLimits};
use dogwoodway_http::{ServerLimits, serve};
use dogwoodway_types::RequestId;
use dogwoodway_vms::HttpVmList;
use kameo::actor::Spawn;
use tokio::net::TcpListener;

use crate::{
    cli::EXIT_FAILURE,
    config_follower,
    entry::{dispatch::EntryDispatcher, router::Router},
    metrics_server, settings,
    shutdown::{Shutdown, ShutdownPhase},
};

/// Time between the first word that the entry leaves and the end of new connections.
const LEAVING_NOTICE_MS: u64 = 1_000;

/// Time for typed errors to reach their callers when the entry must stop.
const LAST_ERRORS_MS: u64 = 2_000;

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
            eprintln!("dogwoodway: {} could not be bound: {e}", settings.listen);
            return EXIT_FAILURE;
        }
    };
    match listener.local_addr() {
        Ok(address) => println!("listening on {address}"),
        Err(e) => log::warn!("the bound address is not known: {e}"),
    }
    let config = config_follower::follow(&settings.log_url, Some(&settings.vms_url));
    let router = Router::spawn(Router::new(settings.zone.clone(), config.watch()));
    membership::follow(Arc::new(HttpVmList::new(settings.vms_url.clone())), &router);
    if let Err(e) = metrics_server::start(settings.metrics_listen).await {
        eprintln!("dogwoodway: metrics could not be served: {e}");
        return EXIT_FAILURE;
    }
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    let dispatcher = EntryDispatcher::new(settings, config, router, shutdown.clone());
    let next_id = || RequestId(rand::random());
    let api = CallerApi::new(Arc::new(dispatcher), CallerLimits::default(), next_id);
    let handler = api.into_handler();
    let notice = async {
        shutdown.reached(ShutdownPhase::Draining).await;
        tokio::time::sleep(Duration::from_millis(LEAVING_NOTICE_MS)).await;
    };
    let ended = async {
        shutdown.reached(ShutdownPhase::Aborting).await;
        tokio::time::sleep(Duration::from_millis(LAST_ERRORS_MS)).await;
    };
    tokio::select! {
        () = serve(listener, ServerLimits::default(), handler, notice) => {}
        () = ended => {}
    }
    ExitCode::SUCCESS
}
