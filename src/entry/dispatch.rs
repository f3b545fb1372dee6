//! Takes callers' requests to the agents of the fleet.

mod admission;
mod attempt;
#[cfg(feature = "baselines")]
mod baseline;
mod placement;
mod placer;
mod progress;
mod retries;
mod serve;

use std::sync::Arc;

use dogwoodway_caller::{Answer, AnswerEvent, CallerRequest, Dispatcher, Readiness};
use dogwoodway_log::HttpLog;
use dogwoodway_types::{KeyHash, LogOffset, ModelName, Outcome, TeamName};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::mpsc;

use crate::{
    config_follower::ConfigHandle,
    entry::{
        dispatch::placer::Placer, limits::Limits, quarantine::QuarantineActor,
        retry_budget::RetryBudgetActor, router::Router,
    },
    metrics_server,
    settings::EntrySettings,
    shutdown::{Shutdown, ShutdownPhase},
};

const ANSWER_EVENTS: usize = 64;

/// Runs callers' requests on the agents of the fleet.
pub(crate) struct EntryDispatcher {
    core: Arc<Core>,
}

struct Core {
    settings: EntrySettings,
    config: ConfigHandle,
    router: ActorRef<Router>,
    placer: ActorRef<Placer>,
    limits: ActorRef<Limits>,
    retries: ActorRef<RetryBudgetActor>,
    quarantine: ActorRef<QuarantineActor>,
    shutdown: Shutdown,
}

impl EntryDispatcher {
    /// Builds a dispatcher.
    pub(crate) fn new(
        settings: EntrySettings,
        config: ConfigHandle,
        router: ActorRef<Router>,
        shutdown: Shutdown,
    ) -> EntryDispatcher {
        let placer = Placer::spawn(Placer::default());
        let limits = Limits::spawn(Limits::new());
        let retries = RetryBudgetActor::spawn(RetryBudgetActor::default());
        let log = Arc::new(HttpLog::new(settings.log_url.clone()));
        let quarantine = QuarantineActor::start(log);
        let core = Core { settings, config, router, placer, limits, retries, quarantine, shutdown };
        EntryDispatcher { core: Arc::new(core) }
    }
}

impl Dispatcher for EntryDispatcher {
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>> {
        async move {
            let cfg = self.core.config.current()?;
            let hash = KeyHash::new(&self.core.settings.key_pepper, &key);
            cfg.team_by_key(&hash).map(|team| team.name.clone())
        }
        .boxed()
    }

    fn models(&self, team: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async move {
            let Some(cfg) = self.core.config.current() else { return Vec::new() };
            let usable =
                cfg.selectors.values().filter(|s| s.teams.is_empty() || s.teams.contains(&team));
            let mut models: Vec<_> = usable.filter_map(|s| s.model.clone()).collect();
            models.sort();
            models.dedup();
            models
        }
        .boxed()
    }

    fn submit(&self, req: CallerRequest) -> Answer {
        let (tx, rx) = mpsc::channel(ANSWER_EVENTS);
        let core = self.core.clone();
        tokio::spawn(async move {
            let closed = tx.clone();
            let (id, team) = (req.id, req.team.clone());
            let outcome = core.serve_within_limits(req, tx).await;
            metrics::counter!(metrics_server::REQUESTS, "outcome" => outcome_label(&outcome))
                .increment(1);
            log::info!(request:% = id, team:%, outcome:? ; "request ended");
            if outcome != Outcome::Answered {
                let _ = closed.send(AnswerEvent::Error(outcome)).await;
            }
        });
        rx
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async move {
            if self.core.shutdown.phase() != ShutdownPhase::Serving {
                return Readiness::NotReady("the entry is leaving".to_owned());
            }
            match self.core.config.current().is_some() {
                true => Readiness::Ready,
                false => Readiness::NotReady("no configuration has been read yet".to_owned()),
            }
        }
        .boxed()
    }

    fn config_position(&self) -> Option<LogOffset> {
        self.core.config.current().map(|cfg| cfg.offset)
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
