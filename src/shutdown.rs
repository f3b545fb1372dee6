//! Process shutdown by signals.
//!
//! The first SIGTERM or SIGINT asks the process to finish its work; a second one, or the limit that
//! the platform sets, asks it to end what is left.

use std::{future::Future, time::Duration};

use dogwoodway_types::Timestamp;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use crate::clock::sleep_until;

/// How far the shutdown of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// No new work is taken; what was begun is finished.
    Draining,
    /// What is left is ended with typed errors.
    Aborting,
}

/// Follows the shutdown of the process.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    phase: watch::Receiver<ShutdownPhase>,
}

impl Shutdown {
    /// Starts to listen for signals; draining takes at most `limit`.
    pub(crate) fn listen(limit: Duration) -> Shutdown {
        let (tx, phase) = watch::channel(ShutdownPhase::Serving);
        let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
        match signals {
            (Ok(term), Ok(int)) => {
                tokio::spawn(follow(term, int, limit, tx));
            }
            _ => {
                log::error!("signal handlers could not be set up; the process ignores signals");
                tokio::spawn(async move { tx.closed().await });
            }
        }
        Shutdown { phase }
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Resolves as soon as a phase has begun.
    pub(crate) fn reached(&self, phase: ShutdownPhase) -> impl Future<Output = ()> + Send + use<> {
        let mut rx = self.phase.clone();
        async move {
            if rx.wait_for(|now| *now >= phase).await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

async fn follow(
    mut term: Signal,
    mut int: Signal,
    limit: Duration,
    tx: watch::Sender<ShutdownPhase>,
) {
    next_signal(&mut term, &mut int).await;
    let deadline = Timestamp::now() + limit;
    log::info!(deadline:%; "shutdown requested; work that was begun is finished");
    tx.send_replace(ShutdownPhase::Draining);
    tokio::select! {
        () = next_signal(&mut term, &mut int) => log::warn!("second signal; ending what is left"),
        () = sleep_until(deadline) => log::warn!("shutdown limit reached; ending what is left"),
    }
    tx.send_replace(ShutdownPhase::Aborting);
    tx.closed().await;
}

async fn next_signal(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
