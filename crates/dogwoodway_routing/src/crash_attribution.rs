//! Attribution of crashes to one of several requests that an engine was running.
//!
//! The [quarantine](crate::quarantine) counts a crash against each request that the engine was running,
//! which names the cause if an engine runs at most one suspect. Where nothing keeps suspects apart, a
//! sound request that runs beside a crashing one in several crashes would be quarantined with it. Here
//! all requests of a crash are compared:
//!
//! - *What one request explains counts against no other.* A crash is explained by the request that was
//!   in the most crashes since its last answer. A request is to blame for the crashes that no other one
//!   on the same engine explains.
//! - *A draw takes one crash more.* Two requests that were in exactly the same crashes are only blamed
//!   after a further one, which mostly tells them apart.
//!
//! A request that has probably caused crashes, but not enough of them that are certain, is tried at
//! intervals: further runs until then could only crash servers, as crashes that follow closely do not
//! count.
//!
//! The request in the most crashes is never excused by another one, so that of several that crash
//! engines one after the other is blamed, each for crashes that those before it do not explain.
//! The result depends on the set of reports only, so that routers which read them in different orders
//! agree, and a request that was blamed first is released once the cause is reported.

use std::collections::{HashMap, VecDeque};

use dogwoodway_types::{EngineIncarnation, RequestFingerprint, Timestamp};

use crate::quarantine::{CRASH_THRESHOLD, SUSPICION_PERIOD, UNCERTAIN_SPACING};

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;

/// Maximum number of requests that are remembered for one crash. Further ones are never excused.
const MAX_REQUESTS: usize = 64;

/// An engine that crashed, and the requests that it may have been running.
#[derive(Clone, Debug)]
struct Crash {
    engine: EngineIncarnation,
    reported_at: Timestamp,
    /// Each request, and whether it was answered later, by which the crash had another cause.
    requests: Vec<(RequestFingerprint, bool)>,
}

impl Crash {
    /// Returns the requests that may have caused the crash.
    fn suspects(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.requests.iter().filter(|(_, was_answered)| !was_answered).map(|(request, _)| request)
    }
}

/// Crashes with all requests that the engines were running.
///
/// ```
/// use dogwoodway_routing::crash_attribution::CrashAttribution;
/// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
///
/// let team = TeamName::try_from("demo").unwrap();
/// let [bad, sound] = [b"bad", b"say"].map(|text| RequestFingerprint::new(&team, &[text]));
/// let mut attribution = CrashAttribution::default();
/// for n in 1..=2 {
///     attribution.record_crash(Timestamp(0), bad, EngineIncarnation(n));
///     attribution.record_crash(Timestamp(0), sound, EngineIncarnation(n));
/// }
/// assert!(attribution.is_excused(&bad, 0) && attribution.is_excused(&sound, 0));
/// attribution.record_crash(Timestamp(0), bad, EngineIncarnation(3));
/// assert!(!attribution.is_excused(&bad, 1));
/// assert!(attribution.is_excused(&sound, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashAttribution {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Number of crashes of which each request is a suspect, at least 1.
    counts: HashMap<RequestFingerprint, usize>,
    /// When probable causes were last sent to a server.
    tried_at: HashMap<RequestFingerprint, Timestamp>,
}

impl CrashAttribution {
    /// Records that an engine crashed that may have been running a request. Repeated reports of the
    /// same crash have no effect, not even after an answer to the request.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        engine: EngineIncarnation,
    ) {
        while let Some(oldest) = self.crashes.front()
            && (now - oldest.reported_at >= SUSPICION_PERIOD || self.crashes.len() > MAX_CRASHES)
        {
            let expired = self.crashes.pop_front();
            for request in expired.iter().flat_map(Crash::suspects) {
                uncount(&mut self.counts, request);
            }
        }
        let index = self.crashes.iter().position(|crash| crash.engine == engine);
        let index = index.unwrap_or_else(|| {
            self.crashes.push_back(Crash { engine, reported_at: now, requests: Vec::new() });
            self.crashes.len() - 1
        });
        let requests = &mut self.crashes[index].requests;
        if requests.len() < MAX_REQUESTS && requests.iter().all(|(known, _)| *known != request) {
            requests.push((request, false));
            *self.counts.entry(request).or_default() += 1;
        }
    }

    /// Records that a request was answered, so that the crashes so far had another cause. Returns
    /// whether it was a suspect of any.
    ///
    /// ```
    /// use dogwoodway_routing::crash_attribution::CrashAttribution;
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"say"]);
    /// let mut attribution = CrashAttribution::default();
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(1));
    /// assert!(attribution.record_answer(&request));
    /// assert!(!attribution.record_answer(&request));
    /// ```
    pub fn record_answer(&mut self, request: &RequestFingerprint) -> bool {
        let requests = self.crashes.iter_mut().flat_map(|crash| &mut crash.requests);
        for (_, was_answered) in requests.filter(|(known, _)| known == request) {
            *was_answered = true;
        }
        self.tried_at.remove(request);
        self.counts.remove(request).is_some()
    }

    /// Returns whether other requests explain the crashes for which the quarantine would refuse a
    /// request. `excess` is the number of its crashes beyond those that the quarantine asks for.
    ///
    /// ```
    /// use dogwoodway_routing::crash_attribution::CrashAttribution;
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"bad"]);
    /// let mut attribution = CrashAttribution::default();
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(1));
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(2));
    /// assert!(!attribution.is_excused(&request, 0));
    /// ```
    pub fn is_excused(&self, request: &RequestFingerprint, excess: usize) -> bool {
        let count = self.count(request);
        if count == 0 {
            return false;
        }
        let mut drawn = HashMap::new();
        for crash in self.crashes_of(request) {
            for other in crash.suspects().filter(|other| *other != request) {
                if self.count(other) == count {
                    *drawn.entry(other).or_insert(0) += 1;
                }
            }
        }
        let is_draw = drawn.values().any(|shared| *shared == count);
        !self.is_likely_cause(request) || (is_draw && excess == 0)
    }

    /// Returns whether a request was in several crashes that no other one explains.
    ///
    /// ```
    /// use dogwoodway_routing::crash_attribution::CrashAttribution;
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"bad"]);
    /// let mut attribution = CrashAttribution::default();
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(1));
    /// assert!(!attribution.is_likely_cause(&request));
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(2));
    /// assert!(attribution.is_likely_cause(&request));
    /// ```
    pub fn is_likely_cause(&self, request: &RequestFingerprint) -> bool {
        let count = self.count(request);
        let is_unexplained = |crash: &&Crash| crash.suspects().all(|r| self.count(r) <= count);
        self.crashes_of(request).filter(is_unexplained).count() >= CRASH_THRESHOLD
    }

    /// Records that a request is sent to a server, which matters if it is a probable cause.
    pub fn record_try(&mut self, now: Timestamp, request: RequestFingerprint) {
        if self.is_likely_cause(&request) {
            self.tried_at.retain(|tried, _| self.counts.contains_key(tried));
            self.tried_at.insert(request, now);
        }
    }

    /// Returns when a request may run next that has probably caused crashes; absent for others.
    ///
    /// ```
    /// use dogwoodway_routing::{crash_attribution::CrashAttribution, quarantine::UNCERTAIN_SPACING};
    /// use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
    ///
    /// let team = TeamName::try_from("demo").unwrap();
    /// let request = RequestFingerprint::new(&team, &[b"bad"]);
    /// let mut attribution = CrashAttribution::default();
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(1));
    /// assert_eq!(attribution.next_try_at(&request), None);
    /// attribution.record_crash(Timestamp(0), request, EngineIncarnation(2));
    /// assert_eq!(attribution.next_try_at(&request), Some(Timestamp(0) + UNCERTAIN_SPACING));
    /// ```
    pub fn next_try_at(&self, request: &RequestFingerprint) -> Option<Timestamp> {
        if !self.is_likely_cause(request) {
            return None;
        }
        let reported = self.crashes_of(request).map(|crash| crash.reported_at);
        let last = reported.chain(self.tried_at.get(request).copied()).max()?;
        Some(last + UNCERTAIN_SPACING)
    }

    fn crashes_of(&self, request: &RequestFingerprint) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| crash.suspects().any(|r| r == request))
    }

    fn count(&self, request: &RequestFingerprint) -> usize {
        self.counts.get(request).copied().unwrap_or(0)
    }
}

fn uncount(counts: &mut HashMap<RequestFingerprint, usize>, request: &RequestFingerprint) {
    let Some(count) = counts.get_mut(request) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(request);
    }
}
