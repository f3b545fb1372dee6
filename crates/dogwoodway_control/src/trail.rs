//! The bounded audit trail of changes.

use std::collections::{HashMap, VecDeque};

use dogwoodway_types::{ChangeId, LogOffset, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{BaseVersion, ConfigChange, Verdict};

/// Most changes that the trail holds.
const MAX_ENTRIES: usize = 512;

/// Most base versions that all changes of the trail name together.
const MAX_BASES: usize = 8_192;

/// One change in the trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrailEntry {
    /// Position at which the change was judged.
    pub offset: LogOffset,
    /// The change.
    pub id: ChangeId,
    /// Who made it.
    pub author: String,
    /// When it was made, by the author's clock.
    pub made_at: Timestamp,
    /// The objects that it touches and the versions it was made against.
    pub bases: Vec<BaseVersion>,
    /// The verdict.
    pub verdict: Verdict,
}

/// The newest changes with their verdicts; the oldest are forgotten first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<TrailEntry>", into = "Vec<TrailEntry>")]
pub struct AuditTrail {
    entries: VecDeque<TrailEntry>,
    by_id: HashMap<ChangeId, Verdict>,
    bases: usize,
}

impl AuditTrail {
    /// Returns the changes, the oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &TrailEntry> {
        self.entries.iter()
    }

    /// Returns the verdict on a change, if the trail holds it.
    pub fn verdict(&self, id: &ChangeId) -> Option<&Verdict> {
        self.by_id.get(id)
    }

    /// Returns the author of the change at a position, if the trail holds it.
    pub fn author_at(&self, offset: LogOffset) -> Option<&str> {
        let i = self.entries.binary_search_by_key(&offset, |entry| entry.offset).ok()?;
        Some(&self.entries[i].author)
    }

    /// Adds a change that was judged after all others.
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
    pub(crate) fn join(&mut self, other: &AuditTrail) {
        let mut all: Vec<_> = self.entries.drain(..).collect();
        let unseen = other.entries.iter().filter(|entry| !self.by_id.contains_key(&entry.id));
        all.extend(unseen.cloned());
        all.sort_by(|a, b| (a.offset, &a.id).cmp(&(b.offset, &b.id)));
        *self = AuditTrail::from(all);
    }

    fn push_entry(&mut self, entry: TrailEntry) {
        self.bases += entry.bases.len();
        self.by_id.insert(entry.id.clone(), entry.verdict.clone());
        self.entries.push_back(entry);
        let is_over = |trail: &AuditTrail| {
            trail.entries.len() > MAX_ENTRIES
                || (trail.bases > MAX_BASES && trail.entries.len() > 1)
        };
        while is_over(self) {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bases -= oldest.bases.len();
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
