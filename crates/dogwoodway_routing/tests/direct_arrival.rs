//! When messages arrived that a task reads from a socket.

use dogwoodway_routing::direct::arrival::ArrivalClock;
use dogwoodway_types::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

#[test]
fn messages_that_never_end_arrive_when_they_are_read() {
    let mut arrivals = ArrivalClock::new(at(0));
    for ms in (0..60_000).step_by(400) {
        arrivals.record_wakeup(at(ms));
        assert_eq!(arrivals.arrived_at(at(ms)), at(ms));
    }
}

#[test]
fn what_waited_while_the_process_stood_still_counts_from_before() {
    let mut arrivals = ArrivalClock::new(at(0));
    for ms in [100, 3_000, 3_001, 3_400, 3_800, 4_000] {
        arrivals.record_wakeup(at(ms));
        let expected = if ms < 3_000 { at(ms) } else { at(100) };
        assert_eq!(arrivals.arrived_at(at(ms)), expected, "{ms}");
    }
    arrivals.record_wakeup(at(4_100));
    assert_eq!(arrivals.arrived_at(at(4_100)), at(4_100), "nothing waits any more");
}

#[test]
fn socket_that_was_empty_before_the_stall_ended_proves_nothing() {
    let mut arrivals = ArrivalClock::new(at(0));
    arrivals.record_wakeup(at(3_000));
    arrivals.record_empty(at(2_999));
    assert_eq!(arrivals.arrived_at(at(3_000)), at(0));
    arrivals.record_empty(at(3_000));
    assert_eq!(arrivals.arrived_at(at(3_001)), at(3_001));
}

#[test]
fn second_stall_does_not_hide_the_first() {
    let mut arrivals = ArrivalClock::new(at(0));
    arrivals.record_wakeup(at(3_000));
    arrivals.record_wakeup(at(3_800));
    assert_eq!(arrivals.arrived_at(at(3_800)), at(0));
    arrivals.record_wakeup(at(4_700));
    assert_eq!(arrivals.arrived_at(at(4_700)), at(0));
}
