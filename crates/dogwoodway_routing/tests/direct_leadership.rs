//! Histories of several routers that lead by conditional appends to one log.

use std::time::Duration;

use dogwoodway_routing::direct::leadership::{LeaderRecord, Leadership, LeadershipAction};
use dogwoodway_types::{LogOffset, RouterName, Timestamp};
use proptest::prelude::*;

const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 50;

/// What befalls one router at one step.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    router: usize,
    at_step: usize,
    steps: usize,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// The router does nothing; time goes on.
    Frozen,
    /// It cannot reach the log.
    Cut,
    /// Its appends take effect, and it does not hear so.
    Unanswered,
    /// It starts anew and knows nothing.
    Restarted,
}

struct Router {
    leadership: Leadership,
    read_to: usize,
}

fn name(n: usize) -> RouterName {
    RouterName::try_from(format!("router-{n}")).unwrap()
}

/// Plays a history; returns the orders given, as time, router and fencing token.
fn play(routers: usize, steps: usize, troubles: &[Trouble]) -> Vec<(u64, usize, u64)> {
    let new = |n| Router { leadership: Leadership::new(name(n), LEASE_MS), read_to: 0 };
    let mut all: Vec<_> = (0..routers).map(new).collect();
    let mut log: Vec<LeaderRecord> = Vec::new();
    let mut orders = Vec::new();
    for step in 0..steps {
        let now = Timestamp::from_millis(10_000 + step as u64 * STEP_MS);
        for (n, router) in all.iter_mut().enumerate() {
            let befallen = troubles.iter().find(|trouble| {
                trouble.router == n
                    && (trouble.at_step..trouble.at_step + trouble.steps).contains(&step)
            });
            match befallen.map(|trouble| trouble.kind) {
                Some(Kind::Frozen) => continue,
                Some(Kind::Restarted) => *router = new(n),
                Some(Kind::Cut) => {}
                Some(Kind::Unanswered) | None => {
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
                        if befallen.is_none() {
                            router.leadership.record_append(now, at, &record);
                        }
                    }
                }
            }
            if let Some(fence) = router.leadership.fencing_token(now) {
                router.leadership.record_order(now);
                orders.push((now.as_millis(), n, fence.0));
            }
        }
    }
    orders
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let kind = prop_oneof![
        Just(Kind::Frozen),
        Just(Kind::Cut),
        Just(Kind::Unanswered),
        Just(Kind::Restarted)
    ];
    (0..3_usize, 0..600_usize, 1..160_usize, kind).prop_map(|(router, at_step, steps, kind)| {
        let steps = if matches!(kind, Kind::Restarted) { 1 } else { steps };
        Trouble { router, at_step, steps, kind }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn orders_of_different_routers_are_a_lease_apart(
        troubles in prop::collection::vec(trouble(), 0..8)
    ) {
        let orders = play(3, 800, &troubles);
        for pair in orders.windows(2) {
            let ((before, holder, fence), (after, next, next_fence)) = (pair[0], pair[1]);
            prop_assert!(next_fence >= fence, "{:?}", pair);
            if holder != next {
                prop_assert!(after - before >= LEASE_MS, "{:?}", pair);
            }
        }
    }
}

#[test]
fn a_first_router_leads_at_once_and_a_successor_within_five_seconds() {
    let died = Trouble { router: 0, at_step: 100, steps: 900, kind: Kind::Frozen };
    let orders = play(2, 400, &[died]);
    assert_eq!(orders[0].0, 10_000);
    let last = orders.iter().filter(|order| order.1 == 0).map(|order| order.0).max().unwrap();
    let next = orders.iter().find(|order| order.1 == 1).expect("the other leads").0;
    assert!(next - last <= 5_000, "{last} {next}");
}

#[test]
fn a_released_leadership_passes_on_when_the_last_order_is_old_enough() {
    let start = Timestamp::from_millis(50_000);
    let mut first = Leadership::new(name(0), LEASE_MS);
    first.record_log_end(start, LogOffset(0), true);
    let LeadershipAction::Append { record, at } = first.next_action(start) else {
        panic!("no claim")
    };
    first.record_append(start, at, &record);
    first.record_order(start);
    let later = start + Duration::from_millis(1_000);
    let Some(LeadershipAction::Append { record: release, .. }) = first.release(later) else {
        panic!("nothing to release")
    };
    assert_eq!(first.fencing_token(later), None);
    let mut second = Leadership::new(name(1), LEASE_MS);
    second.apply_record(later, LogOffset(0), &record);
    second.apply_record(later, LogOffset(1), &release);
    second.record_log_end(later, LogOffset(2), true);
    assert_eq!(second.next_action(later), LeadershipAction::Wait);
    assert_eq!(second.next_action(start + Duration::from_millis(2_900)), LeadershipAction::Wait);
    let free = start + Duration::from_millis(3_300);
    assert!(matches!(second.next_action(free), LeadershipAction::Append { .. }));
}
