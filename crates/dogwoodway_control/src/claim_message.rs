//! What passes between a [`Claimer`](crate::Claimer), the log and the attempts.

use dogwoodway_types::{AttemptId, ClaimRequest, LogOffset, Timestamp};

use crate::claim::{ClaimRecord, RecordedResponse};

/// An attempt at a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its request.
    pub request: ClaimRequest,
    /// The attempt must not start after this time.
    pub start_before: Timestamp,
    /// The answer is of no use after this time.
    pub deadline: Timestamp,
}

/// What an attempt is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Run; [`Claimer::finish`](crate::Claimer::finish) must be called after.
    Run,
    /// Hand the recorded answer to the caller.
    Replay(RecordedResponse),
    /// Refuse.
    Refuse(ClaimRefusal),
}

/// The reason why an attempt is refused; it has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The log is needed and could not be used in time.
    LogUnavailable,
    /// The attempt came after its `start_before`.
    TooLate,
    /// The key belongs to a request with another content.
    KeyReused,
    /// Another attempt at the request may run or may have run.
    AlreadyStarted,
    /// Another attempt at the request has run, and its answer is not kept.
    ResponseNotRecorded,
}

/// How an attempt ended that was told to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It has run; the answer is absent if it cannot be recorded.
    Completed(Option<RecordedResponse>),
    /// It was not handed to the backend server.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A call to the log; the claimer has at most one under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogCall {
    /// Append these records as one group.
    Append(Vec<ClaimRecord>),
    /// Read from this offset on.
    Read(LogOffset),
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are on the log, from this offset on.
    Appended(LogOffset),
    /// The records may be on the log.
    Unknown,
    /// The records are not on the log.
    NotAppended,
}
