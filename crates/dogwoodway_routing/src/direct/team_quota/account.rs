//! The account of one team at one router.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::Timestamp;

use crate::direct::team_quota::{MOVED_TTL, QuotaMessage, TeamQuota};

/// Time over which the demand of a team is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a router keeps tokens for its own callers when others are short of them.
const RESERVE_TIME: Duration = Duration::from_millis(400);

/// Demand that must be missing before a router asks for tokens, if no request waits for them.
const SHORT_TIME: Duration = Duration::from_millis(100);

/// Demand ahead that a router asks for.
const NEED_TIME: Duration = Duration::from_millis(300);

/// Part of the interval between two messages, as its reciprocal, after which a broker grants again.
const ROUNDS_PER_INTERVAL: u32 = 4;

/// Time after an empty grant during which the team counts as over its quota everywhere, so that its requests
/// do not wait for tokens.
const EXHAUSTED_TIME: Duration = Duration::from_millis(500);

/// Time for which a router gives tokens after it was asked to.
const COLLECTION_TIME: Duration = Duration::from_millis(400);

/// Time for which a broker remembers what a router is short of.
const NEED_TTL: Duration = Duration::from_millis(600);

/// Time for which an account has earned when it is created. Its router counted among those that earn before
/// it started again, or the quota is new.
const START_CREDIT: Duration = Duration::from_secs(1);

/// Longest time after which a refused request is told to come back. What other callers then send is not
/// known.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Tokens of a team that one router holds, and what it knows of the others' needs.
#[derive(Debug)]
pub(super) struct Account {
    quota: Option<TeamQuota>,
    /// Tokens that this router has earned; negative if it owes some.
    earned: f64,
    accrued_at: Timestamp,
    /// Tokens from other routers, for the team's requests here.
    granted: Moved,
    /// Tokens from other routers, to be granted as the broker.
    collected: Moved,
    /// Tokens that were asked for, as a mean a second.
    demand_per_s: f64,
    demand_at: Timestamp,
    /// Tokens of the requests that wait for some.
    waiting: f64,
    /// When the tokens of all requests that were refused will have been earned.
    booked_until: Timestamp,
    next_need_at: Timestamp,
    exhausted_until: Timestamp,
    gives_until: Timestamp,
    next_gift_at: Timestamp,
    /// What routers have asked this broker for, and until when that holds.
    needs: HashMap<u64, Need>,
    next_round_at: Timestamp,
    next_collection_at: Timestamp,
    /// When this broker began to collect for the needs that are not met yet.
    collects_since: Option<Timestamp>,
}

/// What a router has asked a broker for.
#[derive(Clone, Copy, Debug)]
struct Need {
    tokens: f64,
    asked_at: Timestamp,
    until: Timestamp,
}

/// Tokens that were moved here, and when they lapse.
#[derive(Clone, Copy, Debug, Default)]
struct Moved {
    tokens: f64,
    lapse_at: Timestamp,
}

impl Moved {
    fn add(&mut self, now: Timestamp, tokens: f64) {
        self.lapse(now);
        self.tokens += tokens;
        self.lapse_at = now + MOVED_TTL;
    }

    fn lapse(&mut self, now: Timestamp) {
        if now >= self.lapse_at {
            self.tokens = 0.0;
        }
    }

    /// Takes up to `wanted` tokens.
    fn take(&mut self, now: Timestamp, wanted: f64) -> f64 {
        self.lapse(now);
        let taken = wanted.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }
}

impl Account {
    pub(super) fn new(now: Timestamp) -> Account {
        Account {
            quota: None,
            earned: 0.0,
            accrued_at: now.earlier_by(START_CREDIT),
            granted: Moved::default(),
            collected: Moved::default(),
            demand_per_s: 0.0,
            demand_at: now,
            waiting: 0.0,
            booked_until: now,
            next_need_at: now,
            exhausted_until: Timestamp::default(),
            gives_until: Timestamp::default(),
            next_gift_at: now,
            needs: HashMap::new(),
            next_round_at: now,
            next_collection_at: now,
            collects_since: None,
        }
    }

    pub(super) fn set_quota(&mut self, quota: TeamQuota, routers: u32) {
        self.quota = Some(quota);
        self.earned = self.earned.min(quota.burst / f64::from(routers));
    }

    pub(super) fn accrue(&mut self, now: Timestamp, earns_from: Timestamp, routers: u32) {
        self.granted.lapse(now);
        self.collected.lapse(now);
        if now < earns_from {
            return;
        }
        let elapsed = now - self.accrued_at;
        self.accrued_at = self.accrued_at.max(now);
        let Some(quota) = self.quota else { return };
        let earned = quota.rate_per_s / f64::from(routers) * elapsed.as_secs_f64();
        let capacity = quota.burst / f64::from(routers);
        self.earned = (self.earned + earned).min(capacity.max(self.earned));
    }

    pub(super) fn balance(&self, now: Timestamp) -> f64 {
        let granted = if now < self.granted.lapse_at { self.granted.tokens } else { 0.0 };
        self.earned + granted
    }

    /// Takes the tokens of a request, if there are enough. `is_first` is unset if the request has asked
    /// before.
    pub(super) fn take(&mut self, now: Timestamp, tokens: f64, is_first: bool) -> bool {
        if is_first {
            self.record_demand(now, tokens);
        }
        if self.balance(now) < tokens {
            return false;
        }
        let granted = self.granted.take(now, tokens);
        self.earned -= tokens - granted;
        true
    }

    fn record_demand(&mut self, now: Timestamp, tokens: f64) {
        self.demand_per_s = self.demand(now) + tokens / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    /// Returns the tokens a second that requests here have asked for.
    fn demand(&self, now: Timestamp) -> f64 {
        let age = (now - self.demand_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand_per_s * (-age).exp()
    }

    /// Counts a request that begins to wait, or with negative tokens one that has waited.
    pub(super) fn count_waiting(&mut self, tokens: f64) {
        self.waiting = (self.waiting + tokens).max(0.0);
    }

    pub(super) fn charge(&mut self, tokens: f64) {
        self.earned -= tokens;
    }

    /// Returns whether other routers may have the tokens of a request: no request may be larger than the
    /// burst, and none is granted anything while the team is over its quota.
    pub(super) fn may_be_granted(&self, now: Timestamp, tokens: f64) -> bool {
        let burst = self.quota.map_or(0.0, |quota| quota.burst);
        now >= self.exhausted_until && tokens <= burst
    }

    /// Books the tokens of a refused request after those of the ones before, and returns when they will
    /// have been earned.
    pub(super) fn book(&mut self, now: Timestamp, tokens: f64, routers: u32) -> Timestamp {
        let Some(quota) = self.quota else { return now };
        let per_s = quota.rate_per_s / f64::from(routers);
        let missing = (tokens - self.balance(now)).clamp(0.0, tokens);
        let wait = Duration::from_secs_f64((missing / per_s).min(MAX_RETRY_DELAY.as_secs_f64()));
        self.booked_until = (self.booked_until.max(now) + wait).min(now + MAX_RETRY_DELAY);
        self.booked_until
    }

    /// Returns the tokens that this router is short of.
    fn need(&self, now: Timestamp) -> f64 {
        let ahead = self.demand(now) * NEED_TIME.as_secs_f64();
        (ahead.max(self.waiting) - self.balance(now)).max(0.0)
    }

    /// Returns the tokens that this router does not need soon.
    fn spare(&self, now: Timestamp) -> f64 {
        (self.earned - self.demand(now) * RESERVE_TIME.as_secs_f64()).max(0.0)
    }

    /// Returns whether a request waits for tokens, or the demand will soon be beyond them.
    fn is_short(&self, now: Timestamp) -> bool {
        let margin = self.demand(now) * SHORT_TIME.as_secs_f64();
        self.waiting > self.balance(now).max(0.0) || self.need(now) >= margin.max(1.0)
    }

    /// Returns the message that is due to the broker.
    pub(super) fn next_message(
        &mut self,
        now: Timestamp,
        interval: Duration,
    ) -> Option<QuotaMessage> {
        if now >= self.next_need_at && self.is_short(now) {
            let factor = if now < self.exhausted_until { 4 } else { 1 };
            self.next_need_at = now + interval * factor;
            let tokens = self.need(now);
            return Some(QuotaMessage::Need { tokens });
        }
        let spare = self.spare(now);
        if now < self.gives_until && now >= self.next_gift_at && spare >= 1.0 {
            self.next_gift_at = now + interval;
            self.earned -= spare;
            return Some(QuotaMessage::Deposit { tokens: spare });
        }
        None
    }

    pub(super) fn record_need(&mut self, now: Timestamp, router: u64, tokens: f64) {
        if tokens.is_finite() && tokens > 0.0 {
            let asked_at = self.needs.get(&router).map_or(now, |need| need.asked_at);
            self.needs.insert(router, Need { tokens, asked_at, until: now + NEED_TTL });
        }
    }

    pub(super) fn record_collection(&mut self, now: Timestamp) {
        self.gives_until = now + COLLECTION_TIME;
    }

    pub(super) fn record_deposit(&mut self, now: Timestamp, tokens: f64) {
        if tokens.is_finite() && tokens > 0.0 {
            self.collected.add(now, tokens);
        }
    }

    pub(super) fn record_grant(&mut self, now: Timestamp, tokens: f64) {
        if tokens.is_finite() && tokens > 0.0 {
            self.granted.add(now, tokens);
            self.exhausted_until = now;
        } else {
            self.exhausted_until = now + EXHAUSTED_TIME;
        }
    }

    /// Collects and grants tokens as the broker. Returns the messages to send, each with its receiver.
    pub(super) fn run_broker(
        &mut self,
        now: Timestamp,
        own: u64,
        alive: &[u64],
        interval: Duration,
    ) -> Vec<(u64, QuotaMessage)> {
        if self.is_short(now) {
            self.record_need(now, own, self.need(now));
        }
        self.needs.retain(|router, need| need.until > now && alive.contains(router));
        if self.needs.is_empty() {
            self.collects_since = None;
        }
        if self.needs.is_empty() || now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + interval / ROUNDS_PER_INTERVAL;
        // What the broker itself can spare.
        let spare = if self.needs.contains_key(&own) { 0.0 } else { self.spare(now) };
        self.earned -= spare;
        if spare > 0.0 {
            self.collected.add(now, spare);
        }
        self.collected.lapse(now);
        let mut messages = self.grant(now, own, interval);
        if !self.needs.is_empty() && now >= self.next_collection_at {
            self.next_collection_at = now + interval;
            self.collects_since.get_or_insert(now);
            let others = alive.iter().filter(|router| **router != own);
            messages.extend(others.map(|router| (*router, QuotaMessage::Collect)));
        }
        messages
    }

    /// Grants what was collected, to those who asked first: parts of what a request needs would lapse at
    /// several routers. If nothing came in for long enough, the team is over its
    /// quota everywhere, and those that ask are told.
    fn grant(&mut self, now: Timestamp, own: u64, interval: Duration) -> Vec<(u64, QuotaMessage)> {
        let mut left = self.collected.tokens;
        let is_empty = left < 1.0;
        let since = self.collects_since;
        if is_empty && since.is_none_or(|since| now < since + interval * 2) {
            return Vec::new();
        }
        let mut needs: Vec<_> = self.needs.iter().map(|(to, need)| (*to, *need)).collect();
        needs.sort_by_key(|(to, need)| (need.asked_at, *to));
        let mut messages = Vec::new();
        for (router, need) in needs {
            let grant = need.tokens.min(left);
            if !is_empty && grant < 1.0 {
                break;
            }
            left -= grant;
            if router == own {
                self.record_grant(now, grant);
            } else {
                messages.push((router, QuotaMessage::Grant { tokens: grant }));
            }
            match self.needs.get_mut(&router) {
                Some(known) if !is_empty && need.tokens - grant >= 1.0 => known.tokens -= grant,
                _ => {
                    self.needs.remove(&router);
                }
            }
        }
        self.collected.tokens = left.max(0.0);
        self.collects_since = None;
        messages
    }
}
