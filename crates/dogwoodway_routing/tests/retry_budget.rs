//! Compares the retry budget with a reference model that evaluates the whole history.

use std::time::Duration;

use dogwoodway_routing::retry_budget::{RetryBounds, RetryBudget, RetryShare};
use dogwoodway_types::Timestamp;
use proptest::prelude::*;

/// Default capacity of the budget, in retries.
const MAX_SAVED: f64 = 128.0;

/// Default number of retries that each first attempt earns.
const EARNED_PER_FIRST_ATTEMPT: f64 = 0.2;

/// Returns whether a retry is allowed: with it, no interval that ends now may hold more retries
/// than the capacity plus what its first attempts earned.
fn is_allowed(history: &[bool]) -> bool {
    let mut retries = 1.0;
    let mut firsts = 0.0;
    for is_retry in history.iter().rev() {
        match is_retry {
            true => retries += 1.0,
            false => firsts += 1.0,
        }
        if retries > MAX_SAVED + EARNED_PER_FIRST_ATTEMPT * firsts + 1e-6 {
            return false;
        }
    }
    true
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn retries_in_any_interval_are_limited_by_its_first_attempts(
        runs in proptest::collection::vec((proptest::bool::weighted(0.6), 1..12_u32), 1..80),
    ) {
        let mut budget = RetryBudget::default();
        let mut history = Vec::new();
        for (is_retry, times) in runs {
            for _ in 0..times {
                let allowed = is_retry && is_allowed(&history);
                match is_retry {
                    true => prop_assert_eq!(budget.try_take_retry(), allowed),
                    false => budget.record_first_attempt(),
                }
                if allowed || !is_retry {
                    history.push(is_retry);
                }
            }
        }
    }
}

/// Limits that a platform sets on all routers together.
const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, slack: 54 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// Returns the retries that `routers` routers send at once, each of which has got `requests` requests
/// just before and many long ago.
fn retries_at_once(routers: u32, requests: u32) -> u32 {
    let share = |position| RetryShare::new(at(0), BOUNDS.share(routers, position));
    let shares = (0..routers).map(share);
    let mut retries = 0;
    for mut share in shares {
        (0..100).for_each(|_| share.record_first_attempt(at(0)));
        (0..requests).for_each(|_| share.record_first_attempt(at(60_000)));
        while share.try_take_retry(at(60_500)) {
            retries += 1;
        }
    }
    retries
}

// Each router of a large fleet saved a retry, and all together far more than the budget.
#[test]
fn routers_of_a_large_fleet_do_not_exceed_the_budget_together() {
    for routers in [1, 3, 4, 30, 103, 380] {
        for requests in [0, 1, 5, 10] {
            let allowed = BOUNDS.ratio * f64::from(routers * requests) + f64::from(BOUNDS.slack);
            let retries = f64::from(retries_at_once(routers, requests));
            assert!(retries <= allowed, "{retries} of {allowed} retries of {routers} routers");
            let earned = 0.15 * f64::from(routers * requests) - f64::from(routers);
            assert!(retries >= earned.max(40.0), "only {retries} retries of {routers} routers");
        }
    }
}

proptest! {
    #[test]
    fn share_of_whole_retries_allows_what_a_bucket_of_the_same_limits_allows(
        steps in proptest::collection::vec((proptest::bool::weighted(0.3), 0..2_000_u64), 1..400),
    ) {
        let limits = BOUNDS.share(4, 1);
        let (mut share, mut budget) = (
            RetryShare::new(Timestamp::default(), limits),
            RetryBudget::new(limits.retries),
        );
        let mut ms = 0;
        for (is_retry, pause_ms) in steps {
            ms += pause_ms / 10;
            match is_retry {
                true => prop_assert_eq!(share.try_take_retry(at(ms)), budget.try_take_retry()),
                false => {
                    share.record_first_attempt(at(ms));
                    budget.record_first_attempt();
                }
            }
        }
    }
}

/// Sends all retries that a share allows at a time; returns their number.
fn drain(share: &mut RetryShare, now: Timestamp) -> u32 {
    (0..).take_while(|_| share.try_take_retry(now)).count() as u32
}

// Guards against restarted routers that send their saved retries again.
#[test]
fn routers_that_start_again_twice_in_a_window_keep_the_budget_together() {
    for routers in [1, 2, 4, 30, 103, 380] {
        for requests in [0, 1, 10, 40] {
            let mut retries = 0;
            for position in 0..routers {
                let limits = BOUNDS.share(routers, position);
                let mut before = RetryShare::new(at(0), limits);
                (0..100).for_each(|_| before.record_first_attempt(at(0)));
                retries += drain(&mut before, at(60_000));
                for started_at in [at(63_000), at(66_000)] {
                    let mut share = RetryShare::new(started_at, limits);
                    let now = started_at + Duration::from_millis(500);
                    (0..requests).for_each(|_| share.record_first_attempt(now));
                    retries += drain(&mut share, now);
                }
            }
            let sent = 2 * routers * requests;
            let allowed = BOUNDS.ratio * f64::from(sent) + f64::from(BOUNDS.slack);
            assert!(f64::from(retries) <= allowed, "{retries} of {allowed}, {routers} routers");
        }
    }
}

#[test]
fn saved_retries_are_back_once_a_whole_window_is_known() {
    let mut share = RetryShare::new(at(0), BOUNDS.share(1, 0));
    (0..100).for_each(|_| share.record_first_attempt(at(0)));
    assert_eq!(drain(&mut share, at(20_000)), 40);
}
