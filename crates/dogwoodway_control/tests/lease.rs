//! Agents that claim the same engine, paused at any step.

use std::{collections::BTreeMap, time::Duration};

use dogwoodway_control::{
    lease::{
        EngineFencing, LEASE_DURATION_MS, LeaseError, ServerClaim, ServerLease, TAKEOVER_WAIT_MS,
    },
    loading::{LoadingSlots, ModelWeights, SLOT_DURATION_MS, SlotClaim, desired_weights},
};
use dogwoodway_types::{
    AgentIncarnation, BackendServerName, ConfigEdit, Configuration, LogOffset, ModelName,
    Timestamp, WeightsVersion,
};
use proptest::prelude::*;

const AGENTS: usize = 2;

/// Longest time from the check of a lease until its order reaches an engine that ignores fencing.
const ORDER_MS: u64 = TAKEOVER_WAIT_MS - LEASE_DURATION_MS;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends a claim, lands it and reads to the end of the log.
    Claim(usize),
    Send(usize),
    Land(usize),
    Read(usize),
    Order(usize),
    Pass(u64),
}

/// Faults that the check has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    None,
    /// A successor does not wait for the older lease to end.
    NoWait,
    /// A holder checks its lease by the time before a pause.
    OldTime,
}

struct Agent {
    lease: ServerLease,
    sent: Vec<ServerClaim>,
    read: usize,
    seen_now: Timestamp,
}

struct World {
    now: Timestamp,
    log: Vec<ServerClaim>,
    agents: Vec<Agent>,
    executed: Vec<LogOffset>,
}

impl World {
    fn new() -> World {
        let server = BackendServerName::try_from("worker-1").unwrap();
        let agent = |i: usize| Agent {
            lease: ServerLease::new(server.clone(), AgentIncarnation(i as u64)),
            sent: Vec::new(),
            read: 0,
            seen_now: Timestamp::default(),
        };
        let agents = (0..AGENTS).map(agent).collect();
        World { now: Timestamp::from_millis(1), log: Vec::new(), agents, executed: Vec::new() }
    }

    fn step(&mut self, step: Step, fencing: EngineFencing, planted: Planted) {
        match step {
            Step::Pass(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::Claim(i) => {
                self.step(Step::Send(i), fencing, planted);
                self.step(Step::Land(i), fencing, planted);
                while self.agents[i].read < self.log.len() {
                    self.step(Step::Read(i), fencing, planted);
                }
            }
            Step::Send(i) => {
                let id = (self.log.len() * 1_000 + self.agents[i].sent.len() * AGENTS + i) as u64;
                let claim = self.agents[i].lease.new_claim(self.now, id);
                self.agents[i].sent.push(claim);
            }
            Step::Land(i) => self.log.extend(self.agents[i].sent.pop()),
            Step::Read(i) => {
                let agent = &mut self.agents[i];
                if let Some(claim) = self.log.get(agent.read) {
                    agent.read += 1;
                    agent.seen_now = self.now;
                    agent.lease.apply_claim(self.now, LogOffset(agent.read as u64), claim);
                }
            }
            Step::Order(i) => self.order(i, fencing, planted),
        }
    }

    fn order(&mut self, i: usize, fencing: EngineFencing, planted: Planted) {
        let agent = &self.agents[i];
        let now = if planted == Planted::OldTime { agent.seen_now } else { self.now };
        let asked = if planted == Planted::NoWait { EngineFencing::Enforced } else { fencing };
        let Ok(number) = agent.lease.fencing_token(now, asked) else { return };
        let highest = self.executed.iter().max().copied().unwrap_or_default();
        if fencing == EngineFencing::Ignored || number >= highest {
            self.executed.push(number);
        }
    }

    /// Tells whether no holder ordered after a later one had.
    fn is_ordered(&self) -> bool {
        self.executed.is_sorted()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..AGENTS).prop_map(Step::Claim),
        1 => (0..AGENTS).prop_map(Step::Send),
        1 => (0..AGENTS).prop_map(Step::Land),
        1 => (0..AGENTS).prop_map(Step::Read),
        6 => (0..AGENTS).prop_map(Step::Order),
        2 => (1..2_000_u64).prop_map(Step::Pass),
        3 => (TAKEOVER_WAIT_MS - 1..TAKEOVER_WAIT_MS + 1_000).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..150)
}

/// Runs a schedule; returns the number of orders and whether they were in order.
fn run(schedule: &[Step], fencing: EngineFencing, planted: Planted) -> (usize, bool) {
    let mut world = World::new();
    schedule.iter().for_each(|step| world.step(*step, fencing, planted));
    (world.executed.len(), world.is_ordered())
}

/// Runs many schedules; returns how many orders were executed and how many runs broke the order.
fn run_many(fencing: EngineFencing, planted: Planted) -> (usize, usize) {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};
    let mut runner = TestRunner::deterministic();
    let (mut orders, mut broken) = (0, 0);
    for _ in 0..2_000 {
        let schedule = steps().new_tree(&mut runner).unwrap().current();
        let (executed, ordered) = run(&schedule, fencing, planted);
        orders += executed;
        broken += usize::from(!ordered);
    }
    (orders, broken)
}

#[test]
fn no_older_holder_orders_after_a_newer_one() {
    for fencing in [EngineFencing::Enforced, EngineFencing::Ignored] {
        let (orders, broken) = run_many(fencing, Planted::None);
        assert!(orders > 100, "{fencing:?}: only {orders} orders");
        assert_eq!(broken, 0, "{fencing:?}");
    }
}

#[test]
fn planted_faults_are_found() {
    assert!(run_many(EngineFencing::Ignored, Planted::NoWait).1 > 0);
    assert!(run_many(EngineFencing::Ignored, Planted::OldTime).1 > 0);
}

#[test]
fn order_on_its_way_when_the_lease_ends_arrives_before_the_successors() {
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
    let old_first = old.new_claim(at(11), 3);
    old.apply_claim(at(11), LogOffset(3), &old_first);
    assert!(new.fencing_token(last_check, EngineFencing::Ignored).is_err());
    let arrival = last_check + Duration::from_millis(ORDER_MS);
    assert!(new.fencing_token(arrival, EngineFencing::Ignored).is_err());
}

#[test]
fn two_agents_that_want_to_order_do_not_keep_each_other_from_it() {
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

    /// Slots agree with a naive reading of the whole history.
    #[test]
    fn slots_agree_with_a_reading_of_the_history(
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
            let queue = naive_queue(&log, now);
            for id in 0..6 {
                let place = queue.iter().position(|&queued| queued == id);
                prop_assert_eq!(slots.is_held(now, id, 2), place.is_some_and(|place| place < 2));
            }
        }
    }
}

/// Lists the live claims by the start of their unbroken runs.
fn naive_queue(log: &[(Timestamp, u64, bool)], now: Timestamp) -> Vec<u64> {
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

fn wanted(selectors: &str, loaded: u32) -> Option<u32> {
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
fn loaded_weights_stay_while_a_selector_asks_for_them() {
    let of = |selectors: &[String]| format!("[{}]", selectors.join(","));
    let (old, new) = (selector("old", "a", Some(1)), selector("new", "a", Some(2)));
    assert_eq!(wanted("[]", 1), None);
    assert_eq!(wanted(&of(&[selector("any", "a", None)]), 1), None);
    assert_eq!(wanted(&of(std::slice::from_ref(&new)), 1), Some(2));
    assert_eq!(wanted(&of(&[old.clone(), new.clone()]), 1), None);
    assert_eq!(wanted(&of(&[old.clone(), new.clone()]), 3), Some(2));
    assert_eq!(wanted(&of(&[selector("other", "b", Some(2))]), 1), None);
    assert_eq!(wanted(&of(&[old]), 2), Some(1));
    assert_eq!(wanted(&of(&[selector("any", "a", None), new]), 1), Some(2));
}
