//! The tasks of running attempts and the deadlines of their progress.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{AttemptId, FrameKind, Timestamp};
use tokio::task::AbortHandle;

/// Time in which an engine that answers status calls must produce the first token.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 15_000;

/// Time in which an engine must produce each further frame.
const TOKEN_TIMEOUT_MS: u64 = 3_000;

/// Time after the last frame or status answer at which an engine counts as lost.
const ENGINE_SILENT_MS: u64 = 2_500;

/// The tasks of running attempts.
#[derive(Debug)]
pub(crate) struct Runs {
    tasks: HashMap<AttemptId, Run>,
    engine_silent_at: Timestamp,
}

#[derive(Debug)]
struct Run {
    task: AbortHandle,
    /// Absent for calls to plain services, which have a single frame and no cancel.
    progress: Option<Progress>,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The attempt is lost at this time, whatever the engine's status.
    stalled_at: Timestamp,
    /// The attempt is lost at this time if the engine does not answer status calls either.
    silent_at: Timestamp,
}

impl Runs {
    /// Builds an empty table.
    pub(crate) fn new(now: Timestamp) -> Runs {
        Runs { tasks: HashMap::new(), engine_silent_at: now }
    }

    /// Adds the task of an attempt on an engine.
    pub(crate) fn add_chat(&mut self, now: Timestamp, id: AttemptId, task: AbortHandle) {
        let progress = Some(Progress::until(now, FIRST_TOKEN_TIMEOUT_MS));
        self.tasks.insert(id, Run { task, progress });
    }

    /// Adds the task of an attempt on a plain service.
    pub(crate) fn add_service(&mut self, id: AttemptId, task: AbortHandle) {
        self.tasks.insert(id, Run { task, progress: None });
    }

    /// Notes a frame of an attempt.
    pub(crate) fn note_frame(&mut self, now: Timestamp, id: AttemptId, kind: &FrameKind) {
        if kind.is_last() {
            self.tasks.remove(&id);
            return;
        }
        let Some(run) = self.tasks.get_mut(&id) else { return };
        let limit_ms = match kind {
            FrameKind::Started { .. } => FIRST_TOKEN_TIMEOUT_MS,
            _ => TOKEN_TIMEOUT_MS,
        };
        run.progress = run.progress.map(|_| Progress::until(now, limit_ms));
    }

    /// Notes that the engine answered a status call.
    pub(crate) fn note_engine(&mut self, now: Timestamp) {
        self.engine_silent_at = now + Duration::from_millis(ENGINE_SILENT_MS);
    }

    /// Returns the attempts whose engine has stopped to make progress.
    pub(crate) fn stalled(&self, now: Timestamp) -> Vec<AttemptId> {
        let engine_is_silent = now > self.engine_silent_at;
        let is_stalled = |progress: &Progress| {
            now > progress.stalled_at || (engine_is_silent && now > progress.silent_at)
        };
        let stalled =
            self.tasks.iter().filter(|(_, run)| run.progress.is_some_and(|p| is_stalled(&p)));
        stalled.map(|(id, _)| *id).collect()
    }

    /// Ends the task of an attempt on an engine; returns false if there is none.
    ///
    /// A call to a plain service goes on: it cannot be taken back, and its answer may be wanted.
    pub(crate) fn abort_chat(&mut self, id: AttemptId) -> bool {
        match self.tasks.get(&id) {
            Some(Run { task, progress: Some(_) }) => {
                task.abort();
                self.tasks.remove(&id);
                true
            }
            _ => false,
        }
    }

    /// Returns all running attempts.
    pub(crate) fn all(&self) -> Vec<AttemptId> {
        self.tasks.keys().copied().collect()
    }
}

impl Progress {
    fn until(now: Timestamp, stall_ms: u64) -> Progress {
        Progress {
            stalled_at: now + Duration::from_millis(stall_ms),
            silent_at: now + Duration::from_millis(ENGINE_SILENT_MS),
        }
    }
}
