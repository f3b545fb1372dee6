//! The team budgets from which this agent grants shares to entries.

use std::collections::HashMap;

use dogwoodway_routing::budget::{TeamBudget, TeamLimits};
use dogwoodway_types::{Configuration, Grant, GrantRequest, GrantRole, TeamName, Timestamp};
use kameo::message::{Context, Message};

use crate::agent::actor::AgentActor;

/// Team budgets, by the role in which the agent grants from them.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    /// Budgets that this agent owns.
    owned: HashMap<TeamName, TeamBudget>,
    /// Small shares of budgets that another agent owns, for entries that cannot reach the owner.
    fallback: HashMap<TeamName, TeamBudget>,
}

impl Budgets {
    /// Grants a share of a team's budget; `None` if the configuration does not contain the team.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        cfg: &Configuration,
        msg: GrantBudget,
    ) -> Option<Grant> {
        let team = cfg.teams.get(&msg.team)?;
        let limits = TeamLimits { tokens: team.tokens_per_minute, in_flight: team.max_in_flight };
        let budgets = match msg.role {
            GrantRole::Owner => &mut self.owned,
            GrantRole::Fallback => &mut self.fallback,
        };
        let budget = budgets
            .entry(msg.team)
            .or_insert_with(|| TeamBudget::new(now, limits.for_role(msg.role)));
        Some(budget.grant(now, limits.for_role(msg.role), msg.req))
    }
}

/// Grants an entry a share of a team's budget.
pub(crate) struct GrantBudget {
    pub(crate) team: TeamName,
    pub(crate) role: GrantRole,
    pub(crate) req: GrantRequest,
}

impl Message<GrantBudget> for AgentActor {
    type Reply = Option<Grant>;

    async fn handle(
        &mut self,
        msg: GrantBudget,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.budgets.grant(Timestamp::now(), &self.config, msg)
    }
}
