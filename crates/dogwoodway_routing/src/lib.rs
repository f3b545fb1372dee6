//! Pure routing decisions: placement, attempts, queueing, limits.
//!
//! Nothing here does I/O or reads a clock; the current time is an argument.

pub mod attempt;
pub mod kv_transfer;
pub mod placement;
pub mod prefix_index;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::{
        attempt::AttemptTable, placement::rendezvous_order, prefix_index::PrefixIndex,
    };
}
