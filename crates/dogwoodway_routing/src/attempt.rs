//! The attempts that an agent knows, from the first message on until they are forgotten.
//!
//! An attempt starts at most once. The question what became of it, asked before its start,
//! tombstones it: a delayed copy of the start is then refused. All times are those of one clock,
//! the agent's.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{AttemptId, Frame, FrameKind, Timestamp};

/// Time for which the frames of an ended attempt can still be read, and for which an unknown
/// attempt is known not to have started.
const ENDED_KEPT: Duration = Duration::from_secs(60);

/// Time without a read after which a running attempt counts as abandoned by its entry.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Answer to the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The attempt is to be run now.
    Run,
    /// The attempt was started before; nothing is to be done.
    Known,
    /// The attempt has not run and must not.
    Refused,
    /// The start comes so late that an earlier copy may have run and been forgotten.
    Forgotten,
}

/// Answer to the question what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleOutcome {
    /// It has not started and never will.
    NotStarted,
    /// It has been started.
    Started,
    /// The question comes so late that the attempt may have run and been forgotten.
    Forgotten,
}

#[derive(Clone, Debug)]
enum Attempt {
    Tombstone { forget_at: Timestamp },
    Running { frames: Vec<FrameKind>, start_before: Timestamp, orphan_at: Timestamp },
    Ended { frames: Vec<FrameKind>, forget_at: Timestamp, unread_until: Option<Timestamp> },
}

/// Table of the attempts at one agent.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    attempts: HashMap<AttemptId, Attempt>,
    running: u32,
    latest: Timestamp,
}

impl AttemptTable {
    /// Decides whether an attempt is to be run. It must not start after `start_before`.
    ///
    /// ```
    /// use dogwoodway_routing::attempt::{AttemptTable, SettleOutcome, StartDecision};
    /// use dogwoodway_types::{AttemptId, Timestamp};
    ///
    /// let mut table = AttemptTable::default();
    /// let (now, before) = (Timestamp(0), Timestamp(9));
    /// assert_eq!(table.settle(now, AttemptId(1), before), SettleOutcome::NotStarted);
    /// assert_eq!(table.start(now, AttemptId(1), before), StartDecision::Refused);
    /// assert_eq!(table.start(now, AttemptId(2), before), StartDecision::Run);
    /// assert_eq!(table.start(now, AttemptId(2), before), StartDecision::Known);
    /// ```
    pub fn start(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        start_before: Timestamp,
    ) -> StartDecision {
        let now = self.advance(now);
        match self.attempts.get(&id) {
            Some(Attempt::Running { .. } | Attempt::Ended { .. }) => StartDecision::Known,
            Some(Attempt::Tombstone { .. }) => StartDecision::Refused,
            None if now >= start_before + ENDED_KEPT => StartDecision::Forgotten,
            None if now > start_before => StartDecision::Refused,
            None => {
                let orphan_at = now + ORPHAN_TIMEOUT;
                let attempt = Attempt::Running { frames: Vec::new(), start_before, orphan_at };
                self.attempts.insert(id, attempt);
                self.running += 1;
                StartDecision::Run
            }
        }
    }

    /// Tells what became of an attempt and tombstones it if it has not started.
    pub fn settle(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        start_before: Timestamp,
    ) -> SettleOutcome {
        let now = self.advance(now);
        match self.attempts.get(&id) {
            Some(Attempt::Running { .. } | Attempt::Ended { .. }) => SettleOutcome::Started,
            Some(Attempt::Tombstone { .. }) => SettleOutcome::NotStarted,
            None if now >= start_before + ENDED_KEPT => SettleOutcome::Forgotten,
            None => {
                let forget_at = start_before.max(now) + Duration::from_micros(1);
                self.attempts.insert(id, Attempt::Tombstone { forget_at });
                SettleOutcome::NotStarted
            }
        }
    }

    /// Adds a frame to a running attempt; returns false if the attempt does not run.
    pub fn push_frame(&mut self, now: Timestamp, id: AttemptId, kind: FrameKind) -> bool {
        let now = self.advance(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return false };
        let Attempt::Running { frames, start_before, orphan_at } = attempt else { return false };
        let is_last = kind.is_last();
        frames.push(kind);
        if is_last {
            let frames = std::mem::take(frames);
            let forget_at = now.max(*start_before) + ENDED_KEPT;
            *attempt = Attempt::Ended { frames, forget_at, unread_until: Some(*orphan_at) };
            self.running -= 1;
        }
        true
    }

    /// Returns the frames from sequence number `from` on, or `None` for an unknown attempt, and
    /// notes that the entry still reads them.
    pub fn frames(&mut self, now: Timestamp, id: AttemptId, from: u64) -> Option<Vec<Frame>> {
        let now = self.advance(now);
        let frames = match self.attempts.get_mut(&id)? {
            Attempt::Running { frames, orphan_at, .. } => {
                *orphan_at = now + ORPHAN_TIMEOUT;
                frames
            }
            Attempt::Ended { frames, unread_until, forget_at } => {
                *unread_until = None;
                *forget_at = (*forget_at).max(now + ENDED_KEPT);
                frames
            }
            Attempt::Tombstone { .. } => return None,
        };
        let numbered = (0..).zip(frames).skip_while(|(seq, _)| *seq < from);
        Some(numbered.map(|(seq, kind)| Frame { seq, kind: kind.clone() }).collect())
    }

    /// Returns the number of attempts that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the running attempts that their entry has not read for too long.
    pub fn orphans(&mut self, now: Timestamp) -> Vec<AttemptId> {
        let now = self.advance(now);
        let late = |attempt: &Attempt| match attempt {
            Attempt::Running { orphan_at, .. } => *orphan_at < now,
            Attempt::Tombstone { .. } | Attempt::Ended { .. } => false,
        };
        self.attempts.iter().filter(|(_, a)| late(a)).map(|(id, _)| *id).collect()
    }

    /// Tells whether no attempt runs and no entry is expected to read the end of one.
    pub fn is_drained(&mut self, now: Timestamp) -> bool {
        let now = self.advance(now);
        self.attempts.values().all(|attempt| match attempt {
            Attempt::Running { .. } => false,
            Attempt::Tombstone { .. } => true,
            Attempt::Ended { unread_until, .. } => unread_until.is_none_or(|until| until < now),
        })
    }

    /// Forgets ended attempts and tombstones whose time has passed.
    pub fn sweep(&mut self, now: Timestamp) {
        let now = self.advance(now);
        self.attempts.retain(|_, attempt| match attempt {
            Attempt::Running { .. } => true,
            Attempt::Tombstone { forget_at } | Attempt::Ended { forget_at, .. } => *forget_at > now,
        });
    }

    /// Returns the latest time seen, so that a clock that steps back reopens nothing.
    fn advance(&mut self, now: Timestamp) -> Timestamp {
        self.latest = self.latest.max(now);
        self.latest
    }
}
