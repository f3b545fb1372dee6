//! Compares the attempt table with a reference model that records all events.

use dogwoodway_routing::attempt::{AttemptTable, SettleOutcome, StartDecision};
use dogwoodway_types::{AttemptId, FinishReason, FrameKind, Timestamp, Token, Usage};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

/// Documented retention time of an ended attempt, in microseconds.
const RETENTION: u64 = 60 * SECOND;

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(u128),
    Settle(u128),
    Token(u128),
    End(u128),
    Read(u128, u64),
    Sweep,
    /// Moves the clock by a number of seconds, which may be negative.
    Clock(i64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Started(u128),
    Tombstoned(u128),
    Pushed(u128),
    Ended(u128, u64),
}

/// Records all events and never forgets any.
#[derive(Default)]
struct ReferenceModel {
    now: u64,
    events: Vec<Event>,
}

impl ReferenceModel {
    fn has(&self, event: Event) -> bool {
        self.events.contains(&event)
    }

    fn ended_at(&self, id: u128) -> Option<u64> {
        self.events.iter().find_map(|event| match event {
            Event::Ended(ended, at) if *ended == id => Some(*at),
            _ => None,
        })
    }

    /// Returns whether the retention time of an attempt is over; the table may then have dropped
    /// it.
    fn may_be_forgotten(&self, id: u128, before: u64) -> bool {
        let active_until = self.ended_at(id).unwrap_or(match self.has(Event::Started(id)) {
            true => u64::MAX - RETENTION,
            false => 0,
        });
        self.now >= active_until.max(before) + RETENTION
    }

    fn start(&mut self, id: u128, before: u64) -> StartDecision {
        if self.has(Event::Started(id)) {
            return StartDecision::Known;
        }
        if self.has(Event::Tombstoned(id)) || self.now > before {
            return StartDecision::Refused;
        }
        self.events.push(Event::Started(id));
        StartDecision::Run
    }

    fn settle(&mut self, id: u128) -> SettleOutcome {
        if self.has(Event::Started(id)) {
            return SettleOutcome::Started;
        }
        self.events.push(Event::Tombstoned(id));
        SettleOutcome::NotStarted
    }

    fn push(&mut self, id: u128, is_last: bool) -> bool {
        let is_running = self.has(Event::Started(id)) && self.ended_at(id).is_none();
        if is_running {
            self.events.push(Event::Pushed(id));
        }
        if is_running && is_last {
            self.events.push(Event::Ended(id, self.now));
        }
        is_running
    }

    fn frames(&self, id: u128) -> Option<u64> {
        let pushed = self.events.iter().filter(|e| **e == Event::Pushed(id)).count();
        self.has(Event::Started(id)).then_some(pushed as u64)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let id = 0..3_u128;
    let step = prop_oneof![
        3 => id.clone().prop_map(Step::Start),
        2 => id.clone().prop_map(Step::Settle),
        2 => id.clone().prop_map(Step::Token),
        2 => id.clone().prop_map(Step::End),
        2 => (id, 0..4_u64).prop_map(|(id, from)| Step::Read(id, from)),
        1 => Just(Step::Sweep),
        3 => (-20..80_i64).prop_map(Step::Clock),
    ];
    proptest::collection::vec(step, 1..60)
}

fn check(steps: &[Step], start_before: [u64; 3]) -> Result<(), TestCaseError> {
    let (mut table, mut model) = (AttemptTable::default(), ReferenceModel::default());
    let mut clock = 100 * SECOND;
    for step in steps {
        if !matches!(step, Step::Clock(_)) {
            model.now = model.now.max(clock);
        }
        let now = Timestamp(clock);
        let before = |id: u128| start_before[id as usize] * SECOND;
        match *step {
            Step::Start(id) => {
                let actual = table.start(now, AttemptId(id), Timestamp(before(id)));
                let may_be_forgotten = model.may_be_forgotten(id, before(id));
                let expected = model.start(id, before(id));
                let is_forgotten = may_be_forgotten && actual == StartDecision::Forgotten;
                prop_assert!(
                    actual == expected || is_forgotten,
                    "{actual:?}, expected {expected:?}"
                );
            }
            Step::Settle(id) => {
                let actual = table.settle(now, AttemptId(id), Timestamp(before(id)));
                let may_be_forgotten = model.may_be_forgotten(id, before(id));
                let expected = model.settle(id);
                let is_forgotten = may_be_forgotten && actual == SettleOutcome::Forgotten;
                prop_assert!(
                    actual == expected || is_forgotten,
                    "{actual:?}, expected {expected:?}"
                );
            }
            Step::Token(id) => {
                let kind = FrameKind::Token { token: Token(1), text: String::new() };
                prop_assert_eq!(table.push_frame(now, AttemptId(id), kind), model.push(id, false));
            }
            Step::End(id) => {
                let kind = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
                prop_assert_eq!(table.push_frame(now, AttemptId(id), kind), model.push(id, true));
            }
            Step::Read(id, from) => {
                let actual = table.frames(now, AttemptId(id), from);
                let actual: Option<Vec<_>> = actual.map(|f| f.iter().map(|f| f.seq).collect());
                let expected: Option<Vec<_>> = model.frames(id).map(|n| (from..n).collect());
                let is_forgotten = actual.is_none() && model.may_be_forgotten(id, before(id));
                prop_assert!(
                    actual == expected || is_forgotten,
                    "{actual:?}, expected {expected:?}"
                );
            }
            Step::Sweep => table.sweep(now),
            Step::Clock(seconds) => clock = clock.saturating_add_signed(seconds * SECOND as i64),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_agrees_with_reference_model(
        steps in steps(),
        start_before in [90..200_u64, 90..200_u64, 90..200_u64],
    ) {
        check(&steps, start_before)?;
    }
}

#[test]
fn forgotten_attempt_is_not_reported_as_not_started() {
    let steps = [
        Step::Start(0),
        Step::End(0),
        Step::Clock(79),
        Step::Clock(79),
        Step::Sweep,
        Step::Settle(0),
        Step::Start(0),
    ];
    check(&steps, [110; 3]).unwrap();
}

#[test]
fn clock_stepping_back_does_not_allow_an_expired_start() {
    let steps = [Step::Settle(0), Step::Clock(30), Step::Sweep, Step::Clock(-25), Step::Start(0)];
    check(&steps, [110; 3]).unwrap();
}

#[test]
fn unread_attempt_is_an_orphan_until_it_is_read() {
    let mut table = AttemptTable::default();
    let at = |seconds: u64| Timestamp(seconds * SECOND);
    table.start(at(0), AttemptId(1), at(2));
    assert_eq!(table.orphans(at(10)), []);
    assert_eq!(table.orphans(at(11)), [AttemptId(1)]);
    table.frames(at(11), AttemptId(1), 0);
    assert_eq!(table.orphans(at(21)), []);
    let kind = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    table.push_frame(at(21), AttemptId(1), kind);
    assert!(!table.is_drained(at(21)));
    table.frames(at(21), AttemptId(1), 0);
    assert!(table.is_drained(at(21)));
    assert_eq!(table.orphans(at(99)), []);
}

#[test]
fn attempt_forgotten_exactly_at_its_expiry_is_not_reported_as_refused() {
    let steps = [
        Step::Start(0),
        Step::End(0),
        Step::Clock(70),
        Step::Sweep,
        Step::Start(0),
        Step::Settle(0),
    ];
    check(&steps, [110; 3]).unwrap();
}

#[test]
fn reading_an_ended_attempt_extends_its_retention() {
    let mut table = AttemptTable::default();
    let at = |seconds: u64| Timestamp(seconds * SECOND);
    table.start(at(0), AttemptId(1), at(2));
    let kind = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    table.push_frame(at(0), AttemptId(1), kind);
    table.frames(at(50), AttemptId(1), 0);
    table.sweep(at(100));
    assert_eq!(table.frames(at(100), AttemptId(1), 0).map(|frames| frames.len()), Some(1));
    table.sweep(at(161));
    assert_eq!(table.frames(at(161), AttemptId(1), 0), None);
}
