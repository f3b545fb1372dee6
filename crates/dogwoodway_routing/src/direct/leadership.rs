//! Leader election among routers, by conditional appends to a shared log.
//!
//! Only the leader orders engines to load weights. A router becomes the leader by appending a claim
//! and remains leader until its term ends by its own clock; further records renew the term. An
//! append succeeds only if the log ends where the router has read to, so two concurrent claims
//! cannot both succeed. The log has no clock: the leader counts its term from before it sent the
//! record, the others from when they read the record, which is later.
//!
//! Engines may not check fencing tokens. Therefore a successor waits until the term of its
//! predecessor has ended and the predecessor's last order is older than the lease, which is the
//! shortest time between orders of different routers to one engine. If the predecessor is the same
//! router, before a restart or in an earlier era, the successor waits only until the orders of that
//! term have arrived.
//!
//! A release states for how long no order of the router has arrived. It counts from the end of the
//! last order, and at the earliest from the start of the process plus the transit time of an order,
//! because an earlier process of the same name may have sent orders until then.
//!
//! A store that is restored from a copy starts a new era. It has lost the newest records, among them
//! perhaps the claim of a leader whose term has not ended. Therefore a router makes no claim within
//! the longest term plus the lease after it has first read an era, unless it was the leader itself.
//! This includes routers that have just started, since the age of an era is not known. Fencing
//! tokens are positions, which are higher in later eras.

use std::time::Duration;

use dogwoodway_types::{LogPosition, RouterName, StoreEra, Timestamp};
use serde::{Deserialize, Serialize};

/// Duration of a term, counted from before the claim or renewal was sent, in milliseconds.
pub const TERM_MS: u64 = 1_500;

/// Time between renewals, in milliseconds. Two renewals fall due within a term, so it ends only
/// after both have been lost.
pub const RENEW_INTERVAL_MS: u64 = 700;

/// Longest time from sending an order to its arrival, in milliseconds. An order that has not been
/// answered by then is given up, including the time for opening its connection. The leader sends no
/// orders in this time before the end of its term.
pub const ORDER_TRANSIT_MS: u64 = 650;

/// Allowance for clocks that run at different speeds, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 200;

/// A record in the log of routers that claims, renews or ends a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderRecord {
    /// Starts a term. The position of the record is the fencing token of the term's orders.
    Claim {
        /// The router that becomes the leader.
        router: RouterName,
    },
    /// Extends the term.
    Renew {
        /// The router that is the leader.
        router: RouterName,
    },
    /// Ends the term early.
    Release {
        /// The router that was the leader.
        router: RouterName,
        /// Milliseconds for which no order of the router has arrived.
        quiet_ms: u64,
    },
}

impl LeaderRecord {
    /// Returns for how long no order of the router of a release has arrived, in milliseconds; `None`
    /// for other records.
    ///
    /// ```
    /// use dogwoodway_routing::direct::leadership::LeaderRecord;
    /// use dogwoodway_types::RouterName;
    ///
    /// let router = RouterName::try_from("router-1").unwrap();
    /// assert_eq!(LeaderRecord::Release { router, quiet_ms: 400 }.quiet_ms(), Some(400));
    /// ```
    pub fn quiet_ms(&self) -> Option<u64> {
        match self {
            LeaderRecord::Release { quiet_ms, .. } => Some(*quiet_ms),
            LeaderRecord::Claim { .. } | LeaderRecord::Renew { .. } => None,
        }
    }
}

/// What a router should do now to become or stay the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipAction {
    /// Nothing for now.
    Wait,
    /// Append a record, on the condition that the log still ends at a position.
    Append {
        /// Record to append.
        record: LeaderRecord,
        /// Position at which the log must end.
        at: LogPosition,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    fencing_token: LogPosition,
    ends_at: Timestamp,
    renew_at: Timestamp,
}

/// What one router knows about the leadership.
///
/// ```
/// use dogwoodway_routing::direct::leadership::{Leadership, LeadershipAction};
/// use dogwoodway_types::{LogPosition, RouterName, Timestamp};
///
/// let router = RouterName::try_from("router-1").unwrap();
/// let now = Timestamp::from_millis(1);
/// let mut leadership = Leadership::new(now, router, 3_000);
/// leadership.record_log_end(now, LogPosition::default(), true);
/// let LeadershipAction::Append { record, at } = leadership.next_action(now) else { panic!("no claim") };
/// leadership.record_append(now, at, &record);
/// assert_eq!(leadership.fencing_token(now), Some(LogPosition::default()));
/// ```
#[derive(Clone, Debug)]
pub struct Leadership {
    router: RouterName,
    lease_ms: u64,
    log_end: Option<LogPosition>,
    /// Era of the store whose log is being read.
    era: Option<StoreEra>,
    /// Whether the router may claim the leadership.
    is_candidate: bool,
    /// Router that the last record read is from.
    holder: Option<RouterName>,
    /// Time from which no other router can be the leader or have sent an order within the lease.
    claimable_at: Timestamp,
    /// Time from which no router holds a term whose claim was lost, or has sent an order under it
    /// within the lease.
    lost_claims_expire_at: Timestamp,
    term: Option<Term>,
    /// Orders that have neither been answered nor given up.
    orders_in_flight: usize,
    /// Time after which no order of this router arrives, except those in flight. Orders of an earlier
    /// process count.
    quiet_since: Timestamp,
}

impl Leadership {
    /// Creates the state of a router whose process starts at `now` and has read nothing of the log.
    /// Orders of different routers to one engine must be at least `lease_ms` apart.
    pub fn new(now: Timestamp, router: RouterName, lease_ms: u64) -> Leadership {
        Leadership {
            router,
            lease_ms,
            log_end: None,
            era: None,
            is_candidate: true,
            holder: None,
            claimable_at: Timestamp::MAX,
            lost_claims_expire_at: Timestamp::default(),
            term: None,
            orders_in_flight: 0,
            quiet_since: now + Duration::from_millis(ORDER_TRANSIT_MS),
        }
    }

    /// Starts a new era of the store, whose log must be read from its start. Ends the router's own
    /// term, because its claim may be lost. Has no effect for the current era and earlier ones.
    ///
    /// ```
    /// use dogwoodway_routing::direct::leadership::{Leadership, LeadershipAction};
    /// use dogwoodway_types::{LogOffset, LogPosition, RouterName, StoreEra, Timestamp};
    ///
    /// let now = Timestamp::from_millis(1);
    /// let router = RouterName::try_from("router-1").unwrap();
    /// let mut leadership = Leadership::new(now, router, 3_000);
    /// leadership.begin_era(now, Some(StoreEra(2)));
    /// let end = LogPosition { era: Some(StoreEra(2)), offset: LogOffset(0) };
    /// leadership.record_log_end(now, end, true);
    /// assert_eq!(leadership.next_action(now), LeadershipAction::Wait);
    /// ```
    pub fn begin_era(&mut self, now: Timestamp, era: Option<StoreEra>) {
        if era <= self.era {
            return;
        }
        // Terms exclude each other, so no other router holds one if this router does.
        if !self.is_leader(now) {
            self.lost_claims_expire_at = now + self.unread_term();
        }
        self.era = era;
        self.log_end = None;
        self.term = None;
    }

    /// Returns the longest time from a claim to the end of the lease of its term's last order.
    fn unread_term(&self) -> Duration {
        Duration::from_millis(TERM_MS + self.lease_ms + CLOCK_MARGIN_MS)
    }

    /// Applies a record read from the log. Must be called for all records, in order; again for all
    /// records after a new era has begun.
    pub fn apply_record(&mut self, now: Timestamp, position: LogPosition, record: &LeaderRecord) {
        self.begin_era(now, position.era);
        if position.era < self.era {
            return;
        }
        let lease = Duration::from_millis(self.lease_ms + CLOCK_MARGIN_MS);
        let (router, claimable_at) = match record {
            LeaderRecord::Claim { router } | LeaderRecord::Renew { router } => {
                (router, now + lease + Duration::from_millis(TERM_MS))
            }
            LeaderRecord::Release { router, quiet_ms } => {
                (router, now + lease.saturating_sub(Duration::from_millis(*quiet_ms)))
            }
        };
        let is_own = *router == self.router;
        if self.term.is_some_and(|term| !is_own && position > term.fencing_token) {
            self.term = None;
        }
        self.holder = Some(router.clone());
        self.claimable_at = if is_own { now } else { claimable_at };
    }

    /// Records where the log ends. `is_complete` means that the log still holds all records from
    /// the first one, so that nobody has led if no record says so.
    pub fn record_log_end(&mut self, now: Timestamp, end: LogPosition, is_complete: bool) {
        self.begin_era(now, end.era);
        if end.era < self.era {
            return;
        }
        self.log_end = Some(end);
        if self.holder.is_none() && self.claimable_at == Timestamp::MAX {
            self.claimable_at = if is_complete { now } else { now + self.unread_term() };
        }
    }

    /// Sets whether the router may claim the leadership. If only a few routers may, hundreds do not
    /// append claims at the same moment.
    ///
    /// ```
    /// use dogwoodway_routing::direct::leadership::{Leadership, LeadershipAction};
    /// use dogwoodway_types::{LogPosition, RouterName, Timestamp};
    ///
    /// let now = Timestamp::from_millis(1);
    /// let router = RouterName::try_from("router-1").unwrap();
    /// let mut leadership = Leadership::new(now, router, 3_000);
    /// leadership.record_log_end(now, LogPosition::default(), true);
    /// leadership.set_candidate(false);
    /// assert_eq!(leadership.next_action(now), LeadershipAction::Wait);
    /// ```
    pub fn set_candidate(&mut self, is_candidate: bool) {
        self.is_candidate = is_candidate;
    }

    /// Records that another record was appended at the known end of the log. Nothing is appended
    /// until the new end is known.
    pub fn invalidate_log_end(&mut self) {
        self.log_end = None;
    }

    /// Returns whether the end of the log is known.
    pub fn knows_log_end(&self) -> bool {
        self.log_end.is_some()
    }

    /// Returns the router that the last record read is from, `None` if none was read.
    ///
    /// ```
    /// use dogwoodway_routing::direct::leadership::{LeaderRecord, Leadership};
    /// use dogwoodway_types::{LogPosition, RouterName, Timestamp};
    ///
    /// let router = |name| RouterName::try_from(name).unwrap();
    /// let now = Timestamp::from_millis(1);
    /// let mut leadership = Leadership::new(now, router("router-1"), 3_000);
    /// let claim = LeaderRecord::Claim { router: router("router-2") };
    /// leadership.apply_record(now, LogPosition::default(), &claim);
    /// assert_eq!(leadership.last_holder(), Some(&router("router-2")));
    /// ```
    pub fn last_holder(&self) -> Option<&RouterName> {
        self.holder.as_ref()
    }

    /// Returns what the router should do now.
    pub fn next_action(&self, now: Timestamp) -> LeadershipAction {
        let Some(at) = self.log_end else { return LeadershipAction::Wait };
        let router = self.router.clone();
        match self.term.filter(|term| now < term.ends_at) {
            Some(term) if now >= term.renew_at => {
                LeadershipAction::Append { record: LeaderRecord::Renew { router }, at }
            }
            Some(_) => LeadershipAction::Wait,
            None if self.is_candidate
                && self.own_orders_have_arrived(now)
                && now >= self.claimable_at.max(self.lost_claims_expire_at) =>
            {
                LeadershipAction::Append { record: LeaderRecord::Claim { router }, at }
            }
            None => LeadershipAction::Wait,
        }
    }

    /// Returns whether no order of an earlier term of this router can still arrive. It would have a lower
    /// fencing token than those of the next term.
    fn own_orders_have_arrived(&self, now: Timestamp) -> bool {
        let has_led = self.holder.as_ref() == Some(&self.router);
        self.orders_in_flight == 0 && (!has_led || now >= self.quiet_since)
    }

    /// Records that a record of this router was appended at `position`, in the era of the position
    /// at which the log had to end. `sent_at` is a time before it was sent.
    pub fn record_append(
        &mut self,
        sent_at: Timestamp,
        position: LogPosition,
        record: &LeaderRecord,
    ) {
        self.log_end = Some(position.next());
        let ends_at = sent_at + Duration::from_millis(TERM_MS);
        let renew_at = sent_at + Duration::from_millis(RENEW_INTERVAL_MS);
        match record {
            LeaderRecord::Claim { .. } => {
                self.term = Some(Term { fencing_token: position, ends_at, renew_at });
            }
            LeaderRecord::Renew { .. } => {
                if let Some(term) = &mut self.term {
                    (term.ends_at, term.renew_at) = (ends_at, renew_at);
                }
            }
            LeaderRecord::Release { .. } => self.term = None,
        }
    }

    /// Returns the fencing token for an order, or `None` if the router must not send orders now.
    /// Must be called immediately before each order.
    pub fn fencing_token(&self, now: Timestamp) -> Option<LogPosition> {
        let term = self.term?;
        let usable_until = term.ends_at.earlier_by(Duration::from_millis(ORDER_TRANSIT_MS));
        (now < usable_until).then_some(term.fencing_token)
    }

    /// Returns whether the router is the leader.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.term.is_some_and(|term| now < term.ends_at)
    }

    /// Records that an order is sent.
    ///
    /// ```
    /// use dogwoodway_routing::direct::leadership::Leadership;
    /// use dogwoodway_types::{LogPosition, RouterName, Timestamp};
    ///
    /// let now = Timestamp::from_millis(1);
    /// let mut leadership = Leadership::new(now, RouterName::try_from("router-1").unwrap(), 3_000);
    /// leadership.record_order();
    /// assert_eq!(leadership.release(now), None);
    /// leadership.record_order_end(now);
    /// ```
    pub fn record_order(&mut self) {
        self.orders_in_flight += 1;
    }

    /// Records that an order was answered or given up. Each call of [`Leadership::record_order`] is
    /// followed by one of this.
    pub fn record_order_end(&mut self, now: Timestamp) {
        self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        self.quiet_since = self.quiet_since.max(now);
    }

    /// Ends the router's term if it is the leader, and returns the record to append; `None` if
    /// there is nothing to append. While orders may still arrive, the term is left to expire.
    pub fn release(&mut self, now: Timestamp) -> Option<LeadershipAction> {
        self.term.take().filter(|term| now < term.ends_at)?;
        self.claimable_at = Timestamp::MAX;
        if self.orders_in_flight > 0 || now < self.quiet_since {
            return None;
        }
        let quiet_ms = (now - self.quiet_since).as_millis() as u64;
        let record = LeaderRecord::Release { router: self.router.clone(), quiet_ms };
        Some(LeadershipAction::Append { record, at: self.log_end? })
    }
}
