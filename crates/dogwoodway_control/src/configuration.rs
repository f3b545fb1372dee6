//! The configuration as a function of the log.

use std::collections::BTreeMap;

use dogwoodway_types::{
    ChangeId, ConfigEdit, Configuration, LogOffset, ObjectId, ObjectKind, Timestamp,
};
use serde::{Deserialize, Serialize};

/// The version of one object that a change was made against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// The object.
    pub object: ObjectId,
    /// Offset of the change that wrote the version, 0 if the object did not exist.
    pub version: LogOffset,
}

/// A change of the configuration, as published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Identifies the change; a second append of the same change has no effect.
    pub id: ChangeId,
    /// Who made it.
    pub author: String,
    /// When it was made, by the author's clock.
    pub made_at: Timestamp,
    /// Versions of all objects that it touches.
    pub bases: Vec<Base>,
    /// The edits, applied together or not at all.
    pub edits: Vec<ConfigEdit>,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// A change to be judged.
    Change(ConfigChange),
}

/// The verdict on a change, the same at every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from this offset on.
    Accepted {
        /// Offset of the change.
        offset: LogOffset,
    },
    /// Another change touched the same object first.
    Stale {
        /// The object.
        object: ObjectId,
        /// Offset of the other change.
        changed_at: LogOffset,
    },
    /// The change is invalid in itself.
    Invalid {
        /// The object at fault.
        object: ObjectId,
        /// What is wrong.
        message: String,
    },
}

/// The configuration and all that is needed to judge the next change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Offset of the last record applied.
    pub applied: LogOffset,
    /// Offset of the change that wrote each object last, removals included.
    pub versions: Vec<Base>,
    /// Verdicts by change.
    pub verdicts: BTreeMap<ChangeId, Verdict>,
}

impl ConfigState {
    /// Applies the record at `offset` and returns the verdict on it.
    ///
    /// Records at or below [`ConfigState::applied`] are ignored. A repeated change has the verdict
    /// of its first append.
    pub fn apply(&mut self, offset: LogOffset, record: &ConfigRecord) -> Option<Verdict> {
        if offset <= self.applied {
            return None;
        }
        self.applied = offset;
        let ConfigRecord::Change(change) = record;
        if let Some(verdict) = self.verdicts.get(&change.id) {
            return Some(verdict.clone());
        }
        let verdict = self.judge(offset, change);
        if matches!(verdict, Verdict::Accepted { .. }) {
            change.edits.iter().for_each(|edit| self.edit(offset, edit));
            self.configuration.offset = offset;
        }
        self.verdicts.insert(change.id.clone(), verdict.clone());
        Some(verdict)
    }

    /// Returns the offset of the change that wrote an object last, 0 if there was none.
    pub fn version_of(&self, object: &ObjectId) -> LogOffset {
        let base = self.versions.iter().find(|base| base.object == *object);
        base.map_or(LogOffset(0), |base| base.version)
    }

    fn judge(&self, offset: LogOffset, change: &ConfigChange) -> Verdict {
        for edit in &change.edits {
            let object = edit.object();
            let Some(base) = change.bases.iter().find(|base| base.object == object) else {
                let message = "the change names no base version for the object".to_owned();
                return Verdict::Invalid { object, message };
            };
            let changed_at = self.version_of(&object);
            if base.version != changed_at {
                return Verdict::Stale { object, changed_at };
            }
        }
        Verdict::Accepted { offset }
    }

    fn edit(&mut self, offset: LogOffset, edit: &ConfigEdit) {
        let object = edit.object();
        let cfg = &mut self.configuration;
        match edit.clone() {
            ConfigEdit::Team(team) => drop(cfg.teams.insert(team.name.clone(), team)),
            ConfigEdit::Class(class) => drop(cfg.classes.insert(class.name.clone(), class)),
            ConfigEdit::Labels(labels) => drop(cfg.labels.insert(labels.name.clone(), labels)),
            ConfigEdit::Selector(sel) => drop(cfg.selectors.insert(sel.name.clone(), sel)),
            ConfigEdit::Remove(object) => remove(cfg, &object),
        }
        self.versions.retain(|base| base.object != object);
        self.versions.push(Base { object, version: offset });
    }
}

fn remove(cfg: &mut Configuration, object: &ObjectId) {
    let name = object.name.as_str();
    match object.kind {
        ObjectKind::Team => cfg.teams.retain(|key, _| key.as_str() != name),
        ObjectKind::Class => cfg.classes.retain(|key, _| key.as_str() != name),
        ObjectKind::Labels => cfg.labels.retain(|key, _| key.as_str() != name),
        ObjectKind::Selector => cfg.selectors.retain(|key, _| key.as_str() != name),
    }
}
