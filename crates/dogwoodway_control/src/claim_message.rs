//! Messages exchanged between a [`Claimer`](crate::Claimer), the log and the attempts.

use dogwoodway_types::{AttemptId, ClaimRequest, LogOffset, Timestamp};

use crate::claim::{ClaimRecord, RecordedResponse};

/// An attempt at a request that carries an idempotency key and must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Key and content of the request.
    pub request: ClaimRequest,
    /// Latest time at which the attempt may start.
    pub start_before: Timestamp,
    /// Deadline of the request; the caller no longer waits for a response after it.
    pub deadline: Timestamp,
}

/// The decision on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Run the attempt and call [`Claimer::finish`](crate::Claimer::finish) when it has ended.
    Run,
    /// Return the recorded response of an earlier attempt to the caller.
    Replay(RecordedResponse),
    /// Refuse the attempt without running it.
    Refuse(ClaimRefusal),
}

/// The reason for refusing an attempt; a refused attempt has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The claim could not be settled on the log in time.
    LogUnavailable,
    /// The attempt arrived after its `start_before`.
    TooLate,
    /// The key was used for a request with different content.
    KeyReused,
    /// Another attempt at the request may run or may have run.
    AlreadyStarted,
    /// Another attempt at the request has run, and its response was not recorded.
    ResponseNotRecorded,
}

/// The outcome of an attempt whose decision was [`ClaimDecision::Run`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt has run; the response is absent if it cannot be recorded.
    Completed(Option<RecordedResponse>),
    /// The attempt was not sent to the backend server.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// A call to the log. A claimer has at most one call in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogCall {
    /// Append these records as one batch.
    Append(Vec<ClaimRecord>),
    /// Read records from this offset on.
    Read(LogOffset),
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are on the log; the first one has this offset.
    Appended(LogOffset),
    /// The records may be on the log; the response was lost.
    Unknown,
    /// The records are not on the log.
    NotAppended,
}
