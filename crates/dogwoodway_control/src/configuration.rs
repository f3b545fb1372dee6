//! The configuration, computed from the records of the configuration stream.

use std::collections::{BTreeMap, HashSet};

use dogwoodway_types::{ConfigEdit, Configuration, LogOffset, ObjectId, ObjectKind};

use crate::{
    AuditTrail, BaseVersion, ConfigChange, ConfigRecord, Diagnostic, Position, Snapshot,
    SnapshotKind, SnapshotPart, Verdict, validate,
};

/// The configuration and all state needed to evaluate the next change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Packed [`Position`] of the last applied record.
    pub applied: LogOffset,
    /// Whether a restore or rebase snapshot was applied. Changes before the first one are invalid,
    /// because a log that was lost looks like a new one until its state is restored.
    pub initialized: bool,
    /// The latest changes with their verdicts.
    pub trail: AuditTrail,
    /// Packed position of the change that wrote each object last, removals included.
    pub(crate) versions: BTreeMap<ObjectId, LogOffset>,
    /// Parts read so far of a snapshot that is not complete.
    pub(crate) partial_snapshot: Vec<SnapshotPart>,
}

impl ConfigState {
    /// Returns the initial state of a new deployment: initialized, with an empty configuration.
    ///
    /// ```
    /// assert!(dogwoodway_control::ConfigState::new_deployment().initialized);
    /// ```
    pub fn new_deployment() -> ConfigState {
        ConfigState { initialized: true, ..ConfigState::default() }
    }

    /// Applies the record at an offset of the log, and returns the verdict if it is a change.
    ///
    /// Records at or before [`ConfigState::applied`] are ignored. A repeated change gets the
    /// verdict of its first record.
    pub fn apply(&mut self, offset: LogOffset, record: &ConfigRecord) -> Option<Verdict> {
        let at = Position { offset, ..self.position() };
        if at <= self.position() {
            return None;
        }
        self.applied = at.pack();
        match record {
            ConfigRecord::Change(change) => {
                self.partial_snapshot.clear();
                Some(self.apply_change(change))
            }
            ConfigRecord::Snapshot(part) => {
                match self.assemble_snapshot(part) {
                    Some((state, part)) if part.kind == SnapshotKind::Rebase => {
                        *self = state.rebased(part.epoch, offset);
                    }
                    Some((state, part)) => self.merge(&state, &part),
                    None => {}
                }
                None
            }
        }
    }

    /// Skips a record that cannot be decoded; every reader skips it.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = Position { offset, ..self.position() }.pack().max(self.applied);
        self.partial_snapshot.clear();
    }

    /// Returns the position of the last applied record.
    pub fn position(&self) -> Position {
        Position::unpack(self.applied)
    }

    /// Returns the packed position of the change that wrote an object last, 0 if there was none.
    pub fn version_of(&self, object: &ObjectId) -> LogOffset {
        self.versions.get(object).copied().unwrap_or_default()
    }

    /// Iterates over all objects, removed ones included, with the packed positions of the changes
    /// that wrote them last.
    pub fn versions(&self) -> impl Iterator<Item = (ObjectId, LogOffset)> {
        self.versions.iter().map(|(object, version)| (object.clone(), *version))
    }

    /// Returns whether this state has every object of another state in the same or a later version.
    pub fn includes(&self, other: &ConfigState) -> bool {
        other.versions.iter().all(|(object, version)| self.version_of(object) >= *version)
    }

    /// Returns this state moved to another log position, which also becomes the offset of its
    /// configuration.
    pub fn rebased(&self, epoch: u32, offset: LogOffset) -> ConfigState {
        let applied = Position { epoch, offset }.pack();
        let mut state = ConfigState { applied, partial_snapshot: Vec::new(), ..self.clone() };
        state.configuration.offset = applied;
        state
    }

    /// Returns whether the last applied record is part of an incomplete snapshot.
    pub fn is_in_snapshot(&self) -> bool {
        !self.partial_snapshot.is_empty()
    }

    /// Returns the current versions of all edited objects, as the base of a change.
    pub fn base_versions(&self, edits: &[ConfigEdit]) -> Vec<BaseVersion> {
        let objects = edits.iter().map(ConfigEdit::object_id);
        objects.map(|object| BaseVersion { version: self.version_of(&object), object }).collect()
    }

    /// Returns the verdict that a change would get in this state, and the configuration after it.
    ///
    /// Errors that the configuration in force already has do not make a change invalid.
    pub fn evaluate(&self, change: &ConfigChange) -> (Verdict, Configuration) {
        let unchanged = || self.configuration.clone();
        if !self.initialized {
            let message = "the log holds no snapshot of an earlier state yet".to_owned();
            let diagnostics = change.edits.iter().take(1);
            let diagnostics =
                diagnostics.map(|edit| Diagnostic::new(edit.object_id(), "name", message.clone()));
            return (Verdict::Invalid { diagnostics: diagnostics.collect() }, unchanged());
        }
        let diagnostics = self.change_errors(change);
        if !diagnostics.is_empty() {
            return (Verdict::Invalid { diagnostics }, unchanged());
        }
        for base in &change.bases {
            let changed_at = self.version_of(&base.object);
            if base.version != changed_at {
                let changed_by = self.trail.author_at(changed_at).map(str::to_owned);
                let object = base.object.clone();
                return (Verdict::Stale { object, changed_at, changed_by }, unchanged());
            }
        }
        let mut after = self.configuration.clone();
        change.edits.iter().for_each(|edit| apply_edit(&mut after, edit));
        let mut diagnostics = validate::config_errors(&after);
        if !diagnostics.is_empty() {
            let before = validate::config_errors(&self.configuration);
            diagnostics.retain(|diagnostic| !before.contains(diagnostic));
        }
        if !diagnostics.is_empty() {
            return (Verdict::Invalid { diagnostics }, unchanged());
        }
        after.offset = self.applied;
        (Verdict::Accepted { offset: self.applied }, after)
    }

    fn apply_change(&mut self, change: &ConfigChange) -> Verdict {
        if let Some(verdict) = self.trail.verdict(&change.id) {
            return verdict.clone();
        }
        let (verdict, after) = self.evaluate(change);
        if matches!(verdict, Verdict::Accepted { .. }) {
            self.configuration = after;
            for edit in &change.edits {
                self.versions.insert(edit.object_id(), self.applied);
            }
        }
        self.trail.push(self.applied, change, verdict.clone());
        verdict
    }

    /// Returns the errors of the change itself, apart from the resulting configuration.
    fn change_errors(&self, change: &ConfigChange) -> Vec<Diagnostic> {
        let with_base: HashSet<_> = change.bases.iter().map(|base| &base.object).collect();
        let mut seen = HashSet::new();
        let mut diagnostics = Vec::new();
        for edit in &change.edits {
            let object = edit.object_id();
            let mut report = |message: &str| {
                diagnostics.push(Diagnostic::new(object.clone(), "name", message.to_owned()));
            };
            if !with_base.contains(&object) {
                report("the change names no base version for the object");
            }
            if !seen.insert(object.clone()) {
                report("the change edits the object twice");
            }
            if matches!(edit, ConfigEdit::Remove(_)) && !exists(&self.configuration, &object) {
                report("the object does not exist");
            }
        }
        diagnostics
    }

    /// Adds a part to the snapshot being read. If it is the last part, returns the decoded state
    /// and the part.
    fn assemble_snapshot(&mut self, part: &SnapshotPart) -> Option<(ConfigState, SnapshotPart)> {
        let is_next = part.part as usize == self.partial_snapshot.len()
            && self.partial_snapshot.last().is_none_or(|last| last.hash == part.hash);
        if !is_next {
            self.partial_snapshot.clear();
        }
        if part.part as usize != self.partial_snapshot.len() {
            return None;
        }
        self.partial_snapshot.push(part.clone());
        if part.part + 1 < part.parts {
            return None;
        }
        let state =
            Snapshot::from_parts(&std::mem::take(&mut self.partial_snapshot)).state().ok()?;
        Some((state, part.clone()))
    }

    /// Copies the objects that have a later version in the state of a snapshot, removals included.
    fn merge(&mut self, other: &ConfigState, part: &SnapshotPart) {
        let at = self.position();
        let epoch = at.epoch.max(part.epoch).max(other.position().epoch);
        self.applied = Position { epoch, offset: at.offset }.pack();
        let mut changed = part.kind != SnapshotKind::Refresh;
        for (object, version) in &other.versions {
            if *version > self.version_of(object) {
                copy_object(&mut self.configuration, &other.configuration, object);
                self.versions.insert(object.clone(), *version);
                changed = true;
            }
        }
        self.initialized |= other.initialized && part.kind != SnapshotKind::Refresh;
        self.trail.merge(&other.trail);
        if changed {
            self.configuration.offset = self.applied;
        }
    }
}

fn exists(cfg: &Configuration, object: &ObjectId) -> bool {
    let name = object.name.as_str();
    match object.kind {
        ObjectKind::Team => find(&cfg.teams, name).is_some(),
        ObjectKind::Class => find(&cfg.classes, name).is_some(),
        ObjectKind::Labels => find(&cfg.labels, name).is_some(),
        ObjectKind::Selector => find(&cfg.selectors, name).is_some(),
    }
}

fn apply_edit(cfg: &mut Configuration, edit: &ConfigEdit) {
    match edit.clone() {
        ConfigEdit::Team(team) => drop(cfg.teams.insert(team.name.clone(), team)),
        ConfigEdit::Class(class) => drop(cfg.classes.insert(class.name.clone(), class)),
        ConfigEdit::Labels(labels) => drop(cfg.labels.insert(labels.name.clone(), labels)),
        ConfigEdit::Selector(sel) => drop(cfg.selectors.insert(sel.name.clone(), sel)),
        ConfigEdit::Remove(object) => copy_object(cfg, &Configuration::default(), &object),
    }
}

/// Copies an object from one configuration to another, or removes it if `from` does not have it.
fn copy_object(to: &mut Configuration, from: &Configuration, object: &ObjectId) {
    let name = object.name.as_str();
    match object.kind {
        ObjectKind::Team => copy_entry(&mut to.teams, &from.teams, name),
        ObjectKind::Class => copy_entry(&mut to.classes, &from.classes, name),
        ObjectKind::Labels => copy_entry(&mut to.labels, &from.labels, name),
        ObjectKind::Selector => copy_entry(&mut to.selectors, &from.selectors, name),
    }
}

fn copy_entry<K, V>(to: &mut BTreeMap<K, V>, from: &BTreeMap<K, V>, name: &str)
where
    K: Ord + for<'a> TryFrom<&'a str>,
    V: Clone,
{
    let Ok(key) = K::try_from(name) else { return };
    match from.get(&key) {
        Some(value) => drop(to.insert(key, value.clone())),
        None => drop(to.remove(&key)),
    }
}

fn find<'a, K, V>(map: &'a BTreeMap<K, V>, name: &str) -> Option<&'a V>
where
    K: Ord + for<'b> TryFrom<&'b str>,
{
    map.get(&K::try_from(name).ok()?)
}
