//! The quarantine against a reading of the whole history.

use std::{collections::BTreeSet, time::Duration};

use dogwoodway_routing::quarantine::{
    CRASH_THRESHOLD, INITIAL_QUARANTINE, Quarantine, QuarantineStatus, SUSPICION_PERIOD,
};
use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
use proptest::prelude::*;

fn request(i: u8) -> RequestFingerprint {
    RequestFingerprint::new(&TeamName::try_from("demo").unwrap(), &[&[i]])
}

/// Reads all that befell one request from the start: crashes of engines, and answers.
fn naive(events: &[(Timestamp, Option<u64>)], now: Timestamp) -> QuarantineStatus {
    let (mut engines, mut excused) = (BTreeSet::new(), BTreeSet::new());
    let (mut until, mut ends) = (Timestamp(0), Timestamp(0));
    for (at, crashed) in events {
        let Some(engine) = crashed else {
            excused.append(&mut engines);
            until = Timestamp(0);
            continue;
        };
        if *at >= ends {
            (engines, excused, until) = (BTreeSet::new(), BTreeSet::new(), Timestamp(0));
        }
        if excused.contains(engine) || !engines.insert(*engine) {
            continue;
        }
        ends = ends.max(*at + SUSPICION_PERIOD);
        if engines.len() >= CRASH_THRESHOLD {
            let factor = 2_u32.pow((engines.len() - CRASH_THRESHOLD).min(5) as u32);
            until = *at + INITIAL_QUARANTINE * factor;
            ends = until + SUSPICION_PERIOD;
        }
    }
    match (now < until, now < ends && !engines.is_empty()) {
        (true, _) => QuarantineStatus::Quarantined { until },
        (false, true) => QuarantineStatus::Suspect,
        (false, false) => QuarantineStatus::Clear,
    }
}

proptest! {
    #[test]
    fn quarantine_equals_a_reading_of_the_history(
        steps in prop::collection::vec((0..400u64, 0..3u8, 0..6u64, 0..12u8), 0..60),
    ) {
        let mut quarantine = Quarantine::new(10);
        let mut history: Vec<Vec<(Timestamp, Option<u64>)>> = vec![Vec::new(); 3];
        let mut now = Timestamp::from_millis(1_000);
        for (pass_s, i, engine, kind) in steps {
            now = now + Duration::from_secs(pass_s);
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
                    let wanted = naive(&history[usize::from(i)], at);
                    prop_assert_eq!(quarantine.status(at, &request(i)), wanted);
                }
            }
        }
    }
}

#[test]
fn table_is_bounded_and_keeps_what_ends_last() {
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
fn a_crash_that_is_told_again_after_an_answer_does_not_count() {
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
