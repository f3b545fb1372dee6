//! Compares the quarantine with a reference model that evaluates the whole history.

use std::{collections::BTreeSet, time::Duration};

use dogwoodway_routing::quarantine::{
    CRASH_THRESHOLD, INITIAL_QUARANTINE, Quarantine, QuarantineStatus, SUSPICION_PERIOD,
};
use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
use proptest::prelude::*;

fn request(i: u8) -> RequestFingerprint {
    RequestFingerprint::new(&TeamName::try_from("demo").unwrap(), &[&[i]])
}

/// Computes the status of one request from its whole history: engines that crashed while running
/// it, and answers (`None`).
fn expected_status(events: &[(Timestamp, Option<u64>)], now: Timestamp) -> QuarantineStatus {
    let (mut crashed_engines, mut cleared_engines) = (BTreeSet::new(), BTreeSet::new());
    let (mut quarantined_until, mut expires_at) = (Timestamp(0), Timestamp(0));
    for (at, crashed) in events {
        let Some(engine) = crashed else {
            cleared_engines.append(&mut crashed_engines);
            quarantined_until = Timestamp(0);
            continue;
        };
        if *at >= expires_at {
            (crashed_engines, cleared_engines, quarantined_until) =
                (BTreeSet::new(), BTreeSet::new(), Timestamp(0));
        }
        if cleared_engines.contains(engine) || !crashed_engines.insert(*engine) {
            continue;
        }
        expires_at = expires_at.max(*at + SUSPICION_PERIOD);
        if crashed_engines.len() >= CRASH_THRESHOLD {
            let factor = 2_u32.pow((crashed_engines.len() - CRASH_THRESHOLD).min(5) as u32);
            quarantined_until = *at + INITIAL_QUARANTINE * factor;
            expires_at = quarantined_until + SUSPICION_PERIOD;
        }
    }
    match (now < quarantined_until, now < expires_at && !crashed_engines.is_empty()) {
        (true, _) => QuarantineStatus::Quarantined { until: quarantined_until },
        (false, true) => QuarantineStatus::Suspect,
        (false, false) => QuarantineStatus::Clear,
    }
}

proptest! {
    #[test]
    fn quarantine_agrees_with_the_whole_history(
        steps in prop::collection::vec((0..400u64, 0..3u8, 0..6u64, 0..12u8), 0..60),
    ) {
        let mut quarantine = Quarantine::new(10);
        let mut history: Vec<Vec<(Timestamp, Option<u64>)>> = vec![Vec::new(); 3];
        let mut now = Timestamp::from_millis(1_000);
        for (elapsed_s, i, engine, kind) in steps {
            now = now + Duration::from_secs(elapsed_s);
            if kind == 0 {
                quarantine.record_answer(&request(i));
                history[usize::from(i)].push((now, None));
            } else {
                quarantine.record_crash(now, request(i), EngineIncarnation(engine));
                history[usize::from(i)].push((now, Some(engine)));
            }
            let later = now + Duration::from_secs(130);
            for at in [now, later] {
                for i in 0..3 {
                    let expected = expected_status(&history[usize::from(i)], at);
                    prop_assert_eq!(quarantine.status(at, &request(i)), expected);
                }
            }
        }
    }
}

#[test]
fn table_is_bounded_and_keeps_the_records_that_expire_last() {
    let mut quarantine = Quarantine::new(3);
    let at = |s: u64| Timestamp::from_millis(s * 1_000);
    for engine in 0..2 {
        quarantine.record_crash(at(1), request(0), EngineIncarnation(engine));
    }
    for i in 1..100 {
        quarantine.record_crash(at(1 + u64::from(i)), request(i), EngineIncarnation(9));
    }
    assert!(matches!(
        quarantine.status(at(100), &request(0)),
        QuarantineStatus::Quarantined { .. }
    ));
    let known =
        (0..100).filter(|&i| quarantine.status(at(100), &request(i)) != QuarantineStatus::Clear);
    assert_eq!(known.count(), 3);
    assert_eq!(quarantine.quarantined(at(100)), 1);
}

#[test]
fn crash_reported_again_after_an_answer_does_not_count() {
    let mut quarantine = Quarantine::new(10);
    let at = |s: u64| Timestamp::from_millis(s * 1_000);
    quarantine.record_crash(at(1), request(0), EngineIncarnation(1));
    quarantine.record_answer(&request(0));
    quarantine.record_crash(at(2), request(0), EngineIncarnation(1));
    assert_eq!(quarantine.status(at(2), &request(0)), QuarantineStatus::Clear);
    quarantine.record_crash(at(3), request(0), EngineIncarnation(2));
    assert_eq!(quarantine.status(at(3), &request(0)), QuarantineStatus::Suspect);
    quarantine.record_crash(at(4), request(0), EngineIncarnation(3));
    assert!(matches!(quarantine.status(at(4), &request(0)), QuarantineStatus::Quarantined { .. }));
}

#[test]
fn uncertain_crashes_close_together_count_once_and_three_apart_quarantine() {
    let request = RequestFingerprint::new(&TeamName::try_from("demo").unwrap(), &[b"compare"]);
    let at = Timestamp::from_millis;
    let mut quarantine = Quarantine::new(10);
    for n in 0..10 {
        quarantine.record_uncertain_crash(
            at(1_000 + 10 * n),
            at(1_000 + 10 * n),
            request,
            EngineIncarnation(n),
        );
    }
    assert_eq!(quarantine.status(at(1_100), &request), QuarantineStatus::Suspect);
    quarantine.record_uncertain_crash(at(2_000), at(2_000), request, EngineIncarnation(20));
    assert_eq!(quarantine.status(at(2_000), &request), QuarantineStatus::Suspect);
    quarantine.record_uncertain_crash(at(3_000), at(3_000), request, EngineIncarnation(21));
    assert_eq!(quarantine.quarantined(at(3_000)), 1);
}

#[test]
fn certain_crashes_count_as_before_beside_an_uncertain_one() {
    let request = RequestFingerprint::new(&TeamName::try_from("demo").unwrap(), &[b"compare"]);
    let at = Timestamp::from_millis;
    let mut quarantine = Quarantine::new(10);
    quarantine.record_uncertain_crash(at(1_000), at(1_000), request, EngineIncarnation(1));
    // The same crash, now certain.
    quarantine.record_crash(at(1_001), request, EngineIncarnation(1));
    assert_eq!(quarantine.status(at(1_001), &request), QuarantineStatus::Suspect);
    quarantine.record_crash(at(1_002), request, EngineIncarnation(2));
    assert_eq!(quarantine.quarantined(at(1_002)), 1);
}
