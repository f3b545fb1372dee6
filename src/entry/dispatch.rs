//! Dispatches callers' requests to the agents of the fleet.
//!
//! A request is first [admitted](admission) within its team's limits and then [served](serve) in
//! one or more [attempts](attempt), each on the agent that [placement] chooses for it.

mod admission;
mod attempt;
#[cfg(feature = "baselines")]
mod baseline;
mod placement;
mod probe_selector;
mod request_state;
mod retry_state;
mod serve;

use std::sync::{Arc, OnceLock};

use dogwoodway_caller::{AnswerEvent, AnswerReceiver, CallerRequest, Dispatcher, Readiness};
use dogwoodway_log::HttpLog;
use dogwoodway_routing::drain::Drain;
use dogwoodway_types::{KeyHash, LogOffset, ModelName, Outcome, TeamName};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::mpsc;

use crate::{
    config_follower::ConfigHandle,
    entry::{
        agent_registry::AgentRegistry, dispatch::probe_selector::ProbeSelector,
        quarantine::QuarantineActor, retry_budget::RetryBudgetActor, team_limits::TeamLimitsActor,
    },
    metrics_server,
    settings::EntrySettings,
    shutdown::{Shutdown, ShutdownPhase},
};

/// Number of events of one answer that are buffered for a slow caller.
const ANSWER_CHANNEL_CAPACITY: usize = 64;

/// The entry's implementation of [`Dispatcher`].
pub(crate) struct EntryDispatcher {
    inner: Arc<Inner>,
}

/// State shared by the tasks that serve requests.
struct Inner {
    settings: EntrySettings,
    config: ConfigHandle,
    agents: ActorRef<AgentRegistry>,
    probe_selector: ActorRef<ProbeSelector>,
    team_limits: ActorRef<TeamLimitsActor>,
    retry_budget: ActorRef<RetryBudgetActor>,
    quarantine: ActorRef<QuarantineActor>,
    shutdown: Shutdown,
    /// Present during a graceful shutdown.
    drain: Arc<OnceLock<Drain>>,
}

impl EntryDispatcher {
    /// Creates a dispatcher and starts the actors that only it uses.
    pub(crate) fn new(
        settings: EntrySettings,
        config: ConfigHandle,
        agents: ActorRef<AgentRegistry>,
        shutdown: Shutdown,
        drain: Arc<OnceLock<Drain>>,
    ) -> EntryDispatcher {
        let probe_selector = ProbeSelector::spawn(ProbeSelector::default());
        let team_limits = TeamLimitsActor::spawn(TeamLimitsActor::new());
        let retry_budget = RetryBudgetActor::spawn(RetryBudgetActor::default());
        let log = Arc::new(HttpLog::new(settings.log_url.clone()));
        let quarantine = QuarantineActor::start(log);
        let inner = Inner {
            settings,
            config,
            agents,
            probe_selector,
            team_limits,
            retry_budget,
            quarantine,
            shutdown,
            drain,
        };
        EntryDispatcher { inner: Arc::new(inner) }
    }
}

impl Dispatcher for EntryDispatcher {
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>> {
        async move {
            let cfg = self.inner.config.current()?;
            let hash = KeyHash::new(&self.inner.settings.key_pepper, &key);
            cfg.team_by_key(&hash).map(|team| team.name.clone())
        }
        .boxed()
    }

    fn models(&self, team: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async move {
            let Some(cfg) = self.inner.config.current() else { return Vec::new() };
            let usable =
                cfg.selectors.values().filter(|s| s.teams.is_empty() || s.teams.contains(&team));
            let mut models: Vec<_> = usable.filter_map(|s| s.model.clone()).collect();
            models.sort();
            models.dedup();
            models
        }
        .boxed()
    }

    fn submit(&self, req: CallerRequest) -> AnswerReceiver {
        let (tx, rx) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
        let inner = self.inner.clone();
        tokio::spawn(async move {
            let error_tx = tx.clone();
            let (id, team) = (req.id, req.team.clone());
            let outcome = inner.serve_within_limits(req, tx).await;
            metrics::counter!(metrics_server::REQUESTS, "outcome" => outcome_label(&outcome))
                .increment(1);
            log::info!(request:% = id, team:%, outcome:? ; "request ended");
            if outcome != Outcome::Answered {
                let _ = error_tx.send(AnswerEvent::Error(outcome)).await;
            }
        });
        rx
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async move {
            if self.inner.shutdown.phase() != ShutdownPhase::Serving {
                return Readiness::NotReady("the entry is leaving".to_owned());
            }
            match self.inner.config.current().is_some() {
                true => Readiness::Ready,
                false => Readiness::NotReady("no configuration has been read yet".to_owned()),
            }
        }
        .boxed()
    }

    fn config_offset(&self) -> Option<LogOffset> {
        self.inner.config.current().map(|cfg| cfg.offset)
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun { reason, .. } => reason.as_str(),
        Outcome::Unknown { .. } => "unknown",
        Outcome::Failed { .. } => "failed",
    }
}
