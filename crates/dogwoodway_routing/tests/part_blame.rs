//! Blame of prompt parts: what counts as evidence, and what does not.

use std::time::Duration;

use assert_matches::assert_matches;
use dogwoodway_routing::part_blame::{
    AnswerProgress, BLAME_THRESHOLD, EngineCrash, INITIAL_QUARANTINE, MAX_QUARANTINED, PartBlame,
    PartKey, PartNotice, PartRun, PartStatus,
};
use dogwoodway_types::{EngineIncarnation, ModelName, RequestFingerprint, TeamName, Timestamp};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn part(name: &str) -> PartKey {
    PartKey::new(&ModelName::try_from("m").unwrap(), None, name)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Builds a crash at `ms` of an engine that had begun to answer prompts with these parts 30 ms
/// before.
fn crash(engine: u64, ms: u64, parts: &[&str]) -> EngineCrash {
    let lead = Duration::from_millis(30);
    let runs = parts.iter().zip(0..);
    let runs = runs.map(|(name, position)| PartRun { part: part(name), position, lead }).collect();
    EngineCrash { engine: EngineIncarnation(engine), crashed_at: at(ms), runs }
}

/// Records that prompts with the parts `a` and `other` are answered, from `ms` on.
fn answer_others(blame: &mut PartBlame, ms: u64) {
    for n in 0..5 {
        blame.record_answer(at(ms + 50 + n), &[part("a"), part("other")], at(ms + n));
    }
}

/// Returns a table in which the part `bad` is in quarantine since its third crash at 300 ms.
fn blame_with_bad_part() -> PartBlame {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=3 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
    }
    answer_others(&mut blame, 310);
    blame
}

fn quarantined(blame: &mut PartBlame, ms: u64) -> Vec<PartKey> {
    blame.quarantined(at(ms)).iter().map(|blamed| blamed.part).collect()
}

#[test]
fn sound_part_that_accompanies_the_cause_is_not_blamed() {
    let mut blame = blame_with_bad_part();
    assert_eq!(quarantined(&mut blame, 450), [part("bad")]);
    assert_eq!(blame.status(at(450), &[part("a"), part("other")]), PartStatus::Clear);
    // The first part was in each crash as well, and no prompt with it was ever answered.
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=4 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
    }
    for n in 0..5 {
        blame.record_answer(at(450 + n), &[part("b"), part("c")], at(410 + n));
    }
    assert_eq!(quarantined(&mut blame, 560), [part("bad")]);
    assert_eq!(blame.status(at(560), &[part("a"), part("d")]), PartStatus::Clear);
}

// Crashes of other engines and overlapping ones left a part without blame after its fifth crash.
#[test]
fn part_in_five_crashes_is_blamed_although_other_engines_crash_too() {
    let mut blame = PartBlame::new(1, 1);
    let crashed = |ms, lead_ms| {
        let lead = Duration::from_millis(lead_ms);
        let runs = vec![PartRun { part: part("bad"), position: 1, lead }];
        EngineCrash { engine: EngineIncarnation(ms), crashed_at: at(ms), runs }
    };
    blame.record_crash(at(6_600), crashed(6_600, 113));
    blame.record_crash(at(8_600), crashed(8_600, 115));
    // Begun before the crash before was noticed.
    blame.record_crash(at(8_645), crashed(8_645, 88));
    for n in 0..4 {
        blame.record_crash(at(9_235 + n), crash(n, 9_235 + n, &["a", "other"]));
    }
    answer_others(&mut blame, 9_300);
    blame.record_crash(at(12_255), crashed(12_255, 110));
    assert_eq!(quarantined(&mut blame, 19_000), []);
    blame.record_crash(at(19_560), crashed(19_560, 123));
    answer_others(&mut blame, 19_600);
    assert_eq!(quarantined(&mut blame, 20_000), [part("bad")]);
}

// A part that had crashed all engines before any other prompt was answered was not refused.
#[test]
fn part_is_held_back_when_it_leaves_no_engine_to_answer_other_prompts() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=4 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
    }
    let bad = [part("a"), part("bad")];
    assert_matches!(blame.status(at(600), &bad), PartStatus::Quarantined { .. });
    assert_eq!(blame.status(at(600), &[part("a"), part("other")]), PartStatus::Clear);
    // One request tries it when engines may be back; the others wait for the result.
    assert_eq!(blame.status(at(1_500), &bad), PartStatus::Trial(part("bad")));
    blame.start_trial(at(1_500), part("bad"));
    assert_matches!(blame.status(at(1_600), &bad), PartStatus::Quarantined { .. });
    blame.record_crash(at(1_700), crash(5, 1_700, &["a", "bad"]));
    answer_others(&mut blame, 1_800);
    let PartStatus::Quarantined { until, .. } = blame.status(at(2_000), &bad) else {
        panic!("the part is not refused");
    };
    assert!(until > at(60_000), "{until:?}");
}

// The part may be in all prompts, and engines may have crashed for another reason.
#[test]
fn part_without_contrast_is_cleared_by_the_answer_to_its_trial() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=4 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a"]));
    }
    assert_eq!(blame.status(at(1_500), &[part("a")]), PartStatus::Trial(part("a")));
    blame.start_trial(at(1_500), part("a"));
    blame.record_answer(at(1_700), &[part("a")], at(1_600));
    assert_eq!(blame.status(at(1_800), &[part("a")]), PartStatus::Clear);
}

// Bytes that waited while the router stood still made an answer look longer than the others.
#[test]
fn answer_read_after_a_pause_of_the_router_does_not_clear_its_part() {
    let mut blame = blame_with_bad_part();
    let bad = [part("a"), part("bad")];
    // Begun at 400 ms and crashed 30 ms later; the rest of its bytes is read at 2,500 ms.
    let mut progress = AnswerProgress::new(at(410));
    for read_at in [420, 2_500, 2_501, 2_502].map(at) {
        if let Some(alive_at) = progress.record(read_at) {
            blame.record_progress(alive_at, &bad, at(400));
        }
    }
    assert_eq!(quarantined(&mut blame, 2_600), [part("bad")]);
    // Bytes that arrive an interval later were not there before.
    let alive_at = progress.record(at(2_700)).expect("an interval has passed");
    blame.record_progress(alive_at, &bad, at(400));
    assert_eq!(quarantined(&mut blame, 2_800), []);
}

// A popular part that was queued in another crash as well was taken for the cause.
#[test]
fn cause_of_all_its_crashes_goes_before_a_part_in_one_more() {
    let mut blame = PartBlame::new(1, 1);
    let run = |name, position, lead_ms| PartRun {
        part: part(name),
        position,
        lead: Duration::from_millis(lead_ms),
    };
    for n in 0..7 {
        let runs = vec![run("a", 0, 250), run("bad", 1, 30)];
        let crashed_at = at(1_000 + 100 * n);
        let engine = EngineIncarnation(n);
        blame.record_crash(crashed_at, EngineCrash { engine, crashed_at, runs });
    }
    blame.record_crash(at(1_750), crash(50, 1_750, &["a", "x"]));
    for n in 0..5 {
        blame.record_answer(at(1_900 + n), &[part("c"), part("d")], at(1_800 + n));
    }
    assert_eq!(quarantined(&mut blame, 2_000), [part("bad")]);
}

/// Returns how many prompts with a part are sent later than 3 s after its fifth crash, in 30 s in which
/// `answer` records what is answered meanwhile.
fn late_prompts<F>(mut answer: F) -> usize
where
    F: FnMut(&mut PartBlame, u64),
{
    let mut blame = PartBlame::new(1, 1);
    let (mut crashes, mut late) = (0, 0);
    let (mut fifth_crash_ms, mut crash_ms) = (None, None);
    for ms in (1_000..31_000).step_by(10) {
        if crash_ms.take_if(|crash_ms| *crash_ms <= ms).is_some() {
            crashes += 1;
            blame.record_crash(at(ms), crash(crashes, ms, &["a", "bad"]));
            fifth_crash_ms = fifth_crash_ms.or((crashes == 5).then_some(ms));
        }
        answer(&mut blame, ms);
        if crash_ms.is_some() {
            continue;
        }
        match blame.status(at(ms), &[part("a"), part("bad")]) {
            PartStatus::Quarantined { .. } => continue,
            PartStatus::Trial(tried) => blame.start_trial(at(ms), tried),
            PartStatus::Clear | PartStatus::Suspect => {}
        }
        crash_ms = Some(ms + 40);
        late += usize::from(fifth_crash_ms.is_some_and(|fifth| ms > fifth + 3_000));
    }
    late
}

// Only complete answers to prompts with shared parts were a contrast.
#[test]
fn part_is_refused_while_only_prompts_without_shared_parts_are_answered() {
    let model = PartKey::of_model(&ModelName::try_from("m").unwrap());
    let late = late_prompts(|blame, ms| blame.record_answer(at(ms), &[model], at(ms - 5)));
    assert!(late <= 3, "{late} late prompts");
}

// Answers that go on for long were no contrast until they were complete.
#[test]
fn part_is_refused_while_other_prompts_get_long_answers() {
    let late = late_prompts(|blame, ms| {
        if ms >= 1_500 {
            for started_at in [1_200, 1_300] {
                blame.record_progress(at(ms), &[part("a"), part("other")], at(started_at));
            }
        }
    });
    assert!(late <= 3, "{late} late prompts");
}

// The loss of a silent engine is known late, and the trial was repeated every two seconds.
#[test]
fn trials_without_a_result_become_rarer() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=5 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
    }
    let mut trials = 0;
    for ms in (3_500..13_500).step_by(10) {
        if let PartStatus::Trial(tried) = blame.status(at(ms), &[part("a"), part("bad")]) {
            blame.start_trial(at(ms), tried);
            trials += 1;
        }
    }
    assert!(trials <= 3, "{trials} trials in 10 s");
}

// The runs of one crash are bounded, and the requests of a long queue displaced the cause.
#[test]
fn cause_is_found_on_engines_with_many_requests() {
    let team = TeamName::try_from("desk").unwrap();
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=8_u64 {
        let mut crash = crash(n, 1_000 * n, &[]);
        let mut add = |parts: &[PartKey], request: &str, lead_ms| {
            let request = RequestFingerprint::new(&team, &[request.as_bytes()]);
            let runs = PartRun::of_request(parts, request, Duration::from_millis(lead_ms));
            crash.merge(&EngineCrash { runs, ..crash.clone() });
        };
        for other in 0..60 {
            let document = part(&format!("document {}", (other + 60 * n) % 997));
            add(&[part("a"), document], &format!("{n} {other}"), 200);
        }
        add(&[part("a"), part("bad")], &format!("{n} bad"), 30);
        blame.record_crash(at(1_000 * n), crash);
        answer_others(&mut blame, 1_000 * n + 200);
    }
    let status = blame.status(at(9_000), &[part("a"), part("bad")]);
    assert_matches!(status, PartStatus::Quarantined { part: blamed, .. } if blamed == part("bad"));
}

// The summary had the crashes in series alone, so that a router that started late decided otherwise.
#[test]
fn router_that_starts_late_refuses_what_the_others_refuse() {
    let crashed = |engine, ms| {
        let lead = Duration::from_millis(40);
        let runs = vec![PartRun { part: part("bad"), position: 1, lead }];
        EngineCrash { engine: EngineIncarnation(engine), crashed_at: at(ms), runs }
    };
    let mut old = PartBlame::new(1, 1);
    for (engine, ms) in [1_000, 1_010, 1_020, 2_000, 2_010].into_iter().enumerate() {
        old.record_crash(at(ms), crashed(engine as u64, ms));
    }
    answer_others(&mut old, 3_100);
    let mut late = PartBlame::new(2, 1);
    for notice in old.summary(at(4_000)) {
        late.apply(at(4_000), &notice);
    }
    for blame in [&mut old, &mut late] {
        let status = blame.status(at(5_000), &[part("bad")]);
        assert_matches!(status, PartStatus::Quarantined { .. });
    }
}

// A trial whose request was not sent made all other routers wait for its result.
#[test]
fn cancelled_trial_is_told_and_leaves_that_of_another_router() {
    let (tried_at, bad) = (at(60_400), [part("bad")]);
    let mut routers = [blame_with_bad_part(), blame_with_bad_part()];
    for blame in &mut routers {
        blame.quarantined(at(600));
        blame.take_notices();
    }
    let [x, y] = &mut routers;
    x.start_trial(tried_at, part("bad"));
    x.cancel_trial(part("bad"));
    for notice in x.take_notices() {
        y.apply(tried_at + Duration::from_millis(50), &notice);
    }
    let later = tried_at + Duration::from_millis(400);
    assert_matches!(y.status(later, &bad), PartStatus::Trial(_));
    y.start_trial(later, part("bad"));
    for notice in y.take_notices() {
        x.apply(later, &notice);
    }
    x.cancel_trial(part("bad"));
    assert_matches!(x.status(later, &bad), PartStatus::Quarantined { .. });
}

/// Returns how many prompts with a part are sent after the first of four bursts, five seconds apart.
fn sent_after_first_burst(prompts: u64) -> u64 {
    let mut blame = PartBlame::new(1, 4);
    let (mut late, mut crashes) = (0, 0);
    let mut fifth_crash_ms = None;
    for burst in 0..4 {
        let ms = 1_000 + 5_000 * burst;
        let mut sent = 0;
        for _ in 0..prompts {
            match blame.status(at(ms), &[part("a"), part("bad")]) {
                PartStatus::Quarantined { .. } => continue,
                PartStatus::Trial(tried) => blame.start_trial(at(ms), tried),
                PartStatus::Clear | PartStatus::Suspect => {}
            }
            sent += 1;
        }
        late += if fifth_crash_ms.is_some_and(|fifth| ms > fifth + 3_000) { sent } else { 0 };
        for n in 0..sent {
            crashes += 1;
            blame.record_crash(at(ms + 30 + n), crash(crashes, ms + 30 + n, &["a", "bad"]));
            fifth_crash_ms = fifth_crash_ms.or((crashes == 5).then_some(ms + 30 + n));
        }
        answer_others(&mut blame, ms + 1_000);
    }
    late
}

// Crashes of one moment count once, so that bursts of requests crashed engines without end.
#[test]
fn part_is_refused_though_its_requests_come_in_bursts() {
    for prompts in 2..=4 {
        let late = sent_after_first_burst(prompts);
        assert!(late <= 3, "bursts of {prompts}: {late} late prompts");
    }
}

// A single burst looks like the loss of a zone, in which no part is at fault.
#[test]
fn part_is_refused_though_six_of_its_requests_come_at_once() {
    let late = sent_after_first_burst(6);
    assert!(late <= 3, "{late} late prompts");
}

#[test]
fn part_of_long_answers_is_not_blamed_when_engines_crash_faster_than_they_end() {
    let parts = [part("a"), part("b")];
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=3 {
        blame.record_crash(at(1_000 * n), crash(n, 1_000 * n, &["a", "b"]));
        // Not longer than those that ended in a crash.
        blame.record_progress(at(1_000 * n + 130), &parts, at(1_000 * n + 100));
        // Goes on at another engine.
        blame.record_progress(at(1_000 * n + 600), &parts, at(1_000 * n + 100));
    }
    answer_others(&mut blame, 3_700);
    assert_eq!(quarantined(&mut blame, 4_000), []);
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=3 {
        blame.record_crash(at(1_000 * n), crash(n, 1_000 * n, &["a", "b"]));
        blame.record_progress(at(1_000 * n + 130), &parts, at(1_000 * n + 100));
    }
    answer_others(&mut blame, 3_700);
    assert_eq!(quarantined(&mut blame, 4_000), [part("b")]);
}

#[test]
fn part_whose_answers_had_gone_on_since_before_the_last_crash_is_not_blamed() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=5 {
        let mut crash = crash(n, 1_000 * n, &["a"]);
        let long = PartRun { lead: Duration::from_millis(2_500), ..crash.runs[0] };
        crash.merge(&EngineCrash { runs: vec![long], ..crash.clone() });
        blame.record_crash(at(1_000 * n), crash);
    }
    for n in 0..5 {
        blame.record_answer(at(5_500), &[part("c"), part("d")], at(5_100 + n));
    }
    assert_eq!(quarantined(&mut blame, 6_000), []);
}

#[test]
fn crash_is_not_held_against_a_part_before_all_routers_have_reported_it() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=3 {
        blame.record_crash(at(1_000 * n), crash(n, 1_000 * n, &["a"]));
    }
    for n in 0..5 {
        blame.record_answer(at(2_500), &[part("c"), part("d")], at(2_100 + n));
    }
    assert_eq!(quarantined(&mut blame, 3_010), []);
    // Another router had an answer there that had gone on since before the crash before.
    let mut report = crash(3, 3_000, &["a"]);
    report.runs[0].lead = Duration::from_millis(1_500);
    blame.apply(at(3_060), &PartNotice::Crashed { crash: report, contrasted: vec![] });
    assert_eq!(quarantined(&mut blame, 4_000), []);
}

#[test]
fn engines_lost_at_the_same_moment_blame_no_part() {
    let mut blame = PartBlame::new(1, 1);
    for n in 0..20 {
        blame.record_crash(at(1_000 + n), crash(n, 1_000 + n, &["a", "b"]));
    }
    for n in 0..5 {
        blame.record_answer(at(1_200 + n), &[part("c"), part("d")], at(1_100 + n));
    }
    assert_eq!(quarantined(&mut blame, 1_300), []);
    assert_eq!(blame.status(at(1_300), &[part("a"), part("b")]), PartStatus::Clear);
}

#[test]
fn nothing_is_blamed_while_no_prompt_is_answered() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=40 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", &format!("b{}", n % 4)]));
    }
    assert_eq!(quarantined(&mut blame, 5_000), []);
}

#[test]
fn crash_reported_late_does_not_undo_a_complete_answer() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=2 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "b"]));
    }
    blame.record_answer(at(400), &[part("a"), part("b")], at(310));
    answer_others(&mut blame, 320);
    // Reported after the answer, but from before it.
    blame.record_crash(at(420), crash(3, 300, &["a", "b"]));
    blame.record_crash(at(430), crash(1, 100, &["a", "b"]));
    assert_eq!(quarantined(&mut blame, 450), []);
    assert_eq!(blame.status(at(450), &[part("a"), part("b")]), PartStatus::Clear);
}

#[test]
fn answer_that_began_before_a_crash_does_not_refute_it() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=3 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
    }
    blame.record_answer(at(390), &[part("a"), part("bad")], at(90));
    answer_others(&mut blame, 310);
    assert_eq!(quarantined(&mut blame, 450), [part("bad")]);
}

#[test]
fn queued_requests_are_no_evidence() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=9 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &[]));
    }
    answer_others(&mut blame, 1_000);
    assert_eq!(quarantined(&mut blame, 1_100), []);
    assert_eq!(blame.take_notices(), []);
}

#[test]
fn two_causes_at_once_are_both_found() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=8 {
        let cause = if n % 2 == 0 { "bad" } else { "worse" };
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", cause]));
    }
    answer_others(&mut blame, 810);
    let mut found = quarantined(&mut blame, 960);
    found.sort_unstable();
    let mut expected = [part("bad"), part("worse")];
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert_eq!(blame.status(at(960), &[part("a"), part("b")]), PartStatus::Clear);
}

#[test]
fn part_that_was_in_three_of_many_crashes_by_chance_is_not_blamed() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=12 {
        let chance = if n % 4 == 0 { "b" } else { "c" };
        blame.record_crash(at(100 * n), crash(n, 100 * n, &[chance, &format!("d{n}")]));
    }
    blame.record_answer(at(1_250), &[part("c"), part("d")], at(1_210));
    answer_others(&mut blame, 1_260);
    assert_eq!(quarantined(&mut blame, 1_400), []);
    // Crashes after the part is refused say nothing about it.
    let mut blame = blame_with_bad_part();
    assert_eq!(quarantined(&mut blame, 450), [part("bad")]);
    for n in 10..30 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["c", &format!("d{n}")]));
    }
    assert!(quarantined(&mut blame, 3_000).contains(&part("bad")));
}

#[test]
fn number_of_blamed_parts_is_bounded() {
    let mut blame = PartBlame::new(1, 1);
    for n in 1..=126 {
        blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", &format!("b{}", n % 20)]));
    }
    answer_others(&mut blame, 12_610);
    assert_eq!(quarantined(&mut blame, 12_760).len(), MAX_QUARANTINED);
}

#[test]
fn request_that_was_lost_is_not_sent_again_from_the_second_crash_on() {
    let mut blame = PartBlame::new(1, 1);
    let parts = [part("a"), part("bad")];
    blame.record_crash(at(100), crash(1, 100, &["a", "bad"]));
    assert_eq!(blame.status(at(110), &parts), PartStatus::Clear);
    blame.record_crash(at(200), crash(2, 200, &["a", "bad"]));
    assert_eq!(blame.status(at(210), &parts), PartStatus::Suspect);
}

#[test]
fn request_that_is_sent_again_and_again_brings_no_blame_on_its_parts() {
    let mut blame = PartBlame::new(1, 1);
    let team = TeamName::try_from("desk").unwrap();
    let request = RequestFingerprint::new(&team, &[b"question"]);
    for n in 1..=4 {
        let runs = PartRun::of_request(&[part("a"), part("b")], request, Duration::from_millis(30));
        let crash = EngineCrash { runs, ..crash(n, 100 * n, &[]) };
        blame.record_crash(at(100 * n), crash);
        assert_eq!(blame.status(at(100 * n), &[part("a"), part("b")]), PartStatus::Clear);
    }
    for n in 0..5 {
        blame.record_answer(at(450 + n), &[part("c"), part("d")], at(410 + n));
    }
    assert_eq!(quarantined(&mut blame, 560), [part("a").of_request(request)]);
    assert_eq!(blame.status(at(560), &[part("a"), part("b")]), PartStatus::Clear);
}

#[test]
fn part_is_tried_again_by_one_request_and_cleared_by_its_answer() {
    let mut blame = blame_with_bad_part();
    let parts = [part("a"), part("bad")];
    let end = at(300) + INITIAL_QUARANTINE;
    assert_eq!(
        blame.status(at(450), &parts),
        PartStatus::Quarantined { part: part("bad"), until: end }
    );
    assert_eq!(blame.status(end, &parts), PartStatus::Trial(part("bad")));
    blame.start_trial(end, part("bad"));
    assert_matches!(blame.status(end, &parts), PartStatus::Quarantined { .. });
    let started_at = end + Duration::from_millis(80);
    blame.record_answer(started_at + Duration::from_millis(90), &parts, started_at);
    assert_eq!(blame.status(started_at + Duration::from_secs(1), &parts), PartStatus::Clear);
}

#[test]
fn trial_that_crashes_its_engine_doubles_the_quarantine() {
    let mut blame = blame_with_bad_part();
    let parts = [part("a"), part("bad")];
    let end = at(300) + INITIAL_QUARANTINE;
    blame.start_trial(end, part("bad"));
    let crashed_at = end + Duration::from_millis(200);
    blame.record_crash(crashed_at, EngineCrash { crashed_at, ..crash(4, 0, &["a", "bad"]) });
    let until = crashed_at + INITIAL_QUARANTINE * 2;
    assert_matches!(blame.status(crashed_at, &parts), PartStatus::Quarantined { .. });
    assert_eq!(
        blame.status(crashed_at + Duration::from_millis(150), &parts),
        PartStatus::Quarantined { part: part("bad"), until }
    );
    assert_eq!(blame.status(until, &parts), PartStatus::Trial(part("bad")));
}

#[test]
fn routers_try_a_part_again_at_different_times() {
    let mut ends = Vec::new();
    for seed in 0..40 {
        let mut blame = PartBlame::new(seed, 40);
        for notice in blame_with_bad_part().summary(at(500)) {
            blame.apply(at(500), &notice);
        }
        match blame.status(at(500), &[part("bad")]) {
            PartStatus::Quarantined { until, .. } => ends.push(until),
            status => panic!("{status:?}"),
        }
    }
    ends.sort_unstable();
    ends.dedup();
    assert!(ends.len() > 20, "{} different times", ends.len());
}

#[test]
fn parts_of_isolated_teams_are_told_apart() {
    let model = ModelName::try_from("m").unwrap();
    let team = |name: &str| TeamName::try_from(name).unwrap();
    let own = PartKey::new(&model, Some(&team("mill")), "bad");
    for other in [part("bad"), PartKey::new(&model, Some(&team("desk")), "bad")] {
        assert_ne!(own, other);
        assert_eq!(blame_with_bad_part().status(at(450), &[own]), PartStatus::Clear);
    }
}

#[test]
fn router_that_starts_later_learns_the_blamed_parts_from_a_summary() {
    let mut late = PartBlame::new(2, 2);
    for notice in blame_with_bad_part().summary(at(500)) {
        late.apply(at(500), &notice);
    }
    assert_matches!(
        late.status(at(500), &[part("a"), part("bad")]),
        PartStatus::Quarantined { .. }
    );
    assert_eq!(late.status(at(500), &[part("a"), part("b")]), PartStatus::Clear);
}

#[test]
fn router_that_missed_an_answer_is_told_when_it_repeats_the_blame() {
    let (mut behind, mut ahead) = (blame_with_bad_part(), blame_with_bad_part());
    ahead.record_answer(at(900), &[part("a"), part("bad")], at(800));
    let _ = (ahead.take_notices(), behind.take_notices());
    for notice in behind.summary(at(1_000)) {
        ahead.apply(at(1_000), &notice);
    }
    assert_eq!(quarantined(&mut ahead, 1_000), []);
    for notice in ahead.take_notices() {
        behind.apply(at(1_001), &notice);
    }
    assert_eq!(quarantined(&mut behind, 1_001), []);
}

#[test]
fn evidence_is_bounded_and_keeps_what_is_held_against_blamed_parts() {
    let mut blame = blame_with_bad_part();
    assert_eq!(quarantined(&mut blame, 450), [part("bad")]);
    for n in 0..5_000 {
        blame.record_crash(at(1_000 + n), crash(100 + n, 1_000 + n, &[&format!("p{n}")]));
    }
    assert_eq!(quarantined(&mut blame, 7_000), [part("bad")]);
    assert!(blame.take_notices().len() < 1_000);
}

/// A crash (engine, time, parts) or an answer (part, start).
#[derive(Clone, Debug)]
enum Evidence {
    Crash(u64, u64, Vec<u8>),
    Answer(u8, u64),
}

fn evidence() -> impl Strategy<Value = Evidence> {
    let parts = prop::collection::vec(0..6_u8, 1..4);
    prop_oneof![
        3 => (0..12_u64, 1..50_u64, parts).prop_map(|(e, t, p)| Evidence::Crash(e, 20 * t + e, p)),
        1 => (0..6_u8, 1..50_u64).prop_map(|(p, t)| Evidence::Answer(p, 20 * t)),
    ]
}

proptest! {
    /// Routers receive the same notices in different orders, some of them twice.
    #[test]
    fn order_and_repetition_of_notices_do_not_matter(
        evidence in prop::collection::vec(evidence(), 0..40),
        order in prop::collection::vec(0..1_000_u32, 80),
    ) {
        let now = at(5_000);
        let mut reporter = PartBlame::new(1, 3);
        for item in &evidence {
            match item {
                Evidence::Crash(engine, ms, parts) => {
                    let names: Vec<_> = parts.iter().map(|n| format!("p{n}")).collect();
                    let names: Vec<_> = names.iter().map(String::as_str).collect();
                    reporter.record_crash(now, crash(*engine, *ms, &names));
                }
                Evidence::Answer(n, ms) => {
                    reporter.record_answer(now, &[part(&format!("p{n}"))], at(*ms));
                }
            }
        }
        let mut notices = reporter.take_notices();
        notices.extend(notices.clone());
        let mut shuffled: Vec<_> = notices.iter().zip(&order).collect();
        shuffled.sort_by_key(|(_, order)| **order);
        let mut receivers = [PartBlame::new(2, 3), PartBlame::new(3, 3)];
        notices.iter().for_each(|notice| receivers[0].apply(now, notice));
        shuffled.iter().for_each(|(notice, _)| receivers[1].apply(now, notice));
        for receiver in &mut receivers {
            for n in 0..5 {
                receiver.record_answer(now, &[part("other")], at(3_000 + n));
            }
        }
        let [first, second] = &mut receivers;
        prop_assert_eq!(first.quarantined(now), second.quarantined(now));
        for blamed in first.quarantined(now) {
            prop_assert!(blamed.crashes >= BLAME_THRESHOLD);
        }
        let notices_stay_equal = notices.iter().all(|notice| {
            let sent_at = at(9_000);
            notice.clone().shifted(sent_at, sent_at) == *notice
        });
        prop_assert!(notices_stay_equal);
    }
}

#[test]
fn merged_notices_keep_all_parts_and_the_earliest_time() {
    let crashed = |crash, contrasted| PartNotice::Crashed { crash, contrasted };
    let mut notice = crashed(crash(1, 105, &["a"]), vec![]);
    assert!(notice.merge(&crashed(crash(1, 100, &["a", "b"]), vec![part("b")])));
    assert_eq!(notice, crashed(crash(1, 100, &["a", "b"]), vec![part("b")]));
    assert!(!notice.merge(&crashed(crash(2, 100, &["a"]), vec![])));
}

/// Time that a notice takes to the other routers.
const NOTICE_MS: u64 = 150;

/// Requests with a part that may reach engines once it is known.
const MOST_TRIALS: usize = 3;

/// Returns the most requests with a part that any of 20 fleets lets through at the end of its
/// quarantine until the others know the result of the first one, `result_ms` after its start.
fn most_trials(routers: u32, requests_per_s: u64, result_ms: u64) -> usize {
    let mut most = 0;
    for fleet in 0..20_u64 {
        let mut blames: Vec<_> = (0..u64::from(routers))
            .map(|router| {
                let mut blame = PartBlame::new((fleet << 32) + router, routers);
                for n in 1..=3 {
                    blame.record_crash(at(100 * n), crash(n, 100 * n, &["a", "bad"]));
                }
                answer_others(&mut blame, 310);
                blame.take_notices();
                blame
            })
            .collect();
        let (mut trials, mut known_at) = (0, u64::MAX);
        let mut notices = Vec::new();
        // Requests reach routers in no particular order.
        let mut rng = StdRng::seed_from_u64(fleet);
        let mut ms = 60_300;
        while ms < known_at && ms < 400_000 {
            for (_, notice) in notices.extract_if(.., |(due_ms, _)| *due_ms <= ms) {
                blames.iter_mut().for_each(|blame| blame.apply(at(ms), &notice));
            }
            let blame = &mut blames[rng.random_range(0..routers as usize)];
            if let PartStatus::Trial(tried) = blame.status(at(ms), &[part("a"), part("bad")]) {
                blame.start_trial(at(ms), tried);
                notices.extend(blame.take_notices().into_iter().map(|it| (ms + NOTICE_MS, it)));
                trials += 1;
                known_at = known_at.min(ms + result_ms);
            }
            ms += 1_000 / requests_per_s;
        }
        most = most.max(trials);
    }
    most
}

// Each of them may crash an engine.
#[test]
fn few_routers_try_a_part_before_the_first_result_is_known() {
    for routers in [4, 23, 380] {
        for requests_per_s in [10, 100] {
            for result_ms in [300, 800, 4_000] {
                let trials = most_trials(routers, requests_per_s, result_ms);
                let case = format!("{routers} routers, {requests_per_s}/s, {result_ms} ms");
                assert!(trials <= MOST_TRIALS, "{case}: {trials} trials");
            }
        }
    }
}
