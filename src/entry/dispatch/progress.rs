//! Where a request stands between its attempts.

use std::time::Duration;

use dogwoodway_caller::AnswerEvent;
use dogwoodway_routing::answer_stream::AnswerStream;
use dogwoodway_types::{
    BackendServerName, ClaimRequest, EngineIncarnation, NotRunReason, Outcome, RequestFingerprint,
    Timestamp,
};
use tokio::sync::mpsc;

use crate::{
    clock::sleep_until,
    shutdown::{Shutdown, ShutdownPhase},
};

/// Bounds of the time after which a caller is told to come back, drawn at random for each.
const RETRY_AFTER_MS: std::ops::Range<u64> = 500..3_500;

/// Where a request stands between its attempts.
pub(super) struct Progress {
    pub(super) tx: mpsc::Sender<AnswerEvent>,
    pub(super) shutdown: Shutdown,
    pub(super) deadline: Timestamp,
    pub(super) repeatable: bool,
    /// What an agent must claim before it runs the request.
    pub(super) claim: Option<ClaimRequest>,
    pub(super) stream: AnswerStream,
    /// Whether an attempt was handed to a backend server, or may have been.
    pub(super) may_have_run: bool,
    /// Digest of the request's content.
    pub(super) fingerprint: RequestFingerprint,
    /// Engine that crashed while it ran the last attempt.
    pub(super) crashed: Option<EngineIncarnation>,
    /// Backend servers that have refused or lost an attempt of this request.
    pub(super) avoid: Vec<BackendServerName>,
}

impl Progress {
    /// Returns the outcome of a request that is given up.
    pub(super) fn given_up(&self, reason: NotRunReason, message: &str) -> Outcome {
        if self.stream.has_started() {
            return Outcome::Failed { message: message.to_owned() };
        }
        match self.may_have_run {
            true => Outcome::Unknown { message: message.to_owned() },
            false => not_run(reason, None),
        }
    }

    /// Resolves with the outcome of the request when there is no use in going on.
    pub(super) async fn interrupted(&self) -> Outcome {
        tokio::select! {
            () = self.tx.closed() => self.given_up(NotRunReason::Cancelled, "the caller left"),
            () = sleep_until(self.deadline) => {
                self.given_up(NotRunReason::DeadlinePassed, "the deadline passed")
            }
            () = self.shutdown.reached(ShutdownPhase::Aborting) => {
                self.given_up(NotRunReason::Leaving, "the entry had to stop")
            }
        }
    }
}

/// Builds the outcome of a request that was not run; the time to come back is no earlier than
/// `retry_at`.
pub(super) fn not_run(reason: NotRunReason, retry_at: Option<Timestamp>) -> Outcome {
    let pause = Duration::from_millis(rand::random_range(RETRY_AFTER_MS));
    let jittered = Timestamp::now().max(retry_at.unwrap_or_default()) + pause;
    Outcome::NotRun { reason, retry_at: Some(jittered) }
}
