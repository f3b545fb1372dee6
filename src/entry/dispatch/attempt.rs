//! Runs one attempt of a request on an agent.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::AnswerEvent;
use dogwoodway_peer::{AgentApi, FramesReply, PeerError, RunRequest, SettleReply, StartReply};
use dogwoodway_routing::answer_stream::StreamEvent;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, EngineIncarnation, Frame, LogOffset, NotRunReason, Outcome,
    Timestamp,
};

use crate::{
    clock::sleep_until,
    entry::{dispatch::progress::Progress, idempotency},
};

/// Time without any reply after which an agent counts as lost.
const AGENT_SILENT_MS: u64 = 3_000;

/// Pause before an agent is asked again after its link was lost.
const RELINK_PAUSE_MS: u64 = 50;

/// Times that an agent is asked what became of an attempt.
const SETTLE_TRIES: u32 = 3;

/// Time after which an agent is told that a slow caller's answer is still wanted.
const KEEP_ALIVE_MS: u64 = 2_000;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    /// The request has its final outcome.
    Done(Outcome),
    /// There is no backend server to try.
    NoServer,
    /// The retry budget is used up.
    NoBudget,
    /// The attempt was not run; another agent may be tried.
    NotRun { reason: NotRunReason, retry_at: Option<Timestamp> },
    /// An agent applies the configuration at this position, which this entry has not seen.
    Behind(LogOffset),
    /// The backend server, the agent or the link was lost after the start.
    Lost(String),
}

/// An attempt at an agent, as far as needed to ask for it.
struct Attempt {
    link: Arc<dyn AgentApi>,
    id: AttemptId,
    agent: AgentIncarnation,
    engine: Option<EngineIncarnation>,
    start_before: Timestamp,
}

/// Starts an attempt and delivers its frames; leaves nothing running behind.
pub(super) async fn run_attempt(
    link: Arc<dyn AgentApi>,
    run: RunRequest,
    progress: &mut Progress,
) -> AttemptEnd {
    let (id, agent, start_before) = (run.attempt, run.agent, run.start_before);
    let engine = run.engine;
    let attempt = Attempt { link, id, agent, engine, start_before };
    let earlier_may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    progress.stream.begin_attempt(id);
    let end = match attempt.start(run).await {
        Ok(()) => attempt.follow(progress).await,
        Err(end) => end,
    };
    match &end {
        AttemptEnd::Done(Outcome::Answered) => {}
        AttemptEnd::NotRun { .. }
        | AttemptEnd::NoServer
        | AttemptEnd::NoBudget
        | AttemptEnd::Behind(_) => {
            progress.may_have_run = earlier_may_have_run;
        }
        AttemptEnd::Done(_) | AttemptEnd::Lost(_) => attempt.abandon(),
    }
    end
}

impl Attempt {
    /// Sends the attempt to its agent; fails with the attempt's end if it does not run there.
    async fn start(&self, run: RunRequest) -> Result<(), AttemptEnd> {
        match self.link.start(run).await {
            Ok(StartReply::Accepted) => Ok(()),
            Ok(StartReply::NotRun { reason, retry_at }) => {
                Err(AttemptEnd::NotRun { reason, retry_at })
            }
            Ok(StartReply::Forgotten) => Err(AttemptEnd::Lost("the start came late".to_owned())),
            Err(PeerError::Unreachable(_) | PeerError::NotReady(_)) => Err(overloaded()),
            Err(PeerError::Lost(message)) => self.settle(message).await,
        }
    }

    /// Asks what became of an attempt whose start has no answer.
    async fn settle(&self, message: String) -> Result<(), AttemptEnd> {
        for _ in 0..SETTLE_TRIES {
            match self.link.settle(self.id, self.agent, self.start_before).await {
                Ok(SettleReply::Started) => return Ok(()),
                Ok(SettleReply::NotStarted) => return Err(overloaded()),
                Ok(SettleReply::OtherIncarnation | SettleReply::Forgotten) => break,
                Err(_) => tokio::time::sleep(Duration::from_millis(RELINK_PAUSE_MS)).await,
            }
        }
        Err(AttemptEnd::Lost(message))
    }

    /// Delivers the attempt's frames until it ends.
    async fn follow(&self, progress: &mut Progress) -> AttemptEnd {
        let mut silent_at = Timestamp::now() + Duration::from_millis(AGENT_SILENT_MS);
        loop {
            let reply = tokio::select! {
                reply = self.link.frames(self.id, progress.stream.next_seq()) => reply,
                outcome = progress.interrupted() => return AttemptEnd::Done(outcome),
                () = sleep_until(silent_at) => return lost("the agent is silent"),
            };
            match reply {
                Ok(FramesReply::Frames { attempt, frames }) => {
                    for frame in frames {
                        if let Some(end) = self.deliver(attempt, frame, progress).await {
                            return end;
                        }
                    }
                    silent_at = Timestamp::now() + Duration::from_millis(AGENT_SILENT_MS);
                }
                Ok(FramesReply::NoAttempt) => return lost("the agent knows the attempt no more"),
                Err(e) if Timestamp::now() >= silent_at => return lost(&e.to_string()),
                Err(_) => tokio::time::sleep(Duration::from_millis(RELINK_PAUSE_MS)).await,
            }
        }
    }

    /// Hands a frame to the caller; returns the end of the attempt if it was the last.
    async fn deliver(
        &self,
        attempt: AttemptId,
        frame: Frame,
        progress: &mut Progress,
    ) -> Option<AttemptEnd> {
        let event = match progress.stream.accept(attempt, frame) {
            StreamEvent::Ignored => return None,
            StreamEvent::Started { cached_tokens } => AnswerEvent::Started { cached_tokens },
            StreamEvent::Text(text) => AnswerEvent::Text(text),
            StreamEvent::Response { status, content_type, body } => {
                AnswerEvent::Response { status, content_type, body }
            }
            StreamEvent::Complete { finish, usage } => {
                let end = AnswerEvent::End { finish, usage };
                let answered = AttemptEnd::Done(Outcome::Answered);
                return self.send(end, progress).await.or(Some(answered));
            }
            StreamEvent::Ended { outcome, .. }
                if progress.claim.is_some() && idempotency::is_final(&outcome) =>
            {
                return Some(AttemptEnd::Done(outcome));
            }
            StreamEvent::Ended { outcome: Outcome::NotRun { reason, retry_at }, .. } => {
                return Some(AttemptEnd::NotRun { reason, retry_at });
            }
            StreamEvent::Ended { outcome, backend_lost } => {
                progress.crashed = self.engine.filter(|_| backend_lost);
                return Some(lost(&format!("{outcome:?}")));
            }
            StreamEvent::Broken(fault) => return Some(lost(&fault.to_string())),
        };
        self.send(event, progress).await
    }

    /// Waits until the caller takes an event, and tells the agent meanwhile that it is wanted.
    async fn send(&self, event: AnswerEvent, progress: &Progress) -> Option<AttemptEnd> {
        loop {
            tokio::select! {
                Ok(permit) = progress.tx.reserve() => {
                    permit.send(event);
                    return None;
                }
                outcome = progress.interrupted() => return Some(AttemptEnd::Done(outcome)),
                () = tokio::time::sleep(Duration::from_millis(KEEP_ALIVE_MS)) => {
                    let (link, id, seq) = (self.link.clone(), self.id, progress.stream.next_seq());
                    tokio::spawn(async move { link.frames(id, seq).await });
                }
            }
        }
    }

    /// Ends the attempt at its agent and engine, also if its start is still under way.
    fn abandon(&self) {
        let (link, id) = (self.link.clone(), self.id);
        let (agent, start_before) = (self.agent, self.start_before);
        tokio::spawn(async move {
            let _ = link.settle(id, agent, start_before).await;
            let _ = link.cancel(id).await;
        });
    }
}

/// The end of an attempt that no agent took.
pub(super) fn overloaded() -> AttemptEnd {
    AttemptEnd::NotRun { reason: NotRunReason::Overloaded, retry_at: None }
}

fn lost(message: &str) -> AttemptEnd {
    AttemptEnd::Lost(message.to_owned())
}
