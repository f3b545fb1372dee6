//! Runs one attempt of a request on an agent.

use dogwoodway_caller::AnswerEvent;
use dogwoodway_peer::{AgentApi, FramesReply, PeerError, RunRequest, SettleReply, StartReply};
use dogwoodway_types::{FrameKind, NotRunReason, Outcome};

use crate::entry::dispatch::progress::Progress;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    Done(Outcome),
    /// The attempt was not run; another agent may be tried.
    NotRun(NotRunReason),
    /// The backend server or the link was lost after the start.
    Lost(String),
}

/// Starts an attempt and delivers its frames.
pub(super) async fn run_attempt(
    link: &dyn AgentApi,
    run: RunRequest,
    progress: &mut Progress,
) -> AttemptEnd {
    let (id, agent, start_before) = (run.attempt, run.agent, run.start_before);
    match link.start(run).await {
        Ok(StartReply::Accepted) => {}
        Ok(StartReply::NotRun { reason, .. }) => return AttemptEnd::NotRun(reason),
        Err(PeerError::Unreachable(_) | PeerError::NotReady(_)) => {
            return AttemptEnd::NotRun(NotRunReason::Overloaded);
        }
        Err(PeerError::Lost(message)) => match link.settle(id, agent, start_before).await {
            Ok(SettleReply::Started) => {}
            Ok(SettleReply::NotStarted) => return AttemptEnd::NotRun(NotRunReason::Overloaded),
            Ok(SettleReply::OtherIncarnation) | Err(_) => return AttemptEnd::Lost(message),
        },
    }
    let mut next_seq = 0;
    loop {
        let reply = tokio::select! {
            reply = link.frames(id, next_seq) => reply,
            () = progress.tx.closed() => {
                let _ = link.cancel(id).await;
                return AttemptEnd::Done(Outcome::Failed { message: "the caller left".to_owned() });
            }
        };
        let frames = match reply {
            Ok(FramesReply::Frames(frames)) => frames,
            Ok(FramesReply::NoAttempt) => return AttemptEnd::Lost("agent restarted".to_owned()),
            Err(e) => return AttemptEnd::Lost(e.to_string()),
        };
        for frame in frames {
            if frame.seq != next_seq {
                return AttemptEnd::Lost(format!("frame {} came for {next_seq}", frame.seq));
            }
            next_seq += 1;
            if let Some(end) = deliver(frame.kind, progress).await {
                return end;
            }
        }
    }
}

/// Hands a frame to the caller; returns the end of the attempt if it was the last.
async fn deliver(kind: FrameKind, progress: &mut Progress) -> Option<AttemptEnd> {
    let event = match kind {
        FrameKind::Started { cached_tokens, .. } => {
            if std::mem::replace(&mut progress.started, true) {
                return None;
            }
            AnswerEvent::Started { cached_tokens }
        }
        FrameKind::Token { token, text } => {
            progress.delivered.push(token);
            AnswerEvent::Text(text)
        }
        FrameKind::Response { status, content_type, body } => {
            AnswerEvent::Response { status, content_type, body }
        }
        FrameKind::End { finish, usage } => {
            let _ = progress.tx.send(AnswerEvent::End { finish, usage }).await;
            return Some(AttemptEnd::Done(Outcome::Answered));
        }
        FrameKind::Error { outcome: Outcome::NotRun { reason, .. }, .. } => {
            return Some(AttemptEnd::NotRun(reason));
        }
        FrameKind::Error { outcome, backend_lost: true } => {
            return Some(AttemptEnd::Lost(format!("{outcome:?}")));
        }
        FrameKind::Error { outcome, backend_lost: false } => {
            return Some(AttemptEnd::Done(outcome));
        }
    };
    let _ = progress.tx.send(event).await;
    None
}
