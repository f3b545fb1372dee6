//! Tracking of requests that are suspected of crashing the servers that run them.
//!
//! A request whose connection was lost is a suspect for a short time. If its server turns out to
//! have crashed, the crash is recorded in the [`Quarantine`] and shared with the other routers, so
//! that a request cannot crash one server after another.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_routing::{
    crash_attribution::CrashAttribution,
    direct::{
        fleet::BackendKey,
        process_end::{EndSign, ProbeHistory, ProbeResult},
    },
    part_blame::{EngineCrash, PartKey, PartRun},
    quarantine::{Quarantine, QuarantineStatus},
    rendezvous::ServerKey,
};
use dogwoodway_types::{BackendServerName, EngineIncarnation, RequestFingerprint, Timestamp};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use tokio::sync::mpsc;

use crate::{fleet_actor::AttemptedRequest, metric};

/// Maximum number of requests whose crashes are recorded.
const MAX_QUARANTINED: usize = 1_000;

/// Time after a lost connection in which a crash of the server counts against the request, in
/// milliseconds.
const SUSPECT_TTL_MS: u64 = 15_000;

/// Maximum number of suspects; the oldest is dropped for a new one.
const MAX_SUSPECTS: usize = 512;

/// Time after the loss of a connection in which a kernel may accept new ones for a process that has
/// ended, in milliseconds.
const ACCEPTS_AFTER_END_MS: u64 = 250;

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

/// A process of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerProcess {
    pub(crate) name: BackendServerName,
    pub(crate) started_at_ms: u64,
}

/// An event about one request fingerprint that routers share through their log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FingerprintEvent {
    /// A server crashed while it ran the request.
    Crashed(CrashReport),
    /// A server responded to a request that had been suspected.
    Answered(RequestFingerprint),
    /// A server crashed before or after it was sent the request. Older routers skip this event.
    PossiblyCrashed {
        report: CrashReport,
        /// When the connection was lost, by the clock of the router that reports it. Routers that
        /// start later read many events at once.
        lost_at: Timestamp,
    },
}

/// A request whose connection was lost, and the report to publish if its server has crashed.
struct Suspect {
    report: CrashReport,
    request: AttemptedRequest,
    /// When the connection was lost.
    lost_at: Timestamp,
    key: BackendKey,
    /// Start time in the listing by which the request was sent.
    listed_start_ms: u64,
    until: Timestamp,
}

/// Processes that have served under one listing, one after the other. A server that has come back is
/// listed late, and never if a request crashes it before.
#[derive(Clone, Copy)]
struct Generation {
    listed_start_ms: u64,
    /// Processes that have ended and were followed by another one.
    number: u64,
    has_ended: bool,
}

/// A process that has ended, for attempts at it whose loss is noticed later.
struct EndedProcess {
    key: BackendKey,
    started_at_ms: u64,
    until: Timestamp,
}

impl Suspect {
    /// Returns the run of the request for each shared part of the prompt.
    fn runs(&self, crashed_at: Timestamp) -> Vec<PartRun> {
        let AttemptedRequest { sent_at, answer_started_at, .. } = self.request;
        let lead = PartRun::lead(crashed_at, sent_at, answer_started_at);
        PartRun::of_request(&self.request.shared_parts, self.report.fingerprint, lead)
    }

    fn log(&self) {
        let parts: Vec<_> = self.request.shared_parts.iter().map(PartKey::to_string).collect();
        let answered_ms =
            self.request.answer_started_at.map(|at| (self.lost_at - at).as_millis() as u64);
        let sent_ms = (self.lost_at - self.request.sent_at).as_millis() as u64;
        log::info!(
            request = self.request.id, server:% = self.report.server, parts:? = parts,
            sent_ms = sent_ms, answered_ms:? = answered_ms;
            "request was on a backend server that crashed or is gone"
        );
    }
}

/// Crashes recorded by this router and by others, and the suspects of this one.
pub(super) struct CrashTracker {
    quarantine: Quarantine,
    /// Which of the requests of each crash is to blame. Nothing keeps two suspects from one server.
    attribution: CrashAttribution,
    /// Whether any crash was ever recorded. Shared with the request path, which reads it without
    /// asking the actor.
    is_in_use: Arc<AtomicBool>,
    suspects: Vec<Suspect>,
    /// What probes have shown since the first suspect of each server.
    probes: SecondaryMap<BackendKey, ProbeHistory>,
    /// When a connection to each server was first lost since it was last known to serve.
    first_lost: SecondaryMap<BackendKey, Timestamp>,
    generations: SecondaryMap<BackendKey, Generation>,
    /// Oldest first.
    ended: VecDeque<EndedProcess>,
    /// Events to share with other routers.
    outgoing: mpsc::Sender<FingerprintEvent>,
}

impl CrashTracker {
    pub(super) fn new(
        outgoing: mpsc::Sender<FingerprintEvent>,
        is_in_use: Arc<AtomicBool>,
    ) -> CrashTracker {
        let quarantine = Quarantine::new(MAX_QUARANTINED);
        CrashTracker {
            quarantine,
            attribution: CrashAttribution::default(),
            is_in_use,
            suspects: Vec::new(),
            probes: SecondaryMap::new(),
            first_lost: SecondaryMap::new(),
            generations: SecondaryMap::new(),
            ended: VecDeque::new(),
            outgoing,
        }
    }

    /// Returns until when a request must not run, or `None` if it may run now. A suspected request
    /// may run. One that has probably crashed servers is not sent again after it was lost, and else at
    /// intervals: more of its runs would crash servers before the quarantine can tell.
    pub(super) fn refused_until(
        &self,
        now: Timestamp,
        fingerprint: &RequestFingerprint,
        may_have_run: bool,
    ) -> Option<Timestamp> {
        if let QuarantineStatus::Quarantined { until } = self.quarantine.status(now, fingerprint)
            && !self.is_excused(fingerprint)
        {
            return Some(until);
        }
        let next_try_at = self.attribution.next_try_at(fingerprint)?;
        (may_have_run || next_try_at > now).then_some(next_try_at.max(now))
    }

    /// Records that a request is sent to a server.
    pub(super) fn record_try(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.attribution.record_try(now, fingerprint);
    }

    /// Returns whether other requests explain the crashes of a request.
    fn is_excused(&self, fingerprint: &RequestFingerprint) -> bool {
        self.attribution.is_excused(fingerprint, self.quarantine.excess_crashes(fingerprint))
    }

    /// Adds a request whose connection was lost, in case its server has crashed, unless the process had
    /// ended before the request was sent. Returns whether the process is known to have ended.
    pub(super) fn add_suspect(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        process: ServerProcess,
        fingerprint: RequestFingerprint,
        request: AttemptedRequest,
    ) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.remove(0);
        }
        match self.probes.get_mut(key) {
            Some(history) => history.record_loss(now),
            None => {
                self.probes.insert(key, ProbeHistory::new(now));
            }
        }
        let ServerProcess { name: server, started_at_ms } = process;
        match self.first_lost.get(key) {
            Some(lost_at) if request.sent_at > *lost_at => {
                log::info!(request = request.id, server:% = server;
                    "request was sent after other connections to its server had been lost");
                return false;
            }
            Some(_) => {}
            None => {
                self.first_lost.insert(key, now);
            }
        }
        let generation = self.generation(key, started_at_ms);
        let started_at = started_at_ms + generation.map_or(0, |generation| generation.number);
        let report = CrashReport { fingerprint, server, started_at_ms: started_at };
        let until = now + Duration::from_millis(SUSPECT_TTL_MS);
        let (lost_at, listed_start_ms) = (now, started_at_ms);
        self.suspects.push(Suspect { report, request, lost_at, key, listed_start_ms, until });
        self.ended.iter().any(|ended| {
            ended.key == key && ended.started_at_ms == started_at_ms && ended.until > now
        })
    }

    fn generation(&self, key: BackendKey, listed_start_ms: u64) -> Option<Generation> {
        let generation = self.generations.get(key).copied();
        generation.filter(|generation| generation.listed_start_ms == listed_start_ms)
    }

    /// Records that a server is listed with another start. Returns whether that shows that its process
    /// has ended, and not that the process which already followed is listed at last. In that case the
    /// suspects of that process are now suspected under its own listing.
    pub(super) fn record_restart(&mut self, key: BackendKey, from_ms: u64, to_ms: u64) -> bool {
        let generation = self.generation(key, from_ms);
        if !generation.is_some_and(|generation| generation.number > 0 && !generation.has_ended) {
            return true;
        }
        self.generations.remove(key);
        let suspects = self.suspects.iter_mut();
        for suspect in suspects.filter(|s| s.key == key && s.listed_start_ms == from_ms) {
            (suspect.listed_start_ms, suspect.report.started_at_ms) = (to_ms, to_ms);
        }
        false
    }

    /// Records that a server serves, so that connections lost earlier say nothing about later ones.
    /// Neither does a client that left before then. A connection alone may be to the next process.
    pub(super) fn record_service(&mut self, key: BackendKey) {
        self.first_lost.remove(key);
        self.suspects.retain(|suspect| suspect.key != key || !suspect.request.was_abandoned);
    }

    /// Returns whether requests are suspected of having crashed a server.
    pub(super) fn has_suspects(&self, key: BackendKey) -> bool {
        self.suspects.iter().any(|suspect| suspect.key == key)
    }

    /// Records a probe. Returns whether it shows that the process has ended that was probed.
    pub(super) fn record_probe(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        result: ProbeResult,
    ) -> bool {
        if result == ProbeResult::Open {
            let accepts_after_end = Duration::from_millis(ACCEPTS_AFTER_END_MS);
            if self.first_lost.get(key).is_some_and(|lost_at| now - *lost_at >= accepts_after_end) {
                self.first_lost.remove(key);
            }
            self.ended.retain(|ended| ended.key != key);
            if let Some(generation) = self.generations.get_mut(key)
                && std::mem::take(&mut generation.has_ended)
            {
                generation.number += 1;
            }
        }
        match self.probes.get_mut(key) {
            Some(history) => history.record(result),
            None => result == ProbeResult::Refused,
        }
    }

    /// Returns the servers to probe now because requests are suspected of having crashed them.
    pub(super) fn start_probes(&mut self, now: Timestamp) -> Vec<BackendKey> {
        self.suspects.retain(|suspect| suspect.until > now);
        let suspects = &self.suspects;
        self.probes.retain(|key, _| suspects.iter().any(|suspect| suspect.key == key));
        let probes = self.probes.iter_mut();
        probes.filter_map(|(key, history)| history.start_probe(now).then_some(key)).collect()
    }

    /// Records that a process has ended, which is a crash for all requests that it may have been
    /// running. Unless connections were refused from its end on, those whose answer had not begun may
    /// have been sent later, and the crash is uncertain for them. Returns the crash with the requests
    /// that the process may have been running, or `None` if it had none of this router.
    pub(super) fn confirm_crash(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        started_at_ms: u64,
        sign: EndSign,
    ) -> Option<EngineCrash> {
        let excludes_later = sign.excludes_later_requests();
        self.ended.retain(|ended| ended.until > now);
        if self.ended.len() >= MAX_SUSPECTS {
            self.ended.pop_front();
        }
        let until = now + Duration::from_millis(SUSPECT_TTL_MS);
        self.ended.push_back(EndedProcess { key, started_at_ms, until });
        match self.generation(key, started_at_ms) {
            Some(generation) => {
                self.generations.insert(key, Generation { has_ended: true, ..generation });
            }
            None => {
                let generation =
                    Generation { listed_start_ms: started_at_ms, number: 0, has_ended: true };
                self.generations.insert(key, generation);
            }
        }
        self.suspects.retain(|suspect| suspect.until > now);
        let is_confirmed =
            |suspect: &mut Suspect| suspect.key == key && suspect.listed_start_ms == started_at_ms;
        let confirmed: Vec<_> = self.suspects.extract_if(.., is_confirmed).collect();
        let first = confirmed.iter().min_by_key(|suspect| suspect.lost_at)?;
        let (engine, crashed_at) = (first.report.incarnation(), first.lost_at);
        let mut crash = EngineCrash { engine, crashed_at, runs: Vec::new() };
        metrics::counter!(metric::SERVER_CRASHES).increment(1);
        for suspect in confirmed {
            suspect.log();
            crash.merge(&EngineCrash { engine, crashed_at, runs: suspect.runs(crashed_at) });
            let was_running = excludes_later || suspect.request.answer_started_at.is_some();
            // It was more likely beside the request that crashed the server, or came after that.
            let is_certain =
                was_running && !self.quarantine.was_answered(now, &suspect.report.fingerprint);
            let event = match is_certain {
                true => FingerprintEvent::Crashed(suspect.report),
                false => FingerprintEvent::PossiblyCrashed {
                    report: suspect.report,
                    lost_at: suspect.lost_at,
                },
            };
            self.apply(now, &event);
            self.publish(event);
        }
        Some(crash)
    }

    /// Removes the suspects of a server whose entry is gone, and returns what it may have been running
    /// when it fell silent or lost its connections. It may have been cut off, so this is evidence against
    /// parts of prompts alone, which answers elsewhere clear; whole requests are not blamed for it.
    pub(super) fn take_runs_of_removed(
        &mut self,
        now: Timestamp,
        key: BackendKey,
    ) -> Option<EngineCrash> {
        self.suspects.retain(|suspect| suspect.until > now);
        let suspects: Vec<_> = self.suspects.extract_if(.., |suspect| suspect.key == key).collect();
        let first = suspects.iter().min_by_key(|suspect| suspect.lost_at)?;
        let (engine, crashed_at) = (first.report.incarnation(), first.lost_at);
        let mut crash = EngineCrash { engine, crashed_at, runs: Vec::new() };
        self.is_in_use.store(true, Ordering::Relaxed);
        for suspect in suspects {
            suspect.log();
            // It is not known when the server fell silent, so that any request may have been running
            // since it was sent.
            let AttemptedRequest { sent_at, answer_started_at, .. } = suspect.request;
            let lead = crashed_at - answer_started_at.unwrap_or(sent_at);
            let parts = &suspect.request.shared_parts;
            let runs = PartRun::of_request(parts, suspect.report.fingerprint, lead);
            crash.merge(&EngineCrash { engine, crashed_at, runs });
        }
        Some(crash)
    }

    /// Clears a request after a server has responded to it and survived: the earlier crashes must
    /// have had another cause.
    pub(super) fn record_response(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.quarantine.remember_answer(now, fingerprint);
        let was_in_crash = self.attribution.record_answer(&fingerprint);
        if self.quarantine.record_answer(&fingerprint) || was_in_crash {
            self.publish(FingerprintEvent::Answered(fingerprint));
        }
    }

    /// Applies an event of any router, in the order of the routers' log.
    pub(super) fn apply(&mut self, now: Timestamp, event: &FingerprintEvent) {
        match event {
            FingerprintEvent::Crashed(report) => {
                let (fingerprint, engine) = (report.fingerprint, report.incarnation());
                self.attribution.record_crash(now, fingerprint, engine);
                self.quarantine.record_crash(now, fingerprint, engine);
                self.log_crash(now, report, true);
            }
            FingerprintEvent::PossiblyCrashed { report, lost_at } => {
                let (fingerprint, engine) = (report.fingerprint, report.incarnation());
                self.attribution.record_crash(now, fingerprint, engine);
                self.quarantine.record_uncertain_crash(now, *lost_at, fingerprint, engine);
                self.log_crash(now, report, false);
            }
            FingerprintEvent::Answered(fingerprint) => {
                self.attribution.record_answer(fingerprint);
                self.quarantine.record_answer(fingerprint);
            }
        }
    }

    fn log_crash(&self, now: Timestamp, report: &CrashReport, is_certain: bool) {
        self.is_in_use.store(true, Ordering::Relaxed);
        log::info!(
            fingerprint:? = report.fingerprint, server:% = report.server, is_certain = is_certain,
            outcome:? = self.quarantine.status(now, &report.fingerprint),
            is_excused = self.is_excused(&report.fingerprint);
            "a backend server crashed while it ran a request"
        );
    }

    fn publish(&self, event: FingerprintEvent) {
        if let Err(e) = self.outgoing.try_send(event) {
            log::warn!("could not queue a fingerprint event for the other routers: {e}");
        }
    }
}
