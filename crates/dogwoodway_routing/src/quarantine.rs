//! Requests that are suspected of crashing the backend servers that run them.
//!
//! Every request that an engine ran when it crashed becomes a suspect, known by the fingerprint of
//! its content. Suspects run alone among suspects on an engine, so a second crash tells the cause
//! from the innocent requests of the first batch: whoever was there both times is quarantined. An
//! answer clears a suspect, and a suspicion and a quarantine end by themselves, since engines crash
//! for other reasons too.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{EngineIncarnation, RequestFingerprint, Timestamp};

/// Time for which a crash counts.
pub const SUSPICION_PERIOD: Duration = Duration::from_secs(600);

/// Time of the first quarantine; each further crash doubles it.
pub const INITIAL_QUARANTINE: Duration = Duration::from_secs(120);

/// Doublings after which a quarantine grows no more.
const MAX_DOUBLINGS: u32 = 5;

/// Crashes that quarantine a request.
pub const CRASH_THRESHOLD: usize = 2;

/// What is known against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing.
    Clear,
    /// It ran on an engine that crashed.
    Suspect,
    /// It must not run before the time given.
    Quarantined {
        /// End of the quarantine.
        until: Timestamp,
    },
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Engines that crashed while they ran the request.
    engines: Vec<EngineIncarnation>,
    /// Engines that crashed before a server answered the request. Routers tell of a crash more than
    /// once, and later than it happened.
    excused: Vec<EngineIncarnation>,
    until: Timestamp,
    forget_at: Timestamp,
}

/// The requests that are suspected, by fingerprint; bounded in number.
#[derive(Clone, Debug)]
pub struct Quarantine {
    records: HashMap<RequestFingerprint, Record>,
    capacity: usize,
}

impl Quarantine {
    /// Builds an empty table of at most `capacity` requests.
    pub fn new(capacity: usize) -> Quarantine {
        Quarantine { records: HashMap::new(), capacity }
    }

    /// Notes that an engine crashed at `at` while it ran a request. Hearing of the same crash again
    /// has no effect.
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
        self.make_room(at, &request);
        let record = self.records.entry(request).or_default();
        if record.forget_at <= at {
            *record = Record::default();
        }
        if record.engines.contains(&engine) || record.excused.contains(&engine) {
            return;
        }
        record.engines.push(engine);
        record.forget_at = record.forget_at.max(at + SUSPICION_PERIOD);
        if record.engines.len() >= CRASH_THRESHOLD {
            let doublings =
                u32::try_from(record.engines.len() - CRASH_THRESHOLD).unwrap_or(u32::MAX);
            record.until = at + INITIAL_QUARANTINE * (1 << doublings.min(MAX_DOUBLINGS));
            record.forget_at = record.until + SUSPICION_PERIOD;
        }
    }

    /// Notes that a backend server has answered a request: the crashes so far had another cause, and
    /// count no longer, also when they are told of again.
    /// Returns whether anything was held against it.
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
        let was_blamed = !record.engines.is_empty();
        record.excused.append(&mut record.engines);
        record.until = Timestamp::default();
        was_blamed
    }

    /// Tells what is known against a request.
    pub fn status(&self, now: Timestamp, request: &RequestFingerprint) -> QuarantineStatus {
        match self.records.get(request) {
            Some(record) if record.until > now => {
                QuarantineStatus::Quarantined { until: record.until }
            }
            Some(record) if record.forget_at > now && !record.engines.is_empty() => {
                QuarantineStatus::Suspect
            }
            Some(_) | None => QuarantineStatus::Clear,
        }
    }

    /// Returns the number of requests in quarantine.
    pub fn quarantined(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| record.until > now).count()
    }

    /// Forgets what has ended, and beyond the capacity the record that ends first.
    fn make_room(&mut self, now: Timestamp, request: &RequestFingerprint) {
        if self.records.len() < self.capacity || self.records.contains_key(request) {
            return;
        }
        self.records.retain(|_, record| record.forget_at > now);
        if self.records.len() < self.capacity {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, record)| record.forget_at);
        if let Some(first) = first.map(|(request, _)| *request) {
            self.records.remove(&first);
        }
    }
}
