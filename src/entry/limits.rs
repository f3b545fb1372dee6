//! The limits of teams at an entry: what it holds of their budgets, and what it asks for.

use std::collections::HashMap;

use dogwoodway_routing::budget::GrantBalance;
use dogwoodway_types::{EntryIncarnation, Grant, GrantRequest, TeamName, Timestamp, Usage};
use kameo::{
    Actor,
    message::{Context, Message},
};

/// Weight of the latest request in the mean share of prompt tokens that are computed.
const SHARE_SMOOTHING: f64 = 0.1;

/// What an entry holds of the budgets of teams; only this actor changes it.
#[derive(Actor)]
pub(crate) struct Limits {
    entry: EntryIncarnation,
    teams: HashMap<TeamName, TeamState>,
}

struct TeamState {
    wallet: GrantBalance,
    computed_share: f64,
}

impl Limits {
    /// Builds the state of a new incarnation, which holds nothing.
    pub(crate) fn new() -> Limits {
        Limits { entry: EntryIncarnation(rand::random()), teams: HashMap::new() }
    }

    fn team(&mut self, name: &TeamName) -> &mut TeamState {
        let fresh = || TeamState { wallet: GrantBalance::default(), computed_share: 1.0 };
        self.teams.entry(name.clone()).or_insert_with(fresh)
    }
}

/// Tokens and a place that were taken for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    tokens: u64,
    taken_at: Timestamp,
}

/// Takes tokens and a place for a request, or tells what to ask for.
pub(crate) struct Take {
    pub(crate) team: TeamName,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
}

impl Message<Take> for Limits {
    type Reply = Result<Reservation, GrantRequest>;

    async fn handle(&mut self, msg: Take, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (now, entry) = (Timestamp::now(), self.entry);
        let team = self.team(&msg.team);
        let computed = f64::from(msg.prompt_tokens) * team.computed_share;
        let tokens = computed as u64 + u64::from(msg.max_tokens);
        team.wallet.reserve(now, entry, tokens).map(|()| Reservation { tokens, taken_at: now })
    }
}

/// Adds a grant, or takes back the request for one that got no answer.
pub(crate) struct Receive {
    pub(crate) team: TeamName,
    pub(crate) asked_at: Timestamp,
    pub(crate) req: GrantRequest,
    pub(crate) grant: Option<Grant>,
}

impl Message<Receive> for Limits {
    type Reply = ();

    async fn handle(&mut self, msg: Receive, _: &mut Context<Self, Self::Reply>) {
        let wallet = &mut self.team(&msg.team).wallet;
        match msg.grant {
            Some(grant) => wallet.add_grant(msg.asked_at, grant),
            None => wallet.restore_request(msg.req),
        }
    }
}

/// Ends a request.
pub(crate) struct SettleUsage {
    pub(crate) team: TeamName,
    pub(crate) reservation: Reservation,
    pub(crate) spent: Spent,
}

/// What a request has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spent {
    /// Nothing; it was not run.
    Nothing,
    /// What the engine counted.
    Counted(Usage),
    /// Not known; taken for what was reserved.
    Unknown,
}

impl Message<SettleUsage> for Limits {
    type Reply = ();

    async fn handle(&mut self, msg: SettleUsage, _: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        let Reservation { tokens, taken_at } = msg.reservation;
        let team = self.team(&msg.team);
        let used = match msg.spent {
            Spent::Nothing => 0,
            Spent::Unknown => tokens,
            Spent::Counted(usage) => {
                let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
                let share = f64::from(computed) / f64::from(usage.prompt_tokens.max(1));
                team.computed_share += (share - team.computed_share) * SHARE_SMOOTHING;
                u64::from(computed) + u64::from(usage.completion_tokens)
            }
        };
        team.wallet.settle(now, taken_at, tokens, used);
    }
}
