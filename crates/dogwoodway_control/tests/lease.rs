//! Checks the lease with agents that claim the same engine and pause between any two steps, and
//! checks loading slots and the choice of weights.

use std::{collections::BTreeMap, time::Duration};

use dogwoodway_control::{
    lease::{
        EngineFencing, LEASE_DURATION_MS, LeaseError, ORDER_TRANSIT_MS, ServerClaim, ServerLease,
        TAKEOVER_WAIT_MS,
    },
    loading::{LoadingSlots, ModelWeights, SLOT_DURATION_MS, SlotClaim, desired_weights},
};
use dogwoodway_types::{
    AgentIncarnation, BackendServerName, ConfigEdit, Configuration, LogOffset, ModelName,
    Timestamp, WeightsVersion,
};
use proptest::prelude::*;

const AGENTS: usize = 2;

/// Longest time from checking the lease until the order reaches an engine that ignores fencing.
const MAX_ORDER_DELAY_MS: u64 = TAKEOVER_WAIT_MS - LEASE_DURATION_MS;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends a claim, appends it to the log and reads the log to its end.
    Claim(usize),
    /// Sends a claim that has not reached the log yet.
    Send(usize),
    /// Appends the claim sent last to the log.
    Append(usize),
    /// Reads one record.
    Read(usize),
    /// Sends an order to the engine if the lease allows it.
    Order(usize),
    /// Advances the time by milliseconds.
    Wait(u64),
}

/// Faults injected into the agents, to show that the check detects them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// A new holder does not wait for earlier leases to end.
    NoTakeoverWait,
    /// A holder checks its lease against the time of its last read.
    StaleTime,
}

struct Agent {
    lease: ServerLease,
    sent: Vec<ServerClaim>,
    read: usize,
    last_read_at: Timestamp,
}

struct Simulation {
    now: Timestamp,
    log: Vec<ServerClaim>,
    agents: Vec<Agent>,
    /// Fencing tokens of the executed orders.
    executed: Vec<LogOffset>,
}

impl Simulation {
    fn new() -> Simulation {
        let server = BackendServerName::try_from("worker-1").unwrap();
        let agent = |i: usize| Agent {
            lease: ServerLease::new(server.clone(), AgentIncarnation(i as u64)),
            sent: Vec::new(),
            read: 0,
            last_read_at: Timestamp::default(),
        };
        let agents = (0..AGENTS).map(agent).collect();
        Simulation { now: Timestamp::from_millis(1), log: Vec::new(), agents, executed: Vec::new() }
    }

    fn step(&mut self, step: Step, fencing: EngineFencing, fault: InjectedFault) {
        match step {
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::Claim(i) => {
                self.step(Step::Send(i), fencing, fault);
                self.step(Step::Append(i), fencing, fault);
                while self.agents[i].read < self.log.len() {
                    self.step(Step::Read(i), fencing, fault);
                }
            }
            Step::Send(i) => {
                let id = (self.log.len() * 1_000 + self.agents[i].sent.len() * AGENTS + i) as u64;
                let claim = self.agents[i].lease.new_claim(self.now, id);
                self.agents[i].sent.push(claim);
            }
            Step::Append(i) => self.log.extend(self.agents[i].sent.pop()),
            Step::Read(i) => {
                let agent = &mut self.agents[i];
                if let Some(claim) = self.log.get(agent.read) {
                    agent.read += 1;
                    agent.last_read_at = self.now;
                    agent.lease.apply_claim(self.now, LogOffset(agent.read as u64), claim);
                }
            }
            Step::Order(i) => self.order(i, fencing, fault),
        }
    }

    fn order(&mut self, i: usize, fencing: EngineFencing, fault: InjectedFault) {
        let agent = &self.agents[i];
        let now = if fault == InjectedFault::StaleTime { agent.last_read_at } else { self.now };
        let assumed =
            if fault == InjectedFault::NoTakeoverWait { EngineFencing::Enforced } else { fencing };
        let Ok(token) = agent.lease.fencing_token(now, assumed) else { return };
        let highest = self.executed.iter().max().copied().unwrap_or_default();
        if fencing == EngineFencing::Ignored || token >= highest {
            self.executed.push(token);
        }
    }

    /// Returns whether no order of an earlier holder was executed after one of a later holder.
    fn is_in_token_order(&self) -> bool {
        self.executed.is_sorted()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..AGENTS).prop_map(Step::Claim),
        1 => (0..AGENTS).prop_map(Step::Send),
        1 => (0..AGENTS).prop_map(Step::Append),
        1 => (0..AGENTS).prop_map(Step::Read),
        6 => (0..AGENTS).prop_map(Step::Order),
        2 => (1..2_000_u64).prop_map(Step::Wait),
        3 => (TAKEOVER_WAIT_MS - 1..TAKEOVER_WAIT_MS + 1_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..150)
}

/// Runs a schedule; returns the number of executed orders and whether they are in token order.
fn run(schedule: &[Step], fencing: EngineFencing, fault: InjectedFault) -> (usize, bool) {
    let mut simulation = Simulation::new();
    schedule.iter().for_each(|step| simulation.step(*step, fencing, fault));
    (simulation.executed.len(), simulation.is_in_token_order())
}

/// Runs many schedules; returns the number of executed orders and of schedules that broke the token
/// order.
fn run_many(fencing: EngineFencing, fault: InjectedFault) -> (usize, usize) {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};
    let mut runner = TestRunner::deterministic();
    let (mut orders, mut broken) = (0, 0);
    for _ in 0..2_000 {
        let schedule = steps().new_tree(&mut runner).unwrap().current();
        let (executed, in_order) = run(&schedule, fencing, fault);
        orders += executed;
        broken += usize::from(!in_order);
    }
    (orders, broken)
}

#[test]
fn no_earlier_holder_orders_after_a_later_one() {
    for fencing in [EngineFencing::Enforced, EngineFencing::Ignored] {
        let (orders, broken) = run_many(fencing, InjectedFault::None);
        assert!(orders > 100, "{fencing:?}: only {orders} orders");
        assert_eq!(broken, 0, "{fencing:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    assert!(run_many(EngineFencing::Ignored, InjectedFault::NoTakeoverWait).1 > 0);
    assert!(run_many(EngineFencing::Ignored, InjectedFault::StaleTime).1 > 0);
}

#[test]
fn order_sent_just_before_the_lease_ends_arrives_before_those_of_the_next_holder() {
    let server = BackendServerName::try_from("worker-1").unwrap();
    let mut old = ServerLease::new(server.clone(), AgentIncarnation(1));
    let mut new = ServerLease::new(server, AgentIncarnation(2));
    let at = Timestamp::from_millis;
    let first = old.new_claim(at(10), 1);
    let second = new.new_claim(at(10), 2);
    old.apply_claim(at(10), LogOffset(1), &first);
    new.apply_claim(at(10), LogOffset(1), &first);
    new.apply_claim(at(10), LogOffset(2), &second);
    let last_check = at(9 + LEASE_DURATION_MS);
    let renewal = old.new_claim(at(11), 3);
    old.apply_claim(at(11), LogOffset(3), &renewal);
    assert!(new.fencing_token(last_check, EngineFencing::Ignored).is_err());
    let arrival = last_check + Duration::from_millis(MAX_ORDER_DELAY_MS);
    assert!(new.fencing_token(arrival, EngineFencing::Ignored).is_err());
}

// Guards against an order that is under way when its lease ends and arrives after those of the next holder.
#[test]
fn order_that_takes_as_long_as_its_call_may_arrives_before_those_of_the_next_holder() {
    let server = BackendServerName::try_from("worker-1").unwrap();
    let mut old = ServerLease::new(server.clone(), AgentIncarnation(1));
    let mut new = ServerLease::new(server, AgentIncarnation(2));
    let at = Timestamp::from_millis;
    for (n, now) in [(1, at(10)), (2, at(4_000))] {
        let claim = old.new_claim(now, n);
        old.apply_claim(now, LogOffset(n), &claim);
    }
    // The old holder does not read the claim of the new one.
    let claim = new.new_claim(at(4_001), 3);
    new.apply_claim(at(4_001), LogOffset(3), &claim);
    let renewal = new.new_claim(at(8_000), 4);
    new.apply_claim(at(8_000), LogOffset(4), &renewal);
    let is_allowed =
        |lease: &ServerLease, ms| lease.fencing_token(at(ms), EngineFencing::Ignored).is_ok();
    let last_sent = (0..20_000).rev().find(|ms| is_allowed(&old, *ms)).expect("an order");
    let next_sent = (0..20_000).find(|ms| is_allowed(&new, *ms)).expect("an order");
    assert!(last_sent + ORDER_TRANSIT_MS < next_sent, "{last_sent} {next_sent}");
}

#[test]
fn two_competing_agents_do_not_block_each_other() {
    let server = BackendServerName::try_from("worker-1").unwrap();
    let lease = |i| ServerLease::new(server.clone(), AgentIncarnation(i));
    let mut agents = [lease(0), lease(1)];
    let (mut log, mut ordered) = (0, [false; 2]);
    for millis in (1..60_000).step_by(100) {
        let now = Timestamp::from_millis(millis);
        for i in 0..2 {
            match agents[i].fencing_token(now, EngineFencing::Ignored) {
                Ok(_) => ordered[i] = true,
                Err(LeaseError::Waiting { .. }) => {}
                Err(LeaseError::NotHeld) => {
                    log += 1;
                    let claim = agents[i].new_claim(now, log);
                    agents.iter_mut().for_each(|a| a.apply_claim(now, LogOffset(log), &claim));
                }
            }
        }
    }
    assert!(ordered.contains(&true));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn slots_match_reference_model(
        history in prop::collection::vec((0..6_u64, any::<bool>(), 0..4_000_u64), 1..60),
    ) {
        let (mut slots, mut log) = (LoadingSlots::default(), Vec::new());
        let mut now = Timestamp::from_millis(1);
        for (id, is_claim, millis) in history {
            now = now + Duration::from_millis(millis);
            match is_claim {
                true => slots.apply_claim(now, SlotClaim { id }),
                false => slots.apply_release(SlotClaim { id }),
            }
            log.push((now, id, is_claim));
            let queue = reference_queue(&log, now);
            for id in 0..6 {
                let position = queue.iter().position(|&queued| queued == id);
                prop_assert_eq!(slots.is_held(now, id, 2), position.is_some_and(|p| p < 2));
            }
        }
    }
}

/// Returns the unexpired claims in queue order, computed from the whole history.
///
/// A claim keeps its place while it is renewed without a gap, so claims are ordered by the start of
/// their latest uninterrupted run.
fn reference_queue(log: &[(Timestamp, u64, bool)], now: Timestamp) -> Vec<u64> {
    let slot = Duration::from_millis(SLOT_DURATION_MS);
    let mut starts: Vec<(usize, u64)> = Vec::new();
    for id in 0..6 {
        let mut run: Option<(usize, Timestamp)> = None;
        for (i, (at, of, is_claim)) in log.iter().enumerate().filter(|(_, (_, of, _))| *of == id) {
            assert_eq!(*of, id);
            let live = run.filter(|(_, ends_at)| at < ends_at);
            run = is_claim.then(|| (live.map_or(i, |(start, _)| start), *at + slot));
        }
        starts.extend(run.filter(|(_, ends_at)| now < *ends_at).map(|(start, _)| (start, id)));
    }
    starts.sort_unstable();
    starts.into_iter().map(|(_, id)| id).collect()
}

/// Returns the version that a server labelled `ring: a` with model `m` at version `loaded` is to
/// load.
fn desired_version(selectors: &str, loaded: u32) -> Option<u32> {
    let edits: Vec<ConfigEdit> = serde_json::from_str(selectors).unwrap();
    let mut cfg = Configuration::default();
    for edit in edits {
        if let ConfigEdit::Selector(selector) = edit {
            cfg.selectors.insert(selector.name.clone(), selector);
        }
    }
    let loaded =
        ModelWeights { model: ModelName::try_from("m").unwrap(), version: WeightsVersion(loaded) };
    let labels = BTreeMap::from([("ring".to_owned(), "a".to_owned())]);
    let server = BackendServerName::try_from("worker-1").unwrap();
    let zone = "zone-1".parse().unwrap();
    desired_weights(&cfg, &server, &zone, &labels, &loaded).map(|weights| weights.version.0)
}

fn selector(name: &str, ring: &str, version: Option<u32>) -> String {
    let version = version.map_or("null".to_owned(), |v| v.to_string());
    format!(
        r#"{{"selector": {{"name": "{name}", "model": "m", "version": {version},
            "labels": {{"ring": "{ring}"}}}}}}"#
    )
}

#[test]
fn loaded_weights_stay_while_a_selector_requests_them() {
    let list = |selectors: &[String]| format!("[{}]", selectors.join(","));
    let (old, new) = (selector("old", "a", Some(1)), selector("new", "a", Some(2)));
    assert_eq!(desired_version("[]", 1), None);
    assert_eq!(desired_version(&list(&[selector("any", "a", None)]), 1), None);
    assert_eq!(desired_version(&list(std::slice::from_ref(&new)), 1), Some(2));
    assert_eq!(desired_version(&list(&[old.clone(), new.clone()]), 1), None);
    assert_eq!(desired_version(&list(&[old.clone(), new.clone()]), 3), Some(2));
    assert_eq!(desired_version(&list(&[selector("other", "b", Some(2))]), 1), None);
    assert_eq!(desired_version(&list(&[old]), 2), Some(1));
    assert_eq!(desired_version(&list(&[selector("any", "a", None), new]), 1), Some(2));
}
