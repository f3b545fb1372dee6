//! Simulations of several routers that elect a leader by conditional appends to one log.

use std::time::Duration;

use dogwoodway_routing::direct::leadership::{LeaderRecord, Leadership, LeadershipAction};
use dogwoodway_types::{LogOffset, RouterName, Timestamp};
use proptest::prelude::*;

const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 50;

/// A fault of one router, from one step of the simulation for a number of steps.
#[derive(Clone, Copy, Debug)]
struct Fault {
    router: usize,
    at_step: usize,
    steps: usize,
    kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// The router does nothing while time goes on.
    Paused,
    /// The router cannot reach the log.
    Partitioned,
    /// Appends of the router succeed, but the answers are lost.
    AnswerLost,
    /// The router restarts and has lost its state.
    Restarted,
}

struct Router {
    leadership: Leadership,
    read_to: usize,
}

fn name(n: usize) -> RouterName {
    RouterName::try_from(format!("router-{n}")).unwrap()
}

/// Runs a simulation; returns the orders sent, as time in milliseconds, router and fencing token.
fn simulate(routers: usize, steps: usize, faults: &[Fault]) -> Vec<(u64, usize, u64)> {
    let new = |n| Router { leadership: Leadership::new(name(n), LEASE_MS), read_to: 0 };
    let mut states: Vec<_> = (0..routers).map(new).collect();
    let mut log: Vec<LeaderRecord> = Vec::new();
    let mut orders = Vec::new();
    for step in 0..steps {
        let now = Timestamp::from_millis(10_000 + step as u64 * STEP_MS);
        for (n, router) in states.iter_mut().enumerate() {
            let active_fault = faults.iter().find(|fault| {
                fault.router == n && (fault.at_step..fault.at_step + fault.steps).contains(&step)
            });
            match active_fault.map(|fault| fault.kind) {
                Some(FaultKind::Paused) => continue,
                Some(FaultKind::Restarted) => *router = new(n),
                Some(FaultKind::Partitioned) => {}
                Some(FaultKind::AnswerLost) | None => {
                    for (i, record) in log.iter().enumerate().skip(router.read_to) {
                        router.leadership.apply_record(now, LogOffset(i as u64), record);
                    }
                    router.read_to = log.len();
                    router.leadership.record_log_end(now, LogOffset(log.len() as u64), true);
                    if let LeadershipAction::Append { record, at } =
                        router.leadership.next_action(now)
                        && at == LogOffset(log.len() as u64)
                    {
                        log.push(record.clone());
                        if active_fault.is_none() {
                            router.leadership.record_append(now, at, &record);
                        }
                    }
                }
            }
            if let Some(token) = router.leadership.fencing_token(now) {
                router.leadership.record_order(now);
                orders.push((now.as_millis(), n, token.0));
            }
        }
    }
    orders
}

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        Just(FaultKind::Paused),
        Just(FaultKind::Partitioned),
        Just(FaultKind::AnswerLost),
        Just(FaultKind::Restarted)
    ];
    (0..3_usize, 0..600_usize, 1..160_usize, kind).prop_map(|(router, at_step, steps, kind)| {
        let steps = if matches!(kind, FaultKind::Restarted) { 1 } else { steps };
        Fault { router, at_step, steps, kind }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn orders_of_different_routers_are_at_least_a_lease_apart(
        faults in prop::collection::vec(fault(), 0..8)
    ) {
        let orders = simulate(3, 800, &faults);
        for pair in orders.windows(2) {
            let ((previous_ms, leader, token), (next_ms, successor, next_token)) = (pair[0], pair[1]);
            prop_assert!(next_token >= token, "{:?}", pair);
            if leader != successor {
                prop_assert!(next_ms - previous_ms >= LEASE_MS, "{:?}", pair);
            }
        }
    }
}

#[test]
fn the_first_router_leads_at_once_and_a_successor_within_five_seconds() {
    let outage = Fault { router: 0, at_step: 100, steps: 900, kind: FaultKind::Paused };
    let orders = simulate(2, 400, &[outage]);
    assert_eq!(orders[0].0, 10_000);
    let last = orders.iter().filter(|order| order.1 == 0).map(|order| order.0).max().unwrap();
    let first_of_successor =
        orders.iter().find(|order| order.1 == 1).expect("the other router leads").0;
    assert!(first_of_successor - last <= 5_000, "{last} {first_of_successor}");
}

#[test]
fn a_released_term_passes_on_once_the_last_order_is_a_lease_old() {
    let start = Timestamp::from_millis(50_000);
    let mut first = Leadership::new(name(0), LEASE_MS);
    first.record_log_end(start, LogOffset(0), true);
    let LeadershipAction::Append { record, at } = first.next_action(start) else {
        panic!("no claim")
    };
    first.record_append(start, at, &record);
    first.record_order(start);
    let released_at = start + Duration::from_millis(1_000);
    let Some(LeadershipAction::Append { record: release, .. }) = first.release(released_at) else {
        panic!("nothing to release")
    };
    assert_eq!(first.fencing_token(released_at), None);
    let mut successor = Leadership::new(name(1), LEASE_MS);
    successor.apply_record(released_at, LogOffset(0), &record);
    successor.apply_record(released_at, LogOffset(1), &release);
    successor.record_log_end(released_at, LogOffset(2), true);
    assert_eq!(successor.next_action(released_at), LeadershipAction::Wait);
    assert_eq!(successor.next_action(start + Duration::from_millis(2_900)), LeadershipAction::Wait);
    let claimable_at = start + Duration::from_millis(3_300);
    assert!(matches!(successor.next_action(claimable_at), LeadershipAction::Append { .. }));
}
