//! Quotas of teams over many routers, played without a network.

use dogwoodway_routing::direct::team_quota::{
    QuotaDecision, QuotaKey, QuotaLetter, QuotaTable, RawQuota, TeamQuota,
};
use dogwoodway_types::{TeamName, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Window in which the quota holds, and what may exceed it.
const WINDOW_MS: u64 = 8_000;
const OVERSHOOT: f64 = 1.1;
const SLACK_TOKENS: f64 = 140_000.0;

/// A quarter of the 12 KB a second that a router may spend on control, in messages of 60 bytes of which
/// each is sent twice.
const MOST_MESSAGES_PER_S: f64 = 25.0;

const RATE_PER_S: f64 = 1_100_000.0;
const TICK_MS: u64 = 20;

fn team() -> QuotaKey {
    QuotaKey::from(&TeamName::try_from("desk").unwrap())
}

fn quota(rate_per_s: f64, burst: f64) -> TeamQuota {
    TeamQuota::try_from(RawQuota { rate_per_s, burst, ..RawQuota::default() }).unwrap()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// What happens to the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Routers are killed one after the other, the broker's place included, and start again.
    Kills,
    /// A third of the routers is cut off for five seconds; both sides go on.
    Cut,
    /// Three routers stand still for two seconds.
    Freezes,
    /// Five routers are added.
    Additions,
    /// The quota is lowered to a third.
    LowerQuota,
}

/// A fleet, the demand of one team, and what it passes.
struct Play {
    routers: usize,
    /// Demand as a multiple of the rate.
    demand: f64,
    tokens: u64,
    lost_share: f64,
    trouble: Trouble,
    seconds: u64,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            routers: 23,
            demand: 0.8,
            tokens: 12_000,
            lost_share: 0.03,
            trouble: Trouble::None,
            seconds: 18,
        }
    }
}

struct Outcome {
    /// When tokens were taken, and how many.
    passed: Vec<(u64, f64)>,
    asked: f64,
    letters: usize,
}

impl Outcome {
    fn passed_in(&self, range: std::ops::Range<u64>) -> f64 {
        self.passed.iter().filter(|(ms, _)| range.contains(ms)).map(|(_, tokens)| tokens).sum()
    }

    /// Returns the most tokens in any window that begins from `from_ms` on.
    fn most_in_window(&self, from_ms: u64) -> f64 {
        let starts = self.passed.iter().map(|(ms, _)| *ms).filter(|ms| *ms >= from_ms);
        starts.map(|ms| self.passed_in(ms..ms + WINDOW_MS)).fold(0.0, f64::max)
    }
}

fn bound(rate_per_s: f64, burst: f64) -> f64 {
    (rate_per_s * WINDOW_MS as f64 / 1e3 + burst) * OVERSHOOT + SLACK_TOKENS
}

/// Routers of one play, with the messages under way and the requests that wait.
struct Fleet<'a> {
    case: &'a Play,
    rng: StdRng,
    ranks: Vec<u64>,
    tables: Vec<QuotaTable>,
    /// From when on each router runs.
    up_from: Vec<u64>,
    letters: Vec<(u64, QuotaLetter)>,
    /// Router and end of the wait.
    waiting: Vec<(usize, u64)>,
    outcome: Outcome,
}

fn new_table(rank: u64, ms: u64) -> QuotaTable {
    let mut table = QuotaTable::new(rank, at(ms + 1_000));
    table.set_quotas(at(ms), &[(team(), quota(RATE_PER_S, RATE_PER_S))]);
    table
}

impl Fleet<'_> {
    fn new(case: &Play, seed: u64) -> Fleet<'_> {
        let added = if case.trouble == Trouble::Additions { 5 } else { 0 };
        let routers = case.routers + added;
        let ranks: Vec<u64> = (0..routers as u64).map(|n| n * 7_919 + seed).collect();
        let up_from: Vec<u64> = (0..routers)
            .map(|n| if n < case.routers { 0 } else { 8_000 + 200 * n as u64 })
            .collect();
        let tables = ranks.iter().zip(&up_from).map(|(rank, ms)| new_table(*rank, *ms)).collect();
        Fleet {
            case,
            rng: StdRng::seed_from_u64(seed),
            ranks,
            tables,
            up_from,
            letters: Vec::new(),
            waiting: Vec::new(),
            outcome: Outcome { passed: Vec::new(), asked: 0.0, letters: 0 },
        }
    }

    fn is_up(&self, n: usize, ms: u64) -> bool {
        let is_frozen =
            self.case.trouble == Trouble::Freezes && n < 3 && (9_000..11_000).contains(&ms);
        self.up_from[n] <= ms && !is_frozen
    }

    fn is_cut_off(&self, n: usize, ms: u64) -> bool {
        let is_cut = self.case.trouble == Trouble::Cut && (9_000..14_000).contains(&ms);
        is_cut && n.is_multiple_of(3)
    }

    fn bring_trouble(&mut self, ms: u64) {
        if self.case.trouble == Trouble::Kills && ms.is_multiple_of(700) && ms > 6_000 {
            let n = self.rng.random_range(0..self.case.routers);
            self.up_from[n] = ms + 500;
            self.tables[n] = new_table(self.ranks[n], ms + 500);
        }
        if self.case.trouble == Trouble::LowerQuota && ms == 10_000 {
            for table in &mut self.tables {
                table.set_quotas(at(ms), &[(team(), quota(RATE_PER_S / 3.0, RATE_PER_S / 3.0))]);
            }
        }
    }

    /// Tells the routers who is alive.
    fn update_members(&mut self, ms: u64) {
        let routers = self.tables.len();
        for n in (0..routers).filter(|n| self.is_up(*n, ms)).collect::<Vec<_>>() {
            let is_seen = |other: &usize| {
                self.up_from[*other] <= ms && self.is_cut_off(*other, ms) == self.is_cut_off(n, ms)
            };
            let alive: Vec<_> =
                (0..routers).filter(is_seen).map(|other| self.ranks[other]).collect();
            self.tables[n].set_routers(at(ms), &alive);
        }
    }

    fn deliver(&mut self, ms: u64) {
        let find = |rank| self.ranks.iter().position(|known| *known == rank).unwrap();
        let due: Vec<_> = self.letters.extract_if(.., |(due, _)| *due <= ms).collect();
        let ends: Vec<_> = due.iter().map(|(_, it)| (find(it.from), find(it.to))).collect();
        for ((_, letter), (from, to)) in due.into_iter().zip(ends) {
            if self.is_up(to, ms) && self.is_cut_off(from, ms) == self.is_cut_off(to, ms) {
                self.tables[to].apply(at(ms), &letter);
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        self.outcome.passed.push((ms, self.case.tokens as f64));
    }

    fn serve_waiting(&mut self, ms: u64) {
        for (n, until) in std::mem::take(&mut self.waiting) {
            if self.tables[n].take_waiting(at(ms), team(), self.case.tokens) {
                self.pass(ms);
            } else if ms < until {
                self.waiting.push((n, until));
            } else {
                assert!(self.tables[n].refuse(at(ms), team(), self.case.tokens) > at(ms));
            }
        }
    }

    /// Sends the requests of one millisecond. A tenth of the routers has half of the connections.
    fn send_requests(&mut self, ms: u64) {
        let favoured = (self.case.routers / 10).max(1);
        let weight = |n| if n < favoured { 9.0 } else { 1.0 };
        let total: f64 = (0..self.case.routers).map(weight).sum();
        let per_ms = RATE_PER_S * self.case.demand / self.case.tokens as f64 / 1e3;
        for n in 0..self.case.routers {
            let chance = (per_ms * weight(n) / total).min(1.0);
            if !self.is_up(n, ms) || !self.rng.random_bool(chance) {
                continue;
            }
            self.outcome.asked += self.case.tokens as f64;
            match self.tables[n].take(at(ms), team(), self.case.tokens) {
                QuotaDecision::Pass => self.pass(ms),
                QuotaDecision::Wait { until } => {
                    self.waiting.push((n, until.as_millis() - at(0).as_millis()));
                }
                QuotaDecision::Refuse { retry_at } => assert!(retry_at > at(ms)),
            }
        }
    }

    fn send_letters(&mut self, ms: u64) {
        for n in 0..self.tables.len() {
            if self.is_up(n, ms) && ms % TICK_MS == n as u64 % TICK_MS {
                self.tables[n].tick(at(ms));
            }
            for letter in self.tables[n].take_outgoing() {
                self.outcome.letters += 1;
                for copy in 0..2 {
                    if !self.rng.random_bool(self.case.lost_share) {
                        let delay = self.rng.random_range(1..20) + 20 * copy;
                        self.letters.push((ms + delay, letter));
                    }
                }
            }
        }
    }
}

fn play(case: &Play, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(case, seed);
    let end_ms = case.seconds * 1_000;
    for ms in 0..end_ms {
        fleet.bring_trouble(ms);
        if ms.is_multiple_of(100) {
            fleet.update_members(ms);
        }
        fleet.deliver(ms);
        if ms.is_multiple_of(5) {
            fleet.serve_waiting(ms);
        }
        // The last ones get their answers within the play.
        if ms >= 6_000 && ms + 1_000 < end_ms {
            fleet.send_requests(ms);
        }
        fleet.send_letters(ms);
    }
    fleet.outcome
}

fn assert_bound(name: &str, case: &Play) {
    for seed in 0..2 {
        let most = play(case, seed).most_in_window(0);
        let allowed = bound(RATE_PER_S, RATE_PER_S);
        assert!(most <= allowed, "{name}, seed {seed}: {most:.0} tokens, {allowed:.0} allowed");
    }
}

// A team at many times its quota exceeded it, since no router knew what the others pass.
#[test]
fn team_at_eight_times_its_quota_stays_within_it() {
    for trouble in
        [Trouble::None, Trouble::Kills, Trouble::Cut, Trouble::Freezes, Trouble::Additions]
    {
        let case = Play { demand: 8.0, trouble, lost_share: 0.1, ..Play::default() };
        assert_bound(&format!("{trouble:?}"), &case);
    }
    assert_bound(
        "380 routers",
        &Play { demand: 8.0, routers: 380, seconds: 16, ..Play::default() },
    );
}

#[test]
fn team_at_eight_times_its_quota_stays_within_it_at_380_routers() {
    let case = Play { demand: 8.0, routers: 380, seconds: 15, ..Play::default() };
    let most = play(&case, 0).most_in_window(0);
    let allowed = bound(RATE_PER_S, RATE_PER_S);
    assert!(most <= allowed, "{most:.0} tokens, {allowed:.0} allowed");
}

// A lower quota binds one window after it is in force.
#[test]
fn lower_quota_binds_after_one_window() {
    let case = Play { demand: 8.0, trouble: Trouble::LowerQuota, seconds: 30, ..Play::default() };
    for seed in 0..3 {
        let most = play(&case, seed).most_in_window(10_000);
        let allowed = bound(RATE_PER_S / 3.0, RATE_PER_S / 3.0);
        assert!(most <= allowed, "seed {seed}: {most:.0} tokens, {allowed:.0} allowed");
    }
}

// Fixed parts of the quota would refuse most of what comes to the routers with many connections.
#[test]
fn what_is_below_the_quota_is_passed_although_connections_are_uneven() {
    for (tokens, lost_share) in [(2_400, 0.03), (12_000, 0.03), (54_600, 0.03), (12_000, 0.0)] {
        let case = Play { tokens, lost_share, ..Play::default() };
        for seed in 0..3 {
            let outcome = play(&case, seed);
            let passed = outcome.passed_in(0..u64::MAX) / outcome.asked;
            assert!(passed >= 0.95, "{tokens} tokens, lost {lost_share}, seed {seed}: {passed:.3}");
        }
    }
}

// Of a team over its quota, what the quota allows is passed.
#[test]
fn team_over_its_quota_gets_all_of_it() {
    for seed in 0..3 {
        let outcome = play(&Play { demand: 3.0, ..Play::default() }, seed);
        let share = outcome.passed_in(8_000..17_000) / (RATE_PER_S * 9.0);
        assert!(share >= 0.95, "seed {seed}: {share:.3}");
    }
}

// A single request as large as the whole burst came to a router that holds a small part of it.
#[test]
fn single_request_of_most_of_the_burst_passes_after_a_wait() {
    let case = Play { demand: 0.05, tokens: 54_600, ..Play::default() };
    for seed in 0..3 {
        let outcome = play(&case, seed);
        let passed = outcome.passed_in(0..u64::MAX) / outcome.asked.max(1.0);
        assert!(passed >= 0.95, "seed {seed}: {passed:.3}");
    }
}

// Each letter is sent twice, and a second copy must not create tokens.
#[test]
fn message_that_arrives_twice_is_applied_once() {
    let ranks = [1, 2];
    let mut tables = ranks.map(|rank| QuotaTable::new(rank, at(0)));
    for table in &mut tables {
        table.set_routers(at(0), &ranks);
        table.set_quotas(at(0), &[(team(), quota(1_000.0, 1_000.0))]);
    }
    let mut letters = Vec::new();
    for ms in (1_000..2_000).step_by(10) {
        let [first, second] = &mut tables;
        let _ = first.take(at(ms), team(), 900);
        second.tick(at(ms));
        letters.extend(first.take_outgoing());
        letters.extend(second.take_outgoing());
        for letter in letters.drain(..) {
            for table in &mut tables {
                table.apply(at(ms), &letter);
                table.apply(at(ms), &letter);
            }
        }
        let total: f64 = tables.iter_mut().filter_map(|t| t.balance(at(ms), team())).sum();
        assert!(total <= 1_000.0 + 1_000.0 * 0.3, "{total} tokens in stock at {ms} ms");
    }
}

// Messages grow with the routers only as far as one team's broker can bear.
#[test]
fn messages_of_a_team_over_its_quota_are_bounded() {
    for routers in [23, 100, 380] {
        let case = Play { routers, demand: 8.0, seconds: 10, ..Play::default() };
        let outcome = play(&case, 1);
        let per_s = outcome.letters as f64 / routers as f64 / 4.0;
        println!("{routers} routers: {per_s:.1} messages a second each");
        assert!(per_s <= MOST_MESSAGES_PER_S, "{routers} routers: {per_s:.1} a second each");
    }
}

// A team without a quota, or whose quota was removed, is not limited.
#[test]
fn team_without_a_quota_is_not_limited() {
    let mut table = QuotaTable::new(1, at(0));
    assert!(!table.is_in_use());
    table.set_quotas(at(0), &[(team(), quota(1.0, 1.0))]);
    assert!(matches!(table.take(at(1), team(), 500), QuotaDecision::Refuse { .. }));
    table.set_quotas(at(2), &[]);
    assert_eq!(table.take(at(3), team(), 500), QuotaDecision::Pass);
}
