//! The state machine against a naive one, and its answers to single changes.

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
fn selector_that_names_an_unknown_team_is_invalid_and_where() {
    let mut state = ConfigState::new_deployment();
    let verdict = publish(&mut state, "c1", "- !selector {name: s, teams: [nobody], labels: {}}");
    assert_matches!(verdict, Verdict::Invalid { diagnostics: faults } => {
        assert_eq!(faults[0].to_string(), "selector/s: teams: team nobody does not exist");
    });
    assert!(state.configuration.selectors.is_empty());
}

#[test]
fn removal_of_a_team_that_a_selector_names_is_invalid() {
    let mut state = ConfigState::new_deployment();
    let both = format!("{}\n- !selector {{name: s, teams: [t1], labels: {{}}}}", team(1, 1, 1));
    assert_matches!(publish(&mut state, "c1", &both), Verdict::Accepted { .. });
    let verdict = publish(&mut state, "c2", "- !remove {kind: team, name: t1}");
    assert_matches!(verdict, Verdict::Invalid { diagnostics: faults } => assert_eq!(faults[0].field, "teams"));
}

#[test]
fn key_of_two_teams_is_invalid() {
    let mut state = ConfigState::new_deployment();
    assert_matches!(publish(&mut state, "c1", &team(1, 7, 1)), Verdict::Accepted { .. });
    let verdict = publish(&mut state, "c2", &team(2, 7, 1));
    assert_matches!(verdict, Verdict::Invalid { diagnostics: faults } => assert_eq!(faults[0].field, "keys"));
}

#[test]
fn stale_change_names_the_author_of_the_other() {
    let mut state = ConfigState::new_deployment();
    let raced = edits(&team(1, 1, 5));
    let bases = state.base_versions(&raced);
    publish(&mut state, "c1", &team(1, 1, 1));
    let verdict = state.apply(LogOffset(2), &change("c2", bases, raced)).unwrap();
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
fn trail_is_bounded_and_an_evicted_repeat_has_no_effect() {
    let mut state = ConfigState::new_deployment();
    let first = change("first", Vec::new(), Vec::new());
    let once = change("c-once", state.base_versions(&edits(&team(1, 1, 1))), edits(&team(1, 1, 1)));
    state.apply(LogOffset(1), &once);
    state.apply(LogOffset(2), &first);
    for i in 0..600 {
        publish(&mut state, &format!("c{i}"), &team(2, 2, (i % 200) as u8));
    }
    assert_eq!(state.trail.entries().count(), 512);
    let next = LogOffset(state.position().offset.0 + 1);
    assert_matches!(state.apply(next, &once), Some(Verdict::Stale { .. }));
}

#[test]
fn large_snapshot_is_cut_and_a_broken_run_is_ignored() {
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
    let mut broken = ConfigState::default();
    for (i, part) in parts.iter().enumerate().filter(|(i, _)| *i != 1) {
        broken.apply(LogOffset(i as u64 + 1), part);
    }
    assert!(!broken.initialized);
    let mut whole = ConfigState::default();
    for (i, part) in parts.iter().enumerate() {
        whole.apply(LogOffset(i as u64 + 1), part);
    }
    assert_eq!(whole.configuration.teams, state.configuration.teams);
    assert!(whole.applied > state.applied);
}

/// A random step: the edits of a change, how old its base versions are, and whether it repeats
/// the identity of an earlier one.
#[derive(Clone, Debug)]
struct Step {
    edits: Vec<(u8, u8, u8, bool)>,
    age: usize,
    repeats: Option<usize>,
    snapshot: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let edit = (0..4u8, 0..5u8, 0..9u8, prop::bool::weighted(0.2));
    let repeats = prop::option::weighted(0.15, 0..40usize);
    (prop::collection::vec(edit, 1..3), 0..4usize, repeats, prop::bool::weighted(0.2))
        .prop_map(|(edits, age, repeats, snapshot)| Step { edits, age, repeats, snapshot })
}

/// One accepted edit: its offset, the team, and its key and limit if it is not a removal.
type Accepted = (u64, String, Option<(u8, u8)>);

/// The naive state: every accepted edit, searched from the end.
#[derive(Default)]
struct Naive {
    accepted: Vec<Accepted>,
    verdicts: BTreeMap<String, &'static str>,
}

impl Naive {
    fn last(&self, name: &str) -> Option<&Accepted> {
        self.accepted.iter().rev().find(|(_, n, _)| n == name)
    }

    fn present(&self) -> BTreeMap<String, (u8, u8)> {
        let all = self.accepted.iter().map(|(_, name, value)| (name.clone(), *value));
        let newest: BTreeMap<_, _> = all.collect();
        newest.into_iter().filter_map(|(name, value)| Some((name, value?))).collect()
    }

    fn judge(&mut self, offset: u64, id: &str, step: &Step, bases: &[BaseVersion]) -> &'static str {
        if let Some(verdict) = self.verdicts.get(id) {
            return verdict;
        }
        let mut after = self.present();
        let mut names = Vec::new();
        let mut is_invalid = false;
        for (i, key, limit, is_removal) in &step.edits {
            let name = format!("t{i}");
            is_invalid |= names.contains(&name);
            is_invalid |= *is_removal && !self.present().contains_key(&name);
            match is_removal {
                true => drop(after.remove(&name)),
                false => drop(after.insert(name.clone(), (*key, *limit))),
            }
            names.push(name);
        }
        let current = |name: &str| self.last(name).map_or(0, |(offset, ..)| *offset);
        let is_stale = bases.iter().any(|b| b.version.0 != current(&b.object.name));
        let keys: Vec<_> = after.values().map(|(key, _)| *key).collect();
        let is_double = keys.iter().any(|key| keys.iter().filter(|k| *k == key).count() > 1);
        let verdict = match (is_invalid, is_stale, is_double) {
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

fn name_of(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted { .. } => "accepted",
        Verdict::Stale { .. } => "stale",
        Verdict::Invalid { .. } => "invalid",
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn state_equals_the_naive_one(steps in prop::collection::vec(step(), 1..40)) {
        let mut state = ConfigState::new_deployment();
        let mut naive = Naive::default();
        let mut history = vec![state.clone()];
        let mut seeded: Vec<ConfigState> = Vec::new();
        let mut offset = 0;
        for (i, step) in steps.iter().enumerate() {
            if step.snapshot {
                let snapshot = Snapshot::new(&state);
                seeded.push(snapshot.state().unwrap());
                for record in snapshot.into_records(SnapshotKind::Refresh, 0, None, 0) {
                    offset += 1;
                    state.apply(LogOffset(offset), &record);
                    seeded.iter_mut().for_each(|s| drop(s.apply(LogOffset(offset), &record)));
                }
            }
            offset += 1;
            let edits = edits_of(step);
            let bases = history[history.len().saturating_sub(1 + step.age)].base_versions(&edits);
            let id = format!("c{}", step.repeats.filter(|r| *r < i).unwrap_or(i));
            let record = change(&id, bases.clone(), edits);
            let wanted = naive.judge(offset, &id, step, &bases);
            let verdict = state.apply(LogOffset(offset), &record).unwrap();
            prop_assert_eq!(name_of(&verdict), wanted);
            for other in &mut seeded {
                prop_assert_eq!(&other.apply(LogOffset(offset), &record).unwrap(), &verdict);
            }
            prop_assert_eq!(state.apply(LogOffset(offset), &record), None);
            history.push(state.clone());
        }
        let teams = state.configuration.teams.values();
        let teams = teams.map(|t| (t.name.to_string(), t.tokens_per_minute as u8));
        let wanted = naive.present().into_iter().map(|(name, (_, limit))| (name, limit));
        prop_assert_eq!(teams.collect::<Vec<_>>(), wanted.collect::<Vec<_>>());
        for i in 0..4 {
            let object = ObjectId {
                kind: dogwoodway_types::ObjectKind::Team,
                name: format!("t{i}"),
            };
            let wanted = naive.last(&object.name).map_or(0, |(offset, ..)| *offset);
            prop_assert_eq!(state.version_of(&object), LogOffset(wanted));
        }
        for other in &seeded {
            prop_assert_eq!(other, &state);
        }
    }
}
