//! Simulations of several routers that elect a leader by conditional appends to one log.

use std::{ops::Range, time::Duration};

use assert_matches::assert_matches;
use dogwoodway_routing::direct::leadership::{
    LeaderRecord, Leadership, LeadershipAction, ORDER_TRANSIT_MS,
};
use dogwoodway_types::{LogOffset, LogPosition, RouterName, StoreEra, Timestamp};
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    /// The router does nothing while time goes on.
    Paused,
    /// The router cannot reach the log.
    Partitioned,
    /// Appends of the router succeed, but the answers are lost.
    AnswerLost,
    /// The router appends, but reads nothing.
    ReadsNothing,
    /// The router restarts and has lost its state.
    Restarted,
    /// Orders of the router arrive late.
    SlowOrders,
    /// The router is stopped, releases the leadership, and starts again later without its state.
    Stopped,
}

/// A return of the store from a copy, at one step of the simulation.
#[derive(Clone, Copy, Debug)]
struct Return {
    at_step: usize,
    lost_records: usize,
}

struct Router {
    leadership: Leadership,
    /// Distinguishes the processes of a router.
    started_at: Timestamp,
    /// Position up to which the router has read; `None` if it has to begin at the start.
    read_to: Option<LogPosition>,
}

/// An order that has been sent.
#[derive(Clone, Copy, Debug)]
struct Order {
    arrives_at: Timestamp,
    router: usize,
    /// When the process started that sent it.
    process: Timestamp,
    token: u64,
}

struct Log {
    /// Present if the store names its era.
    era: Option<StoreEra>,
    records: Vec<LeaderRecord>,
}

impl Log {
    fn position(&self, offset: usize) -> LogPosition {
        LogPosition { era: self.era, offset: LogOffset(offset as u64) }
    }

    fn end(&self) -> LogPosition {
        self.position(self.records.len())
    }
}

fn name(n: usize) -> RouterName {
    RouterName::try_from(format!("router-{n}")).unwrap()
}

impl Router {
    /// Starts the process of a router.
    fn start(now: Timestamp, n: usize) -> Router {
        let leadership = Leadership::new(now, name(n), LEASE_MS);
        Router { leadership, started_at: now, read_to: None }
    }

    fn read(&mut self, now: Timestamp, log: &Log) {
        let from = self.read_to.filter(|read_to| read_to.era == log.era);
        let from = from.map_or(0, |read_to| read_to.offset.0 as usize);
        for (i, record) in log.records.iter().enumerate().skip(from) {
            self.leadership.apply_record(now, log.position(i), record);
        }
        self.read_to = Some(log.end());
        self.leadership.record_log_end(now, log.end(), true);
    }

    /// Appends what is due. The store compares offsets only; its answer names the era.
    fn append(&mut self, now: Timestamp, log: &mut Log, is_answered: bool) {
        let LeadershipAction::Append { record, at } = self.leadership.next_action(now) else {
            return;
        };
        let position = log.end();
        if at.offset != position.offset {
            return;
        }
        log.records.push(record.clone());
        match is_answered {
            true if position.era == at.era => {
                self.leadership.record_append(now, position, &record);
            }
            true => self.leadership.begin_era(now, position.era),
            false => {}
        }
    }

    /// Releases the leadership, as a process does that is stopped.
    fn stop(&mut self, now: Timestamp, log: &mut Log) {
        if let Some(LeadershipAction::Append { record, at }) = self.leadership.release(now)
            && at.offset == log.end().offset
        {
            log.records.push(record);
        }
    }
}

/// Runs a simulation in which the leader always has orders to send; returns the orders that arrived, as
/// time in milliseconds, router and fencing token.
fn simulate(
    routers: usize,
    steps: usize,
    faults: &[Fault],
    returns: &[Return],
) -> Vec<(u64, usize, u64)> {
    let always = 0..steps;
    simulate_demand(routers, steps, faults, returns, &[always])
}

/// Runs a simulation in which the leader has orders to send in some ranges of steps.
fn simulate_demand(
    routers: usize,
    steps: usize,
    faults: &[Fault],
    returns: &[Return],
    demand: &[Range<usize>],
) -> Vec<(u64, usize, u64)> {
    let started_at = Timestamp::from_millis(10_000);
    let mut states: Vec<_> = (0..routers).map(|n| Router::start(started_at, n)).collect();
    let era = (!returns.is_empty()).then_some(StoreEra(1));
    let mut log = Log { era, records: Vec::new() };
    let (mut orders, mut under_way) = (Vec::new(), Vec::<Order>::new());
    for step in 0..steps {
        let now = started_at + Duration::from_millis(step as u64 * STEP_MS);
        let has_demand = demand.iter().any(|steps| steps.contains(&step));
        for lost in returns.iter().filter(|lost| lost.at_step == step) {
            log.records.truncate(log.records.len().saturating_sub(lost.lost_records));
            log.era = log.era.map(|era| StoreEra(era.0 + 1));
        }
        for order in under_way.extract_if(.., |order| order.arrives_at <= now) {
            orders.push((now.as_millis(), order.router, order.token));
            let router = &mut states[order.router];
            if router.started_at == order.process {
                router.leadership.record_order_end(now);
            }
        }
        for (n, router) in states.iter_mut().enumerate() {
            let active_fault = faults.iter().find(|fault| {
                fault.router == n && (fault.at_step..fault.at_step + fault.steps).contains(&step)
            });
            match active_fault.map(|fault| fault.kind) {
                Some(FaultKind::Paused) => continue,
                Some(FaultKind::Restarted) => *router = Router::start(now, n),
                Some(FaultKind::Stopped) => {
                    router.stop(now, &mut log);
                    *router = Router::start(now, n);
                    continue;
                }
                Some(FaultKind::Partitioned) => {}
                Some(FaultKind::ReadsNothing) => router.append(now, &mut log, true),
                Some(FaultKind::AnswerLost | FaultKind::SlowOrders) | None => {
                    let is_answered =
                        active_fault.is_none_or(|fault| fault.kind != FaultKind::AnswerLost);
                    router.read(now, &log);
                    router.append(now, &mut log, is_answered);
                }
            }
            if has_demand && let Some(token) = router.leadership.fencing_token(now) {
                let is_slow = active_fault.is_some_and(|fault| fault.kind == FaultKind::SlowOrders);
                router.leadership.record_order();
                if is_slow {
                    let (process, token) = (router.started_at, token.ordinal());
                    let arrives_at = now + Duration::from_millis(ORDER_TRANSIT_MS);
                    under_way.push(Order { arrives_at, router: n, process, token });
                } else {
                    router.leadership.record_order_end(now);
                    orders.push((now.as_millis(), n, token.ordinal()));
                }
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
        Just(FaultKind::ReadsNothing),
        Just(FaultKind::Restarted),
        Just(FaultKind::SlowOrders),
        Just(FaultKind::Stopped)
    ];
    (0..3_usize, 0..600_usize, 1..160_usize, kind).prop_map(|(router, at_step, steps, kind)| {
        let steps = if matches!(kind, FaultKind::Restarted) { 1 } else { steps };
        Fault { router, at_step, steps, kind }
    })
}

/// A range of steps in which the leader has orders to send.
fn demand() -> impl Strategy<Value = Range<usize>> {
    (0..780_usize, 1..40_usize).prop_map(|(from_step, steps)| from_step..from_step + steps)
}

fn store_return() -> impl Strategy<Value = Return> {
    // Twelve records are more than eight seconds of renewals.
    (0..700_usize, 0..12_usize).prop_map(|(at_step, lost_records)| Return { at_step, lost_records })
}

/// Returns the first two orders that are too close or whose fencing tokens fall.
fn violation(orders: &[(u64, usize, u64)]) -> Option<&[(u64, usize, u64)]> {
    orders.windows(2).find(|pair| {
        let ((previous_ms, leader, token), (next_ms, successor, next_token)) = (pair[0], pair[1]);
        let changes = leader != successor;
        next_token < token || (changes && (next_token == token || next_ms - previous_ms < LEASE_MS))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn orders_of_different_routers_are_at_least_a_lease_apart(
        faults in prop::collection::vec(fault(), 0..8)
    ) {
        let orders = simulate(3, 800, &faults, &[]);
        prop_assert_eq!(violation(&orders), None);
    }

    #[test]
    fn orders_keep_their_distance_and_their_tokens_rise_though_the_store_forgets_claims(
        faults in prop::collection::vec(fault(), 0..8),
        returns in prop::collection::vec(store_return(), 1..4),
    ) {
        let orders = simulate(3, 800, &faults, &returns);
        prop_assert_eq!(violation(&orders), None);
    }
}

proptest! {
    // A leader has to restart, be stopped and have no orders to send in between.
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    // Guards against a release of the leadership that forgets the orders of an earlier process.
    #[test]
    fn leaders_that_have_sent_no_order_themselves_keep_the_distance(
        faults in prop::collection::vec(fault(), 0..8),
        demand in prop::collection::vec(demand(), 1..10),
    ) {
        let orders = simulate_demand(3, 800, &faults, &[], &demand);
        prop_assert_eq!(violation(&orders), None);
    }

    // The same, with a store that forgets claims.
    #[test]
    fn leaders_that_have_sent_no_order_themselves_keep_the_distance_though_the_store_forgets(
        faults in prop::collection::vec(fault(), 0..8),
        returns in prop::collection::vec(store_return(), 1..4),
        demand in prop::collection::vec(demand(), 1..10),
    ) {
        let orders = simulate_demand(3, 800, &faults, &returns, &demand);
        prop_assert_eq!(violation(&orders), None);
    }
}

#[test]
fn a_leader_goes_on_within_a_second_after_the_store_forgot_its_claim() {
    let lost = Return { at_step: 200, lost_records: usize::MAX };
    let orders = simulate(2, 400, &[], &[lost]);
    assert_eq!(violation(&orders), None);
    let returned_at = 10_000 + 200 * STEP_MS;
    let next = orders.iter().find(|order| order.0 >= returned_at).expect("the leader goes on");
    assert!(next.0 - returned_at < 1_000, "{next:?}");
    assert!(next.2 > orders[0].2, "the token of the new claim is not above the one before");
}

#[test]
fn the_first_router_leads_at_once_and_a_successor_within_five_seconds() {
    let outage = Fault { router: 0, at_step: 100, steps: 900, kind: FaultKind::Paused };
    let orders = simulate(2, 400, &[outage], &[]);
    assert_eq!(orders[0].0, 10_000);
    let last = orders.iter().filter(|order| order.1 == 0).map(|order| order.0).max().unwrap();
    let first_of_successor =
        orders.iter().find(|order| order.1 == 1).expect("the other router leads").0;
    assert!(first_of_successor - last <= 5_000, "{last} {first_of_successor}");
}

/// Claims the leadership for a router whose process starts at `now`, at the end of the log.
fn claim(now: Timestamp, n: usize, log: &mut Log) -> Router {
    let mut router = Router::start(now, n);
    router.read(now, log);
    router.append(now, log, true);
    assert!(router.leadership.is_leader(now), "router {n} does not lead");
    router
}

// The time of an earlier process of the router counts as time in which it may have sent orders.
#[test]
fn leader_that_was_killed_after_its_orders_and_is_stopped_hands_over_after_the_lease() {
    let mut log = Log { era: None, records: Vec::new() };
    let at = Timestamp::from_millis;
    let mut killed = claim(at(50_000), 0, &mut log);
    killed.leadership.record_order();
    drop(killed);
    let mut restarted = Router::start(at(50_150), 0);
    // An order that was sent at the kill arrives before 50,800.
    for now in [at(50_750), at(50_850)] {
        restarted.read(now, &log);
        restarted.append(now, &mut log, true);
        assert_eq!(restarted.leadership.is_leader(now), now > at(50_800));
    }
    restarted.stop(at(51_000), &mut log);
    let mut successor = Router::start(at(40_000), 1);
    for now in (51_000..53_800).step_by(50).map(at) {
        successor.read(now, &log);
        assert_eq!(successor.leadership.next_action(now), LeadershipAction::Wait, "{now:?}");
    }
    let claimable_at = at(54_100);
    assert_matches!(
        successor.leadership.next_action(claimable_at),
        LeadershipAction::Append { .. },
        "the leadership is handed over"
    );
}

// An order that is still under way when its router is stopped may arrive later.
#[test]
fn leader_that_is_stopped_before_its_order_was_answered_does_not_release_the_leadership() {
    let mut log = Log { era: None, records: Vec::new() };
    let at = Timestamp::from_millis;
    let mut leader = claim(at(50_000), 0, &mut log);
    leader.leadership.record_order();
    leader.leadership.record_order();
    leader.leadership.record_order_end(at(50_300));
    assert_eq!(leader.leadership.release(at(50_300)), None);
    assert_eq!(leader.leadership.next_action(at(50_300)), LeadershipAction::Wait);
}

// Orders of the process before may arrive for a while after the process has started.
#[test]
fn leader_that_is_stopped_right_after_its_start_does_not_release_the_leadership() {
    let mut log = Log { era: None, records: Vec::new() };
    let at = Timestamp::from_millis;
    let mut leader = claim(at(50_000), 0, &mut log);
    assert_eq!(leader.leadership.release(at(50_300)), None);
}

// The lease of the successor counts from the arrival of the last order, which its answer bounds.
#[test]
fn successor_waits_a_lease_after_the_answer_to_the_last_order() {
    let mut log = Log { era: None, records: Vec::new() };
    let at = Timestamp::from_millis;
    let mut leader = claim(at(50_000), 0, &mut log);
    leader.leadership.record_order();
    leader.leadership.record_order_end(at(50_900));
    leader.stop(at(51_000), &mut log);
    let mut successor = Router::start(at(40_000), 1);
    for now in (51_000..53_900).step_by(50).map(at) {
        successor.read(now, &log);
        assert_eq!(successor.leadership.next_action(now), LeadershipAction::Wait, "{now:?}");
    }
    let claimable_at = at(54_200);
    assert_matches!(
        successor.leadership.next_action(claimable_at),
        LeadershipAction::Append { .. },
        "the leadership is handed over"
    );
}

#[test]
fn a_released_term_passes_on_once_the_last_order_is_a_lease_old() {
    let start = Timestamp::from_millis(50_000);
    let process_start = start.earlier_by(Duration::from_secs(10));
    let mut first = Leadership::new(process_start, name(0), LEASE_MS);
    first.record_log_end(start, LogPosition::default(), true);
    let LeadershipAction::Append { record, at } = first.next_action(start) else {
        panic!("no claim")
    };
    first.record_append(start, at, &record);
    first.record_order();
    first.record_order_end(start);
    let released_at = start + Duration::from_millis(1_000);
    let Some(LeadershipAction::Append { record: release, .. }) = first.release(released_at) else {
        panic!("nothing to release")
    };
    assert_eq!(first.fencing_token(released_at), None);
    let mut successor = Leadership::new(start, name(1), LEASE_MS);
    successor.apply_record(released_at, LogPosition::default(), &record);
    successor.apply_record(released_at, LogPosition::default().next(), &release);
    successor.record_log_end(released_at, LogPosition::default().after(2), true);
    assert_eq!(successor.next_action(released_at), LeadershipAction::Wait);
    assert_eq!(successor.next_action(start + Duration::from_millis(2_900)), LeadershipAction::Wait);
    let claimable_at = start + Duration::from_millis(3_300);
    assert!(matches!(successor.next_action(claimable_at), LeadershipAction::Append { .. }));
}
