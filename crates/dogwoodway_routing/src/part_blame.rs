//! Blame of prompt parts for crashes of the engines that answer prompts with them.
//!
//! The load pattern behind this: a part that many requests share, such as a document, crashes each
//! engine that runs a prompt with it, while it reads the prompt or once it has begun to answer. The
//! requests differ in all else and arrive at every router, so counting crashes against whole requests
//! never stops them. Each crash also takes down a batch of sound requests, which may share other parts
//! with the cause.
//!
//! The evidence is counted against each shared part:
//!
//! - *A crash counts against the parts of all requests that the engine had and had not answered
//!   completely.* Nothing tells those that it was reading from those in its queue; the parts of the latter
//!   are cleared by answers elsewhere.
//! - *A complete answer refutes all crashes before it began*, wherever it ran. An answer that broke
//!   off, and an error, refute nothing. An answer that goes on for clearly longer than those that
//!   ended in crashes counts as complete: long answers could otherwise clear their parts only
//!   seconds after engines were lost.
//! - *Only crashes one after the other count*: a further crash counts against a part only if all its
//!   answers there began after the crash before. When many engines are lost at the same moment, every
//!   common part was on several of them, and that counts as one crash; and an answer that had gone on
//!   since before an earlier crash shows that its parts do not crash engines at once.
//! - *A crash is explained once.* The part with the longest series of crashes is blamed first; what
//!   it explains no longer counts against the parts that accompany it. A whole request counts like a
//!   part, so that a request that is sent again and again does not bring blame on what it shares.
//! - *There must be a contrast*: a part is blamed only if prompts without it, for the same model,
//!   were answered meanwhile. If nothing is answered, the cause may be elsewhere: then the part is tried by
//!   one request at a time, so that the engines that come back are left for the other requests.
//! - *Chance is considered*: while engines crash without the part as well, more crashes are needed, but
//!   not once the part has been in five, each after a similar time.
//!
//! A part with [`BLAME_THRESHOLD`] crashes in series is quarantined for [`INITIAL_QUARANTINE`], and
//! twice as long after each further crash. Then one request tries it again, which the other routers are
//! told; a complete answer clears it. The last part of a prompt is its own and is never blamed; see
//! [`quarantine`](crate::quarantine) for single requests.
//!
//! Routers exchange the evidence as [`PartNotice`]s. Each evaluates all of it, so that they come to
//! the same result, whatever the order in which it arrives.

mod evidence;
mod key;
mod notice;
mod progress;
mod search;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use dogwoodway_types::Timestamp;

pub use self::{
    evidence::{EngineCrash, PartRun},
    key::PartKey,
    notice::{AnsweredPart, PartNotice, TriedPart},
    progress::AnswerProgress,
};
use self::{
    evidence::{Series, survival_after},
    search::series_of,
};

/// Crashes in series from which on a part is quarantined, if no engine crashes without it.
pub const BLAME_THRESHOLD: usize = 3;

/// Duration of the first quarantine of a part; each further crash doubles it.
pub const INITIAL_QUARANTINE: Duration = Duration::from_secs(60);

/// Maximum number of times that the duration of a quarantine is doubled.
const MAX_DOUBLINGS: usize = 5;

/// Largest number of parts in quarantine, which bounds what wrong blame can refuse.
pub const MAX_QUARANTINED: usize = 8;

/// Time for which crashes are remembered.
const EVIDENCE_TTL: Duration = Duration::from_secs(3_600);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 128;

/// Largest number of parts whose complete answers are remembered.
const MAX_ANSWERED_PARTS: usize = 4_096;

/// Number of complete answers that are remembered as contrast.
const MAX_RECENT_ANSWERS: usize = 64;

/// Time for which an answer must have gone on to show that its prompt is answered, if it is not complete.
const CONTRAST_AFTER: Duration = Duration::from_secs(1);

/// Time between the trials of two routers. One that has started is known to the others by then.
const TRIAL_SPACING: Duration = Duration::from_millis(500);

/// Time after which a trial without a result is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last crash of a part without contrast until it is tried again. Answers to prompts
/// without it, if there are engines to give them, come within that time.
const UNCONTRASTED_PAUSE: Duration = Duration::from_secs(1);

/// As [`TRIAL_TIMEOUT`], for a part without contrast, which may be in all prompts.
const UNCONTRASTED_TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of notices that are queued for other routers.
const MAX_OUTGOING: usize = 256;

/// Whether a request with certain parts may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// The request may run.
    Clear,
    /// The request may run, but must not be sent again after it was lost.
    Suspect,
    /// The part is in quarantine, and this request may try it again if [`PartBlame::start_trial`] is
    /// called. It must not be sent again after it was lost.
    Trial(PartKey),
    /// The request must not run.
    Quarantined {
        /// The part that is blamed.
        part: PartKey,
        /// When the part is tried again.
        until: Timestamp,
    },
}

/// Evidence against a part that an answer has cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refutation {
    /// The part.
    pub part: PartKey,
    /// Crashes that no longer count against it.
    pub crashes: usize,
    /// When the answer began.
    pub started_at: Timestamp,
}

/// A part that is blamed for crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// Crashes one after the other.
    pub crashes: usize,
    /// When the quarantine ends.
    pub until: Timestamp,
    /// Whether prompts without the part were answered meanwhile. Otherwise the quarantine is short.
    pub has_contrast: bool,
}

/// A request that tries a part in quarantine.
#[derive(Clone, Copy, Debug)]
struct Trial {
    tried_at: Timestamp,
    /// When it counts as without a result.
    until: Timestamp,
    /// Trials before it that brought no result. Each doubles the time for the next one, since a silent
    /// engine takes long to be known.
    timeouts: u32,
    is_own: bool,
}

impl Trial {
    fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns whether a notice with this time is about the trial. Clocks are converted only roughly.
    fn is_of(&self, tried_at: Timestamp) -> bool {
        let apart = tried_at.max(self.tried_at) - tried_at.min(self.tried_at);
        apart < TRIAL_SPACING / 2
    }
}

/// Evidence of which parts crash engines, and the parts that are blamed.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::part_blame::{EngineCrash, PartBlame, PartKey, PartRun, PartStatus};
/// use dogwoodway_types::{EngineIncarnation, ModelName, Timestamp};
///
/// let model = ModelName::try_from("m").unwrap();
/// let [common, bad, good] = ["a", "b", "c"].map(|part| PartKey::new(&model, None, part));
/// let at = Timestamp::from_millis;
/// let lead = Duration::from_millis(30);
/// let mut blame = PartBlame::new(1, 1);
/// for n in 1..4 {
///     let runs = vec![
///         PartRun { part: common, position: 0, lead },
///         PartRun { part: bad, position: 1, lead },
///     ];
///     let engine = EngineIncarnation(n);
///     blame.record_crash(at(100 * n), EngineCrash { engine, crashed_at: at(100 * n), runs });
/// }
/// for _ in 0..3 {
///     blame.record_answer(at(400), &[common, good], at(350));
/// }
/// assert_eq!(blame.status(at(500), &[common, good]), PartStatus::Clear);
/// assert!(matches!(blame.status(at(500), &[common, bad]), PartStatus::Quarantined { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct PartBlame {
    /// Distinguishes this router from the others, so that their trials do not coincide.
    seed: u64,
    router_count: u32,
    /// Oldest first.
    crashes: Vec<EngineCrash>,
    /// When the last complete answer to a prompt with a part began.
    answered: HashMap<PartKey, Timestamp>,
    /// The last complete answers, oldest first: when each began, and its parts.
    recent_answers: VecDeque<(Timestamp, Vec<PartKey>)>,
    /// Parts for which some router has a contrast.
    contrasted: HashSet<PartKey>,
    /// Those with a contrast come first, of these the strongest.
    blamed: Vec<QuarantinedPart>,
    /// Parts from [`NO_RETRY_THRESHOLD`] on.
    suspects: HashSet<PartKey>,
    /// The last trial of each part, of this router or another one.
    trials: HashMap<PartKey, Trial>,
    /// Whether a blamed part has no contrast.
    awaits_contrast: bool,
    is_outdated: bool,
    /// When a crash begins to count for blame.
    next_evaluation_at: Timestamp,
    evaluated_at: Timestamp,
    outgoing: VecDeque<PartNotice>,
    /// Cleared evidence that was not taken yet.
    refutations: VecDeque<Refutation>,
}

impl PartBlame {
    /// Creates an empty table. `seed` differs from router to router.
    pub fn new(seed: u64, router_count: u32) -> PartBlame {
        PartBlame {
            seed,
            router_count,
            crashes: Vec::new(),
            answered: HashMap::new(),
            recent_answers: VecDeque::new(),
            contrasted: HashSet::new(),
            blamed: Vec::new(),
            suspects: HashSet::new(),
            trials: HashMap::new(),
            awaits_contrast: false,
            is_outdated: false,
            next_evaluation_at: Timestamp::MAX,
            evaluated_at: Timestamp::default(),
            outgoing: VecDeque::new(),
            refutations: VecDeque::new(),
        }
    }

    /// Sets the number of routers, this one included.
    pub fn set_router_count(&mut self, routers: u32) {
        self.router_count = routers.max(1);
    }

    /// Records a crash of an engine and the requests of this router that it had not answered. Repeated
    /// reports of one crash are merged.
    pub fn record_crash(&mut self, now: Timestamp, crash: EngineCrash) {
        if !crash.runs.is_empty() && self.merge_crash(now, &crash) {
            self.queue(PartNotice::Crashed { crash, contrasted: Vec::new() });
        }
    }

    /// Records a complete answer that began at `started_at`, to a prompt with these shared parts, or with
    /// the key of its model if it has none. The key of the whole request may be among them.
    pub fn record_answer(&mut self, now: Timestamp, parts: &[PartKey], started_at: Timestamp) {
        for part in parts {
            if self.refute(now, *part, started_at) {
                self.queue(PartNotice::Answered(AnsweredPart { part: *part, started_at }));
            }
        }
        self.add_contrast(parts, started_at);
    }

    /// Records that an answer that began at `started_at` was going on at `alive_at`, to a prompt with these
    /// shared parts. It refutes what a complete answer refutes, once it has gone on for clearly longer than
    /// any answer in the series of crashes of a part.
    pub fn record_progress(
        &mut self,
        alive_at: Timestamp,
        parts: &[PartKey],
        started_at: Timestamp,
    ) {
        if self.awaits_contrast && alive_at - started_at >= CONTRAST_AFTER {
            self.add_contrast(parts, started_at);
        }
        for part in parts {
            let counted = self.counted_crashes_of(*part);
            if !counted.iter().any(|crash| crash.crashed_at <= started_at) {
                continue;
            }
            let series = Series::longest(*part, counted.iter().copied());
            let survival = survival_after(series.longest_lead());
            if alive_at - started_at >= survival && self.refute(alive_at, *part, started_at) {
                self.queue(PartNotice::Answered(AnsweredPart { part: *part, started_at }));
            }
        }
    }

    /// Applies what another router reports. Its times are by this router's clock.
    pub fn apply(&mut self, now: Timestamp, notice: &PartNotice) {
        match notice {
            PartNotice::Crashed { crash, contrasted } => {
                for part in contrasted {
                    self.is_outdated |= self.contrasted.insert(*part);
                }
                self.merge_crash(now, crash);
                // The sender may not know that an answer has refuted the crash.
                for run in &crash.runs {
                    if let Some(started_at) = self.answered.get(&run.part).copied()
                        && started_at >= crash.crashed_at
                    {
                        let answered = AnsweredPart { part: run.part, started_at };
                        self.queue(PartNotice::Answered(answered));
                    }
                }
            }
            PartNotice::Answered(AnsweredPart { part, started_at }) => {
                self.refute(now, *part, *started_at);
            }
            PartNotice::Tried(TriedPart { part, tried_at }) => {
                self.record_trial(*part, *tried_at, false);
            }
            PartNotice::TrialCancelled(TriedPart { part, tried_at }) => {
                if self.trials.get(part).is_some_and(|trial| trial.is_of(*tried_at)) {
                    self.trials.remove(part);
                }
            }
        }
    }

    /// Returns whether a request with these shared parts may run now.
    pub fn status(&mut self, now: Timestamp, parts: &[PartKey]) -> PartStatus {
        self.evaluate(now);
        let blamed = self.blamed.iter().find(|blamed| parts.contains(&blamed.part));
        if let Some(QuarantinedPart { part, until, .. }) = blamed.copied() {
            let trial_at = until + self.trial_delay(part);
            let until = trial_at.max(self.trials.get(&part).map_or(trial_at, Trial::until));
            return match now < until {
                true => PartStatus::Quarantined { part, until },
                false => PartStatus::Trial(part),
            };
        }
        match parts.iter().any(|part| self.suspects.contains(part)) {
            true => PartStatus::Suspect,
            false => PartStatus::Clear,
        }
    }

    /// Starts the trial of a part. Later requests with it wait for the result, at all routers.
    pub fn start_trial(&mut self, now: Timestamp, part: PartKey) {
        self.record_trial(part, now, true);
        self.queue(PartNotice::Tried(TriedPart { part, tried_at: now }));
    }

    fn record_trial(&mut self, part: PartKey, tried_at: Timestamp, is_own: bool) {
        let blamed = self.blamed.iter().find(|blamed| blamed.part == part);
        let timeout = match blamed.is_some_and(|blamed| !blamed.has_contrast) {
            true => UNCONTRASTED_TRIAL_TIMEOUT,
            false => TRIAL_TIMEOUT,
        };
        let last = self.trials.get(&part).copied();
        if last.is_some_and(|last| last.is_of(tried_at) || tried_at < last.tried_at) {
            return;
        }
        let timeouts = last.map_or(0, |last| (last.timeouts + 1).min(MAX_DOUBLINGS as u32));
        let until = tried_at + timeout * (1 << timeouts);
        self.trials.insert(part, Trial { tried_at, until, timeouts, is_own });
    }

    /// Cancels this router's trial of a part, whose request was not sent.
    ///
    /// ```
    /// use dogwoodway_routing::part_blame::{PartBlame, PartKey, PartStatus};
    /// use dogwoodway_types::{ModelName, Timestamp};
    ///
    /// let part = PartKey::new(&ModelName::try_from("m").unwrap(), None, "a");
    /// let mut blame = PartBlame::new(1, 1);
    /// blame.start_trial(Timestamp::from_millis(1), part);
    /// blame.cancel_trial(part);
    /// assert_eq!(blame.status(Timestamp::from_millis(2), &[part]), PartStatus::Clear);
    /// ```
    pub fn cancel_trial(&mut self, part: PartKey) {
        let Some(trial) = self.trials.get(&part).copied().filter(|trial| trial.is_own) else {
            return;
        };
        self.trials.remove(&part);
        let tried_at = trial.tried_at;
        self.queue(PartNotice::TrialCancelled(TriedPart { part, tried_at }));
    }

    /// Returns the parts in quarantine, those in most crashes first.
    pub fn quarantined(&mut self, now: Timestamp) -> &[QuarantinedPart] {
        self.evaluate(now);
        &self.blamed[..self.contrasted_count()]
    }

    /// Returns the parts that are tried by one request at a time, since there is no contrast.
    pub fn held_back(&mut self, now: Timestamp) -> &[QuarantinedPart] {
        self.evaluate(now);
        &self.blamed[self.contrasted_count()..]
    }

    /// Returns the number of parts in quarantine. They come before those without contrast.
    fn contrasted_count(&self) -> usize {
        self.blamed.partition_point(|blamed| blamed.has_contrast)
    }

    /// Takes the notices for other routers. Each is to be sent several times, since some are lost.
    pub fn take_notices(&mut self) -> Vec<PartNotice> {
        self.outgoing.drain(..).collect()
    }

    /// Takes the evidence that answers have cleared since the last call.
    pub fn take_refutations(&mut self) -> Vec<Refutation> {
        self.refutations.drain(..).collect()
    }

    /// Returns the evidence against all blamed parts, for routers that have just started.
    pub fn summary(&mut self, now: Timestamp) -> Vec<PartNotice> {
        self.evaluate(now);
        let counted = self.counted_crashes();
        let mut notices = Vec::new();
        for QuarantinedPart { part, has_contrast, .. } in &self.blamed {
            let series = series_of(&counted, *part, &HashSet::new());
            let newest = |indices: &[usize]| {
                let newest = indices.iter().rev().take(BLAME_THRESHOLD + MAX_DOUBLINGS);
                newest.copied().collect::<Vec<_>>()
            };
            let mut indices = newest(&series.indices);
            // The decision may rest on crashes that overlap.
            indices.extend(newest(&series.all_indices));
            indices.sort_unstable();
            indices.dedup();
            let contrasted: Vec<_> = has_contrast.then_some(*part).into_iter().collect();
            notices.extend(indices.into_iter().map(|i| PartNotice::Crashed {
                crash: self.crashes[i].restricted_to(*part),
                contrasted: contrasted.clone(),
            }));
        }
        notices
    }

    /// Merges a report of a crash. Returns whether it added anything.
    fn merge_crash(&mut self, now: Timestamp, report: &EngineCrash) -> bool {
        let known = self.crashes.iter_mut().find(|crash| crash.engine == report.engine);
        let is_news = match known {
            Some(crash) => crash.merge(report),
            None => {
                self.make_room(now);
                let mut crash = EngineCrash { runs: Vec::new(), ..report.clone() };
                crash.merge(report);
                self.crashes.push(crash);
                true
            }
        };
        self.is_outdated |= is_news;
        is_news
    }

    /// Drops crashes that are too old, and otherwise the oldest that is not held against a part in
    /// quarantine, if there are too many.
    fn make_room(&mut self, now: Timestamp) {
        self.crashes.retain(|crash| now - crash.crashed_at < EVIDENCE_TTL);
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let is_needed = |crash: &EngineCrash| {
            self.blamed.iter().any(|blamed| crash.run_of(blamed.part).is_some())
        };
        let dropped = self.crashes.iter().position(|crash| !is_needed(crash)).unwrap_or(0);
        self.crashes.remove(dropped);
    }

    /// Records when a complete answer began. Returns whether it refutes any crash that counted
    /// against the part.
    fn refute(&mut self, now: Timestamp, part: PartKey, started_at: Timestamp) -> bool {
        let known = self.answered.get(&part).copied().unwrap_or_default();
        if started_at <= known {
            return false;
        }
        if self.answered.len() >= MAX_ANSWERED_PARTS && !self.answered.contains_key(&part) {
            self.forget_answers(now);
        }
        self.answered.insert(part, started_at);
        let refuted = self.crashes.iter().filter(|crash| {
            crash.crashed_at <= started_at
                && crash.crashed_at > known
                && crash.run_of(part).is_some()
        });
        let crashes = refuted.count();
        if crashes > 0 {
            if self.refutations.len() >= MAX_OUTGOING {
                self.refutations.pop_front();
            }
            self.refutations.push_back(Refutation { part, crashes, started_at });
            self.is_outdated = true;
            self.trials.remove(&part);
            self.contrasted.remove(&part);
        }
        crashes > 0
    }

    /// Forgets the older half of the complete answers.
    fn forget_answers(&mut self, now: Timestamp) {
        let mut ages: Vec<_> = self.answered.values().map(|started_at| now - *started_at).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_, started_at| now - *started_at < median);
    }

    /// Adds an answer that shows, once for each, that prompts with other parts are answered.
    fn add_contrast(&mut self, parts: &[PartKey], started_at: Timestamp) {
        let is_known =
            |(at, known): &(Timestamp, Vec<PartKey>)| *at == started_at && known == parts;
        if self.recent_answers.iter().any(is_known) {
            return;
        }
        if self.recent_answers.len() >= MAX_RECENT_ANSWERS {
            self.recent_answers.pop_front();
        }
        self.recent_answers.push_back((started_at, parts.to_vec()));
        self.is_outdated |= self.awaits_contrast;
    }

    fn queue(&mut self, notice: PartNotice) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.outgoing.pop_front();
        }
        self.outgoing.push_back(notice);
    }

    /// Returns how much later than others this router tries a part again.
    fn trial_delay(&self, part: PartKey) -> Duration {
        let draw = crate::rendezvous::mix(self.seed ^ part.part) % u64::from(self.router_count);
        TRIAL_SPACING * draw as u32
    }
}
