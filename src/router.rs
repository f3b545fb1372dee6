//! The router role: serves callers on the users' platform.

use std::{process::ExitCode, time::Duration};

use dogwoodway_gateway::ShutdownSignals;
use dogwoodway_platform::{PlatformSettings, build_adapters, load_settings};
use futures::FutureExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    cli::EXIT_FAILURE,
    metrics_server,
    shutdown::{Shutdown, ShutdownPhase},
};

/// Time for the last log lines to be written, in milliseconds.
const LAST_LINES_MS: u64 = 60;

/// Runs a router until it is asked to stop and its requests have ended.
pub(crate) async fn run() -> ExitCode {
    // First of all: a hangup that nobody handles ends the process.
    let hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            eprintln!("dogwoodway: SIGHUP cannot be handled: {e}");
            return EXIT_FAILURE;
        }
    };
    let settings = match load_settings() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            return EXIT_FAILURE;
        }
    };
    log::info!(router:% = settings.router.name, zone:% = settings.router.zone,
        listen:% = settings.router.listen, store:% = settings.store_address;
        "router started");
    if let Err(e) = metrics_server::start(Some(settings.metrics_listen)).await {
        eprintln!("dogwoodway: metrics could not be served: {e}");
        return EXIT_FAILURE;
    }
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    tokio::spawn(follow_settings(hangups, settings.clone()));
    let notice = ShutdownSignals {
        drain: shutdown.reached(ShutdownPhase::Draining).boxed(),
        abort: shutdown.reached(ShutdownPhase::Aborting).boxed(),
    };
    let parts = build_adapters(&settings);
    match dogwoodway_gateway::run(settings.router, parts, notice).await {
        Ok(()) => {
            log::info!("router stopped");
            // The thread that writes the log gets time for the last lines.
            tokio::time::sleep(Duration::from_millis(LAST_LINES_MS)).await;
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            EXIT_FAILURE
        }
    }
}

/// Reads the settings file again on SIGHUP. What it holds is fixed for the life of a process, so a
/// change is only told.
async fn follow_settings(mut hangups: Signal, settings: PlatformSettings) {
    while hangups.recv().await.is_some() {
        match load_settings() {
            Ok(read) if read == settings => log::info!("settings read again: unchanged"),
            Ok(_) => log::warn!("settings have changed; they take effect at the next start"),
            Err(e) => log::warn!("settings not read again, the old ones stay: {e}"),
        }
    }
}
