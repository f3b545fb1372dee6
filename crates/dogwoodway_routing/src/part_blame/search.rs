//! The search for the parts that explain crashes.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use dogwoodway_types::Timestamp;

use crate::part_blame::{
    BLAME_THRESHOLD, EVIDENCE_TTL, INITIAL_QUARANTINE, MAX_DOUBLINGS, MAX_QUARANTINED, PartBlame,
    PartKey, PartNotice, QuarantinedPart, UNCONTRASTED_PAUSE,
    evidence::{CountedCrash, Series},
};

/// Unexplained crashes of engines without a part for which one further crash is needed to blame it.
const OTHERS_PER_FURTHER_CRASH: usize = 2;

/// Largest number of further crashes. With several causes, most crashes are without each of them.
const MAX_FURTHER_CRASHES: usize = 3;

/// Crashes, one after the other or not, from which on a part whose runs all ended after similar times is
/// refused, however many engines crashed without it. Without a complete answer so many are hardly chance.
const MAX_CRASHES_BEFORE_BLAME: usize = 5;

/// Least crashes one after the other from which on such a part is refused: a zone may have been lost at
/// one moment.
const MIN_DANGEROUS_SERIES: usize = 2;

/// Time before the first crash of a part from which on crashes without it count.
const BACKGROUND_PERIOD: Duration = Duration::from_secs(10);

/// Answers to prompts without a part that must have completed before it is blamed.
const MIN_CONTRAST: usize = 2;

/// Time after a crash within which the reports of all routers arrive: one router alone may not have
/// the answers that had gone on for long. With more recent crashes, one more is needed for blame.
const REPORT_PERIOD: Duration = Duration::from_millis(150);

/// Crashes up to which each change is evaluated at once.
const FEW_CRASHES: usize = 16;

/// Least time between two evaluations for each crash, if there are more.
const EVALUATION_INTERVAL_PER_CRASH: Duration = Duration::from_millis(2);

/// Crashes in series from which on a request with the part is not sent again after it was lost.
const NO_RETRY_THRESHOLD: usize = 2;

impl PartBlame {
    /// Decides from the evidence which parts are blamed.
    pub(super) fn evaluate(&mut self, now: Timestamp) {
        let is_due = now >= self.evaluated_at + self.evaluation_interval();
        if !is_due || (!self.is_outdated && now < self.next_evaluation_at) {
            return;
        }
        (self.is_outdated, self.evaluated_at) = (false, now);
        self.crashes.retain(|crash| now - crash.crashed_at < EVIDENCE_TTL);
        let due_times = self.crashes.iter().map(|crash| crash.crashed_at + REPORT_PERIOD);
        self.next_evaluation_at =
            due_times.filter(|due| *due > now).min().unwrap_or(Timestamp::MAX);
        // Only these can be blamed or suspected.
        let mut counted = self.counted_crashes();
        counted.retain(|_, crashes| crashes.len() >= NO_RETRY_THRESHOLD);
        let mut explained = HashSet::new();
        let mut blamed = Vec::new();
        while blamed.len() < MAX_QUARANTINED {
            let Some((series, has_contrast)) = self.strongest(now, &counted, &explained) else {
                break;
            };
            explained.extend(series.all_indices.iter().copied());
            blamed.push(quarantine(&series, has_contrast));
        }
        self.awaits_contrast = blamed.iter().any(|blamed| !blamed.has_contrast);
        self.suspects.clear();
        while self.suspects.len() < MAX_QUARANTINED {
            let series = counted.keys().map(|part| series_of(&counted, *part, &explained));
            let weak = series.filter(|series| series.indices.len() >= NO_RETRY_THRESHOLD);
            let Some(series) = weak.max_by_key(Series::strength) else { break };
            explained.extend(series.all_indices.iter().copied());
            self.suspects.insert(series.part);
        }
        self.trials.retain(|_, trial| now - trial.tried_at < EVIDENCE_TTL);
        self.contrasted.retain(|part| self.crashes.iter().any(|c| c.run_of(*part).is_some()));
        for QuarantinedPart { part, .. } in blamed.iter().filter(|blamed| blamed.has_contrast) {
            // The other routers may not have seen the contrast.
            if self.contrasted.insert(*part)
                && let Some(last) = counted.get(part).and_then(|crashes| crashes.last())
            {
                let crash = self.crashes[last.index].restricted_to(*part);
                self.outgoing.push_back(PartNotice::Crashed { crash, contrasted: vec![*part] });
            }
        }
        self.blamed = blamed;
    }

    /// Returns the least time between two evaluations, which take longer the more crashes there are.
    fn evaluation_interval(&self) -> Duration {
        match self.crashes.len() {
            0..=FEW_CRASHES => Duration::ZERO,
            many => EVALUATION_INTERVAL_PER_CRASH * many as u32,
        }
    }

    /// Returns the part that explains most of the crashes left, if it can be blamed, and whether there is
    /// a contrast. Parts with one come first.
    fn strongest(
        &self,
        now: Timestamp,
        counted: &HashMap<PartKey, Vec<CountedCrash>>,
        explained: &HashSet<usize>,
    ) -> Option<(Series, bool)> {
        let series = counted.keys().map(|part| series_of(counted, *part, explained));
        let strong = series.filter(|series| {
            if series.is_dangerous() {
                return true;
            }
            let is_reported = |i: &&usize| now - self.crashes[**i].crashed_at >= REPORT_PERIOD;
            let reported = series.indices.iter().filter(is_reported).count();
            let threshold = self.threshold(series, explained);
            reported >= threshold || series.indices.len() > threshold
        });
        let with_contrast = strong.map(|series| {
            let has_contrast = self.has_contrast(&series);
            (series, has_contrast)
        });
        with_contrast.max_by_key(|(series, has_contrast)| (*has_contrast, series.strength()))
    }

    /// Returns the crashes in series from which on a part is blamed: the more engines crashed without
    /// it meanwhile and shortly before, the likelier it is that the part was there by chance.
    fn threshold(&self, series: &Series, explained: &HashSet<usize>) -> usize {
        // Later crashes do not count: a part that is refused cannot be in them.
        let from = series.first_crash_at.earlier_by(BACKGROUND_PERIOD);
        let period = from..=series.last_crash_at;
        let others = self.crashes.iter().enumerate().filter(|(i, crash)| {
            period.contains(&crash.crashed_at)
                && !explained.contains(i)
                && crash.run_of(series.part).is_none()
        });
        let further = others.count() / OTHERS_PER_FURTHER_CRASH;
        BLAME_THRESHOLD + further.min(MAX_FURTHER_CRASHES)
    }

    /// Returns for each part the crashes that no complete answer refutes, in the order of time.
    pub(super) fn counted_crashes(&self) -> HashMap<PartKey, Vec<CountedCrash>> {
        let mut counted: HashMap<PartKey, Vec<CountedCrash>> = HashMap::new();
        let mut indices: Vec<_> = (0..self.crashes.len()).collect();
        indices.sort_by_key(|i| self.crashes[*i].crashed_at);
        for index in indices {
            let crash = &self.crashes[index];
            for run in &crash.runs {
                let answered_at = self.answered.get(&run.part).copied().unwrap_or_default();
                if crash.crashed_at > answered_at {
                    counted.entry(run.part).or_default().push(crash.counted(index, *run));
                }
            }
        }
        counted
    }

    /// Returns the crashes that count against one part, in the order of time.
    pub(super) fn counted_crashes_of(&self, part: PartKey) -> Vec<CountedCrash> {
        let answered_at = self.answered.get(&part).copied().unwrap_or_default();
        let crashes = self.crashes.iter().enumerate();
        let counted = crashes.filter(|(_, crash)| crash.crashed_at > answered_at);
        let counted = counted.filter_map(|(i, crash)| Some(crash.counted(i, crash.run_of(part)?)));
        let mut counted: Vec<_> = counted.collect();
        counted.sort_by_key(|crash| crash.crashed_at);
        counted
    }

    /// Returns whether prompts without the part were answered after its first crash.
    fn has_contrast(&self, series: &Series) -> bool {
        if self.contrasted.contains(&series.part) {
            return true;
        }
        let others = self.recent_answers.iter().filter(|(started_at, parts)| {
            *started_at > series.first_crash_at
                && parts.iter().any(|part| part.model == series.part.model)
                && !parts.contains(&series.part)
        });
        others.count() >= MIN_CONTRAST
    }
}

/// Returns the series of crashes that count against a part and have no other explanation.
pub(super) fn series_of(
    counted: &HashMap<PartKey, Vec<CountedCrash>>,
    part: PartKey,
    explained: &HashSet<usize>,
) -> Series {
    let crashes = counted.get(&part).map_or(&[][..], Vec::as_slice);
    Series::longest(part, crashes.iter().filter(|crash| !explained.contains(&crash.index)).copied())
}

impl Series {
    /// Returns whether the part is refused whatever else crashes.
    fn is_dangerous(&self) -> bool {
        self.all_indices.len() >= MAX_CRASHES_BEFORE_BLAME
            && self.indices.len() >= MIN_DANGEROUS_SERIES
            && self.has_similar_leads()
    }
}

fn quarantine(series: &Series, has_contrast: bool) -> QuarantinedPart {
    let (part, crashes) = (series.part, series.indices.len());
    if !has_contrast {
        let until = series.last_crash_at + UNCONTRASTED_PAUSE;
        return QuarantinedPart { part, crashes, until, has_contrast };
    }
    let doublings = crashes.saturating_sub(BLAME_THRESHOLD).min(MAX_DOUBLINGS) as u32;
    let until = series.last_crash_at + INITIAL_QUARANTINE * (1 << doublings);
    QuarantinedPart { part, crashes, until, has_contrast }
}
