//! The router role: serves callers on the users' platform, directly from backend servers without
//! agents. The work is done by [`dogwoodway_gateway`] with the adapters of [`dogwoodway_platform`].

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

/// Time in milliseconds for the log writer thread to write the last lines.
const LOG_FLUSH_MS: u64 = 60;

/// Runs a router until it is asked to stop and its requests have ended.
pub(crate) async fn run() -> ExitCode {
    // Installed first, since an unhandled SIGHUP terminates the process.
    let hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            eprintln!("dogwoodway: cannot handle SIGHUP: {e}");
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
        eprintln!("dogwoodway: cannot serve metrics: {e}");
        return EXIT_FAILURE;
    }
    let shutdown = Shutdown::listen(Duration::from_millis(settings.shutdown_limit_ms));
    tokio::spawn(report_settings_changes(hangups, settings.clone()));
    let signals = ShutdownSignals {
        grace_period_ms: settings.shutdown_limit_ms,
        drain: shutdown.reached(ShutdownPhase::Draining).boxed(),
        abort: shutdown.reached(ShutdownPhase::Aborting).boxed(),
    };
    let dependencies = build_adapters(&settings);
    match dogwoodway_gateway::run(settings.router, dependencies, signals).await {
        Ok(()) => {
            log::info!("router stopped");
            // Log lines are written by a separate thread, which would end with the process.
            tokio::time::sleep(Duration::from_millis(LOG_FLUSH_MS)).await;
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            EXIT_FAILURE
        }
    }
}

/// Reads the settings file again on each SIGHUP and logs whether it is valid and has changed.
///
/// Settings are fixed for the life of the process, so changes are not applied.
async fn report_settings_changes(mut hangups: Signal, settings: PlatformSettings) {
    while hangups.recv().await.is_some() {
        match load_settings() {
            Ok(read) if read == settings => log::info!("settings read again: unchanged"),
            Ok(_) => log::warn!("settings file has changed; restart to apply it"),
            Err(e) => log::warn!("settings file not reloaded, current settings stay in use: {e}"),
        }
    }
}
