//! Actor that admits requests against the entry's share of each team's limits.
//!
//! The share consists of short-lived grants. When it is not sufficient, the caller of [`Reserve`]
//! requests another grant from an agent; see [`dogwoodway_routing::budget`].

use std::collections::HashMap;

use dogwoodway_routing::budget::GrantBalance;
use dogwoodway_types::{EntryIncarnation, Grant, GrantRequest, TeamName, Timestamp, Usage};
use kameo::{
    Actor,
    message::{Context, Message},
};

/// Weight of the latest request in the moving average of a team's uncached share.
const UNCACHED_SHARE_SMOOTHING: f64 = 0.1;

/// Owner of the grant balances of all teams at this entry.
#[derive(Actor)]
pub(crate) struct TeamLimitsActor {
    entry: EntryIncarnation,
    teams: HashMap<TeamName, TeamState>,
}

struct TeamState {
    balance: GrantBalance,
    /// Moving average of the share of prompt tokens that are not cached, from 0 to 1. Engines
    /// compute only these, so only they count against the token limit.
    uncached_share: f64,
}

impl TeamLimitsActor {
    /// Creates the state of a new entry incarnation, which has no grants yet.
    pub(crate) fn new() -> TeamLimitsActor {
        TeamLimitsActor { entry: EntryIncarnation(rand::random()), teams: HashMap::new() }
    }

    fn team(&mut self, name: &TeamName) -> &mut TeamState {
        let new_team = || TeamState { balance: GrantBalance::default(), uncached_share: 1.0 };
        self.teams.entry(name.clone()).or_insert_with(new_team)
    }
}

/// Tokens and one request in flight that are reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    tokens: u64,
    reserved_at: Timestamp,
}

/// Command to reserve the expected tokens of a request and one request in flight.
///
/// Fails with the grant request to send if the balance is not sufficient. The result of that
/// request must be passed to [`FinishGrantRequest`].
pub(crate) struct Reserve {
    pub(crate) team: TeamName,
    /// Estimated tokens of the prompt, cached or not.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
}

impl Message<Reserve> for TeamLimitsActor {
    type Reply = Result<Reservation, GrantRequest>;

    async fn handle(&mut self, msg: Reserve, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (now, entry) = (Timestamp::now(), self.entry);
        let team = self.team(&msg.team);
        let uncached = f64::from(msg.prompt_tokens) * team.uncached_share;
        let tokens = uncached as u64 + u64::from(msg.max_tokens);
        team.balance.reserve(now, entry, tokens).map(|()| Reservation { tokens, reserved_at: now })
    }
}

/// Command to end a grant request: adds the grant, or, if there is none, restores the unused and
/// overdrawn tokens that the request carried.
pub(crate) struct FinishGrantRequest {
    pub(crate) team: TeamName,
    pub(crate) requested_at: Timestamp,
    pub(crate) req: GrantRequest,
    /// The grant, `None` if the request was not sent or no agent granted it.
    pub(crate) grant: Option<Grant>,
}

impl Message<FinishGrantRequest> for TeamLimitsActor {
    type Reply = ();

    async fn handle(&mut self, msg: FinishGrantRequest, _: &mut Context<Self, Self::Reply>) {
        let balance = &mut self.team(&msg.team).balance;
        match msg.grant {
            Some(grant) => balance.add_grant(msg.requested_at, grant),
            None => balance.restore_request(msg.req),
        }
    }
}

/// Command to release the reservation of a request that has ended and to charge what it used.
pub(crate) struct SettleUsage {
    pub(crate) team: TeamName,
    pub(crate) reservation: Reservation,
    pub(crate) usage: RequestUsage,
}

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestUsage {
    /// None, since the request was not run.
    NotRun,
    /// As counted by the engine.
    Counted(Usage),
    /// Not known; the reserved tokens are charged.
    Unknown,
}

impl Message<SettleUsage> for TeamLimitsActor {
    type Reply = ();

    async fn handle(&mut self, msg: SettleUsage, _: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        let Reservation { tokens, reserved_at } = msg.reservation;
        let team = self.team(&msg.team);
        let used = match msg.usage {
            RequestUsage::NotRun => 0,
            RequestUsage::Unknown => tokens,
            RequestUsage::Counted(usage) => {
                let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
                let share = f64::from(uncached) / f64::from(usage.prompt_tokens.max(1));
                team.uncached_share += (share - team.uncached_share) * UNCACHED_SHARE_SMOOTHING;
                u64::from(uncached) + u64::from(usage.completion_tokens)
            }
        };
        team.balance.settle(now, reserved_at, tokens, used);
    }
}
