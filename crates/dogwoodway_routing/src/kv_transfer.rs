//! Whether to move KV cache between an engine and the store of kept KV cache.
//!
//! Importing a prefix pays where it is quicker than computing it; exporting pays for pieces that
//! come again, which those of shared levels do and those of a single case do not.

use std::collections::{HashMap, VecDeque};

use dogwoodway_types::PieceHash;

/// Times that a piece must have been asked for before it is exported.
const EXPORT_AFTER_USES: u32 = 2;

/// Speeds of an engine and of its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRates {
    /// Microseconds to compute one prompt token.
    pub prefill_us: u64,
    /// Microseconds to import one prompt token.
    pub import_us: u64,
    /// Microseconds that an import takes besides.
    pub import_overhead_us: u64,
}

/// Tells whether importing `tokens` tokens is quicker than computing them.
///
/// ```
/// use dogwoodway_routing::kv_transfer::{TransferRates, is_import_quicker};
///
/// let rates = TransferRates { prefill_us: 50, import_us: 5, import_overhead_us: 9_000 };
/// assert!(is_import_quicker(2_000, &rates));
/// assert!(!is_import_quicker(100, &rates));
/// ```
pub fn is_import_quicker(tokens: u32, rates: &TransferRates) -> bool {
    let tokens = u64::from(tokens);
    tokens * rates.prefill_us > tokens * rates.import_us + rates.import_overhead_us
}

/// Counts how often pieces are asked for and names those worth exporting, each once.
#[derive(Clone, Debug)]
pub struct ExportCounter {
    uses: HashMap<PieceHash, u32>,
    order: VecDeque<PieceHash>,
    capacity: usize,
}

impl ExportCounter {
    /// Builds a counter that remembers at most `capacity` pieces.
    pub fn new(capacity: usize) -> ExportCounter {
        ExportCounter { uses: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Counts one use of a prompt and returns how many pieces from its start to export, 0 for none.
    ///
    /// ```
    /// use dogwoodway_routing::kv_transfer::ExportCounter;
    /// use dogwoodway_types::PieceHash;
    ///
    /// let mut counter = ExportCounter::new(100);
    /// assert_eq!(counter.record_use(&[PieceHash(1), PieceHash(2)]), 0);
    /// assert_eq!(counter.record_use(&[PieceHash(1), PieceHash(3)]), 1);
    /// assert_eq!(counter.record_use(&[PieceHash(1), PieceHash(4)]), 0);
    /// ```
    pub fn record_use(&mut self, prompt: &[PieceHash]) -> usize {
        let mut exported = 0;
        for (i, piece) in prompt.iter().enumerate() {
            if self.count(*piece) == EXPORT_AFTER_USES {
                exported = i + 1;
            }
        }
        exported
    }

    fn count(&mut self, piece: PieceHash) -> u32 {
        if let Some(uses) = self.uses.get_mut(&piece) {
            *uses = uses.saturating_add(1);
            return *uses;
        }
        if self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.uses.remove(&oldest);
        }
        self.order.push_back(piece);
        self.uses.insert(piece, 1);
        1
    }
}
