//! Limits that servers state: what ends them, and what all routers together send.

use std::time::Duration;

use dogwoodway_routing::{
    direct::{
        server_limit::{LimitStatement, RAMP_STEP, ServerLimit, holder_share},
        server_notice::{RequestRate, StatedLimit},
    },
    rendezvous::ServerKey,
};
use dogwoodway_types::Timestamp;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Length of the window in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Time after the first answer with a limit from which requests are counted.
const SPREADING_MS: u64 = 500;

/// Time within which all routers know which routers are alive.
const VIEW_LAG_MS: u64 = 2_300;

const SERVER: ServerKey = ServerKey(0x5eed);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn stated(ms: u64, per_second: f64) -> LimitStatement {
    LimitStatement::new(at(ms), StatedLimit::Rate(rate(per_second)))
}

fn ended(sent_at_ms: u64, per_second: f64) -> LimitStatement {
    LimitStatement { has_ended: true, at: at(sent_at_ms), rate: rate(per_second) }
}

fn limit_after(statements: &[LimitStatement]) -> ServerLimit {
    let mut limit = ServerLimit::default();
    for statement in statements {
        limit.apply(statement.at, *statement, SERVER, 1, &[1]);
    }
    limit
}

#[test]
fn answer_without_a_limit_ends_it_only_if_its_request_was_sent_after_the_limit_was_heard() {
    assert!(limit_after(&[stated(100, 2.0), ended(99, 2.0)]).is_stated());
    assert!(limit_after(&[stated(100, 2.0), ended(100, 2.0)]).is_stated());
    assert!(!limit_after(&[stated(100, 2.0), ended(101, 2.0)]).is_stated());
    // A late answer with the limit is older than the end.
    assert!(!limit_after(&[stated(100, 2.0), ended(150, 2.0), stated(140, 2.0)]).is_stated());
    assert!(limit_after(&[stated(100, 2.0), ended(150, 2.0), stated(160, 2.0)]).is_stated());
    assert_eq!(limit_after(&[ended(150, 2.0)]).statement(), None);
}

#[test]
fn limit_rises_falls_and_may_be_zero() {
    let limit = limit_after(&[stated(100, 2.0), stated(200, 8.0), stated(300, 0.5)]);
    assert_eq!(limit.statement().map(|statement| statement.rate), Some(rate(0.5)));
    let zero = limit_after(&[stated(100, 0.0)]);
    // Rarely a request, which hears when the limit ends.
    let next = zero.next_send_at(at(200)).expect("the only router holds the right");
    assert!(next >= at(10_000) && next <= at(60_000), "{next:?}");
    let unreadable = LimitStatement::new(at(100), StatedLimit::Unreadable);
    assert_eq!(limit_after(&[unreadable]).next_send_at(at(100)), Some(at(1_100)));
}

#[test]
fn rate_rises_step_by_step_after_the_end_of_a_limit() {
    let mut limit = limit_after(&[stated(1_000, 2.0), ended(2_000, 2.0)]);
    let mut sent = Vec::new();
    let mut now = at(2_000);
    while now < at(2_000) + RAMP_STEP * 6 {
        if limit.next_send_at(now).is_some_and(|at| at <= now) {
            limit.record_request(now);
            sent.push(now);
        }
        now = now + Duration::from_millis(5);
    }
    let in_step = |n: u32| {
        let (from, to) = (at(2_000) + RAMP_STEP * n, at(2_000) + RAMP_STEP * (n + 1));
        sent.iter().filter(|at| (from..to).contains(*at)).count()
    };
    let steps: Vec<_> = (0..6).map(in_step).collect();
    assert!(steps.windows(2).all(|pair| pair[1] >= pair[0]), "{steps:?}");
    assert!(steps[0] <= 2 && steps[5] >= 20, "{steps:?}");
    assert_eq!(limit.next_send_at(now), Some(now));
}

#[test]
fn router_that_does_not_know_the_others_holds_no_right() {
    let mut limit = ServerLimit::default();
    limit.apply(at(100), stated(100, 5.0), SERVER, 1, &[]);
    assert_eq!(limit.next_send_at(at(9_000)), None);
    limit.update_share(at(9_000), SERVER, 1, &[1]);
    assert_eq!(limit.next_send_at(at(9_000)), Some(at(9_200)));
}

proptest! {
    #[test]
    fn shares_add_up_to_the_limit_and_few_routers_hold_them(
        routers in 1..400_u64,
        server in any::<u64>(),
        per_second in 0.0..300.0_f64,
    ) {
        let ids: Vec<u64> = (0..routers).collect();
        let shares = ids.iter().map(|own| {
            holder_share(ServerKey(server), rate(per_second), *own, &ids)
        });
        let shares: Vec<_> = shares.filter(|share| *share > 0.0).collect();
        prop_assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-6);
        prop_assert!(shares.len() as f64 <= per_second + 1.0);
    }
}

/// Routers that send to one server as often as its limit allows them.
struct Routers {
    limits: Vec<ServerLimit>,
    alive: Vec<bool>,
    /// Views of the routers alive that take effect later: time, router, routers alive.
    pending_views: Vec<(u64, usize, Vec<u64>)>,
    sent_ms: Vec<u64>,
}

impl Routers {
    /// Creates routers that hear of a limit within [`SPREADING_MS`] after 1 s.
    fn start(count: usize, per_second: f64, rng: &mut StdRng) -> Routers {
        let ids: Vec<u64> = (0..count as u64).collect();
        let mut limits = vec![ServerLimit::default(); count];
        for (own, limit) in limits.iter_mut().enumerate() {
            let heard_ms = 1_000 + rng.random_range(0..SPREADING_MS);
            limit.apply(at(heard_ms), stated(1_000, per_second), SERVER, own as u64, &ids);
        }
        Routers { limits, alive: vec![true; count], pending_views: Vec::new(), sent_ms: Vec::new() }
    }

    /// Stops or starts a router. The others learn it with different delays; a router that starts
    /// knows nothing at first.
    fn change(&mut self, now_ms: u64, router: usize, per_second: f64, rng: &mut StdRng) {
        self.alive[router] ^= true;
        if self.alive[router] {
            self.limits[router] = ServerLimit::default();
            self.limits[router].apply(
                at(now_ms),
                stated(now_ms, per_second),
                SERVER,
                router as u64,
                &[],
            );
        }
        let view = (0..self.alive.len() as u64).filter(|id| self.alive[*id as usize]);
        let view: Vec<_> = view.collect();
        for other in 0..self.alive.len() {
            let lag_ms = rng.random_range(0..VIEW_LAG_MS);
            self.pending_views.push((now_ms + lag_ms, other, view.clone()));
        }
    }

    fn step(&mut self, now_ms: u64) {
        let due = self.pending_views.extract_if(.., |(due_ms, ..)| *due_ms <= now_ms);
        for (_, router, view) in due.collect::<Vec<_>>() {
            self.limits[router].update_share(at(now_ms), SERVER, router as u64, &view);
        }
        for (limit, _) in self.limits.iter_mut().zip(&self.alive).filter(|(_, alive)| **alive) {
            while limit.next_send_at(at(now_ms)).is_some_and(|next| next <= at(now_ms)) {
                limit.record_request(at(now_ms));
                self.sent_ms.push(now_ms);
            }
        }
    }

    /// Returns the most requests in any window.
    fn busiest_window(&self) -> usize {
        let counted: Vec<_> =
            self.sent_ms.iter().filter(|ms| **ms >= 1_000 + SPREADING_MS).collect();
        let in_window =
            |from: u64| counted.iter().filter(|ms| (from..from + WINDOW_MS).contains(**ms)).count();
        counted.iter().map(|from| in_window(**from)).max().unwrap_or(0)
    }
}

const ROUTER_COUNTS: [usize; 4] = [3, 30, 100, 380];
const LIMITS: [f64; 6] = [0.2, 1.6, 5.0, 20.0, 60.0, 200.0];
const SECONDS: u64 = 30;

#[test]
fn all_routers_together_keep_the_limit_and_use_it() {
    let mut rng = StdRng::seed_from_u64(1);
    for routers in ROUTER_COUNTS {
        for limit in LIMITS {
            let mut fleet = Routers::start(routers, limit, &mut rng);
            for now_ms in (1_000..1_000 + SECONDS * 1_000).step_by(5) {
                fleet.step(now_ms);
            }
            let most = fleet.busiest_window() as f64;
            assert!(most <= 6.0 * limit + 5.0, "{routers} routers, limit {limit}: {most} in 4 s");
            let used = fleet.sent_ms.len() as f64 / SECONDS as f64 / limit;
            assert!(used >= 0.8, "{routers} routers, limit {limit}: {used:.2} of it used");
        }
    }
}

#[test]
fn limit_is_kept_while_routers_come_and_go() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers = ROUTER_COUNTS[seed as usize % 3];
        for limit in LIMITS {
            let mut fleet = Routers::start(routers, limit, &mut rng);
            for now_ms in (1_000..1_000 + SECONDS * 1_000).step_by(10) {
                if now_ms % 1_500 == 0 {
                    let router = rng.random_range(0..routers);
                    fleet.change(now_ms, router, limit, &mut rng);
                }
                fleet.step(now_ms);
            }
            let most = fleet.busiest_window() as f64;
            assert!(
                most <= 6.0 * limit + 5.0,
                "seed {seed}, {routers} routers, limit {limit}: {most} in 4 s"
            );
        }
    }
}
