//! The journal of an engine, which records what actually happened, and the cache events that the
//! engine publishes late and with gaps.
//!
//! The load tool audits cache hits and tests count crashes and scheduled requests from journals.

use std::collections::VecDeque;

use dogwoodway_engine::{CacheEvent, CacheEventKind, CacheEvents};
use dogwoodway_types::{AttemptId, EngineIncarnation, PieceHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::engine::CacheChange;

/// Maximum number of retained journal records, and likewise of retained cache events.
const MAX_RECORDS: usize = 1_000_000;

/// Maximum number of cache events in one response.
const MAX_EVENTS_PER_RESPONSE: usize = 1_000;

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Time of the event.
    pub at: Timestamp,
    /// Incarnation of the engine at that time.
    pub engine: EngineIncarnation,
    /// What happened.
    pub kind: JournalKind,
}

/// The event of a [`JournalRecord`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalKind {
    /// A prompt piece was added to the prefix cache.
    Stored(PieceHash),
    /// A prompt piece was evicted.
    Evicted(PieceHash),
    /// The engine crashed and lost its cache.
    Crashed,
    /// A waiting request joined the batch.
    Scheduled {
        /// Identifier of the request.
        request: AttemptId,
        /// Pieces of its prompt, from the start.
        pieces: Vec<PieceHash>,
        /// Tokens in each piece.
        tokens: Vec<u32>,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
}

/// Journal records and cache events of one engine.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    records: VecDeque<JournalRecord>,
    cache_events: VecDeque<(Timestamp, CacheEvent)>,
    next_event_seq: u64,
}

impl Journal {
    /// Appends a record, dropping the oldest one when the journal is full.
    pub fn push(&mut self, record: JournalRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Appends a record and a cache event for each change of the prefix cache.
    pub fn push_cache_changes(
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
            if self.cache_events.len() == MAX_RECORDS {
                self.cache_events.pop_front();
            }
            self.cache_events.push_back((at, CacheEvent { seq: self.next_event_seq, kind: event }));
            self.next_event_seq += 1;
        }
    }

    /// Drops all cache events and restarts their sequence numbers at 0, as a restarted engine does.
    pub fn reset_cache_events(&mut self) {
        self.cache_events.clear();
        self.next_event_seq = 0;
    }

    /// Returns the retained records, oldest first.
    pub fn records(&self) -> &VecDeque<JournalRecord> {
        &self.records
    }

    /// Returns the cache events with sequence numbers from `from` on that happened until `until`.
    ///
    /// Every `loss_interval`-th event is left out, 0 for none. The number of events in one response
    /// is limited; `next` of the result is the sequence number to continue with.
    pub fn cache_events(
        &self,
        engine: EngineIncarnation,
        from: u64,
        until: Timestamp,
        loss_interval: u32,
    ) -> CacheEvents {
        let first = self.cache_events.front().map_or(self.next_event_seq, |(_, event)| event.seq);
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let page = self.cache_events.iter().skip(skipped).take_while(|(at, _)| *at <= until);
        let page: Vec<_> =
            page.take(MAX_EVENTS_PER_RESPONSE).map(|(_, event)| event.clone()).collect();
        let next = page.last().map_or(from, |event| event.seq + 1);
        let is_lost = |seq: u64| {
            loss_interval > 0 && seq % u64::from(loss_interval) == u64::from(loss_interval) - 1
        };
        let events = page.into_iter().filter(|event| !is_lost(event.seq)).collect();
        CacheEvents { engine, next, events }
    }
}
