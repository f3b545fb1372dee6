//! Messages that drain and stop an agent.

use std::time::Duration;

use dogwoodway_types::{FrameKind, Outcome, Timestamp};
use kameo::message::{Context, Message};

use crate::agent::actor::AgentActor;

/// Time for which an agent refuses new attempts after a notification that its VM is listed as
/// leaving.
const VM_LEAVING_MS: u64 = 30_000;

/// Makes the agent refuse new attempts, because its process is shutting down.
pub(crate) struct StartDrain;

impl Message<StartDrain> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: StartDrain, _: &mut Context<Self, Self::Reply>) {
        self.draining = true;
    }
}

/// Reports that the platform lists the agent's VM as leaving.
pub(crate) struct VmListedLeaving;

impl Message<VmListedLeaving> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: VmListedLeaving, _: &mut Context<Self, Self::Reply>) {
        self.vm_leaving_until = Timestamp::now() + Duration::from_millis(VM_LEAVING_MS);
    }
}

/// Ends all attempts, after the shutdown limit has passed or a second signal was received.
pub(crate) struct AbortAll;

impl Message<AbortAll> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: AbortAll, _: &mut Context<Self, Self::Reply>) {
        for id in self.queued_requests.keys().copied().collect::<Vec<_>>() {
            self.abort_attempt(id, "the agent had to stop", false);
        }
        for id in self.running.ids() {
            self.abort_attempt(id, "the agent had to stop", false);
            // An attempt that must not be aborted is still running, and its outcome is unknown. For
            // an aborted one, the frame is ignored.
            let message = "the agent had to stop while the call ran".to_owned();
            let outcome = Outcome::Unknown { message };
            self.push_frame(id, FrameKind::Error { outcome, backend_lost: true });
        }
    }
}

/// Gets whether the agent can stop: no attempt is running or queued, and no entry is expected to
/// read the remaining frames of one.
pub(crate) struct IsDrained;

impl Message<IsDrained> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsDrained, _: &mut Context<Self, Self::Reply>) -> bool {
        self.attempts.is_drained(Timestamp::now())
    }
}
