//! Compares the configuration state with a reference model, and checks the verdicts on single
//! changes.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use dogwoodway_control::{
    BaseVersion, ConfigChange, ConfigRecord, ConfigState, Snapshot, SnapshotKind, Verdict,
};
use dogwoodway_types::{ChangeId, ConfigEdit, LogOffset, ObjectId, Timestamp};
use proptest::prelude::*;

fn edits(yaml: &str) -> Vec<ConfigEdit> {
    serde_yaml_ng::from_str(yaml).unwrap()
}

fn change(id: &str, bases: Vec<BaseVersion>, edits: Vec<ConfigEdit>) -> ConfigRecord {
    let id = ChangeId::try_from(id).unwrap();
    let (author, made_at) = ("ana".to_owned(), Timestamp::default());
    ConfigRecord::Change(ConfigChange { id, author, made_at, bases, edits })
}

fn publish(state: &mut ConfigState, id: &str, yaml: &str) -> Verdict {
    let edits = edits(yaml);
    let next = LogOffset(state.position().offset.0 + 1);
    state.apply(next, &change(id, state.base_versions(&edits), edits)).unwrap()
}

fn team(i: u8, key: u8, limit: u8) -> String {
    format!(
        "- !team {{name: t{i}, keys: ['{key:064x}'], tokens_per_minute: {limit}, \
         max_in_flight: 1}}"
    )
}

#[test]
fn selector_that_names_an_unknown_team_is_reported_with_its_field() {
    let mut state = ConfigState::new_deployment();
    let verdict = publish(&mut state, "c1", "- !selector {name: s, teams: [nobody], labels: {}}");
    assert_matches!(verdict, Verdict::Invalid { diagnostics } => {
        assert_eq!(diagnostics[0].to_string(), "selector/s: teams: team nobody does not exist");
    });
    assert!(state.configuration.selectors.is_empty());
}

#[test]
fn removal_of_a_team_that_a_selector_names_is_invalid() {
    let mut state = ConfigState::new_deployment();
    let both = format!("{}\n- !selector {{name: s, teams: [t1], labels: {{}}}}", team(1, 1, 1));
    assert_matches!(publish(&mut state, "c1", &both), Verdict::Accepted { .. });
    let verdict = publish(&mut state, "c2", "- !remove {kind: team, name: t1}");
    assert_matches!(verdict, Verdict::Invalid { diagnostics } => {
        assert_eq!(diagnostics[0].field, "teams");
    });
}

#[test]
fn key_of_two_teams_is_invalid() {
    let mut state = ConfigState::new_deployment();
    assert_matches!(publish(&mut state, "c1", &team(1, 7, 1)), Verdict::Accepted { .. });
    let verdict = publish(&mut state, "c2", &team(2, 7, 1));
    assert_matches!(verdict, Verdict::Invalid { diagnostics } => {
        assert_eq!(diagnostics[0].field, "keys");
    });
}

#[test]
fn stale_change_names_the_author_of_the_conflicting_change() {
    let mut state = ConfigState::new_deployment();
    let conflicting = edits(&team(1, 1, 5));
    let bases = state.base_versions(&conflicting);
    publish(&mut state, "c1", &team(1, 1, 1));
    let verdict = state.apply(LogOffset(2), &change("c2", bases, conflicting)).unwrap();
    assert_matches!(verdict, Verdict::Stale { changed_at: LogOffset(1), changed_by, .. } => {
        assert_eq!(changed_by.as_deref(), Some("ana"));
    });
}

#[test]
fn change_on_a_log_without_a_snapshot_is_invalid() {
    let mut state = ConfigState::default();
    assert_matches!(publish(&mut state, "c1", &team(1, 1, 1)), Verdict::Invalid { .. });
    for record in Snapshot::new(&ConfigState::new_deployment()).into_records(
        SnapshotKind::Restore,
        0,
        None,
        0,
    ) {
        state.apply(LogOffset(2), &record);
    }
    assert_matches!(publish(&mut state, "c2", &team(1, 1, 1)), Verdict::Accepted { .. });
}

#[test]
fn trail_is_bounded_and_a_repeat_of_an_evicted_change_is_stale() {
    let mut state = ConfigState::new_deployment();
    let first = change("first", Vec::new(), Vec::new());
    let repeated =
        change("c-once", state.base_versions(&edits(&team(1, 1, 1))), edits(&team(1, 1, 1)));
    state.apply(LogOffset(1), &repeated);
    state.apply(LogOffset(2), &first);
    for i in 0..600 {
        publish(&mut state, &format!("c{i}"), &team(2, 2, (i % 200) as u8));
    }
    assert_eq!(state.trail.entries().count(), 512);
    let next = LogOffset(state.position().offset.0 + 1);
    assert_matches!(state.apply(next, &repeated), Some(Verdict::Stale { .. }));
}

#[test]
fn large_snapshot_is_split_and_ignored_if_a_part_is_missing() {
    let mut state = ConfigState::new_deployment();
    for i in 0..1_200u32 {
        let yaml = format!(
            "- !team {{name: t{i}, keys: ['{i:064x}'], tokens_per_minute: 1, max_in_flight: 1}}"
        );
        let edits = edits(&yaml);
        let next = LogOffset(state.position().offset.0 + 1);
        state.apply(next, &change(&format!("c{i}"), state.base_versions(&edits), edits));
    }
    let parts = Snapshot::new(&state).into_records(SnapshotKind::Restore, 1, None, 0);
    assert!(parts.len() > 2);
    let mut incomplete = ConfigState::default();
    for (i, part) in parts.iter().enumerate().filter(|(i, _)| *i != 1) {
        incomplete.apply(LogOffset(i as u64 + 1), part);
    }
    assert!(!incomplete.initialized);
    let mut complete = ConfigState::default();
    for (i, part) in parts.iter().enumerate() {
        complete.apply(LogOffset(i as u64 + 1), part);
    }
    assert_eq!(complete.configuration.teams, state.configuration.teams);
    assert!(complete.applied > state.applied);
}

/// A random step: a change, optionally preceded by a snapshot.
#[derive(Clone, Debug)]
struct Step {
    /// Team number, key, limit, and whether the team is removed.
    edits: Vec<(u8, u8, u8, bool)>,
    /// Number of steps by which the base versions are outdated.
    age: usize,
    /// Index of an earlier step whose change id is reused.
    repeats: Option<usize>,
    snapshot: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let edit = (0..4u8, 0..5u8, 0..9u8, prop::bool::weighted(0.2));
    let repeats = prop::option::weighted(0.15, 0..40usize);
    (prop::collection::vec(edit, 1..3), 0..4usize, repeats, prop::bool::weighted(0.2))
        .prop_map(|(edits, age, repeats, snapshot)| Step { edits, age, repeats, snapshot })
}

/// An accepted edit: its offset, the team, and the team's key and limit unless it is a removal.
type AcceptedEdit = (u64, String, Option<(u8, u8)>);

/// A reference model that keeps every accepted edit and searches them from the end.
#[derive(Default)]
struct ReferenceModel {
    accepted: Vec<AcceptedEdit>,
    verdicts: BTreeMap<String, &'static str>,
}

impl ReferenceModel {
    fn last_edit(&self, name: &str) -> Option<&AcceptedEdit> {
        self.accepted.iter().rev().find(|(_, n, _)| n == name)
    }

    /// Returns the key and limit of each team that exists.
    fn teams(&self) -> BTreeMap<String, (u8, u8)> {
        let all = self.accepted.iter().map(|(_, name, value)| (name.clone(), *value));
        let newest: BTreeMap<_, _> = all.collect();
        newest.into_iter().filter_map(|(name, value)| Some((name, value?))).collect()
    }

    fn evaluate(
        &mut self,
        offset: u64,
        id: &str,
        step: &Step,
        bases: &[BaseVersion],
    ) -> &'static str {
        if let Some(verdict) = self.verdicts.get(id) {
            return verdict;
        }
        let mut after = self.teams();
        let mut names = Vec::new();
        let mut is_invalid = false;
        for (i, key, limit, is_removal) in &step.edits {
            let name = format!("t{i}");
            is_invalid |= names.contains(&name);
            is_invalid |= *is_removal && !self.teams().contains_key(&name);
            match is_removal {
                true => drop(after.remove(&name)),
                false => drop(after.insert(name.clone(), (*key, *limit))),
            }
            names.push(name);
        }
        let current = |name: &str| self.last_edit(name).map_or(0, |(offset, ..)| *offset);
        let is_stale = bases.iter().any(|b| b.version.0 != current(&b.object.name));
        let keys: Vec<_> = after.values().map(|(key, _)| *key).collect();
        let is_duplicate_key = keys.iter().any(|key| keys.iter().filter(|k| *k == key).count() > 1);
        let verdict = match (is_invalid, is_stale, is_duplicate_key) {
            (true, ..) | (false, false, true) => "invalid",
            (false, true, _) => "stale",
            (false, false, false) => {
                for name in names {
                    let value = after.get(&name).copied();
                    self.accepted.push((offset, name, value));
                }
                "accepted"
            }
        };
        self.verdicts.insert(id.to_owned(), verdict);
        verdict
    }
}

fn edits_of(step: &Step) -> Vec<ConfigEdit> {
    let edit = |(i, key, limit, is_removal): &(u8, u8, u8, bool)| match is_removal {
        true => edits(&format!("- !remove {{kind: team, name: t{i}}}")),
        false => edits(&team(*i, *key, *limit)),
    };
    step.edits.iter().flat_map(edit).collect()
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted { .. } => "accepted",
        Verdict::Stale { .. } => "stale",
        Verdict::Invalid { .. } => "invalid",
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn state_matches_reference_model(steps in prop::collection::vec(step(), 1..40)) {
        let mut state = ConfigState::new_deployment();
        let mut model = ReferenceModel::default();
        let mut history = vec![state.clone()];
        let mut restored: Vec<ConfigState> = Vec::new();
        let mut offset = 0;
        for (i, step) in steps.iter().enumerate() {
            if step.snapshot {
                let snapshot = Snapshot::new(&state);
                restored.push(snapshot.state().unwrap());
                for record in snapshot.into_records(SnapshotKind::Refresh, 0, None, 0) {
                    offset += 1;
                    state.apply(LogOffset(offset), &record);
                    restored.iter_mut().for_each(|s| drop(s.apply(LogOffset(offset), &record)));
                }
            }
            offset += 1;
            let edits = edits_of(step);
            let bases = history[history.len().saturating_sub(1 + step.age)].base_versions(&edits);
            let id = format!("c{}", step.repeats.filter(|r| *r < i).unwrap_or(i));
            let record = change(&id, bases.clone(), edits);
            let expected = model.evaluate(offset, &id, step, &bases);
            let verdict = state.apply(LogOffset(offset), &record).unwrap();
            prop_assert_eq!(verdict_name(&verdict), expected);
            for other in &mut restored {
                prop_assert_eq!(&other.apply(LogOffset(offset), &record).unwrap(), &verdict);
            }
            prop_assert_eq!(state.apply(LogOffset(offset), &record), None);
            history.push(state.clone());
        }
        let teams = state.configuration.teams.values();
        let teams = teams.map(|t| (t.name.to_string(), t.tokens_per_minute as u8));
        let expected = model.teams().into_iter().map(|(name, (_, limit))| (name, limit));
        prop_assert_eq!(teams.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
        for i in 0..4 {
            let object = ObjectId {
                kind: dogwoodway_types::ObjectKind::Team,
                name: format!("t{i}"),
            };
            let expected = model.last_edit(&object.name).map_or(0, |(offset, ..)| *offset);
            prop_assert_eq!(state.version_of(&object), LogOffset(expected));
        }
        for other in &restored {
            prop_assert_eq!(other, &state);
        }
    }
}
