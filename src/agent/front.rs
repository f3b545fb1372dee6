//! The agent's side of the RPC interface.

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
        actor::{AgentActor, Cancel, Describe, ListedLeaving, Probe, ReadFrames, Settle, Start},
        budgets::GrantBudget,
    },
    config_follower::ConfigHandle,
};

const ENGINE_WAIT_MS: u64 = 20;

/// Hands RPC calls to the agent's actor.
pub(crate) struct AgentFront {
    actor: ActorRef<AgentActor>,
    config: ConfigHandle,
}

impl AgentFront {
    /// Builds the front of an actor.
    pub(crate) fn new(actor: ActorRef<AgentActor>, config: ConfigHandle) -> AgentFront {
        AgentFront { actor, config }
    }
}

impl AgentApi for AgentFront {
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>> {
        async move {
            loop {
                match self.actor.ask(Describe).await.map_err(stopped)? {
                    Some(description) => return Ok(description),
                    None => engine_wait().await,
                }
            }
        }
        .boxed()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        self.config.observe_position(req.config_offset);
        async move { known(self.actor.ask(Probe(req)).await.map_err(stopped)?) }.boxed()
    }

    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        self.config.observe_position(req.config_offset);
        async move { Ok(*self.actor.ask(Start(req)).await.map_err(stopped)?) }.boxed()
    }

    fn frames(&self, id: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let (tx, rx) = oneshot::channel();
            self.actor.tell(ReadFrames { id, from, tx }).await.map_err(stopped)?;
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
            let msg = Settle { id, agent, start_before };
            Ok(*self.actor.ask(msg).await.map_err(stopped)?)
        }
        .boxed()
    }

    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>> {
        async move { self.actor.ask(GrantBudget { team, role, req }).await.map_err(stopped) }
            .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        async move { self.actor.tell(Cancel(attempt)).await.map_err(stopped) }.boxed()
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        async move { self.actor.tell(ListedLeaving).await.map_err(stopped) }.boxed()
    }

    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        async move { Ok(self.config.snapshot(newer_than).await) }.boxed()
    }
}

fn known<T>(reply: Option<T>) -> PeerResult<T> {
    reply.ok_or_else(|| PeerError::NotReady("the engine has not been reached yet".to_owned()))
}

/// Waits a moment for the engine to be reached for the first time. The caller's deadline ends the
/// repeated wait.
async fn engine_wait() {
    tokio::time::sleep(Duration::from_millis(ENGINE_WAIT_MS)).await;
}

fn stopped<E>(_: E) -> PeerError {
    PeerError::Lost("the agent's actor has stopped".to_owned())
}
