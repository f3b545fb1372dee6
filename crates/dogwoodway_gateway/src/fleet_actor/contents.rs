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
const SUSPECT_FOR_MS: u64 = 15_000;

/// Requests that are remembered as possible causes of a crash.
const MAX_SUSPECTS: usize = 512;

/// A crash of a server that ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashNote {
    fingerprint: RequestFingerprint,
    server: BackendServerName,
    started_at_ms: u64,
}

impl CrashNote {
    fn incarnation(&self) -> EngineIncarnation {
        EngineIncarnation(ServerKey::new(&self.server).0 ^ self.started_at_ms)
    }
}

/// What routers tell each other of a request's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ContentNote {
    /// A server crashed while it ran it.
    Crashed(CrashNote),
    /// A server answered it, after crashes that it was suspected of.
    Answered(RequestFingerprint),
}

struct Suspect {
    note: CrashNote,
    key: BackendKey,
    until: Timestamp,
}

/// What is held against contents, here and by other routers.
pub(super) struct Contents {
    quarantine: Quarantine,
    /// Whether anything was ever held against any content; read without the actor.
    is_in_use: Arc<AtomicBool>,
    suspects: Vec<Suspect>,
    /// Takes what other routers are to know.
    told: mpsc::Sender<ContentNote>,
}

impl Contents {
    pub(super) fn new(told: mpsc::Sender<ContentNote>, is_in_use: Arc<AtomicBool>) -> Contents {
        let quarantine = Quarantine::new(MAX_QUARANTINED);
        Contents { quarantine, is_in_use, suspects: Vec::new(), told }
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
    pub(super) fn suspect(
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
        let note = CrashNote { fingerprint, server, started_at_ms };
        let until = now + Duration::from_millis(SUSPECT_FOR_MS);
        self.suspects.push(Suspect { note, key, until });
    }

    /// Counts a crash against the requests that the server ran.
    pub(super) fn confirm_crash(&mut self, now: Timestamp, key: BackendKey) {
        self.suspects.retain(|suspect| suspect.until > now);
        let guilty: Vec<_> = self.suspects.extract_if(.., |suspect| suspect.key == key).collect();
        for suspect in guilty {
            self.note_crash(now, &suspect.note);
            self.tell(ContentNote::Crashed(suspect.note));
        }
    }

    /// Notes that a server has answered a content, and lives on: earlier crashes had another cause.
    pub(super) fn note_answered(&mut self, fingerprint: RequestFingerprint) {
        if self.quarantine.record_answer(&fingerprint) {
            self.tell(ContentNote::Answered(fingerprint));
        }
    }

    /// Takes in what a router has seen, in the order of the routers' log.
    pub(super) fn see(&mut self, now: Timestamp, note: &ContentNote) {
        match note {
            ContentNote::Crashed(note) => self.note_crash(now, note),
            ContentNote::Answered(fingerprint) => {
                self.quarantine.record_answer(fingerprint);
            }
        }
    }

    fn note_crash(&mut self, now: Timestamp, note: &CrashNote) {
        self.quarantine.record_crash(now, note.fingerprint, note.incarnation());
        self.is_in_use.store(true, Ordering::Relaxed);
        log::info!(
            fingerprint:? = note.fingerprint, server:% = note.server,
            outcome:? = self.quarantine.status(now, &note.fingerprint);
            "a backend server crashed while it ran a request"
        );
    }

    fn tell(&self, note: ContentNote) {
        if let Err(e) = self.told.try_send(note) {
            log::warn!("a crash or its end was not told to other routers: {e}");
        }
    }
}
