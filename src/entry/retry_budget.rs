//! The actor that owns an entry's retry budget.

use dogwoodway_routing::retry_budget::RetryBudget;
use kameo::{
    Actor,
    message::{Context, Message},
};

/// An entry's retry budget; only this actor changes it.
#[derive(Actor, Default)]
pub(crate) struct RetryBudgetActor {
    budget: RetryBudget,
}

/// Notes the first attempt of a request.
pub(crate) struct NoteFirst;

impl Message<NoteFirst> for RetryBudgetActor {
    type Reply = ();

    async fn handle(&mut self, _: NoteFirst, _: &mut Context<Self, Self::Reply>) {
        self.budget.record_first_attempt();
    }
}

/// Asks for a retry; answered with false if the budget is used up.
pub(crate) struct TakeRetry;

impl Message<TakeRetry> for RetryBudgetActor {
    type Reply = bool;

    async fn handle(&mut self, _: TakeRetry, _: &mut Context<Self, Self::Reply>) -> bool {
        self.budget.try_take_retry()
    }
}
