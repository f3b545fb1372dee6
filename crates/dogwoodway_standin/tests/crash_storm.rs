//! Simulated storms of requests that share a cause which crashes engines.

use dogwoodway_standin::crash_storm::{Cause, PolicyKind, Storm, simulate};

const SEEDS: u64 = 3;

/// Requests with the cause that may reach engines once all routers know it.
const ALLOWED_LATE: usize = 3;

fn usual() -> Storm {
    Storm { seconds: 10, ..Storm::default() }
}

fn check(name: &str, storm: Storm) {
    for seed in 0..SEEDS {
        let outcome = simulate(storm, PolicyKind::PartBlame, seed);
        assert!(outcome.late_requests <= ALLOWED_LATE, "{name}, seed {seed}: {outcome:?}");
        assert!(outcome.sound_refused * 100 < outcome.sound, "{name}, seed {seed}: {outcome:?}");
    }
}

#[test]
fn cause_is_refused_and_sound_requests_are_not() {
    check("usual", usual());
    check("rare", Storm { cause_share: 0.01, ..usual() });
    check("frequent", Storm { cause_share: 0.3, ..usual() });
    check("small batches", Storm { batch: 4, requests_per_s: 35.0, ..usual() });
    check("late notices", Storm { knowledge_ms: 2_000, ..usual() });
    check("two causes", Storm { cause: Cause::TwoDocuments, ..usual() });
    check("other reasons too", Storm { other_crashes_per_hour: 120.0, ..usual() });
    check("many routers", Storm { routers: 30, engines: 60, requests_per_s: 400.0, ..usual() });
}

// Crashes counted only against answers that had begun.
#[test]
fn cause_that_crashes_engines_before_they_answer_is_refused() {
    let usual = Storm { crashes_before_answer: true, ..usual() };
    check("usual", usual);
    check("rare", Storm { cause_share: 0.01, ..usual });
    check("frequent", Storm { cause_share: 0.3, ..usual });
    check("two causes", Storm { cause: Cause::TwoDocuments, ..usual });
    check("other reasons too", Storm { other_crashes_per_hour: 120.0, ..usual });
    check("many routers", Storm { routers: 30, engines: 60, requests_per_s: 400.0, ..usual });
}

#[test]
fn crashes_for_other_reasons_refuse_nothing() {
    let storm = Storm { cause: Cause::Nothing, other_crashes_per_hour: 600.0, ..usual() };
    for seed in 0..SEEDS {
        let outcome = simulate(storm, PolicyKind::PartBlame, seed);
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn simulation_detects_missing_and_wrong_blame() {
    let without = simulate(usual(), PolicyKind::NoBlame, 0);
    assert!(without.late_requests > ALLOWED_LATE, "{without:?}");
    let wrong = simulate(usual(), PolicyKind::CrashCount, 0);
    assert!(wrong.sound_refused * 100 > wrong.sound, "{wrong:?}");
}
