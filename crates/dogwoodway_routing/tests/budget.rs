//! Checks team budgets against simple models, with four entries of which one cannot reach the
//! owner.

use std::{collections::VecDeque, time::Duration};

use dogwoodway_routing::budget::{GrantBalance, SlidingWindow, TeamBudget, TeamLimits, WINDOW};
use dogwoodway_types::{EntryIncarnation, GrantRequest, GrantRole, Timestamp};
use proptest::prelude::*;

const LIMITS: TeamLimits = TeamLimits { tokens: 600_000, in_flight: 400 };

proptest! {
    #[test]
    fn window_agrees_with_reference_model(
        steps in prop::collection::vec((0..9_000u64, 0..500u64, 0..300u64), 0..120),
    ) {
        let mut now = Timestamp::from_millis(1_000_000);
        let mut window = SlidingWindow::new(now, 0);
        let mut model: VecDeque<(u64, u64)> = VecDeque::new();
        for (elapsed_ms, added, refunded) in steps {
            now = now + Duration::from_millis(elapsed_ms);
            let second = now.as_millis() / 1_000;
            model.retain(|(at, _)| *at + 60 >= second);
            window.add(now, added);
            model.push_back((second, added));
            window.refund(now, refunded);
            let mut remaining = refunded;
            for (_, tokens) in &mut model {
                let taken = remaining.min(*tokens);
                *tokens -= taken;
                remaining -= taken;
            }
            prop_assert_eq!(window.used(now), model.iter().map(|(_, tokens)| tokens).sum::<u64>());
        }
    }
}

/// A running request.
struct Running {
    entry: usize,
    reserved_at: Timestamp,
    ends_at: Timestamp,
    reserved: u64,
    used: u64,
}

/// Four entries that share one budget; the last one reaches only the fallback.
struct Entries {
    balances: [GrantBalance; 4],
    owner: TeamBudget,
    fallback: TeamBudget,
    running: Vec<Running>,
    used: Vec<(Timestamp, u64)>,
}

impl Entries {
    fn new(now: Timestamp) -> Entries {
        Entries {
            balances: [GrantBalance::default(); 4],
            owner: TeamBudget::new(now, LIMITS),
            fallback: TeamBudget::new(now, LIMITS.for_role(GrantRole::Fallback)),
            running: Vec::new(),
            used: Vec::new(),
        }
    }

    fn arrive(&mut self, now: Timestamp, entry: usize, estimate: u64, used: u64, run: Duration) {
        let id = EntryIncarnation(entry as u64);
        let balance = &mut self.balances[entry];
        let is_admitted = match balance.reserve(now, id, estimate) {
            Ok(()) => true,
            Err(req) => {
                let grant = match entry {
                    3 => self.fallback.grant(now, LIMITS.for_role(GrantRole::Fallback), req),
                    _ => self.owner.grant(now, LIMITS, req),
                };
                balance.add_grant(now, grant);
                match balance.reserve(now, id, estimate) {
                    Ok(()) => true,
                    Err(req) => {
                        balance.restore_request(req);
                        false
                    }
                }
            }
        };
        if is_admitted {
            let (reserved_at, ends_at) = (now, now + run);
            self.running.push(Running { entry, reserved_at, ends_at, reserved: estimate, used });
        }
    }

    fn advance(&mut self, now: Timestamp) {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.ends_at <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for r in ended {
            self.balances[r.entry].settle(now, r.reserved_at, r.reserved, r.used);
            self.used.push((r.ends_at, r.used));
        }
    }

    /// Returns the largest number of tokens used in any window.
    fn max_window_use(&self) -> u64 {
        let in_window = |from: Timestamp| {
            let used = self.used.iter().filter(|(at, _)| *at >= from && *at < from + WINDOW);
            used.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.used.iter().map(|(at, _)| in_window(*at)).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn budget_is_kept_by_four_entries_of_which_one_cannot_reach_the_owner(
        arrivals in prop::collection::vec((0..4usize, 200..2_000u64, 50..150u64, 10..2_000u64), 3_000),
        restart_at in 0..3_000usize,
    ) {
        let mut now = Timestamp::from_millis(10_000_000);
        let mut entries = Entries::new(now);
        for (i, (entry, estimate, percent, run_ms)) in arrivals.into_iter().enumerate() {
            now = now + Duration::from_millis(50);
            entries.advance(now);
            if i == restart_at {
                entries.owner = TeamBudget::new(now, LIMITS);
            }
            let used = estimate * percent / 100;
            entries.arrive(now, entry, estimate, used, Duration::from_millis(run_ms));
        }
        let max_use = entries.max_window_use();
        prop_assert!(max_use * 100 <= LIMITS.tokens * 105, "{} tokens in a window", max_use);
    }
}

#[test]
fn unused_share_is_granted_to_other_entries_until_it_is_needed() {
    let mut now = Timestamp::from_millis(10_000_000);
    let mut entries = Entries::new(now);
    let mut used_by = [[0_u64; 3]; 2];
    for step in 0..6_000_usize {
        now = now + Duration::from_millis(50);
        entries.advance(now);
        let phase = step / 3_000;
        let all = [0, 1, 2];
        let senders = if phase == 0 { &all[..1] } else { &all[..] };
        for &entry in senders {
            let before = entries.running.len();
            entries.arrive(now, entry, 1_000, 1_000, Duration::from_millis(100));
            if step % 3_000 >= 1_500 {
                used_by[phase][entry] += 1_000 * (entries.running.len() - before) as u64;
            }
        }
    }
    let budget = LIMITS.tokens * 75 / 60;
    assert!(used_by[0][0] * 100 >= budget * 90, "{used_by:?} of {budget}");
    for used in used_by[1] {
        assert!(used * 100 >= budget / 3 * 60, "{used_by:?} of {budget}");
    }
}

#[test]
fn lowered_budget_applies_at_once_and_does_not_block_the_team() {
    let mut now = Timestamp::from_millis(10_000_000);
    let mut budget = TeamBudget::new(now, LIMITS);
    let lower = TeamLimits { tokens: 6_000, ..LIMITS };
    let mut granted = 0;
    for _ in 0..WINDOW.as_secs() {
        granted += budget.grant(now, lower, grant_request(100, 1)).tokens;
        now = now + Duration::from_secs(1);
    }
    assert!((5_400..=6_000).contains(&granted), "{granted}");
}

#[test]
fn limit_of_requests_in_flight_is_kept_over_all_entries() {
    let limits = TeamLimits { tokens: u64::MAX / 1_000, in_flight: 40 };
    let now = Timestamp::from_millis(10_000_000);
    let mut budget = TeamBudget::new(now, limits);
    budget.grant(now + WINDOW * 3, limits, grant_request(0, 0));
    let now = now + WINDOW * 3;
    let mut admitted = 0;
    let mut balances = [GrantBalance::default(); 4];
    for i in 0..400_u64 {
        let entry = EntryIncarnation(i % 4);
        let balance = &mut balances[(i % 4) as usize];
        let mut taken = balance.reserve(now, entry, 1);
        if let Err(req) = taken {
            balance.add_grant(now, budget.grant(now, limits, req));
            taken = balance.reserve(now, entry, 1);
        }
        admitted += u32::from(taken.is_ok());
    }
    assert!((36..=42).contains(&admitted), "{admitted}");
}

fn grant_request(need: u64, in_flight: u32) -> GrantRequest {
    let entry = EntryIncarnation(9);
    GrantRequest { entry, need, returned: 0, overdrawn: 0, in_flight }
}
