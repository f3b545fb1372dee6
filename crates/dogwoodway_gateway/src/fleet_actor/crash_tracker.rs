//! Tracking of requests that are suspected of crashing the servers that run them.
//!
//! A request whose connection was lost is a suspect for a short time. If its server turns out to
//! have crashed, the crash is recorded in the [`Quarantine`] and shared with the other routers, so
//! that a request cannot crash one server after another.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_routing::{
    direct::fleet::{BackendKey, ServerListing},
    part_blame::{EngineCrash, PartKey, PartRun},
    quarantine::{Quarantine, QuarantineStatus},
    rendezvous::ServerKey,
};
use dogwoodway_types::{BackendServerName, EngineIncarnation, RequestFingerprint, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{fleet_actor::AttemptedRequest, metric};

/// Maximum number of requests whose crashes are recorded.
const MAX_QUARANTINED: usize = 1_000;

/// Time after a lost connection in which a crash of the server counts against the request, in
/// milliseconds.
const SUSPECT_TTL_MS: u64 = 15_000;

/// Maximum number of suspects; the oldest is dropped for a new one.
const MAX_SUSPECTS: usize = 512;

/// A crash of a server while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    fingerprint: RequestFingerprint,
    server: BackendServerName,
    /// Start of the server's process, which tells its crashes apart.
    started_at_ms: u64,
}

impl CrashReport {
    fn incarnation(&self) -> EngineIncarnation {
        EngineIncarnation(ServerKey::new(&self.server).0 ^ self.started_at_ms)
    }
}

/// An event about one request fingerprint that routers share through their log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FingerprintEvent {
    /// A server crashed while it ran the request.
    Crashed(CrashReport),
    /// A server responded to a request that had been suspected.
    Answered(RequestFingerprint),
}

/// A request whose connection was lost, and the report to publish if its server has crashed.
struct Suspect {
    report: CrashReport,
    request: AttemptedRequest,
    /// When the connection was lost.
    lost_at: Timestamp,
    key: BackendKey,
    until: Timestamp,
}

impl Suspect {
    /// Returns the answer that the server had begun, for each shared part of the prompt.
    fn runs(&self, crashed_at: Timestamp) -> Vec<PartRun> {
        let Some(started_at) = self.request.answer_started_at else { return Vec::new() };
        let lead = crashed_at - started_at;
        PartRun::of_request(&self.request.shared_parts, self.report.fingerprint, lead)
    }

    fn log(&self) {
        let parts: Vec<_> = self.request.shared_parts.iter().map(PartKey::to_string).collect();
        let answered_ms =
            self.request.answer_started_at.map(|at| (self.lost_at - at).as_millis() as u64);
        log::info!(
            request = self.request.id, server:% = self.report.server, parts:? = parts,
            answered_ms:? = answered_ms;
            "request was on a backend server that crashed"
        );
    }
}

/// Crashes recorded by this router and by others, and the suspects of this one.
pub(super) struct CrashTracker {
    quarantine: Quarantine,
    /// Whether any crash was ever recorded. Shared with the request path, which reads it without
    /// asking the actor.
    is_in_use: Arc<AtomicBool>,
    suspects: Vec<Suspect>,
    /// Events to share with other routers.
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

    /// Returns until when a request must not run, or `None` if it may run now. A suspected request
    /// may run.
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

    /// Adds a request whose connection was lost, in case its server has crashed.
    pub(super) fn add_suspect(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        listing: &ServerListing,
        fingerprint: RequestFingerprint,
        request: AttemptedRequest,
    ) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.remove(0);
        }
        let (server, started_at_ms) = (listing.name.clone(), listing.started_at_ms);
        let report = CrashReport { fingerprint, server, started_at_ms };
        let until = now + Duration::from_millis(SUSPECT_TTL_MS);
        self.suspects.push(Suspect { report, request, lost_at: now, key, until });
    }

    /// Records a confirmed crash of a server for all requests that it may have been running. Returns
    /// the crash with the answers that it had begun, or `None` if it had no request of this router.
    pub(super) fn confirm_crash(&mut self, now: Timestamp, key: BackendKey) -> Option<EngineCrash> {
        self.suspects.retain(|suspect| suspect.until > now);
        let confirmed: Vec<_> =
            self.suspects.extract_if(.., |suspect| suspect.key == key).collect();
        let first = confirmed.iter().min_by_key(|suspect| suspect.lost_at)?;
        let (engine, crashed_at) = (first.report.incarnation(), first.lost_at);
        let mut crash = EngineCrash { engine, crashed_at, runs: Vec::new() };
        metrics::counter!(metric::SERVER_CRASHES).increment(1);
        for suspect in confirmed {
            suspect.log();
            crash.merge(&EngineCrash { engine, crashed_at, runs: suspect.runs(crashed_at) });
            self.record_crash(now, &suspect.report);
            self.publish(FingerprintEvent::Crashed(suspect.report));
        }
        Some(crash)
    }

    /// Clears a request after a server has responded to it and survived: the earlier crashes must
    /// have had another cause.
    pub(super) fn record_response(&mut self, fingerprint: RequestFingerprint) {
        if self.quarantine.record_answer(&fingerprint) {
            self.publish(FingerprintEvent::Answered(fingerprint));
        }
    }

    /// Applies an event of any router, in the order of the routers' log.
    pub(super) fn apply(&mut self, now: Timestamp, event: &FingerprintEvent) {
        match event {
            FingerprintEvent::Crashed(report) => self.record_crash(now, report),
            FingerprintEvent::Answered(fingerprint) => {
                self.quarantine.record_answer(fingerprint);
            }
        }
    }

    fn record_crash(&mut self, now: Timestamp, report: &CrashReport) {
        self.quarantine.record_crash(now, report.fingerprint, report.incarnation());
        self.is_in_use.store(true, Ordering::Relaxed);
        log::info!(
            fingerprint:? = report.fingerprint, server:% = report.server,
            outcome:? = self.quarantine.status(now, &report.fingerprint);
            "a backend server crashed while it ran a request"
        );
    }

    fn publish(&self, event: FingerprintEvent) {
        if let Err(e) = self.outgoing.try_send(event) {
            log::warn!("could not queue a fingerprint event for the other routers: {e}");
        }
    }
}
