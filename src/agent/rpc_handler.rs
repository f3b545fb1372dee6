//! Handles the RPC calls of entries and other peers.

use std::time::Duration;

use dogwoodway_control::Snapshot;
use dogwoodway_peer::{
    AgentApi, AgentDescription, FramesReply, PeerError, PeerResult, ProbeReply, ProbeRequest,
    SettleReply, StartReply, StartRequest,
};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, LogOffset, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use crate::{
    agent::{
        actor::{
            AgentActor, CancelAttempt, Describe, Probe, ReadFrames, SettleAttempt, StartAttempt,
            VmListedLeaving,
        },
        budgets::GrantBudget,
    },
    config_follower::ConfigHandle,
};

/// Interval at which [`AgentApi::describe`] checks whether the engine has been reached yet.
const ENGINE_POLL_INTERVAL_MS: u64 = 20;

/// Passes RPC calls on to the agent's actor, and requests for the configuration to its follower.
pub(crate) struct AgentRpcHandler {
    actor: ActorRef<AgentActor>,
    config: ConfigHandle,
}

impl AgentRpcHandler {
    /// Creates the handler of an actor's calls.
    pub(crate) fn new(actor: ActorRef<AgentActor>, config: ConfigHandle) -> AgentRpcHandler {
        AgentRpcHandler { actor, config }
    }
}

impl AgentApi for AgentRpcHandler {
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>> {
        async move {
            loop {
                match self.actor.ask(Describe).await.map_err(actor_stopped)? {
                    Some(description) => return Ok(description),
                    None => pause_for_engine().await,
                }
            }
        }
        .boxed()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        self.config.observe_position(req.config_offset);
        async move { require_engine(self.actor.ask(Probe(req)).await.map_err(actor_stopped)?) }
            .boxed()
    }

    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        self.config.observe_position(req.config_offset);
        async move { Ok(*self.actor.ask(StartAttempt(req)).await.map_err(actor_stopped)?) }.boxed()
    }

    fn frames(&self, id: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let (tx, rx) = oneshot::channel();
            self.actor.tell(ReadFrames { id, from, tx }).await.map_err(actor_stopped)?;
            Ok(rx.await.unwrap_or(FramesReply::NoAttempt))
        }
        .boxed()
    }

    fn settle(
        &self,
        id: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> BoxFuture<'_, PeerResult<SettleReply>> {
        async move {
            let msg = SettleAttempt { id, agent, start_before };
            Ok(*self.actor.ask(msg).await.map_err(actor_stopped)?)
        }
        .boxed()
    }

    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>> {
        async move { self.actor.ask(GrantBudget { team, role, req }).await.map_err(actor_stopped) }
            .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        async move { self.actor.tell(CancelAttempt(attempt)).await.map_err(actor_stopped) }.boxed()
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        async move { self.actor.tell(VmListedLeaving).await.map_err(actor_stopped) }.boxed()
    }

    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        async move { Ok(self.config.snapshot(newer_than).await) }.boxed()
    }
}

/// Returns an error if there is no reply because the engine has not been reached yet.
fn require_engine<T>(reply: Option<T>) -> PeerResult<T> {
    reply.ok_or_else(|| PeerError::NotReady("the engine has not been reached yet".to_owned()))
}

/// Waits before the actor is asked again whether the engine was reached for the first time. The
/// deadline of the RPC call ends the repetition.
async fn pause_for_engine() {
    tokio::time::sleep(Duration::from_millis(ENGINE_POLL_INTERVAL_MS)).await;
}

fn actor_stopped<E>(_: E) -> PeerError {
    PeerError::Lost("the agent's actor has stopped".to_owned())
}
