//! The engine's cache of prompt pieces, least recently used first out.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::PieceHash;

/// A change of the cache's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece was stored.
    Stored(PieceHash),
    /// A piece was evicted.
    Evicted(PieceHash),
}

/// A bounded set of pieces.
#[derive(Clone, Debug)]
pub struct PieceCache {
    size: usize,
    tick: u64,
    pieces: HashMap<PieceHash, u64>,
    by_tick: BTreeMap<u64, PieceHash>,
}

impl PieceCache {
    /// Builds an empty cache that holds at most `size` pieces.
    ///
    /// ```
    /// use dogwoodway_standin::{CacheChange, PieceCache};
    /// use dogwoodway_types::PieceHash;
    ///
    /// let mut cache = PieceCache::new(1);
    /// cache.keep(PieceHash(1));
    /// let changes = cache.keep(PieceHash(2));
    /// assert!(changes.contains(&CacheChange::Evicted(PieceHash(1))));
    /// ```
    pub fn new(size: usize) -> PieceCache {
        PieceCache { size, tick: 0, pieces: HashMap::new(), by_tick: BTreeMap::new() }
    }

    /// Returns how many pieces from the start of a prompt are held.
    pub fn matched(&self, prompt: &[PieceHash]) -> usize {
        prompt.iter().take_while(|piece| self.pieces.contains_key(piece)).count()
    }

    /// Stores a piece, or marks it as used if it is held already.
    pub fn keep(&mut self, piece: PieceHash) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        self.tick += 1;
        self.by_tick.insert(self.tick, piece);
        match self.pieces.insert(piece, self.tick) {
            Some(tick) => {
                self.by_tick.remove(&tick);
            }
            None => changes.push(CacheChange::Stored(piece)),
        }
        while self.pieces.len() > self.size {
            let Some((_, oldest)) = self.by_tick.pop_first() else { break };
            self.pieces.remove(&oldest);
            changes.push(CacheChange::Evicted(oldest));
        }
        changes
    }
}
