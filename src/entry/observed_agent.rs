//! Agent client that reports to the registry what each call reveals about the agent.
//!
//! Between two polls, the registry learns from these reports that an agent fails, is slow, shuts
//! down or has restarted.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dogwoodway_peer::{
    AgentApi, AgentDescription, BackendKind, FramesReply, PeerResult, ProbeReply, ProbeRequest,
    SettleReply, StartReply, StartRequest,
};
use dogwoodway_routing::{membership::MemberKey, outlier::CallResult};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, NotRunReason, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::WeakActorRef;

use crate::entry::agent_registry::{AgentRegistry, CallObserved};

/// What a call revealed about an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallObservation {
    /// Only how the call ended.
    Result(CallResult),
    /// The agent replied to a probe.
    Probed { latency: Duration, agent: AgentIncarnation, kind: BackendKind, accepting: bool },
    /// The agent refused an attempt because it is shutting down.
    Leaving { agent: AgentIncarnation },
    /// The agent or its backend server has changed since the agent last described itself.
    Stale,
}

/// An agent client that reports observations to the registry.
///
/// Only `probe`, `start`, `frames` and `settle` are reported; the other calls are passed through.
pub(crate) struct ObservedAgent {
    client: Arc<dyn AgentApi>,
    /// The agent's key in the registry.
    key: MemberKey,
    registry: WeakActorRef<AgentRegistry>,
}

impl ObservedAgent {
    /// Wraps `client`, whose calls are reported under `key`.
    pub(crate) fn new(
        client: Arc<dyn AgentApi>,
        key: MemberKey,
        registry: WeakActorRef<AgentRegistry>,
    ) -> ObservedAgent {
        ObservedAgent { client, key, registry }
    }

    fn report(&self, observation: CallObservation) {
        if let Some(registry) = self.registry.upgrade() {
            let _ = registry.tell(CallObserved { key: self.key, observation }).try_send();
        }
    }

    fn report_failure<T>(&self, reply: &PeerResult<T>) {
        if reply.is_err() {
            self.report(CallObservation::Result(CallResult::Failed));
        }
    }
}

/// Reports a probe as abandoned if its call is dropped before the reply arrives.
struct CallGuard<'a> {
    agent: &'a ObservedAgent,
    called_at: Instant,
    replied: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.replied {
            let waited = self.called_at.elapsed();
            self.agent.report(CallObservation::Result(CallResult::Abandoned { waited }));
        }
    }
}

impl AgentApi for ObservedAgent {
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>> {
        self.client.describe()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        async move {
            let mut guard = CallGuard { agent: self, called_at: Instant::now(), replied: false };
            let reply = self.client.probe(req).await;
            guard.replied = true;
            self.report_failure(&reply);
            if let Ok(reply) = &reply {
                let latency = guard.called_at.elapsed();
                let (agent, accepting) = (reply.agent, reply.accepting);
                let kind = reply.kind.clone();
                self.report(CallObservation::Probed { latency, agent, kind, accepting });
            }
            reply
        }
        .boxed()
    }

    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        async move {
            let agent = req.agent;
            let reply = self.client.start(req).await;
            self.report_failure(&reply);
            match &reply {
                Ok(StartReply::NotRun { reason: NotRunReason::Leaving, .. }) => {
                    self.report(CallObservation::Leaving { agent });
                }
                Ok(StartReply::NotRun { reason: NotRunReason::StaleBackendServer, .. }) => {
                    self.report(CallObservation::Stale);
                }
                Ok(_) | Err(_) => {}
            }
            reply
        }
        .boxed()
    }

    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let reply = self.client.frames(attempt, from).await;
            self.report_failure(&reply);
            if let Ok(FramesReply::NoAttempt) = &reply {
                self.report(CallObservation::Stale);
            }
            reply
        }
        .boxed()
    }

    fn settle(
        &self,
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> BoxFuture<'_, PeerResult<SettleReply>> {
        async move {
            let reply = self.client.settle(attempt, agent, start_before).await;
            self.report_failure(&reply);
            if let Ok(SettleReply::OtherIncarnation) = &reply {
                self.report(CallObservation::Stale);
            }
            reply
        }
        .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        self.client.cancel(attempt)
    }

    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>> {
        self.client.grant(team, role, req)
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        self.client.notify_leaving()
    }
}
