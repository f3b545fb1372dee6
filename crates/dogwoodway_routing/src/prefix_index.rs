//! The prompt pieces that one engine is believed to hold.

use std::collections::HashMap;

use dogwoodway_types::{EngineIncarnation, PieceHash, Timestamp};

/// Pieces held by one incarnation of an engine.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engine: EngineIncarnation,
    pieces: HashMap<PieceHash, Timestamp>,
}

impl PrefixIndex {
    /// Notes that an engine holds the given pieces; pieces of another incarnation are dropped.
    ///
    /// ```
    /// use dogwoodway_routing::prefix_index::PrefixIndex;
    /// use dogwoodway_types::{EngineIncarnation, PieceHash, Timestamp};
    ///
    /// let mut index = PrefixIndex::default();
    /// index.insert(EngineIncarnation(1), &[PieceHash(1)], Timestamp(1));
    /// assert_eq!(index.matched(EngineIncarnation(1), &[PieceHash(1), PieceHash(2)]), 1);
    /// assert_eq!(index.matched(EngineIncarnation(2), &[PieceHash(1)]), 0);
    /// ```
    pub fn insert(&mut self, engine: EngineIncarnation, pieces: &[PieceHash], now: Timestamp) {
        self.reset_if_other(engine);
        for piece in pieces {
            self.pieces.insert(*piece, now);
        }
    }

    /// Notes that an engine has evicted a piece.
    pub fn remove(&mut self, engine: EngineIncarnation, piece: PieceHash) {
        self.reset_if_other(engine);
        self.pieces.remove(&piece);
    }

    /// Returns how many pieces from the start of a prompt are held by the given incarnation.
    pub fn matched(&self, engine: EngineIncarnation, prompt: &[PieceHash]) -> u32 {
        if engine != self.engine {
            return 0;
        }
        let held = prompt.iter().take_while(|piece| self.pieces.contains_key(piece));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    fn reset_if_other(&mut self, engine: EngineIncarnation) {
        if engine != self.engine {
            self.engine = engine;
            self.pieces.clear();
        }
    }
}
