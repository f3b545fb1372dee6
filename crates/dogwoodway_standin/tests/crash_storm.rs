//! Simulated storms of requests that share a cause which crashes engines.

use dogwoodway_standin::crash_storm::{Cause, PolicyKind, Storm, simulate};

const SEEDS: u64 = 3;

/// Requests with the cause that may reach engines once all routers know it.
const ALLOWED_LATE: usize = 3;

const USUAL: Storm = Storm {
    routers: 4,
    engines: 18,
    batch: 16,
    requests_per_s: 140.0,
    cause_share: 0.05,
    knowledge_ms: 50,
    other_crashes_per_hour: 0.0,
    cause: Cause::Document,
    seconds: 10,
};

fn check(name: &str, storm: Storm) {
    for seed in 0..SEEDS {
        let outcome = simulate(storm, PolicyKind::PartBlame, seed);
        assert!(outcome.late_requests <= ALLOWED_LATE, "{name}, seed {seed}: {outcome:?}");
        assert!(outcome.sound_refused * 100 < outcome.sound, "{name}, seed {seed}: {outcome:?}");
    }
}

#[test]
fn cause_is_refused_and_sound_requests_are_not() {
    check("usual", USUAL);
    check("rare", Storm { cause_share: 0.01, ..USUAL });
    check("frequent", Storm { cause_share: 0.3, ..USUAL });
    check("small batches", Storm { batch: 4, requests_per_s: 35.0, ..USUAL });
    check("late notices", Storm { knowledge_ms: 2_000, ..USUAL });
    check("two causes", Storm { cause: Cause::TwoDocuments, ..USUAL });
    check("other reasons too", Storm { other_crashes_per_hour: 120.0, ..USUAL });
    check("many routers", Storm { routers: 30, engines: 60, requests_per_s: 400.0, ..USUAL });
}

#[test]
fn crashes_for_other_reasons_refuse_nothing() {
    let storm = Storm { cause: Cause::Nothing, other_crashes_per_hour: 600.0, ..USUAL };
    for seed in 0..SEEDS {
        let outcome = simulate(storm, PolicyKind::PartBlame, seed);
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn simulation_detects_missing_and_wrong_blame() {
    let without = simulate(USUAL, PolicyKind::NoBlame, 0);
    assert!(without.late_requests > ALLOWED_LATE, "{without:?}");
    let wrong = simulate(USUAL, PolicyKind::CrashCount, 0);
    assert!(wrong.sound_refused * 100 > wrong.sound, "{wrong:?}");
}
