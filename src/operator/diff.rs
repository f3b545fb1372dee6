//! Diff between the configuration and the result of a change.

use dogwoodway_control::ConfigState;
use dogwoodway_types::{ConfigEdit, Configuration, ObjectId, ObjectKind};
use serde::Serialize;

/// Returns the removed and added YAML lines of each object that `edits` change.
pub(super) fn diff(state: &ConfigState, edits: &[ConfigEdit]) -> String {
    let mut text = String::new();
    for edit in edits {
        let object = edit.object_id();
        let before = object_lines(&state.configuration, &object);
        let after = match edit {
            ConfigEdit::Team(team) => yaml_lines(team),
            ConfigEdit::Class(class) => yaml_lines(class),
            ConfigEdit::Labels(labels) => yaml_lines(labels),
            ConfigEdit::Selector(selector) => yaml_lines(selector),
            ConfigEdit::Remove(_) => Vec::new(),
        };
        text.push_str(&format!("{object} (version {})\n", state.version_of(&object)));
        for line in before.iter().filter(|line| !after.contains(line)) {
            text.push_str(&format!("  - {line}\n"));
        }
        for line in after.iter().filter(|line| !before.contains(line)) {
            text.push_str(&format!("  + {line}\n"));
        }
    }
    text
}

/// Returns the YAML lines of an object, none if it does not exist.
fn object_lines(cfg: &Configuration, object: &ObjectId) -> Vec<String> {
    let name = object.name.as_str();
    match object.kind {
        ObjectKind::Team => cfg.teams.values().find(|t| t.name.as_str() == name).map(yaml_lines),
        ObjectKind::Class => cfg.classes.values().find(|c| c.name.as_str() == name).map(yaml_lines),
        ObjectKind::Labels => cfg.labels.values().find(|l| l.name.as_str() == name).map(yaml_lines),
        ObjectKind::Selector => {
            cfg.selectors.values().find(|s| s.name.as_str() == name).map(yaml_lines)
        }
    }
    .unwrap_or_default()
}

fn yaml_lines<T>(value: &T) -> Vec<String>
where
    T: Serialize,
{
    let text = serde_yaml_ng::to_string(value).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}
