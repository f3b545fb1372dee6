//! Messages that bring an agent to its end.

use std::time::Duration;

use dogwoodway_types::{FrameKind, Outcome, Timestamp};
use kameo::message::{Context, Message};

use crate::agent::actor::AgentActor;

/// Time for which an agent takes no new work after it was told that its VM is listed as leaving.
const LISTED_LEAVING_MS: u64 = 30_000;

/// Tells the agent to take no new work.
pub(crate) struct Leave;

impl Message<Leave> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        self.leaving = true;
    }
}

/// Tells the agent that the platform lists its VM as leaving.
pub(crate) struct ListedLeaving;

impl Message<ListedLeaving> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: ListedLeaving, _: &mut Context<Self, Self::Reply>) {
        self.listed_leaving_until = Timestamp::now() + Duration::from_millis(LISTED_LEAVING_MS);
    }
}

/// Ends all attempts, because the agent must stop now.
pub(crate) struct EndAll;

impl Message<EndAll> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: EndAll, _: &mut Context<Self, Self::Reply>) {
        for id in self.queued.keys().copied().collect::<Vec<_>>() {
            self.end_chat(id, "the agent had to stop", false);
        }
        for id in self.runs.all() {
            self.end_chat(id, "the agent had to stop", false);
            let message = "the agent had to stop while the call ran".to_owned();
            let outcome = Outcome::Unknown { message };
            self.push(id, FrameKind::Error { outcome, backend_lost: true });
        }
    }
}

/// Asks whether no attempt runs and no entry is expected to read the end of one.
pub(crate) struct Drained;

impl Message<Drained> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, _: Drained, _: &mut Context<Self, Self::Reply>) -> bool {
        self.attempts.is_drained(Timestamp::now())
    }
}
