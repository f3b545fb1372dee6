//! An agent's table of attempts: starts each at most once and stores the frames of its answer.
//!
//! Messages from an entry may be lost, delayed or duplicated. When an entry does not know whether
//! an attempt has started, it settles the attempt: if it has not started, a tombstone makes sure
//! that a delayed start message is refused. All times are read from the agent's clock.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{AttemptId, Frame, FrameKind, Timestamp};

/// Time for which the frames of an ended attempt can still be read. For the same time after its
/// latest permitted start, an attempt that is not in the table is known not to have started.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Time without a read after which a running attempt is considered abandoned by its entry.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of [`AttemptTable::start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The caller must run the attempt now.
    Run,
    /// The attempt has already started; the message is a duplicate.
    Known,
    /// The attempt has not run and must not: it is tombstoned, or its latest start has passed.
    Refused,
    /// The message arrived after the retention time; an earlier copy may have run.
    Forgotten,
}

/// Result of [`AttemptTable::settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The attempt has not started and never will.
    NotStarted,
    /// The attempt has started; it may have ended since.
    Started,
    /// The call came after the retention time; the attempt may have run.
    Forgotten,
}

#[derive(Clone, Debug)]
enum Attempt {
    /// Not started, and must not start.
    Tombstone { expires_at: Timestamp },
    /// Counts as abandoned at `orphan_at` unless it is read before.
    Running { frames: Vec<FrameKind>, start_before: Timestamp, orphan_at: Timestamp },
    /// The entry is expected to read the remaining frames until `unread_until`, `None` once it has.
    Ended { frames: Vec<FrameKind>, expires_at: Timestamp, unread_until: Option<Timestamp> },
}

/// Attempts of one agent, by id.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    attempts: HashMap<AttemptId, Attempt>,
    running: u32,
    /// Latest time that any call was made with.
    latest_now: Timestamp,
}

impl AttemptTable {
    /// Registers an attempt and decides whether to run it.
    ///
    /// It must not start after `start_before`, which every message about the attempt repeats.
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
            None if now >= start_before + ENDED_RETENTION => StartDecision::Forgotten,
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

    /// Returns whether an attempt has started, and prevents it from starting if it has not.
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
            None if now >= start_before + ENDED_RETENTION => SettleOutcome::Forgotten,
            None => {
                let expires_at = start_before.max(now) + Duration::from_micros(1);
                self.attempts.insert(id, Attempt::Tombstone { expires_at });
                SettleOutcome::NotStarted
            }
        }
    }

    /// Appends a frame to a running attempt and ends the attempt with its last frame; returns false
    /// if the attempt is not running.
    pub fn push_frame(&mut self, now: Timestamp, id: AttemptId, kind: FrameKind) -> bool {
        let now = self.advance(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return false };
        let Attempt::Running { frames, start_before, orphan_at } = attempt else { return false };
        let is_last = kind.is_last();
        frames.push(kind);
        if is_last {
            let frames = std::mem::take(frames);
            let expires_at = now.max(*start_before) + ENDED_RETENTION;
            *attempt = Attempt::Ended { frames, expires_at, unread_until: Some(*orphan_at) };
            self.running -= 1;
        }
        true
    }

    /// Returns the frames from sequence number `from` on, or `None` for an unknown attempt.
    ///
    /// A read also restarts the orphan timeout and the retention time.
    pub fn frames(&mut self, now: Timestamp, id: AttemptId, from: u64) -> Option<Vec<Frame>> {
        let now = self.advance(now);
        let frames = match self.attempts.get_mut(&id)? {
            Attempt::Running { frames, orphan_at, .. } => {
                *orphan_at = now + ORPHAN_TIMEOUT;
                frames
            }
            Attempt::Ended { frames, unread_until, expires_at } => {
                *unread_until = None;
                *expires_at = (*expires_at).max(now + ENDED_RETENTION);
                frames
            }
            Attempt::Tombstone { .. } => return None,
        };
        let numbered = (0..).zip(frames).skip_while(|(seq, _)| *seq < from);
        Some(numbered.map(|(seq, kind)| Frame { seq, kind: kind.clone() }).collect())
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the running attempts whose entry has not read any frames within the orphan timeout.
    pub fn orphans(&mut self, now: Timestamp) -> Vec<AttemptId> {
        let now = self.advance(now);
        let is_abandoned = |attempt: &Attempt| match attempt {
            Attempt::Running { orphan_at, .. } => *orphan_at < now,
            Attempt::Tombstone { .. } | Attempt::Ended { .. } => false,
        };
        self.attempts.iter().filter(|(_, a)| is_abandoned(a)).map(|(id, _)| *id).collect()
    }

    /// Returns whether the agent can stop without losing an answer.
    ///
    /// No attempt may be running, and each ended one must have been read since its end, unless its
    /// entry has not read it for the orphan timeout.
    pub fn is_drained(&mut self, now: Timestamp) -> bool {
        let now = self.advance(now);
        self.attempts.values().all(|attempt| match attempt {
            Attempt::Running { .. } => false,
            Attempt::Tombstone { .. } => true,
            Attempt::Ended { unread_until, .. } => unread_until.is_none_or(|until| until < now),
        })
    }

    /// Removes expired tombstones and ended attempts.
    pub fn sweep(&mut self, now: Timestamp) {
        let now = self.advance(now);
        self.attempts.retain(|_, attempt| match attempt {
            Attempt::Running { .. } => true,
            Attempt::Tombstone { expires_at } | Attempt::Ended { expires_at, .. } => {
                *expires_at > now
            }
        });
    }

    /// Returns the latest time seen so far. A clock that steps back must not make an expired start
    /// valid again.
    fn advance(&mut self, now: Timestamp) -> Timestamp {
        self.latest_now = self.latest_now.max(now);
        self.latest_now
    }
}
