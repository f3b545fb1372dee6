//! An agent's approximate index of the prompt pieces in its engine's prefix cache.
//!
//! It is updated from prompts passed to the engine and from the engine's cache events, which arrive
//! late, with gaps and more than once. The index has the capacity of the engine's cache and evicts
//! in the same order, least recently used first, so a lost eviction event is corrected over time.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::{EngineIncarnation, PieceHash};

/// A change of the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexEvent {
    /// The engine added a piece to its cache.
    Stored(PieceHash),
    /// The engine evicted a piece.
    Evicted(PieceHash),
}

/// LRU index of the pieces cached by one incarnation of an engine.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    engine: EngineIncarnation,
    capacity: usize,
    /// Counts uses of pieces; serves as the time of the last use.
    clock: u64,
    next_event_seq: u64,
    /// Time of the last use of each piece.
    pieces: HashMap<PieceHash, u64>,
    by_last_use: BTreeMap<u64, PieceHash>,
}

impl PrefixIndex {
    /// Creates an empty index for at most `capacity` pieces.
    pub fn new(capacity: usize) -> PrefixIndex {
        PrefixIndex {
            engine: EngineIncarnation::default(),
            capacity,
            clock: 0,
            next_event_seq: 0,
            pieces: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Sets the engine's current incarnation and the capacity of its cache in pieces.
    ///
    /// The cache of a new incarnation is empty, so the pieces of another one are dropped.
    pub fn set_engine(&mut self, engine: EngineIncarnation, capacity: usize) {
        if engine != self.engine {
            *self = PrefixIndex { engine, ..PrefixIndex::new(capacity) };
        }
        self.capacity = capacity;
        self.trim();
    }

    /// Marks the given pieces as cached and just used; has no effect unless `engine` is the current
    /// incarnation.
    ///
    /// ```
    /// use dogwoodway_routing::prefix_index::PrefixIndex;
    /// use dogwoodway_types::{EngineIncarnation, PieceHash};
    ///
    /// let mut index = PrefixIndex::new(10);
    /// index.set_engine(EngineIncarnation(1), 10);
    /// index.insert(EngineIncarnation(1), &[PieceHash(1)]);
    /// index.insert(EngineIncarnation(2), &[PieceHash(2)]);
    /// assert_eq!(index.matched(EngineIncarnation(1), &[PieceHash(1), PieceHash(2)]), 1);
    /// assert_eq!(index.matched(EngineIncarnation(2), &[PieceHash(2)]), 0);
    /// ```
    pub fn insert(&mut self, engine: EngineIncarnation, pieces: &[PieceHash]) {
        if engine != self.engine {
            return;
        }
        for piece in pieces {
            self.touch(*piece);
        }
    }

    /// Applies the cache event with sequence number `seq`; duplicates and events of another
    /// incarnation have no effect.
    pub fn apply(&mut self, engine: EngineIncarnation, seq: u64, event: IndexEvent) {
        if engine != self.engine || seq < self.next_event_seq {
            return;
        }
        self.next_event_seq = seq + 1;
        match event {
            IndexEvent::Stored(piece) => {
                if !self.pieces.contains_key(&piece) {
                    self.touch(piece);
                }
            }
            IndexEvent::Evicted(piece) => self.remove(piece),
        }
    }

    /// Returns the sequence number that follows the last applied cache event.
    pub fn next_event(&self) -> u64 {
        self.next_event_seq
    }

    /// Returns whether the index contains a piece.
    pub fn contains(&self, piece: &PieceHash) -> bool {
        self.pieces.contains_key(piece)
    }

    /// Returns how many pieces from the start of a prompt are cached by the given incarnation.
    pub fn matched(&self, engine: EngineIncarnation, prompt: &[PieceHash]) -> u32 {
        if engine != self.engine {
            return 0;
        }
        let cached = prompt.iter().take_while(|piece| self.pieces.contains_key(piece));
        u32::try_from(cached.count()).unwrap_or(u32::MAX)
    }

    fn touch(&mut self, piece: PieceHash) {
        self.clock += 1;
        self.by_last_use.insert(self.clock, piece);
        if let Some(last_use) = self.pieces.insert(piece, self.clock) {
            self.by_last_use.remove(&last_use);
        }
        self.trim();
    }

    fn remove(&mut self, piece: PieceHash) {
        if let Some(last_use) = self.pieces.remove(&piece) {
            self.by_last_use.remove(&last_use);
        }
    }

    fn trim(&mut self) {
        while self.pieces.len() > self.capacity
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.pieces.remove(&oldest);
        }
    }
}
