//! Contents of requests that are suspected of crashing the servers that run them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_routing::{
    direct::fleet::{BackendKey, ServerListing},
    quarantine::{Quarantine, QuarantineStatus},
    rendezvous::ServerKey,
};
use dogwoodway_types::{BackendServerName, EngineIncarnation, RequestFingerprint, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Requests in quarantine at most.
const MAX_QUARANTINED: usize = 1_000;

/// Time after a broken connection in which a crash of the server counts against the request that
/// it ran, in milliseconds.
const SUSPECT_TTL_MS: u64 = 15_000;

/// Requests that are remembered as possible causes of a crash.
const MAX_SUSPECTS: usize = 512;

/// A crash of a server that ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    fingerprint: RequestFingerprint,
    server: BackendServerName,
    started_at_ms: u64,
}

impl CrashReport {
    fn incarnation(&self) -> EngineIncarnation {
        EngineIncarnation(ServerKey::new(&self.server).0 ^ self.started_at_ms)
    }
}

/// What routers tell each other of a request's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FingerprintEvent {
    /// A server crashed while it ran it.
    Crashed(CrashReport),
    /// A server answered it, after crashes that it was suspected of.
    Answered(RequestFingerprint),
}

struct Suspect {
    report: CrashReport,
    key: BackendKey,
    until: Timestamp,
}

/// What is held against contents, here and by other routers.
pub(super) struct CrashTracker {
    quarantine: Quarantine,
    /// Whether anything was ever held against any content; read without the actor.
    is_in_use: Arc<AtomicBool>,
    suspects: Vec<Suspect>,
    /// Takes what other routers are to know.
    outgoing: mpsc::Sender<FingerprintEvent>,
}

impl CrashTracker {
    pub(super) fn new(
        outgoing: mpsc::Sender<FingerprintEvent>,
        is_in_use: Arc<AtomicBool>,
    ) -> CrashTracker {
        let quarantine = Quarantine::new(MAX_QUARANTINED);
        CrashTracker { quarantine, is_in_use, suspects: Vec::new(), outgoing }
    }

    /// Tells until when a content must not run, if so.
    pub(super) fn quarantined_until(
        &self,
        now: Timestamp,
        fingerprint: &RequestFingerprint,
    ) -> Option<Timestamp> {
        match self.quarantine.status(now, fingerprint) {
            QuarantineStatus::Quarantined { until } => Some(until),
            QuarantineStatus::Suspect | QuarantineStatus::Clear => None,
        }
    }

    /// Remembers a request whose connection broke, in case its server has crashed.
    pub(super) fn add_suspect(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        listing: &ServerListing,
        fingerprint: RequestFingerprint,
    ) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.remove(0);
        }
        let (server, started_at_ms) = (listing.name.clone(), listing.started_at_ms);
        let report = CrashReport { fingerprint, server, started_at_ms };
        let until = now + Duration::from_millis(SUSPECT_TTL_MS);
        self.suspects.push(Suspect { report, key, until });
    }

    /// Counts a crash against the requests that the server ran.
    pub(super) fn confirm_crash(&mut self, now: Timestamp, key: BackendKey) {
        self.suspects.retain(|suspect| suspect.until > now);
        let confirmed: Vec<_> =
            self.suspects.extract_if(.., |suspect| suspect.key == key).collect();
        for suspect in confirmed {
            self.record_crash(now, &suspect.report);
            self.publish(FingerprintEvent::Crashed(suspect.report));
        }
    }

    /// Notes that a server has answered a content, and lives on: earlier crashes had another cause.
    pub(super) fn record_response(&mut self, fingerprint: RequestFingerprint) {
        if self.quarantine.note_answered(&fingerprint) {
            self.publish(FingerprintEvent::Answered(fingerprint));
        }
    }

    /// Takes in what a router has seen, in the order of the routers' log.
    pub(super) fn apply(&mut self, now: Timestamp, event: &FingerprintEvent) {
        match event {
            FingerprintEvent::Crashed(report) => self.record_crash(now, report),
            FingerprintEvent::Answered(fingerprint) => {
                self.quarantine.note_answered(fingerprint);
            }
        }
    }

    fn record_crash(&mut self, now: Timestamp, report: &CrashReport) {
        self.quarantine.note_crash(now, report.fingerprint, report.incarnation());
        self.is_in_use.store(true, Ordering::Relaxed);
        log::info!(
            fingerprint:? = report.fingerprint, server:% = report.server,
            outcome:? = self.quarantine.standing(now, &report.fingerprint);
            "a backend server crashed while it ran a request"
        );
    }

    fn publish(&self, event: FingerprintEvent) {
        if let Err(e) = self.outgoing.try_send(event) {
            log::warn!("a crash or its end was not told to other routers: {e}");
        }
    }
}
