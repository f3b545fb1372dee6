//! Validation of a whole configuration, including references between objects.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use dogwoodway_types::{ClassName, Configuration, KeyHash, ObjectId, ObjectKind, TeamName};
use serde::{Deserialize, Serialize};

/// Traffic class of chat requests that name none. Selectors may refer to it even if it is not
/// configured.
const DEFAULT_CLASS: &str = "default";

/// Reserved label that is set in a VM's settings only.
const ZONE_LABEL: &str = "zone";

/// An error or a warning about one field of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Diagnostic {
    /// Object that the diagnostic is about.
    pub object: ObjectId,
    /// Name of the field.
    pub field: String,
    /// Description of the problem.
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

/// Returns all errors of a configuration; it is valid if there are none.
///
/// The messages become part of verdicts, which every node derives from the log by itself and stores
/// in snapshots. Do not reword them: nodes of different releases must agree on a verdict.
///
/// ```
/// use dogwoodway_control::config_errors;
/// use dogwoodway_types::Configuration;
///
/// assert!(config_errors(&Configuration::default()).is_empty());
/// ```
pub fn config_errors(cfg: &Configuration) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_teams(cfg, &mut diagnostics);
    check_classes(cfg, &mut diagnostics);
    check_labels(cfg, &mut diagnostics);
    check_selectors(cfg, &mut diagnostics);
    diagnostics
}

/// Returns warnings about what is valid but probably not intended, such as a selector that no
/// labelled backend server satisfies.
///
/// Labels from the settings of agents are not known here. A selector that relies on them alone is
/// reported too, if any backend server has published labels.
pub fn config_warnings(cfg: &Configuration) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    if cfg.selectors.is_empty() && !cfg.teams.is_empty() {
        for team in cfg.teams.keys() {
            let message =
                "there is no selector, so requests of the team match no backend server".to_owned();
            diagnostics.push(Diagnostic::new(id(ObjectKind::Team, team.as_str()), "name", message));
        }
    }
    for selector in cfg.selectors.values() {
        let object = id(ObjectKind::Selector, selector.name.as_str());
        for (label, value) in selector.labels.iter().filter(|(label, _)| *label != ZONE_LABEL) {
            let carries_label = |l: &BTreeMap<String, String>| l.get(label) == Some(value);
            if !cfg.labels.is_empty() && !cfg.labels.values().any(|l| carries_label(&l.labels)) {
                let message = format!("no labelled backend server carries {label}={value}");
                diagnostics.push(Diagnostic::new(object.clone(), "labels", message));
            }
        }
        let carries_all = |l: &BTreeMap<String, String>| {
            selector.labels.iter().all(|(k, v)| k == ZONE_LABEL || l.get(k) == Some(v))
        };
        let unreported = diagnostics.iter().all(|diagnostic| diagnostic.object != object);
        if unreported
            && !cfg.labels.is_empty()
            && !cfg.labels.values().any(|l| carries_all(&l.labels))
        {
            let message =
                "no labelled backend server carries all labels of the selector".to_owned();
            diagnostics.push(Diagnostic::new(object, "labels", message));
        }
    }
    diagnostics
}

fn check_teams(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let mut owners: HashMap<&KeyHash, &TeamName> = HashMap::new();
    for team in cfg.teams.values() {
        let object = id(ObjectKind::Team, team.name.as_str());
        for key in &team.keys {
            if let Some(owner) = owners.insert(key, &team.name) {
                let message = format!("a key hash belongs to team {owner} already");
                diagnostics.push(Diagnostic::new(object.clone(), "keys", message));
            }
        }
    }
}

fn check_classes(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let mut owners: HashMap<&str, &ClassName> = HashMap::new();
    for class in cfg.classes.values() {
        let object = id(ObjectKind::Class, class.name.as_str());
        if class.answer_within_ms == 0 {
            let message = "0 is not allowed; expected at least 1".to_owned();
            diagnostics.push(Diagnostic::new(object.clone(), "answer_within_ms", message));
        }
        for path in &class.paths {
            if !path.starts_with('/') {
                let message = format!("{path:?} is not allowed; expected a path from / on");
                diagnostics.push(Diagnostic::new(object.clone(), "paths", message));
            }
            if let Some(owner) = owners.insert(path, &class.name) {
                let message = format!("{path:?} belongs to class {owner} already");
                diagnostics.push(Diagnostic::new(object.clone(), "paths", message));
            }
        }
    }
}

fn check_labels(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    for labels in cfg.labels.values() {
        if labels.labels.contains_key(ZONE_LABEL) {
            let object = id(ObjectKind::Labels, labels.name.as_str());
            let message = "the zone comes from the VM's settings and cannot be published";
            diagnostics.push(Diagnostic::new(object, "labels", message.to_owned()));
        }
    }
}

fn check_selectors(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    for selector in cfg.selectors.values() {
        let object = id(ObjectKind::Selector, selector.name.as_str());
        for team in selector.teams.iter().filter(|team| !cfg.teams.contains_key(*team)) {
            let message = format!("team {team} does not exist");
            diagnostics.push(Diagnostic::new(object.clone(), "teams", message));
        }
        let is_known =
            |class: &ClassName| class.as_str() == DEFAULT_CLASS || cfg.classes.contains_key(class);
        for class in selector.classes.iter().filter(|class| !is_known(class)) {
            let message = format!("class {class} does not exist");
            diagnostics.push(Diagnostic::new(object.clone(), "classes", message));
        }
        if selector.version.is_some() && selector.model.is_none() {
            let message = "a version needs a model".to_owned();
            diagnostics.push(Diagnostic::new(object.clone(), "version", message));
        }
    }
}

fn id(kind: ObjectKind, name: &str) -> ObjectId {
    ObjectId { kind, name: name.to_owned() }
}
