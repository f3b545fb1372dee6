//! Checks of a whole configuration, references included.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use dogwoodway_types::{ClassName, Configuration, KeyHash, ObjectId, ObjectKind, TeamName};
use serde::{Deserialize, Serialize};

/// Class of chat requests that name none; selectors may name it without its being configured.
const DEFAULT_CLASS: &str = "default";

/// Label that comes from a VM's settings only.
const ZONE_LABEL: &str = "zone";

/// One thing that is wrong with a configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Diagnostic {
    /// The object.
    pub object: ObjectId,
    /// The field of the object.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl Diagnostic {
    pub(crate) fn new(object: ObjectId, field: &str, message: String) -> Diagnostic {
        Diagnostic { object, field: field.to_owned(), message }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}

/// Returns all faults of a configuration.
///
/// ```
/// use dogwoodway_control::config_errors;
/// use dogwoodway_types::Configuration;
///
/// assert!(config_errors(&Configuration::default()).is_empty());
/// ```
pub fn config_errors(cfg: &Configuration) -> Vec<Diagnostic> {
    let mut found = Vec::new();
    check_teams(cfg, &mut found);
    check_classs(cfg, &mut found);
    check_labels(cfg, &mut found);
    check_selectors(cfg, &mut found);
    found
}

/// Returns what is allowed but probably not meant, such as a selector that no labelled backend
/// server satisfies.
///
/// Labels from the settings of agents are not known here; a selector that rests on them alone is
/// reported too if any backend server has published labels.
pub fn config_warnings(cfg: &Configuration) -> Vec<Diagnostic> {
    let mut found = Vec::new();
    if cfg.selectors.is_empty() && !cfg.teams.is_empty() {
        for team in cfg.teams.keys() {
            let message = "no selector lets its requests go anywhere".to_owned();
            found.push(Diagnostic::new(id(ObjectKind::Team, team.as_str()), "name", message));
        }
    }
    for selector in cfg.selectors.values() {
        let object = id(ObjectKind::Selector, selector.name.as_str());
        for (label, value) in selector.labels.iter().filter(|(label, _)| *label != ZONE_LABEL) {
            let carried = |l: &BTreeMap<String, String>| l.get(label) == Some(value);
            if !cfg.labels.is_empty() && !cfg.labels.values().any(|l| carried(&l.labels)) {
                let message = format!("no labelled backend server carries {label}={value}");
                found.push(Diagnostic::new(object.clone(), "labels", message));
            }
        }
        let all = |l: &BTreeMap<String, String>| {
            selector.labels.iter().all(|(k, v)| k == ZONE_LABEL || l.get(k) == Some(v))
        };
        let is_new = found.iter().all(|diagnostic| diagnostic.object != object);
        if is_new && !cfg.labels.is_empty() && !cfg.labels.values().any(|l| all(&l.labels)) {
            let message = "no labelled backend server carries all of them".to_owned();
            found.push(Diagnostic::new(object, "labels", message));
        }
    }
    found
}

fn check_teams(cfg: &Configuration, found: &mut Vec<Diagnostic>) {
    let mut owners: HashMap<&KeyHash, &TeamName> = HashMap::new();
    for team in cfg.teams.values() {
        let object = id(ObjectKind::Team, team.name.as_str());
        for key in &team.keys {
            if let Some(owner) = owners.insert(key, &team.name) {
                let message = format!("a key hash belongs to team {owner} already");
                found.push(Diagnostic::new(object.clone(), "keys", message));
            }
        }
    }
}

fn check_classs(cfg: &Configuration, found: &mut Vec<Diagnostic>) {
    let mut owners: HashMap<&str, &ClassName> = HashMap::new();
    for class in cfg.classes.values() {
        let object = id(ObjectKind::Class, class.name.as_str());
        if class.answer_within_ms == 0 {
            let message = "0 is not allowed; expected at least 1".to_owned();
            found.push(Diagnostic::new(object.clone(), "answer_within_ms", message));
        }
        for path in &class.paths {
            if !path.starts_with('/') {
                let message = format!("{path:?} is not allowed; expected a path from / on");
                found.push(Diagnostic::new(object.clone(), "paths", message));
            }
            if let Some(owner) = owners.insert(path, &class.name) {
                let message = format!("{path:?} belongs to class {owner} already");
                found.push(Diagnostic::new(object.clone(), "paths", message));
            }
        }
    }
}

fn check_labels(cfg: &Configuration, found: &mut Vec<Diagnostic>) {
    for labels in cfg.labels.values() {
        if labels.labels.contains_key(ZONE_LABEL) {
            let object = id(ObjectKind::Labels, labels.name.as_str());
            let message = "the zone comes from the VM's settings and cannot be published";
            found.push(Diagnostic::new(object, "labels", message.to_owned()));
        }
    }
}

fn check_selectors(cfg: &Configuration, found: &mut Vec<Diagnostic>) {
    for selector in cfg.selectors.values() {
        let object = id(ObjectKind::Selector, selector.name.as_str());
        for team in selector.teams.iter().filter(|team| !cfg.teams.contains_key(*team)) {
            let message = format!("team {team} does not exist");
            found.push(Diagnostic::new(object.clone(), "teams", message));
        }
        let is_known =
            |class: &ClassName| class.as_str() == DEFAULT_CLASS || cfg.classes.contains_key(class);
        for class in selector.classes.iter().filter(|class| !is_known(class)) {
            let message = format!("class {class} does not exist");
            found.push(Diagnostic::new(object.clone(), "classes", message));
        }
        if selector.version.is_some() && selector.model.is_none() {
            let message = "a version needs a model".to_owned();
            found.push(Diagnostic::new(object.clone(), "version", message));
        }
    }
}

fn id(kind: ObjectKind, name: &str) -> ObjectId {
    ObjectId { kind, name: name.to_owned() }
}
