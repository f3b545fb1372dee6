//! Quotas of teams in tokens, over all routers together.
//!
//! The load pattern behind this: one team sends many times its usual, at some of tens or hundreds of
//! routers more than at others, while other teams are idle. A fixed part of the quota for each router would
//! refuse most of what a team is owed where its connections are uneven; counters that routers tell each
//! other would let it overshoot by what is sent before they arrive, and without bound while a part of the
//! fleet is cut off.
//!
//! So tokens are earned by each router for itself, and moved:
//!
//! - *Each router earns `rate / n`*, where `n` counts the routers that were heard of in the last
//!   [`MEMBER_TTL`]. Both sides of a cut therefore earn no more than the rate together. A router that
//!   starts holds no burst: once it knows the others, who count it from its first datagram, it has earned
//!   its part of one second.
//! - *It keeps up to `burst / n`.* What it is short of it asks of the team's broker, the first router
//!   alive in rendezvous order. The broker asks the others to give what they do not need themselves and
//!   grants it to those that ask, in order.
//! - *Tokens are moved, never copied.* The sender of a message takes them off first, and the receiver
//!   applies each message once. A lost message destroys tokens.
//! - *Tokens that were moved lapse after [`MOVED_TTL`]*, because those who gave them earn anew meanwhile:
//!   otherwise more than the burst could be in stock.
//!
//! By design a window of `t` seconds holds about `rate * (t + MOVED_TTL) + burst` tokens. It may hold more
//! while routers disagree about `n`, since some start or a cut lasts longer than [`MEMBER_TTL`], and by
//! further attempts, which are charged but never refused. The tests check the bound that teams are
//! promised, which leaves a tenth for this.

mod account;
mod message;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use dogwoodway_types::{TeamName, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use self::account::Account;
pub use self::message::{QuotaLetter, QuotaMessage};

/// Time for which a router that is not heard of any more counts among those that earn. It may be cut off
/// and serve the team's other callers.
pub const MEMBER_TTL: Duration = Duration::from_secs(60);

/// Time after which tokens lapse that were granted or collected and not spent.
pub const MOVED_TTL: Duration = Duration::from_millis(300);

/// Least time between two messages about a team to the same router, for a single router.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Further time between two messages for each router of the fleet, which bounds what a broker receives.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(2);

/// Time for which a request within its team's quota waits for tokens of other routers: some messages there
/// and back.
const GRANT_WAIT: Duration = Duration::from_millis(400);

/// Number of messages of each sender that are remembered, so that none is applied twice. The second copy
/// of a message follows the first one within some tens of milliseconds.
const REMEMBERED_MESSAGES: usize = 64;

/// How far the number of a message may be behind the newest one of its sender.
const MAX_NUMBERS_BEHIND: u64 = 4_096;

/// Quota of a team, counted over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawQuota", rename_all = "kebab-case")]
pub struct TeamQuota {
    rate_per_s: f64,
    burst: f64,
    unit: QuotaUnit,
    default_tokens: u32,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Prompt tokens and most output tokens of requests.
    #[default]
    Tokens,
    /// Requests.
    Requests,
}

/// Quota as a configuration states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct RawQuota {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units beyond the rate.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
    /// Tokens of a request that does not state any.
    pub default_tokens: u32,
}

/// Why a quota cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaError {
    /// The rate is not a positive number.
    InvalidRate,
    /// The burst is negative or no number.
    InvalidBurst,
}

impl std::fmt::Display for QuotaError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            QuotaError::InvalidRate => "the rate of a quota must be a positive number",
            QuotaError::InvalidBurst => "the burst of a quota must be a number from 0 on",
        })
    }
}

impl std::error::Error for QuotaError {}

impl TryFrom<RawQuota> for TeamQuota {
    type Error = QuotaError;

    fn try_from(raw: RawQuota) -> Result<TeamQuota, QuotaError> {
        if !(raw.rate_per_s.is_finite() && raw.rate_per_s > 0.0) {
            return Err(QuotaError::InvalidRate);
        }
        if !(raw.burst.is_finite() && raw.burst >= 0.0) {
            return Err(QuotaError::InvalidBurst);
        }
        let RawQuota { rate_per_s, burst, unit, default_tokens } = raw;
        Ok(TeamQuota { rate_per_s, burst, unit, default_tokens })
    }
}

impl TeamQuota {
    /// Returns the tokens of a request, from its prompt tokens and its most output tokens.
    ///
    /// ```
    /// use dogwoodway_routing::direct::team_quota::{RawQuota, TeamQuota};
    ///
    /// let raw = RawQuota { rate_per_s: 1e6, burst: 1e6, default_tokens: 200, ..RawQuota::default() };
    /// let quota = TeamQuota::try_from(raw).unwrap();
    /// assert_eq!(quota.tokens(Some((1_460, 80))), 1_540);
    /// assert_eq!(quota.tokens(None), 200);
    /// ```
    pub fn tokens(&self, counts: Option<(u32, u32)>) -> u64 {
        match (self.unit, counts) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens, Some((prompt, output))) => u64::from(prompt) + u64::from(output),
            (QuotaUnit::Tokens, None) => u64::from(self.default_tokens),
        }
    }
}

/// Identifies a team in messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuotaKey(u64);

impl From<&TeamName> for QuotaKey {
    fn from(name: &TeamName) -> QuotaKey {
        QuotaKey(xxh3_64(name.as_str().as_bytes()))
    }
}

/// What a request with a quota does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// Its tokens are taken.
    Pass,
    /// Other routers may give the tokens until then; the request asks again when some have arrived.
    Wait {
        /// When it is refused otherwise.
        until: Timestamp,
    },
    /// The team is over its quota.
    Refuse {
        /// When the tokens will have been earned, after those of the requests that were refused before.
        retry_at: Timestamp,
    },
}

/// Accounts of one router, one for each team with a quota.
///
/// ```
/// use dogwoodway_routing::direct::team_quota::{
///     QuotaDecision, QuotaTable, RawQuota, QuotaKey, TeamQuota,
/// };
/// use dogwoodway_types::{TeamName, Timestamp};
///
/// let at = Timestamp::from_millis;
/// let team = QuotaKey::from(&TeamName::try_from("desk").unwrap());
/// let raw = RawQuota { rate_per_s: 1_000.0, burst: 500.0, ..RawQuota::default() };
/// let quota = TeamQuota::try_from(raw).unwrap();
/// let mut table = QuotaTable::new(7, at(0));
/// table.set_routers(at(0), &[7]);
/// table.set_quotas(at(0), &[(team, quota)]);
/// assert_eq!(table.take(at(1_000), team, 500), QuotaDecision::Pass);
/// assert!(matches!(table.take(at(1_000), team, 400), QuotaDecision::Refuse { .. }));
/// assert_eq!(table.take(at(1_500), team, 400), QuotaDecision::Pass);
/// ```
#[derive(Debug)]
pub struct QuotaTable {
    /// Rank of this router.
    own: u64,
    /// From when on it earns.
    earns_from: Timestamp,
    accounts: HashMap<QuotaKey, Account>,
    /// When each router was last known to be alive.
    members: HashMap<u64, Timestamp>,
    alive: Vec<u64>,
    next_number: u64,
    /// Numbers of the messages that were applied, for each sender and start of it.
    applied: HashMap<(u64, u64), VecDeque<u64>>,
    /// Distinguishes this start of the router.
    start: u64,
    outgoing: Vec<QuotaLetter>,
}

impl QuotaTable {
    /// Creates a table without accounts for the router with the rank `own`, which earns from
    /// `earns_from` on, when it has heard of the others.
    pub fn new(own: u64, earns_from: Timestamp) -> QuotaTable {
        QuotaTable {
            own,
            earns_from,
            accounts: HashMap::new(),
            members: HashMap::new(),
            alive: vec![own],
            next_number: 0,
            applied: HashMap::new(),
            start: earns_from.as_millis(),
            outgoing: Vec::new(),
        }
    }

    /// Returns whether any team has a quota.
    pub fn is_in_use(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets the ranks of the routers that are alive, this one included.
    pub fn set_routers(&mut self, now: Timestamp, alive: &[u64]) {
        self.accrue(now);
        self.alive = alive.to_vec();
        for rank in alive {
            self.members.insert(*rank, now);
        }
        self.members.insert(self.own, now);
        self.members.retain(|_, seen_at| now - *seen_at < MEMBER_TTL);
    }

    /// Sets the quotas of the configuration in force. Teams without one have no limit.
    pub fn set_quotas(&mut self, now: Timestamp, quotas: &[(QuotaKey, TeamQuota)]) {
        self.accrue(now);
        self.accounts.retain(|team, _| quotas.iter().any(|(known, _)| known == team));
        let routers = self.member_count();
        for (team, quota) in quotas {
            let account = self.accounts.entry(*team).or_insert_with(|| Account::new(now));
            account.set_quota(*quota, routers);
        }
    }

    /// Decides on a request of this many tokens.
    pub fn take(&mut self, now: Timestamp, team: QuotaKey, tokens: u64) -> QuotaDecision {
        if self.take_if_earned(now, team, tokens, true) {
            return QuotaDecision::Pass;
        }
        let is_alone = self.alive.len() <= 1;
        let may_wait = |account: &Account| account.may_be_granted(now, tokens as f64);
        if !is_alone && self.accounts.get(&team).is_some_and(may_wait) {
            if let Some(account) = self.accounts.get_mut(&team) {
                account.count_waiting(tokens as f64);
            }
            self.tick(now);
            return QuotaDecision::Wait { until: now + GRANT_WAIT };
        }
        let routers = self.member_count();
        let account = self.accounts.get_mut(&team);
        let retry_at = account.map_or(now, |account| account.book(now, tokens as f64, routers));
        QuotaDecision::Refuse { retry_at }
    }

    /// Takes the tokens of a request that waits for them. Returns whether there are enough.
    pub fn take_waiting(&mut self, now: Timestamp, team: QuotaKey, tokens: u64) -> bool {
        let has_taken = self.take_if_earned(now, team, tokens, false);
        if has_taken && let Some(account) = self.accounts.get_mut(&team) {
            account.count_waiting(-(tokens as f64));
        }
        has_taken
    }

    /// Gives up a request that waits. Returns when its tokens will have been earned, after
    /// those of the requests that were refused before.
    pub fn refuse(&mut self, now: Timestamp, team: QuotaKey, tokens: u64) -> Timestamp {
        let routers = self.member_count();
        let Some(account) = self.accounts.get_mut(&team) else { return now };
        account.count_waiting(-(tokens as f64));
        account.book(now, tokens as f64, routers)
    }

    fn take_if_earned(
        &mut self,
        now: Timestamp,
        team: QuotaKey,
        tokens: u64,
        is_first: bool,
    ) -> bool {
        let routers = self.member_count();
        let Some(account) = self.accounts.get_mut(&team) else { return true };
        account.accrue(now, self.earns_from, routers);
        account.take(now, tokens as f64, is_first)
    }

    /// Charges a further attempt of a request of which an earlier one may have run. It is not refused, as
    /// it would be lost to its caller; later requests pay for it.
    pub fn charge(&mut self, team: QuotaKey, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(&team) {
            account.charge(tokens as f64);
        }
    }

    /// Returns the tokens of a request that no server may have run.
    pub fn give_back(&mut self, team: QuotaKey, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(&team) {
            account.charge(-(tokens as f64));
        }
    }

    /// Returns the tokens that the router holds for a team; negative if it owes some.
    pub fn balance(&mut self, now: Timestamp, team: QuotaKey) -> Option<f64> {
        let routers = self.member_count();
        let account = self.accounts.get_mut(&team)?;
        account.accrue(now, self.earns_from, routers);
        Some(account.balance(now))
    }

    /// Asks for tokens and gives or grants them, where that is due.
    pub fn tick(&mut self, now: Timestamp) {
        self.accrue(now);
        let interval = self.message_interval();
        let teams: Vec<_> = self.accounts.keys().copied().collect();
        for team in teams {
            let Some(broker) = self.broker(team) else { continue };
            let Some(account) = self.accounts.get_mut(&team) else { continue };
            if broker == self.own {
                for (router, message) in account.run_broker(now, self.own, &self.alive, interval) {
                    self.send(router, team, message);
                }
            } else if let Some(message) = account.next_message(now, interval) {
                self.send(broker, team, message);
            }
        }
    }

    /// Applies a message of another router, once.
    pub fn apply(&mut self, now: Timestamp, letter: &QuotaLetter) {
        if letter.to != self.own || !self.is_new(letter) {
            return;
        }
        self.accrue(now);
        let is_broker = self.broker(letter.team) == Some(self.own);
        let Some(account) = self.accounts.get_mut(&letter.team) else { return };
        match letter.message {
            QuotaMessage::Need { tokens } if is_broker => {
                account.record_need(now, letter.from, tokens);
            }
            // Another router takes this one for the broker, or did so a moment ago.
            QuotaMessage::Need { .. } => {}
            QuotaMessage::Collect => account.record_collection(now),
            QuotaMessage::Deposit { tokens } => account.record_deposit(now, tokens),
            QuotaMessage::Grant { tokens } => account.record_grant(now, tokens),
        }
        self.tick(now);
    }

    /// Takes the messages to send. Each is sent twice, since some are lost.
    pub fn take_outgoing(&mut self) -> Vec<QuotaLetter> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: u64, team: QuotaKey, message: QuotaMessage) {
        self.next_number += 1;
        let (from, start, number) = (self.own, self.start, self.next_number);
        self.outgoing.push(QuotaLetter { from, start, number, to, team, message });
    }

    fn is_new(&mut self, letter: &QuotaLetter) -> bool {
        let applied = self.applied.entry((letter.from, letter.start)).or_default();
        let newest = applied.iter().copied().max().unwrap_or_default();
        if letter.number + MAX_NUMBERS_BEHIND < newest || applied.contains(&letter.number) {
            return false;
        }
        if applied.len() >= REMEMBERED_MESSAGES {
            applied.pop_front();
        }
        applied.push_back(letter.number);
        true
    }

    /// Returns the first router alive in the rendezvous order of a team.
    fn broker(&self, team: QuotaKey) -> Option<u64> {
        let order = |rank: &&u64| crate::rendezvous::mix(team.0 ^ crate::rendezvous::mix(**rank));
        self.alive.iter().min_by_key(order).copied()
    }

    fn member_count(&self) -> u32 {
        self.members.len().max(1) as u32
    }

    fn message_interval(&self) -> Duration {
        MIN_MESSAGE_INTERVAL + INTERVAL_PER_ROUTER * self.alive.len() as u32
    }

    fn accrue(&mut self, now: Timestamp) {
        let (earns_from, routers) = (self.earns_from, self.member_count());
        for account in self.accounts.values_mut() {
            account.accrue(now, earns_from, routers);
        }
        self.applied.retain(|(router, _), _| self.members.contains_key(router));
    }
}
