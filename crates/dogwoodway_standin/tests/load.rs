//! The load tool's workload and its replay of journals.

use std::path::Path;

use dogwoodway_standin::{JournalKind, JournalRecord, Scenario, audit, plan};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash, Timestamp};

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    serde_yaml_ng::from_str(&std::fs::read_to_string(file).unwrap()).unwrap()
}

#[test]
fn scenarios_are_valid_and_their_workload_follows_the_seed() {
    for name in ["smrekar.yaml", "manizales.yaml", "manizales-faults.yaml"] {
        let scenario = scenario(name);
        let planned = plan(&scenario, 1.0, 3);
        assert_eq!(planned, plan(&scenario, 1.0, 3));
        let other = Scenario { seed: scenario.seed + 1, ..scenario.clone() };
        assert_ne!(planned, plan(&other, 1.0, 3));
        let expected = scenario.capacity_rps * f64::from(scenario.seconds);
        assert!((planned.len() as f64 / expected - 1.0).abs() < 0.1, "{}", planned.len());
    }
}

#[test]
fn popularity_is_turned_around_at_the_shift() {
    let scenario = scenario("manizales-faults.yaml");
    let shift_us = (scenario.shift_at_s.unwrap() * 1e6) as u64;
    let planned = plan(&scenario, 1.0, 3);
    let share_of = |catalogue: usize, is_after: bool| {
        let all = planned.iter().filter(|p| (p.at_us >= shift_us) == is_after);
        let total = all.clone().count() as f64;
        all.filter(|p| p.catalogue == catalogue).count() as f64 / total
    };
    assert!(share_of(0, false) > 0.4 && share_of(0, true) < 0.05);
    assert!(share_of(11, false) < 0.05 && share_of(11, true) > 0.4);
}

#[test]
fn audit_counts_what_another_live_engine_held() {
    let record = |at, kind| JournalRecord { at: Timestamp(at), engine: EngineIncarnation(1), kind };
    let scheduled = |cached_tokens| JournalKind::Scheduled {
        request: AttemptId(1),
        pieces: vec![PieceHash(1), PieceHash(2)],
        tokens: vec![100, 10],
        cached_tokens,
    };
    let holder = vec![
        record(1, JournalKind::Stored(PieceHash(1))),
        record(2, scheduled(100)),
        record(5, JournalKind::Crashed),
    ];
    let other = vec![record(3, scheduled(0)), record(6, scheduled(0))];
    let audit = audit(&[holder, other], Timestamp(2));
    assert_eq!((audit.prompt_tokens, audit.cached_tokens), (330, 100));
    assert_eq!((audit.best_tokens, audit.wasted_tokens), (200, 100));
    assert_eq!(audit.computed_tokens, [10, 220]);
}
