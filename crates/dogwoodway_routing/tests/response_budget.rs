//! Memory of responses that clients have not taken.

use std::time::Duration;

use dogwoodway_routing::response_budget::{ResponseBudget, Shortage};
use dogwoodway_types::Timestamp;
use proptest::prelude::*;

const CAPACITY: u64 = 1 << 20;
const START: Timestamp = Timestamp(0);

fn at_ms(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

// Guards against aborting a client that reads slowly instead of one that reads nothing.
#[test]
fn response_is_aborted_whose_client_has_taken_nothing_for_longest() {
    let mut budget = ResponseBudget::new(CAPACITY);
    let [slow, unread, reader] = [0, 1, 2].map(|_| budget.open(START));
    for id in [slow, unread] {
        assert!(budget.reserve(id, CAPACITY / 2));
        budget.hold(id, CAPACITY / 2, START);
    }
    budget.release(slow, 1, at_ms(1_500));
    assert!(!budget.reserve(reader, 100_000));
    let until = Shortage::WaitUntil(at_ms(2_000));
    assert_eq!(budget.resolve_shortage(reader, 100_000, at_ms(1_999)), until);
    let abort = Shortage::Abort(unread);
    assert_eq!(budget.resolve_shortage(reader, 100_000, at_ms(2_000)), abort);
    // Its memory suffices, so that no other is aborted before it is released.
    assert_eq!(budget.resolve_shortage(reader, 100_000, at_ms(9_000)), Shortage::Wait);
    budget.close(unread);
    assert!(budget.reserve(reader, 100_000));
}

// Guards against aborting a client that waits for its backend server.
#[test]
fn response_without_untaken_bytes_is_never_aborted() {
    let mut budget = ResponseBudget::new(CAPACITY);
    let (download, other) = (budget.open(START), budget.open(START));
    assert!(budget.reserve(download, CAPACITY));
    budget.hold(download, 1_000, START);
    budget.release(download, 1_000, at_ms(1));
    assert!(!budget.reserve(other, 2_000));
    assert_eq!(budget.resolve_shortage(other, 2_000, at_ms(60_000)), Shortage::Wait);
}

// The time before there is anything to take is not the client's.
#[test]
fn client_has_its_time_from_when_there_is_something_to_take() {
    let mut budget = ResponseBudget::new(CAPACITY);
    let (late, other) = (budget.open(START), budget.open(START));
    assert!(budget.reserve(late, CAPACITY));
    budget.hold(late, CAPACITY, at_ms(5_000));
    let until = Shortage::WaitUntil(at_ms(7_000));
    assert_eq!(budget.resolve_shortage(other, 1, at_ms(5_100)), until);
}

proptest! {
    // Guards against a sum that grows beyond the budget, or that is not returned.
    #[test]
    fn reserved_bytes_never_exceed_the_budget(
        steps in prop::collection::vec((0..8_usize, 0..200_000_u64, 0..3_u8), 1..200),
    ) {
        let mut budget = ResponseBudget::new(CAPACITY);
        let ids: Vec<_> = (0..8).map(|_| budget.open(START)).collect();
        for (n, (response, bytes, step)) in steps.into_iter().enumerate() {
            let (id, now) = (ids[response], at_ms(n as u64));
            match step {
                0 => _ = budget.reserve(id, bytes),
                1 if budget.reserve(id, bytes) => budget.hold(id, bytes, now),
                _ => budget.release(id, bytes, now),
            }
            prop_assert!(budget.used() <= CAPACITY);
            prop_assert_eq!(budget.used(), ids.iter().map(|id| budget.held(*id)).sum::<u64>());
        }
        ids.iter().for_each(|id| budget.close(*id));
        prop_assert_eq!(budget.used(), 0);
    }
}
