//! Limits on the requests a second that a server takes from all routers together.
//!
//! The load pattern behind this: a server in need states a limit in its answers. If each router sent
//! its share of it, hundreds of routers would send a first request each at once, and each could send
//! the next one only minutes later. So only a few routers hold the right to send to a limited
//! server: those that come first in the rendezvous order of the server, at most one more than the
//! limit is high. Each sends at an equal part of the limit and saves up nothing, so that all together
//! send at most `4 L + L + 1` requests in 4 s.
//!
//! All routers that are known to be alive take part in the choice, so that the rights move as
//! routers come and go. A router that does not know the others yet holds no right. While two parts of
//! the fleet do not reach each other, each has holders of its own.
//!
//! The limit holds from the first answer that states it, at each router that hears of it. It ends
//! with an answer that states none, if its request was sent after the last one that did was received:
//! answers on different connections may overtake each other. Then the rate doubles every
//! [`RAMP_STEP`], so that the routers do not return all at once.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{
    direct::server_notice::{RequestRate, StatedLimit},
    rendezvous::{self, ServerKey},
};

/// Rate that is kept if a server states an unreadable limit, in requests a second.
const UNREADABLE_RATE: f64 = 1.0;

/// Lowest rate at which a holder sends, in requests a second, so that it hears when the limit ends.
const MIN_RATE: f64 = 0.05;

/// Time in which the rate doubles after the end of a limit.
pub const RAMP_STEP: Duration = Duration::from_millis(500);

/// Number of doublings after which there is no limit any more.
const RAMP_STEPS: u32 = 6;

/// Lowest rate from which the ramp starts, in requests a second.
const MIN_RAMP_RATE: f64 = 1.0;

/// What a server said last about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The rate that it takes, or took until the limit ended.
    pub rate: RequestRate,
    /// Whether the limit has ended.
    pub has_ended: bool,
    /// When the answer that states the limit was received. For the end of a limit, when the request
    /// was sent whose answer stated none.
    pub at: Timestamp,
}

impl LimitStatement {
    /// Returns the statement of a limit in an answer that was received at `now`.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{
    ///     server_limit::LimitStatement,
    ///     server_notice::{RequestRate, StatedLimit},
    /// };
    /// use dogwoodway_types::Timestamp;
    ///
    /// let rate = RequestRate::try_from(1.6).unwrap();
    /// let statement = LimitStatement::new(Timestamp::from_millis(5), StatedLimit::Rate(rate));
    /// assert_eq!((statement.rate, statement.has_ended), (rate, false));
    /// ```
    pub fn new(now: Timestamp, limit: StatedLimit) -> LimitStatement {
        let rate = match limit {
            StatedLimit::Rate(rate) => rate,
            StatedLimit::Unreadable => RequestRate::try_from(UNREADABLE_RATE).unwrap_or_default(),
        };
        LimitStatement { rate, has_ended: false, at: now }
    }

    /// Returns whether this statement replaces `other`. A stricter one of the same time does.
    fn is_newer_than(&self, other: &LimitStatement) -> bool {
        let order = |statement: &LimitStatement| {
            (statement.at, !statement.has_ended, std::cmp::Reverse(statement.rate))
        };
        order(self) > order(other)
    }
}

/// Limit of one server process, and the right of this router to send to it.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::{
///     direct::{
///         server_limit::{LimitStatement, ServerLimit},
///         server_notice::{RequestRate, StatedLimit},
///     },
///     rendezvous::ServerKey,
/// };
/// use dogwoodway_types::Timestamp;
///
/// let now = Timestamp::from_millis(1_000);
/// let rate = RequestRate::try_from(2.0).unwrap();
/// let mut limit = ServerLimit::default();
/// assert_eq!(limit.next_send_at(now), Some(now));
/// let statement = LimitStatement::new(now, StatedLimit::Rate(rate));
/// limit.apply(now, statement, ServerKey(7), 1, &[1]);
/// let sent_at = now + Duration::from_millis(500);
/// assert_eq!(limit.next_send_at(now), Some(sent_at));
/// limit.record_request(sent_at);
/// assert_eq!(limit.next_send_at(sent_at), Some(sent_at + Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimit {
    /// Absent if the server has never stated a limit.
    statement: Option<LimitStatement>,
    /// Part of the limit that this router may use, from 0 to 1.
    share: f64,
    /// When the router may send its next request.
    next_send_at: Timestamp,
}

impl ServerLimit {
    /// Applies what the server said to this router or another one; returns whether that changes the
    /// limit or its end. `own` is the identifier of this router, and `routers` are those of all that
    /// are alive; it is empty if they are not known yet.
    pub fn apply(
        &mut self,
        now: Timestamp,
        statement: LimitStatement,
        server: ServerKey,
        own: u64,
        routers: &[u64],
    ) -> bool {
        let known = self.statement;
        if known.is_some_and(|known| !statement.is_newer_than(&known)) {
            return false;
        }
        if known.is_none() && statement.has_ended {
            return false;
        }
        self.statement = Some(statement);
        let has_changed = known.is_none_or(|known| {
            (known.rate, known.has_ended) != (statement.rate, statement.has_ended)
        });
        if has_changed {
            self.update_share(now, server, own, routers);
        }
        has_changed
    }

    /// Updates the right of this router after the set of routers has changed.
    pub fn update_share(&mut self, now: Timestamp, server: ServerKey, own: u64, routers: &[u64]) {
        let Some(statement) = self.statement else { return };
        let share = match statement.has_ended {
            true => 1.0 / routers.len().max(1) as f64,
            false => holder_share(server, statement.rate, own, routers),
        };
        if share == self.share {
            return;
        }
        self.share = share;
        // A new holder does not know what the one before it has just sent.
        if let Some(interval) = self.interval(now) {
            self.next_send_at = self.next_send_at.max(now + interval);
        }
    }

    /// Returns whether the server has stated a limit that has not ended.
    pub fn is_stated(&self) -> bool {
        self.statement.is_some_and(|statement| !statement.has_ended)
    }

    /// Returns the last statement.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.statement
    }

    /// Returns the earliest time from `now` on at which this router may send a request to the server;
    /// `None` if only other routers may.
    pub fn next_send_at(&self, now: Timestamp) -> Option<Timestamp> {
        match self.statement {
            None => Some(now),
            Some(_) if self.is_over(now) => Some(now),
            Some(_) if self.share == 0.0 => None,
            Some(_) => Some(self.next_send_at.max(now)),
        }
    }

    /// Records a request that is sent to the server.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(interval) = self.interval(now) {
            self.next_send_at = self.next_send_at.max(now) + interval;
        }
    }

    /// Returns whether the server takes any number of requests.
    fn is_over(&self, now: Timestamp) -> bool {
        self.statement.is_none_or(|statement| {
            statement.has_ended && now - statement.at >= RAMP_STEP * RAMP_STEPS
        })
    }

    /// Returns the time between two requests of this router, or `None` if there is no limit or no
    /// right.
    fn interval(&self, now: Timestamp) -> Option<Duration> {
        let statement = self.statement.filter(|_| !self.is_over(now) && self.share > 0.0)?;
        let stated = statement.rate.per_second();
        let rate = match statement.has_ended {
            true => {
                let steps = (now - statement.at).as_secs_f64() / RAMP_STEP.as_secs_f64();
                stated.max(MIN_RAMP_RATE) * steps.exp2()
            }
            false => stated,
        };
        Some(Duration::from_secs_f64(1.0 / (rate * self.share).max(MIN_RATE)))
    }
}

/// Returns the part of a server's limit that the router `own` may use, from 0 to 1.
///
/// ```
/// use dogwoodway_routing::direct::{server_limit::holder_share, server_notice::RequestRate};
/// use dogwoodway_routing::rendezvous::ServerKey;
///
/// let routers: Vec<u64> = (0..100).collect();
/// let rate = RequestRate::try_from(1.6).unwrap();
/// let shares = routers.iter().map(|own| holder_share(ServerKey(7), rate, *own, &routers));
/// let shares: Vec<_> = shares.filter(|share| *share > 0.0).collect();
/// assert_eq!(shares, [0.5, 0.5]);
/// ```
pub fn holder_share(server: ServerKey, rate: RequestRate, own: u64, routers: &[u64]) -> f64 {
    if routers.is_empty() {
        return 0.0;
    }
    let holders = (rate.per_second() as usize + 1).min(routers.len());
    let order = |router: u64| (rendezvous::mix(server.0 ^ rendezvous::mix(router)), router);
    let own_order = order(own);
    let before = routers.iter().filter(|router| order(**router) < own_order).count();
    match before < holders {
        true => 1.0 / holders as f64,
        false => 0.0,
    }
}
