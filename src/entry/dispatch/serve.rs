//! Serves an admitted request: makes attempts until it has an outcome.
//!
//! A repeatable request is retried after a lost attempt. Any request is retried after an attempt
//! that was not run.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::{AnswerEvent, CallerRequest, CallerWork};
use dogwoodway_peer::{BackendKind, StartRequest};
use dogwoodway_routing::{
    answer_stream::AnswerStream, part_blame::PartKey, quarantine::QuarantineStatus,
};
use dogwoodway_types::{
    AttemptId, ClassName, NotRunReason, Outcome, Timestamp, WeightsVersion, Work,
};
use tokio::sync::mpsc;

use crate::{
    entry::{
        agent_registry::{EligibleAgent, EligibleAgents, FindEligible},
        dispatch::{
            Inner,
            attempt::{AttemptResult, overloaded, run_attempt},
            placement::place,
            request_state::{RequestState, not_run},
            retry_state::RetryState,
        },
        idempotency,
        quarantine::{
            Crash, GetStatus, PublishRecord, QuarantineRecord, RecordPartAnswer, RecordPartCrash,
        },
        retry_budget::{RecordFirstAttempt, TakeRetry},
    },
    metrics_server,
    shutdown::ShutdownPhase,
};

/// Time in milliseconds after which an agent no longer starts an attempt that was sent to it.
const START_TIMEOUT_MS: u64 = 2_000;

/// Maximum time to wait for a configuration that an agent applies and this entry has not received.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Time limit in milliseconds for an answer, if the request has no traffic class.
const DEFAULT_ANSWER_TIMEOUT_MS: u64 = 60_000;

/// Name under which selectors are looked up for a request without a traffic class.
const DEFAULT_CLASS_NAME: &str = "default";

impl Inner {
    /// Runs a request and returns its outcome.
    ///
    /// Sends the events of the answer to `tx`, except the final error.
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
        let answer_ms = class.map_or(DEFAULT_ANSWER_TIMEOUT_MS, |c| u64::from(c.answer_within_ms));
        let now = Timestamp::now();
        let class_deadline = now + Duration::from_millis(answer_ms);
        let deadline = req.deadline.map_or(class_deadline, |d| d.min(class_deadline));
        let Some(deadline) = self.drain.get().map_or(Some(deadline), |d| d.deadline(now, deadline))
        else {
            return not_run(NotRunReason::Leaving, None);
        };
        let (is_chat, max_tokens) = match &req.work {
            CallerWork::Chat { max_tokens, .. } => (true, *max_tokens),
            CallerWork::Service(_) => (false, 0),
        };
        let repeatable = class.map_or(is_chat, |c| c.repeatable);
        let mut state = RequestState {
            tx,
            shutdown: self.shutdown.clone(),
            deadline,
            repeatable,
            claim: idempotency::claim_request(&req, repeatable),
            stream: AnswerStream::new(max_tokens),
            software: None,
            may_have_run: false,
            fingerprint: idempotency::fingerprint(&req.team, &req.work),
            shared_parts: shared_parts(&req),
            model: model_key(&req),
            attempt_started_at: Timestamp::default(),
            progress_reported_at: Timestamp::default(),
            quarantine: self.quarantine.clone(),
            crashed_engine: None,
            tried: Vec::new(),
        };
        let class = class.map(|c| c.name.clone());
        let class = class.or_else(|| ClassName::try_from(DEFAULT_CLASS_NAME).ok());
        match class {
            Some(class) => self.run_attempts(&req, &class, &mut state).await,
            None => not_run(NotRunReason::NoBackendServer, None),
        }
    }

    /// Makes attempts until the request has an outcome.
    async fn run_attempts(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        state: &mut RequestState,
    ) -> Outcome {
        let _ = self.retry_budget.tell(RecordFirstAttempt).await;
        let mut retries = RetryState::default();
        let (mut reason, mut suggested_retry_at) = (NotRunReason::NoBackendServer, None);
        loop {
            if Timestamp::now() >= state.deadline {
                reason = NotRunReason::DeadlinePassed;
                break;
            }
            let status = self.quarantine_status(state).await;
            if let QuarantineStatus::Quarantined { until } = status {
                return quarantined(state, until);
            }
            let is_suspect = status == QuarantineStatus::Suspect;
            let result = self.attempt(req, class, retries.is_retry(), is_suspect, state).await;
            self.report_crash(state).await;
            match &result {
                AttemptResult::Final(outcome) => {
                    if *outcome == Outcome::Answered {
                        self.report_answer(is_suspect, state).await;
                    }
                    return outcome.clone();
                }
                AttemptResult::NotRun { reason: not_run_reason, retry_at } => {
                    (reason, suggested_retry_at) = (*not_run_reason, *retry_at);
                }
                AttemptResult::ConfigBehind(offset) => {
                    reason = NotRunReason::StaleConfiguration;
                    let limit = state.deadline.min(Timestamp::now() + MAX_CONFIG_WAIT);
                    self.config.wait_for(*offset, limit).await;
                }
                AttemptResult::NoServer => reason = NotRunReason::NoBackendServer,
                AttemptResult::RetryDenied => reason = NotRunReason::Overloaded,
                AttemptResult::Lost(message) => {
                    log::warn!(request:% = req.id, team:% = req.team; "attempt lost: {message}");
                    if !state.repeatable {
                        return state.abandoned_outcome(reason, message);
                    }
                }
            }
            if !retries.record(Timestamp::now(), &result) {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(retries.backoff()) => {}
                outcome = state.interrupted() => return outcome,
            }
        }
        match state.abandoned_outcome(reason, &failure_message(state, reason)) {
            Outcome::NotRun { reason, .. } => not_run(reason, suggested_retry_at),
            outcome => outcome,
        }
    }

    /// Reports to all entries a crash of the engine that ran the last attempt, if there was one.
    async fn report_crash(&self, state: &mut RequestState) {
        if let Some(engine) = state.crashed_engine.take() {
            let crashed_at = Timestamp::now();
            let crash = Crash { at: crashed_at, request: state.fingerprint, engine };
            let _ = self.quarantine.tell(PublishRecord(QuarantineRecord::Crash(crash))).await;
            let started_at = state.attempt_started_at;
            let parts = state.shared_parts.clone();
            let request = state.fingerprint;
            let crash = RecordPartCrash { engine, crashed_at, started_at, request, parts };
            let _ = self.quarantine.tell(crash).await;
        }
    }

    /// Reports to all entries that a request was answered, as far as that clears anything.
    async fn report_answer(&self, is_suspect: bool, state: &RequestState) {
        if is_suspect {
            let cleared = QuarantineRecord::Answered(state.fingerprint);
            let _ = self.quarantine.tell(PublishRecord(cleared)).await;
        }
        if let Some(model) = state.model {
            let started_at = state.attempt_started_at;
            let (request, parts) = (state.fingerprint, state.shared_parts.clone());
            let answer = RecordPartAnswer { started_at, request, model, parts };
            let _ = self.quarantine.tell(answer).await;
        }
    }

    /// Returns the quarantine status of the request.
    async fn quarantine_status(&self, state: &RequestState) -> QuarantineStatus {
        let (request, parts) = (state.fingerprint, state.shared_parts.clone());
        let status = self.quarantine.ask(GetStatus { request, parts }).await;
        status.map_or(QuarantineStatus::Clear, |status| *status)
    }

    /// Places the request and makes one attempt, if an agent accepts it and the retry budget allows
    /// it.
    async fn attempt(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        is_retry: bool,
        is_suspect: bool,
        state: &mut RequestState,
    ) -> AttemptResult {
        let model = match &req.work {
            CallerWork::Chat { model, .. } => Some(model.clone()),
            CallerWork::Service(_) => None,
        };
        let find = FindEligible { team: req.team.clone(), class: class.clone(), model };
        let Ok(Some(mut eligible)) = self.agents.ask(find).await else {
            return AttemptResult::NoServer;
        };
        restrict_candidates(&mut eligible, state);
        if eligible.agents.is_empty() {
            return AttemptResult::NoServer;
        }
        let Some((agent, probe, work)) = place(&self.probe_selector, req, &eligible, state).await
        else {
            return overloaded();
        };
        if probe.config_offset > eligible.config.offset {
            return AttemptResult::ConfigBehind(probe.config_offset);
        }
        state.tried.push(agent.name.clone());
        if !can_continue(&work, state.stream.version()) || !runs_software(&probe.kind, state) {
            let reason = NotRunReason::StaleBackendServer;
            return AttemptResult::NotRun { reason, retry_at: None };
        }
        if is_retry && !matches!(self.retry_budget.ask(TakeRetry).await, Ok(true)) {
            metrics::counter!(metrics_server::RETRIES_DENIED).increment(1);
            return AttemptResult::RetryDenied;
        }
        metrics::counter!(metrics_server::ATTEMPTS).increment(1);
        let (engine, software) = match &probe.kind {
            BackendKind::Engine { incarnation, software, .. } => {
                (*incarnation, Some(software.clone()))
            }
            BackendKind::Service => (None, None),
        };
        let start_req = StartRequest {
            attempt: AttemptId(rand::random()),
            request: req.id,
            team: req.team.clone(),
            priority: eligible.priority,
            start_before: Timestamp::now() + Duration::from_millis(START_TIMEOUT_MS),
            deadline: state.deadline,
            config_offset: eligible.config.offset,
            agent: probe.agent,
            engine,
            claim: state.claim,
            is_suspect,
            work,
        };
        state.attempt_started_at = Timestamp::now();
        run_attempt(agent.client.clone(), start_req, software, state).await
    }
}

/// Returns the keys of the messages that other prompts of the team may share: all but the last.
fn shared_parts(req: &CallerRequest) -> Arc<[PartKey]> {
    let CallerWork::Chat { model, messages, .. } = &req.work else { return Arc::default() };
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|message| PartKey::new(model, Some(&req.team), &message.content)).collect()
}

/// Returns the key of the model of a chat.
fn model_key(req: &CallerRequest) -> Option<PartKey> {
    match &req.work {
        CallerWork::Chat { model, .. } => Some(PartKey::of_model(model)),
        _ => None,
    }
}

/// Returns the outcome of a request that must not run before `until`.
fn quarantined(state: &RequestState, until: Timestamp) -> Outcome {
    match state.may_have_run || state.stream.has_started() {
        false => not_run(NotRunReason::Quarantined, Some(until)),
        true => {
            let message = "backend servers crashed while they ran the request; it is quarantined";
            Outcome::Failed { message: message.to_owned() }
        }
    }
}

/// Keeps only the agents that can continue the answer, and of these the untried ones if there are
/// any.
fn restrict_candidates(eligible: &mut EligibleAgents, state: &RequestState) {
    if let Some(version) = state.stream.version() {
        eligible.agents.retain(|agent| runs_version(agent, version));
    }
    eligible.agents.retain(|agent| runs_software(&agent.description.kind, state));
    let is_untried = |agent: &EligibleAgent| !state.tried.contains(&agent.name);
    if eligible.agents.iter().any(is_untried) {
        eligible.agents.retain(is_untried);
    }
}

fn runs_version(agent: &EligibleAgent, wanted: WeightsVersion) -> bool {
    match &agent.description.kind {
        BackendKind::Engine { version, .. } => *version == wanted,
        BackendKind::Service => false,
    }
}

/// Returns whether a backend server has the software that began the answer. What two software
/// versions generate does not fit together.
fn runs_software(kind: &BackendKind, state: &RequestState) -> bool {
    match (kind, &state.software) {
        (BackendKind::Engine { software, .. }, Some(wanted)) => software == wanted,
        _ => true,
    }
}

/// Returns whether `work` can continue an answer whose tokens come from weights version `version`.
fn can_continue(work: &Work, version: Option<WeightsVersion>) -> bool {
    match (work, version) {
        (Work::Chat(chat), Some(version)) => chat.version == version,
        _ => true,
    }
}

/// Returns the message for a request whose attempts may have run but gave no complete answer.
fn failure_message(state: &RequestState, reason: NotRunReason) -> String {
    match (state.stream.version(), reason) {
        (Some(version), NotRunReason::NoBackendServer) => format!(
            "no backend server continues the answer on weights version {} and software version {}",
            version.0,
            state.software.clone().unwrap_or_default()
        ),
        _ => format!("the answer broke off: {reason}"),
    }
}
