//! The engine's prefix cache, which evicts the least recently used prompt piece first.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::PieceHash;

/// A change of the cache's contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The piece was added to the cache.
    Stored(PieceHash),
    /// The piece was evicted to make room.
    Evicted(PieceHash),
}

/// A bounded LRU set of prompt pieces.
#[derive(Clone, Debug)]
pub struct PieceCache {
    capacity: usize,
    /// Counts uses of pieces; serves as the time of the last use.
    clock: u64,
    /// Time of the last use of each piece.
    pieces: HashMap<PieceHash, u64>,
    by_last_use: BTreeMap<u64, PieceHash>,
}

impl PieceCache {
    /// Creates an empty cache for at most `capacity` pieces.
    ///
    /// ```
    /// use dogwoodway_standin::{CacheChange, PieceCache};
    /// use dogwoodway_types::PieceHash;
    ///
    /// let mut cache = PieceCache::new(1);
    /// cache.insert(PieceHash(1));
    /// let changes = cache.insert(PieceHash(2));
    /// assert!(changes.contains(&CacheChange::Evicted(PieceHash(1))));
    /// ```
    pub fn new(capacity: usize) -> PieceCache {
        PieceCache { capacity, clock: 0, pieces: HashMap::new(), by_last_use: BTreeMap::new() }
    }

    /// Returns how many pieces from the start of a prompt are cached.
    pub fn matched(&self, prompt: &[PieceHash]) -> usize {
        prompt.iter().take_while(|piece| self.pieces.contains_key(piece)).count()
    }

    /// Marks a piece as just used, adding it if it is not cached, and returns the changes that this
    /// caused.
    pub fn insert(&mut self, piece: PieceHash) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        self.clock += 1;
        self.by_last_use.insert(self.clock, piece);
        match self.pieces.insert(piece, self.clock) {
            Some(last_use) => {
                self.by_last_use.remove(&last_use);
            }
            None => changes.push(CacheChange::Stored(piece)),
        }
        while self.pieces.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.pieces.remove(&oldest);
            changes.push(CacheChange::Evicted(oldest));
        }
        changes
    }
}
