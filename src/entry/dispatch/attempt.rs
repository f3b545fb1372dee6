//! Runs one attempt of a request on an agent.
//!
//! The attempt is started with one call, and its frames are then read with further calls until the
//! last one. A lost connection to the agent does not end the attempt: the frames after the last one
//! received are requested again over a new connection.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::AnswerEvent;
use dogwoodway_peer::{AgentApi, FramesReply, PeerError, SettleReply, StartReply, StartRequest};
use dogwoodway_routing::answer_stream::StreamEvent;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, EngineIncarnation, Frame, LogOffset, NotRunReason, Outcome,
    SoftwareVersion, Timestamp,
};

use crate::{
    clock::sleep_until,
    entry::{dispatch::request_state::RequestState, idempotency},
};

/// Time in milliseconds without any reply after which an agent is considered lost.
const AGENT_REPLY_TIMEOUT_MS: u64 = 3_000;

/// Delay in milliseconds before a failed call to an agent is repeated.
const RECONNECT_DELAY_MS: u64 = 50;

/// Maximum number of calls to find out whether an attempt has started.
const MAX_SETTLE_CALLS: u32 = 3;

/// Interval in milliseconds at which frames are read while the caller is slow to take an event. An
/// agent cancels an attempt whose frames are not read.
const KEEP_ALIVE_INTERVAL_MS: u64 = 2_000;

/// Result of one attempt, or the reason why none was made.
pub(super) enum AttemptResult {
    /// The request has its final outcome.
    Final(Outcome),
    /// No backend server is eligible.
    NoServer,
    /// The retry budget is exhausted.
    RetryDenied,
    /// The attempt was not run, so another agent may be tried.
    NotRun { reason: NotRunReason, retry_at: Option<Timestamp> },
    /// The agent applies the configuration at this offset, which this entry has not received yet.
    ConfigBehind(LogOffset),
    /// The attempt may have run but gave no complete answer, for example because the backend
    /// server, the agent or the connection was lost.
    Lost(String),
}

/// Identifies an attempt in calls to its agent.
struct Attempt {
    client: Arc<dyn AgentApi>,
    id: AttemptId,
    agent: AgentIncarnation,
    engine: Option<EngineIncarnation>,
    /// Software of that engine, `None` for a plain service.
    software: Option<SoftwareVersion>,
    start_before: Timestamp,
}

/// Starts an attempt and delivers its frames to the caller.
///
/// An attempt that does not complete is cancelled at its agent, in the background.
pub(super) async fn run_attempt(
    client: Arc<dyn AgentApi>,
    req: StartRequest,
    software: Option<SoftwareVersion>,
    state: &mut RequestState,
) -> AttemptResult {
    let (id, agent, start_before) = (req.attempt, req.agent, req.start_before);
    let engine = req.engine;
    let attempt = Attempt { client, id, agent, engine, software, start_before };
    let may_have_run_before = std::mem::replace(&mut state.may_have_run, true);
    state.stream.begin_attempt(id);
    let result = match attempt.start(req).await {
        Ok(()) => attempt.relay_frames(state).await,
        Err(result) => result,
    };
    match &result {
        AttemptResult::Final(Outcome::Answered) => {}
        AttemptResult::NotRun { .. }
        | AttemptResult::NoServer
        | AttemptResult::RetryDenied
        | AttemptResult::ConfigBehind(_) => {
            state.may_have_run = may_have_run_before;
        }
        AttemptResult::Final(_) | AttemptResult::Lost(_) => attempt.abandon(),
    }
    result
}

impl Attempt {
    /// Sends the attempt to its agent; fails with the attempt's result if it does not run there.
    async fn start(&self, req: StartRequest) -> Result<(), AttemptResult> {
        match self.client.start(req).await {
            Ok(StartReply::Accepted) => Ok(()),
            Ok(StartReply::NotRun { reason, retry_at }) => {
                Err(AttemptResult::NotRun { reason, retry_at })
            }
            Ok(StartReply::Forgotten) => Err(AttemptResult::Lost("the start came late".to_owned())),
            Err(PeerError::Unreachable(_) | PeerError::NotReady(_)) => Err(overloaded()),
            Err(PeerError::Lost(message)) => self.settle(message).await,
        }
    }

    /// Finds out whether an attempt has started, after the reply to its start was lost.
    ///
    /// An attempt that has not started by then never will.
    async fn settle(&self, message: String) -> Result<(), AttemptResult> {
        for _ in 0..MAX_SETTLE_CALLS {
            match self.client.settle(self.id, self.agent, self.start_before).await {
                Ok(SettleReply::Started) => return Ok(()),
                Ok(SettleReply::NotStarted) => return Err(overloaded()),
                Ok(SettleReply::OtherIncarnation | SettleReply::Forgotten) => break,
                Err(_) => tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await,
            }
        }
        Err(AttemptResult::Lost(message))
    }

    /// Reads the attempt's frames and delivers them until the attempt ends.
    async fn relay_frames(&self, state: &mut RequestState) -> AttemptResult {
        let mut timeout_at = Timestamp::now() + Duration::from_millis(AGENT_REPLY_TIMEOUT_MS);
        loop {
            let reply = tokio::select! {
                reply = self.client.frames(self.id, state.stream.next_seq()) => reply,
                outcome = state.interrupted() => return AttemptResult::Final(outcome),
                () = sleep_until(timeout_at) => return lost("the agent is silent"),
            };
            match reply {
                Ok(FramesReply::Frames { attempt, frames }) => {
                    for frame in frames {
                        if let Some(result) = self.deliver(attempt, frame, state).await {
                            return result;
                        }
                    }
                    timeout_at = Timestamp::now() + Duration::from_millis(AGENT_REPLY_TIMEOUT_MS);
                }
                Ok(FramesReply::NoAttempt) => return lost("the agent knows the attempt no more"),
                Err(e) if Timestamp::now() >= timeout_at => return lost(&e.to_string()),
                Err(_) => tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await,
            }
        }
    }

    /// Delivers a frame to the caller; returns the result of the attempt if the frame ends it.
    async fn deliver(
        &self,
        attempt: AttemptId,
        frame: Frame,
        state: &mut RequestState,
    ) -> Option<AttemptResult> {
        let event = match state.stream.accept(attempt, frame) {
            StreamEvent::Ignored => return None,
            StreamEvent::Started { cached_tokens } => AnswerEvent::Started { cached_tokens },
            StreamEvent::Text(text) => {
                if state.software.is_none() {
                    state.software.clone_from(&self.software);
                }
                state.report_progress().await;
                AnswerEvent::Text(text)
            }
            StreamEvent::Response { status, content_type, body } => {
                AnswerEvent::Response { status, content_type, body }
            }
            StreamEvent::Complete { finish, usage } => {
                let end = AnswerEvent::End { finish, usage };
                let answered = AttemptResult::Final(Outcome::Answered);
                return self.send(end, state).await.or(Some(answered));
            }
            StreamEvent::Ended { outcome, .. }
                if state.claim.is_some() && idempotency::is_final(&outcome) =>
            {
                return Some(AttemptResult::Final(outcome));
            }
            StreamEvent::Ended { outcome: Outcome::NotRun { reason, retry_at }, .. } => {
                return Some(AttemptResult::NotRun { reason, retry_at });
            }
            StreamEvent::Ended { outcome, backend_lost } => {
                state.crashed_engine = self.engine.filter(|_| backend_lost);
                return Some(lost(&format!("{outcome:?}")));
            }
            StreamEvent::Broken(fault) => return Some(lost(&fault.to_string())),
        };
        self.send(event, state).await
    }

    /// Sends an event to the caller once there is room for it, and keeps the attempt alive
    /// meanwhile.
    ///
    /// Returns the result of the attempt if the request is interrupted before.
    async fn send(&self, event: AnswerEvent, state: &RequestState) -> Option<AttemptResult> {
        loop {
            tokio::select! {
                Ok(permit) = state.tx.reserve() => {
                    permit.send(event);
                    return None;
                }
                outcome = state.interrupted() => return Some(AttemptResult::Final(outcome)),
                () = tokio::time::sleep(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS)) => {
                    let (client, id, seq) = (self.client.clone(), self.id, state.stream.next_seq());
                    tokio::spawn(async move { client.frames(id, seq).await });
                }
            }
        }
    }

    /// Cancels the attempt at its agent, in the background.
    ///
    /// The settle call prevents a start that is still on its way from running.
    fn abandon(&self) {
        let (client, id) = (self.client.clone(), self.id);
        let (agent, start_before) = (self.agent, self.start_before);
        tokio::spawn(async move {
            let _ = client.settle(id, agent, start_before).await;
            let _ = client.cancel(id).await;
        });
    }
}

/// Returns the result of an attempt that no agent accepted.
pub(super) fn overloaded() -> AttemptResult {
    AttemptResult::NotRun { reason: NotRunReason::Overloaded, retry_at: None }
}

fn lost(message: &str) -> AttemptResult {
    AttemptResult::Lost(message.to_owned())
}
