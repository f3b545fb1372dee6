//! Token budgets and requests in flight of teams, held over several entries.
//!
//! For each team one agent, the first in rendezvous order, is the owner of the budget. Entries ask
//! it for small grants that lapse soon. The second agent in that order gives a trickle to entries
//! that cannot reach the owner. See `docs/design/limits.md`.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{EntryIncarnation, Grant, GrantRequest, GrantRole, Timestamp};

/// Length of the sliding window that a budget is for.
pub const WINDOW: Duration = Duration::from_secs(60);

/// Time after which an entry may no longer use a grant, from when it asked for it.
pub const GRANT_TTL: Duration = Duration::from_secs(2);

/// Largest grant, as a divisor of the budget.
const BUDGET_PER_GRANT: u64 = 200;

/// Budget of the second agent, as a divisor of the whole one.
const BUDGET_PER_TRICKLE: u64 = 40;

/// Budget that is free after a restart, as a divisor of the whole one.
const BUDGET_PER_START: u64 = 50;

/// Places for requests in flight that an entry gets beyond those it uses, as a divisor of all.
const PLACES_PER_HEADROOM: u32 = 40;

const SLOT: Duration = Duration::from_secs(1);

/// Slots of a window, with one more for the slot that is only partly in it.
const SLOTS: usize = 61;

/// Limits of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// Tokens in a window.
    pub tokens: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

impl TeamLimits {
    /// Returns the part of the limits that an agent grants in a role.
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
                TeamLimits { tokens: self.tokens / BUDGET_PER_TRICKLE, in_flight: self.in_flight }
            }
        }
    }
}

/// Tokens granted in a sliding window.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    slots: [u64; SLOTS],
    newest: u64,
    used: u64,
}

impl SlidingWindow {
    /// Builds a window in which nearly all of `budget` was used up evenly, the safe guess after a
    /// restart.
    pub fn new(now: Timestamp, budget: u64) -> SlidingWindow {
        let slot = even_share(budget);
        let slots = [slot; SLOTS];
        SlidingWindow { slots, newest: slot_of(now), used: slot * SLOTS as u64 }
    }

    /// Returns the tokens used in the window that ends now.
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

    /// Takes for used at most an even share of `budget` in each slot, after a budget was lowered.
    pub fn clamp(&mut self, budget: u64) {
        let most = even_share(budget);
        for slot in &mut self.slots {
            *slot = most.min(*slot);
        }
        self.used = self.slots.iter().sum();
    }

    /// Adds tokens to the slot of now.
    pub fn add(&mut self, now: Timestamp, tokens: u64) {
        self.used(now);
        self.slots[(self.newest % SLOTS as u64) as usize] += tokens;
        self.used += tokens;
    }

    /// Takes tokens back, from the oldest slots first, so that what is counted is never less than
    /// what is in use.
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

/// The budget of one team at the agent that grants it.
#[derive(Clone, Debug)]
pub struct TeamBudget {
    limits: TeamLimits,
    window: SlidingWindow,
    in_flight: HashMap<EntryIncarnation, (u32, Timestamp)>,
}

impl TeamBudget {
    /// Builds the budget of a team about which nothing is known.
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

    /// Grants what is left, at most a small share of the budget or the need.
    pub fn grant(&mut self, now: Timestamp, limits: TeamLimits, req: GrantRequest) -> Grant {
        let budget = limits.tokens;
        if budget < std::mem::replace(&mut self.limits, limits).tokens {
            self.window.clamp(budget);
        }
        self.window.refund(now, req.returned);
        self.window.add(now, req.overdrawn);
        let left = budget.saturating_sub(self.window.used(now));
        let most = (limits.tokens / BUDGET_PER_GRANT).max(req.need);
        let tokens = match left < req.need {
            true => 0,
            false => left.min(most),
        };
        self.window.add(now, tokens);
        let in_flight = self.grant_places(now, limits, req);
        let missing = req.need.saturating_sub(left);
        let wait = WINDOW.mul_f64((missing as f64 / budget.max(1) as f64).min(1.0)).max(SLOT);
        Grant { tokens, in_flight, retry_at: now + wait }
    }

    fn grant_places(&mut self, now: Timestamp, limits: TeamLimits, req: GrantRequest) -> u32 {
        self.in_flight.retain(|_, (_, lapses_at)| *lapses_at > now);
        let others = self.in_flight.iter().filter(|(entry, _)| **entry != req.entry);
        let others: u32 = others.map(|(_, (places, _))| *places).sum();
        let wanted = req.in_flight + limits.in_flight / PLACES_PER_HEADROOM;
        let places = wanted.min(limits.in_flight.saturating_sub(others));
        // An entry's places stay counted while its requests may still run.
        self.in_flight
            .insert(req.entry, (places.max(req.in_flight.saturating_sub(1)), now + GRANT_TTL * 2));
        places
    }
}

/// What an entry holds of a team's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantBalance {
    tokens: u64,
    overdrawn: u64,
    places: u32,
    in_flight: u32,
    lapses_at: Timestamp,
    returned: u64,
}

impl GrantBalance {
    /// Takes `tokens` and a place for a request; returns what to ask for if that is not there.
    ///
    /// ```
    /// use dogwoodway_routing::budget::GrantBalance;
    /// use dogwoodway_types::{EntryIncarnation, Grant, Timestamp};
    ///
    /// let mut wallet = GrantBalance::default();
    /// let (now, entry) = (Timestamp(5), EntryIncarnation(1));
    /// let ask = wallet.reserve(now, entry, 100).unwrap_err();
    /// let grant = Grant { tokens: 150, in_flight: 2, retry_at: now };
    /// assert_eq!(ask.need, 100);
    /// wallet.add_grant(now, grant);
    /// assert_eq!(wallet.reserve(now, entry, 100), Ok(()));
    /// ```
    pub fn reserve(
        &mut self,
        now: Timestamp,
        entry: EntryIncarnation,
        tokens: u64,
    ) -> Result<(), GrantRequest> {
        if now >= self.lapses_at {
            self.returned += std::mem::take(&mut self.tokens);
            self.places = 0;
        }
        if self.tokens >= tokens && self.places > self.in_flight && self.overdrawn == 0 {
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

    /// Adds a grant that was asked for at `asked_at`.
    pub fn add_grant(&mut self, asked_at: Timestamp, grant: Grant) {
        self.tokens += grant.tokens;
        self.places = grant.in_flight;
        self.lapses_at = asked_at + GRANT_TTL;
    }

    /// Takes back a request that got no answer.
    pub fn restore_request(&mut self, req: GrantRequest) {
        self.returned += req.returned;
        self.overdrawn += req.overdrawn;
    }

    /// Ends a request that took `taken` tokens at `taken_at` and used `used`.
    pub fn settle(&mut self, now: Timestamp, taken_at: Timestamp, taken: u64, used: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if used <= taken {
            // Tokens granted in an earlier window are no longer counted by the owner.
            if now < taken_at + WINDOW / 2 {
                self.tokens += taken - used;
            }
            return;
        }
        let more = used - taken;
        let paid = more.min(self.tokens);
        self.tokens -= paid;
        self.overdrawn += more - paid;
    }
}

/// The part of a budget that is taken for used in each slot when nothing better is known.
fn even_share(budget: u64) -> u64 {
    (budget - budget / BUDGET_PER_START) / SLOTS as u64
}

fn slot_of(now: Timestamp) -> u64 {
    now.as_millis() / SLOT.as_millis() as u64
}
