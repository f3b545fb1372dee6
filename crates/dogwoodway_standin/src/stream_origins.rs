//! Simulation of routers that learn where broken-off streams began, during a release of the engines.
//!
//! Streams begin at all routers, at one of two software versions, while the second one replaces the
//! first. Some break off: their router is killed, or their engine is lost and the router cannot
//! continue them. Their clients take them up at another router some milliseconds later. Routers are
//! killed and cut from each other, datagrams are lost, and the list of servers is known late. The
//! simulation compares [ways](Knowledge) to know the version that began a stream.

use std::time::Duration;

use clap::ValueEnum;
use dogwoodway_routing::direct::{
    peers::{RouterInfo, ZoneTag},
    stream_origin::{StreamKey, TOLD_PER_ZONE, homes, routers_to_ask},
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// Length of the simulated time.
const DURATION: Duration = Duration::from_secs(60);

/// Requests a second of the whole fleet, for each router.
const STREAMS_PER_ROUTER: f64 = 6_200.0 / 380.0;

/// Broken-off streams that are simulated.
const BROKEN_STREAMS: usize = 20_000;

/// Mean time for which a stream has lasted when it breaks off, in seconds.
const MEAN_AGE_S: f64 = 1.5;

/// Longest time after which a router knows that the list of servers has changed, in seconds.
const MAX_LIST_LAG_S: f64 = 2.1;

/// Time after which a router that does not answer counts as gone, in seconds.
const SILENT_AFTER_S: f64 = 2.0;

/// Longest time from the first event until the router sends the next datagrams, in seconds.
const SEND_INTERVAL_S: f64 = 0.02;

/// Longest time for which a router waits for answers, in seconds.
const ASK_S: f64 = 0.15;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;

/// Appends a second that the platform's log accepts.
const LOG_APPENDS_PER_S: f64 = 400.0;

/// Encoded size of a record, in bytes.
const RECORD_BYTES: f64 = 34.0;

/// Further bytes of a datagram: headers, and what the sender tells about itself.
const DATAGRAM_BYTES: f64 = 44.0;

/// A way to know which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Knowledge {
    /// A router knows what it began itself; all else is refused.
    OwnMemory,
    /// Each router tells all others.
    ToAll,
    /// Each router tells the home routers of the stream, which are asked.
    Homes,
    /// The version follows from the stream's id and the share of each version, as far as the router
    /// knows it.
    ById,
    /// Each router appends to the platform's log, which all read.
    Log,
}

impl Knowledge {
    /// All ways.
    pub const ALL: [Knowledge; 5] =
        [Knowledge::OwnMemory, Knowledge::ToAll, Knowledge::Homes, Knowledge::ById, Knowledge::Log];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Knowledge::OwnMemory => "own memory",
            Knowledge::ToAll => "told to all",
            Knowledge::Homes => "home routers",
            Knowledge::ById => "by id",
            Knowledge::Log => "platform log",
        }
    }

    /// Returns the bytes a second that a router sends and receives for the records of streams.
    pub fn bytes_per_s(self, routers: u32) -> f64 {
        let (own, routers) = (STREAMS_PER_ROUTER, f64::from(routers));
        let per_interval = own * SEND_INTERVAL_S;
        // Records that become due together share a datagram.
        let datagrams = (1.0 - (-per_interval).exp()) / SEND_INTERVAL_S;
        match self {
            Knowledge::OwnMemory | Knowledge::ById => 0.0,
            Knowledge::ToAll => {
                2.0 * (routers - 1.0) * (own * RECORD_BYTES + datagrams * DATAGRAM_BYTES)
            }
            Knowledge::Homes => 2.0 * 2.0 * own * (RECORD_BYTES + DATAGRAM_BYTES),
            Knowledge::Log => (routers + 1.0) * own * RECORD_BYTES,
        }
    }
}

/// Times, in seconds, at which something is so.
type Periods = Vec<(f64, f64)>;

struct Router {
    info: RouterInfo,
    /// When it is down. Each period ends with an empty memory.
    down: Periods,
    /// When it does not reach other routers.
    cut: Periods,
    list_lag: f64,
}

fn holds(periods: &Periods, at: f64) -> bool {
    periods.iter().any(|(from, until)| (*from..*until).contains(&at))
}

impl Router {
    fn is_up(&self, at: f64) -> bool {
        !holds(&self.down, at)
    }

    fn reaches_others(&self, at: f64) -> bool {
        self.is_up(at) && !holds(&self.cut, at)
    }

    /// Returns whether what it learnt at `from` is still in its memory at `at`.
    fn remembers(&self, from: f64, at: f64) -> bool {
        self.is_up(from) && !self.down.iter().any(|(down, _)| (from..at).contains(down))
    }

    /// Returns whether others count it as alive.
    fn is_heard(&self, at: f64) -> bool {
        let was_heard = |at: f64| self.reaches_others(at.max(0.0));
        was_heard(at) || was_heard(at - SILENT_AFTER_S)
    }
}

/// What became of the streams that clients took up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Streams that clients took up.
    pub taken_up: u32,
    /// Those that went on at the version that began them.
    pub went_on: u32,
    /// Those that went on at another version.
    pub wrong: u32,
    /// Sum of the time that passed until the origin was known, in milliseconds.
    pub delay_ms: f64,
}

struct Fleet {
    routers: Vec<Router>,
    /// Share of the second version at the beginning and at the end.
    shares: (f64, f64),
}

struct Broken {
    key: StreamKey,
    /// Random number that the version follows from.
    draw: f64,
    began_at: f64,
    router: usize,
    taken_up_at: f64,
    taken_up_by: usize,
}

/// Simulates a release, with the second version at `shares` of the engines at the beginning and at
/// the end.
///
/// ```
/// use dogwoodway_standin::stream_origins::{Knowledge, simulate};
///
/// let outcome = simulate(Knowledge::Homes, 4, 3, (0.1, 0.66), 1);
/// assert_eq!(outcome.wrong, 0);
/// ```
pub fn simulate(
    knowledge: Knowledge,
    routers: u32,
    zones: u16,
    shares: (f64, f64),
    seed: u64,
) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = Fleet::new(routers, zones, shares, &mut rng);
    let mut outcome = Outcome::default();
    for n in 0..BROKEN_STREAMS {
        let Some(broken) = fleet.break_stream(n, &mut rng) else { continue };
        outcome.taken_up += 1;
        let version = broken.draw < fleet.share_known_to(broken.router, broken.began_at);
        let Some((found, after_s)) = fleet.version_found(knowledge, &broken, version, &mut rng)
        else {
            continue;
        };
        outcome.delay_ms += after_s * 1e3;
        match found == version {
            true => outcome.went_on += 1,
            false => outcome.wrong += 1,
        }
    }
    outcome
}

impl Fleet {
    fn new(routers: u32, zones: u16, shares: (f64, f64), rng: &mut impl Rng) -> Fleet {
        let router = |n: u32| RouterInfo {
            address: format!("10.{}.{}.1:7340", n / 250, n % 250).parse().expect("an address"),
            zone: ZoneTag((n % u32::from(zones)) as u16),
            cpu_percent: 20,
            reaches_store: true,
        };
        let routers = (0..routers).map(|n| Router {
            info: router(n),
            down: periods(rng, 40.0, 2.5),
            cut: periods(rng, 120.0, 4.0),
            list_lag: rng.random_range(0.0..MAX_LIST_LAG_S),
        });
        Fleet { routers: routers.collect(), shares }
    }

    /// Returns the share of the second version, as a router knows it.
    fn share_known_to(&self, router: usize, at: f64) -> f64 {
        let at = (at - self.routers[router].list_lag).max(0.0) / DURATION.as_secs_f64();
        self.shares.0 + (self.shares.1 - self.shares.0) * at
    }

    /// Draws a stream that breaks off, in half of the cases because its router is killed; `None` if
    /// no other router is up.
    fn break_stream(&self, n: usize, rng: &mut impl Rng) -> Option<Broken> {
        let router = rng.random_range(0..self.routers.len());
        let age = (-rng.random::<f64>().ln() * MEAN_AGE_S).min(10.0);
        let kills = &self.routers[router].down;
        let broken_at = match kills.is_empty() || rng.random() {
            true => rng.random_range(12.0..DURATION.as_secs_f64()),
            false => kills[rng.random_range(0..kills.len())].0,
        };
        let began_at = broken_at - age;
        let taken_up_at = broken_at + rng.random_range(0.006..0.05);
        let up = |at| move |n: &usize| self.routers[*n].is_up(at);
        if began_at < 0.0 || !self.routers[router].remembers(began_at, broken_at) {
            return None;
        }
        let others: Vec<_> = (0..self.routers.len()).filter(up(taken_up_at)).collect();
        let taken_up_by = *others.get(rng.random_range(0..others.len().max(1)))?;
        let key = StreamKey::new(None, &format!("{n}"));
        Some(Broken { key, draw: rng.random(), began_at, router, taken_up_at, taken_up_by })
    }

    /// Returns the version that the router finds to have begun a stream, and the time that it takes.
    fn version_found(
        &self,
        knowledge: Knowledge,
        broken: &Broken,
        version: bool,
        rng: &mut impl Rng,
    ) -> Option<(bool, f64)> {
        let Broken { began_at, router, taken_up_at, taken_up_by, .. } = *broken;
        let (origin, asking) = (&self.routers[router], &self.routers[taken_up_by]);
        if knowledge == Knowledge::ById {
            return Some((broken.draw < self.share_known_to(taken_up_by, taken_up_at), 0.0));
        }
        if router == taken_up_by && origin.remembers(began_at, taken_up_at) {
            return Some((version, 0.0));
        }
        let sent_at = began_at + rng.random_range(0.0..SEND_INTERVAL_S);
        let is_sent = origin.remembers(began_at, sent_at) && origin.reaches_others(sent_at);
        let hop = rng.random_range(0.001..0.004);
        let known_after = match knowledge {
            Knowledge::OwnMemory | Knowledge::ById => return None,
            Knowledge::ToAll => {
                let arrives = is_sent && asking.reaches_others(sent_at) && !rng.random_bool(LOSS);
                let known_at = sent_at + hop;
                (arrives && asking.remembers(known_at, taken_up_at.max(known_at)))
                    .then_some(known_at - taken_up_at)
            }
            Knowledge::Log => {
                let interval = (self.routers.len() as f64 / LOG_APPENDS_PER_S).max(SEND_INTERVAL_S);
                let appended_at = began_at + rng.random_range(0.0..interval) + 0.005;
                // A router that starts reads the log again, so that a restart forgets nothing.
                origin.remembers(began_at, appended_at).then_some(appended_at + 0.005 - taken_up_at)
            }
            Knowledge::Homes => self.answer_of_home(broken, is_sent.then_some(sent_at), rng),
        };
        let known_after = known_after.filter(|after| *after <= ASK_S)?;
        Some((version, known_after.max(0.0)))
    }

    /// Returns the time after which a home router answers where a stream began.
    fn answer_of_home(
        &self,
        broken: &Broken,
        sent_at: Option<f64>,
        rng: &mut impl Rng,
    ) -> Option<f64> {
        let alive = |at: f64, but: usize| {
            let routers = self.routers.iter().enumerate();
            let heard = routers.filter(move |(n, router)| *n != but && router.is_heard(at));
            heard.map(|(_, router)| router.info)
        };
        let told = sent_at
            .map(|at| homes(alive(at, broken.router), broken.key, TOLD_PER_ZONE))
            .unwrap_or_default();
        let told: Vec<_> = told.into_iter().filter(|_| !rng.random_bool(LOSS)).collect();
        let asked_at = broken.taken_up_at;
        let asked = routers_to_ask(alive(asked_at, broken.taken_up_by), broken.key);
        let own = self.routers[broken.taken_up_by].info.address;
        let answers = self.routers.iter().filter_map(|home| {
            let address = home.info.address;
            let began = &self.routers[broken.router];
            let (known_at, knows) = match began.info.address == address {
                true => (broken.began_at, home.remembers(broken.began_at, asked_at)),
                false => {
                    let known_at = sent_at.unwrap_or(f64::MAX) + rng.random_range(0.001..0.004);
                    let is_told = told.contains(&address)
                        && home.reaches_others(known_at)
                        && home.remembers(known_at, asked_at.max(known_at));
                    (known_at, is_told)
                }
            };
            if !knows {
                return None;
            }
            if address == own {
                return Some(known_at - asked_at);
            }
            let reaches = asked.contains(&address)
                && home.reaches_others(asked_at)
                && self.routers[broken.taken_up_by].reaches_others(asked_at);
            // Asked again after 30 and 70 ms, against loss and records that are still on their way.
            let rounds = [0.0, 0.03, 0.07].into_iter();
            let mut rounds = rounds.filter(|after| asked_at + after + 0.002 >= known_at);
            let round = rounds.find(|_| !rng.random_bool(2.0 * LOSS)).filter(|_| reaches)?;
            Some(round + rng.random_range(0.002..0.008))
        });
        answers.min_by(f64::total_cmp)
    }
}

/// Draws periods of `length` seconds, one in each `interval` seconds in the mean.
fn periods(rng: &mut impl Rng, interval: f64, length: f64) -> Periods {
    let mut periods = Vec::new();
    let mut at = 0.0;
    loop {
        at += -rng.random::<f64>().ln() * interval;
        if at >= DURATION.as_secs_f64() {
            return periods;
        }
        periods.push((at, at + length));
        at += length;
    }
}
