//! Process shutdown by signals.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves on the first SIGTERM or SIGINT.
pub(crate) async fn requested() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("signal handlers could not be set up; the process ignores signals");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
