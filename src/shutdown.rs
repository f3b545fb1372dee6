//! Graceful shutdown on signals.
//!
//! The first SIGTERM or SIGINT asks the process to drain, that is to finish the requests in flight.
//! A second signal, or the end of the time that the platform allows, asks it to abort the rest.

use std::{future::Future, time::Duration};

use dogwoodway_types::Timestamp;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use crate::clock::sleep_until;

/// Phase of the process, in the order in which the phases follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// No new work is accepted; requests in flight are finished.
    Draining,
    /// Requests that are still in flight are aborted with an error.
    Aborting,
}

/// Handle to the shutdown phase of the process; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    phase: watch::Receiver<ShutdownPhase>,
}

impl Shutdown {
    /// Installs the signal handlers. The process drains for at most `limit` before it aborts.
    pub(crate) fn listen(limit: Duration) -> Shutdown {
        let (tx, phase) = watch::channel(ShutdownPhase::Serving);
        let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
        match signals {
            (Ok(term), Ok(int)) => {
                tokio::spawn(run_phases(term, int, limit, tx));
            }
            _ => {
                log::error!(
                    "cannot install signal handlers; SIGTERM and SIGINT will not drain requests"
                );
                tokio::spawn(async move { tx.closed().await });
            }
        }
        Shutdown { phase }
    }

    pub(crate) fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Resolves once the process has reached `phase` or a later one.
    pub(crate) fn reached(&self, phase: ShutdownPhase) -> impl Future<Output = ()> + Send + use<> {
        let mut rx = self.phase.clone();
        async move {
            if rx.wait_for(|now| *now >= phase).await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

async fn run_phases(
    mut term: Signal,
    mut int: Signal,
    limit: Duration,
    tx: watch::Sender<ShutdownPhase>,
) {
    next_signal(&mut term, &mut int).await;
    let deadline = Timestamp::now() + limit;
    log::info!(deadline:%; "shutdown requested; finishing the requests in flight");
    tx.send_replace(ShutdownPhase::Draining);
    tokio::select! {
        () = next_signal(&mut term, &mut int) => {
            log::warn!("second signal; aborting the requests in flight");
        }
        () = sleep_until(deadline) => {
            log::warn!("shutdown limit reached; aborting the requests in flight");
        }
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
