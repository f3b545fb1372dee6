//! Simulates requests that run beside one which crashes engines, with nothing that keeps suspects apart.

use dogwoodway_routing::{
    crash_attribution::CrashAttribution,
    quarantine::{Quarantine, QuarantineStatus, UNCERTAIN_SPACING},
};
use dogwoodway_types::{EngineIncarnation, RequestFingerprint, TeamName, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Seeds of each simulation.
const SEEDS: u64 = 300;

/// Crashes after which the simulation gives up.
const MAX_CRASHES: u64 = 20;

fn request(i: u8) -> RequestFingerprint {
    RequestFingerprint::new(&TeamName::try_from("demo").unwrap(), &[&[i]])
}

struct Router {
    quarantine: Quarantine,
    attribution: Option<CrashAttribution>,
}

impl Router {
    fn record_crash(&mut self, at: Timestamp, i: u8, engine: EngineIncarnation, is_certain: bool) {
        if let Some(attribution) = &mut self.attribution {
            attribution.record_crash(at, request(i), engine);
        }
        match is_certain {
            true => self.quarantine.record_crash(at, request(i), engine),
            false => self.quarantine.record_uncertain_crash(at, at, request(i), engine),
        }
    }

    fn record_answer(&mut self, i: u8) {
        if let Some(attribution) = &mut self.attribution {
            attribution.record_answer(&request(i));
        }
        self.quarantine.record_answer(&request(i));
    }

    fn refuses(&self, at: Timestamp, i: u8) -> bool {
        let QuarantineStatus::Quarantined { .. } = self.quarantine.status(at, &request(i)) else {
            return false;
        };
        let excess = self.quarantine.excess_crashes(&request(i));
        !self.attribution.as_ref().is_some_and(|a| a.is_excused(&request(i), excess))
    }
}

/// Result of all seeds.
#[derive(Debug, Default)]
struct Outcome {
    /// Most crashes of one seed.
    most_crashes: u64,
    /// Sound requests that are refused at the end, of three a seed.
    sound_refused: usize,
    /// Crashing requests that are not refused at the end.
    bad_running: usize,
}

/// Plays requests 0 to 2, which are sound, and `bad` more, each of which crashes its engine. A sound
/// request is beside it half the time and is answered before the next crash in `answered` of ten
/// cases. The requests of a crash are reported in any order.
fn play(has_attribution: bool, is_certain: bool, bad: u8, answered: u32) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let attribution = has_attribution.then(CrashAttribution::default);
        let mut router = Router { quarantine: Quarantine::new(100), attribution };
        let (mut crashes, mut at) = (0, Timestamp::from_millis(1_000));
        while crashes < MAX_CRASHES {
            at = Timestamp::from_millis(1_000 + 700 * crashes);
            let mut on_engine: Vec<u8> = (3..3 + bad).filter(|i| !router.refuses(at, *i)).collect();
            if on_engine.is_empty() {
                break;
            }
            crashes += 1;
            on_engine.extend((0..3).filter(|i| !router.refuses(at, *i) && rng.random_bool(0.5)));
            on_engine.shuffle(&mut rng);
            for i in on_engine {
                router.record_crash(at, i, EngineIncarnation(crashes), is_certain);
            }
            for i in 0..3 {
                if !router.refuses(at, i) && rng.random_ratio(answered, 10) {
                    router.record_answer(i);
                }
            }
        }
        outcome.most_crashes = outcome.most_crashes.max(crashes);
        outcome.sound_refused += (0..3).filter(|i| router.refuses(at, *i)).count();
        outcome.bad_running += (3..3 + bad).filter(|i| !router.refuses(at, *i)).count();
    }
    eprintln!(
        "attribution {has_attribution}, certain {is_certain}, {bad} bad, {answered}/10 answered: {outcome:?}"
    );
    outcome
}

// A sound request that ran beside the crashing one in two crashes was quarantined with it.
#[test]
fn sound_request_beside_a_crashing_one_is_not_quarantined() {
    // Without any answer, one of eight sound requests is beside the crashing one three times in a row.
    for (is_certain, answered, most_percent) in
        [(true, 0, 15), (true, 5, 4), (false, 0, 15), (false, 5, 4)]
    {
        let without = play(false, is_certain, 1, answered);
        let with = play(true, is_certain, 1, answered);
        assert_eq!(with.bad_running, 0);
        assert!(with.most_crashes <= without.most_crashes + 1);
        let sound = 3 * SEEDS as usize;
        assert!(with.sound_refused * 100 <= sound * most_percent, "{with:?}");
    }
}

// Crashing requests excuse each other only until their crashes tell them apart.
#[test]
fn several_crashing_requests_are_all_quarantined() {
    for (bad, most) in [(2, 8), (3, 11)] {
        let outcome = play(true, true, bad, 5);
        assert_eq!(outcome.bad_running, 0);
        assert!(outcome.most_crashes <= most);
    }
}

#[test]
fn request_that_was_blamed_first_is_released_when_the_cause_is_reported() {
    let mut attribution = CrashAttribution::default();
    let at = Timestamp::from_millis(1);
    for n in 1..=3 {
        attribution.record_crash(at, request(0), EngineIncarnation(n));
    }
    assert!(!attribution.is_excused(&request(0), 1));
    for n in 1..=4 {
        attribution.record_crash(at, request(1), EngineIncarnation(n));
    }
    assert!(attribution.is_excused(&request(0), 1));
    assert!(!attribution.is_excused(&request(1), 2));
}

#[test]
fn crash_reported_again_after_an_answer_neither_counts_nor_excuses() {
    let mut attribution = CrashAttribution::default();
    let at = Timestamp::from_millis(1);
    for n in 1..=3 {
        attribution.record_crash(at, request(0), EngineIncarnation(n));
        attribution.record_crash(at, request(1), EngineIncarnation(n));
    }
    assert!(attribution.record_answer(&request(0)));
    attribution.record_crash(at, request(0), EngineIncarnation(1));
    assert!(!attribution.record_answer(&request(0)));
    assert!(!attribution.is_excused(&request(1), 0));
}

// A probable cause crashed each server that came back, in runs that follow too closely to count.
#[test]
fn probable_cause_is_tried_at_intervals_until_it_is_answered() {
    let mut attribution = CrashAttribution::default();
    let at = Timestamp::from_millis;
    for n in 1..=2 {
        attribution.record_crash(at(100 * n), request(0), EngineIncarnation(n));
        attribution.record_crash(at(100 * n), request(1), EngineIncarnation(n));
    }
    attribution.record_crash(at(300), request(0), EngineIncarnation(3));
    attribution.record_try(at(900), request(0));
    attribution.record_try(at(900), request(1));
    assert_eq!(attribution.next_try_at(&request(0)), Some(at(900) + UNCERTAIN_SPACING));
    assert_eq!(attribution.next_try_at(&request(1)), None);
    attribution.record_answer(&request(0));
    assert_eq!(attribution.next_try_at(&request(0)), None);
}
