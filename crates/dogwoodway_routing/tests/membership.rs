//! Checks membership and outlier detection against simple models over random histories.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use dogwoodway_routing::{
    membership::{AgentStatus, ListedVm, MAX_PACED_POLLS, MemberKey, Membership, Poll, PollResult},
    outlier::{AgentHealth, CallResult, MAX_CONSECUTIVE_FAILURES},
};
use dogwoodway_types::{AgentIncarnation, Timestamp};
use proptest::prelude::*;

const FAST: CallResult = CallResult::Replied { latency: Duration::from_millis(2) };
const SLOW: CallResult = CallResult::Replied { latency: Duration::from_millis(900) };
const AGENTS: u16 = 6;

/// Actual state of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentState {
    Up,
    Slow,
    Leaving,
    Down,
}

#[derive(Clone, Debug)]
enum Step {
    SetState(u16, AgentState),
    ListVms(Vec<Option<bool>>),
    Call(u16),
    AdvanceClock(u64),
}

struct Simulation {
    now: Timestamp,
    states: HashMap<SocketAddr, AgentState>,
    listed: HashMap<SocketAddr, bool>,
    members: Membership,
}

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + i))
}

impl Simulation {
    fn new(agents: u16) -> Simulation {
        let states = (0..agents).map(|i| (address(i), AgentState::Up)).collect();
        let members = Membership::new(3);
        Simulation { now: Timestamp::from_millis(1), states, listed: HashMap::new(), members }
    }

    fn list_vms(&mut self, list: &[(u16, bool)]) {
        self.listed = list.iter().map(|(i, leaving)| (address(*i), *leaving)).collect();
        let vms = self.listed.iter();
        let vms: Vec<_> = vms
            .map(|(address, leaving)| ListedVm { address: *address, leaving: *leaving })
            .collect();
        self.members.update_vm_list(self.now, &vms);
    }

    fn key(&self, i: u16) -> Option<MemberKey> {
        self.members.keys().find(|key| self.members.address(*key) == Some(address(i)))
    }

    fn call_result(&self, key: MemberKey) -> CallResult {
        match self.states[&self.members.address(key).expect("the agent is known")] {
            AgentState::Up | AgentState::Leaving => FAST,
            AgentState::Slow => SLOW,
            AgentState::Down => CallResult::Failed,
        }
    }

    fn answer_poll(&mut self, poll: Poll) {
        let state = self.states[&self.members.address(poll.key).expect("the agent is known")];
        let status =
            AgentStatus { incarnation: AgentIncarnation(1), leaving: state == AgentState::Leaving };
        let call = self.call_result(poll.key);
        let result = PollResult { call, status: (state != AgentState::Down).then_some(status) };
        self.members.record_poll_result(self.now, poll, result);
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(250) {
            self.now = self.now + Duration::from_millis(250);
            for poll in self.members.due_polls(self.now) {
                self.answer_poll(poll);
            }
        }
    }

    fn call(&mut self, i: u16) {
        if let Some(key) = self.key(i) {
            let result = self.call_result(key);
            self.members.record_call(self.now, key, result);
        }
    }

    fn usable(&self) -> Vec<SocketAddr> {
        let keys: Vec<_> = self.members.keys().collect();
        let usable = self.members.usable(self.now, &keys).into_iter();
        let mut usable: Vec<_> = usable.filter_map(|key| self.members.address(key)).collect();
        usable.sort();
        usable
    }

    fn agents_in(&self, wanted: &[AgentState]) -> Vec<SocketAddr> {
        let matching = self.states.iter().filter(|(_, state)| wanted.contains(state));
        let mut matching: Vec<_> = matching.map(|(address, _)| *address).collect();
        matching.sort();
        matching
    }

    fn list_all_vms(&mut self) {
        let all: Vec<_> = (0..self.states.len()).map(|i| (i as u16, false)).collect();
        self.list_vms(&all);
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let state = prop_oneof![
        Just(AgentState::Up),
        Just(AgentState::Slow),
        Just(AgentState::Leaving),
        Just(AgentState::Down)
    ];
    let listing = prop_oneof![Just(None), Just(Some(false)), Just(Some(true))];
    let step = prop_oneof![
        (0..AGENTS, state).prop_map(|(i, state)| Step::SetState(i, state)),
        prop::collection::vec(listing, AGENTS as usize).prop_map(Step::ListVms),
        (0..AGENTS).prop_map(Step::Call),
        (0..AGENTS).prop_map(Step::Call),
        (1_u64..8_000).prop_map(Step::AdvanceClock),
    ];
    prop::collection::vec(step, 1..80)
}

fn apply(simulation: &mut Simulation, step: Step) {
    match step {
        Step::SetState(i, state) => drop(simulation.states.insert(address(i), state)),
        Step::ListVms(list) => {
            let list = (0..).zip(list).filter_map(|(i, vm)| vm.map(|leaving| (i, leaving)));
            simulation.list_vms(&list.collect::<Vec<_>>());
        }
        Step::Call(i) => simulation.call(i),
        Step::AdvanceClock(millis) => simulation.advance(millis),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any history, 100 s without changes and with a complete list make all healthy agents
    /// usable and no leaving or unreachable one.
    #[test]
    fn membership_converges_to_the_actual_states(history in steps()) {
        let mut simulation = Simulation::new(AGENTS);
        simulation.list_all_vms();
        history.into_iter().for_each(|step| apply(&mut simulation, step));
        for i in 0..AGENTS / 2 {
            simulation.states.insert(address(i), AgentState::Up);
        }
        for _ in 0..200 {
            simulation.list_all_vms();
            (0..AGENTS).for_each(|i| simulation.call(i));
            simulation.advance(500);
        }
        // With fewer than three known latencies no agent is considered slow, so slow ones may be
        // usable.
        let usable = simulation.usable();
        for up in simulation.agents_in(&[AgentState::Up]) {
            prop_assert!(usable.contains(&up));
        }
        for unusable in simulation.agents_in(&[AgentState::Leaving, AgentState::Down]) {
            prop_assert!(!usable.contains(&unusable));
        }
    }

    /// Agents that are listed as leaving are never usable, and at most half of the others are
    /// ejected.
    #[test]
    fn leaving_agents_are_never_usable_and_at_most_half_is_ejected(history in steps()) {
        let mut simulation = Simulation::new(AGENTS);
        for step in history {
            apply(&mut simulation, step);
            let usable = simulation.usable();
            for (address, leaving) in &simulation.listed {
                prop_assert!(!(*leaving && usable.contains(address)));
            }
            let keys: Vec<_> = simulation.members.keys().collect();
            let ejected = keys.iter().filter(|key| simulation.members.is_ejected(**key)).count();
            let max_ejected = ejected.min(keys.len() / 2);
            prop_assert!(usable.len() + max_ejected + leaving_count(&simulation) >= keys.len());
        }
    }

    /// Once every agent has been polled, the number of regular polls keeps to its limit.
    #[test]
    fn regular_polls_are_paced(history in steps()) {
        let mut simulation = Simulation::new(AGENTS);
        simulation.list_all_vms();
        for step in history {
            apply(&mut simulation, step);
            simulation.advance(250);
            simulation.now = simulation.now + Duration::from_millis(250);
            let polls = simulation.members.due_polls(simulation.now);
            prop_assert!(polls.len() <= MAX_PACED_POLLS);
            polls.into_iter().for_each(|poll| simulation.answer_poll(poll));
        }
    }

    /// An agent is ejected exactly when its whole history of results says so.
    #[test]
    fn ejection_agrees_with_the_whole_history(
        history in prop::collection::vec((0_u64..4_000, any::<bool>()), 1..120),
    ) {
        let (mut health, mut results) = (AgentHealth::default(), Vec::new());
        let mut now = Timestamp::from_millis(1);
        for (millis, replied) in history {
            now = now + Duration::from_millis(millis);
            let result = if replied { FAST } else { CallResult::Failed };
            let trial = health.begin_trial(now);
            match trial {
                true => health.end_trial(now, result, u64::MAX),
                false => health.record_call(now, result, u64::MAX),
            }
            results.push((now, replied));
            prop_assert_eq!(health.is_ejected(), ejected_until(&results).is_some());
        }
    }
}

fn leaving_count(simulation: &Simulation) -> usize {
    let keys: Vec<_> = simulation.members.keys().collect();
    keys.iter().filter(|key| simulation.members.usable(simulation.now, &[**key]).is_empty()).count()
}

/// Computes from a whole history of results when the current ejection ends, `None` without one.
fn ejected_until(results: &[(Timestamp, bool)]) -> Option<Timestamp> {
    let mut ejections: Vec<Timestamp> = Vec::new();
    let (mut until, mut failures, mut reset_at) = (None, 0, Timestamp::default());
    for &(now, replied) in results {
        let is_ejected = until.is_some_and(|until| now < until);
        if is_ejected {
            continue;
        }
        match (until, replied) {
            (Some(_), true) => {
                (until, failures, reset_at) = (None, 0, now + Duration::from_secs(60));
            }
            (None, true) => {
                failures = 0;
                ejections.retain(|_| now < reset_at);
            }
            (_, false) => failures += 1,
        }
        if !replied && (until.is_some() || failures == MAX_CONSECUTIVE_FAILURES) {
            let length = Duration::from_millis((1_000 << ejections.len().min(20)).min(30_000));
            ejections.push(now);
            until = Some(now + length);
        }
    }
    until
}

#[test]
fn new_agents_are_polled_at_once() {
    let mut simulation = Simulation::new(200);
    simulation.list_all_vms();
    assert_eq!(simulation.members.due_polls(simulation.now).len(), 200);
}

#[test]
fn missing_vm_is_kept_while_its_agent_answers() {
    let mut simulation = Simulation::new(3);
    simulation.list_all_vms();
    simulation.advance(1_000);
    simulation.list_vms(&[(0, false)]);
    simulation.states.insert(address(2), AgentState::Down);
    simulation.advance(10_000);
    assert_eq!(simulation.usable(), vec![address(0), address(1)]);
    assert_eq!(simulation.key(2), None);
    simulation.list_vms(&[]);
    simulation.advance(600_000);
    assert_eq!(simulation.usable(), vec![address(0), address(1)]);
}

#[test]
fn leaving_vm_that_is_no_longer_listed_stays_leaving() {
    let mut simulation = Simulation::new(2);
    simulation.list_all_vms();
    simulation.advance(1_000);
    simulation.list_vms(&[(0, false), (1, true)]);
    simulation.list_vms(&[(0, false), (1, false)]);
    assert_eq!(simulation.usable(), vec![address(0)]);
    simulation.list_vms(&[(0, false)]);
    simulation.advance(120_000);
    assert_eq!(simulation.usable(), vec![address(0)]);
}

#[test]
fn slow_agent_is_ejected_until_it_is_fast_again() {
    let mut simulation = Simulation::new(5);
    simulation.list_all_vms();
    simulation.advance(1_000);
    simulation.states.insert(address(4), AgentState::Slow);
    for _ in 0..20 {
        (0..5).for_each(|i| simulation.call(i));
        simulation.advance(250);
    }
    assert!(!simulation.usable().contains(&address(4)));
    simulation.advance(120_000);
    assert!(!simulation.usable().contains(&address(4)));
    simulation.states.insert(address(4), AgentState::Up);
    simulation.advance(31_000);
    assert!(simulation.usable().contains(&address(4)));
}

#[test]
fn flapping_agent_is_ejected_for_longer_each_time() {
    let mut health = AgentHealth::default();
    let mut now = Timestamp::from_millis(1);
    let mut lengths = Vec::new();
    for _ in 0..7 {
        while !health.is_ejected() {
            health.record_call(now, CallResult::Failed, u64::MAX);
        }
        let until = health.trial_at().expect("an ejection has an end");
        lengths.push((until - now).as_millis());
        now = until;
        assert!(health.begin_trial(now));
        assert!(!health.begin_trial(now));
        health.end_trial(now, FAST, u64::MAX);
    }
    assert_eq!(lengths, vec![1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
}

#[test]
fn loss_of_a_zone_does_not_affect_agents_of_other_zones() {
    let mut simulation = Simulation::new(9);
    simulation.list_all_vms();
    simulation.advance(1_000);
    for i in 0..3 {
        simulation.states.insert(address(i), AgentState::Down);
    }
    for _ in 0..2 {
        (0..9).for_each(|i| simulation.call(i));
    }
    assert_eq!(simulation.usable(), simulation.agents_in(&[AgentState::Up]));
    for i in 3..9 {
        simulation.states.insert(address(i), AgentState::Down);
        assert!(simulation.usable().len() >= 5);
        simulation.call(i);
        simulation.call(i);
    }
    assert_eq!(simulation.usable().len(), 9);
}

#[test]
fn ejected_agent_with_the_latest_reply_is_kept() {
    let mut simulation = Simulation::new(3);
    simulation.list_all_vms();
    simulation.advance(1_000);
    simulation.now = simulation.now + Duration::from_secs(1);
    simulation.call(1);
    for i in 0..2 {
        simulation.states.insert(address(i), AgentState::Down);
        simulation.call(i);
        simulation.call(i);
    }
    assert_eq!(simulation.usable(), vec![address(1), address(2)]);
}

#[test]
fn late_result_of_a_timed_out_poll_has_no_effect() {
    let mut simulation = Simulation::new(1);
    simulation.list_all_vms();
    let poll = simulation.members.due_polls(simulation.now)[0];
    simulation.now = simulation.now + Duration::from_secs(4);
    let retried = simulation.members.due_polls(simulation.now);
    assert!(retried.iter().all(|p| p.id != poll.id));
    let status = AgentStatus { incarnation: AgentIncarnation(1), leaving: true };
    let stale = PollResult { call: FAST, status: Some(status) };
    simulation.members.record_poll_result(simulation.now, poll, stale);
    assert_eq!(simulation.usable(), vec![address(0)]);
}
