//! The audit trail: a bounded list of the latest changes and their verdicts.

use std::collections::{HashMap, VecDeque};

use dogwoodway_types::{ChangeId, LogOffset, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{BaseVersion, ConfigChange, Verdict};

/// Maximum number of changes in the trail.
const MAX_ENTRIES: usize = 512;

/// Maximum number of base versions, summed over all changes in the trail.
const MAX_BASES: usize = 8_192;

/// One evaluated change in the trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrailEntry {
    /// Packed position of the change.
    pub offset: LogOffset,
    /// Identifies the change.
    pub id: ChangeId,
    /// Name of the operator who published the change.
    pub author: String,
    /// Time of publishing by the author's clock.
    pub made_at: Timestamp,
    /// The edited objects and the versions that the change is based on.
    pub bases: Vec<BaseVersion>,
    /// Result of the evaluation.
    pub verdict: Verdict,
}

/// The latest changes with their verdicts; the oldest are evicted first.
///
/// A repeated record of an evicted change is evaluated again; if the change was accepted, it is now
/// stale.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<TrailEntry>", into = "Vec<TrailEntry>")]
pub struct AuditTrail {
    entries: VecDeque<TrailEntry>,
    by_id: HashMap<ChangeId, Verdict>,
    base_count: usize,
}

impl AuditTrail {
    /// Iterates over the changes, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &TrailEntry> {
        self.entries.iter()
    }

    /// Returns the verdict on a change, if the trail holds it.
    pub fn verdict(&self, id: &ChangeId) -> Option<&Verdict> {
        self.by_id.get(id)
    }

    /// Returns the author of the change at a packed position, if the trail holds it.
    pub fn author_at(&self, offset: LogOffset) -> Option<&str> {
        let i = self.entries.binary_search_by_key(&offset, |entry| entry.offset).ok()?;
        Some(&self.entries[i].author)
    }

    /// Appends a change whose position is after those of all others.
    pub(crate) fn push(&mut self, offset: LogOffset, change: &ConfigChange, verdict: Verdict) {
        self.push_entry(TrailEntry {
            offset,
            id: change.id.clone(),
            author: change.author.clone(),
            made_at: change.made_at,
            bases: change.bases.clone(),
            verdict,
        });
    }

    /// Adds the changes of another trail that this one lacks.
    pub(crate) fn merge(&mut self, other: &AuditTrail) {
        let mut entries: Vec<_> = self.entries.drain(..).collect();
        let missing = other.entries.iter().filter(|entry| !self.by_id.contains_key(&entry.id));
        entries.extend(missing.cloned());
        entries.sort_by(|a, b| (a.offset, &a.id).cmp(&(b.offset, &b.id)));
        *self = AuditTrail::from(entries);
    }

    fn push_entry(&mut self, entry: TrailEntry) {
        self.base_count += entry.bases.len();
        self.by_id.insert(entry.id.clone(), entry.verdict.clone());
        self.entries.push_back(entry);
        let exceeds_limits = |trail: &AuditTrail| {
            trail.entries.len() > MAX_ENTRIES
                || (trail.base_count > MAX_BASES && trail.entries.len() > 1)
        };
        while exceeds_limits(self) {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.base_count -= oldest.bases.len();
            self.by_id.remove(&oldest.id);
        }
    }
}

impl From<Vec<TrailEntry>> for AuditTrail {
    fn from(entries: Vec<TrailEntry>) -> AuditTrail {
        let mut trail = AuditTrail::default();
        entries.into_iter().for_each(|entry| trail.push_entry(entry));
        trail
    }
}

impl From<AuditTrail> for Vec<TrailEntry> {
    fn from(trail: AuditTrail) -> Vec<TrailEntry> {
        trail.entries.into()
    }
}
