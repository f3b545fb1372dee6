//! Takes a request through its attempts.

use std::time::Duration;

use dogwoodway_caller::{AnswerEvent, CallerRequest, CallerWork};
use dogwoodway_peer::{BackendKind, RunRequest};
use dogwoodway_routing::{answer_stream::AnswerStream, quarantine::QuarantineStatus};
use dogwoodway_types::{
    AttemptId, ClassName, NotRunReason, Outcome, Timestamp, WeightsVersion, Work,
};
use tokio::sync::mpsc;

use crate::{
    entry::{
        dispatch::{
            Core,
            attempt::{AttemptEnd, overloaded, run_attempt},
            placement::place,
            progress::{Progress, not_run},
            retries::Retries,
        },
        idempotency,
        quarantine::{AskStanding, Crash, Note, QuarantineRecord},
        retry_budget::{NoteFirst, TakeRetry},
        router::{Eligible, EligibleAgent, FindEligible},
    },
    metrics_server,
    shutdown::ShutdownPhase,
};

/// Time in which an attempt must start after it was sent.
const START_LIMIT_MS: u64 = 2_000;

/// Longest wait for a configuration that an agent has and this entry has not.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Time for an answer when no traffic class states one.
const DEFAULT_ANSWER_MS: u64 = 60_000;

const DEFAULT_CLASS: &str = "default";

impl Core {
    /// Runs a request and returns its outcome; all events but a last error go to `tx`.
    pub(super) async fn serve(&self, req: CallerRequest, tx: mpsc::Sender<AnswerEvent>) -> Outcome {
        let Some(cfg) = self.config.current() else {
            return not_run(NotRunReason::NoConfiguration, None);
        };
        if self.shutdown.phase() == ShutdownPhase::Aborting {
            return not_run(NotRunReason::Leaving, None);
        }
        let class = match &req.work {
            CallerWork::Service(call) => cfg.class_for_path(&call.path),
            CallerWork::Chat { .. } => req.class.as_ref().and_then(|name| cfg.classes.get(name)),
        };
        let answer_ms = class.map_or(DEFAULT_ANSWER_MS, |c| u64::from(c.answer_within_ms));
        let class_deadline = Timestamp::now() + Duration::from_millis(answer_ms);
        let (is_chat, max_tokens) = match &req.work {
            CallerWork::Chat { max_tokens, .. } => (true, *max_tokens),
            CallerWork::Service(_) => (false, 0),
        };
        let repeatable = class.map_or(is_chat, |c| c.repeatable);
        let mut progress = Progress {
            tx,
            shutdown: self.shutdown.clone(),
            deadline: req.deadline.map_or(class_deadline, |d| d.min(class_deadline)),
            repeatable,
            claim: idempotency::claim_of(&req, repeatable),
            stream: AnswerStream::new(max_tokens),
            may_have_run: false,
            fingerprint: idempotency::fingerprint(&req.team, &req.work),
            crashed: None,
            avoid: Vec::new(),
        };
        let class = class.map(|c| c.name.clone());
        let class = class.or_else(|| ClassName::try_from(DEFAULT_CLASS).ok());
        match class {
            Some(class) => self.run_attempts(&req, &class, &mut progress).await,
            None => not_run(NotRunReason::NoBackendServer, None),
        }
    }

    /// Makes attempts until the request has an outcome.
    async fn run_attempts(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        progress: &mut Progress,
    ) -> Outcome {
        let _ = self.retries.tell(NoteFirst).await;
        let mut retries = Retries::default();
        let (mut reason, mut come_back_at) = (NotRunReason::NoBackendServer, None);
        loop {
            if Timestamp::now() >= progress.deadline {
                reason = NotRunReason::DeadlinePassed;
                break;
            }
            let standing = self.standing(progress).await;
            if let QuarantineStatus::Quarantined { until } = standing {
                return quarantined(progress, until);
            }
            let is_suspect = standing == QuarantineStatus::Suspect;
            let end = self.attempt(req, class, retries.is_retry(), is_suspect, progress).await;
            self.note_crash(progress).await;
            match &end {
                AttemptEnd::Done(outcome) => {
                    if is_suspect && *outcome == Outcome::Answered {
                        let cleared = QuarantineRecord::Answered(progress.fingerprint);
                        let _ = self.quarantine.tell(Note(cleared)).await;
                    }
                    return outcome.clone();
                }
                AttemptEnd::NotRun { reason: why, retry_at } => {
                    (reason, come_back_at) = (*why, *retry_at);
                }
                AttemptEnd::Behind(position) => {
                    reason = NotRunReason::StaleConfiguration;
                    let limit = progress.deadline.min(Timestamp::now() + CONFIG_WAIT);
                    self.config.wait_for(*position, limit).await;
                }
                AttemptEnd::NoServer => reason = NotRunReason::NoBackendServer,
                AttemptEnd::NoBudget => reason = NotRunReason::Overloaded,
                AttemptEnd::Lost(message) => {
                    log::warn!(request:% = req.id, team:% = req.team; "attempt lost: {message}");
                    if !progress.repeatable {
                        return progress.given_up(reason, message);
                    }
                }
            }
            if !retries.note(Timestamp::now(), &end) {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(retries.pause()) => {}
                outcome = progress.interrupted() => return outcome,
            }
        }
        match progress.given_up(reason, &broken_off(progress, reason)) {
            Outcome::NotRun { reason, .. } => not_run(reason, come_back_at),
            outcome => outcome,
        }
    }

    /// Tells of a crash of the engine that ran the last attempt.
    async fn note_crash(&self, progress: &mut Progress) {
        if let Some(engine) = progress.crashed.take() {
            let crash = Crash { at: Timestamp::now(), request: progress.fingerprint, engine };
            let _ = self.quarantine.tell(Note(QuarantineRecord::Crash(crash))).await;
        }
    }

    /// Asks what is known against a request.
    async fn standing(&self, progress: &Progress) -> QuarantineStatus {
        let standing = self.quarantine.ask(AskStanding(progress.fingerprint)).await;
        standing.map_or(QuarantineStatus::Clear, |standing| *standing)
    }

    /// Makes one attempt.
    async fn attempt(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        is_retry: bool,
        is_suspect: bool,
        progress: &mut Progress,
    ) -> AttemptEnd {
        let model = match &req.work {
            CallerWork::Chat { model, .. } => Some(model.clone()),
            CallerWork::Service(_) => None,
        };
        let find = FindEligible { team: req.team.clone(), class: class.clone(), model };
        let Ok(Some(mut eligible)) = self.router.ask(find).await else {
            return AttemptEnd::NoServer;
        };
        restrict(&mut eligible, progress);
        if eligible.agents.is_empty() {
            return AttemptEnd::NoServer;
        }
        let Some((agent, probe, work)) = place(&self.placer, req, &eligible, progress).await else {
            return overloaded();
        };
        if probe.config_offset > eligible.config.offset {
            return AttemptEnd::Behind(probe.config_offset);
        }
        progress.avoid.push(agent.name.clone());
        if !continues(&work, progress.stream.version()) {
            let reason = NotRunReason::StaleBackendServer;
            return AttemptEnd::NotRun { reason, retry_at: None };
        }
        if is_retry && !matches!(self.retries.ask(TakeRetry).await, Ok(true)) {
            metrics::counter!(metrics_server::RETRIES_DENIED).increment(1);
            return AttemptEnd::NoBudget;
        }
        metrics::counter!(metrics_server::ATTEMPTS).increment(1);
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
            claim: progress.claim,
            is_suspect,
            work,
        };
        run_attempt(agent.link.clone(), run, progress).await
    }
}

/// The outcome of a request that must not run before `until`.
fn quarantined(progress: &Progress, until: Timestamp) -> Outcome {
    match progress.may_have_run || progress.stream.has_started() {
        false => not_run(NotRunReason::Quarantined, Some(until)),
        true => {
            let message = "backend servers crashed while they ran the request; it is quarantined";
            Outcome::Failed { message: message.to_owned() }
        }
    }
}

/// Leaves only agents that can continue the answer, and those not tried yet if there are any.
fn restrict(eligible: &mut Eligible, progress: &Progress) {
    if let Some(version) = progress.stream.version() {
        eligible.agents.retain(|agent| runs_version(agent, version));
    }
    let is_new = |agent: &EligibleAgent| !progress.avoid.contains(&agent.name);
    if eligible.agents.iter().any(is_new) {
        eligible.agents.retain(is_new);
    }
}

fn runs_version(agent: &EligibleAgent, wanted: WeightsVersion) -> bool {
    match &agent.description.kind {
        BackendKind::Engine { version, .. } => *version == wanted,
        BackendKind::Service => false,
    }
}

/// Tells whether work can continue an answer whose tokens are of the weights `version`.
fn continues(work: &Work, version: Option<WeightsVersion>) -> bool {
    match (work, version) {
        (Work::Chat(chat), Some(version)) => chat.version == version,
        _ => true,
    }
}

fn broken_off(progress: &Progress, reason: NotRunReason) -> String {
    match (progress.stream.version(), reason) {
        (Some(version), NotRunReason::NoBackendServer) => {
            format!("no backend server continues the answer on weights version {}", version.0)
        }
        _ => format!("the answer broke off: {reason}"),
    }
}
