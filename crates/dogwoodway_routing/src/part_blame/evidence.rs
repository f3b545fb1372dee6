//! Crashes of engines, and the series of crashes that count against one part.

use std::{cmp::Reverse, time::Duration};

use dogwoodway_types::{EngineIncarnation, RequestFingerprint, Timestamp};
use serde::{Deserialize, Serialize};

use crate::part_blame::PartKey;

/// Largest number of parts for which the answers of one crashed engine are kept.
const MAX_RUNS: usize = 96;

/// An answer that goes on for this many times as long as the longest that ended in a crash, and for
/// [`SURVIVAL_MARGIN`] more, is taken for a complete one.
const SURVIVAL_FACTOR: f64 = 1.5;

const SURVIVAL_MARGIN: Duration = Duration::from_millis(200);

/// Position of a whole request, which comes after all parts of its prompt.
const REQUEST_POSITION: u8 = u8::MAX;

/// Longest time that a request without an answer counts as running. Before that it may have been
/// queued, so that crashes which are further apart than this count one after the other.
const MAX_UNANSWERED_LEAD: Duration = Duration::from_millis(250);

/// A request whose prompt contains a part, and which an engine was answering or may have been running
/// when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRun {
    /// The part.
    pub part: PartKey,
    /// Position of the part in the prompt; 0 is the first. A whole request comes last.
    pub position: u8,
    /// Time from the beginning of the answer to the crash, see [`PartRun::lead`]. Of several answers,
    /// the one that began first counts: it would have crashed the engine before the others.
    pub lead: Duration,
}

impl PartRun {
    /// Returns for how long a request had been running when its engine crashed. An engine that fails
    /// while it reads the prompt never begins to answer, and a request that it reads looks like one that
    /// is queued: both count from when they were sent, for a short time at most.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_routing::part_blame::PartRun;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let [sent_at, answered_at, crashed_at] = [100, 5_000, 5_040].map(Timestamp::from_millis);
    /// let answered = PartRun::lead(crashed_at, sent_at, Some(answered_at));
    /// assert_eq!(answered, Duration::from_millis(40));
    /// assert!(PartRun::lead(crashed_at, sent_at, None) < Duration::from_secs(1));
    /// ```
    pub fn lead(
        crashed_at: Timestamp,
        sent_at: Timestamp,
        answer_started_at: Option<Timestamp>,
    ) -> Duration {
        match answer_started_at {
            Some(started_at) => crashed_at - started_at,
            None => (crashed_at - sent_at).min(MAX_UNANSWERED_LEAD),
        }
    }

    /// Returns the runs of a request: one for each shared part of its prompt, in order, and one for
    /// the whole request. A request without shared parts has none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_routing::part_blame::{PartKey, PartRun};
    /// use dogwoodway_types::{ModelName, RequestFingerprint, TeamName};
    ///
    /// let part = PartKey::new(&ModelName::try_from("m").unwrap(), None, "a");
    /// let request = RequestFingerprint::new(&TeamName::try_from("desk").unwrap(), &[b"question"]);
    /// assert_eq!(PartRun::of_request(&[part], request, Duration::ZERO).len(), 2);
    /// assert!(PartRun::of_request(&[], request, Duration::ZERO).is_empty());
    /// ```
    pub fn of_request(
        parts: &[PartKey],
        request: RequestFingerprint,
        lead: Duration,
    ) -> Vec<PartRun> {
        let whole = parts.first().map(|part| PartRun {
            part: part.of_request(request),
            position: REQUEST_POSITION,
            lead,
        });
        let parts = parts.iter().zip(0..REQUEST_POSITION);
        let parts = parts.map(|(part, position)| PartRun { part: *part, position, lead });
        parts.chain(whole).collect()
    }
}

/// A crash of one engine process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCrash {
    /// The process that crashed.
    pub engine: EngineIncarnation,
    /// When it crashed.
    pub crashed_at: Timestamp,
    /// Answers that it had begun, one for each part.
    pub runs: Vec<PartRun>,
}

impl EngineCrash {
    /// Returns the answer to a prompt with `part`, if there was one.
    pub(super) fn run_of(&self, part: PartKey) -> Option<PartRun> {
        self.runs.iter().find(|run| run.part == part).copied()
    }

    /// Returns the crash as it counts against the part of `run`.
    pub(super) fn counted(&self, index: usize, run: PartRun) -> CountedCrash {
        let started_at = self.crashed_at.earlier_by(run.lead);
        let (position, crashed_at) = (run.position, self.crashed_at);
        CountedCrash { index, position, started_at, crashed_at }
    }

    /// Returns the crash with the answers to prompts with one part only.
    pub(super) fn restricted_to(&self, part: PartKey) -> EngineCrash {
        let runs = self.run_of(part).into_iter().collect();
        EngineCrash { runs, ..self.clone() }
    }

    /// Adds another report of the same crash; returns whether it names further parts.
    pub fn merge(&mut self, other: &EngineCrash) -> bool {
        let known: Vec<_> = self.runs.iter().map(|run| run.part).collect();
        // A report that took longer to arrive makes the crash look later.
        self.crashed_at = self.crashed_at.min(other.crashed_at);
        for run in &other.runs {
            if let Some(known) = self.runs.iter_mut().find(|known| known.part == run.part) {
                known.lead = known.lead.max(run.lead);
                known.position = known.position.max(run.position);
            } else {
                self.runs.push(*run);
            }
        }
        // Whole requests go first, and then the later parts, in an order that all routers share.
        if self.runs.len() > MAX_RUNS {
            self.runs.sort_by_key(|run| (run.position, run.part));
            self.runs.truncate(MAX_RUNS);
        }
        self.runs.iter().any(|run| !known.contains(&run.part))
    }
}

/// A crash that counts against one part.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountedCrash {
    /// Index of the crash.
    pub(super) index: usize,
    pub(super) position: u8,
    /// When the answer to the prompt with the part began.
    pub(super) started_at: Timestamp,
    pub(super) crashed_at: Timestamp,
}

/// Returns how long an answer goes on before it counts as complete, if others ended in a crash after
/// `lead`.
pub(super) fn survival_after(lead: Duration) -> Duration {
    lead.mul_f64(SURVIVAL_FACTOR) + SURVIVAL_MARGIN
}

/// The longest series of crashes of one part in which all answers began after the crash before.
#[derive(Clone, Debug)]
pub(super) struct Series {
    pub(super) part: PartKey,
    position: u8,
    /// Indices of the crashes in the series, oldest first.
    pub(super) indices: Vec<usize>,
    /// Indices of all crashes that count against the part.
    pub(super) all_indices: Vec<usize>,
    pub(super) first_crash_at: Timestamp,
    pub(super) last_crash_at: Timestamp,
    /// Shortest and longest time from the beginning of an answer to any of the crashes.
    lead_range: (Duration, Duration),
}

impl Series {
    /// Chooses the series from all crashes that count against a part, in the order of time.
    pub(super) fn longest<I>(part: PartKey, crashes: I) -> Series
    where
        I: Iterator<Item = CountedCrash>,
    {
        let mut series = Series {
            part,
            position: 0,
            indices: Vec::new(),
            all_indices: Vec::new(),
            first_crash_at: Timestamp::default(),
            last_crash_at: Timestamp::default(),
            lead_range: (Duration::MAX, Duration::ZERO),
        };
        let mut previous_crash_at: Option<Timestamp> = None;
        for crash in crashes {
            if series.all_indices.is_empty() {
                (series.position, series.first_crash_at) = (crash.position, crash.crashed_at);
            }
            series.all_indices.push(crash.index);
            let (shortest, longest) = series.lead_range;
            let lead = crash.crashed_at - crash.started_at;
            series.lead_range = (shortest.min(lead), longest.max(lead));
            series.last_crash_at = crash.crashed_at;
            if previous_crash_at.is_none_or(|previous| crash.started_at > previous) {
                series.indices.push(crash.index);
                previous_crash_at = Some(crash.crashed_at);
            }
        }
        series
    }

    /// Returns the longest time from the beginning of an answer to any of the crashes.
    pub(super) fn longest_lead(&self) -> Duration {
        self.lead_range.1
    }

    /// Returns whether no answer had gone on for clearly longer than the shortest one when its engine
    /// crashed. Engines that crash for other reasons end answers of any age.
    pub(super) fn has_similar_leads(&self) -> bool {
        let (shortest, longest) = self.lead_range;
        longest <= survival_after(shortest)
    }

    /// Returns how well the part explains crashes, for comparison. Of two parts that always occur
    /// together the later one is blamed, which refuses fewer requests.
    pub(super) fn strength(&self) -> (usize, u8, Reverse<PartKey>) {
        // Runs that overlap shorten the series of a cause more than that of what accompanies it now and
        // then; what is popular was in crashes of other causes as well.
        let crashes = 2 * self.indices.len() + self.all_indices.len();
        (crashes, self.position, Reverse(self.part))
    }
}
