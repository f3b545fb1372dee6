//! The prompt pieces that one engine is believed to hold.
//!
//! Fed by the first frames of answers and by the engine's cache events, which come late, with gaps
//! and doubled. The index is bounded like the engine's cache and forgets in the same order, so
//! that a lost eviction does no lasting harm.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::{EngineIncarnation, PieceHash};

/// A cache event as far as the index is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexEvent {
    /// The engine stored a piece.
    Stored(PieceHash),
    /// The engine evicted a piece.
    Evicted(PieceHash),
}

/// Pieces held by one incarnation of an engine, the least recently used first to go.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    engine: EngineIncarnation,
    size: usize,
    tick: u64,
    next_event: u64,
    pieces: HashMap<PieceHash, u64>,
    by_tick: BTreeMap<u64, PieceHash>,
}

impl PrefixIndex {
    /// Builds an empty index for at most `size` pieces.
    pub fn new(size: usize) -> PrefixIndex {
        PrefixIndex {
            engine: EngineIncarnation::default(),
            size,
            tick: 0,
            next_event: 0,
            pieces: HashMap::new(),
            by_tick: BTreeMap::new(),
        }
    }

    /// Notes which incarnation runs and how many pieces its cache holds; the pieces of another
    /// incarnation are dropped.
    pub fn set_engine(&mut self, engine: EngineIncarnation, size: usize) {
        if engine != self.engine {
            *self = PrefixIndex { engine, ..PrefixIndex::new(size) };
        }
        self.size = size;
        self.trim();
    }

    /// Notes that the engine holds the given pieces; has no effect for another incarnation than
    /// the one that runs.
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
            self.keep(*piece);
        }
    }

    /// Applies the cache event with number `seq`; one that was applied before has no effect.
    pub fn apply(&mut self, engine: EngineIncarnation, seq: u64, event: IndexEvent) {
        if engine != self.engine || seq < self.next_event {
            return;
        }
        self.next_event = seq + 1;
        match event {
            IndexEvent::Stored(piece) => {
                if !self.pieces.contains_key(&piece) {
                    self.keep(piece);
                }
            }
            IndexEvent::Evicted(piece) => self.remove(piece),
        }
    }

    /// Returns the number of the next cache event.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Tells whether a piece is held.
    pub fn contains(&self, piece: &PieceHash) -> bool {
        self.pieces.contains_key(piece)
    }

    /// Returns how many pieces from the start of a prompt are held by the given incarnation.
    pub fn matched(&self, engine: EngineIncarnation, prompt: &[PieceHash]) -> u32 {
        if engine != self.engine {
            return 0;
        }
        let held = prompt.iter().take_while(|piece| self.pieces.contains_key(piece));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    fn keep(&mut self, piece: PieceHash) {
        self.tick += 1;
        self.by_tick.insert(self.tick, piece);
        if let Some(tick) = self.pieces.insert(piece, self.tick) {
            self.by_tick.remove(&tick);
        }
        self.trim();
    }

    fn remove(&mut self, piece: PieceHash) {
        if let Some(tick) = self.pieces.remove(&piece) {
            self.by_tick.remove(&tick);
        }
    }

    fn trim(&mut self) {
        while self.pieces.len() > self.size
            && let Some((_, oldest)) = self.by_tick.pop_first()
        {
            self.pieces.remove(&oldest);
        }
    }
}
