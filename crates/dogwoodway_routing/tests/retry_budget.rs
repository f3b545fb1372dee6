//! The retry budget against a recount of the whole history.

use dogwoodway_routing::retry_budget::RetryBudget;
use proptest::prelude::*;

/// Retries allowed at once, and per first attempt, by the design.
const BURST: f64 = 128.0;
const SHARE: f64 = 0.2;

/// Whether a retry is allowed: no stretch of the past, up to now, holds more retries than the burst
/// and its first attempts allow.
fn is_allowed(history: &[bool]) -> bool {
    let mut retries = 1.0;
    let mut firsts = 0.0;
    for is_retry in history.iter().rev() {
        match is_retry {
            true => retries += 1.0,
            false => firsts += 1.0,
        }
        if retries > BURST + SHARE * firsts + 1e-6 {
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
    fn no_stretch_holds_more_retries_than_its_first_attempts_allow(
        asks in proptest::collection::vec((proptest::bool::weighted(0.6), 1..12_u32), 1..80),
    ) {
        let mut budget = RetryBudget::default();
        let mut history = Vec::new();
        for (is_retry, times) in asks {
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
