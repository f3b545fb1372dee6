//! Quarantine for requests that are suspected of crashing the engines that run them.
//!
//! When an engine crashes, every request that it was running becomes a suspect, identified by the
//! fingerprint of its content. An engine runs at most one suspect at a time, so a second crash
//! tells the cause from the unrelated requests of the first batch: a request that was running both
//! times is quarantined. An answer clears a suspect. Suspicion and quarantine also expire, because
//! engines crash for other reasons too.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{EngineIncarnation, RequestFingerprint, Timestamp};

/// Time for which a request stays suspect after a crash, or after the end of its quarantine.
pub const SUSPICION_PERIOD: Duration = Duration::from_secs(600);

/// Duration of the first quarantine; each further crash doubles it.
pub const INITIAL_QUARANTINE: Duration = Duration::from_secs(120);

/// Maximum number of times that the duration of a quarantine is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Number of crashed engines from which on a request is quarantined.
pub const CRASH_THRESHOLD: usize = 2;

/// Whether a request may run, and under which restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may run without restriction.
    Clear,
    /// The request was running on an engine that crashed; it must not run beside other suspects.
    Suspect,
    /// The request must not run before `until`.
    Quarantined {
        /// End of the quarantine.
        until: Timestamp,
    },
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Engines that crashed while they ran the request, since its last answer.
    crashed_engines: Vec<EngineIncarnation>,
    /// Engines that crashed before the request was last answered. Crashes are reported more than
    /// once and with a delay, so a crash may be reported again after the answer that cleared it.
    cleared_engines: Vec<EngineIncarnation>,
    quarantined_until: Timestamp,
    expires_at: Timestamp,
}

/// Suspected and quarantined requests by fingerprint, bounded in number.
#[derive(Clone, Debug)]
pub struct Quarantine {
    records: HashMap<RequestFingerprint, Record>,
    capacity: usize,
}

impl Quarantine {
    /// Creates an empty table for at most `capacity` requests.
    pub fn new(capacity: usize) -> Quarantine {
        Quarantine { records: HashMap::new(), capacity }
    }

    /// Records that an engine crashed at `at` while it ran a request.
    ///
    /// Repeated reports of the same crash have no effect.
    ///
    /// ```
    /// use dogwoodway_routing::quarantine::{Quarantine, QuarantineStatus};
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"compare"]);
    /// let mut quarantine = Quarantine::new(100);
    /// let now = Timestamp(0);
    /// quarantine.record_crash(now, request, EngineIncarnation(1));
    /// quarantine.record_crash(now, request, EngineIncarnation(1));
    /// assert_eq!(quarantine.status(now, &request), QuarantineStatus::Suspect);
    /// quarantine.record_crash(now, request, EngineIncarnation(2));
    /// assert!(matches!(quarantine.status(now, &request), QuarantineStatus::Quarantined { .. }));
    /// ```
    pub fn record_crash(
        &mut self,
        at: Timestamp,
        request: RequestFingerprint,
        engine: EngineIncarnation,
    ) {
        self.evict_for(at, &request);
        let record = self.records.entry(request).or_default();
        if record.expires_at <= at {
            *record = Record::default();
        }
        if record.crashed_engines.contains(&engine) || record.cleared_engines.contains(&engine) {
            return;
        }
        record.crashed_engines.push(engine);
        record.expires_at = record.expires_at.max(at + SUSPICION_PERIOD);
        if record.crashed_engines.len() >= CRASH_THRESHOLD {
            let doublings =
                u32::try_from(record.crashed_engines.len() - CRASH_THRESHOLD).unwrap_or(u32::MAX);
            record.quarantined_until =
                at + INITIAL_QUARANTINE * (1 << doublings.min(MAX_DOUBLINGS));
            record.expires_at = record.quarantined_until + SUSPICION_PERIOD;
        }
    }

    /// Records that a backend server has answered a request; returns whether the request was
    /// suspect.
    ///
    /// The crashes so far had another cause, so they no longer count, even if reported again.
    ///
    /// ```
    /// use dogwoodway_routing::quarantine::{Quarantine, QuarantineStatus};
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"compare"]);
    /// let mut quarantine = Quarantine::new(100);
    /// quarantine.record_crash(Timestamp(0), request, EngineIncarnation(1));
    /// assert!(quarantine.record_answer(&request));
    /// assert_eq!(quarantine.status(Timestamp(0), &request), QuarantineStatus::Clear);
    /// ```
    pub fn record_answer(&mut self, request: &RequestFingerprint) -> bool {
        let Some(record) = self.records.get_mut(request) else { return false };
        let was_suspect = !record.crashed_engines.is_empty();
        record.cleared_engines.append(&mut record.crashed_engines);
        record.quarantined_until = Timestamp::default();
        was_suspect
    }

    /// Returns whether a request may run at `now`.
    pub fn status(&self, now: Timestamp, request: &RequestFingerprint) -> QuarantineStatus {
        match self.records.get(request) {
            Some(record) if record.quarantined_until > now => {
                QuarantineStatus::Quarantined { until: record.quarantined_until }
            }
            Some(record) if record.expires_at > now && !record.crashed_engines.is_empty() => {
                QuarantineStatus::Suspect
            }
            Some(_) | None => QuarantineStatus::Clear,
        }
    }

    /// Returns the number of requests that are quarantined at `now`.
    pub fn quarantined(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| record.quarantined_until > now).count()
    }

    /// Makes room for a new record: removes the expired ones, or else the one that expires first.
    fn evict_for(&mut self, now: Timestamp, request: &RequestFingerprint) {
        if self.records.len() < self.capacity || self.records.contains_key(request) {
            return;
        }
        self.records.retain(|_, record| record.expires_at > now);
        if self.records.len() < self.capacity {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, record)| record.expires_at);
        if let Some(first) = first.map(|(request, _)| *request) {
            self.records.remove(&first);
        }
    }
}
