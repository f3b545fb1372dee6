//! Decides when to transfer KV cache between an engine and the external KV store.
//!
//! A prefix is imported if that is faster than computing it. Pieces are exported only once they are
//! used again, which separates shared prefixes from the part that is specific to one request.

use std::collections::{HashMap, VecDeque};

use dogwoodway_types::PieceHash;

/// Number of uses at which a piece is exported.
const EXPORT_AFTER_USES: u32 = 2;

/// Prefill speed of an engine and speed of its connection to the KV store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRates {
    /// Microseconds to compute one prompt token.
    pub prefill_us: u64,
    /// Microseconds to import the KV cache of one prompt token.
    pub import_us: u64,
    /// Fixed microseconds per import, independent of its size.
    pub import_overhead_us: u64,
}

/// Returns whether importing the KV cache of `tokens` tokens is faster than computing it.
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

/// Counts the uses of pieces and selects each for export once.
///
/// The counter is bounded: the piece that was first seen longest ago is dropped first, and its
/// count starts again at its next use.
#[derive(Clone, Debug)]
pub struct ExportCounter {
    uses: HashMap<PieceHash, u32>,
    insertion_order: VecDeque<PieceHash>,
    capacity: usize,
}

impl ExportCounter {
    /// Creates a counter for at most `capacity` pieces.
    pub fn new(capacity: usize) -> ExportCounter {
        ExportCounter { uses: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// Records a use of a prompt and returns how many of its first pieces to export, 0 for none.
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
        let mut export_count = 0;
        for (i, piece) in prompt.iter().enumerate() {
            if self.count(*piece) == EXPORT_AFTER_USES {
                export_count = i + 1;
            }
        }
        export_count
    }

    fn count(&mut self, piece: PieceHash) -> u32 {
        if let Some(uses) = self.uses.get_mut(&piece) {
            *uses = uses.saturating_add(1);
            return *uses;
        }
        if self.insertion_order.len() >= self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.uses.remove(&oldest);
        }
        self.insertion_order.push_back(piece);
        self.uses.insert(piece, 1);
        1
    }
}
