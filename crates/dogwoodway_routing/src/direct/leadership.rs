//! Which router orders the engines, agreed on by a log that appends under a condition.
//!
//! A router leads from a claim on the log until its tenure ends by its own clock. It renews the
//! tenure by further records; each append succeeds only if the log ends where the router has read
//! up to, so that two claims cannot both stand. The log has no clock: a holder counts from before
//! it sent a record, the others from when they read it, which is later.
//!
//! Engines may not check fencing tokens. A successor therefore waits until the predecessor's tenure
//! has ended and its last orders are as old as a lease, unless it is the same router, restarted.

use std::time::Duration;

use dogwoodway_types::{LogOffset, RouterName, Timestamp};
use serde::{Deserialize, Serialize};

/// Time for which a record lets its router lead, counted from before it was sent, in milliseconds.
pub const TERM_MS: u64 = 1_500;

/// Time between renewals, in milliseconds: two may be lost before the tenure ends.
pub const RENEW_INTERVAL_MS: u64 = 700;

/// Part of the tenure that is left unused, in milliseconds: an order takes time to arrive.
const ORDER_MARGIN_MS: u64 = 200;

/// Allowance for clocks that run at different speeds, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 200;

/// A record about leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderRecord {
    /// Begins a tenure; the record's offset is the fencing token of its orders.
    Claim {
        /// The router.
        router: RouterName,
    },
    /// Lengthens the tenure.
    Renew {
        /// The router.
        router: RouterName,
    },
    /// Ends the tenure.
    Release {
        /// The router.
        router: RouterName,
        /// Milliseconds since its last order.
        quiet_ms: u64,
    },
}

/// What a router should append now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipAction {
    /// Nothing.
    Wait,
    /// A record, if the log still ends at the offset given.
    Append {
        /// The record.
        record: LeaderRecord,
        /// Where the log must end.
        at: LogOffset,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    fencing_token: LogOffset,
    ends_at: Timestamp,
    renew_at: Timestamp,
}

/// What one router knows of the leadership.
///
/// ```
/// use dogwoodway_routing::direct::leadership::{Leadership, LeadershipAction};
/// use dogwoodway_types::{LogOffset, RouterName, Timestamp};
///
/// let router = RouterName::try_from("router-1").unwrap();
/// let mut leadership = Leadership::new(router, 3_000);
/// let now = Timestamp::from_millis(1);
/// leadership.record_log_end(now, LogOffset(0), true);
/// let LeadershipAction::Append { record, at } = leadership.next_action(now) else { panic!("no claim") };
/// leadership.record_append(now, at, &record);
/// assert_eq!(leadership.fencing_token(now), Some(LogOffset(0)));
/// ```
#[derive(Clone, Debug)]
pub struct Leadership {
    router: RouterName,
    lease_ms: u64,
    log_end: Option<LogOffset>,
    holder: Option<RouterName>,
    /// When nobody else can lead or have ordered lately.
    claimable_at: Timestamp,
    term: Option<Term>,
    last_order_at: Timestamp,
}

impl Leadership {
    /// Builds the state of a router that has read nothing; orders of different routers to one
    /// engine must be `lease_ms` apart.
    pub fn new(router: RouterName, lease_ms: u64) -> Leadership {
        Leadership {
            router,
            lease_ms,
            log_end: None,
            holder: None,
            claimable_at: Timestamp::MAX,
            term: None,
            last_order_at: Timestamp::default(),
        }
    }

    /// Takes in a record read from the log; to be called for all of them, in order.
    pub fn apply_record(&mut self, now: Timestamp, offset: LogOffset, record: &LeaderRecord) {
        let lease = Duration::from_millis(self.lease_ms + CLOCK_MARGIN_MS);
        let (router, free_at) = match record {
            LeaderRecord::Claim { router } | LeaderRecord::Renew { router } => {
                (router, now + lease + Duration::from_millis(TERM_MS))
            }
            LeaderRecord::Release { router, quiet_ms } => {
                (router, now + lease.saturating_sub(Duration::from_millis(*quiet_ms)))
            }
        };
        let is_own = *router == self.router;
        if self.term.is_some_and(|tenure| !is_own && offset > tenure.fencing_token) {
            self.term = None;
        }
        self.holder = Some(router.clone());
        self.claimable_at = if is_own { now } else { free_at };
    }

    /// Notes where the log ends; `is_whole` tells that it still holds all records from the first.
    pub fn record_log_end(&mut self, now: Timestamp, end: LogOffset, is_whole: bool) {
        self.log_end = Some(end);
        if self.holder.is_none() && self.claimable_at == Timestamp::MAX {
            let unseen = Duration::from_millis(TERM_MS + self.lease_ms + CLOCK_MARGIN_MS);
            self.claimable_at = if is_whole { now } else { now + unseen };
        }
    }

    /// Notes that the log has gone on from where it was read up to.
    pub fn invalidate_log_end(&mut self) {
        self.log_end = None;
    }

    /// Tells whether it is known where the log ends.
    pub fn knows_log_end(&self) -> bool {
        self.log_end.is_some()
    }

    /// Tells what to append now.
    pub fn next_action(&self, now: Timestamp) -> LeadershipAction {
        let Some(at) = self.log_end else { return LeadershipAction::Wait };
        let router = self.router.clone();
        match self.term.filter(|tenure| now < tenure.ends_at) {
            Some(tenure) if now >= tenure.renew_at => {
                LeadershipAction::Append { record: LeaderRecord::Renew { router }, at }
            }
            Some(_) => LeadershipAction::Wait,
            None if now >= self.claimable_at => {
                LeadershipAction::Append { record: LeaderRecord::Claim { router }, at }
            }
            None => LeadershipAction::Wait,
        }
    }

    /// Notes that an own record stands at `offset`; `sent_at` is the time before it was sent.
    pub fn record_append(&mut self, sent_at: Timestamp, offset: LogOffset, record: &LeaderRecord) {
        self.log_end = Some(LogOffset(offset.0 + 1));
        let ends_at = sent_at + Duration::from_millis(TERM_MS);
        let renew_at = sent_at + Duration::from_millis(RENEW_INTERVAL_MS);
        match record {
            LeaderRecord::Claim { .. } => {
                self.term = Some(Term { fencing_token: offset, ends_at, renew_at });
            }
            LeaderRecord::Renew { .. } => {
                if let Some(tenure) = &mut self.term {
                    (tenure.ends_at, tenure.renew_at) = (ends_at, renew_at);
                }
            }
            LeaderRecord::Release { .. } => self.term = None,
        }
    }

    /// Returns the fencing token to order with; `None` if the router must not order now. To be
    /// asked immediately before each order.
    pub fn fencing_token(&self, now: Timestamp) -> Option<LogOffset> {
        let tenure = self.term?;
        let usable_until = tenure.ends_at.earlier_by(Duration::from_millis(ORDER_MARGIN_MS));
        (now < usable_until).then_some(tenure.fencing_token)
    }

    /// Tells whether the router leads.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.term.is_some_and(|tenure| now < tenure.ends_at)
    }

    /// Notes that an order is sent.
    pub fn record_order(&mut self, now: Timestamp) {
        self.last_order_at = now;
    }

    /// Ends the router's tenure, if it leads: returns the record to append.
    pub fn release(&mut self, now: Timestamp) -> Option<LeadershipAction> {
        self.term.take().filter(|tenure| now < tenure.ends_at)?;
        let quiet_ms = (now - self.last_order_at).as_millis() as u64;
        let record = LeaderRecord::Release { router: self.router.clone(), quiet_ms };
        self.claimable_at = Timestamp::MAX;
        Some(LeadershipAction::Append { record, at: self.log_end? })
    }
}
