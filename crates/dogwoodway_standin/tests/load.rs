//! Workload and cache audit of the load tool.

use std::path::Path;

use dogwoodway_standin::{JournalKind, JournalRecord, Scenario, audit_cache, plan_requests};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash, Timestamp};

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    serde_yaml_ng::from_str(&std::fs::read_to_string(file).unwrap()).unwrap()
}

#[test]
fn scenario_files_are_valid_and_workload_depends_on_seed() {
    for name in ["smrekar.yaml", "manizales.yaml", "manizales-faults.yaml"] {
        let scenario = scenario(name);
        let planned = plan_requests(&scenario, 1.0, 3);
        assert_eq!(planned, plan_requests(&scenario, 1.0, 3));
        let reseeded = Scenario { seed: scenario.seed + 1, ..scenario.clone() };
        assert_ne!(planned, plan_requests(&reseeded, 1.0, 3));
        let expected = scenario.capacity_rps * f64::from(scenario.seconds);
        assert!((planned.len() as f64 / expected - 1.0).abs() < 0.1, "{}", planned.len());
    }
}

#[test]
fn catalogue_popularity_is_reversed_at_the_shift() {
    let scenario = scenario("manizales-faults.yaml");
    let shift_us = (scenario.shift_at_s.unwrap() * 1e6) as u64;
    let planned = plan_requests(&scenario, 1.0, 3);
    let share_of = |catalogue: usize, is_after: bool| {
        let all = planned.iter().filter(|p| (p.arrival_us >= shift_us) == is_after);
        let total = all.clone().count() as f64;
        all.filter(|p| p.catalogue == catalogue).count() as f64 / total
    };
    assert!(share_of(0, false) > 0.4 && share_of(0, true) < 0.05);
    assert!(share_of(11, false) < 0.05 && share_of(11, true) > 0.4);
}

#[test]
fn audit_counts_tokens_cached_by_another_engine_until_it_crashes() {
    let record = |at, kind| JournalRecord { at: Timestamp(at), engine: EngineIncarnation(1), kind };
    let scheduled = |cached_tokens| JournalKind::Scheduled {
        request: AttemptId(1),
        pieces: vec![PieceHash(1), PieceHash(2)],
        tokens: vec![100, 10],
        cached_tokens,
    };
    let caching = vec![
        record(1, JournalKind::Stored(PieceHash(1))),
        record(2, scheduled(100)),
        record(5, JournalKind::Crashed),
    ];
    let other = vec![record(3, scheduled(0)), record(6, scheduled(0))];
    let audit = audit_cache(&[caching, other], Timestamp(2));
    assert_eq!((audit.prompt_tokens, audit.cached_tokens), (330, 100));
    assert_eq!((audit.best_tokens, audit.wasted_tokens), (200, 100));
    assert_eq!(audit.computed_tokens, [10, 220]);
}
