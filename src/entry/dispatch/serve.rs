//! Takes a request through its attempts.

use std::time::Duration;

use dogwoodway_caller::{AnswerEvent, CallerRequest, CallerWork};
use dogwoodway_peer::{BackendKind, RunRequest};
use dogwoodway_types::{AttemptId, ClassName, NotRunReason, Outcome, Timestamp};
use tokio::sync::mpsc;

use crate::entry::{
    dispatch::{
        Core,
        attempt::{AttemptEnd, run_attempt},
        placement::place,
        progress::Progress,
    },
    router::FindEligible,
};

/// Attempts that one request may have.
const MAX_ATTEMPTS: u32 = 4;

/// Time in which an attempt must start after it was sent.
const START_LIMIT_MS: u64 = 2_000;

/// Time for an answer when no traffic class states one.
const DEFAULT_ANSWER_MS: u64 = 60_000;

const DEFAULT_CLASS: &str = "default";

impl Core {
    /// Runs a request and returns its outcome; all events but a last error go to `tx`.
    pub(super) async fn serve(&self, req: CallerRequest, tx: mpsc::Sender<AnswerEvent>) -> Outcome {
        let Some(cfg) = self.config.borrow().clone() else {
            return not_run(NotRunReason::NoConfiguration);
        };
        let class = match &req.work {
            CallerWork::Service(call) => cfg.class_of_path(&call.path),
            CallerWork::Chat { .. } => req.class.as_ref().and_then(|name| cfg.classes.get(name)),
        };
        let answer_ms = class.map_or(DEFAULT_ANSWER_MS, |c| u64::from(c.answer_within_ms));
        let class_deadline = Timestamp::now() + Duration::from_millis(answer_ms);
        let is_chat = matches!(req.work, CallerWork::Chat { .. });
        let mut progress = Progress {
            tx,
            deadline: req.deadline.map_or(class_deadline, |d| d.min(class_deadline)),
            repeatable: class.map_or(is_chat, |c| c.repeatable),
            started: false,
            delivered: Vec::new(),
        };
        let class = class.map(|c| c.name.clone());
        let class = class.or_else(|| ClassName::try_from(DEFAULT_CLASS).ok());
        let Some(class) = class else { return not_run(NotRunReason::NoBackendServer) };
        let mut reason = NotRunReason::NoBackendServer;
        for _ in 0..MAX_ATTEMPTS {
            if Timestamp::now() >= progress.deadline {
                reason = NotRunReason::DeadlinePassed;
                break;
            }
            match self.attempt(&req, &class, &mut progress).await {
                AttemptEnd::Done(outcome) => return outcome,
                AttemptEnd::NotRun(why) => reason = why,
                AttemptEnd::Lost(message) if progress.repeatable => {
                    log::warn!(request:% = req.id, team:% = req.team; "attempt lost: {message}");
                }
                AttemptEnd::Lost(message) => return Outcome::Unknown { message },
            }
        }
        match progress.started {
            true => Outcome::Failed { message: format!("the answer broke off: {reason}") },
            false => not_run(reason),
        }
    }

    async fn attempt(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        progress: &mut Progress,
    ) -> AttemptEnd {
        let model = match &req.work {
            CallerWork::Chat { model, .. } => Some(model.clone()),
            CallerWork::Service(_) => None,
        };
        let find = FindEligible { team: req.team.clone(), class: class.clone(), model };
        let Ok(Some(eligible)) = self.router.ask(find).await else {
            return AttemptEnd::NotRun(NotRunReason::NoBackendServer);
        };
        let Some((agent, probe, work)) = place(&self.placer, req, &eligible, progress).await else {
            return AttemptEnd::NotRun(NotRunReason::NoBackendServer);
        };
        let engine = match &probe.kind {
            BackendKind::Engine { incarnation, .. } => *incarnation,
            BackendKind::Service => None,
        };
        let run = RunRequest {
            attempt: AttemptId(rand::random()),
            request: req.id,
            team: req.team.clone(),
            priority: eligible.priority,
            start_before: Timestamp::now() + Duration::from_millis(START_LIMIT_MS),
            deadline: progress.deadline,
            config_offset: eligible.config.offset,
            agent: probe.agent,
            engine,
            work,
        };
        run_attempt(&*agent.link, run, progress).await
    }
}

fn not_run(reason: NotRunReason) -> Outcome {
    Outcome::NotRun { reason, retry_at: Some(Timestamp::now() + Duration::from_secs(1)) }
}
