//! Distributed rate limits: token budgets and limits of requests in flight of teams.
//!
//! The first agent in a team's rendezvous order owns the team's budget. Entries request small,
//! short-lived grants from it and admit requests against them without further communication. The
//! second agent in that order, the fallback, grants a small share of the budget to entries that
//! cannot reach the owner. See `docs/design/limits.md`.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{EntryIncarnation, Grant, GrantRequest, GrantRole, Timestamp};

/// Length of the sliding window that a budget applies to.
pub const WINDOW: Duration = Duration::from_secs(60);

/// Lifetime of a grant, counted from when the entry requested it.
pub const GRANT_TTL: Duration = Duration::from_secs(2);

/// The largest grant is the budget divided by this, unless the entry needs more at once.
const MAX_GRANT_DIVISOR: u64 = 200;

/// The fallback's budget is the team's budget divided by this.
const FALLBACK_DIVISOR: u64 = 40;

/// The budget that is available after a restart is the whole one divided by this.
const RESTART_DIVISOR: u64 = 50;

/// Headroom of an entry beyond its current requests in flight: the team's limit divided by this.
const IN_FLIGHT_HEADROOM_DIVISOR: u32 = 40;

const SLOT_LENGTH: Duration = Duration::from_secs(1);

/// Slots of a window, plus one for the oldest slot, which is only partly inside the window.
const SLOTS: usize = 61;

/// Limits of a team over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// Tokens per [`WINDOW`].
    pub tokens: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

impl TeamLimits {
    /// Returns the limits that an agent in the given role may grant.
    ///
    /// ```
    /// use dogwoodway_routing::budget::TeamLimits;
    /// use dogwoodway_types::GrantRole;
    ///
    /// let limits = TeamLimits { tokens: 60_000, in_flight: 400 };
    /// assert_eq!(limits.for_role(GrantRole::Owner), limits);
    /// assert_eq!(limits.for_role(GrantRole::Fallback).tokens, 1_500);
    /// ```
    pub fn for_role(self, role: GrantRole) -> TeamLimits {
        match role {
            GrantRole::Owner => self,
            GrantRole::Fallback => {
                TeamLimits { tokens: self.tokens / FALLBACK_DIVISOR, in_flight: self.in_flight }
            }
        }
    }
}

/// Sum of the tokens granted in the sliding window, kept in slots of one second.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    slots: [u64; SLOTS],
    newest: u64,
    used: u64,
}

impl SlidingWindow {
    /// Creates a window in which nearly all of `budget` has been used at an even rate.
    ///
    /// That is the safe assumption after a restart, when earlier grants are unknown.
    pub fn new(now: Timestamp, budget: u64) -> SlidingWindow {
        let slot = even_slot_share(budget);
        let slots = [slot; SLOTS];
        SlidingWindow { slots, newest: slot_of(now), used: slot * SLOTS as u64 }
    }

    /// Returns the tokens used in the window that ends at `now`.
    pub fn used(&mut self, now: Timestamp) -> u64 {
        let slot = slot_of(now);
        if slot > self.newest + SLOTS as u64 {
            self.slots = [0; SLOTS];
            (self.newest, self.used) = (slot, 0);
        }
        while self.newest < slot {
            self.newest += 1;
            let oldest = &mut self.slots[(self.newest % SLOTS as u64) as usize];
            self.used -= std::mem::take(oldest);
        }
        self.used
    }

    /// Caps the use in each slot at an even share of `budget`, after the budget was lowered.
    ///
    /// Otherwise use under the old budget would block the team until it leaves the window.
    pub fn cap(&mut self, budget: u64) {
        let max_use = even_slot_share(budget);
        for slot in &mut self.slots {
            *slot = max_use.min(*slot);
        }
        self.used = self.slots.iter().sum();
    }

    /// Adds used tokens at `now`.
    pub fn add(&mut self, now: Timestamp, tokens: u64) {
        self.used(now);
        self.slots[(self.newest % SLOTS as u64) as usize] += tokens;
        self.used += tokens;
    }

    /// Subtracts unused tokens, from the oldest slots first.
    ///
    /// The slots that the tokens were added to are not known. The oldest ones leave the window
    /// first, so subtracting from them never makes the count smaller than the real use.
    pub fn refund(&mut self, now: Timestamp, mut tokens: u64) {
        self.used(now);
        for age in 1..=SLOTS as u64 {
            let slot = &mut self.slots[((self.newest + age) % SLOTS as u64) as usize];
            let taken = tokens.min(*slot);
            *slot -= taken;
            self.used -= taken;
            tokens -= taken;
        }
    }
}

/// Budget of one team, at the agent that grants from it.
#[derive(Clone, Debug)]
pub struct TeamBudget {
    limits: TeamLimits,
    window: SlidingWindow,
    /// Granted requests in flight of each entry, and when that grant expires.
    in_flight: HashMap<EntryIncarnation, (u32, Timestamp)>,
}

impl TeamBudget {
    /// Creates the budget of a team whose earlier use is unknown.
    ///
    /// ```
    /// use dogwoodway_routing::budget::{TeamBudget, TeamLimits};
    /// use dogwoodway_types::{EntryIncarnation, GrantRequest, Timestamp};
    ///
    /// let limits = TeamLimits { tokens: 60_000, in_flight: 10 };
    /// let mut budget = TeamBudget::new(Timestamp(0), limits);
    /// let entry = EntryIncarnation(1);
    /// let req = GrantRequest { entry, need: 100, returned: 0, overdrawn: 0, in_flight: 1 };
    /// let now = Timestamp::from_millis(2_500);
    /// assert!(budget.grant(now, limits, req).tokens >= 100);
    /// ```
    pub fn new(now: Timestamp, limits: TeamLimits) -> TeamBudget {
        let window = SlidingWindow::new(now, limits.tokens);
        TeamBudget { limits, window, in_flight: HashMap::new() }
    }

    /// Grants tokens and requests in flight to an entry.
    ///
    /// The grant holds no tokens if the need cannot be met in full. Otherwise it is limited to a
    /// small share of the budget, or to the need if that is larger.
    pub fn grant(&mut self, now: Timestamp, limits: TeamLimits, req: GrantRequest) -> Grant {
        let budget = limits.tokens;
        if budget < std::mem::replace(&mut self.limits, limits).tokens {
            self.window.cap(budget);
        }
        self.window.refund(now, req.returned);
        self.window.add(now, req.overdrawn);
        let remaining = budget.saturating_sub(self.window.used(now));
        let max_grant = (limits.tokens / MAX_GRANT_DIVISOR).max(req.need);
        let tokens = match remaining < req.need {
            true => 0,
            false => remaining.min(max_grant),
        };
        self.window.add(now, tokens);
        let in_flight = self.grant_in_flight(now, limits, req);
        let missing = req.need.saturating_sub(remaining);
        let wait =
            WINDOW.mul_f64((missing as f64 / budget.max(1) as f64).min(1.0)).max(SLOT_LENGTH);
        Grant { tokens, in_flight, retry_at: now + wait }
    }

    fn grant_in_flight(&mut self, now: Timestamp, limits: TeamLimits, req: GrantRequest) -> u32 {
        self.in_flight.retain(|_, (_, expires_at)| *expires_at > now);
        let others = self.in_flight.iter().filter(|(entry, _)| **entry != req.entry);
        let others: u32 = others.map(|(_, (in_flight_limit, _))| *in_flight_limit).sum();
        let desired = req.in_flight + limits.in_flight / IN_FLIGHT_HEADROOM_DIVISOR;
        let in_flight_limit = desired.min(limits.in_flight.saturating_sub(others));
        // The grant stays counted longer than the entry may use it, as its requests may still run.
        self.in_flight.insert(
            req.entry,
            (in_flight_limit.max(req.in_flight.saturating_sub(1)), now + GRANT_TTL * 2),
        );
        in_flight_limit
    }
}

/// What an entry has left of its grants from a team's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantBalance {
    tokens: u64,
    /// Tokens used beyond the grants, to be reported with the next grant request.
    overdrawn: u64,
    in_flight_limit: u32,
    in_flight: u32,
    /// When the latest grant expires.
    expires_at: Timestamp,
    /// Tokens of expired grants, to be returned with the next grant request.
    returned: u64,
}

impl GrantBalance {
    /// Reserves `tokens` tokens and one request in flight.
    ///
    /// If the balance is not sufficient, returns the grant request to send to the granting agent.
    /// The request carries the unused and overdrawn tokens that are to be settled there; if it gets
    /// no reply, hand it back with [`GrantBalance::restore_request`].
    ///
    /// ```
    /// use dogwoodway_routing::budget::GrantBalance;
    /// use dogwoodway_types::{EntryIncarnation, Grant, Timestamp};
    ///
    /// let mut balance = GrantBalance::default();
    /// let (now, entry) = (Timestamp(5), EntryIncarnation(1));
    /// let req = balance.reserve(now, entry, 100).unwrap_err();
    /// let grant = Grant { tokens: 150, in_flight: 2, retry_at: now };
    /// assert_eq!(req.need, 100);
    /// balance.add_grant(now, grant);
    /// assert_eq!(balance.reserve(now, entry, 100), Ok(()));
    /// ```
    pub fn reserve(
        &mut self,
        now: Timestamp,
        entry: EntryIncarnation,
        tokens: u64,
    ) -> Result<(), GrantRequest> {
        if now >= self.expires_at {
            self.returned += std::mem::take(&mut self.tokens);
            self.in_flight_limit = 0;
        }
        if self.tokens >= tokens && self.in_flight_limit > self.in_flight && self.overdrawn == 0 {
            self.tokens -= tokens;
            self.in_flight += 1;
            return Ok(());
        }
        Err(GrantRequest {
            entry,
            need: tokens.saturating_sub(self.tokens),
            returned: std::mem::take(&mut self.returned),
            overdrawn: std::mem::take(&mut self.overdrawn),
            in_flight: self.in_flight + 1,
        })
    }

    /// Adds a grant that was requested at `requested_at`.
    pub fn add_grant(&mut self, requested_at: Timestamp, grant: Grant) {
        self.tokens += grant.tokens;
        self.in_flight_limit = grant.in_flight;
        self.expires_at = requested_at + GRANT_TTL;
    }

    /// Restores the unused and overdrawn tokens of a grant request that got no reply.
    pub fn restore_request(&mut self, req: GrantRequest) {
        self.returned += req.returned;
        self.overdrawn += req.overdrawn;
    }

    /// Ends a request that reserved `reserved` tokens at `reserved_at` and used `used` tokens.
    ///
    /// Tokens used beyond the reservation are taken from the balance, and beyond that overdrawn.
    pub fn settle(&mut self, now: Timestamp, reserved_at: Timestamp, reserved: u64, used: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if used <= reserved {
            // A reservation from an earlier window is no longer counted by the owner, so its unused
            // tokens must not be used again. Half a window leaves a margin, since the grant may be
            // older than the reservation.
            if now < reserved_at + WINDOW / 2 {
                self.tokens += reserved - used;
            }
            return;
        }
        let excess = used - reserved;
        let paid = excess.min(self.tokens);
        self.tokens -= paid;
        self.overdrawn += excess - paid;
    }
}

/// Returns nearly all of a budget, divided evenly over the slots.
fn even_slot_share(budget: u64) -> u64 {
    (budget - budget / RESTART_DIVISOR) / SLOTS as u64
}

/// Returns the number of the slot that a time falls into.
fn slot_of(now: Timestamp) -> u64 {
    now.as_millis() / SLOT_LENGTH.as_millis() as u64
}
