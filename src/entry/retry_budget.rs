//! Actor that owns the retry budget shared by all requests of an entry.

use dogwoodway_routing::retry_budget::RetryBudget;
use kameo::{
    Actor,
    message::{Context, Message},
};

/// Owner of the entry's retry budget.
#[derive(Actor, Default)]
pub(crate) struct RetryBudgetActor {
    budget: RetryBudget,
}

/// Command to add to the budget what the first attempt of a request earns.
pub(crate) struct RecordFirstAttempt;

impl Message<RecordFirstAttempt> for RetryBudgetActor {
    type Reply = ();

    async fn handle(&mut self, _: RecordFirstAttempt, _: &mut Context<Self, Self::Reply>) {
        self.budget.record_first_attempt();
    }
}

/// Command to take one retry from the budget; the reply is false if the budget is exhausted.
pub(crate) struct TakeRetry;

impl Message<TakeRetry> for RetryBudgetActor {
    type Reply = bool;

    async fn handle(&mut self, _: TakeRetry, _: &mut Context<Self, Self::Reply>) -> bool {
        self.budget.try_take_retry()
    }
}
