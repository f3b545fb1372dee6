//! A link to an agent that reports the result of each call to the router.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dogwoodway_peer::{
    AgentApi, AgentDescription, BackendKind, FramesReply, PeerResult, ProbeReply, ProbeRequest,
    RunRequest, SettleReply, StartReply,
};
use dogwoodway_routing::{membership::MemberKey, outlier::CallResult};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, NotRunReason, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::WeakActorRef;

use crate::entry::router::{Router, SeeCall};

/// What a call told about an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum News {
    /// Only how the call ended.
    Result(CallResult),
    /// The agent replied to a probe.
    Probed { latency: Duration, agent: AgentIncarnation, kind: BackendKind, accepting: bool },
    /// The agent takes no new work.
    Leaving { agent: AgentIncarnation },
    /// The agent or its backend server is not the one that was described.
    Stale,
}

/// Reports to the router what calls through a link tell about the agent.
pub(crate) struct ObservedAgent {
    link: Arc<dyn AgentApi>,
    key: MemberKey,
    router: WeakActorRef<Router>,
}

impl ObservedAgent {
    /// Builds a link whose calls are reported under `key`.
    pub(crate) fn new(
        link: Arc<dyn AgentApi>,
        key: MemberKey,
        router: WeakActorRef<Router>,
    ) -> ObservedAgent {
        ObservedAgent { link, key, router }
    }

    fn report(&self, news: News) {
        if let Some(router) = self.router.upgrade() {
            let _ = router.tell(SeeCall { key: self.key, news }).try_send();
        }
    }

    fn report_failure<T>(&self, reply: &PeerResult<T>) {
        if reply.is_err() {
            self.report(News::Result(CallResult::Failed));
        }
    }
}

/// Reports a call that is dropped before its reply came.
struct Watch<'a> {
    agent: &'a ObservedAgent,
    begun: Instant,
    replied: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.replied {
            let waited = self.begun.elapsed();
            self.agent.report(News::Result(CallResult::Abandoned { waited }));
        }
    }
}

impl AgentApi for ObservedAgent {
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>> {
        self.link.describe()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        async move {
            let mut watch = Watch { agent: self, begun: Instant::now(), replied: false };
            let reply = self.link.probe(req).await;
            watch.replied = true;
            self.report_failure(&reply);
            if let Ok(reply) = &reply {
                let latency = watch.begun.elapsed();
                let (agent, accepting) = (reply.agent, reply.accepting);
                let kind = reply.kind.clone();
                self.report(News::Probed { latency, agent, kind, accepting });
            }
            reply
        }
        .boxed()
    }

    fn start(&self, req: RunRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        async move {
            let agent = req.agent;
            let reply = self.link.start(req).await;
            self.report_failure(&reply);
            match &reply {
                Ok(StartReply::NotRun { reason: NotRunReason::Leaving, .. }) => {
                    self.report(News::Leaving { agent });
                }
                Ok(StartReply::NotRun { reason: NotRunReason::StaleBackendServer, .. }) => {
                    self.report(News::Stale);
                }
                Ok(_) | Err(_) => {}
            }
            reply
        }
        .boxed()
    }

    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let reply = self.link.frames(attempt, from).await;
            self.report_failure(&reply);
            if let Ok(FramesReply::NoAttempt) = &reply {
                self.report(News::Stale);
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
            let reply = self.link.settle(attempt, agent, start_before).await;
            self.report_failure(&reply);
            if let Ok(SettleReply::OtherIncarnation) = &reply {
                self.report(News::Stale);
            }
            reply
        }
        .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        self.link.cancel(attempt)
    }

    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>> {
        self.link.grant(team, role, req)
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        self.link.notify_leaving()
    }
}
