//! State of a request across its attempts, and its outcome if it is abandoned.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::AnswerEvent;
use dogwoodway_routing::{answer_stream::AnswerStream, part_blame::PartKey};
use dogwoodway_types::{
    BackendServerName, ClaimRequest, EngineIncarnation, NotRunReason, Outcome, RequestFingerprint,
    SoftwareVersion, Timestamp,
};
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::{
    clock::sleep_until,
    entry::quarantine::{QuarantineActor, RecordPartProgress},
    shutdown::{Shutdown, ShutdownPhase},
};

/// Range in milliseconds of the random delay after which a refused caller is told to retry, so that
/// callers that are refused together do not retry together.
const RETRY_AFTER_MS: std::ops::Range<u64> = 500..3_500;

/// Least time between two reports that an answer goes on, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 500;

/// State of a request that is kept from one attempt to the next.
pub(super) struct RequestState {
    /// Events of the answer, to the caller; closed when the caller disconnects.
    pub(super) tx: mpsc::Sender<AnswerEvent>,
    pub(super) shutdown: Shutdown,
    /// Deadline of the caller or of the traffic class, whichever is earlier.
    pub(super) deadline: Timestamp,
    /// Whether the request may run again after an attempt that may have run it.
    pub(super) repeatable: bool,
    /// Claim that an agent must make before it runs the request, `None` if it need not be claimed.
    pub(super) claim: Option<ClaimRequest>,
    pub(super) stream: AnswerStream,
    /// Software of the engine that began the answer, `None` before the first token.
    pub(super) software: Option<SoftwareVersion>,
    /// Whether an attempt was passed to a backend server, or may have been.
    pub(super) may_have_run: bool,
    /// Digest of the request's content.
    pub(super) fingerprint: RequestFingerprint,
    /// Messages of the prompt that other prompts may share, in order.
    pub(super) shared_parts: Arc<[PartKey]>,
    /// Key of the model; absent if the request is no chat.
    pub(super) model: Option<PartKey>,
    /// When the last attempt began.
    pub(super) attempt_started_at: Timestamp,
    /// When it was last reported that the answer goes on.
    pub(super) progress_reported_at: Timestamp,
    pub(super) quarantine: ActorRef<QuarantineActor>,
    /// Engine that crashed while it ran the last attempt, until the crash is reported.
    pub(super) crashed_engine: Option<EngineIncarnation>,
    /// Backend servers that were chosen for an attempt of this request.
    pub(super) tried: Vec<BackendServerName>,
}

impl RequestState {
    /// Returns the outcome of a request that is abandoned for `reason` without a complete answer.
    pub(super) fn abandoned_outcome(&self, reason: NotRunReason, message: &str) -> Outcome {
        if self.stream.has_started() {
            return Outcome::Failed { message: message.to_owned() };
        }
        match self.may_have_run {
            true => Outcome::Unknown { message: message.to_owned() },
            false => not_run(reason, None),
        }
    }

    /// Reports that the answer of the last attempt goes on, at most every [`PROGRESS_INTERVAL_MS`].
    pub(super) async fn report_progress(&mut self) {
        let now = Timestamp::now();
        let since = self.progress_reported_at.max(self.attempt_started_at);
        let is_due = now - since >= Duration::from_millis(PROGRESS_INTERVAL_MS);
        if !is_due || self.shared_parts.is_empty() {
            return;
        }
        self.progress_reported_at = now;
        let (started_at, parts) = (self.attempt_started_at, self.shared_parts.clone());
        // What is read after a pause of this process may be from before a crash.
        let progress = RecordPartProgress { started_at, alive_at: since, parts };
        if let Err(e) = self.quarantine.tell(progress).await {
            log::warn!("could not report that an answer goes on: {e}");
        }
    }

    /// Resolves with the outcome of the request once the caller has disconnected, the deadline has
    /// passed or the entry aborts its requests.
    pub(super) async fn interrupted(&self) -> Outcome {
        tokio::select! {
            () = self.tx.closed() => {
                self.abandoned_outcome(NotRunReason::Cancelled, "the caller left")
            }
            () = sleep_until(self.deadline) => {
                self.abandoned_outcome(NotRunReason::DeadlinePassed, "the deadline passed")
            }
            () = self.shutdown.reached(ShutdownPhase::Aborting) => {
                self.abandoned_outcome(NotRunReason::Leaving, "the entry had to stop")
            }
        }
    }
}

/// Builds the outcome of a request that was not run, to be retried after a random delay and not
/// before `retry_at`.
pub(super) fn not_run(reason: NotRunReason, retry_at: Option<Timestamp>) -> Outcome {
    let delay = Duration::from_millis(rand::random_range(RETRY_AFTER_MS));
    let jittered = Timestamp::now().max(retry_at.unwrap_or_default()) + delay;
    Outcome::NotRun { reason, retry_at: Some(jittered) }
}
