//! The tasks of running attempts, and the time limits for their progress.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{AttemptId, FrameKind, Timestamp};
use tokio::task::AbortHandle;

/// Time limit for the first token of an engine that answers status calls, in milliseconds.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 15_000;

/// Time limit for each further frame, in milliseconds.
const TOKEN_TIMEOUT_MS: u64 = 3_000;

/// Time in milliseconds without a frame or a reply to a status call after which an engine counts
/// as lost.
const ENGINE_SILENCE_TIMEOUT_MS: u64 = 2_500;

/// The running attempts of an agent, by id.
#[derive(Debug)]
pub(crate) struct RunningAttempts {
    attempts: HashMap<AttemptId, RunningAttempt>,
    /// Time from which the engine counts as silent if it answers no further status call.
    engine_silent_from: Timestamp,
}

#[derive(Debug)]
struct RunningAttempt {
    task: AbortHandle,
    /// Absent for attempts that must not be aborted: claimed ones, and calls to plain services,
    /// which have a single frame and cannot be cancelled.
    deadlines: Option<ProgressDeadlines>,
}

#[derive(Clone, Copy, Debug)]
struct ProgressDeadlines {
    /// Time at which the attempt counts as stalled, even if the engine answers status calls.
    stalled_at: Timestamp,
    /// Time at which the attempt counts as stalled if the engine does not answer status calls
    /// either.
    silent_at: Timestamp,
}

impl RunningAttempts {
    /// Creates an empty table.
    pub(crate) fn new(now: Timestamp) -> RunningAttempts {
        RunningAttempts { attempts: HashMap::new(), engine_silent_from: now }
    }

    /// Adds an attempt on an engine that may be aborted.
    pub(crate) fn add_abortable(&mut self, now: Timestamp, id: AttemptId, task: AbortHandle) {
        let deadlines = Some(ProgressDeadlines::after(now, FIRST_TOKEN_TIMEOUT_MS));
        self.attempts.insert(id, RunningAttempt { task, deadlines });
    }

    /// Adds an attempt that must not be aborted.
    pub(crate) fn add_unabortable(&mut self, id: AttemptId, task: AbortHandle) {
        self.attempts.insert(id, RunningAttempt { task, deadlines: None });
    }

    /// Restarts the time limits of an attempt after a frame, or removes the attempt after its last
    /// frame.
    pub(crate) fn record_frame(&mut self, now: Timestamp, id: AttemptId, kind: &FrameKind) {
        if kind.is_last() {
            self.attempts.remove(&id);
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let limit_ms = match kind {
            FrameKind::Started { .. } => FIRST_TOKEN_TIMEOUT_MS,
            _ => TOKEN_TIMEOUT_MS,
        };
        attempt.deadlines = attempt.deadlines.map(|_| ProgressDeadlines::after(now, limit_ms));
    }

    /// Records that the engine answered a status call.
    pub(crate) fn record_engine_reply(&mut self, now: Timestamp) {
        self.engine_silent_from = now + Duration::from_millis(ENGINE_SILENCE_TIMEOUT_MS);
    }

    /// Returns the attempts that have made no progress within their time limits.
    pub(crate) fn stalled(&self, now: Timestamp) -> Vec<AttemptId> {
        let engine_is_silent = now > self.engine_silent_from;
        let is_stalled = |deadlines: &ProgressDeadlines| {
            now > deadlines.stalled_at || (engine_is_silent && now > deadlines.silent_at)
        };
        let stalled = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.deadlines.is_some_and(|d| is_stalled(&d)));
        stalled.map(|(id, _)| *id).collect()
    }

    /// Aborts the task of an attempt; returns false if there is none that may be aborted.
    ///
    /// A call to a plain service continues: it cannot be undone, and its answer may still be read.
    pub(crate) fn abort(&mut self, id: AttemptId) -> bool {
        match self.attempts.get(&id) {
            Some(RunningAttempt { task, deadlines: Some(_) }) => {
                task.abort();
                self.attempts.remove(&id);
                true
            }
            _ => false,
        }
    }

    /// Returns the ids of all running attempts.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.attempts.keys().copied().collect()
    }
}

impl ProgressDeadlines {
    fn after(now: Timestamp, limit_ms: u64) -> ProgressDeadlines {
        ProgressDeadlines {
            stalled_at: now + Duration::from_millis(limit_ms),
            silent_at: now + Duration::from_millis(ENGINE_SILENCE_TIMEOUT_MS),
        }
    }
}
