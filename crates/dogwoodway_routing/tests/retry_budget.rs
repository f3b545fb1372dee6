//! Compares the retry budget with a reference model that evaluates the whole history.

use dogwoodway_routing::retry_budget::RetryBudget;
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
