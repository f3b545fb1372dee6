//! What really happened in an engine, for the load tool, and the cache events made from it.

use std::collections::VecDeque;

use dogwoodway_engine::{CacheEvent, CacheEventKind, CacheEvents};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::engine::CacheChange;

/// Records kept.
const KEPT_RECORDS: usize = 1_000_000;

/// Cache events in one answer.
const EVENTS_PER_ANSWER: usize = 1_000;

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// When it happened.
    pub at: Timestamp,
    /// The engine's incarnation.
    pub engine: EngineIncarnation,
    /// What happened.
    pub kind: JournalKind,
}

/// What a [`JournalRecord`] tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalKind {
    /// A piece was stored in the cache.
    Stored(PieceHash),
    /// A piece was evicted.
    Evicted(PieceHash),
    /// The engine crashed and lost its cache.
    Crashed,
    /// A request was scheduled.
    Scheduled {
        /// The request.
        request: AttemptId,
        /// Pieces of its prompt.
        pieces: Vec<PieceHash>,
        /// Tokens in each piece.
        tokens: Vec<u32>,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
}

/// The records of one engine.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    records: VecDeque<JournalRecord>,
    events: VecDeque<(Timestamp, CacheEvent)>,
    next_seq: u64,
}

impl Journal {
    /// Adds a record.
    pub fn push(&mut self, record: JournalRecord) {
        if self.records.len() == KEPT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Adds the changes of a cache.
    pub fn push_changes(
        &mut self,
        at: Timestamp,
        engine: EngineIncarnation,
        changes: &[CacheChange],
    ) {
        for change in changes {
            let (kind, event) = match *change {
                CacheChange::Stored(p) => (JournalKind::Stored(p), CacheEventKind::Stored(p)),
                CacheChange::Evicted(p) => (JournalKind::Evicted(p), CacheEventKind::Evicted(p)),
            };
            self.push(JournalRecord { at, engine, kind });
            if self.events.len() == KEPT_RECORDS {
                self.events.pop_front();
            }
            self.events.push_back((at, CacheEvent { seq: self.next_seq, kind: event }));
            self.next_seq += 1;
        }
    }

    /// Starts the numbers of cache events again, as a restarted engine does.
    pub fn restart_events(&mut self) {
        self.events.clear();
        self.next_seq = 0;
    }

    /// Returns all records.
    pub fn records(&self) -> &VecDeque<JournalRecord> {
        &self.records
    }

    /// Returns the cache events from number `from` on that happened until `until`, without every
    /// `gap`-th.
    pub fn events(
        &self,
        engine: EngineIncarnation,
        from: u64,
        until: Timestamp,
        gap: u32,
    ) -> CacheEvents {
        let first = self.events.front().map_or(self.next_seq, |(_, event)| event.seq);
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let seen = self.events.iter().skip(skipped).take_while(|(at, _)| *at <= until);
        let seen: Vec<_> = seen.take(EVENTS_PER_ANSWER).map(|(_, event)| event.clone()).collect();
        let next = seen.last().map_or(from, |event| event.seq + 1);
        let is_lost = |seq: u64| gap > 0 && seq % u64::from(gap) == u64::from(gap) - 1;
        let events = seen.into_iter().filter(|event| !is_lost(event.seq)).collect();
        CacheEvents { engine, next, events }
    }
}
