//! The attempts that an agent knows, from the first message on until they are forgotten.
//!
//! An attempt starts at most once. The question what became of it, asked before its start,
//! tombstones it: a delayed copy of the start is then refused. All times are those of one clock,
//! the agent's.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{AttemptId, Frame, FrameKind, Timestamp};

/// Time for which the frames of an ended attempt can still be read.
const ENDED_KEPT: Duration = Duration::from_secs(60);

/// Answer to the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// The attempt is to be run now.
    Run,
    /// The attempt was started before; nothing is to be done.
    Known,
    /// The attempt must not run.
    Refused,
}

/// Answer to the question what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It has not started and never will.
    NotStarted,
    /// It has been started.
    Started,
}

#[derive(Clone, Debug)]
enum Attempt {
    Tombstone { forget_at: Timestamp },
    Running { frames: Vec<FrameKind> },
    Ended { frames: Vec<FrameKind>, forget_at: Timestamp },
}

/// Table of the attempts at one agent.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    attempts: HashMap<AttemptId, Attempt>,
    running: u32,
}

impl AttemptTable {
    /// Decides whether an attempt is to be run. It must not start after `start_before`.
    ///
    /// ```
    /// use dogwoodway_routing::attempt::{AttemptTable, Settled, StartVerdict};
    /// use dogwoodway_types::{AttemptId, Timestamp};
    ///
    /// let mut table = AttemptTable::default();
    /// let (now, before) = (Timestamp(0), Timestamp(9));
    /// assert_eq!(table.settle(now, AttemptId(1), before), Settled::NotStarted);
    /// assert_eq!(table.start(now, AttemptId(1), before), StartVerdict::Refused);
    /// assert_eq!(table.start(now, AttemptId(2), before), StartVerdict::Run);
    /// assert_eq!(table.start(now, AttemptId(2), before), StartVerdict::Known);
    /// ```
    pub fn start(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        start_before: Timestamp,
    ) -> StartVerdict {
        match self.attempts.get(&id) {
            Some(Attempt::Running { .. } | Attempt::Ended { .. }) => StartVerdict::Known,
            Some(Attempt::Tombstone { .. }) => StartVerdict::Refused,
            None if now > start_before => StartVerdict::Refused,
            None => {
                self.attempts.insert(id, Attempt::Running { frames: Vec::new() });
                self.running += 1;
                StartVerdict::Run
            }
        }
    }

    /// Tells what became of an attempt and tombstones it if it has not started.
    pub fn settle(&mut self, now: Timestamp, id: AttemptId, start_before: Timestamp) -> Settled {
        match self.attempts.get(&id) {
            Some(Attempt::Running { .. } | Attempt::Ended { .. }) => Settled::Started,
            Some(Attempt::Tombstone { .. }) => Settled::NotStarted,
            None => {
                let forget_at = start_before.max(now) + Duration::from_micros(1);
                self.attempts.insert(id, Attempt::Tombstone { forget_at });
                Settled::NotStarted
            }
        }
    }

    /// Adds a frame to a running attempt; returns false if the attempt does not run.
    pub fn push(&mut self, now: Timestamp, id: AttemptId, kind: FrameKind) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else { return false };
        let Attempt::Running { frames } = attempt else { return false };
        let is_last = kind.is_last();
        frames.push(kind);
        if is_last {
            let frames = std::mem::take(frames);
            *attempt = Attempt::Ended { frames, forget_at: now + ENDED_KEPT };
            self.running -= 1;
        }
        true
    }

    /// Returns the frames from sequence number `from` on, or `None` for an unknown attempt.
    pub fn frames(&self, id: AttemptId, from: u64) -> Option<Vec<Frame>> {
        let frames = match self.attempts.get(&id)? {
            Attempt::Running { frames } | Attempt::Ended { frames, .. } => frames,
            Attempt::Tombstone { .. } => return None,
        };
        let numbered = (0..).zip(frames).skip_while(|(seq, _)| *seq < from);
        Some(numbered.map(|(seq, kind)| Frame { seq, kind: kind.clone() }).collect())
    }

    /// Returns the number of attempts that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Forgets ended attempts and tombstones whose time has passed.
    pub fn sweep(&mut self, now: Timestamp) {
        self.attempts.retain(|_, attempt| match attempt {
            Attempt::Running { .. } => true,
            Attempt::Tombstone { forget_at } | Attempt::Ended { forget_at, .. } => *forget_at > now,
        });
    }
}
